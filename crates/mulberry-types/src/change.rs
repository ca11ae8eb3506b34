//! Changes of the configuration and their outcomes.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    ChangeId, Configuration, ConfigurationError, ConfigurationVersion, Service, TargetOverride,
    TargetState, Workspace, Zone, ZoneState,
};

/// One operation of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeOperation {
    PutService { name: Arc<str>, service: Service },
    RemoveService { name: Arc<str> },
    PutWorkspace { name: Arc<str>, workspace: Workspace },
    RemoveWorkspace { name: Arc<str> },
    SetZone { zone: Arc<str>, state: ZoneState },
    SetTarget { target: Arc<str>, state: TargetState },
}

/// A change as an operator sends it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub id: ChangeId,

    /// Who makes the change; recorded in the audit trail.
    pub operator: Arc<str>,

    /// Version that the operator has read and means to replace.
    pub expected_version: ConfigurationVersion,

    pub operations: Vec<ChangeOperation>,
}

/// What became of a change. A resent change gets the same outcome again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    Accepted { version: ConfigurationVersion },
    Rejected { reason: RejectReason },
}

/// Why a change was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectReason {
    /// Another change came first; read the current version and plan again.
    VersionConflict { current: ConfigurationVersion },

    /// An operation does not fit the configuration.
    Invalid { path: String, problem: String },

    /// The same change id was used with other contents.
    IdReused,
}

/// One accepted change in the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    pub change_id: ChangeId,
    pub operator: Arc<str>,

    /// Leader's wall clock at the proposal, in milliseconds since 1970.
    pub at_unix_ms: u64,

    pub from_version: ConfigurationVersion,
    pub to_version: ConfigurationVersion,
    pub operations: Vec<ChangeOperation>,
}

/// What an entry needs to reach a newer version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// Operations that lead from one version to a later one.
    Delta {
        from_version: ConfigurationVersion,
        to_version: ConfigurationVersion,
        operations: Vec<ChangeOperation>,
    },

    /// The whole configuration, when the deltas are no longer kept.
    Full { version: ConfigurationVersion, configuration: Configuration },
}

impl ChangeOperation {
    /// Applies the operation.
    ///
    /// # Errors
    /// The operation removes something that does not exist. The configuration is unchanged then.
    pub fn apply(&self, configuration: &mut Configuration) -> Result<(), ConfigurationError> {
        match self {
            ChangeOperation::PutService { name, service } => {
                configuration.services.insert(name.clone(), service.clone());
            }
            ChangeOperation::RemoveService { name } => {
                configuration.services.remove(name).ok_or_else(|| missing("services", name))?;
            }
            ChangeOperation::PutWorkspace { name, workspace } => {
                configuration.workspaces.insert(name.clone(), workspace.clone());
            }
            ChangeOperation::RemoveWorkspace { name } => {
                configuration.workspaces.remove(name).ok_or_else(|| missing("workspaces", name))?;
            }
            ChangeOperation::SetZone { zone, state } => {
                configuration.zones.insert(zone.clone(), Zone { state: *state });
            }
            ChangeOperation::SetTarget { target, state } => {
                configuration.targets.insert(target.clone(), TargetOverride { state: *state });
            }
        }
        Ok(())
    }
}

fn missing(path: &str, name: &str) -> ConfigurationError {
    ConfigurationError {
        path: format!("{path}.{name}"),
        problem: "does not exist; read the current configuration and plan again".to_owned(),
    }
}
