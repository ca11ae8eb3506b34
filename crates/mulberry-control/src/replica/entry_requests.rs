//! Requests from entries: leases, claims and permits.

use mulberry_peers::{ConnectionId, Responder};
use mulberry_state::Command;
use mulberry_types::{ControlPortReply, ControlReply, ControlRequest, Grant, Incarnation, NodeId};

use super::leadership::PendingRenewal;
use super::{ProposeError, Replica, Waiter, reply_to};
use crate::entry_connections::{SentVersions, membership_since};
use crate::lease_table::{LEASE_MS, SettledEpochs};

/// Maximum number of uncommitted proposals. Further requests are refused, so that a group without a
/// majority does not queue them without bound.
const MAX_PENDING_PROPOSALS: usize = 20_000;

/// Maximum number of pending renewals. Exceeds the number that all entries of a deployment of the design
/// size send during one lease.
const MAX_PENDING_RENEWALS: usize = 10_000;

impl Replica {
    pub(super) fn handle_entry_request(
        &mut self,
        request: ControlRequest,
        connection: ConnectionId,
        responder: Responder<ControlPortReply>,
    ) {
        if self.leadership.is_none() {
            reply_to(responder, self.not_serving_reply());
            return;
        }
        let now_ms = self.wall_ms();
        let command = match request {
            ControlRequest::Renew(renew) => {
                self.enqueue_renewal(PendingRenewal { renew, connection, responder });
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
        if self.proposals.len() >= MAX_PENDING_PROPOSALS {
            let reason = "too many commands wait for their commit; retry later".to_owned();
            reply_to(responder, ControlReply::Unavailable { reason });
            return;
        }
        if let Err((waiter, error)) = self.propose(command, Waiter::Entry(responder)) {
            let Waiter::Entry(responder) = waiter else { return };
            let reply = match error {
                ProposeError::NotLeader { .. } => self.not_serving_reply(),
                ProposeError::Encode(reason) => ControlReply::Refused { reason },
            };
            reply_to(responder, reply);
        }
    }

    /// Queues a renewal for the next confirmation round. If its entry is not a member, the entry joins
    /// first.
    pub(super) fn enqueue_renewal(&mut self, renewal: PendingRenewal) {
        let Some(leadership) = &mut self.leadership else {
            reply_to(renewal.responder, self.not_serving_reply());
            return;
        };
        let member = renewal.renew.member.clone();
        let key = (member.node, member.incarnation);
        if leadership.pending_renewals.len() + leadership.renewals_awaiting_removal.len()
            >= MAX_PENDING_RENEWALS
        {
            let reason = "too many renewals wait; retry later".to_owned();
            reply_to(renewal.responder, ControlReply::Unavailable { reason });
            return;
        }
        if leadership.leases.is_expiring(key.0, key.1) {
            // A lease granted now would outlive the removal. The entry rejoins after the removal.
            leadership.renewals_awaiting_removal.push(renewal);
            return;
        }
        if self.state.membership().member(member.node) == Some(&member) {
            leadership.leases.record_renewal(&renewal.renew);
            leadership.pending_renewals.push(renewal);
            return;
        }
        let waiting = leadership.renewals_awaiting_join.entry(key).or_default();
        waiting.push(renewal);
        if waiting.len() == 1 {
            tracing::info!(
                event = "member_joins",
                node = %member.node,
                incarnation = member.incarnation.0,
                address = %member.peer_address
            );
            let command = Command::Join { now_ms: self.wall_ms(), member };
            if let Err((_, error)) = self.propose(&command, Waiter::None) {
                self.reject_join(key, &error);
            }
        }
    }

    fn reject_join(&mut self, key: (NodeId, Incarnation), error: &ProposeError) {
        let Some(leadership) = &mut self.leadership else { return };
        for renewal in leadership.renewals_awaiting_join.remove(&key).unwrap_or_default() {
            let reply = match error {
                ProposeError::NotLeader { .. } => self.not_serving_reply(),
                ProposeError::Encode(reason) => ControlReply::Refused { reason: reason.clone() },
            };
            reply_to(renewal.responder, reply);
        }
    }

    /// Grants the lease of a confirmed renewal if the entry is still a member.
    pub(super) fn reply_to_renewal(&mut self, renewal: PendingRenewal, settled: SettledEpochs) {
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else {
            reply_to(renewal.responder, self.not_serving_reply());
            return;
        };
        let renew = &renewal.renew;
        let node = renew.member.node;
        let incarnation = renew.member.incarnation;
        let membership = self.state.membership();
        let is_member =
            membership.member(node).is_some_and(|member| member.incarnation == incarnation);
        if !is_member || leadership.leases.is_expiring(node, incarnation) {
            // Removed, or about to be, while the round was running: the entry rejoins after the removal.
            self.enqueue_renewal(renewal);
            return;
        }
        leadership.leases.record_grant(node, incarnation, now_ms);
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
        self.connections.record_sent(renewal.connection, SentVersions { version, epoch });
        self.metrics.renewals_granted.inc();
        reply_to(renewal.responder, ControlReply::Granted(grant));
    }
}
