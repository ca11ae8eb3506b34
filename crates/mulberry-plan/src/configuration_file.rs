//! Files that hold a whole configuration as JSON.

use std::path::Path;

use mulberry_types::{Configuration, ConfigurationError};

use crate::FileError;

/// Reads and checks a whole configuration.
///
/// # Errors
/// The file cannot be read, or a field is unknown, missing or has an impossible value; the error
/// names the path of the field and the remedy.
pub fn read_configuration(file: &Path) -> Result<Configuration, FileError> {
    let text = std::fs::read_to_string(file)
        .map_err(|source| FileError::Read { file: file.display().to_string(), source })?;
    parse_configuration(&text).map_err(FileError::Field)
}

/// Parses and checks a whole configuration.
///
/// # Errors
/// A field is unknown, missing or has an impossible value; the error names its path and the remedy.
pub fn parse_configuration(text: &str) -> Result<Configuration, ConfigurationError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let configuration: Configuration = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| ConfigurationError {
            // The path of a text that ends early is not known.
            path: error.path().to_string().replace('?', "."),
            problem: format!("{}; correct the file", error.inner()),
        })?;
    deserializer.end().map_err(|error| ConfigurationError {
        path: ".".to_owned(),
        problem: format!("{error}; keep one JSON object in the file"),
    })?;
    configuration.check()?;
    Ok(configuration)
}
