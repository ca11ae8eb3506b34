//! Parts that engines have recently survived.

use std::collections::HashMap;

use crate::TimeMs;

/// Maximum number of remembered parts. The half with the oldest survivals is removed when it is exceeded.
const MAX_PARTS: usize = 4_096;

/// Parts that engines have recently survived.
#[derive(Debug, Default)]
pub(crate) struct SurvivalLog {
    survived_ms: HashMap<u64, TimeMs>,
}

impl SurvivalLog {
    /// Records a survival; an older one than known changes nothing.
    pub(crate) fn record(&mut self, part: u64, at_ms: TimeMs) {
        let known = self.survived_ms.entry(part).or_insert(at_ms);
        *known = at_ms.max(*known);
        if self.survived_ms.len() > MAX_PARTS {
            let mut times: Vec<TimeMs> = self.survived_ms.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.survived_ms.retain(|_, at_ms| *at_ms > median);
        }
    }

    pub(crate) fn last_ms(&self, part: u64) -> Option<TimeMs> {
        self.survived_ms.get(&part).copied()
    }

    /// Removes survivals before `before_ms`.
    pub(crate) fn expire(&mut self, before_ms: TimeMs) {
        self.survived_ms.retain(|_, at_ms| *at_ms >= before_ms);
    }
}
