//! Tokens by which operators authenticate.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const DIGEST_BYTES: usize = 32;

/// One operator in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorToken {
    /// Name in the audit trail.
    pub operator: Arc<str>,

    /// SHA-256 of the operator's token, as lower-case hexadecimal.
    pub token_sha256: String,
}

/// Checked tokens of all operators.
#[derive(Debug, Clone)]
pub struct OperatorTokens {
    tokens: Vec<(Arc<str>, [u8; DIGEST_BYTES])>,
}

/// Settings of operators that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorTokenError {
    /// Path of the field, such as `operators[0].token_sha256`.
    pub path: String,

    /// What is wrong and how to mend it.
    pub problem: String,
}

impl OperatorTokens {
    /// Checks the operators of the settings.
    ///
    /// # Errors
    /// A name is empty, or a digest is malformed or given twice.
    pub fn new(operators: &[OperatorToken]) -> Result<OperatorTokens, OperatorTokenError> {
        let mut tokens: Vec<(Arc<str>, [u8; DIGEST_BYTES])> = Vec::new();
        for (index, OperatorToken { operator, token_sha256 }) in operators.iter().enumerate() {
            let error = |field, problem: &str| OperatorTokenError {
                path: format!("operators[{index}].{field}"),
                problem: problem.to_owned(),
            };
            if operator.is_empty() {
                return Err(error("operator", "is empty; use the operator's name"));
            }
            let digest = parse_digest(token_sha256).ok_or_else(|| {
                error("token_sha256", "is not 64 lower-case hexadecimal digits; use the SHA-256")
            })?;
            if tokens.iter().any(|(_, other)| *other == digest) {
                return Err(error(
                    "token_sha256",
                    "is given twice; give each operator an own token",
                ));
            }
            tokens.push((operator.clone(), digest));
        }
        Ok(OperatorTokens { tokens })
    }

    /// Name of the operator with this token. Compares with all digests in constant time.
    pub fn operator(&self, token: &str) -> Option<&Arc<str>> {
        let digest = Sha256::digest(token.as_bytes());
        self.tokens.iter().fold(None, |found, (operator, other)| {
            if bool::from(other.as_slice().ct_eq(digest.as_slice())) {
                Some(operator)
            } else {
                found
            }
        })
    }
}

fn parse_digest(text: &str) -> Option<[u8; DIGEST_BYTES]> {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(is_hex) {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}

impl fmt::Display for OperatorTokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

impl std::error::Error for OperatorTokenError {}
