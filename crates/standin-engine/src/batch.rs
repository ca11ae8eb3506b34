//! The engine's memory, queue and steps, without threads or sockets.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use mulberry_types::{LoadReport, Priority};
use serde::Serialize;

use crate::EngineSettings;
use crate::prefix_cache::{BLOCK_TOKENS, PrefixCache};

/// Shortest time between two entries of the load history.
const LOAD_SAMPLE: Duration = Duration::from_millis(10);

/// Cache events that are kept for readers.
const MAX_CACHE_EVENTS: usize = 10_000;

/// Work that a request asks for.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request_id: Arc<str>,
    pub(crate) kind: JobKind,
    pub(crate) priority: Priority,
    pub(crate) prompt_tokens: u64,
    pub(crate) block_hashes: Vec<u64>,

    /// When imported KV cache has arrived.
    pub(crate) starts_at: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum JobKind {
    Completion { max_tokens: u32, resume_from: u32 },
    Segment { index: u32, text: Arc<str> },
}

/// What the engine tells the handler of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Event {
    Token(u32),
    Done,
    Exported(Arc<str>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    AlreadyRunning,
    NeverFits,
    MemoryFull,
    SlotsFull,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum WorkState {
    Queued,
    Prefill,
    Decode,
}

#[derive(Debug)]
struct Work {
    job: Job,
    state: WorkState,
    prefill_left: u64,
    next_token: u32,
    arrived: Instant,
    events: Sender<Event>,
}

/// A segment that other engines can import.
#[derive(Debug, Clone)]
pub(crate) struct Export {
    pub(crate) request_id: Arc<str>,
    pub(crate) text: Arc<str>,
    pub(crate) tokens: u64,
    pub(crate) made: Instant,
}

/// One line of `GET /streams`.
#[derive(Debug, Serialize)]
pub(crate) struct StreamReport {
    id: Arc<str>,
    kind: &'static str,
    priority: Priority,
    state: WorkState,
    prompt_tokens: u64,
    tokens_held: u64,
    age_ms: u128,
}

/// One line of `GET /cache-events`.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    sequence: u64,
    action: &'static str,

    /// Hash of the block and all text before it, in hexadecimal.
    block: String,

    #[serde(skip)]
    at: Instant,
}

/// Work of one step of the engine.
#[derive(Debug)]
pub(crate) struct Step {
    pub(crate) duration: Duration,
    prefill: Vec<(u64, u64)>,
    decode: Vec<u64>,
}

/// Counts that outlive a restart of the emulated engine.
#[derive(Debug, Default, Clone, Serialize)]
pub(crate) struct Counts {
    pub(crate) prefills: u64,
    pub(crate) prefilled_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) completed: u64,
    pub(crate) cancelled: u64,

    /// Most memory held by streams, exports and the cache together.
    pub(crate) peak_used_tokens: u64,

    /// Requests that did not fit into the free memory when they arrived.
    pub(crate) over_memory_attempts: u64,

    pub(crate) refused: u64,
    pub(crate) exports: u64,

    /// How often the engine fell over because it got too much load while it was cold.
    pub(crate) fell_over: u64,

    /// How often a completion of each request id ran.
    pub(crate) runs: HashMap<Arc<str>, u32>,
}

/// Requests and memory of one life of the engine.
#[derive(Debug)]
pub(crate) struct Batch {
    settings: Arc<EngineSettings>,
    works: BTreeMap<u64, Work>,
    next_key: u64,
    held_tokens: u64,
    cache: PrefixCache,
    exports: BTreeMap<Arc<str>, Export>,
    export_prefix: String,
    load_history: VecDeque<(Instant, LoadReport)>,
    cache_events: VecDeque<CacheEvent>,
    cache_event_sequence: u64,
    successes: u32,
    cold_since: Instant,

    /// Factor on the time of each step while the engine is cold, and always.
    cold_slow_factor: f64,
    pub(crate) slow_factor: f64,
    pub(crate) counts: Counts,
}

impl Batch {
    pub(crate) fn new(settings: Arc<EngineSettings>, boot_id: u64, counts: Counts) -> Batch {
        Batch {
            settings,
            works: BTreeMap::new(),
            next_key: 0,
            held_tokens: 0,
            cache: PrefixCache::default(),
            exports: BTreeMap::new(),
            export_prefix: format!("{boot_id:x}"),
            load_history: VecDeque::new(),
            cache_events: VecDeque::new(),
            cache_event_sequence: 0,
            successes: 0,
            cold_since: Instant::now(),
            cold_slow_factor: 1.0,
            slow_factor: 1.0,
            counts,
        }
    }

    /// Takes a request into the batch or the queue.
    pub(crate) fn submit(&mut self, job: Job) -> Result<(u64, Receiver<Event>), Refusal> {
        let result = self.try_submit(job);
        if result.is_err() {
            self.counts.refused += 1;
        }
        result
    }

    fn try_submit(&mut self, job: Job) -> Result<(u64, Receiver<Event>), Refusal> {
        let same = |work: &Work| {
            work.job.request_id == job.request_id
                && match (&work.job.kind, &job.kind) {
                    (JobKind::Segment { index: left, .. }, JobKind::Segment { index, .. }) => {
                        left == index
                    }
                    (JobKind::Completion { .. }, JobKind::Completion { .. }) => true,
                    _ => false,
                }
        };
        if self.works.values().any(same) {
            return Err(Refusal::AlreadyRunning);
        }
        let need = job.tokens();
        if need > self.settings.memory_tokens {
            self.counts.over_memory_attempts += 1;
            return Err(Refusal::NeverFits);
        }
        let memory_free = self.held_tokens + need <= self.settings.memory_tokens;
        if !memory_free {
            self.counts.over_memory_attempts += 1;
        }
        let queued = self.in_state(WorkState::Queued);
        let goes_first = !self
            .works
            .values()
            .any(|work| work.state == WorkState::Queued && work.job.priority >= job.priority);
        let runs_now = memory_free && goes_first && self.running() < self.settings.slots;
        if !runs_now && queued >= self.settings.max_queued {
            return Err(if memory_free { Refusal::SlotsFull } else { Refusal::MemoryFull });
        }
        let (events, receiver) = unbounded();
        let next_token = match job.kind {
            JobKind::Completion { resume_from, .. } => {
                *self.counts.runs.entry(job.request_id.clone()).or_default() += 1;
                resume_from
            }
            JobKind::Segment { .. } => 0,
        };
        self.next_key += 1;
        let key = self.next_key;
        let state = WorkState::Queued;
        let arrived = Instant::now();
        let work = Work { job, state, prefill_left: 0, next_token, arrived, events };
        self.works.insert(key, work);
        self.admit();
        Ok((key, receiver))
    }

    /// Starts queued work while there is room, by priority and then by arrival.
    pub(crate) fn admit(&mut self) {
        while self.running() < self.settings.slots {
            let first = self
                .works
                .iter()
                .filter(|(_, work)| work.state == WorkState::Queued)
                .min_by_key(|(key, work)| (std::cmp::Reverse(work.job.priority), **key));
            let Some((&key, work)) = first else { break };
            let need = work.job.tokens();
            if self.held_tokens + need > self.settings.memory_tokens {
                break;
            }
            self.hold(need);
            let Some(work) = self.works.get_mut(&key) else { break };
            let cached = self.cache.lookup(&work.job.block_hashes);
            let resumed = u64::from(work.next_token);
            // The last token of a prompt is always computed, because the first answer token follows from it.
            work.prefill_left = (work.job.prompt_tokens + resumed).saturating_sub(cached).max(1);
            work.state = WorkState::Prefill;
            self.counts.prefills += 1;
            self.counts.cached_tokens += cached;
        }
        self.note_load();
    }

    /// Work of the next step; `None` if there is nothing to do now.
    pub(crate) fn plan(&self, now: Instant) -> Option<Step> {
        let mut prefilling: Vec<_> = self
            .works
            .iter()
            .filter(|(_, work)| work.state == WorkState::Prefill && work.job.starts_at <= now)
            .collect();
        prefilling.sort_by_key(|(key, work)| (std::cmp::Reverse(work.job.priority), **key));
        let mut budget = u64::from(self.settings.prefill_chunk_tokens);
        let mut prefill = Vec::new();
        for (&key, work) in prefilling {
            let tokens = work.prefill_left.min(budget);
            if tokens == 0 {
                break;
            }
            budget -= tokens;
            prefill.push((key, tokens));
        }
        let decode: Vec<u64> = self
            .works
            .iter()
            .filter(|(_, work)| work.state == WorkState::Decode)
            .map(|(&key, _)| key)
            .collect();
        if prefill.is_empty() && decode.is_empty() {
            return None;
        }
        let prefilled: u64 = prefill.iter().map(|(_, tokens)| tokens).sum();
        let prefill_s = prefilled as f64 / f64::from(self.settings.prefill_tokens_per_s);
        let decode_s = match decode.len() {
            0 => 0.0,
            streams => {
                f64::from(self.settings.step_ms) / 1e3
                    + f64::from(self.settings.step_us_per_stream) * (streams - 1) as f64 / 1e6
            }
        };
        // Prefill and decoding share a step, so the longer of them decides.
        let cold_factor = if self.is_cold() { self.cold_slow_factor } else { 1.0 };
        let duration =
            Duration::from_secs_f64(prefill_s.max(decode_s) * self.slow_factor * cold_factor);
        Some(Step { duration, prefill, decode })
    }

    /// Applies a step that has taken its time. Work that was cancelled meanwhile is left out.
    pub(crate) fn apply(&mut self, step: &Step) {
        for &(key, tokens) in &step.prefill {
            let Some(work) = self.works.get_mut(&key) else { continue };
            work.prefill_left -= tokens;
            self.counts.prefilled_tokens += tokens;
            if work.prefill_left > 0 {
                continue;
            }
            match work.job.kind {
                JobKind::Completion { .. } => {
                    work.state = WorkState::Decode;
                    self.emit_token(key);
                }
                JobKind::Segment { .. } => self.export(key),
            }
        }
        for &key in &step.decode {
            self.emit_token(key);
        }
        self.admit();
    }

    fn emit_token(&mut self, key: u64) {
        let Some(work) = self.works.get_mut(&key) else { return };
        let JobKind::Completion { max_tokens, .. } = work.job.kind else { return };
        if work.next_token < max_tokens {
            // A handler that has gone away cancels the work itself.
            let _ = work.events.send(Event::Token(work.next_token));
            work.next_token += 1;
        }
        if work.next_token >= max_tokens {
            let _ = work.events.send(Event::Done);
            self.counts.completed += 1;
            self.successes += 1;
            self.release(key);
        }
    }

    fn export(&mut self, key: u64) {
        let Some(work) = self.works.remove(&key) else { return };
        let JobKind::Segment { text, .. } = work.job.kind else { return };
        let handle: Arc<str> = format!("{}-{key:x}", self.export_prefix).into();
        let request_id = work.job.request_id;
        let tokens = work.job.prompt_tokens;
        let export = Export { request_id, text, tokens, made: Instant::now() };
        self.exports.insert(handle.clone(), export);
        self.counts.exports += 1;
        self.successes += 1;
        let _ = work.events.send(Event::Exported(handle));
    }

    /// Ends work before its time. Returns whether it was still there.
    pub(crate) fn cancel(&mut self, key: u64) -> bool {
        let present = self.works.contains_key(&key);
        if present {
            self.counts.cancelled += 1;
            self.release(key);
            self.admit();
        }
        present
    }

    /// Ends all work of a request. Returns how many streams and segments that were.
    pub(crate) fn cancel_request(&mut self, request_id: &str) -> usize {
        let keys: Vec<u64> = self
            .works
            .iter()
            .filter(|(_, work)| &*work.job.request_id == request_id)
            .map(|(&key, _)| key)
            .collect();
        keys.into_iter().filter(|&key| self.cancel(key)).count()
    }

    fn release(&mut self, key: u64) {
        let Some(work) = self.works.remove(&key) else { return };
        if work.state == WorkState::Queued {
            return;
        }
        self.held_tokens -= work.job.tokens();
        if work.state == WorkState::Decode {
            for hash in work.job.block_hashes {
                if self.held_tokens + self.cache.tokens() + BLOCK_TOKENS
                    > self.settings.memory_tokens
                {
                    break;
                }
                if self.cache.insert(hash) {
                    self.note_cache_event("stored", hash);
                }
            }
        }
        self.note_peak();
        self.note_load();
    }

    pub(crate) fn free_export(&mut self, handle: &str) -> bool {
        let Some(export) = self.exports.remove(handle) else { return false };
        self.held_tokens -= export.tokens;
        self.admit();
        true
    }

    /// Takes memory, and evicts cached blocks where they are in the way.
    fn hold(&mut self, tokens: u64) {
        self.held_tokens += tokens;
        while self.held_tokens + self.cache.tokens() > self.settings.memory_tokens {
            let Some(hash) = self.cache.evict_oldest() else { break };
            self.note_cache_event("removed", hash);
        }
        self.note_peak();
    }

    pub(crate) fn exports(&self) -> &BTreeMap<Arc<str>, Export> {
        &self.exports
    }

    pub(crate) fn streams(&self) -> Vec<StreamReport> {
        self.works
            .values()
            .map(|work| StreamReport {
                id: work.job.request_id.clone(),
                kind: match work.job.kind {
                    JobKind::Completion { .. } => "completion",
                    JobKind::Segment { .. } => "segment",
                },
                priority: work.job.priority,
                state: work.state,
                prompt_tokens: work.job.prompt_tokens,
                tokens_held: if work.state == WorkState::Queued { 0 } else { work.job.tokens() },
                age_ms: work.arrived.elapsed().as_millis(),
            })
            .collect()
    }

    /// Whether the engine has started lately and completed little since.
    pub(crate) fn is_cold(&self) -> bool {
        let cold = &self.settings.cold_start;
        self.successes < cold.successes
            && self.cold_since.elapsed() < Duration::from_millis(cold.cold_ms)
    }

    /// Makes the engine cold again, and slower by a factor until it is warm.
    pub(crate) fn go_cold(&mut self, slow_factor: f64) {
        self.successes = 0;
        self.cold_since = Instant::now();
        self.cold_slow_factor = slow_factor;
    }

    /// Requests that run or wait.
    pub(crate) fn concurrent(&self) -> usize {
        self.works.len()
    }

    /// Memory held by streams and exports.
    pub(crate) fn held_tokens(&self) -> u64 {
        self.held_tokens
    }

    pub(crate) fn cached_tokens(&self) -> u64 {
        self.cache.tokens()
    }

    /// Load as it was `load_lag_ms` ago.
    pub(crate) fn lagging_load(&mut self, now: Instant) -> LoadReport {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let old = |sample: Option<&(Instant, LoadReport)>| {
            sample.is_some_and(|(at, _)| now.saturating_duration_since(*at) >= lag)
        };
        while old(self.load_history.get(1)) {
            self.load_history.pop_front();
        }
        match self.load_history.front() {
            Some((_, load)) if old(self.load_history.front()) => *load,
            _ => LoadReport::default(),
        }
    }

    /// Cache events after a sequence number that are old enough, without those that are never published.
    pub(crate) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(self.settings.cache_event_lag_ms);
        let gap = self.settings.cache_event_gap_every;
        self.cache_events
            .iter()
            .filter(|event| event.sequence > after && event.at.elapsed() >= lag)
            .filter(|event| gap == 0 || event.sequence % gap != 0)
            .cloned()
            .collect()
    }

    fn running(&self) -> u32 {
        self.works.len() as u32 - self.in_state(WorkState::Queued)
    }

    fn in_state(&self, state: WorkState) -> u32 {
        self.works.values().filter(|work| work.state == state).count() as u32
    }

    fn note_peak(&mut self) {
        let used = self.held_tokens + self.cache.tokens();
        self.counts.peak_used_tokens = self.counts.peak_used_tokens.max(used);
    }

    fn note_load(&mut self) {
        let load = LoadReport {
            running: self.running(),
            waiting: self.in_state(WorkState::Queued),
            used_tokens: self.held_tokens,
        };
        match self.load_history.back_mut() {
            Some((at, last)) if at.elapsed() < LOAD_SAMPLE => *last = load,
            Some((_, last)) if *last == load => {}
            _ => self.load_history.push_back((Instant::now(), load)),
        }
        self.lagging_load(Instant::now());
    }

    fn note_cache_event(&mut self, action: &'static str, hash: u64) {
        self.cache_event_sequence += 1;
        let sequence = self.cache_event_sequence;
        let block = format!("{hash:016x}");
        self.cache_events.push_back(CacheEvent { sequence, action, block, at: Instant::now() });
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }
}

impl Job {
    /// Memory for the prompt and the whole answer, taken at once so that a running stream never runs out.
    fn tokens(&self) -> u64 {
        match self.kind {
            JobKind::Completion { max_tokens, .. } => self.prompt_tokens + u64::from(max_tokens),
            JobKind::Segment { .. } => self.prompt_tokens,
        }
    }
}
