//! Lists of registries, as each registry reports them.
//!
//! A gateway links to all registries in any list. The list of a registry outlives the link to it, since all registries
//! may restart at the same time, with other lists than before. It names its sender, so a registry that is gone for good
//! would be kept by its own list.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Time for which the list of a registry is kept that is not linked and that no linked registry lists. The others list
/// a silent registry for longer than this.
const UNLISTED_EXPIRY_MS: u64 = 10_000;

/// Lists of registries by the registry that reported them.
#[derive(Debug, Default)]
pub(crate) struct RegistryLists {
    lists: HashMap<SocketAddr, RegistryList>,
}

#[derive(Debug)]
struct RegistryList {
    addresses: Vec<SocketAddr>,

    /// Whether a link to the reporter is up.
    is_linked: bool,

    /// Time since which the reporter is not linked while others are, of which none lists it.
    unlisted_since_ms: Option<u64>,
}

impl RegistryLists {
    /// Records the list of a linked registry.
    pub(crate) fn reported(&mut self, reporter: SocketAddr, addresses: Vec<SocketAddr>) {
        let list = RegistryList { addresses, is_linked: true, unlisted_since_ms: None };
        self.lists.insert(reporter, list);
    }

    /// Records that a registry was linked, or that the link is lost.
    pub(crate) fn set_linked(&mut self, reporter: SocketAddr, is_linked: bool) {
        if let Some(list) = self.lists.get_mut(&reporter) {
            list.is_linked = is_linked;
        }
    }

    /// Removes the lists of registries that are gone, and returns the addresses of those.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<SocketAddr> {
        let linked = self.lists.values().filter(|list| list.is_linked);
        let listed: BTreeSet<SocketAddr> =
            linked.flat_map(|list| list.addresses.iter().copied()).collect();
        let mut expired = Vec::new();
        for (reporter, list) in &mut self.lists {
            if list.is_linked || listed.is_empty() || listed.contains(reporter) {
                list.unlisted_since_ms = None;
            } else if *list.unlisted_since_ms.get_or_insert(now_ms) + UNLISTED_EXPIRY_MS <= now_ms {
                expired.push(*reporter);
            }
        }
        self.lists.retain(|reporter, _| !expired.contains(reporter));
        expired
    }

    /// Addresses of all registries in the lists.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.lists.values().flat_map(|list| list.addresses.iter().copied())
    }
}
