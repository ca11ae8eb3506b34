//! An engine of a plain service, and clients.

use std::collections::HashMap;
use std::io::Write as _;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::fleet::{Record, call_control};
use crate::http::{self, Reader};

/// Time that an engine works on a request.
const WORK: Duration = Duration::from_millis(15);

/// A request that an engine ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
}

/// One incarnation of an engine.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub service: String,
    pub born: u64,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
    has_ended: Arc<AtomicBool>,
    is_silent: AtomicBool,
    sequence: Arc<AtomicU64>,
}

impl Engine {
    pub fn start(record: &Record, id: &str, address: SocketAddr, zone: &str, service: &str) -> Result<Engine, String> {
        let listener = TcpListener::bind(address).map_err(|error| error.to_string())?;
        listener.set_nonblocking(true).map_err(|error| error.to_string())?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let engine = Engine {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            service: service.to_owned(),
            born,
            record: record.clone(),
            runs: Arc::default(),
            connections: Arc::default(),
            has_ended: Arc::default(),
            is_silent: AtomicBool::new(false),
            sequence: Arc::default(),
        };
        record.note(&format!("engine {id} ({zone}): started at {address}, born {born}"));
        let (id, record) = (engine.id.clone(), record.clone());
        let (runs, connections, has_ended) =
            (engine.runs.clone(), engine.connections.clone(), engine.has_ended.clone());
        thread::spawn(move || {
            let mut number = 0;
            while !has_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                number += 1;
                if let Ok(clone) = stream.try_clone() {
                    connections.lock().expect("no holder panics").insert(number, clone);
                }
                let connections = connections.clone();
                let (id, record, runs) = (id.clone(), record.clone(), runs.clone());
                thread::spawn(move || {
                    serve(stream, &id, &record, &runs);
                    connections.lock().expect("no holder panics").remove(&number);
                });
            }
        });
        Ok(engine)
    }

    /// Sends no more heartbeats by turns.
    pub fn stop_beats(&self) {
        self.is_silent.store(true, Ordering::SeqCst);
    }

    /// Ends the engine: its sockets close.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(10));
        for (_, stream) in self.connections.lock().expect("no holder panics").drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.note(&format!("engine {} (born {}): ended", self.id, self.born));
    }

    /// Sends a heartbeat to these nodes in turn until one acknowledges it.
    pub fn beat(&self, nodes: &[SocketAddr]) -> Option<SocketAddr> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\
             \"coldRemainingMs\":0,\"seq\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        let path = format!("/-/instances/{}", self.id);
        let taken = nodes.iter().find(|node| {
            let response = call_control(**node, "PUT", &path, &body);
            response.is_some_and(|response| response.status() == 200)
        });
        let shown = taken.map_or_else(|| "none".to_owned(), ToString::to_string);
        self.record.note(&format!("engine {} (born {}): heartbeat {sequence} taken by {shown}", self.id, self.born));
        taken.copied()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no holder panics").clone()
    }
}

/// Sends heartbeats every 1.2 s, each first to the next node of the list, until the flag is set.
pub fn beat_by_turns(engine: Arc<Engine>, nodes: Vec<SocketAddr>, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        for turn in 0.. {
            let mut order = nodes.clone();
            order.rotate_left(turn % nodes.len());
            if stop.load(Ordering::SeqCst) || engine.is_silent.load(Ordering::SeqCst) {
                return;
            }
            engine.beat(&order);
            thread::sleep(Duration::from_millis(1_200));
        }
    })
}

fn serve(stream: TcpStream, id: &str, record: &Record, runs: &Mutex<Vec<Run>>) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut reader = Reader::new(stream);
    while let Some(request) = reader.read() {
        let request_id = request.field("x-mulberryladder-request-id").unwrap_or("").to_owned();
        let expected = request.field("x-mulberryladder-expect-instance");
        let path = request.first_line.split(' ').nth(1).unwrap_or("");
        let response = if path == "/health" {
            format!("HTTP/1.1 200 OK\r\nX-Mulberryladder-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
        } else if expected.is_some_and(|expected| expected != id) {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Mulberryladder-Request-Id: {request_id}\r\n\
                 X-Mulberryladder-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        } else {
            let at = record.now();
            record.note(&format!("engine {id}: runs {request_id}"));
            runs.lock().expect("no holder panics").push(Run { at });
            thread::sleep(WORK);
            let body = format!("answer of {id} to {request_id}\n");
            format!(
                "HTTP/1.1 200 OK\r\nX-Mulberryladder-Request-Id: {request_id}\r\n\
                 X-Mulberryladder-Server-Stamp: {id}.{request_id}\r\nKeep-Alive: timeout=4\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a `safe` request every `interval`, to one gateway after the other, until the flag is set.
pub fn send_by_turns(
    record: Record,
    frontends: Vec<SocketAddr>,
    interval: Duration,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let run = format!("{:x}", std::process::id());
        for turn in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let (record, address) = (record.clone(), frontends[turn % frontends.len()]);
            let request_id = format!("{run}{turn:08x}");
            thread::spawn(move || {
                let fields = format!(
                    "Host: ficu95.example\r\nX-Mulberryladder-Request-Id: {request_id}\r\n\
                     X-Mulberryladder-Deadline-Ms: 1500\r\nAuthorization: Token key-of-a-tenant\r\n\
                     Connection: close\r\n"
                );
                let wait = Duration::from_millis(1_500);
                let response = http::call(address, "GET", "/puxa403/2f", &fields, "", wait);
                let status = response.map_or(0, |response| response.status());
                record.note(&format!("client: {request_id} at {address}: {status}"));
            });
            thread::sleep(interval);
        }
    })
}

/// A configuration with one `safe` route to a plain service.
pub fn configuration(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-status\",\"host\":\"ficu95.example\",\
         \"pathPrefix\":\"/puxa403/\",\"kind\":\"safe\",\"timeoutMs\":800,\"targetLatencyMs\":100,\"priority\":2,\
         \"service\":\"wuno96b\",\"maxAttempts\":2,\"public\":false}}],\"services\":[{{\"name\":\"wuno96b\",\
         \"healthPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\
         \"coldPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"key-of-a-tenant\"],\
         \"priority\":1}}]}}"
    )
}
