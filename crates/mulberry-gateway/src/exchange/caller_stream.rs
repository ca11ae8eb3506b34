//! The caller's side of a stream: which bytes it gets, and how far it is behind.

use mulberry_http1::{Http1Connection, ResponseHead, encode_chunk};
use tokio::time::{Instant, timeout_at};

use super::relay::StreamEnd;
use crate::EventRelay;
use crate::attempt::SendError;
use crate::caller_outbox::{CallerEnd, CallerOutbox};

/// Writes whole events to a caller.
pub(super) struct CallerStream<'a> {
    pub client: &'a mut Http1Connection,

    /// The head, until it has been sent.
    pub head: Option<ResponseHead>,

    pub relay: EventRelay,

    /// What the caller has not taken yet; without it each write waits for the caller.
    pub outbox: Option<CallerOutbox>,
}

impl From<CallerEnd> for StreamEnd {
    fn from(end: CallerEnd) -> StreamEnd {
        match end {
            CallerEnd::Gone => StreamEnd::ClientDisconnected,
            CallerEnd::MemoryUsedUp => StreamEnd::MemoryUsedUp,
        }
    }
}

impl CallerStream<'_> {
    /// Writes the complete events in `received`, preceded by the head if it has not been sent.
    pub(super) async fn forward(
        &mut self,
        deadline: Instant,
        received: &[u8],
    ) -> Result<(), StreamEnd> {
        let mut events = Vec::new();
        let pushed = self.relay.push(received, &mut events);
        if !events.is_empty() {
            let mut out = Vec::with_capacity(events.len() + 512);
            if let Some(head) = self.head.take() {
                head.encode(&mut out);
            }
            encode_chunk(&events, &mut out);
            match &mut self.outbox {
                Some(outbox) => outbox.send(self.client, &out)?,
                None => match timeout_at(deadline, self.client.write_all(&out)).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Err(StreamEnd::ClientDisconnected),
                    Err(_) => return Err(StreamEnd::DeadlineExceeded),
                },
            }
        }
        pushed.map_err(|error| StreamEnd::Broken(SendError::Unknown(error.to_string())))
    }

    /// Writes the end of the body.
    pub(super) async fn finish(&mut self, deadline: Instant) -> Result<(), StreamEnd> {
        let mut bytes = Vec::new();
        if let Some(head) = self.head.take() {
            head.encode(&mut bytes);
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        match &mut self.outbox {
            Some(outbox) => outbox.send(self.client, &bytes)?,
            None => {
                let written = self.client.write_all(&bytes).await;
                return written.map_err(|_| StreamEnd::ClientDisconnected);
            }
        }
        self.drain(deadline).await
    }

    /// Hands out what is kept, until the deadline.
    pub(super) async fn drain(&mut self, deadline: Instant) -> Result<(), StreamEnd> {
        let Some(outbox) = self.outbox.as_mut().filter(|outbox| !outbox.is_empty()) else {
            return Ok(());
        };
        outbox.hold().set_ready();
        match timeout_at(deadline, outbox.drain(self.client)).await {
            Ok(drained) => Ok(drained?),
            Err(_) => Err(StreamEnd::CallerTooSlow),
        }
    }

    /// Hands out a part of what is kept; waits if nothing is. An error says that the caller gets nothing more.
    pub(super) async fn advance(&mut self) -> Result<(), StreamEnd> {
        match &mut self.outbox {
            Some(outbox) => Ok(outbox.advance(self.client).await?),
            None => {
                self.client.wait_closed().await;
                Err(StreamEnd::ClientDisconnected)
            }
        }
    }

    /// Hands out what is kept until the caller gets nothing more.
    pub(super) async fn advance_to_end(&mut self) -> StreamEnd {
        loop {
            if let Err(end) = self.advance().await {
                return end;
            }
        }
    }

    /// Bytes that the caller has not taken.
    pub(super) fn held_bytes(&self) -> usize {
        self.outbox.as_ref().map_or(0, |outbox| outbox.hold().held_bytes())
    }

    /// Whether the target may be read.
    pub(super) fn may_read(&self) -> bool {
        self.outbox.as_ref().is_none_or(|outbox| outbox.hold().may_read())
    }
}
