//! Linearizable reads: confirms leadership by a heartbeat round, as ReadIndex does.

use super::{Raft, RoleState};
use crate::NotLeader;

/// Outcome of a call of `confirm_leadership`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// This replica was still the leader after the call. A state machine that has applied `commit_index` contains every
    /// command that was acknowledged before the call.
    Confirmed { context: u64, commit_index: u64 },

    /// Leadership was lost before it could be confirmed.
    Lost { context: u64 },
}

/// A call of `confirm_leadership` that has no outcome yet.
#[derive(Debug)]
pub(super) struct PendingRead {
    context: u64,

    /// Heartbeat round to which a majority must reply.
    round: u64,
}

impl Raft {
    /// Requests confirmation that this replica is the leader. `take_confirmations` returns the outcome with the same
    /// `context` once a majority has replied to a heartbeat round that starts after this call, or leadership is lost.
    ///
    /// # Errors
    /// The replica is not the leader.
    pub fn confirm_leadership(&mut self, context: u64) -> Result<(), NotLeader> {
        let RoleState::Leader(leader) = &mut self.role else {
            return Err(NotLeader { leader: self.leader });
        };
        leader.reads.push(PendingRead { context, round: leader.round + 1 });
        self.confirm_reads();
        Ok(())
    }

    /// Takes the outcomes of earlier calls of `confirm_leadership`.
    pub fn take_confirmations(&mut self) -> Vec<Confirmation> {
        std::mem::take(&mut self.confirmations)
    }

    /// Starts one heartbeat round for all reads requested since the last round.
    pub(super) fn start_read_round(&mut self) {
        let RoleState::Leader(leader) = &mut self.role else { return };
        if leader.reads.last().is_some_and(|read| read.round > leader.round) {
            leader.round += 1;
            self.send_heartbeats();
        }
    }

    pub(super) fn confirm_reads(&mut self) {
        let RoleState::Leader(leader) = &self.role else { return };
        // Until the no-op entry commits, the commit index may lag behind entries committed by an earlier leader.
        if leader.reads.is_empty() || self.commit_index < leader.noop_index {
            return;
        }
        // The leader has no progress of its own and always counts towards the majority.
        let round = self
            .members()
            .majority_value(|voter| leader.progress.get(&voter).map_or(u64::MAX, |p| p.round));
        let commit_index = self.commit_index;
        let RoleState::Leader(leader) = &mut self.role else { return };
        let confirmed = leader.reads.partition_point(|read| read.round <= round);
        self.confirmations.extend(
            leader
                .reads
                .drain(..confirmed)
                .map(|read| Confirmation::Confirmed { context: read.context, commit_index }),
        );
    }

    pub(super) fn fail_reads(&mut self, reads: Vec<PendingRead>) {
        let lost = reads.into_iter().map(|read| Confirmation::Lost { context: read.context });
        self.confirmations.extend(lost);
    }
}
