//! Checks of a whole configuration. An error names the path of the field and the remedy.

use std::fmt;
use std::sync::Arc;

use crate::{Configuration, Service, ServiceKind, Workspace};

const MAX_NAME_BYTES: usize = 64;
const MAX_WEIGHT: u32 = 1_000;

/// Longest deadline that a service may allow: one day.
const LONGEST_DEADLINE_MS: u64 = 86_400_000;

/// A field with an impossible value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationError {
    /// Path of the field, such as `workspaces.quotes.weight`.
    pub path: String,

    /// What is wrong and how to mend it.
    pub problem: String,
}

impl fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

impl std::error::Error for ConfigurationError {}

impl Configuration {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with an impossible value.
    pub fn check(&self) -> Result<(), ConfigurationError> {
        for (name, service) in &self.services {
            check_name("services", name)?;
            check_service(&format!("services.{name}"), service)?;
        }
        for (name, workspace) in &self.workspaces {
            check_name("workspaces", name)?;
            check_workspace(&format!("workspaces.{name}"), workspace)?;
        }
        self.check_keys_are_unique()?;
        self.zones.keys().try_for_each(|name| check_name("zones", name))?;
        self.targets.keys().try_for_each(|name| check_name("targets", name))
    }

    fn check_keys_are_unique(&self) -> Result<(), ConfigurationError> {
        let mut owners = std::collections::BTreeMap::<&Arc<str>, &Arc<str>>::new();
        for (name, workspace) in &self.workspaces {
            for (index, key) in workspace.api_key_sha256.iter().enumerate() {
                if let Some(owner) = owners.insert(key, name) {
                    return Err(error(
                        format!("workspaces.{name}.api_key_sha256[{index}]"),
                        format!("belongs to workspace {owner} too; give each key to one workspace"),
                    ));
                }
            }
        }
        Ok(())
    }
}

fn check_service(path: &str, service: &Service) -> Result<(), ConfigurationError> {
    if service.default_deadline_ms == 0 || service.default_deadline_ms > service.max_deadline_ms {
        return Err(error(
            format!("{path}.default_deadline_ms"),
            format!("is {}; use 1 to max_deadline_ms", service.default_deadline_ms),
        ));
    }
    if service.max_deadline_ms > LONGEST_DEADLINE_MS {
        return Err(error(
            format!("{path}.max_deadline_ms"),
            format!("is {}; use at most {LONGEST_DEADLINE_MS}", service.max_deadline_ms),
        ));
    }
    match &service.kind {
        ServiceKind::Model { max_answer_tokens: 0 } => Err(error(
            format!("{path}.kind.model.max_answer_tokens"),
            "is 0; use at least 1".to_owned(),
        )),
        ServiceKind::Model { .. } => Ok(()),
        ServiceKind::Plain { operations } => {
            for (index, operation) in operations.iter().enumerate() {
                let path = format!("{path}.kind.plain.operations[{index}]");
                check_operation(&path, &operation.method, &operation.path_prefix)?;
            }
            Ok(())
        }
    }
}

fn check_operation(path: &str, method: &str, prefix: &str) -> Result<(), ConfigurationError> {
    let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    if method != "*" && !is_method {
        return Err(error(
            format!("{path}.method"),
            format!("is \"{method}\"; use an upper-case HTTP method or \"*\""),
        ));
    }
    if !prefix.starts_with('/') {
        return Err(error(
            format!("{path}.path_prefix"),
            format!("is \"{prefix}\"; start it with \"/\""),
        ));
    }
    Ok(())
}

fn check_workspace(path: &str, workspace: &Workspace) -> Result<(), ConfigurationError> {
    if !(1..=MAX_WEIGHT).contains(&workspace.weight) {
        return Err(error(
            format!("{path}.weight"),
            format!("is {}; use 1 to {MAX_WEIGHT}", workspace.weight),
        ));
    }
    if workspace.max_in_flight == 0 {
        return Err(error(
            format!("{path}.max_in_flight"),
            "is 0; use at least 1, or remove the workspace".to_owned(),
        ));
    }
    for (index, key) in workspace.api_key_sha256.iter().enumerate() {
        let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if key.len() != 64 || !key.bytes().all(is_lower_hex) {
            return Err(error(
                format!("{path}.api_key_sha256[{index}]"),
                "is not 64 lower-case hexadecimal digits; use the SHA-256 of the key".to_owned(),
            ));
        }
    }
    Ok(())
}

fn check_name(path: &str, name: &str) -> Result<(), ConfigurationError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        return Err(error(
            format!("{path}.{name}"),
            format!("is no valid name; use 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"),
        ));
    }
    Ok(())
}

fn error(path: String, problem: String) -> ConfigurationError {
    ConfigurationError { path, problem }
}
