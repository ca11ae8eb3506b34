//! State of one engine as known to the scheduler.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use mulberry_routes::{ColdStartLimit, EngineProfile};

use crate::cost::{Deadlines, value};
use crate::tracked_job::TrackedJob;
use crate::{JobId, JobSpec, SchedulerSettings};

/// Remaining prefill time assumed for an overdue part, until the first event confirms that it has finished.
const OVERDUE_PREFILL_MS: f64 = 5.0;

/// Time for which request starts are recorded, in milliseconds; at least the window of the cold-start rate limit.
const MAX_START_WINDOW_MS: u64 = 10_000;

/// A usable engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineInfo {
    pub id: Arc<str>,
    pub zone: Arc<str>,

    /// Time from now until the engine is warm, in milliseconds.
    pub cold_remaining_ms: u64,
}

/// One engine and the requests placed on it.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub id: Arc<str>,
    pub zone: Arc<str>,
    pub cold_until_ms: u64,

    /// Prompt parts to prefill. A helper part runs before all parts already queued, a part of the engine's own requests
    /// after them.
    prefills: Vec<PrefillPart>,

    /// Requests in prefill or decode for which it is the primary engine.
    held: BTreeMap<JobId, HeldRequest>,

    /// KV cache tokens lent to requests of other primary engines.
    lent: BTreeMap<JobId, u64>,

    /// Times at which recent requests were placed here.
    recent_starts: VecDeque<u64>,

    suspended_until_ms: u64,
    failures: u32,

    /// End of the time for which it is avoided because a connection to it broke.
    avoided_until_ms: u64,

    /// Rank of this gateway among all gateways at this engine; `None` until it is determined.
    rank: Option<u32>,
}

/// A part of a prompt that an engine prefills.
#[derive(Debug)]
struct PrefillPart {
    job: JobId,
    prefill_ms: f64,

    /// Expected end of its prefill.
    end_ms: f64,
}

#[derive(Debug)]
struct HeldRequest {
    tokens: u64,
    prompt_tokens: u64,
    max_event_gap_ms: u64,
    is_decoding: bool,
}

/// Value of the streaming requests of an engine by their `max_event_gap_ms`, of which there are few distinct values.
#[derive(Debug, Default)]
pub(crate) struct ValueByEventGap(Vec<(u64, f64)>);

impl ValueByEventGap {
    fn add(&mut self, max_event_gap_ms: u64, value: f64) {
        match self.0.iter_mut().find(|(known, _)| *known == max_event_gap_ms) {
            Some((_, sum)) => *sum += value,
            None => self.0.push((max_event_gap_ms, value)),
        }
    }

    /// Expected loss when an event gap of `gap_ms` is extended by `part_ms`.
    pub(crate) fn stall_loss(&self, gap_ms: f64, part_ms: f64) -> f64 {
        let loss = |(max_event_gap_ms, value): &(u64, f64)| {
            let deadlines = Deadlines::of_event_gap(*max_event_gap_ms);
            (deadlines.loss(gap_ms + part_ms) - deadlines.loss(gap_ms)) * value
        };
        self.0.iter().map(loss).sum()
    }
}

impl EngineState {
    pub(crate) fn new(info: &EngineInfo, now_ms: u64) -> EngineState {
        EngineState {
            id: info.id.clone(),
            zone: info.zone.clone(),
            cold_until_ms: now_ms.saturating_add(info.cold_remaining_ms),
            prefills: Vec::new(),
            held: BTreeMap::new(),
            lent: BTreeMap::new(),
            recent_starts: VecDeque::new(),
            suspended_until_ms: 0,
            failures: 0,
            avoided_until_ms: 0,
            rank: None,
        }
    }

    /// Allocated KV cache memory, in tokens.
    pub(crate) fn used_tokens(&self) -> u64 {
        let held: u64 = self.held.values().map(|held| held.tokens).sum();
        held + self.lent.values().sum::<u64>()
    }

    pub(crate) fn held_requests(&self) -> usize {
        self.held.len()
    }

    /// Number of held requests whose event gap objective is `max_event_gap_ms` or stricter.
    pub(crate) fn held_with_event_gap(&self, max_event_gap_ms: u64) -> usize {
        self.held.values().filter(|held| held.max_event_gap_ms <= max_event_gap_ms).count()
    }

    pub(crate) fn queued_prefill_parts(&self) -> usize {
        self.prefills.len()
    }

    pub(crate) fn is_suspended(&self, now_ms: u64) -> bool {
        now_ms < self.suspended_until_ms
    }

    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }

    pub(crate) fn suspension_remaining_ms(&self, now_ms: u64) -> u64 {
        self.suspended_until_ms.saturating_sub(now_ms)
    }

    /// Whether the engine has received as many recent requests as the cold-start rate limit allows.
    pub(crate) fn is_at_cold_limit(
        &self,
        now_ms: u64,
        cold: Option<ColdStartLimit>,
        share: f64,
        settings: &SchedulerSettings,
    ) -> bool {
        self.cold_starts_left(now_ms, cold, share, settings) == 0
    }

    /// Share of the cold-start rate limit that applies to the engine.
    pub(crate) fn cold_share(&self, now_ms: u64, settings: &SchedulerSettings) -> f64 {
        if self.cold_until_ms > now_ms { settings.cold_share } else { settings.warm_share }
    }

    /// Number of requests that the cold-start rate limit allows now.
    pub(crate) fn cold_starts_left(
        &self,
        now_ms: u64,
        cold: Option<ColdStartLimit>,
        share: f64,
        settings: &SchedulerSettings,
    ) -> usize {
        let Some(cold) = cold else { return usize::MAX };
        let is_recent = |start_ms: &&u64| **start_ms + settings.start_window_ms > now_ms;
        let starts = self.recent_starts.iter().rev().take_while(is_recent).count();
        let allowed = if share > 0.0 { (cold.requests_per_s * share).max(1.0) as usize } else { 0 };
        self.own_starts(allowed, settings.sharing_gateways).saturating_sub(starts)
    }

    /// Number of starts that this gateway may use when `gateways` divide `allowed` starts. The remainder goes to the
    /// lowest ranks, so that all shares together do not exceed `allowed`.
    fn own_starts(&self, allowed: usize, gateways: u32) -> usize {
        let gateways = gateways as usize;
        if gateways == 0 {
            return allowed;
        }
        let rank = self.rank.map_or(usize::MAX, |rank| rank as usize);
        allowed / gateways + usize::from(rank < allowed % gateways)
    }

    /// Sets the rank of this gateway at this engine unless it is already set.
    pub(crate) fn set_rank(&mut self, rank: impl FnOnce(&Arc<str>) -> u32) {
        if self.rank.is_none() {
            self.rank = Some(rank(&self.id));
        }
    }

    pub(crate) fn clear_rank(&mut self) {
        self.rank = None;
    }

    /// Duration of an iteration without prefill; 0 if no request is decoding.
    pub(crate) fn iteration_ms(&self, profile: &EngineProfile) -> f64 {
        let decoding = self.held.values().filter(|held| held.is_decoding);
        let (count, context) =
            decoding.fold((0, 0), |(count, context), held| (count + 1, context + held.tokens));
        if count == 0 { 0.0 } else { profile.iteration_ms(count, context) }
    }

    /// Remaining prefill time, in milliseconds.
    pub(crate) fn backlog_ms(&self, now_ms: u64) -> f64 {
        let now_ms = now_ms as f64;
        let remaining_ms = |part: &PrefillPart| {
            (part.end_ms - now_ms).min(part.prefill_ms).max(OVERDUE_PREFILL_MS)
        };
        self.prefills.iter().map(remaining_ms).sum()
    }

    /// Time until a part of `part_ms` has been prefilled, after `ahead_ms` of prefill that is queued before it.
    pub(crate) fn prefill_end_ms(ahead_ms: f64, part_ms: f64, iteration_ms: f64) -> f64 {
        // The current iteration has to end first, and the part is prefilled within its own iteration.
        ahead_ms + part_ms + iteration_ms * 1.5
    }

    pub(crate) fn value_by_event_gap(&self) -> ValueByEventGap {
        let mut values = ValueByEventGap::default();
        for held in self.held.values().filter(|held| held.max_event_gap_ms > 0) {
            values.add(held.max_event_gap_ms, value(held.prompt_tokens));
        }
        values
    }

    /// Expected loss of the requests in prefill here when a helper part of `part_ms` runs before them. `jobs` contains
    /// all of them.
    pub(crate) fn prefill_delay_loss(
        &self,
        now_ms: u64,
        part_ms: f64,
        jobs: &HashMap<JobId, TrackedJob>,
    ) -> f64 {
        self.prefills
            .iter()
            .filter_map(|part| Some((part.end_ms + part_ms, jobs.get(&part.job)?)))
            .map(|(end_ms, job)| job.delay_loss(now_ms, end_ms))
            .sum()
    }

    /// Adds a part that takes `prefill_ms`. Returns the expected end of its prefill, and the new expected ends of the
    /// parts that it delays.
    pub(crate) fn add_part(
        &mut self,
        job: JobId,
        now_ms: u64,
        prefill_ms: f64,
        profile: &EngineProfile,
        is_helper: bool,
    ) -> (f64, Vec<(JobId, f64)>) {
        let ahead_ms = if is_helper { 0.0 } else { self.backlog_ms(now_ms) };
        let duration_ms =
            EngineState::prefill_end_ms(ahead_ms, prefill_ms, self.iteration_ms(profile));
        let end_ms = now_ms as f64 + duration_ms;
        let mut delayed = Vec::new();
        if is_helper {
            for part in &mut self.prefills {
                part.end_ms = part.end_ms.max(now_ms as f64) + prefill_ms;
                delayed.push((part.job, part.end_ms));
            }
        }
        self.prefills.push(PrefillPart { job, prefill_ms, end_ms });
        (end_ms, delayed)
    }

    pub(crate) fn hold(
        &mut self,
        job: JobId,
        now_ms: u64,
        spec: &JobSpec,
        tokens: u64,
        is_decoding: bool,
    ) {
        self.recent_starts.push_back(now_ms);
        while self
            .recent_starts
            .front()
            .is_some_and(|&start_ms| start_ms + MAX_START_WINDOW_MS <= now_ms)
        {
            self.recent_starts.pop_front();
        }
        let held = HeldRequest {
            tokens,
            prompt_tokens: spec.prompt_tokens,
            max_event_gap_ms: spec.max_event_gap_ms,
            is_decoding,
        };
        self.held.insert(job, held);
    }

    pub(crate) fn lend(&mut self, job: JobId, tokens: u64) {
        self.lent.insert(job, tokens);
    }

    pub(crate) fn first_event(&mut self, job: JobId) {
        self.prefills.retain(|part| part.job != job);
        if let Some(held) = self.held.get_mut(&job) {
            held.is_decoding = true;
        }
    }

    pub(crate) fn remove(&mut self, job: JobId) {
        self.prefills.retain(|part| part.job != job);
        self.held.remove(&job);
        self.lent.remove(&job);
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Handles a broken connection: the engine has probably failed, unless most others lost connections as well.
    pub(crate) fn disconnected(&mut self, now_ms: u64, settings: &SchedulerSettings) {
        self.avoided_until_ms = now_ms + settings.first_suspension_ms;
    }

    pub(crate) fn failed(&mut self, now_ms: u64, settings: &SchedulerSettings) {
        let doublings = self.failures.min(8);
        let suspension_ms =
            (settings.first_suspension_ms << doublings).min(settings.max_suspension_ms);
        self.failures += 1;
        self.suspended_until_ms = now_ms + suspension_ms;
    }
}
