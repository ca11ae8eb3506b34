//! Messages on the link between a gateway and a registry.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_routes::{ConfigDelta, RoutingConfig};
use serde::{Deserialize, Serialize};

use crate::{GatewayChanges, TargetRecord};

/// A gateway as others see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayInfo {
    pub name: Arc<str>,
    pub zone: Arc<str>,

    /// Drawn at random at each start.
    pub incarnation: u64,

    /// Time of day of its start; the gateway that has run longest is asked first.
    pub started_ms: u64,

    /// Where other gateways reach it.
    pub address: SocketAddr,

    /// False once the gateway is stopping: nobody turns to it any more.
    pub is_active: bool,
}

/// What arrives at the link port of a registry. `P` is what registries tell each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage<P> {
    Peer(P),
    Gateway(GatewayMessage),
}

/// From a gateway to a registry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// The first message, and again when something of it changes.
    Hello { gateway: GatewayInfo },

    /// Asks for the configuration, because a registry told of a newer version than this gateway holds; 0 for none.
    RequestConfig { held_version: u64 },
}

/// From a registry to a gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RegistryMessage {
    /// A configuration that this registry knows to be accepted.
    Config(Arc<RoutingConfig>),

    /// What has changed since a version that the gateway holds.
    ConfigDelta(Arc<ConfigDelta>),

    /// Version that this registry knows to be accepted; also the sign of life of an idle link.
    ConfigVersion {
        version: u64,

        /// Whether the group has confirmed it since this registry's start. Until then a newer one may be accepted.
        is_confirmed: bool,
    },

    /// Zones that get nothing new, as of an index of the replicated log.
    EvacuatedZones { index: u64, zones: Vec<Arc<str>> },

    /// Targets that are new or have changed.
    Targets(Vec<TargetRecord>),

    /// Targets that have been silent for some announcements, as this registry sees it; replaces the list before.
    SilentTargets(Vec<Arc<str>>),

    /// Gateways that are linked to this registry or another one.
    Gateways(Vec<GatewayInfo>),

    /// What has changed of them since they were told last.
    GatewaysChanged(GatewayChanges),

    /// Addresses of all registries.
    Registries(Vec<SocketAddr>),

    /// Targets that this registry noted before its start and has not heard from since; they may have left meanwhile.
    RestoredTargets(Vec<TargetRecord>),

    /// Targets among those that were noted and have been heard from since.
    RestoredTargetsSeen(Vec<Arc<str>>),
}
