//! Relays a stream to the caller, from one engine or from several in turn.
//!
//! With `read_ahead_bytes`, the engine is read ahead of its caller, so that it finishes and is freed while the caller
//! still reads.

use std::pin::pin;
use std::time::Duration;

use mulberry_http1::Http1Connection;
use mulberry_routes::RouteKind;
use mulberry_scheduler::Outcome;
use tokio::time::{Instant, sleep_until};

use super::caller_stream::CallerStream;
use super::responses::{send_complete, send_error, stream_head};
use super::{AfterResponse, Exchange, ForwardOutcome, LiveStream, ResponseProgress};
use crate::EventRelay;
use crate::attempt::SendError;
use crate::caller_outbox::CallerOutbox;

/// Interval at which a paused stream checks whether others have left room. What its own caller takes wakes it at once.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time beyond the route's time in which what is ready is handed out to a caller with a later deadline.
const MAX_HANDOUT_MS: u64 = 30_000;

/// Time that a caller gets at least for taking an answer that is no stream.
const MIN_ANSWER_TIME: Duration = Duration::from_secs(1);

/// How the stream of one engine ended.
pub(super) enum StreamEnd {
    Complete,
    ClientDisconnected,
    DeadlineExceeded,

    /// The caller has not taken what was ready by its deadline.
    CallerTooSlow,

    /// The caller has left the engine unread for so long that the engine would cut the stream.
    Unread,

    /// The memory for slow callers is used up, and this stream was chosen to end.
    MemoryUsedUp,

    /// The engine was silent and another one has taken over.
    Replaced(Box<LiveStream>),

    Broken(SendError),
}

/// Times in which the engine is not read.
#[derive(Default)]
struct Pauses {
    is_paused: bool,
    has_been_logged: bool,

    /// Since when bytes of the engine wait in this pause.
    unread_since: Option<Instant>,
}

impl Exchange {
    /// Relays a stream to its end, failing over to other engines as needed.
    pub(super) async fn relay(
        &mut self,
        client: &mut Http1Connection,
        live: LiveStream,
        relay: EventRelay,
        keeps_alive: bool,
    ) -> AfterResponse {
        let caller_deadline = self.caller_deadline();
        let mut caller = CallerStream {
            client,
            head: Some(stream_head(&live.response.head, keeps_alive)),
            relay,
            outbox: self.new_outbox(caller_deadline),
        };
        let mut live = live;
        let silence_timeout = self.engine_silence_timeout();
        loop {
            let end = self.relay_stream(&mut caller, &mut live).await;
            let LiveStream {
                response, target_id, job, reservation, in_flight_guard, progress, ..
            } = live;
            match end {
                StreamEnd::Complete => {
                    drop((reservation, in_flight_guard));
                    if progress != ResponseProgress::NotBegun {
                        self.shared.parts_survived(&self.shared_parts);
                    }
                    response.release(&self.shared, &target_id);
                    let now_ms = self.shared.now_ms();
                    self.shared.health.borrow_mut().succeeded(now_ms, &target_id);
                    self.count_attempt("answered");
                    if let Some(job) = job {
                        job.finish(Outcome::Done);
                    }
                    self.release_body();
                    if caller.held_bytes() > 0 {
                        tracing::info!(
                            event = "engine_freed_early",
                            request_id = self.request_id(),
                            target_id = %target_id,
                            held_bytes = caller.held_bytes()
                        );
                    }
                    let finished = caller.finish(caller_deadline).await;
                    return match finished {
                        Ok(()) => {
                            self.finish("served", 200);
                            if keeps_alive {
                                AfterResponse::KeepAlive
                            } else {
                                AfterResponse::Close
                            }
                        }
                        Err(end) => self.close(&end, caller.held_bytes()),
                    };
                }
                StreamEnd::ClientDisconnected
                | StreamEnd::CallerTooSlow
                | StreamEnd::MemoryUsedUp => {
                    drop((response, job, reservation, in_flight_guard));
                    return self.close(&end, caller.held_bytes());
                }
                StreamEnd::DeadlineExceeded | StreamEnd::Unread => {
                    drop((response, job, reservation, in_flight_guard));
                    self.release_body();
                    if matches!(end, StreamEnd::Unread) {
                        self.record_ended("unread", caller.held_bytes());
                    }
                    // Events that the engine has made are ready.
                    return match (caller.drain(caller_deadline).await, &end) {
                        (
                            Err(left @ StreamEnd::ClientDisconnected),
                            StreamEnd::DeadlineExceeded,
                        ) => self.close(&left, caller.held_bytes()),
                        _ => self.close(&end, caller.held_bytes()),
                    };
                }
                StreamEnd::Replaced(next) => {
                    drop((response, reservation, in_flight_guard));
                    caller.relay.drop_partial();
                    let reason = format!("no event for {} ms", silence_timeout.as_millis());
                    let error = SendError::Unknown(reason);
                    self.record_failure(&error, &target_id, progress, job);
                    self.log_resumed(&next, &caller.relay);
                    live = *next;
                    continue;
                }
                StreamEnd::Broken(error) => {
                    drop((response, reservation, in_flight_guard));
                    caller.relay.drop_partial();
                    self.record_failure(&error, &target_id, progress, job);
                }
            }
            let resumed = if self.route.kind == RouteKind::ResumableStream && self.may_try_again() {
                tokio::select! {
                    biased;
                    outcome = self.forward(caller.relay.last_event()) => outcome,
                    end = caller.advance_to_end() => return self.close(&end, caller.held_bytes()),
                }
            } else {
                self.fail()
            };
            match resumed {
                ForwardOutcome::Stream(next) => {
                    self.log_resumed(&next, &caller.relay);
                    live = *next;
                }
                ForwardOutcome::Complete { .. } | ForwardOutcome::Error(_)
                    if caller.head.is_none() =>
                {
                    if let Err(end @ StreamEnd::ClientDisconnected) =
                        caller.drain(caller_deadline).await
                    {
                        return self.close(&end, caller.held_bytes());
                    }
                    self.finish("broken", 200);
                    return AfterResponse::Close;
                }
                ForwardOutcome::Complete { head, body } => {
                    let status = head.status;
                    self.finish("failed_at_target", status);
                    let limit = self.answer_limit();
                    return send_complete(caller.client, head, &body, keeps_alive, limit).await;
                }
                ForwardOutcome::Error(error_response) => {
                    self.finish("failed", error_response.status);
                    let reason = std::mem::take(&mut self.reason);
                    return send_error(caller.client, &error_response, &reason, keeps_alive).await;
                }
            }
        }
    }

    fn log_resumed(&self, next: &LiveStream, relay: &EventRelay) {
        tracing::info!(
            event = "stream_resumed",
            request_id = self.request_id(),
            target_id = %next.target_id,
            after_event = relay.last_event().unwrap_or(0)
        );
    }

    /// When the caller gives up. What is ready is handed out until then, also when the route's time is over.
    fn caller_deadline(&self) -> Instant {
        let max_ms = self.route.timeout_ms.saturating_add(MAX_HANDOUT_MS);
        let limit_ms = self.fields.deadline_ms.map(|ms| ms.min(max_ms));
        limit_ms.map_or(self.deadline, |ms| self.arrived + Duration::from_millis(ms))
    }

    /// Time by which the caller must have taken an answer that is no stream, if there is one.
    pub(super) fn answer_limit(&self) -> Option<Instant> {
        let is_limited = self.shared.held_memory.is_enabled() && self.fields.deadline_ms.is_some();
        is_limited.then(|| self.caller_deadline().max(Instant::now() + MIN_ANSWER_TIME))
    }

    /// Drops the body of a request that is not sent again.
    fn release_body(&mut self) {
        self.body = Vec::new();
        self.body_hold = None;
    }

    /// Returns what reads ahead of the caller, if that is on.
    fn new_outbox(&self, caller_deadline: Instant) -> Option<CallerOutbox> {
        let memory = &self.shared.held_memory;
        let left = caller_deadline.saturating_duration_since(Instant::now());
        memory.is_enabled().then(|| CallerOutbox::new(memory.stream(left.as_millis() as u64)))
    }

    /// Records that a stream was ended because its caller reads slowly.
    fn record_ended(&self, reason: &'static str, held_bytes: usize) {
        self.shared.held_memory.count_ended(reason);
        tracing::info!(
            event = "slow_stream_ended",
            request_id = self.request_id(),
            reason,
            held_bytes
        );
    }

    /// Records how a stream ended that is not complete, and what its caller has not taken.
    fn close(&mut self, end: &StreamEnd, held_bytes: usize) -> AfterResponse {
        let text = match end {
            StreamEnd::DeadlineExceeded => "deadline exceeded during the stream",
            StreamEnd::CallerTooSlow => {
                self.record_ended("deadline", held_bytes);
                "the caller has not taken the answer by its deadline"
            }
            StreamEnd::Unread => "the caller reads too slowly for its engine",
            StreamEnd::MemoryUsedUp => {
                self.record_ended("memory_used_up", held_bytes);
                "the memory for slow callers is used up"
            }
            _ => {
                self.finish("left", 200);
                return AfterResponse::Close;
            }
        };
        text.clone_into(&mut self.reason);
        self.finish("cut", 200);
        AfterResponse::Close
    }

    /// Relays the stream of one engine.
    async fn relay_stream(
        &mut self,
        caller: &mut CallerStream<'_>,
        live: &mut LiveStream,
    ) -> StreamEnd {
        let mut bytes = Some(std::mem::take(&mut live.first_bytes));
        let mut silent_at = Instant::now() + self.engine_silence_timeout();
        let mut pauses = Pauses::default();
        loop {
            let Some(received) = bytes else { return stream_end(&caller.relay) };
            let has_begun = caller.head.is_none();
            let events_before = caller.relay.events();
            let forwarded = caller.forward(self.deadline, &received).await;
            if !has_begun && caller.head.is_none() {
                self.record_first_event();
            }
            if let Err(end) = forwarded {
                return end;
            }
            if caller.relay.events() > events_before {
                self.update_progress(&mut live.progress);
                silent_at = Instant::now() + self.engine_silence_timeout();
            }
            bytes = loop {
                if !caller.may_read() {
                    if let Err(end) = self.wait_paused(caller, live, &mut pauses).await {
                        return end;
                    }
                    // The engine was not read, so nothing is known about its silence.
                    silent_at = Instant::now() + self.engine_silence_timeout();
                    continue;
                }
                (pauses.is_paused, pauses.unread_since) = (false, None);
                tokio::select! {
                    biased;
                    () = sleep_until(silent_at.min(self.deadline)) => {}
                    read = live.response.next() => match read {
                        Ok(bytes) => break bytes,
                        Err(error) => return StreamEnd::Broken(error.into()),
                    },
                    advanced = caller.advance() => match advanced {
                        Ok(()) => continue,
                        Err(end) => return end,
                    },
                }
                if Instant::now() >= self.deadline {
                    return StreamEnd::DeadlineExceeded;
                }
                let has_begun = caller.head.is_none();
                let failover = self.try_failover(caller, live).await;
                if !has_begun && caller.head.is_none() {
                    self.record_first_event();
                }
                if let Err(end) = failover {
                    return end;
                }
                silent_at = Instant::now() + self.engine_silence_timeout();
            };
        }
    }

    /// Waits while the engine is not read because the caller is too far behind.
    ///
    /// # Errors
    /// The stream ends: its caller or the memory, the deadline, or the engine would cut it.
    async fn wait_paused(
        &self,
        caller: &mut CallerStream<'_>,
        live: &LiveStream,
        pauses: &mut Pauses,
    ) -> Result<(), StreamEnd> {
        let now = Instant::now();
        if !std::mem::replace(&mut pauses.is_paused, true)
            && let Some(outbox) = &caller.outbox
        {
            outbox.hold().count_pause();
            if !std::mem::replace(&mut pauses.has_been_logged, true) {
                tracing::info!(
                    event = "stream_paused",
                    request_id = self.request_id(),
                    target_id = %live.target_id,
                    held_bytes = caller.held_bytes()
                );
            }
        }
        if pauses.unread_since.is_none() && live.response.has_unread() {
            pauses.unread_since = Some(now);
        }
        let max_unread = Duration::from_millis(self.shared.settings.max_unread_ms);
        let unread_until = pauses.unread_since.map(|since| since + max_unread);
        if unread_until.is_some_and(|until| now >= until)
            && caller.outbox.as_ref().is_some_and(|outbox| outbox.hold().end_one())
        {
            return Err(StreamEnd::Unread);
        }
        let check_at = now + PAUSE_CHECK_INTERVAL;
        let check_at = unread_until.filter(|until| *until > now).unwrap_or(check_at).min(check_at);
        tokio::select! {
            biased;
            () = sleep_until(check_at.min(self.deadline)) => {}
            advanced = caller.advance() => advanced?,
        }
        if Instant::now() >= self.deadline {
            return Err(StreamEnd::DeadlineExceeded);
        }
        Ok(())
    }

    /// Tries to resume the stream on another engine because the current one is silent or too slow, if the route allows
    /// it. Events of the current engine are relayed until the other one has started; events that both send are relayed
    /// once.
    ///
    /// # Errors
    /// The current engine's stream has ended, or the other engine has started.
    async fn try_failover(
        &mut self,
        caller: &mut CallerStream<'_>,
        live: &mut LiveStream,
    ) -> Result<(), StreamEnd> {
        if self.route.kind != RouteKind::ResumableStream || !self.may_try_again() {
            return Ok(());
        }
        self.excluded.push(live.target_id.clone());
        let deadline = self.deadline;
        let mut outcome = pin!(self.forward(caller.relay.last_event()));
        let mut broken = None;
        loop {
            let may_read = broken.is_none() && caller.may_read();
            tokio::select! {
                biased;
                read = live.response.next(), if may_read => match read {
                    Ok(None) => return Err(stream_end(&caller.relay)),
                    Ok(Some(bytes)) => {
                        match caller.forward(deadline, &bytes).await {
                            Err(StreamEnd::Broken(error)) => broken = Some(error),
                            forwarded => forwarded?,
                        }
                    }
                    Err(error) => broken = Some(error.into()),
                },
                advanced = caller.advance() => advanced?,
                () = sleep_until(deadline) => return Err(StreamEnd::DeadlineExceeded),
                outcome = &mut outcome => return match (outcome, broken) {
                    (ForwardOutcome::Stream(next), _) => Err(StreamEnd::Replaced(next)),
                    (ForwardOutcome::Complete { .. } | ForwardOutcome::Error(_), Some(error)) => {
                        Err(StreamEnd::Broken(error))
                    }
                    (ForwardOutcome::Complete { .. } | ForwardOutcome::Error(_), None) => Ok(()),
                },
            }
        }
    }
}

/// Returns how a stream ended whose engine has sent the end of the body.
fn stream_end(relay: &EventRelay) -> StreamEnd {
    if relay.has_partial() {
        let reason = "stream ended in the middle of an event".to_owned();
        return StreamEnd::Broken(SendError::Unknown(reason));
    }
    StreamEnd::Complete
}
