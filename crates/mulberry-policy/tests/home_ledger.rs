//! Tests of the individual accounting rules of `HomeLedger`.

mod common;

use std::sync::Arc;

use common::{engine, request, reserve};
use mulberry_policy::{
    CleanupOrder, FleetView, HomeLedger, InventoryItem, InventoryKind, LongPrefillCap,
    TargetInventory, reservation_id,
};
use mulberry_types::{
    Configuration, Incarnation, LoadReport, MembershipEpoch, NodeId, RefuseReason, Release,
    ReleaseOutcome, RequestId, Reserve, TargetOverride, TargetState, Zone, ZoneState,
};

fn ledger() -> HomeLedger {
    HomeLedger::new(NodeId(1), Incarnation(1), Arc::new(Configuration::default()))
}

fn item(request: RequestId, tokens: u64, age_ms: u64) -> InventoryItem {
    let id = request.to_string().into();
    InventoryItem { kind: InventoryKind::Stream, id, request: Some(request), tokens, age_ms }
}

fn inventory(requested_ms: u64, items: Vec<InventoryItem>) -> TargetInventory {
    TargetInventory { boot_id: 1, requested_ms, items }
}

/// A ledger that took over an engine of 10,000 tokens at 0 ms and counted its work at 1,500 ms.
fn taken_over_ledger(slots: u32) -> HomeLedger {
    let mut ledger = ledger();
    ledger.announce(0, engine("e", 1, 10_000, slots));
    ledger.announce(1_400, engine("e", 1, 10_000, slots));
    assert!(ledger.reconcile(1_510, "e", &inventory(1_500, Vec::new())).is_empty());
    ledger
}

fn release(ledger: &mut HomeLedger, now_ms: u64, request: RequestId, outcome: ReleaseOutcome) {
    let reservation = reservation_id(request, "e");
    let release = Release { target: "e".into(), reservation, outcome, first_token_ms: None };
    ledger.release(now_ms, &release);
}

/// A ledger whose engine has completed its slow start up to `slots`.
fn warm_ledger(slots: u32) -> HomeLedger {
    let mut ledger = taken_over_ledger(slots);
    for counter in 1_000..1_000 + 4 * u64::from(slots) {
        assert!(ledger.reserve(1_520, &reserve("e", request(9, counter), 1, 1)).is_ok());
        release(&mut ledger, 1_520, request(9, counter), ReleaseOutcome::Succeeded);
    }
    ledger
}

fn refuse_reason(
    ledger: &mut HomeLedger,
    now_ms: u64,
    counter: u64,
    total: u64,
) -> Option<RefuseReason> {
    let asked = reserve("e", request(2, counter), total.min(100), total);
    ledger.reserve(now_ms, &asked).err().map(|refused| refused.reason)
}

#[test]
fn nothing_is_granted_before_the_work_on_the_target_is_counted() {
    let mut ledger = ledger();
    assert_eq!(refuse_reason(&mut ledger, 0, 1, 10), Some(RefuseReason::TargetUnknown));
    ledger.announce(0, engine("e", 1, 10_000, 4));
    assert!(ledger.reconcile(500, "e", &inventory(400, Vec::new())).is_empty());
    assert_eq!(refuse_reason(&mut ledger, 600, 1, 10), Some(RefuseReason::NotHome));
    assert!(ledger.reconcile(1_510, "e", &inventory(1_500, Vec::new())).is_empty());
    assert_eq!(refuse_reason(&mut ledger, 1_520, 1, 10), None);
}

#[test]
fn work_listed_at_a_takeover_counts_against_memory_and_slots() {
    let mut ledger = ledger();
    ledger.announce(0, engine("e", 1, 10_000, 3));
    let found = (0..2).map(|counter| item(request(3, counter), 3_000, 100)).collect();
    ledger.reconcile(1_510, "e", &inventory(1_500, found));
    let digest = ledger.digest(1_510);
    assert_eq!(digest.targets[0].free_tokens, 4_000);
    assert_eq!(digest.targets[0].free_slots, 0, "the ramp starts at the two running streams");
}

#[test]
fn unknown_work_is_kept_for_two_leases_only_if_its_entry_is_a_member() {
    for (removed, cancelled_from_ms) in [(false, 6_000), (true, 2_500)] {
        let mut ledger = ledger();
        ledger.announce(0, engine("e", 1, 10_000, 4));
        if removed {
            ledger.member_removed(NodeId(3), Incarnation(3));
        }
        for now_ms in (1_500..8_000).step_by(500) {
            let orders = ledger.reconcile(
                now_ms,
                "e",
                &inventory(now_ms, vec![item(request(3, 1), 10, now_ms)]),
            );
            let id = request(3, 1).to_string().into();
            let expected = if now_ms >= cancelled_from_ms {
                vec![CleanupOrder::CancelStream { id }]
            } else {
                vec![]
            };
            assert_eq!(orders, expected, "at {now_ms} ms, removed: {removed}");
        }
    }
}

#[test]
fn extended_work_is_never_cancelled_and_is_reregistered_without_the_ramp() {
    let mut ledger = ledger();
    ledger.announce(0, engine("e", 1, 10_000, 4));
    let ids = [reservation_id(request(3, 1), "e")];
    for now_ms in (500..20_000).step_by(500) {
        let unknown = ledger.extend(now_ms, NodeId(3), Incarnation(3), &ids);
        assert_eq!(unknown, ids);
        let items = vec![item(request(3, 1), 10, now_ms)];
        assert!(ledger.reconcile(now_ms, "e", &inventory(now_ms, items)).is_empty());
    }
    ledger.announce(19_500, engine("e", 1, 10_000, 4));
    ledger.reserve(20_000, &reserve("e", request(3, 1), 10, 9_000)).unwrap();
    assert!(ledger.extend(20_000, NodeId(3), Incarnation(3), &ids).is_empty());
    assert_eq!(ledger.digest(20_000).targets[0].free_tokens, 1_000);
}

#[test]
fn a_resent_reserve_gets_the_same_reservation() {
    let mut ledger = taken_over_ledger(1);
    let asked = reserve("e", request(2, 1), 10, 6_000);
    let first = ledger.reserve(1_600, &asked).unwrap();
    assert_eq!(ledger.reserve(1_700, &asked).unwrap(), first);
    assert_eq!(ledger.counts().reservations, 1);
}

#[test]
fn reported_load_beyond_the_reservations_counts_as_taken() {
    let mut ledger = warm_ledger(4);
    let mut announcement = engine("e", 1, 10_000, 4);
    announcement.load = LoadReport { running: 3, waiting: 0, used_tokens: 8_000 };
    ledger.announce(4_000, announcement);
    assert_eq!(refuse_reason(&mut ledger, 4_000, 1, 2_001), Some(RefuseReason::MemoryFull));
    assert_eq!(refuse_reason(&mut ledger, 4_000, 1, 2_000), None);
    assert_eq!(refuse_reason(&mut ledger, 4_000, 2, 1), Some(RefuseReason::SlotsFull));
}

#[test]
fn targets_that_are_out_of_service_drained_leaving_or_not_announced_take_no_work() {
    let mut ledger = warm_ledger(4);
    let mut out = Configuration::default();
    out.zones.insert("a".into(), Zone { state: ZoneState::Out });
    ledger.configuration_applied(Arc::new(out));
    assert_eq!(refuse_reason(&mut ledger, 1_600, 1, 10), Some(RefuseReason::ZoneOut));
    let mut drained = Configuration::default();
    drained.targets.insert("e".into(), TargetOverride { state: TargetState::Drained });
    ledger.configuration_applied(Arc::new(drained));
    assert_eq!(refuse_reason(&mut ledger, 1_600, 1, 10), Some(RefuseReason::TargetDrained));
    ledger.configuration_applied(Arc::new(Configuration::default()));
    // The ramp restarts when the target returns to service.
    assert_eq!(refuse_reason(&mut ledger, 1_600, 1, 10), None);
    assert_eq!(refuse_reason(&mut ledger, 1_600, 2, 10), Some(RefuseReason::ColdRamp));
    assert_eq!(refuse_reason(&mut ledger, 4_400, 3, 10), Some(RefuseReason::TargetUnknown));
    let mut leaving = engine("e", 1, 10_000, 4);
    leaving.leaving = true;
    ledger.announce(4_500, leaving);
    ledger.announce(4_600, engine("e", 1, 10_000, 4));
    assert_eq!(refuse_reason(&mut ledger, 4_600, 4, 10), Some(RefuseReason::TargetLeaving));
    assert!(!ledger.digest(4_600).targets[0].takes_work);
    ledger.expire(64_601);
    assert_eq!(ledger.counts().targets, 0);
}

#[test]
fn a_restart_makes_a_target_cold_and_a_late_announcement_does_not_undo_it() {
    let mut ledger = warm_ledger(4);
    ledger.announce(2_000, engine("e", 2, 10_000, 4));
    ledger.announce(2_100, engine("e", 1, 10_000, 4));
    assert_eq!(ledger.announcement("e").unwrap().boot_id, 2);
    assert_eq!(refuse_reason(&mut ledger, 2_100, 1, 10), None);
    assert_eq!(refuse_reason(&mut ledger, 2_100, 2, 10), Some(RefuseReason::ColdRamp));
    // The older boot id is accepted again once its announcement can no longer be a late one.
    ledger.announce(7_100, engine("e", 1, 10_000, 4));
    assert_eq!(ledger.announcement("e").unwrap().boot_id, 1);
}

#[test]
fn long_prompts_wait_for_the_ramp_and_the_cap() {
    let mut ledger = ledger();
    ledger.announce(0, engine("e", 1, 100_000, 8));
    ledger.reconcile(1_510, "e", &inventory(1_500, Vec::new()));
    let long = reserve("e", request(2, 1), 16_001, 20_000);
    for counter in 10..13 {
        // From a limit of 2, the target accepts a second request, but not a long one.
        ledger.reserve(1_520, &reserve("e", request(2, counter + 10), 1, 1)).unwrap();
        let refused = ledger.reserve(1_520, &long).unwrap_err();
        assert_eq!(refused.reason, RefuseReason::ColdRamp);
        release(&mut ledger, 1_520, request(2, counter + 10), ReleaseOutcome::Unused);
        ledger.reserve(1_520, &reserve("e", request(2, counter), 1, 1)).unwrap();
        release(&mut ledger, 1_520, request(2, counter), ReleaseOutcome::Succeeded);
    }
    let refused = ledger.reserve(1_520, &long).unwrap_err();
    assert_eq!(refused.reason, RefuseReason::LongPrefillCap);
    ledger.retain_targets(MembershipEpoch(1), |_| true);
    let mut view = FleetView::new(Arc::default());
    view.apply(1_520, ledger.digest(1_520));
    let cap = LongPrefillCap::of(&view, &Configuration::default());
    ledger.long_prefill_cap_changed(Arc::new(cap));
    assert!(ledger.reserve(1_520, &long).is_ok());
    assert!(ledger.digest(1_520).targets[0].long_prefill);
}

/// Guards against entries that all queue requests at the same target because outdated digests show
/// it as idle.
#[test]
fn request_that_expects_a_shorter_wait_is_refused_as_busy() {
    let mut ledger = warm_ledger(8);
    let with_limit = |counter, max_first_token_ms| Reserve {
        max_first_token_ms,
        ..reserve("e", request(2, counter), 2_000, 2_100)
    };
    ledger.reserve(1_600, &with_limit(1, Some(300))).unwrap();
    let refused = ledger.reserve(1_600, &with_limit(2, Some(300))).unwrap_err();
    assert_eq!(refused.reason, RefuseReason::Busy);
    assert!(ledger.reserve(1_600, &with_limit(2, None)).is_ok());
}

/// Guards against never serving a long prompt in a fleet without other traffic, because only
/// successes raise the limit of a cold target.
#[test]
fn idle_cold_target_takes_one_long_prompt_alone() {
    let mut ledger = ledger();
    ledger.announce(0, engine("e", 1, 100_000, 8));
    ledger.reconcile(1_510, "e", &inventory(1_500, Vec::new()));
    ledger.retain_targets(MembershipEpoch(1), |_| true);
    let mut view = FleetView::new(Arc::default());
    view.apply(1_520, ledger.digest(1_520));
    let cap = LongPrefillCap::of(&view, &Configuration::default());
    ledger.long_prefill_cap_changed(Arc::new(cap));
    ledger.reserve(1_520, &reserve("e", request(2, 1), 16_001, 20_000)).unwrap();
    for (counter, prompt_tokens) in [(2, 1), (3, 16_001)] {
        let more = reserve("e", request(2, counter), prompt_tokens, 20_000);
        let refused = ledger.reserve(1_520, &more).unwrap_err();
        assert_eq!(refused.reason, RefuseReason::ColdRamp);
    }
}

#[test]
fn five_failures_open_the_breaker_and_one_probe_closes_it() {
    let mut ledger = warm_ledger(8);
    for counter in 0..5 {
        assert_eq!(refuse_reason(&mut ledger, 1_600, counter, 10), None);
        release(&mut ledger, 1_600, request(2, counter), ReleaseOutcome::Failed);
        // The inventory no longer includes the failed work.
        ledger.reconcile(2_360, "e", &inventory(2_351, Vec::new()));
    }
    assert_eq!(refuse_reason(&mut ledger, 1_700, 9, 10), Some(RefuseReason::BreakerOpen));
    ledger.announce(3_500, engine("e", 1, 10_000, 8));
    assert_eq!(refuse_reason(&mut ledger, 3_600, 10, 10), None);
    assert_eq!(refuse_reason(&mut ledger, 3_600, 11, 10), Some(RefuseReason::BreakerOpen));
    release(&mut ledger, 3_700, request(2, 10), ReleaseOutcome::Succeeded);
    assert_eq!(refuse_reason(&mut ledger, 3_700, 12, 10), None);
}

/// Guards against freeing capacity because an older inventory that arrives late lacks the work.
#[test]
fn a_late_inventory_does_not_free_work_that_a_newer_one_includes() {
    let mut ledger = taken_over_ledger(4);
    assert_eq!(refuse_reason(&mut ledger, 1_600, 1, 6_000), None);
    release(&mut ledger, 1_700, request(2, 1), ReleaseOutcome::Cancelled);
    ledger.reconcile(3_510, "e", &inventory(3_500, vec![item(request(2, 1), 6_000, 1_000)]));
    ledger.reconcile(3_600, "e", &inventory(2_500, Vec::new()));
    assert_eq!(ledger.digest(3_600).targets[0].free_tokens, 4_000);
    ledger.reconcile(4_510, "e", &inventory(4_500, Vec::new()));
    assert_eq!(ledger.digest(4_510).targets[0].free_tokens, 10_000);
}
