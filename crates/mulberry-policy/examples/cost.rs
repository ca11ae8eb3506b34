//! Benchmark of the decisions: time per ranking and per reservation, and bytes per target.
//!
//! Run with `cargo run --release -p mulberry-policy --example cost`.

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use mulberry_policy::{
    FleetView, HomeLedger, InventoryItem, PlacementPolicy, PlacementRequest, Ranking,
    TargetInventory, TargetSelector, reservation_id,
};
use mulberry_types::{
    Announcement, Configuration, HomeDigest, Incarnation, LoadReport, Member, Membership,
    MembershipEpoch, NodeId, Priority, Release, ReleaseOutcome, RequestId, Reserve, TargetDigest,
    TargetKind,
};

const SLOTS: u32 = 64;
const MEMORY_TOKENS: u64 = 2_000_000;
const ENGINES_PER_HOME: usize = 13;

fn main() {
    for engines in [20, 400, 4_100] {
        print_ranking(engines);
    }
    print_reservation();
}

fn target_name(index: usize) -> Arc<str> {
    format!("region-1-zone-a-engine-{index:05}").into()
}

fn models() -> TargetKind {
    TargetKind::Engine { models: vec!["large-model".into()] }
}

fn digest(index: usize) -> TargetDigest {
    TargetDigest {
        target: target_name(index),
        boot_id: 0x1234_5678_9abc_def0 ^ index as u64,
        kind: models(),
        address: ([10, 0, (index / 250) as u8, (index % 250) as u8], 8_000).into(),
        zone: "region-1-zone-a".into(),
        memory_tokens: MEMORY_TOKENS,
        free_tokens: MEMORY_TOKENS - 1_000 * (index as u64 % 50),
        free_slots: SLOTS - index as u32 % 20,
        taken_slots: index as u32 % 20,
        slots: SLOTS,
        prefill_tokens_per_s: 12_000,
        queued_prompt_tokens: [0, (index as u64 * 7_919) % 30_000, 0],
        long_prefill: index % 10 == 0,
        takes_work: true,
    }
}

fn view(engines: usize) -> (FleetView, Vec<HomeDigest>) {
    let homes = engines.div_ceil(ENGINES_PER_HOME) as u32;
    let member = |node| Member {
        node: NodeId(node),
        incarnation: Incarnation(1),
        peer_address: ([10, 1, 0, 1], 7_000).into(),
        zone: "region-1-zone-a".into(),
    };
    let epoch = MembershipEpoch(1);
    let members = (0..homes).map(member).collect();
    let mut view = FleetView::new(Arc::default());
    view.membership_applied(&Arc::new(Membership { epoch, members }));
    let mut digests = Vec::new();
    for node in 0..homes {
        let first = node as usize * ENGINES_PER_HOME;
        let targets = (first..engines.min(first + ENGINES_PER_HOME)).map(digest).collect();
        let (node, incarnation) = (NodeId(node), Incarnation(1));
        let digest = HomeDigest { node, incarnation, epoch, sequence: 1, targets };
        view.apply(0, digest.clone());
        digests.push(digest);
    }
    (view, digests)
}

fn print_ranking(engines: usize) {
    let (mut view, digests) = view(engines);
    let configuration = Configuration::default();
    let started = Instant::now();
    view.prepare(1, &configuration);
    let prepare_ns = started.elapsed().as_nanos();
    let selector = TargetSelector::new("region-1-zone-a".into(), 1);
    let rounds = 4_000_000 / engines as u64;
    let rank = |prompt_tokens: u64, prefix_hash: Option<u64>| {
        let started = Instant::now();
        for counter in 0..rounds {
            let request = PlacementRequest {
                request: RequestId { node: NodeId(1), incarnation: Incarnation(1), counter },
                service: "large-model".into(),
                prompt_tokens,
                max_answer_tokens: 1_000,
                priority: Priority::Normal,
                prefix_hash,
                remaining_ms: 60_000,
                excluded: Vec::new(),
            };
            let policy = PlacementPolicy::ExpectedTime;
            let ranking = selector.rank(1, &request, &view, &configuration, policy);
            assert!(matches!(black_box(ranking), Ranking::Candidates(_)));
        }
        started.elapsed().as_nanos() / u128::from(rounds)
    };
    let short_ns = rank(1_000, None);
    let prefix_ns = rank(1_000, Some(7));
    let long_ns = rank(100_000, None);
    let clones = 10_000;
    let started = Instant::now();
    for _ in 0..clones {
        black_box(view.clone());
    }
    let clone_ns = started.elapsed().as_nanos() / clones;
    let encoded: usize = digests
        .iter()
        .map(|digest| postcard::to_stdvec(digest).map_or(0, |bytes| bytes.len()))
        .sum();
    println!(
        "engines={engines} rank_ns={short_ns} rank_prefix_ns={prefix_ns} rank_long_ns={long_ns} \
         prepare_ns={prepare_ns} clone_ns={clone_ns} digest_bytes_per_target={}",
        encoded / engines
    );
}

fn announcement(index: usize) -> Announcement {
    Announcement {
        target: target_name(index),
        boot_id: 1,
        kind: models(),
        address: ([10, 0, 0, 1], 8_000).into(),
        zone: "region-1-zone-a".into(),
        memory_tokens: MEMORY_TOKENS,
        slots: SLOTS,
        prefill_tokens_per_s: 12_000,
        step_ms: 20,
        weight_version: "1".into(),
        checks_fence: true,
        leaving: false,
        load: LoadReport::default(),
    }
}

/// Resident memory of this process; 0 if `/proc` is not available.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}

fn print_reservation() {
    let targets = 20_000;
    let mut ledger = HomeLedger::new(NodeId(1), Incarnation(1), Arc::new(Configuration::default()));
    let before = resident_bytes();
    for index in 0..targets {
        ledger.announce(0, announcement(index));
    }
    let idle = resident_bytes();
    let mut request = RequestId { node: NodeId(2), incarnation: Incarnation(1), counter: 0 };
    let mut next = || {
        request.counter += 1;
        request
    };
    let reserve = |request: RequestId, index: usize| Reserve {
        request,
        target: target_name(index),
        epoch: MembershipEpoch(1),
        prompt_tokens: 1_000,
        total_tokens: 2_000,
        priority: Priority::Normal,
        remaining_ms: 60_000,
        max_first_token_ms: None,
    };
    // Take the targets over while busy, so that slow start does not limit the load.
    for index in 0..targets {
        let name = target_name(index);
        let items: Vec<InventoryItem> = (0..SLOTS)
            .map(|stream| InventoryItem {
                kind: mulberry_policy::InventoryKind::Stream,
                id: format!("{stream}").into(),
                request: None,
                tokens: 1,
                age_ms: 0,
            })
            .collect();
        let inventory = TargetInventory { boot_id: 1, requested_ms: 2_000, items };
        ledger.reconcile(2_000, &name, &inventory);
        let inventory = TargetInventory { boot_id: 1, requested_ms: 2_100, items: Vec::new() };
        ledger.reconcile(2_100, &name, &inventory);
    }
    let mut held = HashMap::new();
    let half = SLOTS as usize / 2;
    let started = Instant::now();
    for _ in 0..half {
        for index in 0..targets {
            let asked = reserve(next(), index);
            let reserved = ledger.reserve(2_200, &asked).expect("the target has capacity");
            held.insert(reserved.reservation, index);
        }
    }
    let fill_ns = started.elapsed().as_nanos() / (half * targets) as u128;
    let full = resident_bytes();
    let rounds = 200_000;
    let started = Instant::now();
    for round in 0..rounds {
        let asked = reserve(next(), round % targets);
        black_box(ledger.reserve(2_200, &asked)).expect("the target has capacity");
        let release = Release {
            reservation: reservation_id(asked.request, &asked.target),
            target: asked.target,
            outcome: ReleaseOutcome::Succeeded,
            first_token_ms: Some(100),
        };
        ledger.release(2_200, &release);
    }
    let pair_ns = started.elapsed().as_nanos() / rounds as u128;
    let started = Instant::now();
    let digest = black_box(ledger.digest(2_200));
    let digest_ns = started.elapsed().as_nanos() / digest.targets.len() as u128;
    let started = Instant::now();
    ledger.expire(2_300);
    let expire_ns = started.elapsed().as_nanos() / targets as u128;
    println!(
        "reserve_ns={fill_ns} reserve_and_release_ns={pair_ns} reservations_per_target={half} \
         digest_ns_per_target={digest_ns} expire_ns_per_target={expire_ns} \
         idle_bytes_per_target={} bytes_per_reservation={}",
        idle.saturating_sub(before) / targets,
        full.saturating_sub(idle) / held.len()
    );
}
