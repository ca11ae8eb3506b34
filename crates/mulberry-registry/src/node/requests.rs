//! Proposals and linearizable reads, handled locally or forwarded to the leader.

use std::net::SocketAddr;

use mulberry_consensus::Role;
use tokio::sync::oneshot;

use super::Node;
use super::replica::{ProposalWaiter, ReadWaiter};
use crate::Command;
use crate::peer_message::PeerMessage;

impl Node {
    /// Proposes a command, forwarding it if this replica is not the leader. `None` while no leader is known. For the
    /// meaning of `last_zone_change` see [`PeerMessage::Propose`].
    pub(crate) fn propose(
        &mut self,
        command: Command,
        last_zone_change: Option<u64>,
    ) -> Option<oneshot::Receiver<bool>> {
        let (sender, receiver) = oneshot::channel();
        let replica = self.replica.as_mut()?;
        if replica.raft.role() == Role::Leader {
            replica.propose(&command, last_zone_change, ProposalWaiter::Local(sender));
            self.advance();
            return Some(receiver);
        }
        let (from, request_id, address) = self.request_to_leader()?;
        self.forwarded_proposals.insert(request_id, sender);
        let message = PeerMessage::Propose { from, request_id, command, last_zone_change };
        self.peers.send(address, message);
        Some(receiver)
    }

    /// Requests an index that covers all entries acknowledged so far. `None` while no leader is known.
    pub(crate) fn read_index(&mut self) -> Option<oneshot::Receiver<Option<u64>>> {
        let (sender, receiver) = oneshot::channel();
        let replica = self.replica.as_mut()?;
        if replica.raft.role() == Role::Leader {
            if let Err(waiter) = replica.request_read_index(ReadWaiter::Local(sender)) {
                self.answer_read(waiter, None);
            }
            self.advance();
            return Some(receiver);
        }
        let (from, request_id, address) = self.request_to_leader()?;
        self.read_index_requests.insert(request_id, sender);
        self.peers.send(address, PeerMessage::ReadIndex { from, request_id });
        Some(receiver)
    }

    /// Returns the id of this member, a new request id and the leader's address. `None` while no leader is known.
    fn request_to_leader(&mut self) -> Option<(u64, u64, SocketAddr)> {
        let replica = self.replica.as_ref()?;
        let (from, leader) = (replica.raft.id().0, replica.raft.leader()?);
        let address = self.address_of(leader)?;
        self.last_request_id += 1;
        Some((from, self.last_request_id, address))
    }

    /// Waits until `index` is applied here. `None` while the disk is not open.
    pub(crate) fn wait_applied(&mut self, index: u64) -> Option<oneshot::Receiver<()>> {
        let replica = self.replica.as_mut()?;
        let (sender, receiver) = oneshot::channel();
        if replica.state.applied_index >= index {
            let _ = sender.send(());
        } else {
            replica.applied_waiters.push((index, sender));
        }
        Some(receiver)
    }

    /// Drops the replica after a disk failure, and answers the requests that wait for it. Their outcome is unknown.
    pub(super) fn refuse_pending_requests(&mut self) {
        let Some(replica) = self.replica.take() else { return };
        for (_, waiter) in replica.pending_proposals.into_values() {
            self.answer_proposal(waiter, false);
        }
        for waiter in replica.pending_reads.into_values() {
            self.answer_read(waiter, None);
        }
    }

    /// Answers a proposal; if `is_committed` is false, its outcome is unknown.
    pub(super) fn answer_proposal(&mut self, waiter: ProposalWaiter, is_committed: bool) {
        match waiter {
            ProposalWaiter::NoReply => {}
            ProposalWaiter::Local(sender) => {
                let _ = sender.send(is_committed);
            }
            ProposalWaiter::Peer { member, request_id } => {
                self.send_to(member, PeerMessage::ProposeReply { request_id, is_committed });
            }
        }
    }

    /// Answers the request for a read index; `None` if it cannot be confirmed here.
    pub(super) fn answer_read(&mut self, waiter: ReadWaiter, index: Option<u64>) {
        match waiter {
            ReadWaiter::Local(sender) => {
                let _ = sender.send(index);
            }
            ReadWaiter::Peer { member, request_id } => {
                self.send_to(member, PeerMessage::ReadIndexReply { request_id, index });
            }
        }
    }

    /// Removes forwarded requests whose receiver was dropped.
    pub(crate) fn drop_cancelled_requests(&mut self) {
        self.forwarded_proposals.retain(|_, sender| !sender.is_closed());
        self.read_index_requests.retain(|_, sender| !sender.is_closed());
    }
}
