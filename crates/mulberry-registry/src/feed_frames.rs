//! Encoded parts of the feed of targets, shared by all links that are at the same position.

use std::collections::HashMap;

use bytes::Bytes;
use mulberry_directory::{RegistryMessage, encode_frame};

use crate::gateway_links::LinkSources;
use crate::target_feed::FeedContent;

/// Maximum number of changes in one frame. Between two frames, more urgent messages are sent.
pub(crate) const MAX_FRAME_CHANGES: usize = 512;

/// Maximum number of frames that are kept.
const MAX_FRAMES: usize = 32;

/// Age after which a frame is encoded anew, since remaining cold times count from its arrival.
pub(crate) const MAX_AGE_MS: u64 = 400;

/// Encoded parts of the feed by start position.
#[derive(Debug, Default)]
pub(crate) struct FeedFrames {
    frames: HashMap<(u64, FeedContent), FeedFrame>,

    /// Number of frames encoded since the start.
    encoded: u64,
}

/// An encoded part of the feed.
#[derive(Debug, Clone)]
pub(crate) struct FeedFrame {
    /// Empty if the part contains nothing for the reader.
    pub bytes: Bytes,

    /// Position after this part.
    pub position: u64,

    made_ms: u64,
}

impl FeedFrames {
    /// The part of the feed after `after`, up to `until` at most.
    pub(crate) fn get(
        &mut self,
        now_ms: u64,
        sources: LinkSources<'_>,
        after: u64,
        until: u64,
        content: FeedContent,
    ) -> FeedFrame {
        let is_fresh = |frame: &&FeedFrame| frame.made_ms + MAX_AGE_MS > now_ms;
        if let Some(frame) = self.frames.get(&(after, content)).filter(is_fresh) {
            return frame.clone();
        }
        let LinkSources { feed, targets, .. } = sources;
        let batch = feed.batch(targets, after, until, MAX_FRAME_CHANGES, content);
        let mut messages = Vec::new();
        if !batch.records.is_empty() {
            messages.push(RegistryMessage::Targets(batch.records));
        }
        if !batch.seen.is_empty() {
            messages.push(RegistryMessage::RestoredTargetsSeen(batch.seen));
        }
        let bytes = encode_all(&messages);
        self.encoded += 1;
        if self.frames.len() >= MAX_FRAMES {
            self.frames.clear();
        }
        let frame = FeedFrame { bytes, position: batch.position, made_ms: now_ms };
        self.frames.insert((after, content), frame.clone());
        frame
    }

    /// Number of frames encoded since the start.
    pub(crate) fn encoded(&self) -> u64 {
        self.encoded
    }
}

/// Encodes messages as one run of frames.
pub(crate) fn encode_all(messages: &[RegistryMessage]) -> Bytes {
    let mut bytes = Vec::new();
    for message in messages {
        if let Err(error) = encode_frame(message, &mut bytes) {
            tracing::error!(event = "gateway_message_not_encoded", %error);
        }
    }
    bytes.into()
}
