//! Identifiers. Each is a newtype, so that a version cannot be passed where an epoch is expected.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of an entry or control instance, from its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeId(pub u32);

/// Random number drawn at each start of a process; tells two lives of one node apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Number of a set of live entries; grows with each entry that joins, leaves or expires.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MembershipEpoch(pub u64);

/// Version of the whole configuration; grows by one with each accepted change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigurationVersion(pub u64);

/// Id that an operator's client draws for a change and sends again with each resend.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub Arc<str>);

/// Id of one request inside the system. Unique over restarts because it holds the incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub counter: u64,
}

/// Id of a reservation at the home that granted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReservationId(pub u64);

/// Fencing number of an order: a later epoch, then a later counter, supersedes an earlier one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    pub epoch: MembershipEpoch,
    pub counter: u64,
}

/// The text is not `node-incarnation-counter` with hexadecimal numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseRequestIdError;

impl fmt::Display for ParseRequestIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a request id has the form node-incarnation-counter with hexadecimal numbers")
    }
}

impl std::error::Error for ParseRequestIdError {}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}-{:x}", self.node.0, self.incarnation.0, self.counter)
    }
}

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<RequestId, ParseRequestIdError> {
        let mut parts = text.split('-').map(|part| u64::from_str_radix(part, 16));
        let mut next = || parts.next().and_then(Result::ok).ok_or(ParseRequestIdError);
        let node = u32::try_from(next()?).map_err(|_| ParseRequestIdError)?;
        let incarnation = Incarnation(next()?);
        let counter = next()?;
        if parts.next().is_some() {
            return Err(ParseRequestIdError);
        }
        Ok(RequestId { node: NodeId(node), incarnation, counter })
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for MembershipEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for ConfigurationVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
