//! The asking entry's side of a reservation.
//!
//! The home frees a reservation 2,000 ms after it received the last extension. The entry counts
//! from the sending of the last extension that was answered, so it stops relying on the
//! reservation first.

use mulberry_types::{Incarnation, Member, NodeId};

use crate::home_ledger::RESERVATION_MS;

/// Share of the time that the entry gives up for the drift of its clock.
const DRIFT_MARGIN_PERCENT: u64 = 1;

/// A reservation as the entry that asked for it sees it.
#[derive(Debug, Clone)]
pub struct ReservationHold {
    home: (NodeId, Incarnation),
    live_until_ms: u64,
    lost: bool,
}

impl ReservationHold {
    /// `sent_ms` is the time at which the `Reserve` was sent, `home` the entry that granted it.
    #[must_use]
    pub fn new(home: &Member, sent_ms: u64) -> ReservationHold {
        let live_until_ms = until_ms(sent_ms);
        ReservationHold { home: (home.node, home.incarnation), live_until_ms, lost: false }
    }

    /// An extension that was sent at `sent_ms` is answered.
    pub fn extended(&mut self, sent_ms: u64, now_ms: u64) {
        self.lost |= now_ms >= self.live_until_ms;
        self.live_until_ms = self.live_until_ms.max(until_ms(sent_ms));
    }

    /// A new home has taken the reservation over: the `Reserve` that was sent to it at `sent_ms`
    /// with the same request id is answered.
    pub fn registered_again(&mut self, home: &Member, sent_ms: u64) {
        self.home = (home.node, home.incarnation);
        self.live_until_ms = until_ms(sent_ms);
        self.lost = false;
    }

    /// Whether the home still keeps the room. A lost reservation does not come back by an
    /// extension, because the home may have given the room to another request.
    #[must_use]
    pub fn is_live(&self, now_ms: u64) -> bool {
        !self.lost && now_ms < self.live_until_ms
    }

    /// Whether work may be sent to the target now. `home` is the target's home by the newest
    /// membership: a new home counts only what it finds on the target and what is registered with
    /// it again, so a grant of the previous home must not be used any more.
    #[must_use]
    pub fn may_start(&self, now_ms: u64, home: Option<&Member>) -> bool {
        self.is_live(now_ms)
            && home.is_some_and(|member| (member.node, member.incarnation) == self.home)
    }
}

fn until_ms(sent_ms: u64) -> u64 {
    sent_ms + RESERVATION_MS - RESERVATION_MS * DRIFT_MARGIN_PERCENT / 100
}
