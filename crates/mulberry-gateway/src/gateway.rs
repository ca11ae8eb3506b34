//! One gateway instance: sockets, tasks and graceful shutdown.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mulberry_telemetry::serve_metrics;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::capacity::CapacityExchange;
use crate::placement::Placer;
use crate::shared::Shared;
use crate::{Dialect, GatewaySettings, caller_server, peer_server, ready_server, registry_links};

/// Minimum time between the stop signal and the end of the process, so that the load balancer notices and sends no
/// more requests.
const MIN_STOP_TIME: Duration = Duration::from_millis(3_200);

/// Share of the stop time after which new requests are refused, since the remaining time may be too short for them.
const ACCEPT_TIME_SHARE: f64 = 0.35;

/// Margin before the process is killed, by which the gateway exits on its own.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Time before the end of a stop at which requests without a response are answered.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Interval at which a stopping gateway checks for open requests and connections.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time after the listener is closed for responding to requests on the last accepted connections; less than
/// [`KILL_MARGIN`].
const FINAL_DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which the final drain checks for open connections.
const FINAL_DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// One gateway instance.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    dialect: Rc<dyn Dialect>,
}

/// Receives new seed addresses when the settings change.
pub type SeedUpdates = UnboundedReceiver<Vec<SocketAddr>>;

/// A socket could not be opened when the gateway started.
#[derive(Debug)]
pub struct GatewayError {
    purpose: &'static str,
    address: SocketAddr,
    source: io::Error,
}

impl Gateway {
    pub fn new(settings: GatewaySettings, dialect: Rc<dyn Dialect>) -> Gateway {
        Gateway { settings, dialect }
    }

    /// Runs until `stop` resolves and open requests have finished or the stop time is over.
    ///
    /// # Errors
    /// A socket could not be opened.
    pub async fn run(
        self,
        stop: impl Future<Output = ()>,
        reload: SeedUpdates,
    ) -> Result<(), GatewayError> {
        let settings = self.settings;
        let callers = listen("callers", settings.caller_address)?;
        let ready = listen("readiness", settings.ready_address)?;
        let metrics_listener = match settings.metrics_address {
            Some(address) => Some(listen("metrics", address)?),
            None => None,
        };
        let address = settings.gateway_address;
        let peers = listen("gateways", address)?;
        let socket = UdpSocket::bind(address).await.map_err(|source| GatewayError {
            purpose: "gateways",
            address,
            source,
        })?;
        let incarnation = rand::random();
        let placer = Placer::new(&settings, incarnation, Rc::new(socket));
        let stop_time = Duration::from_millis(settings.stop_timeout_ms);
        let shared = Rc::new(Shared::new(settings, self.dialect, incarnation, placer));
        let mut registry = prometheus_client::registry::Registry::default();
        shared.metrics.register(&mut registry);
        if shared.capacity.is_on() {
            shared.metrics.register_capacity(&mut registry);
        }
        tracing::info!(
            event = "started",
            incarnation = format_args!("{incarnation:x}"),
            callers = %shared.settings.caller_address,
            zone = %shared.settings.zone
        );
        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                if let Some(listener) = metrics_listener {
                    spawn_local(serve_metrics(listener, Arc::new(Mutex::new(registry))));
                }
                spawn_local(registry_links::run(shared.clone(), reload));
                spawn_local(Placer::run_receiver(shared.clone()));
                spawn_local(Placer::run_maintenance(shared.clone()));
                if shared.capacity.is_on() {
                    spawn_local(CapacityExchange::run(shared.clone()));
                }
                spawn_local(peer_server::serve(peers, shared.clone()));
                spawn_local(ready_server::serve(ready, shared.clone()));
                let (close, closed) = oneshot::channel::<Infallible>();
                let accepting = spawn_local(caller_server::serve(callers, shared.clone(), closed));
                stop.await;
                let stop_start = drain_requests(&shared, stop_time).await;
                drop(close);
                if let Err(error) = accepting.await {
                    tracing::warn!(event = "accepting_failed", %error);
                }
                drain_connections(&shared).await;
                tracing::info!(
                    event = "stopped",
                    active = shared.active.get(),
                    connections = shared.connections.get(),
                    after_ms = stop_start.elapsed().as_millis()
                );
            })
            .await;
        Ok(())
    }
}

/// Waits for open requests and connections to end, as far as the stop time allows. Returns the time at which the
/// stop began.
async fn drain_requests(shared: &Shared, stop_time: Duration) -> Instant {
    let stop_start = Instant::now();
    shared.is_stopping.set(true);
    tracing::info!(
        event = "stopping",
        active = shared.active.get(),
        connections = shared.connections.get()
    );
    let latest_end = stop_start + stop_time.saturating_sub(KILL_MARGIN);
    let earliest_end = stop_start + MIN_STOP_TIME.min(stop_time / 2);
    loop {
        sleep(STOP_CHECK_INTERVAL).await;
        let now = Instant::now();
        shared.refuses_new_requests.set(now >= stop_start + stop_time.mul_f64(ACCEPT_TIME_SHARE));
        let is_done = shared.active.get() == 0 && shared.connections.get() == 0;
        if now + LAST_ANSWER_TIME >= latest_end && !shared.must_answer.replace(true) {
            tracing::info!(event = "stop_time_over", active = shared.active.get());
            shared.must_answer_set.notify_waiters();
        }
        if now >= latest_end || (now >= earliest_end && is_done) {
            return stop_start;
        }
    }
}

/// Refuses requests on connections that were accepted just before the listener closed.
async fn drain_connections(shared: &Shared) {
    shared.refuses_new_requests.set(true);
    let until = Instant::now() + FINAL_DRAIN_TIMEOUT;
    loop {
        // A connection is counted only once its task has first run.
        sleep(FINAL_DRAIN_CHECK_INTERVAL).await;
        if shared.connections.get() == 0 || Instant::now() >= until {
            return;
        }
    }
}

fn listen(purpose: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    mulberry_http1::listen(address).map_err(|source| GatewayError { purpose, address, source })
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let GatewayError { purpose, address, source } = self;
        write!(f, "cannot listen on {address} for {purpose}: {source}; free the address")
    }
}

impl std::error::Error for GatewayError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}
