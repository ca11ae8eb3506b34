//! Cap on the engines of a model that prefill long prompts at the same time.
//!
//! The engines that may take prompts over 16,000 tokens are the first three quarters of a ranking that every
//! entry computes in the same way from the digests: by memory, because only large engines fit the
//! longest prompts, then by a hash of model and engine. So all entries and homes agree without
//! messages, up to the age of their digests. Three engines are always eligible. An engine that has lost its place
//! and still has a long prompt in prefill takes the place of another one, so the cap also holds
//! while engines come and go.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mulberry_types::{Configuration, MembershipEpoch, TargetDigest, TargetKind};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::FleetView;
use crate::fleet_view::is_ready;

/// Prompts above this take part in the cap.
pub const LONG_PROMPT_TOKENS: u64 = 16_000;

/// Quarters of a model's engines that may take long prompts. With two quarters, prompts over 128,000
/// tokens waited up to 77 s while engines without long prompts were idle; shorts keep their time to
/// first token by their priority at the engine.
const CAP_QUARTERS: usize = 3;

/// Engines that may always take long prompts. The longest prompts need the memory of three engines,
/// and with fewer eligible ones a model on few engines could never serve them.
const MIN_ENGINES: usize = 3;

/// Engines that may take long prompts now, by model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LongPrefillCap {
    models: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl LongPrefillCap {
    /// Computes the engines from the digests of all homes.
    #[must_use]
    pub fn of(view: &FleetView, configuration: &Configuration) -> LongPrefillCap {
        // While a target moves, two homes may list it; the newest epoch counts.
        let mut engines: BTreeMap<&str, (MembershipEpoch, &TargetDigest)> = BTreeMap::new();
        for (home, target) in view.targets() {
            let newest = engines.entry(&target.target).or_insert((home.epoch, target));
            if home.epoch > newest.0 {
                *newest = (home.epoch, target);
            }
        }
        let mut ready: BTreeMap<&Arc<str>, Vec<&TargetDigest>> = BTreeMap::new();
        for (_, engine) in engines.values() {
            let TargetKind::Engine { models } = &engine.kind else {
                continue;
            };
            if !is_ready(engine, configuration) {
                continue;
            }
            for model in models {
                ready.entry(model).or_default().push(engine);
            }
        }
        let models = ready
            .into_iter()
            .map(|(model, engines)| (Arc::clone(model), eligible(model, engines)))
            .collect();
        LongPrefillCap { models }
    }

    /// Whether an engine may take a long prompt for this model.
    #[must_use]
    pub fn allows(&self, model: &str, target: &str) -> bool {
        self.models.get(model).is_some_and(|engines| engines.contains(target))
    }

    /// Whether an engine may take a long prompt for any of its models; a `Reserve` names none.
    #[must_use]
    pub fn allows_for_any_model(&self, target: &str) -> bool {
        self.models.values().any(|engines| engines.contains(target))
    }

    /// Engines that may take long prompts for a model.
    pub fn engines(&self, model: &str) -> impl Iterator<Item = &Arc<str>> {
        self.models.get(model).into_iter().flatten()
    }
}

fn eligible(model: &str, mut engines: Vec<&TargetDigest>) -> BTreeSet<Arc<str>> {
    let share = engines.len() * CAP_QUARTERS / 4;
    let cap = share.max(MIN_ENGINES.min(engines.len()));
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    engines.sort_by_cached_key(|engine| {
        let hash = xxh3_64_with_seed(engine.target.as_bytes(), seed);
        (std::cmp::Reverse(engine.memory_tokens), hash, Arc::clone(&engine.target))
    });
    // Engines in long prefill keep their places, also those that are outside of the first ones now.
    let mut places = cap.saturating_sub(engines.iter().filter(|it| it.long_prefill).count());
    let mut allowed = BTreeSet::new();
    for engine in engines.iter().take(cap) {
        if engine.long_prefill {
            allowed.insert(Arc::clone(&engine.target));
        } else if places > 0 {
            places -= 1;
            allowed.insert(Arc::clone(&engine.target));
        }
    }
    allowed
}
