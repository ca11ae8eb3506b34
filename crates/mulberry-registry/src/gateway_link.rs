//! What one gateway still has to get.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use mulberry_directory::{FeedRequest, GatewayInfo, GatewayList};
use tokio::sync::Notify;

use crate::target_feed::FeedContent;

/// Maximum number of queued configurations and messages about parts. A gateway that reads none of them for so long is
/// disconnected.
const MAX_QUEUED_FRAMES: usize = 256;

/// Maximum number of departures that wait to be sent ahead of the feed, which holds them as well.
const MAX_QUEUED_DEPARTURES: usize = 256;

/// Encoded messages for a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LinkFrame {
    pub kind: LinkFrameKind,
    pub bytes: Bytes,
}

/// What a frame holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkFrameKind {
    /// A configuration.
    Config,

    /// Parts of prompts that crash engines.
    Parts,

    /// Departures, ahead of the feed.
    Departures,

    /// Versions and other small state of which only the newest counts.
    Latest,

    /// Changes of targets.
    Changes,

    /// Targets restored from disk.
    Restored,

    /// Silent targets.
    Silent,

    /// Gateways.
    Gateways,
}

impl LinkFrameKind {
    /// Name of the kind in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            LinkFrameKind::Config => "config",
            LinkFrameKind::Parts => "parts",
            LinkFrameKind::Departures => "departures",
            LinkFrameKind::Latest => "state",
            LinkFrameKind::Changes => "changes",
            LinkFrameKind::Restored => "restored",
            LinkFrameKind::Silent => "silent",
            LinkFrameKind::Gateways => "gateways",
        }
    }
}

/// Ids of silent targets, in ascending order.
pub(crate) type SilentTargets = Vec<Arc<str>>;

/// A gateway's link.
#[derive(Debug)]
pub(crate) struct GatewayLink {
    pub info: GatewayInfo,

    /// Whether the gateway understands messages about parts of prompts.
    pub knows_parts: bool,

    pub wake: Rc<Notify>,

    /// Bit set of the [`crate::gateway_links::LatestMessage`]s to send.
    pub latest_due: u8,

    /// Position in the feed of targets up to which it was sent.
    pub position: u64,

    /// Position at which the sent restored targets were encoded. `None` until they are sent.
    pub restored_position: Option<u64>,

    /// Gateways last sent.
    pub gateways: Option<Arc<GatewayList>>,

    /// Silent targets last sent.
    pub silent: Option<Arc<SilentTargets>>,

    request: FeedRequest,
    queue: VecDeque<LinkFrame>,

    /// Departures with the position of the feed before each.
    departures: VecDeque<(u64, Bytes)>,
}

impl GatewayLink {
    pub(crate) fn new(info: GatewayInfo, knows_parts: bool, wake: Rc<Notify>) -> GatewayLink {
        GatewayLink {
            info,
            knows_parts,
            wake,
            latest_due: 0,
            position: 0,
            restored_position: None,
            gateways: None,
            silent: None,
            request: FeedRequest::Digest,
            queue: VecDeque::new(),
            departures: VecDeque::new(),
        }
    }

    /// Handles which changes the gateway wants. `resumed` is the position at which a full feed begins.
    pub(crate) fn request(&mut self, request: FeedRequest, resumed: u64, published: u64) {
        let was_digest = self.is_digest_only();
        self.request = request;
        if self.is_digest_only() {
            self.position = self.position.max(published);
        } else if was_digest {
            self.position = resumed;
            self.restored_position = None;
        }
    }

    pub(crate) fn is_digest_only(&self) -> bool {
        self.request == FeedRequest::Digest
    }

    /// Whether the gateway is of a version that knows nothing of feeds.
    pub(crate) fn is_plain(&self) -> bool {
        self.request == FeedRequest::Plain
    }

    /// Which content of the feed it gets next.
    pub(crate) fn content(&self) -> FeedContent {
        let has_restored = self.restored_position.is_some_and(|position| position <= self.position);
        if has_restored { FeedContent::IdsOfRestored } else { FeedContent::All }
    }

    pub(crate) fn has_gateways(&self, published: &Arc<GatewayList>) -> bool {
        self.gateways.as_ref().is_some_and(|sent| Arc::ptr_eq(sent, published))
    }

    /// Queues a message ahead of the feed. False if the queue is full.
    pub(crate) fn push(&mut self, frame: LinkFrame) -> bool {
        self.queue.push_back(frame);
        self.wake.notify_one();
        self.queue.len() <= MAX_QUEUED_FRAMES
    }

    /// Queues departures, which are the changes after `before` and up to `last` of the feed.
    pub(crate) fn push_departure(&mut self, bytes: Bytes, before: u64, last: u64) {
        self.departures.push_back((before, bytes));
        if self.position >= before {
            self.position = last;
        }
        if self.departures.len() > MAX_QUEUED_DEPARTURES {
            let first = self.departures.front().map_or(0, |(before, _)| *before);
            self.departures.clear();
            if self.is_digest_only() {
                // The gateway finds out by the digest.
            } else {
                self.position = self.position.min(first);
            }
        }
        self.wake.notify_one();
    }

    /// Takes the messages that go ahead of the feed.
    pub(crate) fn take_urgent(&mut self) -> Vec<LinkFrame> {
        let departures = self.departures.drain(..);
        let departures =
            departures.map(|(_, bytes)| LinkFrame { kind: LinkFrameKind::Departures, bytes });
        departures.chain(self.queue.drain(..)).collect()
    }
}
