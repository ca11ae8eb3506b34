//! Requests for completions.

use std::sync::Arc;

use mulberry_http::Request;
use mulberry_types::estimate_tokens;
use serde::Deserialize;
use serde_json::{Map, Value};

use crate::{CallerError, ErrorCode, Outcome};

/// Longest answer when a request names none.
const DEFAULT_ANSWER_TOKENS: u32 = 16;

/// Which of the two completion APIs a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    Chat,
    Text,
}

impl Endpoint {
    /// Endpoint of a path, if it is one.
    pub fn of_path(path: &str) -> Option<Endpoint> {
        match path {
            "/v1/chat/completions" => Some(Endpoint::Chat),
            "/v1/completions" => Some(Endpoint::Text),
            _ => None,
        }
    }

    /// Path of the endpoint, at entries and at engines alike.
    pub fn path(self) -> &'static str {
        match self {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Text => "/v1/completions",
        }
    }
}

/// A checked request for a completion.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionRequest {
    pub endpoint: Endpoint,
    pub model: Arc<str>,

    /// Whether the caller wants server-sent events.
    pub stream: bool,

    /// Whether the caller wants a last event with the usage.
    pub include_usage: bool,

    /// Longest answer that the caller wants.
    pub max_tokens: u32,

    /// All text of the prompt; for chat each message's text, ended by a newline.
    pub prompt: String,

    /// The body as the caller sent it.
    fields: Map<String, Value>,
}

/// Fields that are read; all others are passed on as they are.
#[derive(Deserialize)]
struct KnownFields {
    model: Arc<str>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    n: Option<u32>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

impl CompletionRequest {
    /// Parses and checks a request.
    ///
    /// # Errors
    /// The body is not JSON, or a field has an impossible value.
    pub fn parse(endpoint: Endpoint, request: &Request) -> Result<CompletionRequest, CallerError> {
        let fields: Map<String, Value> = serde_json::from_slice(&request.body)
            .map_err(|error| invalid(format!("the body is no JSON object: {error}")))?;
        let known: KnownFields = serde_json::from_slice(&request.body)
            .map_err(|error| invalid(format!("the body does not fit the API: {error}")))?;
        if known.n.is_some_and(|n| n != 1) {
            return Err(invalid("n: only one choice is served; use 1 or leave it out"));
        }
        let max_tokens = known.max_completion_tokens.or(known.max_tokens);
        if max_tokens == Some(0) {
            return Err(invalid("max_tokens: is 0; use at least 1"));
        }
        let prompt = match endpoint {
            Endpoint::Chat => chat_prompt(known.messages)?,
            Endpoint::Text => text_prompt(known.prompt)?,
        };
        Ok(CompletionRequest {
            endpoint,
            model: known.model,
            stream: known.stream.unwrap_or(false),
            include_usage: known.stream_options.is_some_and(|options| options.include_usage),
            max_tokens: max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS),
            prompt,
            fields,
        })
    }

    /// Estimated tokens of the prompt, at least 1: reservations without tokens are for plain services.
    pub fn prompt_tokens(&self) -> u64 {
        estimate_tokens(self.prompt.len() as u64).max(1)
    }

    /// Body for an engine: the caller's fields, always streamed.
    pub fn engine_body(&self) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.remove("max_completion_tokens");
        fields.insert("max_tokens".to_owned(), Value::from(self.max_tokens));
        Value::Object(fields).to_string().into_bytes()
    }

    /// Body for the engine that serves the last part of a prompt held by several engines.
    pub fn last_segment_body(&self, segment: &str) -> Vec<u8> {
        let mut fields = self.fields.clone();
        fields.remove("messages");
        fields.remove("max_completion_tokens");
        fields.insert("prompt".to_owned(), Value::from(segment));
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.insert("max_tokens".to_owned(), Value::from(self.max_tokens));
        Value::Object(fields).to_string().into_bytes()
    }
}

/// Value of `X-Deadline-Ms`, if the request has one.
///
/// # Errors
/// It is no whole number of milliseconds, or 0.
pub fn header_deadline_ms(request: &Request) -> Result<Option<u64>, CallerError> {
    let Some(value) = request.headers.get("x-deadline-ms") else { return Ok(None) };
    let deadline_ms = value.to_str().ok().and_then(|text| text.trim().parse::<u64>().ok());
    match deadline_ms {
        Some(deadline_ms) if deadline_ms > 0 => Ok(Some(deadline_ms)),
        _ => Err(CallerError::new(
            ErrorCode::InvalidDeadline,
            Outcome::NotRun,
            "X-Deadline-Ms: use a whole number of milliseconds from now, at least 1",
        )),
    }
}

fn chat_prompt(messages: Vec<Message>) -> Result<String, CallerError> {
    if messages.is_empty() {
        return Err(invalid("messages: is empty or missing; send at least one message"));
    }
    let mut prompt = String::new();
    for content in messages.into_iter().filter_map(|message| message.content) {
        match content {
            Content::Text(text) => prompt.push_str(&text),
            Content::Parts(parts) => parts.iter().for_each(|part| prompt.push_str(&part.text)),
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

fn text_prompt(prompt: Option<Prompt>) -> Result<String, CallerError> {
    match prompt {
        Some(Prompt::One(text)) => Ok(text),
        Some(Prompt::Many(mut texts)) if texts.len() == 1 => Ok(texts.swap_remove(0)),
        Some(Prompt::Many(_)) => Err(invalid("prompt: send one text, not a list of several")),
        None => Err(invalid("prompt: is missing; send a text")),
    }
}

fn invalid(message: impl Into<String>) -> CallerError {
    CallerError::new(ErrorCode::InvalidRequest, Outcome::NotRun, message)
}
