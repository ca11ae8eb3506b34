//! Periodic messages to registries and gateways.

use std::sync::Arc;

use mulberry_consensus::MemberId;
use mulberry_directory::{GatewayInfo, RegistryMessage, TargetDigest, TargetRecord, TargetState};

use super::Node;
use super::targets::WARM_START_SAVE_DELAY_MS;
use crate::gateway_links::LatestMessage;
use crate::peer_message::{PeerHello, PeerMessage};

/// Age after which a hello is discarded.
pub(super) const HELLO_EXPIRY_MS: u64 = 30_000;

/// Time without an announcement after which a target is removed.
const TARGET_EXPIRY_MS: u64 = 60_000;

/// Interval between hellos to all known registries while this registry belongs to a group.
const HELLO_INTERVAL_MS: u64 = 500;

/// Interval between hellos while it belongs to none.
const BOOTSTRAP_HELLO_INTERVAL_MS: u64 = 100;

/// Interval at which an unchanged list of connected gateways is resent to the other registries.
const GATEWAYS_RESEND_INTERVAL_MS: u64 = 2_500;

/// Interval at which changes of targets that are no longer known are removed from the feed.
const FEED_PRUNE_INTERVAL_MS: u64 = 10_000;

/// Maximum number of silent targets named in one line of the log.
const MAX_LOGGED_TARGETS: usize = 50;

/// Interval at which the bytes sent are logged.
const SENT_REPORT_INTERVAL_MS: u64 = 10_000;

/// Age after which the gateway list of another registry is discarded.
const REMOTE_GATEWAYS_EXPIRY_MS: u64 = 6_000;

impl Node {
    pub(super) fn send_hellos(&mut self, now_ms: u64) {
        let Some(replica) = &self.replica else {
            self.hello_due_ms = now_ms + BOOTSTRAP_HELLO_INTERVAL_MS;
            return;
        };
        let has_group = !replica.raft.members().is_empty();
        self.hello_due_ms =
            now_ms + if has_group { HELLO_INTERVAL_MS } else { BOOTSTRAP_HELLO_INTERVAL_MS };
        let hello = PeerHello {
            member: replica.raft.id().0,
            address: self.settings.link_address,
            has_group,
            initial_members: replica.initial_members.clone(),
            stores_departures: true,
            knows_checksums: true,
            members: Vec::new(),
        };
        self.hellos.retain(|_, (_, received_ms)| *received_ms + HELLO_EXPIRY_MS > now_ms);
        self.introduced.retain(|_, named_ms| *named_ms + HELLO_EXPIRY_MS > now_ms);
        let peers = self.known_peers();
        self.peers.retain(&peers);
        let members = self.current_member_addresses();
        for address in peers {
            // The leader admits a registry once it has heard from it, and the registry may know only this one.
            let members = if self.is_member_at(address) { Vec::new() } else { members.clone() };
            self.peers.send(address, PeerMessage::Hello(PeerHello { members, ..hello.clone() }));
        }
    }

    pub(super) fn handle_hello(&mut self, now_ms: u64, mut hello: PeerHello) {
        if hello.address == self.settings.link_address {
            return;
        }
        self.plan_target_resyncs(now_ms, hello.address);
        for address in std::mem::take(&mut hello.members) {
            if self.introduced.insert(address, now_ms).is_none() {
                self.hello_due_ms = 0;
            }
        }
        let known = self.hellos.get(&hello.address);
        if known.map(|(known, _)| known) != Some(&hello) {
            tracing::info!(
                event = "peer_known",
                peer = %hello.address,
                member = %MemberId(hello.member),
                has_group = hello.has_group
            );
            self.hello_due_ms = 0;
        }
        self.hellos.insert(hello.address, (hello, now_ms));
    }

    pub(super) fn gossip(&mut self, now_ms: u64) {
        self.drop_cancelled_requests();
        self.expire_parts();
        self.expire_departures();
        let seen: Vec<Arc<str>> = std::mem::take(&mut self.seen_targets).into_iter().collect();
        let from = self.replica.as_ref().map_or(0, |replica| replica.raft.id().0);
        let gateways = self.gateways.infos();
        let have_gateways_changed = gateways != self.gossiped_gateways;
        let sends_gateways = have_gateways_changed || now_ms >= self.gateways_gossip_due_ms;
        if sends_gateways {
            self.gossiped_gateways.clone_from(&gateways);
            self.gateways_gossip_due_ms = now_ms + GATEWAYS_RESEND_INTERVAL_MS;
        }
        for address in self.known_peers() {
            if !seen.is_empty() {
                self.peers.send(address, PeerMessage::TargetsSeen(seen.clone()));
            }
            if sends_gateways {
                let knows_checksums =
                    self.hellos.get(&address).is_some_and(|(hello, _)| hello.knows_checksums);
                let message = if have_gateways_changed || !knows_checksums {
                    PeerMessage::Gateways { from, gateways: gateways.clone() }
                } else {
                    PeerMessage::GatewaysUnchanged { from, checksum: checksum(&gateways) }
                };
                self.peers.send(address, message);
            }
        }
        let remote_count = self.remote_gateways.len();
        self.remote_gateways.retain(|_, (_, at_ms)| *at_ms + REMOTE_GATEWAYS_EXPIRY_MS > now_ms);
        self.are_gateways_changed |= self.remote_gateways.len() != remote_count;

        let before_ms = now_ms.saturating_sub(TARGET_EXPIRY_MS);
        let expired = self.targets.expire(before_ms);
        let expired: Vec<TargetRecord> =
            expired.into_iter().chain(self.restored.expire(before_ms)).collect();
        if !expired.is_empty() {
            tracing::info!(event = "targets_expired", count = expired.len());
        }
        for record in expired {
            self.feed.expired(now_ms, record);
        }
        if now_ms >= self.feed_prune_due_ms {
            self.feed_prune_due_ms = now_ms + FEED_PRUNE_INTERVAL_MS;
            self.feed.prune(now_ms, &self.targets);
        }
        let limit_ms = self.silent_after_ms();
        let mut silent: Vec<Arc<str>> = self
            .targets
            .iter()
            .filter(|(record, _)| record.state != TargetState::Gone)
            .filter(|(_, last_seen_ms)| last_seen_ms + limit_ms < now_ms)
            .map(|(record, _)| record)
            .chain(self.restored.silent(now_ms, limit_ms))
            .map(|record| record.id.clone())
            .collect();
        silent.sort_unstable();
        silent.dedup();
        if silent != *self.gateways.silent() {
            let named = &silent[..silent.len().min(MAX_LOGGED_TARGETS)];
            tracing::info!(event = "targets_silent", count = silent.len(), targets = ?named);
            self.warm_start_save_due_ms.get_or_insert(now_ms + WARM_START_SAVE_DELAY_MS);
            self.gateways.send_silent(silent);
        }
        let target_count =
            self.targets.iter().filter(|(r, _)| r.state != TargetState::Gone).count();
        self.metrics.targets.set(target_count as i64);
        self.metrics.gateways.set(gateways.len() as i64);
        let registries = self.registries();
        if registries != self.published_registries {
            self.published_registries.clone_from(&registries);
            let message = RegistryMessage::Registries(registries);
            self.gateways.send_latest(LatestMessage::Registries, &message);
        }
        // Restored targets count, since gateways knew them before this registry stopped.
        let known = self.targets.iter().map(|(record, _)| record).chain(self.restored.records());
        let digest = RegistryMessage::TargetDigest(TargetDigest::of(known));
        self.gateways.send_latest(LatestMessage::TargetDigest, &digest);
        self.gateways.send_latest(LatestMessage::ConfigVersion, &self.version_message());
        self.metrics.set_link_load(self.gateways.load());
        if now_ms >= self.sent_report_due_ms {
            self.sent_report_due_ms = now_ms + SENT_REPORT_INTERVAL_MS;
            tracing::info!(
                event = "bytes_sent",
                bytes = ?self.sent_bytes.take(),
                load = ?self.gateways.load()
            );
        }
    }

    /// Handles that the gateways of another registry have not changed since it told them.
    pub(super) fn handle_gateways_unchanged(&mut self, now_ms: u64, from: u64, sent: u32) {
        let Some(address) = self.address_of(MemberId(from)) else { return };
        match self.remote_gateways.get_mut(&address) {
            Some((known, at_ms)) if checksum(known) == sent => *at_ms = now_ms,
            _ => {
                let own = self.replica.as_ref().map_or(0, |replica| replica.raft.id().0);
                self.peers.send(address, PeerMessage::RequestGateways { from: own });
            }
        }
    }
}

fn checksum(gateways: &[GatewayInfo]) -> u32 {
    postcard::to_stdvec(gateways).map_or(0, |bytes| crc32c::crc32c(&bytes))
}
