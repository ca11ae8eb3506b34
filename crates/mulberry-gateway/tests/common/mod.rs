//! A registry, a gateway and scripted targets on loopback.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod crashing_engine;
pub mod pressed_engine;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use mulberry_directory::{RegistryMessage, TargetRecord, TargetState, encode_frame};
use mulberry_gateway::{
    CallerFields, Dialect, ForwardFields, Gateway, GatewaySettings, ResponseFields, TargetCall,
};
use mulberry_http1::{Headers, ResponseHead};
use mulberry_registry::{
    InvalidRequest, PublicProtocol, PublicRequest, Registry, RegistrySettings,
};
use mulberry_routes::{
    Backend, EngineProfile, RequestLimits, Route, RouteKind, RoutingConfig, Service, Tenant,
};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;

/// Maximum wait for a condition on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of networks from which addresses of fleets are taken.
const NETWORKS: u32 = 200;

/// Port whose listener reserves an address for a fleet.
const RESERVATION_PORT: u16 = 7_199;

/// Header names without a prefix.
#[derive(Debug, Default)]
struct PlainDialect {
    /// Whether responses need no request id and no signature, and refusals no header that says that the request has not
    /// run.
    trusts_targets: bool,
}

impl Dialect for PlainDialect {
    fn caller_fields(&self, headers: &Headers) -> CallerFields {
        let number = |name| headers.text(name).and_then(|value| value.parse().ok());
        CallerFields {
            request_id: headers.text("request-id").filter(|_| !self.trusts_targets).map(Into::into),
            deadline_ms: number("deadline-ms"),
            api_key: headers.text("key").map(Into::into),
            prompt_tokens: number("prompt-tokens").unwrap_or(0),
            max_output_tokens: 100,
            last_event: number("last-event-id"),
            prompt_parts: headers.text("prompt-parts").map_or_else(Vec::new, |parts| {
                parts.split(',').filter_map(|part| part.trim().parse().ok()).collect()
            }),
        }
    }

    fn forward(&self, headers: &mut Headers, fields: &ForwardFields<'_>) {
        headers.remove("key");
        headers.set("target", fields.target_id.as_bytes());
        headers.set("tenant", fields.tenant.unwrap_or("-").as_bytes());
        if let Some(left) = fields.deadline_ms {
            headers.set("deadline-ms", left.to_string().as_bytes());
        }
        if let Some(last) = fields.last_event {
            headers.set("last-event-id", last.to_string().as_bytes());
        }
    }

    fn response_fields(&self, head: &ResponseHead) -> ResponseFields {
        ResponseFields {
            request_id: head.headers.text("request-id").map(Into::into),
            is_not_executed: head.headers.get("not-run").is_some()
                || (self.trusts_targets && head.status == 503),
            is_signed: head.headers.get("signed").is_some() || self.trusts_targets,
            faulty_engine: None,
            cold_ms: None,
            retry_after_ms: head.headers.text("retry-after-ms").and_then(|ms| ms.parse().ok()),
            is_leaving: head.headers.get("leaving").is_some(),
        }
    }

    fn is_readiness_request(&self, method: &str, path: &str) -> bool {
        method == "GET" && path == "/ready"
    }

    fn reserve(&self, _target_id: &str, ticket: &str, _tokens: u64, _ttl_ms: u64) -> TargetCall {
        self.release("", ticket)
    }

    fn release(&self, _target_id: &str, ticket: &str) -> TargetCall {
        TargetCall {
            method: "POST",
            path: format!("/ticket/{ticket}"),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}

/// Decodes a request body as an index into a list of calls that the test provides.
#[derive(Debug)]
struct TestProtocol(Arc<Mutex<Vec<PublicRequest>>>);

impl PublicProtocol for TestProtocol {
    fn decode(
        &self,
        _method: &str,
        _path: &str,
        body: Vec<u8>,
    ) -> Result<PublicRequest, InvalidRequest> {
        let index: usize = String::from_utf8_lossy(&body).parse().expect("a number");
        Ok(self.0.lock().expect("not poisoned")[index].clone())
    }

    fn media_type(&self) -> &'static str {
        "text/plain"
    }

    fn success_body(&self) -> Vec<u8> {
        Vec::new()
    }

    fn error_body(&self, reason: &str) -> Vec<u8> {
        reason.as_bytes().to_vec()
    }
}

struct RunningInstance {
    stop: Option<oneshot::Sender<()>>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl RunningInstance {
    fn start<F: Future<Output = ()>>(
        run: impl FnOnce(oneshot::Receiver<()>) -> F + Send + 'static,
    ) -> RunningInstance {
        let (stop, stopped) = oneshot::channel();
        let (kill, killed) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async {
                tokio::select! {
                    () = run(stopped) => {}
                    Ok(()) = killed => {}
                }
            });
        });
        RunningInstance { stop: Some(stop), kill: Some(kill), thread: Some(thread) }
    }

    fn signal(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}

impl Drop for RunningInstance {
    fn drop(&mut self) {
        self.signal();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Returns a loopback address used by this fleet alone, so that its ports cannot collide with other tests, and the
/// listener that reserves it among the test processes that run at the same time.
fn reserve_ip() -> ([u8; 4], TcpListener) {
    static FLEETS: AtomicU8 = AtomicU8::new(1);
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    for network in (0..NETWORKS).map(|offset| (std::process::id() + offset) % NETWORKS) {
        let ip = [127, 20 + network as u8, fleet, 1];
        if let Ok(reservation) = TcpListener::bind(SocketAddr::from((ip, RESERVATION_PORT))) {
            return (ip, reservation);
        }
    }
    panic!("all addresses are in use");
}

fn start_gateway(ip: [u8; 4], registry: SocketAddr, settings: GatewaySettings) -> RunningInstance {
    let at = |port: u16| SocketAddr::from((ip, port));
    let settings = GatewaySettings {
        metrics_address: Some(at(7_303)),
        caller_address: at(7_300),
        ready_address: at(7_301),
        gateway_address: at(7_302),
        seeds: vec![registry],
        stop_timeout_ms: 5_000,
        ..settings
    };
    RunningInstance::start(move |stopped| async move {
        let (_seeds, changed) = unbounded_channel();
        let stop = async {
            let _ = stopped.await;
        };
        let gateway = Gateway::new(settings, Rc::new(PlainDialect::default()));
        gateway.run(stop, changed).await.expect("runs");
    })
}

/// A gateway that learns the capacity of targets. It ends without a word when it is dropped.
pub struct LearningGateway {
    pub callers: SocketAddr,
    pub metrics: SocketAddr,
    _gateway: RunningInstance,
    _reservation: TcpListener,
}

impl LearningGateway {
    pub fn start(name: &str, registry: SocketAddr) -> LearningGateway {
        let (ip, reservation) = reserve_ip();
        let at = |port: u16| SocketAddr::from((ip, port));
        let settings = GatewaySettings {
            name: name.into(),
            zone: "z".into(),
            caller_address: at(7_300),
            ready_address: at(7_301),
            gateway_address: at(7_302),
            metrics_address: Some(at(7_303)),
            seeds: vec![registry],
            learns_capacity: true,
            ..GatewaySettings::default()
        };
        let gateway = RunningInstance::start(move |stopped| async move {
            let (_seeds, changed) = unbounded_channel();
            let dialect = Rc::new(PlainDialect { trusts_targets: true });
            let gateway = Gateway::new(settings, dialect).run(std::future::pending(), changed);
            tokio::select! {
                result = gateway => result.expect("runs"),
                _ = stopped => {}
            }
        });
        let ready = at(7_301);
        wait_until("the gateway is ready", || {
            exchange(ready, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").status == 200
        });
        LearningGateway {
            callers: at(7_300),
            metrics: at(7_303),
            _gateway: gateway,
            _reservation: reservation,
        }
    }
}

/// A gateway linked to a fake registry whose messages the test sends.
pub struct ScriptedGateway {
    pub callers: SocketAddr,
    link: TcpStream,
    _gateway: RunningInstance,
    _reservation: TcpListener,
}

impl ScriptedGateway {
    pub fn start() -> ScriptedGateway {
        let (ip, reservation) = reserve_ip();
        let listener = TcpListener::bind(SocketAddr::from((ip, 7_201))).expect("binds");
        let gateway = {
            let registry = listener.local_addr().expect("bound");
            start_gateway(ip, registry, GatewaySettings::default())
        };
        let (link, _) = listener.accept().expect("the gateway connects");
        let callers = SocketAddr::from((ip, 7_300));
        wait_until("the port is open", || TcpStream::connect(callers).is_ok());
        ScriptedGateway { callers, link, _gateway: gateway, _reservation: reservation }
    }

    /// Address for connections from other gateways.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.callers.ip(), 7_302)
    }

    /// Address of the registry.
    pub fn registry(&self) -> SocketAddr {
        self.link.local_addr().expect("connected")
    }

    /// Address of another registry, on which nobody listens yet.
    pub fn second_registry(&self) -> SocketAddr {
        let SocketAddr::V4(first) = self.registry() else { panic!("an IPv4 address") };
        let [a, b, c, _] = first.ip().octets();
        SocketAddr::from(([a, b, c, 2], first.port()))
    }

    pub fn send(&mut self, message: &RegistryMessage) {
        send_on(&mut self.link, message);
    }
}

/// Sends a message of a registry on its link to a gateway.
pub fn send_on(link: &mut TcpStream, message: &RegistryMessage) {
    let mut bytes = Vec::new();
    encode_frame(message, &mut bytes).expect("encodes");
    link.write_all(&bytes).expect("the gateway listens");
}

/// One real registry and one gateway.
pub struct Fleet {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub link: SocketAddr,
    registry_address: SocketAddr,
    calls: Arc<Mutex<Vec<PublicRequest>>>,
    gateway: RunningInstance,
    _registry: RunningInstance,
    folder: PathBuf,
    _reservation: TcpListener,
}

pub fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.into(),
        host: "h".into(),
        path_prefix: prefix.into(),
        kind,
        timeout_ms: 3_000,
        latency_slo_ms: 200,
        max_event_gap_ms: 0,
        priority: 1,
        max_attempts: 2,
        is_public: false,
        backends: vec![Backend { service: "s".into(), weight: 1 }],
    }
}

pub fn config(version: u64) -> RoutingConfig {
    RoutingConfig {
        version,
        routes: vec![
            route("/safe/", RouteKind::Safe),
            route("/once/", RouteKind::Unsafe),
            Route { max_event_gap_ms: 100, ..route("/stream/", RouteKind::ResumableStream) },
        ],
        services: vec![Service {
            name: "s".into(),
            health_path: "/".into(),
            max_connections: 100,
            cold: None,
            engine: None,
        }],
        tenants: vec![Tenant { name: "t".into(), api_keys: vec!["k".into()], priority: None }],
        limits: RequestLimits { max_body_bytes: 10_000, ..RequestLimits::default() },
    }
}

/// Profile of the engines used in these tests.
pub fn engine_profile() -> EngineProfile {
    EngineProfile {
        slots: 8,
        memory_tokens: 100_000,
        step_ms: 1.0,
        prefill_tokens_per_ms: 100.0,
        prefill_chunk_tokens: 2_000,
        steps_per_iteration: 10,
        ..EngineProfile::default()
    }
}

/// Like [`config`], with model engines behind the service.
pub fn engine_config(version: u64) -> RoutingConfig {
    let mut config = config(version);
    config.services[0].engine = Some(engine_profile());
    config
}

impl Fleet {
    pub fn start(name: &str) -> Fleet {
        Fleet::start_with(name, GatewaySettings::default())
    }

    /// Starts a gateway with other settings; its addresses are set here.
    pub fn start_with(name: &str, settings: GatewaySettings) -> Fleet {
        let gateway_settings = settings;
        let (ip, reservation) = reserve_ip();
        let at = |port: u16| SocketAddr::from((ip, port));
        let folder =
            std::env::temp_dir().join(format!("mulberry-gateway-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let (public, link) = (at(7_200), at(7_201));
        let calls: Arc<Mutex<Vec<PublicRequest>>> = Arc::default();
        let settings = RegistrySettings {
            name: "registry".to_owned(),
            public_address: public,
            link_address: link,
            seeds: vec![link],
            bootstrap: true,
            data_folder: folder.clone(),
            ..RegistrySettings::default()
        };
        let protocol_calls = calls.clone();
        let registry = RunningInstance::start(move |stopped| async move {
            let (_seeds, changed) = unbounded_channel();
            let registry = Registry::new(settings, Rc::new(TestProtocol(protocol_calls)));
            let stop = async {
                let _ = stopped.await;
            };
            registry.run(stop, changed).await.expect("runs");
        });
        let (callers, ready) = (at(7_300), at(7_301));
        let gateway = start_gateway(ip, link, gateway_settings);
        Fleet {
            callers,
            ready,
            link,
            registry_address: public,
            calls,
            gateway,
            _registry: registry,
            folder,
            _reservation: reservation,
        }
    }

    /// Starts with a configuration and targets, and waits until the gateway is ready.
    pub fn ready(name: &str, config: RoutingConfig, targets: &[&Target]) -> Fleet {
        let fleet = Fleet::start(name);
        for target in targets {
            fleet.announce(target, TargetState::Ready, 1);
        }
        fleet.configure(config);
        fleet.wait_ready();
        // The targets were announced before the configuration.
        fleet
    }

    pub fn wait_ready(&self) {
        wait_until("the gateway is ready", || {
            exchange(self.ready, "GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n").status == 200
        });
    }

    pub fn configure(&self, config: RoutingConfig) {
        self.call_registry(PublicRequest::Configure {
            config: Box::new(config),
            document: Vec::new(),
        });
    }

    /// Value of a metric of the gateway; 0 while it has none.
    pub fn metric(&self, name: &str) -> f64 {
        let address = SocketAddr::new(self.callers.ip(), 7_303);
        let text = exchange(address, "GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n").body;
        let value = text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok());
        value.unwrap_or(0.0)
    }

    pub fn announce(&self, target: &Target, state: TargetState, sequence: u64) {
        self.call_registry(PublicRequest::Announce(target.record(state, sequence)));
    }

    /// Sends a call to the registry and waits until it is accepted.
    pub fn call_registry(&self, call: PublicRequest) {
        let index = {
            let mut calls = self.calls.lock().expect("not poisoned");
            calls.push(call);
            calls.len() - 1
        };
        let body = index.to_string();
        let request = format!(
            "PUT / HTTP/1.1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        wait_until("the registry accepts", || {
            exchange(self.registry_address, &request).status == 200
        });
    }

    /// Ends the gateway at once, with all its connections.
    pub fn kill_gateway(&mut self) {
        if let Some(kill) = self.gateway.kill.take() {
            let _ = kill.send(());
        }
    }

    /// Signals the gateway to stop; its thread is joined when the fleet is dropped.
    pub fn stop_gateway(&mut self) {
        self.gateway.signal();
    }

    pub fn get(&self, path: &str, fields: &str) -> Reply {
        exchange(self.callers, &request("GET", path, fields, ""))
    }

    pub fn post(&self, path: &str, fields: &str, body: &str) -> Reply {
        exchange(self.callers, &request("POST", path, fields, body))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn request(method: &str, path: &str, fields: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h\r\nKey: k\r\nRequest-Id: r1\r\nConnection: close\r\n{fields}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A response as received by a caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub head: String,

    /// Body without chunk framing, as far as it was received.
    pub body: String,

    /// Whether the body was complete according to its framing.
    pub is_complete: bool,
}

/// Sends bytes and reads until the connection ends.
pub fn exchange(address: SocketAddr, request: &str) -> Reply {
    let Ok(mut stream) = TcpStream::connect(address) else { return Reply::default() };
    if stream.write_all(request.as_bytes()).is_err() {
        return Reply::default();
    }
    read_reply(&mut stream)
}

pub fn read_reply(stream: &mut TcpStream) -> Reply {
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a valid timeout");
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    let Some((head, rest)) = text.split_once("\r\n\r\n") else { return Reply::default() };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let lower = head.to_ascii_lowercase();
    let (body, is_complete) = if lower.contains("transfer-encoding: chunked") {
        let mut body = String::new();
        let mut left = rest;
        let mut is_complete = false;
        while let Some((size, after)) = left.split_once("\r\n") {
            let size = usize::from_str_radix(size, 16).unwrap_or(0);
            if size == 0 {
                is_complete = true;
                break;
            }
            let Some(chunk) = after.get(..size) else { break };
            body.push_str(chunk);
            left = after.get(size + 2..).unwrap_or_default();
        }
        (body, is_complete)
    } else {
        let length = lower
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))
            .and_then(|length| length.trim().parse::<usize>().ok());
        (rest.to_owned(), length == Some(rest.len()))
    };
    Reply { status, head: head.to_owned(), body, is_complete }
}

/// Waits until a condition holds.
pub fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "not within {WAIT_TIMEOUT:?}: {condition}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// What a target does with one request.
#[derive(Debug, Clone)]
pub enum Action {
    /// Sends these bytes, with `{id}` replaced by the request id. Keeps the connection open.
    Send(String),

    /// Sends these bytes after a delay. Keeps the connection open.
    SendAfter(String, Duration),

    /// Sends these bytes and closes the connection.
    SendAndClose(String),

    /// Sends these bytes and closes the connection after a delay.
    SendAndCloseAfter(String, Duration),

    /// Sends these bytes and stays silent until the peer disconnects.
    SendAndHang(String),

    /// Sends these bytes, then the second ones repeatedly with a pause between them, until the peer disconnects.
    SendWithoutEnd(String, String, Duration),
}

/// A target that follows a list of actions and then repeats the last one.
pub struct Target {
    pub id: &'static str,
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
    closed: Arc<Mutex<usize>>,
    _listener: Arc<TcpListener>,
}

impl Target {
    pub fn start(id: &'static str, actions: Vec<Action>) -> Target {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").expect("binds"));
        let address = listener.local_addr().expect("bound");
        let received: Arc<Mutex<Vec<String>>> = Arc::default();
        let closed: Arc<Mutex<usize>> = Arc::default();
        let actions = Arc::new(Mutex::new(actions));
        let (accepting, all_received, all_closed) =
            (listener.clone(), received.clone(), closed.clone());
        std::thread::spawn(move || {
            while let Ok((stream, _)) = accepting.accept() {
                let (actions, received, closed) =
                    (actions.clone(), all_received.clone(), all_closed.clone());
                std::thread::spawn(move || {
                    serve(stream, &actions, &received);
                    *closed.lock().expect("not poisoned") += 1;
                });
            }
        });
        Target { id, address, received, closed, _listener: listener }
    }

    pub fn record(&self, state: TargetState, sequence: u64) -> TargetRecord {
        TargetRecord {
            id: self.id.into(),
            started_ms: 1,
            sequence,
            service: "s".into(),
            address: self.address,
            zone: "z".into(),
            slots: 8,
            state,
            cold_remaining_ms: 0,
        }
    }

    /// Heads and bodies of the received requests.
    pub fn received(&self) -> Vec<String> {
        self.received.lock().expect("not poisoned").clone()
    }

    /// Number of closed connections.
    pub fn closed_connections(&self) -> usize {
        *self.closed.lock().expect("not poisoned")
    }
}

fn serve(mut stream: TcpStream, actions: &Mutex<Vec<Action>>, received: &Mutex<Vec<String>>) {
    let mut input = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&input).into_owned();
        let whole = text.split_once("\r\n\r\n").and_then(|(head, body)| {
            let length = head
                .to_ascii_lowercase()
                .lines()
                .find_map(|line| line.strip_prefix("content-length: ").map(str::to_owned))
                .and_then(|length| length.parse::<usize>().ok())
                .unwrap_or(0);
            (body.len() >= length).then_some(head.len() + 4 + length)
        });
        let Some(end) = whole else {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => input.extend_from_slice(&buffer[..count]),
            }
            continue;
        };
        input.drain(..end);
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("Request-Id: "))
            .unwrap_or_default()
            .to_owned();
        received.lock().expect("not poisoned").push(text);
        let action = {
            let mut actions = actions.lock().expect("not poisoned");
            if actions.len() > 1 { actions.remove(0) } else { actions[0].clone() }
        };
        if let Action::SendAfter(_, time) = &action {
            std::thread::sleep(*time);
        }
        let (Action::Send(response)
        | Action::SendAfter(response, _)
        | Action::SendAndClose(response)
        | Action::SendAndCloseAfter(response, _)
        | Action::SendAndHang(response)
        | Action::SendWithoutEnd(response, _, _)) = &action;
        if stream.write_all(response.replace("{id}", &id).as_bytes()).is_err() {
            return;
        }
        match action {
            Action::Send(_) | Action::SendAfter(..) => {}
            Action::SendAndClose(_) => return,
            Action::SendAndCloseAfter(_, time) => {
                std::thread::sleep(time);
                return;
            }
            Action::SendAndHang(_) => {
                while matches!(stream.read(&mut buffer), Ok(count) if count > 0) {}
                return;
            }
            Action::SendWithoutEnd(_, piece, pause) => {
                while stream.write_all(piece.as_bytes()).is_ok() {
                    std::thread::sleep(pause);
                }
                return;
            }
        }
    }
}

/// A complete response with a length.
pub fn response(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} S\r\nRequest-Id: {{id}}\r\nSigned: yes\r\nKeep-Alive: timeout=5\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A response stating that the request was not run.
pub fn not_run(status: u16) -> String {
    format!("HTTP/1.1 {status} S\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

/// The response head of a stream.
pub fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nSigned: yes\r\nContent-Type: text/event-stream\r\n\
     Transfer-Encoding: chunked\r\n\r\n"
        .to_owned()
}

/// Chunks with one event each.
pub fn events(numbers: impl IntoIterator<Item = u64>) -> String {
    let chunk = |number| {
        let event = format!("id: {number}\ndata: part {number}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    };
    numbers.into_iter().map(chunk).collect()
}
