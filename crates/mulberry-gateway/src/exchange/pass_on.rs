//! Passing a request on to another gateway, and serving one that was passed on.

use std::rc::Rc;
use std::time::Duration;

use mulberry_http1::{Http1Connection, RequestHead};
use tokio::time::{Instant, timeout_at};

use super::responses::send_error;
use super::{ErrorResponse, Exchange, ForwardOutcome, InFlightGuard, LiveStream, ResponseProgress};
use crate::attempt::{SendError, TargetResponse};
use crate::held_memory::BodyHold;
use crate::metrics::PassedLabels;
use crate::passed_request::PassedRequest;
use crate::peer_forwarding::{DECLINED, Peer, PeerError};
use crate::shared::Shared;

/// Maximum number of other gateways that are asked to take a request.
const MAX_PEERS: usize = 8;

/// Number of targets that could not be reached after which a request is passed on, although others may have been
/// reached since.
const MAX_UNREACHED: u32 = 2;

/// Time beyond the deadline for which the other gateway's answer is awaited, since it answers at the deadline itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Serves a request that another gateway has passed on, which arrived here at the time given.
pub(crate) async fn serve_passed(
    shared: &Rc<Shared>,
    client: &mut Http1Connection,
    head: RequestHead,
    body: (Vec<u8>, Option<BodyHold>),
    (passed, arrived_here): (PassedRequest, Instant),
) {
    let reason = if shared.refuses_new_requests.get() {
        Some("stopping")
    } else if !shared.is_config_trusted() || shared.config_version() < passed.config_version {
        Some("the configuration here is older")
    } else {
        None
    };
    if let Some(reason) = reason {
        return decline(client, reason).await;
    }
    let fields = shared.dialect.caller_fields(&head.headers);
    let arrived =
        arrived_here.checked_sub(Duration::from_millis(passed.waited_ms)).unwrap_or(arrived_here);
    let exchange = Exchange::new(shared, head, body, fields, arrived, Some(&passed));
    let mut exchange = match exchange {
        Ok(exchange) => exchange,
        Err(rejection) if rejection.status == 503 => {
            return decline(client, rejection.reason).await;
        }
        Err(rejection) => {
            rejection.log(shared);
            let error_response = ErrorResponse { status: rejection.status, retry_after_ms: None };
            send_error(client, &error_response, rejection.reason, false).await;
            return;
        }
    };
    let has_targets = shared.fleet.borrow().usable(&exchange.service).next().is_some();
    if !has_targets || shared.reachability.borrow().is_lost(&exchange.service) {
        return decline(client, "no target can be reached from here either").await;
    }
    exchange.run(client, false).await;
}

/// Declines a request that was sent to no target here.
pub(crate) async fn decline(client: &mut Http1Connection, reason: &str) {
    let error_response = ErrorResponse { status: DECLINED, retry_after_ms: None };
    send_error(client, &error_response, reason, false).await;
}

impl Exchange {
    /// Whether another gateway may reach a target of the service while this one does not.
    pub(super) fn should_pass_on(&self) -> bool {
        let is_lost = || self.shared.reachability.borrow().is_lost(&self.service);
        self.may_pass_on() && (self.unsent_attempts >= MAX_UNREACHED || is_lost())
    }

    pub(super) fn may_pass_on(&self) -> bool {
        self.sends_elsewhere.is_none() && !self.has_asked_peers && !self.is_trial
    }

    /// Whether a request that was passed on can be taken back, since it was sent to no target here.
    pub(super) fn can_decline(&self) -> bool {
        self.sends_elsewhere == Some(self.sent_attempts) && self.unsent_attempts > 0
    }

    /// Passes the request on. Returns `None` if no gateway has taken it. A stream resumes after event `after`.
    pub(super) async fn pass_on(&mut self, after: Option<u64>) -> Option<ForwardOutcome> {
        self.has_asked_peers = true;
        let shared = self.shared.clone();
        let _passed = shared.peers.begin(&shared)?;
        let passed = PassedRequest {
            waited_ms: self.arrived.elapsed().as_millis() as u64,
            sends: self.sent_attempts,
            may_have_run: self.may_have_run,
            is_counted: self.is_counted,
            config_version: self.table.version(),
            last_event: after,
            sent_to: self.sent_to.clone(),
        };
        let mut head = self.plain_head();
        if let Err(error) = passed.write(&mut head.headers) {
            tracing::error!(event = "pass_on_failed", request_id = self.request_id(), %error);
            return None;
        }
        head.headers.push("Connection", b"close");
        for _ in 0..MAX_PEERS {
            let peer = shared.peers.choose(&shared)?;
            let in_flight_guard = InFlightGuard::new(&shared, &peer.name);
            tracing::info!(
                event = "request_passed_on",
                request_id = self.request_id(),
                gateway = %peer.name,
                sends_before = self.sent_attempts,
                unsent = self.unsent_attempts,
                waited_ms = passed.waited_ms
            );
            let limit = self.deadline + ANSWER_MARGIN;
            self.is_attempting = true;
            let sent = timeout_at(limit, peer.send(&shared, &head, &self.body)).await;
            let sent =
                sent.unwrap_or_else(|_| Err(PeerError::Lost("no answer in time".to_owned())));
            match sent {
                Ok(response) => {
                    return Some(self.take_answer(response, &peer, in_flight_guard, limit).await);
                }
                Err(PeerError::NotTaken { reason, is_unreachable }) => {
                    self.is_attempting = false;
                    self.log_not_passed(&peer, &reason, "declined");
                    shared.peers.not_taken(shared.now_ms(), &peer, is_unreachable);
                }
                Err(PeerError::Lost(reason)) => return Some(self.lose_peer(&peer, &reason)),
            }
        }
        None
    }

    /// Reads the answer of another gateway: the first bytes of a stream, or the whole.
    async fn take_answer(
        &mut self,
        mut response: TargetResponse,
        peer: &Peer,
        in_flight_guard: InFlightGuard,
        limit: Instant,
    ) -> ForwardOutcome {
        self.is_passed_on = true;
        self.last_target = Some(peer.name.clone());
        let is_stream = (200..300).contains(&response.head.status) && self.route.kind.is_stream();
        let shared = self.shared.clone();
        if is_stream {
            let first_bytes = match timeout_at(limit, response.next()).await {
                Ok(Ok(bytes)) => bytes.unwrap_or_default(),
                Ok(Err(error)) => return self.lose_peer(peer, &SendError::from(error).to_string()),
                Err(_) => return self.lose_peer(peer, "no event in time"),
            };
            self.count_passed("answered");
            return ForwardOutcome::Stream(Box::new(LiveStream {
                response,
                first_bytes,
                target_id: peer.name.clone(),
                job: None,
                reservation: None,
                in_flight_guard,
                progress: ResponseProgress::NotBegun,
            }));
        }
        match timeout_at(limit, response.read_whole(&shared.response_memory)).await {
            Ok(Ok(body)) => {
                self.count_passed("answered");
                ForwardOutcome::Complete { head: response.head, body }
            }
            Ok(Err(error)) => self.lose_peer(peer, &SendError::from(error).to_string()),
            Err(_) => self.lose_peer(peer, "response incomplete in time"),
        }
    }

    /// Ends the request after the loss of the gateway that has taken it, since its sends are not known.
    fn lose_peer(&mut self, peer: &Peer, reason: &str) -> ForwardOutcome {
        self.is_passed_on = true;
        self.may_have_run = true;
        self.reason = format!("gateway {}: {reason}", peer.name);
        self.log_not_passed(peer, reason, "lost");
        self.fail()
    }

    fn log_not_passed(&self, peer: &Peer, reason: &str, outcome: &'static str) {
        self.count_passed(outcome);
        tracing::info!(
            event = "pass_on_failed",
            request_id = self.request_id(),
            gateway = %peer.name,
            outcome,
            reason
        );
    }

    fn count_passed(&self, outcome: &'static str) {
        self.shared.metrics.passed_requests.get_or_create(&PassedLabels { outcome }).inc();
    }
}
