//! Token bucket of the weight store.

use mulberry_types::Permit;
use serde::{Deserialize, Serialize};

use crate::StateLimits;

/// Longest wait that is told at once, also when the rate is 0.
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// Token bucket in thousandths of a byte, so that no part of a refill is lost to rounding.
///
/// A load larger than the burst is granted from a full bucket and leaves a debt, because it could never
/// be granted otherwise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitBucket {
    /// Level below the burst; more than the burst is a debt.
    used_milli: u128,

    refilled_ms: u64,
}

impl PermitBucket {
    pub(crate) fn take(&mut self, now_ms: u64, bytes: u64, limits: &StateLimits) -> Permit {
        let rate = u128::from(limits.weight_store_bytes_per_s);
        let burst_milli = u128::from(limits.weight_store_burst_bytes) * 1_000;
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        // One byte per second is one thousandth of a byte per millisecond.
        self.used_milli = self.used_milli.saturating_sub(u128::from(elapsed_ms) * rate);

        let wanted_milli = u128::from(bytes) * 1_000;
        let allowed_used = burst_milli.saturating_sub(wanted_milli);
        if rate > 0 && self.used_milli <= allowed_used {
            self.used_milli = self.used_milli.saturating_add(wanted_milli);
            return Permit::Granted;
        }
        let missing_milli = self.used_milli.saturating_sub(allowed_used);
        let wait_ms = missing_milli.checked_div(rate).unwrap_or(u128::MAX).saturating_add(1);
        let retry_after_ms = u64::try_from(wait_ms).unwrap_or(u64::MAX).min(MAX_RETRY_AFTER_MS);
        Permit::Wait { retry_after_ms }
    }
}
