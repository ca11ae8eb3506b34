//! What a target itself lists as held, and what the home orders to be cleaned up.

use std::sync::Arc;

use mulberry_types::RequestId;

/// The target's own list of streams and KV exports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInventory {
    /// Start of the target that the list belongs to.
    pub boot_id: u64,

    /// When the home asked for the list, by the home's clock.
    pub requested_ms: u64,

    pub items: Vec<InventoryItem>,
}

/// One stream or export of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InventoryItem {
    pub kind: InventoryKind,

    /// Id at the target, for the order that ends it.
    pub id: Arc<str>,

    /// Request that made it; `None` if the id is not one of this system.
    pub request: Option<RequestId>,

    /// Most KV tokens that it may come to hold, that is with the rest of its answer.
    pub tokens: u64,

    /// Time since it was made.
    pub age_ms: u64,
}

/// Kind of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InventoryKind {
    Stream,
    Export,
}

/// Order to a target that ends something without a live reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CleanupOrder {
    CancelStream { id: Arc<str> },
    FreeExport { id: Arc<str> },
}
