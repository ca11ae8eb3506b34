//! Messages on the link between a gateway and a registry.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_quarantine::{CrashReport, PartStatus};
use mulberry_routes::{ConfigDelta, RoutingConfig};
use serde::{Deserialize, Serialize};

use crate::{GatewayChanges, TargetDigest, TargetKeys, TargetRecord};

/// A gateway's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayInfo {
    pub name: Arc<str>,
    pub zone: Arc<str>,

    /// Random id of this process start.
    pub incarnation: u64,

    /// Wall-clock time of the start. Other gateways prefer the one that has run longest.
    pub started_ms: u64,

    /// Address for connections from other gateways.
    pub address: SocketAddr,

    /// False once the gateway is stopping; other gateways then stop sending requests to it.
    pub is_active: bool,
}

/// A position in the changes of targets that one start of a registry tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPosition {
    /// Random id of the registry's start. Positions of other starts mean nothing to it.
    pub feed: u64,

    /// Number of the last change that the gateway has received.
    pub position: u64,
}

/// Which changes of targets a gateway wants from a registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum FeedRequest {
    /// All, without positions: the gateway is of an older version.
    #[default]
    Plain,

    /// All, from a position on if the registry still knows it.
    Full { resume: Option<FeedPosition> },

    /// Departures only, and digests that show whether the gateway knows the same targets.
    Digest,
}

/// A message received on the link port of a registry. `P` is the message type between registries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage<P> {
    Peer(P),
    Gateway(GatewayMessage),
}

/// A message from a gateway to a registry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// The first message on a link; sent again when the info changes.
    Hello {
        gateway: GatewayInfo,

        /// Whether the gateway understands messages about parts of prompts. Decodes as false if the gateway is of an
        /// older version.
        knows_parts: bool,

        /// Decodes as [`FeedRequest::Plain`] if the gateway is of an older version.
        feed: FeedRequest,
    },

    /// Requests the configuration after a registry reported a newer version than `held_version`; 0 if the gateway has
    /// none.
    RequestConfig { held_version: u64 },

    /// Crashed requests, and what the gateway knows about suspected or quarantined parts of prompts. Sent only to a
    /// registry that has sent [`RegistryMessage::PartStatuses`].
    PartReports { crashes: Vec<CrashReport>, statuses: Vec<PartStatus> },
}

/// A message from a registry to a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RegistryMessage {
    /// A configuration that this registry knows to be committed.
    Config(Arc<RoutingConfig>),

    /// The changes since the version that the gateway holds.
    ConfigDelta(Arc<ConfigDelta>),

    /// The latest configuration version that this registry knows to be committed; also the keepalive of an idle link.
    ConfigVersion {
        version: u64,

        /// Whether the group has confirmed the version since this registry started. Until then, a newer version may
        /// already be committed.
        is_confirmed: bool,
    },

    /// Evacuated zones, whose targets get no new requests, as of an index of the replicated log.
    EvacuatedZones { index: u64, zones: Vec<Arc<str>> },

    /// Targets that were added or changed.
    Targets(Vec<TargetRecord>),

    /// Targets that have missed several announcements at this registry; replaces the previous list.
    SilentTargets(Vec<Arc<str>>),

    /// All gateways that are connected to any registry.
    Gateways(Vec<GatewayInfo>),

    /// Changes to the gateway list since the previous message about it.
    GatewaysChanged(GatewayChanges),

    /// Addresses of all registries.
    Registries(Vec<SocketAddr>),

    /// Targets restored from disk after a restart that have not announced themselves since; they may have left in the
    /// meantime.
    RestoredTargets(Vec<TargetRecord>),

    /// Ids of restored targets that have announced themselves since.
    RestoredTargetsSeen(Vec<Arc<str>>),

    /// Quarantined and suspected parts of prompts that were added or changed; on a new link, all of them.
    PartStatuses(Vec<PartStatus>),

    /// The gateway has received all changes of targets up to this position. Sent only to gateways that ask for
    /// [`FeedRequest::Full`].
    FeedPosition(FeedPosition),

    /// Digest of the targets that the registry knows. Sent only to gateways that ask for [`FeedRequest::Digest`].
    TargetDigest(TargetDigest),

    /// Like [`RegistryMessage::RestoredTargets`], with a [`TargetKeys`] instead of the records. Sent only to gateways
    /// that ask for [`FeedRequest::Digest`], which get the records from other registries.
    RestoredTargetKeys(TargetKeys),

    /// Changes to the list of silent targets since the previous message about it. Sent only to gateways that do not ask
    /// for [`FeedRequest::Plain`].
    SilentTargetsChanged { added: Vec<Arc<str>>, removed: Vec<Arc<str>> },
}
