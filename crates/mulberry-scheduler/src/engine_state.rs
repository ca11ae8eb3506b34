//! What the scheduler knows of one engine.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use mulberry_routes::{ColdLimit, EngineTerms};

use crate::cost::{LATE_LOSS, lateness, value};
use crate::{JobId, SchedulerSettings, Work};

/// Least time that a part counts as unread, until the first event says that it was read.
const MIN_READ_LEFT_MS: f64 = 5.0;

/// An engine that may be used.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineInfo {
    pub id: Arc<str>,
    pub zone: Arc<str>,

    /// Time for which the engine is cold from now on, in milliseconds.
    pub cold_left_ms: u64,
}

/// One engine with what was placed on it.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub id: Arc<str>,
    pub zone: Arc<str>,
    pub cold_until_ms: u64,

    /// Parts that it reads, first come first.
    reads: Vec<ReadPart>,

    /// Requests whose prompt and answer it holds, whether it still reads or writes.
    holds: BTreeMap<JobId, Held>,

    /// Times of the requests sent to it lately.
    starts: VecDeque<u64>,

    suspended_until_ms: u64,
    failures: u32,
}

#[derive(Debug)]
struct ReadPart {
    job: JobId,
    read_ms: f64,
    ends_ms: f64,
}

#[derive(Debug)]
struct Held {
    tokens: u64,
    prompt_tokens: u64,
    max_pause_ms: u64,
    is_writing: bool,
}

impl EngineState {
    pub(crate) fn new(info: &EngineInfo, now_ms: u64) -> EngineState {
        EngineState {
            id: info.id.clone(),
            zone: info.zone.clone(),
            cold_until_ms: now_ms + info.cold_left_ms,
            reads: Vec::new(),
            holds: BTreeMap::new(),
            starts: VecDeque::new(),
            suspended_until_ms: 0,
            failures: 0,
        }
    }

    pub(crate) fn held_tokens(&self) -> u64 {
        self.holds.values().map(|held| held.tokens).sum()
    }

    pub(crate) fn held_requests(&self) -> usize {
        self.holds.len()
    }

    /// Requests with a bound on their pauses that is as tight as `max_pause_ms`.
    pub(crate) fn held_with_pause(&self, max_pause_ms: u64) -> usize {
        self.holds.values().filter(|held| held.max_pause_ms <= max_pause_ms).count()
    }

    pub(crate) fn reading_parts(&self) -> usize {
        self.reads.len()
    }

    pub(crate) fn is_suspended(&self, now_ms: u64) -> bool {
        now_ms < self.suspended_until_ms
    }

    pub(crate) fn suspended_left_ms(&self, now_ms: u64) -> u64 {
        self.suspended_until_ms.saturating_sub(now_ms)
    }

    /// Whether a cold engine has got as many requests lately as it bears.
    pub(crate) fn is_cold_full(
        &mut self,
        now_ms: u64,
        cold: Option<ColdLimit>,
        settings: &SchedulerSettings,
    ) -> bool {
        while self.starts.front().is_some_and(|&at| at + settings.start_window_ms <= now_ms) {
            self.starts.pop_front();
        }
        let Some(cold) = cold else { return false };
        self.starts.len() as f64 >= (cold.requests_per_s * settings.cold_share).max(1.0)
    }

    /// Length of a pass without reading, 0 when nobody writes.
    pub(crate) fn pass_ms(&self, terms: &EngineTerms) -> f64 {
        let writing = self.holds.values().filter(|held| held.is_writing);
        let (count, context) =
            writing.fold((0, 0), |(count, context), held| (count + 1, context + held.tokens));
        if count == 0 { 0.0 } else { terms.pass_ms(count, context) }
    }

    /// Reading that is left, in milliseconds.
    pub(crate) fn backlog_ms(&self, now_ms: u64) -> f64 {
        let now_ms = now_ms as f64;
        self.reads
            .iter()
            .map(|part| (part.ends_ms - now_ms).clamp(MIN_READ_LEFT_MS, part.read_ms.max(MIN_READ_LEFT_MS)))
            .sum()
    }

    /// Time until a part of `part_ms` that is added now has been read.
    pub(crate) fn read_end_ms(&self, now_ms: u64, part_ms: f64, pass_ms: f64) -> f64 {
        // Half of the running pass must end first, and the part is read within a pass of its own.
        self.backlog_ms(now_ms) + part_ms + pass_ms * 1.5
    }

    /// What a further part of `part_ms` costs those who are served here already.
    pub(crate) fn harm(&self, now_ms: u64, part_ms: f64, pass_ms: f64) -> f64 {
        let pause_before = pass_ms + self.backlog_ms(now_ms);
        let pause_after = pause_before + part_ms;
        self.holds
            .values()
            .filter(|held| held.max_pause_ms > 0)
            .map(|held| {
                let bound = held.max_pause_ms as f64;
                let more = lateness(pause_after, bound) - lateness(pause_before, bound);
                more * value(held.prompt_tokens) * LATE_LOSS
            })
            .sum()
    }

    pub(crate) fn add_read(&mut self, job: JobId, now_ms: u64, part_ms: f64, ends_in_ms: f64) {
        let ends_ms = now_ms as f64 + ends_in_ms;
        self.reads.push(ReadPart { job, read_ms: part_ms, ends_ms });
    }

    pub(crate) fn hold(&mut self, job: JobId, now_ms: u64, work: &Work, is_writing: bool) {
        self.starts.push_back(now_ms);
        let held = Held {
            tokens: work.prompt_tokens + work.answer_tokens,
            prompt_tokens: work.prompt_tokens,
            max_pause_ms: work.max_pause_ms,
            is_writing,
        };
        self.holds.insert(job, held);
    }

    pub(crate) fn first_event(&mut self, job: JobId) {
        self.reads.retain(|part| part.job != job);
        if let Some(held) = self.holds.get_mut(&job) {
            held.is_writing = true;
        }
    }

    pub(crate) fn forget(&mut self, job: JobId) {
        self.reads.retain(|part| part.job != job);
        self.holds.remove(&job);
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    pub(crate) fn failed(&mut self, now_ms: u64, settings: &SchedulerSettings) {
        let doublings = self.failures.min(8);
        let pause = (settings.first_suspension_ms << doublings).min(settings.max_suspension_ms);
        self.failures += 1;
        self.suspended_until_ms = now_ms + pause;
    }
}
