//! Tests of target announcements that arrive late, duplicated or out of order.

use std::sync::Arc;

use mulberry_directory::{AnnouncementOutcome, TargetRecord, TargetState, TargetTable};
use proptest::prelude::*;

fn record(started_ms: u64, sequence: u64, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: "e1".into(),
        started_ms,
        sequence,
        service: "pool".into(),
        address: ([10, 0, 0, 1], 8080).into(),
        zone: "z".into(),
        slots: 16,
        state,
        cold_remaining_ms: 0,
    }
}

#[test]
fn an_outdated_announcement_does_not_reactivate_a_draining_or_gone_target() {
    let mut table = TargetTable::default();
    assert_eq!(table.apply(0, record(5, 1, TargetState::Ready)), AnnouncementOutcome::Changed);
    assert_eq!(table.apply(1, record(5, 3, TargetState::Draining)), AnnouncementOutcome::Changed);
    assert_eq!(table.apply(2, record(5, 2, TargetState::Ready)), AnnouncementOutcome::Outdated);
    let id: Arc<str> = "e1".into();
    assert!(table.deregister(3, &id, None, 1_000).is_some());
    assert_eq!(table.apply(4, record(5, 9, TargetState::Ready)), AnnouncementOutcome::Outdated);
    assert!(table.deregister(5, &id, None, 1_000).is_none());
}

#[test]
fn a_restarted_target_replaces_its_earlier_start() {
    let mut table = TargetTable::default();
    table.apply(0, record(5, 40, TargetState::Ready));
    table.deregister(1, &"e1".into(), None, 1_000);
    assert_eq!(table.apply(2, record(6, 1, TargetState::Ready)), AnnouncementOutcome::Changed);
    assert_eq!(table.get("e1").map(|known| known.state), Some(TargetState::Ready));
    assert_eq!(table.apply(3, record(5, 41, TargetState::Ready)), AnnouncementOutcome::Outdated);
}

#[test]
fn a_deregistration_received_before_the_first_announcement_is_kept() {
    let mut table = TargetTable::default();
    assert!(table.deregister(0, &"e1".into(), None, 1_000).is_some());
    assert_eq!(table.apply(1, record(900, 7, TargetState::Ready)), AnnouncementOutcome::Outdated);
    assert_eq!(table.apply(2, record(1_001, 1, TargetState::Ready)), AnnouncementOutcome::Changed);
}

#[test]
fn changes_since_a_time_include_departures_and_no_refreshes() {
    let mut table = TargetTable::default();
    let named = |id: &str, sequence: u64, state: TargetState| TargetRecord {
        id: id.into(),
        ..record(5, sequence, state)
    };
    table.apply(1, named("refreshed", 1, TargetState::Ready));
    table.apply(2, named("draining", 1, TargetState::Draining));
    table.apply(3, named("moved", 1, TargetState::Ready));
    table.deregister(4, &"gone".into(), None, 1_000);
    table.apply(5, named("refreshed", 2, TargetState::Ready));
    table.apply(6, TargetRecord { slots: 4, ..named("moved", 2, TargetState::Ready) });
    let changes = |since_ms| -> Vec<String> {
        table.changes_since(since_ms).map(|record| record.id.to_string()).collect()
    };
    assert_eq!(changes(0), ["draining", "gone", "moved", "refreshed"]);
    assert_eq!(changes(5), ["draining", "gone", "moved"]);
    assert_eq!(changes(7), ["draining", "gone"]);
}

#[test]
fn refreshes_are_distinguished_from_changes() {
    let mut table = TargetTable::default();
    table.apply(0, TargetRecord { cold_remaining_ms: 900, ..record(5, 1, TargetState::Ready) });
    let still_cold = TargetRecord { cold_remaining_ms: 400, ..record(5, 2, TargetState::Ready) };
    assert_eq!(table.apply(1, still_cold), AnnouncementOutcome::Refreshed);
    assert_eq!(table.apply(2, record(5, 3, TargetState::Ready)), AnnouncementOutcome::Changed);
    assert_eq!(table.apply(3, record(5, 4, TargetState::Ready)), AnnouncementOutcome::Refreshed);
    let cold_again = TargetRecord { cold_remaining_ms: 3_000, ..record(5, 5, TargetState::Ready) };
    assert_eq!(table.apply(4, cold_again), AnnouncementOutcome::Changed);
}

#[test]
fn targets_not_seen_recently_expire() {
    let mut table = TargetTable::default();
    table.apply(0, record(5, 1, TargetState::Ready));
    table.mark_seen(50, "e1");
    assert!(table.expire(50).is_empty());
    assert_eq!(table.expire(51).len(), 1);
    assert!(table.get("e1").is_none());
}

proptest! {
    #[test]
    fn the_order_of_announcements_does_not_matter(
        announcements in prop::collection::vec((0u64..3, 0u64..5), 1..8),
        seed in any::<prop::sample::Index>(),
    ) {
        let records: Vec<TargetRecord> = announcements
            .iter()
            .map(|&(started_ms, sequence)| {
                // Each sequence number of a start has exactly one state.
                let state = match (started_ms + sequence) % 3 {
                    0 => TargetState::Ready,
                    1 => TargetState::Draining,
                    _ => TargetState::Gone,
                };
                record(started_ms, sequence, state)
            })
            .collect();
        let mut reordered = records.clone();
        reordered.rotate_left(seed.index(records.len()));
        reordered.reverse();
        let mut in_order = TargetTable::default();
        let mut out_of_order = TargetTable::default();
        for record in records {
            in_order.apply(0, record);
        }
        for record in reordered {
            out_of_order.apply(0, record);
        }
        prop_assert_eq!(in_order.get("e1"), out_of_order.get("e1"));
    }
}
