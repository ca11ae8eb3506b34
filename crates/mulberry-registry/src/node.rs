//! State of one registry and what it does after each event.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use mulberry_consensus::{
    Committed, Confirmation, DurableState, MemberId, Members, Payload, Raft, RaftMessage,
    RaftSettings, Role,
};
use mulberry_directory::{
    GatewayInfo, GatewayMessage, Observed, RegistryMessage, TargetRecord, TargetState, TargetTable,
};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::disk_thread::{DiskEvent, DiskJob, DiskThread};
use crate::gateway_links::{AddedLink, GatewayLinks};
use crate::membership::{MemberView, REPLACE_AFTER_MS, plan_membership, silence_ms};
use crate::peer_links::PeerLinks;
use crate::peer_message::{PeerHello, PeerMessage};
use crate::registry_metrics::RegistryMetrics;
use crate::{Command, OperatorState, RegistrySettings};

/// Time between two heartbeats of the leader. A registry may have a small share of a core.
const HEARTBEAT_MS: u64 = 100;

/// Shortest and longest time without a leader before an election.
const ELECTION_MS: (u64, u64) = (400, 700);

/// Commands after which a snapshot is written.
const SNAPSHOT_COMMANDS: u64 = 48;

/// Entries kept in memory before a snapshot. Each may hold a whole configuration.
const KEPT_ENTRIES: u64 = 8;

/// Bytes sent to one member and not yet acknowledged.
const MAX_IN_FLIGHT_BYTES: usize = 2 << 20;

/// Time between two hellos to all known registries, and the same while there is no group.
const HELLO_MS: u64 = 500;
const FIRST_HELLO_MS: u64 = 100;

/// Age after which a hello no longer says who is at an address.
const HELLO_LIFE_MS: u64 = 30_000;

/// Time between two rounds of what registries tell each other and gateways.
const GOSSIP_MS: u64 = 700;

/// Announcements that a target must miss before it counts as silent.
const SILENT_ANNOUNCEMENTS: u64 = 3;

/// Time without an announcement after which a target is forgotten.
const FORGET_TARGET_MS: u64 = 60_000;

/// Time for which changes are gathered before they are noted on the disk.
const NOTE_MS: u64 = 250;

/// Time between two looks at the members of the group.
const MEMBERSHIP_MS: u64 = 100;

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

    told_gateways: Vec<GatewayInfo>,
    targets: TargetTable,

    /// Targets heard from since the last gossip.
    heard: BTreeSet<Arc<str>>,

    /// State that was noted before this start.
    noted: Option<OperatorState>,

    /// When the notes on the disk are to be renewed, after a change.
    note_due_ms: Option<u64>,

    told_silent: Vec<Arc<str>>,
    told_registries: Vec<SocketAddr>,

    /// What gateways were told last: version, index of the evacuated zones.
    told: (u64, u64),

    next_ticket: u64,
    proposals: HashMap<u64, oneshot::Sender<bool>>,
    index_calls: HashMap<u64, oneshot::Sender<Option<u64>>>,
    hello_due_ms: u64,
    gossip_due_ms: u64,
    membership_due_ms: u64,
    is_stopping: bool,
}

/// What a registry notes on its disk, besides the log.
#[derive(Debug, Serialize, Deserialize)]
struct Notes {
    targets: Vec<TargetRecord>,
    operator: OperatorState,
}

/// The replica of the log.
#[derive(Debug)]
struct Replica {
    raft: Raft,
    state: OperatorState,

    /// Ids of the first group; empty when not known.
    first_members: Vec<u64>,

    is_writing: bool,
    is_saving: bool,

    /// Commands proposed here, by index.
    waiting: BTreeMap<u64, (u64, Waiter)>,

    reads: HashMap<u64, Reader>,
    next_read: u64,

    /// Who waits until an index is applied.
    applied_waiters: Vec<(u64, oneshot::Sender<()>)>,
}

#[derive(Debug)]
enum Waiter {
    Nobody,
    Here(oneshot::Sender<bool>),
    Peer { member: MemberId, ticket: u64 },
}

#[derive(Debug)]
enum Reader {
    Here(oneshot::Sender<Option<u64>>),
    Peer { member: MemberId, ticket: u64 },
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
            told_gateways: Vec::new(),
            targets: TargetTable::default(),
            heard: BTreeSet::new(),
            noted: None,
            note_due_ms: None,
            told_silent: Vec::new(),
            told_registries: Vec::new(),
            told: (0, 0),
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
                progress.voter && progress.recently_active && progress.member != own
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

    /// Proposes a command here, or at the leader. `None` while no leader is known.
    pub(crate) fn propose(&mut self, command: Command) -> Option<oneshot::Receiver<bool>> {
        let (sender, receiver) = oneshot::channel();
        let replica = self.replica.as_mut()?;
        if replica.raft.role() == Role::Leader {
            replica.propose(&command, Waiter::Here(sender));
            self.advance();
            return Some(receiver);
        }
        let leader = replica.raft.leader()?;
        let from = replica.raft.id().0;
        let address = self.address_of(leader)?;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.proposals.insert(ticket, sender);
        self.peers.send(address, PeerMessage::Propose { from, ticket, command });
        Some(receiver)
    }

    /// Asks for an index that holds everything acknowledged so far. `None` while no leader is known.
    pub(crate) fn read_index(&mut self) -> Option<oneshot::Receiver<Option<u64>>> {
        let (sender, receiver) = oneshot::channel();
        let replica = self.replica.as_mut()?;
        if replica.raft.role() == Role::Leader {
            replica.read(Reader::Here(sender));
            self.advance();
            return Some(receiver);
        }
        let leader = replica.raft.leader()?;
        let from = replica.raft.id().0;
        let address = self.address_of(leader)?;
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.index_calls.insert(ticket, sender);
        self.peers.send(address, PeerMessage::ReadIndex { from, ticket });
        Some(receiver)
    }

    /// Waits until `index` is applied here. `None` while the disk is not open.
    pub(crate) fn wait_applied(&mut self, index: u64) -> Option<oneshot::Receiver<()>> {
        let replica = self.replica.as_mut()?;
        let (sender, receiver) = oneshot::channel();
        if replica.state.applied_index >= index {
            let _ = sender.send(());
        } else {
            replica.applied_waiters.push((index, sender));
        }
        Some(receiver)
    }

    /// State as applied here.
    pub(crate) fn state(&self) -> Option<&OperatorState> {
        self.replica.as_ref().map(|replica| &replica.state)
    }

    /// Forgets a call that nobody waits for any more.
    pub(crate) fn drop_closed_calls(&mut self) {
        self.proposals.retain(|_, sender| !sender.is_closed());
        self.index_calls.retain(|_, sender| !sender.is_closed());
    }

    /// Takes in what was noted before this start, until something newer is known: the targets, and the configuration
    /// that was in force. Gateways that have started again go on with it while the group elects a leader.
    fn recall(&mut self, notes: &[u8]) {
        if notes.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        match postcard::from_bytes::<Notes>(notes) {
            Ok(notes) => {
                tracing::info!(
                    event = "notes_recalled",
                    targets = notes.targets.len(),
                    version = notes.operator.version()
                );
                self.noted = Some(notes.operator);
                self.publish();
                let changed: Vec<TargetRecord> = notes
                    .targets
                    .into_iter()
                    .filter(|record| {
                        self.targets.observe(now_ms, record.clone()) == Observed::Changed
                    })
                    .collect();
                self.gateways.send_all(&RegistryMessage::Targets(changed));
            }
            // Torn by a loss of power, or of another version: all of it will be told again.
            Err(error) => tracing::warn!(event = "notes_unreadable", %error),
        }
    }

    /// Notes on the disk what is useful after a restart.
    fn note(&mut self, now_ms: u64) {
        let Some(operator) = self.known_state().cloned() else { return };
        let silent_ms = self.silent_after_ms();
        let targets = self
            .targets
            .iter()
            .filter(|(_, heard_ms)| heard_ms + silent_ms >= now_ms)
            .map(|(record, _)| record.clone())
            .collect();
        // What is read back comes from the log.
        let operator = OperatorState { document: Arc::default(), ..operator };
        match postcard::to_stdvec(&Notes { targets, operator }) {
            Ok(notes) => self.disk.ask(DiskJob::Note(notes)),
            Err(error) => tracing::error!(event = "notes_not_encoded", %error),
        }
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

    /// Time without an announcement after which a target counts as silent.
    fn silent_after_ms(&self) -> u64 {
        SILENT_ANNOUNCEMENTS * self.settings.announce_ms + GOSSIP_MS
    }

    pub(crate) fn announce(&mut self, record: TargetRecord) -> Observed {
        let now_ms = self.now_ms();
        self.heard.insert(record.id.clone());
        let observed = self.targets.observe(now_ms, record.clone());
        if observed == Observed::Changed {
            tracing::info!(
                event = "target_changed",
                target_id = %record.id,
                state = ?record.state,
                address = %record.address,
                zone = %record.zone,
                sequence = record.sequence,
                cold_left_ms = record.cold_left_ms
            );
            self.tell_targets(vec![record]);
        }
        observed
    }

    pub(crate) fn leave(&mut self, id: &Arc<str>, born_ms: Option<u64>) {
        let wall_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now_ms = self.now_ms();
        let gone = self.targets.leave(now_ms, id, born_ms, wall_ms.as_millis() as u64);
        if let Some(record) = gone {
            tracing::info!(event = "target_left", target_id = %id);
            self.tell_targets(vec![record]);
        }
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
            PeerMessage::Targets(records) => {
                let changed: Vec<TargetRecord> = records
                    .into_iter()
                    .filter(|record| {
                        self.targets.observe(now_ms, record.clone()) == Observed::Changed
                    })
                    .collect();
                if !changed.is_empty() {
                    self.note_due_ms.get_or_insert(now_ms + NOTE_MS);
                    self.gateways.send_all(&RegistryMessage::Targets(changed));
                }
            }
            PeerMessage::Heard(ids) => {
                ids.iter().for_each(|id| self.targets.heard(now_ms, id));
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

    /// Links a gateway and tells it everything.
    pub(crate) fn add_gateway(&mut self, info: GatewayInfo) -> AddedLink {
        tracing::info!(
            event = "gateway_linked",
            gateway = %info.name,
            incarnation = format_args!("{:x}", info.incarnation)
        );
        let added = self.gateways.add(info);
        let id = added.id;
        let (version, index, zones) = match self.known_state() {
            Some(state) => (
                state.version(),
                state.evacuated_index,
                state.evacuated.iter().cloned().collect::<Vec<_>>(),
            ),
            None => (0, 0, Vec::new()),
        };
        let targets = self.targets.iter().map(|(record, _)| record.clone()).collect();
        for message in [
            RegistryMessage::Registries(self.registries()),
            RegistryMessage::Evacuated { index, zones },
            RegistryMessage::Version(version),
            RegistryMessage::Targets(targets),
            RegistryMessage::Silent(self.told_silent.clone()),
            RegistryMessage::Gateways(self.all_gateways()),
        ] {
            self.gateways.send(id, message);
        }
        self.tell_gateways();
        added
    }

    pub(crate) fn gateway_message(&mut self, link: u64, message: GatewayMessage) {
        match message {
            GatewayMessage::Hello { gateway, .. } => {
                self.gateways.update(link, gateway);
                self.tell_gateways();
            }
            GatewayMessage::WantConfig => {
                let config = self.known_state().and_then(|state| state.config.clone());
                if let Some(config) = config {
                    self.gateways.send(link, RegistryMessage::Config(config));
                }
            }
        }
    }

    pub(crate) fn remove_gateway(&mut self, link: u64) {
        if self.gateways.remove(link) {
            self.tell_gateways();
        }
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

    /// Forms the first group once all seeds agree on its members.
    fn form_group(&mut self, now_ms: u64) {
        let own_address = self.settings.link_address;
        if !self.settings.bootstrap || !self.settings.seeds.contains(&own_address) {
            return;
        }
        let Some(replica) = &mut self.replica else { return };
        if !replica.raft.members().is_empty() {
            return;
        }
        let own = replica.raft.id();
        let others: Vec<&PeerHello> = self
            .settings
            .seeds
            .iter()
            .filter(|seed| **seed != own_address)
            .filter_map(|seed| self.hellos.get(seed).map(|(hello, _)| hello))
            .collect();
        let formed =
            others.iter().find(|hello| hello.has_group && hello.first_members.contains(&own.0));
        let mut ids: Vec<u64> = others.iter().map(|hello| hello.member).collect();
        ids.push(own.0);
        ids.sort_unstable();
        if let Some(formed) = formed {
            ids.clone_from(&formed.first_members);
        } else {
            replica.first_members.clone_from(&ids);
            let all_agree = ids.len() == self.settings.seeds.len()
                && others.iter().all(|hello| !hello.has_group && hello.first_members == ids);
            if !all_agree {
                return;
            }
        }
        let voters = ids.iter().copied().map(MemberId).collect();
        let members = Members { voters, learners: Vec::new() };
        tracing::info!(event = "group_formed", members = ids.len());
        let settings =
            RaftSettings { bootstrap: true, initial_members: members, ..raft_settings(own) };
        replica.raft = Raft::new(settings, DurableState::default(), now_ms);
        replica.first_members = ids;
        self.hello_due_ms = 0;
    }

    /// What only the leader does: keeps the group whole.
    fn lead(&mut self, now_ms: u64) {
        if now_ms < self.membership_due_ms || !self.is_leader() {
            return;
        }
        self.membership_due_ms = now_ms + MEMBERSHIP_MS;
        let views = self.member_views(now_ms);
        let wanted_voters = self.settings.wanted_voters;
        let Some(replica) = &mut self.replica else { return };
        if replica.raft.members_committed() {
            let members = replica.raft.members().clone();
            let own = replica.raft.id();
            if let Some(plan) = plan_membership(own, &members, &views, wanted_voters) {
                match replica.raft.propose_members(plan.members.clone()) {
                    Ok(_) => tracing::info!(
                        event = "members_changed",
                        reason = plan.reason,
                        voters = plan.members.voters.len(),
                        learners = plan.members.learners.len()
                    ),
                    Err(error) => tracing::debug!(event = "members_not_changed", %error),
                }
            }
        }
        let members: Vec<MemberId> = replica.raft.members().all().collect();
        let own = (replica.raft.id().0, self.settings.link_address);
        let told = self.hellos.values().map(|(hello, _)| (hello.member, hello.address));
        let moved = told.chain([own]).find(|(member, address)| {
            members.contains(&MemberId(*member))
                && replica.state.addresses.get(member) != Some(address)
        });
        if let (Some((member, address)), true) = (moved, replica.waiting.is_empty()) {
            replica.propose(&Command::Locate { member, address }, Waiter::Nobody);
        }
    }

    fn member_views(&self, now_ms: u64) -> Vec<MemberView> {
        let Some(replica) = &self.replica else { return Vec::new() };
        let raft = &replica.raft;
        let mut views: BTreeMap<MemberId, MemberView> = BTreeMap::new();
        for progress in raft.progress() {
            let mut hellos = self.hellos.values();
            let hello = hellos.find(|(hello, _)| hello.member == progress.member.0);
            let heard_ms = hello.map(|(_, heard_ms)| *heard_ms);
            let silent_ms = silence_ms(now_ms, progress.last_acknowledged_ms, heard_ms);
            let displaced = replica.state.addresses.get(&progress.member.0).is_some_and(|at| {
                self.hellos.get(at).is_some_and(|(hello, _)| hello.member != progress.member.0)
            });
            let view = MemberView {
                member: progress.member,
                silent_ms,
                is_caught_up: progress.match_index >= raft.commit_index()
                    && progress.recently_active,
                is_displaced: displaced,
            };
            views.insert(progress.member, view);
        }
        for (hello, heard_ms) in self.hellos.values() {
            views.entry(MemberId(hello.member)).or_insert(MemberView {
                member: MemberId(hello.member),
                silent_ms: Some(now_ms.saturating_sub(*heard_ms)),
                is_caught_up: false,
                is_displaced: false,
            });
        }
        views.into_values().collect()
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
        let zones: Vec<Arc<str>> = state.evacuated.iter().cloned().collect();
        let now = (state.version(), state.evacuated_index);
        if now > self.told {
            self.note_due_ms.get_or_insert(self.now_ms() + NOTE_MS);
        }
        if now.0 > self.told.0 {
            self.told.0 = now.0;
            self.metrics.config_version.set(i64::try_from(now.0).unwrap_or(i64::MAX));
            tracing::info!(event = "config_in_force", version = now.0, index);
            self.gateways.send_all(&RegistryMessage::Version(now.0));
        }
        if now.1 > self.told.1 {
            self.told.1 = now.1;
            tracing::info!(event = "zones_evacuated", zones = ?zones, index = now.1);
            let message = RegistryMessage::Evacuated { index: now.1, zones };
            self.gateways.send_all(&message);
        }
    }

    fn send_hellos(&mut self, now_ms: u64) {
        let Some(replica) = &self.replica else {
            self.hello_due_ms = now_ms + FIRST_HELLO_MS;
            return;
        };
        let has_group = !replica.raft.members().is_empty();
        self.hello_due_ms = now_ms + if has_group { HELLO_MS } else { FIRST_HELLO_MS };
        let hello = PeerHello {
            member: replica.raft.id().0,
            address: self.settings.link_address,
            has_group,
            first_members: replica.first_members.clone(),
        };
        self.hellos.retain(|_, (_, heard_ms)| *heard_ms + HELLO_LIFE_MS > now_ms);
        let peers = self.known_peers();
        self.peers.keep(&peers);
        for address in peers {
            self.peers.send(address, PeerMessage::Hello(hello.clone()));
        }
    }

    fn gossip(&mut self, now_ms: u64) {
        self.drop_closed_calls();
        let heard: Vec<Arc<str>> = std::mem::take(&mut self.heard).into_iter().collect();
        let from = self.replica.as_ref().map_or(0, |replica| replica.raft.id().0);
        let gateways = self.gateways.infos();
        for address in self.known_peers() {
            if !heard.is_empty() {
                self.peers.send(address, PeerMessage::Heard(heard.clone()));
            }
            let message = PeerMessage::Gateways { from, gateways: gateways.clone() };
            self.peers.send(address, message);
        }
        self.remote_gateways.retain(|_, (_, at_ms)| *at_ms + 4 * GOSSIP_MS > now_ms);

        let expired = self.targets.expire(now_ms.saturating_sub(FORGET_TARGET_MS));
        let expired: Vec<TargetRecord> = expired
            .into_iter()
            .map(|record| TargetRecord { state: TargetState::Gone, ..record })
            .collect();
        if !expired.is_empty() {
            tracing::info!(event = "targets_expired", count = expired.len());
            self.gateways.send_all(&RegistryMessage::Targets(expired));
        }
        let limit_ms = self.silent_after_ms();
        let silent: Vec<Arc<str>> = self
            .targets
            .iter()
            .filter(|(record, _)| record.state != TargetState::Gone)
            .filter(|(_, heard_ms)| heard_ms + limit_ms < now_ms)
            .map(|(record, _)| record.id.clone())
            .collect();
        if silent != self.told_silent {
            tracing::info!(event = "targets_silent", targets = ?silent);
            self.note_due_ms.get_or_insert(now_ms + NOTE_MS);
            self.told_silent.clone_from(&silent);
            self.gateways.send_all(&RegistryMessage::Silent(silent));
        }
        let present = self.targets.iter().filter(|(r, _)| r.state != TargetState::Gone).count();
        self.metrics.targets.set(present as i64);
        self.metrics.gateways.set(gateways.len() as i64);
        self.tell_gateways();
        let registries = self.registries();
        if registries != self.told_registries {
            self.told_registries.clone_from(&registries);
            self.gateways.send_all(&RegistryMessage::Registries(registries));
        }
        self.gateways.send_all(&RegistryMessage::Version(self.told.0));
    }

    fn tell_targets(&mut self, records: Vec<TargetRecord>) {
        self.note_due_ms.get_or_insert(self.now_ms() + NOTE_MS);
        for address in self.known_peers() {
            self.peers.send(address, PeerMessage::Targets(records.clone()));
        }
        self.gateways.send_all(&RegistryMessage::Targets(records));
    }

    fn tell_gateways(&mut self) {
        let all = self.all_gateways();
        if all != self.told_gateways {
            self.told_gateways.clone_from(&all);
            self.gateways.send_all(&RegistryMessage::Gateways(all));
        }
    }

    /// Gateways linked here or at another registry, the newest start of each name.
    fn all_gateways(&self) -> Vec<GatewayInfo> {
        let remote = self.remote_gateways.values().flat_map(|(infos, _)| infos.iter().cloned());
        let mut by_name: BTreeMap<Arc<str>, GatewayInfo> = BTreeMap::new();
        for info in remote.chain(self.gateways.infos()) {
            match by_name.get_mut(&info.name) {
                Some(known)
                    if (known.started_ms, !known.takes_part)
                        >= (info.started_ms, !info.takes_part) => {}
                Some(known) => *known = info,
                None => {
                    by_name.insert(info.name.clone(), info);
                }
            }
        }
        by_name.into_values().collect()
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

impl Replica {
    fn propose(&mut self, command: &Command, waiter: Waiter) {
        let proposed = postcard::to_stdvec(command)
            .map_err(|error| tracing::error!(event = "command_not_encoded", %error))
            .ok()
            .and_then(|bytes| self.raft.propose(bytes).ok());
        match proposed {
            Some(position) => {
                self.waiting.insert(position.index, (position.term, waiter));
            }
            // Index 0 is never committed, so that the waiter is told with the next round.
            None => {
                self.waiting.insert(0, (0, waiter));
            }
        }
    }

    fn read(&mut self, reader: Reader) {
        self.next_read += 1;
        let context = self.next_read;
        if self.raft.confirm_leadership(context).is_ok() {
            self.reads.insert(context, reader);
        } else if let Reader::Here(sender) = reader {
            let _ = sender.send(None);
        }
    }

    fn apply_committed(&mut self) {
        for committed in self.raft.take_committed() {
            match committed {
                Committed::Snapshot(snapshot) => match postcard::from_bytes(&snapshot.data) {
                    Ok(state) => {
                        self.state = state;
                        self.state.applied_index = snapshot.index;
                    }
                    Err(error) => tracing::error!(event = "snapshot_unreadable", %error),
                },
                Committed::Entry(entry) => match entry.payload {
                    Payload::Command(bytes) => match postcard::from_bytes(&bytes) {
                        Ok(command) => self.state.apply(entry.index, command),
                        Err(error) => tracing::error!(event = "command_unreadable", %error),
                    },
                    Payload::Empty | Payload::Members(_) => self.state.applied_index = entry.index,
                },
            }
        }
        let applied = self.state.applied_index;
        let waiters = std::mem::take(&mut self.applied_waiters);
        for (index, sender) in waiters {
            if index <= applied {
                let _ = sender.send(());
            } else {
                self.applied_waiters.push((index, sender));
            }
        }
    }

    /// Who waits for commands that this replica no longer leads to a commit.
    fn take_lost(&mut self) -> Vec<Waiter> {
        let term = self.raft.term();
        let leads = self.raft.role() == Role::Leader;
        let applied = self.state.applied_index;
        let lost: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(index, (at_term, _))| {
                **index == 0 || (**index > applied && !(leads && *at_term == term))
            })
            .map(|(index, _)| *index)
            .collect();
        lost.iter().filter_map(|index| self.waiting.remove(index)).map(|(_, w)| w).collect()
    }

    /// Who waits for commands that are applied, and whether it was theirs.
    fn take_done(&mut self) -> Vec<(Waiter, bool)> {
        let later = self.waiting.split_off(&(self.state.applied_index + 1));
        let done = std::mem::replace(&mut self.waiting, later);
        let raft = &self.raft;
        // A proposal of an earlier term may have been replaced by another entry at its index.
        let own_term = |term| raft.role() == Role::Leader && raft.term() == term;
        done.into_values().map(|(term, waiter)| (waiter, own_term(term))).collect()
    }

    fn take_read_answers(&mut self) -> Vec<(Reader, Option<u64>)> {
        let confirmed = self.raft.take_confirmed();
        confirmed
            .into_iter()
            .filter_map(|confirmation| {
                let (context, index) = match confirmation {
                    Confirmation::Confirmed { context, commit_index } => {
                        (context, Some(commit_index))
                    }
                    Confirmation::Lost { context } => (context, None),
                };
                self.reads.remove(&context).map(|reader| (reader, index))
            })
            .collect()
    }

    fn due_snapshot(&mut self) -> Option<mulberry_consensus::Snapshot> {
        let commands = self.state.applied_index.saturating_sub(self.raft.snapshot_index());
        if self.is_saving || commands < SNAPSHOT_COMMANDS {
            return None;
        }
        let data = postcard::to_stdvec(&self.state)
            .map_err(|error| tracing::error!(event = "snapshot_not_encoded", %error))
            .ok()?;
        let snapshot = self.raft.snapshot_at(self.state.applied_index, data)?;
        self.is_saving = true;
        Some(snapshot)
    }
}

fn raft_settings(id: MemberId) -> RaftSettings {
    // The replacement of a silent voter must not race with an election.
    const _: () = assert!(REPLACE_AFTER_MS > ELECTION_MS.0);
    RaftSettings {
        id,
        seed: rand::random(),
        heartbeat_ms: HEARTBEAT_MS,
        election_timeout_min_ms: ELECTION_MS.0,
        election_timeout_max_ms: ELECTION_MS.1,
        max_in_flight_bytes: MAX_IN_FLIGHT_BYTES,
        kept_entries: KEPT_ENTRIES,
        ..RaftSettings::default()
    }
}

fn sorted_ids(members: &Members) -> Vec<u64> {
    let mut ids: Vec<u64> = members.voters.iter().map(|voter| voter.0).collect();
    ids.sort_unstable();
    ids
}
