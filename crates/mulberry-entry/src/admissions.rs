//! Admission control by deadline, per model or plain service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mulberry_policy::{AdmissionController, AdmissionDecision, AdmissionRequest, Backlog};

/// Admission controller of each model and plain service.
#[derive(Debug, Default)]
pub struct AdmissionControllers {
    controllers: Mutex<HashMap<Arc<str>, AdmissionController>>,
}

impl AdmissionControllers {
    /// Decides whether a request can finish before its deadline. Also returns the minimum time in
    /// milliseconds that it needs.
    pub fn decide(
        &self,
        service: &Arc<str>,
        request: &AdmissionRequest,
        backlog: &Backlog,
    ) -> (AdmissionDecision, u64) {
        let mut controllers = self.lock();
        let controller = controllers.entry(service.clone()).or_default();
        (controller.decide(request, backlog), controller.service_time_ms(request, backlog))
    }

    /// Records the length and decode time of a finished completion, for later estimates.
    pub fn answer_finished(&self, service: &Arc<str>, answer_tokens: u64, decode_ms: u64) {
        let mut controllers = self.lock();
        controllers.entry(service.clone()).or_default().answer_finished(answer_tokens, decode_ms);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, AdmissionController>> {
        self.controllers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
