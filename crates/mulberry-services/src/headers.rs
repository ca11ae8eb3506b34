//! Which headers pass through.

use mulberry_http::HeaderMap;
use mulberry_http::header::{CONNECTION, HeaderName};

/// Headers that belong to one connection, that this system sets itself, or that hold a key which is
/// meant for this system only.
const NOT_FORWARDED: [&str; 14] = [
    "authorization",
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "x-request-id",
];

/// Headers of a request or answer that pass through: all but the hop-by-hop ones and those that
/// `Connection` names.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let passes = |name: &HeaderName| {
        !NOT_FORWARDED.contains(&name.as_str()) && !named.iter().any(|named| named == name.as_str())
    };
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers.iter().filter(|(name, _)| passes(name)) {
        forwarded.append(name.clone(), value.clone());
    }
    forwarded
}
