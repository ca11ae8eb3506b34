//! Conditions under which a snapshot is due.

use mulberry_control::SnapshotSchedule;

/// Guards against a large snapshot that is rewritten after a few commands, which would block the replica
/// most of the time, and against a log that grows without bound.
#[test]
fn a_snapshot_is_due_once_commands_reach_the_size_of_the_last_one() {
    let mut schedule = SnapshotSchedule::new(100);
    schedule.record_command(10);
    assert!(!schedule.is_due(99));
    assert!(schedule.is_due(100));
    schedule.record_snapshot(1_000);
    schedule.record_command(999);
    assert!(!schedule.is_due(100));
    assert!(!schedule.is_due(1_999));
    assert!(schedule.is_due(2_000));
    schedule.record_command(1);
    assert!(!schedule.is_due(99));
    assert!(schedule.is_due(100));
}
