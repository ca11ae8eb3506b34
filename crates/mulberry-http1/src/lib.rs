//! HTTP/1.1 messages for processes that forward them.
//!
//! A forwarded message must leave as it came, and its end must be known exactly: a byte too many or too few belongs to
//! another request. Heads that two parsers could read differently are therefore refused.

mod body;
mod connection;
mod head;
mod headers;
mod sockets;

pub use body::{BodyDecoder, BodyError, Framing, encode_chunk, request_framing, response_framing};
pub use connection::{Http1Connection, ReadError};
pub use head::{HeadError, RequestHead, ResponseHead, reason_phrase};
pub use headers::Headers;
pub use sockets::{connect, limit_unsent, listen, set_ack_timeout, watch_peer};
