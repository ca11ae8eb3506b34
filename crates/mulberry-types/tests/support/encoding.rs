//! Encoded bytes of messages and records, one line of hexadecimal digits for each value.

use std::fmt::Write as _;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes each value, and checks that the bytes are read back as the same value.
pub fn encoded<T: Serialize + DeserializeOwned>(values: &[T]) -> String {
    let mut text = String::new();
    for value in values {
        let bytes = postcard::to_stdvec(value).expect("encodes");
        let decoded: T = postcard::from_bytes(&bytes).expect("decodes");
        assert_eq!(postcard::to_stdvec(&decoded).expect("encodes"), bytes);
        text.push_str(&hex(&bytes));
        text.push('\n');
    }
    text
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
