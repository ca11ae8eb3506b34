//! The emulated engine as a whole: its server, its lives and its announcements.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, unbounded};
use mulberry_http::{HttpServer, HttpSettings};
use mulberry_types::{Announcement, TargetKind};
use serde_json::Value;

use crate::life::{Command, Life, lock};
use crate::{EngineSettings, Fault, api};

/// Time that connections get to close before the handlers of a dead engine notice, so that none of them answers.
const CLOSE_PAUSE: Duration = Duration::from_millis(20);

/// Time for the listener to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two looks at a flag.
const POLL: Duration = Duration::from_millis(20);

/// A running engine. Dropping it closes all connections.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct Shared {
    settings: Arc<EngineSettings>,
    address: SocketAddr,
    life: Mutex<Arc<Life>>,

    /// Whether the engine accepts connections; it does not announce itself while it is down.
    is_up: AtomicBool,
    is_dead: AtomicBool,
    stopping: AtomicBool,
    leaving: Arc<AtomicBool>,
    commands: Sender<Command>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    /// The address cannot be bound, or threads cannot be started.
    pub fn start(settings: EngineSettings) -> io::Result<Engine> {
        let listener = TcpListener::bind(settings.listen)?;
        let address = listener.local_addr()?;
        let settings = Arc::new(settings);
        let leaving = Arc::new(AtomicBool::new(false));
        let (commands, received) = unbounded();
        let life = Arc::new(Life::new(
            settings.clone(),
            Default::default(),
            leaving.clone(),
            commands.clone(),
        ));
        let server = serve(listener, &life)?;
        let shared = Arc::new(Shared {
            settings,
            address,
            life: Mutex::new(life.clone()),
            is_up: AtomicBool::new(true),
            is_dead: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            leaving,
            commands,
        });
        start_steps(&life)?;
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
        Ok(Engine { shared, threads })
    }

    /// Address of the engine's server. It stays the same over restarts.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// What `GET /accounting` answers.
    pub fn accounting(&self) -> Value {
        api::accounting(&self.shared.life())
    }

    /// Injects a fault.
    pub fn inject(&self, fault: &Fault) {
        self.shared.life().inject(fault);
    }

    /// Whether the engine has died of a fault.
    pub fn is_dead(&self) -> bool {
        self.shared.is_dead.load(Ordering::Acquire)
    }

    /// Announces that the engine is leaving and waits until its streams have ended.
    ///
    /// Returns whether all of them ended within `timeout`.
    pub fn leave(&self, timeout: Duration) -> bool {
        self.shared.leaving.store(true, Ordering::Release);
        let end = Instant::now() + timeout;
        // Entries learn from the next announcement; work that they sent before is still taken.
        let told =
            Instant::now() + Duration::from_millis(2 * self.shared.settings.announce_interval_ms);
        loop {
            let busy = self.shared.life().batch().concurrent() > 0;
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

impl Drop for Engine {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Release);
        let _ = self.shared.commands.send(Command::Stop);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn life(&self) -> Arc<Life> {
        lock(&self.life).clone()
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Sleeps, but not beyond a stop.
    fn pause(&self, duration: Duration) {
        let end = Instant::now() + duration;
        while !self.is_stopping() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left.min(POLL));
        }
    }

    fn announcement(&self) -> Announcement {
        let life = self.life();
        let settings = &self.settings;
        let mut weights = life.weights();
        let load = life.batch().lagging_load(Instant::now());
        Announcement {
            target: settings.target.clone(),
            boot_id: life.boot_id,
            kind: TargetKind::Engine { models: weights.models().to_vec() },
            address: self.address,
            zone: settings.zone.clone(),
            memory_tokens: settings.memory_tokens,
            slots: settings.slots,
            prefill_tokens_per_s: settings.prefill_tokens_per_s,
            step_ms: settings.step_ms,
            weight_version: weights.version(),
            checks_fence: settings.checks_fence,
            leaving: self.leaving.load(Ordering::Acquire),
            load,
        }
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(work)
}

fn start_steps(life: &Arc<Life>) -> io::Result<()> {
    let life = life.clone();
    // The thread ends with its life.
    spawn("steps", move || life.run()).map(drop)
}

fn serve(listener: TcpListener, life: &Arc<Life>) -> io::Result<HttpServer> {
    let life = life.clone();
    HttpServer::start(listener, HttpSettings::default(), move |request, responder| {
        api::handle(&life, &request, responder);
    })
}

/// Owns the server and the lives of the engine.
fn supervise(shared: &Shared, commands: &Receiver<Command>, server: HttpServer) {
    let mut server = Some(server);
    let mut refusing = Vec::new();
    while let Ok(command) = commands.recv() {
        match command {
            Command::RefuseConnections { ms } => {
                let Some(old) = server.take() else { continue };
                old.stop(Duration::ZERO);
                shared.pause(Duration::from_millis(ms));
                // Connections that were open go on until they end by themselves.
                refusing.push(old);
                server = reopen(shared);
            }
            Command::Restart { down_ms } => {
                let counts = go_down(shared, &mut server, &mut refusing);
                shared.pause(Duration::from_millis(down_ms));
                // What was asked of the previous life is void.
                while commands.try_recv().is_ok() {}
                if shared.is_stopping() {
                    return;
                }
                let life = Arc::new(Life::new(
                    shared.settings.clone(),
                    counts,
                    shared.leaving.clone(),
                    shared.commands.clone(),
                ));
                if start_steps(&life).is_err() {
                    return;
                }
                *lock(&shared.life) = life;
                server = reopen(shared);
            }
            Command::Die => {
                go_down(shared, &mut server, &mut refusing);
                shared.is_dead.store(true, Ordering::Release);
            }
            Command::Stop => {
                go_down(shared, &mut server, &mut refusing);
                return;
            }
        }
    }
}

fn go_down(
    shared: &Shared,
    server: &mut Option<HttpServer>,
    refusing: &mut Vec<HttpServer>,
) -> crate::batch::Counts {
    shared.is_up.store(false, Ordering::Release);
    refusing.clear();
    if let Some(server) = server.take() {
        close(server);
    }
    std::thread::sleep(CLOSE_PAUSE);
    shared.life().end()
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
            TcpListener::bind(shared.address).and_then(|listener| serve(listener, &shared.life()));
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
    let entries = &shared.settings.announce_to;
    let interval = Duration::from_millis(shared.settings.announce_interval_ms);
    let mut next = 0;
    while !shared.is_stopping() && !entries.is_empty() {
        shared.life().wait_while_frozen();
        if shared.is_up.load(Ordering::Acquire) {
            let announcement = shared.announcement();
            for _ in 0..entries.len() {
                let entry = entries[next % entries.len()];
                next += 1;
                match send_announcement(entry, &announcement) {
                    Ok(()) => break,
                    Err(error) => tracing::debug!(%entry, %error, "announce_failed"),
                }
            }
        }
        let was_leaving = shared.leaving.load(Ordering::Acquire);
        let end = Instant::now() + interval;
        // A stop signal is announced at once.
        while Instant::now() < end
            && !shared.is_stopping()
            && shared.leaving.load(Ordering::Acquire) == was_leaving
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
