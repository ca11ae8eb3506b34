//! The secret that all processes of one system share.

use std::fmt;
use std::path::Path;
use std::sync::Arc;

use subtle::ConstantTimeEq;

/// Shorter secrets could be guessed offline from one recorded handshake.
const MIN_SECRET_BYTES: usize = 32;

/// Shared secret of the system's own processes.
#[derive(Clone)]
pub struct PeerSecret {
    bytes: Arc<[u8]>,
}

/// A secret that cannot be used.
#[derive(Debug)]
pub enum PeerSecretError {
    /// The secret has fewer than 32 bytes.
    TooShort { bytes: usize },

    /// The file cannot be read.
    Read { file: String, source: std::io::Error },
}

impl PeerSecret {
    /// Takes the secret from a settings string. White space around it is not part of the secret.
    ///
    /// # Errors
    /// The secret is shorter than 32 bytes.
    pub fn new(text: &str) -> Result<PeerSecret, PeerSecretError> {
        let bytes = text.trim().as_bytes();
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(PeerSecretError::TooShort { bytes: bytes.len() });
        }
        Ok(PeerSecret { bytes: Arc::from(bytes) })
    }

    /// Reads the secret from a file. White space around it is not part of the secret.
    ///
    /// # Errors
    /// The file cannot be read or holds fewer than 32 bytes.
    pub fn from_file(file: &Path) -> Result<PeerSecret, PeerSecretError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| PeerSecretError::Read { file: file.display().to_string(), source })?;
        PeerSecret::new(&text)
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl PartialEq for PeerSecret {
    /// Compares in a time that does not depend on the contents.
    fn eq(&self, other: &PeerSecret) -> bool {
        self.bytes.ct_eq(&other.bytes).into()
    }
}

impl Eq for PeerSecret {}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}

impl fmt::Display for PeerSecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PeerSecretError::TooShort { bytes } => write!(
                f,
                "the peer secret has {bytes} bytes; use at least {MIN_SECRET_BYTES} random bytes"
            ),
            PeerSecretError::Read { file, source } => {
                write!(f, "cannot read the peer secret from {file}: {source}; check the path")
            }
        }
    }
}

impl std::error::Error for PeerSecretError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            PeerSecretError::Read { source, .. } => Some(source),
            PeerSecretError::TooShort { .. } => None,
        }
    }
}
