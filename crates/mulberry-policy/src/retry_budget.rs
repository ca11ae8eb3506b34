//! Retry budget per key, and exponential backoff with jitter.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

/// Retries allowed per window regardless of the number of requests.
const MIN_RETRIES: u64 = 3;

/// Number of requests that add one retry to the budget.
const REQUESTS_PER_RETRY: u64 = 10;

const BUCKET_MS: u64 = 1_000;

/// Length of the sliding window in buckets.
const WINDOW_BUCKETS: u64 = 10;

/// Workspace and service that share a budget.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryKey {
    pub workspace: Arc<str>,
    pub service: Arc<str>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: u64,
    retries: u64,
}

/// Allows retries up to a tenth of the requests of the last 10 s plus 3, per key.
#[derive(Debug, Default)]
pub struct RetryBudget {
    keys: BTreeMap<RetryKey, VecDeque<Bucket>>,
}

impl RetryBudget {
    #[must_use]
    pub fn new() -> RetryBudget {
        RetryBudget::default()
    }

    /// Counts a request. Do not call this for its retries.
    pub fn request_started(&mut self, now_ms: u64, key: &RetryKey) {
        if let Some(buckets) = self.keys.get_mut(key) {
            current_bucket(buckets, now_ms).requests += 1;
            return;
        }
        let buckets = self.keys.entry(key.clone()).or_default();
        current_bucket(buckets, now_ms).requests += 1;
    }

    /// Takes one retry from the budget. Returns `false` if none is left.
    pub fn try_retry(&mut self, now_ms: u64, key: &RetryKey) -> bool {
        if !self.may_retry(now_ms, key) {
            return false;
        }
        let buckets = self.keys.entry(key.clone()).or_default();
        current_bucket(buckets, now_ms).retries += 1;
        true
    }

    /// Whether the budget has a retry left.
    #[must_use]
    pub fn may_retry(&self, now_ms: u64, key: &RetryKey) -> bool {
        let oldest = oldest_index(now_ms);
        let (requests, retries) =
            self.keys.get(key).into_iter().flatten().filter(|bucket| bucket.index >= oldest).fold(
                (0, 0),
                |(requests, retries), bucket| {
                    (requests + bucket.requests, retries + bucket.retries)
                },
            );
        retries < requests / REQUESTS_PER_RETRY + MIN_RETRIES
    }

    /// Removes keys without recent requests. Call this every few seconds.
    pub fn prune(&mut self, now_ms: u64) {
        let oldest = oldest_index(now_ms);
        self.keys.retain(|_, buckets| buckets.back().is_some_and(|bucket| bucket.index >= oldest));
    }
}

fn oldest_index(now_ms: u64) -> u64 {
    (now_ms / BUCKET_MS + 1).saturating_sub(WINDOW_BUCKETS)
}

fn current_bucket(buckets: &mut VecDeque<Bucket>, now_ms: u64) -> &mut Bucket {
    let index = now_ms / BUCKET_MS;
    let oldest = oldest_index(now_ms);
    while buckets.front().is_some_and(|bucket| bucket.index < oldest) {
        buckets.pop_front();
    }
    if buckets.back().is_none_or(|bucket| bucket.index < index) {
        buckets.push_back(Bucket { index, requests: 0, retries: 0 });
    }
    let last = buckets.len() - 1;
    &mut buckets[last]
}

/// Exponential backoff with full jitter.
#[derive(Debug)]
pub struct Backoff {
    random: ChaCha8Rng,
    base_ms: u64,
    max_ms: u64,
    attempt: u32,
}

impl Backoff {
    /// The first delay is between 0 and `base_ms`; the upper bound doubles with each attempt up to
    /// `max_ms`.
    #[must_use]
    pub fn new(seed: u64, base_ms: u64, max_ms: u64) -> Backoff {
        Backoff { random: ChaCha8Rng::seed_from_u64(seed), base_ms, max_ms, attempt: 0 }
    }

    /// Delay before the next attempt.
    pub fn next_ms(&mut self) -> u64 {
        let factor = 1_u64.checked_shl(self.attempt).unwrap_or(u64::MAX);
        let range_ms = self.base_ms.saturating_mul(factor).min(self.max_ms);
        self.attempt = self.attempt.saturating_add(1);
        self.random.random_range(0..=range_ms)
    }

    /// Resets the range to its initial size, after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}
