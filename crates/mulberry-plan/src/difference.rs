//! Differences between two configurations: as operations, and as lines for people.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use mulberry_types::{ChangeOperation, Configuration, TargetState, ZoneState};
use serde::Serialize;
use serde_json::Value;

/// One field that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Difference {
    Added { path: String, value: Value },
    Changed { path: String, from: Value, to: Value },
    Removed { path: String, value: Value },
}

/// The fewest operations that lead from one configuration to another.
///
/// An override of a zone or target is never removed but set back to `in`, which means the same.
pub fn change_operations(from: &Configuration, to: &Configuration) -> Vec<ChangeOperation> {
    let mut operations = Vec::new();
    // Removals come first, so that a key may move from a removed workspace to a new one.
    for name in missing(&from.workspaces, &to.workspaces) {
        operations.push(ChangeOperation::RemoveWorkspace { name });
    }
    for name in missing(&from.services, &to.services) {
        operations.push(ChangeOperation::RemoveService { name });
    }
    for (name, service) in &to.services {
        if from.services.get(name) != Some(service) {
            let (name, service) = (name.clone(), service.clone());
            operations.push(ChangeOperation::PutService { name, service });
        }
    }
    for (name, workspace) in &to.workspaces {
        if from.workspaces.get(name) != Some(workspace) {
            let (name, workspace) = (name.clone(), workspace.clone());
            operations.push(ChangeOperation::PutWorkspace { name, workspace });
        }
    }
    for zone in missing(&from.zones, &to.zones).into_iter().chain(to.zones.keys().cloned()) {
        let is_in = to.zone_is_in(&zone);
        if is_in != from.zone_is_in(&zone) {
            let state = if is_in { ZoneState::In } else { ZoneState::Out };
            operations.push(ChangeOperation::SetZone { zone, state });
        }
    }
    let targets = missing(&from.targets, &to.targets).into_iter().chain(to.targets.keys().cloned());
    for target in targets {
        let is_in = to.target_is_in(&target);
        if is_in != from.target_is_in(&target) {
            let state = if is_in { TargetState::In } else { TargetState::Drained };
            operations.push(ChangeOperation::SetTarget { target, state });
        }
    }
    operations
}

/// The fields that differ, by path. Overrides that are `in` count as absent.
pub fn differences(from: &Configuration, to: &Configuration) -> Vec<Difference> {
    let (from, to) = (fields(from), fields(to));
    let mut differences = Vec::new();
    for (path, value) in &from {
        let path = path.clone();
        match to.get(&path) {
            None => differences.push(Difference::Removed { path, value: value.clone() }),
            Some(new) if new != value => {
                let (from, to) = (value.clone(), new.clone());
                differences.push(Difference::Changed { path, from, to });
            }
            Some(_) => {}
        }
    }
    for (path, value) in to {
        if !from.contains_key(&path) {
            differences.push(Difference::Added { path, value });
        }
    }
    differences.sort_by(|a, b| a.path().cmp(b.path()));
    differences
}

impl Difference {
    /// Path of the field, such as `workspaces.quotes.weight`.
    pub fn path(&self) -> &str {
        match self {
            Difference::Added { path, .. }
            | Difference::Changed { path, .. }
            | Difference::Removed { path, .. } => path,
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Difference::Added { path, value } => write!(f, "+ {path}: {value}"),
            Difference::Changed { path, from, to } => write!(f, "~ {path}: {from} -> {to}"),
            Difference::Removed { path, value } => write!(f, "- {path}: {value}"),
        }
    }
}

/// Configuration without the overrides that only repeat the default.
pub(crate) fn without_defaults(mut configuration: Configuration) -> Configuration {
    configuration.zones.retain(|_, zone| zone.state != ZoneState::In);
    configuration.targets.retain(|_, target| target.state != TargetState::In);
    configuration
}

fn missing<T>(from: &BTreeMap<Arc<str>, T>, to: &BTreeMap<Arc<str>, T>) -> Vec<Arc<str>> {
    from.keys().filter(|name| !to.contains_key(*name)).cloned().collect()
}

/// Value of each field without parts of its own. Lists count as one field.
fn fields(configuration: &Configuration) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    if let Ok(value) = serde_json::to_value(without_defaults(configuration.clone())) {
        collect(String::new(), value, &mut fields);
    }
    fields
}

fn collect(path: String, value: Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(parts) if !parts.is_empty() => {
            for (name, part) in parts {
                let path = if path.is_empty() { name } else { format!("{path}.{name}") };
                collect(path, part, fields);
            }
        }
        // The maps of a configuration have no value of their own; only their entries have.
        Value::Object(_) => {}
        value => {
            fields.insert(path, value);
        }
    }
}
