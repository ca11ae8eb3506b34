//! What the scheduler knows of one engine.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use mulberry_routes::{ColdStartLimit, EngineProfile};

use crate::cost::{Bounds, value};
use crate::scheduler::Job;
use crate::{JobId, JobSpec, SchedulerSettings};

/// Reading that a part is counted with once it should be done, until the first event says that it is.
const OVERDUE_MS: f64 = 5.0;

/// Time for which starts are remembered, in milliseconds; at least the window of the limit for cold engines.
const MAX_START_WINDOW_MS: u64 = 10_000;

/// An engine that may be used.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineInfo {
    pub id: Arc<str>,
    pub zone: Arc<str>,

    /// Time for which the engine is cold from now on, in milliseconds.
    pub cold_remaining_ms: u64,
}

/// One engine with what was placed on it.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub id: Arc<str>,
    pub zone: Arc<str>,
    pub cold_until_ms: u64,

    /// Parts that it reads. Those of helpers go before all that are there already, others after them.
    reads: Vec<ReadPart>,

    /// Requests whose prompt and answer it holds, whether it still reads or writes.
    holds: BTreeMap<JobId, Held>,

    /// Memory lent to requests that other engines hold.
    lent: BTreeMap<JobId, u64>,

    /// Times of the requests sent to it lately.
    starts: VecDeque<u64>,

    suspended_until_ms: u64,
    failures: u32,

    /// Until when it is avoided because a connection to it broke off.
    avoided_until_ms: u64,

    /// Rank of this gateway among all at this engine; `None` until it is asked for.
    rank: Option<u32>,
}

/// A part of a prompt that an engine reads.
#[derive(Debug)]
struct ReadPart {
    job: JobId,
    prefill_ms: f64,

    /// When it should have been read.
    ends_ms: f64,
}

#[derive(Debug)]
struct Held {
    tokens: u64,
    prompt_tokens: u64,
    max_event_gap_ms: u64,
    is_decoding: bool,
}

/// Value of the requests that write, by the longest pause that is on time; few kinds differ in it.
#[derive(Debug, Default)]
pub(crate) struct WritersByPause(Vec<(u64, f64)>);

impl WritersByPause {
    fn add(&mut self, max_event_gap_ms: u64, value: f64) {
        match self.0.iter_mut().find(|(known, _)| *known == max_event_gap_ms) {
            Some((_, sum)) => *sum += value,
            None => self.0.push((max_event_gap_ms, value)),
        }
    }

    /// What they lose when a pause of `pause_ms` gets longer by `part_ms`.
    pub(crate) fn harm(&self, pause_ms: f64, part_ms: f64) -> f64 {
        let loss = |(max_event_gap_ms, value): &(u64, f64)| {
            let bounds = Bounds::of_pause(*max_event_gap_ms);
            (bounds.loss(pause_ms + part_ms) - bounds.loss(pause_ms)) * value
        };
        self.0.iter().map(loss).sum()
    }
}

impl EngineState {
    pub(crate) fn new(info: &EngineInfo, now_ms: u64) -> EngineState {
        EngineState {
            id: info.id.clone(),
            zone: info.zone.clone(),
            cold_until_ms: now_ms + info.cold_remaining_ms,
            reads: Vec::new(),
            holds: BTreeMap::new(),
            lent: BTreeMap::new(),
            starts: VecDeque::new(),
            suspended_until_ms: 0,
            failures: 0,
            avoided_until_ms: 0,
            rank: None,
        }
    }

    /// Tokens of memory that are given out.
    pub(crate) fn used_tokens(&self) -> u64 {
        let held: u64 = self.holds.values().map(|held| held.tokens).sum();
        held + self.lent.values().sum::<u64>()
    }

    pub(crate) fn held_requests(&self) -> usize {
        self.holds.len()
    }

    /// Requests with a bound on their pauses that is as tight as `max_event_gap_ms`.
    pub(crate) fn held_with_pause(&self, max_event_gap_ms: u64) -> usize {
        self.holds.values().filter(|held| held.max_event_gap_ms <= max_event_gap_ms).count()
    }

    pub(crate) fn reading_parts(&self) -> usize {
        self.reads.len()
    }

    pub(crate) fn is_suspended(&self, now_ms: u64) -> bool {
        now_ms < self.suspended_until_ms
    }

    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoided_until_ms
    }

    pub(crate) fn suspended_left_ms(&self, now_ms: u64) -> u64 {
        self.suspended_until_ms.saturating_sub(now_ms)
    }

    /// Whether an engine has got as many requests lately as it bears when it is cold.
    pub(crate) fn is_cold_full(
        &self,
        now_ms: u64,
        cold: Option<ColdStartLimit>,
        share: f64,
        settings: &SchedulerSettings,
    ) -> bool {
        let Some(cold) = cold else { return false };
        let is_recent = |at: &&u64| **at + settings.start_window_ms > now_ms;
        let starts = self.starts.iter().rev().take_while(is_recent).count();
        let allowed = if share > 0.0 { (cold.requests_per_s * share).max(1.0) as usize } else { 0 };
        starts >= self.part_of(allowed, settings.sharing_gateways)
    }

    /// What this gateway may use of `allowed` starts that `gateways` share. The first ones by rank get what cannot be
    /// divided, so that all parts together are no more than the whole.
    fn part_of(&self, allowed: usize, gateways: u32) -> usize {
        let gateways = gateways as usize;
        if gateways == 0 {
            return allowed;
        }
        let rank = self.rank.map_or(usize::MAX, |rank| rank as usize);
        allowed / gateways + usize::from(rank < allowed % gateways)
    }

    /// Sets the rank of this gateway at this engine if it is not known yet.
    pub(crate) fn set_rank(&mut self, rank: impl FnOnce(&Arc<str>) -> u32) {
        if self.rank.is_none() {
            self.rank = Some(rank(&self.id));
        }
    }

    pub(crate) fn clear_rank(&mut self) {
        self.rank = None;
    }

    /// Length of a pass without reading, 0 when nobody writes.
    pub(crate) fn iteration_ms(&self, profile: &EngineProfile) -> f64 {
        let writing = self.holds.values().filter(|held| held.is_decoding);
        let (count, context) =
            writing.fold((0, 0), |(count, context), held| (count + 1, context + held.tokens));
        if count == 0 { 0.0 } else { profile.iteration_ms(count, context) }
    }

    /// Reading that is left, in milliseconds.
    pub(crate) fn backlog_ms(&self, now_ms: u64) -> f64 {
        let now_ms = now_ms as f64;
        let left = |part: &ReadPart| (part.ends_ms - now_ms).min(part.prefill_ms).max(OVERDUE_MS);
        self.reads.iter().map(left).sum()
    }

    /// Time until a part of `part_ms` has been read after what goes before it.
    pub(crate) fn read_end_ms(ahead_ms: f64, part_ms: f64, iteration_ms: f64) -> f64 {
        // The running pass must end first, and the part is read within a pass of its own.
        ahead_ms + part_ms + iteration_ms * 1.5
    }

    pub(crate) fn writers_by_pause(&self) -> WritersByPause {
        let mut writers = WritersByPause::default();
        for held in self.holds.values().filter(|held| held.max_event_gap_ms > 0) {
            writers.add(held.max_event_gap_ms, value(held.prompt_tokens));
        }
        writers
    }

    /// What a part of a helper, which goes before all that is read here, costs those who are read here. `jobs` holds all
    /// of them.
    pub(crate) fn displaced(&self, now_ms: u64, part_ms: f64, jobs: &HashMap<JobId, Job>) -> f64 {
        self.reads
            .iter()
            .filter_map(|part| Some((part.ends_ms + part_ms, jobs.get(&part.job)?)))
            .map(|(ends_ms, job)| job.loss_by(now_ms, ends_ms))
            .sum()
    }

    /// Adds a part that takes `prefill_ms`. Returns when it will have been read, and the same of the parts that it
    /// displaces.
    pub(crate) fn add_part(
        &mut self,
        job: JobId,
        now_ms: u64,
        prefill_ms: f64,
        profile: &EngineProfile,
        is_helper: bool,
    ) -> (f64, Vec<(JobId, f64)>) {
        let ahead_ms = if is_helper { 0.0 } else { self.backlog_ms(now_ms) };
        let ends_in_ms = EngineState::read_end_ms(ahead_ms, prefill_ms, self.iteration_ms(profile));
        let ends_ms = now_ms as f64 + ends_in_ms;
        let mut displaced = Vec::new();
        if is_helper {
            for part in &mut self.reads {
                part.ends_ms = part.ends_ms.max(now_ms as f64) + prefill_ms;
                displaced.push((part.job, part.ends_ms));
            }
        }
        self.reads.push(ReadPart { job, prefill_ms, ends_ms });
        (ends_ms, displaced)
    }

    pub(crate) fn hold(
        &mut self,
        job: JobId,
        now_ms: u64,
        spec: &JobSpec,
        tokens: u64,
        is_decoding: bool,
    ) {
        self.starts.push_back(now_ms);
        while self.starts.front().is_some_and(|&at| at + MAX_START_WINDOW_MS <= now_ms) {
            self.starts.pop_front();
        }
        let held = Held {
            tokens,
            prompt_tokens: spec.prompt_tokens,
            max_event_gap_ms: spec.max_event_gap_ms,
            is_decoding,
        };
        self.holds.insert(job, held);
    }

    pub(crate) fn lend(&mut self, job: JobId, tokens: u64) {
        self.lent.insert(job, tokens);
    }

    pub(crate) fn first_event(&mut self, job: JobId) {
        self.reads.retain(|part| part.job != job);
        if let Some(held) = self.holds.get_mut(&job) {
            held.is_decoding = true;
        }
    }

    pub(crate) fn forget(&mut self, job: JobId) {
        self.reads.retain(|part| part.job != job);
        self.holds.remove(&job);
        self.lent.remove(&job);
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// A connection broke off: it is likely gone, unless most others seem so as well.
    pub(crate) fn disconnected(&mut self, now_ms: u64, settings: &SchedulerSettings) {
        self.avoided_until_ms = now_ms + settings.first_suspension_ms;
    }

    pub(crate) fn failed(&mut self, now_ms: u64, settings: &SchedulerSettings) {
        let doublings = self.failures.min(8);
        let pause = (settings.first_suspension_ms << doublings).min(settings.max_suspension_ms);
        self.failures += 1;
        self.suspended_until_ms = now_ms + pause;
    }
}
