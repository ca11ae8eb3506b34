//! A request that has arrived whole.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};

/// A request that has arrived whole.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,

    /// Address of the client, or of the balancer before it.
    pub remote: SocketAddr,
}

impl Request {
    /// Path without the query.
    pub fn path(&self) -> &str {
        self.uri.path()
    }

    /// Text of a header; `None` if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        self.uri.query()?.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }
}
