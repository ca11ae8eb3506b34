//! Links to all registries.
//!
//! A gateway listens to every registry that it knows: a target that leaves may have told any of them. Messages of
//! several registries may contradict each other only in age, and each kind is ordered by itself: configurations by
//! version, evacuated zones by index, announcements by start and sequence.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mulberry_directory::{GatewayMessage, LinkMessage, RegistryMessage, read_frame, write_frame};
use mulberry_http1::{connect, watch_peer};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::settings::PEER_UNANSWERED;
use crate::shared::Shared;

/// Time for a connection to a registry to be made; many times the way between zones, and short against the wait of a
/// caller, as the first packet is lost while a machine is without power.
const CONNECT: Duration = Duration::from_millis(200);

/// Pause before the next attempt.
const RECONNECT: Duration = Duration::from_millis(200);

/// The same while no registry is linked: callers wait for it.
const FIRST_RECONNECT: Duration = Duration::from_millis(50);

/// Time without a message after which a link counts as lost; a registry sends one every 700 ms.
const SILENCE: Duration = Duration::from_millis(2_200);

/// Time between two looks at the set of registries.
const SUPERVISE: Duration = Duration::from_millis(250);

/// What the links tell their supervisor.
#[derive(Debug)]
enum Told {
    Registries { by: SocketAddr, all: Vec<SocketAddr> },
}

/// Keeps a link to each registry, for good.
pub(crate) async fn run(shared: Rc<Shared>, mut seeds: UnboundedReceiver<Vec<SocketAddr>>) {
    let mut links: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    let mut seed_list = shared.settings.seeds.clone();
    let mut told: HashMap<SocketAddr, Vec<SocketAddr>> = HashMap::new();
    let (sender, mut receiver) = unbounded_channel();
    loop {
        let wanted: BTreeSet<SocketAddr> =
            seed_list.iter().chain(told.values().flatten()).copied().collect();
        links.retain(|address, link| {
            let is_wanted = wanted.contains(address);
            if !is_wanted {
                link.abort();
                shared.fleet.borrow_mut().registry_lost(shared.now_ms(), *address);
                told.remove(address);
            }
            is_wanted
        });
        for address in wanted {
            links.entry(address).or_insert_with(|| {
                tokio::task::spawn_local(keep_link(shared.clone(), address, sender.clone()))
            });
        }
        tokio::select! {
            Some(new) = seeds.recv() => {
                tracing::info!(event = "seeds_changed", seeds = ?new);
                seed_list = new;
            }
            Some(Told::Registries { by, all }) = receiver.recv() => {
                told.insert(by, all);
            }
            () = sleep(SUPERVISE) => {}
        }
    }
}

async fn keep_link(shared: Rc<Shared>, address: SocketAddr, told: UnboundedSender<Told>) {
    let mut is_reported = false;
    loop {
        let connected = connect(address, CONNECT).await;
        let reason = match connected {
            Ok(stream) => {
                tracing::info!(event = "registry_linked", registry = %address);
                is_reported = false;
                shared.links.set(shared.links.get() + 1);
                shared.metrics.links.inc();
                let reason = serve_link(&shared, address, stream, &told).await;
                shared.links.set(shared.links.get() - 1);
                shared.metrics.links.dec();
                shared.fleet.borrow_mut().registry_lost(shared.now_ms(), address);
                reason
            }
            Err(error) => error.to_string(),
        };
        if !is_reported {
            is_reported = true;
            tracing::warn!(
                event = "registry_lost",
                registry = %address,
                reason,
                links = shared.links.get()
            );
        }
        sleep(if shared.links.get() == 0 { FIRST_RECONNECT } else { RECONNECT }).await;
    }
}

/// Serves a link until it is lost. Returns why.
async fn serve_link(
    shared: &Rc<Shared>,
    address: SocketAddr,
    stream: TcpStream,
    told: &UnboundedSender<Told>,
) -> String {
    if let Err(error) = watch_peer(&stream, PEER_UNANSWERED) {
        return error.to_string();
    }
    let (mut reader, mut writer) = stream.into_split();
    let mut sent_info = None;
    let mut buffer = BytesMut::new();
    loop {
        let info = shared.info();
        if sent_info.as_ref() != Some(&info) {
            let hello = GatewayMessage::Hello { gateway: info.clone() };
            if let Err(reason) = send(&mut writer, hello).await {
                return reason;
            }
            sent_info = Some(info);
        }
        let read = timeout(SILENCE, read_frame::<RegistryMessage>(&mut reader, &mut buffer)).await;
        let message = match read {
            Ok(Ok(message)) => message,
            Ok(Err(error)) => return error.to_string(),
            Err(_) => return format!("silent for {} ms", SILENCE.as_millis()),
        };
        if let Some(wish) = accept(shared, address, message, told) {
            if let Err(reason) = send(&mut writer, wish).await {
                return reason;
            }
        }
    }
}

/// Takes a message in. Returns what must be asked.
fn accept(
    shared: &Rc<Shared>,
    address: SocketAddr,
    message: RegistryMessage,
    told: &UnboundedSender<Told>,
) -> Option<GatewayMessage> {
    let now_ms = shared.now_ms();
    match message {
        RegistryMessage::Config(config) => {
            shared.put_in_force(std::sync::Arc::unwrap_or_clone(config));
        }
        RegistryMessage::ConfigDelta(delta) => {
            let later = shared.table().and_then(|table| delta.apply(table.config()));
            match later {
                Some(config) => shared.put_in_force(config),
                // Another registry was faster.
                None if delta.version <= shared.config_version() => {}
                None => return Some(GatewayMessage::RequestConfig { held_version: 0 }),
            }
        }
        RegistryMessage::ConfigVersion { version, is_confirmed } => {
            if version <= shared.config_version() {
                shared.version_told(address);
            }
            if is_confirmed {
                shared.set_confirmed(version);
            }
            if shared.is_config_wanted(version) {
                return Some(GatewayMessage::RequestConfig {
                    held_version: shared.config_version(),
                });
            }
        }
        RegistryMessage::EvacuatedZones { index, zones } => {
            let shown = format!("{zones:?}");
            if shared.fleet.borrow_mut().set_evacuated(index, zones) {
                tracing::info!(event = "zones_evacuated", zones = shown, index);
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
            }
            if shared.fleet.borrow_mut().observe(now_ms, records) {
                shared.refresh_engines();
            }
        }
        RegistryMessage::RestoredTargets(records) => {
            shared.fleet.borrow_mut().note(address, records);
            use_agreed(shared);
        }
        RegistryMessage::RestoredTargetsSeen(ids) => {
            if shared.fleet.borrow_mut().hear_noted(now_ms, &ids) {
                shared.refresh_engines();
            }
        }
        RegistryMessage::SilentTargets(ids) => {
            shared.fleet.borrow_mut().set_silent(now_ms, address, ids);
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
        RegistryMessage::Registries(all) => {
            shared.set_registries(all.len());
            use_agreed(shared);
            // The supervisor ends only with the gateway.
            let _ = told.send(Told::Registries { by: address, all });
        }
    }
    None
}

/// Uses the targets that most registries noted before their start.
fn use_agreed(shared: &Shared) {
    let registries = shared.registry_count();
    if shared.fleet.borrow_mut().observe_agreed(shared.now_ms(), registries) {
        shared.refresh_engines();
    }
}

fn log_gateways(shared: &Shared, registry: SocketAddr, has_changed: bool) {
    if has_changed {
        let count = shared.fleet.borrow().gateways().count();
        tracing::info!(event = "gateways_changed", count, registry = %registry);
    }
}

async fn send(writer: &mut OwnedWriteHalf, message: GatewayMessage) -> Result<(), String> {
    let sent = write_frame(writer, &LinkMessage::<()>::Gateway(message)).await;
    sent.map_err(|error| error.to_string())
}
