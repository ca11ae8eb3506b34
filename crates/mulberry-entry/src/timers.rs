//! Periodic tasks: expiry, digests, pruning and extension of reservations.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberry_types::HomeRequest;

use crate::entry::Entry;

const TICK: Duration = Duration::from_millis(50);
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);
const DIGEST_INTERVAL: Duration = Duration::from_millis(250);
const EXTEND_INTERVAL: Duration = Duration::from_millis(500);
const PRUNE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Tracks when a periodic task is next due.
struct Timer {
    interval: Duration,
    next: Instant,
}

impl Timer {
    fn new(interval: Duration) -> Timer {
        Timer { interval, next: Instant::now() }
    }

    /// Whether the task is due; if so, schedules the next run.
    fn is_due(&mut self) -> bool {
        let now = Instant::now();
        if now < self.next {
            return false;
        }
        self.next = now + self.interval;
        true
    }
}

/// Starts the timer threads.
///
/// # Errors
/// A thread cannot be started.
pub fn start_timers(entry: &Arc<Entry>) -> std::io::Result<()> {
    let home = entry.clone();
    std::thread::Builder::new().name("home-timer".to_owned()).spawn(move || home_timer(&home))?;
    let reservation_owner = entry.clone();
    // Extensions can block on unreachable homes, so they run on their own thread.
    std::thread::Builder::new().name("room-timer".to_owned()).spawn(move || {
        loop {
            let started = Instant::now();
            reservation_owner.reservations.extend_all(&reservation_owner);
            std::thread::sleep(EXTEND_INTERVAL.saturating_sub(started.elapsed()));
        }
    })?;
    Ok(())
}

fn home_timer(entry: &Entry) -> ! {
    let mut expiry = Timer::new(EXPIRY_INTERVAL);
    let mut digest = Timer::new(DIGEST_INTERVAL);
    let mut prune = Timer::new(PRUNE_INTERVAL);
    loop {
        std::thread::sleep(TICK);
        entry.check_lease();
        if expiry.is_due() {
            entry.ledger().expire(entry.clock.now_ms());
        }
        if digest.is_due() && entry.lease.is_valid() {
            send_digest(entry);
        }
        if prune.is_due() {
            prune_and_update_gauges(entry);
        }
        entry.dispatcher.dispatch(entry);
    }
}

fn send_digest(entry: &Entry) {
    let digest = entry.ledger().digest(entry.clock.now_ms());
    let request = HomeRequest::Digest(digest);
    for client in entry.peer_clients.all() {
        // Errors are ignored: a lost digest is superseded by the next one.
        let _ = client.send(&request);
    }
    entry.handle_home_request(request);
}

/// Drops outdated digests and retry budgets, and updates readiness, the long-prefill cap and gauges.
fn prune_and_update_gauges(entry: &Entry) {
    let now_ms = entry.clock.now_ms();
    let configuration = entry.configuration.current().configuration.clone();
    let cap = entry.fleet.prune(now_ms, &configuration);
    entry.retry_budget().prune(now_ms);
    let view = entry.fleet.view();
    let ready = view.fresh_targets(now_ms).filter(|(_, target)| target.takes_work).count();
    entry.metrics.ready_targets.set(ready as i64);
    entry.update_readiness(ready);
    let mut ledger = entry.ledger();
    ledger.long_prefill_cap_changed(cap);
    let counts = ledger.counts();
    drop(ledger);
    entry.metrics.home_targets.set(counts.targets as i64);
    entry.metrics.reservations.set(counts.reservations as i64);
    entry.metrics.expired_reservations.set(counts.expired as i64);
}
