//! Bytes sent to gateways and other registries, by kind of message.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::registry_metrics::{RegistryMetrics, SentBytesLabels};

/// Bytes sent to gateways and other registries, by kind of message. Clones share the counts.
#[derive(Debug, Clone)]
pub(crate) struct SentBytes {
    metrics: RegistryMetrics,
    since_report: Rc<RefCell<BTreeMap<&'static str, u64>>>,
}

impl SentBytes {
    pub(crate) fn new(metrics: RegistryMetrics) -> SentBytes {
        SentBytes { metrics, since_report: Rc::default() }
    }

    pub(crate) fn add(&self, kind: &'static str, bytes: usize) {
        let bytes = bytes as u64;
        self.metrics.sent_bytes.get_or_create(&SentBytesLabels { kind }).inc_by(bytes);
        *self.since_report.borrow_mut().entry(kind).or_default() += bytes;
    }

    /// Bytes by kind since the last call.
    pub(crate) fn take(&self) -> BTreeMap<&'static str, u64> {
        self.since_report.take()
    }
}
