//! State machine of one Raft replica.

mod election;
mod membership;
mod reads;
mod replication;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::reads::Confirmation;
use self::reads::PendingRead;
use self::replication::IncomingSnapshot;
use crate::log::Log;
use crate::members::MemberHistory;
use crate::progress::Progress;
use crate::writes::WriteQueue;
use crate::{
    AppendResult, Committed, DurableState, Entry, HardState, MemberId, MemberProgress, Members,
    MessageBody, NotLeader, Payload, Position, RaftMessage, RaftSettings, Snapshot, Writes,
};

/// Role of a replica in its Raft group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Replicates from a leader or waits for one. Learners and replicas without a group are also followers.
    Follower,

    /// Runs a pre-vote to find out whether it could win an election.
    PreCandidate,

    /// Requests votes for a new term.
    Candidate,

    Leader,
}

/// One replica of a Raft group.
#[derive(Debug)]
pub struct Raft {
    settings: RaftSettings,
    rng: ChaCha8Rng,

    /// Latest time passed in by the driver.
    now_ms: u64,

    started_ms: u64,
    hard_state: HardState,
    log: Log,
    snapshot: Option<Arc<Snapshot>>,
    members: MemberHistory,
    commit_index: u64,

    /// Last index that `take_committed` has returned.
    delivered_index: u64,

    /// Snapshot that `take_committed` must return before any entry.
    pending_snapshot: Option<Snapshot>,

    role: RoleState,
    leader: Option<MemberId>,

    /// Time of the last message from the leader of the term that was current on arrival.
    last_leader_contact_ms: Option<u64>,

    election_deadline_ms: u64,
    writes: WriteQueue,
    outgoing: Vec<Outgoing>,
    incoming_snapshot: Option<IncomingSnapshot>,
    confirmations: Vec<Confirmation>,
}

#[derive(Debug)]
enum RoleState {
    Follower,
    PreCandidate { votes: BTreeSet<MemberId> },
    Candidate { votes: BTreeSet<MemberId> },
    Leader(LeaderState),
}

#[derive(Debug)]
struct LeaderState {
    elected_ms: u64,

    /// Index of the no-op entry that the leader appended when it was elected.
    noop_index: u64,

    /// Replication progress of every other member.
    progress: BTreeMap<MemberId, Progress>,

    heartbeat_due_ms: u64,

    /// Number of the latest heartbeat round.
    round: u64,

    /// Pending reads in ascending order of round. The next `take_messages` starts the round for reads whose round has
    /// not started yet.
    reads: Vec<PendingRead>,

    transfer: Option<LeadershipTransfer>,
}

/// Leadership transfer in progress.
#[derive(Debug)]
struct LeadershipTransfer {
    to: MemberId,
    deadline_ms: u64,
    sent: bool,
}

/// A message that may have to wait until writes are synced.
#[derive(Debug)]
struct Outgoing {
    to: MemberId,
    message: RaftMessage,

    /// Sequence number of the write batch that must be synced before the message is sent; 0 if none.
    required_sync_sequence: u64,
}

impl Raft {
    /// Starts a replica from its durable state.
    ///
    /// # Panics
    /// The durable state is inconsistent: entries are missing or out of order, or have a higher term than the hard
    /// state.
    pub fn new(settings: RaftSettings, durable: DurableState, now_ms: u64) -> Raft {
        let DurableState { hard_state, snapshot, entries } = durable;
        let snapshot_position = snapshot.as_ref().map(Snapshot::position).unwrap_or_default();
        let mut members = MemberHistory::default();
        if let Some(snapshot) = &snapshot {
            members.reset(snapshot.index, snapshot.members.clone());
        }
        let is_new = snapshot.is_none() && entries.is_empty();
        let (retained, discarded) = entries_after_snapshot(snapshot_position, entries);
        let mut log = Log::new(snapshot_position);
        for entry in retained {
            if let Payload::Members(new_members) = &entry.payload {
                members.push(entry.index, new_members.clone());
            }
            log.append(entry);
        }
        assert!(
            log.last().term <= hard_state.term,
            "the log contains entries of term {} but the hard state has term {}; restore the data folder",
            log.last().term,
            hard_state.term
        );

        let mut writes = WriteQueue::new(log.last_index());
        if discarded {
            writes.truncate_from(snapshot_position.index + 1);
        }
        let rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut raft = Raft {
            settings,
            rng,
            now_ms,
            started_ms: now_ms,
            hard_state,
            log,
            snapshot: snapshot.clone().map(Arc::new),
            members,
            commit_index: snapshot_position.index,
            delivered_index: 0,
            pending_snapshot: snapshot,
            role: RoleState::Follower,
            leader: None,
            last_leader_contact_ms: None,
            election_deadline_ms: 0,
            writes,
            outgoing: Vec::new(),
            incoming_snapshot: None,
            confirmations: Vec::new(),
        };
        raft.reset_election_deadline();
        if is_new {
            raft.bootstrap();
        }
        raft
    }

    /// Advances the clock and handles expired timers. An earlier `now_ms` than before leaves the clock unchanged.
    pub fn tick(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        if matches!(self.role, RoleState::Leader(_)) {
            self.tick_leader();
        } else if self.now_ms >= self.election_deadline_ms {
            self.reset_election_deadline();
            if self.may_campaign() {
                self.start_pre_vote();
            }
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, now_ms: u64, from: MemberId, message: RaftMessage) {
        self.now_ms = self.now_ms.max(now_ms);
        let RaftMessage { term, body } = message;
        if from == self.settings.id || self.ignores_vote_request(&body) {
            return;
        }

        if term > self.hard_state.term {
            match body {
                // The term is the one that the candidate would start, so the current term does not change.
                MessageBody::PreVote { .. } | MessageBody::PreVoteReply { granted: true } => {}
                _ => self.become_follower(term),
            }
        } else if term < self.hard_state.term {
            match body {
                MessageBody::PreVote { .. } => {
                    self.send_after_hard_state_sync(
                        from,
                        MessageBody::PreVoteReply { granted: false },
                    );
                }
                // Makes the stale leader step down: it cannot replicate to this replica in its old term.
                MessageBody::AppendEntries { .. }
                | MessageBody::Heartbeat { .. }
                | MessageBody::InstallSnapshot { .. } => {
                    self.send_after_hard_state_sync(from, MessageBody::NewerTerm);
                }
                _ => {}
            }
            return;
        }

        match body {
            MessageBody::PreVote { last } => self.on_pre_vote(from, term, last),
            MessageBody::PreVoteReply { granted } => self.on_pre_vote_reply(from, term, granted),
            MessageBody::RequestVote { last, .. } => self.on_request_vote(from, last),
            MessageBody::RequestVoteReply { granted } => self.on_request_vote_reply(from, granted),
            MessageBody::AppendEntries { previous, entries, commit_index } => {
                self.on_append_entries(from, previous, entries, commit_index);
            }
            MessageBody::AppendEntriesReply(result) => self.on_append_entries_reply(from, result),
            MessageBody::Heartbeat { commit_index, round } => {
                self.on_heartbeat(from, commit_index, round);
            }
            MessageBody::HeartbeatReply { round } => self.on_heartbeat_reply(from, round),
            MessageBody::InstallSnapshot { position, members, offset, total_bytes, data } => {
                let chunk = IncomingSnapshot { position, members, total_bytes, data };
                self.on_install_snapshot(from, offset, chunk);
            }
            MessageBody::InstallSnapshotReply { index, received_bytes } => {
                self.on_install_snapshot_reply(from, index, received_bytes);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(from),
            MessageBody::NewerTerm => {}
        }
    }

    /// Appends a command to the leader's log. It is committed once `take_committed` returns an entry with the returned
    /// position. An entry with the same index and a different term means that the command was lost.
    ///
    /// # Errors
    /// The replica is not the leader, or is transferring leadership.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Position, NotLeader> {
        self.check_accepts_proposals()?;
        Ok(self.append_as_leader(Payload::Command(command)))
    }

    /// Takes the writes that must be synced. Each non-empty result must be passed to `writes_synced` after the sync, in
    /// the order in which the results were taken.
    pub fn take_writes(&mut self) -> Writes {
        self.writes.take()
    }

    /// Records that `writes` are synced to disk.
    ///
    /// # Panics
    /// `writes` is not the oldest batch that was taken and not yet reported as synced.
    pub fn writes_synced(&mut self, writes: &Writes) {
        self.writes.mark_synced(writes);
        self.count_own_vote();
        self.advance_commit_index();
    }

    /// Takes the messages that may be sent now. Messages that depend on durable state are held back until the writes
    /// they depend on are synced.
    pub fn take_messages(&mut self) -> Vec<(MemberId, RaftMessage)> {
        self.start_read_round();
        self.replicate();
        let synced = self.writes.synced_sequence();
        let (ready, waiting) = std::mem::take(&mut self.outgoing)
            .into_iter()
            .partition::<Vec<_>, _>(|outgoing| outgoing.required_sync_sequence <= synced);
        self.outgoing = waiting;
        ready.into_iter().map(|outgoing| (outgoing.to, outgoing.message)).collect()
    }

    /// Takes the entries that were committed since the last call, in order, up to the last entry that is also synced to
    /// this replica's own disk. A snapshot from the disk or from the leader comes before them.
    pub fn take_committed(&mut self) -> Vec<Committed> {
        let mut committed = Vec::new();
        if let Some(snapshot) = self.pending_snapshot.take() {
            if self.writes.synced_index() < snapshot.index {
                self.pending_snapshot = Some(snapshot);
                return committed;
            }
            self.delivered_index = snapshot.index;
            committed.push(Committed::Snapshot(snapshot));
        }
        let last = self.commit_index.min(self.writes.synced_index());
        if last > self.delivered_index {
            let entries = self.log.range(self.delivered_index + 1, last);
            committed.extend(entries.cloned().map(Committed::Entry));
            self.delivered_index = last;
        }
        committed
    }

    /// Creates a snapshot from the `data` of a state machine that has applied every entry up to `index`. Returns `None`
    /// if the replica already has a snapshot at this index or a later one, for example one sent by the leader.
    ///
    /// # Panics
    /// `take_committed` has not returned the entry at `index` yet.
    pub fn create_snapshot(&self, index: u64, data: Vec<u8>) -> Option<Snapshot> {
        assert!(index <= self.delivered_index, "a snapshot must contain only committed entries");
        if index <= self.snapshot_index() {
            return None;
        }
        let term = self.log.term_at(index)?;
        let members = self.members.at(index)?.clone();
        Some(Snapshot { index, term, members, data })
    }

    /// Compacts the in-memory log up to `snapshot`, except for the last `retained_entries` entries before it. The
    /// driver must have stored the snapshot durably. Does nothing if the replica already has a snapshot at this index
    /// or a later one.
    ///
    /// # Panics
    /// The snapshot contains entries that `take_committed` has not returned, or its term or members differ from those
    /// in the log.
    pub fn compact(&mut self, snapshot: Snapshot) {
        if self.snapshot.as_ref().is_some_and(|newer| newer.index >= snapshot.index) {
            return;
        }
        assert!(
            snapshot.index <= self.delivered_index,
            "snapshot at index {} is ahead of the applied index {}",
            snapshot.index,
            self.delivered_index
        );
        assert_eq!(
            self.log.term_at(snapshot.index),
            Some(snapshot.term),
            "the snapshot's term differs from the log"
        );
        assert_eq!(
            self.members.at(snapshot.index),
            Some(&snapshot.members),
            "the snapshot's members differ"
        );
        self.log.compact_through(snapshot.index.saturating_sub(self.settings.retained_entries));
        self.members.compact_through(snapshot.index);
        self.snapshot = Some(Arc::new(snapshot));
    }

    pub fn id(&self) -> MemberId {
        self.settings.id
    }

    pub fn role(&self) -> Role {
        match self.role {
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate { .. } => Role::PreCandidate,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// The leader of the current term, if this replica has heard from it.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Latest members in the log, committed or not. Empty if this replica does not belong to a group yet.
    pub fn members(&self) -> &Members {
        static NO_MEMBERS: Members = Members { voters: Vec::new(), learners: Vec::new() };
        self.members.current().map_or(&NO_MEMBERS, |(_, members)| members)
    }

    /// Whether the latest members are committed.
    pub fn members_committed(&self) -> bool {
        self.members.current().is_none_or(|&(index, _)| index <= self.commit_index)
    }

    /// Index of the first entry of this leader's term; `None` if this replica is not the leader.
    pub fn first_index_of_term(&self) -> Option<u64> {
        match &self.role {
            RoleState::Leader(leader) => Some(leader.noop_index),
            _ => None,
        }
    }

    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Last index that `take_committed` has returned.
    pub fn delivered_index(&self) -> u64 {
        self.delivered_index
    }

    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// First index of the in-memory log.
    pub fn first_index(&self) -> u64 {
        self.log.base().index + 1
    }

    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Every entry up to this index is synced to this replica's disk.
    pub fn synced_index(&self) -> u64 {
        self.writes.synced_index()
    }

    /// Latest time at which `tick` must be called again.
    pub fn next_deadline_ms(&self) -> u64 {
        match &self.role {
            RoleState::Leader(leader) => leader.heartbeat_due_ms,
            _ => self.election_deadline_ms,
        }
    }

    /// Replication progress of each member, including the leader itself. Empty if this replica is not the leader.
    pub fn progress(&self) -> Vec<MemberProgress> {
        let RoleState::Leader(leader) = &self.role else { return Vec::new() };
        let members = self.members();
        let view = |member| {
            let progress = leader.progress.get(&member);
            MemberProgress {
                member,
                is_voter: members.is_voter(member),
                match_index: progress.map_or(self.synced_index(), |p| p.match_index),
                last_reply_ms: progress.and_then(|p| p.last_reply_ms),
                recently_active: self.recently_active(member),
                is_receiving_snapshot: progress.is_some_and(Progress::is_receiving_snapshot),
            }
        };
        members.all().map(view).collect()
    }

    /// Whether this replica is the leader and `member` has replied within the shortest election timeout. Always true
    /// for the leader itself.
    pub fn recently_active(&self, member: MemberId) -> bool {
        let RoleState::Leader(leader) = &self.role else { return false };
        let Some(progress) = leader.progress.get(&member) else {
            return member == self.settings.id;
        };
        let limit_ms = self.settings.election_timeout_min_ms;
        progress.last_reply_ms.is_some_and(|at_ms| self.now_ms < at_ms + limit_ms)
    }

    fn check_accepts_proposals(&self) -> Result<(), NotLeader> {
        match &self.role {
            RoleState::Leader(LeaderState { transfer: None, .. }) => Ok(()),
            RoleState::Leader(_) => Err(NotLeader { leader: None }),
            _ => Err(NotLeader { leader: self.leader }),
        }
    }

    fn append_as_leader(&mut self, payload: Payload) -> Position {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard_state.term, payload };
        let position = entry.position();
        self.append(entry);
        position
    }

    fn append(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members.push(entry.index, members.clone());
        }
        self.writes.append(entry.clone());
        self.log.append(entry);
    }

    fn truncate_from(&mut self, index: u64) {
        assert!(
            index > self.commit_index,
            "entry {index} is committed (commit index {}) but conflicts with the leader's log; stop all replicas and \
             restore a backup",
            self.commit_index
        );
        self.log.truncate_from(index);
        self.members.truncate_from(index);
        self.writes.truncate_from(index);
    }

    fn set_commit_index(&mut self, index: u64) {
        assert!(index >= self.commit_index, "the commit index must not decrease");
        assert!(
            index <= self.log.last_index(),
            "the leader has recorded entries up to {index} as acknowledged but the log ends at {}: this disk has lost \
             acknowledged entries; start again with an empty data folder",
            self.log.last_index()
        );
        self.commit_index = index;
    }

    fn set_hard_state(&mut self, new: HardState) {
        let old = self.hard_state;
        assert!(new.term >= old.term, "the term must not decrease");
        assert!(
            new.term > old.term || old.voted_for.is_none() || new.voted_for == old.voted_for,
            "a replica must not vote twice in term {}",
            new.term
        );
        self.hard_state = new;
        self.writes.set_hard_state(new);
    }

    fn send(&mut self, to: MemberId, body: MessageBody) {
        self.send_after_sync(to, self.hard_state.term, body, 0);
    }

    /// Sends a message once the current term and vote are synced.
    fn send_after_hard_state_sync(&mut self, to: MemberId, body: MessageBody) {
        self.send_after_sync(to, self.hard_state.term, body, self.writes.hard_state_sequence());
    }

    /// Sends a reply to `AppendEntries` or `InstallSnapshot` once all writes so far are synced.
    fn send_append_entries_reply(&mut self, to: MemberId, result: AppendResult) {
        let sequence = self.writes.newest_sequence();
        self.send_after_sync(
            to,
            self.hard_state.term,
            MessageBody::AppendEntriesReply(result),
            sequence,
        );
    }

    fn send_after_sync(
        &mut self,
        to: MemberId,
        term: u64,
        body: MessageBody,
        required_sync_sequence: u64,
    ) {
        let message = RaftMessage { term, body };
        self.outgoing.push(Outgoing { to, message, required_sync_sequence });
    }

    fn reset_election_deadline(&mut self) {
        let min_ms = self.settings.election_timeout_min_ms;
        let max_ms = self.settings.election_timeout_max_ms.max(min_ms + 1);
        self.election_deadline_ms = self.now_ms + self.rng.random_range(min_ms..max_ms);
    }
}

/// Returns the entries after the snapshot, or none if the log conflicts with the snapshot, and whether entries after
/// the snapshot were discarded because of a conflict.
///
/// A crash after a received snapshot is written, but before the old log is removed, leaves entries that conflict with
/// the snapshot. Their terms reveal them: a leader of the snapshot's term or a later one has the snapshot's entries.
fn entries_after_snapshot(snapshot: Position, mut entries: Vec<Entry>) -> (Vec<Entry>, bool) {
    let conflicts = entries.iter().any(|entry| {
        (entry.index == snapshot.index && entry.term != snapshot.term)
            || (entry.index > snapshot.index && entry.term < snapshot.term)
    });
    entries.retain(|entry| entry.index > snapshot.index);
    if conflicts {
        let discarded = !entries.is_empty();
        return (Vec::new(), discarded);
    }
    if let Some(first) = entries.first() {
        assert_eq!(
            first.index,
            snapshot.index + 1,
            "entries between the snapshot and the log are missing; restore the data folder"
        );
    }
    (entries, false)
}
