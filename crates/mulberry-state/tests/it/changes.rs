//! Changes of the configuration.

use std::sync::Arc;

use mulberry_state::{Reply, StateLimits};
use mulberry_types::{
    ChangeOperation, ChangeOutcome, ConfigurationUpdate, ConfigurationVersion, RejectReason,
    ZoneState,
};
use proptest::prelude::*;

use crate::common::{Driver, cases, operations, put_workspace, set_zone};

fn accepted(version: u64) -> Reply {
    Reply::Change(ChangeOutcome::Accepted { version: ConfigurationVersion(version) })
}

fn rejected(reason: RejectReason) -> Reply {
    Reply::Change(ChangeOutcome::Rejected { reason })
}

fn conflict(current: u64) -> Reply {
    rejected(RejectReason::VersionConflict { current: ConfigurationVersion(current) })
}

proptest! {
    #![proptest_config(cases(256))]

    /// Guards against two winners, or none, among changes with equal expected versions.
    #[test]
    fn equal_versions_have_one_winner(before in 0u64..4, racers in 2usize..8) {
        let mut driver = Driver::default();
        for version in 0..before {
            driver.change(&format!("before-{version}"), version, &[put_workspace("a", 1)]);
        }
        let replies: Vec<Reply> = (0..racers)
            .map(|n| driver.change(&format!("racer-{n}"), before, &[put_workspace("b", 2)]))
            .collect();
        prop_assert_eq!(&replies[0], &accepted(before + 1));
        prop_assert!(replies[1..].iter().all(|reply| *reply == conflict(before + 1)));
    }

    /// Guards against a delta that does not lead to the current configuration.
    #[test]
    fn update_leads_to_current_configuration(
        changes in prop::collection::vec(operations(), 1..12),
        delta_changes in 0u64..6,
    ) {
        let limits = StateLimits { delta_changes, audit_records: 4, ..StateLimits::default() };
        let mut driver = Driver::with_limits(limits);
        let mut copies = vec![driver.state.configuration().clone()];
        for (position, operations) in changes.iter().enumerate() {
            let version = driver.state.version();
            driver.change(&position.to_string(), version.0, operations);
            if driver.state.version() > version {
                copies.push(driver.state.configuration().clone());
            }
        }
        let current = driver.state.version();
        for (version, copy) in copies.iter().enumerate() {
            let version = ConfigurationVersion(version as u64);
            let behind = current.0 - version.0;
            match driver.state.update_since(version) {
                None => prop_assert_eq!(version, current),
                Some(ConfigurationUpdate::Delta { from_version, to_version, operations }) => {
                    prop_assert!(behind <= delta_changes.min(4));
                    prop_assert_eq!((from_version, to_version), (version, current));
                    let mut copy = (**copy).clone();
                    operations.iter().try_for_each(|op| op.apply(&mut copy)).expect("applies");
                    prop_assert_eq!(&copy, &**driver.state.configuration());
                }
                Some(ConfigurationUpdate::Full { version, configuration }) => {
                    prop_assert!(behind > delta_changes.min(4));
                    prop_assert_eq!(version, current);
                    prop_assert_eq!(&configuration, &**driver.state.configuration());
                }
            }
        }
        prop_assert_eq!(driver.state.update_since(ConfigurationVersion(current.0 + 1)), None);
    }
}

/// Guards against a resent change that is applied or judged a second time, also after a snapshot.
#[test]
fn resent_id_gets_first_outcome() {
    let mut driver = Driver::default();
    let operations = [put_workspace("a", 1)];
    assert_eq!(driver.change("first", 0, &operations), accepted(1));
    assert_eq!(driver.change("second", 0, &operations), conflict(1));
    assert_eq!(driver.change("third", 1, &operations), accepted(2));
    for _ in 0..2 {
        driver.now_ms += 1_000;
        assert_eq!(driver.change("first", 0, &operations), accepted(1));
        assert_eq!(driver.change("second", 0, &operations), conflict(1));
        driver.restore();
    }
    assert_eq!(driver.state.version(), ConfigurationVersion(2));
}

/// Guards against an outcome that is repeated for a different change with the same id.
#[test]
fn reused_id_is_rejected() {
    let mut driver = Driver::default();
    driver.change("id", 0, &[put_workspace("a", 1)]);
    driver.restore();
    let reply = driver.change("id", 0, &[put_workspace("a", 2)]);
    assert_eq!(reply, rejected(RejectReason::IdReused));
    assert_eq!(driver.change("id", 0, &[put_workspace("a", 1)]), accepted(1));
}

/// Guards against the first operations of a rejected change staying applied.
#[test]
fn operations_are_applied_all_or_none() {
    let mut driver = Driver::default();
    driver.change("1", 0, &[put_workspace("a", 1)]);
    let before = Arc::clone(driver.state.configuration());
    let missing = ChangeOperation::RemoveWorkspace { name: "missing".into() };
    for (id, last) in [("2", missing), ("3", put_workspace("b", 0))] {
        let reply = driver.change(id, 1, &[set_zone("zone-a", ZoneState::Out), last]);
        let reason = RejectReason::Invalid { path: String::new(), problem: String::new() };
        let is_invalid = |reply: &Reply| match reply {
            Reply::Change(ChangeOutcome::Rejected { reason: found }) => {
                std::mem::discriminant(found) == std::mem::discriminant(&reason)
            }
            _ => false,
        };
        assert!(is_invalid(&reply), "{reply:?}");
    }
    assert!(Arc::ptr_eq(&before, driver.state.configuration()));
}

/// Guards against a table of outcomes that grows without bound, or forgets the newest.
#[test]
fn oldest_ids_are_forgotten_at_the_limit() {
    let mut driver = Driver::with_limits(StateLimits { change_ids: 2, ..StateLimits::default() });
    for version in 0..3 {
        driver.change(&version.to_string(), version, &[put_workspace("a", 1)]);
    }
    assert_eq!(driver.change("2", 2, &[put_workspace("a", 1)]), accepted(3));
    assert_eq!(driver.change("0", 0, &[put_workspace("a", 1)]), conflict(3));
}

/// Guards against outcomes that keep a text as long as the change that caused it.
#[test]
fn kept_problem_is_short() {
    let mut driver = Driver::default();
    let name = "ü".repeat(100_000);
    let reply = driver.change("1", 0, &[put_workspace(&name, 1)]);
    let Reply::Change(ChangeOutcome::Rejected { reason: RejectReason::Invalid { path, .. } }) =
        reply
    else {
        panic!("{reply:?}");
    };
    assert!(path.len() <= 256 && driver.state.to_snapshot().len() < 2_000);
}

/// Readable form of the audit trail and of its bound.
#[test]
fn audit_record_form() {
    let mut driver =
        Driver::with_limits(StateLimits { audit_records: 2, ..StateLimits::default() });
    driver.now_ms = 1_780_000_000_000;
    driver.change("a-1", 0, &[put_workspace("quotes", 1)]);
    driver.change("a-2", 1, &[set_zone("zone-a", ZoneState::Out), put_workspace("quotes", 3)]);
    driver.change("a-3", 2, &[set_zone("zone-a", ZoneState::In)]);
    let page = driver.state.audit(ConfigurationVersion(0), ConfigurationVersion(2), 10);
    assert_eq!(page.first_kept, Some(ConfigurationVersion(2)));
    assert_eq!(page.dropped_records, 1);
    insta::assert_json_snapshot!(page.records);
    let page = driver.state.audit(ConfigurationVersion(2), ConfigurationVersion(3), 1);
    assert_eq!(page.records.len(), 1);
}

/// Texts of the checks that the state machine adds to those of the configuration.
#[test]
fn rejection_texts() {
    let limits = StateLimits { change_bytes: 200, configuration_bytes: 100, ..Default::default() };
    let mut driver = Driver::with_limits(limits);
    let one = [put_workspace("a", 1)];
    let many: Vec<ChangeOperation> =
        (0..20).map(|n| put_workspace(&format!("workspace-{n}"), 1)).collect();
    let replies = [
        driver.change("", 0, &one),
        driver.change(&"x".repeat(129), 0, &one),
        driver.change("1", 0, &[]),
        driver.change("2", 0, &many),
        driver.change("3", 0, &many[..8]),
        driver.change("4", 7, &one),
        driver.change("5", 0, &[put_workspace("a", 0)]),
    ];
    insta::assert_debug_snapshot!(replies);
}
