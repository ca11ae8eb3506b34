//! Commands of the replicated log.

use mulberry_types::{Change, ClaimKey, Incarnation, Member, NodeId, RequestId, StoredAnswer};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

use crate::{StateError, StateLimits};

/// Longest encoded command. The largest parts, a change and a stored answer, are limited to 1 MiB and
/// 80 KiB by the state machine.
pub const MAX_COMMAND_BYTES: usize = 4 << 20;

/// A command of the replicated log. `now_ms` is the leader's wall clock at the proposal, in milliseconds
/// since 1970.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration.
    Change { now_ms: u64, change: Change },

    /// Adds an entry to the members, or replaces its earlier life.
    Join { now_ms: u64, member: Member },

    /// Planned stop of one life of an entry. That life cannot join again.
    Leave { now_ms: u64, node: NodeId, incarnation: Incarnation },

    /// Removes one life of an entry whose lease has expired. The same life may join again.
    Expire { now_ms: u64, node: NodeId, incarnation: Incarnation },

    /// Asks for the right to dispatch a call that must not run twice.
    Claim { now_ms: u64, key: ClaimKey, fingerprint: [u8; 32], request: RequestId },

    /// Stores the answer of a claimed call.
    FinishClaim { now_ms: u64, key: ClaimKey, request: RequestId, answer: StoredAnswer },

    /// Gives a claim back; no byte of the call was or will be sent.
    ReleaseClaim { now_ms: u64, key: ClaimKey, request: RequestId },

    /// The call was dispatched and its result is not known.
    AbandonClaim { now_ms: u64, key: ClaimKey, request: RequestId },

    /// Removes claims and tombstones whose retention has passed.
    ExpireClaims { now_ms: u64 },

    /// Takes a share of the weight store's rate.
    TakePermit { now_ms: u64, target: Arc<str>, bytes: u64 },

    /// Replaces the bounds of the state.
    SetLimits { now_ms: u64, limits: StateLimits },
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    /// The command is longer than [`MAX_COMMAND_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        let bytes = postcard::to_stdvec(self)
            .map_err(|error| StateError::MalformedCommand { problem: error.to_string() })?;
        check_length(&bytes)?;
        Ok(bytes)
    }

    /// Decodes a command of the log.
    ///
    /// # Errors
    /// The bytes are no command, have a rest, or are longer than [`MAX_COMMAND_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Command, StateError> {
        check_length(bytes)?;
        let (command, rest) = postcard::take_from_bytes(bytes)
            .map_err(|error| StateError::MalformedCommand { problem: error.to_string() })?;
        if !rest.is_empty() {
            return Err(StateError::MalformedCommand {
                problem: format!("{} bytes after its end", rest.len()),
            });
        }
        Ok(command)
    }

    /// The leader's wall clock at the proposal.
    pub fn now_ms(&self) -> u64 {
        match self {
            Command::Change { now_ms, .. }
            | Command::Join { now_ms, .. }
            | Command::Leave { now_ms, .. }
            | Command::Expire { now_ms, .. }
            | Command::Claim { now_ms, .. }
            | Command::FinishClaim { now_ms, .. }
            | Command::ReleaseClaim { now_ms, .. }
            | Command::AbandonClaim { now_ms, .. }
            | Command::ExpireClaims { now_ms }
            | Command::TakePermit { now_ms, .. }
            | Command::SetLimits { now_ms, .. } => *now_ms,
        }
    }
}

fn check_length(bytes: &[u8]) -> Result<(), StateError> {
    if bytes.len() > MAX_COMMAND_BYTES {
        return Err(StateError::CommandTooLong { bytes: bytes.len(), limit: MAX_COMMAND_BYTES });
    }
    Ok(())
}
