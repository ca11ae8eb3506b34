//! The platform: machines on loopback addresses, their settings files, processes and signals, and the operator.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};

pub const ZONES: [&str; 3] = ["ikeja", "lekki", "yaba"];

const CONTROL_PORT: u16 = 8229;
const FRONTEND_PORT: u16 = 8227;
const READINESS_PORT: u16 = 8220;
const FIRST_INTERNAL_PORT: u16 = 7340;
const METRICS_PORT: u16 = 9464;

/// Time after which a caller of `control` moves on to another node.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The record of a case, with seconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(folder: &Path) -> std::io::Result<Record> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let mut file = self.file.lock().expect("no writer panics");
        let _ = file.write_all(line.as_bytes());
    }
}

/// Class and number of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Machine {
    Core(usize),
    Front(usize),
}

/// All machines of a deployment.
pub struct Fleet {
    pub record: Record,
    folder: PathBuf,
    network: u8,

    /// Keeps other fleets off the network.
    _claim: TcpListener,

    pub cores: usize,
    pub fronts: usize,
    processes: BTreeMap<Machine, Child>,
    is_first_start: bool,
    extra_settings: String,
}

impl Fleet {
    pub fn new(record: Record, cores: usize, fronts: usize) -> Result<Fleet, String> {
        for program in ["platform-gateway", "platform-registry"] {
            if !Path::new("target/release").join(program).exists() {
                return Err(format!("target/release/{program} is missing; build it first"));
            }
        }
        let name = format!("review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let first = 20 + (std::process::id() % 200) as u8;
        let mut networks = (0..200_u8).map(|step| 20 + (first - 20 + step) % 200);
        let (network, claim) = networks
            .find_map(|network| {
                let ports = [CONTROL_PORT, FRONTEND_PORT, READINESS_PORT, FIRST_INTERNAL_PORT, METRICS_PORT];
                let are_free = ports.iter().all(|port| TcpListener::bind(format!("127.{network}.1.1:{port}")).is_ok());
                let claim = TcpListener::bind(format!("127.{network}.9.9:{CONTROL_PORT}")).ok()?;
                are_free.then_some((network, claim))
            })
            .ok_or("no loopback network with free ports")?;
        record.note(&format!("network 127.{network}.0.0, {cores} core, {fronts} front"));
        let processes = BTreeMap::new();
        Ok(Fleet {
            record,
            folder,
            network,
            _claim: claim,
            cores,
            fronts,
            processes,
            is_first_start: true,
            extra_settings: String::new(),
        })
    }

    /// Zone of a machine: by turns.
    pub fn zone(machine: Machine) -> &'static str {
        let (Machine::Core(number) | Machine::Front(number)) = machine;
        ZONES[number % ZONES.len()]
    }

    pub fn ip(&self, machine: Machine) -> String {
        match machine {
            Machine::Core(number) => format!("127.{}.1.{}", self.network, number + 1),
            Machine::Front(number) => format!("127.{}.2.{}", self.network, number + 1),
        }
    }

    /// Address of an engine.
    pub fn engine_address(&self, number: usize) -> SocketAddr {
        format!("127.{}.3.{}:8120", self.network, number + 1).parse().expect("an address")
    }

    pub fn control(&self, core: usize) -> SocketAddr {
        format!("{}:{CONTROL_PORT}", self.ip(Machine::Core(core))).parse().expect("an address")
    }

    pub fn frontend(&self, front: usize) -> SocketAddr {
        format!("{}:{FRONTEND_PORT}", self.ip(Machine::Front(front))).parse().expect("an address")
    }

    fn readiness(&self, front: usize) -> SocketAddr {
        format!("{}:{READINESS_PORT}", self.ip(Machine::Front(front))).parse().expect("an address")
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, machine: Machine) -> Result<(), String> {
        let ip = self.ip(machine);
        let zone = Fleet::zone(machine);
        let (class, program, listen) = match machine {
            Machine::Core(number) => (
                format!("core-{zone}-{number}"),
                "platform-registry",
                format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
            ),
            Machine::Front(number) => (
                format!("front-{zone}-{number}"),
                "platform-gateway",
                format!("frontend = \"{ip}:{FRONTEND_PORT}\"\nreadiness = \"{ip}:{READINESS_PORT}\"\n"),
            ),
        };
        let (role, serves) = match machine {
            Machine::Core(_) => ("registry", "control"),
            Machine::Front(_) => ("gateway", "front"),
        };
        let seeds: Vec<String> =
            (0..self.cores.min(3)).map(|core| format!("\"{}\"", self.control(core))).collect();
        let data = self.folder.join(&class).join("data");
        if matches!(machine, Machine::Core(_)) {
            fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        }
        fs::create_dir_all(self.folder.join(&class)).map_err(|error| error.to_string())?;
        let data_line = match machine {
            Machine::Core(_) => format!("dataDir = \"{}\"\n", data.display()),
            Machine::Front(_) => String::new(),
        };
        let settings = format!(
            "nodeName = \"{class}\"\nrole = \"{role}\"\nmachineClass = \"{}\"\nserves = [\"{serves}\"]\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"lagos\"\ninternalPorts = [{FIRST_INTERNAL_PORT},{}]\nseeds = [{}]\n\
             bootstrap = {}\ninTolerance = {}\ndiscovery = \"registry\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             configMode = \"highest\"\n{data_line}[zones]\nikeja = \"lagos\"\nlekki = \"lagos\"\nyaba = \"lagos\"\n\
             [listen]\n{listen}[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseedLagS = 3\n\
             reuseAfterS = 2\ncontactMs = 3000\nackTimeoutMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n\
             lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nfailClosed = false\n\
             revokeMs = 5000\nretryBudgetRatio = 0.2\nretryWindowS = 10\nretryBudgetSlack = 104\ncoldOverage = 1.5\n\
             coldSlack = 5\nevacuateMs = 5000\nrecoveryS = 12\npassMs = 120\nretryAfterS = 0\nstall_ms = 1500\n\
             maxHoldMs = 20000\nfreeMs = 4000\nmaxIdleMs = 9000\n{}",
            if role == "registry" { "core" } else { "front" },
            FIRST_INTERNAL_PORT + 15,
            seeds.join(","),
            self.is_first_start,
            role == "registry",
            self.extra_settings,
        );
        let path = self.folder.join(&class).join("boot.toml");
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(&class).join("log"))
            .map_err(|error| error.to_string())?;
        let child = Command::new(Path::new("target/release").join(program))
            .args(["--metrics-port", &METRICS_PORT.to_string()])
            .env("MULBERRYLADDER_BOOT", path)
            .stdout(Stdio::from(log.try_clone().map_err(|error| error.to_string())?))
            .stderr(Stdio::from(log))
            .spawn()
            .map_err(|error| error.to_string())?;
        self.record.note(&format!("platform: started {machine:?} ({zone})"));
        self.processes.insert(machine, child);
        Ok(())
    }

    pub fn start_all(&mut self) -> Result<(), String> {
        for core in 0..self.cores {
            self.start(Machine::Core(core))?;
        }
        for front in 0..self.fronts {
            self.start(Machine::Front(front))?;
        }
        self.is_first_start = false;
        Ok(())
    }

    /// Sends a signal such as `-STOP`.
    pub fn signal(&self, machine: Machine, signal: &str) -> Result<(), String> {
        let child = self.processes.get(&machine).ok_or("the process does not run")?;
        let status = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        self.record.note(&format!("platform: sent {signal} to {machine:?}"));
        status.map_err(|error| error.to_string())?.success().then_some(()).ok_or_else(|| "no signal was sent".into())
    }

    pub fn kill(&mut self, machine: Machine) {
        if let Some(mut child) = self.processes.remove(&machine) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("platform: killed {machine:?}"));
        }
    }

    /// Whether a process has ended by itself; such a process is noted.
    pub fn note_ends(&mut self) -> bool {
        let mut has_ended = false;
        for (machine, child) in &mut self.processes {
            if let Ok(Some(status)) = child.try_wait() {
                self.record.note(&format!("platform: {machine:?} ended by itself: {status}"));
                has_ended = true;
            }
        }
        has_ended
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn empty_disk(&self, machine: Machine) -> Result<(), String> {
        let data = self.folder.join(self.name(machine)).join("data");
        fs::remove_dir_all(data).map_err(|error| error.to_string())?;
        self.record.note(&format!("platform: {machine:?} has lost its disk"));
        Ok(())
    }

    /// A gauge of a registry's metrics whose name ends so.
    pub fn metric(&self, core: usize, name: &str) -> Option<u64> {
        let address = format!("{}:{METRICS_PORT}", self.ip(Machine::Core(core))).parse().ok()?;
        let wait = Duration::from_millis(200);
        let response = http::call(address, "GET", "/metrics", "Host: metrics\r\nConnection: close\r\n", "", wait)?;
        let text = String::from_utf8(response.body).ok()?;
        let mut lines = text.lines().filter(|line| !line.starts_with('#'));
        lines.find_map(|line| {
            let (key, value) = line.split_once(' ')?;
            key.ends_with(name).then(|| value.parse().ok())?
        })
    }

    fn name(&self, machine: Machine) -> String {
        let zone = Fleet::zone(machine);
        match machine {
            Machine::Core(number) => format!("core-{zone}-{number}"),
            Machine::Front(number) => format!("front-{zone}-{number}"),
        }
    }

    pub fn is_ready(&self, front: usize) -> bool {
        let address = self.readiness(front);
        let wait = Duration::from_millis(500);
        let response = http::call(address, "GET", "/-/ready", "Host: platform\r\nConnection: close\r\n", "", wait);
        response.is_some_and(|response| response.status() == 200)
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while !(0..self.fronts).all(|front| self.is_ready(front)) {
            if Instant::now() > until {
                return Err("the gateways do not get ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.note("platform: all gateways are ready");
        Ok(())
    }

    /// Calls `control` on these nodes in turn until one accepts, as the operator and the engines do. Returns the time
    /// of the acknowledgement.
    pub fn insist(&self, who: &str, nodes: &[usize], method: &str, path: &str, body: &str) -> Result<f64, String> {
        let until = Instant::now() + Duration::from_secs(20);
        let mut pause = Duration::from_millis(50);
        loop {
            for &node in nodes {
                let response = self.call_control(node, method, path, body);
                let status = response.as_ref().map_or(0, Message::status);
                let shown = if status == 0 { "no response within a second".to_owned() } else { status.to_string() };
                self.record.note(&format!("{who}: {method} {path} at Core({node}): {shown}"));
                if (200..300).contains(&status) {
                    return Ok(self.record.now());
                }
                if Instant::now() > until {
                    return Err(format!("{method} {path} is not accepted"));
                }
                thread::sleep(pause);
            }
            pause = (pause * 2).min(Duration::from_millis(400));
        }
    }

    pub fn call_control(&self, node: usize, method: &str, path: &str, body: &str) -> Option<Message> {
        call_control(self.control(node), method, path, body)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.cores).map(|core| self.control(core)).collect()
    }
}

pub fn call_control(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let fields = format!("Host: {address}\r\nContent-Type: application/json\r\nConnection: close\r\n");
    http::call(address, method, path, &fields, body, CALL_TIMEOUT)
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = Command::new("kill").arg("-CONT").arg(child.id().to_string()).status();
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}
