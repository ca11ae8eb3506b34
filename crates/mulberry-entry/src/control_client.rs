//! Client for the control group, which sends requests to the current leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use mulberry_peers::{PeerClient, PeerClientSettings, PeerSecret};
use mulberry_types::{ControlPortReply, ControlPortRequest, ControlReply, ControlRequest};

/// Timeout of a call to one instance, after which the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);

/// Delay before the next instance is tried, for example while the group elects a leader.
const RETRY_DELAY: Duration = Duration::from_millis(50);

type ControlPeerClient = PeerClient<ControlPortRequest, ControlPortReply>;

/// No instance of the control group replied in time.
///
/// The request may still have been executed. All control requests are safe to resend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlUnreachable;

/// Clients for all control instances.
#[derive(Debug)]
pub struct ControlClient {
    clients: Vec<ControlPeerClient>,

    /// Index of the presumed leader in `clients`.
    leader: AtomicUsize,
}

impl ControlClient {
    /// Creates the clients. `on_push` receives the updates that the leader sends unrequested.
    pub fn new(
        addresses: &[SocketAddr],
        secret: &PeerSecret,
        settings: &PeerClientSettings,
        on_push: impl Fn(ControlReply) + Send + Sync + 'static,
    ) -> ControlClient {
        let on_push = Arc::new(on_push);
        let clients = addresses.iter().map(|address| {
            let on_push = on_push.clone();
            PeerClient::new(*address, secret.clone(), settings.clone(), move |reply| {
                let ControlPortReply::Entry(reply) = reply;
                on_push(reply);
            })
        });
        ControlClient { clients: clients.collect(), leader: AtomicUsize::new(0) }
    }

    /// Calls the presumed leader once.
    ///
    /// # Errors
    /// It did not reply in time or is not the leader; the next call goes to another instance.
    pub fn call_once(&self, request: &ControlRequest) -> Result<ControlReply, ControlUnreachable> {
        self.attempt(request, ATTEMPT_TIMEOUT)
    }

    /// Retries until the leader replies or the deadline passes.
    ///
    /// # Errors
    /// No leader replied before the deadline.
    pub fn call(
        &self,
        request: &ControlRequest,
        deadline: Instant,
    ) -> Result<ControlReply, ControlUnreachable> {
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ControlUnreachable);
            }
            if let Ok(reply) = self.attempt(request, remaining.min(ATTEMPT_TIMEOUT)) {
                return Ok(reply);
            }
            std::thread::sleep(RETRY_DELAY.min(remaining));
        }
    }

    fn attempt(
        &self,
        request: &ControlRequest,
        timeout: Duration,
    ) -> Result<ControlReply, ControlUnreachable> {
        let index = self.leader.load(Ordering::Relaxed) % self.clients.len();
        let request = ControlPortRequest::Entry(request.clone());
        match self.clients[index].call(&request, timeout) {
            Ok(ControlPortReply::Entry(ControlReply::Redirect { leader })) => {
                self.switch_leader(index, leader);
                Err(ControlUnreachable)
            }
            Ok(ControlPortReply::Entry(ControlReply::Unavailable { reason })) => {
                tracing::warn!(control = %self.clients[index].address(), %reason, "control_unavailable");
                self.switch_leader(index, None);
                Err(ControlUnreachable)
            }
            Ok(ControlPortReply::Entry(reply)) => Ok(reply),
            Err(error) => {
                tracing::debug!(control = %self.clients[index].address(), %error, "control_call_failed");
                self.switch_leader(index, None);
                Err(ControlUnreachable)
            }
        }
    }

    /// Replaces the presumed leader at `index` with `leader` if it is known, else with the next instance.
    fn switch_leader(&self, index: usize, leader: Option<SocketAddr>) {
        let named = leader
            .and_then(|leader| self.clients.iter().position(|client| client.address() == leader));
        let next = named.unwrap_or((index + 1) % self.clients.len());
        // If another thread has already switched, its choice is kept.
        let _ = self.leader.compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}
