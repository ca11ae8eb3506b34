//! Sends registries that were silent the changes of targets that they have missed.
//!
//! Each change is told once, and gossip repeats only ids. A registry that was down, paused or cut off would otherwise
//! never learn a change that it missed.

use std::net::SocketAddr;

use mulberry_directory::TargetRecord;

use super::Node;
use super::gossip::HELLO_EXPIRY_MS;
use crate::peer_message::PeerMessage;

/// Silence of another registry after which it may have missed changes of targets. It sends a hello every 500 ms.
const RESYNC_AFTER_SILENCE_MS: u64 = 1_200;

/// Delays after the end of the silence at which the changes are sent. A link to a registry that was away may still be
/// about to reconnect at the first time, and drop the message.
const RESYNC_DELAYS_MS: [u64; 2] = [500, 2_500];

/// Time before the silence from which on changes are sent. They may have been lost with the link.
const RESYNC_MARGIN_MS: u64 = 1_000;

/// Changes of targets that are to be sent to a registry that was silent.
#[derive(Debug)]
pub(super) struct TargetResync {
    address: SocketAddr,
    due_ms: u64,

    /// Time from which on the registry may have missed changes.
    since_ms: u64,
}

impl Node {
    /// Plans to send changes to the registry at `address`, which has just sent a hello, if it was silent before.
    pub(super) fn plan_target_resyncs(&mut self, now_ms: u64, address: SocketAddr) {
        let last_hello_ms = self.hellos.get(&address).map(|&(_, received_ms)| received_ms);
        if last_hello_ms.is_some_and(|at_ms| at_ms + RESYNC_AFTER_SILENCE_MS >= now_ms) {
            return;
        }
        let since_ms = match last_hello_ms {
            Some(at_ms) => at_ms.saturating_sub(RESYNC_MARGIN_MS),
            // It was away for longer than hellos are kept.
            None if now_ms > HELLO_EXPIRY_MS => 0,
            // This registry has just started, and knows no changes that the other one has missed.
            None => now_ms,
        };
        self.target_resyncs.extend(RESYNC_DELAYS_MS.map(|delay_ms| TargetResync {
            address,
            due_ms: now_ms + delay_ms,
            since_ms,
        }));
    }

    /// Sends the registries that were silent the changes that they have missed. Unchanged records are left out, since a
    /// registry takes those with a newer sequence for a sign of life of the target.
    pub(super) fn send_target_resyncs(&mut self, now_ms: u64) {
        let (due, later) = self
            .target_resyncs
            .drain(..)
            .partition::<Vec<_>, _>(|resync: &TargetResync| resync.due_ms <= now_ms);
        self.target_resyncs = later;
        for TargetResync { address, since_ms, .. } in due {
            let records: Vec<TargetRecord> =
                self.targets.changes_since(since_ms).cloned().collect();
            if records.is_empty() {
                continue;
            }
            tracing::info!(event = "targets_resent", peer = %address, targets = records.len());
            self.peers.send(address, PeerMessage::Targets(records));
        }
    }
}
