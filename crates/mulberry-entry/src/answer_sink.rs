//! The caller's side of one answer: a stream of events or one body.

use std::time::Instant;

use mulberry_callers::{AnswerShape, CallerError, CompletionRequest};
use mulberry_http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use mulberry_http::{BodyWriter, HeaderMap, Responder, Response, StatusCode, WriteError};

/// Where the answer of one request goes.
#[derive(Debug)]
pub struct AnswerSink {
    channel: Channel,
    shape: AnswerShape,
    stream: bool,
    include_usage: bool,
    text: String,

    /// Tokens of the answer so far, over all attempts.
    tokens: u64,

    started: Instant,
    first_token_at: Option<Instant>,
}

#[derive(Debug)]
enum Channel {
    /// Nothing is sent yet, not even the status.
    Unsent(Responder),

    Streaming(BodyWriter),

    /// The answer has ended.
    Ended,
}

impl AnswerSink {
    /// A sink for a request that arrived at `started`.
    pub fn new(
        responder: Responder,
        shape: AnswerShape,
        request: &CompletionRequest,
        started: Instant,
    ) -> AnswerSink {
        AnswerSink {
            channel: Channel::Unsent(responder),
            shape,
            stream: request.stream,
            include_usage: request.include_usage,
            text: String::new(),
            tokens: 0,
            started,
            first_token_at: None,
        }
    }

    /// Whether the caller has gone away.
    pub fn is_closed(&self) -> bool {
        match &self.channel {
            Channel::Unsent(responder) => responder.is_closed(),
            Channel::Streaming(writer) => writer.is_closed(),
            Channel::Ended => false,
        }
    }

    /// Tokens of the answer so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Time from the request's arrival to its first token.
    pub fn first_token_ms(&self) -> Option<u64> {
        let at = self.first_token_at?;
        Some(at.duration_since(self.started).as_millis() as u64)
    }

    /// Time since the first token.
    pub fn decode_ms(&self) -> u64 {
        self.first_token_at.map_or(0, |at| at.elapsed().as_millis() as u64)
    }

    /// Takes the next token.
    ///
    /// # Errors
    /// The caller has gone away or stopped reading.
    pub fn token(&mut self, text: &str) -> Result<(), WriteError> {
        let is_first = self.first_token_at.is_none();
        if is_first {
            self.first_token_at = Some(Instant::now());
        }
        if self.stream {
            let event = self.shape.text_event(text, is_first);
            self.writer()?.write(event)?;
        } else {
            self.text.push_str(text);
        }
        self.tokens += 1;
        Ok(())
    }

    /// Ends the answer.
    ///
    /// # Errors
    /// The caller has gone away or stopped reading.
    pub fn finish(&mut self, finish_reason: &str, prompt_tokens: u64) -> Result<(), WriteError> {
        if !self.stream {
            let (shape, text) = (&self.shape, &self.text);
            let body = shape.whole_body(text, finish_reason, prompt_tokens, self.tokens);
            self.send(Response::json(StatusCode::OK, body));
            return Ok(());
        }
        let mut end = self.shape.finish_event(finish_reason);
        if self.include_usage {
            end.push_str(&self.shape.usage_event(prompt_tokens, self.tokens));
        }
        end.push_str("data: [DONE]\n\n");
        self.writer()?.write(end)?;
        self.end()
    }

    /// Ends the answer with an error: as the whole answer if nothing was sent, else as an event
    /// without `[DONE]` after it.
    pub fn fail(&mut self, error: &CallerError) {
        match &self.channel {
            Channel::Unsent(_) => self.send(error.to_response()),
            Channel::Streaming(writer) => {
                // A caller that has gone away cannot be told.
                let _ = writer.write(error.to_event());
                let _ = self.end();
            }
            Channel::Ended => {}
        }
    }

    fn send(&mut self, response: Response) {
        if let Channel::Unsent(responder) = std::mem::replace(&mut self.channel, Channel::Ended) {
            responder.send(response);
        }
    }

    fn end(&mut self) -> Result<(), WriteError> {
        match std::mem::replace(&mut self.channel, Channel::Ended) {
            Channel::Streaming(writer) => writer.finish(),
            Channel::Unsent(_) | Channel::Ended => Ok(()),
        }
    }

    /// Writer of the events; sends the status with the first one.
    fn writer(&mut self) -> Result<&BodyWriter, WriteError> {
        if let Channel::Unsent(_) = self.channel
            && let Channel::Unsent(responder) = std::mem::replace(&mut self.channel, Channel::Ended)
        {
            let mut headers = HeaderMap::new();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            self.channel = Channel::Streaming(responder.stream(StatusCode::OK, headers));
        }
        match &self.channel {
            Channel::Streaming(writer) => Ok(writer),
            Channel::Unsent(_) | Channel::Ended => Err(WriteError::Closed),
        }
    }
}
