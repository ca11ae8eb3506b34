//! Settings files: JSON, checked wholly at start.

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;

/// A settings file that cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Read { file: String, source: std::io::Error },

    /// A field is unknown, missing or has a wrong type or value.
    Field { path: String, problem: String },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Read { file, source } => {
                write!(f, "cannot read settings file {file}: {source}; check --settings")
            }
            SettingsError::Field { path, problem } => {
                write!(f, "settings field {path}: {problem}; see --print-default-settings")
            }
        }
    }
}

impl std::error::Error for SettingsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SettingsError::Read { source, .. } => Some(source),
            SettingsError::Field { .. } => None,
        }
    }
}

/// Reads a settings file.
///
/// # Errors
/// The file cannot be read, or a field is wrong; the error names the path of the field.
pub fn load_settings<T: DeserializeOwned>(file: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| SettingsError::Read { file: file.display().to_string(), source })?;
    parse_settings(&text)
}

/// Parses the text of a settings file.
///
/// # Errors
/// A field is wrong; the error names its path.
pub fn parse_settings<T: DeserializeOwned>(text: &str) -> Result<T, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        SettingsError::Field { path: error.path().to_string(), problem: error.inner().to_string() }
    })?;
    deserializer.end().map_err(|error| SettingsError::Field {
        path: ".".to_owned(),
        problem: error.to_string(),
    })?;
    Ok(value)
}
