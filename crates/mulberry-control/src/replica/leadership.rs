//! Gaining, using and losing leadership.

use std::collections::HashMap;

use mulberry_consensus::{Confirmation, MemberId, Role};
use mulberry_peers::{ConnectionId, Responder};
use mulberry_state::Command;
use mulberry_types::{ControlPortReply, ControlReply, Incarnation, NodeId, Renew};

use super::{Replica, Waiter, reply_to};
use crate::lease_table::LeaseTable;
use crate::replica_input::{OperatorCallError, OperatorRead, OperatorReadResult, OperatorReply};

/// Shortest time between two leadership confirmations. Renewals that come in between share the next
/// round, which bounds the rounds at 100 a second however many entries renew; 10 ms of a lease of
/// 3,000 ms is no loss.
const ROUND_MS: u64 = 10;

/// Time between two removals of old claims.
const EXPIRE_CLAIMS_MS: u64 = 10_000;

/// What a leader keeps in memory.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) term: u64,
    pub(super) leases: LeaseTable,

    /// Renewals and reads for the next round.
    pub(super) waiting: Vec<PendingRenewal>,
    pub(super) waiting_reads: Vec<PendingRead>,

    /// Renewals that wait for the join of their entry.
    pub(super) joining: HashMap<(NodeId, Incarnation), Vec<PendingRenewal>>,

    /// Renewals of members whose removal is proposed.
    pub(super) held: Vec<PendingRenewal>,

    /// Rounds that are not confirmed yet, by context.
    rounds: HashMap<u64, Round>,

    /// Confirmed rounds whose commit index is not applied yet.
    confirmed: Vec<(u64, Round)>,

    round_due_ms: u64,
    expire_claims_due_ms: u64,
}

/// Renewals and reads that share a confirmation of leadership.
#[derive(Debug, Default)]
struct Round {
    renewals: Vec<PendingRenewal>,
    reads: Vec<PendingRead>,
}

/// A renewal that is not answered yet.
#[derive(Debug)]
pub(super) struct PendingRenewal {
    pub(super) renew: Renew,
    pub(super) connection: ConnectionId,
    pub(super) responder: Responder<ControlPortReply>,
}

/// An operator's read that is not answered yet.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) what: OperatorRead,
    pub(super) reply: OperatorReply<OperatorReadResult>,
}

impl Leadership {
    fn new(term: u64, now_ms: u64) -> Leadership {
        Leadership {
            term,
            leases: LeaseTable::new(now_ms),
            waiting: Vec::new(),
            waiting_reads: Vec::new(),
            joining: HashMap::new(),
            held: Vec::new(),
            rounds: HashMap::new(),
            confirmed: Vec::new(),
            round_due_ms: now_ms,
            expire_claims_due_ms: now_ms + EXPIRE_CLAIMS_MS,
        }
    }

    /// When the next confirmation is due; never if nothing waits for one.
    pub(super) fn next_round_ms(&self) -> u64 {
        if self.waiting.is_empty() && self.waiting_reads.is_empty() {
            u64::MAX
        } else {
            self.round_due_ms
        }
    }

    /// Ends everything that waits, in no order.
    fn into_waiting(self) -> (Vec<PendingRenewal>, Vec<PendingRead>) {
        let mut renewals = self.waiting;
        let mut reads = self.waiting_reads;
        renewals.extend(self.joining.into_values().flatten());
        renewals.extend(self.held);
        let confirmed = self.confirmed.into_iter().map(|(_, round)| round);
        for round in self.rounds.into_values().chain(confirmed) {
            renewals.extend(round.renewals);
            reads.extend(round.reads);
        }
        (renewals, reads)
    }
}

impl Replica {
    /// Notices that leadership was gained or lost.
    pub(super) fn follow_role(&mut self, now_ms: u64) {
        let term = self.raft.term();
        let leads = self.raft.role() == Role::Leader;
        if self.leadership.as_ref().is_some_and(|leadership| !leads || leadership.term != term) {
            self.lose_leadership("stepped_down");
        }
        if leads && self.leadership.is_none() {
            tracing::info!(event = "became_leader", term);
            self.leadership = Some(Leadership::new(term, now_ms));
            self.status_due_ms = 0;
        }
    }

    /// Answers all that wait. Their commands may still be committed by the next leader; a resend with
    /// the same id gets the first result.
    pub(super) fn lose_leadership(&mut self, cause: &str) {
        let Some(leadership) = self.leadership.take() else { return };
        tracing::info!(event = "leadership_lost", cause, term = leadership.term);
        self.status_due_ms = 0;
        self.metrics.settled_epoch.set(0);
        self.connections.clear();
        let (renewals, reads) = leadership.into_waiting();
        for renewal in renewals {
            let reply = self.elsewhere();
            reply_to(renewal.responder, reply);
        }
        for read in reads {
            let _ = read.reply.send(Err(self.operator_elsewhere()));
        }
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            self.answer_replaced(proposal.waiter);
        }
    }

    /// What an entry is told that asks an instance which does not lead.
    pub(super) fn elsewhere(&self) -> ControlReply {
        if let Some(reason) = &self.failure {
            return ControlReply::Unavailable { reason: reason.clone() };
        }
        let leader = self.raft.leader().filter(|leader| *leader != self.raft.id());
        ControlReply::Redirect {
            leader: leader.and_then(|leader| self.directory.address_of(leader)),
        }
    }

    pub(super) fn operator_elsewhere(&self) -> OperatorCallError {
        match &self.failure {
            Some(reason) => OperatorCallError::Unavailable { reason: reason.clone() },
            None => OperatorCallError::NotLeader {
                leader: self.raft.leader().filter(|leader| *leader != self.raft.id()),
            },
        }
    }

    /// The leader's own work of a round: removals, confirmations, and the transfer of a planned stop.
    pub(super) fn lead(&mut self, now_ms: u64) {
        let Some(leadership) = &mut self.leadership else { return };
        let expired = leadership.leases.take_expired(self.state.membership(), now_ms);
        let expire_claims = now_ms >= leadership.expire_claims_due_ms;
        if expire_claims {
            leadership.expire_claims_due_ms = now_ms + EXPIRE_CLAIMS_MS;
        }
        for (node, incarnation) in expired {
            let command = Command::Expire { now_ms: self.wall_ms(), node, incarnation };
            if self.propose(&command, Waiter::Nobody).is_ok() {
                tracing::info!(event = "lease_expired", %node, incarnation = incarnation.0);
            } else if let Some(leadership) = &mut self.leadership {
                leadership.leases.cancel_expiry(node, incarnation);
            }
        }
        let counts = self.state.claim_counts();
        if expire_claims && counts.claims + counts.tombstones > 0 {
            self.propose_expire_claims();
        }
        self.start_confirmation(now_ms);
        self.continue_stop();
    }

    pub(super) fn propose_expire_claims(&mut self) {
        let command = Command::ExpireClaims { now_ms: self.wall_ms() };
        // Without leadership the next leader does it.
        let _ = self.propose(&command, Waiter::Nobody);
    }

    fn start_confirmation(&mut self, now_ms: u64) {
        let Some(leadership) = &mut self.leadership else { return };
        if now_ms < leadership.next_round_ms() {
            return;
        }
        leadership.round_due_ms = now_ms + ROUND_MS;
        let round = Round {
            renewals: std::mem::take(&mut leadership.waiting),
            reads: std::mem::take(&mut leadership.waiting_reads),
        };
        // Unique also between two times of leading, so that a late answer matches nothing.
        let context = rand::random();
        leadership.rounds.insert(context, round);
        self.metrics.confirmation_rounds.inc();
        // Not leading any more shows at the next look at the role.
        let _ = self.raft.confirm_leadership(context);
    }

    /// Answers the rounds that are confirmed and applied.
    pub(super) fn answer_confirmed(&mut self, now_ms: u64) {
        let confirmations = self.raft.take_confirmations();
        let Some(leadership) = &mut self.leadership else { return };
        for confirmation in confirmations {
            let Confirmation::Confirmed { context, commit_index } = confirmation else { continue };
            if let Some(round) = leadership.rounds.remove(&context) {
                leadership.confirmed.push((commit_index, round));
            }
        }
        let applied_index = self.applied_index;
        let (ready, later): (Vec<_>, Vec<_>) = std::mem::take(&mut leadership.confirmed)
            .into_iter()
            .partition(|(commit_index, _)| *commit_index <= applied_index);
        leadership.confirmed = later;
        if ready.is_empty() {
            return;
        }
        let settled = leadership.leases.settled(self.state.membership(), now_ms);
        for (_, round) in ready {
            for read in &round.reads {
                self.answer_read(read);
            }
            for renewal in round.renewals {
                self.answer_renewal(renewal, settled);
            }
        }
    }

    /// Best member to hand leadership to.
    pub(super) fn transfer_candidate(&self) -> Option<MemberId> {
        let candidates = self.raft.progress().into_iter().filter(|progress| {
            progress.is_voter && progress.recently_active && progress.member != self.raft.id()
        });
        candidates.max_by_key(|progress| progress.match_index).map(|progress| progress.member)
    }

    fn continue_stop(&mut self) {
        if self.stop_deadline_ms.is_none() || self.raft.transferee().is_some() {
            return;
        }
        if let Some(to) = self.transfer_candidate() {
            tracing::info!(event = "leadership_transfer_begun", %to);
            // Not leading any more is what this is about.
            let _ = self.raft.transfer_leadership(to);
        }
    }
}
