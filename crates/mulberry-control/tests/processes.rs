//! End-to-end tests with instances as processes of the real binary.

#![allow(clippy::unwrap_used, reason = "a failed step of a test ends the test")]

mod support;

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use mulberry_operators::{OperatorClient, OperatorClientSettings, Status};
use mulberry_types::{ChangeOutcome, ConfigurationVersion};
use support::{Group, TOKEN, wait_for};

/// Processes of a group. They are killed when the test ends.
struct Processes {
    group: Group,
    children: Vec<Option<Child>>,
}

impl Processes {
    fn start(name: &str) -> Processes {
        let mut group = Group::prepare(name, 3);
        for settings in &mut group.settings {
            settings.snapshot_entries = 200;
            settings.test_faults = true;
            settings.log_level = "warn".to_owned();
        }
        let mut processes = Processes { group, children: vec![None, None, None] };
        (0..3).for_each(|index| processes.start_one(index));
        processes
    }

    fn start_one(&mut self, index: usize) {
        let settings = &self.group.settings[index];
        let file = self.group.folder.path.join(format!("settings-{index}.json"));
        std::fs::write(&file, serde_json::to_string(settings).unwrap()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_mulberry-control"))
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        self.children[index] = Some(child);
    }

    /// Kills an instance with SIGKILL.
    fn kill(&mut self, index: usize) {
        let mut child = self.children[index].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Index of the instance that leads.
    fn leader(&self) -> usize {
        // Queries each instance separately, because an isolated instance also responds, without knowing
        // the leader.
        wait_for("a leader", || {
            self.group.settings.iter().position(|settings| {
                let client_settings = OperatorClientSettings {
                    time_limit_ms: 500,
                    ..OperatorClientSettings::default()
                };
                let addresses = vec![settings.operator_address];
                let client =
                    OperatorClient::with_settings(addresses, TOKEN, client_settings).unwrap();
                let leads = |status: &Status| status.leader == Some(status.replica);
                client.status().is_ok_and(|status| leads(&status))
            })
        })
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

/// Guards against an acknowledged change that is lost or accepted twice when the leader's process is killed
/// during concurrent changes.
#[test]
fn no_change_is_lost_when_leaders_are_killed_during_concurrent_changes() {
    const OPERATORS: usize = 4;
    let mut processes = Processes::start("kill");
    processes.leader();
    let is_done = AtomicBool::new(false);
    let clients: Vec<_> = (0..OPERATORS).map(|_| processes.group.operator_client()).collect();
    let accepted: Vec<(ConfigurationVersion, String)> = std::thread::scope(|scope| {
        let threads: Vec<_> = clients
            .iter()
            .enumerate()
            .map(|(operator, client)| {
                let is_done = &is_done;
                scope.spawn(move || {
                    let mut accepted = Vec::new();
                    let mut expected = ConfigurationVersion(0);
                    let mut number = 0;
                    while !is_done.load(Ordering::Acquire) {
                        let id = format!("{operator}-{number}");
                        let change =
                            support::set_zone(&id, &format!("zone-{}", number % 50), expected);
                        // Retried with the same id until the outcome is known.
                        let outcome = wait_for("an outcome", || client.submit_change(&change).ok());
                        number += 1;
                        match outcome {
                            ChangeOutcome::Accepted { version } => {
                                accepted.push((version, id));
                                expected = version;
                            }
                            ChangeOutcome::Rejected {
                                reason: mulberry_types::RejectReason::VersionConflict { current },
                            } => expected = current,
                            ChangeOutcome::Rejected { reason } => panic!("{reason:?}"),
                        }
                    }
                    accepted
                })
            })
            .collect();
        for _ in 0..2 {
            std::thread::sleep(Duration::from_millis(700));
            let leader = processes.leader();
            processes.kill(leader);
            std::thread::sleep(Duration::from_millis(700));
            // The remaining instances elect a leader without the killed one.
            processes.leader();
            processes.start_one(leader);
        }
        std::thread::sleep(Duration::from_millis(300));
        is_done.store(true, Ordering::Release);
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    });

    let mut by_version = BTreeMap::new();
    for (version, id) in &accepted {
        assert_eq!(
            by_version.insert(*version, id.clone()),
            None,
            "two changes were accepted as {version}"
        );
    }
    let client = processes.group.operator_client();
    let mut audited = BTreeMap::new();
    let mut from = ConfigurationVersion(0);
    loop {
        let records = client.audit(from, 1_000).unwrap().records;
        let Some(last) = records.last() else { break };
        from = last.to_version;
        audited.extend(records.iter().map(|r| (r.to_version, r.change_id.0.to_string())));
    }
    assert!(!by_version.is_empty());
    assert_eq!(audited, by_version);
    assert_eq!(client.configuration().unwrap().version.0, audited.len() as u64);
}

/// Guards against a failing shutdown on SIGTERM, against missing metrics, and against a fault endpoint that
/// does not affect the links.
#[test]
fn a_process_stops_on_sigterm_and_its_links_can_be_cut() {
    let mut processes = Processes::start("term");
    let leader = processes.leader();
    let platform = processes.group.settings[leader].platform_address;
    wait_for("readiness", || {
        http(platform, "GET", "/readyz").starts_with("HTTP/1.1 200").then_some(())
    });
    let metrics = http(platform, "GET", "/metrics");
    for line in [
        "mulberry_control_role 3",
        "mulberry_control_syncs_total",
        "mulberry_control_sync_seconds_bucket",
        "mulberry_control_peer_bytes_in_total",
        "mulberry_control_peer_frames_rejected_total{reason=\"wrong_mac\"} 0",
        "mulberry_control_leader_contact_age_ms 0",
    ] {
        assert!(metrics.contains(line), "{line} is missing in {metrics}");
    }
    let faults = processes.group.settings[leader].test_faults_address;
    let set_faults = |fault: &str| {
        for settings in &processes.group.settings {
            let peer = settings.peer_address;
            let query = format!("/faults?peer={peer}&direction=both&fault={fault}");
            let response = http(faults, "POST", &query);
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
    };
    set_faults("drop");
    let client = processes.group.operator_client();
    let next = wait_for("a leader of the majority", || {
        let next = processes.leader();
        (next != leader).then_some(next)
    });
    set_faults("none");
    let accepted = client.submit_change(&support::set_zone("c", "a", ConfigurationVersion(0)));
    assert_eq!(accepted.unwrap(), ChangeOutcome::Accepted { version: ConfigurationVersion(1) });

    let mut child = processes.children[next].take().unwrap();
    let id = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    let status = wait_for("the end of the process", || child.try_wait().unwrap());
    assert!(status.success(), "{status}");
    assert_ne!(processes.leader(), next);
    assert_eq!(client.configuration().unwrap().version, ConfigurationVersion(1));
}

/// Guards against a process that starts with invalid settings.
#[test]
fn invalid_settings_end_the_process_with_a_message() {
    let folder = support::TestFolder::new("settings");
    let file = folder.path.join("settings.json");
    std::fs::write(&file, r#"{"peers": ["127.0.0.1:1"]}"#).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_mulberry-control"))
        .args(["--check-settings", "--settings"])
        .arg(&file)
        .output()
        .unwrap();
    assert!(!output.status.success());
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("peers: lacks peer_address"), "{message}");
}

fn http(address: SocketAddr, method: &str, path: &str) -> String {
    let mut socket = TcpStream::connect(address).unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    socket.read_to_string(&mut response).unwrap();
    response
}
