//! The price of engine time under loads that need more engine time than there is.

mod common;

use common::scenario::{Phase, RequestKind, Scenario};
use common::{job, scheduler, spec};
use mulberry_scheduler::{
    CostFactors, Decision, JobSpec, Outcome, RefusalCause, SchedulerSettings,
};

fn kind(rate_per_s: f64, mean_prompt_tokens: f64, slo_ms: u64, gap_ms: u64) -> RequestKind {
    RequestKind {
        rate_per_s,
        mean_prompt_tokens,
        prompt_log_sd: 0.5,
        max_prompt_tokens: mean_prompt_tokens * 3.0,
        mean_events: 16.0,
        events_log_sd: 0.5,
        max_events: 40.0,
        latency_slo_ms: slo_ms,
        max_event_gap_ms: gap_ms,
        timeout_ms: 4_000 + 4 * slo_ms,
        value: 0.8 + mean_prompt_tokens / 10_000.0,
    }
}

/// Long prompts at twice the rate that the engines can prefill, beside the usual short ones.
fn overload() -> Scenario {
    Scenario {
        engines_by_zone: vec![4, 4, 4],
        profile: common::profile(),
        kinds: vec![kind(20.0, 5_000.0, 300, 250), kind(8.0, 150_000.0, 3_000, 1_000)],
        phases: vec![Phase {
            duration_ms: 12_000,
            rate_factors: vec![1.0, 1.0],
            evacuated_zones: Vec::new(),
            failed_engines: 0,
        }],
    }
}

/// The engine time goes to the requests that are worth most for it, and the others are refused instead of making all of
/// them late.
#[test]
fn callers_get_more_of_an_overload_with_the_price() {
    let mean = |engine_time: f64| {
        let cost_factors = CostFactors { engine_time, ..CostFactors::default() };
        let settings = || SchedulerSettings { cost_factors, ..SchedulerSettings::default() };
        let plays = (1..=6).map(|seed| overload().play(seed, settings()));
        plays.map(|delivered| (delivered.total, delivered.by_kind[0])).fold(
            (0.0, 0.0),
            |(total, shorts), (play_total, play_shorts)| {
                (total + play_total / 6.0, shorts + play_shorts / 6.0)
            },
        )
    };
    let ((with, shorts_with), (without, shorts_without)) = (mean(1.0), mean(0.0));
    assert!(with > without, "{with:.3} of the value with the price, {without:.3} without");
    assert!(
        shorts_with > shorts_without,
        "{shorts_with:.3} of the short prompts' value with the price, {shorts_without:.3} without"
    );
}

/// Four long prompts at once are no overload if there is time for them, so none is refused for its engine time.
#[test]
fn prompts_with_time_to_wait_are_not_refused() {
    let mut scheduler = scheduler(2);
    for number in 0..4 {
        let patient = JobSpec { time_left_ms: 60_000, ..spec(60_000, 40_000, 20_000) };
        let decision = scheduler.place(0, job(number), &patient);
        assert!(decision.is_placed(), "prompt {number}: {decision:?}");
    }
}

/// When engines are lost, the price rises with the next request.
#[test]
fn a_loss_of_engines_raises_the_price_at_once() {
    let refused_for_cost = |engines_left: usize| {
        let mut scheduler = scheduler(12);
        for number in 0..60 {
            let at_ms = number * 50;
            scheduler.place(at_ms, job(number), &spec(60_000, 3_000, 1_000));
            scheduler.finish(at_ms + 40, job(number), Outcome::Done);
        }
        let left = common::engines(engines_left);
        scheduler.set_engines(3_000, &"pool".into(), &common::profile(), None, &left);
        let decision = scheduler.place(3_000, job(60), &spec(200_000, 3_000, 1_000));
        matches!(decision, Decision::Refused(refusal) if refusal.cause == RefusalCause::TooCostly)
    };
    assert_eq!((refused_for_cost(24), refused_for_cost(4)), (false, true));
}
