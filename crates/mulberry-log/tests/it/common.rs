//! Random sequences of writes, and a model of the state they must produce.

use mulberry_consensus::{
    DurableState, Entry, HardState, MemberId, Members, Payload, Snapshot, Writes,
};
use mulberry_log::{DataFolder, LogError, LogSettings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fake_disk::FakeDisk;

/// Configuration of the property tests. The seed is fixed so that results are reproducible.
pub fn cases(default: u32) -> ProptestConfig {
    let cases = std::env::var("MULBERRY_CASES").ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(default),
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        max_shrink_iters: 512,
        ..ProptestConfig::default()
    }
}

/// Settings with segments so small that random sequences fill several.
pub fn small_settings() -> LogSettings {
    LogSettings { segment_bytes: 400, ..LogSettings::default() }
}

pub fn open(disk: &FakeDisk) -> Result<(DataFolder, DurableState), LogError> {
    DataFolder::open_with_disk(disk.handle(), small_settings())
}

pub fn entry(index: u64, term: u64, bytes: usize) -> Entry {
    Entry { index, term, payload: Payload::Command(vec![index as u8; bytes]) }
}

/// One step of a random sequence. Its numbers are relative to the state of the log before the step.
#[derive(Debug, Clone)]
pub enum Step {
    Append {
        count: u64,
        bytes: usize,
        votes: bool,
    },

    /// Replaces the last entries with entries of a new term.
    Replace {
        back: u64,
        count: u64,
    },

    /// Saves a snapshot of the state machine, `back` entries before the end of the log.
    Compact {
        back: u64,
    },

    /// Installs a snapshot from another replica. Its term is that of the log at its index, or another.
    Install {
        ahead: u64,
        is_same_term: bool,
        count: u64,
        bytes: usize,
    },

    Reopen,
}

/// A call on the data folder.
#[derive(Debug, Clone)]
pub enum Call {
    Write(Writes),
    SaveSnapshot(Snapshot),
    Reopen,
}

pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0u64..5, 0usize..120, any::<bool>())
            .prop_map(|(count, bytes, votes)| Step::Append { count, bytes, votes }),
        2 => (1u64..6, 0u64..3).prop_map(|(back, count)| Step::Replace { back, count }),
        2 => (0u64..4).prop_map(|back| Step::Compact { back }),
        1 => (1u64..8, any::<bool>(), 0u64..3, 0usize..300).prop_map(
            |(ahead, is_same_term, count, bytes)| Step::Install {
                ahead, is_same_term, count, bytes
            }
        ),
        1 => Just(Step::Reopen),
    ];
    prop::collection::vec(step, 1..14)
}

/// Model of the folder's contents, written from the design and independent of the implementation.
pub trait Model {
    fn base(&self) -> u64;
    fn last(&self) -> u64;
    fn term_at(&self, index: u64) -> Option<u64>;
    fn call(&self, step: &Step) -> Call;

    /// States that are allowed if a call is interrupted. The last one is the state after the call.
    fn states(&self, call: &Call) -> Vec<DurableState>;
}

impl Model for DurableState {
    fn base(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        self.entries.iter().find(|entry| entry.index == index).map(|entry| entry.term)
    }

    fn call(&self, step: &Step) -> Call {
        let term = self.hard_state.term.max(1);
        let new_term = HardState { term: term + 1, voted_for: Some(MemberId(term)) };
        let entries = |first: u64, term: u64, count: u64, bytes: usize| {
            (first..first + count).map(|index| entry(index, term, bytes)).collect()
        };
        match *step {
            Step::Append { count, bytes, votes } => {
                let hard_state = votes.then_some(new_term);
                let entries = entries(self.last() + 1, term, count, bytes);
                Call::Write(Writes { hard_state, entries, ..Writes::default() })
            }
            Step::Replace { back, count } => {
                let from = (self.last() + 1).saturating_sub(back).max(self.base() + 1);
                Call::Write(Writes {
                    entries: entries(from, new_term.term, count, 20),
                    hard_state: Some(new_term),
                    truncate_from: Some(from),
                    ..Writes::default()
                })
            }
            Step::Compact { back } => {
                let index = self.last().saturating_sub(back);
                let term = self.term_at(index).unwrap_or(0);
                Call::SaveSnapshot(snapshot(index, term, 30))
            }
            Step::Install { ahead, is_same_term, count, bytes } => {
                let index = self.base() + ahead;
                let term = self.term_at(index).filter(|_| is_same_term).unwrap_or(new_term.term);
                let log_continues = self.term_at(index) == Some(term);
                let first = if log_continues { self.last() } else { index } + 1;
                Call::Write(Writes {
                    entries: entries(first, new_term.term, count, 20),
                    hard_state: Some(new_term),
                    snapshot: Some(snapshot(index, term, bytes)),
                    // The truncation that the snapshot implies may be stated explicitly or left out.
                    truncate_from: (!log_continues && count % 2 == 0).then_some(index + 1),
                })
            }
            Step::Reopen => Call::Reopen,
        }
    }

    fn states(&self, call: &Call) -> Vec<DurableState> {
        let mut states = vec![self.clone()];
        let mut state = self.clone();
        match call {
            Call::Reopen => {}
            Call::SaveSnapshot(snapshot) => {
                apply_snapshot(&mut state, snapshot);
                states.push(state);
            }
            Call::Write(writes) => {
                state.hard_state = writes.hard_state.unwrap_or(state.hard_state);
                if let Some(snapshot) = &writes.snapshot {
                    states.push(state.clone());
                    apply_snapshot(&mut state, snapshot);
                    states.push(state.clone());
                }
                if let Some(from) = writes.truncate_from {
                    state.entries.retain(|entry| entry.index < from);
                }
                state.entries.extend(writes.entries.iter().cloned());
                states.push(state);
            }
        }
        states
    }
}

fn apply_snapshot(state: &mut DurableState, snapshot: &Snapshot) {
    if snapshot.index <= state.base() {
        return;
    }
    let continues = state.term_at(snapshot.index) == Some(snapshot.term);
    state.entries.retain(|entry| continues && entry.index > snapshot.index);
    state.snapshot = Some(snapshot.clone());
}

fn snapshot(index: u64, term: u64, bytes: usize) -> Snapshot {
    let members = Members { voters: vec![MemberId(1), MemberId(2)], learners: vec![MemberId(3)] };
    Snapshot { index, term, members, data: vec![index as u8; bytes] }
}
