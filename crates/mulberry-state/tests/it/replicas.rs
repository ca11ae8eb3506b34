//! Replicas that apply the same commands.

use mulberry_state::{ClaimRefusal, Command, FleetState, Reply, StateLimits};
use proptest::prelude::*;

use crate::common::{Driver, cases, commands, request, small_limits};

/// A replica is restored from a snapshot at `cut`; each reply and the final bytes must stay equal.
/// Guards against state that decides outcomes but is missing from the snapshot.
fn check_restored_replica_stays_equal(
    commands: &[Command],
    cut: usize,
    limits: StateLimits,
) -> Result<(), TestCaseError> {
    let mut original = FleetState::new(limits);
    let mut restored = original.clone();
    for (position, command) in commands.iter().enumerate() {
        if position == cut % commands.len() {
            let data = original.to_snapshot();
            restored = FleetState::from_snapshot(&data).expect("own snapshot");
            prop_assert_eq!(&restored, &original);
        }
        let index = position as u64 + 1;
        prop_assert_eq!(original.apply(index, command), restored.apply(index, command));
    }
    prop_assert_eq!(original.to_snapshot(), restored.to_snapshot());
    Ok(())
}

/// Guards against a retention shorter than the promised one, and a message that no frame can hold.
#[test]
fn limits_out_of_range_are_rejected() {
    let mut driver = Driver::default();
    let day_ms = StateLimits::default().claim_retention_ms;
    let wrong = [
        StateLimits { claim_retention_ms: day_ms - 1, ..StateLimits::default() },
        StateLimits { configuration_bytes: (8 << 20) + 1, ..StateLimits::default() },
    ];
    let replies = wrong.map(|limits| driver.apply(&Command::SetLimits { now_ms: 0, limits }));
    assert_eq!(driver.state.limits(), &StateLimits::default());
    insta::assert_debug_snapshot!(replies);
    let limits = StateLimits { claims: 0, ..StateLimits::default() };
    assert_eq!(driver.apply(&Command::SetLimits { now_ms: 0, limits }), Reply::LimitsSet);
    driver.restore();
    driver.join(1, 1);
    let reply = driver.claim("a", request(1, 1, 1));
    assert_eq!(reply, Reply::ClaimRefused(ClaimRefusal::StoredClaimsFull));
}

proptest! {
    #![proptest_config(cases(512))]

    #[test]
    fn restored_replica_stays_equal(commands in commands(), cut in any::<usize>()) {
        if !commands.is_empty() {
            let mut commands = commands;
            let limits = small_limits();
            commands.insert(cut / 7 % commands.len(), Command::SetLimits { now_ms: 0, limits });
            check_restored_replica_stays_equal(&commands, cut, StateLimits::default())?;
            check_restored_replica_stays_equal(&commands, cut, small_limits())?;
        }
    }

    /// Guards against a version, epoch or time that goes back, and an epoch that does not follow the
    /// set of members one by one.
    #[test]
    fn counters_never_go_back(commands in commands()) {
        let mut state = FleetState::default();
        for (position, command) in commands.iter().enumerate() {
            let before = state.clone();
            state.apply(position as u64 + 1, command);
            prop_assert!(state.version() >= before.version());
            prop_assert!(state.now_ms() >= before.now_ms());
            let has_changed = state.membership().members != before.membership().members;
            let raised = state.membership().epoch.0 - before.membership().epoch.0;
            prop_assert_eq!(raised, u64::from(has_changed));
            prop_assert!(state.configuration().check().is_ok());
        }
    }

    /// Guards against a second application of entries that are replayed after a restart.
    #[test]
    fn replayed_entries_change_nothing(commands in commands(), cut in any::<usize>()) {
        let mut state = FleetState::default();
        for (position, command) in commands.iter().enumerate() {
            state.apply(position as u64 + 1, command);
        }
        let before = state.to_snapshot();
        let from = cut % (commands.len() + 1);
        for (position, command) in commands.iter().enumerate().skip(from) {
            prop_assert_eq!(state.apply(position as u64 + 1, command), Reply::AlreadyApplied);
        }
        prop_assert_eq!(state.to_snapshot(), before);
    }

    /// Guards against a limit that some path does not respect.
    #[test]
    fn limits_hold_after_each_command(commands in commands()) {
        let limits = small_limits();
        let mut state = FleetState::new(limits.clone());
        for (position, command) in commands.iter().enumerate() {
            state.apply(position as u64 + 1, command);
            let counts = state.claim_counts();
            prop_assert!(counts.open <= limits.open_claims);
            prop_assert!(counts.claims <= limits.claims);
            prop_assert!(counts.stored_bytes <= limits.claim_bytes);
            prop_assert!(counts.tombstones <= limits.tombstones);
            prop_assert!(counts.refused_requests <= limits.refused_requests);
            let page = state.audit(Default::default(), state.version(), usize::MAX);
            prop_assert!(page.records.len() as u64 <= limits.audit_records);
            prop_assert_eq!(page.dropped_records + page.records.len() as u64, state.version().0);
        }
    }
}
