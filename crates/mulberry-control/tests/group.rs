//! A group of three instances in one process: changes, restarts, leader failures and disk losses.

mod support;

use std::time::Duration;

use mulberry_consensus::{MemberChangeError, Role};
use mulberry_control::{MembershipChange, OperatorCallError};
use mulberry_operators::{
    MemberChange, OperatorBackend, OperatorClient, OperatorError, ReplicaId, ReplicaRole,
};
use mulberry_peers::{FaultDirection, LinkFault};
use mulberry_types::{
    ChangeOutcome, ClaimKey, ClaimReply, ConfigurationVersion, ControlReply, ControlRequest,
    Incarnation, NodeId, RejectReason, RequestId, StoredAnswer,
};
use support::{Group, TestEntry, set_zone, wait_for};

/// Guards against an acknowledged change that a read does not return, and against accepting two concurrent
/// changes with the same expected version.
#[test]
fn only_one_change_per_expected_version_is_accepted() {
    let group = Group::start("race", 3);
    let leader = group.wait_for_leader();
    let handle = group.instance(leader).handle();
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..8)
            .map(|number| {
                let id = format!("c{number}");
                let change = set_zone(&id, &format!("zone-{number}"), ConfigurationVersion(0));
                scope.spawn(move || handle.change(change).unwrap())
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let accepted = ChangeOutcome::Accepted { version: ConfigurationVersion(1) };
    let conflict = ChangeOutcome::Rejected {
        reason: RejectReason::VersionConflict { current: ConfigurationVersion(1) },
    };
    assert_eq!(outcomes.iter().filter(|outcome| **outcome == accepted).count(), 1);
    assert_eq!(outcomes.iter().filter(|outcome| **outcome == conflict).count(), 7);
    let (version, configuration) = handle.configuration().unwrap();
    assert_eq!(version, ConfigurationVersion(1));
    assert_eq!(configuration.zones.len(), 1);
    let page = handle.audit(ConfigurationVersion(0), ConfigurationVersion(9), 10).unwrap();
    assert_eq!(page.records.len(), 1);
    assert_eq!(&*page.records[0].operator, "tester");
}

/// Guards against a follower that accepts changes or serves stale reads.
#[test]
fn followers_redirect_to_the_leader() {
    let group = Group::start("followers", 3);
    let leader = group.wait_for_leader();
    let leader_id = group.member_id(leader);
    let follower = (leader + 1) % 3;
    wait_for("the follower to know the leader", || {
        let status = group.instance(follower).handle().status();
        (status.leader == Some(leader_id)).then_some(())
    });
    let handle = group.instance(follower).handle();
    let refused = OperatorCallError::NotLeader { leader: Some(leader_id) };
    assert_eq!(handle.change(set_zone("c", "a", ConfigurationVersion(0))), Err(refused.clone()));
    assert_eq!(handle.configuration().unwrap_err(), refused);
    let status = OperatorBackend::status(handle).unwrap();
    assert_eq!(status.leader_operator_address, Some(group.settings[leader].operator_address));
    let mut entry = TestEntry::in_group(1, &group);
    let renewal = entry.renewal();
    let reply = entry.call(follower, renewal, Duration::from_secs(5)).unwrap();
    let address = group.settings[leader].peer_address;
    assert_eq!(reply, ControlReply::Redirect { leader: Some(address) });
}

/// Guards against losing an accepted change when the leader fails, and against a different outcome when a
/// change is retried with the same id at the next leader.
#[test]
fn changes_and_outcomes_survive_a_leader_failure() {
    let mut group = Group::start("lost-leader", 3);
    let first = set_zone("first", "a", ConfigurationVersion(0));
    let accepted = ChangeOutcome::Accepted { version: ConfigurationVersion(1) };
    assert_eq!(group.change(&first), accepted);
    let rejected = set_zone("loser", "b", ConfigurationVersion(0));
    let conflict = group.change(&rejected);
    assert!(matches!(conflict, ChangeOutcome::Rejected { .. }));

    let old_leader = group.wait_for_leader();
    group.abort(old_leader);
    let next = set_zone("next", "c", ConfigurationVersion(1));
    assert_eq!(group.change(&next), ChangeOutcome::Accepted { version: ConfigurationVersion(2) });
    assert_eq!(group.change(&first), accepted);
    assert_eq!(group.change(&rejected), conflict);
    let leader = group.wait_for_leader();
    let (_, configuration) = group.instance(leader).handle().configuration().unwrap();
    let zones: Vec<&str> = configuration.zones.keys().map(|zone| &**zone).collect();
    assert_eq!(zones, ["a", "c"]);

    // The former leader restarts with its data folder and catches up.
    group.start_one(old_leader);
    wait_for("the former leader to catch up", || {
        let status = group.instance(old_leader).handle().status();
        (status.version == ConfigurationVersion(2)).then_some(())
    });
}

/// Guards against executing a call twice because its claim is granted a second time by a new leader.
#[test]
fn a_claim_is_granted_once_across_a_leader_failure() {
    let mut group = Group::start("claims", 3);
    let mut entry = TestEntry::in_group(1, &group);
    entry.renew();
    let request =
        |counter| RequestId { node: NodeId(1), incarnation: entry.member.incarnation, counter };
    let key =
        ClaimKey { workspace: "w".into(), service: "s".into(), key: "idempotency-key".into() };
    let claim = |counter| ControlRequest::Claim {
        key: key.clone(),
        fingerprint: [7; 32],
        request: request(counter),
    };
    assert_eq!(entry.request(&claim(1)), ControlReply::Claim(ClaimReply::Won));
    group.abort(group.wait_for_leader());
    assert_eq!(entry.request(&claim(1)), ControlReply::Claim(ClaimReply::Won));
    assert_eq!(entry.request(&claim(2)), ControlReply::Claim(ClaimReply::Running));
    let answer = StoredAnswer { status: 200, headers: Vec::new(), body: Some(b"done".to_vec()) };
    let finish = ControlRequest::FinishClaim {
        key: key.clone(),
        request: request(1),
        answer: answer.clone(),
    };
    assert_eq!(entry.request(&finish), ControlReply::Done);
    assert_eq!(entry.request(&claim(3)), ControlReply::Claim(ClaimReply::Finished(answer)));
}

/// Guards against a rejected command that is reported as a result, or as an unavailable instance, which
/// would make the entry retry at one instance after the other until its deadline.
#[test]
fn committed_requests_without_effect_are_refused() {
    let group = Group::start("refused", 3);
    let entry = TestEntry::in_group(1, &group);
    let request = RequestId { node: NodeId(1), incarnation: entry.member.incarnation, counter: 1 };
    let key = ClaimKey { workspace: "w".into(), service: "s".into(), key: "k".into() };
    let requests = [
        ControlRequest::Claim { key: key.clone(), fingerprint: [1; 32], request },
        ControlRequest::AbandonClaim { key, request },
    ];
    for request in requests {
        let reply = entry.request(&request);
        assert!(matches!(reply, ControlReply::Refused { .. }), "{request:?}: {reply:?}");
    }
}

/// Guards against a log or snapshot that does not restore the whole state, and against a group that starts
/// only in a certain order of its instances.
#[test]
fn group_restarts_from_snapshots_in_any_order() {
    const CHANGES: u64 = 400;
    let mut group = Group::prepare("restart", 3);
    for settings in &mut group.settings {
        settings.snapshot_entries = 100;
    }
    (0..3).for_each(|index| group.start_one(index));
    let leader = group.wait_for_leader();
    for number in 0..CHANGES {
        let change = set_zone(
            &format!("c{number}"),
            &format!("zone-{number}"),
            ConfigurationVersion(number),
        );
        group.change(&change);
    }
    let status = group.instance(leader).handle().status();
    assert!(status.snapshot_index > 0 || group.wait_for_leader() != leader);

    for order in [[2, 0, 1], [1, 2, 0]] {
        (0..3).for_each(|index| group.abort(index));
        for index in order {
            group.start_one(index);
        }
        let leader = group.wait_for_leader();
        let handle = group.instance(leader).handle();
        let (version, configuration) = handle.configuration().unwrap();
        assert_eq!(version, ConfigurationVersion(CHANGES));
        assert_eq!(configuration.zones.len() as u64, CHANGES);
        let page = handle.audit(ConfigurationVersion(1), version, 1_000).unwrap();
        assert_eq!(page.records.len() as u64, CHANGES);
        // The outcomes of old change ids are part of the snapshot.
        let first = set_zone("c0", "zone-0", ConfigurationVersion(0));
        let accepted = ChangeOutcome::Accepted { version: ConfigurationVersion(1) };
        assert_eq!(group.change(&first), accepted);
    }
}

/// Guards against an instance that votes with the identity of its lost disk, and against the loss of
/// changes when a second instance fails right after the repair.
#[test]
fn instance_with_a_wiped_disk_rejoins_as_a_learner_and_completes_a_majority() {
    let mut group = Group::prepare("wiped", 3);
    for settings in &mut group.settings {
        settings.snapshot_entries = 100;
    }
    (0..3).for_each(|index| group.start_one(index));
    group.wait_for_leader();
    for number in 0..250 {
        group.set_zone("before", &format!("zone-{number}"));
    }
    let wiped = group.wait_for_leader();
    let old_id = group.member_id(wiped);
    // All instances restart, so that the others no longer hold the entries before their snapshots in
    // memory and must send the new member a snapshot.
    (0..3).for_each(|index| group.abort(index));
    group.wipe(wiped);
    // Disables snapshots of the wiped instance, so that its snapshot index proves that the leader sent one.
    group.settings[wiped].snapshot_entries = 1_000_000;
    (0..3).for_each(|index| group.start_one(index));
    let new_id = group.member_id(wiped);
    assert_ne!(new_id, old_id);

    let repair = |change| {
        wait_for("a change of the members", || {
            let leader = group.wait_for_leader();
            assert_ne!(leader, wiped);
            match group.instance(leader).handle().change_members(change) {
                Ok(()) => Some(()),
                // All these errors are retried. A change with an unknown outcome may have been committed;
                // the retry then returns `Unchanged`.
                Err(OperatorCallError::Members(MemberChangeError::Unchanged)) => Some(()),
                Err(_) => None,
            }
        });
    };
    assert!(!group.instance(wiped).handle().status().members.contains(new_id));
    repair(MembershipChange::AddLearner(new_id));
    repair(MembershipChange::Promote(new_id));
    repair(MembershipChange::Remove(old_id));
    let version = group.set_zone("repaired", "last");

    // After the loss of a second instance, every majority includes the new member.
    let second = (0..3).find(|index| *index != wiped).unwrap();
    group.abort(second);
    let leader = group.wait_for_leader();
    let (read, configuration) = group.instance(leader).handle().configuration().unwrap();
    assert_eq!(read, version);
    assert_eq!(configuration.zones.len(), 251);
    group.set_zone("after", "after-second-loss");
    assert!(group.instance(wiped).handle().status().snapshot_index > 0);
    let members = group.instance(leader).handle().status().members;
    assert!(members.is_voter(new_id) && !members.contains(old_id));
}

/// Guards against a graceful shutdown that leaves the group without a leader for an election timeout.
#[test]
fn graceful_shutdown_transfers_leadership() {
    let mut group = Group::start("stop", 3);
    let version = group.set_zone("c", "a");
    let leader = group.wait_for_leader();
    let term = group.instance(leader).handle().status().term;
    let health = group.instance(leader).health().clone();
    group.instances[leader].take().unwrap().stop();
    assert!(!health.is_ready());
    let next = group.wait_for_leader();
    let handle = group.instance(next).handle();
    assert_eq!(handle.configuration().unwrap().0, version);
    assert!(handle.status().term > term);
    assert_eq!(handle.status().role, Role::Leader);
}

/// Guards against replies based on the state of another incarnation of an entry.
#[test]
fn an_incarnation_that_left_is_expelled_and_a_new_one_joins() {
    let group = Group::start("leave", 3);
    let mut entry = TestEntry::in_group(1, &group);
    let epoch = entry.renew().epoch;
    let leave =
        ControlRequest::Leave { node: entry.member.node, incarnation: entry.member.incarnation };
    assert_eq!(entry.request(&leave), ControlReply::Done);
    let renewal = entry.renewal();
    assert_eq!(entry.request(&renewal), ControlReply::Expelled);
    let mut next_incarnation = TestEntry::in_group(1, &group);
    next_incarnation.member.incarnation = Incarnation(9);
    assert!(next_incarnation.renew().epoch > epoch);
}

/// Guards against an operator API that does not reach the replica or does not check tokens.
#[test]
fn operators_reach_the_group_over_http() {
    let mut group = Group::start("operators", 3);
    let client = group.operator_client();
    let change = set_zone("c", "a", ConfigurationVersion(0));
    let accepted = ChangeOutcome::Accepted { version: ConfigurationVersion(1) };
    assert_eq!(client.submit_change(&change).unwrap(), accepted);
    let answer = client.configuration().unwrap();
    assert_eq!(answer.version, ConfigurationVersion(1));
    let records = client.audit(ConfigurationVersion(0), 10).unwrap().records;
    assert_eq!(records.len(), 1);
    assert_eq!((records[0].from_version.0, records[0].to_version.0), (0, 1));
    assert!(client.audit(ConfigurationVersion(1), 10).unwrap().records.is_empty());

    let mut entry = TestEntry::in_group(1, &group);
    entry.renew();
    let status = wait_for("the leader's status", || {
        let status = client.status().ok()?;
        (status.leader == Some(status.replica) && status.entries.len() == 1).then_some(status)
    });
    assert_eq!(status.replicas.len(), 3);
    assert_eq!(status.entries[0].node, entry.member.node);

    let next = status.replicas.iter().find(|replica| replica.role == ReplicaRole::Voter).unwrap();
    client.transfer(Some(next.replica)).unwrap();
    wait_for("the transfer", || (client.status().ok()?.leader == Some(next.replica)).then_some(()));
    let unknown = MemberChange::AddLearner {
        replica: ReplicaId(12_345),
        address: group.settings[0].peer_address,
    };
    let rejected = wait_for("a rejection", || match client.change_members(&unknown) {
        Err(OperatorError::Rejected { problem }) => Some(problem),
        _ => None,
    });
    assert!(rejected.contains("has not introduced itself"), "{rejected}");

    let addresses = vec![group.settings[0].operator_address];
    let unauthorized_client = OperatorClient::new(addresses, "another-token").unwrap();
    assert_eq!(unauthorized_client.configuration().unwrap_err(), OperatorError::Unauthorized);
    group.instances.clear();
}

/// Guards against a leader that blocks on a peer whose link accepts no data, and against a link that does
/// not recover.
#[test]
fn a_frozen_link_does_not_block_the_group() {
    let group = Group::start("frozen", 3);
    let leader = group.wait_for_leader();
    let slow = (leader + 1) % 3;
    let slow_address = group.settings[slow].peer_address;
    let faults = group.instance(leader).faults();
    faults.set(slow_address, FaultDirection::ToPeer, Some(LinkFault::Freeze));
    let mut version = ConfigurationVersion(0);
    for number in 0..300 {
        version = group.set_zone("frozen", &format!("zone-{number}"));
    }
    group.instances.iter().flatten().for_each(|instance| instance.faults().clear());
    wait_for("the slow replica to catch up", || {
        let status = group.instance(slow).handle().status();
        (status.version == version).then_some(())
    });
}

/// Guards against two replicas with the same identity, which could vote twice in a term.
#[test]
fn a_copied_data_folder_stops_both_replicas() {
    let mut group = Group::start("copied", 3);
    group.set_zone("c", "a");
    let (copied, original) = (0, 1);
    group.abort(copied);
    group.wipe(copied);
    let folders: Vec<_> = group.settings.iter().map(|settings| &settings.data_folder).collect();
    std::fs::create_dir(folders[copied]).unwrap();
    for file in std::fs::read_dir(folders[original]).unwrap() {
        let file = file.unwrap();
        std::fs::copy(file.path(), folders[copied].join(file.file_name())).unwrap();
    }
    group.start_one(copied);
    // Either of them may lack acknowledged entries, so both stop.
    for index in [copied, original] {
        let status = || group.instance(index).handle().status();
        let failure = wait_for("the failure of both", || status().failure);
        assert!(failure.contains("has the member id of this one"), "{failure}");
        assert!(!group.instance(index).health().is_ready());
    }
}
