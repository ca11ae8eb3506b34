//! Test support: a control group on loopback with data folders in a temporary directory, and a minimal
//! entry that renews leases.

#![allow(dead_code, reason = "each test binary uses only part of this module")]
#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mulberry_consensus::{MemberId, Role};
use mulberry_control::{ControlInstance, ControlSettings, StartError};
use mulberry_operators::{OperatorClient, OperatorToken};
use mulberry_peers::{PeerClient, PeerClientSettings, PeerError, PeerSecret};
use mulberry_types::{
    Change, ChangeId, ChangeOperation, ConfigurationVersion, ControlPortReply, ControlPortRequest,
    ControlReply, ControlRequest, Grant, Incarnation, Member, MembershipEpoch, NodeId, Renew,
    ZoneState,
};

/// Timeout of every wait. Long enough that a slow machine does not fail a test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub const SECRET: &str = "a shared secret for tests, 32 bytes or more";

pub const OPERATOR: &str = "tester";
pub const TOKEN: &str = "operator-token";
const TOKEN_SHA256: &str = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e";

/// Temporary directory that is removed at the end of the test.
#[derive(Debug)]
pub struct TestFolder {
    pub path: PathBuf,
}

impl TestFolder {
    pub fn new(name: &str) -> TestFolder {
        static COUNTER: AtomicU64 = AtomicU64::new(0);
        let number = COUNTER.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let path = std::env::temp_dir().join(format!("mulberry-control-{name}-{process}-{number}"));
        std::fs::create_dir_all(&path).unwrap();
        TestFolder { path }
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

/// Returns a free loopback address. Its port is below the ephemeral port range, so that no outgoing
/// connection can occupy the address of an instance that is being restarted.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let offset = (std::process::id() % 1_000) as u16 * 11;
    for _ in 0..11_000 {
        let port = 20_000 + (offset + NEXT.fetch_add(1, Ordering::Relaxed)) % 11_000;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}

/// Instances of one group. A stopped instance is `None`.
#[derive(Debug)]
pub struct Group {
    pub folder: TestFolder,
    pub settings: Vec<ControlSettings>,
    pub instances: Vec<Option<ControlInstance>>,
}

impl Group {
    /// Starts a group and waits for its first leader.
    pub fn start(name: &str, size: usize) -> Group {
        let mut group = Group::prepare(name, size);
        (0..size).for_each(|index| group.start_one(index));
        group.wait_for_leader();
        group
    }

    /// Creates settings and folders without starting instances.
    pub fn prepare(name: &str, size: usize) -> Group {
        let folder = TestFolder::new(name);
        let secret_file = folder.path.join("secret");
        std::fs::write(&secret_file, SECRET).unwrap();
        let peers: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
        let settings = peers
            .iter()
            .enumerate()
            .map(|(index, peer_address)| ControlSettings {
                name: format!("control-{index}").into(),
                peer_address: *peer_address,
                operator_address: free_address(),
                platform_address: free_address(),
                test_faults_address: free_address(),
                peers: peers.clone(),
                bootstrap: true,
                operators: vec![OperatorToken {
                    operator: OPERATOR.into(),
                    token_sha256: TOKEN_SHA256.to_owned(),
                }],
                data_folder: folder.path.join(format!("data-{index}")),
                secret_file: secret_file.clone(),
                ..ControlSettings::default()
            })
            .collect();
        Group { folder, settings, instances: (0..size).map(|_| None).collect() }
    }

    pub fn start_one(&mut self, index: usize) {
        assert!(self.instances[index].is_none());
        // The HTTP servers of an instance that has just ended close their listeners in the background.
        let instance = wait_for("the addresses of an instance", || {
            match ControlInstance::start(&self.settings[index]) {
                Err(StartError::Listen { .. }) => None,
                result => Some(result.unwrap()),
            }
        });
        self.instances[index] = Some(instance);
    }

    /// Creates an operator API client for all instances.
    pub fn operator_client(&self) -> OperatorClient {
        let addresses = self.settings.iter().map(|settings| settings.operator_address).collect();
        OperatorClient::new(addresses, TOKEN).unwrap()
    }

    /// Stops an instance without a graceful shutdown.
    pub fn abort(&mut self, index: usize) {
        self.instances[index].take().unwrap().abort();
    }

    /// Removes the data folder of a stopped instance.
    pub fn wipe(&self, index: usize) {
        assert!(self.instances[index].is_none());
        std::fs::remove_dir_all(&self.settings[index].data_folder).unwrap();
    }

    pub fn instance(&self, index: usize) -> &ControlInstance {
        self.instances[index].as_ref().unwrap()
    }

    pub fn running(&self) -> impl Iterator<Item = (usize, &ControlInstance)> {
        let instances = self.instances.iter().enumerate();
        instances.filter_map(|(index, instance)| Some((index, instance.as_ref()?)))
    }

    /// Waits for a running instance that leads and is confirmed by a majority. Returns its index.
    pub fn wait_for_leader(&self) -> usize {
        wait_for("a leader", || {
            self.running().find_map(|(index, instance)| {
                let is_leader = instance.handle().status().role == Role::Leader;
                (is_leader && instance.handle().configuration().is_ok()).then_some(index)
            })
        })
    }

    pub fn member_id(&self, index: usize) -> MemberId {
        self.instance(index).handle().status().member
    }

    /// Submits a change to the leader and retries it with the same id until its outcome is known.
    pub fn change(&self, change: &Change) -> mulberry_types::ChangeOutcome {
        wait_for("an outcome of a change", || {
            let leader = self.wait_for_leader();
            self.instance(leader).handle().change(change.clone()).ok()
        })
    }

    /// Sets the zone out of service at whatever version is current, and returns the new version.
    pub fn set_zone(&self, id: &str, zone: &str) -> ConfigurationVersion {
        loop {
            let leader = self.wait_for_leader();
            let Ok((version, _)) = self.instance(leader).handle().configuration() else { continue };
            match self.change(&set_zone(&format!("{id}-{}", version.0), zone, version)) {
                mulberry_types::ChangeOutcome::Accepted { version } => return version,
                mulberry_types::ChangeOutcome::Rejected { .. } => {}
            }
        }
    }
}

/// Change that sets a zone to [`ZoneState::Out`].
pub fn set_zone(id: &str, zone: &str, expected_version: ConfigurationVersion) -> Change {
    Change {
        id: ChangeId(id.into()),
        operator: OPERATOR.into(),
        expected_version,
        operations: vec![ChangeOperation::SetZone { zone: zone.into(), state: ZoneState::Out }],
    }
}

/// Polls until there is a value.
///
/// # Panics
/// There is no value after [`WAIT_TIMEOUT`].
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(begin.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Minimal entry that renews its lease and records the pushes that it receives.
#[derive(Debug)]
pub struct TestEntry {
    pub member: Member,
    clients: Vec<PeerClient<ControlPortRequest, ControlPortReply>>,
    pub have_version: ConfigurationVersion,
    pub have_epoch: MembershipEpoch,
    sequence: u64,
    pub pushes: Arc<Mutex<Vec<ControlReply>>>,
}

impl TestEntry {
    pub fn new(node: u32, incarnation: u64, controls: &[SocketAddr]) -> TestEntry {
        let pushes = Arc::<Mutex<Vec<ControlReply>>>::default();
        let clients = controls
            .iter()
            .map(|address| {
                let pushes = pushes.clone();
                let settings = PeerClientSettings::default();
                PeerClient::new(*address, PeerSecret::new(SECRET).unwrap(), settings, move |push| {
                    let ControlPortReply::Entry(push) = push;
                    pushes.lock().unwrap().push(push);
                })
            })
            .collect();
        let port = u16::try_from(node).unwrap();
        TestEntry {
            member: Member {
                node: NodeId(node),
                incarnation: Incarnation(incarnation),
                peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
                zone: "a".into(),
            },
            clients,
            have_version: ConfigurationVersion(0),
            have_epoch: MembershipEpoch(0),
            sequence: 0,
            pushes,
        }
    }

    pub fn in_group(node: u32, group: &Group) -> TestEntry {
        TestEntry::new(node, u64::from(node) + 1_000, &group.settings[0].peers)
    }

    /// Sends a request to one instance.
    pub fn call(
        &self,
        index: usize,
        request: ControlRequest,
        timeout: Duration,
    ) -> Result<ControlReply, PeerError> {
        let request = ControlPortRequest::Entry(request);
        let ControlPortReply::Entry(reply) = self.clients[index].call(&request, timeout)?;
        Ok(reply)
    }

    pub fn renewal(&mut self) -> ControlRequest {
        self.sequence += 1;
        ControlRequest::Renew(Renew {
            member: self.member.clone(),
            sequence: self.sequence,
            have_version: self.have_version,
            have_epoch: self.have_epoch,
        })
    }

    /// Renews at one instance without recording the grant.
    pub fn try_renew(&mut self, index: usize) -> Option<Grant> {
        let request = self.renewal();
        match self.call(index, request, Duration::from_secs(2)) {
            Ok(ControlReply::Granted(grant)) => Some(grant),
            _ => None,
        }
    }

    /// Renews at the instances in turn until a lease is granted, and records its version and epoch.
    pub fn renew(&mut self) -> Grant {
        let begin = Instant::now();
        loop {
            for index in 0..self.clients.len() {
                if let Some(grant) = self.try_renew(index) {
                    self.have_version = grant.version;
                    self.have_epoch = grant.epoch;
                    return grant;
                }
            }
            assert!(begin.elapsed() < WAIT_TIMEOUT, "no lease was granted");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends a request to the instances in turn until one returns a result.
    pub fn request(&self, request: &ControlRequest) -> ControlReply {
        wait_for("a result of an entry's request", || {
            (0..self.clients.len()).find_map(|index| {
                match self.call(index, request.clone(), Duration::from_secs(3)) {
                    Ok(ControlReply::Redirect { .. }) | Err(_) => None,
                    Ok(reply) => Some(reply),
                }
            })
        })
    }
}

/// Total size of the files in a folder, in bytes.
pub fn folder_bytes(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).unwrap();
    files.map(|file| file.unwrap().metadata().unwrap().len()).sum()
}
