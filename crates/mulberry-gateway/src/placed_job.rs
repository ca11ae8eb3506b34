//! A generation request that has been placed on an engine.

use std::rc::Rc;
use std::sync::Arc;

use mulberry_scheduler::{Outcome, Placement};

use crate::memory_reservation::HelperEngine;
use crate::shared::Shared;

/// A placed generation request. Dropping it reports its end to the schedulers.
#[derive(Debug)]
pub(crate) struct PlacedJob {
    shared: Rc<Shared>,
    number: u64,
    pub placement: Placement,

    /// Who decided: this gateway as the home, another gateway as the home, or this gateway locally.
    pub decided_by: &'static str,

    /// Whether the home has granted a retry.
    pub is_granted: bool,

    is_ended: bool,
}

impl PlacedJob {
    pub(crate) fn new(
        shared: &Rc<Shared>,
        number: u64,
        placement: Placement,
        decided_by: &'static str,
        is_granted: bool,
    ) -> PlacedJob {
        let shared = shared.clone();
        PlacedJob { shared, number, placement, decided_by, is_granted, is_ended: false }
    }

    /// Records that the first event has arrived.
    pub(crate) fn first_event(&self) {
        self.shared.placer.first_event(&self.shared, self.number);
    }

    /// Records that the request has ended at its engine.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.is_ended = true;
        self.shared.placer.finish(&self.shared, self.number, outcome);
    }

    /// Helper engines with known addresses, and the memory to reserve at them.
    pub(crate) fn helpers(&self) -> Vec<HelperEngine> {
        let fleet = self.shared.fleet.borrow();
        let helpers = self.placement.helpers.iter();
        let located = helpers.filter_map(|helper| {
            let address = fleet.get(&helper.engine)?.address;
            Some(HelperEngine { id: helper.engine.clone(), address, tokens: helper.lent_tokens })
        });
        located.collect()
    }

    /// Ids of the helper engines, separated by commas.
    pub(crate) fn helper_ids(&self) -> String {
        let ids: Vec<&str> = self.placement.helpers.iter().map(|helper| &*helper.engine).collect();
        ids.join(",")
    }

    /// Ticket under which engines reserve memory for this request.
    pub(crate) fn ticket(&self) -> String {
        format!("{:x}-{}", self.shared.incarnation, self.number)
    }

    pub(crate) fn engine(&self) -> &Arc<str> {
        &self.placement.engine
    }
}

impl Drop for PlacedJob {
    fn drop(&mut self) {
        if !self.is_ended {
            self.shared.placer.finish(&self.shared, self.number, Outcome::Done);
        }
    }
}
