//! A wanted configuration, built from the one in force.

use std::collections::BTreeMap;
use std::sync::Arc;

use mulberry_operators::{ConfigurationAnswer, OperatorClient};
use mulberry_types::{
    Change, ChangeId, Configuration, ConfigurationError, Priority, Service, TargetOverride,
    TargetState, Workspace, Zone, ZoneState,
};
use rand::Rng;

use crate::{PlanError, PrintedPlan, change_operations, differences};

/// A wanted configuration and the one in force that it starts from.
///
/// Setters do not fail; [`Plan::print`] reports everything that is wrong.
#[derive(Debug, Clone)]
pub struct Plan {
    in_force: ConfigurationAnswer,
    wanted: Configuration,

    /// Names that setters used but that do not exist.
    dangling: Vec<ConfigurationError>,
}

impl Plan {
    /// Starts from the configuration in force.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn read(client: &OperatorClient) -> Result<Plan, PlanError> {
        client.configuration().map(Plan::new).map_err(PlanError::Read)
    }

    /// Starts from a configuration that was read before.
    pub fn new(in_force: ConfigurationAnswer) -> Plan {
        let wanted = in_force.configuration.clone();
        Plan { in_force, wanted, dangling: Vec::new() }
    }

    /// The configuration in force and its version.
    pub fn in_force(&self) -> &ConfigurationAnswer {
        &self.in_force
    }

    /// The configuration that is wanted so far.
    pub fn wanted(&self) -> &Configuration {
        &self.wanted
    }

    /// Replaces the whole wanted configuration, such as by one from a file.
    #[must_use]
    pub fn configuration(mut self, configuration: Configuration) -> Plan {
        self.wanted = configuration;
        self
    }

    /// Adds or replaces a service.
    #[must_use]
    pub fn service(mut self, name: &str, service: Service) -> Plan {
        self.wanted.services.insert(name.into(), service);
        self
    }

    /// Removes a service.
    #[must_use]
    pub fn remove_service(mut self, name: &str) -> Plan {
        if self.wanted.services.remove(name).is_none() {
            self.dangling.push(dangling("services", name, &self.wanted.services));
        }
        self
    }

    /// Adds or replaces a workspace.
    #[must_use]
    pub fn workspace(mut self, name: &str, workspace: Workspace) -> Plan {
        self.wanted.workspaces.insert(name.into(), workspace);
        self
    }

    /// Removes a workspace.
    #[must_use]
    pub fn remove_workspace(mut self, name: &str) -> Plan {
        if self.wanted.workspaces.remove(name).is_none() {
            self.dangling.push(dangling("workspaces", name, &self.wanted.workspaces));
        }
        self
    }

    /// Sets the priority of a workspace.
    #[must_use]
    pub fn priority(self, workspace: &str, priority: Priority) -> Plan {
        self.change_workspace(workspace, |workspace| workspace.priority = priority)
    }

    /// Sets the share of a workspace relative to the others, from 1 to 1,000.
    #[must_use]
    pub fn weight(self, workspace: &str, weight: u32) -> Plan {
        self.change_workspace(workspace, |workspace| workspace.weight = weight)
    }

    /// Lets an availability zone take new work, or not.
    #[must_use]
    pub fn zone(mut self, name: &str, state: ZoneState) -> Plan {
        self.wanted.zones.insert(name.into(), Zone { state });
        self
    }

    /// Lets a target take new work, or not.
    #[must_use]
    pub fn target(mut self, name: &str, state: TargetState) -> Plan {
        self.wanted.targets.insert(name.into(), TargetOverride { state });
        self
    }

    /// Checks the wanted configuration and fixes the change that leads to it.
    ///
    /// # Errors
    /// Setters used names that do not exist, or a field has an impossible value.
    pub fn print(self) -> Result<PrintedPlan, PlanError> {
        let Plan { in_force, wanted, mut dangling } = self;
        dangling.extend(wanted.check().err());
        if !dangling.is_empty() {
            return Err(PlanError::Invalid(dangling));
        }
        let change = Change {
            id: draw_change_id(),
            // The control instance enters the name that belongs to the token.
            operator: "".into(),
            expected_version: in_force.version,
            operations: change_operations(&in_force.configuration, &wanted),
        };
        let differences = differences(&in_force.configuration, &wanted);
        Ok(PrintedPlan { change, wanted, differences })
    }

    fn change_workspace(mut self, name: &str, change: impl FnOnce(&mut Workspace)) -> Plan {
        match self.wanted.workspaces.get_mut(name) {
            Some(workspace) => change(workspace),
            None => self.dangling.push(dangling("workspaces", name, &self.wanted.workspaces)),
        }
        self
    }
}

fn dangling<T>(kind: &str, name: &str, known: &BTreeMap<Arc<str>, T>) -> ConfigurationError {
    let remedy = if known.is_empty() {
        "there are none; add it first".to_owned()
    } else {
        let names: Vec<_> = known.keys().map(|name| &**name).collect();
        format!("use one of {}, or add it first", names.join(", "))
    };
    ConfigurationError {
        path: format!("{kind}.{name}"),
        problem: format!("does not exist; {remedy}"),
    }
}

/// 128 random bits: two operators never draw the same id.
fn draw_change_id() -> ChangeId {
    ChangeId(format!("{:032x}", rand::rng().random::<u128>()).into())
}
