//! Metrics of the shares of workspaces, as the home of a group sees them.
//!
//! A deployment may have many workspaces: only the heaviest are listed, and the others count as [`REST`].

use std::cell::RefCell;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use mulberry_scheduler::{ShareReport, WorkspaceUse};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Number of workspaces whose use is listed for a service.
pub(crate) const LISTED_WORKSPACES: usize = 8;

/// Number of workspaces whose refusals are counted on their own.
const COUNTED_WORKSPACES: usize = 32;

/// Label of all other workspaces, and of requests without one.
const REST: &str = "rest";

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ShareLabels {
    group: String,
    service: String,
    workspace: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LevelLabels {
    group: String,
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    workspace: String,
}

/// Use, demand, level and refusals by workspace.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShareMetrics {
    used: Family<ShareLabels, Gauge<f64, AtomicU64>>,
    wanted: Family<ShareLabels, Gauge<f64, AtomicU64>>,
    level: Family<LevelLabels, Gauge<f64, AtomicU64>>,
    refusals: Family<RefusalLabels, Counter>,
    counted: RefCell<HashSet<Arc<str>>>,
}

impl ShareMetrics {
    pub(crate) fn register(&self, r: &mut Registry) {
        r.register(
            "mulberry_gateway_share_used",
            "Fraction of the usable engines that a workspace uses",
            self.used.clone(),
        );
        r.register(
            "mulberry_gateway_share_wanted",
            "Fraction of the usable engines that a workspace asks for",
            self.wanted.clone(),
        );
        r.register(
            "mulberry_gateway_share_level",
            "Fraction of the usable engines that each workspace may use; 1 while all requests fit",
            self.level.clone(),
        );
        r.register(
            "mulberry_gateway_share_refusals",
            "Requests refused here because their workspace used more than its share",
            self.refusals.clone(),
        );
    }

    /// Removes the values of groups of which this gateway is no longer the home.
    pub(crate) fn clear(&self) {
        self.used.clear();
        self.wanted.clear();
        self.level.clear();
    }

    pub(crate) fn set(&self, group: &str, service: &str, report: &ShareReport) {
        for WorkspaceUse { workspace, used, wanted } in &report.workspaces {
            let workspace = if workspace.is_empty() { REST } else { workspace };
            let labels = ShareLabels {
                group: group.to_owned(),
                service: service.to_owned(),
                workspace: workspace.to_owned(),
            };
            self.used.get_or_create(&labels).set(*used);
            self.wanted.get_or_create(&labels).set(*wanted);
        }
        let labels = LevelLabels { group: group.to_owned(), service: service.to_owned() };
        self.level.get_or_create(&labels).set(report.level.unwrap_or(1.0));
    }

    pub(crate) fn count_refusal(&self, workspace: &Arc<str>) {
        let mut counted = self.counted.borrow_mut();
        if counted.len() < COUNTED_WORKSPACES {
            counted.insert(workspace.clone());
        }
        let workspace = if counted.contains(workspace) { workspace } else { REST };
        let labels = RefusalLabels { workspace: workspace.to_owned() };
        self.refusals.get_or_create(&labels).inc();
    }
}
