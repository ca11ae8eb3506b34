//! HTTP server for operators and targets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mulberry_directory::{AnnouncementOutcome, TargetState};
use mulberry_http1::{
    BodyDecoder, Http1Connection, ReadError, RequestHead, ResponseHead, request_framing, watch_peer,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::node::SharedNode;
use crate::registry_metrics::RequestLabels;
use crate::settings::TCP_USER_TIMEOUT;
use crate::{Command, InvalidRequest, PublicProtocol, PublicRequest};

/// Deadline for a response. Clients try another registry after one second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// Delay before another attempt, after a failed accept or while the group has no leader.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Delay before registries that have not stored a departure are asked again.
const DEPARTURE_RESEND_DELAY: Duration = Duration::from_millis(250);

/// Time that a connection may stay idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time to read a request after its first byte.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Reason for refusing requests while the data folder is not open again after a failed write.
const DISK_FAILED: &str = "this registry cannot write to its disk; try another one";

/// Maximum length of a request head.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Accepts connections until the future is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    node: SharedNode,
    protocol: Rc<dyn PublicProtocol>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let accepted_ms = node.borrow().pause_clock_ms();
                let connection = PublicConnection {
                    node: node.clone(),
                    protocol: protocol.clone(),
                    accepted_ms,
                };
                tokio::task::spawn_local(connection.run(stream));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// A connection from an operator or a target.
struct PublicConnection {
    node: SharedNode,
    protocol: Rc<dyn PublicProtocol>,

    /// Time on the clock of [`crate::node::Node::pause_clock_ms`].
    accepted_ms: u64,
}

/// Status and body of a response.
type Response = (u16, Vec<u8>);

impl PublicConnection {
    async fn run(self, stream: TcpStream) {
        if watch_peer(&stream, TCP_USER_TIMEOUT).is_err() {
            return;
        }
        let mut connection = Http1Connection::new(stream);
        while let Ok(Ok(())) = timeout(IDLE_TIMEOUT, connection.wait_for_message()).await {
            let received = timeout(REQUEST_READ_TIMEOUT, self.read_request(&mut connection)).await;
            let (response, label, keeps_alive) = match received {
                Ok(Ok((head, body))) => {
                    let (response, label) = self.handle(&connection, &head, body).await;
                    let keeps_alive = head.keeps_alive() && !self.may_be_late();
                    (response, label, keeps_alive)
                }
                Ok(Err(error)) if error.is_disconnect() => return,
                Ok(Err(error)) => (self.read_error(&error), "unreadable", false),
                Err(_) => (self.error(408, "the request was not received in time"), "slow", false),
            };
            let labels = RequestLabels { call: label, status: response.0 };
            self.node.borrow().metrics.requests.get_or_create(&labels).inc();
            if self.write(&mut connection, &response, keeps_alive).await.is_err() || !keeps_alive {
                return;
            }
        }
    }

    async fn read_request(
        &self,
        connection: &mut Http1Connection,
    ) -> Result<(RequestHead, Vec<u8>), ReadError> {
        let head = connection.read_request(MAX_HEAD_BYTES).await?;
        let framing = request_framing(&head).map_err(ReadError::Head)?;
        let max_bytes = self.node.borrow().settings.max_body_bytes;
        let body = connection.read_whole_body(BodyDecoder::new(framing), max_bytes).await?;
        Ok((head, body))
    }

    async fn handle(
        &self,
        connection: &Http1Connection,
        head: &RequestHead,
        body: Vec<u8>,
    ) -> (Response, &'static str) {
        let request = match self.protocol.decode(&head.method, head.path(), body) {
            Ok(request) => request,
            Err(InvalidRequest { status, reason }) => {
                tracing::warn!(
                    event = "call_refused",
                    method = %head.method,
                    path = head.path(),
                    status,
                    reason
                );
                return (self.error(status, &reason), "invalid");
            }
        };
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        match request {
            PublicRequest::Configure { config, document } => {
                let version = config.version;
                let routes = config.routes.len();
                let command = Command::Configure { config: *config, document };
                let response = self.replicate(connection, command, deadline).await;
                tracing::info!(event = "configure", version, routes, status = response.0);
                (response, "configure")
            }
            PublicRequest::Evacuate { zone } => {
                let command = Command::Evacuate { zone: zone.clone() };
                let response = self.replicate(connection, command, deadline).await;
                tracing::info!(event = "evacuate", %zone, status = response.0);
                (response, "evacuate")
            }
            PublicRequest::Restore { zone } => {
                let command = Command::Restore { zone: zone.clone() };
                let response = self.replicate(connection, command, deadline).await;
                tracing::info!(event = "restore", %zone, status = response.0);
                (response, "restore")
            }
            PublicRequest::ReadConfig => (self.read_config(deadline).await, "read_config"),
            PublicRequest::Announce(record) => {
                let id = record.id.clone();
                let sequence = record.sequence;
                let is_ready = record.state == TargetState::Ready;
                if self.node.borrow_mut().announce(record) == AnnouncementOutcome::Outdated {
                    tracing::info!(event = "announcement_outdated", target_id = %id, sequence);
                }
                if is_ready {
                    return (self.success(), "announce");
                }
                (self.acknowledge_departure(&id, false, connection, deadline).await, "announce")
            }
            PublicRequest::Leave { id, started_ms } => {
                let is_any_start = started_ms.is_none();
                if is_any_start && !self.node.borrow().is_open() {
                    let reason = "this registry has not read its disk yet; try another one";
                    return (self.error(503, reason), "leave");
                }
                if !is_any_start {
                    self.node.borrow_mut().deregister(&id, started_ms);
                }
                let response = self.acknowledge_departure(&id, is_any_start, connection, deadline);
                (response.await, "leave")
            }
        }
    }

    /// Replicates a command and responds once it is committed.
    async fn replicate(
        &self,
        connection: &Http1Connection,
        command: Command,
        deadline: Instant,
    ) -> Response {
        loop {
            if self.is_superseded(&command) {
                return self.success();
            }
            if self.node.borrow().has_disk_failed() {
                return self.error(503, DISK_FAILED);
            }
            // Read before the caller is checked: if the process is paused in between, the leader refuses the command.
            let last_zone_change = command.is_zone_change().then(|| self.last_zone_change());
            if last_zone_change.is_some() && self.is_abandoned(connection) {
                return self.abandoned();
            }
            let proposed = self.node.borrow_mut().propose(command.clone(), last_zone_change);
            let committed = match proposed {
                Some(receiver) => timeout_at(deadline, receiver).await,
                None => Ok(Ok(false)),
            };
            match committed {
                Ok(Ok(true)) => return self.success(),
                Ok(Ok(false) | Err(_)) if Instant::now() + RETRY_DELAY < deadline => {
                    if let Some(index) = last_zone_change {
                        // The leader refuses the change if this registry has not applied a previous one yet.
                        let retry_at = Instant::now() + RETRY_DELAY;
                        let caught_up = timeout_at(retry_at, self.catch_up(deadline)).await;
                        if caught_up.is_err() || self.last_zone_change() > index {
                            continue;
                        }
                    }
                    sleep(RETRY_DELAY).await;
                }
                _ => return self.error(503, "no majority of the registries responds; try again"),
            }
        }
    }

    /// Responds once a majority of the registries has stored that the target drains or has left.
    async fn acknowledge_departure(
        &self,
        id: &Arc<str>,
        is_any_start: bool,
        connection: &Http1Connection,
        deadline: Instant,
    ) -> Response {
        loop {
            if is_any_start {
                // The target may have started again since its caller gave up.
                if self.is_abandoned(connection) {
                    return self.abandoned();
                }
                // A newer start may have become known since the last attempt.
                self.node.borrow_mut().deregister(id, None);
            }
            let stored = self.node.borrow_mut().store_departure(id, is_any_start);
            // A newer start of the target is known.
            let Some(stored) = stored else { return self.success() };
            let resend_at = deadline.min(Instant::now() + DEPARTURE_RESEND_DELAY);
            if let Ok(Ok(())) = timeout_at(resend_at, stored).await {
                return self.success();
            }
            if Instant::now() >= deadline {
                return self.error(503, "no majority of the registries has stored it; try again");
            }
        }
    }

    /// Index of the last change of the evacuated zones that this registry has applied.
    fn last_zone_change(&self) -> u64 {
        self.node.borrow().state().map_or(0, |state| state.evacuated_index)
    }

    /// Whether the caller may have given up the request, and sent another one to another registry since.
    fn is_abandoned(&self, connection: &Http1Connection) -> bool {
        let is_closed = connection.is_closed_by_peer();
        let may_be_late = self.may_be_late();
        if is_closed || may_be_late {
            tracing::info!(event = "request_abandoned", is_closed, may_be_late);
        }
        is_closed || may_be_late
    }

    /// Whether requests on this connection may have waited while the process was paused.
    fn may_be_late(&self) -> bool {
        self.node.borrow_mut().has_paused_since(self.accepted_ms)
    }

    /// Whether the command is a configuration that would not replace the current one.
    fn is_superseded(&self, command: &Command) -> bool {
        let Command::Configure { config, .. } = command else { return false };
        let node = self.node.borrow();
        node.state()
            .is_some_and(|state| state.config.is_some() && config.version <= state.version())
    }

    async fn read_config(&self, deadline: Instant) -> Response {
        loop {
            if let Some(response) = self.try_read_config(deadline).await {
                return response;
            }
            if self.node.borrow().has_disk_failed() {
                return self.error(503, DISK_FAILED);
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return self.error(503, "cannot confirm the newest configuration; try again");
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn try_read_config(&self, deadline: Instant) -> Option<Response> {
        self.catch_up(deadline).await?;
        let node = self.node.borrow();
        let state = node.state()?;
        if state.config.is_none() {
            return Some(self.error(503, "no configuration has been accepted yet; send one"));
        }
        Some((200, state.document.to_vec()))
    }

    /// Waits until this registry has applied all entries acknowledged so far. `None` if that cannot be confirmed.
    async fn catch_up(&self, deadline: Instant) -> Option<()> {
        let read_index = self.node.borrow_mut().read_index()?;
        let index = timeout_at(deadline, read_index).await.ok()?.ok()??;
        let applied = self.node.borrow_mut().wait_applied(index)?;
        timeout_at(deadline, applied).await.ok()?.ok()
    }

    fn abandoned(&self) -> Response {
        self.error(503, "the caller may have given up; send the request again")
    }

    fn success(&self) -> Response {
        (200, self.protocol.success_body())
    }

    fn error(&self, status: u16, reason: &str) -> Response {
        (status, self.protocol.error_body(reason))
    }

    fn read_error(&self, error: &ReadError) -> Response {
        tracing::warn!(event = "call_unreadable", %error);
        let status = match error {
            ReadError::HeadTooLong => 431,
            ReadError::BodyTooLong => 413,
            _ => 400,
        };
        self.error(status, &error.to_string())
    }

    async fn write(
        &self,
        connection: &mut Http1Connection,
        response: &Response,
        keeps_alive: bool,
    ) -> std::io::Result<()> {
        let (status, body) = response;
        let mut head = ResponseHead::new(*status);
        head.headers.push("Content-Type", self.protocol.media_type().as_bytes());
        head.headers.push("Content-Length", body.len().to_string().as_bytes());
        if !keeps_alive {
            head.headers.push("Connection", b"close");
        }
        let mut bytes = Vec::with_capacity(256 + body.len());
        head.encode(&mut bytes);
        bytes.extend_from_slice(body);
        connection.write_all(&bytes).await
    }
}
