//! Faults of the network between two processes, for tests with real processes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Longest sleep before a changed fault or a closed connection is noticed.
pub(crate) const POLL: Duration = Duration::from_millis(10);

/// What happens to the frames of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Frames are discarded, and new connections time out.
    Drop,

    /// Frames arrive in order but later. Frames from the peer that arrive during the delay of an
    /// earlier one may wait up to twice as long.
    Delay(Duration),

    /// Frames are held until the fault is cleared, and new connections time out.
    Freeze,
}

/// Direction of the frames that a fault applies to, seen from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FaultDirection {
    ToPeer,
    FromPeer,
    Both,
}

/// Shared switch for faults by peer address. Clones share their state; no fault is set by default.
///
/// A server knows a client by the address that the client advertises, or else by the socket's
/// address. A rule with port 0 applies to all ports of its IP address.
#[derive(Debug, Clone, Default)]
pub struct LinkFaults {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Whether any rule is set; all that frames cost while none is.
    active: AtomicBool,

    rules: Mutex<HashMap<SocketAddr, Rule>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Rule {
    to_peer: Option<LinkFault>,
    from_peer: Option<LinkFault>,
}

impl LinkFaults {
    /// Sets or clears the fault of one direction, or of both.
    pub fn set(&self, peer: SocketAddr, direction: FaultDirection, fault: Option<LinkFault>) {
        let mut rules = self.inner.rules.lock().unwrap_or_else(PoisonError::into_inner);
        let rule = rules.entry(peer).or_default();
        if direction != FaultDirection::FromPeer {
            rule.to_peer = fault;
        }
        if direction != FaultDirection::ToPeer {
            rule.from_peer = fault;
        }
        rules.retain(|_, rule| rule.to_peer.is_some() || rule.from_peer.is_some());
        self.inner.active.store(!rules.is_empty(), Ordering::Release);
    }

    /// Clears all faults.
    pub fn clear(&self) {
        let mut rules = self.inner.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.clear();
        self.inner.active.store(false, Ordering::Release);
    }

    pub(crate) fn fault_to(&self, peer: SocketAddr) -> Option<LinkFault> {
        self.rule(peer)?.to_peer
    }

    pub(crate) fn fault_from(&self, peer: SocketAddr) -> Option<LinkFault> {
        self.rule(peer)?.from_peer
    }

    /// Whether a handshake with this peer gets no answer.
    pub(crate) fn blocks_handshake(&self, peer: SocketAddr) -> bool {
        let blocks = |fault| matches!(fault, Some(LinkFault::Drop | LinkFault::Freeze));
        self.rule(peer).is_some_and(|rule| blocks(rule.to_peer) || blocks(rule.from_peer))
    }

    /// Applies the fault to a frame that has arrived. Returns whether the frame is delivered.
    pub(crate) fn admit_received(&self, peer: SocketAddr, is_closed: impl Fn() -> bool) -> bool {
        let arrived = Instant::now();
        loop {
            match self.fault_from(peer) {
                None => return true,
                Some(LinkFault::Drop) => return false,
                Some(LinkFault::Delay(delay)) => {
                    let left = delay.saturating_sub(arrived.elapsed());
                    if left.is_zero() {
                        return true;
                    }
                    std::thread::sleep(left.min(POLL));
                }
                Some(LinkFault::Freeze) => std::thread::sleep(POLL),
            }
            if is_closed() {
                return false;
            }
        }
    }

    fn rule(&self, peer: SocketAddr) -> Option<Rule> {
        if !self.inner.active.load(Ordering::Acquire) {
            return None;
        }
        let rules = self.inner.rules.lock().unwrap_or_else(PoisonError::into_inner);
        rules.get(&peer).or_else(|| rules.get(&SocketAddr::new(peer.ip(), 0))).copied()
    }
}
