//! Helpers shared by the integration tests.

#![allow(dead_code)]

use std::sync::Arc;

use mulberry_types::{
    Announcement, HomeDigest, Incarnation, LoadReport, MembershipEpoch, NodeId, Priority,
    RequestId, Reserve, TargetDigest, TargetKind,
};
use proptest::test_runner::{Config, RngSeed};

/// Runs the same cases each time. `MULBERRY_CASES` changes their number and `MULBERRY_SEED` the seed.
pub fn config(cases: u32) -> Config {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let cases = number("MULBERRY_CASES").map_or(cases, |cases| cases as u32);
    let seed = number("MULBERRY_SEED").unwrap_or(20_261_204);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    }
}

pub fn request(node: u32, counter: u64) -> RequestId {
    RequestId { node: NodeId(node), incarnation: Incarnation(u64::from(node)), counter }
}

pub fn engine(name: &str, boot_id: u64, memory_tokens: u64, slots: u32) -> Announcement {
    Announcement {
        target: name.into(),
        boot_id,
        kind: TargetKind::Engine { models: vec!["m".into()] },
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        memory_tokens,
        slots,
        prefill_tokens_per_s: 10_000,
        step_ms: 20,
        weight_version: "1".into(),
        checks_fence: true,
        leaving: false,
        load: LoadReport::default(),
    }
}

pub fn reserve(target: &str, request: RequestId, prompt_tokens: u64, total: u64) -> Reserve {
    Reserve {
        request,
        target: target.into(),
        epoch: MembershipEpoch(1),
        prompt_tokens,
        total_tokens: total,
        priority: Priority::Normal,
        remaining_ms: 60_000,
        max_first_token_ms: None,
    }
}

pub fn target_digest(name: &str, memory_tokens: u64, slots: u32) -> TargetDigest {
    TargetDigest {
        target: name.into(),
        boot_id: 1,
        kind: TargetKind::Engine { models: vec!["m".into()] },
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        memory_tokens,
        free_tokens: memory_tokens,
        free_slots: slots,
        taken_slots: 0,
        slots,
        prefill_tokens_per_s: 10_000,
        queued_prompt_tokens: [0; 3],
        long_prefill: false,
        takes_work: true,
    }
}

pub fn home_digest(node: u32, sequence: u64, targets: Vec<TargetDigest>) -> HomeDigest {
    HomeDigest {
        node: NodeId(node),
        incarnation: Incarnation(u64::from(node)),
        epoch: MembershipEpoch(1),
        sequence,
        targets,
    }
}

pub fn names(prefix: &str, count: usize) -> Vec<Arc<str>> {
    (0..count).map(|index| format!("{prefix}-{index}").into()).collect()
}
