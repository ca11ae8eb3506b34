//! Requests of entries: leases, claims and permits.

use mulberry_peers::{ConnectionId, Responder};
use mulberry_state::Command;
use mulberry_types::{ControlPortReply, ControlReply, ControlRequest, Grant, Incarnation, NodeId};

use super::leadership::PendingRenewal;
use super::{Refused, Replica, Waiter, reply_to};
use crate::entry_connections::{Sent, membership_since};
use crate::lease_table::{LEASE_MS, SettledEpochs};

/// Proposals that may wait for their commit; more requests are refused, so that a group without a
/// majority does not collect them without bound.
const MAX_PROPOSALS: usize = 20_000;

/// Renewals that may wait; more than all entries of the design size send in a lease.
const MAX_RENEWALS: usize = 10_000;

impl Replica {
    pub(super) fn accept_entry(
        &mut self,
        request: ControlRequest,
        connection: ConnectionId,
        responder: Responder<ControlPortReply>,
    ) {
        if self.leadership.is_none() {
            reply_to(responder, self.elsewhere());
            return;
        }
        let now_ms = self.wall_ms();
        let command = match request {
            ControlRequest::Renew(renew) => {
                self.accept_renewal(PendingRenewal { renew, connection, responder });
                return;
            }
            ControlRequest::Leave { node, incarnation } => {
                tracing::info!(event = "member_leaves", %node, incarnation = incarnation.0);
                Command::Leave { now_ms, node, incarnation }
            }
            ControlRequest::Claim { key, fingerprint, request } => {
                Command::Claim { now_ms, key, fingerprint, request }
            }
            ControlRequest::FinishClaim { key, request, answer } => {
                Command::FinishClaim { now_ms, key, request, answer }
            }
            ControlRequest::ReleaseClaim { key, request } => {
                Command::ReleaseClaim { now_ms, key, request }
            }
            ControlRequest::AbandonClaim { key, request } => {
                Command::AbandonClaim { now_ms, key, request }
            }
            ControlRequest::TakePermit { target, bytes } => {
                Command::TakePermit { now_ms, target, bytes }
            }
        };
        self.propose_for_entry(&command, responder);
    }

    fn propose_for_entry(&mut self, command: &Command, responder: Responder<ControlPortReply>) {
        if self.proposals.len() >= MAX_PROPOSALS {
            let reason = "too many commands wait for their commit; retry later".to_owned();
            reply_to(responder, ControlReply::Unavailable { reason });
            return;
        }
        if let Err((waiter, refused)) = self.propose(command, Waiter::Entry(responder)) {
            let Waiter::Entry(responder) = waiter else { return };
            let reply = match refused {
                Refused::NotLeader { .. } => self.elsewhere(),
                Refused::TooLong(reason) => ControlReply::Refused { reason },
            };
            reply_to(responder, reply);
        }
    }

    /// Queues a renewal for the next confirmation round, after the join of its entry if it is no member.
    pub(super) fn accept_renewal(&mut self, renewal: PendingRenewal) {
        let Some(leadership) = &mut self.leadership else {
            reply_to(renewal.responder, self.elsewhere());
            return;
        };
        let member = renewal.renew.member.clone();
        let key = (member.node, member.incarnation);
        if leadership.waiting.len() + leadership.held.len() >= MAX_RENEWALS {
            let reason = "too many renewals wait; retry later".to_owned();
            reply_to(renewal.responder, ControlReply::Unavailable { reason });
            return;
        }
        if leadership.leases.is_expiring(key.0, key.1) {
            // A lease granted now would outlive the removal. The entry joins again after it.
            leadership.held.push(renewal);
            return;
        }
        if self.state.membership().member(member.node) == Some(&member) {
            leadership.leases.renewed(&renewal.renew);
            leadership.waiting.push(renewal);
            return;
        }
        let waiting = leadership.joining.entry(key).or_default();
        waiting.push(renewal);
        if waiting.len() == 1 {
            tracing::info!(
                event = "member_joins",
                node = %member.node,
                incarnation = member.incarnation.0,
                address = %member.peer_address
            );
            let command = Command::Join { now_ms: self.wall_ms(), member };
            if let Err((_, refused)) = self.propose(&command, Waiter::Nobody) {
                self.refuse_join(key, &refused);
            }
        }
    }

    fn refuse_join(&mut self, key: (NodeId, Incarnation), refused: &Refused) {
        let Some(leadership) = &mut self.leadership else { return };
        for renewal in leadership.joining.remove(&key).unwrap_or_default() {
            let reply = match refused {
                Refused::NotLeader { .. } => self.elsewhere(),
                Refused::TooLong(reason) => ControlReply::Refused { reason: reason.clone() },
            };
            reply_to(renewal.responder, reply);
        }
    }

    /// Grants a lease whose round is confirmed, if the entry is still a member.
    pub(super) fn answer_renewal(&mut self, renewal: PendingRenewal, settled: SettledEpochs) {
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else {
            reply_to(renewal.responder, self.elsewhere());
            return;
        };
        let renew = &renewal.renew;
        let node = renew.member.node;
        let incarnation = renew.member.incarnation;
        let membership = self.state.membership();
        let is_member =
            membership.member(node).is_some_and(|member| member.incarnation == incarnation);
        if !is_member || leadership.leases.is_expiring(node, incarnation) {
            // Removed while the round ran: it joins again, or waits for its removal first.
            self.accept_renewal(renewal);
            return;
        }
        leadership.leases.answered(node, incarnation, now_ms);
        let version = self.state.version();
        let epoch = membership.epoch;
        let update = self.state.update_since(renew.have_version);
        let grant = Grant {
            sequence: renew.sequence,
            lease_ms: LEASE_MS,
            version,
            epoch,
            settled_epoch: settled.for_node(node),
            update,
            membership: membership_since(&self.state, renew.have_epoch),
        };
        self.connections.record(renewal.connection, Sent { version, epoch });
        self.metrics.renewals_granted.inc();
        reply_to(renewal.responder, ControlReply::Granted(grant));
    }
}
