//! Probes of the targets of a service after several could not be reached, until one of them can.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_directory::TargetRecord;
use mulberry_http1::connect;
use mulberry_scheduler::Outcome;
use rand::seq::{IteratorRandom as _, SliceRandom as _};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::sleep;

use crate::PathFailure;
use crate::placed_job::PlacedJob;
use crate::shared::Shared;

/// Timeout for connecting to a probed target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Number of targets that must fail before the path is lost, if that many are known.
const FIRST_PROBES: usize = 4;

/// Number of targets that are probed at a time while the path is lost.
const LATER_PROBES: usize = 2;

/// Interval between probes while the path is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a verdict is awaited.
const VERDICT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Whether the path may be what has failed at a target, rather than the target.
pub(crate) fn is_path_suspected(shared: &Shared, target_id: &str) -> bool {
    let now_ms = shared.now_ms();
    service_of(shared, target_id)
        .is_some_and(|service| shared.reachability.borrow().is_suspected(now_ms, &service))
}

/// Whether the path is what has failed at a target at `failed_at_ms`, found out by probes unless another target has been
/// reached since.
pub(crate) async fn is_path_at_fault(
    shared: &Rc<Shared>,
    target_id: &str,
    failed_at_ms: u64,
) -> bool {
    let Some(service) = service_of(shared, target_id) else { return false };
    if shared.reachability.borrow().has_contact_since(failed_at_ms, &service) {
        return false;
    }
    if shared.reachability.borrow_mut().begin_probing(&service) {
        spawn_local(probe(shared.clone(), service.clone()));
    }
    while shared.reachability.borrow().is_probing(&service) {
        sleep(VERDICT_CHECK_INTERVAL).await;
    }
    shared.reachability.borrow().is_lost(&service)
}

/// Finishes a job that failed with its connection once it is known whether the path is at fault. If it is, nothing is
/// said against the engine.
pub(crate) fn finish_after_verdict(shared: &Rc<Shared>, job: PlacedJob, outcome: Outcome) {
    let (shared, failed_at_ms) = (shared.clone(), shared.now_ms());
    spawn_local(async move {
        let is_path_at_fault = is_path_at_fault(&shared, job.engine(), failed_at_ms).await;
        job.finish(if is_path_at_fault { Outcome::Rejected } else { outcome });
    });
}

fn service_of(shared: &Shared, target_id: &str) -> Option<Arc<str>> {
    shared.fleet.borrow().get(target_id).map(|record| record.service.clone())
}

/// Records that a connection to a target failed.
pub(crate) fn record_failure(shared: &Rc<Shared>, target_id: &Arc<str>, failure: PathFailure) {
    let Some(service) = service_of(shared, target_id) else { return };
    let known = shared.fleet.borrow().usable(&service).count();
    let now_ms = shared.now_ms();
    let must_probe =
        shared.reachability.borrow_mut().failed(now_ms, &service, target_id, known, failure);
    if must_probe {
        spawn_local(probe(shared.clone(), service));
    }
}

/// Records that a target accepted a connection.
pub(crate) fn record_contact(shared: &Shared, target_id: &str) {
    if let Some(service) = service_of(shared, target_id) {
        service_reached(shared, &service);
    }
}

fn service_reached(shared: &Shared, service: &str) {
    let now_ms = shared.now_ms();
    let lost_since_ms = shared.reachability.borrow_mut().reached(now_ms, service);
    if let Some(since_ms) = lost_since_ms {
        tracing::warn!(event = "path_back", service, after_ms = now_ms.saturating_sub(since_ms));
        update_gauge(shared);
    }
}

/// Probes a service; while its path is lost, again and again.
async fn probe(shared: Rc<Shared>, service: Arc<str>) {
    if connects_to_any(&shared, &service, FIRST_PROBES).await {
        return service_reached(&shared, &service);
    }
    if !shared.reachability.borrow_mut().probes_failed(shared.now_ms(), &service) {
        return;
    }
    tracing::warn!(event = "path_lost", service = %service);
    update_gauge(&shared);
    probe_other_services(&shared, &service);
    while shared.reachability.borrow().is_lost(&service) {
        sleep(PROBE_INTERVAL).await;
        if connects_to_any(&shared, &service, LATER_PROBES).await {
            service_reached(&shared, &service);
        }
    }
}

/// A lost path is often lost to all services. Those without requests would find out late.
fn probe_other_services(shared: &Rc<Shared>, lost: &str) {
    let Some(table) = shared.table() else { return };
    for other in table.config().services.iter().filter(|other| &*other.name != lost) {
        if shared.reachability.borrow_mut().begin_probing(&other.name) {
            spawn_local(probe(shared.clone(), other.name.clone()));
        }
    }
}

/// Whether one of up to `count` targets accepts a connection. True if none can be probed, since nothing is known then.
async fn connects_to_any(shared: &Shared, service: &str, count: usize) -> bool {
    let addresses: Vec<_> = {
        let fleet = shared.fleet.borrow();
        let (mut heard, mut silent): (Vec<&TargetRecord>, Vec<&TargetRecord>) =
            fleet.usable(service).partition(|record| fleet.silent_since_ms(&record.id).is_none());
        heard.shuffle(&mut rand::rng());
        let missing = count.saturating_sub(heard.len());
        silent = silent.into_iter().choose_multiple(&mut rand::rng(), missing);
        heard.iter().chain(&silent).take(count).map(|record| record.address).collect()
    };
    if addresses.is_empty() {
        return true;
    }
    let mut attempts = JoinSet::new();
    for address in addresses {
        shared.metrics.target_connections.inc();
        attempts.spawn_local(connect(address, CONNECT_TIMEOUT));
    }
    while let Some(attempt) = attempts.join_next().await {
        if matches!(attempt, Ok(Ok(_))) {
            return true;
        }
    }
    false
}

fn update_gauge(shared: &Shared) {
    let lost = shared.reachability.borrow().lost_count();
    shared.metrics.lost_services.set(i64::try_from(lost).unwrap_or(i64::MAX));
}
