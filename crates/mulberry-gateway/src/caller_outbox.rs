//! Bytes of a stream that its caller has not taken yet.

use std::io;

use mulberry_http1::Http1Connection;

use crate::PartQueue;
use crate::held_memory::StreamHold;

/// Reads ahead of one caller. Bytes that the connection takes at once are never kept.
#[derive(Debug)]
pub(crate) struct CallerOutbox {
    queue: PartQueue,
    hold: StreamHold,
}

/// Why a caller gets nothing more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerEnd {
    /// The caller has closed its connection, or it failed.
    Gone,

    /// The stream was chosen to end, since the memory is used up.
    MemoryUsedUp,
}

impl From<io::Error> for CallerEnd {
    fn from(_: io::Error) -> CallerEnd {
        CallerEnd::Gone
    }
}

impl CallerOutbox {
    pub(crate) fn new(hold: StreamHold) -> CallerOutbox {
        CallerOutbox { queue: PartQueue::default(), hold }
    }

    pub(crate) fn hold(&self) -> &StreamHold {
        &self.hold
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Sends what the connection takes at once and keeps the rest.
    ///
    /// # Errors
    /// The caller is gone.
    pub(crate) fn send(&mut self, client: &Http1Connection, bytes: &[u8]) -> Result<(), CallerEnd> {
        while let Some(part) = self.queue.front() {
            let sent = client.try_write(part)?;
            if sent == 0 {
                break;
            }
            self.take(sent);
        }
        let sent = if self.queue.is_empty() { client.try_write(bytes)? } else { 0 };
        let grown_bytes = self.queue.push(&bytes[sent..]);
        if grown_bytes > 0 {
            self.hold.hold(grown_bytes);
        }
        Ok(())
    }

    /// Sends a part of what is kept once the caller takes any.
    ///
    /// # Errors
    /// The caller is gone, or the stream must end.
    pub(crate) async fn advance(&mut self, client: &mut Http1Connection) -> Result<(), CallerEnd> {
        let Some(part) = self.queue.front() else {
            client.wait_closed().await;
            return Err(CallerEnd::Gone);
        };
        let sent = tokio::select! {
            biased;
            sent = client.write_part(part) => sent?,
            () = self.hold.ending() => return Err(CallerEnd::MemoryUsedUp),
        };
        self.take(sent);
        Ok(())
    }

    /// Sends all that is kept.
    ///
    /// # Errors
    /// As [`Self::advance`].
    pub(crate) async fn drain(&mut self, client: &mut Http1Connection) -> Result<(), CallerEnd> {
        while !self.is_empty() {
            self.advance(client).await?;
        }
        Ok(())
    }

    fn take(&mut self, count: usize) {
        let freed_bytes = self.queue.take(count);
        if freed_bytes > 0 {
            self.hold.release(freed_bytes);
        }
    }
}
