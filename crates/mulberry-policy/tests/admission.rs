//! Guards against refusing requests that would finish, queueing requests that cannot finish, and
//! estimates that follow single observations.

mod common;

use mulberry_policy::{
    AdmissionController, AdmissionDecision, AdmissionRequest, Backlog, ColdRamp, CostModel,
};
use mulberry_types::LengthClass;
use proptest::prelude::*;

fn any_backlog() -> impl Strategy<Value = Backlog> {
    (1_u32..40, 0_u64..60_000, 1_000_u32..50_000).prop_map(|(ready, queue_ms, speed)| Backlog {
        ready_targets: ready,
        free_targets: ready / 2,
        shortest_queue_ms: queue_ms,
        best_tokens_per_s: speed,
        tokens_per_s: u64::from(ready) * u64::from(speed),
    })
}

proptest! {
    #![proptest_config(common::config(512))]

    /// Guards against refusing a request that would clearly finish, and against a retry time after
    /// which the same request is refused again although nothing else has arrived.
    #[test]
    fn refusals_and_their_retry_times_are_accurate(
        backlog in any_backlog(),
        prompt_tokens in 1_u64..1_000_000,
        waiting_tokens in 0_u64..5_000_000,
        remaining_ms in 0_u64..120_000,
        ms_per_token in 5_u64..80,
    ) {
        let mut admission = AdmissionController::new();
        for _ in 0..200 {
            admission.answer_finished(100, 100 * ms_per_token);
        }
        let request = AdmissionRequest {
            prompt_tokens,
            max_answer_tokens: 400,
            remaining_ms,
            waiting_tokens,
        };
        let prefill_ms = prompt_tokens * 1_000 / u64::from(backlog.best_tokens_per_s);
        let queue_ms = waiting_tokens * 1_000 / backlog.tokens_per_s + backlog.shortest_queue_ms;
        let clearly_ms = queue_ms + prefill_ms + 100 * ms_per_token + 25;
        match admission.decide(&request, &backlog) {
            AdmissionDecision::Admit => prop_assert!(remaining_ms + 50 >= clearly_ms),
            AdmissionDecision::Refuse { retry_after_ms: None } => {
                prop_assert!(remaining_ms < prefill_ms + 100 * ms_per_token + 25);
            }
            AdmissionDecision::Refuse { retry_after_ms: Some(retry_after_ms) } => {
                prop_assert!(remaining_ms < clearly_ms);
                let drained_ms = retry_after_ms.min(queue_ms);
                let later = Backlog {
                    shortest_queue_ms: queue_ms - drained_ms,
                    ..backlog
                };
                let again = AdmissionRequest { waiting_tokens: 0, ..request };
                prop_assert_eq!(admission.decide(&again, &later), AdmissionDecision::Admit);
            }
        }
    }

    /// Guards against a concurrency limit above the slots or below one for any sequence of events.
    #[test]
    fn the_ramp_stays_between_one_and_the_slots(
        slots in 1_u32..64,
        events in prop::collection::vec((0_u8..5, 1_u32..20_000), 0..200),
    ) {
        let mut ramp = ColdRamp::new(1, slots);
        let mut successes = 0_u32;
        for (event, speed) in events {
            match event {
                0 => ramp.failed(),
                1 => {
                    ramp.measured(f64::from(speed), 10_000);
                }
                2 if speed < 200 => ramp.restart(),
                _ => {
                    ramp.succeeded();
                    successes += 1;
                }
            }
            prop_assert!(ramp.limit() >= 1 && ramp.limit() <= slots);
            prop_assert!(ramp.limit() <= successes + 1);
        }
    }
}

#[test]
fn the_ramp_doubles_after_as_many_successes_and_restarts_when_slow() {
    let mut ramp = ColdRamp::new(1, 8);
    let limits: Vec<u32> = (0..8)
        .map(|_| {
            ramp.succeeded();
            ramp.limit()
        })
        .collect();
    assert_eq!(limits, [2, 2, 4, 4, 4, 4, 8, 8]);
    assert!(!ramp.measured(10_000.0, 10_000));
    assert!(!ramp.measured(4_900.0, 10_000), "one slow measurement is not enough");
    assert!(ramp.measured(4_900.0, 10_000));
    assert_eq!(ramp.limit(), 1);
    assert!(!ramp.measured(4_900.0, 10_000), "the slow speed is the new baseline");
    assert!(ramp.announced(2, 8));
    assert!(!ramp.allows_prompt(16_001));
}

#[test]
fn the_cost_model_follows_observations_within_its_bounds() {
    let mut cost = CostModel::default();
    assert_eq!(cost.expected_first_token_ms(10_000, 5_000, 5_000), 1_020);
    cost.observe(1_000, 100, 1_000_000);
    assert!((cost.factor(LengthClass::Short) - 1.3).abs() < 1e-9);
    for _ in 0..200 {
        cost.observe(1_000, 100, 1_000_000);
        cost.observe(200_000, 20_000, 10_000);
    }
    assert!(cost.factor(LengthClass::Short) <= 4.0);
    assert!((cost.factor(LengthClass::Huge) - 0.5).abs() < 0.01);
    assert!((cost.factor(LengthClass::Medium) - 1.0).abs() < 1e-9);
    // The speed follows the long prompts, which are prefilled at twice the stated speed.
    assert!((19_000..=20_000).contains(&cost.tokens_per_s(10_000)));
}
