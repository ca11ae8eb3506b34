//! The thread that drives the Raft core and the state machine.
//!
//! Each round drains the input queue, persists the resulting writes with one sync, sends messages,
//! applies committed entries and sends replies. No step of a round blocks on another process.

mod apply;
mod entry_requests;
mod failure;
mod leadership;
mod operator_calls;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use mulberry_consensus::{
    DurableState, HardState, MemberId, Payload, Raft, RaftMessage, RaftSettings, Role,
};
use mulberry_log::{DataFolder, LogError};
use mulberry_peers::Responder;
use mulberry_state::{Command, FleetState, StateLimits};
use mulberry_telemetry::Health;
use mulberry_types::{
    ChangeOutcome, ControlPortReply, ControlPortRequest, ControlReply, ReplicaHello,
};

use self::failure::initial_members;
use self::leadership::Leadership;
use crate::entry_connections::EntryConnections;
use crate::replica_input::{Input, OperatorCallError, OperatorReply};
use crate::replica_status::{ReplicaStatus, SharedStatus};
use crate::{ControlMetrics, HelloOutcome, PeerDirectory, PeerLink, SnapshotSchedule};

/// Maximum number of inputs per round. A larger batch would delay heartbeats.
const MAX_ROUND_INPUTS: usize = 1_024;

/// Maximum wait of an idle round. Bounds the age of the published status and the delay before a failed
/// send is retried.
const MAX_IDLE_WAIT_MS: u64 = 50;

/// Interval between hello messages to all peers.
const HELLO_INTERVAL_MS: u64 = 1_000;

/// Interval between hello messages while no group exists or some peer is unknown.
const DISCOVERY_HELLO_INTERVAL_MS: u64 = 100;

/// Maximum duration of a graceful shutdown. The Raft core itself bounds the time between two leadership
/// transfer attempts.
const STOP_TIMEOUT_MS: u64 = 3_000;

/// Settings and dependencies of a replica.
#[derive(Debug)]
pub(crate) struct ReplicaParts {
    pub own_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub bootstrap: bool,
    pub snapshot_entries: u64,
    pub folder: DataFolder,
    pub durable: DurableState,
    pub links: HashMap<SocketAddr, PeerLink>,
    pub connections: EntryConnections,
    pub inputs: Receiver<Input>,
    pub is_aborted: Arc<AtomicBool>,
    pub metrics: ControlMetrics,
    pub health: Arc<Health>,
    pub status: SharedStatus,
}

/// A replica of the control group and its state machine.
#[derive(Debug)]
pub(crate) struct Replica {
    bootstrap: bool,
    snapshots: SnapshotSchedule,
    raft: Raft,
    folder: DataFolder,
    hard_state: HardState,
    state: FleetState,
    applied_index: u64,

    /// Member ids of the initial group, sent in hello messages. Empty once the first log entry has been
    /// compacted away.
    initial_members: Vec<u64>,

    directory: PeerDirectory,
    own_address: SocketAddr,
    operator_address: SocketAddr,
    links: HashMap<SocketAddr, PeerLink>,
    connections: EntryConnections,
    inputs: Receiver<Input>,
    is_aborted: Arc<AtomicBool>,
    leadership: Option<Leadership>,

    /// Proposals made by this replica that are not applied yet, by log index.
    proposals: BTreeMap<u64, Proposal>,

    metrics: ControlMetrics,
    health: Arc<Health>,
    status: SharedStatus,

    /// Reason why this replica acknowledges nothing. Cleared when the data folder is open again, or by a restart.
    failure: Option<String>,

    /// When to open the data folder again. `None` unless a write has failed.
    reopen_due_ms: Option<u64>,

    started: Instant,
    leader_contact_ms: u64,
    hello_due_ms: u64,
    status_due_ms: u64,
    stop_deadline_ms: Option<u64>,

    /// Whether the next round must start without waiting for an input.
    has_more_work: bool,
}

/// A proposed log entry and the recipient of its result.
#[derive(Debug)]
struct Proposal {
    term: u64,
    waiter: Waiter,
}

/// Recipient of the result of a proposal.
#[derive(Debug)]
enum Waiter {
    None,
    Entry(Responder<ControlPortReply>),
    Change(Sender<Result<ChangeOutcome, OperatorCallError>>),
    Members(OperatorReply<()>),
}

impl Replica {
    /// Creates a replica from its durable state. The state machine is restored from the snapshot; log
    /// entries are applied once they are known to be committed.
    pub(crate) fn new(parts: ReplicaParts) -> Replica {
        let member = parts.folder.member_id();
        let durable = parts.durable;
        let hard_state = durable.hard_state;
        let initial_members = initial_members(&durable);
        let raft = Raft::new(raft_settings(member), durable, 0);
        let directory =
            PeerDirectory::new(member, parts.own_address, parts.operator_address, &parts.peers);
        Replica {
            bootstrap: parts.bootstrap,
            snapshots: SnapshotSchedule::new(staggered_interval(parts.snapshot_entries, member)),
            raft,
            folder: parts.folder,
            hard_state,
            state: FleetState::new(StateLimits::default()),
            applied_index: 0,
            initial_members,
            directory,
            own_address: parts.own_address,
            operator_address: parts.operator_address,
            links: parts.links,
            connections: parts.connections,
            inputs: parts.inputs,
            is_aborted: parts.is_aborted,
            leadership: None,
            proposals: BTreeMap::new(),
            metrics: parts.metrics,
            health: parts.health,
            status: parts.status,
            failure: None,
            reopen_due_ms: None,
            started: Instant::now(),
            leader_contact_ms: 0,
            hello_due_ms: 0,
            status_due_ms: 0,
            stop_deadline_ms: None,
            has_more_work: true,
        }
    }

    /// Runs until a graceful shutdown completes or the instance is aborted.
    pub(crate) fn run(mut self) {
        let _guard = ReadinessGuard { health: self.health.clone(), status: self.status.clone() };
        while !self.is_aborted.load(Ordering::Acquire) {
            let wait = Duration::from_millis(self.wait_ms());
            match self.inputs.recv_timeout(wait) {
                Ok(input) => self.handle_inputs(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.is_aborted.load(Ordering::Acquire) {
                return;
            }
            if self.failure.is_some() {
                // Lets another replica with the same identity detect the duplicate and stop as well.
                self.send_hello(self.now_ms());
                self.reopen_folder_if_due();
            } else if let Err(error) = self.run_round() {
                self.fail_disk(&error);
            }
            self.publish_status();
            if self.is_stopped() {
                self.lose_leadership("planned_stop");
                return;
            }
        }
    }

    fn handle_inputs(&mut self, first: Input) {
        self.handle_input(first);
        for _ in 1..MAX_ROUND_INPUTS {
            let Ok(input) = self.inputs.try_recv() else { return };
            self.handle_input(input);
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Hello(hello) => self.handle_hello(hello),
            Input::Raft { from, to, message } => self.handle_raft_message(from, to, &message),
            Input::Entry { request, connection, responder } => {
                self.handle_entry_request(request, connection, responder);
            }
            Input::ConnectionClosed(connection) => self.connections.remove(connection),
            Input::Operator(call) => self.handle_operator_call(call),
            Input::Stop => {
                tracing::info!(event = "planned_stop_begun");
                self.stop_deadline_ms.get_or_insert(self.now_ms() + STOP_TIMEOUT_MS);
            }
        }
    }

    fn handle_raft_message(&mut self, from: MemberId, to: MemberId, message: &[u8]) {
        if self.failure.is_some() {
            return;
        }
        if to != self.raft.id() {
            self.metrics.misdirected_messages.inc();
            return;
        }
        match postcard::from_bytes::<RaftMessage>(message) {
            Ok(message) => self.raft.receive(self.now_ms(), from, message),
            Err(error) => {
                tracing::error!(event = "raft_message_undecodable", member = %from, %error);
            }
        }
    }

    fn handle_hello(&mut self, hello: ReplicaHello) {
        let address = hello.address;
        let member = MemberId(hello.member);
        match self.directory.record_hello(hello) {
            HelloOutcome::Updated => {
                tracing::info!(event = "peer_known", %member, %address);
                self.hello_due_ms = 0;
            }
            HelloOutcome::Unchanged => {}
            HelloOutcome::UnknownAddress => {
                tracing::warn!(
                    event = "peer_not_in_settings",
                    %member,
                    %address,
                    remedy = "list its address in peers of this instance"
                );
            }
            // Two replicas with one identity could vote twice in a term. Both must stop, because either
            // of them may lack acknowledged entries.
            HelloOutcome::DuplicateIdentity => {
                let reason = format!(
                    "the instance at {address} has the member id of this one; stop one of them and start it with \
                     an empty data folder"
                );
                self.fail_for_good("duplicate_identity", reason);
            }
        }
    }

    /// Runs the steps of a round that follow the handling of inputs.
    fn run_round(&mut self) -> Result<(), LogError> {
        self.has_more_work = false;
        let now_ms = self.now_ms();
        self.bootstrap_group(now_ms);
        // Ticks after the inputs are handled, so that queued replies from peers count before a timeout
        // fires.
        self.raft.tick(now_ms);
        self.update_leadership(now_ms);
        self.run_leader_tasks(now_ms);
        // Sends before syncing, so that replication does not wait for the local disk.
        self.send_messages();
        self.persist()?;
        self.send_messages();
        self.apply_committed();
        self.update_leadership(now_ms);
        self.reply_to_confirmed_rounds(now_ms);
        self.push_updates();
        self.write_snapshot_if_due()?;
        self.send_hello(now_ms);
        self.links.values_mut().for_each(PeerLink::flush);
        Ok(())
    }

    /// Persists all pending writes of the Raft core.
    fn persist(&mut self) -> Result<(), LogError> {
        loop {
            let writes = self.raft.take_writes();
            if writes.is_empty() {
                return Ok(());
            }
            let begin = Instant::now();
            self.folder.write(&writes)?;
            self.metrics.sync_seconds.observe(begin.elapsed().as_secs_f64());
            self.metrics.syncs.inc();
            let bytes = writes.entries.iter().map(|entry| match &entry.payload {
                Payload::Command(command) => command.len() as u64,
                Payload::Noop | Payload::Members(_) => 0,
            });
            self.metrics.log_bytes.inc_by(bytes.sum());
            if let Some(hard_state) = writes.hard_state {
                self.hard_state = hard_state;
            }
            self.raft.writes_synced(&writes);
        }
    }

    fn send_messages(&mut self) {
        for (to, message) in self.raft.take_messages() {
            let link = self.directory.address_of(to).and_then(|at| self.links.get_mut(&at));
            let Some(link) = link else { continue };
            match postcard::to_stdvec(&message) {
                Ok(message) => {
                    let from = self.raft.id().0;
                    link.send(ControlPortRequest::Replica { from, to: to.0, message });
                }
                Err(error) => tracing::error!(event = "raft_message_not_encoded", %error),
            }
        }
    }

    /// Bootstraps the group once all instances agree on its initial members.
    fn bootstrap_group(&mut self, now_ms: u64) {
        if !self.bootstrap || self.has_group() {
            return;
        }
        let Some(members) = self.directory.initial_members() else { return };
        self.initial_members = sorted_ids(&members.voters);
        tracing::info!(event = "group_formed", members = members.voters.len());
        let settings = RaftSettings {
            bootstrap: true,
            initial_members: members,
            ..raft_settings(self.raft.id())
        };
        let durable = DurableState { hard_state: self.hard_state, ..DurableState::default() };
        self.raft = Raft::new(settings, durable, now_ms);
        self.hello_due_ms = 0;
    }

    fn has_group(&self) -> bool {
        !self.raft.members().is_empty()
    }

    fn send_hello(&mut self, now_ms: u64) {
        if now_ms < self.hello_due_ms {
            return;
        }
        let has_group = self.has_group();
        let is_settled = has_group && self.directory.is_complete();
        self.hello_due_ms =
            now_ms + if is_settled { HELLO_INTERVAL_MS } else { DISCOVERY_HELLO_INTERVAL_MS };
        let hello = self.hello();
        for link in self.links.values_mut() {
            link.send(ControlPortRequest::Hello(hello.clone()));
        }
    }

    fn hello(&self) -> ReplicaHello {
        let has_group = self.has_group();
        let known_members =
            if has_group { self.initial_members.clone() } else { self.directory.known_ids() };
        ReplicaHello {
            member: self.raft.id().0,
            address: self.own_address,
            operator_address: self.operator_address,
            has_group,
            known_members,
        }
    }

    fn write_snapshot_if_due(&mut self) -> Result<(), LogError> {
        let entries = self.applied_index.saturating_sub(self.raft.snapshot_index());
        if !self.snapshots.is_due(entries) {
            return Ok(());
        }
        let begin = Instant::now();
        let data = self.state.to_snapshot();
        let Some(snapshot) = self.raft.create_snapshot(self.applied_index, data) else {
            return Ok(());
        };
        self.folder.save_snapshot(&snapshot)?;
        self.snapshots.record_snapshot(snapshot.data.len());
        self.metrics.snapshots.inc();
        tracing::info!(
            event = "snapshot_written",
            index = snapshot.index,
            bytes = snapshot.data.len(),
            duration_ms = begin.elapsed().as_millis()
        );
        self.raft.compact(snapshot);
        Ok(())
    }

    fn is_stopped(&self) -> bool {
        let Some(deadline_ms) = self.stop_deadline_ms else { return false };
        self.leadership.is_none()
            || self.now_ms() >= deadline_ms
            || self.transfer_candidate().is_none()
    }

    fn wait_ms(&self) -> u64 {
        if self.failure.is_some() {
            return MAX_IDLE_WAIT_MS;
        }
        if self.has_more_work {
            return 0;
        }
        let now_ms = self.now_ms();
        let mut due_ms = self.raft.next_deadline_ms().min(self.hello_due_ms);
        if let Some(leadership) = &self.leadership {
            due_ms = due_ms.min(leadership.next_confirmation_ms());
        }
        due_ms.saturating_sub(now_ms).min(MAX_IDLE_WAIT_MS)
    }

    /// Updates status, readiness and metrics once `status_due_ms` has passed.
    fn publish_status(&mut self) {
        let now_ms = self.now_ms();
        if now_ms < self.status_due_ms {
            return;
        }
        self.status_due_ms = now_ms + MAX_IDLE_WAIT_MS;
        let has_leader = self.raft.leader().is_some() && self.failure.is_none();
        if has_leader {
            self.leader_contact_ms = now_ms;
        }
        self.health.set_ready(has_leader);
        let role = if self.failure.is_some() { Role::Follower } else { self.raft.role() };
        let mut leases = 0;
        let mut settled_epoch = None;
        if let Some(leadership) = &mut self.leadership {
            leases = leadership.leases.valid_leases(now_ms);
            let settled =
                leadership.leases.settled_epochs(self.state.membership(), now_ms).for_all();
            settled_epoch = Some(settled);
            self.metrics.settled_epoch.set(gauge(settled.0));
        }
        let leader = self.raft.leader().filter(|_| self.failure.is_none());
        let progress = self.raft.progress();
        let metrics = &self.metrics;
        metrics.role.set(match role {
            Role::Follower => 0,
            Role::PreCandidate => 1,
            Role::Candidate => 2,
            Role::Leader => 3,
        });
        metrics.term.set(gauge(self.raft.term()));
        metrics.commit_index.set(gauge(self.raft.commit_index()));
        metrics.applied_index.set(gauge(self.applied_index));
        metrics.snapshot_index.set(gauge(self.raft.snapshot_index()));
        metrics.leases.set(gauge(leases as u64));
        metrics.epoch.set(gauge(self.state.membership().epoch.0));
        metrics.version.set(gauge(self.state.version().0));
        metrics.connections.set(gauge(self.connections.len() as u64));
        let connected = self.links.values().filter(|link| link.is_connected()).count();
        metrics.peers_connected.set(gauge(connected as u64));
        metrics.messages_dropped.set(gauge(self.links.values().map(PeerLink::dropped).sum()));
        metrics.leader_contact_age_ms.set(gauge(now_ms - self.leader_contact_ms));
        self.status.set(ReplicaStatus {
            member: self.raft.id(),
            role,
            term: self.raft.term(),
            leader,
            leader_operator_address: leader
                .and_then(|leader| self.directory.operator_address_of(leader)),
            commit_index: self.raft.commit_index(),
            applied_index: self.applied_index,
            snapshot_index: self.raft.snapshot_index(),
            members: self.raft.members().clone(),
            known_members: self.directory.known_members(),
            last_contacts_ms: progress
                .iter()
                .filter_map(|p| Some((p.member, now_ms.saturating_sub(p.last_reply_ms?))))
                .collect(),
            progress,
            version: self.state.version(),
            epoch: self.state.membership().epoch,
            settled_epoch,
            entries: self.state.membership().members.len(),
            failure: self.failure.clone(),
        });
    }

    /// Milliseconds since the replica started, on the monotonic clock.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Wall-clock time in Unix milliseconds for commands; never earlier than that of an applied command.
    fn wall_ms(&self) -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (since_epoch.as_millis() as u64).max(self.state.now_ms())
    }

    /// Proposes a command.
    ///
    /// # Errors
    /// The command cannot be encoded or this replica does not lead. The waiter is returned with the error.
    fn propose(&mut self, command: &Command, waiter: Waiter) -> Result<(), (Waiter, ProposeError)> {
        let bytes = match command.encode() {
            Ok(bytes) => bytes,
            Err(error) => return Err((waiter, ProposeError::Encode(error.to_string()))),
        };
        match self.raft.propose(bytes) {
            Ok(position) => {
                self.metrics.proposals.inc();
                self.has_more_work = true;
                self.proposals.insert(position.index, Proposal { term: position.term, waiter });
                Ok(())
            }
            Err(not_leader) => Err((waiter, ProposeError::NotLeader { leader: not_leader.leader })),
        }
    }
}

/// Why a command was not proposed.
#[derive(Debug)]
enum ProposeError {
    NotLeader { leader: Option<MemberId> },
    Encode(String),
}

/// Clears readiness when the replica thread ends, including by a panic.
struct ReadinessGuard {
    health: Arc<Health>,
    status: SharedStatus,
}

impl Drop for ReadinessGuard {
    fn drop(&mut self) {
        self.health.set_ready(false);
        self.status.set_failure("the replica has stopped; restart this instance".to_owned());
    }
}

fn raft_settings(id: MemberId) -> RaftSettings {
    RaftSettings { id, seed: rand::random(), ..RaftSettings::default() }
}

/// Adds a per-member offset to the snapshot interval. Writing a snapshot blocks the replica, so a majority
/// must not write one at the same index.
fn staggered_interval(snapshot_entries: u64, member: MemberId) -> u64 {
    snapshot_entries + member.0 % (snapshot_entries / 2).max(1)
}

fn sorted_ids(voters: &[MemberId]) -> Vec<u64> {
    let mut ids: Vec<u64> = voters.iter().map(|voter| voter.0).collect();
    ids.sort_unstable();
    ids
}

fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn reply_to(responder: Responder<ControlPortReply>, reply: ControlReply) {
    // If the connection is lost, the entry retries the request.
    let _ = responder.send(&ControlPortReply::Entry(reply));
}
