//! Finds the part that the requests at crashed engines have in common.
//!
//! The requests that crash engines never get beyond their first tokens, so a harmful part has only crashes since the
//! last time that an engine survived it, while the parts of other requests at these engines are survived elsewhere.
//! Crashes of engines at which a request with a quarantined part was waiting are explained by that part and count
//! against no other one. While many engines crash for other reasons, a part needs more crashes to be suspected.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use crate::survival_log::SurvivalLog;
use crate::tally::Tally;
use crate::{CrashReport, QuarantineSettings, TimeMs};

/// Maximum number of remembered crashes; the oldest is dropped when it is exceeded.
const MAX_CRASHES: usize = 128;

/// Maximum number of requests of one crash.
const MAX_REQUESTS: usize = 32;

/// Maximum number of parts of one request. The last ones are kept, which fewer requests have in common.
pub(crate) const MAX_PARTS: usize = 64;

/// Reports about one engine within this time belong to one crash; an engine takes longer to restart and crash again.
const CRASH_MERGE_MS: TimeMs = 500;

/// Minimum time between two searches, which take milliseconds after many crashes.
const SEARCH_INTERVAL_MS: TimeMs = 100;

/// Time before the first crash of a part from which other crashes are counted.
const OTHER_CRASHES_BEFORE_MS: TimeMs = 1_000;

/// Share of the crashes of the best suspect from which a part explains about as many.
const MIN_SHARE_OF_BEST: f64 = 0.75;

/// Finds the part that the requests at crashed engines have in common.
#[derive(Debug, Default)]
pub struct CrashCorrelator {
    settings: QuarantineSettings,
    crashes: VecDeque<Crash>,
    survivals: SurvivalLog,

    /// Number of engines in the fleet.
    engines: usize,

    /// When each suspected part will be quarantined unless an engine has survived it.
    confirmed_at_ms: HashMap<u64, TimeMs>,

    /// Whether anything was recorded since suspects were last looked for.
    has_news: bool,

    /// Earliest time of the next search for suspects.
    next_search_ms: Option<TimeMs>,
}

#[derive(Debug)]
struct Crash {
    engine: Arc<str>,
    at_ms: TimeMs,
    requests: Vec<CrashedRequest>,
}

#[derive(Debug)]
struct CrashedRequest {
    key: u64,
    parts: Vec<u64>,
}

impl Crash {
    fn has_part(&self, part: u64) -> bool {
        self.requests.iter().any(|request| request.parts.contains(&part))
    }
}

impl CrashCorrelator {
    pub fn new(settings: QuarantineSettings) -> CrashCorrelator {
        CrashCorrelator { settings, ..CrashCorrelator::default() }
    }

    /// Sets the number of engines in the fleet.
    pub fn set_engines(&mut self, engines: usize) {
        self.engines = engines;
    }

    /// Records a crashed request. Repeated reports change nothing.
    pub fn record_crash(&mut self, now_ms: TimeMs, report: &CrashReport) {
        self.has_news = true;
        let age_ms = TimeMs::try_from(report.age_ms).unwrap_or(TimeMs::MAX);
        if age_ms > self.settings.crash_window_ms {
            return;
        }
        let at_ms = now_ms - age_ms;
        let skipped = report.parts.len().saturating_sub(MAX_PARTS);
        let parts = &report.parts[skipped..];
        for part in parts {
            if let Some(age_ms) = part.survived_age_ms {
                let age_ms = TimeMs::try_from(age_ms).unwrap_or(TimeMs::MAX);
                self.record_survival(now_ms.saturating_sub(age_ms), part.id);
            }
        }
        let request = CrashedRequest {
            key: report.request_key,
            parts: parts.iter().map(|part| part.id).collect(),
        };
        let known = self.crashes.iter_mut().find(|crash| {
            crash.engine == report.engine && (crash.at_ms - at_ms).abs() < CRASH_MERGE_MS
        });
        let Some(crash) = known else {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            let engine = report.engine.clone();
            self.crashes.push_back(Crash { engine, at_ms, requests: vec![request] });
            return;
        };
        let is_known = crash.requests.iter().any(|known| known.key == request.key);
        if !is_known && crash.requests.len() < MAX_REQUESTS {
            crash.requests.push(request);
        }
    }

    /// Records that an engine has survived a request with a part.
    pub fn record_survival(&mut self, at_ms: TimeMs, part: u64) {
        self.has_news = true;
        self.survivals.record(part, at_ms);
    }

    /// Parts that are suspected now and were not before. Gateways are asked for survivals of them.
    pub fn new_suspects(
        &mut self,
        now_ms: TimeMs,
        is_quarantined: impl Fn(u64) -> bool,
    ) -> Vec<u64> {
        if !self.has_news || self.next_search_ms.is_some_and(|at_ms| now_ms < at_ms) {
            return Vec::new();
        }
        self.has_news = false;
        self.next_search_ms = Some(now_ms + SEARCH_INTERVAL_MS);
        let mut suspects = self.suspects(is_quarantined);
        self.confirmed_at_ms.retain(|part, _| suspects.contains(part));
        suspects.retain(|part| !self.confirmed_at_ms.contains_key(part));
        let at_ms = now_ms + self.settings.confirmation_time_ms;
        self.confirmed_at_ms.extend(suspects.iter().map(|part| (*part, at_ms)));
        suspects
    }

    /// Suspected parts whose confirmation time is over. They are to be quarantined.
    pub fn take_confirmed(
        &mut self,
        now_ms: TimeMs,
        is_quarantined: impl Fn(u64) -> bool,
    ) -> Vec<u64> {
        if self.confirmed_at_ms.values().all(|at_ms| *at_ms > now_ms) {
            return Vec::new();
        }
        let mut suspects = self.suspects(is_quarantined);
        suspects
            .retain(|part| self.confirmed_at_ms.get(part).is_some_and(|at_ms| *at_ms <= now_ms));
        self.confirmed_at_ms.retain(|part, at_ms| *at_ms > now_ms && !suspects.contains(part));
        suspects
    }

    /// Parts that convincingly explain crashes, each without the crashes that are explained by the ones before.
    fn suspects(&self, is_quarantined: impl Fn(u64) -> bool) -> Vec<u64> {
        let is_explained = |crash: &Crash| {
            let mut parts = crash.requests.iter().flat_map(|request| &request.parts);
            parts.any(|part| is_quarantined(*part))
        };
        let mut unexplained: Vec<&Crash> =
            self.crashes.iter().filter(|crash| !is_explained(crash)).collect();
        let mut suspects = Vec::new();
        loop {
            let mut tallies = self.tallies(&unexplained);
            tallies.retain(|part, tally| self.has_enough_crashes(*part, tally));
            // Crashes that another part may explain say nothing about how often engines crash for other reasons.
            let is_explicable = |crash: &Crash| {
                let mut parts = crash.requests.iter().flat_map(|request| &request.parts);
                parts.any(|part| tallies.get(part).is_some_and(|tally| tally.position > 0))
            };
            let others: Vec<&Crash> =
                unexplained.iter().filter(|crash| !is_explicable(crash)).copied().collect();
            tallies.retain(|part, tally| self.is_convincing(*part, tally, &others));
            let Some(suspect) = self.best_suspect(&tallies) else { return suspects };
            suspects.push(suspect);
            unexplained.retain(|crash| !crash.has_part(suspect));
        }
    }

    /// The part that explains most crashes. Parts are preferred that no engine has survived, and of those that explain
    /// about as many crashes, the one at the end of the prompts: it is shared with the fewest other requests. The first
    /// part of prompts, which all requests of a caller may have, is suspected only if no other one is.
    fn best_suspect(&self, tallies: &HashMap<u64, Tally>) -> Option<u64> {
        let class =
            |part: u64, tally: &Tally| (self.survivals.last_ms(part).is_none(), tally.position > 0);
        let rank = |(part, tally): (&u64, &Tally)| (class(*part, tally), tally.times_ms.len());
        let (best_class, most_crashes) = tallies.iter().map(rank).max()?;
        let min_crashes = most_crashes as f64 * MIN_SHARE_OF_BEST;
        tallies
            .iter()
            .filter(|(part, tally)| {
                class(**part, tally) == best_class && tally.times_ms.len() as f64 >= min_crashes
            })
            .max_by_key(|(part, tally)| (tally.position, tally.times_ms.len(), **part))
            .map(|(part, _)| *part)
    }

    /// Crashes by part since the part was last survived.
    fn tallies(&self, crashes: &[&Crash]) -> HashMap<u64, Tally> {
        let mut tallies: HashMap<u64, Tally> = HashMap::new();
        for crash in crashes {
            let mut counted = HashSet::new();
            for request in &crash.requests {
                for (position, part) in request.parts.iter().enumerate() {
                    let survived_ms = self.survivals.last_ms(*part);
                    if survived_ms.is_some_and(|survived_ms| survived_ms >= crash.at_ms) {
                        continue;
                    }
                    let tally = tallies.entry(*part).or_default();
                    tally.position = tally.position.max(position);
                    tally.requests.insert(request.key);
                    if counted.insert(*part) {
                        tally.times_ms.push(crash.at_ms);
                    }
                }
            }
        }
        tallies.values_mut().for_each(|tally| tally.times_ms.sort_unstable());
        tallies
    }

    /// Whether a part would be suspected if engines never crashed for other reasons.
    fn has_enough_crashes(&self, part: u64, tally: &Tally) -> bool {
        let settings = &self.settings;
        let crashes = tally.separate_crashes(settings.min_crash_gap_ms);
        let requests = tally.requests.len();
        if self.survivals.last_ms(part).is_some() {
            return requests >= settings.min_requests
                && tally.span_ms() >= settings.min_span_of_proven_part_ms
                && self.evidence(crashes, 0.0) >= settings.min_evidence_of_proven_part;
        }
        (requests >= settings.min_requests || crashes >= settings.min_crashes_of_one_request)
            && self.evidence(crashes, 0.0) >= settings.min_evidence
    }

    /// Whether the crashes of a part are unlikely to have other causes. `others` are crashes for other reasons.
    fn is_convincing(&self, part: u64, tally: &Tally, others: &[&Crash]) -> bool {
        let settings = &self.settings;
        let (Some(first_ms), Some(last_ms)) = (tally.times_ms.first(), tally.times_ms.last())
        else {
            return false;
        };
        let from_ms = first_ms - OTHER_CRASHES_BEFORE_MS;
        let is_near =
            |crash: &&&Crash| (from_ms..=*last_ms).contains(&crash.at_ms) && !crash.has_part(part);
        let exposed = settings.exposure_ms as f64 / (last_ms - from_ms) as f64;
        let count = others.iter().filter(is_near).count();
        let probability = count as f64 * exposed / self.engines.max(1) as f64;
        let crashes = tally.separate_crashes(settings.min_crash_gap_ms);
        let min_evidence = if self.survivals.last_ms(part).is_some() {
            settings.min_evidence_of_proven_part
        } else {
            settings.min_evidence
        };
        self.evidence(crashes, probability) >= min_evidence
    }

    /// Evidence of a number of crashes, each of which has another cause with a probability.
    fn evidence(&self, crashes: usize, probability: f64) -> f64 {
        let lowest = self.settings.min_other_crash_probability;
        crashes as f64 * -probability.clamp(lowest, 0.99).ln()
    }

    /// Removes what is too old to count.
    pub fn expire(&mut self, now_ms: TimeMs) {
        let before_ms = now_ms - self.settings.crash_window_ms;
        self.crashes.retain(|crash| crash.at_ms >= before_ms);
        self.survivals.expire(now_ms - self.settings.survival_window_ms);
    }
}
