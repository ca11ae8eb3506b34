//! The emulated service as a whole: its server, its restarts and its announcements.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use mulberry_http::{HttpServer, HttpSettings};
use mulberry_types::{Announcement, LoadReport, TargetKind};
use serde_json::Value;

use crate::calls::{Calls, Command, POLL};
use crate::{Fault, ServiceSettings};

/// Time for the listener to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// A running service target. Dropping it closes all connections.
#[derive(Debug)]
pub struct Service {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    calls: Arc<Calls>,
    address: SocketAddr,

    /// Whether the service accepts connections; it does not announce itself while it is down.
    is_up: AtomicBool,
    is_dead: AtomicBool,
    stopping: AtomicBool,
    commands: Sender<Command>,
}

impl Service {
    /// Starts a service target.
    ///
    /// # Errors
    /// The address cannot be bound, or threads cannot be started.
    pub fn start(settings: ServiceSettings) -> io::Result<Service> {
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let (commands, received) = unbounded();
        let calls = Arc::new(Calls::new(settings, commands.clone()));
        let server = serve(listener, &calls)?;
        let shared = Arc::new(Shared {
            calls,
            address,
            is_up: AtomicBool::new(true),
            is_dead: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            commands,
        });
        let threads = vec![
            spawn("supervisor", {
                let shared = shared.clone();
                move || supervise(&shared, &received, server)
            })?,
            spawn("announcer", {
                let shared = shared.clone();
                move || announce(&shared)
            })?,
        ];
        Ok(Service { shared, threads })
    }

    /// Address of the service's server. It stays the same over restarts.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// What `GET /accounting` answers.
    pub fn accounting(&self) -> Value {
        self.shared.calls.accounting()
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        self.shared.calls.inject(fault);
    }

    /// Whether the service has died of a fault.
    pub fn is_dead(&self) -> bool {
        self.shared.is_dead.load(Ordering::Acquire)
    }

    /// Announces that the service is leaving and waits until its calls have ended.
    ///
    /// Returns whether all of them ended within `timeout`.
    pub fn leave(&self, timeout: Duration) -> bool {
        let calls = &self.shared.calls;
        calls.leaving.store(true, Ordering::Release);
        let now = Instant::now();
        let end = now + timeout;
        // Entries learn from the next announcement; calls that they sent before are still taken.
        let told = now + Duration::from_millis(2 * calls.settings.announce_interval_ms);
        loop {
            let busy = calls.running() > 0;
            let now = Instant::now();
            if !busy && now >= told {
                return true;
            }
            if now >= end {
                return !busy;
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        // A supervisor that has ended needs no stop.
        let _ = self.shared.commands.send(Command::Stop);
        for thread in self.threads.drain(..) {
            // A panic was reported by the thread itself.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Sleeps, but not beyond a stop.
    fn pause(&self, duration: Duration) {
        let end = Instant::now() + duration;
        while !self.is_stopping() && Instant::now() < end {
            std::thread::sleep(POLL.min(end.saturating_duration_since(Instant::now())));
        }
    }

    fn announcement(&self, load: LoadReport) -> Announcement {
        let settings = &self.calls.settings;
        Announcement {
            target: settings.target.clone(),
            boot_id: self.calls.boot_id(),
            kind: TargetKind::Service { service: settings.service.clone() },
            address: self.address,
            zone: settings.zone.clone(),
            memory_tokens: 0,
            slots: settings.slots,
            prefill_tokens_per_s: 0,
            step_ms: 0,
            weight_version: "".into(),
            checks_fence: false,
            leaving: self.calls.leaving.load(Ordering::Acquire),
            load,
        }
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(work)
}

fn serve(listener: TcpListener, calls: &Arc<Calls>) -> io::Result<HttpServer> {
    let calls = calls.clone();
    HttpServer::start(listener, HttpSettings::default(), move |request, responder| {
        calls.handle(&request, responder);
    })
}

/// Owns the server.
fn supervise(shared: &Shared, commands: &Receiver<Command>, server: HttpServer) {
    let mut server = Some(server);
    while let Ok(command) = commands.recv() {
        shared.is_up.store(false, Ordering::Release);
        if let Some(server) = server.take() {
            close(server);
        }
        match command {
            Command::Stop => return,
            Command::Die => shared.is_dead.store(true, Ordering::Release),
            Command::Restart { down_ms } => {
                shared.pause(Duration::from_millis(down_ms));
                server = reopen(shared);
            }
        }
    }
}

/// Closes the listener, and then all connections, so that a client whose connection closed is refused from then on.
fn close(server: HttpServer) {
    server.stop(Duration::ZERO);
    let end = Instant::now() + CLOSE_TIMEOUT;
    while TcpStream::connect(server.local_address()).is_ok() && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(1));
    }
    drop(server);
}

/// Listens again on the same address.
fn reopen(shared: &Shared) -> Option<HttpServer> {
    while !shared.is_stopping() {
        let server =
            TcpListener::bind(shared.address).and_then(|listener| serve(listener, &shared.calls));
        match server {
            Ok(server) => {
                shared.is_up.store(true, Ordering::Release);
                return Some(server);
            }
            // The previous listener may still be closing.
            Err(_) => std::thread::sleep(POLL),
        }
    }
    None
}

/// Sends an announcement to one entry after the other, and at once to the next one if one fails.
fn announce(shared: &Shared) {
    let settings = &shared.calls.settings;
    let entries = &settings.announce_to;
    let interval = Duration::from_millis(settings.announce_interval_ms);
    let mut next = 0;
    let mut load = LoadReport::default();
    while !shared.is_stopping() && !entries.is_empty() {
        shared.calls.wait_while_frozen();
        if shared.is_up.load(Ordering::Acquire) {
            let announcement = shared.announcement(load);
            for _ in 0..entries.len() {
                let entry = entries[next % entries.len()];
                next += 1;
                match send_announcement(entry, &announcement) {
                    Ok(()) => break,
                    Err(error) => tracing::debug!(%entry, %error, "announce_failed"),
                }
            }
        }
        // The report lags by one announcement, as that of a real target does.
        load = LoadReport { running: shared.calls.running(), ..LoadReport::default() };
        let was_leaving = shared.calls.leaving.load(Ordering::Acquire);
        let end = Instant::now() + interval;
        // A stop signal is announced at once.
        while Instant::now() < end
            && !shared.is_stopping()
            && shared.calls.leaving.load(Ordering::Acquire) == was_leaving
        {
            std::thread::sleep(POLL);
        }
    }
}

fn send_announcement(entry: SocketAddr, announcement: &Announcement) -> attohttpc::Result<()> {
    attohttpc::post(format!("http://{entry}/targets/announce"))
        .connect_timeout(ANNOUNCE_TIMEOUT)
        .read_timeout(ANNOUNCE_TIMEOUT)
        .timeout(ANNOUNCE_TIMEOUT)
        .json(announcement)?
        .send()?
        .error_for_status()
        .map(drop)
}
