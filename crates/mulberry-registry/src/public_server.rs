//! The port of operators and targets.

use std::rc::Rc;
use std::time::Duration;

use mulberry_directory::AnnouncementOutcome;
use mulberry_http1::{
    BodyDecoder, Http1Connection, ReadError, RequestHead, ResponseHead, request_framing, watch_peer,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::node::SharedNode;
use crate::registry_metrics::CallLabels;
use crate::settings::UNANSWERED;
use crate::{Command, InvalidRequest, PublicProtocol, PublicRequest};

/// Time within which a call is answered; callers turn to another registry after a second.
const ANSWER: Duration = Duration::from_millis(900);

/// Pause between two attempts while no leader is known.
const RETRY: Duration = Duration::from_millis(40);

/// Time for a connection to send its next call.
const IDLE: Duration = Duration::from_secs(15);

/// Time for a call to arrive once its first byte has.
const ARRIVAL: Duration = Duration::from_secs(5);

/// Longest head of a call.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Accepts connections for good.
pub(crate) async fn serve(
    listener: TcpListener,
    node: SharedNode,
    protocol: Rc<dyn PublicProtocol>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = Caller { node: node.clone(), protocol: protocol.clone() };
                tokio::task::spawn_local(server.run(stream));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(RETRY).await;
            }
        }
    }
}

/// One connection of a caller.
struct Caller {
    node: SharedNode,
    protocol: Rc<dyn PublicProtocol>,
}

/// Status and body of an answer.
type Answer = (u16, Vec<u8>);

impl Caller {
    async fn run(self, stream: TcpStream) {
        if watch_peer(&stream, UNANSWERED).is_err() {
            return;
        }
        let mut connection = Http1Connection::new(stream);
        while let Ok(Ok(())) = timeout(IDLE, connection.wait_for_message()).await {
            let read = timeout(ARRIVAL, self.read_call(&mut connection)).await;
            let (answer, label, keeps_alive) = match read {
                Ok(Ok((head, body))) => {
                    let (answer, label) = self.answer(&head, body).await;
                    (answer, label, head.keeps_alive())
                }
                Ok(Err(error)) if error.is_disconnect() => return,
                Ok(Err(error)) => (self.unreadable(&error), "unreadable", false),
                Err(_) => (self.error(408, "the call did not arrive in time"), "slow", false),
            };
            let labels = CallLabels { call: label, status: answer.0 };
            self.node.borrow().metrics.calls.get_or_create(&labels).inc();
            if self.write(&mut connection, &answer, keeps_alive).await.is_err() || !keeps_alive {
                return;
            }
        }
    }

    async fn read_call(
        &self,
        connection: &mut Http1Connection,
    ) -> Result<(RequestHead, Vec<u8>), ReadError> {
        let head = connection.read_request(MAX_HEAD_BYTES).await?;
        let framing = request_framing(&head).map_err(ReadError::Head)?;
        let max_bytes = self.node.borrow().settings.max_body_bytes;
        let body = connection.read_whole_body(BodyDecoder::new(framing), max_bytes).await?;
        Ok((head, body))
    }

    async fn answer(&self, head: &RequestHead, body: Vec<u8>) -> (Answer, &'static str) {
        let call = match self.protocol.decode(&head.method, head.path(), body) {
            Ok(call) => call,
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
        let deadline = Instant::now() + ANSWER;
        match call {
            PublicRequest::Configure { config, document } => {
                let version = config.version;
                let routes = config.routes.len();
                let command = Command::Configure { config: *config, document };
                let answer = self.order(command, deadline).await;
                tracing::info!(event = "configure", version, routes, status = answer.0);
                (answer, "configure")
            }
            PublicRequest::Evacuate { zone } => {
                let answer = self.order(Command::Evacuate { zone: zone.clone() }, deadline).await;
                tracing::info!(event = "evacuate", %zone, status = answer.0);
                (answer, "evacuate")
            }
            PublicRequest::Restore { zone } => {
                let answer = self.order(Command::Restore { zone: zone.clone() }, deadline).await;
                tracing::info!(event = "restore", %zone, status = answer.0);
                (answer, "restore")
            }
            PublicRequest::ReadConfig => (self.read_config(deadline).await, "read_config"),
            PublicRequest::Announce(record) => {
                let id = record.id.clone();
                let sequence = record.sequence;
                if self.node.borrow_mut().announce(record) == AnnouncementOutcome::Outdated {
                    tracing::info!(event = "announcement_outdated", target_id = %id, sequence);
                }
                (self.success(), "announce")
            }
            PublicRequest::Leave { id, started_ms } => {
                self.node.borrow_mut().leave(&id, started_ms);
                (self.success(), "leave")
            }
        }
    }

    /// Replicates a command and answers once it is in force.
    async fn order(&self, command: Command, deadline: Instant) -> Answer {
        loop {
            if self.is_overtaken(&command) {
                return self.success();
            }
            let proposed = self.node.borrow_mut().propose(command.clone());
            let committed = match proposed {
                Some(receiver) => timeout_at(deadline, receiver).await,
                None => Ok(Ok(false)),
            };
            match committed {
                Ok(Ok(true)) => return self.success(),
                Ok(Ok(false) | Err(_)) if Instant::now() + RETRY < deadline => {
                    sleep(RETRY).await;
                }
                _ => return self.error(503, "no majority of the registries answers; try again"),
            }
        }
    }

    /// Whether a configuration is known to change nothing.
    fn is_overtaken(&self, command: &Command) -> bool {
        let Command::Configure { config, .. } = command else { return false };
        let node = self.node.borrow();
        node.state()
            .is_some_and(|state| state.config.is_some() && config.version <= state.version())
    }

    async fn read_config(&self, deadline: Instant) -> Answer {
        loop {
            if let Some(answer) = self.try_read_config(deadline).await {
                return answer;
            }
            if Instant::now() + RETRY >= deadline {
                return self.error(503, "the newest configuration is not known here; try again");
            }
            sleep(RETRY).await;
        }
    }

    async fn try_read_config(&self, deadline: Instant) -> Option<Answer> {
        let asked = self.node.borrow_mut().read_index()?;
        let index = timeout_at(deadline, asked).await.ok()?.ok()??;
        let applied = self.node.borrow_mut().wait_applied(index)?;
        timeout_at(deadline, applied).await.ok()?.ok()?;
        let node = self.node.borrow();
        let state = node.state()?;
        if state.config.is_none() {
            return Some(self.error(503, "no configuration has been accepted yet; send one"));
        }
        Some((200, state.document.to_vec()))
    }

    fn success(&self) -> Answer {
        (200, self.protocol.success_body())
    }

    fn error(&self, status: u16, reason: &str) -> Answer {
        (status, self.protocol.error_body(reason))
    }

    fn unreadable(&self, error: &ReadError) -> Answer {
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
        answer: &Answer,
        keeps_alive: bool,
    ) -> std::io::Result<()> {
        let (status, body) = answer;
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
