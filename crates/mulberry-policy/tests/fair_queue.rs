//! Guards against starvation, shares that do not follow the weights, and requests that stay queued
//! although they cannot finish in time.

mod common;

use std::collections::BTreeMap;

use common::request;
use mulberry_policy::{FairQueue, PlacementClass, QueuedRequest};
use mulberry_types::{LengthClass, Priority};
use proptest::prelude::*;

fn queued(
    counter: u64,
    workspace: u32,
    weight: u32,
    cost_tokens: u64,
    now_ms: u64,
) -> QueuedRequest {
    QueuedRequest {
        request: request(workspace, counter),
        workspace: format!("workspace-{workspace}").into(),
        weight,
        priority: Priority::Normal,
        class: PlacementClass { service: "m".into(), length: LengthClass::of(cost_tokens) },
        cost_tokens,
        queued_ms: now_ms,
        deadline_ms: u64::MAX,
        needed_ms: 0,
    }
}

proptest! {
    #![proptest_config(common::config(64))]

    /// Guards against starvation when workspaces of any priority, weight and prompt length send more
    /// than can be served, and long prompts cannot be placed most of the time. Fails if waiting does
    /// not raise the priority.
    #[test]
    fn no_workspace_starves(
        kinds in prop::collection::vec((0_usize..3, 1_u32..50, 0_usize..3), 2..8),
        seed in any::<u64>(),
    ) {
        let mut queue = FairQueue::new(usize::MAX);
        let mut waiting: BTreeMap<u32, u64> = BTreeMap::new();
        let priorities = [Priority::Low, Priority::Normal, Priority::High];
        let costs = [500, 20_000, 400_000];
        let mut longest_ms = vec![0; kinds.len()];
        for step in 0..6_000_u64 {
            let now_ms = step * 20;
            for (workspace, (priority, weight, cost)) in kinds.iter().enumerate() {
                let workspace = workspace as u32;
                // Each workspace has one request queued and sends the next once it is served.
                if let std::collections::btree_map::Entry::Vacant(vacant) = waiting.entry(workspace) {
                    vacant.insert(now_ms);
                    let request = queued(step, workspace, *weight, costs[*cost], now_ms);
                    let request = QueuedRequest { priority: priorities[*priority], ..request };
                    prop_assert!(queue.push(request).is_ok());
                }
            }
            // One request is served every 20 ms; long prompts can be placed every 200 ms.
            let long_fits = (step + seed % 10) % 10 == 0;
            let popped = queue.pop_next(now_ms, |class| {
                class.length < LengthClass::Long || long_fits
            });
            if let Some(popped) = popped {
                let since_ms = waiting.remove(&popped.request.node.0).unwrap_or(now_ms);
                let longest_ms = &mut longest_ms[popped.request.node.0 as usize];
                *longest_ms = now_ms.max(*longest_ms + since_ms) - since_ms;
            }
            for (workspace, since_ms) in &waiting {
                let longest_ms = &mut longest_ms[*workspace as usize];
                *longest_ms = now_ms.max(*longest_ms + since_ms) - since_ms;
            }
        }
        // 20 s for two priority levels, 10 s for turns, and the rounds that repay the previous
        // request. In each round a workspace spends its credit, which takes 20 ms per 500 tokens.
        let round_ms: u64 = kinds.iter().map(|(_, weight, _)| u64::from(*weight) * 4 + 40).sum();
        for (workspace, (_, weight, cost)) in kinds.iter().enumerate() {
            let rounds = costs[*cost] / (100 * u64::from(*weight));
            let bound_ms = 30_000 + rounds * round_ms;
            prop_assert!(longest_ms[workspace] <= bound_ms, "{workspace} waited {longest_ms:?}");
        }
    }

    /// Guards against shares that do not follow the weights, for requests of any length.
    #[test]
    fn shares_follow_the_weights(weights in prop::collection::vec(1_u32..20, 2..6), seed in any::<u64>()) {
        let mut queue = FairQueue::new(usize::MAX);
        let mut cost = seed;
        let mut served = vec![0_u64; weights.len()];
        let mut counter = 0;
        let push = |queue: &mut FairQueue, workspace: usize, cost: &mut u64, counter: &mut u64| {
            *cost = cost.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            *counter += 1;
            let tokens = 100 + (*cost >> 33) % 8_000;
            let request = queued(*counter, workspace as u32, weights[workspace], tokens, 0);
            queue.push(request).is_ok()
        };
        for workspace in 0..weights.len() {
            for _ in 0..2 {
                prop_assert!(push(&mut queue, workspace, &mut cost, &mut counter));
            }
        }
        for _ in 0..6_000 {
            let popped = queue.pop_next(0, |_| true).expect("the queue is never empty");
            let workspace = popped.request.node.0 as usize;
            served[workspace] += popped.cost_tokens;
            prop_assert!(push(&mut queue, workspace, &mut cost, &mut counter));
        }
        let total: u64 = served.iter().sum();
        let total_weight: u32 = weights.iter().sum();
        for (workspace, weight) in weights.iter().enumerate() {
            let due = total as f64 * f64::from(*weight) / f64::from(total_weight);
            let error = (served[workspace] as f64 - due).abs();
            prop_assert!(error <= 0.02 * due + 20_000.0, "{served:?} for {weights:?}");
        }
    }
}

#[test]
fn priority_comes_before_share_and_a_blocked_class_does_not_block_others() {
    let mut queue = FairQueue::new(10);
    queue.push(queued(1, 1, 1, 20_000, 0)).unwrap();
    queue.push(queued(2, 1, 1, 100, 0)).unwrap();
    let high = QueuedRequest { priority: Priority::High, ..queued(3, 2, 1, 50_000, 0) };
    queue.push(high).unwrap();
    let mut asked = 0;
    let mut next = |long_fits: bool| {
        let popped = queue.pop_next(0, |class| {
            asked += 1;
            class.length < LengthClass::Long || long_fits
        });
        popped.map(|popped| popped.request.counter)
    };
    assert_eq!(next(false), Some(2));
    assert_eq!(next(false), None);
    assert_eq!(next(true), Some(3));
    assert_eq!(next(true), Some(1));
    assert_eq!(asked, 5, "each class is asked once per call");
}

#[test]
fn late_and_cancelled_requests_are_removed_and_a_full_queue_refuses() {
    let mut queue = FairQueue::new(2);
    let late = QueuedRequest { deadline_ms: 5_000, needed_ms: 1_000, ..queued(1, 1, 1, 100, 0) };
    queue.push(late).unwrap();
    queue.push(queued(2, 1, 1, 100, 0)).unwrap();
    assert!(queue.push(queued(3, 2, 1, 100, 0)).unwrap_err().retry_after_ms > 0);
    assert_eq!(queue.waiting_tokens(0, Priority::Normal), 200);
    assert_eq!(queue.waiting_tokens(0, Priority::High), 0);
    assert_eq!(queue.waiting_tokens(10_000, Priority::High), 200);
    assert!(queue.expire(4_000).is_empty());
    let expired = queue.expire(4_001);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].request, request(1, 1));
    assert!(queue.remove(request(1, 2)).is_some());
    assert!(queue.remove(request(1, 2)).is_none());
    assert!(queue.is_empty());
}
