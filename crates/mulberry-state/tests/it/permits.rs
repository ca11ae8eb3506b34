//! Permits of the weight store.

use mulberry_state::{Command, Reply, StateLimits};
use mulberry_types::Permit;
use proptest::prelude::*;

use crate::common::{Driver, cases};

impl Driver {
    fn take(&mut self, bytes: u64) -> Reply {
        let now_ms = self.now_ms;
        self.apply(&Command::TakePermit { now_ms, target: "engine-1".into(), bytes })
    }
}

proptest! {
    #![proptest_config(cases(256))]

    /// Guards against a fleet that loads faster than the weight store allows, and against a wait that is
    /// told too short or never ends.
    #[test]
    fn rate_holds_and_told_wait_suffices(
        rate in 1u64..5_000,
        burst in 0u64..20_000,
        takes in prop::collection::vec((0u64..30_000, 0u64..3_000), 1..40),
    ) {
        let limits = StateLimits {
            weight_store_bytes_per_s: rate,
            weight_store_burst_bytes: burst,
            ..StateLimits::default()
        };
        let mut driver = Driver::with_limits(limits);
        // The debt after the largest take and a full bucket, refilled in waits of at most 60 s.
        let max_waits = (30_000 + 20_000) / rate / 60 + 2;
        let mut granted_bytes = 0;
        for (bytes, pause_ms) in takes {
            driver.now_ms += pause_ms;
            let mut waits = 0;
            while let Reply::Permit(Permit::Wait { retry_after_ms }) = driver.take(bytes) {
                prop_assert!(waits < max_waits, "still waiting");
                prop_assert!(retry_after_ms > 0);
                // A shorter wait than told must not be enough, unless the told one was capped.
                if retry_after_ms > 2 && retry_after_ms < 60_000 {
                    let mut early = driver.clone();
                    early.now_ms += retry_after_ms - 2;
                    prop_assert!(early.take(bytes) != Reply::Permit(Permit::Granted));
                }
                driver.now_ms += retry_after_ms;
                waits += 1;
            }
            granted_bytes += bytes;
            let refilled = driver.now_ms * rate / 1_000 + 1;
            prop_assert!(granted_bytes <= burst + refilled + bytes);
        }
    }
}

/// Guards against a division by zero and against permits while the store is closed.
#[test]
fn rate_of_zero_grants_nothing() {
    let limits = StateLimits { weight_store_bytes_per_s: 0, ..StateLimits::default() };
    let mut driver = Driver::with_limits(limits);
    driver.now_ms = u64::MAX;
    assert_eq!(driver.take(1), Reply::Permit(Permit::Wait { retry_after_ms: 60_000 }));
}
