//! Requests with parts in their prompts that crash engines.

use std::sync::Arc;
use std::time::Duration;

use mulberry_quarantine::Verdict;
use tokio::time::Instant;

use super::{ErrorResponse, Exchange, ResponseProgress};
use crate::crash_detection::{BrokenRequest, CrashDetector};
use crate::shared::Shared;

impl Exchange {
    /// Refuses the request if its prompt has a quarantined part.
    pub(super) fn refuse_quarantined(&mut self) -> Option<ErrorResponse> {
        if self.is_trial || self.shared_parts.is_empty() {
            return None;
        }
        match self.shared.admit_parts(&self.shared_parts) {
            Verdict::Allowed => None,
            Verdict::Trial { part } => {
                self.is_trial = true;
                tracing::info!(
                    event = "part_trial",
                    request_id = self.request_id(),
                    part = format_args!("{part:x}")
                );
                None
            }
            Verdict::Refused { part } => {
                self.shared.metrics.quarantine_refusals.inc();
                tracing::info!(
                    event = "part_refused",
                    request_id = self.request_id(),
                    part = format_args!("{part:x}"),
                    sends = self.sent_attempts
                );
                self.reason = format!("engines crash on part {part:x} of the prompt");
                Some(self.quarantine_response())
            }
        }
    }

    /// Gives up an attempt whose response has not begun, because its prompt has a part that was just quarantined.
    pub(super) fn cancel_quarantined(&mut self) -> ErrorResponse {
        // The engine may have begun with the request.
        self.may_have_run = true;
        self.sent_attempts += 1;
        self.count_attempt("cancelled");
        self.refuse_quarantined().unwrap_or_else(|| self.quarantine_response())
    }

    fn quarantine_response(&self) -> ErrorResponse {
        let idle_time_ms = self.shared.part_guard.borrow().settings().idle_time_ms;
        self.error_response(u64::try_from(idle_time_ms).unwrap_or(0))
    }

    /// Checks whether the engine has crashed, after the connection was closed during a request that the engine has not
    /// survived so far.
    pub(super) fn check_for_crash(&self, target_id: &Arc<str>) {
        let Some(key) = self.fields.prompt_parts.last() else { return };
        let address = self.shared.fleet.borrow().get(target_id).map(|record| record.address);
        let Some(address) = address.filter(|_| !self.shared_parts.is_empty()) else { return };
        let request = BrokenRequest {
            id: self.request_id().into(),
            engine: target_id.clone(),
            address,
            key: *key,
            parts: self.shared_parts.clone(),
        };
        CrashDetector::check(&self.shared, request);
    }

    /// Updates the progress of a response after an event has arrived.
    pub(super) fn update_progress(&self, progress: &mut ResponseProgress) {
        match *progress {
            ResponseProgress::NotBegun => {
                *progress = ResponseProgress::Begun { since: Instant::now() };
            }
            ResponseProgress::Begun { since } => {
                let survival_time_ms = self.shared.part_guard.borrow().settings().survival_time_ms;
                if since.elapsed() >= Duration::from_millis(survival_time_ms) {
                    *progress = ResponseProgress::Survived;
                    self.shared.parts_survived(&self.shared_parts);
                }
            }
            ResponseProgress::Survived => {}
        }
    }
}

/// Waits until one of the parts is quarantined.
pub(super) async fn wait_until_quarantined(shared: &Shared, parts: &[u64]) {
    loop {
        let quarantined = shared.part_quarantined.notified();
        if shared.part_guard.borrow().quarantined_part(parts).is_some() {
            return;
        }
        quarantined.await;
    }
}
