//! Limits on the requests in flight per workspace.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Counts of requests in flight per workspace.
#[derive(Debug, Default)]
pub struct WorkspaceLimits {
    in_flight: Arc<Mutex<HashMap<Arc<str>, u32>>>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct WorkspaceSlot {
    in_flight: Arc<Mutex<HashMap<Arc<str>, u32>>>,
    workspace: Arc<str>,
}

impl WorkspaceLimits {
    /// Counts a request, or returns `None` if the workspace already has `limit` in flight.
    pub fn try_acquire(&self, workspace: &Arc<str>, limit: u32) -> Option<WorkspaceSlot> {
        let mut in_flight = lock(&self.in_flight);
        let count = in_flight.entry(workspace.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(WorkspaceSlot { in_flight: self.in_flight.clone(), workspace: workspace.clone() })
    }
}

impl Drop for WorkspaceSlot {
    fn drop(&mut self) {
        let mut in_flight = lock(&self.in_flight);
        if let Some(count) = in_flight.get_mut(&self.workspace) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.workspace);
            }
        }
    }
}

fn lock(in_flight: &Mutex<HashMap<Arc<str>, u32>>) -> MutexGuard<'_, HashMap<Arc<str>, u32>> {
    in_flight.lock().unwrap_or_else(PoisonError::into_inner)
}
