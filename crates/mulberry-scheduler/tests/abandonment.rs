//! Placement of requests whose callers may give up before the first event.

mod common;

use common::{job, scheduler, spec};
use mulberry_scheduler::{Decision, JobSpec, abandonment_timeout_ms};

/// Long prompts occupy all engines for seconds when a short one arrives. Its caller gives up after two seconds without
/// an event, long before its deadline, so a refusal serves it better than a late placement.
#[test]
fn no_stream_is_placed_to_begin_after_its_caller_gives_up() {
    for longs in 1..40 {
        let mut scheduler = scheduler(3);
        for number in 0..longs {
            let long = JobSpec { time_left_ms: 60_000, ..spec(60_000, 40_000, 20_000) };
            scheduler.place(0, job(number), &long);
        }
        let decision = scheduler.place(0, job(longs), &spec(1_000, 300, 250));
        if let Decision::Placed(placement) = decision {
            let give_up_ms = abandonment_timeout_ms(300, 250);
            assert!(
                placement.first_event_ms <= give_up_ms,
                "with {longs} long prompts: {placement:?}"
            );
        }
    }
}

/// The caller of a response that is not streamed waits until its deadline.
#[test]
fn a_response_without_events_may_begin_until_its_deadline() {
    let mut scheduler = scheduler(1);
    for number in 0..4 {
        scheduler.place(0, job(number), &spec(60_000, 40_000, 0));
    }
    let unstreamed = JobSpec { time_left_ms: 10_000, ..spec(1_000, 300, 0) };
    let decision = scheduler.place(0, job(4), &unstreamed);
    let Decision::Placed(placement) = decision else { panic!("{decision:?}") };
    assert!(placement.first_event_ms > abandonment_timeout_ms(300, 0), "{placement:?}");
}
