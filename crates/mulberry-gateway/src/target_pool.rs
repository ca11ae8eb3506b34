//! Connections to targets that are kept for later requests.
//!
//! A connection is kept only after a whole answer that belongs to its request, and used again only while it is quiet:
//! bytes that come without a request belong to no request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberry_http1::{Http1Connection, ResponseHead};

/// Time for which a connection is kept when the target does not say how long it does.
const UNSTATED_KEEP: Duration = Duration::from_millis(400);

/// Time before the end that a target states at which a connection is no longer used.
const KEEP_MARGIN: Duration = Duration::from_millis(400);

/// Longest time for which a connection is kept.
const MAX_KEEP: Duration = Duration::from_secs(8);

/// Idle connections kept for one target.
const MAX_IDLE: usize = 6;

/// Connections to targets that are kept for later requests.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    idle: RefCell<HashMap<Arc<str>, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Http1Connection,
    since: Instant,
    until: Instant,
}

impl TargetPool {
    /// Takes a connection that has been idle for `max_idle` at most.
    pub(crate) fn take(&self, target_id: &str, max_idle: Duration) -> Option<Http1Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target_id)?;
        let now = Instant::now();
        while let Some(kept) = connections.pop() {
            if kept.until > now && now - kept.since <= max_idle && kept.connection.is_quiet() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection after a whole answer.
    pub(crate) fn put(
        &self,
        target_id: &Arc<str>,
        connection: Http1Connection,
        answer: &ResponseHead,
    ) {
        let keep = stated_keep(answer).unwrap_or(UNSTATED_KEEP).min(MAX_KEEP);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target_id.clone()).or_default();
        if connections.len() < MAX_IDLE && !keep.is_zero() {
            let now = Instant::now();
            connections.push(Idle { connection, since: now, until: now + keep });
        }
    }

    /// Closes connections that are too old, and those to targets that are gone.
    pub(crate) fn sweep(&self, is_present: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|id, connections| {
            connections.retain(|kept| kept.until > now);
            !connections.is_empty() && is_present(id)
        });
    }
}

/// Time that the target states in `Keep-Alive: timeout=SECONDS`, less a margin.
fn stated_keep(answer: &ResponseHead) -> Option<Duration> {
    let value = answer.headers.text("keep-alive")?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?
        .trim()
        .parse::<u64>()
        .ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_MARGIN))
}
