//! Benchmarks a group of three instances, run as processes of the real binary on loopback, and prints a
//! table.
//!
//! ```text
//! cargo build --release -p mulberry-control
//! cargo run --release -p mulberry-control --example measure
//! ```

#![allow(clippy::unwrap_used, reason = "a failed step ends the benchmark")]

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use mulberry_consensus::MemberId;
use mulberry_operators::{OperatorClient, OperatorClientSettings, Status};
use mulberry_types::{
    ChangeOutcome, ClaimKey, ClaimReply, ConfigurationVersion, ControlReply, ControlRequest,
    RequestId,
};
use support::{Group, TOKEN, TestEntry, set_zone, wait_for};

const CHANGES: u64 = 1_000;
const CLAIMS: u64 = 1_000;
const CLAIM_THREADS: u64 = 64;
const CLAIMS_PER_THREAD: u64 = 200;
const LEADER_FAILURES: usize = 20;
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Processes of a group. They are killed when the benchmark ends.
struct Processes {
    group: Group,
    binary: PathBuf,
    children: Vec<Option<Child>>,
}

fn main() {
    let mut processes = Processes::start();
    let leader = processes.leader();
    println!("| measure | value |");
    println!("|---|---|");
    measure_idle(&processes, leader);
    measure_changes(&processes, leader);
    measure_claims(&processes, leader);
    for entries in [8, 100, 330] {
        measure_renewals(&processes, entries);
    }
    measure_leader_failures(&mut processes);
}

impl Processes {
    fn start() -> Processes {
        let mut group = Group::prepare("measure", 3);
        for settings in &mut group.settings {
            settings.log_level = "warn".to_owned();
        }
        let directory = std::env::current_exe().unwrap();
        let binary = directory.parent().unwrap().parent().unwrap().join("mulberry-control");
        assert!(binary.exists(), "build the binary with the same profile first");
        let mut processes = Processes { group, binary, children: vec![None, None, None] };
        (0..3).for_each(|index| processes.start_one(index));
        processes
    }

    fn start_one(&mut self, index: usize) {
        let settings = &self.group.settings[index];
        let file = self.group.folder.path.join(format!("settings-{index}.json"));
        std::fs::write(&file, serde_json::to_string(settings).unwrap()).unwrap();
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        self.children[index] = Some(child);
    }

    fn leader(&self) -> usize {
        wait_for("a leader", || (0..3).find(|index| self.is_leader(*index)))
    }

    fn is_leader(&self, index: usize) -> bool {
        if self.children[index].is_none() {
            return false;
        }
        let leads = |status: &Status| status.leader == Some(status.replica);
        self.client(index).status().is_ok_and(|status| leads(&status))
    }

    fn client(&self, index: usize) -> OperatorClient {
        let client_settings =
            OperatorClientSettings { time_limit_ms: 500, ..OperatorClientSettings::default() };
        let addresses = vec![self.group.settings[index].operator_address];
        OperatorClient::with_settings(addresses, TOKEN, client_settings).unwrap()
    }

    /// CPU time used by a process so far, in milliseconds.
    fn cpu_ms(&self, index: usize) -> u64 {
        let id = self.children[index].as_ref().unwrap().id();
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
        // Fields after the process name in parentheses. User and system time are in ticks of 10 ms.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap().split_whitespace().collect();
        let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        ticks * 10
    }

    fn memory_mb(&self, index: usize) -> u64 {
        let id = self.children[index].as_ref().unwrap().id();
        let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1_024
    }

    fn metric(&self, index: usize, name: &str) -> f64 {
        let address = self.group.settings[index].platform_address;
        let mut socket = TcpStream::connect(address).unwrap();
        let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        socket.write_all(request.as_bytes()).unwrap();
        let mut response = String::new();
        socket.read_to_string(&mut response).unwrap();
        let line = response.lines().find(|line| line.split(' ').next() == Some(name));
        line.unwrap_or_else(|| panic!("no metric {name}"))
            .rsplit(' ')
            .next()
            .unwrap()
            .parse()
            .unwrap()
    }

    /// Bytes received and sent on the peer port and the peer links.
    fn peer_bytes(&self, index: usize) -> f64 {
        self.metric(index, "mulberry_control_peer_bytes_in_total")
            + self.metric(index, "mulberry_control_peer_bytes_out_total")
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn measure_idle(processes: &Processes, leader: usize) {
    let follower = (leader + 1) % 3;
    let before = [processes.cpu_ms(leader), processes.cpu_ms(follower)];
    let bytes = processes.peer_bytes(leader);
    std::thread::sleep(MEASUREMENT_DURATION);
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let percent = |index, before| (processes.cpu_ms(index) - before) as f64 / seconds / 10.0;
    row("CPU at rest, leader", &format!("{:.2} % of a core", percent(leader, before[0])));
    row("CPU at rest, follower", &format!("{:.2} % of a core", percent(follower, before[1])));
    let rate = (processes.peer_bytes(leader) - bytes) / seconds;
    row("bytes at rest, leader, in and out", &format!("{rate:.0} B/s"));
    row("memory at rest, leader", &format!("{} MB", processes.memory_mb(leader)));
}

/// Measures sequential changes over the operator API. Each change expects the version of the previous one.
fn measure_changes(processes: &Processes, leader: usize) {
    let client = processes.client(leader);
    let syncs = processes.metric(leader, "mulberry_control_syncs_total");
    let mut times = Vec::new();
    let begin = Instant::now();
    for number in 0..CHANGES {
        let change = set_zone(
            &format!("c{number}"),
            &format!("z{}", number % 17),
            ConfigurationVersion(number),
        );
        let sent = Instant::now();
        let outcome = client.submit_change(&change).unwrap();
        times.push(sent.elapsed());
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
    }
    let rate = CHANGES as f64 / begin.elapsed().as_secs_f64();
    row("changes, one operator", &format!("{rate:.0}/s, {}", percentiles(&mut times)));
    let syncs = processes.metric(leader, "mulberry_control_syncs_total") - syncs;
    row("syncs of the leader per change", &format!("{:.2}", syncs / CHANGES as f64));
    let sum = processes.metric(leader, "mulberry_control_sync_seconds_sum");
    let count = processes.metric(leader, "mulberry_control_sync_seconds_count");
    row("mean time of a sync, leader", &format!("{:.2} ms", sum / count * 1_000.0));
}

fn measure_claims(processes: &Processes, leader: usize) {
    let mut entry = TestEntry::in_group(1, &processes.group);
    entry.renew();
    let counter = AtomicU64::new(0);
    let claim = || {
        let number = counter.fetch_add(1, Ordering::Relaxed);
        let key = format!("key-{number}");
        let request = ControlRequest::Claim {
            key: ClaimKey { workspace: "w".into(), service: "s".into(), key: key.into() },
            fingerprint: [1; 32],
            request: RequestId {
                node: entry.member.node,
                incarnation: entry.member.incarnation,
                counter: number,
            },
        };
        let sent = Instant::now();
        let reply = entry.call(leader, request, Duration::from_secs(5)).unwrap();
        assert_eq!(reply, ControlReply::Claim(ClaimReply::Won));
        sent.elapsed()
    };
    // The entry does not renew here and expires after 3.1 s, so the loop ends before that.
    let begin = Instant::now();
    let mut times: Vec<Duration> = (0..CLAIMS)
        .take_while(|_| begin.elapsed() < Duration::from_secs(2))
        .map(|_| claim())
        .collect();
    let rate = times.len() as f64 / begin.elapsed().as_secs_f64();
    row("claims, one at a time", &format!("{rate:.0}/s, {}", percentiles(&mut times)));

    let mut renewing = TestEntry::in_group(1, &processes.group);
    let is_done = AtomicBool::new(false);
    let mut times = Vec::new();
    let mut rate = 0.0;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_done.load(Ordering::Acquire) {
                renewing.renew();
                std::thread::sleep(RENEWAL_INTERVAL);
            }
        });
        let begin = Instant::now();
        let threads: Vec<_> = (0..CLAIM_THREADS)
            .map(|_| scope.spawn(|| (0..CLAIMS_PER_THREAD).map(|_| claim()).collect::<Vec<_>>()))
            .collect();
        times = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
        rate = times.len() as f64 / begin.elapsed().as_secs_f64();
        is_done.store(true, Ordering::Release);
    });
    let label = format!("claims, {CLAIM_THREADS} at a time on one connection");
    row(&label, &format!("{rate:.0}/s, {}", percentiles(&mut times)));
}

/// Measures entries that renew every 500 ms, each on its own connection.
fn measure_renewals(processes: &Processes, entries: usize) {
    const THREADS: usize = 33;
    let leader = processes.leader();
    let address = [processes.group.settings[leader].peer_address];
    let mut test_entries: Vec<TestEntry> = (0..entries)
        .map(|index| {
            let node = 100 + u32::try_from(index).unwrap();
            // A new incarnation for each measurement.
            TestEntry::new(node, rand::random(), &address)
        })
        .collect();
    test_entries.iter_mut().for_each(|entry| {
        entry.renew();
    });
    let is_done = AtomicBool::new(false);
    let mut times = Vec::new();
    let mut row_text = String::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = test_entries
            .chunks_mut(entries.div_ceil(THREADS))
            .map(|entries| {
                let is_done = &is_done;
                scope.spawn(move || {
                    let mut times = Vec::new();
                    let pause = RENEWAL_INTERVAL / u32::try_from(entries.len()).unwrap();
                    let mut due = Instant::now() + pause.mul_f64(rand::random());
                    while !is_done.load(Ordering::Acquire) {
                        for entry in entries.iter_mut() {
                            std::thread::sleep(due.saturating_duration_since(Instant::now()));
                            due += pause;
                            let sent = Instant::now();
                            entry.renew();
                            times.push(sent.elapsed());
                        }
                    }
                    times
                })
            })
            .collect();
        // Waits until the joins and the removal of earlier entries are complete.
        std::thread::sleep(Duration::from_secs(5));
        let name = "mulberry_control_renewals_granted_total";
        let before = (
            processes.metric(leader, name),
            processes.cpu_ms(leader),
            processes.peer_bytes(leader),
            processes.metric(leader, "mulberry_control_confirmation_rounds_total"),
        );
        std::thread::sleep(MEASUREMENT_DURATION);
        let renewals = processes.metric(leader, name) - before.0;
        let cpu_ms = (processes.cpu_ms(leader) - before.1) as f64;
        let bytes = processes.peer_bytes(leader) - before.2;
        let rounds =
            processes.metric(leader, "mulberry_control_confirmation_rounds_total") - before.3;
        let seconds = MEASUREMENT_DURATION.as_secs_f64();
        is_done.store(true, Ordering::Release);
        times = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
        row_text = format!(
            "{:.0} renewals/s, {:.0} rounds/s, leader {:.2} % of a core, {:.0} us CPU and {:.0} B per renewal, {} MB, {}",
            renewals / seconds,
            rounds / seconds,
            cpu_ms / seconds / 10.0,
            cpu_ms * 1_000.0 / renewals,
            bytes / renewals,
            processes.memory_mb(leader),
            percentiles(&mut times),
        );
    });
    row(&format!("{entries} entries renewing every 500 ms"), &row_text);
}

/// Measures the time from the leader's SIGKILL to the first command committed by the next leader.
fn measure_leader_failures(processes: &mut Processes) {
    let mut times = Vec::new();
    for _ in 0..LEADER_FAILURES {
        let leader = processes.leader();
        let others: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
        // Both other instances must follow the leader, so that the group keeps a majority.
        wait_for("the followers", || {
            let id = processes.client(leader).status().ok()?.leader?;
            let follows = |index: usize| {
                let status = processes.client(index).status();
                status.is_ok_and(|status| {
                    status.leader.is_some_and(|l| MemberId(l.0) == MemberId(id.0))
                })
            };
            others.iter().all(|index| follows(*index)).then_some(())
        });
        std::thread::sleep(Duration::from_millis(500));
        let entry = TestEntry::in_group(1, &processes.group);
        let permit = ControlRequest::TakePermit { target: "t".into(), bytes: 0 };
        for other in &others {
            let _ = entry.call(*other, permit.clone(), Duration::from_secs(1));
        }
        let mut child = processes.children[leader].take().unwrap();
        let begin = Instant::now();
        child.kill().unwrap();
        let time = wait_for("a commit of the next leader", || {
            others.iter().find_map(|other| {
                let reply = entry.call(*other, permit.clone(), Duration::from_secs(1));
                matches!(reply, Ok(ControlReply::Permit(_))).then(|| begin.elapsed())
            })
        });
        times.push(time);
        child.wait().unwrap();
        processes.start_one(leader);
    }
    let max = times.iter().max().unwrap().as_millis();
    let text = format!("{}, max {max} ms", percentiles(&mut times));
    row(&format!("without a leader after SIGKILL, {LEADER_FAILURES} times"), &text);
}

fn percentiles(times: &mut [Duration]) -> String {
    times.sort_unstable();
    let at = |share: f64| {
        let index = ((times.len() - 1) as f64 * share).round() as usize;
        times[index].as_secs_f64() * 1_000.0
    };
    format!("p50 {:.2} ms, p99 {:.2} ms", at(0.5), at(0.99))
}

fn row(name: &str, value: &str) {
    println!("| {name} | {value} |");
}
