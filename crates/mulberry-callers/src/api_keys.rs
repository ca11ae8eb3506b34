//! Keys of workspaces.

use std::sync::Arc;

use mulberry_http::Request;
use mulberry_types::Configuration;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{CallerError, ErrorCode, Outcome};

/// Hashed keys of all workspaces, built anew for each configuration version.
#[derive(Debug, Default)]
pub struct ApiKeys {
    keys: Vec<([u8; 32], Arc<str>)>,
}

impl ApiKeys {
    /// Keys of a configuration. A hash that is not hexadecimal is left out.
    pub fn new(configuration: &Configuration) -> ApiKeys {
        let keys = configuration.workspaces.iter().flat_map(|(name, workspace)| {
            workspace.api_key_sha256.iter().filter_map(|key| Some((parse_hash(key)?, name.clone())))
        });
        ApiKeys { keys: keys.collect() }
    }

    /// Workspace whose key the request carries.
    ///
    /// # Errors
    /// There is no bearer key, or no workspace has it.
    pub fn authenticate(&self, request: &Request) -> Result<Arc<str>, CallerError> {
        let key = request
            .header("authorization")
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or_else(|| wrong_key("send an API key as \"Authorization: Bearer KEY\""))?;
        self.workspace(key).ok_or_else(|| wrong_key("no workspace has this API key"))
    }

    /// Compares with every key, so that the time tells nothing about how much of a key is right.
    fn workspace(&self, key: &str) -> Option<Arc<str>> {
        let hash: [u8; 32] = Sha256::digest(key.trim().as_bytes()).into();
        self.keys.iter().fold(None, |found, (known, workspace)| {
            let is_equal: bool = known.ct_eq(&hash).into();
            if is_equal { Some(workspace.clone()) } else { found }
        })
    }
}

fn wrong_key(message: &str) -> CallerError {
    CallerError::new(ErrorCode::InvalidApiKey, Outcome::NotRun, message)
}

fn parse_hash(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; 32];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}
