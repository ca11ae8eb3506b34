//! Applying committed entries and answering their proposals.

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

    /// Replaces the state by that of a snapshot.
    fn restore(&mut self, snapshot: &Snapshot) {
        match FleetState::from_snapshot(&snapshot.data) {
            Ok(state) => self.state = state,
            // The data folder has checked its checksum; without the state nothing can be served.
            Err(error) => panic!(
                "snapshot {} cannot be read: {error}; use the release that wrote it",
                snapshot.index
            ),
        }
        self.applied_index = snapshot.index;
        self.snapshots.replaced(snapshot.data.len());
        tracing::info!(
            event = "snapshot_restored",
            index = snapshot.index,
            version = self.state.version().0
        );
    }

    fn apply(&mut self, entry: Entry) {
        self.applied_index = entry.index;
        let proposal = self.proposals.remove(&entry.index);
        // Another term at the same index means that the proposal was replaced.
        let waiter = match proposal {
            Some(Proposal { term, waiter }) if term == entry.term => waiter,
            Some(Proposal { waiter, .. }) => {
                self.answer_replaced(waiter);
                Waiter::Nobody
            }
            None => Waiter::Nobody,
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
            // Skipping it on one replica only would let the replicas differ.
            Err(error) => panic!("log entry {index} is no command: {error}; use the newer release"),
        };
        self.snapshots.applied(bytes.len());
        let before = self.state.membership().clone();
        let reply = self.state.apply(index, &command);
        self.log_outcome(&command, &reply);
        let by_lease = matches!(command, Command::Leave { .. } | Command::Expire { .. });
        self.follow_members(&before, by_lease);
        match &command {
            Command::Join { member, .. } => {
                self.joined((member.node, member.incarnation), &reply);
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
            Waiter::Nobody => {}
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

    /// Answers who waits for a proposal whose outcome this replica no longer decides.
    pub(super) fn answer_replaced(&self, waiter: Waiter) {
        match waiter {
            Waiter::Nobody => {}
            Waiter::Entry(responder) => reply_to(responder, self.elsewhere()),
            Waiter::Change(reply) => {
                let _ = reply.send(Err(OperatorCallError::OutcomeUnknown));
            }
            Waiter::Members(reply) => {
                let _ = reply.send(Err(OperatorCallError::OutcomeUnknown));
            }
        }
    }

    /// Tells the lease table of new and former members and takes up renewals that waited for it.
    fn follow_members(&mut self, before: &Arc<Membership>, by_lease: bool) {
        if before.epoch == self.state.membership().epoch {
            return;
        }
        let now_ms = self.now_ms();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.leases.members_changed(before, self.state.membership(), by_lease, now_ms);
        for renewal in std::mem::take(&mut leadership.held) {
            self.accept_renewal(renewal);
        }
    }

    fn joined(&mut self, key: (NodeId, Incarnation), reply: &Reply) {
        let Some(leadership) = &mut self.leadership else { return };
        let renewals = leadership.joining.remove(&key).unwrap_or_default();
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
            leadership.waiting.push(renewal);
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

/// Reply to an entry. Whatever is neither granted nor recorded is refused, so that it cannot pass for a
/// result and is not sent to another instance.
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
