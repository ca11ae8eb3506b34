//! Crashes and failures at every write operation.

use mulberry_consensus::{DurableState, MemberId, Writes};
use mulberry_log::{DataFolder, LogError};
use proptest::prelude::*;

use crate::common::{Call, Model as _, Step, cases, entry, open, steps};
use crate::fake_disk::{FakeDisk, Fault};

/// How far a sequence came.
#[derive(Debug, Default)]
struct Progress {
    /// States that a recovery may find; one without a fault.
    legal: Vec<DurableState>,

    /// Id of the replica, once the folder has been opened.
    member: Option<MemberId>,

    is_failed: bool,
}

impl Progress {
    /// Opens the folder and checks what it holds. `None` if the planned fault came first.
    fn open(&mut self, disk: &FakeDisk) -> Result<Option<DataFolder>, TestCaseError> {
        match open(disk) {
            Ok((folder, state)) => {
                let found = self.legal.iter().position(|legal| *legal == state);
                prop_assert!(found.is_some(), "found {:?}, legal {:?}", state, self.legal);
                self.legal = vec![state];
                let member = *self.member.get_or_insert(folder.member_id());
                prop_assert_eq!(member, folder.member_id());
                Ok(Some(folder))
            }
            Err(LogError::Write { .. }) => {
                self.is_failed = true;
                Ok(None)
            }
            Err(error) => Err(TestCaseError::fail(format!("refused: {error}"))),
        }
    }

    /// Runs the steps until the planned fault.
    fn run(&mut self, disk: &FakeDisk, steps: &[Step]) -> Result<(), TestCaseError> {
        self.legal = vec![DurableState::default()];
        let Some(mut folder) = self.open(disk)? else { return Ok(()) };
        for step in steps {
            let call = self.legal[0].call(step);
            let states = self.legal[0].states(&call);
            let result = match &call {
                Call::Write(writes) => folder.write(writes),
                Call::SaveSnapshot(snapshot) => folder.save_snapshot(snapshot),
                Call::Reopen => {
                    drop(folder);
                    let Some(reopened) = self.open(disk)? else { return Ok(()) };
                    folder = reopened;
                    continue;
                }
            };
            if result.is_err() {
                self.legal = states;
                self.is_failed = true;
                // The disk may work again, but pages may be lost: nothing more is acknowledged.
                disk.restart();
                let again = folder.write(&Writes::default());
                prop_assert!(matches!(again, Err(LogError::Unusable { .. })), "{:?}", again);
                return Ok(());
            }
            self.legal = states.into_iter().next_back().into_iter().collect();
        }
        Ok(())
    }
}

/// Runs the steps with a fault after `operations` write operations, recovers, and checks that what the
/// recovery returned is durable and can be continued. Returns whether the fault happened.
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
    // A crash of the machine; after an error the process may also start again by itself.
    let restart = || if fault == Fault::Crash { disk.lose_power() } else { disk.restart() };
    restart();
    // The recovery is interrupted as well, at another operation in each case.
    disk.plan_fault(seed % 12, fault);
    drop(progress.open(&disk)?);
    restart();
    for _ in 0..2 {
        prop_assert!(progress.open(&disk)?.is_some(), "the recovery failed without a fault");
        disk.lose_power();
    }
    let Some(mut folder) = progress.open(&disk)? else { return Ok(is_failed) };
    let next = progress.legal[0].last() + 1;
    let writes = Writes { entries: vec![entry(next, 1_000, 10)], ..Writes::default() };
    folder.write(&writes).expect("no fault is planned");
    progress.legal = progress.legal[0].states(&Call::Write(writes)).split_off(1);
    drop(folder);
    disk.lose_power();
    progress.open(&disk)?;
    Ok(is_failed)
}

fn check_every_operation(steps: &[Step], fault: Fault, seed: u64) -> Result<(), TestCaseError> {
    let disk = FakeDisk::new(seed);
    let mut progress = Progress::default();
    progress.run(&disk, steps)?;
    let operations = disk.operations();
    let mut failures = 0;
    for operation in 0..operations {
        let is_failed = check_fault(steps, (operation, fault), seed.wrapping_add(operation))?;
        failures += u64::from(is_failed);
    }
    // Each crash must have happened, else the test would check nothing.
    prop_assert!(fault != Fault::Crash || failures == operations);
    prop_assert!(failures > 0);
    Ok(())
}

proptest! {
    #![proptest_config(cases(96))]

    /// Guards against an acknowledged write that a crash loses, tears or mixes up: a missing sync of a
    /// file or of the folder, a torn tail taken for a record or for damage.
    #[test]
    fn crash_loses_nothing_acknowledged(steps in steps(), seed in any::<u64>()) {
        check_every_operation(&steps, Fault::Crash, seed)?;
    }

    /// Guards against writes that are acknowledged after a full disk has torn an earlier one.
    #[test]
    fn full_disk_loses_nothing_acknowledged(steps in steps(), seed in any::<u64>()) {
        check_every_operation(&steps, Fault::Full, seed)?;
    }

    /// Guards against writes that are acknowledged, or recovered only from the page cache, after a
    /// failed sync has dropped pages.
    #[test]
    fn failed_sync_loses_nothing_acknowledged(steps in steps(), seed in any::<u64>()) {
        check_every_operation(&steps, Fault::LostSync, seed)?;
    }
}
