//! Pool of idle connections to targets.
//!
//! A connection is pooled only after a complete response to its own request, and reused only if nothing arrived while
//! it was idle: such bytes would belong to no request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberry_http1::{Http1Connection, ResponseHead};

/// Idle timeout of a connection if the target does not state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(400);

/// Margin before the end of the idle timeout that a target states, in which a connection is not reused.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(400);

/// Maximum idle timeout of a connection.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(8);

/// Maximum number of idle connections to one target.
const MAX_IDLE: usize = 6;

/// Pool of idle connections to targets.
#[derive(Debug, Default)]
pub(crate) struct TargetPool {
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Http1Connection,
    idle_since: Instant,
    expires_at: Instant,
}

impl TargetPool {
    /// Takes a connection that has been idle for at most `max_idle`.
    pub(crate) fn take(&self, target_id: &str, max_idle: Duration) -> Option<Http1Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(target_id)?;
        let now = Instant::now();
        while let Some(pooled) = connections.pop() {
            if pooled.expires_at > now
                && now - pooled.idle_since <= max_idle
                && pooled.connection.is_quiet()
            {
                return Some(pooled.connection);
            }
        }
        None
    }

    /// Pools a connection after a complete response.
    pub(crate) fn put(
        &self,
        target_id: &Arc<str>,
        connection: Http1Connection,
        response: &ResponseHead,
    ) {
        let keep_alive =
            advertised_keep_alive(response).unwrap_or(DEFAULT_KEEP_ALIVE).min(MAX_KEEP_ALIVE);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(target_id.clone()).or_default();
        if connections.len() < MAX_IDLE && !keep_alive.is_zero() {
            let now = Instant::now();
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                expires_at: now + keep_alive,
            });
        }
    }

    /// Closes expired connections, and connections to targets that have left.
    pub(crate) fn close_expired(&self, is_present: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|id, connections| {
            connections.retain(|pooled| pooled.expires_at > now);
            !connections.is_empty() && is_present(id)
        });
    }
}

/// Returns the idle timeout that the target states in `Keep-Alive: timeout=SECONDS`, less [`KEEP_ALIVE_MARGIN`].
fn advertised_keep_alive(response: &ResponseHead) -> Option<Duration> {
    let value = response.headers.text("keep-alive")?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?
        .trim()
        .parse::<u64>()
        .ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN))
}
