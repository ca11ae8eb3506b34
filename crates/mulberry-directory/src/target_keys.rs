//! A set of targets as short hashes of their ids.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Length of a hash. Among 10,000 targets, two have the same one with a probability of less than one in a million.
const KEY_BYTES: usize = 6;

/// A set of targets as short hashes of their ids.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TargetKeys {
    /// Hashes in ascending order, one after the other.
    bytes: Vec<u8>,
}

impl TargetKeys {
    pub fn new<'a>(ids: impl IntoIterator<Item = &'a str>) -> TargetKeys {
        let mut keys: Vec<[u8; KEY_BYTES]> = ids.into_iter().map(key).collect();
        keys.sort_unstable();
        TargetKeys { bytes: keys.concat() }
    }

    pub fn contains(&self, id: &str) -> bool {
        let key = key(id);
        let (mut low, mut high) = (0, self.bytes.len() / KEY_BYTES);
        while low < high {
            let middle = low.midpoint(high);
            match self.bytes[middle * KEY_BYTES..][..KEY_BYTES].cmp(&key) {
                Ordering::Less => low = middle + 1,
                Ordering::Equal => return true,
                Ordering::Greater => high = middle,
            }
        }
        false
    }
}

fn key(id: &str) -> [u8; KEY_BYTES] {
    let [a, b, c, d, e, f, ..] = xxh3_64(id.as_bytes()).to_be_bytes();
    [a, b, c, d, e, f]
}
