//! Sends the answer of a completion, whole or as server-sent events.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use mulberry_http::{BodyWriter, HeaderMap, Responder, Response, StatusCode, WriteError, header};
use serde_json::{Value, json};

use crate::AnswerSeed;
use crate::api::{CLIENT_POLL, cancelled};
use crate::batch::Event;
use crate::fault::AnswerFaults;
use crate::life::Life;

/// Time between two comment lines while a prompt is in prefill.
const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Id on the chunks that a fault sends instead of the right ones.
const FOREIGN_REQUEST_ID: &str = "0-0-0";

/// Answer of an admitted completion.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) key: u64,
    pub(crate) events: Receiver<Event>,
    pub(crate) request_id: Arc<str>,
    pub(crate) model: Arc<str>,
    pub(crate) is_chat: bool,
    pub(crate) streamed: bool,
    pub(crate) seed: AnswerSeed,
    pub(crate) max_tokens: u32,
    pub(crate) resume_from: u32,
    pub(crate) prompt_tokens: u64,
    pub(crate) faults: AnswerFaults,
}

/// Why an answer ended before its end.
enum Stopped {
    ClientGone,
    EngineDead,
    Cancelled,
}

impl From<WriteError> for Stopped {
    fn from(_: WriteError) -> Stopped {
        Stopped::ClientGone
    }
}

/// Sends an answer as its tokens are made. Returns `false` if the client has gone away.
pub(crate) fn send_answer(life: &Life, answer: &Answer, responder: Responder) -> bool {
    let stopped = if answer.streamed {
        stream(life, answer, responder)
    } else {
        collect(life, answer, responder)
    };
    !matches!(stopped, Err(Stopped::ClientGone))
}

fn stream(life: &Life, answer: &Answer, responder: Responder) -> Result<(), Stopped> {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-cache"));
    let writer = responder.stream(StatusCode::OK, headers);
    let faults = answer.faults;
    let middle = answer.resume_from + (answer.max_tokens - answer.resume_from) / 2;
    let mut written = Instant::now();
    let mut first = true;
    loop {
        let event = match answer.next_event(life, first) {
            Ok(event) => event,
            Err(Stopped::Cancelled) => {
                write_event(&writer, &error_event(&cancelled()))?;
                writer.finish()?;
                return Err(Stopped::Cancelled);
            }
            Err(stopped) => return Err(stopped),
        };
        match event {
            None if writer.is_closed() => return Err(Stopped::ClientGone),
            None if first && written.elapsed() >= KEEP_ALIVE => {
                written = Instant::now();
                writer.write(": keep-alive\n\n")?;
            }
            None => {}
            Some(Event::Token(index)) => {
                first = false;
                if faults.end_early && index >= middle {
                    writer.finish()?;
                    return Ok(());
                }
                if faults.foreign_chunk && index == middle {
                    write_event(&writer, &answer.foreign().chunk(index))?;
                }
                if faults.skip_chunk && index == middle {
                    continue;
                }
                let chunk = answer.chunk(index);
                write_event(&writer, &chunk)?;
                if faults.duplicate_chunk && index == middle {
                    write_event(&writer, &chunk)?;
                }
            }
            Some(Event::Done) => {
                write_event(&writer, &answer.last_chunk())?;
                writer.write("data: [DONE]\n\n")?;
                writer.finish()?;
                return Ok(());
            }
            Some(Event::Exported(_)) => {}
        }
    }
}

fn collect(life: &Life, answer: &Answer, responder: Responder) -> Result<(), Stopped> {
    let mut first = true;
    loop {
        match answer.next_event(life, first) {
            Ok(Some(Event::Done)) => break,
            Ok(Some(_)) => first = false,
            Ok(None) if responder.is_closed() => return Err(Stopped::ClientGone),
            Ok(None) => {}
            Err(Stopped::Cancelled) => {
                responder.send(cancelled());
                return Err(Stopped::Cancelled);
            }
            Err(stopped) => return Err(stopped),
        }
    }
    responder.send(Response::json(StatusCode::OK, answer.whole().to_string()));
    Ok(())
}

fn write_event(writer: &BodyWriter, event: &Value) -> Result<(), WriteError> {
    writer.write(format!("data: {event}\n\n"))
}

fn error_event(response: &Response) -> Value {
    serde_json::from_slice(&response.body).unwrap_or_default()
}

impl Answer {
    /// The next event; `None` if none came within a short time.
    fn next_event(&self, life: &Life, first: bool) -> Result<Option<Event>, Stopped> {
        let event = match self.events.recv_timeout(CLIENT_POLL) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) if life.is_dead() => {
                return Err(Stopped::EngineDead);
            }
            Err(RecvTimeoutError::Disconnected) => return Err(Stopped::Cancelled),
        };
        if first && matches!(event, Some(Event::Token(_))) {
            std::thread::sleep(self.faults.delay);
        }
        life.wait_while_frozen();
        Ok(event)
    }

    /// The request whose chunks a fault sends instead of the right ones.
    fn foreign(&self) -> Foreign<'_> {
        Foreign { answer: self, seed: AnswerSeed::of([FOREIGN_REQUEST_ID]) }
    }

    fn chunk(&self, index: u32) -> Value {
        if self.faults.crossed {
            return self.foreign().chunk(index);
        }
        self.chunk_of(&self.request_id, &self.seed, index)
    }

    fn chunk_of(&self, request_id: &str, seed: &AnswerSeed, index: u32) -> Value {
        let token = seed.token(index);
        let choice = if !self.is_chat {
            json!({ "index": 0, "text": token, "finish_reason": null })
        } else if index == 0 {
            let delta = json!({ "role": "assistant", "content": token });
            json!({ "index": 0, "delta": delta, "finish_reason": null })
        } else {
            json!({ "index": 0, "delta": { "content": token }, "finish_reason": null })
        };
        self.envelope(request_id, index, &choice)
    }

    /// The chunk after the last token. Its sequence number equals the total.
    fn last_chunk(&self) -> Value {
        let choice = if self.is_chat {
            json!({ "index": 0, "delta": {}, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": "", "finish_reason": "length" })
        };
        let id = if self.faults.crossed { FOREIGN_REQUEST_ID } else { &self.request_id };
        let mut chunk = self.envelope(id, self.max_tokens, &choice);
        chunk["x_total"] = json!(self.max_tokens);
        chunk["usage"] = self.usage();
        chunk
    }

    fn whole(&self) -> Value {
        let faults = self.faults;
        let foreign = AnswerSeed::of([FOREIGN_REQUEST_ID]);
        let (id, seed) = match faults.crossed {
            true => (FOREIGN_REQUEST_ID, &foreign),
            false => (&*self.request_id, &self.seed),
        };
        let middle = self.resume_from + (self.max_tokens - self.resume_from) / 2;
        let mut text = String::new();
        for index in self.resume_from..self.max_tokens {
            if faults.end_early && index >= middle {
                break;
            }
            if faults.foreign_chunk && index == middle {
                text.push_str(&foreign.token(index));
            }
            let copies = match (faults.skip_chunk, faults.duplicate_chunk) {
                (true, _) if index == middle => 0,
                (_, true) if index == middle => 2,
                _ => 1,
            };
            text.push_str(&seed.token(index).repeat(copies));
        }
        let choice = if self.is_chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        let mut whole = self.envelope(id, self.resume_from, &choice);
        whole["object"] = json!(if self.is_chat { "chat.completion" } else { "text_completion" });
        whole["x_total"] = json!(self.max_tokens);
        whole["usage"] = self.usage();
        whole
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.max_tokens,
            "total_tokens": self.prompt_tokens + u64::from(self.max_tokens),
        })
    }

    fn envelope(&self, request_id: &str, sequence: u32, choice: &Value) -> Value {
        let created = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        json!({
            "id": format!("cmpl-{request_id}"),
            "object": if self.is_chat { "chat.completion.chunk" } else { "text_completion" },
            "created": created,
            "model": self.model,
            "choices": [choice],
            "x_request_id": request_id,
            "x_sequence": sequence,
        })
    }
}

struct Foreign<'a> {
    answer: &'a Answer,
    seed: AnswerSeed,
}

impl Foreign<'_> {
    fn chunk(&self, index: u32) -> Value {
        self.answer.chunk_of(FOREIGN_REQUEST_ID, &self.seed, index)
    }
}
