//! The asking entry's side of a reservation.
//!
//! All times count from the sending of the last `Reserve` or `Extend` that the home answered, less
//! 1 % for the drift of the clock, so the entry stops relying on a reservation before its home does.
//! Work is started only within the first 750 ms. This is what allows a new home to wait a fixed time
//! before it counts what is on the target: a rule that compares memberships instead fails when a
//! target goes to another home and back while the entry sees only the end of it.

/// A reservation without an extension for this long is over.
pub const RESERVATION_TTL_MS: u64 = 2_000;

/// Work may start this long after the sending of the last answered message. Extensions are sent every
/// 500 ms, so a lost one delays only work that starts long after its reservation.
pub const START_WINDOW_MS: u64 = 750;

/// Share of the time that the entry gives up for the drift of its clock.
const DRIFT_MARGIN_PERCENT: u64 = 1;

/// A reservation as the entry that asked for it sees it.
#[derive(Debug, Clone)]
pub struct HeldReservation {
    answered_ms: u64,
    lost: bool,
}

impl HeldReservation {
    /// The `Reserve` that was sent at `sent_ms` is granted.
    #[must_use]
    pub fn new(sent_ms: u64) -> HeldReservation {
        HeldReservation { answered_ms: sent_ms, lost: false }
    }

    /// An `Extend` that was sent at `sent_ms` is answered by `Done`.
    pub fn extended(&mut self, sent_ms: u64, now_ms: u64) {
        self.lost = !self.is_live(now_ms);
        self.answered_ms = self.answered_ms.max(sent_ms);
    }

    /// A `Reserve` with the same request id that was sent at `sent_ms` is granted. Send one when an
    /// `Extend` is refused: the home does not know all of its reservations.
    pub fn reregistered(&mut self, sent_ms: u64) {
        *self = HeldReservation::new(self.answered_ms.max(sent_ms));
    }

    /// Whether the home still keeps the room. A lost reservation does not come back by an
    /// extension, because the home may have given the room to another request.
    #[must_use]
    pub fn is_live(&self, now_ms: u64) -> bool {
        !self.lost && now_ms < self.answered_ms + less_drift(RESERVATION_TTL_MS)
    }

    /// Whether work may be sent to the target now. Ask after the connection is made and immediately
    /// before the first byte is written.
    #[must_use]
    pub fn may_start(&self, now_ms: u64) -> bool {
        self.is_live(now_ms) && now_ms < self.answered_ms + less_drift(START_WINDOW_MS)
    }
}

fn less_drift(duration_ms: u64) -> u64 {
    duration_ms - duration_ms * DRIFT_MARGIN_PERCENT / 100
}
