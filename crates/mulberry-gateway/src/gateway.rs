//! One instance: sockets, tasks, and a stop in order.

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

use crate::placement::Placer;
use crate::shared::Shared;
use crate::{Dialect, GatewaySettings, caller_server, ready_server, registry_links};

/// Least time between the signal to stop and the end, so that the balancer notices and sends nobody any more.
const MIN_STOP: Duration = Duration::from_millis(3_200);

/// Part of the time to stop after which new requests are refused, since the rest may not be enough for them.
const TAKING_SHARE: f64 = 0.35;

/// Time before the process is killed at which it ends by itself.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// Time between two looks at what is left while stopping.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Time at the end of a stop, when nobody can connect any more, for the requests of those that have just connected; less
/// than [`KILL_MARGIN`].
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Time between two looks at whether they have their answers.
const LAST_CHECK: Duration = Duration::from_millis(5);

/// One instance.
#[derive(Debug)]
pub struct Gateway {
    settings: GatewaySettings,
    dialect: Rc<dyn Dialect>,
}

/// New seeds, after the settings have changed.
pub type SeedUpdates = UnboundedReceiver<Vec<SocketAddr>>;

/// Why an instance could not start.
#[derive(Debug)]
pub struct GatewayError {
    what: &'static str,
    address: SocketAddr,
    source: io::Error,
}

impl Gateway {
    pub fn new(settings: GatewaySettings, dialect: Rc<dyn Dialect>) -> Gateway {
        Gateway { settings, dialect }
    }

    /// Runs until `stop` resolves and what was begun has ended.
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
        let socket = UdpSocket::bind(address).await.map_err(|source| GatewayError {
            what: "gateways",
            address,
            source,
        })?;
        let incarnation = rand::random();
        let placer = Placer::new(&settings, incarnation, Rc::new(socket));
        let stop_time = Duration::from_millis(settings.stop_ms);
        let shared = Rc::new(Shared::new(settings, self.dialect, incarnation, placer));
        let mut registry = prometheus_client::registry::Registry::default();
        shared.metrics.register(&mut registry);
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
                spawn_local(Placer::run_lists(shared.clone()));
                spawn_local(ready_server::serve(ready, shared.clone()));
                let (close, closed) = oneshot::channel::<Infallible>();
                let accepting = spawn_local(caller_server::serve(callers, shared.clone(), closed));
                stop.await;
                let begin = end(&shared, stop_time).await;
                drop(close);
                if let Err(error) = accepting.await {
                    tracing::warn!(event = "accepting_failed", %error);
                }
                answer_last(&shared).await;
                tracing::info!(
                    event = "stopped",
                    active = shared.active.get(),
                    connections = shared.connections.get(),
                    after_ms = begin.elapsed().as_millis()
                );
            })
            .await;
        Ok(())
    }
}

/// Ends what was begun, as far as the time allows. Returns when the stop began.
async fn end(shared: &Shared, stop_time: Duration) -> Instant {
    let begin = Instant::now();
    shared.is_stopping.set(true);
    tracing::info!(
        event = "stopping",
        active = shared.active.get(),
        connections = shared.connections.get()
    );
    let last = begin + stop_time.saturating_sub(KILL_MARGIN);
    let first = begin + MIN_STOP.min(stop_time / 2);
    loop {
        sleep(STOP_CHECK).await;
        let now = Instant::now();
        shared.takes_no_more.set(now >= begin + stop_time.mul_f64(TAKING_SHARE));
        let is_done = shared.active.get() == 0 && shared.connections.get() == 0;
        if now >= last || (now >= first && is_done) {
            return begin;
        }
    }
}

/// Refuses the requests of those that connected just before nobody could any more.
async fn answer_last(shared: &Shared) {
    shared.takes_no_more.set(true);
    let until = Instant::now() + LAST_ANSWERS;
    loop {
        // A connection counts from the first turn of its task on.
        sleep(LAST_CHECK).await;
        if shared.connections.get() == 0 || Instant::now() >= until {
            return;
        }
    }
}

fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, GatewayError> {
    mulberry_http1::listen(address).map_err(|source| GatewayError { what, address, source })
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let GatewayError { what, address, source } = self;
        write!(f, "cannot listen on {address} for {what}: {source}; free the address")
    }
}

impl std::error::Error for GatewayError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}
