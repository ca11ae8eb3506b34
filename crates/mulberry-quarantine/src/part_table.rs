//! Quarantined and suspected parts.
//!
//! For each part a table holds the time of the last quarantine, request and survival. Merging takes the later of two
//! times, so tables that exchange their contents converge in any order. A part is quarantined if engines have not
//! survived it since. The entry of a released part is kept until it expires, so that a process that learns of the
//! survival late does not quarantine the part again.

use std::collections::HashMap;

use crate::{PartStatus, QuarantineSettings, TimeMs};

/// Maximum number of parts. When it is exceeded, the one without requests for the longest time is removed, quarantined
/// parts last.
const MAX_PARTS: usize = 256;

/// Share of the idle time after which a request makes a known part worth reporting again.
const REPORT_SHARE: TimeMs = 4;

/// Quarantined and suspected parts.
#[derive(Debug, Default)]
pub struct PartTable {
    settings: QuarantineSettings,
    parts: HashMap<u64, Entry>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    quarantined_ms: Option<TimeMs>,
    requested_ms: TimeMs,
    survived_ms: Option<TimeMs>,

    /// Value of `requested_ms` that was last reported to or by other processes.
    reported_ms: TimeMs,
}

/// Effect of an update on the quarantine of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartChange {
    Unchanged,

    /// The last request is much later than other processes know.
    Refreshed,

    Quarantined,
    Released,
}

impl Entry {
    fn requested(at_ms: TimeMs) -> Entry {
        Entry { quarantined_ms: None, requested_ms: at_ms, survived_ms: None, reported_ms: at_ms }
    }

    fn is_quarantined(&self) -> bool {
        self.quarantined_ms > self.survived_ms
    }
}

impl PartTable {
    pub fn new(settings: QuarantineSettings) -> PartTable {
        PartTable { settings, ..PartTable::default() }
    }

    /// Merges what another process knows. Statuses that have expired are ignored.
    pub fn merge(&mut self, now_ms: TimeMs, status: &PartStatus) -> PartChange {
        let at_ms =
            |age_ms: u64| now_ms.saturating_sub(TimeMs::try_from(age_ms).unwrap_or(TimeMs::MAX));
        let requested_ms = at_ms(status.requested_age_ms);
        let other = Entry {
            quarantined_ms: status.quarantined_age_ms.map(at_ms),
            requested_ms,
            survived_ms: status.survived_age_ms.map(at_ms),
            reported_ms: requested_ms,
        };
        if other.requested_ms < now_ms.saturating_sub(self.settings.idle_time_ms) {
            return PartChange::Unchanged;
        }
        self.update(status.id, other)
    }

    pub fn quarantine(&mut self, now_ms: TimeMs, part: u64) -> PartChange {
        let quarantined_ms = Some(now_ms);
        self.update(part, Entry { quarantined_ms, ..Entry::requested(now_ms) })
    }

    /// Records that an engine has survived a request with a part, if the part is in the table.
    pub fn survived(&mut self, at_ms: TimeMs, part: u64) -> PartChange {
        if !self.parts.contains_key(&part) {
            return PartChange::Unchanged;
        }
        self.update(part, Entry { survived_ms: Some(at_ms), ..Entry::requested(TimeMs::MIN) })
    }

    /// Records a request with a part, if the part is in the table.
    pub fn requested(&mut self, now_ms: TimeMs, part: u64) -> PartChange {
        if !self.parts.contains_key(&part) {
            return PartChange::Unchanged;
        }
        self.update(part, Entry { reported_ms: TimeMs::MIN, ..Entry::requested(now_ms) })
    }

    fn update(&mut self, part: u64, other: Entry) -> PartChange {
        if !self.parts.contains_key(&part) && self.parts.len() >= MAX_PARTS {
            let rank = |(part, entry): &(&u64, &Entry)| {
                (entry.is_quarantined(), entry.requested_ms, **part)
            };
            let oldest = self.parts.iter().min_by_key(rank);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.parts.remove(&oldest);
            }
        }
        let Some(entry) = self.parts.get_mut(&part) else {
            self.parts.insert(part, other);
            return if other.is_quarantined() {
                PartChange::Quarantined
            } else {
                PartChange::Unchanged
            };
        };
        let before = *entry;
        entry.quarantined_ms = before.quarantined_ms.max(other.quarantined_ms);
        entry.survived_ms = before.survived_ms.max(other.survived_ms);
        entry.requested_ms = before.requested_ms.max(other.requested_ms);
        let refresh_ms = self.settings.idle_time_ms / REPORT_SHARE;
        let is_refreshed = entry.requested_ms >= before.reported_ms.saturating_add(refresh_ms);
        entry.reported_ms = if is_refreshed {
            entry.requested_ms
        } else {
            before.reported_ms.max(other.reported_ms)
        };
        match (before.is_quarantined(), entry.is_quarantined()) {
            (false, true) => PartChange::Quarantined,
            (true, false) => PartChange::Released,
            (false, false) => PartChange::Unchanged,
            (true, true) if is_refreshed => PartChange::Refreshed,
            (true, true) => PartChange::Unchanged,
        }
    }

    /// Whether requests with a part are refused.
    pub fn is_quarantined(&self, part: u64) -> bool {
        self.parts.get(&part).is_some_and(Entry::is_quarantined)
    }

    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Number of quarantined parts.
    pub fn quarantined_count(&self) -> usize {
        self.parts.values().filter(|entry| entry.is_quarantined()).count()
    }

    /// Status of a part at `now_ms`.
    pub fn status(&self, now_ms: TimeMs, part: u64) -> Option<PartStatus> {
        let entry = self.parts.get(&part)?;
        let age_ms = |at_ms: TimeMs| u64::try_from(now_ms.saturating_sub(at_ms)).unwrap_or(0);
        Some(PartStatus {
            id: part,
            quarantined_age_ms: entry.quarantined_ms.map(age_ms),
            requested_age_ms: age_ms(entry.requested_ms),
            survived_age_ms: entry.survived_ms.map(age_ms),
        })
    }

    /// All statuses, by part.
    pub fn statuses(&self, now_ms: TimeMs) -> Vec<PartStatus> {
        let mut statuses: Vec<PartStatus> =
            self.parts.keys().filter_map(|part| self.status(now_ms, *part)).collect();
        statuses.sort_by_key(|status| status.id);
        statuses
    }

    /// Removes parts without a request for the idle time. Returns those that were quarantined.
    pub fn expire(&mut self, now_ms: TimeMs) -> Vec<u64> {
        let before_ms = now_ms.saturating_sub(self.settings.idle_time_ms);
        let mut expired = Vec::new();
        self.parts.retain(|part, entry| {
            let is_kept = entry.requested_ms >= before_ms;
            if !is_kept && entry.is_quarantined() {
                expired.push(*part);
            }
            is_kept
        });
        expired.sort_unstable();
        expired
    }
}
