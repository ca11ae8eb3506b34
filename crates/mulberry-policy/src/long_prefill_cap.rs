//! Limit on the number of engines per model that prefill long prompts at the same time.
//!
//! Prompts over 16,000 tokens go only to the first three quarters of a model's engines, and to at
//! least three engines. Engines are ranked by memory, because only large engines fit the longest
//! prompts, then by a hash of model and engine. Every entry computes this ranking from the digests,
//! so entries and homes agree without exchanging messages, as far as their digests are up to date.
//! An engine that has dropped below the limit in the ranking but is still prefilling a long prompt
//! counts against the limit too, so the limit also holds while engines are added and removed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mulberry_types::{Configuration, MembershipEpoch, TargetDigest, TargetKind};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::FleetView;
use crate::fleet_view::is_ready;

/// Prompts above this length are subject to the cap.
pub const LONG_PROMPT_TOKENS: u64 = 16_000;

/// Quarters of a model's engines that may take long prompts. With two quarters, prompts over 128,000
/// tokens waited up to 77 s while other engines were idle. Short prompts keep their time to first
/// token through their priority at the engine; see [`crate::engine_priority`].
const CAP_QUARTERS: usize = 3;

/// Minimum number of eligible engines. The longest prompts need the memory of three engines, so with
/// a smaller minimum, a model with few engines could not serve them.
const MIN_ELIGIBLE_ENGINES: usize = 3;

/// Engines that may take long prompts now, by model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LongPrefillCap {
    models: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
}

impl LongPrefillCap {
    /// Computes the eligible engines from the digests of all homes.
    #[must_use]
    pub fn of(view: &FleetView, configuration: &Configuration) -> LongPrefillCap {
        // Two homes may list a target while it moves between them; use the newest epoch.
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
            .map(|(model, engines)| (Arc::clone(model), eligible_engines(model, engines)))
            .collect();
        LongPrefillCap { models }
    }

    /// Whether an engine may take a long prompt for this model.
    #[must_use]
    pub fn allows(&self, model: &str, target: &str) -> bool {
        self.models.get(model).is_some_and(|engines| engines.contains(target))
    }

    /// Whether an engine may take a long prompt for any of its models. Homes use this because a
    /// `Reserve` does not name the model.
    #[must_use]
    pub fn allows_for_any_model(&self, target: &str) -> bool {
        self.models.values().any(|engines| engines.contains(target))
    }

    /// Engines that may take long prompts for a model.
    pub fn engines(&self, model: &str) -> impl Iterator<Item = &Arc<str>> {
        self.models.get(model).into_iter().flatten()
    }
}

fn eligible_engines(model: &str, mut engines: Vec<&TargetDigest>) -> BTreeSet<Arc<str>> {
    let share = engines.len() * CAP_QUARTERS / 4;
    let cap = share.max(MIN_ELIGIBLE_ENGINES.min(engines.len()));
    let seed = xxh3_64_with_seed(model.as_bytes(), 0);
    engines.sort_by_cached_key(|engine| {
        let hash = xxh3_64_with_seed(engine.target.as_bytes(), seed);
        (std::cmp::Reverse(engine.memory_tokens), hash, Arc::clone(&engine.target))
    });
    // Every engine that is prefilling a long prompt counts against the cap, even if it has dropped
    // below the cap in the ranking.
    let mut remaining =
        cap.saturating_sub(engines.iter().filter(|engine| engine.long_prefill).count());
    let mut eligible = BTreeSet::new();
    for engine in engines.iter().take(cap) {
        if engine.long_prefill {
            eligible.insert(Arc::clone(&engine.target));
        } else if remaining > 0 {
            remaining -= 1;
            eligible.insert(Arc::clone(&engine.target));
        }
    }
    eligible
}
