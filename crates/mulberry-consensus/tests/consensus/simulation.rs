//! Simulation of a group of replicas in one thread, with simulated clocks, links and disks. Checks the safety
//! properties after every step.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mulberry_consensus::{
    Committed, Confirmation, DurableState, Entry, MemberId, Members, Payload, Position, Raft,
    RaftMessage, RaftSettings, Role, Snapshot, Writes,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const STEP_MS: u64 = 10;

pub struct Group {
    pub now_ms: u64,
    pub rng: ChaCha8Rng,
    pub replicas: BTreeMap<MemberId, Replica>,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_ms: u64,

    /// Takes effect when a replica starts.
    pub max_message_bytes: usize,

    /// Links that drop every message, by sender and receiver.
    pub blocked_links: BTreeSet<(MemberId, MemberId)>,

    /// Term and payload of every entry that some replica has returned as committed, by index.
    pub committed_entries: BTreeMap<u64, (u64, Payload)>,

    /// Commands that a leader has acknowledged.
    pub acknowledged: BTreeSet<u64>,

    pub confirmed_reads: usize,
    pub snapshots_restored: usize,
    in_flight: BTreeMap<(u64, u64), (MemberId, MemberId, RaftMessage)>,
    leaders: BTreeMap<u64, MemberId>,

    /// Last committed index at the time of each read request, by context.
    reads: BTreeMap<u64, u64>,

    counter: u64,
    initial_members: Members,
}

pub struct Replica {
    /// `None` while the process is down.
    pub raft: Option<Raft>,

    pub disk: DurableState,

    /// Whether the disk is lost permanently, together with the replica's id.
    pub disk_lost: bool,

    pub paused_until_ms: u64,

    /// No write completes before this time.
    pub disk_stalled_until_ms: u64,

    /// Speed of the replica's clock in percent of real time.
    pub clock_percent: u64,

    pub commands: Vec<u64>,
    pub applied: Position,
    clock_ms: u64,
    bootstrap: bool,
    unsynced: VecDeque<(u64, Writes)>,
    proposed: BTreeMap<Position, u64>,
}

impl Group {
    pub fn new(size: u64, seed: u64) -> Group {
        let voters: Vec<MemberId> = (1..=size).map(MemberId).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Messages with a single entry produce event orders that larger messages hide.
        let max_message_bytes = if rng.random() { 400 } else { 1 };
        let mut group = Group {
            now_ms: 0,
            rng,
            max_message_bytes,
            replicas: BTreeMap::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 20,
            blocked_links: BTreeSet::new(),
            committed_entries: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            confirmed_reads: 0,
            snapshots_restored: 0,
            in_flight: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            counter: 0,
            initial_members: Members { voters: voters.clone(), learners: Vec::new() },
        };
        for id in voters {
            group.add(id, true);
        }
        group
    }

    /// Starts a replica with an empty disk.
    pub fn add(&mut self, id: MemberId, bootstrap: bool) {
        let replica = Replica {
            raft: None,
            disk: DurableState::default(),
            disk_lost: false,
            paused_until_ms: 0,
            disk_stalled_until_ms: 0,
            clock_percent: 100,
            commands: Vec::new(),
            applied: Position::default(),
            clock_ms: self.rng.random_range(0..1_000_000),
            bootstrap,
            unsynced: VecDeque::new(),
            proposed: BTreeMap::new(),
        };
        self.replicas.insert(id, replica);
        self.restart(id);
    }

    pub fn restart(&mut self, id: MemberId) {
        let settings = RaftSettings {
            id,
            seed: self.rng.random(),
            initial_members: self.initial_members.clone(),
            // Limits are small so that short schedules reach them.
            max_message_bytes: self.max_message_bytes,
            max_in_flight_bytes: 2_000,
            max_in_flight_entries: 40,
            snapshot_chunk_bytes: 300,
            retained_entries: 20,
            ..RaftSettings::default()
        };
        let replica = self.replicas.get_mut(&id).expect("known replica");
        if replica.raft.is_some() || replica.disk_lost {
            return;
        }
        let settings = RaftSettings { bootstrap: replica.bootstrap, ..settings };
        (replica.commands, replica.applied) = (Vec::new(), Position::default());
        replica.raft = Some(Raft::new(settings, replica.disk.clone(), replica.clock_ms));
    }

    /// Kills the process. A random part of the oldest unsynced batch reaches the disk; later batches are lost.
    pub fn crash(&mut self, id: MemberId) {
        let replica = self.replicas.get_mut(&id).expect("known replica");
        replica.raft = None;
        replica.proposed.clear();
        if let Some((_, writes)) = std::mem::take(&mut replica.unsynced).pop_front() {
            let steps = self.rng.random_range(0..writes.entries.len() + 4);
            write_to_disk(&mut replica.disk, &writes, steps);
        }
    }

    /// Destroys the disk. The replica never returns; another replica replaces it under a new id.
    pub fn lose_disk(&mut self, id: MemberId) -> MemberId {
        self.crash(id);
        self.replicas.get_mut(&id).expect("known replica").disk_lost = true;
        let new_id = MemberId(self.next_number() + 1_000);
        self.add(new_id, true);
        new_id
    }

    pub fn raft(&mut self, id: MemberId) -> &mut Raft {
        self.replicas.get_mut(&id).and_then(|r| r.raft.as_mut()).expect("running replica")
    }

    /// The running leader with the highest term.
    pub fn leader(&self) -> Option<MemberId> {
        let rafts = self.replicas.values().filter_map(|r| r.raft.as_ref());
        rafts.filter(|r| r.role() == Role::Leader).max_by_key(|r| r.term()).map(Raft::id)
    }

    /// Proposes a new command at `id`.
    pub fn propose(&mut self, id: MemberId) -> Option<u64> {
        let command = self.next_number();
        let replica = self.replicas.get_mut(&id)?;
        let position = replica.raft.as_mut()?.propose(command.to_le_bytes().to_vec()).ok()?;
        replica.proposed.insert(position, command);
        Some(command)
    }

    /// Requests a confirmed read from `id`. Returns whether the replica accepted the request.
    pub fn read(&mut self, id: MemberId) -> bool {
        let context = self.next_number();
        let last_index = self.committed_entries.last_key_value().map_or(0, |(&index, _)| index);
        let raft = self.replicas.get_mut(&id).and_then(|replica| replica.raft.as_mut());
        let asked = raft.is_some_and(|raft| raft.confirm_leadership(context).is_ok());
        if asked {
            self.reads.insert(context, last_index);
        }
        asked
    }

    pub fn compact(&mut self, id: MemberId) {
        let Some(replica) = self.replicas.get_mut(&id) else { return };
        let Some(raft) = &mut replica.raft else { return };
        let data = replica.commands.iter().flat_map(|command| command.to_le_bytes()).collect();
        let Some(snapshot) = raft.create_snapshot(replica.applied.index, data) else { return };
        replica.disk.entries.retain(|entry| entry.index > snapshot.index);
        replica.disk.snapshot = Some(snapshot.clone());
        raft.compact(snapshot);
    }

    /// Blocks all links to and from `id`.
    pub fn isolate(&mut self, id: MemberId) {
        for other in self.replicas.keys().copied().filter(|&other| other != id) {
            self.blocked_links.extend([(id, other), (other, id)]);
        }
    }

    /// Ends all faults, including message reordering, and starts every stopped replica whose disk is not lost.
    pub fn heal(&mut self) {
        self.blocked_links.clear();
        self.loss_percent = 0;
        self.duplicate_percent = 0;
        self.max_delay_ms = 1;
        for id in self.replicas.keys().copied().collect::<Vec<_>>() {
            self.restart(id);
            let replica = self.replicas.get_mut(&id).expect("known replica");
            replica.paused_until_ms = 0;
            replica.disk_stalled_until_ms = 0;
            replica.clock_percent = 100;
        }
    }

    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.step();
        }
    }

    /// Runs until `condition` holds. Panics after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, what: &str, condition: impl Fn(&Group) -> bool) {
        let end_ms = self.now_ms + limit_ms;
        while !condition(self) {
            assert!(self.now_ms < end_ms, "{what} did not happen within {limit_ms} ms");
            self.step();
        }
    }

    pub fn run_until_leader(&mut self) -> MemberId {
        self.run_until(10_000, "an election", |group| group.leader().is_some());
        self.leader().expect("a leader")
    }

    /// Proposes commands until one of them is acknowledged. Panics after `limit_ms`.
    pub fn commit_command(&mut self, limit_ms: u64) {
        let end_ms = self.now_ms + limit_ms;
        let mut tried = BTreeSet::new();
        while tried.is_disjoint(&self.acknowledged) {
            assert!(self.now_ms < end_ms, "no proposal was acknowledged within {limit_ms} ms");
            if let Some(leader) = self.leader() {
                tried.extend(self.propose(leader));
            }
            self.run(100);
        }
    }

    /// Role, term, commit index, last index and members of each replica, for assertion messages.
    pub fn describe(&self) -> String {
        let state = |r: &Raft| {
            format!("{:?}", (r.role(), r.term(), r.commit_index(), r.last_index(), r.members()))
        };
        let states = self.replicas.iter().map(|(id, r)| (id, r.raft.as_ref().map(state)));
        format!("{:?}", states.collect::<BTreeMap<_, _>>())
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let mut arriving = BTreeMap::<MemberId, Vec<(MemberId, RaftMessage)>>::new();
        let later = self.in_flight.split_off(&(self.now_ms + 1, 0));
        for ((_, number), (from, to, message)) in std::mem::replace(&mut self.in_flight, later) {
            let paused = self.replicas.get(&to).is_some_and(|r| r.paused_until_ms > self.now_ms);
            if paused {
                self.in_flight.insert((self.now_ms + 1, number), (from, to, message));
            } else {
                arriving.entry(to).or_default().push((from, message));
            }
        }
        for id in self.replicas.keys().copied().collect::<Vec<_>>() {
            self.step_replica(id, arriving.remove(&id).unwrap_or_default());
        }
    }

    fn step_replica(&mut self, id: MemberId, arriving: Vec<(MemberId, RaftMessage)>) {
        let now_ms = self.now_ms;
        let replica = self.replicas.get_mut(&id).expect("known replica");
        replica.clock_ms += STEP_MS * replica.clock_percent / 100;
        let Some(raft) = &mut replica.raft else { return };
        if replica.paused_until_ms > now_ms {
            return;
        }
        for (from, message) in arriving {
            raft.receive(replica.clock_ms, from, message);
        }
        raft.tick(replica.clock_ms);
        let writes = raft.take_writes();
        if !writes.is_empty() {
            let due_ms = now_ms + self.rng.random_range(0..30);
            replica.unsynced.push_back((due_ms, writes));
        }
        while replica.unsynced.front().is_some_and(|(due_ms, _)| *due_ms <= now_ms)
            && replica.disk_stalled_until_ms <= now_ms
        {
            let (_, writes) = replica.unsynced.pop_front().expect("a batch");
            write_to_disk(&mut replica.disk, &writes, usize::MAX);
            raft.writes_synced(&writes);
        }
        let (is_leader, term) = (raft.role() == Role::Leader, raft.term());
        let messages = raft.take_messages();
        let (committed, confirmed) = (raft.take_committed(), raft.take_confirmations());
        for (to, message) in messages {
            self.transmit(id, to, &message);
        }
        if is_leader {
            assert_eq!(*self.leaders.entry(term).or_insert(id), id, "two leaders in term {term}");
        }
        for item in committed {
            self.apply(id, item);
        }
        for confirmation in confirmed {
            let Confirmation::Confirmed { context, commit_index } = confirmation else { continue };
            let last_index = self.reads.remove(&context).expect("a read that was asked");
            assert!(
                commit_index >= last_index,
                "read at {commit_index} misses the commit at {last_index}"
            );
            self.confirmed_reads += 1;
        }
    }

    fn transmit(&mut self, from: MemberId, to: MemberId, message: &RaftMessage) {
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.duplicate_percent);
        for _ in 0..copies {
            let lost = self.rng.random_range(0..100) < self.loss_percent;
            if lost || self.blocked_links.contains(&(from, to)) {
                continue;
            }
            let arrival_ms = self.now_ms + self.rng.random_range(1..=self.max_delay_ms);
            let number = self.next_number();
            self.in_flight.insert((arrival_ms, number), (from, to, message.clone()));
        }
    }

    fn apply(&mut self, id: MemberId, item: Committed) {
        let replica = self.replicas.get_mut(&id).expect("known replica");
        match item {
            Committed::Entry(Entry { index, term, payload }) => {
                assert_eq!(index, replica.applied.index + 1, "entries must be returned in order");
                replica.applied = Position { term, index };
                if let Payload::Command(command) = &payload {
                    replica.commands.push(decode(command));
                }
                self.acknowledged.extend(replica.proposed.remove(&replica.applied));
                let known = self.committed_entries.entry(index).or_insert((term, payload.clone()));
                assert_eq!(*known, (term, payload), "committed entry {index} differs at {id}");
            }
            Committed::Snapshot(Snapshot { index, term, data, .. }) => {
                replica.applied = Position { term, index };
                replica.commands = data.chunks(8).map(decode).collect();
                let (restored, expected) =
                    (&self.replicas[&id].commands, self.commands_up_to(index));
                assert_eq!(*restored, expected, "snapshot at {index} differs");
                self.snapshots_restored += 1;
            }
        }
    }

    /// Committed commands up to `index`.
    pub fn commands_up_to(&self, index: u64) -> Vec<u64> {
        let decoded =
            self.committed_entries.range(..=index).filter_map(|(_, (_, payload))| match payload {
                Payload::Command(command) => Some(decode(command)),
                _ => None,
            });
        decoded.collect()
    }

    fn next_number(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }
}

fn decode(command: &[u8]) -> u64 {
    u64::from_le_bytes(command.try_into().expect("8 bytes"))
}

/// Applies the first `steps` steps of `writes`. A crash can occur between any two steps.
fn write_to_disk(disk: &mut DurableState, writes: &Writes, steps: usize) {
    if let (Some(hard_state), 1..) = (writes.hard_state, steps) {
        disk.hard_state = hard_state;
    }
    if let (Some(snapshot), 2..) = (&writes.snapshot, steps) {
        disk.entries.retain(|entry| entry.index > snapshot.index);
        disk.snapshot = Some(snapshot.clone());
    }
    if let (Some(truncate_from), 3..) = (writes.truncate_from, steps) {
        disk.entries.retain(|entry| entry.index < truncate_from);
    }
    disk.entries.extend(writes.entries.iter().take(steps.saturating_sub(3)).cloned());
}
