//! Links to all registries.
//!
//! A gateway is linked to every registry that it knows, since a target that leaves may notify any one of them.
//! Registries may report older or newer states of the same data. Each kind of data has its own order: configurations by
//! version, evacuated zones by log index, announcements by start time and sequence number. Changes of targets that are
//! not urgent come from the registries that [`FeedChoice`] names.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mulberry_directory::{
    FeedRequest, GatewayMessage, LinkMessage, RegistryMessage, read_frame, write_frame,
};
use mulberry_http1::{connect, watch_peer};
use mulberry_quarantine::PartMessage;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout_at};

use crate::feed_choice::FeedChoice;
use crate::registry_lists::RegistryLists;
use crate::settings::REGISTRY_ACK_TIMEOUT;
use crate::shared::Shared;

/// Timeout for connecting to a registry. It is many times the latency between zones, but short compared to the time
/// that a caller waits, since the first packet is lost while a machine is without power.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay before the next connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay before the next connection attempt. It is doubled while a registry drops the link soon after it was made,
/// since one that is overloaded recovers only if fewer gateways return.
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(3_200);

/// Time after which a link counts as stable.
const STABLE_AFTER: Duration = Duration::from_secs(10);

/// Like [`RECONNECT_DELAY`], while no registry is linked and callers wait for one.
const UNLINKED_RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Time without a message after which a link counts as lost; a registry sends one every 700 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);

/// Interval at which the set of registries is checked.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before messages about parts of prompts are sent. Batches the requests of a crashed engine.
const PART_REPORT_DELAY: Duration = Duration::from_millis(20);

/// Reports from the links to their supervisor.
#[derive(Debug)]
enum LinkReport {
    Linked {
        registry: SocketAddr,
    },
    Lost {
        registry: SocketAddr,
    },

    /// A registry reported the addresses of all registries.
    Registries {
        reporter: SocketAddr,
        addresses: Vec<SocketAddr>,
    },
}

/// State that the links share.
#[derive(Debug)]
struct Feeds {
    choice: RefCell<FeedChoice>,
    known: RefCell<BTreeSet<SocketAddr>>,

    /// Signals that a registry is to be asked for other changes.
    has_changed: Notify,
}

/// Maintains a link to each registry until the task is dropped.
pub(crate) async fn run(shared: Rc<Shared>, mut seeds: UnboundedReceiver<Vec<SocketAddr>>) {
    let mut links: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    let mut seed_list = shared.settings.seeds.clone();
    let mut lists = RegistryLists::default();
    let (sender, mut receiver) = unbounded_channel();
    let feeds = Rc::new(Feeds {
        choice: RefCell::new(FeedChoice::new(shared.info().name)),
        known: RefCell::default(),
        has_changed: Notify::new(),
    });
    loop {
        // All of them, so that no link that has just been made is closed.
        while let Ok(report) = receiver.try_recv() {
            record(&mut lists, report);
        }
        for registry in lists.expire(shared.now_ms()) {
            shared.forget_registry(registry);
        }
        let wanted: BTreeSet<SocketAddr> =
            seed_list.iter().copied().chain(lists.addresses()).collect();
        links.retain(|address, link| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                link.abort();
                feeds.choice.borrow_mut().lost(*address);
                shared.fleet.borrow_mut().registry_lost(shared.now_ms(), *address);
            }
            is_wanted
        });
        feeds.known.replace(wanted.clone());
        for address in wanted {
            links.entry(address).or_insert_with(|| {
                let (shared, feeds, sender) = (shared.clone(), feeds.clone(), sender.clone());
                tokio::task::spawn_local(keep_link(shared, feeds, address, sender))
            });
        }
        if feeds.choice.borrow_mut().fill() {
            feeds.has_changed.notify_waiters();
        }
        tokio::select! {
            Some(new) = seeds.recv() => {
                tracing::info!(event = "seeds_changed", seeds = ?new);
                seed_list = new;
            }
            Some(report) = receiver.recv() => record(&mut lists, report),
            () = sleep(SUPERVISE_INTERVAL) => {}
        }
    }
}

fn record(lists: &mut RegistryLists, report: LinkReport) {
    match report {
        LinkReport::Registries { reporter, addresses } => lists.reported(reporter, addresses),
        LinkReport::Linked { registry } => lists.set_linked(registry, true),
        LinkReport::Lost { registry } => lists.set_linked(registry, false),
    }
}

async fn keep_link(
    shared: Rc<Shared>,
    feeds: Rc<Feeds>,
    address: SocketAddr,
    reports: UnboundedSender<LinkReport>,
) {
    let mut is_loss_logged = false;
    let mut reconnect_delay = RECONNECT_DELAY;
    loop {
        let connected = connect(address, CONNECT_TIMEOUT).await;
        let reason = match connected {
            Ok(stream) => {
                tracing::info!(event = "registry_linked", registry = %address);
                is_loss_logged = false;
                shared.links.set(shared.links.get() + 1);
                shared.metrics.links.inc();
                // The receiver is dropped only when the gateway stops.
                let _ = reports.send(LinkReport::Linked { registry: address });
                let linked = Instant::now();
                let request = feeds.choice.borrow_mut().linked(address, &feeds.known.borrow());
                let reason = serve_link(&shared, &feeds, address, stream, request, &reports).await;
                shared.links.set(shared.links.get() - 1);
                shared.metrics.links.dec();
                feeds.choice.borrow_mut().lost(address);
                shared.fleet.borrow_mut().registry_lost(shared.now_ms(), address);
                let _ = reports.send(LinkReport::Lost { registry: address });
                reconnect_delay = match linked.elapsed() < STABLE_AFTER {
                    true => (reconnect_delay * 2).min(MAX_RECONNECT_DELAY),
                    false => RECONNECT_DELAY,
                };
                reason
            }
            Err(error) => {
                reconnect_delay = RECONNECT_DELAY;
                error.to_string()
            }
        };
        if !is_loss_logged {
            is_loss_logged = true;
            tracing::warn!(
                event = "registry_lost",
                registry = %address,
                reason,
                links = shared.links.get()
            );
        }
        let delay =
            if shared.links.get() == 0 { UNLINKED_RECONNECT_DELAY } else { reconnect_delay };
        // Gateways that were cut off together do not return together.
        let spread = if delay > RECONNECT_DELAY { rand::random_range(0.5..1.0) } else { 1.0 };
        sleep(delay.mul_f64(spread)).await;
    }
}

/// Serves a link until it is lost. Returns the reason.
async fn serve_link(
    shared: &Rc<Shared>,
    feeds: &Feeds,
    address: SocketAddr,
    stream: TcpStream,
    mut request: FeedRequest,
    reports: &UnboundedSender<LinkReport>,
) -> String {
    if let Err(error) = watch_peer(&stream, REGISTRY_ACK_TIMEOUT) {
        return error.to_string();
    }
    let (mut reader, mut writer) = stream.into_split();
    let mut sent_info = None;
    let mut buffer = BytesMut::new();

    // Sequence number of the next message about parts, once the registry has shown that it understands them.
    let mut next_part_message = None;
    loop {
        let info = shared.info();
        let wanted = feeds.choice.borrow().request(address);
        let is_changed =
            matches!(wanted, FeedRequest::Digest) != matches!(request, FeedRequest::Digest);
        if sent_info.as_ref() != Some(&info) || is_changed {
            request = wanted;
            tracing::debug!(event = "feed_requested", registry = %address, request = ?request);
            let hello =
                GatewayMessage::Hello { gateway: info.clone(), knows_parts: true, feed: request };
            if let Err(reason) = send(&mut writer, hello).await {
                return reason;
            }
            sent_info = Some(info);
        }
        let silent_at = Instant::now() + SILENCE_TIMEOUT;
        let message = loop {
            let read = tokio::select! {
                () = feeds.has_changed.notified() => break None,
                read = timeout_at(
                    silent_at,
                    read_frame::<RegistryMessage>(&mut reader, &mut buffer),
                ) => read,
                () = has_part_messages(shared, next_part_message) => {
                    if let Err(reason) =
                        send_part_messages(shared, &mut writer, &mut next_part_message).await
                    {
                        return reason;
                    }
                    continue;
                }
            };
            match read {
                Ok(Ok(message)) => break Some(message),
                Ok(Err(error)) => return error.to_string(),
                Err(_) => return format!("silent for {} ms", SILENCE_TIMEOUT.as_millis()),
            }
        };
        let Some(message) = message else { continue };
        if matches!(message, RegistryMessage::PartStatuses(_)) && next_part_message.is_none() {
            let (messages, sequence) = {
                let part_guard = shared.part_guard.borrow();
                (part_guard.messages_for_new_link(shared.part_now_ms()), part_guard.next_sequence())
            };
            next_part_message = Some(sequence);
            if let Err(reason) = send_part_reports(&mut writer, messages).await {
                return reason;
            }
        }
        if let Some(reply) = handle_message(shared, feeds, address, message, reports) {
            if let Err(reason) = send(&mut writer, reply).await {
                return reason;
            }
        }
    }
}

/// Handles a message. Returns the request to send back, if any.
fn handle_message(
    shared: &Rc<Shared>,
    feeds: &Feeds,
    address: SocketAddr,
    message: RegistryMessage,
    reports: &UnboundedSender<LinkReport>,
) -> Option<GatewayMessage> {
    let now_ms = shared.now_ms();
    match message {
        RegistryMessage::Config(config) => {
            shared.apply_config(std::sync::Arc::unwrap_or_clone(config));
        }
        RegistryMessage::ConfigDelta(delta) => {
            let updated = shared.table().and_then(|table| delta.apply(table.config()));
            match updated {
                Some(config) => shared.apply_config(config),
                // Another registry delivered this version first.
                None if delta.version <= shared.config_version() => {}
                None => return Some(GatewayMessage::RequestConfig { held_version: 0 }),
            }
        }
        RegistryMessage::ConfigVersion { version, is_confirmed } => {
            if version <= shared.config_version() {
                shared.record_version_report(address);
            }
            if is_confirmed {
                shared.confirm_config(version);
            }
            if shared.should_request_config(version) {
                return Some(GatewayMessage::RequestConfig {
                    held_version: shared.config_version(),
                });
            }
        }
        RegistryMessage::EvacuatedZones { index, zones } => {
            let zone_names = format!("{zones:?}");
            if shared.fleet.borrow_mut().set_evacuated(index, zones) {
                tracing::info!(event = "zones_evacuated", zones = zone_names, index);
                shared.refresh_engines();
            }
        }
        RegistryMessage::Targets(records) => {
            for record in &records {
                tracing::debug!(
                    event = "target_told",
                    target_id = %record.id,
                    state = ?record.state,
                    sequence = record.sequence,
                    registry = %address
                );
                let known = shared.fleet.borrow().get(&record.id).map(|known| known.started_ms);
                if known.is_some_and(|started_ms| started_ms < record.started_ms) {
                    shared.health.borrow_mut().restarted(&record.id);
                }
            }
            if shared.fleet.borrow_mut().apply_announcements(now_ms, records) {
                shared.refresh_engines();
            }
        }
        RegistryMessage::RestoredTargets(records) => {
            shared.fleet.borrow_mut().add_restored(address, records);
            apply_majority_targets(shared);
        }
        RegistryMessage::RestoredTargetKeys(keys) => {
            shared.fleet.borrow_mut().add_restored_keys(address, keys);
            apply_majority_targets(shared);
        }
        RegistryMessage::RestoredTargetsSeen(ids) => {
            if shared.fleet.borrow_mut().confirm_seen(now_ms, &ids) {
                shared.refresh_engines();
            }
        }
        RegistryMessage::SilentTargets(ids) => {
            shared.fleet.borrow_mut().set_silent(now_ms, address, ids);
            shared.refresh_engines();
        }
        RegistryMessage::SilentTargetsChanged { added, removed } => {
            shared.fleet.borrow_mut().change_silent(now_ms, address, added, &removed);
            shared.refresh_engines();
        }
        RegistryMessage::Gateways(gateways) => {
            let has_changed = shared.fleet.borrow_mut().set_gateways(address, gateways);
            log_gateways(shared, address, has_changed);
        }
        RegistryMessage::GatewaysChanged(changes) => {
            let has_changed = shared.fleet.borrow_mut().change_gateways(address, changes);
            log_gateways(shared, address, has_changed);
        }
        RegistryMessage::FeedPosition(position) => {
            feeds.choice.borrow_mut().received(address, position);
        }
        RegistryMessage::TargetDigest(digest) => {
            let own = shared.fleet.borrow_mut().target_digest();
            if feeds.choice.borrow_mut().compare(address, digest, own) {
                tracing::info!(
                    event = "targets_differ",
                    registry = %address,
                    count = digest.count,
                    own_count = own.count
                );
            }
        }
        RegistryMessage::PartStatuses(statuses) => {
            shared.receive_part_statuses(address, &statuses);
        }
        RegistryMessage::Registries(addresses) => {
            shared.set_registry_count(address, addresses.len());
            apply_majority_targets(shared);
            // The receiver is dropped only when the gateway stops.
            let _ = reports.send(LinkReport::Registries { reporter: address, addresses });
        }
    }
    None
}

/// Makes the targets usable that most registries restored from storage at their start.
fn apply_majority_targets(shared: &Shared) {
    let registries = shared.registry_count();
    if shared.fleet.borrow_mut().confirm_by_majority(shared.now_ms(), registries) {
        shared.refresh_engines();
    }
}

fn log_gateways(shared: &Shared, registry: SocketAddr, has_changed: bool) {
    if has_changed {
        let count = shared.fleet.borrow().gateways().count();
        tracing::info!(event = "gateways_changed", count, registry = %registry);
    }
}

/// Waits until there are messages about parts from sequence number `next` on, and a little longer for more of them.
async fn has_part_messages(shared: &Shared, next: Option<u64>) {
    let Some(next) = next else { return std::future::pending().await };
    loop {
        let added = shared.part_messages_added.notified();
        if shared.part_guard.borrow().next_sequence() > next {
            return sleep(PART_REPORT_DELAY).await;
        }
        added.await;
    }
}

async fn send_part_messages(
    shared: &Shared,
    writer: &mut OwnedWriteHalf,
    next: &mut Option<u64>,
) -> Result<(), String> {
    let messages = {
        let part_guard = shared.part_guard.borrow();
        let messages = part_guard.messages_since(next.unwrap_or(0));
        *next = Some(part_guard.next_sequence());
        messages
    };
    send_part_reports(writer, messages).await
}

async fn send_part_reports(
    writer: &mut OwnedWriteHalf,
    messages: Vec<PartMessage>,
) -> Result<(), String> {
    let (mut crashes, mut statuses) = (Vec::new(), Vec::new());
    for message in messages {
        match message {
            PartMessage::Crash(crash) => crashes.push(crash),
            PartMessage::Status(status) => statuses.push(status),
        }
    }
    if crashes.is_empty() && statuses.is_empty() {
        return Ok(());
    }
    send(writer, GatewayMessage::PartReports { crashes, statuses }).await
}

async fn send(writer: &mut OwnedWriteHalf, message: GatewayMessage) -> Result<(), String> {
    let sent = write_frame(writer, &LinkMessage::<()>::Gateway(message)).await;
    sent.map_err(|error| error.to_string())
}
