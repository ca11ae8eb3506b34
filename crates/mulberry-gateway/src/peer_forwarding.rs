//! Passes requests on to another gateway while this one reaches no target of their service.
//!
//! The other gateway serves the request like one of its own callers' and does not pass it on again. It declines with
//! status 421 if it has sent the request to no target and cannot; targets' responses never reach it with this status.
//! Each request has a connection of its own, so that its end tells the other gateway that the caller has left.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mulberry_http1::{Http1Connection, RequestHead, connect, response_framing, watch_peer};
use rand::Rng as _;

use crate::attempt::{MAX_HEAD_BYTES, TargetResponse, send_request};
use crate::shared::Shared;

/// Status with which a gateway declines a request.
pub(crate) const DECLINED: u16 = 421;

/// Timeout for connecting to another gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time for which bytes sent to another gateway may stay unacknowledged. Longer than for targets, since there is
/// no second gateway to ask once the request is sent.
const ACK_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which a gateway is not asked after it has declined.
const DECLINED_BACKOFF_MS: u64 = 500;

/// Time for which a gateway is not asked after it could not be reached. One of an older version does not listen.
const UNREACHABLE_BACKOFF_MS: u64 = 2_000;

/// Requests that a gateway of the same zone takes before gateways of other zones are as good.
const OTHER_ZONE_COST: f64 = 4.0;

/// Part of a gateway's connections that may be used for requests that are passed on.
const MAX_PASSED_SHARE: usize = 2;

/// Other gateways, as seen by requests that are passed on.
#[derive(Debug, Default)]
pub(crate) struct PeerForwarding {
    /// Time until which a gateway is not asked, by incarnation.
    avoided_until_ms: RefCell<HashMap<u64, u64>>,

    passed: Cell<usize>,
}

/// A gateway that may serve a request.
#[derive(Debug)]
pub(crate) struct Peer {
    pub name: Arc<str>,
    pub address: SocketAddr,
    incarnation: u64,
}

/// Why another gateway gave no response.
#[derive(Debug)]
pub(crate) enum PeerError {
    /// It was not reached or has declined, so that the request was sent to no target there.
    NotTaken { reason: String, is_unreachable: bool },

    /// The request may have run.
    Lost(String),
}

impl PeerForwarding {
    /// Counts a request that is passed on until the guard is dropped. `None` if there are too many.
    pub(crate) fn begin<'a>(&'a self, shared: &Shared) -> Option<PassedGuard<'a>> {
        let has_room = self.passed.get() < shared.settings.max_connections / MAX_PASSED_SHARE;
        has_room.then(|| {
            self.passed.set(self.passed.get() + 1);
            PassedGuard(&self.passed)
        })
    }

    /// Chooses a gateway that may reach targets: the one with the fewest requests from here, of the same zone if it has
    /// few.
    pub(crate) fn choose(&self, shared: &Shared) -> Option<Peer> {
        let now_ms = shared.now_ms();
        let avoided_until_ms = self.avoided_until_ms.borrow();
        let fleet = shared.fleet.borrow();
        let health = shared.health.borrow();
        fleet
            .gateways()
            .filter(|gateway| gateway.is_active && gateway.incarnation != shared.incarnation)
            .filter(|gateway| {
                avoided_until_ms.get(&gateway.incarnation).is_none_or(|at_ms| *at_ms <= now_ms)
            })
            .map(|gateway| {
                let is_other_zone = gateway.zone != shared.settings.zone;
                let cost = f64::from(health.in_flight(&gateway.name))
                    + if is_other_zone { OTHER_ZONE_COST } else { 0.0 }
                    + rand::rng().random_range(0.0..1.0);
                (cost, gateway)
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, gateway)| Peer {
                name: gateway.name.clone(),
                address: gateway.address,
                incarnation: gateway.incarnation,
            })
    }

    /// Records that a gateway did not take a request.
    pub(crate) fn not_taken(&self, now_ms: u64, peer: &Peer, is_unreachable: bool) {
        let time_ms = if is_unreachable { UNREACHABLE_BACKOFF_MS } else { DECLINED_BACKOFF_MS };
        let mut avoided_until_ms = self.avoided_until_ms.borrow_mut();
        avoided_until_ms.retain(|_, at_ms| *at_ms > now_ms);
        avoided_until_ms.insert(peer.incarnation, now_ms + time_ms);
    }
}

/// Counts a request that is passed on until dropped.
#[derive(Debug)]
pub(crate) struct PassedGuard<'a>(&'a Cell<usize>);

impl Drop for PassedGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Peer {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// The gateway did not take the request, or was lost before it responded.
    pub(crate) async fn send(
        &self,
        shared: &Shared,
        head: &RequestHead,
        body: &[u8],
    ) -> Result<TargetResponse, PeerError> {
        let unreachable = |error: std::io::Error| PeerError::NotTaken {
            reason: error.to_string(),
            is_unreachable: true,
        };
        let stream = connect(self.address, CONNECT_TIMEOUT).await.map_err(unreachable)?;
        watch_peer(&stream, ACK_TIMEOUT).map_err(unreachable)?;
        let mut connection = Http1Connection::new(stream);
        let lost = |error: &dyn std::fmt::Display| PeerError::Lost(error.to_string());
        send_request(&mut connection, head, body).await.map_err(|error| lost(&error))?;
        let response = connection.read_response(MAX_HEAD_BYTES).await.map_err(|e| lost(&e))?;
        if response.status == DECLINED {
            let reason = "it declined the request".to_owned();
            return Err(PeerError::NotTaken { reason, is_unreachable: false });
        }
        let fields = shared.dialect.response_fields(&response);
        if (200..300).contains(&response.status) && !fields.is_signed {
            return Err(lost(&"the response is not signed"));
        }
        let framing = response_framing(&head.method, &response).map_err(|error| lost(&error))?;
        Ok(TargetResponse::new(connection, response, fields, framing))
    }
}
