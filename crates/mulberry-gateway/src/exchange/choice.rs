//! Which target gets the next attempt, and what it is sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberry_http1::RequestHead;
use mulberry_routes::{Route, RouteKind, Service};
use mulberry_scheduler::{Decision, JobSpec, Outcome};
use rand::Rng as _;
use tokio::time::Instant;

use super::admission::wait_until;
use super::{
    Chosen, Exchange, FULL_RETRY_MS, GivenUp, LEARNING, LEARNING_SHARE, NO_TARGET_RETRY_MS,
};
use crate::dialect::ForwardFields;
use crate::loans::{Lender, Loan};
use crate::placed_job::PlacedJob;
use crate::placement::Placer;

/// Least wait for a target before another one is tried.
const MIN_PATIENCE: Duration = Duration::from_millis(250);

/// Times the aim of a plain request that a target may take before another one is tried.
const PATIENCE_AIMS: f64 = 3.0;

/// Placements that may fail because an engine does not lend its memory.
const MAX_LOAN_REFUSALS: usize = 2;

/// Wait of the last after an outage: gateways learn of the engines within about this time of each other, and a long
/// prompt that is placed first keeps every engine from the short ones of the others.
const LAST_TURN: Duration = Duration::from_millis(150);

/// Part of [`LAST_TURN`] that the longest prompt waits that may still be on time.
const LONGEST_TURN_SHARE: f64 = 0.6;

/// Prompt tokens from which on a prompt is among the longest.
const LONGEST_TOKENS: f64 = 100_000.0;

/// Part of a route's time below which a caller that has less left has likely called before.
const FIRST_CALL_SHARE: f64 = 0.8;

/// Times the forecast of the first event that an engine gets at least.
const FORECAST_SLACK: f64 = 1.5;

/// Part of the ten ranks of engines that the priority of a route or tenant uses.
const MAX_RANK_OF_ROUTE: u32 = 5;

impl Exchange {
    /// Waits for the first target of the service to become known, as after a restart of everything.
    pub(super) async fn learn_targets(&mut self) {
        let has_targets = || self.shared.fleet.borrow().usable(&self.service).next().is_some();
        if self.sends > 0 || has_targets() {
            return;
        }
        let time = self.deadline - self.arrived;
        let limit = self.arrived + LEARNING.min(time.mul_f64(LEARNING_SHARE));
        wait_until(&self.shared, limit, has_targets).await;
        self.has_waited = true;
    }

    /// Lets those that may still be on time go first among those that waited for the same, shorter prompts before
    /// longer ones, then those that are late.
    async fn take_turn(&mut self) {
        if !std::mem::take(&mut self.has_waited) {
            return;
        }
        let now = Instant::now();
        let share = if self.is_late(now) {
            1.0
        } else {
            let length = self.fields.prompt_tokens as f64 / LONGEST_TOKENS;
            length.min(1.0) * LONGEST_TURN_SHARE
        };
        let turn = now + LAST_TURN.mul_f64(share);
        tokio::time::sleep_until(turn.min(self.deadline)).await;
    }

    /// Whether the answer is late already. A caller that comes again has less time left than its route gives.
    fn is_late(&self, now: Instant) -> bool {
        let is_again = self.fields.deadline_ms.is_some_and(|left_ms| {
            (left_ms as f64) < self.route.timeout_ms as f64 * FIRST_CALL_SHARE
        });
        is_again || now - self.arrived > Duration::from_millis(self.route.latency_slo_ms)
    }

    /// Chooses a target for the next attempt.
    pub(super) async fn choose(&mut self) -> Result<Chosen, GivenUp> {
        self.learn_targets().await;
        let table = self.table.clone();
        let Some(service) = table.service(&self.service) else {
            "the service is not configured".clone_into(&mut self.reason);
            return Err(GivenUp { status: 503, retry_after_ms: Some(NO_TARGET_RETRY_MS) });
        };
        if service.engine.is_some() {
            return self.choose_engine().await;
        }
        let Some((target_id, address)) = self.choose_target(service) else {
            "no target of the service can be used".clone_into(&mut self.reason);
            return Err(self.refusal(NO_TARGET_RETRY_MS));
        };
        let aim = Duration::from_millis(self.route.latency_slo_ms).mul_f64(PATIENCE_AIMS);
        let patience = if self.has_further_attempt() && self.route.kind == RouteKind::Safe {
            (Instant::now() + aim.max(MIN_PATIENCE)).min(self.deadline)
        } else {
            self.deadline
        };
        Ok(Chosen { target_id, address, job: None, helpers: Vec::new(), loan: None, patience })
    }

    async fn choose_engine(&mut self) -> Result<Chosen, GivenUp> {
        self.take_turn().await;
        for _ in 0..=MAX_LOAN_REFUSALS {
            let job = self.place().await?;
            let lenders = job.helpers();
            let is_lent = |lender: &&Lender| lender.tokens > 0;
            let loan = if lenders.iter().any(|lender| is_lent(&lender)) {
                let lending = lenders.iter().filter(is_lent).cloned().collect();
                match Loan::take(&self.shared, job.ticket(), lending).await {
                    Ok(loan) => Some(loan),
                    Err(refuser) => {
                        self.excluded.push(refuser);
                        job.finish(Outcome::Rejected);
                        continue;
                    }
                }
            } else {
                None
            };
            let ticket = loan.as_ref().map(|loan| loan.ticket().to_owned());
            let helpers = lenders
                .into_iter()
                .map(|lender| (lender.address, ticket.clone().filter(|_| lender.tokens > 0)))
                .collect();
            return self.chosen_engine(job, helpers, loan);
        }
        "engines did not lend their memory".clone_into(&mut self.reason);
        Err(self.refusal(FULL_RETRY_MS))
    }

    async fn place(&mut self) -> Result<PlacedJob, GivenUp> {
        let now = Instant::now();
        let waited = now - self.arrived;
        let left_ms = |until: Duration| until.saturating_sub(waited).as_millis() as u64;
        let work = JobSpec {
            service: self.service.clone(),
            prompt_tokens: self.fields.prompt_tokens,
            max_output_tokens: self.fields.answer_tokens,
            slo_left_ms: left_ms(Duration::from_millis(self.route.latency_slo_ms)),
            max_event_gap_ms: self.route.max_event_gap_ms,
            time_left_ms: (self.deadline - now).as_millis() as u64,
            zone: self.shared.settings.zone.clone(),
            excluded: self.excluded.clone(),
        };
        Placer::place(&self.shared, work, self.sends > 0).await.map_err(|decision| match decision {
            Decision::Refused(refusal) => {
                self.reason = format!(
                    "{}; forecast {} ms, {} % of the engines read",
                    refusal.cause, refusal.forecast_ms, refusal.prefill_load_percent
                );
                self.refusal(refusal.retry_after_ms)
            }
            Decision::Placed(_) | Decision::NoEngine => {
                "no engine of the service can be used".clone_into(&mut self.reason);
                self.refusal(NO_TARGET_RETRY_MS)
            }
        })
    }

    fn chosen_engine(
        &mut self,
        job: PlacedJob,
        helpers: Vec<(SocketAddr, Option<String>)>,
        loan: Option<Loan>,
    ) -> Result<Chosen, GivenUp> {
        let now = Instant::now();
        let waited = now - self.arrived;
        self.helpers = job.placement.helpers.len();
        self.forecast_ms = waited.as_millis() as u64 + job.placement.first_event_ms;
        let target_id = job.engine().clone();
        let address = self.shared.fleet.borrow().get(&target_id).map(|record| record.address);
        let Some(address) = address else {
            "the chosen engine is not known".clone_into(&mut self.reason);
            return Err(self.refusal(NO_TARGET_RETRY_MS));
        };
        let patience = if self.has_further_attempt() && self.route.kind.is_idempotent() {
            let forecast = Duration::from_millis(job.placement.first_event_ms);
            (now + self.engine_patience().max(forecast.mul_f64(FORECAST_SLACK))).min(self.deadline)
        } else {
            self.deadline
        };
        Ok(Chosen { target_id, address, job: Some(job), helpers, loan, patience })
    }

    /// The target of a plain service that is least loaded, as far as this gateway knows.
    fn choose_target(&self, service: &Service) -> Option<(Arc<str>, SocketAddr)> {
        let now_ms = self.shared.now_ms();
        let fleet = self.shared.fleet.borrow();
        let health = self.shared.health.borrow();
        let cost = |record: &mulberry_directory::TargetRecord| {
            let id = &*record.id;
            let is_silent =
                fleet.silent_since_ms(id).is_some_and(|since| !health.has_served_since(since, id));
            let is_avoided = is_silent || health.is_suspended(now_ms, id);
            f64::from(health.in_flight(id))
                + health.failure_share(id) * 4.0
                + if is_avoided { 100.0 } else { 0.0 }
                + if record.zone == self.shared.settings.zone { 0.0 } else { 0.4 }
                + rand::rng().random_range(0.0..0.2)
        };
        fleet
            .usable(&service.name)
            .filter(|record| !self.excluded.contains(&record.id))
            .map(|record| (cost(record), record))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, record)| (record.id.clone(), record.address))
    }

    pub(super) fn forwarded_head(&self, chosen: &Chosen, after: Option<u64>) -> RequestHead {
        let mut head = self.head.clone();
        head.headers.remove_connection_fields();
        head.headers.remove("expect");
        head.headers.remove("content-length");
        if !self.body.is_empty() || self.head.headers.get("content-length").is_some() {
            head.headers.push("Content-Length", self.body.len().to_string().as_bytes());
        }
        let left = self.deadline.saturating_duration_since(Instant::now());
        let fields = ForwardFields {
            deadline_ms: Some(left.as_millis() as u64),
            target_id: &chosen.target_id,
            tenant: self.tenant.as_deref(),
            priority: chosen
                .job
                .as_ref()
                .map(|_| engine_priority(self.fields.prompt_tokens, self.priority)),
            helpers: &chosen.helpers,
            last_event: after,
        };
        self.shared.dialect.forward(&mut head.headers, &fields);
        head
    }
}

/// A service of the route, by weight.
pub(super) fn choose_service(route: &Route) -> Arc<str> {
    let total: u64 = route.backends.iter().map(|backend| u64::from(backend.weight)).sum();
    let mut drawn = rand::rng().random_range(0..total.max(1));
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if drawn < weight {
            return backend.service.clone();
        }
        drawn -= weight;
    }
    // A checked route has a weight above 0.
    route.backends.first().map_or_else(|| "".into(), |backend| backend.service.clone())
}

/// Rank at the engine: short prompts are read before long ones, and urgent routes and tenants before others.
fn engine_priority(prompt_tokens: u64, priority: u32) -> u8 {
    let by_length = match prompt_tokens {
        0..16_000 => 0,
        16_000..64_000 => 2,
        _ => 4,
    };
    by_length + priority.min(MAX_RANK_OF_ROUTE) as u8
}
