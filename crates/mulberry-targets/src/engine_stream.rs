//! The events of one answer, checked against the request.

use std::io::{BufRead, BufReader, ErrorKind};
use std::time::Instant;

use attohttpc::ResponseReader;
use serde::Deserialize;

use crate::EngineError;

/// Longest line of an event stream; an engine sends a token or a few at a time.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// One event of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// The engine is alive but has nothing yet, as during a long prefill.
    KeepAlive,

    /// The next token. Tokens are numbered from 0 without gaps.
    Token { sequence: u64, text: String },

    /// The answer is complete.
    End { total_tokens: u64, prompt_tokens: u64, finish_reason: String },
}

/// Reads the events of one answer.
#[derive(Debug)]
pub struct EngineStream {
    reader: BufReader<ResponseReader>,
    request_id: String,
    next_sequence: u64,
    deadline: Instant,
    line: Vec<u8>,
    pending_end: Option<EngineEvent>,
}

#[derive(Deserialize)]
struct Chunk {
    x_request_id: Option<String>,
    x_sequence: Option<u64>,
    x_total: Option<u64>,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,

    /// Set in the event with which an engine ends a stream that it cannot continue.
    error: Option<ChunkError>,
}

#[derive(Deserialize)]
struct ChunkError {
    #[serde(default)]
    code: String,
}

#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
}

impl EngineStream {
    pub(crate) fn new(
        reader: ResponseReader,
        request_id: String,
        next_sequence: u64,
        deadline: Instant,
    ) -> EngineStream {
        let reader = BufReader::new(reader);
        EngineStream {
            reader,
            request_id,
            next_sequence,
            deadline,
            line: Vec::new(),
            pending_end: None,
        }
    }

    /// Waits for the next event, at most for the engine's silence limit.
    ///
    /// # Errors
    /// The engine failed, went silent, or sent something that does not belong to this answer.
    pub fn next_event(&mut self) -> Result<EngineEvent, EngineError> {
        if let Some(end) = self.pending_end.take() {
            return Ok(end);
        }
        loop {
            self.read_line()?;
            let line = std::str::from_utf8(&self.line)
                .map_err(|_| mismatch("a line is no UTF-8 text"))?
                .trim_end();
            if line.starts_with(':') {
                return Ok(EngineEvent::KeepAlive);
            }
            let Some(data) = line.strip_prefix("data:") else { continue };
            if data.trim() == "[DONE]" {
                return Err(EngineError::Incomplete);
            }
            let chunk: Chunk = serde_json::from_str(data)
                .map_err(|error| mismatch(&format!("a chunk is malformed: {error}")))?;
            if let Some(event) = self.check(chunk)? {
                return Ok(event);
            }
        }
    }

    fn read_line(&mut self) -> Result<(), EngineError> {
        self.line.clear();
        loop {
            let available = match self.reader.fill_buf() {
                Ok(available) => available,
                Err(error) => return Err(read_error(&error, self.deadline)),
            };
            if available.is_empty() {
                return Err(EngineError::Incomplete);
            }
            let (used, is_whole) = match available.iter().position(|byte| *byte == b'\n') {
                Some(position) => (position + 1, true),
                None => (available.len(), false),
            };
            self.line.extend_from_slice(&available[..used]);
            self.reader.consume(used);
            if is_whole {
                return Ok(());
            }
            if self.line.len() > MAX_LINE_BYTES {
                return Err(mismatch("a line is too long"));
            }
        }
    }

    fn check(&mut self, chunk: Chunk) -> Result<Option<EngineEvent>, EngineError> {
        if let Some(error) = chunk.error {
            let problem = format!("the engine ended the stream with code {}", error.code);
            return Err(EngineError::Failed { problem });
        }
        if chunk.x_request_id.as_deref() != Some(self.request_id.as_str()) {
            return Err(mismatch("a chunk carries another request id"));
        }
        let Some(choice) = chunk.choices.into_iter().next() else { return Ok(None) };
        let text = choice.text.or_else(|| choice.delta.and_then(|delta| delta.content));
        let end = match choice.finish_reason {
            Some(finish_reason) => {
                let total_tokens = chunk.x_total.ok_or_else(|| mismatch("the total is missing"))?;
                let prompt_tokens = chunk.usage.map_or(0, |usage| usage.prompt_tokens);
                Some(EngineEvent::End { total_tokens, prompt_tokens, finish_reason })
            }
            None => None,
        };
        let token = match text {
            Some(text) if !text.is_empty() => Some(self.check_token(chunk.x_sequence, text)?),
            _ => None,
        };
        if let Some(EngineEvent::End { total_tokens, .. }) = &end
            && *total_tokens != self.next_sequence
        {
            let problem = format!("{} of {total_tokens} tokens arrived", self.next_sequence);
            return Err(mismatch(&problem));
        }
        match (token, end) {
            (Some(token), end) => {
                self.pending_end = end;
                Ok(Some(token))
            }
            (None, end) => Ok(end),
        }
    }

    fn check_token(
        &mut self,
        sequence: Option<u64>,
        text: String,
    ) -> Result<EngineEvent, EngineError> {
        let expected = self.next_sequence;
        match sequence {
            Some(sequence) if sequence == expected => {
                self.next_sequence += 1;
                Ok(EngineEvent::Token { sequence, text })
            }
            other => Err(mismatch(&format!("token {expected} expected, {other:?} arrived"))),
        }
    }
}

fn read_error(error: &std::io::Error, deadline: Instant) -> EngineError {
    if Instant::now() >= deadline {
        return EngineError::DeadlinePassed;
    }
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => EngineError::Silent,
        _ => EngineError::Failed { problem: error.to_string() },
    }
}

fn mismatch(problem: &str) -> EngineError {
    EngineError::Mismatch { problem: problem.to_owned() }
}
