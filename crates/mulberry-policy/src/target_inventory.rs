//! Work listed by a target itself, and the orders with which its home cleans up orphaned work.

use std::sync::Arc;

use mulberry_types::RequestId;

/// Streams and KV exports that a target reports to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInventory {
    /// Boot id of the target process that reported the list.
    pub boot_id: u64,

    /// When the home requested the list, by the home's clock.
    pub requested_ms: u64,

    pub items: Vec<InventoryItem>,
}

/// One stream or export of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InventoryItem {
    pub kind: InventoryKind,

    /// Id at the target, used in the cleanup order.
    pub id: Arc<str>,

    /// Request that created the item; `None` if the id was not assigned by this system.
    pub request: Option<RequestId>,

    /// Maximum number of KV tokens that the item can grow to, including the rest of its answer.
    pub tokens: u64,

    /// Time since the item was created.
    pub age_ms: u64,
}

/// Kind of inventory item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InventoryKind {
    Stream,
    Export,
}

/// Order to a target to end an item that has no live reservation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CleanupOrder {
    CancelStream { id: Arc<str> },
    FreeExport { id: Arc<str> },
}
