//! What the body of a frame holds.

use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::MAX_BODY_BYTES;

/// Body of a frame from the client.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ToServer<T> {
    Call { id: u64, request: T },
    OneWay(T),
    Ping,
}

/// Body of a frame from the server.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum ToClient<T> {
    Reply {
        id: u64,
        reply: T,
    },
    Push(T),
    Pong,

    /// The handler dropped the call without a reply.
    NoReply {
        id: u64,
    },
}

/// The message is longer than a frame may be or cannot be encoded.
#[derive(Debug)]
pub(crate) struct EncodeError;

pub(crate) fn encode<T: Serialize>(message: &T) -> Result<Arc<[u8]>, EncodeError> {
    let body = postcard::to_stdvec(message).map_err(|_| EncodeError)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(EncodeError);
    }
    Ok(body.into())
}

/// `None` when the body holds anything but exactly one message.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Some(message),
        _ => None,
    }
}
