//! The quarantine as a gateway sees it.
//!
//! Messages for the registries are appended to a log, from which each link sends what it has not sent yet. A registry
//! that was out of reach gets the recent reports again when it is linked.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::crash_correlator::MAX_PARTS;
use crate::survival_log::SurvivalLog;
use crate::{
    CrashReport, CrashedPart, PartChange, PartStatus, PartTable, QuarantineSettings, TimeMs,
};

/// Maximum number of messages that wait for a slow link; older ones are skipped.
const MAX_MESSAGES: usize = 256;

/// Maximum number of reports that a new link gets.
const MAX_RECENT_REPORTS: usize = 64;

/// Time for which a gateway reports the next survival of a part after a registry has asked.
const ASKED_TIME_MS: TimeMs = 2_000;

/// The quarantine as a gateway sees it.
#[derive(Debug, Default)]
pub struct PartGuard {
    settings: QuarantineSettings,
    table: PartTable,
    survivals: SurvivalLog,

    /// Own reports, with the times of the crashes.
    recent_reports: VecDeque<(TimeMs, CrashReport)>,

    /// Next trial of each part that this gateway has refused since the part was quarantined.
    trials: HashMap<u64, Trial>,

    /// Suspected parts that registries have asked about, with the time until which they want to know.
    asked_until_ms: HashMap<u64, TimeMs>,

    messages: VecDeque<PartMessage>,
    next_sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Trial {
    due_ms: TimeMs,
    interval_ms: TimeMs,
}

/// A message for all registries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartMessage {
    Crash(CrashReport),
    Status(PartStatus),
}

/// What happens to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Allowed,

    /// The request is let through to learn whether engines survive the part now.
    Trial {
        part: u64,
    },

    Refused {
        part: u64,
    },
}

impl PartGuard {
    pub fn new(settings: QuarantineSettings) -> PartGuard {
        PartGuard { table: PartTable::new(settings.clone()), settings, ..PartGuard::default() }
    }

    pub fn settings(&self) -> &QuarantineSettings {
        &self.settings
    }

    /// Decides on a new request. `runs_trials` says whether this gateway is the one that runs the trials of a part.
    pub fn admit(
        &mut self,
        now_ms: TimeMs,
        parts: &[u64],
        runs_trials: impl Fn(u64) -> bool,
    ) -> Verdict {
        let Some(part) = self.quarantined_part(parts) else { return Verdict::Allowed };
        if self.table.requested(now_ms, part) != PartChange::Unchanged {
            self.send_status(now_ms, part);
        }
        let interval_ms = self.settings.trial_interval_ms;
        let due_ms = now_ms.saturating_add(interval_ms);
        let trial = self.trials.entry(part).or_insert(Trial { due_ms, interval_ms });
        if now_ms < trial.due_ms || !runs_trials(part) {
            return Verdict::Refused { part };
        }
        trial.interval_ms = trial.interval_ms.saturating_mul(2);
        trial.due_ms = now_ms.saturating_add(trial.interval_ms);
        Verdict::Trial { part }
    }

    /// The first quarantined part of a prompt.
    pub fn quarantined_part(&self, parts: &[u64]) -> Option<u64> {
        if self.table.is_empty() {
            return None;
        }
        parts.iter().copied().find(|part| self.table.is_quarantined(*part))
    }

    /// Records that an engine has survived a request. Returns the parts that are released by this.
    pub fn record_survival(&mut self, now_ms: TimeMs, parts: &[u64]) -> Vec<u64> {
        let mut released = Vec::new();
        for part in parts.iter().copied() {
            self.survivals.record(part, now_ms);
            let asked_until_ms = self.asked_until_ms.remove(&part);
            let is_asked = asked_until_ms.is_some_and(|until_ms| now_ms <= until_ms);
            // The table holds only survivals that the registries are told.
            if !is_asked && !self.table.is_quarantined(part) {
                continue;
            }
            if self.table.survived(now_ms, part) == PartChange::Released {
                released.push(part);
            }
            self.send_status(now_ms, part);
        }
        released
    }

    /// Records that the engine of a request has crashed before it survived the request.
    pub fn record_crash(
        &mut self,
        now_ms: TimeMs,
        crashed_ms: TimeMs,
        engine: &Arc<str>,
        request_key: u64,
        parts: &[u64],
    ) {
        let skipped = parts.len().saturating_sub(MAX_PARTS);
        let crashed_part = |id: &u64| CrashedPart {
            id: *id,
            survived_age_ms: self.survivals.last_ms(*id).map(|at_ms| age_ms(now_ms, at_ms)),
        };
        let report = CrashReport {
            engine: engine.clone(),
            age_ms: age_ms(now_ms, crashed_ms),
            request_key,
            parts: parts[skipped..].iter().map(crashed_part).collect(),
        };
        if self.recent_reports.len() >= MAX_RECENT_REPORTS {
            self.recent_reports.pop_front();
        }
        self.recent_reports.push_back((crashed_ms, report.clone()));
        self.send(PartMessage::Crash(report));
    }

    /// Merges what a registry knows about a part. If an engine of this gateway has survived the part later than the
    /// registry knows, all registries are told.
    pub fn receive(&mut self, now_ms: TimeMs, status: &PartStatus) -> PartChange {
        let was_quarantined = self.table.is_quarantined(status.id);
        let change = self.table.merge(now_ms, status);
        let told_ms = self.table.status(now_ms, status.id).and_then(|own| own.survived_age_ms);
        let survived_ms = self.survivals.last_ms(status.id);
        let is_later = |at_ms: &TimeMs| told_ms.is_none_or(|told| age_ms(now_ms, *at_ms) < told);
        if let Some(survived_ms) = survived_ms.filter(is_later) {
            self.table.survived(survived_ms, status.id);
            self.send_status(now_ms, status.id);
        }
        let is_quarantined = self.table.is_quarantined(status.id);
        if !is_quarantined {
            self.asked_until_ms.insert(status.id, now_ms.saturating_add(ASKED_TIME_MS));
        }
        match (was_quarantined, is_quarantined) {
            (false, true) => {
                self.trials.remove(&status.id);
                PartChange::Quarantined
            }
            (true, false) => PartChange::Released,
            (false, false) => PartChange::Unchanged,
            (true, true) => change,
        }
    }

    fn send_status(&mut self, now_ms: TimeMs, part: u64) {
        if let Some(status) = self.table.status(now_ms, part) {
            self.send(PartMessage::Status(status));
        }
    }

    fn send(&mut self, message: PartMessage) {
        if self.messages.len() >= MAX_MESSAGES {
            self.messages.pop_front();
        }
        self.messages.push_back(message);
        self.next_sequence += 1;
    }

    /// Sequence number of the next message.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Messages from a sequence number on, as far as they are still held.
    pub fn messages_since(&self, sequence: u64) -> Vec<PartMessage> {
        let first = self.next_sequence - self.messages.len() as u64;
        let skipped = usize::try_from(sequence.saturating_sub(first)).unwrap_or(usize::MAX);
        self.messages.iter().skip(skipped).cloned().collect()
    }

    /// Messages for a registry that was just linked.
    pub fn messages_for_new_link(&self, now_ms: TimeMs) -> Vec<PartMessage> {
        let statuses = self.table.statuses(now_ms).into_iter().map(PartMessage::Status);
        let reports = self.recent_reports.iter().map(|(crashed_ms, report)| {
            PartMessage::Crash(CrashReport {
                age_ms: age_ms(now_ms, *crashed_ms),
                parts: report
                    .parts
                    .iter()
                    .map(|part| CrashedPart {
                        id: part.id,
                        survived_age_ms: self
                            .survivals
                            .last_ms(part.id)
                            .map(|at| age_ms(now_ms, at)),
                    })
                    .collect(),
                ..report.clone()
            })
        });
        statuses.chain(reports).collect()
    }

    /// Number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        self.table.quarantined_count()
    }

    /// Removes what is too old to count. Returns the parts whose quarantine has ended.
    pub fn expire(&mut self, now_ms: TimeMs) -> Vec<u64> {
        self.survivals.expire(now_ms - self.settings.survival_window_ms);
        let before_ms = now_ms - self.settings.crash_window_ms;
        self.recent_reports.retain(|(crashed_ms, _)| *crashed_ms >= before_ms);
        let expired = self.table.expire(now_ms);
        self.asked_until_ms.retain(|_, until_ms| now_ms <= *until_ms);
        self.trials.retain(|part, _| self.table.is_quarantined(*part));
        expired
    }
}

fn age_ms(now_ms: TimeMs, at_ms: TimeMs) -> u64 {
    u64::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(0)
}
