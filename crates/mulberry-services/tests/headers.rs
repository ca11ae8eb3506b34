//! Which headers pass to a service and back.

use mulberry_http::HeaderMap;
use mulberry_http::header::{HeaderName, HeaderValue};
use mulberry_services::forwarded_headers;

/// Guards against hop-by-hop headers that pass through, also those that `Connection` names, and
/// against the loss of repeated headers.
#[test]
fn hop_by_hop_headers_and_keys_do_not_pass() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Private"),
        ("x-private", "no"),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("transfer-encoding", "chunked"),
        ("authorization", "Bearer key"),
        ("idempotency-key", "k"),
        ("accept-language", "en"),
        ("accept-language", "zu"),
    ] {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let passed: Vec<String> = forwarded_headers(&headers)
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or_default()))
        .collect();
    insta::assert_snapshot!(passed.join("\n"), @r"
    idempotency-key: k
    accept-language: en
    accept-language: zu
    ");
}
