//! State of a registry and its event handlers.

mod addresses;
mod departures;
mod gateways;
mod gossip;
mod group;
mod group_status;
mod parts;
mod replica;
mod requests;
mod target_resync;
mod targets;
mod versions;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use mulberry_consensus::{DurableState, MemberId, Payload, Raft, RaftMessage, Role};
use mulberry_directory::{GatewayInfo, TargetState, TargetTable};
use mulberry_quarantine::{CrashCorrelator, PartTable};
use mulberry_routes::RoutingConfig;
use tokio::sync::oneshot;

use self::addresses::recovered_addresses;
pub(crate) use self::departures::DepartureRequester;
use self::departures::PendingDeparture;
use self::group_status::GroupReport;
use self::replica::{ProposalWaiter, ReadWaiter, Replica, raft_settings, sorted_ids};
use self::target_resync::TargetResync;
use crate::disk_thread::{DiskEvent, DiskJob, DiskThread};
use crate::gateway_links::GatewayLinks;
use crate::pause_detector::PauseDetector;
use crate::peer_links::PeerLinks;
use crate::peer_message::{PeerHello, PeerMessage};
use crate::registry_metrics::RegistryMetrics;
use crate::restored_targets::RestoredTargets;
use crate::sent_bytes::SentBytes;
use crate::target_feed::TargetFeed;
use crate::{OperatorState, RegistrySettings};

/// Interval between gossip rounds with the other registries and the gateways.
const GOSSIP_INTERVAL_MS: u64 = 700;

/// Number of recent configurations kept for sending deltas to gateways.
const MAX_RECENT_CONFIGS: usize = 8;

/// Delay before reopening the data folder after a failure.
const REOPEN_DELAY_MS: u64 = 300;

/// State of one registry.
#[derive(Debug)]
pub(crate) struct Node {
    pub settings: RegistrySettings,
    pub metrics: RegistryMetrics,
    started: Instant,
    pauses: PauseDetector,
    disk: DiskThread,

    /// `None` until the data folder is open.
    replica: Option<Replica>,

    /// Whether the last attempt to write or to open the data folder has failed.
    has_disk_failed: bool,

    /// When to open the data folder again after a failure; `None` while it is being opened.
    reopen_due_ms: Option<u64>,

    peers: PeerLinks,
    sent_bytes: SentBytes,
    sent_report_due_ms: u64,

    /// Newest hello from each address, with its arrival time.
    hellos: BTreeMap<SocketAddr, (PeerHello, u64)>,

    /// Members of a group that another registry has named to this one, with the arrival time.
    introduced: BTreeMap<SocketAddr, u64>,

    gateways: GatewayLinks,

    target_resyncs: Vec<TargetResync>,

    /// Gateways reported by other registries, by registry, with the arrival time.
    remote_gateways: HashMap<SocketAddr, (Vec<GatewayInfo>, u64)>,

    /// Whether the gateways connected to this registry or to others may have changed since the last batch.
    are_gateways_changed: bool,

    /// Connected gateways last sent to the other registries, and the time of the next resend.
    gossiped_gateways: Vec<GatewayInfo>,
    gateways_gossip_due_ms: u64,

    targets: TargetTable,

    /// Changes of targets for the gateways.
    feed: TargetFeed,
    feed_prune_due_ms: u64,

    restored: RestoredTargets,

    /// Departures that wait to be stored by a majority, by request id.
    pending_departures: HashMap<u64, PendingDeparture>,

    /// Start and state of targets whose departure is known to be stored by a majority.
    stored_departures: HashMap<Arc<str>, (u64, TargetState)>,

    /// Reports of gateways about crashed engines, and the parts of prompts that crash them.
    correlator: CrashCorrelator,
    parts: PartTable,

    /// Targets that announced themselves since the last gossip round.
    seen_targets: BTreeSet<Arc<str>>,

    /// State restored from the warm-start file.
    restored_state: Option<OperatorState>,

    /// When to save the warm-start state after a change.
    warm_start_save_due_ms: Option<u64>,

    published_registries: Vec<SocketAddr>,

    /// Recent configurations, newest last. Deltas are computed from those that gateways may still hold.
    recent_configs: VecDeque<Arc<RoutingConfig>>,

    /// Encoded updates of the configuration, by the version before and after.
    config_frames: VecDeque<((u64, u64), Bytes)>,

    /// Configuration version and log index of the evacuated zones that were last published.
    published_versions: (u64, u64),

    /// Whether the version was last published as confirmed.
    published_confirmed: bool,

    /// Index of the last log entry recovered from disk.
    recovered_index: u64,

    /// Addresses of members according to the whole log recovered from disk, of which some entries may not be committed.
    recovered_addresses: BTreeMap<u64, SocketAddr>,

    last_request_id: u64,
    forwarded_proposals: HashMap<u64, oneshot::Sender<bool>>,
    read_index_requests: HashMap<u64, oneshot::Sender<Option<u64>>>,
    hello_due_ms: u64,
    gossip_due_ms: u64,
    membership_due_ms: u64,

    /// When this registry became the leader; `None` if it is not.
    leader_since_ms: Option<u64>,

    group_report: GroupReport,
    is_stopping: bool,
}

/// The node, shared by the tasks of the registry thread.
pub(crate) type SharedNode = Rc<RefCell<Node>>;

impl Node {
    pub(crate) fn new(
        settings: RegistrySettings,
        metrics: RegistryMetrics,
        disk: DiskThread,
    ) -> Node {
        disk.submit(DiskJob::Open);
        let sent_bytes = SentBytes::new(metrics.clone());
        Node {
            settings,
            metrics,
            started: Instant::now(),
            pauses: PauseDetector::default(),
            disk,
            replica: None,
            has_disk_failed: false,
            reopen_due_ms: None,
            peers: PeerLinks::new(sent_bytes.clone()),
            sent_bytes,
            sent_report_due_ms: 0,
            hellos: BTreeMap::new(),
            introduced: BTreeMap::new(),
            gateways: GatewayLinks::default(),
            target_resyncs: Vec::new(),
            remote_gateways: HashMap::new(),
            are_gateways_changed: false,
            gossiped_gateways: Vec::new(),
            gateways_gossip_due_ms: 0,
            targets: TargetTable::default(),
            feed: TargetFeed::new(rand::random()),
            feed_prune_due_ms: 0,
            restored: RestoredTargets::default(),
            pending_departures: HashMap::new(),
            stored_departures: HashMap::new(),
            correlator: CrashCorrelator::default(),
            parts: PartTable::default(),
            seen_targets: BTreeSet::new(),
            restored_state: None,
            warm_start_save_due_ms: None,
            published_registries: Vec::new(),
            recent_configs: VecDeque::new(),
            config_frames: VecDeque::new(),
            published_versions: (0, 0),
            published_confirmed: false,
            recovered_index: 0,
            recovered_addresses: BTreeMap::new(),
            last_request_id: 0,
            forwarded_proposals: HashMap::new(),
            read_index_requests: HashMap::new(),
            hello_due_ms: 0,
            gossip_due_ms: 0,
            membership_due_ms: 0,
            leader_since_ms: None,
            group_report: GroupReport::default(),
            is_stopping: false,
        }
    }

    /// Whether the process was paused after `since_ms` of the clock of [`Node::pause_clock_ms`], or just before.
    pub(crate) fn has_paused_since(&mut self, since_ms: u64) -> bool {
        self.pauses.has_paused_since(since_ms)
    }

    /// Time on a clock that counts the time in which the machine is suspended.
    pub(crate) fn pause_clock_ms(&self) -> u64 {
        self.pauses.now_ms()
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Replaces the seeds after a settings change.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        if self.settings.seeds != seeds {
            tracing::info!(event = "seeds_changed", seeds = ?seeds);
            self.settings.seeds = seeds;
            self.hello_due_ms = 0;
        }
    }

    /// Begins a planned stop. Transfers leadership, so that the group does not have to wait for an election timeout.
    pub(crate) fn begin_stop(&mut self) {
        self.is_stopping = true;
        if let Some(replica) = &mut self.replica {
            let own = replica.raft.id();
            let candidates = replica.raft.progress().into_iter().filter(|progress| {
                progress.is_voter && progress.recently_active && progress.member != own
            });
            if let Some(successor) = candidates.max_by_key(|progress| progress.match_index) {
                // Fails only if this replica is not the leader.
                let _ = replica.raft.transfer_leadership(successor.member);
            }
        }
        self.advance();
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.raft.role() == Role::Leader)
    }

    pub(crate) fn handle_disk_event(&mut self, event: DiskEvent) {
        match event {
            DiskEvent::Opened { member, durable, warm_start, departures } => {
                self.open_replica(member, durable);
                self.restore_warm_start(&warm_start, departures);
            }
            DiskEvent::DepartureStored { requester, record } => {
                self.departure_synced(requester, record);
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
                self.refuse_pending_requests();
                if !std::mem::replace(&mut self.has_disk_failed, true) {
                    tracing::error!(event = "disk_lost", %error);
                }
                self.reopen_due_ms = Some(self.now_ms() + REOPEN_DELAY_MS);
            }
        }
        self.advance();
    }

    /// Whether a write to the data folder has failed, and the folder is not open again.
    pub(crate) fn has_disk_failed(&self) -> bool {
        self.has_disk_failed
    }

    /// Whether the data folder is open, and the targets known before the start are restored.
    pub(crate) fn is_open(&self) -> bool {
        self.replica.is_some()
    }

    pub(crate) fn handle_peer_message(&mut self, message: PeerMessage) {
        let now_ms = self.now_ms();
        match message {
            PeerMessage::Hello(hello) => self.handle_hello(now_ms, hello),
            PeerMessage::Raft { from, to, message } => {
                self.handle_raft_message(now_ms, from, to, message);
            }
            PeerMessage::Propose { from, request_id, command, last_zone_change } => {
                let waiter = ProposalWaiter::Peer { member: MemberId(from), request_id };
                match &mut self.replica {
                    Some(replica) => replica.propose(&command, last_zone_change, waiter),
                    None => self.answer_proposal(waiter, false),
                }
            }
            PeerMessage::ProposeReply { request_id, is_committed } => {
                if let Some(sender) = self.forwarded_proposals.remove(&request_id) {
                    let _ = sender.send(is_committed);
                }
            }
            PeerMessage::ReadIndex { from, request_id } => {
                let waiter = ReadWaiter::Peer { member: MemberId(from), request_id };
                let refused = match &mut self.replica {
                    Some(replica) => replica.request_read_index(waiter).err(),
                    None => Some(waiter),
                };
                if let Some(waiter) = refused {
                    self.answer_read(waiter, None);
                }
            }
            PeerMessage::ReadIndexReply { request_id, index } => {
                if let Some(sender) = self.read_index_requests.remove(&request_id) {
                    let _ = sender.send(index);
                }
            }
            PeerMessage::Targets(records) => self.apply_target_records(now_ms, records),
            PeerMessage::TargetsSeen(ids) => {
                for id in &ids {
                    self.confirm_restored(now_ms, id);
                    self.targets.mark_seen(now_ms, id);
                }
            }
            PeerMessage::StoreDeparture { from, request_id, record, is_any_start } => {
                self.store_departure_for(from, request_id, record, is_any_start);
            }
            PeerMessage::DepartureStored { from, request_id, record } => {
                self.departure_stored(from, request_id, &record);
            }
            PeerMessage::Gateways { from, gateways } => {
                let address = self.address_of(MemberId(from));
                if let Some(address) = address {
                    let known = self.remote_gateways.get(&address).map(|(known, _)| known);
                    self.are_gateways_changed |= known != Some(&gateways);
                    self.remote_gateways.insert(address, (gateways, now_ms));
                    self.flush_gateways(now_ms);
                }
            }
            PeerMessage::GatewaysUnchanged { from, checksum } => {
                self.handle_gateways_unchanged(now_ms, from, checksum);
            }
            PeerMessage::RequestGateways { from } => {
                let own = self.replica.as_ref().map_or(0, |replica| replica.raft.id().0);
                let gateways = self.gateways.infos();
                self.send_to(MemberId(from), PeerMessage::Gateways { from: own, gateways });
            }
        }
        self.advance();
    }

    /// Handles a timer tick.
    pub(crate) fn tick(&mut self) {
        self.pauses.record_activity();
        let now_ms = self.now_ms();
        if self.reopen_due_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            // Not submitted again before its result: a second opening would replace the replica of the first one, while
            // writes of that replica are in flight.
            self.reopen_due_ms = None;
            self.disk.submit(DiskJob::Open);
        }
        self.advance();
        if self.warm_start_save_due_ms.is_some_and(|due_ms| due_ms <= now_ms) {
            self.warm_start_save_due_ms = None;
            self.save_warm_start(now_ms);
        }
        self.judge_parts();
        self.send_target_resyncs(now_ms);
        if now_ms >= self.hello_due_ms {
            self.send_hellos(now_ms);
        }
        if now_ms >= self.gossip_due_ms {
            self.gossip_due_ms = now_ms + GOSSIP_INTERVAL_MS;
            self.gossip(now_ms);
        }
        self.flush_gateways(now_ms);
        self.report_group_status(now_ms);
    }

    fn open_replica(&mut self, member: MemberId, durable: DurableState) {
        let now_ms = self.now_ms();
        self.has_disk_failed = false;
        let initial_members = match durable.entries.first() {
            Some(entry) if entry.index == 1 => match &entry.payload {
                Payload::Members(members) => sorted_ids(members),
                _ => Vec::new(),
            },
            _ => Vec::new(),
        };
        self.recovered_addresses = recovered_addresses(&durable);
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
            initial_members,
            is_writing: false,
            is_saving: false,
            proposed_zone_change: (0, 0),
            pending_proposals: BTreeMap::new(),
            pending_reads: HashMap::new(),
            last_read_id: 0,
            applied_waiters: Vec::new(),
        });
        self.hello_due_ms = 0;
    }

    fn handle_raft_message(&mut self, now_ms: u64, from: u64, to: u64, message: RaftMessage) {
        let Some(replica) = &mut self.replica else { return };
        if replica.raft.id() == MemberId(to) {
            replica.raft.receive(now_ms, MemberId(from), message);
        }
    }

    /// Advances the replica and sends its messages and replies; called after each event.
    fn advance(&mut self) {
        let now_ms = self.now_ms();
        self.form_group(now_ms);
        let Some(replica) = &mut self.replica else { return };
        replica.raft.tick(now_ms);
        if !replica.is_writing {
            let writes = replica.raft.take_writes();
            if !writes.is_empty() {
                replica.is_writing = true;
                self.disk.submit(DiskJob::Write(writes));
            }
        }
        replica.apply_committed();
        let lost = replica.take_lost_proposals();
        let completed_reads = replica.take_completed_reads();
        let completed = replica.take_completed_proposals();
        let from = replica.raft.id().0;
        if let Some(snapshot) = replica.take_due_snapshot() {
            self.disk.submit(DiskJob::Save(snapshot));
        }
        let messages = replica.raft.take_messages();
        for (to, message) in messages {
            self.send_to(to, PeerMessage::Raft { from, to: to.0, message });
        }
        for (waiter, is_committed) in
            lost.into_iter().map(|waiter| (waiter, false)).chain(completed)
        {
            self.answer_proposal(waiter, is_committed);
        }
        for (waiter, index) in completed_reads {
            self.answer_read(waiter, index);
        }
        self.manage_membership(now_ms);
        self.publish();
    }
}
