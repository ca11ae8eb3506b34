//! Startup and orderly shutdown of an entry instance.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use eyre::{Context, Result};
use mulberry_http::HttpServer;
use mulberry_peers::{PeerClientSettings, PeerSecret, PeerServer, PeerServerSettings};
use mulberry_telemetry::{Health, PlatformServer};
use mulberry_types::{ControlReply, ControlRequest, HomeReply, HomeRequest, Incarnation};
use prometheus_client::registry::Registry;

use crate::caller_server::start_caller_server;
use crate::claims::Claims;
use crate::control_client::ControlClient;
use crate::entry::Entry;
use crate::metrics::EntryMetrics;
use crate::reconciler::Reconciler;
use crate::renewal::renew_forever;
use crate::settings::EntrySettings;
use crate::target_server::start_target_server;
use crate::timers::start_timers;

/// Timeout for committing the departure of this entry at the control group.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait until cleanup orders sent before the lease was relinquished have expired.
const ORDER_EXPIRY_WAIT: Duration = Duration::from_millis(1_000);

/// A running entry instance.
#[derive(Debug)]
pub struct Instance {
    entry: Arc<Entry>,
    control: Arc<ControlClient>,
    callers: HttpServer,
    targets: HttpServer,
    platform: PlatformServer,
    _peers: PeerServer<HomeRequest, HomeReply>,
}

impl Instance {
    /// Starts an entry instance.
    ///
    /// # Errors
    /// An address is in use, the secret cannot be read, or a thread cannot be started.
    pub fn start(settings: EntrySettings) -> Result<Instance> {
        let secret = PeerSecret::from_file(&settings.secret_file)?;
        let peer_listener = bind("peer_listen", settings.peer_listen)?;
        let caller_listener = bind("caller_listen", settings.caller_listen)?;
        let target_listener = bind("target_listen", settings.target_listen)?;
        let platform_listener = bind("platform_listen", settings.platform_listen)?;
        let peer_address = match settings.peer_advertise {
            Some(address) => address,
            None => peer_listener.local_addr()?,
        };
        let mut registry = Registry::default();
        let metrics = EntryMetrics::register(&mut registry);
        let health = Arc::new(Health::default());
        let peer_settings = PeerClientSettings {
            advertised_address: Some(peer_address),
            ..PeerClientSettings::default()
        };
        let control_addresses = settings.control.clone();
        let entry = Arc::new(Entry::new(
            settings,
            Incarnation(rand::random()),
            peer_address,
            secret.clone(),
            peer_settings.clone(),
            (health.clone(), metrics),
        ));
        let weak_entry = Arc::downgrade(&entry);
        let control = Arc::new(ControlClient::new(
            &control_addresses,
            &secret,
            &peer_settings,
            move |reply| {
                apply_push(&weak_entry, reply);
            },
        ));
        let home = entry.clone();
        let peers = PeerServer::start(
            peer_listener,
            secret,
            PeerServerSettings::default(),
            move |call: mulberry_peers::Call<HomeRequest>, responder| {
                let reply = home.handle_home_request(call.request);
                // Send errors are ignored: the calling entry times out.
                let _ = responder.send(&reply);
            },
        )?;
        let registry = Arc::new(Mutex::new(registry));
        let platform = PlatformServer::start(platform_listener, health, registry)?;
        let targets = start_target_server(target_listener, entry.clone())?;
        let claims = Claims::start(control.clone())?;
        let callers = start_caller_server(caller_listener, entry.clone(), claims)?;
        start_timers(&entry)?;
        Reconciler::start(entry.clone())?;
        start_renewal(&entry, &control)?;
        tracing::info!(
            node = %entry.node, zone = %entry.settings.zone, callers = %callers.local_address(),
            targets = %targets.local_address(), peers = %peer_address, "entry_started"
        );
        Ok(Instance { entry, control, callers, targets, platform, _peers: peers })
    }

    /// Address of the caller API.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.local_address()
    }

    /// Address at which targets announce themselves.
    pub fn target_address(&self) -> SocketAddr {
        self.targets.local_address()
    }

    /// Address of the health checks and metrics.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.local_address()
    }

    /// Stops in order: fails readiness, refuses new requests, waits for running requests, relinquishes
    /// the lease and leaves the membership, so that other entries take over its targets.
    ///
    /// Returns whether all running requests ended within `stop_timeout_ms`.
    pub fn stop(self) -> bool {
        let settings = &self.entry.settings;
        self.entry.health.begin_stop();
        tracing::info!("stop_begun");
        // Gives the load balancer time to see that the instance is not ready.
        std::thread::sleep(Duration::from_millis(settings.stop_notice_ms));
        self.entry.dispatcher.close();
        let all_ended = self.callers.stop(Duration::from_millis(settings.stop_timeout_ms));
        self.entry.lease.end();
        self.entry.relinquish_lease();
        std::thread::sleep(ORDER_EXPIRY_WAIT);
        let leave =
            ControlRequest::Leave { node: self.entry.node, incarnation: self.entry.incarnation };
        let left = self.control.call(&leave, Instant::now() + LEAVE_TIMEOUT).is_ok();
        tracing::info!(all_ended, left, "stopped");
        all_ended
    }
}

fn start_renewal(entry: &Arc<Entry>, control: &Arc<ControlClient>) -> std::io::Result<()> {
    let (entry, control) = (entry.clone(), control.clone());
    std::thread::Builder::new()
        .name("renewal".to_owned())
        .spawn(move || renew_forever(&entry, &control))?;
    Ok(())
}

/// Applies an update that the control group has pushed.
fn apply_push(entry: &Weak<Entry>, reply: ControlReply) {
    let (Some(entry), ControlReply::Update { update, membership }) = (entry.upgrade(), reply)
    else {
        return;
    };
    if let Some(update) = update {
        entry.apply_update(update);
    }
    if let Some(membership) = membership {
        entry.apply_membership(membership);
    }
}

fn bind(field: &str, address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).wrap_err_with(|| {
        format!("settings field {field}: cannot listen on {address}; free it or use another")
    })
}
