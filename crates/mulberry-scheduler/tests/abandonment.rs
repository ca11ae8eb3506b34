//! How long callers wait for a first event.

mod common;

use common::{job, scheduler, spec};
use mulberry_scheduler::{Decision, JobSpec, abandonment_timeout_ms};

/// Load: long prompts that keep all engines for seconds when a short one comes. Its caller leaves when no event comes
/// for two seconds, long before its deadline, and is better off with a refusal.
#[test]
fn no_request_waits_longer_than_its_caller() {
    for longs in 1..40 {
        let mut scheduler = scheduler(3);
        for number in 0..longs {
            let long = JobSpec { time_left_ms: 60_000, ..spec(60_000, 40_000, 20_000) };
            scheduler.place(0, job(number), &long);
        }
        let decision = scheduler.place(0, job(longs), &spec(1_000, 300, 250));
        if let Decision::Placed(placement) = decision {
            let patience_ms = abandonment_timeout_ms(300, 250);
            assert!(placement.first_event_ms <= patience_ms, "beside {longs}: {placement:?}");
        }
    }
}

/// The caller of a whole answer waits until its deadline.
#[test]
fn an_answer_without_events_may_begin_until_its_deadline() {
    let mut scheduler = scheduler(1);
    for number in 0..4 {
        scheduler.place(0, job(number), &spec(60_000, 40_000, 0));
    }
    let whole = JobSpec { time_left_ms: 10_000, ..spec(1_000, 300, 0) };
    let decision = scheduler.place(0, job(4), &whole);
    let Decision::Placed(placement) = decision else { panic!("{decision:?}") };
    assert!(placement.first_event_ms > abandonment_timeout_ms(300, 0), "{placement:?}");
}
