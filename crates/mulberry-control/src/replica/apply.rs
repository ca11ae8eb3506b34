//! Applies committed entries and replies to their proposals.

use std::sync::Arc;

use mulberry_consensus::{Committed, Entry, Payload, Snapshot};
use mulberry_state::{ClaimRefusal, Command, FleetState, JoinReply, Reply, SettleReply};
use mulberry_types::{ChangeOutcome, ControlReply, Incarnation, Membership, NodeId};

use super::leadership::PendingRenewal;
use super::{Proposal, Replica, Waiter, reply_to};
use crate::replica_input::OperatorCallError;

impl Replica {
    pub(super) fn apply_committed(&mut self) {
        for committed in self.raft.take_committed() {
            match committed {
                Committed::Snapshot(snapshot) => self.restore(&snapshot),
                Committed::Entry(entry) => self.apply(entry),
            }
        }
    }

    /// Replaces the state with that of a snapshot.
    ///
    /// # Panics
    /// The snapshot cannot be decoded.
    fn restore(&mut self, snapshot: &Snapshot) {
        match FleetState::from_snapshot(&snapshot.data) {
            Ok(state) => self.state = state,
            // The data folder has verified the checksum. Nothing can be served without the state.
            Err(error) => panic!(
                "cannot decode snapshot {}: {error}; use the release that wrote it",
                snapshot.index
            ),
        }
        self.applied_index = snapshot.index;
        self.snapshots.record_snapshot(snapshot.data.len());
        tracing::info!(
            event = "snapshot_restored",
            index = snapshot.index,
            version = self.state.version().0
        );
    }

    fn apply(&mut self, entry: Entry) {
        self.applied_index = entry.index;
        let proposal = self.proposals.remove(&entry.index);
        // An entry of another term at this index has replaced the proposal.
        let waiter = match proposal {
            Some(Proposal { term, waiter }) if term == entry.term => waiter,
            Some(Proposal { waiter, .. }) => {
                self.reply_to_replaced(waiter);
                Waiter::None
            }
            None => Waiter::None,
        };
        match entry.payload {
            Payload::Noop => {}
            Payload::Members(members) => {
                tracing::info!(
                    event = "members_changed",
                    voters = members.voters.len(),
                    learners = members.learners.len()
                );
                if let Waiter::Members(reply) = waiter {
                    let _ = reply.send(Ok(()));
                }
            }
            Payload::Command(bytes) => self.apply_command(entry.index, &bytes, waiter),
        }
    }

    fn apply_command(&mut self, index: u64, bytes: &[u8], waiter: Waiter) {
        let command = match Command::decode(bytes) {
            Ok(command) => command,
            // Skipping the entry on one replica would make the replicas diverge.
            Err(error) => panic!("cannot decode log entry {index}: {error}; use the newer release"),
        };
        self.snapshots.record_command(bytes.len());
        let before = self.state.membership().clone();
        let reply = self.state.apply(index, &command);
        self.log_outcome(&command, &reply);
        let lease_ended = matches!(command, Command::Leave { .. } | Command::Expire { .. });
        self.update_lease_members(&before, lease_ended);
        match &command {
            Command::Join { member, .. } => {
                self.finish_join((member.node, member.incarnation), &reply);
            }
            Command::ExpireClaims { .. }
                if matches!(reply, Reply::Expired { more: true, .. })
                    && self.leadership.is_some() =>
            {
                self.propose_expire_claims();
            }
            _ => {}
        }
        match waiter {
            Waiter::None => {}
            Waiter::Entry(responder) => reply_to(responder, control_reply(reply)),
            Waiter::Change(sender) => {
                if let Reply::Change(outcome) = reply {
                    let _ = sender.send(Ok(outcome));
                }
            }
            Waiter::Members(sender) => {
                let _ = sender.send(Err(OperatorCallError::OutcomeUnknown));
            }
        }
    }

    /// Replies to the waiter of a proposal that was replaced or whose leadership was lost.
    pub(super) fn reply_to_replaced(&self, waiter: Waiter) {
        match waiter {
            Waiter::None => {}
            Waiter::Entry(responder) => reply_to(responder, self.not_serving_reply()),
            Waiter::Change(reply) => {
                let _ = reply.send(Err(OperatorCallError::OutcomeUnknown));
            }
            Waiter::Members(reply) => {
                let _ = reply.send(Err(OperatorCallError::OutcomeUnknown));
            }
        }
    }

    /// Updates the lease table after a membership change and requeues renewals that waited for a removal.
    fn update_lease_members(&mut self, before: &Arc<Membership>, lease_ended: bool) {
        if before.epoch == self.state.membership().epoch {
            return;
        }
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.leases.update_members(before, self.state.membership(), lease_ended, now_ms);
        for renewal in std::mem::take(&mut leadership.renewals_awaiting_removal) {
            self.enqueue_renewal(renewal);
        }
    }

    fn finish_join(&mut self, key: (NodeId, Incarnation), reply: &Reply) {
        let Some(leadership) = &mut self.leadership else { return };
        let renewals = leadership.renewals_awaiting_join.remove(&key).unwrap_or_default();
        for renewal in renewals {
            match reply {
                Reply::Join(JoinReply::Joined { .. } | JoinReply::Unchanged { .. }) => {
                    self.queue_joined(renewal);
                }
                Reply::Join(JoinReply::Superseded) => {
                    reply_to(renewal.responder, ControlReply::Expelled);
                }
                _ => {
                    let reason =
                        "the limit on entries is reached; remove unused entries or raise the limit";
                    let reason = reason.to_owned();
                    reply_to(renewal.responder, ControlReply::Refused { reason });
                }
            }
        }
    }

    fn queue_joined(&mut self, renewal: PendingRenewal) {
        if let Some(leadership) = &mut self.leadership {
            leadership.pending_renewals.push(renewal);
        }
    }

    pub(super) fn push_updates(&mut self) {
        if self.leadership.is_none() || self.connections.is_empty() {
            return;
        }
        let pushes = self.connections.push_updates(&self.state);
        self.metrics.pushes.inc_by(pushes);
    }

    fn log_outcome(&self, command: &Command, reply: &Reply) {
        match (command, reply) {
            (Command::Change { change, .. }, Reply::Change(outcome)) => match outcome {
                ChangeOutcome::Accepted { version } => {
                    self.metrics.changes_accepted.inc();
                    tracing::info!(
                        event = "change_accepted",
                        change = %change.id.0,
                        operator = %change.operator,
                        from_version = change.expected_version.0,
                        to_version = version.0,
                        operations = serde_json::to_string(&change.operations).unwrap_or_default()
                    );
                }
                ChangeOutcome::Rejected { reason } => {
                    self.metrics.changes_rejected.inc();
                    tracing::info!(
                        event = "change_rejected",
                        change = %change.id.0,
                        operator = %change.operator,
                        ?reason
                    );
                }
            },
            (Command::Join { member, .. }, Reply::Join(JoinReply::Joined { epoch })) => {
                tracing::info!(
                    event = "member_joined",
                    node = %member.node,
                    incarnation = member.incarnation.0,
                    %epoch
                );
            }
            (Command::Expire { node, .. }, Reply::Removed { removed: true, epoch }) => {
                self.metrics.members_expired.inc();
                tracing::info!(event = "member_expired", %node, %epoch);
            }
            (Command::Leave { node, .. }, Reply::Removed { removed: true, epoch }) => {
                tracing::info!(event = "member_left", %node, %epoch);
            }
            _ => {}
        }
    }
}

/// Converts a state machine reply to a reply to an entry. Everything that was neither granted nor recorded
/// becomes `Refused`, so that the entry neither takes it for a result nor retries at another instance.
fn control_reply(reply: Reply) -> ControlReply {
    let refused = |reason: &str| ControlReply::Refused { reason: reason.to_owned() };
    match reply {
        Reply::Claim(reply) => ControlReply::Claim(reply),
        Reply::Permit(permit) => ControlReply::Permit(permit),
        Reply::Removed { .. } => ControlReply::Done,
        Reply::Settle(SettleReply::Done | SettleReply::DoneWithoutAnswer) => ControlReply::Done,
        Reply::Settle(SettleReply::NotHeld) => {
            refused("the claim is not held by this request; its outcome is as stored")
        }
        Reply::Settle(SettleReply::TombstonesFull) => {
            refused("too many releases are remembered; report the outcome as unknown")
        }
        Reply::ClaimRefused(refusal) => refused(match refusal {
            ClaimRefusal::NotMember => "the entry is not a member; renew the lease first",
            ClaimRefusal::KeyTooLong => "a part of the key is too long; send a shorter one",
            ClaimRefusal::OpenClaimsFull => "too many claimed calls are running; retry later",
            ClaimRefusal::StoredClaimsFull => "too many claims are kept; retry later",
        }),
        _ => refused("the command had an unexpected reply; report the fault"),
    }
}
