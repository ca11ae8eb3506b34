//! Gateway connections and the messages sent on them.

use std::sync::Arc;

use bytes::Bytes;
use mulberry_directory::{FeedRequest, GatewayInfo, GatewayList, GatewayMessage, RegistryMessage};
use mulberry_routes::{ConfigDelta, RoutingConfig};

use super::{MAX_RECENT_CONFIGS, Node};
use crate::OperatorState;
use crate::feed_frames::encode_all;
use crate::gateway_link::{LinkFrame, LinkFrameKind};
use crate::gateway_links::{AddedLink, LatestMessage, LinkSources};

impl Node {
    /// Adds a gateway connection. The link then gets the full state.
    pub(crate) fn add_gateway(
        &mut self,
        info: GatewayInfo,
        knows_parts: bool,
        feed: FeedRequest,
    ) -> AddedLink {
        tracing::info!(
            event = "gateway_linked",
            gateway = %info.name,
            incarnation = format_args!("{:x}", info.incarnation),
            feed = ?feed
        );
        self.set_latest_messages();
        let added = self.gateways.add(info, knows_parts, feed, &self.feed);
        // Before the configuration, with which a gateway that has just started begins to serve.
        let statuses = encode_all(&[self.all_part_statuses()]);
        self.gateways.send(added.id, LinkFrameKind::Parts, statuses);
        self.are_gateways_changed = true;
        self.flush_gateways(self.now_ms());
        added
    }

    /// Replaces the messages of which a new link gets the newest.
    fn set_latest_messages(&mut self) {
        let (index, zones) = match self.known_state() {
            Some(state) => (state.evacuated_index, state.evacuated.iter().cloned().collect()),
            None => (0, Vec::new()),
        };
        for (kind, message) in [
            (LatestMessage::Registries, RegistryMessage::Registries(self.registries())),
            (LatestMessage::EvacuatedZones, RegistryMessage::EvacuatedZones { index, zones }),
            (LatestMessage::ConfigVersion, self.newest_version_message()),
        ] {
            self.gateways.set_latest(kind, &message);
        }
    }

    /// Like [`Node::version_message`], with the version that may not have been published yet.
    fn newest_version_message(&self) -> RegistryMessage {
        RegistryMessage::ConfigVersion {
            version: self.known_state().map_or(0, OperatorState::version),
            is_confirmed: self.is_confirmed(),
        }
    }

    /// Takes the messages that a link is to send next. `None` if the link is gone.
    pub(crate) fn take_frames(&mut self, link: u64) -> Option<Vec<LinkFrame>> {
        let now_ms = self.now_ms();
        let sources =
            LinkSources { feed: &self.feed, targets: &self.targets, restored: &self.restored };
        let frames = self.gateways.take(now_ms, link, sources)?;
        for frame in &frames {
            self.sent_bytes.add(frame.kind.name(), frame.bytes.len());
        }
        Some(frames)
    }

    pub(crate) fn handle_gateway_message(&mut self, link: u64, message: GatewayMessage) {
        match message {
            GatewayMessage::Hello { gateway, feed, .. } => {
                self.gateways.update(link, gateway, feed, &self.feed);
                self.are_gateways_changed = true;
                self.flush_gateways(self.now_ms());
            }
            GatewayMessage::RequestConfig { held_version } => {
                if let Some(bytes) = self.config_frame(held_version) {
                    self.gateways.send(link, LinkFrameKind::Config, bytes);
                }
            }
            GatewayMessage::PartReports { crashes, statuses } => {
                self.handle_part_reports(&crashes, &statuses);
            }
        }
    }

    /// The encoded update from `held_version` to the newest configuration. Cached, since many gateways request the same
    /// one.
    fn config_frame(&mut self, held_version: u64) -> Option<Bytes> {
        let config = self.known_state().and_then(|state| state.config.clone())?;
        let key = (held_version, config.version);
        if let Some((_, bytes)) = self.config_frames.iter().find(|(known, _)| *known == key) {
            return Some(bytes.clone());
        }
        let bytes = encode_all(&[self.config_since(held_version, config)]);
        if self.config_frames.len() >= MAX_RECENT_CONFIGS {
            self.config_frames.pop_front();
        }
        self.config_frames.push_back((key, bytes.clone()));
        Some(bytes)
    }

    /// The update from `held_version` to `config`: a delta if that version is among the recent ones, otherwise the full
    /// configuration.
    fn config_since(&self, held_version: u64, config: Arc<RoutingConfig>) -> RegistryMessage {
        match self.recent_configs.iter().find(|recent| recent.version == held_version) {
            Some(from) => {
                RegistryMessage::ConfigDelta(Arc::new(ConfigDelta::between(from, &config)))
            }
            None => RegistryMessage::Config(config),
        }
    }

    pub(crate) fn remove_gateway(&mut self, link: u64) {
        if self.gateways.remove(link) {
            self.are_gateways_changed = true;
            self.flush_gateways(self.now_ms());
        }
    }

    /// Gateways connected to this registry or to another one.
    pub(super) fn all_gateways(&self) -> GatewayList {
        let remote = self.remote_gateways.values().flat_map(|(infos, _)| infos.iter().cloned());
        GatewayList::merged(remote.chain(self.gateways.infos()))
    }

    /// Sends gateways the changes of targets and gateways, unless the last batch was sent just before.
    pub(super) fn flush_gateways(&mut self, now_ms: u64) {
        let has_changes = self.feed.last() > self.gateways.published() || self.are_gateways_changed;
        if !has_changes || !self.gateways.is_flush_due(now_ms) {
            return;
        }
        let gateways = std::mem::take(&mut self.are_gateways_changed).then(|| self.all_gateways());
        self.gateways.flush(now_ms, &self.feed, gateways);
    }
}
