//! A control instance: replica, peer port, links, operator API and platform endpoints.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

use crossbeam::channel::{Sender, TrySendError, bounded};
use mulberry_consensus::MemberId;
use mulberry_log::{DataFolder, Disk, FileSystemDisk, LogError};
use mulberry_operators::{OperatorServer, OperatorTokens, operator_http_settings};
use mulberry_peers::{
    Call, LinkFaults, PeerClientSettings, PeerSecret, PeerSecretError, PeerServer,
    PeerServerSettings, PeerStats, Responder,
};
use mulberry_telemetry::{Health, PlatformServer};
use mulberry_types::{ControlPortReply, ControlPortRequest, ControlReply, SettingsError};
use prometheus_client::registry::Registry;

use crate::entry_connections::EntryConnections;
use crate::fault_endpoint::FaultEndpoint;
use crate::replica::{Replica, ReplicaParts};
use crate::replica_input::Input;
use crate::replica_status::{ReplicaStatus, SharedStatus};
use crate::{ControlHandle, ControlMetrics, ControlSettings, PeerLink};

/// Capacity of the input queue of the replica. When it is full, requests are refused and Raft messages
/// are dropped.
const INPUT_QUEUE_CAPACITY: usize = 16_384;

/// Time allowed for sending the last replies after the replica has ended.
const REPLY_FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// A running control instance. Dropping it aborts it.
#[derive(Debug)]
pub struct ControlInstance {
    handle: ControlHandle,
    inputs: Sender<Input>,
    health: Arc<Health>,
    is_aborted: Arc<AtomicBool>,
    replica: Option<JoinHandle<()>>,
    peer_server: PeerServer<ControlPortRequest, ControlPortReply>,
    faults: LinkFaults,
    operator_server: OperatorServer,
    _platform_server: PlatformServer,
    _fault_endpoint: Option<FaultEndpoint>,
}

/// Error while starting an instance.
#[derive(Debug)]
pub enum StartError {
    Settings(SettingsError),
    Secret(PeerSecretError),
    Folder(LogError),

    /// Cannot listen on an address from the settings.
    Listen {
        field: &'static str,
        address: SocketAddr,
        source: io::Error,
    },

    /// Cannot start a server or thread.
    Start {
        component: &'static str,
        source: io::Error,
    },
}

impl ControlInstance {
    /// Starts an instance with the data folder of its settings.
    ///
    /// # Errors
    /// The settings, the secret or the data folder are unusable, an address is in use, or a thread cannot
    /// be started.
    pub fn start(settings: &ControlSettings) -> Result<ControlInstance, StartError> {
        let path = &settings.data_folder;
        let disk = FileSystemDisk::new(path).map_err(|source| {
            StartError::Folder(LogError::Open {
                action: "create",
                file: path.display().to_string(),
                source,
            })
        })?;
        ControlInstance::start_on_disk(settings, Box::new(disk))
    }

    /// Like [`ControlInstance::start`], with a given disk, so that tests can inject disk failures.
    ///
    /// # Errors
    /// As [`ControlInstance::start`].
    pub fn start_on_disk(
        settings: &ControlSettings,
        disk: Box<dyn Disk>,
    ) -> Result<ControlInstance, StartError> {
        settings.check().map_err(StartError::Settings)?;
        let tokens = OperatorTokens::new(&settings.operators).map_err(|error| {
            let field = SettingsError::Field { path: error.path, problem: error.problem };
            StartError::Settings(field)
        })?;
        let secret = PeerSecret::from_file(&settings.secret_file).map_err(StartError::Secret)?;
        // Opened first, so that a second process on the same folder fails before it binds any address.
        let (folder, durable) =
            DataFolder::open_with_disk(disk, settings.log.clone()).map_err(StartError::Folder)?;
        let member = folder.member_id();
        let peer_listener = listen("peer_address", settings.peer_address)?;
        let operator_listener = listen("operator_address", settings.operator_address)?;
        let platform_listener = listen("platform_address", settings.platform_address)?;

        let faults = LinkFaults::default();
        let stats = Arc::<PeerStats>::default();
        let health = Arc::<Health>::default();
        let metrics = ControlMetrics::default();
        let mut registry = Registry::default();
        metrics.register(&mut registry, &stats);
        let platform_server = PlatformServer::start(
            platform_listener,
            health.clone(),
            Arc::new(Mutex::new(registry)),
        )
        .map_err(|source| StartError::Start { component: "platform endpoints", source })?;
        let fault_endpoint = if settings.test_faults {
            let listener = listen("test_faults_address", settings.test_faults_address)?;
            let endpoint = FaultEndpoint::start(listener, faults.clone())
                .map_err(|source| StartError::Start { component: "test fault endpoint", source })?;
            Some(endpoint)
        } else {
            None
        };

        let (inputs, receiver) = bounded(INPUT_QUEUE_CAPACITY);
        let peer_server = start_peer_server(
            peer_listener,
            &secret,
            PeerServerSettings {
                faults: faults.clone(),
                stats: stats.clone(),
                ..PeerServerSettings::default()
            },
            &inputs,
            &metrics,
        )?;
        let client_settings = PeerClientSettings {
            advertised_address: Some(settings.peer_address),
            faults: faults.clone(),
            stats,
            ..PeerClientSettings::default()
        };
        let others = settings.peers.iter().filter(|peer| **peer != settings.peer_address);
        let links: HashMap<_, _> = others
            .map(|peer| (*peer, PeerLink::new(*peer, secret.clone(), client_settings.clone())))
            .collect();

        let status = SharedStatus::new(ReplicaStatus::new(member));
        let is_aborted = Arc::<AtomicBool>::default();
        let parts = ReplicaParts {
            own_address: settings.peer_address,
            operator_address: settings.operator_address,
            peers: settings.peers.clone(),
            bootstrap: settings.bootstrap,
            snapshot_entries: settings.snapshot_entries,
            folder,
            durable,
            links,
            connections: EntryConnections::new(peer_server.pusher()),
            inputs: receiver,
            is_aborted: is_aborted.clone(),
            metrics,
            health: health.clone(),
            status: status.clone(),
        };
        let replica = Builder::new()
            .name("replica".to_owned())
            .spawn(move || Replica::new(parts).run())
            .map_err(|source| StartError::Start { component: "replica thread", source })?;
        let handle = ControlHandle::new(inputs.clone(), status);
        let operator_server = OperatorServer::start(
            operator_listener,
            operator_http_settings(),
            tokens,
            Arc::new(handle.clone()),
        )
        .map_err(|source| StartError::Start { component: "operator API", source })?;
        tracing::info!(event = "started", %member, address = %settings.peer_address);
        Ok(ControlInstance {
            handle,
            inputs,
            health,
            is_aborted,
            replica: Some(replica),
            peer_server,
            faults,
            operator_server,
            _platform_server: platform_server,
            _fault_endpoint: fault_endpoint,
        })
    }

    pub fn handle(&self) -> &ControlHandle {
        &self.handle
    }

    pub fn health(&self) -> &Arc<Health> {
        &self.health
    }

    /// Fault injection for the links of this instance, for tests.
    pub fn faults(&self) -> &LinkFaults {
        &self.faults
    }

    /// Whether the replica thread is running. It ends only after a stop, an abort or a panic.
    pub fn is_running(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| !replica.is_finished())
    }

    /// Shuts down gracefully: clears readiness, transfers leadership, replies to pending requests, then
    /// stops.
    pub fn stop(mut self) {
        self.health.begin_stop();
        let _ = self.inputs.send(Input::Stop);
        self.join();
        self.operator_server.stop(REPLY_FLUSH_TIMEOUT);
        std::thread::sleep(REPLY_FLUSH_TIMEOUT);
        self.peer_server.close();
        tracing::info!(event = "stopped");
    }

    /// Stops immediately, without transferring leadership, replying to pending requests or flushing.
    pub fn abort(self) {}

    fn join(&mut self) {
        if let Some(replica) = self.replica.take() {
            if replica.join().is_err() {
                tracing::error!(event = "replica_panicked");
            }
        }
    }
}

impl Drop for ControlInstance {
    fn drop(&mut self) {
        self.is_aborted.store(true, Ordering::Release);
        self.peer_server.close();
        self.join();
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Settings(error) => error.fmt(f),
            StartError::Secret(error) => error.fmt(f),
            StartError::Folder(error) => error.fmt(f),
            StartError::Listen { field, address, source } => write!(
                f,
                "cannot listen on {address}: {source}; free it or change {field} in the settings"
            ),
            StartError::Start { component, source } => {
                write!(f, "cannot start the {component}: {source}; check the limits of the process")
            }
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::Settings(error) => Some(error),
            StartError::Secret(error) => Some(error),
            StartError::Folder(error) => Some(error),
            StartError::Listen { source, .. } | StartError::Start { source, .. } => Some(source),
        }
    }
}

fn listen(field: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|source| StartError::Listen { field, address, source })
}

fn start_peer_server(
    listener: TcpListener,
    secret: &PeerSecret,
    settings: PeerServerSettings,
    inputs: &Sender<Input>,
    metrics: &ControlMetrics,
) -> Result<PeerServer<ControlPortRequest, ControlPortReply>, StartError> {
    let call_context = (inputs.clone(), metrics.inputs_refused.clone());
    let notice_inputs = inputs.clone();
    PeerServer::start_with_notices(
        listener,
        secret.clone(),
        settings,
        move |call, responder| {
            let (inputs, refused) = &call_context;
            if let Err(TrySendError::Full(input) | TrySendError::Disconnected(input)) =
                inputs.try_send(to_input(call, responder))
            {
                refused.inc();
                reject(input);
            }
        },
        move |closed| {
            // If the notice is lost, the next push to the connection fails and removes it.
            let _ = notice_inputs.try_send(Input::ConnectionClosed(closed.connection));
        },
    )
    .map_err(|source| StartError::Start { component: "peer port", source })
}

fn to_input(call: Call<ControlPortRequest>, responder: Responder<ControlPortReply>) -> Input {
    match call.request {
        ControlPortRequest::Entry(request) => {
            Input::Entry { request, connection: call.connection, responder }
        }
        ControlPortRequest::Hello(hello) => Input::Hello(hello),
        ControlPortRequest::Replica { from, to, message } => {
            Input::Raft { from: MemberId(from), to: MemberId(to), message }
        }
    }
}

/// Replies to an entry that its request was rejected. Raft messages are retransmitted by the core.
fn reject(input: Input) {
    if let Input::Entry { responder, .. } = input {
        let reason = "this instance is overloaded or has stopped; retry later".to_owned();
        // If the connection is lost, the entry detects it itself.
        let _ = responder.send(&ControlPortReply::Entry(ControlReply::Unavailable { reason }));
    }
}
