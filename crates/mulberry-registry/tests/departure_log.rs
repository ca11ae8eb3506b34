//! The log of departures on disk.

#![allow(dead_code, reason = "the log is private, so its file is compiled into the test")]

#[path = "../src/departure_log.rs"]
mod departure_log;

use std::path::PathBuf;

use departure_log::DepartureLog;
use mulberry_directory::{TargetRecord, TargetState};

fn record(id: &str) -> TargetRecord {
    TargetRecord {
        id: id.into(),
        started_ms: 1,
        sequence: 2,
        service: "model-a".into(),
        address: ([127, 0, 0, 1], 9_002).into(),
        zone: "zone-b".into(),
        slots: 3,
        state: TargetState::Gone,
        cold_remaining_ms: 7,
    }
}

fn new_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("mulberry-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("creates the folder");
    folder
}

fn ids(records: &[TargetRecord]) -> Vec<&str> {
    records.iter().map(|record| &*record.id).collect()
}

#[test]
fn records_are_read_again_until_the_log_is_cleared() {
    let folder = new_folder("departures");
    let (mut log, records) = DepartureLog::open(&folder).expect("opens");
    assert!(records.is_empty() && log.is_empty());
    log.append(&record("a")).expect("appends");
    log.append(&record("b")).expect("appends");
    let (mut log, records) = DepartureLog::open(&folder).expect("opens");
    assert_eq!(records, [record("a"), record("b")]);
    log.append(&record("c")).expect("appends");
    let (mut log, records) = DepartureLog::open(&folder).expect("opens");
    assert_eq!(ids(&records), ["a", "b", "c"]);
    log.clear().expect("clears");
    log.append(&record("d")).expect("appends");
    let (_, records) = DepartureLog::open(&folder).expect("opens");
    assert_eq!(ids(&records), ["d"]);
    let _ = std::fs::remove_dir_all(&folder);
}

/// Guards against a torn record after a loss of power that hides the records written later.
#[test]
fn a_torn_or_damaged_end_is_overwritten() {
    let folder = new_folder("departures-torn");
    let (mut log, _) = DepartureLog::open(&folder).expect("opens");
    log.append(&record("a")).expect("appends");
    let path = folder.join("departures");
    let whole = std::fs::read(&path).expect("reads");
    for cut in 0..whole.len() {
        for garbage in [0, 0xff] {
            let mut bytes = whole.clone();
            bytes.extend(&whole[..cut]);
            bytes.extend([garbage; 40]);
            std::fs::write(&path, bytes).expect("writes");
            let (mut log, records) = DepartureLog::open(&folder).expect("opens");
            assert_eq!(ids(&records), ["a"], "cut at {cut}");
            log.append(&record("b")).expect("appends");
            let (_, records) = DepartureLog::open(&folder).expect("opens");
            assert_eq!(ids(&records), ["a", "b"], "cut at {cut}");
        }
    }
    let _ = std::fs::remove_dir_all(&folder);
}
