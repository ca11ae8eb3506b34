//! Selects the target for the next attempt and builds the request head that is sent to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberry_capacity::{Candidate, Choice, RequestNeeds};
use mulberry_directory::{TargetRecord, TargetState};
use mulberry_http1::RequestHead;
use mulberry_routes::{Route, RouteKind, Service};
use mulberry_scheduler::{Decision, JobOrigin, JobSpec, Outcome};
use rand::Rng as _;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3Default;

use super::admission::wait_until;
use super::{
    ErrorResponse, Exchange, FULL_RETRY_AFTER_MS, MAX_STARTUP_WAIT, MAX_STARTUP_WAIT_SHARE,
    NO_TARGET_RETRY_AFTER_MS, SelectedTarget,
};
use crate::capacity::{LoadTicket, count_choice, route_hash};
use crate::dialect::ForwardFields;
use crate::memory_reservation::{HelperEngine, MemoryReservation};
use crate::placed_job::PlacedJob;
use crate::placement::Placer;
use crate::{BudgetEffect, FleetView, TargetHealth};

/// Minimum timeout for the response of a target before another one is tried.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for the response of a target of a plain service before another one is tried, as a multiple of the route's
/// latency objective.
const ATTEMPT_TIMEOUT_SLO_FACTOR: f64 = 3.0;

/// Number of times that a request is placed again because a helper engine refused to reserve memory.
const MAX_RESERVATION_REFUSALS: usize = 2;

/// Maximum delay of a request after an outage. Gateways discover the engines within about this time of each other, and
/// a long prompt placed first would block all engines for the short prompts of other gateways.
const MAX_STAGGER: Duration = Duration::from_millis(150);

/// Share of [`MAX_STAGGER`] by which the longest prompts are delayed that may still meet their latency objective.
const LONG_PROMPT_STAGGER_SHARE: f64 = 0.6;

/// Prompt length from which the full [`LONG_PROMPT_STAGGER_SHARE`] applies.
const LONG_PROMPT_TOKENS: f64 = 100_000.0;

/// Share of the route's timeout; a request that arrives with less time left is assumed to be a retry by the caller.
const CLIENT_RETRY_TIME_SHARE: f64 = 0.8;

/// Minimum timeout for the first event of an engine, as a multiple of the forecast time.
const FORECAST_FACTOR: f64 = 1.5;

/// Maximum contribution of a route's or tenant's priority to the engine priority, which goes from 0 to 9.
const MAX_ROUTE_PRIORITY: u32 = 5;

impl Exchange {
    /// Waits until the first target of the service is known, as after a full restart.
    pub(super) async fn wait_for_targets(&mut self) {
        let has_targets = || self.shared.fleet.borrow().usable(&self.service).next().is_some();
        if self.sent_attempts > 0 || has_targets() {
            return;
        }
        let time = self.deadline - self.arrived;
        let limit = self.arrived + MAX_STARTUP_WAIT.min(time.mul_f64(MAX_STARTUP_WAIT_SHARE));
        wait_until(&self.shared, limit, has_targets).await;
        self.has_waited = true;
    }

    /// Delays a request that waited for a configuration or a target, so that such requests are placed in this order:
    /// first those that may still meet their latency objective, shortest prompt first; then those that are late.
    async fn stagger_after_outage(&mut self) {
        if !std::mem::take(&mut self.has_waited) {
            return;
        }
        let now = Instant::now();
        let share = if self.is_late(now) {
            1.0
        } else {
            let length = self.fields.prompt_tokens as f64 / LONG_PROMPT_TOKENS;
            length.min(1.0) * LONG_PROMPT_STAGGER_SHARE
        };
        let place_at = now + MAX_STAGGER.mul_f64(share);
        tokio::time::sleep_until(place_at.min(self.deadline)).await;
    }

    /// Whether the request has already missed its latency objective. A retry by the caller counts as late; it is
    /// recognized by a remaining time well below the route's timeout.
    fn is_late(&self, now: Instant) -> bool {
        let is_client_retry = self.fields.deadline_ms.is_some_and(|left_ms| {
            (left_ms as f64) < self.route.timeout_ms as f64 * CLIENT_RETRY_TIME_SHARE
        });
        is_client_retry || now - self.arrived > Duration::from_millis(self.route.latency_slo_ms)
    }

    /// Selects a target for the next attempt.
    pub(super) async fn select_target(&mut self) -> Result<SelectedTarget, ErrorResponse> {
        self.wait_for_targets().await;
        let table = self.table.clone();
        let Some(service) = table.service(&self.service) else {
            "the service is not configured".clone_into(&mut self.reason);
            return Err(ErrorResponse {
                status: 503,
                retry_after_ms: Some(NO_TARGET_RETRY_AFTER_MS),
            });
        };
        if service.engine.is_some() {
            return self.select_engine().await;
        }
        let (target_id, address) = self.select_plain_target(service).await?;
        let attempt_timeout =
            Duration::from_millis(self.route.latency_slo_ms).mul_f64(ATTEMPT_TIMEOUT_SLO_FACTOR);
        let attempt_deadline = if self.has_further_attempt() && self.route.kind == RouteKind::Safe {
            (Instant::now() + attempt_timeout.max(MIN_ATTEMPT_TIMEOUT)).min(self.deadline)
        } else {
            self.deadline
        };
        let load_ticket = self
            .learns_capacity()
            .then(|| LoadTicket::new(&self.shared, &self.service, &target_id, &self.route.name));
        Ok(SelectedTarget {
            target_id,
            address,
            job: None,
            helpers: Vec::new(),
            reservation: None,
            attempt_deadline,
            load_ticket: load_ticket.flatten(),
        })
    }

    async fn select_engine(&mut self) -> Result<SelectedTarget, ErrorResponse> {
        self.stagger_after_outage().await;
        for _ in 0..=MAX_RESERVATION_REFUSALS {
            let job = self.place().await?;
            let helper_engines = job.helpers();
            let reserves_memory = |helper: &&HelperEngine| helper.tokens > 0;
            let reservation = if helper_engines.iter().any(|helper| reserves_memory(&helper)) {
                let memory_helpers =
                    helper_engines.iter().filter(reserves_memory).cloned().collect();
                match MemoryReservation::take(&self.shared, job.ticket(), memory_helpers).await {
                    Ok(reservation) => Some(reservation),
                    Err(refusing_helper) => {
                        self.excluded.push(refusing_helper);
                        job.finish(Outcome::Rejected);
                        continue;
                    }
                }
            } else {
                None
            };
            let ticket = reservation.as_ref().map(|reservation| reservation.ticket().to_owned());
            let helpers = helper_engines
                .into_iter()
                .map(|helper| (helper.address, ticket.clone().filter(|_| helper.tokens > 0)))
                .collect();
            return self.selected_engine(job, helpers, reservation);
        }
        "helper engines refused to reserve memory".clone_into(&mut self.reason);
        Err(self.error_response(FULL_RETRY_AFTER_MS))
    }

    async fn place(&mut self) -> Result<PlacedJob, ErrorResponse> {
        let now = Instant::now();
        let waited = now - self.arrived;
        let left_ms = |until: Duration| until.saturating_sub(waited).as_millis() as u64;
        let spec = JobSpec {
            service: self.service.clone(),
            prompt_tokens: self.fields.prompt_tokens,
            max_output_tokens: self.fields.max_output_tokens,
            slo_left_ms: left_ms(Duration::from_millis(self.route.latency_slo_ms)),
            max_event_gap_ms: self.route.max_event_gap_ms,
            time_left_ms: (self.deadline - now).as_millis() as u64,
            zone: self.shared.settings.zone.clone(),
            excluded: self.excluded_engines(),
            origin: self.origin(),
        };
        let time_left_ms = spec.time_left_ms;
        let is_counted_elsewhere = self.is_counted && self.sends_elsewhere.is_some();
        let budget_effect = match self.sent_attempts {
            0 if is_counted_elsewhere => BudgetEffect::Unaffected,
            sends => BudgetEffect::for_first_group(sends > 0),
        };
        self.is_counted = true;
        Placer::place(&self.shared, spec, budget_effect).await.map_err(|decision| match decision {
            Decision::Refused(refusal) => {
                self.reason = refusal.to_string();
                if self.shared.settings.scheduler.keeps_turns
                    && refusal.retry_after_ms >= time_left_ms
                {
                    self.reason.push_str("; there will be no room before the deadline");
                }
                self.error_response(refusal.retry_after_ms)
            }
            Decision::Placed(_) | Decision::NoEngine => self.no_target_response("engine"),
        })
    }

    fn origin(&self) -> JobOrigin {
        JobOrigin {
            workspace: self.tenant.clone().unwrap_or_default(),
            priority: self.priority,
            retry_key: self.retry_key(),
        }
    }

    /// Key of what a caller sends again when it repeats a refused request. The request id is new each time.
    fn retry_key(&self) -> u64 {
        let mut hasher = Xxh3Default::new();
        hasher.update(self.tenant.as_deref().unwrap_or_default().as_bytes());
        hasher.update(self.route.name.as_bytes());
        for number in [self.fields.prompt_tokens, self.fields.max_output_tokens] {
            hasher.update(&number.to_le_bytes());
        }
        self.fields.prompt_parts.iter().for_each(|part| hasher.update(&part.to_le_bytes()));
        hasher.digest()
    }

    /// Refuses a request for which no target can be used now.
    fn no_target_response(&mut self, target: &str) -> ErrorResponse {
        if let Some(left_ms) = self.shared.back_off_left_ms(&self.service) {
            self.reason = format!("every {target} of the service wants no requests for a while");
            return self.error_response(left_ms);
        }
        self.reason = format!("no usable {target} for the service");
        self.error_response(NO_TARGET_RETRY_AFTER_MS)
    }

    /// Engines that must not receive the request, including those that have told only this gateway that they are leaving
    /// or want no requests for a while.
    fn excluded_engines(&self) -> Vec<Arc<str>> {
        let fleet = self.shared.fleet.borrow();
        let is_avoided = |record: &&TargetRecord| {
            record.state == TargetState::Ready
                && (fleet.is_leaving(record) || self.shared.is_refusing(&record.id))
                && !self.excluded.contains(&record.id)
        };
        let avoided = fleet.present(&self.service).filter(is_avoided);
        self.excluded.iter().cloned().chain(avoided.map(|record| record.id.clone())).collect()
    }

    fn selected_engine(
        &mut self,
        job: PlacedJob,
        helpers: Vec<(SocketAddr, Option<String>)>,
        reservation: Option<MemoryReservation>,
    ) -> Result<SelectedTarget, ErrorResponse> {
        let now = Instant::now();
        let waited = now - self.arrived;
        self.helpers = job.placement.helpers.len();
        self.forecast_ms = waited.as_millis() as u64 + job.placement.first_event_ms;
        let target_id = job.engine().clone();
        let address = self.shared.fleet.borrow().get(&target_id).map(|record| record.address);
        let Some(address) = address else {
            "the selected engine is unknown".clone_into(&mut self.reason);
            return Err(self.error_response(NO_TARGET_RETRY_AFTER_MS));
        };
        let attempt_deadline = if self.has_further_attempt() && self.route.kind.is_idempotent() {
            let forecast = Duration::from_millis(job.placement.first_event_ms);
            (now + self.engine_silence_timeout().max(forecast.mul_f64(FORECAST_FACTOR)))
                .min(self.deadline)
        } else {
            self.deadline
        };
        let max_unused_loan_ms = self.shared.settings.max_unused_loan_ms;
        let attempt_deadline = if reservation.is_some() && max_unused_loan_ms > 0 {
            attempt_deadline.min(now + Duration::from_millis(max_unused_loan_ms))
        } else {
            attempt_deadline
        };
        Ok(SelectedTarget {
            target_id,
            address,
            job: Some(job),
            helpers,
            reservation,
            attempt_deadline,
            load_ticket: None,
        })
    }

    /// Whether targets are selected by their learned capacity. The time of a stream depends on its length and on its
    /// caller, so that streams are left out.
    fn learns_capacity(&self) -> bool {
        self.shared.capacity.is_on() && !self.route.kind.is_stream()
    }

    /// Selects a target of a plain service: by the learned capacity, or else by what this gateway sees itself.
    async fn select_plain_target(
        &mut self,
        service: &Service,
    ) -> Result<(Arc<str>, SocketAddr), ErrorResponse> {
        let mut needs = RequestNeeds {
            route: route_hash(&self.route.name),
            objective_ms: self.route.latency_slo_ms,
            has_waited: false,
        };
        while self.learns_capacity() {
            let candidates = self.candidates(service);
            let choice = {
                let (now_ms, capacity) = (self.shared.now_ms(), &self.shared.capacity);
                capacity.choose(now_ms, &service.name, &candidates, &needs)
            };
            count_choice(&self.shared, choice);
            match choice {
                Choice::Send(index) => {
                    let id = candidates[index].target.clone();
                    let address = self.shared.fleet.borrow().get(&id).map(|record| record.address);
                    let Some(address) = address else { break };
                    return Ok((id, address));
                }
                Choice::Wait { wait_ms } => {
                    let until = Instant::now() + Duration::from_millis(wait_ms);
                    tokio::time::sleep_until(until.min(self.deadline)).await;
                    needs.has_waited = true;
                }
                // A request that has been sent before has taken its part of the load already.
                Choice::Refuse { .. } if self.sent_attempts > 0 => break,
                Choice::Refuse { retry_after_ms } => {
                    "every target of the service has as many requests as it takes well"
                        .clone_into(&mut self.reason);
                    return Err(self.error_response(retry_after_ms));
                }
                Choice::Unknown => break,
            }
        }
        match self.least_loaded_target(service) {
            Some(target) => Ok(target),
            None => Err(self.no_target_response("target")),
        }
    }

    /// Targets of a plain service that may get this request.
    fn candidates(&self, service: &Service) -> Vec<Candidate> {
        let now_ms = self.shared.now_ms();
        let fleet = self.shared.fleet.borrow();
        let health = self.shared.health.borrow();
        let candidate = |record: &TargetRecord| Candidate {
            target: record.id.clone(),
            is_local: record.zone == self.shared.settings.zone,
            slots: record.slots,
            is_avoided: is_avoided(now_ms, &fleet, &health, &record.id),
        };
        self.permitted(now_ms, &fleet, &health, &service.name).map(candidate).collect()
    }

    /// Targets of a service that may get this request.
    fn permitted<'a>(
        &'a self,
        now_ms: u64,
        fleet: &'a FleetView,
        health: &'a TargetHealth,
        service: &'a str,
    ) -> impl Iterator<Item = &'a TargetRecord> + 'a {
        fleet
            .usable(service)
            .filter(|record| !self.excluded.contains(&record.id))
            .filter(move |record| health.back_off_left_ms(now_ms, &record.id) == 0)
    }

    /// Selects the target of a plain service with the lowest load, as known to this gateway.
    fn least_loaded_target(&self, service: &Service) -> Option<(Arc<str>, SocketAddr)> {
        let now_ms = self.shared.now_ms();
        let fleet = self.shared.fleet.borrow();
        let health = self.shared.health.borrow();
        let cost = |record: &TargetRecord| {
            let id = &*record.id;
            let is_avoided = is_avoided(now_ms, &fleet, &health, id);
            f64::from(health.in_flight(id))
                + health.failure_share(id) * 4.0
                + if is_avoided { 100.0 } else { 0.0 }
                + if record.zone == self.shared.settings.zone { 0.0 } else { 0.4 }
                + rand::rng().random_range(0.0..0.2)
        };
        self.permitted(now_ms, &fleet, &health, &service.name)
            .map(|record| (cost(record), record))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, record)| (record.id.clone(), record.address))
    }

    /// The caller's head without what concerns only its connection.
    pub(super) fn plain_head(&self) -> RequestHead {
        let mut head = self.head.clone();
        head.headers.remove_connection_fields();
        head.headers.remove("expect");
        head.headers.remove("content-length");
        if !self.body.is_empty() || self.head.headers.get("content-length").is_some() {
            head.headers.push("Content-Length", self.body.len().to_string().as_bytes());
        }
        head
    }

    pub(super) fn forwarded_head(
        &self,
        selected: &SelectedTarget,
        after: Option<u64>,
    ) -> RequestHead {
        let mut head = self.plain_head();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let fields = ForwardFields {
            deadline_ms: Some(left.as_millis() as u64),
            target_id: &selected.target_id,
            tenant: self.tenant.as_deref(),
            priority: selected
                .job
                .as_ref()
                .map(|_| engine_priority(self.fields.prompt_tokens, self.priority)),
            helpers: &selected.helpers,
            last_event: after,
        };
        self.shared.dialect.forward(&mut head.headers, &fields);
        head
    }
}

/// Whether a target is used only if nothing else is left: it is suspended after failures, or silent.
fn is_avoided(now_ms: u64, fleet: &FleetView, health: &TargetHealth, id: &str) -> bool {
    let is_silent =
        fleet.silent_since_ms(id).is_some_and(|since| !health.has_served_since(since, id));
    is_silent || health.is_suspended(now_ms, id)
}

/// Picks a backend service of the route at random by weight.
pub(super) fn pick_service(route: &Route) -> Arc<str> {
    let total: u64 = route.backends.iter().map(|backend| u64::from(backend.weight)).sum();
    let mut random = rand::rng().random_range(0..total.max(1));
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if random < weight {
            return backend.service.clone();
        }
        random -= weight;
    }
    // A validated route has a weight above 0.
    route.backends.first().map_or_else(|| "".into(), |backend| backend.service.clone())
}

/// Priority at the engine; 0 is served first. Short prompts are prefilled before long ones, and routes and tenants with
/// a lower priority value before others.
fn engine_priority(prompt_tokens: u64, priority: u32) -> u8 {
    let length_priority = match prompt_tokens {
        0..16_000 => 0,
        16_000..64_000 => 2,
        _ => 4,
    };
    length_priority + priority.min(MAX_ROUTE_PRIORITY) as u8
}
