//! How many requests may be sent to a further target.
//!
//! The budget is one for all gateways. Each uses its share without asking: a share of the slack, and the ratio of its
//! own requests.

use std::collections::VecDeque;

use crate::RetrySettings;

/// Buckets into which the window is divided.
const BUCKETS: u64 = 10;

/// Part of the budget that is used; the rest covers gateways that have started again and forgotten what they sent.
const USED_SHARE: f64 = 0.7;

/// Further sends of one service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    buckets: VecDeque<Bucket>,
}

#[derive(Debug)]
struct Bucket {
    number: u64,
    requests: u64,
    further: u64,
}

impl RetryBudget {
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { settings, buckets: VecDeque::new() }
    }

    /// Counts a request of a caller.
    pub fn request(&mut self, now_ms: u64) {
        self.bucket(now_ms).requests += 1;
    }

    /// Takes a further send, if the budget of one of `gateways` has it.
    pub fn take(&mut self, now_ms: u64, gateways: usize) -> bool {
        if self.left(now_ms, gateways) < 1.0 {
            return false;
        }
        self.bucket(now_ms).further += 1;
        true
    }

    /// Further sends that are left.
    pub fn left(&mut self, now_ms: u64, gateways: usize) -> f64 {
        self.bucket(now_ms);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let further: u64 = self.buckets.iter().map(|bucket| bucket.further).sum();
        let slack = self.settings.slack / gateways.max(1) as f64;
        let allowed = USED_SHARE * (self.settings.ratio * requests as f64 + slack);
        allowed - further as f64
    }

    fn bucket(&mut self, now_ms: u64) -> &mut Bucket {
        let number = now_ms / (self.settings.window_ms / BUCKETS).max(1);
        while self.buckets.front().is_some_and(|bucket| bucket.number + BUCKETS <= number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(Bucket { number, requests: 0, further: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
