//! Crashes and disk failures at every write operation.

use mulberry_consensus::{DurableState, MemberId, Writes};
use mulberry_log::{DataFolder, LogError};
use proptest::prelude::*;

use crate::common::{Call, Model as _, Step, cases, entry, open, steps};
use crate::fake_disk::{FakeDisk, Fault};

/// A write at the end of the steps, for checks in which a write must fail.
const LAST_STEP: Step = Step::Append { count: 1, bytes: 10, votes: false };

/// Progress of one sequence of steps.
#[derive(Debug, Default)]
struct Progress {
    /// States that a recovery may return. Only one state is allowed while no fault has occurred.
    allowed_states: Vec<DurableState>,

    /// Id of the replica, set when the folder is first opened.
    member: Option<MemberId>,

    is_failed: bool,
}

impl Progress {
    /// Opens the folder and checks its state. Returns `None` if the planned fault prevented this.
    fn open(&mut self, disk: &FakeDisk) -> Result<Option<DataFolder>, TestCaseError> {
        match open(disk) {
            Ok((folder, state)) => {
                self.check_state(state)?;
                let member = *self.member.get_or_insert(folder.member_id());
                prop_assert_eq!(member, folder.member_id());
                Ok(Some(folder))
            }
            Err(LogError::Write { .. }) => {
                self.is_failed = true;
                Ok(None)
            }
            Err(error) => Err(TestCaseError::fail(format!("opening the folder failed: {error}"))),
        }
    }

    fn check_state(&mut self, state: DurableState) -> Result<(), TestCaseError> {
        let is_allowed = self.allowed_states.contains(&state);
        prop_assert!(is_allowed, "found {:?}, allowed {:?}", state, self.allowed_states);
        self.allowed_states = vec![state];
        Ok(())
    }

    /// Runs the steps until the planned fault. Returns the folder if a write has failed.
    fn run(
        &mut self,
        disk: &FakeDisk,
        steps: &[Step],
    ) -> Result<Option<DataFolder>, TestCaseError> {
        self.allowed_states = vec![DurableState::default()];
        let Some(mut folder) = self.open(disk)? else { return Ok(None) };
        for step in steps {
            let call = self.allowed_states[0].call(step);
            let states = self.allowed_states[0].states(&call);
            let result = match &call {
                Call::Write(writes) => folder.write(writes),
                Call::SaveSnapshot(snapshot) => folder.save_snapshot(snapshot),
                Call::Reopen => {
                    drop(folder);
                    let Some(reopened) = self.open(disk)? else { return Ok(None) };
                    folder = reopened;
                    continue;
                }
            };
            if result.is_err() {
                self.allowed_states = states;
                self.is_failed = true;
                // Even if the disk works again, pages may be lost, so further writes must fail.
                disk.restart();
                let again = folder.write(&Writes::default());
                prop_assert!(matches!(again, Err(LogError::Unusable { .. })), "{:?}", again);
                return Ok(Some(folder));
            }
            self.allowed_states = states.into_iter().next_back().into_iter().collect();
        }
        Ok(None)
    }

    /// Writes an entry after the recovered state, and checks that it is durable.
    fn extend(&mut self, mut folder: DataFolder, disk: &FakeDisk) -> Result<(), TestCaseError> {
        let next = self.allowed_states[0].last() + 1;
        let writes = Writes { entries: vec![entry(next, 1_000, 10)], ..Writes::default() };
        folder.write(&writes).expect("no fault is planned");
        self.allowed_states = self.allowed_states[0].states(&Call::Write(writes)).split_off(1);
        drop(folder);
        disk.lose_power();
        self.open(disk)?;
        Ok(())
    }
}

/// Runs the steps with a fault after `operations` write operations, recovers, and checks that the
/// recovered state is durable and can be extended. Returns whether the fault occurred.
fn check_fault(
    steps: &[Step],
    (operations, fault): (u64, Fault),
    seed: u64,
) -> Result<bool, TestCaseError> {
    let disk = FakeDisk::new(seed);
    disk.plan_fault(operations, fault);
    let mut progress = Progress::default();
    progress.run(&disk, steps)?;
    let is_failed = std::mem::take(&mut progress.is_failed);
    // A planned crash takes down the machine; after a disk error only the process restarts.
    let restart = || if fault == Fault::Crash { disk.lose_power() } else { disk.restart() };
    restart();
    // The recovery is interrupted as well, at an operation that depends on the seed.
    disk.plan_fault(seed % 12, fault);
    drop(progress.open(&disk)?);
    restart();
    for _ in 0..2 {
        prop_assert!(progress.open(&disk)?.is_some(), "the recovery failed without a fault");
        disk.lose_power();
    }
    let Some(folder) = progress.open(&disk)? else { return Ok(is_failed) };
    progress.extend(folder, &disk)?;
    Ok(is_failed)
}

/// Like [`check_fault`], but the folder is opened again without a restart, on a disk that fails some more times.
fn check_reopening(
    steps: &[Step],
    (operations, fault): (u64, Fault),
    seed: u64,
) -> Result<bool, TestCaseError> {
    let disk = FakeDisk::new(seed);
    disk.plan_fault(operations, fault);
    let mut progress = Progress::default();
    let Some(mut folder) = progress.run(&disk, steps)? else { return Ok(false) };
    for attempt in 0..3 {
        disk.plan_fault((seed >> attempt) % 12, fault);
        match folder.reopen() {
            Ok(state) => progress.check_state(state)?,
            Err(LogError::Write { .. }) => {
                let again = folder.write(&Writes::default());
                prop_assert!(matches!(again, Err(LogError::Unusable { .. })), "{:?}", again);
            }
            Err(error) => return Err(TestCaseError::fail(error.to_string())),
        }
        disk.restart();
    }
    let state = folder.reopen().expect("no fault is planned");
    progress.check_state(state)?;
    prop_assert_eq!(progress.member, Some(folder.member_id()));
    progress.extend(folder, &disk)?;
    Ok(true)
}

/// Check of steps with a fault after a number of write operations. Returns whether the fault occurred.
type Check = fn(&[Step], (u64, Fault), u64) -> Result<bool, TestCaseError>;

/// Runs a check with a fault at each operation of the steps.
fn check_every_operation(
    steps: &[Step],
    fault: Fault,
    seed: u64,
    check: Check,
) -> Result<(), TestCaseError> {
    let disk = FakeDisk::new(seed);
    let mut progress = Progress::default();
    progress.run(&disk, steps)?;
    let operations = disk.operations();
    let mut failures = 0;
    for operation in 0..operations {
        let is_failed = check(steps, (operation, fault), seed.wrapping_add(operation))?;
        failures += u64::from(is_failed);
    }
    // Without these checks, the test would pass even if no fault occurred.
    prop_assert!(fault != Fault::Crash || failures == operations);
    prop_assert!(failures > 0);
    Ok(())
}

proptest! {
    #![proptest_config(cases(96))]

    /// Guards against acknowledged writes that a crash loses, tears or reorders, because a sync of a file
    /// or the folder is missing, or a torn tail is taken for a record or for corruption.
    #[test]
    fn crash_loses_no_acknowledged_write(steps in steps(), seed in any::<u64>()) {
        check_every_operation(&steps, Fault::Crash, seed, check_fault)?;
    }

    /// Guards against acknowledging writes after a full disk has torn an earlier write.
    #[test]
    fn full_disk_loses_no_acknowledged_write(steps in steps(), seed in any::<u64>()) {
        check_every_operation(&steps, Fault::Full, seed, check_fault)?;
    }

    /// Guards against acknowledging writes after a failed sync has dropped pages, and against recovering
    /// data that exists only in the page cache.
    #[test]
    fn failed_sync_loses_no_acknowledged_write(steps in steps(), seed in any::<u64>()) {
        check_every_operation(&steps, Fault::LostSync, seed, check_fault)?;
    }

    /// Guards against a folder that loses a write, or cannot be opened again, after the disk was full for a while.
    #[test]
    fn full_disk_needs_no_restart(steps in steps(), seed in any::<u64>()) {
        let steps = [steps, vec![LAST_STEP]].concat();
        check_every_operation(&steps, Fault::Full, seed, check_reopening)?;
    }

    /// Guards against recovering data that exists only in the page cache without a restart.
    #[test]
    fn failed_sync_needs_no_restart(steps in steps(), seed in any::<u64>()) {
        let steps = [steps, vec![LAST_STEP]].concat();
        check_every_operation(&steps, Fault::LostSync, seed, check_reopening)?;
    }
}
