//! Calls of the control group: finds the leader and follows it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use mulberry_peers::{PeerClient, PeerClientSettings, PeerSecret};
use mulberry_types::{ControlPortReply, ControlPortRequest, ControlReply, ControlRequest};

/// Longest wait for one instance before the next one is asked.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);

/// Pause before the next instance is asked, while the group elects a leader.
const PAUSE: Duration = Duration::from_millis(50);

type ControlClient = PeerClient<ControlPortRequest, ControlPortReply>;

/// No instance of the control group has answered in time.
///
/// The request may have been carried out; requests to control may all be resent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlUnreachable;

/// Clients of all control instances.
#[derive(Debug)]
pub struct ControlLink {
    clients: Vec<ControlClient>,

    /// Index of the instance that answered last as leader.
    leader: AtomicUsize,
}

impl ControlLink {
    /// `on_push` gets the updates that the leader sends by itself.
    pub fn new(
        addresses: &[SocketAddr],
        secret: &PeerSecret,
        settings: &PeerClientSettings,
        on_push: impl Fn(ControlReply) + Send + Sync + 'static,
    ) -> ControlLink {
        let on_push = Arc::new(on_push);
        let clients = addresses.iter().map(|address| {
            let on_push = on_push.clone();
            PeerClient::new(*address, secret.clone(), settings.clone(), move |reply| {
                let ControlPortReply::Entry(reply) = reply;
                on_push(reply);
            })
        });
        ControlLink { clients: clients.collect(), leader: AtomicUsize::new(0) }
    }

    /// Asks the instance that is believed to lead, once.
    pub fn call_once(&self, request: &ControlRequest) -> Result<ControlReply, ControlUnreachable> {
        self.attempt(request, ATTEMPT_TIMEOUT)
    }

    /// Asks until the leader answers or the deadline passes.
    ///
    /// # Errors
    /// No leader has answered before the deadline.
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
            std::thread::sleep(PAUSE.min(remaining));
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
                self.follow(index, leader);
                Err(ControlUnreachable)
            }
            Ok(ControlPortReply::Entry(ControlReply::Unavailable { reason })) => {
                tracing::warn!(control = %self.clients[index].address(), %reason, "control_unavailable");
                self.follow(index, None);
                Err(ControlUnreachable)
            }
            Ok(ControlPortReply::Entry(reply)) => Ok(reply),
            Err(error) => {
                tracing::debug!(control = %self.clients[index].address(), %error, "control_call_failed");
                self.follow(index, None);
                Err(ControlUnreachable)
            }
        }
    }

    /// Turns from the instance at `index` to the named leader, or else to the next instance.
    fn follow(&self, index: usize, leader: Option<SocketAddr>) {
        let named = leader
            .and_then(|leader| self.clients.iter().position(|client| client.address() == leader));
        let next = named.unwrap_or((index + 1) % self.clients.len());
        // Another thread may have turned already, and then its choice stays.
        let _ = self.leader.compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
    }
}
