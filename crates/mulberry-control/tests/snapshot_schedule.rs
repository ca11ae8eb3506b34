//! When a replica writes a snapshot.

use mulberry_control::SnapshotSchedule;

/// Guards against a large snapshot that is written again after a few commands, which would stop the
/// replica all the time, and against a log that grows without bound.
#[test]
fn a_snapshot_is_due_after_as_many_bytes_as_the_last_one_has() {
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
