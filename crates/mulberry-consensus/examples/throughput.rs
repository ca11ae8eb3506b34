//! Prints the proposals per second of a group of 3 replicas in one thread, and the time and memory for replaying
//! 100,000 entries. Messages and writes complete instantly, so the figures are the cost of the core alone.
//!
//! `cargo run --release -p mulberry-consensus --example throughput`

use std::time::Instant;

use mulberry_consensus::{
    DurableState, Entry, MemberId, Members, Payload, Raft, RaftSettings, Role,
};

const PROPOSALS: u64 = 100_000;
const COMMAND_BYTES: usize = 200;

fn main() {
    // Must run first: memory freed by the other measurement would hide the memory used by this one.
    measure_replay();
    for batch in [1, 16, 256] {
        measure_proposals(batch);
    }
}

fn start(id: u64, voters: u64, durable: DurableState) -> Raft {
    let voters = (1..=voters).map(MemberId).collect();
    let settings = RaftSettings {
        id: MemberId(id),
        seed: id,
        bootstrap: true,
        initial_members: Members { voters, learners: Vec::new() },
        ..RaftSettings::default()
    };
    Raft::new(settings, durable, 0)
}

/// Runs the replicas until no message and no write is left, and returns the number of entries that the leader has
/// returned as committed.
fn run(replicas: &mut [Raft], now_ms: u64) -> u64 {
    let mut committed = 0;
    loop {
        let mut is_idle = true;
        for index in 0..replicas.len() {
            let writes = replicas[index].take_writes();
            is_idle &= writes.is_empty();
            replicas[index].writes_synced(&writes);
            let delivered = replicas[index].take_committed().len() as u64;
            if replicas[index].role() == Role::Leader {
                committed += delivered;
            }
            let from = replicas[index].id();
            for (to, message) in replicas[index].take_messages() {
                is_idle = false;
                if let Some(receiver) = replicas.iter_mut().find(|replica| replica.id() == to) {
                    receiver.receive(now_ms, from, message);
                }
            }
        }
        if is_idle {
            return committed;
        }
    }
}

fn measure_proposals(batch: u64) {
    let mut replicas: Vec<Raft> = (1..=3).map(|id| start(id, 3, DurableState::default())).collect();
    // Vote requests are ignored for the first 500 ms. After that, the first replica to time out wins the election.
    let mut now_ms = 500;
    while replicas.iter().all(|replica| replica.role() != Role::Leader) {
        now_ms += 10;
        replicas.iter_mut().for_each(|replica| replica.tick(now_ms));
        run(&mut replicas, now_ms);
    }
    let leader = replicas.iter().position(|replica| replica.role() == Role::Leader).expect("one");

    let start = Instant::now();
    let mut committed = 0;
    for _ in 0..PROPOSALS / batch {
        for _ in 0..batch {
            replicas[leader].propose(vec![7; COMMAND_BYTES]).expect("the leader");
        }
        committed += run(&mut replicas, now_ms);
    }
    let per_s = committed as f64 / start.elapsed().as_secs_f64();
    println!("proposals batch={batch} command_bytes={COMMAND_BYTES} per_s={per_s:.0}");
}

fn measure_replay() {
    let empty_kb = memory_kb("VmRSS:");
    let voters = Members { voters: vec![MemberId(1)], learners: Vec::new() };
    let first = Entry { index: 1, term: 1, payload: Payload::Members(voters) };
    let command =
        |index| Entry { index, term: 1, payload: Payload::Command(vec![7; COMMAND_BYTES]) };
    let entries: Vec<Entry> = std::iter::once(first).chain((2..=PROPOSALS).map(command)).collect();
    let mut durable = DurableState { entries, ..DurableState::default() };
    durable.hard_state.term = 1;

    let log_kb = memory_kb("VmRSS:") - empty_kb;
    let started = Instant::now();
    let mut replica = [start(1, 1, durable)];
    replica[0].tick(1_000);
    let committed = run(&mut replica, 1_000);
    let elapsed_ms = started.elapsed().as_secs_f64() * 1_000.0;
    println!(
        "replay entries={committed} command_bytes={COMMAND_BYTES} time_ms={elapsed_ms:.1} log_kb={log_kb} \
         after_kb={} \
         peak_kb={}",
        memory_kb("VmRSS:") - empty_kb,
        memory_kb("VmHWM:") - empty_kb
    );
}

/// Memory of this process in KB, from the line of `/proc/self/status` that starts with `name`. `VmRSS:` is the current
/// resident size and `VmHWM:` its peak. Returns 0 on systems without this file.
fn memory_kb(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
