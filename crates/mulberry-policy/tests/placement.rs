//! Guards against placing requests on targets that must not or cannot take them, and against bursts
//! to one engine.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::{home_digest, names, request, target_digest};
use mulberry_policy::{
    FleetView, LONG_PROMPT_TOKENS, LongPrefillCap, NoCandidateReason, PlacementPolicy,
    PlacementRequest, Ranking, TargetSelector,
};
use mulberry_types::{
    Configuration, Member, Membership, MembershipEpoch, NodeId, Priority, TargetDigest,
    TargetOverride, TargetState, Zone, ZoneState,
};
use proptest::prelude::*;

const NOW_MS: u64 = 1_000;

fn placement_request(counter: u64, prompt_tokens: u64, max_answer_tokens: u64) -> PlacementRequest {
    PlacementRequest {
        request: request(0, counter),
        service: "m".into(),
        prompt_tokens,
        max_answer_tokens,
        priority: Priority::Normal,
        prefix_hash: None,
        remaining_ms: 60_000,
        excluded: Vec::new(),
    }
}

/// A view of four homes with the targets assigned round robin.
fn view_of(targets: &[TargetDigest], order: &[u32]) -> FleetView {
    let member = |node| Member {
        node: NodeId(node),
        incarnation: mulberry_types::Incarnation(u64::from(node)),
        peer_address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
    };
    let members = (0..4).map(member).collect();
    let mut view = FleetView::new(Arc::default());
    view.membership_applied(&Arc::new(Membership { epoch: MembershipEpoch(1), members }));
    for node in order {
        let own = targets.iter().skip(*node as usize).step_by(4).cloned().collect();
        assert!(view.apply(NOW_MS, home_digest(*node, 1, own)));
    }
    view
}

fn view(targets: &[TargetDigest]) -> FleetView {
    view_of(targets, &[0, 1, 2, 3])
}

fn any_target(index: usize) -> impl Strategy<Value = TargetDigest> {
    let load = (0_u64..=200_000, 0_u32..8, any::<[u16; 3]>());
    (load, 1_u64..=200_000, 0_usize..3, any::<bool>(), prop::bool::weighted(0.9)).prop_map(
        move |((free, free_slots, queued), memory, zone, long_prefill, takes_work)| TargetDigest {
            zone: ["a", "b", "c"][zone].into(),
            free_tokens: free.min(memory),
            free_slots,
            taken_slots: 8 - free_slots,
            queued_prompt_tokens: queued.map(u64::from),
            long_prefill,
            takes_work,
            ..target_digest(&format!("engine-{index}"), memory, 8)
        },
    )
}

fn any_targets() -> impl Strategy<Value = Vec<TargetDigest>> {
    (0_usize..24).prop_flat_map(|count| (0..count).map(any_target).collect::<Vec<_>>())
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    configuration.zones.insert("b".into(), Zone { state: ZoneState::Out });
    let drained = TargetOverride { state: TargetState::Drained };
    configuration.targets.insert("engine-0".into(), drained);
    configuration
}

proptest! {
    #![proptest_config(common::config(512))]

    /// Guards against choosing a target that is out of service, drained, excluded, failing or full.
    #[test]
    fn candidates_can_take_the_request(
        targets in any_targets(),
        prompt_tokens in 1_u64..120_000,
        policy in 0_usize..3,
        prefix_hash in any::<Option<u64>>(),
    ) {
        let policies = [
            PlacementPolicy::ExpectedTime,
            PlacementPolicy::RoundRobin,
            PlacementPolicy::LeastReportedLoad,
        ];
        let view = view(&targets);
        let configuration = configuration();
        let excluded = vec!["engine-1".into(), "engine-5".into()];
        let asked = PlacementRequest { prefix_hash, excluded, ..placement_request(1, prompt_tokens, 500) };
        let selector = TargetSelector::new("a".into(), 1);
        let cap = LongPrefillCap::of(&view, &configuration);
        let usable: BTreeSet<&str> = targets
            .iter()
            .filter(|target| {
                let name = &*target.target;
                let allowed = prompt_tokens <= LONG_PROMPT_TOKENS || cap.allows("m", name);
                let is_out = &*target.zone == "b" || name == "engine-0";
                let excluded = name == "engine-1" || name == "engine-5";
                let has_capacity = target.free_tokens >= prompt_tokens + 500 && target.free_slots > 0;
                target.takes_work && allowed && !is_out && !excluded && has_capacity
            })
            .map(|target| &*target.target)
            .collect();
        match selector.rank(NOW_MS, &asked, &view, &configuration, policies[policy]) {
            Ranking::Candidates(candidates) => {
                let chosen: BTreeSet<&str> =
                    candidates.iter().map(|candidate| &*candidate.target).collect();
                prop_assert_eq!(chosen.len(), candidates.len());
                prop_assert_eq!(candidates.len(), usable.len().min(3));
                prop_assert!(chosen.is_subset(&usable));
            }
            Ranking::NoCandidates { .. } => prop_assert!(usable.is_empty()),
        }
    }

    /// Guards against a split that omits tokens or exceeds an engine's memory.
    #[test]
    fn a_split_covers_the_prompt_and_fits(
        targets in any_targets(),
        prompt_tokens in 1_u64..1_500_000,
        answer_tokens in 0_u64..8_000,
    ) {
        let view = view(&targets);
        let asked = placement_request(1, prompt_tokens, answer_tokens);
        let selector = TargetSelector::new("a".into(), 1);
        let cap = LongPrefillCap::of(&view, &configuration());
        let by_name: BTreeMap<&str, &TargetDigest> =
            targets.iter().map(|target| (&*target.target, target)).collect();
        let Ok(plan) = selector.plan_split(NOW_MS, &asked, &view, &configuration()) else {
            let is_free = |target: &&TargetDigest| target.free_slots > 0 && cap.allows("m", &target.target);
            let free_tokens: u64 = targets.iter().filter(is_free).map(|target| target.free_tokens).sum();
            let largest = targets.iter().filter(is_free).map(|target| target.free_tokens).max();
            let fits = free_tokens >= prompt_tokens + answer_tokens && largest > Some(answer_tokens);
            prop_assert!(!fits, "refused although {free_tokens} tokens are free");
            return Ok(());
        };
        let mut next = 0;
        let mut used = BTreeSet::new();
        for (index, segment) in plan.segments.iter().enumerate() {
            let target = by_name[&*segment.target];
            prop_assert!(used.insert(&segment.target), "two segments on one engine");
            prop_assert!(target.takes_work && cap.allows("m", &segment.target));
            prop_assert_eq!(segment.first_token, next);
            prop_assert!(segment.prompt_tokens > 0);
            prop_assert!(segment.total_tokens <= target.free_tokens);
            let is_last = index + 1 == plan.segments.len();
            let answer = if is_last { answer_tokens } else { 0 };
            prop_assert_eq!(segment.total_tokens, segment.prompt_tokens + answer);
            next += segment.prompt_tokens;
        }
        prop_assert_eq!(next, prompt_tokens);
    }

    /// Guards against entries that disagree on the engines for long prompts, and against long prompts
    /// on more engines than the larger of three quarters and three, while engines come and go.
    #[test]
    fn all_entries_cap_long_prefills_alike(targets in any_targets()) {
        let configuration = configuration();
        let cap = LongPrefillCap::of(&view(&targets), &configuration);
        let other = LongPrefillCap::of(&view_of(&targets, &[2, 0, 3, 1]), &configuration);
        prop_assert_eq!(&cap, &other);
        let ready = targets.iter().filter(|target| {
            target.takes_work && &*target.zone != "b" && &*target.target != "engine-0"
        });
        let count = ready.clone().count();
        let max_engines = (count * 3 / 4).max(count.min(3));
        let busy = ready.clone().filter(|target| target.long_prefill).count();
        let idle = ready
            .filter(|target| !target.long_prefill && cap.allows("m", &target.target))
            .count();
        prop_assert!(cap.engines("m").count() <= max_engines);
        prop_assert!(idle == 0 || idle + busy <= max_engines, "{idle} eligible besides {busy} busy of {count}");
        prop_assert!(busy > 0 || idle == max_engines);
    }

    /// Guards against a burst from one entry to one engine between two digests. Fails if reservations
    /// that no digest shows yet are not counted.
    #[test]
    fn a_burst_between_digests_is_spread(count in 4_usize..20, queued in any::<[u16; 4]>()) {
        let targets: Vec<TargetDigest> = names("engine", count)
            .iter()
            .enumerate()
            .map(|(index, name)| TargetDigest {
                queued_prompt_tokens: [0, u64::from(queued[index % 4]) / 32, 0],
                ..target_digest(name, 1_000_000, 64)
            })
            .collect();
        let view = view(&targets);
        let selector = TargetSelector::new("a".into(), 1);
        let mut sent: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for counter in 0..5 * count as u64 {
            let asked = placement_request(counter, 2_000, 500);
            let policy = PlacementPolicy::ExpectedTime;
            let ranking = selector.rank(NOW_MS, &asked, &view, &Configuration::default(), policy);
            let Ranking::Candidates(candidates) = ranking else { panic!("no candidate although capacity is free") };
            let target = &candidates[0].target;
            let reserve = common::reserve(target, asked.request, 2_000, 2_500);
            view.in_flight().reserve_sent(NOW_MS, &reserve);
            *sent.entry(Arc::clone(target)).or_default() += 1;
        }
        // 2,048 tokens of queue are worth about one request.
        let max_requests = sent.values().max().copied().unwrap_or(0);
        prop_assert!(max_requests <= 7, "{max_requests} of {} to one engine", 5 * count);
    }
}

/// Guards against a ramping target that gets no work while warm ones have free slots, which would
/// keep an availability zone cold after its return until the others are full.
#[test]
fn idle_target_that_ramps_up_comes_before_busier_warm_ones() {
    let warm =
        TargetDigest { free_slots: 24, taken_slots: 8, ..target_digest("warm", 1_000_000, 32) };
    let cold =
        TargetDigest { free_slots: 1, taken_slots: 0, ..target_digest("cold", 1_000_000, 32) };
    let view = view(&[warm, cold]);
    let selector = TargetSelector::new("a".into(), 1);
    for counter in 0..20 {
        let policy = PlacementPolicy::ExpectedTime;
        let asked = placement_request(counter, 200, 50);
        let ranking = selector.rank(NOW_MS, &asked, &view, &Configuration::default(), policy);
        let Ranking::Candidates(candidates) = ranking else {
            panic!("no candidate although capacity is free")
        };
        assert_eq!(&*candidates[0].target, "cold");
    }
}

#[test]
fn a_prefix_prefers_its_engine_up_to_200_ms() {
    let names = names("engine", 6);
    let targets: Vec<TargetDigest> =
        names.iter().map(|name| target_digest(name, 100_000, 8)).collect();
    let selector = TargetSelector::new("a".into(), 1);
    let asked = PlacementRequest { prefix_hash: Some(77), ..placement_request(1, 1_000, 100) };
    let best = |targets: &[TargetDigest]| {
        let (view, policy) = (view(targets), PlacementPolicy::ExpectedTime);
        match selector.rank(NOW_MS, &asked, &view, &Configuration::default(), policy) {
            Ranking::Candidates(candidates) => Arc::clone(&candidates[0].target),
            Ranking::NoCandidates { .. } => panic!("no candidate although capacity is free"),
        }
    };
    let preferred = best(&targets);
    let queued = |tokens| {
        let mut targets = targets.clone();
        for target in targets.iter_mut().filter(|target| target.target == preferred) {
            target.queued_prompt_tokens = [0, tokens, 0];
        }
        targets
    };
    // The engines prefill 10 tokens per millisecond.
    assert_eq!(best(&queued(2_000)), preferred);
    assert_ne!(best(&queued(2_020)), preferred);
}

#[test]
fn late_digests_and_those_of_non_members_are_dropped_and_old_digests_expire() {
    let mut view = view(&[target_digest("engine-0", 1_000, 1)]);
    assert!(!view.apply(NOW_MS, home_digest(0, 1, Vec::new())), "same sequence");
    assert!(!view.apply(NOW_MS, home_digest(9, 5, Vec::new())), "not a member");
    let ranking = |view: &FleetView, now_ms| {
        let policy = PlacementPolicy::ExpectedTime;
        TargetSelector::default().rank(
            now_ms,
            &placement_request(1, 1, 1),
            view,
            &Configuration::default(),
            policy,
        )
    };
    assert!(matches!(ranking(&view, NOW_MS + 2_999), Ranking::Candidates(_)));
    let reason = NoCandidateReason::NoTarget;
    let nothing = Ranking::NoCandidates { reason, retry_after_ms: 1_000 };
    assert_eq!(ranking(&view, NOW_MS + 3_000), nothing);
    let membership = Membership { epoch: MembershipEpoch(2), members: Vec::new() };
    view.membership_applied(&Arc::new(membership));
    assert_eq!(view.targets().count(), 0);
}

/// Guards against retrying a request that cannot meet its deadline, and against counting a
/// reservation twice or not at all around the first digest that shows it.
#[test]
fn late_requests_get_no_retry_time_and_reported_reservations_count_once() {
    let mut view = view(&[target_digest("engine-0", 100_000, 1)]);
    let configuration = Configuration::default();
    let ranking = |view: &FleetView, remaining_ms| {
        let asked = PlacementRequest { remaining_ms, ..placement_request(1, 10_000, 100) };
        let policy = PlacementPolicy::ExpectedTime;
        TargetSelector::default().rank(NOW_MS, &asked, view, &configuration, policy)
    };
    let (reason, retry_after_ms) = (NoCandidateReason::TooLate, 0);
    assert_eq!(ranking(&view, 1_000), Ranking::NoCandidates { reason, retry_after_ms });
    assert!(matches!(ranking(&view, 1_100), Ranking::Candidates(_)));
    let full = Ranking::NoCandidates { reason: NoCandidateReason::Full, retry_after_ms: 250 };
    let reserve = common::reserve("engine-0", request(0, 9), 10, 10);
    view.in_flight().reserve_sent(NOW_MS, &reserve);
    view.in_flight().reserve_granted(NOW_MS + 1, reserve.request, "engine-0");
    let snapshot = view.clone();
    let after = target_digest("engine-0", 100_000, 2);
    view.apply(NOW_MS + 50, home_digest(0, 2, vec![after.clone()]));
    view.prepare(NOW_MS + 50, &configuration);
    assert_eq!(
        view.in_flight().loads().of("engine-0").slots,
        1,
        "the digest may have been created before the grant"
    );
    view.apply(NOW_MS + 300, home_digest(0, 3, vec![after]));
    assert_eq!(ranking(&snapshot, 60_000), full, "the older snapshot lacks the digest");
    view.prepare(NOW_MS + 300, &configuration);
    assert_eq!(view.in_flight().loads().of("engine-0").slots, 0);
}
