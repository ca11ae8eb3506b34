//! Tests of complete groups of registries that store their logs on disk and connect over loopback addresses.

mod support;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use mulberry_directory::{
    FeedRequest, GatewayInfo, GatewayMessage, LinkMessage, RegistryMessage, TargetRecord,
    TargetState, encode_frame,
};
use mulberry_quarantine::{CrashReport, CrashedPart, PartStatus};
use socket2::SockRef;

use support::{Group, WAIT_TIMEOUT};

#[test]
fn a_configuration_accepted_by_one_member_is_read_from_every_member() {
    let group = Group::form("read", 71, &[1, 2, 3]);
    group.request_until_ok(2, "PUT", "/config", "7 first");
    for member in [1, 2, 3] {
        assert_eq!(group.request_until_ok(member, "GET", "/config", ""), "7 first");
    }
    group.request_until_ok(3, "PUT", "/config", "7 other content");
    group.request_until_ok(1, "PUT", "/config", "6 older");
    assert_eq!(group.request_until_ok(2, "GET", "/config", ""), "7 first");
    assert_eq!(group.request(1, "PUT", "/config", "x").map(|response| response.0), Some(400));
    assert_eq!(group.request_until_ok(1, "GET", "/config", ""), "7 first");
}

#[test]
fn a_member_without_a_majority_rejects_configuration_requests() {
    let mut group = Group::form("minority", 72, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.stop(2);
    group.stop(3);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(group.request(1, "GET", "/config", "").map(|response| response.0), Some(503));
    assert_eq!(group.request(1, "PUT", "/config", "2 b").map(|response| response.0), Some(503));
    assert_eq!(group.request(1, "PUT", "/target", "t1").map(|response| response.0), Some(200));
    group.start(2, false);
    group.request_until_ok(1, "PUT", "/config", "3 c");
    assert_eq!(group.request_until_ok(2, "GET", "/config", ""), "3 c");
}

#[test]
fn accepted_changes_survive_a_restart_of_all_members() {
    let mut group = Group::form("restart", 73, &[1, 2, 3]);
    for version in 1..=60 {
        group.request_until_ok(1, "PUT", "/config", &format!("{version} content"));
    }
    for member in [1, 2, 3] {
        group.stop(member);
    }
    for member in [1, 2, 3] {
        group.start(member, false);
    }
    assert_eq!(group.request_until_ok(2, "GET", "/config", ""), "60 content");
}

/// The voters that formed the group know only the seeds after a restart of all members, and the seeds may have been
/// changed to members that are no voters.
#[test]
fn voters_find_each_other_after_a_restart_with_seeds_that_are_no_voters() {
    let mut group = Group::form_with("turnover", 80, &[1, 2, 3], 3);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    for learner in [4, 5, 6] {
        group.start(learner, false);
        group.request_until_ok(learner, "GET", "/config", "");
    }
    for member in 1..=6 {
        group.stop(member);
    }
    group.seeds = vec![4, 5, 6];
    for member in 1..=6 {
        group.start(member, false);
    }
    assert_eq!(group.request_until_ok(2, "GET", "/config", ""), "1 a");
}

/// Starts registries 4 and 5 beside the seeds 1 to 3, and waits until they have caught up.
fn join_two_more(group: &mut Group) {
    for member in [4, 5] {
        group.start(member, false);
        group.request_until_ok(member, "GET", "/config", "");
    }
    std::thread::sleep(Duration::from_secs(2));
}

/// Stops registries 3 to 5, and checks that the two others acknowledge nothing.
fn assert_minority_accepts_nothing(group: &mut Group) {
    for member in [3, 4, 5] {
        group.stop(member);
    }
    for member in [1, 2, 1, 2] {
        let status = group.request(member, "PUT", "/config", "9 minority").map(|r| r.0);
        assert_eq!(status, Some(503), "member {member}");
        let status = group.request(member, "GET", "/config", "").map(|r| r.0);
        assert_eq!(status, Some(503), "member {member}");
    }
}

/// Guards against configurations that a cut-off minority of the registries acknowledges and the others do not obey.
#[test]
fn two_of_five_registries_acknowledge_no_configuration() {
    let mut group = Group::form("quorum", 82, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    join_two_more(&mut group);
    assert_minority_accepts_nothing(&mut group);
    group.start(4, false);
    group.request_until_ok(4, "PUT", "/config", "10 majority");
    assert_eq!(group.request_until_ok(1, "GET", "/config", ""), "10 majority");
}

/// Guards against the same after an upgrade: older versions kept three voters, whatever the number of registries.
#[test]
fn a_group_with_fewer_voters_than_registries_grows_after_an_upgrade() {
    let mut group = Group::form_with("upgrade", 83, &[1, 2, 3], 3);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    join_two_more(&mut group);
    for member in 1..=5 {
        group.stop(member);
    }
    group.max_voters = usize::MAX;
    for member in 1..=5 {
        group.start(member, false);
    }
    group.request_until_ok(1, "PUT", "/config", "2 b");
    std::thread::sleep(Duration::from_secs(3));
    assert_minority_accepts_nothing(&mut group);
}

#[test]
fn a_member_with_a_lost_disk_rejoins_as_a_voter() {
    let mut group = Group::form("disk", 74, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.stop(3);
    group.delete_data_folder(3);
    group.start(3, false);
    group.request_until_ok(3, "PUT", "/config", "2 b");
    // After this time the member is a voter, and the group tolerates the loss of another member.
    std::thread::sleep(Duration::from_secs(4));
    group.stop(1);
    group.request_until_ok(3, "PUT", "/config", "3 c");
    assert_eq!(group.request_until_ok(2, "GET", "/config", ""), "3 c");
}

#[test]
fn a_member_is_replaced_by_an_empty_one_at_another_address() {
    let mut group = Group::form("replace", 75, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.stop(2);
    group.start(4, false);
    group.request_until_ok(4, "PUT", "/config", "2 b");
    // After this time the new member is a voter.
    std::thread::sleep(Duration::from_secs(4));
    group.stop(1);
    group.request_until_ok(4, "PUT", "/config", "3 c");
    assert_eq!(group.request_until_ok(3, "GET", "/config", ""), "3 c");
}

/// Guards against replacements that no leader admits, so that a group loses its majority one by one.
#[test]
fn a_registry_joins_through_a_seed_that_is_not_the_leader() {
    let mut group = Group::form("introduced", 97, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    for (joining, seed) in [(4, 1), (5, 2), (6, 3)] {
        group.seeds = vec![seed];
        group.start(joining, false);
    }
    for joining in [4, 5, 6] {
        assert_eq!(group.request_until_ok(joining, "GET", "/config", ""), "1 a");
    }
}

/// Guards against gateways that need a majority of registries of which some are gone for good.
#[test]
fn a_member_lists_no_seeds_that_are_gone() {
    let mut group = Group::form("gone-seeds", 98, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.seeds = vec![1, 8, 9];
    group.start(4, false);
    group.request_until_ok(4, "GET", "/config", "");
    let mut link = GatewayLink::open(&group, 4);
    assert!(link.lists_registries(&group, &[1, 2, 3, 4]), "8 and 9 are gone");
}

#[test]
fn a_member_with_an_empty_disk_forms_no_group_of_its_own() {
    let mut group = Group::form("alone", 76, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    for member in [1, 2, 3] {
        group.stop(member);
    }
    group.delete_data_folder(1);
    group.start(1, false);
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(group.request(1, "PUT", "/config", "2 b").map(|response| response.0), Some(503));
    group.start(2, false);
    group.start(3, false);
    assert_eq!(group.request_until_ok(1, "GET", "/config", ""), "1 a");
}

/// A connection of a simulated gateway to a registry.
struct GatewayLink {
    stream: TcpStream,
}

impl GatewayLink {
    fn open(group: &Group, member: u8) -> GatewayLink {
        GatewayLink::open_as(group, member, false)
    }

    fn open_as(group: &Group, member: u8, knows_parts: bool) -> GatewayLink {
        let address = SocketAddr::from(([127, 0, group.network, member], group.link_port));
        let started = Instant::now();
        let stream = loop {
            match TcpStream::connect(address) {
                Ok(stream) => break stream,
                Err(error) => assert!(started.elapsed() < WAIT_TIMEOUT, "{address}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(10));
        };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("sets the timeout");
        let gateway = GatewayInfo {
            name: "g".into(),
            zone: "z".into(),
            incarnation: 1,
            started_ms: 1,
            address: ([127, 0, 0, 1], 1).into(),
            is_active: false,
        };
        let mut link = GatewayLink { stream };
        link.send(GatewayMessage::Hello { gateway, knows_parts, feed: FeedRequest::Plain });
        link
    }

    fn send(&mut self, message: GatewayMessage) {
        let mut bytes = Vec::new();
        encode_frame(&LinkMessage::<()>::Gateway(message), &mut bytes).expect("encodes");
        self.stream.write_all(&bytes).expect("sends");
    }

    /// Reads messages until the registry publishes statuses of parts.
    fn read_part_statuses(&mut self) -> Vec<PartStatus> {
        let started = Instant::now();
        loop {
            if let RegistryMessage::PartStatuses(statuses) = self.read() {
                return statuses;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "no statuses of parts");
        }
    }

    fn read(&mut self) -> RegistryMessage {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).expect("a message");
        let mut body = vec![0; u32::from_le_bytes(length) as usize];
        self.stream.read_exact(&mut body).expect("a message");
        postcard::from_bytes(&body).expect("a message of a registry")
    }

    /// Reads messages until the registry publishes a target for which a condition holds.
    fn read_until_target(&mut self, is_met: impl Fn(&TargetRecord) -> bool) {
        let started = Instant::now();
        while !matches!(self.read(), RegistryMessage::Targets(records) if records.iter().any(&is_met))
        {
            assert!(started.elapsed() < WAIT_TIMEOUT, "no such target was published");
        }
    }

    /// Whether the registry sends a list of exactly these registries, by the last bytes of their addresses, within 5 s.
    fn lists_registries(&mut self, group: &Group, registries: &[u8]) -> bool {
        let wanted: Vec<_> = registries.iter().map(|last| group.link_address(*last)).collect();
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(5) {
            if matches!(self.read(), RegistryMessage::Registries(listed) if listed == wanted) {
                return true;
            }
        }
        false
    }

    /// Reads messages until the registry publishes the target as usable.
    fn read_until_usable(&mut self, id: &str) {
        let started = Instant::now();
        loop {
            let is_usable = match self.read() {
                RegistryMessage::Targets(records) => records.iter().any(|known| &*known.id == id),
                RegistryMessage::RestoredTargetsSeen(ids) => ids.iter().any(|known| &**known == id),
                _ => false,
            };
            if is_usable {
                return;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{id} was not published as usable");
        }
    }
}

#[test]
fn a_restored_target_is_not_published_as_usable_until_it_announces_itself() {
    let mut group = Group::form("restored", 79, &[1]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.request_until_ok(1, "PUT", "/target", "left");
    group.request_until_ok(1, "PUT", "/target", "stays");
    // The warm-start state is saved 250 ms after a change.
    std::thread::sleep(Duration::from_secs(1));
    group.stop(1);
    group.start(1, false);
    let mut link = GatewayLink::open(&group, 1);
    let mut restored = Vec::new();
    while restored.is_empty() {
        match link.read() {
            RegistryMessage::Targets(records) => assert!(records.is_empty(), "{records:?}"),
            RegistryMessage::RestoredTargets(records) => restored = records,
            _ => {}
        }
    }
    assert_eq!(restored.len(), 2, "{restored:?}");
    group.request_until_ok(1, "PUT", "/target", "stays");
    link.read_until_usable("stays");
    let mut second_link = GatewayLink::open(&group, 1);
    second_link.read_until_usable("stays");
    assert!(
        matches!(second_link.read(), RegistryMessage::RestoredTargets(records) if records.len() == 1)
    );
}

/// Reads messages of a new link until one tells the evacuated zones.
fn evacuated_zones(group: &Group, member: u8) -> Vec<String> {
    let mut link = GatewayLink::open(group, member);
    loop {
        if let RegistryMessage::EvacuatedZones { zones, .. } = link.read() {
            return zones.iter().map(ToString::to_string).collect();
        }
    }
}

#[test]
fn zones_are_evacuated_and_restored_through_any_member_in_the_order_of_the_requests() {
    let group = Group::form("zones", 86, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    for round in 0..30 {
        let member = 1 + round % 3;
        let status = |method: &str, member: u8| {
            group.request(member, method, "/zone", "z").map(|response| response.0)
        };
        assert_eq!(status("POST", member), Some(200), "round {round}");
        assert_eq!(status("DELETE", 1 + member % 3), Some(200), "round {round}");
    }
    group.request_until_ok(2, "POST", "/zone", "z");
    std::thread::sleep(Duration::from_millis(500));
    for member in 1..=3 {
        assert_eq!(evacuated_zones(&group, member), ["z"]);
    }
}

/// Guards against a change whose caller has given up that undoes a later, acknowledged one.
#[test]
fn a_zone_change_whose_caller_has_left_is_not_applied() {
    let group = Group::form("abandoned", 87, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.request_until_ok(1, "POST", "/zone", "z");
    for member in 1..=3 {
        // The request and the close arrive at once, as if the registry had read the request seconds later.
        let mut stream = TcpStream::connect(group.public_address(member)).expect("connects");
        SockRef::from(&stream).set_tcp_cork(true).expect("sets the option");
        let request = b"DELETE /zone HTTP/1.1\r\nHost: r\r\nContent-Length: 1\r\n\r\nz";
        stream.write_all(request).expect("sends");
        drop(stream);
    }
    std::thread::sleep(Duration::from_secs(1));
    for member in 1..=3 {
        assert_eq!(evacuated_zones(&group, member), ["z"]);
    }
}

/// Guards against a change that is delayed between two registries, and reaches the leader after a later one.
#[test]
fn a_delayed_proposal_does_not_undo_a_later_zone_change() {
    let mut group = Group::form("delayed", 88, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.request_until_ok(1, "POST", "/zone", "z");
    let before = last_zone_change(&group, 1);
    group.request_until_ok(2, "DELETE", "/zone", "z");
    group.request_until_ok(3, "POST", "/zone", "z");
    // The message that registry 2 might have sent for the first request, to each member that may lead.
    for member in 1..=3 {
        let mut link = TcpStream::connect(group.link_address(member)).expect("connects");
        link.write_all(&delayed_restore(before)).expect("sends");
        std::thread::sleep(Duration::from_millis(300));
    }
    for member in 1..=3 {
        assert_eq!(evacuated_zones(&group, member), ["z"], "member {member}");
    }
    // It is applied if nothing has changed since.
    let current = last_zone_change(&group, 1);
    for member in 1..=3 {
        let mut link = TcpStream::connect(group.link_address(member)).expect("connects");
        link.write_all(&delayed_restore(current)).expect("sends");
        std::thread::sleep(Duration::from_millis(300));
    }
    assert!(evacuated_zones(&group, 1).is_empty());
    group.stop(1);
}

/// Index of the last change of the evacuated zones.
fn last_zone_change(group: &Group, member: u8) -> u64 {
    let mut link = GatewayLink::open(group, member);
    loop {
        if let RegistryMessage::EvacuatedZones { index, .. } = link.read() {
            return index;
        }
    }
}

/// A `PeerMessage::Propose` that restores the zone "z", with the index of the last zone change that its sender knew.
fn delayed_restore(last_zone_change: u64) -> Vec<u8> {
    let body = postcard::to_stdvec(&(
        // `LinkMessage::Peer`, `PeerMessage::Propose`, sender, request, `Command::Restore`.
        (0_u32, 2_u32, 1_u64, 1_u64, 2_u32),
        "z",
        Some(last_zone_change),
    ))
    .expect("encodes");
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Reads messages of a new link until one tells the state of a target, possibly as restored from disk.
fn read_state(group: &Group, member: u8, id: &str) -> TargetState {
    let mut link = GatewayLink::open(group, member);
    loop {
        let (RegistryMessage::Targets(records) | RegistryMessage::RestoredTargets(records)) =
            link.read()
        else {
            continue;
        };
        if let Some(record) = records.iter().find(|record| &*record.id == id) {
            return record.state;
        }
    }
}

/// Copies the data folders as they are, and starts all members anew on the copies, as after a kill of all processes.
fn restart_from_copies(group: &mut Group, members: &[u8]) {
    let copies = group.folder.join("copies");
    for member in members {
        let copy = copies.join(member.to_string());
        std::fs::create_dir_all(&copy).expect("creates a folder");
        let files = std::fs::read_dir(group.folder.join(member.to_string())).expect("has a folder");
        for file in files {
            let path = file.expect("a file").path();
            // A file that is being replaced may be gone.
            let _ = std::fs::copy(&path, copy.join(path.file_name().expect("a name")));
        }
    }
    for member in members {
        group.stop(*member);
    }
    for member in members {
        let folder = group.folder.join(member.to_string());
        std::fs::remove_dir_all(&folder).expect("has a folder");
        std::fs::rename(copies.join(member.to_string()), folder).expect("has a copy");
        group.start(*member, false);
    }
}

/// Guards against an engine that is in use again after all processes were killed: its departure was acknowledged when
/// it was in memory only.
#[test]
fn an_acknowledged_departure_is_on_the_disks_of_a_majority() {
    let mut group = Group::form("departure", 84, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    for id in ["leaves", "drains", "stays"] {
        group.request_until_ok(1, "PUT", "/target", id);
    }
    // The warm-start state is saved 250 ms after a change.
    std::thread::sleep(Duration::from_secs(1));
    group.request_until_ok(2, "PUT", "/draining", "drains");
    group.request_until_ok(3, "DELETE", "/target", "leaves");
    restart_from_copies(&mut group, &[1, 2, 3]);
    let states = |id: &str| -> Vec<TargetState> {
        (1..=3).map(|member| read_state(&group, member, id)).collect()
    };
    let (left, drained) = (states("leaves"), states("drains"));
    let count = |states: &[TargetState], state| states.iter().filter(|s| **s == state).count();
    assert!(count(&left, TargetState::Gone) >= 2, "{left:?}");
    assert!(count(&drained, TargetState::Draining) >= 2, "{drained:?}");
    assert_eq!(states("stays"), [TargetState::Ready; 3]);
}

/// Guards against an acknowledgement of a departure that one lost disk undoes.
#[test]
fn a_departure_is_not_acknowledged_without_a_majority() {
    let mut group = Group::form("departure-minority", 85, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.request_until_ok(1, "PUT", "/target", "leaves");
    std::thread::sleep(Duration::from_secs(1));
    group.stop(2);
    group.stop(3);
    let mut link = GatewayLink::open(&group, 1);
    assert_eq!(group.request(1, "DELETE", "/target", "leaves").map(|r| r.0), Some(503));
    // The gateways are told all the same.
    link.read_until_target(|record| record.state == TargetState::Gone);
    group.start(2, false);
    group.request_until_ok(1, "DELETE", "/target", "leaves");
}

/// Guards against departures that are acknowledged with copies on registries outside the group.
#[test]
fn a_registry_outside_the_group_acknowledges_no_departure_by_itself() {
    let mut group = Group::form("outside", 96, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    for member in [2, 3] {
        group.stop(member);
    }
    group.seeds = vec![1];
    group.start(4, false);
    group.seeds = vec![1, 4];
    group.start(5, false);
    group.request_until_ok(4, "PUT", "/target", "t");
    std::thread::sleep(Duration::from_secs(2));
    let status = group.request(4, "DELETE", "/target", "t").map(|response| response.0);
    assert_eq!(status, Some(503), "one of three voters has stored it");
    group.start(2, false);
    group.request_until_ok(4, "DELETE", "/target", "t");
}

/// Guards against a departure that is taken for that of an earlier start, by a registry that was away while the target
/// started again: it was acknowledged, and no other registry and no gateway learnt it.
#[test]
fn a_departure_without_a_start_is_that_of_the_newest_start_any_registry_knows() {
    let mut group = Group::form("newest-start", 89, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.request_until_ok(1, "PUT", "/target", "t");
    // The warm-start state is saved 250 ms after a change.
    std::thread::sleep(Duration::from_secs(1));
    group.stop(3);
    group.request_until_ok(1, "PUT", "/second-start", "t");
    group.start(3, false);
    let mut link = GatewayLink::open(&group, 2);
    group.request_until_ok(3, "DELETE", "/target", "t");
    link.read_until_target(|record| record.started_ms == 2 && record.state == TargetState::Gone);
}

/// Guards against a registry that was away and never learns the changes that it missed.
#[test]
fn a_registry_that_was_away_learns_the_targets_that_changed_meanwhile() {
    let mut group = Group::form("resync", 90, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.request_until_ok(1, "PUT", "/target", "t");
    std::thread::sleep(Duration::from_secs(1));
    group.stop(3);
    group.request_until_ok(1, "PUT", "/second-start", "t");
    std::thread::sleep(Duration::from_secs(2));
    group.start(3, false);
    let mut link = GatewayLink::open(&group, 3);
    link.read_until_target(|record| record.started_ms == 2);
}

/// Guards against a dead target that counts as alive again, because registries sent its record to one that was away.
#[test]
fn a_target_that_nobody_heard_from_is_not_confirmed_to_a_registry_that_was_away() {
    let mut group = Group::form("resync-silent", 91, &[1, 2, 3]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    group.request_until_ok(1, "PUT", "/target", "dead");
    group.request_until_ok(1, "PUT", "/target", "changed");
    std::thread::sleep(Duration::from_millis(2_500));
    group.stop(3);
    group.request_until_ok(1, "PUT", "/second-start", "changed");
    std::thread::sleep(Duration::from_secs(2));
    group.start(3, false);
    GatewayLink::open(&group, 3).read_until_target(|record| record.started_ms == 2);
    let mut link = GatewayLink::open(&group, 3);
    loop {
        match link.read() {
            RegistryMessage::Targets(records) => {
                assert!(records.iter().all(|record| &*record.id != "dead"), "{records:?}");
            }
            RegistryMessage::RestoredTargets(records) => {
                let ids: Vec<&str> = records.iter().map(|record| &*record.id).collect();
                assert_eq!(ids, ["dead"]);
                return;
            }
            _ => {}
        }
    }
}

#[test]
fn a_quarantined_part_is_told_to_new_gateways_and_kept_over_a_restart() {
    let mut group = Group::form("parts", 81, &[1]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    let mut link = GatewayLink::open_as(&group, 1, true);
    assert_eq!(link.read_part_statuses(), []);
    let crash = |number: u64| CrashReport {
        engine: format!("e{number}").into(),
        age_ms: 2_000 - number * 500,
        request_key: number,
        parts: vec![
            CrashedPart { id: 1, survived_age_ms: Some(0) },
            CrashedPart { id: 66, survived_age_ms: None },
        ],
    };
    let crashes = (0..3).map(crash).collect();
    link.send(GatewayMessage::PartReports { crashes, statuses: Vec::new() });
    let ids = |statuses: &[PartStatus]| -> Vec<(u64, bool)> {
        statuses.iter().map(|s| (s.id, s.quarantined_age_ms.is_some())).collect()
    };
    assert_eq!(ids(&link.read_part_statuses()), [(66, false)], "gateways are asked first");
    assert_eq!(ids(&link.read_part_statuses()), [(66, true)]);
    let mut second = GatewayLink::open_as(&group, 1, true);
    assert!(
        matches!(second.read(), RegistryMessage::PartStatuses(statuses) if ids(&statuses) == [(66, true)]),
        "before the configuration"
    );
    // The warm-start state is saved 250 ms after a change.
    std::thread::sleep(Duration::from_secs(1));
    group.stop(1);
    group.start(1, false);
    std::thread::sleep(Duration::from_millis(500));
    let mut third = GatewayLink::open_as(&group, 1, true);
    assert_eq!(ids(&third.read_part_statuses()), [(66, true)]);
    let survival = PartStatus {
        id: 66,
        quarantined_age_ms: None,
        requested_age_ms: 0,
        survived_age_ms: Some(0),
    };
    third.send(GatewayMessage::PartReports { crashes: Vec::new(), statuses: vec![survival] });
    let released = third.read_part_statuses()[0];
    assert!(released.survived_age_ms <= released.quarantined_age_ms, "{released:?}");
}

#[test]
fn malformed_requests_get_an_error_response() {
    let group = Group::form("bad", 77, &[1]);
    group.request_until_ok(1, "PUT", "/config", "1 a");
    let status_of = |request: &str| {
        let mut stream = TcpStream::connect(group.public_address(1)).expect("connects");
        stream.write_all(request.as_bytes()).expect("sends");
        let mut response = String::new();
        let _ = stream.read_to_string(&mut response);
        response.split(' ').nth(1).unwrap_or_default().to_owned()
    };
    assert_eq!(status_of("nonsense\r\n\r\n"), "400");
    assert_eq!(
        status_of("PUT /config HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx"),
        "400"
    );
    assert_eq!(status_of(&format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(20_000))), "431");
}
