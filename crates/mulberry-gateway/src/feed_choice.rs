//! From which registries a gateway takes all changes of targets.
//!
//! Every registry tells departures at once. All other changes are taken from two registries, which differ from gateway
//! to gateway; the others send digests. A registry whose digest stays different from the gateway's own knows something
//! that the two don't, and is asked for all changes as well.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_directory::{FeedPosition, FeedRequest, TargetDigest};
use xxhash_rust::xxh3::Xxh3;

/// Number of registries from which a gateway takes all changes. The second one makes up for the silence of the first.
const FULL_FEEDS: usize = 2;

/// Number of consecutive equal comparisons with a difference after which a registry is asked for all changes. While
/// targets come and go, the digests differ for as long as the news travels, but not in the same way each time.
const EQUAL_DIFFERENCES: u32 = 3;

/// From which registries a gateway takes all changes of targets.
#[derive(Debug)]
pub struct FeedChoice {
    own: Arc<str>,
    links: BTreeMap<SocketAddr, LinkFeed>,

    /// Last positions in the feeds of all registries.
    positions: BTreeMap<SocketAddr, FeedPosition>,
}

#[derive(Debug, Default)]
struct LinkFeed {
    is_full: bool,

    /// The last digests of the registry and the gateway, if they differed, and how often these were seen in a row.
    difference: Option<(TargetDigest, TargetDigest, u32)>,
}

impl FeedChoice {
    /// `own` is the name of the gateway.
    pub fn new(own: Arc<str>) -> FeedChoice {
        FeedChoice { own, links: BTreeMap::new(), positions: BTreeMap::new() }
    }

    /// Handles a new link to one of the `known` registries. Returns what to ask for.
    pub fn linked(&mut self, registry: SocketAddr, known: &BTreeSet<SocketAddr>) -> FeedRequest {
        let mut ranked: Vec<SocketAddr> = known.iter().copied().collect();
        ranked.sort_by_key(|address| self.rank(*address));
        let is_full = ranked.iter().take(FULL_FEEDS).any(|address| *address == registry);
        self.links.insert(registry, LinkFeed { is_full, difference: None });
        self.request(registry)
    }

    /// Handles the loss of a link.
    pub fn lost(&mut self, registry: SocketAddr) {
        self.links.remove(&registry);
    }

    /// What to ask a linked registry for.
    pub fn request(&self, registry: SocketAddr) -> FeedRequest {
        match self.links.get(&registry) {
            Some(link) if !link.is_full => FeedRequest::Digest,
            _ => FeedRequest::Full { resume: self.positions.get(&registry).copied() },
        }
    }

    /// Takes all changes from further linked registries while there are too few. Returns true if there are.
    pub fn fill(&mut self) -> bool {
        let full = self.links.values().filter(|link| link.is_full).count();
        let mut others: Vec<SocketAddr> =
            self.links.iter().filter(|(_, link)| !link.is_full).map(|(at, _)| *at).collect();
        others.sort_by_key(|address| self.rank(*address));
        others.truncate(FULL_FEEDS.saturating_sub(full));
        for address in &others {
            if let Some(link) = self.links.get_mut(address) {
                link.is_full = true;
            }
        }
        !others.is_empty()
    }

    /// Handles the digest of a registry. Returns true if all changes are to be taken from it from now on.
    pub fn compare(
        &mut self,
        registry: SocketAddr,
        digest: TargetDigest,
        own: TargetDigest,
    ) -> bool {
        let Some(link) = self.links.get_mut(&registry).filter(|link| !link.is_full) else {
            return false;
        };
        let times = match link.difference {
            Some((last, last_own, times)) if (last, last_own) == (digest, own) => times + 1,
            _ => 1,
        };
        link.difference = (digest != own).then_some((digest, own, times));
        if digest == own || times < EQUAL_DIFFERENCES {
            return false;
        }
        link.is_full = true;
        // The registry may know changes from before this position that the gateway lacks.
        self.positions.remove(&registry);
        // What this registry tells may be all that the others know as well.
        self.links.values_mut().for_each(|link| link.difference = None);
        true
    }

    /// Records that all changes up to a position were received.
    pub fn received(&mut self, registry: SocketAddr, position: FeedPosition) {
        self.positions.insert(registry, position);
    }

    /// Order of the registries, different for each gateway.
    fn rank(&self, address: SocketAddr) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.own.as_bytes());
        hasher.update(address.to_string().as_bytes());
        hasher.digest()
    }
}
