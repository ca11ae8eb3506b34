//! The client against instances that follow, fail, fall silent or lose outcomes.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod support;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

use mulberry_operators::{
    MemberChange, OperatorClient, OperatorClientError, OperatorClientSettings, OperatorError,
    ReplicaId,
};
use mulberry_types::{
    Change, ChangeId, ChangeOperation, ChangeOutcome, ConfigurationVersion, RejectReason, ZoneState,
};
use support::{Behaviour, Group, Instance, TOKEN};

fn group() -> Arc<Mutex<Group>> {
    Arc::new(Mutex::new(Group::default()))
}

fn client(addresses: &[SocketAddr]) -> OperatorClient {
    let settings = OperatorClientSettings {
        attempt_timeout_ms: 2_000,
        time_limit_ms: 10_000,
        ..OperatorClientSettings::default()
    };
    OperatorClient::with_settings(addresses.to_vec(), TOKEN, settings).unwrap()
}

/// For requests that must fail after their time limit.
fn hasty_client(addresses: &[SocketAddr]) -> OperatorClient {
    let settings =
        OperatorClientSettings { time_limit_ms: 2_000, ..OperatorClientSettings::default() };
    OperatorClient::with_settings(addresses.to_vec(), TOKEN, settings).unwrap()
}

fn change(id: &str, expected_version: u64) -> Change {
    Change {
        id: ChangeId(id.into()),
        operator: "".into(),
        expected_version: ConfigurationVersion(expected_version),
        operations: vec![ChangeOperation::SetZone { zone: "z1".into(), state: ZoneState::Out }],
    }
}

const FIRST: ChangeOutcome = ChangeOutcome::Accepted { version: ConfigurationVersion(1) };

/// An address at which nothing listens: tests get higher ports only.
fn dead_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Guards against a client that gives up at the first instance.
#[test]
fn the_leader_is_found_past_dead_and_following_instances() {
    let group = group();
    let leader = Instance::start(&group, Behaviour::Leads);
    let follower = Instance::start(&group, Behaviour::Follows(Some(leader.address())));
    let lost = Instance::start(&group, Behaviour::Follows(None));
    let client = client(&[dead_address(), lost.address(), follower.address(), leader.address()]);
    assert_eq!(client.submit_change(&change("c1", 0)), Ok(FIRST));
    assert_eq!((lost.calls(), follower.calls()), (1, 1));
    let conflict = RejectReason::VersionConflict { current: ConfigurationVersion(1) };
    let rejected = ChangeOutcome::Rejected { reason: conflict };
    assert_eq!(client.submit_change(&change("c2", 0)), Ok(rejected));
    assert_eq!(client.configuration().unwrap().version, ConfigurationVersion(1));
    assert_eq!(client.audit(ConfigurationVersion(0), 10).unwrap().records.len(), 1);
    // The leader is asked first from now on.
    assert_eq!((lost.calls(), follower.calls()), (1, 1));
    assert_eq!(client.status().unwrap().entries.len(), 1);
}

/// Guards against a status that lacks what only the leader knows.
#[test]
fn status_comes_from_the_leader() {
    let group = group();
    let leader = Instance::start(&group, Behaviour::Leads);
    let follower = Instance::start(&group, Behaviour::Follows(Some(leader.address())));
    let both = client(&[follower.address(), leader.address()]);
    assert_eq!(both.status().unwrap().replica, ReplicaId(1));
    let alone = client(&[follower.address()]);
    assert_eq!(alone.status().unwrap().replica, ReplicaId(2));
}

/// Guards against a change that is applied twice, or reported lost although it was applied.
#[test]
fn a_lost_outcome_is_asked_for_with_the_same_id() {
    let group = group();
    let leader = Instance::start(&group, Behaviour::LosesOutcomes(2));
    assert_eq!(client(&[leader.address()]).submit_change(&change("c1", 0)), Ok(FIRST));
    assert_eq!(leader.calls(), 3);
    assert_eq!(group.lock().unwrap().audit.len(), 1);
}

/// Guards against an instance that accepts a request and never answers.
#[test]
fn a_silent_instance_does_not_stop_a_change() {
    let group = group();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let leader = Instance::start(&group, Behaviour::Leads);
    let client = client(&[silent.local_addr().unwrap(), leader.address()]);
    assert_eq!(client.submit_change(&change("c1", 0)), Ok(FIRST));
}

/// Guards against certainty that the client does not have, and doubt where there is none.
#[test]
fn failures_tell_not_done_from_unknown() {
    let group = group();
    let instance = Instance::start(&group, Behaviour::Unavailable);
    let hasty = hasty_client(&[instance.address()]);
    let error = hasty.submit_change(&change("c1", 0)).unwrap_err();
    assert!(matches!(error, OperatorError::Unavailable { .. }), "{error}");
    assert!(group.lock().unwrap().audit.is_empty());

    let error = hasty_client(&[dead_address()]).submit_change(&change("c1", 0)).unwrap_err();
    assert!(matches!(error, OperatorError::Unavailable { .. }), "{error}");

    *instance.behaviour.lock().unwrap() = Behaviour::LosesOutcomes(u32::MAX);
    let error = hasty.submit_change(&change("c1", 0)).unwrap_err();
    assert!(matches!(error, OperatorError::OutcomeUnknown { .. }), "{error}");

    // A later refusal by another instance does not undo the doubt.
    let refusing = Instance::start(&group, Behaviour::Rejects);
    let both = client(&[instance.address(), refusing.address()]);
    let error = both.submit_change(&change("c2", 1)).unwrap_err();
    assert!(matches!(error, OperatorError::OutcomeUnknown { .. }), "{error}");

    *instance.behaviour.lock().unwrap() = Behaviour::Leads;
    let wrong = OperatorClient::new(vec![instance.address()], "wrong").unwrap();
    assert_eq!(wrong.configuration(), Err(OperatorError::Unauthorized));
}

/// Guards against a member change that is carried out twice.
#[test]
fn member_changes_are_not_resent() {
    let group = group();
    let instance = Instance::start(&group, Behaviour::LosesOutcomes(1));
    let client = client(&[instance.address()]);
    let remove = MemberChange::Remove { replica: ReplicaId(3) };
    let error = client.change_members(&remove).unwrap_err();
    assert!(matches!(error, OperatorError::OutcomeUnknown { .. }), "{error}");
    assert_eq!(group.lock().unwrap().member_changes, [("ada".to_owned(), remove.clone())]);
    client.transfer(Some(ReplicaId(2))).unwrap();
    assert_eq!(group.lock().unwrap().transfers, [Some(ReplicaId(2))]);

    *instance.behaviour.lock().unwrap() = Behaviour::Rejects;
    let error = client.change_members(&remove).unwrap_err();
    assert!(matches!(error, OperatorError::Rejected { .. }), "{error}");
}

/// Guards against a token that is sent to whatever address an instance names.
#[test]
fn a_leader_that_was_not_named_by_the_operator_is_not_followed() {
    let foreign = TcpListener::bind("127.0.0.1:0").unwrap();
    foreign.set_nonblocking(true).unwrap();
    let address = foreign.local_addr().unwrap();
    let follower = Instance::start(&group(), Behaviour::Follows(Some(address)));
    let error = hasty_client(&[follower.address()]).configuration().unwrap_err();
    assert!(error.to_string().contains(&format!("names {address} as the leader")), "{error}");
    assert_eq!(foreign.accept().unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
}

/// Guards against an answer that fills the memory of the client.
#[test]
fn answers_are_bounded() {
    let instance = Instance::start(&group(), Behaviour::Leads);
    let settings = OperatorClientSettings {
        max_answer_bytes: 10,
        time_limit_ms: 2_000,
        ..OperatorClientSettings::default()
    };
    let client = OperatorClient::with_settings(vec![instance.address()], TOKEN, settings).unwrap();
    let error = client.configuration().unwrap_err();
    assert!(matches!(error, OperatorError::Unavailable { .. }), "{error}");
    assert!(error.to_string().contains("longer than 10 bytes"), "{error}");
}

/// Guards against a failing instance whose answer says that a change was not done.
#[test]
fn an_answer_with_a_status_outside_of_http_tells_nothing() {
    for status in ["000", "101", "600", "999"] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let body = r#"{"error":{"code":"rejected","outcome":"not_run","message":"refused"}}"#;
            while let Ok((mut stream, _)) = listener.accept() {
                let mut input = [0; 4_096];
                if matches!(stream.read(&mut input), Ok(count) if count > 0) {
                    let head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}", body.len());
                    let _ = stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes());
                }
            }
        });
        let error = hasty_client(&[address]).submit_change(&change("c1", 0)).unwrap_err();
        assert!(matches!(error, OperatorError::OutcomeUnknown { .. }), "{status}: {error}");
    }
}

/// Guards against a client without an address, and a token in a log.
#[test]
fn the_client_checks_its_settings_and_hides_the_token() {
    let address = dead_address();
    assert_eq!(OperatorClient::new(vec![], TOKEN).unwrap_err(), OperatorClientError::NoAddress);
    for token in ["", " \n", "two words", "line\r\nbreak", "ümlaut"] {
        let error = OperatorClient::new(vec![address], token).unwrap_err();
        assert_eq!(error, OperatorClientError::BadToken, "{token:?}");
    }
    let client = OperatorClient::new(vec![address], TOKEN).unwrap();
    assert!(!format!("{client:?}").contains(TOKEN));
}
