//! Writes the response of one completion to the caller, as a stream of events or as one body.

use std::time::Instant;

use mulberry_callers::{AnswerShape, CallerError, CompletionRequest};
use mulberry_http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use mulberry_http::{BodyWriter, HeaderMap, Responder, Response, StatusCode, WriteError};

/// Destination of the response of one completion.
#[derive(Debug)]
pub struct ResponseSink {
    state: State,
    shape: AnswerShape,
    stream: bool,
    include_usage: bool,
    text: String,

    /// Tokens written so far, over all attempts.
    tokens: u64,

    started: Instant,
    first_token_at: Option<Instant>,
}

#[derive(Debug)]
enum State {
    /// Nothing has been sent, not even the status.
    Unsent(Responder),

    Streaming(BodyWriter),

    Ended,
}

impl ResponseSink {
    /// Creates a sink for a request that arrived at `started`.
    pub fn new(
        responder: Responder,
        shape: AnswerShape,
        request: &CompletionRequest,
        started: Instant,
    ) -> ResponseSink {
        ResponseSink {
            state: State::Unsent(responder),
            shape,
            stream: request.stream,
            include_usage: request.include_usage,
            text: String::new(),
            tokens: 0,
            started,
            first_token_at: None,
        }
    }

    /// Whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        match &self.state {
            State::Unsent(responder) => responder.is_closed(),
            State::Streaming(writer) => writer.is_closed(),
            State::Ended => false,
        }
    }

    /// Tokens written so far, over all attempts.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Time from the arrival of the request to its first token; `None` before that token.
    pub fn first_token_ms(&self) -> Option<u64> {
        let at = self.first_token_at?;
        Some(at.duration_since(self.started).as_millis() as u64)
    }

    /// Time since the first token; 0 before it.
    pub fn decode_ms(&self) -> u64 {
        self.first_token_at.map_or(0, |at| at.elapsed().as_millis() as u64)
    }

    /// Appends a token to the response.
    ///
    /// # Errors
    /// The caller has disconnected or stopped reading.
    pub fn write_token(&mut self, text: &str) -> Result<(), WriteError> {
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

    /// Completes the response.
    ///
    /// # Errors
    /// The caller has disconnected or stopped reading.
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

    /// Ends the response with an error: as the whole response if nothing has been sent, else as an
    /// event that is not followed by `[DONE]`.
    pub fn fail(&mut self, error: &CallerError) {
        match &self.state {
            State::Unsent(_) => self.send(error.to_response()),
            State::Streaming(writer) => {
                // Write errors are ignored: the caller has disconnected.
                let _ = writer.write(error.to_event());
                let _ = self.end();
            }
            State::Ended => {}
        }
    }

    fn send(&mut self, response: Response) {
        if let State::Unsent(responder) = std::mem::replace(&mut self.state, State::Ended) {
            responder.send(response);
        }
    }

    fn end(&mut self) -> Result<(), WriteError> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Streaming(writer) => writer.finish(),
            State::Unsent(_) | State::Ended => Ok(()),
        }
    }

    /// Returns the event writer. The first call sends status and headers.
    fn writer(&mut self) -> Result<&BodyWriter, WriteError> {
        if let State::Unsent(_) = self.state
            && let State::Unsent(responder) = std::mem::replace(&mut self.state, State::Ended)
        {
            let mut headers = HeaderMap::new();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
            self.state = State::Streaming(responder.stream(StatusCode::OK, headers));
        }
        match &self.state {
            State::Streaming(writer) => Ok(writer),
            State::Unsent(_) | State::Ended => Err(WriteError::Closed),
        }
    }
}
