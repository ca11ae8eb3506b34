//! Failures of single processes in a fleet of real processes.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Fleet, wait_for};
use mulberry_bench::{Outcome, Sent};
use mulberry_types::{
    Change, ChangeId, ChangeOperation, ChangeOutcome, ConfigurationVersion, Incarnation, Member,
    Membership, MembershipEpoch, NodeId, RejectReason, ZoneState,
};
use serde_json::{Value, json};

/// Time between two health checks of a caller.
const BALANCER_POLL: Duration = Duration::from_millis(200);

/// A request of a load and what became of it.
#[derive(Debug)]
struct Done {
    entry: String,
    key: Option<String>,
    started: Instant,
    sent: Sent,
}

/// Sets a flag at the end of its scope, also on panic, so that threads that wait for it end.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Runs `body` while callers send numbered requests one after the other through the entries that are ready.
fn under_load<T>(
    fleet: &Fleet,
    callers: usize,
    send: impl Fn(&str, usize) -> (Option<String>, Sent) + Sync,
    body: impl FnOnce() -> T,
) -> (T, Vec<Done>) {
    let (stop, done) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    let call = |caller: usize| {
        let (mut ready, mut checked) = (Vec::new(), None::<Instant>);
        for number in (caller..).step_by(callers) {
            if checked.is_none_or(|at| at.elapsed() > BALANCER_POLL) {
                ready = fleet.entries.iter().filter(|entry| fleet.is_ready(entry)).collect();
                checked = Some(Instant::now());
            }
            if stop.load(Ordering::Acquire) {
                return;
            }
            if ready.is_empty() {
                std::thread::sleep(BALANCER_POLL);
                continue;
            }
            let entry = ready[(number / callers + caller) % ready.len()].clone();
            let started = Instant::now();
            let (key, sent) = send(&entry, number);
            done.lock().unwrap().push(Done { entry, key, started, sent });
        }
    };
    let result = std::thread::scope(|scope| {
        let _stop = SetOnDrop(&stop);
        (0..callers).for_each(|caller| drop(scope.spawn(move || call(caller))));
        body()
    });
    (result, done.into_inner().unwrap())
}

/// Engines on which a prompt of 30,000 tokens needs more than one.
fn small_engines() -> Value {
    json!({ "memory_tokens": 20_000 })
}

fn all_right(done: &[Done]) {
    assert!(!done.is_empty());
    let wrong: Vec<&Done> =
        done.iter().filter(|done| done.sent.outcome != Outcome::Right).collect();
    assert!(wrong.is_empty(), "{} of {}: {wrong:?}", wrong.len(), done.len());
}

/// Sends enough short prompts to end the cold-start ramp of every engine.
fn warm_up(fleet: &Fleet) {
    std::thread::scope(|scope| {
        for caller in 0..8 {
            scope.spawn(move || {
                for number in 0..12 * fleet.engines.len() / 2 {
                    let entry = &fleet.entries[(caller + number) % fleet.entries.len()];
                    let sent = fleet.complete(entry, 50, 1);
                    assert_eq!(sent.outcome, Outcome::Right, "{sent:?}");
                }
            });
        }
    });
}

/// Guards against streams of other entries that suffer from the death of one, against a stream that
/// ends as if it were whole, and against engine memory that stays taken.
#[test]
fn killed_entry_cuts_only_its_own_streams_and_leaves_no_memory_taken() {
    let fleet = Fleet::start(3, 4, 0, &small_engines());
    warm_up(&fleet);
    let (own, others) = std::thread::scope(|scope| {
        let fleet = &fleet;
        let stream = |entry: usize, tokens, answer| {
            scope.spawn(move || fleet.complete(&fleet.entries[entry], tokens, answer))
        };
        let mut own: Vec<_> = (0..3).map(|_| stream(0, 200, 400)).collect();
        own.push(stream(0, 30_000, 400));
        let others: Vec<_> = (0..6).map(|index| stream(1 + index % 2, 200, 150)).collect();
        wait_for("all streams and an export of the split prompt", || {
            let concurrent = fleet.sum(&fleet.engines, "concurrent");
            let exported = fleet.sum(&fleet.engines, "held_by_exports");
            (concurrent == 10 && exported > 0).then_some(())
        });
        fleet.kill("entry-1");
        let killed = Instant::now();
        wait_for("free engines", || {
            let held = fleet.sum(&fleet.engines, "held_tokens");
            let elapsed = killed.elapsed();
            assert!(held == 0 || elapsed < Duration::from_secs(8), "{held} tokens are held");
            (held == 0).then_some(())
        });
        let join = |threads: Vec<std::thread::ScopedJoinHandle<'_, Sent>>| -> Vec<Sent> {
            threads.into_iter().map(|thread| thread.join().unwrap()).collect()
        };
        (join(own), join(others))
    });
    for sent in &own {
        assert_eq!(sent.outcome, Outcome::FailedVisibly, "{sent:?}");
    }
    for sent in &others {
        assert_eq!(sent.outcome, Outcome::Right, "{sent:?}");
    }
}

/// Guards against a planned stop that refuses or cuts requests of callers who heed `/readyz`.
#[test]
fn planned_stop_of_an_entry_under_load_fails_no_request() {
    let fleet = Fleet::start(8, 4, 2, &json!({ "step_ms": 10 }));
    warm_up(&fleet);
    let send = |entry: &str, number: usize| match number % 8 {
        7 => {
            let key = format!("stop-{number}");
            let sent = fleet.book(entry, &key);
            (Some(key), sent)
        }
        _ => (None, fleet.complete(entry, 200, 80)),
    };
    let (stopped, done) = under_load(&fleet, 8, send, || {
        std::thread::sleep(Duration::from_secs(1));
        fleet.signal("entry-2", "TERM");
        assert!(fleet.wait_for_exit("entry-2").success());
        let stopped = Instant::now();
        std::thread::sleep(Duration::from_secs(1));
        stopped
    });
    all_right(&done);
    assert!(done.iter().any(|done| done.entry == "entry-2"));
    assert!(done.iter().any(|done| done.started > stopped));
}

/// Number of the entry that is the home of a target while all of three entries are members.
fn home_of(target: &str) -> u32 {
    let member = |node| Member {
        node: NodeId(node),
        incarnation: Incarnation(1),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "zone-a".into(),
    };
    let members = (1..=3).map(member).collect();
    let membership = Membership { epoch: MembershipEpoch(1), members };
    membership.home_of(target).unwrap().node.0
}

/// Guards against an entry that wakes after its lease and acts on what it knew before, and against
/// a new home that gives away memory that is taken.
#[test]
fn entry_frozen_past_its_lease_does_no_harm_and_serves_again() {
    let fleet = Fleet::start(3, 4, 2, &json!({ "memory_tokens": 6_000 }));
    warm_up(&fleet);
    let targets = fleet.engines.len() + fleet.services.len();
    let drained = fleet.engines.iter().find(|engine| home_of(engine) == 1).unwrap();
    let send = |entry: &str, number: usize| match number % 4 {
        3 => {
            let key = format!("freeze-{number}");
            let sent = fleet.book(entry, &key);
            (Some(key), sent)
        }
        _ => (None, fleet.complete(entry, 1_200, 40)),
    };
    let freeze = || {
        std::thread::sleep(Duration::from_secs(1));
        assert!(fleet.metric("entry-1", "mulberry_home_targets").unwrap() > 0);
        fleet.signal("entry-1", "STOP");
        fleet.cut_from_control("entry-1", "drop");
        fleet.ctl(&["target", "drain", drained]).unwrap();
        let out = Instant::now();
        wait_for("the homes to move", || {
            let homes = |entry| fleet.metric(entry, "mulberry_home_targets");
            (homes("entry-2")? + homes("entry-3")? == targets).then_some(())
        });
        std::thread::sleep(Duration::from_secs(3).saturating_sub(out.elapsed()));
        let started = || fleet.sum(std::slice::from_ref(drained), "runs");
        let before = started();
        std::thread::scope(|scope| {
            // These wait in sockets until the entry wakes, and are the first that it sees.
            for _ in 0..8 {
                scope.spawn(|| {
                    let sent = fleet.complete("entry-1", 200, 1);
                    assert!(!sent.outcome.is_violation(), "{sent:?}");
                });
            }
            std::thread::sleep(Duration::from_millis(500));
            fleet.signal("entry-1", "CONT");
        });
        std::thread::sleep(Duration::from_secs(1));
        assert_eq!(started(), before, "work was started on a drained target");
        fleet.cut_from_control("entry-1", "none");
        fleet.ctl(&["target", "return", drained]).unwrap();
        wait_for("the entry that woke", || {
            (fleet.complete("entry-1", 50, 1).outcome == Outcome::Right).then_some(())
        });
    };
    let done = std::thread::scope(|scope| {
        let fleet = &fleet;
        // Memory that stays taken while the homes move.
        let streams: Vec<_> = (0..6)
            .map(|index| {
                let entry = &fleet.entries[1 + index % 2];
                scope.spawn(move || fleet.complete(entry, 1_300, 700))
            })
            .collect();
        let ((), done) = under_load(fleet, 16, send, freeze);
        for stream in streams {
            let sent = stream.join().unwrap();
            assert_eq!(sent.outcome, Outcome::Right, "{sent:?}");
        }
        done
    });
    // Requests at the frozen entry may fail, but never with a wrong answer.
    for done in &done {
        let may_fail = done.entry == "entry-1" && !done.sent.outcome.is_violation();
        assert!(done.sent.outcome == Outcome::Right || may_fail, "{done:?}");
    }
    check_bookings(&fleet, &done);
    assert_eq!(fleet.sum(&fleet.engines, "over_memory_attempts"), 0);
}

/// Checks that no booking ran twice, that those with an answer ran and that "not run" is true.
fn check_bookings(fleet: &Fleet, done: &[Done]) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in &fleet.services {
        let report = fleet.accounting(service).unwrap();
        for (key, count) in report["runs_by_key"].as_object().unwrap() {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    let mut outcomes: BTreeMap<&String, Vec<Outcome>> = BTreeMap::new();
    for done in done {
        let Some(key) = &done.key else { continue };
        outcomes.entry(key).or_default().push(done.sent.outcome);
    }
    assert!(!outcomes.is_empty());
    for (key, outcomes) in outcomes {
        let ran = runs.get(key).copied().unwrap_or_default();
        assert!(ran <= 1, "{key} ran {ran} times");
        assert!(ran == 1 || !outcomes.contains(&Outcome::Right), "{key}: {outcomes:?}, not run");
        let all_not_run = outcomes.iter().all(|outcome| outcome.is_not_run());
        assert!(ran == 0 || !all_not_run, "{key} ran, but was answered {outcomes:?}");
    }
}

fn set_zone(id: &str, zone: &str, expected_version: ConfigurationVersion) -> Change {
    Change {
        id: ChangeId(id.into()),
        operator: "tester".into(),
        expected_version,
        operations: vec![ChangeOperation::SetZone { zone: zone.into(), state: ZoneState::Out }],
    }
}

/// Change ids by the version that they made.
fn audit(fleet: &Fleet) -> BTreeMap<ConfigurationVersion, String> {
    let client = fleet.operator(&fleet.controls);
    let mut audited = BTreeMap::new();
    let mut from = ConfigurationVersion(0);
    loop {
        let records = client.audit(from, 1_000).unwrap().records;
        let Some(last) = records.last() else { return audited };
        from = last.to_version;
        audited.extend(records.iter().map(|r| (r.to_version, r.change_id.0.to_string())));
    }
}

/// Guards against changes that are accepted and lost or reverted, against bookings that run twice,
/// and against a stand-still of changes or requests, when the control leader is killed.
#[test]
fn killed_control_leader_loses_no_change_and_doubles_no_booking() {
    const OPERATORS: usize = 3;
    // The pause of the operators' client between two rounds over the instances.
    const CLIENT_POLL: Duration = Duration::from_millis(200);
    let fleet = Fleet::start(3, 4, 2, &json!({ "step_ms": 10 }));
    warm_up(&fleet);
    let first = audit(&fleet);
    let is_done = AtomicBool::new(false);
    let accepted = Mutex::new(Vec::new());
    let operate = |operator: usize| {
        let client = fleet.operator(&fleet.controls);
        let mut expected = ConfigurationVersion(0);
        for number in 0.. {
            if is_done.load(Ordering::Acquire) {
                return;
            }
            let id = format!("operator-{operator}-{number}");
            let change = set_zone(&id, &format!("unused-{}", number % 50), expected);
            // Sent again with the same id until the outcome is known.
            match wait_for("an outcome", || client.submit_change(&change).ok()) {
                ChangeOutcome::Accepted { version } => {
                    accepted.lock().unwrap().push((version, id, Instant::now()));
                    expected = version;
                }
                ChangeOutcome::Rejected { reason: RejectReason::VersionConflict { current } } => {
                    expected = current;
                }
                ChangeOutcome::Rejected { reason } => panic!("{reason:?}"),
            }
        }
    };
    // Each booking is sent twice, through two entries.
    let send = |entry: &str, number: usize| match number % 2 {
        0 => {
            let key = format!("leader-{}", number / 4);
            let sent = fleet.book(entry, &key);
            (Some(key), sent)
        }
        _ => (None, fleet.complete(entry, 200, 20)),
    };
    let (killed, done) = under_load(&fleet, 8, send, || {
        std::thread::scope(|scope| {
            let _end = SetOnDrop(&is_done);
            for operator in 0..OPERATORS {
                scope.spawn(move || operate(operator));
            }
            std::thread::sleep(Duration::from_secs(1));
            let leader = fleet.leader();
            fleet.kill(&leader);
            let killed = Instant::now();
            std::thread::sleep(Duration::from_millis(3_500));
            fleet.spawn(&leader, &json!({}));
            std::thread::sleep(Duration::from_millis(500));
            killed
        })
    });
    let accepted = accepted.into_inner().unwrap();
    // What was committed before the death may be answered shortly after it, so the latest start of a gap counts.
    let mut after: Vec<Duration> =
        accepted.iter().filter_map(|(_, _, at)| at.checked_duration_since(killed)).collect();
    after.sort_unstable();
    let gap = after.iter().zip(after.iter().skip(1)).map(|(a, b)| *b - *a).max().unwrap();
    let gap = gap.max(after[0]);
    assert!(gap <= Duration::from_secs(2) + CLIENT_POLL, "no change was accepted for {gap:?}");
    let mut expected = first;
    for (version, id, _) in &accepted {
        assert_eq!(expected.insert(*version, id.clone()), None, "two winners of {version}");
    }
    assert_eq!(audit(&fleet), expected);
    assert_eq!(
        fleet.operator(&fleet.controls).configuration().unwrap().version.0,
        expected.len() as u64
    );
    check_bookings(&fleet, &done);
    let (bookings, completions): (Vec<_>, Vec<_>) =
        done.into_iter().partition(|done| done.key.is_some());
    all_right(&completions);
    // The other answers are that the booking is running, is not run, or that control cannot be reached.
    assert!(bookings.iter().all(|done| !done.sent.outcome.is_violation()), "{bookings:?}");
}

/// Guards against entries that go on with a configuration that may be out of date, and against
/// entries that don't recover.
#[test]
fn lost_control_majority_stops_new_work_and_service_returns() {
    let fleet = Fleet::start(3, 4, 0, &json!({}));
    warm_up(&fleet);
    let bound = Duration::from_millis(3_000 + 500);
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let streams: Vec<_> = fleet
            .entries
            .iter()
            .map(|entry| scope.spawn(move || fleet.complete(entry, 200, 350)))
            .collect();
        wait_for("the streams", || (fleet.sum(&fleet.engines, "concurrent") == 3).then_some(()));
        let leader = fleet.leader();
        let other = fleet.controls.iter().find(|name| **name != leader).unwrap();
        fleet.kill(&leader);
        fleet.kill(other);
        let lost = Instant::now();
        for entry in &fleet.entries {
            scope.spawn(move || {
                while lost.elapsed() < bound + Duration::from_millis(1_500) {
                    let started = lost.elapsed();
                    let sent = fleet.complete(entry, 50, 1);
                    if started > bound {
                        let stale = (Outcome::Refused, "stale_configuration");
                        assert_eq!((sent.outcome, &*sent.detail), stale, "{entry}, {started:?}");
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            });
        }
        for stream in streams {
            let sent = stream.join().unwrap();
            assert_eq!(sent.outcome, Outcome::Right, "{sent:?}");
            assert!(lost.elapsed() > bound, "the streams were too short for this test");
        }
        fleet.spawn(&leader, &json!({}));
        fleet.spawn(other, &json!({}));
        for entry in &fleet.entries {
            wait_for("service", || {
                (fleet.complete(entry, 50, 1).outcome == Outcome::Right).then_some(())
            });
        }
    });
}

/// Guards against a repaired control instance that counts before it has caught up.
#[test]
fn control_instance_without_its_disk_returns_as_a_new_member() {
    let fleet = Fleet::start(1, 1, 0, &json!({}));
    let client = fleet.operator(&fleet.controls);
    let change = |name: &str| {
        let expected = client.configuration().unwrap().version;
        let outcome =
            wait_for("an outcome", || client.submit_change(&set_zone(name, name, expected)).ok());
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    };
    (0..20).for_each(|number| change(&format!("before-{number}")));
    let leader = fleet.leader();
    let lost = fleet.controls.iter().find(|name| **name != leader).unwrap();
    let status = |control: &str| fleet.operator(&[control.to_owned()]).status();
    let old = status(lost).unwrap().replica.to_string();
    fleet.kill(lost);
    std::fs::remove_dir_all(fleet.data_folder(lost)).unwrap();
    fleet.spawn(lost, &json!({}));
    let new = wait_for("the new replica", || Some(status(lost).ok()?.replica.to_string()));
    assert_ne!(new, old);
    let address = fleet.address(lost, "peer").to_string();
    let members = |arguments: &[&str]| {
        wait_for("a change of members", || {
            fleet.ctl(&[&["members"], arguments].concat()).map_err(|e| eprintln!("{e}")).ok()
        });
    };
    members(&["add-learner", &new, &address]);
    members(&["promote", &new]);
    members(&["remove", &old]);
    change("between");
    let before = audit(&fleet);
    fleet.kill(&fleet.leader());
    change("after");
    let mut after = audit(&fleet);
    let (_, last) = after.pop_last().unwrap();
    assert_eq!(last, "after");
    assert_eq!(after, before);
    wait_for("service", || {
        (fleet.complete("entry-1", 50, 1).outcome == Outcome::Right).then_some(())
    });
}

/// Guards against new work in a zone that is out of service, also from an entry that is cut off
/// from control, and against a zone that gets no work after its return.
#[test]
fn zone_out_stops_new_work_in_it_and_zone_in_returns_it() {
    let fleet = Fleet::start(3, 6, 0, &json!({ "step_ms": 10 }));
    warm_up(&fleet);
    let zone = ["engine-1", "engine-4"].map(str::to_owned);
    let started = || fleet.sum(&zone, "runs");
    // Enough prefill for more than two engines; with less, the placement has no reason to use the zone.
    let send = |entry: &str, _| (None, fleet.complete(entry, 2_000, 30));
    let ((), done) = under_load(&fleet, 24, send, || {
        std::thread::sleep(Duration::from_millis(500));
        fleet.cut_from_control("entry-1", "drop");
        assert!(started() > 0, "the zone had no work before");
        fleet.ctl(&["zone", "out", "zone-b"]).unwrap();
        std::thread::sleep(Duration::from_secs(3));
        let out = started();
        std::thread::sleep(Duration::from_secs(2));
        assert_eq!(started(), out, "the zone started requests");
        fleet.cut_from_control("entry-1", "none");
        fleet.ctl(&["zone", "in", "zone-b"]).unwrap();
        wait_for("work in the zone", || (started() > out).then_some(()));
        wait_for("the entry that was cut off", || fleet.is_ready("entry-1").then_some(()));
    });
    // A balancer learns with a delay that the entry that was cut off is not ready; the refusal is truthful.
    let (cut_off, served): (Vec<_>, Vec<_>) = done.into_iter().partition(|done| {
        done.entry == "entry-1"
            && done.sent.outcome == Outcome::Refused
            && done.sent.detail == "stale_configuration"
    });
    assert!(cut_off.len() < served.len());
    all_right(&served);
}

/// Guards against answers that are wrong or cut after the death of an engine in mid-stream.
#[test]
fn killed_engine_leaves_all_answers_right() {
    let fleet = Fleet::start(2, 4, 0, &json!({}));
    warm_up(&fleet);
    std::thread::scope(|scope| {
        let fleet = &fleet;
        let streams: Vec<_> = (0..12)
            .map(|index| scope.spawn(move || fleet.complete(&fleet.entries[index % 2], 200, 150)))
            .collect();
        let busy = wait_for("all streams", || {
            let running =
                |engine: &String| fleet.accounting(engine).unwrap()["concurrent"].as_u64();
            let all: u64 = fleet.engines.iter().filter_map(running).sum();
            (all == 12).then(|| fleet.engines.iter().find(|e| running(e) > Some(1)).unwrap())
        });
        std::thread::sleep(Duration::from_millis(500));
        fleet.kill(busy);
        for stream in streams {
            let sent = stream.join().unwrap();
            assert_eq!(sent.outcome, Outcome::Right, "{sent:?}");
        }
    });
}

/// Guards against load on a cold engine beyond what it can handle.
#[test]
fn engine_that_turns_cold_under_load_does_not_fall_over() {
    let fleet = Fleet::start(3, 4, 0, &json!({ "step_ms": 10, "announce_interval_ms": 500 }));
    let send = |entry: &str, _| (None, fleet.complete(entry, 200, 20));
    let ((), done) = under_load(&fleet, 24, send, || {
        wait_for("warm engines", || {
            let completed = |e: &String| fleet.accounting(e)?["completed"].as_u64();
            (fleet.engines.iter().filter_map(completed).sum::<u64>() > 200).then_some(())
        });
        fleet.inject("engine-2", &json!({ "restart_cold": { "down_ms": 300 } }));
        std::thread::sleep(Duration::from_millis(300));
        let completed = || fleet.accounting("engine-2")?["completed"].as_u64();
        let before = wait_for("the restart", completed);
        wait_for("a warm engine", || (completed()? > before + 30).then_some(()));
    });
    for engine in &fleet.engines {
        let report = wait_for("an engine", || fleet.accounting(engine));
        assert_eq!(report["fell_over"], 0, "{engine}");
    }
    all_right(&done);
}
