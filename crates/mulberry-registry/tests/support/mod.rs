//! Test support: a group of registries that store their logs on disk and connect over loopback addresses.

#![allow(dead_code, reason = "each test binary uses only part of this module")]

use std::collections::HashMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use mulberry_directory::{TargetRecord, TargetState};
use mulberry_log::FileSystemDisk;
use mulberry_registry::{
    InvalidRequest, OpenDisk, PublicProtocol, PublicRequest, Registry, RegistrySettings,
};
use mulberry_routes::RoutingConfig;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;

/// Maximum time for a group to form, elect a leader or readmit a member. Long, because the machine may be busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A plain-text protocol. The body of a configuration starts with its version; versions start at 1.
#[derive(Debug)]
pub struct TestProtocol;

impl PublicProtocol for TestProtocol {
    fn decode(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<PublicRequest, InvalidRequest> {
        let text = String::from_utf8_lossy(&body).into_owned();
        match (method, path) {
            ("GET", "/config") => Ok(PublicRequest::ReadConfig),
            ("PUT", "/config") => {
                let version = text.split(' ').next().and_then(|number| number.parse().ok());
                let version =
                    version.ok_or(InvalidRequest { status: 400, reason: "bad".to_owned() })?;
                let config = RoutingConfig { version, ..RoutingConfig::default() };
                Ok(PublicRequest::Configure { config: Box::new(config), document: body })
            }
            ("PUT", "/target") => Ok(PublicRequest::Announce(record(&text, 1, TargetState::Ready))),
            ("PUT", "/second-start") => {
                Ok(PublicRequest::Announce(record(&text, 2, TargetState::Ready)))
            }
            ("PUT", "/draining") => {
                Ok(PublicRequest::Announce(record(&text, 1, TargetState::Draining)))
            }
            ("POST", "/zone") => Ok(PublicRequest::Evacuate { zone: text.as_str().into() }),
            ("DELETE", "/zone") => Ok(PublicRequest::Restore { zone: text.as_str().into() }),
            ("DELETE", "/target") => {
                Ok(PublicRequest::Leave { id: text.as_str().into(), started_ms: None })
            }
            _ => Err(InvalidRequest { status: 404, reason: "unknown".to_owned() }),
        }
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

pub fn record(id: &str, started_ms: u64, state: TargetState) -> TargetRecord {
    TargetRecord {
        id: id.into(),
        started_ms,
        sequence: if state == TargetState::Ready { 1 } else { 2 },
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "z".into(),
        slots: 1,
        state,
        cold_remaining_ms: 0,
    }
}

pub struct RunningRegistry {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for RunningRegistry {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A group whose members share a port number for links, on different loopback addresses.
pub struct Group {
    pub folder: PathBuf,
    pub link_port: u16,
    pub public_port: u16,

    /// Third byte of all addresses, distinct for each test.
    pub network: u8,

    /// Last bytes of the addresses of the seeds.
    pub seeds: Vec<u8>,

    pub max_voters: usize,
    pub open_disk: OpenDisk,
    pub running: HashMap<u8, RunningRegistry>,
}

impl Group {
    /// Starts a new group; `seeds` holds the last bytes of the members' addresses.
    pub fn form(name: &str, network: u8, seeds: &[u8]) -> Group {
        Group::form_with(name, network, seeds, usize::MAX)
    }

    pub fn form_with(name: &str, network: u8, seeds: &[u8], max_voters: usize) -> Group {
        Group::form_on_disks(name, network, seeds, max_voters, |path| {
            Ok(Box::new(FileSystemDisk::new(path)?))
        })
    }

    /// Starts a new group whose logs are on the given kind of disk.
    pub fn form_on_disks(
        name: &str,
        network: u8,
        seeds: &[u8],
        max_voters: usize,
        open_disk: OpenDisk,
    ) -> Group {
        let folder = std::env::temp_dir().join(format!("mulberry-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let first = SocketAddr::from(([127, 0, network, seeds[0]], 0));
        let free_port =
            || TcpListener::bind(first).expect("binds").local_addr().expect("bound").port();
        let (link_port, public_port) = (free_port(), free_port());
        let mut group = Group {
            folder,
            link_port,
            public_port,
            network,
            seeds: seeds.to_vec(),
            max_voters,
            open_disk,
            running: HashMap::new(),
        };
        for seed in seeds {
            group.start(*seed, true);
        }
        group
    }

    pub fn public_address(&self, member: u8) -> SocketAddr {
        ([127, 0, self.network, member], self.public_port).into()
    }

    pub fn link_address(&self, member: u8) -> SocketAddr {
        ([127, 0, self.network, member], self.link_port).into()
    }

    pub fn start(&mut self, member: u8, bootstrap: bool) {
        let network = self.network;
        let link = |last: u8| SocketAddr::from(([127, 0, network, last], self.link_port));
        let settings = RegistrySettings {
            name: format!("registry-{member}"),
            public_address: self.public_address(member),
            link_address: link(member),
            seeds: self.seeds.iter().map(|last| link(*last)).collect(),
            bootstrap,
            max_voters: self.max_voters,
            data_folder: self.folder.join(member.to_string()),
            ..RegistrySettings::default()
        };
        let open_disk = self.open_disk;
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let (_seeds, changed) = unbounded_channel();
            let stopped = async {
                let _ = stopped.await;
            };
            let registry = Registry::new(settings, Rc::new(TestProtocol)).with_disk(open_disk);
            runtime.expect("a runtime").block_on(registry.run(stopped, changed)).expect("runs");
        });
        self.running.insert(member, RunningRegistry { stop: Some(stop), thread: Some(thread) });
    }

    pub fn stop(&mut self, member: u8) {
        self.running.remove(&member);
    }

    pub fn delete_data_folder(&self, member: u8) {
        std::fs::remove_dir_all(self.folder.join(member.to_string())).expect("has a folder");
    }

    pub fn request(
        &self,
        member: u8,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let mut stream =
            TcpStream::connect_timeout(&self.public_address(member), Duration::from_secs(1))
                .ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: r\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut response = String::new();
        stream.read_to_string(&mut response).ok()?;
        let status = response.split(' ').nth(1)?.parse().ok()?;
        let body = response.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
        Some((status, body.unwrap_or_default()))
    }

    /// Repeats a request until the status is 200, and returns the response body.
    pub fn request_until_ok(&self, member: u8, method: &str, path: &str, body: &str) -> String {
        let started = Instant::now();
        loop {
            if let Some((200, response_body)) = self.request(member, method, path, body) {
                return response_body;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "member {member} did not respond to {method} {path} with status 200"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.running.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
