//! Connections from gateways to this registry, and what each still has to get.
//!
//! A link has no queue of target changes: it has a position in the [`TargetFeed`], and its messages are put together
//! when it can send. A gateway that reads slowly costs a position, and gets what it missed as one record of each target.
//! Urgent messages are taken first, at each step: versions, evacuated zones, departures. Changes of targets and
//! gateways follow in batches, whose interval grows with the number of links, and links that are far behind take turns.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use mulberry_directory::{
    FeedPosition, FeedRequest, GatewayInfo, GatewayList, RegistryMessage, TargetKeys, TargetRecord,
    TargetTable,
};
use tokio::sync::Notify;

use crate::feed_frames::{FeedFrames, MAX_AGE_MS, MAX_FRAME_CHANGES, encode_all};
use crate::gateway_link::{GatewayLink, LinkFrame, LinkFrameKind, SilentTargets};
use crate::restored_targets::RestoredTargets;
use crate::target_feed::TargetFeed;

/// Contribution of each link to the interval between batches: sending one takes about a tenth of it.
const BATCH_INTERVAL_MS_PER_LINK: u64 = 2;

/// Maximum interval between batches.
const MAX_BATCH_INTERVAL_MS: u64 = 700;

/// Maximum number of links that get more than one frame of changes at the same time.
const MAX_CATCHING_UP: usize = 8;

/// A message of which a gateway needs only the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LatestMessage {
    Registries,
    EvacuatedZones,
    ConfigVersion,
    TargetDigest,
}

/// Number of variants of [`LatestMessage`].
const LATEST_COUNT: usize = 4;

/// Connections from gateways to this registry.
#[derive(Debug, Default)]
pub(crate) struct GatewayLinks {
    last_id: u64,
    links: HashMap<u64, GatewayLink>,
    latest: [Bytes; LATEST_COUNT],

    /// Position up to which changes of targets may be sent.
    published: u64,

    published_gateways: Arc<GatewayList>,
    flushed_ms: Option<u64>,
    frames: FeedFrames,

    /// Encoded changes between two lists of gateways, by the address of the earlier list.
    gateway_frames: Vec<(Option<Arc<GatewayList>>, Bytes)>,

    published_silent: Arc<SilentTargets>,

    /// Encoded changes between two lists of silent targets, by the earlier list. For older gateways the whole list.
    silent_frames: Vec<(Option<Arc<SilentTargets>>, Bytes)>,

    /// Encoded restored targets: records, and keys.
    restored_frames: [Option<RestoredFrame>; 2],

    catching_up: BTreeSet<u64>,
    waiting: VecDeque<u64>,
}

/// Encoded restored targets.
#[derive(Debug, Clone)]
struct RestoredFrame {
    bytes: Bytes,
    count: usize,

    /// Position of the feed at which it was encoded.
    position: u64,

    made_ms: u64,
}

/// State of a registry that links are served from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LinkSources<'a> {
    pub feed: &'a TargetFeed,
    pub targets: &'a TargetTable,
    pub restored: &'a RestoredTargets,
}

/// Sizes of what is still to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct LinkLoad {
    pub catching_up: usize,
    pub waiting: usize,

    /// Encoded parts of the feed since the start.
    pub encoded_frames: u64,
}

/// The id of an added link, and the signal that it has something to send.
#[derive(Debug)]
pub(crate) struct AddedLink {
    pub id: u64,
    pub wake: Rc<Notify>,
}

impl GatewayLinks {
    pub(crate) fn add(
        &mut self,
        info: GatewayInfo,
        knows_parts: bool,
        request: FeedRequest,
        feed: &TargetFeed,
    ) -> AddedLink {
        self.last_id += 1;
        // A gateway may reconnect before this side notices that the previous connection is lost.
        let replaced = self.links.iter().filter(|(_, link)| link.info.name == info.name);
        let replaced: Vec<u64> = replaced.map(|(id, _)| *id).collect();
        for id in replaced {
            self.remove(id);
        }
        let wake = Rc::new(Notify::new());
        let mut link = GatewayLink::new(info, knows_parts, wake.clone());
        link.latest_due = (1 << LATEST_COUNT) - 1;
        link.request(request, feed.resume(resume_of(request)), self.published);
        self.links.insert(self.last_id, link);
        wake.notify_one();
        AddedLink { id: self.last_id, wake }
    }

    /// Handles a repeated hello.
    pub(crate) fn update(
        &mut self,
        id: u64,
        info: GatewayInfo,
        request: FeedRequest,
        feed: &TargetFeed,
    ) {
        let published = self.published;
        if let Some(link) = self.links.get_mut(&id) {
            link.info = info;
            link.request(request, feed.resume(resume_of(request)), published);
            link.wake.notify_one();
        }
    }

    /// Returns whether the link existed.
    pub(crate) fn remove(&mut self, id: u64) -> bool {
        self.catching_up.remove(&id);
        self.waiting.retain(|waiting| *waiting != id);
        self.wake_waiting();
        let removed = self.links.remove(&id);
        if let Some(link) = &removed {
            // Its task ends once it finds that the link is gone.
            link.wake.notify_one();
        }
        removed.is_some()
    }

    /// Sends a message to one gateway, before changes of targets.
    pub(crate) fn send(&mut self, id: u64, kind: LinkFrameKind, bytes: Bytes) {
        let Some(link) = self.links.get_mut(&id) else { return };
        if kind == LinkFrameKind::Parts && !link.knows_parts {
            return;
        }
        if !link.push(LinkFrame { kind, bytes }) {
            tracing::warn!(event = "gateway_cut_off", gateway = %link.info.name);
            self.remove(id);
        }
    }

    /// Sends a message about parts of prompts to all gateways that understand it.
    pub(crate) fn send_parts(&mut self, message: &RegistryMessage) {
        let bytes = encode_all(std::slice::from_ref(message));
        let ids: Vec<u64> = self.links.keys().copied().collect();
        ids.into_iter().for_each(|id| self.send(id, LinkFrameKind::Parts, bytes.clone()));
    }

    /// Replaces a message of which gateways need only the newest, and sends it to all.
    pub(crate) fn send_latest(&mut self, kind: LatestMessage, message: &RegistryMessage) {
        self.set_latest(kind, message);
        for link in self.links.values_mut() {
            link.latest_due |= 1 << kind as usize;
            link.wake.notify_one();
        }
    }

    /// Replaces a message that gateways get when they are linked.
    pub(crate) fn set_latest(&mut self, kind: LatestMessage, message: &RegistryMessage) {
        self.latest[kind as usize] = encode_all(std::slice::from_ref(message));
    }

    /// Sends departures to all gateways at once. `position` is the feed's position before these changes.
    pub(crate) fn send_departures(
        &mut self,
        message: &RegistryMessage,
        position: u64,
        feed: &TargetFeed,
    ) {
        let bytes = encode_all(std::slice::from_ref(message));
        for link in self.links.values_mut() {
            link.push_departure(bytes.clone(), position, feed.last());
        }
    }

    /// Whether enough time has passed since the last batch.
    pub(crate) fn is_flush_due(&self, now_ms: u64) -> bool {
        let interval_ms =
            (self.links.len() as u64 * BATCH_INTERVAL_MS_PER_LINK).min(MAX_BATCH_INTERVAL_MS);
        self.flushed_ms.is_none_or(|at_ms| at_ms + interval_ms <= now_ms)
    }

    /// Releases all changes of targets, and of the gateways if `gateways` has changed.
    pub(crate) fn flush(&mut self, now_ms: u64, feed: &TargetFeed, gateways: Option<GatewayList>) {
        self.flushed_ms = Some(now_ms);
        self.published = feed.last();
        if let Some(gateways) = gateways.filter(|gateways| *gateways != *self.published_gateways) {
            self.published_gateways = Arc::new(gateways);
            self.gateway_frames.clear();
        }
        for link in self.links.values() {
            if link.position < self.published || !link.has_gateways(&self.published_gateways) {
                link.wake.notify_one();
            }
        }
    }

    pub(crate) fn published(&self) -> u64 {
        self.published
    }

    /// Takes the messages that a link is to send next. `None` if the link is gone.
    pub(crate) fn take(
        &mut self,
        now_ms: u64,
        id: u64,
        sources: LinkSources<'_>,
    ) -> Option<Vec<LinkFrame>> {
        let mut link = self.links.remove(&id)?;
        let mut frames = link.take_urgent();
        for (index, bytes) in self.latest.iter().enumerate() {
            let is_digest = index == LatestMessage::TargetDigest as usize;
            if link.latest_due & (1 << index) != 0 && (!is_digest || link.is_digest_only()) {
                frames.push(LinkFrame { kind: LinkFrameKind::Latest, bytes: bytes.clone() });
            }
        }
        link.latest_due = 0;
        // Encoded before the changes, so that a restored target that is seen meanwhile is in these, as a record.
        let restored = link
            .restored_position
            .is_none()
            .then(|| self.restored_frame(now_ms, sources, link.is_digest_only()));
        self.take_changes(now_ms, id, &mut link, sources, &mut frames);
        if let Some(restored) = restored {
            link.restored_position = Some(restored.position);
            frames.push(LinkFrame { kind: LinkFrameKind::Restored, bytes: restored.bytes });
        }
        if !link.silent.as_ref().is_some_and(|sent| Arc::ptr_eq(sent, &self.published_silent)) {
            let bytes = self.silent_frame(link.silent.as_ref().filter(|_| !link.is_plain()));
            link.silent = Some(self.published_silent.clone());
            frames.push(LinkFrame { kind: LinkFrameKind::Silent, bytes });
        }
        if !link.has_gateways(&self.published_gateways) {
            let bytes = self.gateways_frame(link.gateways.as_ref());
            link.gateways = Some(self.published_gateways.clone());
            frames.push(LinkFrame { kind: LinkFrameKind::Gateways, bytes });
        }
        frames.retain(|frame| !frame.bytes.is_empty());
        self.links.insert(id, link);
        Some(frames)
    }

    fn take_changes(
        &mut self,
        now_ms: u64,
        id: u64,
        link: &mut GatewayLink,
        sources: LinkSources<'_>,
        frames: &mut Vec<LinkFrame>,
    ) {
        let feed = sources.feed;
        let until = self.published;
        if link.is_digest_only() {
            link.position = link.position.max(until);
        }
        if link.position >= until {
            self.caught_up(id);
            return;
        }
        let content = link.content();
        let is_bulk = feed.has_more_after(link.position, MAX_FRAME_CHANGES);
        if is_bulk && !self.has_turn(id) {
            return;
        }
        let mut frame = self.frames.get(now_ms, sources, link.position, until, content);
        while frame.bytes.is_empty() && frame.position < until {
            frame = self.frames.get(now_ms, sources, frame.position, until, content);
        }
        link.position = frame.position;
        frames.push(LinkFrame { kind: LinkFrameKind::Changes, bytes: frame.bytes });
        if !link.is_plain() {
            let message = RegistryMessage::FeedPosition(feed.position(link.position));
            let bytes = encode_all(std::slice::from_ref(&message));
            frames.push(LinkFrame { kind: LinkFrameKind::Changes, bytes });
        }
        if link.position < until {
            // The rest follows after what has become urgent meanwhile.
            link.wake.notify_one();
        } else {
            self.caught_up(id);
        }
    }

    /// Whether a link that is far behind may take changes now. Otherwise it is woken when its turn comes.
    fn has_turn(&mut self, id: u64) -> bool {
        if self.catching_up.contains(&id) {
            return true;
        }
        let place = self.waiting.iter().position(|waiting| *waiting == id);
        if place.unwrap_or(self.waiting.len()) < MAX_CATCHING_UP - self.catching_up.len() {
            self.waiting.retain(|waiting| *waiting != id);
            self.catching_up.insert(id);
            return true;
        }
        if place.is_none() {
            self.waiting.push_back(id);
        }
        false
    }

    fn caught_up(&mut self, id: u64) {
        if self.catching_up.remove(&id) {
            self.wake_waiting();
        }
    }

    /// Wakes the waiting links that may take changes now.
    fn wake_waiting(&self) {
        let free = MAX_CATCHING_UP - self.catching_up.len();
        for id in self.waiting.iter().take(free) {
            if let Some(link) = self.links.get(id) {
                link.wake.notify_one();
            }
        }
    }

    fn restored_frame(
        &mut self,
        now_ms: u64,
        sources: LinkSources<'_>,
        as_keys: bool,
    ) -> RestoredFrame {
        let count = sources.restored.records().count();
        // Targets that were seen meanwhile do no harm: a link that gets this frame gets their records as well.
        let is_fresh = |frame: &&RestoredFrame| {
            frame.made_ms + MAX_AGE_MS > now_ms && frame.count.abs_diff(count) <= frame.count / 8
        };
        let cached = &mut self.restored_frames[usize::from(as_keys)];
        if let Some(frame) = cached.as_ref().filter(is_fresh) {
            return frame.clone();
        }
        let records: Vec<TargetRecord> = sources.restored.records().cloned().collect();
        let message = match as_keys {
            true => RegistryMessage::RestoredTargetKeys(TargetKeys::new(
                records.iter().map(|record| &*record.id),
            )),
            false => RegistryMessage::RestoredTargets(records.clone()),
        };
        let is_needed = as_keys || !records.is_empty();
        let bytes = if is_needed { encode_all(&[message]) } else { Bytes::new() };
        let frame = RestoredFrame { bytes, count, position: sources.feed.last(), made_ms: now_ms };
        *cached = Some(frame.clone());
        frame
    }

    /// Replaces the list of silent targets, and sends all gateways the changes.
    pub(crate) fn send_silent(&mut self, silent: SilentTargets) {
        self.published_silent = Arc::new(silent);
        self.silent_frames.clear();
        for link in self.links.values() {
            link.wake.notify_one();
        }
    }

    pub(crate) fn silent(&self) -> &SilentTargets {
        &self.published_silent
    }

    fn silent_frame(&mut self, from: Option<&Arc<SilentTargets>>) -> Bytes {
        if let Some((_, bytes)) =
            self.silent_frames.iter().find(|(known, _)| is_same(known.as_ref(), from))
        {
            return bytes.clone();
        }
        let without = |list: &SilentTargets, other: &SilentTargets| -> SilentTargets {
            list.iter().filter(|id| other.binary_search(id).is_err()).cloned().collect()
        };
        let message = match from {
            Some(from) => RegistryMessage::SilentTargetsChanged {
                added: without(&self.published_silent, from),
                removed: without(from, &self.published_silent),
            },
            None => RegistryMessage::SilentTargets(self.published_silent.to_vec()),
        };
        let bytes = encode_all(&[message]);
        self.silent_frames.push((from.cloned(), bytes.clone()));
        bytes
    }

    fn gateways_frame(&mut self, from: Option<&Arc<GatewayList>>) -> Bytes {
        if let Some((_, bytes)) =
            self.gateway_frames.iter().find(|(known, _)| is_same(known.as_ref(), from))
        {
            return bytes.clone();
        }
        let message = match from {
            Some(from) => {
                from.changes_to(&self.published_gateways).map(RegistryMessage::GatewaysChanged)
            }
            None => {
                Some(RegistryMessage::Gateways(self.published_gateways.infos().cloned().collect()))
            }
        };
        let bytes = message.map_or_else(Bytes::new, |message| encode_all(&[message]));
        self.gateway_frames.push((from.cloned(), bytes.clone()));
        bytes
    }

    /// Makes the next link get the restored targets as they are now, and all linked gateways as well.
    pub(crate) fn resend_restored(&mut self) {
        self.restored_frames = [None, None];
        for link in self.links.values_mut() {
            link.restored_position = None;
            link.wake.notify_one();
        }
    }

    pub(crate) fn load(&self) -> LinkLoad {
        LinkLoad {
            catching_up: self.catching_up.len(),
            waiting: self.waiting.len(),
            encoded_frames: self.frames.encoded(),
        }
    }

    /// Gateways by name.
    pub(crate) fn infos(&self) -> Vec<GatewayInfo> {
        let mut infos: Vec<GatewayInfo> =
            self.links.values().map(|link| link.info.clone()).collect();
        infos.sort_by(|a, b| a.name.cmp(&b.name));
        infos
    }
}

/// Whether a link was sent the same list as another.
fn is_same<T>(a: Option<&Arc<T>>, b: Option<&Arc<T>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b),
        (a, b) => a.is_none() && b.is_none(),
    }
}

fn resume_of(request: FeedRequest) -> Option<FeedPosition> {
    match request {
        FeedRequest::Full { resume } => resume,
        FeedRequest::Plain | FeedRequest::Digest => None,
    }
}
