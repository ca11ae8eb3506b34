//! State of one registry and what it does after each event.

mod calls;
mod gateways;
mod gossip;
mod group;
mod replica;
mod targets;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use mulberry_consensus::{DurableState, MemberId, Payload, Raft, RaftMessage, Role};
use mulberry_directory::{GatewayInfo, GatewayList, RegistryMessage, TargetTable};
use mulberry_routes::{ConfigDelta, RoutingConfig};
use tokio::sync::oneshot;

use self::replica::{Reader, Replica, Waiter, raft_settings, sorted_ids};
use crate::disk_thread::{DiskEvent, DiskJob, DiskThread};
use crate::gateway_links::GatewayLinks;
use crate::peer_links::PeerLinks;
use crate::peer_message::{PeerHello, PeerMessage};
use crate::recalled_targets::RecalledTargets;
use crate::registry_metrics::RegistryMetrics;
use crate::{OperatorState, RegistrySettings};

/// Time between two rounds of what registries tell each other and gateways.
const GOSSIP_MS: u64 = 700;

/// Configurations kept to tell gateways only what has changed.
const MAX_RECENT_CONFIGS: usize = 8;

/// Time between two attempts to open the data folder.
const REOPEN_MS: u64 = 300;

/// State of one registry.
#[derive(Debug)]
pub(crate) struct Node {
    pub settings: RegistrySettings,
    pub metrics: RegistryMetrics,
    started: Instant,
    disk: DiskThread,

    /// `None` until the data folder is open.
    replica: Option<Replica>,

    reopen_due_ms: Option<u64>,
    peers: PeerLinks,

    /// Newest hello from each address, with its time.
    hellos: BTreeMap<SocketAddr, (PeerHello, u64)>,

    gateways: GatewayLinks,

    /// Gateways that other registries have told of, by registry, with the time.
    remote_gateways: HashMap<SocketAddr, (Vec<GatewayInfo>, u64)>,

    told_gateways: GatewayList,

    /// Gateways linked here, as the other registries were told last, and when they are told again.
    sent_gateways: Vec<GatewayInfo>,
    gateways_due_ms: u64,

    targets: TargetTable,
    recalled: RecalledTargets,

    /// Targets heard from since the last gossip.
    heard: BTreeSet<Arc<str>>,

    /// State that was noted before this start.
    noted: Option<OperatorState>,

    /// When the notes on the disk are to be renewed, after a change.
    note_due_ms: Option<u64>,

    told_silent: Vec<Arc<str>>,
    told_registries: Vec<SocketAddr>,

    /// Configurations that gateways may still hold, the newest last.
    recent_configs: VecDeque<Arc<RoutingConfig>>,

    /// The newest delta that was asked for; the same goes to many gateways.
    delta: Option<Arc<ConfigDelta>>,

    /// What gateways were told last: version, index of the evacuated zones.
    told: (u64, u64),

    /// Whether gateways were told last that the version is confirmed.
    told_confirmed: bool,

    /// Index of the last entry that was on the disk at the start.
    recovered_index: u64,

    next_ticket: u64,
    proposals: HashMap<u64, oneshot::Sender<bool>>,
    index_calls: HashMap<u64, oneshot::Sender<Option<u64>>>,
    hello_due_ms: u64,
    gossip_due_ms: u64,
    membership_due_ms: u64,
    is_stopping: bool,
}

/// The node as the tasks of its process share it.
pub(crate) type SharedNode = Rc<RefCell<Node>>;

impl Node {
    pub(crate) fn new(
        settings: RegistrySettings,
        metrics: RegistryMetrics,
        disk: DiskThread,
    ) -> Node {
        disk.ask(DiskJob::Open);
        Node {
            settings,
            metrics,
            started: Instant::now(),
            disk,
            replica: None,
            reopen_due_ms: None,
            peers: PeerLinks::default(),
            hellos: BTreeMap::new(),
            gateways: GatewayLinks::default(),
            remote_gateways: HashMap::new(),
            told_gateways: GatewayList::default(),
            sent_gateways: Vec::new(),
            gateways_due_ms: 0,
            targets: TargetTable::default(),
            recalled: RecalledTargets::default(),
            heard: BTreeSet::new(),
            noted: None,
            note_due_ms: None,
            told_silent: Vec::new(),
            told_registries: Vec::new(),
            recent_configs: VecDeque::new(),
            delta: None,
            told: (0, 0),
            told_confirmed: false,
            recovered_index: 0,
            next_ticket: 0,
            proposals: HashMap::new(),
            index_calls: HashMap::new(),
            hello_due_ms: 0,
            gossip_due_ms: 0,
            membership_due_ms: 0,
            is_stopping: false,
        }
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Replaces the seeds after the settings have changed.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        if self.settings.seeds != seeds {
            tracing::info!(event = "seeds_changed", seeds = ?seeds);
            self.settings.seeds = seeds;
            self.hello_due_ms = 0;
        }
    }

    /// Hands leadership over, so that the group is not without a leader for an election.
    pub(crate) fn begin_stop(&mut self) {
        self.is_stopping = true;
        if let Some(replica) = &mut self.replica {
            let own = replica.raft.id();
            let to = replica.raft.progress().into_iter().filter(|progress| {
                progress.is_voter && progress.recently_active && progress.member != own
            });
            if let Some(to) = to.max_by_key(|progress| progress.match_index) {
                // Fails only when this replica does not lead.
                let _ = replica.raft.transfer_leadership(to.member);
            }
        }
        self.advance();
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.raft.role() == Role::Leader)
    }

    pub(crate) fn disk_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Opened { member, durable, notes } => {
                self.open(member, durable);
                self.recall(&notes);
            }
            DiskEvent::Written { writes, took_s } => {
                self.metrics.sync_seconds.observe(took_s);
                if let Some(replica) = &mut self.replica {
                    replica.is_writing = false;
                    replica.raft.writes_synced(&writes);
                }
            }
            DiskEvent::Saved(snapshot) => {
                if let Some(replica) = &mut self.replica {
                    replica.is_saving = false;
                    replica.raft.compact(snapshot);
                }
            }
            DiskEvent::Failed(error) => {
                self.metrics.disk_failures.inc();
                if self.replica.take().is_some() || self.reopen_due_ms.is_none() {
                    tracing::error!(event = "disk_lost", %error);
                }
                self.reopen_due_ms = Some(self.now_ms() + REOPEN_MS);
            }
        }
        self.advance();
    }

    /// State as applied here.
    pub(crate) fn state(&self) -> Option<&OperatorState> {
        self.replica.as_ref().map(|replica| &replica.state)
    }

    /// The newest state that was certainly accepted: as applied here, or as noted before the start.
    fn known_state(&self) -> Option<&OperatorState> {
        let applied = self.state();
        let noted = self.noted.as_ref();
        match (applied, noted) {
            (Some(applied), Some(noted)) if noted.applied_index > applied.applied_index => {
                Some(noted)
            }
            (applied, noted) => applied.or(noted),
        }
    }

    /// Whether the group has a leader and has confirmed what this registry had on its disk at its start.
    fn is_confirmed(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| {
            let applied = replica.state.applied_index;
            let noted = self.noted.as_ref().map_or(0, |noted| noted.applied_index);
            replica.raft.leader().is_some() && applied >= self.recovered_index.max(noted)
        })
    }

    fn version_message(&self) -> RegistryMessage {
        RegistryMessage::Version { version: self.told.0, is_confirmed: self.is_confirmed() }
    }

    pub(crate) fn peer_message(&mut self, message: PeerMessage) {
        let now_ms = self.now_ms();
        match message {
            PeerMessage::Hello(hello) => self.hello(now_ms, hello),
            PeerMessage::Raft { from, to, message } => self.raft_message(now_ms, from, to, message),
            PeerMessage::Propose { from, ticket, command } => {
                if let Some(replica) = &mut self.replica {
                    let waiter = Waiter::Peer { member: MemberId(from), ticket };
                    replica.propose(&command, waiter);
                }
            }
            PeerMessage::Proposed { ticket, is_committed } => {
                if let Some(sender) = self.proposals.remove(&ticket) {
                    let _ = sender.send(is_committed);
                }
            }
            PeerMessage::ReadIndex { from, ticket } => {
                if let Some(replica) = &mut self.replica {
                    replica.read(Reader::Peer { member: MemberId(from), ticket });
                }
            }
            PeerMessage::ReadIndexed { ticket, index } => {
                if let Some(sender) = self.index_calls.remove(&ticket) {
                    let _ = sender.send(index);
                }
            }
            PeerMessage::Targets(records) => self.observe_targets(now_ms, records),
            PeerMessage::Heard(ids) => {
                for id in &ids {
                    self.hear_recalled(now_ms, id);
                    self.targets.heard(now_ms, id);
                }
            }
            PeerMessage::Gateways { from, gateways } => {
                let address = self.address_of(MemberId(from));
                if let Some(address) = address {
                    self.remote_gateways.insert(address, (gateways, now_ms));
                    self.tell_gateways();
                }
            }
        }
        self.advance();
    }

    /// Lets time pass.
    pub(crate) fn tick(&mut self) {
        let now_ms = self.now_ms();
        if self.reopen_due_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            self.reopen_due_ms = Some(now_ms + REOPEN_MS * 4);
            self.disk.ask(DiskJob::Open);
        }
        self.advance();
        if self.note_due_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            self.note_due_ms = None;
            self.note(now_ms);
        }
        if now_ms >= self.hello_due_ms {
            self.send_hellos(now_ms);
        }
        if now_ms >= self.gossip_due_ms {
            self.gossip_due_ms = now_ms + GOSSIP_MS;
            self.gossip(now_ms);
        }
    }

    fn open(&mut self, member: MemberId, durable: DurableState) {
        let now_ms = self.now_ms();
        self.reopen_due_ms = None;
        let first_members = match durable.entries.first() {
            Some(entry) if entry.index == 1 => match &entry.payload {
                Payload::Members(members) => sorted_ids(members),
                _ => Vec::new(),
            },
            _ => Vec::new(),
        };
        let raft = Raft::new(raft_settings(member), durable, now_ms);
        tracing::info!(
            event = "disk_open",
            %member,
            last_index = raft.last_index(),
            voters = raft.members().voters.len()
        );
        self.recovered_index = raft.last_index();
        self.replica = Some(Replica {
            raft,
            state: OperatorState::default(),
            first_members,
            is_writing: false,
            is_saving: false,
            waiting: BTreeMap::new(),
            reads: HashMap::new(),
            next_read: 0,
            applied_waiters: Vec::new(),
        });
        self.hello_due_ms = 0;
    }

    fn raft_message(&mut self, now_ms: u64, from: u64, to: u64, message: RaftMessage) {
        let Some(replica) = &mut self.replica else { return };
        if replica.raft.id() == MemberId(to) {
            replica.raft.receive(now_ms, MemberId(from), message);
        }
    }

    fn hello(&mut self, now_ms: u64, hello: PeerHello) {
        if hello.address == self.settings.link_address {
            return;
        }
        let known = self.hellos.get(&hello.address).map(|(known, _)| known);
        if known != Some(&hello) {
            tracing::info!(
                event = "peer_known",
                peer = %hello.address,
                member = %MemberId(hello.member),
                has_group = hello.has_group
            );
            self.hello_due_ms = 0;
        }
        self.hellos.insert(hello.address, (hello, now_ms));
    }

    /// One round after an event.
    fn advance(&mut self) {
        let now_ms = self.now_ms();
        self.form_group(now_ms);
        let Some(replica) = &mut self.replica else { return };
        replica.raft.tick(now_ms);
        if !replica.is_writing {
            let writes = replica.raft.take_writes();
            if !writes.is_empty() {
                replica.is_writing = true;
                self.disk.ask(DiskJob::Write(writes));
            }
        }
        replica.apply_committed();
        let lost = replica.take_lost();
        let answers = replica.take_read_answers();
        let done = replica.take_done();
        let from = replica.raft.id().0;
        if let Some(snapshot) = replica.due_snapshot() {
            self.disk.ask(DiskJob::Save(snapshot));
        }
        let messages = replica.raft.take_messages();
        for (to, message) in messages {
            self.send_to(to, PeerMessage::Raft { from, to: to.0, message });
        }
        for (waiter, is_committed) in lost.into_iter().map(|w| (w, false)).chain(done) {
            match waiter {
                Waiter::Nobody => {}
                Waiter::Here(sender) => {
                    let _ = sender.send(is_committed);
                }
                Waiter::Peer { member, ticket } => {
                    self.send_to(member, PeerMessage::Proposed { ticket, is_committed });
                }
            }
        }
        for (reader, index) in answers {
            match reader {
                Reader::Here(sender) => {
                    let _ = sender.send(index);
                }
                Reader::Peer { member, ticket } => {
                    self.send_to(member, PeerMessage::ReadIndexed { ticket, index });
                }
            }
        }
        self.lead(now_ms);
        self.publish();
    }

    /// Tells the gateways what has been accepted since the last time.
    fn publish(&mut self) {
        if let Some(replica) = &self.replica {
            let raft = &replica.raft;
            self.metrics.is_leader.set(i64::from(raft.role() == Role::Leader));
            self.metrics.voters.set(raft.members().voters.len() as i64);
            self.metrics.learners.set(raft.members().learners.len() as i64);
        }
        let Some(state) = self.known_state() else { return };
        let index = state.applied_index;
        let config = state.config.clone();
        let zones: Vec<Arc<str>> = state.evacuated.iter().cloned().collect();
        let now = (state.version(), state.evacuated_index);
        if now > self.told {
            self.note_due_ms.get_or_insert(self.now_ms() + targets::NOTE_MS);
        }
        let mut is_news = self.is_confirmed() != self.told_confirmed;
        self.told_confirmed = self.is_confirmed();
        if now.0 > self.told.0 {
            self.told.0 = now.0;
            self.recent_configs.extend(config);
            while self.recent_configs.len() > MAX_RECENT_CONFIGS {
                self.recent_configs.pop_front();
            }
            self.metrics.config_version.set(i64::try_from(now.0).unwrap_or(i64::MAX));
            tracing::info!(event = "config_in_force", version = now.0, index);
            is_news = true;
        }
        if is_news {
            self.gateways.send_all(&self.version_message());
        }
        if now.1 > self.told.1 {
            self.told.1 = now.1;
            tracing::info!(event = "zones_evacuated", zones = ?zones, index = now.1);
            let message = RegistryMessage::Evacuated { index: now.1, zones };
            self.gateways.send_all(&message);
        }
    }

    /// Link addresses of all registries, this one included.
    fn registries(&self) -> Vec<SocketAddr> {
        let mut all = self.known_peers();
        all.push(self.settings.link_address);
        all.sort_unstable();
        all
    }

    fn known_peers(&self) -> Vec<SocketAddr> {
        let mut peers: BTreeSet<SocketAddr> = self.settings.seeds.iter().copied().collect();
        peers.extend(self.hellos.keys());
        if let Some(replica) = &self.replica {
            let members: Vec<u64> = replica.raft.members().all().map(|member| member.0).collect();
            let located = replica.state.addresses.iter();
            peers.extend(located.filter(|(member, _)| members.contains(member)).map(|(_, at)| at));
        }
        peers.remove(&self.settings.link_address);
        peers.into_iter().collect()
    }

    fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        let told = self.hellos.values().find(|(hello, _)| hello.member == member.0);
        told.map(|(hello, _)| hello.address).or_else(|| {
            let state = self.state()?;
            state.addresses.get(&member.0).copied()
        })
    }

    fn send_to(&mut self, member: MemberId, message: PeerMessage) {
        if let Some(address) = self.address_of(member) {
            self.peers.send(address, message);
        }
    }
}
