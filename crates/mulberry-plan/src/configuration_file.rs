//! Files that hold a whole configuration as JSON.

use std::collections::HashSet;
use std::fmt;
use std::path::Path;

use mulberry_types::{Configuration, ConfigurationError};
use serde::de::{DeserializeOwned, Deserializer, Error, MapAccess, SeqAccess, Visitor};

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
/// A field is unknown, missing, given twice or has an impossible value; the error names its path and
/// the remedy.
pub fn parse_configuration(text: &str) -> Result<Configuration, ConfigurationError> {
    // A map would keep the last one of two entries with the same name without a word.
    let UniqueNames = parse(text)?;
    let configuration: Configuration = parse(text)?;
    configuration.check()?;
    Ok(configuration)
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ConfigurationError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        ConfigurationError {
            // The path of a text that ends early is not known.
            path: error.path().to_string().replace('?', "."),
            problem: format!("{}; correct the file", error.inner()),
        }
    })?;
    deserializer.end().map_err(|error| ConfigurationError {
        path: ".".to_owned(),
        problem: format!("{error}; keep one JSON object in the file"),
    })?;
    Ok(value)
}

/// Any JSON whose objects have no name twice.
struct UniqueNames;

impl<'de> serde::Deserialize<'de> for UniqueNames {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<UniqueNames, D::Error> {
        deserializer.deserialize_any(UniqueNames)
    }
}

impl<'de> Visitor<'de> for UniqueNames {
    type Value = UniqueNames;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<UniqueNames, A::Error> {
        let mut names = HashSet::new();
        while let Some(name) = map.next_key::<String>()? {
            if names.contains(&name) {
                return Err(A::Error::custom(format!("\"{name}\" is given twice; keep one")));
            }
            names.insert(name);
            map.next_value::<UniqueNames>()?;
        }
        Ok(UniqueNames)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<UniqueNames, A::Error> {
        while sequence.next_element::<UniqueNames>()?.is_some() {}
        Ok(UniqueNames)
    }

    fn visit_bool<E>(self, _: bool) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_i64<E>(self, _: i64) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_u64<E>(self, _: u64) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_f64<E>(self, _: f64) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_str<E>(self, _: &str) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }

    fn visit_unit<E>(self) -> Result<UniqueNames, E> {
        Ok(UniqueNames)
    }
}
