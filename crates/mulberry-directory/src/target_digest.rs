//! Digest by which two processes find out whether they know the same targets.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{TargetRecord, TargetState};

/// Number and combined hash of the targets that have not left. Equal if two processes know the same records, except for
/// what changes with each announcement or with time: sequence numbers and remaining cold times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TargetDigest {
    pub count: u64,
    pub hash: u64,
}

impl TargetDigest {
    pub fn of<'a>(records: impl IntoIterator<Item = &'a TargetRecord>) -> TargetDigest {
        let mut digest = TargetDigest::default();
        let mut bytes = Vec::new();
        for record in records {
            if record.state == TargetState::Gone {
                continue;
            }
            bytes.clear();
            for name in [&record.id, &record.service, &record.zone] {
                bytes.extend_from_slice(name.as_bytes());
                bytes.push(0);
            }
            bytes.extend_from_slice(&record.started_ms.to_le_bytes());
            bytes.extend_from_slice(&record.slots.to_le_bytes());
            bytes.extend_from_slice(&record.address.port().to_le_bytes());
            match record.address.ip() {
                IpAddr::V4(ip) => bytes.extend_from_slice(&ip.octets()),
                IpAddr::V6(ip) => bytes.extend_from_slice(&ip.octets()),
            }
            bytes.push(u8::from(record.state == TargetState::Draining));
            digest.count += 1;
            digest.hash ^= xxh3_64(&bytes);
        }
        digest
    }
}
