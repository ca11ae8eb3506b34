//! The configuration that operators create: services, workspaces, priorities and the lifecycle of targets and
//! availability zones.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The whole configuration. Names are the keys of the maps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Configuration {
    pub services: BTreeMap<Arc<str>, Service>,
    pub workspaces: BTreeMap<Arc<str>, Workspace>,

    /// Availability zones that differ from the default, which is `in`.
    pub zones: BTreeMap<Arc<str>, Zone>,

    /// Targets that differ from the default, which is `in`.
    pub targets: BTreeMap<Arc<str>, TargetOverride>,
}

/// A model or a plain service that callers can ask for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub kind: ServiceKind,

    /// Deadline of a request that names none.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,

    /// Longest deadline that a request may ask for.
    #[serde(default = "max_deadline_ms")]
    pub max_deadline_ms: u64,
}

/// What a service is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceKind {
    /// A model by the name that callers use; the service's own name is the model's name.
    Model {
        /// Longest answer that a request may ask for.
        max_answer_tokens: u32,
    },

    /// A plain HTTP service.
    Plain {
        /// The first operation that matches decides; a call that matches none is not repeatable.
        operations: Vec<Operation>,
    },
}

/// Calls of a plain service by method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// HTTP method, or `*` for any.
    pub method: Arc<str>,

    /// Path behind `/services/{name}`, matched as a prefix; starts with `/`.
    pub path_prefix: Arc<str>,

    pub repeatability: Repeatability,
}

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    Repeatable,
    AtMostOnce,
}

/// A team that sends requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// SHA-256 of each valid API key, as lower-case hexadecimal.
    pub api_key_sha256: Vec<Arc<str>>,

    /// Share of the fleet relative to the other workspaces, from 1 to 1,000.
    #[serde(default = "default_weight")]
    pub weight: u32,

    #[serde(default)]
    pub priority: Priority,

    /// Requests in flight at one entry, over all services.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
}

/// Priority of a workspace's requests.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    Low,
    #[default]
    Normal,
    High,
}

/// Lifecycle of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    pub state: ZoneState,
}

/// Whether an availability zone takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    In,
    Out,
}

/// Lifecycle of a target, as operators set it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetOverride {
    pub state: TargetState,
}

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    In,
    Drained,
}

impl Configuration {
    /// Whether operators let this availability zone take new work.
    pub fn zone_is_in(&self, zone: &str) -> bool {
        self.zones.get(zone).is_none_or(|zone| zone.state == ZoneState::In)
    }

    /// Whether operators let this target take new work; says nothing about its zone.
    pub fn target_is_in(&self, target: &str) -> bool {
        self.targets.get(target).is_none_or(|target| target.state == TargetState::In)
    }
}

impl Service {
    /// Whether a call of a plain service may run more than once.
    pub fn repeatability(&self, method: &str, path: &str) -> Repeatability {
        let ServiceKind::Plain { operations } = &self.kind else {
            return Repeatability::Repeatable;
        };
        operations
            .iter()
            .find(|operation| {
                (&*operation.method == "*" || &*operation.method == method)
                    && path.starts_with(&*operation.path_prefix)
            })
            .map_or(Repeatability::AtMostOnce, |operation| operation.repeatability)
    }
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn max_deadline_ms() -> u64 {
    900_000
}

fn default_weight() -> u32 {
    1
}

fn default_max_in_flight() -> u32 {
    256
}
