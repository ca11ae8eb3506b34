//! Client of the operator API: tries the instances in turn and follows the leader.

use std::fmt;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use attohttpc::ProxySettings;
use mulberry_types::{Change, ChangeOutcome, ConfigurationVersion};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{
    AuditAnswer, ConfigurationAnswer, ErrorAnswer, ErrorCode, ErrorOutcome, MemberChange,
    OperatorClientError, OperatorError, ReplicaId, Status, TransferLeadership,
};

/// Pause after each instance was tried once, and before a hint is followed that was wrong before.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Settings of an [`OperatorClient`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorClientSettings {
    pub connect_timeout_ms: u64,

    /// Time for one attempt at one instance.
    pub attempt_timeout_ms: u64,

    /// Time for one request over all attempts.
    pub time_limit_ms: u64,

    /// Longest body of an answer.
    pub max_answer_bytes: usize,
}

/// Client of the control instances.
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: String,
    settings: OperatorClientSettings,

    /// Index of the instance that answered last.
    preferred: Mutex<usize>,
}

/// Whether a request may be sent again when its outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resend {
    /// It reads, or carries an id by which the control group finds its first outcome.
    Safe,

    Never,
}

/// Result of one attempt at one instance.
enum Attempt {
    Answered(Vec<u8>),
    Failed(OperatorError),
    NotLeader {
        leader: Option<SocketAddr>,
    },

    /// The request did not run there and will not.
    NotRun {
        problem: String,
    },

    /// The request may have run.
    Unknown {
        problem: String,
    },
}

impl Default for OperatorClientSettings {
    fn default() -> OperatorClientSettings {
        OperatorClientSettings {
            connect_timeout_ms: 1_000,
            attempt_timeout_ms: 5_000,
            time_limit_ms: 15_000,
            max_answer_bytes: 16 * 1024 * 1024,
        }
    }
}

impl OperatorClient {
    /// Client of the instances with these operator addresses.
    ///
    /// # Errors
    /// There is no address, or the token cannot be sent.
    pub fn new(
        addresses: Vec<SocketAddr>,
        token: &str,
    ) -> Result<OperatorClient, OperatorClientError> {
        OperatorClient::with_settings(addresses, token, OperatorClientSettings::default())
    }

    /// As [`OperatorClient::new`], with other settings.
    ///
    /// # Errors
    /// There is no address, or the token cannot be sent.
    pub fn with_settings(
        addresses: Vec<SocketAddr>,
        token: &str,
        settings: OperatorClientSettings,
    ) -> Result<OperatorClient, OperatorClientError> {
        if addresses.is_empty() {
            return Err(OperatorClientError::NoAddress);
        }
        let token = token.trim();
        if token.is_empty() || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(OperatorClientError::BadToken);
        }
        let preferred = Mutex::new(0);
        Ok(OperatorClient { addresses, token: token.to_owned(), settings, preferred })
    }

    /// Submits a change and resends it with the same id while its outcome is unknown.
    ///
    /// # Errors
    /// See [`OperatorError`]; a rejection by rule or conflict is an outcome.
    pub fn submit_change(&self, change: &Change) -> Result<ChangeOutcome, OperatorError> {
        self.post("/v1/changes", change, Resend::Safe)
    }

    /// Configuration in force.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub fn configuration(&self) -> Result<ConfigurationAnswer, OperatorError> {
        self.request("/v1/configuration", None, Resend::Safe)
    }

    /// Changes that started from this version or a later one, oldest first.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub fn audit(
        &self,
        from_version: ConfigurationVersion,
        limit: usize,
    ) -> Result<AuditAnswer, OperatorError> {
        let path = format!("/v1/audit?from_version={from_version}&limit={limit}");
        self.request(&path, None, Resend::Safe)
    }

    /// Status as the leader sees it, or as any instance sees it while there is no leader.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub fn status(&self) -> Result<Status, OperatorError> {
        let status: Status = self.request("/v1/status", None, Resend::Safe)?;
        let leader = status.leader_operator_address.and_then(|leader| self.index_of(leader));
        let Some(leader) = leader.filter(|_| status.leader != Some(status.replica)) else {
            return Ok(status);
        };
        // Only the leader knows leases and lags.
        let deadline = Instant::now() + Duration::from_millis(self.settings.attempt_timeout_ms);
        match self.attempt(self.addresses[leader], "/v1/status", None, deadline) {
            Attempt::Answered(body) => parse(&body, true),
            _ => Ok(status),
        }
    }

    /// Changes the control group. Not resent when the outcome is unknown.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub fn change_members(&self, change: &MemberChange) -> Result<(), OperatorError> {
        self.post::<_, serde_json::Value>("/v1/members", change, Resend::Never).map(|_| ())
    }

    /// Hands the leadership over. Not resent when the outcome is unknown.
    ///
    /// # Errors
    /// See [`OperatorError`].
    pub fn transfer(&self, to: Option<ReplicaId>) -> Result<(), OperatorError> {
        let body = TransferLeadership { to };
        self.post::<_, serde_json::Value>("/v1/leader/transfer", &body, Resend::Never).map(|_| ())
    }

    fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
        resend: Resend,
    ) -> Result<T, OperatorError> {
        let body = serde_json::to_vec(body)
            .map_err(|error| OperatorError::InvalidRequest { problem: error.to_string() })?;
        self.request(path, Some(&body), resend)
    }

    fn request<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Option<&[u8]>,
        resend: Resend,
    ) -> Result<T, OperatorError> {
        let deadline = Instant::now() + Duration::from_millis(self.settings.time_limit_ms);
        let mut index = *self.preferred.lock().unwrap_or_else(PoisonError::into_inner);
        let mut problem = "the time limit is too short for one attempt".to_owned();
        let is_read = body.is_none();
        let mut may_have_run = false;
        let mut attempts = 0;
        while Instant::now() < deadline {
            let address = self.addresses[index];
            let mut next = (index + 1) % self.addresses.len();
            match self.attempt(address, path, body, deadline) {
                Attempt::Answered(body) => {
                    *self.preferred.lock().unwrap_or_else(PoisonError::into_inner) = index;
                    return parse(&body, is_read);
                }
                // After an attempt with an unknown outcome, no later error may claim certainty.
                Attempt::Failed(error) if !may_have_run => return Err(error),
                Attempt::Failed(error) => {
                    return Err(OperatorError::OutcomeUnknown { problem: error.to_string() });
                }
                Attempt::NotLeader { leader: Some(leader) } => match self.index_of(leader) {
                    Some(index) => {
                        problem = format!("{address} names {leader} as the leader");
                        next = index;
                    }
                    // The token goes only to addresses that the operator has named.
                    None => {
                        problem = format!(
                            "{address} names {leader} as the leader, which is not among the given \
                             instances; add it"
                        );
                    }
                },
                Attempt::NotLeader { leader: None } => {
                    problem = format!("{address} knows no leader");
                }
                Attempt::NotRun { problem: new } => problem = format!("{address}: {new}"),
                Attempt::Unknown { problem: new } => {
                    problem = format!("{address}: {new}");
                    if resend == Resend::Never {
                        return Err(OperatorError::OutcomeUnknown { problem });
                    }
                    // A read has no outcome that could be unknown.
                    may_have_run |= !is_read;
                }
            }
            attempts += 1;
            if attempts % self.addresses.len() == 0 {
                let left = deadline.saturating_duration_since(Instant::now());
                std::thread::sleep(ROUND_PAUSE.min(left));
            }
            index = next;
        }
        if may_have_run {
            return Err(OperatorError::OutcomeUnknown { problem });
        }
        Err(OperatorError::Unavailable { problem })
    }

    fn index_of(&self, address: SocketAddr) -> Option<usize> {
        self.addresses.iter().position(|known| *known == address)
    }

    fn attempt(
        &self,
        address: SocketAddr,
        path: &str,
        body: Option<&[u8]>,
        deadline: Instant,
    ) -> Attempt {
        let left = deadline.saturating_duration_since(Instant::now());
        let connect_timeout = Duration::from_millis(self.settings.connect_timeout_ms).min(left);
        // An instance that cannot be reached at all is told from one that fell silent after the
        // request may have arrived.
        if let Err(error) = TcpStream::connect_timeout(&address, connect_timeout.max(MIN_TIMEOUT)) {
            return Attempt::NotRun { problem: format!("cannot connect: {error}") };
        }
        match self.exchange(address, path, body, deadline) {
            Ok((status, answer)) => judge(status, answer),
            Err(problem) => Attempt::Unknown { problem },
        }
    }

    fn exchange(
        &self,
        address: SocketAddr,
        path: &str,
        body: Option<&[u8]>,
        deadline: Instant,
    ) -> Result<(u16, Vec<u8>), String> {
        let left = deadline.saturating_duration_since(Instant::now());
        let timeout =
            Duration::from_millis(self.settings.attempt_timeout_ms).min(left).max(MIN_TIMEOUT);
        let url = format!("http://{address}{path}");
        let request = if body.is_some() { attohttpc::post(url) } else { attohttpc::get(url) }
            .bearer_auth(&self.token)
            .follow_redirects(false)
            // Proxies from the environment must not see the token.
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(Duration::from_millis(self.settings.connect_timeout_ms))
            .read_timeout(timeout)
            .timeout(timeout);
        let response = match body {
            Some(body) => request.header("content-type", "application/json").bytes(body).send(),
            None => request.send(),
        };
        let (status, _, reader) = response.map_err(|error| error.to_string())?.split();
        let mut answer = Vec::new();
        let limit = self.settings.max_answer_bytes;
        reader
            .take(limit as u64 + 1)
            .read_to_end(&mut answer)
            .map_err(|error| format!("the answer was cut: {error}"))?;
        if answer.len() > limit {
            return Err(format!("the answer is longer than {limit} bytes"));
        }
        Ok((status.as_u16(), answer))
    }
}

/// A timeout of zero is refused by the socket functions.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

impl fmt::Debug for OperatorClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorClient").field("addresses", &self.addresses).finish_non_exhaustive()
    }
}

fn judge(status: u16, answer: Vec<u8>) -> Attempt {
    if status == 200 {
        return Attempt::Answered(answer);
    }
    if !(200..600).contains(&status) {
        return Attempt::Unknown { problem: format!("HTTP status {status}") };
    }
    let Ok(ErrorAnswer { error }) = serde_json::from_slice::<ErrorAnswer>(&answer) else {
        return match status {
            // Outcomes of a change.
            409 | 422 => Attempt::Answered(answer),
            // The server refuses what it has not passed on: too many requests, or a body in parts.
            408 | 413 => {
                let problem = format!("HTTP status {status}; send a smaller change");
                Attempt::Failed(OperatorError::InvalidRequest { problem })
            }
            429 | 503 => Attempt::NotRun { problem: format!("HTTP status {status}") },
            _ => Attempt::Unknown { problem: format!("HTTP status {status}") },
        };
    };
    let problem = error.message;
    match error.code {
        ErrorCode::NotLeader => Attempt::NotLeader { leader: error.leader },
        ErrorCode::Unauthorized => Attempt::Failed(OperatorError::Unauthorized),
        ErrorCode::Rejected => Attempt::Failed(OperatorError::Rejected { problem }),
        ErrorCode::InvalidRequest | ErrorCode::NotFound | ErrorCode::MethodNotAllowed => {
            Attempt::Failed(OperatorError::InvalidRequest { problem })
        }
        ErrorCode::Unavailable | ErrorCode::OutcomeUnknown => match error.outcome {
            ErrorOutcome::NotRun => Attempt::NotRun { problem },
            ErrorOutcome::Unknown => Attempt::Unknown { problem },
        },
    }
}

fn parse<T: DeserializeOwned>(body: &[u8], is_read: bool) -> Result<T, OperatorError> {
    serde_json::from_slice(body).map_err(|error| {
        let problem =
            format!("the answer cannot be read ({error}); use the same release on both sides");
        if is_read {
            OperatorError::Unavailable { problem }
        } else {
            OperatorError::OutcomeUnknown { problem }
        }
    })
}
