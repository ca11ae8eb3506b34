//! The thread that drives the Raft core and the state machine.
//!
//! Each round takes all waiting inputs, syncs their writes once, sends the messages, applies what is
//! committed and answers who waits. Nothing in a round waits for another process.

mod apply;
mod entry_requests;
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

use self::leadership::Leadership;
use crate::entry_connections::EntryConnections;
use crate::replica_input::{Input, OperatorCallError, OperatorReply};
use crate::replica_status::{ReplicaStatus, SharedStatus};
use crate::{ControlMetrics, HelloEffect, PeerDirectory, PeerLink, SnapshotSchedule};

/// Inputs of one round; more would delay heartbeats.
const MAX_ROUND_INPUTS: usize = 1_024;

/// Longest wait of an idle round. Bounds the age of the status and the delay of a retried send.
const IDLE_ROUND_MS: u64 = 50;

/// Time between two hellos to all others.
const HELLO_MS: u64 = 1_000;

/// The same while the group is not formed or some instance is unknown.
const FIRST_HELLO_MS: u64 = 100;

/// Time between two leadership transfer attempts is bounded by the core; this bounds a planned stop.
const STOP_LIMIT_MS: u64 = 3_000;

/// What a replica is started with.
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

/// One replica of the control group with its state machine.
#[derive(Debug)]
pub(crate) struct Replica {
    bootstrap: bool,
    snapshots: SnapshotSchedule,
    raft: Raft,
    folder: DataFolder,
    hard_state: HardState,
    state: FleetState,
    applied_index: u64,

    /// Ids of the first group, for the hello; empty when the log no longer holds the first entry.
    first_members: Vec<u64>,

    directory: PeerDirectory,
    own_address: SocketAddr,
    operator_address: SocketAddr,
    links: HashMap<SocketAddr, PeerLink>,
    connections: EntryConnections,
    inputs: Receiver<Input>,
    is_aborted: Arc<AtomicBool>,
    leadership: Option<Leadership>,

    /// Proposals of this replica that are not applied yet, by log index.
    proposals: BTreeMap<u64, Proposal>,

    metrics: ControlMetrics,
    health: Arc<Health>,
    status: SharedStatus,

    /// Why nothing is acknowledged any more, until a restart.
    failure: Option<String>,

    started: Instant,
    leader_contact_ms: u64,
    hello_due_ms: u64,
    status_due_ms: u64,
    stop_deadline_ms: Option<u64>,

    /// Whether the next round must not wait.
    has_more_work: bool,
}

/// A proposed entry and who waits for it.
#[derive(Debug)]
struct Proposal {
    term: u64,
    waiter: Waiter,
}

/// Who waits for the result of a proposal.
#[derive(Debug)]
enum Waiter {
    Nobody,
    Entry(Responder<ControlPortReply>),
    Change(Sender<Result<ChangeOutcome, OperatorCallError>>),
    Members(OperatorReply<()>),
}

impl Replica {
    /// Restores the state machine from the snapshot; the log's entries are applied once they are known
    /// to be committed.
    pub(crate) fn new(parts: ReplicaParts) -> Replica {
        let member = parts.folder.member_id();
        let durable = parts.durable;
        let hard_state = durable.hard_state;
        let first_members = match durable.entries.first() {
            Some(entry) if entry.index == 1 => match &entry.payload {
                Payload::Members(members) => sorted_ids(&members.voters),
                _ => Vec::new(),
            },
            _ => Vec::new(),
        };
        let raft = Raft::new(raft_settings(member), durable, 0);
        let directory =
            PeerDirectory::new(member, parts.own_address, parts.operator_address, &parts.peers);
        Replica {
            bootstrap: parts.bootstrap,
            snapshots: SnapshotSchedule::new(staggered(parts.snapshot_entries, member)),
            raft,
            folder: parts.folder,
            hard_state,
            state: FleetState::new(StateLimits::default()),
            applied_index: 0,
            first_members,
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
            started: Instant::now(),
            leader_contact_ms: 0,
            hello_due_ms: 0,
            status_due_ms: 0,
            stop_deadline_ms: None,
            has_more_work: true,
        }
    }

    /// Runs until a planned stop is done or the instance is aborted.
    pub(crate) fn run(mut self) {
        let _guard = ReadinessGuard { health: self.health.clone(), status: self.status.clone() };
        while !self.is_aborted.load(Ordering::Acquire) {
            let wait = Duration::from_millis(self.wait_ms());
            match self.inputs.recv_timeout(wait) {
                Ok(input) => self.accept_round(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if self.is_aborted.load(Ordering::Acquire) {
                return;
            }
            if self.failure.is_some() {
                // So that another replica with the same identity learns of it and stops as well.
                self.send_hello(self.now_ms());
            } else if let Err(error) = self.advance() {
                self.metrics.disk_failed.set(1);
                self.fail("disk_failed", error.to_string());
            }
            self.publish();
            if self.is_stopped() {
                self.lose_leadership("planned_stop");
                return;
            }
        }
    }

    fn accept_round(&mut self, first: Input) {
        self.accept(first);
        for _ in 1..MAX_ROUND_INPUTS {
            let Ok(input) = self.inputs.try_recv() else { return };
            self.accept(input);
        }
    }

    fn accept(&mut self, input: Input) {
        match input {
            Input::Hello(hello) => self.accept_hello(hello),
            Input::Raft { from, to, message } => self.accept_raft(from, to, &message),
            Input::Entry { request, connection, responder } => {
                self.accept_entry(request, connection, responder);
            }
            Input::ConnectionClosed(connection) => self.connections.closed(connection),
            Input::Operator(call) => self.accept_operator(call),
            Input::Stop => {
                tracing::info!(event = "planned_stop_begun");
                self.stop_deadline_ms.get_or_insert(self.now_ms() + STOP_LIMIT_MS);
            }
        }
    }

    fn accept_raft(&mut self, from: MemberId, to: MemberId, message: &[u8]) {
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

    fn accept_hello(&mut self, hello: ReplicaHello) {
        let address = hello.address;
        let member = MemberId(hello.member);
        match self.directory.record(hello) {
            HelloEffect::New => {
                tracing::info!(event = "peer_known", %member, %address);
                self.hello_due_ms = 0;
            }
            HelloEffect::Known => {}
            HelloEffect::Foreign => {
                tracing::warn!(
                    event = "peer_not_in_settings",
                    %member,
                    %address,
                    remedy = "list its address in peers of this instance"
                );
            }
            // Two replicas with one identity could vote twice in a term. The other one must stop too:
            // either can be the one that lacks acknowledged entries.
            HelloEffect::OwnIdentity => {
                let reason = format!(
                    "the instance at {address} has the member id of this one; stop one of them and start it with \
                     an empty data folder"
                );
                self.fail("duplicate_identity", reason);
            }
        }
    }

    /// One round after the inputs are accepted.
    fn advance(&mut self) -> Result<(), LogError> {
        self.has_more_work = false;
        let now_ms = self.now_ms();
        self.form_group(now_ms);
        // After the inputs: queued answers of the others count before a timeout does.
        self.raft.tick(now_ms);
        self.follow_role(now_ms);
        self.lead(now_ms);
        // Replication does not wait for this replica's own disk.
        self.send_messages();
        self.persist()?;
        self.send_messages();
        self.apply_committed();
        self.follow_role(now_ms);
        self.answer_confirmed(now_ms);
        self.push_updates();
        self.make_snapshot()?;
        self.send_hello(now_ms);
        self.links.values_mut().for_each(PeerLink::flush);
        Ok(())
    }

    /// Syncs everything that the core wants to have on disk.
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

    /// Forms the first group once all instances agree on its members.
    fn form_group(&mut self, now_ms: u64) {
        if !self.bootstrap || self.has_group() {
            return;
        }
        let Some(members) = self.directory.first_group() else { return };
        self.first_members = sorted_ids(&members.voters);
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
        self.hello_due_ms = now_ms + if is_settled { HELLO_MS } else { FIRST_HELLO_MS };
        let hello = self.hello();
        for link in self.links.values_mut() {
            link.send(ControlPortRequest::Hello(hello.clone()));
        }
    }

    fn hello(&self) -> ReplicaHello {
        let has_group = self.has_group();
        let known_members =
            if has_group { self.first_members.clone() } else { self.directory.first_members() };
        ReplicaHello {
            member: self.raft.id().0,
            address: self.own_address,
            operator_address: self.operator_address,
            has_group,
            known_members,
        }
    }

    fn make_snapshot(&mut self) -> Result<(), LogError> {
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
        self.snapshots.replaced(snapshot.data.len());
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

    /// Stops acknowledging anything until the instance is started again.
    fn fail(&mut self, cause: &'static str, reason: String) {
        if self.failure.is_some() {
            return;
        }
        tracing::error!(event = "replica_failed", cause, reason);
        self.failure = Some(reason);
        self.lose_leadership(cause);
        self.health.set_ready(false);
        self.status_due_ms = 0;
    }

    fn is_stopped(&self) -> bool {
        let Some(deadline_ms) = self.stop_deadline_ms else { return false };
        self.leadership.is_none()
            || self.now_ms() >= deadline_ms
            || self.transfer_candidate().is_none()
    }

    fn wait_ms(&self) -> u64 {
        if self.failure.is_some() {
            return IDLE_ROUND_MS;
        }
        if self.has_more_work {
            return 0;
        }
        let now_ms = self.now_ms();
        let mut due_ms = self.raft.next_deadline_ms().min(self.hello_due_ms);
        if let Some(leadership) = &self.leadership {
            due_ms = due_ms.min(leadership.next_round_ms());
        }
        due_ms.saturating_sub(now_ms).min(IDLE_ROUND_MS)
    }

    /// Updates status, readiness and metrics.
    fn publish(&mut self) {
        let now_ms = self.now_ms();
        if now_ms < self.status_due_ms {
            return;
        }
        self.status_due_ms = now_ms + IDLE_ROUND_MS;
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
            let settled = leadership.leases.settled(self.state.membership(), now_ms).for_all();
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
            known: self.directory.known(),
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

    /// Milliseconds since the start of the replica, by the monotonic clock.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Wall clock for commands; never before the time of an applied command.
    fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (since.as_millis() as u64).max(self.state.now_ms())
    }

    /// Proposes a command. Returns the waiter when this replica takes no proposals.
    fn propose(&mut self, command: &Command, waiter: Waiter) -> Result<(), (Waiter, Refused)> {
        let bytes = match command.encode() {
            Ok(bytes) => bytes,
            Err(error) => return Err((waiter, Refused::TooLong(error.to_string()))),
        };
        match self.raft.propose(bytes) {
            Ok(position) => {
                self.metrics.proposals.inc();
                self.has_more_work = true;
                self.proposals.insert(position.index, Proposal { term: position.term, waiter });
                Ok(())
            }
            Err(not_leader) => Err((waiter, Refused::NotLeader { leader: not_leader.leader })),
        }
    }
}

/// Why a command was not proposed.
#[derive(Debug)]
enum Refused {
    NotLeader { leader: Option<MemberId> },
    TooLong(String),
}

/// Takes readiness back when the replica thread ends, also by a panic.
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

/// Spreads the snapshots of the replicas, which stop each of them for as long as the write takes, so
/// that a majority does not stop at the same index.
fn staggered(snapshot_entries: u64, member: MemberId) -> u64 {
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
    // The entry sends again when the connection was cut.
    let _ = responder.send(&ControlPortReply::Entry(reply));
}
