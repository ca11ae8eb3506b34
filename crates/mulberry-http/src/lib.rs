//! A bounded HTTP/1.1 server that calls blocking handlers.
//!
//! Connections, header time, body time, body size, buffered bytes and requests in flight are all bounded, so that
//! idle and half-sent connections cost neither threads nor unbounded memory. Sockets are served by `hyper` on a few
//! runtime threads; each request that has arrived whole is handled on a thread of its own.

mod body;
mod request;
mod responder;
mod server;
mod settings;

pub use bytes::Bytes;
pub use hyper::header;
pub use hyper::{HeaderMap, Method, StatusCode};

pub use request::Request;
pub use responder::{BodyWriter, Responder, Response, WriteError};
pub use server::{HttpServer, HttpStats};
pub use settings::HttpSettings;
