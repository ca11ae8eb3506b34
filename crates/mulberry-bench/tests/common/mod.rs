//! A fleet of real processes on loopback, with settings, data and logs in a temporary directory.
//!
//! One test runs at a time, so that tests do not starve each other. The fleet of the next one starts
//! meanwhile, because a start is mostly waiting.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use attohttpc::{Method, ProxySettings, RequestBuilder};
use mulberry_bench::{Call, Completion, Prompt, Route, Sent, send_call, send_completion};
use mulberry_operators::OperatorClient;
use serde_json::{Value, json};

/// Limit of every wait for which the design states no bound, and of one question to a process that may be frozen.
const LIMIT: Duration = Duration::from_secs(20);
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

const TOKEN: &str = "operator-token";
const TOKEN_SHA256: &str = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";

static STARTS: Mutex<()> = Mutex::new(());
static RUNS: Mutex<()> = Mutex::new(());

/// Processes of a fleet by name, such as `entry-1`. Dropping it ends them and removes the directory.
pub struct Fleet {
    pub controls: Vec<String>,
    pub entries: Vec<String>,
    pub engines: Vec<String>,
    pub services: Vec<String>,
    folder: PathBuf,

    /// By name and role, such as `entry-1.callers`.
    addresses: BTreeMap<String, SocketAddr>,
    running: Mutex<BTreeMap<String, Child>>,
    requests: AtomicU64,
    run: Option<MutexGuard<'static, ()>>,
}

impl Fleet {
    /// Starts a fleet and waits until every entry sees every target. `engine` overrides settings of the engines.
    pub fn start(entries: usize, engines: usize, services: usize, engine: &Value) -> Fleet {
        let _start = STARTS.lock().unwrap_or_else(PoisonError::into_inner);
        let names = |kind: &str, count| (1..=count).map(|n| format!("{kind}-{n}")).collect();
        let folder = std::env::temp_dir().join(format!("mulberry-fleet-{}", free_address()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut fleet = Fleet {
            controls: names("control", 3),
            entries: names("entry", entries),
            engines: names("engine", engines),
            services: names("service", services),
            folder,
            addresses: BTreeMap::new(),
            running: Mutex::default(),
            requests: AtomicU64::new(1),
            run: None,
        };
        let parts = [&fleet.controls, &fleet.entries, &fleet.engines, &fleet.services];
        for name in parts.into_iter().flatten() {
            for role in ["peer", "operator", "platform", "faults", "callers", "targets", "listen"] {
                fleet.addresses.insert(format!("{name}.{role}"), free_address());
            }
        }
        std::fs::write(fleet.folder.join("secret"), "a shared secret of at least 32 bytes")
            .unwrap();
        let configuration = fleet.folder.join("configuration.json").display().to_string();
        std::fs::write(&configuration, include_str!("configuration.json")).unwrap();
        fleet.controls.iter().for_each(|name| fleet.spawn(name, &json!({})));
        wait_for("the control group", || fleet.ctl(&["apply", &configuration, "--yes"]).ok());
        fleet.entries.iter().for_each(|name| fleet.spawn(name, &json!({})));
        fleet.engines.iter().for_each(|name| fleet.spawn(name, engine));
        fleet.services.iter().for_each(|name| fleet.spawn(name, &json!({})));
        for entry in &fleet.entries {
            let seen = || fleet.metric(entry, "mulberry_ready_targets");
            wait_for("all targets", || (seen()? == engines + services).then_some(()));
        }
        fleet.run = Some(RUNS.lock().unwrap_or_else(PoisonError::into_inner));
        fleet
    }

    pub fn address(&self, name: &str, role: &str) -> SocketAddr {
        self.addresses[&format!("{name}.{role}")]
    }

    fn all(&self, names: &[String], role: &str) -> Vec<SocketAddr> {
        names.iter().map(|name| self.address(name, role)).collect()
    }

    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    /// Starts a process of the fleet. `extra` overrides its settings.
    pub fn spawn(&self, name: &str, extra: &Value) {
        let (kind, number) = name.split_once('-').unwrap();
        let number: usize = number.parse().unwrap();
        let at = |role| self.address(name, role);
        let (zone, secret) =
            (["zone-a", "zone-b", "zone-c"][number % 3], self.folder.join("secret"));
        let control = self.all(&self.controls, "peer");
        let operator = json!({ "operator": "tester", "token_sha256": TOKEN_SHA256 });
        let mut announce_to = self.all(&self.entries, "targets");
        // Announcements go to a different entry first, so that no entry gets all of them.
        announce_to.rotate_left(number % self.entries.len());
        let mut settings = match kind {
            "control" => json!({
                "name": name, "peer_address": at("peer"), "operator_address": at("operator"),
                "platform_address": at("platform"), "test_faults_address": at("faults"),
                "test_faults": true, "bootstrap": true, "peers": control, "secret_file": secret,
                "data_folder": self.data_folder(name), "operators": [operator],
            }),
            "entry" => json!({
                "node": number, "zone": zone, "control": control, "secret_file": secret,
                "caller_listen": at("callers"), "target_listen": at("targets"),
                "platform_listen": at("platform"), "peer_listen": at("peer"),
            }),
            _ => json!({
                "target": name, "zone": zone, "listen": at("listen"), "announce_to": announce_to,
            }),
        };
        settings.as_object_mut().unwrap().extend(extra.as_object().unwrap().clone());
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let family = if matches!(kind, "control" | "entry") { "mulberry" } else { "standin" };
        let mut command = Command::new(binary(&format!("{family}-{kind}")));
        command.arg("--settings").arg(file).stdin(Stdio::null());
        let child = command.stdout(log.try_clone().unwrap()).stderr(log).spawn().unwrap();
        self.running().insert(name.to_owned(), child);
    }

    fn running(&self) -> MutexGuard<'_, BTreeMap<String, Child>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// SIGKILL.
    pub fn kill(&self, name: &str) {
        let mut child = self.running().remove(name).unwrap();
        child.kill().and_then(|()| child.wait()).unwrap();
    }

    /// Sends a signal such as `STOP`.
    pub fn signal(&self, name: &str, signal: &str) {
        let id = self.running()[name].id().to_string();
        assert!(Command::new("kill").args(["-s", signal, &id]).status().unwrap().success());
    }

    /// Waits for a process to end by itself.
    pub fn wait_for_exit(&self, name: &str) -> ExitStatus {
        wait_for("an exit", || self.running().get_mut(name).unwrap().try_wait().unwrap())
    }

    /// Runs mulberryctl; the error is its standard error.
    pub fn ctl(&self, arguments: &[&str]) -> Result<(), String> {
        let controls = self.all(&self.controls, "operator").into_iter().map(|a| a.to_string());
        let output = Command::new(binary("mulberryctl"))
            .args(["--control", &controls.collect::<Vec<_>>().join(",")])
            .args(arguments)
            .env("MULBERRY_OPERATOR_TOKEN", TOKEN)
            .output()
            .unwrap();
        output.status.success().then_some(()).ok_or(String::from_utf8(output.stderr).unwrap())
    }

    pub fn operator(&self, controls: &[String]) -> OperatorClient {
        OperatorClient::new(self.all(controls, "operator"), TOKEN).unwrap()
    }

    /// Name of the control instance that leads.
    pub fn leader(&self) -> String {
        wait_for("a leader", || {
            let leader = self.operator(&self.controls).status().ok()?.leader_operator_address?;
            self.controls.iter().find(|name| self.address(name, "operator") == leader).cloned()
        })
    }

    /// Sets a fault, such as `drop` or `none`, on all links between an entry and control.
    pub fn cut_from_control(&self, entry: &str, fault: &str) {
        let peer = self.address(entry, "peer");
        for control in self.all(&self.controls, "faults") {
            let path = format!("/faults?peer={peer}&direction=both&fault={fault}");
            ask(Method::POST, control, &path, "", LIMIT).unwrap();
        }
    }

    /// Injects a fault of a stand-in.
    pub fn inject(&self, target: &str, fault: &Value) {
        let fault = fault.to_string();
        ask(Method::POST, self.address(target, "listen"), "/faults", &fault, LIMIT).unwrap();
    }

    /// What a stand-in reports; `None` if it does not answer.
    pub fn accounting(&self, target: &str) -> Option<Value> {
        let address = self.address(target, "listen");
        serde_json::from_str(&ask(Method::GET, address, "/accounting", "", LIMIT)?).ok()
    }

    /// Sum of a number in the accounting of engines, all of which must answer.
    pub fn sum(&self, engines: &[String], field: &str) -> u64 {
        let number = |engine: &String| match &self.accounting(engine).unwrap()[field] {
            Value::Object(counts) => counts.values().filter_map(Value::as_u64).sum(),
            value => value.as_u64().unwrap(),
        };
        engines.iter().map(number).sum()
    }

    /// Value of a metric without labels.
    pub fn metric(&self, entry: &str, metric: &str) -> Option<usize> {
        let text = ask(Method::GET, self.address(entry, "platform"), "/metrics", "", ASK_TIMEOUT)?;
        text.lines().find_map(|line| line.strip_prefix(metric)?.strip_prefix(' ')?.parse().ok())
    }

    pub fn is_ready(&self, entry: &str) -> bool {
        ask(Method::GET, self.address(entry, "platform"), "/readyz", "", ASK_TIMEOUT).is_some()
    }

    /// Sends a streamed completion, with a prompt of its own, through an entry.
    pub fn complete(&self, entry: &str, tokens: u64, max_tokens: u32) -> Sent {
        let seed = self.requests.fetch_add(1, Ordering::Relaxed);
        let text = Prompt { tokens, seed, prefix_seed: None }.text();
        let model = "model-a".to_owned();
        let request = Completion { model, text, max_tokens, stream: true, chat: false };
        send_completion(&self.route(entry), &request)
    }

    /// Sends a booking that must not run twice.
    pub fn book(&self, entry: &str, key: &str) -> Sent {
        let path = format!("/services/bookings/seats?call={key}");
        let (body, idempotency_key) = (format!("seat of {key}"), Some(key.to_owned()));
        let call = Call { method: "POST".to_owned(), path, body, idempotency_key };
        send_call(&self.route(entry), &call)
    }

    fn route(&self, entry: &str) -> Route {
        Route {
            entries: vec![self.address(entry, "callers")],
            api_key: "test-key".to_owned(),
            deadline: Duration::from_secs(20),
            late_after: Duration::from_millis(500),
            lost_after: Duration::from_secs(10),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for mut child in std::mem::take(&mut *self.running()).into_values() {
            let _ = child.kill().and_then(|()| child.wait());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Polls until there is a value; panics at the limit.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(begin.elapsed() < LIMIT, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Body of an answer with status 200.
fn ask(method: Method, to: SocketAddr, path: &str, body: &str, limit: Duration) -> Option<String> {
    let request = RequestBuilder::new(method, format!("http://{to}{path}"))
        .proxy_settings(ProxySettings::builder().build())
        .connect_timeout(limit)
        .read_timeout(limit);
    request.text(body).send().ok()?.error_for_status().ok()?.text_utf8().ok()
}

/// A program that cargo has built next to the folder `deps`, which holds the test executable.
fn binary(name: &str) -> PathBuf {
    let path = std::env::current_exe().unwrap().ancestors().nth(2).unwrap().join(name);
    assert!(path.exists(), "{name} is not built; run `cargo build --workspace` first");
    path
}

/// A free loopback address. Ports lie below the range of outgoing connections, so that none of these
/// takes the address of a process that is being restarted. Each test process has 200 ports, enough
/// for two fleets, because a port stays free until the process that is meant for it has started.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 40) as u16 * 200;
    let ports = (0..200).map(|_| first + NEXT.fetch_add(1, Ordering::Relaxed) % 200);
    let mut addresses = ports.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    addresses.find(|address| TcpListener::bind(address).is_ok()).unwrap()
}
