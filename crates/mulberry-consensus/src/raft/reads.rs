//! Confirmation of leadership for reads.

use super::{Raft, RoleState};
use crate::NotLeader;

/// Answer to `confirm_leadership`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// This replica led after the call. A state machine that has applied `commit_index` holds everything that was
    /// acknowledged before the call.
    Confirmed { context: u64, commit_index: u64 },

    /// Leadership was lost before the answer.
    Lost { context: u64 },
}

/// A call of `confirm_leadership` without an answer yet.
#[derive(Debug)]
pub(super) struct PendingRead {
    context: u64,

    /// Heartbeat round that a majority must answer.
    round: u64,
}

impl Raft {
    /// Asks for proof that this replica leads. `take_confirmations` returns the answer once a majority has answered a
    /// heartbeat round that starts after this call, or leadership is lost.
    ///
    /// # Errors
    /// The replica does not lead.
    pub fn confirm_leadership(&mut self, context: u64) -> Result<(), NotLeader> {
        let RoleState::Leader(leader) = &mut self.role else {
            return Err(NotLeader { leader: self.leader });
        };
        leader.reads.push(PendingRead { context, round: leader.round + 1 });
        self.answer_reads();
        Ok(())
    }

    /// Takes the answers to `confirm_leadership`.
    pub fn take_confirmations(&mut self) -> Vec<Confirmation> {
        std::mem::take(&mut self.confirmations)
    }

    /// Starts a heartbeat round for all reads that came since the last one.
    pub(super) fn start_read_round(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        if leader.reads.last().is_some_and(|read| read.round > leader.round) {
            leader.round += 1;
            self.send_heartbeats();
        }
    }

    pub(super) fn answer_reads(&mut self) {
        let RoleState::Leader(leader) = &self.role else { return };
        // Before that, an earlier leader may have committed entries that this one does not know to be committed.
        if leader.reads.is_empty() || self.commit_index < leader.first_index {
            return;
        }
        // The leader itself has no progress entry and always counts.
        let round = self
            .members()
            .majority_value(|voter| leader.progress.get(&voter).map_or(u64::MAX, |p| p.round));
        let commit_index = self.commit_index;
        let RoleState::Leader(leader) = &mut self.role else { return };
        let answered = leader.reads.partition_point(|read| read.round <= round);
        self.confirmations.extend(
            leader
                .reads
                .drain(..answered)
                .map(|read| Confirmation::Confirmed { context: read.context, commit_index }),
        );
    }

    pub(super) fn drop_reads(&mut self, reads: Vec<PendingRead>) {
        let lost = reads.into_iter().map(|read| Confirmation::Lost { context: read.context });
        self.confirmations.extend(lost);
    }
}
