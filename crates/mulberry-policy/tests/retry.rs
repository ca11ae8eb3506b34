//! Guards against retry storms, repetition of calls that must run at most once, and wrong outcomes.

use std::collections::VecDeque;

use mulberry_policy::{
    Backoff, FailedAttempt, FailedOutcome, RetryBudget, RetryDecision, RetryKey,
};
use mulberry_types::Repeatability;
use proptest::prelude::*;

mod common;

fn key() -> RetryKey {
    RetryKey { workspace: "w".into(), service: "m".into() }
}

fn any_attempt() -> impl Strategy<Value = FailedAttempt> {
    let flags = any::<[bool; 6]>();
    (flags, 0_u64..3, 0_u64..200, 0_u64..200).prop_map(|(flags, sent, remaining_ms, needed_ms)| {
        let [at_most_once, may_have_been_sent, not_run, answered, can_resume, budget_left] = flags;
        FailedAttempt {
            repeatability: if at_most_once {
                Repeatability::AtMostOnce
            } else {
                Repeatability::Repeatable
            },
            may_have_been_sent,
            target_reports_not_run: not_run,
            target_answered: answered,
            sent_to_caller: sent,
            engine_can_resume: can_resume,
            remaining_ms,
            needed_ms,
            budget_left,
        }
    })
}

proptest! {
    #![proptest_config(common::config(256))]

    /// Guards against more retries than a tenth of the requests of any 10 s plus 3 when every attempt
    /// fails. Fails without the budget.
    #[test]
    fn retries_stay_within_the_budget(gaps in prop::collection::vec(0_u64..400, 50..600)) {
        let mut budget = RetryBudget::new();
        let mut now_ms = 0;
        let mut retries: VecDeque<u64> = VecDeque::new();
        let mut requests: VecDeque<u64> = VecDeque::new();
        for gap_ms in gaps {
            now_ms += gap_ms;
            budget.request_started(now_ms, &key());
            requests.push_back(now_ms);
            // Buckets of 1 s: the budget looks back between 9 s and 10 s.
            let oldest_ms = (now_ms / 1_000).saturating_sub(9) * 1_000;
            requests.retain(|at_ms| *at_ms >= oldest_ms);
            retries.retain(|at_ms| *at_ms >= oldest_ms);
            for _ in 0..5 {
                if budget.try_retry(now_ms, &key()) {
                    retries.push_back(now_ms);
                    prop_assert!(retries.len() <= requests.len() / 10 + 3);
                }
            }
        }
        budget.prune(now_ms + 20_000);
        prop_assert!(budget.may_retry(now_ms + 20_000, &key()));
    }

    /// Guards against repeating a call that must run at most once, restarting an answer that the
    /// caller has partly received, and wrongly reporting "not run".
    #[test]
    fn decisions_are_safe(attempt in any_attempt()) {
        let decision = RetryDecision::decide(&attempt);
        let certainly_not_run = !attempt.target_answered
            && attempt.sent_to_caller == 0
            && (!attempt.may_have_been_sent || attempt.target_reports_not_run);
        match decision {
            RetryDecision::Retry => prop_assert_eq!(attempt.sent_to_caller, 0),
            RetryDecision::Resume { cursor } => {
                prop_assert!(attempt.engine_can_resume);
                prop_assert_eq!(cursor, attempt.sent_to_caller);
            }
            RetryDecision::Fail { outcome } => {
                prop_assert_eq!(outcome == FailedOutcome::NotRun, certainly_not_run);
                return Ok(());
            }
        }
        prop_assert!(attempt.budget_left && attempt.remaining_ms > attempt.needed_ms);
        prop_assert!(!attempt.target_answered);
        if attempt.repeatability == Repeatability::AtMostOnce {
            prop_assert!(certainly_not_run);
        }
    }

    /// Guards against synchronized retries and delays above the maximum.
    #[test]
    fn backoff_is_random_up_to_a_range_that_doubles(seed in any::<u64>()) {
        let mut backoff = Backoff::new(seed, 50, 2_000);
        for attempt in 0..70_u32 {
            let range_ms = 50_u64.saturating_mul(1_u64.checked_shl(attempt).unwrap_or(u64::MAX));
            prop_assert!(backoff.next_ms() <= range_ms.min(2_000));
        }
        let mut other = Backoff::new(seed ^ 1, 50, 2_000);
        backoff.reset();
        let same = (0..12).filter(|_| backoff.next_ms() == other.next_ms()).count();
        prop_assert!(same < 6);
    }
}
