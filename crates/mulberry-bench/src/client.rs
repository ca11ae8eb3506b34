//! Sends one request as a caller would and classifies its outcome.

use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::header::{HeaderMap, RETRY_AFTER};
use attohttpc::{ErrorKind, Method, ProxySettings, Response, ResponseReader, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use standin_engine::{chat_prompt, expected_answer};
use standin_service::{body_sha256, expected_number};

use crate::outcome::{Outcome, check_answer, check_partial_answer};

/// Time to connect to one entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest body that fits into socket buffers. Sending a longer one may block for ever, and the client library bounds
/// that only with a further thread.
const LARGE_BODY_BYTES: usize = 64 * 1024;

/// Longest answer that is not an event stream.
const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024;

/// Who sends a request, where to and until when.
#[derive(Debug, Clone)]
pub struct Route {
    /// Entries in the order in which they are tried; the next one is tried only if a connection is not made.
    pub entries: Vec<SocketAddr>,

    pub api_key: String,
    pub deadline: Duration,

    /// Time after the deadline beyond which an answer is late.
    pub late_after: Duration,

    /// Time after the deadline beyond which a request is lost.
    pub lost_after: Duration,
}

/// A completion request.
#[derive(Debug, Clone)]
pub struct Completion {
    pub model: String,
    pub text: String,
    pub max_tokens: u32,
    pub stream: bool,
    pub chat: bool,
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: String,

    /// Path with `/services/{name}` and a query that no other call has.
    pub path: String,

    pub body: String,
    pub idempotency_key: Option<String>,
}

/// What became of a request, and when.
#[derive(Debug, Clone)]
pub struct Sent {
    pub outcome: Outcome,

    /// Code of an error, or what else went wrong.
    pub detail: String,

    /// Time to the first token of a streamed answer.
    pub first_token: Option<Duration>,

    /// Times between the tokens of a streamed answer.
    pub gaps: Vec<Duration>,

    pub total: Duration,
}

#[derive(Debug, Default, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    error: Option<ErrorBody>,
}

#[derive(Debug, Default, Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Content>,
    message: Option<Content>,
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Content {
    content: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ErrorBody {
    code: String,
    outcome: String,
}

impl Choice {
    fn into_text(self) -> Option<String> {
        let content = self.delta.or(self.message).and_then(|content| content.content);
        self.text.or(content).filter(|text| !text.is_empty())
    }
}

/// Progress of one request.
struct Exchange<'a> {
    route: &'a Route,
    started: Instant,
    first_token: Option<Duration>,
    last_token: Instant,
    gaps: Vec<Duration>,
}

/// Outcome with its detail.
type Verdict = (Outcome, String);

/// Sends a completion request and checks its answer.
pub fn send_completion(route: &Route, request: &Completion) -> Sent {
    let (path, body) = if request.chat {
        let messages = json!([{ "role": "user", "content": request.text }]);
        ("/v1/chat/completions", json!({ "messages": messages }))
    } else {
        ("/v1/completions", json!({ "prompt": request.text }))
    };
    let mut body = body;
    body["model"] = json!(request.model);
    body["max_tokens"] = json!(request.max_tokens);
    body["stream"] = json!(request.stream);
    let body = body.to_string();
    let prompt = if request.chat { chat_prompt([&*request.text]) } else { request.text.clone() };
    let expected = expected_answer(&prompt, request.max_tokens);
    let mut exchange = Exchange::new(route);
    let verdict = match exchange.send(&Method::POST, path, &body, None) {
        Err(error) => failure(&error),
        Ok(response) if !response.is_success() => error_answer(response),
        Ok(response) if request.stream => exchange.read_stream(&expected, response),
        Ok(response) => whole_answer(&expected, response),
    };
    exchange.end(verdict)
}

/// Calls a plain service and checks its echo.
pub fn send_call(route: &Route, call: &Call) -> Sent {
    let exchange = Exchange::new(route);
    let method = call.method.parse().unwrap_or(Method::POST);
    let key = call.idempotency_key.as_deref();
    let verdict = match exchange.send(&method, &call.path, &call.body, key) {
        Err(error) => failure(&error),
        Ok(response) if !response.is_success() => error_answer(response),
        Ok(response) => check_echo(call, response),
    };
    exchange.end(verdict)
}

impl<'a> Exchange<'a> {
    fn new(route: &'a Route) -> Exchange<'a> {
        let now = Instant::now();
        Exchange { route, started: now, first_token: None, last_token: now, gaps: Vec::new() }
    }

    /// Sends a request to the first entry that accepts a connection.
    fn send(
        &self,
        method: &Method,
        path: &str,
        body: &str,
        idempotency_key: Option<&str>,
    ) -> attohttpc::Result<Response> {
        let mut result = Err(io::Error::from(io::ErrorKind::NotConnected).into());
        for entry in &self.route.entries {
            let url = format!("http://{entry}{path}");
            let mut request = attohttpc::RequestBuilder::try_new(method.clone(), url)?
                .proxy_settings(ProxySettings::builder().build())
                .connect_timeout(CONNECT_TIMEOUT)
                .read_timeout(self.route.deadline + self.route.lost_after)
                .header("content-type", "application/json")
                .header("authorization", format!("Bearer {}", self.route.api_key))
                .header("x-deadline-ms", self.route.deadline.as_millis().to_string());
            if let Some(key) = idempotency_key {
                request = request.header("idempotency-key", key);
            }
            if body.len() > LARGE_BODY_BYTES {
                request = request.timeout(self.route.deadline + self.route.lost_after);
            }
            result = request.text(body).send();
            match &result {
                Err(error) if is_refused(error) => {}
                _ => break,
            }
        }
        result
    }

    fn read_stream(&mut self, expected: &str, response: Response) -> Verdict {
        let (_, headers, reader) = response.split();
        let mut text = String::new();
        let (outcome, detail) = self.read_events(&headers, reader, &mut text);
        let partial = check_partial_answer(expected, &text);
        match outcome {
            Outcome::Right => (check_answer(expected, &text), detail),
            // Wrong text is worse than the failure that followed it.
            other => (partial.unwrap_or(other), detail),
        }
    }

    /// Reads events into `text` until the end. `Outcome::Right` means that the stream ended as it should.
    fn read_events(
        &mut self,
        headers: &HeaderMap,
        reader: ResponseReader,
        text: &mut String,
    ) -> Verdict {
        let mut reader = BufReader::new(reader);
        let mut finished = false;
        let mut line = String::new();
        loop {
            line.clear();
            match reader.read_line(&mut line) {
                Ok(0) => return (Outcome::Truncated, "ended without [DONE]".to_owned()),
                Ok(_) => {}
                Err(error) => return io_failure(&error),
            }
            if self.started.elapsed() > self.route.deadline + self.route.lost_after {
                return (Outcome::Lost, "still running".to_owned());
            }
            let Some(data) = line.trim_end().strip_prefix("data:") else { continue };
            if data.trim() == "[DONE]" {
                return match finished {
                    true => (Outcome::Right, String::new()),
                    false => (Outcome::Truncated, "[DONE] without a finish reason".to_owned()),
                };
            }
            let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
                return (Outcome::WrongCrossed, "malformed chunk".to_owned());
            };
            if let Some(error) = chunk.error {
                return refusal_or_failure(headers, error);
            }
            for choice in chunk.choices {
                finished |= choice.finish_reason.is_some();
                if let Some(token) = choice.into_text() {
                    self.note_token();
                    text.push_str(&token);
                }
            }
        }
    }

    fn note_token(&mut self) {
        let now = Instant::now();
        if self.first_token.is_none() {
            self.first_token = Some(now - self.started);
        } else {
            self.gaps.push(now - self.last_token);
        }
        self.last_token = now;
    }

    fn end(self, (outcome, detail): Verdict) -> Sent {
        let total = self.started.elapsed();
        let is_late = total > self.route.deadline + self.route.late_after;
        let outcome = match outcome {
            Outcome::Right
            | Outcome::Refused
            | Outcome::RefusedWithoutRetryAfter
            | Outcome::FailedVisibly
                if is_late =>
            {
                Outcome::Late
            }
            other => other,
        };
        Sent { outcome, detail, first_token: self.first_token, gaps: self.gaps, total }
    }
}

/// Whether no connection was made, so that nothing was sent.
fn is_refused(error: &attohttpc::Error) -> bool {
    matches!(error.kind(), ErrorKind::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused)
}

fn failure(error: &attohttpc::Error) -> Verdict {
    match error.kind() {
        ErrorKind::Io(error) => io_failure(error),
        _ => (Outcome::FailedVisibly, error.to_string()),
    }
}

fn io_failure(error: &io::Error) -> Verdict {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
            (Outcome::Lost, "no answer".to_owned())
        }
        kind => (Outcome::FailedVisibly, kind.to_string()),
    }
}

fn read_whole(response: Response) -> Result<(StatusCode, HeaderMap, Vec<u8>), Verdict> {
    let (status, headers, reader) = response.split();
    let mut body = Vec::new();
    match reader.take(MAX_ANSWER_BYTES).read_to_end(&mut body) {
        Ok(_) => Ok((status, headers, body)),
        Err(error) => Err(io_failure(&error)),
    }
}

fn error_answer(response: Response) -> Verdict {
    let (status, headers, body) = match read_whole(response) {
        Ok(whole) => whole,
        Err(verdict) => return verdict,
    };
    match serde_json::from_slice::<Chunk>(&body) {
        Ok(Chunk { error: Some(error), .. }) => refusal_or_failure(&headers, error),
        _ => (Outcome::FailedVisibly, format!("status {}", status.as_u16())),
    }
}

fn refusal_or_failure(headers: &HeaderMap, error: ErrorBody) -> Verdict {
    let outcome = match error.outcome.as_str() {
        "not_run" if headers.contains_key(RETRY_AFTER) => Outcome::Refused,
        "not_run" => Outcome::RefusedWithoutRetryAfter,
        _ => Outcome::FailedVisibly,
    };
    (outcome, error.code)
}

fn whole_answer(expected: &str, response: Response) -> Verdict {
    let body = match read_whole(response) {
        Ok((_, _, body)) => body,
        Err(verdict) => return verdict,
    };
    let Ok(mut answer) = serde_json::from_slice::<Chunk>(&body) else {
        return (Outcome::Truncated, "malformed answer".to_owned());
    };
    let text = answer.choices.pop().and_then(Choice::into_text).unwrap_or_default();
    (check_answer(expected, &text), String::new())
}

fn check_echo(call: &Call, response: Response) -> Verdict {
    let body = match read_whole(response) {
        Ok((_, _, body)) => body,
        Err(verdict) => return verdict,
    };
    let Ok(echo) = serde_json::from_slice::<Value>(&body) else {
        return (Outcome::Truncated, "malformed answer".to_owned());
    };
    let sent = call.body.as_bytes();
    // The service sees the path without the prefix that names it.
    let query = call.path.split_once('?').map_or("", |(_, query)| query);
    let has_path = echo["path"]
        .as_str()
        .is_some_and(|path| call.path.ends_with(path) && path.ends_with(query));
    if has_path
        && echo["number"] == expected_number(sent)
        && echo["body_sha256"] == body_sha256(sent)
    {
        return (Outcome::Right, String::new());
    }
    (Outcome::WrongCrossed, "the echo is that of another call".to_owned())
}
