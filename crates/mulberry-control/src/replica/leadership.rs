//! Leader state and tasks: lease confirmation rounds, expiry and leadership transfer.

use std::collections::HashMap;

use mulberry_consensus::{Confirmation, MemberId, Role};
use mulberry_peers::{ConnectionId, Responder};
use mulberry_state::Command;
use mulberry_types::{ControlPortReply, ControlReply, Incarnation, NodeId, Renew};

use super::{Replica, Waiter, reply_to};
use crate::lease_table::LeaseTable;
use crate::replica_input::{OperatorCallError, OperatorQuery, OperatorQueryResult, OperatorReply};

/// Minimum interval between two leadership confirmations. Renewals received in between share the next
/// round, which limits the rate to 100 rounds per second regardless of the number of entries. The added
/// 10 ms are negligible against the 3,000 ms lease.
const MIN_CONFIRMATION_INTERVAL_MS: u64 = 10;

/// Interval between two removals of expired claims.
const CLAIM_EXPIRY_INTERVAL_MS: u64 = 10_000;

/// In-memory state of a leader for one term.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) term: u64,
    pub(super) leases: LeaseTable,

    /// Renewals and reads for the next confirmation round.
    pub(super) pending_renewals: Vec<PendingRenewal>,
    pub(super) pending_reads: Vec<PendingRead>,

    /// Renewals that wait until their entry has joined.
    pub(super) renewals_awaiting_join: HashMap<(NodeId, Incarnation), Vec<PendingRenewal>>,

    /// Renewals of members whose removal has been proposed.
    pub(super) renewals_awaiting_removal: Vec<PendingRenewal>,

    /// Rounds that are not confirmed yet, by confirmation context.
    unconfirmed_rounds: HashMap<u64, ConfirmationRound>,

    /// Confirmed rounds whose commit index has not been applied yet.
    confirmed_rounds: Vec<(u64, ConfirmationRound)>,

    confirmation_due_ms: u64,
    expire_claims_due_ms: u64,
}

/// Renewals and reads that share one leadership confirmation.
#[derive(Debug, Default)]
struct ConfirmationRound {
    renewals: Vec<PendingRenewal>,
    reads: Vec<PendingRead>,
}

/// A renewal without a reply yet.
#[derive(Debug)]
pub(super) struct PendingRenewal {
    pub(super) renew: Renew,
    pub(super) connection: ConnectionId,
    pub(super) responder: Responder<ControlPortReply>,
}

/// An operator's read without a reply yet.
#[derive(Debug)]
pub(super) struct PendingRead {
    pub(super) query: OperatorQuery,
    pub(super) reply: OperatorReply<OperatorQueryResult>,
}

impl Leadership {
    fn new(term: u64, now_ms: u64) -> Leadership {
        Leadership {
            term,
            leases: LeaseTable::new(now_ms),
            pending_renewals: Vec::new(),
            pending_reads: Vec::new(),
            renewals_awaiting_join: HashMap::new(),
            renewals_awaiting_removal: Vec::new(),
            unconfirmed_rounds: HashMap::new(),
            confirmed_rounds: Vec::new(),
            confirmation_due_ms: now_ms,
            expire_claims_due_ms: now_ms + CLAIM_EXPIRY_INTERVAL_MS,
        }
    }

    /// Time at which the next confirmation is due, or `u64::MAX` if nothing is pending.
    pub(super) fn next_confirmation_ms(&self) -> u64 {
        if self.pending_renewals.is_empty() && self.pending_reads.is_empty() {
            u64::MAX
        } else {
            self.confirmation_due_ms
        }
    }

    /// Returns all pending renewals and reads, in no particular order.
    fn into_pending(self) -> (Vec<PendingRenewal>, Vec<PendingRead>) {
        let mut renewals = self.pending_renewals;
        let mut reads = self.pending_reads;
        renewals.extend(self.renewals_awaiting_join.into_values().flatten());
        renewals.extend(self.renewals_awaiting_removal);
        let confirmed = self.confirmed_rounds.into_iter().map(|(_, round)| round);
        for round in self.unconfirmed_rounds.into_values().chain(confirmed) {
            renewals.extend(round.renewals);
            reads.extend(round.reads);
        }
        (renewals, reads)
    }
}

impl Replica {
    /// Creates or drops the leader state after a change of the Raft role or term.
    pub(super) fn update_leadership(&mut self, now_ms: u64) {
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

    /// Drops the leader state and replies to all pending requests. The next leader may still commit their
    /// commands; a retry with the same id gets the original result.
    pub(super) fn lose_leadership(&mut self, cause: &str) {
        let Some(leadership) = self.leadership.take() else { return };
        tracing::info!(event = "leadership_lost", cause, term = leadership.term);
        self.status_due_ms = 0;
        self.metrics.settled_epoch.set(0);
        self.connections.clear();
        let (renewals, reads) = leadership.into_pending();
        for renewal in renewals {
            let reply = self.not_serving_reply();
            reply_to(renewal.responder, reply);
        }
        for read in reads {
            let _ = read.reply.send(Err(self.not_serving_error()));
        }
        for (_, proposal) in std::mem::take(&mut self.proposals) {
            self.reply_to_replaced(proposal.waiter);
        }
    }

    /// Reply to an entry when this instance has failed or does not lead.
    pub(super) fn not_serving_reply(&self) -> ControlReply {
        if let Some(reason) = &self.failure {
            return ControlReply::Unavailable { reason: reason.clone() };
        }
        let leader = self.raft.leader().filter(|leader| *leader != self.raft.id());
        ControlReply::Redirect {
            leader: leader.and_then(|leader| self.directory.address_of(leader)),
        }
    }

    /// Error for an operator call when this instance has failed or does not lead.
    pub(super) fn not_serving_error(&self) -> OperatorCallError {
        match &self.failure {
            Some(reason) => OperatorCallError::Unavailable { reason: reason.clone() },
            None => OperatorCallError::NotLeader {
                leader: self.raft.leader().filter(|leader| *leader != self.raft.id()),
            },
        }
    }

    /// Runs the leader's tasks of a round: expires leases and claims, starts a confirmation round, and
    /// transfers leadership during a graceful shutdown.
    pub(super) fn run_leader_tasks(&mut self, now_ms: u64) {
        let Some(leadership) = &mut self.leadership else { return };
        let expired = leadership.leases.take_expired(self.state.membership(), now_ms);
        let expire_claims = now_ms >= leadership.expire_claims_due_ms;
        if expire_claims {
            leadership.expire_claims_due_ms = now_ms + CLAIM_EXPIRY_INTERVAL_MS;
        }
        for (node, incarnation) in expired {
            let command = Command::Expire { now_ms: self.wall_ms(), node, incarnation };
            if self.propose(&command, Waiter::None).is_ok() {
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
        self.transfer_on_stop();
    }

    pub(super) fn propose_expire_claims(&mut self) {
        let command = Command::ExpireClaims { now_ms: self.wall_ms() };
        // If leadership is lost, the next leader proposes it.
        let _ = self.propose(&command, Waiter::None);
    }

    fn start_confirmation(&mut self, now_ms: u64) {
        let Some(leadership) = &mut self.leadership else { return };
        if now_ms < leadership.next_confirmation_ms() {
            return;
        }
        leadership.confirmation_due_ms = now_ms + MIN_CONFIRMATION_INTERVAL_MS;
        let round = ConfirmationRound {
            renewals: std::mem::take(&mut leadership.pending_renewals),
            reads: std::mem::take(&mut leadership.pending_reads),
        };
        // Random, so that a late confirmation from an earlier term does not match a current round.
        let context = rand::random();
        leadership.unconfirmed_rounds.insert(context, round);
        self.metrics.confirmation_rounds.inc();
        // A loss of leadership is handled by the next `update_leadership`.
        let _ = self.raft.confirm_leadership(context);
    }

    /// Replies to the rounds that are confirmed and whose commit index is applied.
    pub(super) fn reply_to_confirmed_rounds(&mut self, now_ms: u64) {
        let confirmations = self.raft.take_confirmations();
        let Some(leadership) = &mut self.leadership else { return };
        for confirmation in confirmations {
            let Confirmation::Confirmed { context, commit_index } = confirmation else { continue };
            if let Some(round) = leadership.unconfirmed_rounds.remove(&context) {
                leadership.confirmed_rounds.push((commit_index, round));
            }
        }
        let applied_index = self.applied_index;
        let (ready, later): (Vec<_>, Vec<_>) = std::mem::take(&mut leadership.confirmed_rounds)
            .into_iter()
            .partition(|(commit_index, _)| *commit_index <= applied_index);
        leadership.confirmed_rounds = later;
        if ready.is_empty() {
            return;
        }
        let settled = leadership.leases.settled_epochs(self.state.membership(), now_ms);
        for (_, round) in ready {
            for read in &round.reads {
                self.reply_to_read(read);
            }
            for renewal in round.renewals {
                self.reply_to_renewal(renewal, settled);
            }
        }
    }

    /// Active voter other than this one with the most up-to-date log.
    pub(super) fn transfer_candidate(&self) -> Option<MemberId> {
        let candidates = self.raft.progress().into_iter().filter(|progress| {
            progress.is_voter && progress.recently_active && progress.member != self.raft.id()
        });
        candidates.max_by_key(|progress| progress.match_index).map(|progress| progress.member)
    }

    fn transfer_on_stop(&mut self) {
        if self.stop_deadline_ms.is_none() || self.raft.transferee().is_some() {
            return;
        }
        if let Some(to) = self.transfer_candidate() {
            tracing::info!(event = "leadership_transfer_begun", %to);
            // An error means that this replica no longer leads, which is the goal.
            let _ = self.raft.transfer_leadership(to);
        }
    }
}
