//! A reservation from the point of view of the entry that holds it.
//!
//! Its lifetime, less 1 % for clock drift, starts when the entry sends the last `Reserve` or `Extend`
//! that the home answers. The home starts its own timer later, on receipt, so the entry stops using a
//! reservation before the home expires it.
//!
//! Work may start only within the first 750 ms. A new home can therefore wait a fixed time before it
//! counts the work on a target. Comparing memberships instead would fail when a target moves to
//! another home and back while the entry sees only the final membership.

/// Lifetime of a reservation that is not extended.
pub const RESERVATION_TTL_MS: u64 = 2_000;

/// Time after sending the last answered message within which work may start. Extensions are sent
/// every 500 ms, so a lost one delays only work that starts long after its reservation.
pub const START_WINDOW_MS: u64 = 750;

/// Safety margin for clock drift.
const DRIFT_MARGIN_PERCENT: u64 = 1;

/// Validity of a reservation that this entry holds.
#[derive(Debug, Clone)]
pub struct HeldReservation {
    /// When the last `Reserve` or `Extend` that the home answered was sent.
    last_answered_sent_ms: u64,

    /// Whether the reservation had expired when an extension was answered.
    lost: bool,
}

impl HeldReservation {
    /// A reservation granted in answer to the `Reserve` sent at `sent_ms`.
    #[must_use]
    pub fn new(sent_ms: u64) -> HeldReservation {
        HeldReservation { last_answered_sent_ms: sent_ms, lost: false }
    }

    /// Records that the home extended the reservation in answer to the `Extend` sent at `sent_ms`.
    pub fn extended(&mut self, sent_ms: u64, now_ms: u64) {
        self.lost = !self.is_live(now_ms);
        self.last_answered_sent_ms = self.last_answered_sent_ms.max(sent_ms);
    }

    /// Records that a `Reserve` with the same request id, sent at `sent_ms`, was granted. Send one
    /// when the answer to an `Extend` lists this reservation as unknown to the home.
    pub fn reregistered(&mut self, sent_ms: u64) {
        *self = HeldReservation::new(self.last_answered_sent_ms.max(sent_ms));
    }

    /// Whether the home still holds the reservation. An extension does not revive a lost
    /// reservation, because the home may have granted its capacity to another request.
    #[must_use]
    pub fn is_live(&self, now_ms: u64) -> bool {
        !self.lost && now_ms < self.last_answered_sent_ms + without_drift_margin(RESERVATION_TTL_MS)
    }

    /// Whether work may be sent to the target now. Check this after connecting, immediately before
    /// writing the first byte.
    #[must_use]
    pub fn may_start(&self, now_ms: u64) -> bool {
        self.is_live(now_ms)
            && now_ms < self.last_answered_sent_ms + without_drift_margin(START_WINDOW_MS)
    }
}

fn without_drift_margin(duration_ms: u64) -> u64 {
    duration_ms - duration_ms * DRIFT_MARGIN_PERCENT / 100
}
