//! The cases.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::engine::{Engine, beat_by_turns, configuration, send_by_turns};
use crate::fleet::{Fleet, Machine, Record, ZONES};

const SERVICE: &str = "wuno96b";

/// Runs a case. Returns whether the rule was broken.
pub fn run(case: &str, folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = Record::new(folder).map_err(|error| error.to_string())?;
    record.note(&format!("case {case}, trouble {trouble}"));
    match case {
        "evacuation" => evacuation(record, trouble),
        "goodbye" => goodbye(record, trouble),
        "voters" => voters(record, trouble),
        "farewell" => farewell(record, trouble),
        _ => Err(format!("there is no case {case}")),
    }
}

fn sleep_s(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

fn others(fleet: &Fleet, without: usize) -> Vec<usize> {
    (0..fleet.cores).filter(|core| *core != without).collect()
}

/// A call that a frozen registry finds in its socket after it wakes undoes a later order that was acknowledged.
fn evacuation(record: Record, trouble: bool) -> Result<bool, String> {
    const EVACUATE_S: f64 = 5.0;
    const CONTACT_S: f64 = 3.0;
    const FREEZE_S: f64 = 7.0;
    const ZONE: &str = "lekki";
    let mut fleet = Fleet::new(record.clone(), 5, 6)?;
    fleet.start_all()?;
    fleet.insist("operator", &[0, 1, 2], "PUT", "/-/config", &configuration(7))?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let id = format!("i-{zone}");
        let engine = Engine::start(&record, &id, fleet.engine_address(number), zone, SERVICE)?;
        let engine = Arc::new(engine);
        beat_by_turns(engine.clone(), fleet.controls(), stop.clone());
        engines.push(engine);
    }
    fleet.wait_ready()?;
    sleep_s(4.0);
    let frontends: Vec<SocketAddr> = (0..fleet.fronts).map(|front| fleet.frontend(front)).collect();
    let clients = send_by_turns(record.clone(), frontends, Duration::from_millis(25), stop.clone());
    sleep_s(3.0);

    // The operator's first choice in the middle of the case; not the first three, which are the voters.
    let frozen = 4;
    let path = format!("/-/evacuations/{ZONE}");
    fleet.insist("operator", &[1], "POST", &path, "")?;
    sleep_s(EVACUATE_S + 1.0);
    let frozen_at = record.now();
    if trouble {
        fleet.signal(Machine::Core(frozen), "-STOP")?;
    }
    sleep_s(0.3);
    let mut nodes = vec![frozen];
    nodes.extend(others(&fleet, frozen));
    fleet.insist("operator", &nodes, "DELETE", &path, "")?;
    sleep_s(2.0);
    let evacuated_at = fleet.insist("operator", &others(&fleet, frozen), "POST", &path, "")?;
    sleep_s(frozen_at + FREEZE_S - record.now());
    let thawed_at = record.now();
    if trouble {
        fleet.signal(Machine::Core(frozen), "-CONT")?;
    }
    let judged_from = (evacuated_at + EVACUATE_S).max(thawed_at + CONTACT_S) + 0.2;
    sleep_s(judged_from + 6.0 - record.now());
    let judged_to = record.now();
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    fleet.note_ends();

    let lekki = engines.iter().find(|engine| engine.zone == ZONE).ok_or("no engine in the zone")?;
    let late = lekki.runs().iter().filter(|run| run.at > judged_from && run.at < judged_to).count();
    let elsewhere: usize = engines
        .iter()
        .filter(|engine| engine.zone != ZONE)
        .map(|engine| engine.runs().iter().filter(|run| run.at > judged_from && run.at < judged_to).count())
        .sum();
    if elsewhere + late < 50 {
        return Err(format!("only {} requests ran in the judged time", elsewhere + late));
    }
    record.note(&format!(
        "result: the evacuation of {ZONE} was acknowledged at {evacuated_at:.3} and never taken back; from \
         {judged_from:.3} to {judged_to:.3} {late} requests ran there and {elsewhere} elsewhere"
    ));
    Ok(late > 0)
}

/// A registry that was down while an engine started again under its id takes the engine's goodbye for that of the
/// earlier start.
fn goodbye(record: Record, trouble: bool) -> Result<bool, String> {
    const DRAIN_S: f64 = 2.0;
    const CONTACT_S: f64 = 3.0;
    const DOWN_S: f64 = 3.0;
    const SERVES_AFTER_S: f64 = 5.0;
    let mut fleet = Fleet::new(record.clone(), 5, 6)?;
    fleet.start_all()?;
    fleet.insist("operator", &[0, 1, 2], "PUT", "/-/config", &configuration(7))?;
    let stop = Arc::new(AtomicBool::new(false));
    for (number, zone) in ZONES.into_iter().enumerate().skip(1) {
        let id = format!("i-{zone}");
        let engine = Engine::start(&record, &id, fleet.engine_address(number), zone, SERVICE)?;
        beat_by_turns(Arc::new(engine), fleet.controls(), stop.clone());
    }
    let leaving_zone = ZONES[0];
    let id = "i-leaving";
    let address = fleet.engine_address(0);
    let first = Arc::new(Engine::start(&record, id, address, leaving_zone, SERVICE)?);
    let first_beats = beat_by_turns(first.clone(), fleet.controls(), stop.clone());
    fleet.wait_ready()?;
    sleep_s(4.0);
    let frontends: Vec<SocketAddr> = (0..fleet.fronts).map(|front| fleet.frontend(front)).collect();
    let clients = send_by_turns(record.clone(), frontends, Duration::from_millis(25), stop.clone());
    sleep_s(3.0);

    // The engine is replaced: it says goodbye, serves on, exits, and starts again under its id.
    let path = format!("/-/instances/{id}");
    first.stop_beats();
    let _ = first_beats.join();
    fleet.insist(&format!("engine {id}"), &[0, 1, 2], "DELETE", &path, "")?;
    sleep_s(DRAIN_S + 0.5);
    first.end();
    // Meanwhile one registry is down for a few seconds.
    let restarted = 4;
    if trouble {
        fleet.kill(Machine::Core(restarted));
    }
    let down_at = record.now();
    sleep_s(0.5);
    let second = Arc::new(Engine::start(&record, id, address, leaving_zone, SERVICE)?);
    let controls = fleet.controls();
    let mut turn = 0;
    // It picks a node for each call; so far the one that was down has not been among them.
    let mut beat = |engine: &Engine| {
        let mut nodes: Vec<SocketAddr> = controls[..4].to_vec();
        nodes.rotate_left(turn % 4);
        turn += 1;
        engine.beat(&nodes);
    };
    let mut is_back = !trouble;
    let mut back_at = down_at;
    while record.now() < down_at + DOWN_S + CONTACT_S + 1.0 {
        beat(&second);
        let next = record.now() + 1.2;
        if !is_back && next > down_at + DOWN_S {
            sleep_s(down_at + DOWN_S - record.now());
            fleet.start(Machine::Core(restarted))?;
            back_at = record.now();
            is_back = true;
        }
        sleep_s(next - record.now());
    }
    // It leaves: it says goodbye first, serves on, and exits.
    let left_at = fleet.insist(&format!("engine {id}"), &[restarted], "DELETE", &path, "")?;
    sleep_s(SERVES_AFTER_S);
    let ended_at = record.now();
    second.end();
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    fleet.note_ends();

    let runs = second.runs();
    let before = runs.iter().filter(|run| run.at < left_at).count();
    let late = runs.iter().filter(|run| run.at > left_at + DRAIN_S).count();
    if before == 0 {
        return Err("the engine got no request after its second start".into());
    }
    record.note(&format!(
        "result: the registry was back at {back_at:.3}; the goodbye was acknowledged at {left_at:.3}; the engine ended \
         at {ended_at:.3}; it ran {before} requests before the goodbye and {late} later than drainMs after it"
    ));
    Ok(late > 0)
}

/// While a silent voter is being replaced, the group has two voters only; the loss of one disk then ends it for good.
fn voters(record: Record, trouble: bool) -> Result<bool, String> {
    const RECOVERY_S: f64 = 12.0;
    const DARK_S: f64 = 3.5;
    const DISK_LOST_FOR_S: f64 = 2.0;
    let mut fleet = Fleet::new(record.clone(), 5, 3)?;
    fleet.start_all()?;
    fleet.insist("operator", &[0, 1, 2], "PUT", "/-/config", &configuration(7))?;
    fleet.wait_ready()?;
    let is_whole = |fleet: &Fleet| {
        (0..3).any(|core| {
            fleet.metric(core, "is_leader") == Some(1)
                && fleet.metric(core, "voters") == Some(3)
                && fleet.metric(core, "learners") == Some(2)
        })
    };
    for _ in 0..100 {
        if is_whole(&fleet) {
            break;
        }
        sleep_s(0.1);
    }
    sleep_s(3.0);
    let leader = (0..3).find(|core| fleet.metric(*core, "is_leader") == Some(1)).ok_or("no leader")?;
    let dark = (leader + 1) % 3;
    let other = (leader + 2) % 3;
    record.note(&format!("Core({leader}) leads; Core({dark}) and Core({other}) are the other voters"));

    // A machine of the core goes dark. Its disk is kept.
    let dark_at = record.now();
    if trouble {
        fleet.kill(Machine::Core(dark));
        // `DELAY` names a fixed time in seconds, instead of a look at the metrics.
        let delay = std::env::var("DELAY").ok().and_then(|text| text.parse::<f64>().ok());
        sleep_s(delay.unwrap_or(0.0));
        while delay.is_none() && record.now() < dark_at + 3.0 {
            if fleet.metric(leader, "voters") == Some(2) && fleet.metric(other, "voters") == Some(2) {
                break;
            }
            sleep_s(0.001);
        }
        record.note(&format!("{:.3} s after the machine went dark", record.now() - dark_at));
    } else {
        sleep_s(1.3);
    }
    // A change is acknowledged, and the machine that acknowledged it loses its disk.
    let response = fleet.call_control(leader, "PUT", "/-/config", &configuration(8));
    let status = response.map_or(0, |response| response.status());
    let lost_at = record.now();
    if trouble {
        fleet.kill(Machine::Core(leader));
        fleet.empty_disk(Machine::Core(leader))?;
    }
    record.note(&format!("operator: PUT /-/config of version 8 at Core({leader}): {status}"));
    if trouble {
        sleep_s(lost_at + DISK_LOST_FOR_S - record.now());
        fleet.start(Machine::Core(leader))?;
        sleep_s(dark_at + DARK_S - record.now());
        fleet.start(Machine::Core(dark))?;
    }
    let back_at = record.now();
    sleep_s(RECOVERY_S);
    // All machines are back. The operator reads the configuration, and sends the next one.
    let expected = if status == 200 { 8 } else { 7 };
    let mut read = None;
    while read.is_none() && record.now() < back_at + RECOVERY_S + 20.0 {
        for core in 0..fleet.cores {
            let response = fleet.call_control(core, "GET", "/-/config", "");
            let status = response.as_ref().map_or(0, |response| response.status());
            record.note(&format!("operator: GET /-/config at Core({core}): {status}"));
            let body = response.filter(|response| response.status() == 200).map(|response| response.body);
            read = read.or(body);
        }
    }
    fleet.note_ends();
    let version = read.and_then(|body| {
        let text = String::from_utf8(body).ok()?;
        text.strip_prefix("{\"version\":")?.split(',').next()?.parse::<u64>().ok()
    });
    record.note(&format!(
        "result: version {expected} was acknowledged; all machines were back at {back_at:.3}; the version that was read \
         from {:.3} to {:.3} is {version:?}",
        back_at + RECOVERY_S,
        record.now()
    ));
    Ok(version.is_none_or(|version| version < expected))
}

/// All processes are killed right after a goodbye was acknowledged; the engine is in use again after the restart.
fn farewell(record: Record, trouble: bool) -> Result<bool, String> {
    const DRAIN_S: f64 = 2.0;
    const CONTACT_S: f64 = 3.0;
    const DOWN_S: f64 = 1.0;
    const SERVES_AFTER_S: f64 = 10.0;
    let mut fleet = Fleet::new(record.clone(), 5, 6)?;
    fleet.start_all()?;
    fleet.insist("operator", &[0, 1, 2], "PUT", "/-/config", &configuration(7))?;
    let stop = Arc::new(AtomicBool::new(false));
    for (number, zone) in ZONES.into_iter().enumerate().skip(1) {
        let id = format!("i-{zone}");
        let engine = Engine::start(&record, &id, fleet.engine_address(number), zone, SERVICE)?;
        beat_by_turns(Arc::new(engine), fleet.controls(), stop.clone());
    }
    let id = "i-leaving";
    let leaving = Arc::new(Engine::start(&record, id, fleet.engine_address(0), ZONES[0], SERVICE)?);
    let beats = beat_by_turns(leaving.clone(), fleet.controls(), stop.clone());
    fleet.wait_ready()?;
    sleep_s(4.0);
    let frontends: Vec<SocketAddr> = (0..fleet.fronts).map(|front| fleet.frontend(front)).collect();
    let clients = send_by_turns(record.clone(), frontends, Duration::from_millis(5), stop.clone());
    sleep_s(3.0);

    // The engine leaves: it says goodbye first, serves on, and exits.
    leaving.stop_beats();
    let _ = beats.join();
    let path = format!("/-/instances/{id}");
    let left_at = fleet.insist(&format!("engine {id}"), &[3], "DELETE", &path, "")?;
    let machines: Vec<Machine> =
        (0..fleet.cores).map(Machine::Core).chain((0..fleet.fronts).map(Machine::Front)).collect();
    let mut back_at = left_at;
    if trouble {
        for machine in &machines {
            fleet.signal(*machine, "-KILL")?;
        }
        let killed_at = record.now();
        for machine in &machines {
            fleet.kill(*machine);
        }
        sleep_s(killed_at + DOWN_S - record.now());
        for machine in &machines {
            fleet.start(*machine)?;
        }
        back_at = record.now();
    }
    sleep_s(left_at + SERVES_AFTER_S - record.now());
    let ended_at = record.now();
    leaving.end();
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    fleet.note_ends();

    let runs = leaving.runs();
    let before = runs.iter().filter(|run| run.at < left_at).count();
    let count_from = |from: f64| runs.iter().filter(|run| run.at > from).count();
    if before == 0 {
        return Err("the engine got no request before it left".into());
    }
    // After a fault that took most of the core, machines are in touch after twice contactMs.
    let judged_from = (left_at + DRAIN_S).max(back_at + 2.0 * CONTACT_S);
    let late = count_from(judged_from);
    record.note(&format!(
        "result: the goodbye was acknowledged at {left_at:.3}; all machines were back at {back_at:.3}; the engine ended at \
         {ended_at:.3}; it ran {before} requests before the goodbye, {} later than drainMs after it, {} from contactMs \
         after the restart on, and {late} from {judged_from:.3} on",
        count_from(left_at + DRAIN_S),
        count_from((left_at + DRAIN_S).max(back_at + CONTACT_S)),
    ));
    Ok(late > 0)
}
