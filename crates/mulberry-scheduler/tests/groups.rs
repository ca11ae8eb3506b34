//! Groups of engines with a home each.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{Arrival, Groups, Placer, engines, mix, on_time, play, profile, scheduler, spec};
use mulberry_routes::ColdStartLimit;
use mulberry_scheduler::{
    Decision, EngineGroups, EngineInfo, GroupCoordinator, GroupLoads, JobId, Outcome, Placement,
    Scheduler, SchedulerSettings, ServiceEngines,
};
use proptest::prelude::*;

/// Published limit of a cold engine.
const PER_S: f64 = 15.0;

/// Times the published limit that may come within a second, and requests beyond: what engines bear.
const BORNE: f64 = PER_S * 1.5 + 5.0;

const GATEWAYS: u32 = 191;

/// Time between two lists of all gateways.
const LIST_EVERY_MS: u64 = 1_200;

fn zones(counts: &[usize]) -> BTreeMap<Arc<str>, usize> {
    counts.iter().enumerate().map(|(zone, count)| (format!("z{zone}").into(), *count)).collect()
}

#[test]
fn only_a_big_fleet_is_divided_and_an_outage_does_not_change_that() {
    assert_eq!(EngineGroups::for_zones(&zones(&[8, 8, 7])), EngineGroups::One);
    assert_eq!(EngineGroups::for_zones(&zones(&[18, 18, 18])), EngineGroups::One);
    assert_eq!(EngineGroups::for_zones(&zones(&[195])), EngineGroups::One);
    // Engines of a fleet of 56 are replaced and some are added, while a burst comes.
    assert_eq!(EngineGroups::for_zones(&zones(&[22, 20, 18])), EngineGroups::One);
    assert_eq!(EngineGroups::for_zones(&zones(&[36, 20, 18])), EngineGroups::One);
    assert_eq!(EngineGroups::for_zones(&zones(&[39; 5])), EngineGroups::ByZone);
    assert_eq!(EngineGroups::for_zones(&zones(&[10, 39, 39, 39, 39])), EngineGroups::ByZone);
    // A quarter of them has been taken away, as on a day on which two sets of engines and a zone were emptied.
    assert_eq!(EngineGroups::for_zones(&zones(&[30, 28, 28, 28, 28])), EngineGroups::ByZone);
    assert_eq!(EngineGroups::ByZone.group_of(&"z1".into()), "z1".into());
    assert_eq!(EngineGroups::One.group_of(&"z1".into()), EngineGroups::One.group_of(&"z2".into()));
}

#[test]
fn another_group_is_asked_only_if_it_is_likely_to_do_better() {
    let usable = zones(&[39, 39, 0]);
    let (own, other): (Arc<str>, Arc<str>) = ("z0".into(), "z1".into());
    let placement = Placement { engine: "e".into(), helpers: Vec::new(), first_event_ms: 300 };
    let placed = Decision::Placed(placement);
    let mut loads = GroupLoads::default();
    let ask = |loads: &GroupLoads, now_ms, is_refused| {
        loads.choose_fallback(now_ms, std::slice::from_ref(&own), is_refused, &usable, 0.5)
    };
    loads.record(0, &own, &placed, 90);
    assert_eq!(ask(&loads, 0, false), Some(other.clone()), "not heard of: half");
    loads.record(100, &other, &placed, 85);
    assert_eq!(ask(&loads, 100, false), None, "as full as the own one");
    assert_eq!(ask(&loads, 100, true), Some(other.clone()), "it may have room for this one");
    loads.record(100, &other, &placed, 30);
    assert_eq!(ask(&loads, 100, false), Some(other.clone()));
    loads.record(200, &other, &Decision::NoEngine, 0);
    assert_eq!(ask(&loads, 200, true), None, "it has just said that it takes nothing");
    assert_eq!(ask(&loads, 1_300, true), Some(other.clone()), "that was long ago");
    let tried = [own.clone(), other];
    assert_eq!(loads.choose_fallback(1_300, &tried, true, &usable, 0.5), None);
}

/// A load of which all requests come in one zone, beside a light one in the others.
fn lopsided(seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (zone, shorts, longs) in [(0, 250.0, 5.0), (1, 37.5, 0.625), (2, 37.5, 0.625)] {
        arrivals.extend(mix(seed + zone, 6, shorts, longs).into_iter().map(|mut arrival| {
            arrival.spec.zone = format!("z{zone}").into();
            arrival
        }));
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

#[test]
fn a_zone_with_most_of_the_load_is_helped_by_the_others() {
    const ENGINES: usize = 120;
    for seed in 1..=3 {
        let load = lopsided(seed * 10);
        let groups = |asks_others| Placer::Groups(Box::new(Groups::new(ENGINES, asks_others)));
        let (shorts, longs) = on_time(&play(ENGINES, &load, groups(true)));
        assert!(shorts >= 0.9, "seed {seed}: {shorts:.3} of the shorts on time");
        assert!(longs >= 0.8, "seed {seed}: {longs:.3} of the longs on time");
        let (alone_shorts, alone_longs) = on_time(&play(ENGINES, &load, groups(false)));
        assert!(
            shorts + longs > alone_shorts + alone_longs,
            "seed {seed}: {shorts:.3} and {longs:.3}, alone {alone_shorts:.3} and {alone_longs:.3}"
        );
    }
}

#[test]
fn even_load_is_served_by_groups_about_as_well_as_by_one_home() {
    const ENGINES: usize = 120;
    for seed in 1..=2 {
        let mut load = mix(seed, 6, 375.0, 7.5);
        for (index, arrival) in load.iter_mut().enumerate() {
            arrival.spec.zone = format!("z{}", index % 3).into();
        }
        let by_one = Placer::Scheduler(Box::new(scheduler(ENGINES)));
        let (one_shorts, one_longs) = on_time(&play(ENGINES, &load, by_one));
        let groups = Placer::Groups(Box::new(Groups::new(ENGINES, true)));
        let (shorts, longs) = on_time(&play(ENGINES, &load, groups));
        assert!(shorts >= one_shorts - 0.05, "seed {seed}: {shorts:.3} against {one_shorts:.3}");
        assert!(longs >= one_longs - 0.05, "seed {seed}: {longs:.3} against {one_longs:.3}");
    }
}

fn cold_engine() -> ServiceEngines {
    let engine = EngineInfo { cold_remaining_ms: 60_000, ..engines(1)[0].clone() };
    let cold = Some(ColdStartLimit { duration_ms: 60_000, requests_per_s: PER_S });
    ServiceEngines { service: "pool".into(), profile: profile(), cold, engines: vec![engine] }
}

fn home(now_ms: u64) -> GroupCoordinator {
    let mut home = GroupCoordinator::new(SchedulerSettings::default(), now_ms);
    home.set_engines(now_ms, &[cold_engine()]);
    home
}

/// A gateway that decides alone, with its rank at the engine.
fn solitary(rank: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    let of = cold_engine();
    scheduler.set_engines(0, &of.service, &of.profile, of.cold, &of.engines);
    scheduler.divide_cold_start_limit(0.4, 1.2, GATEWAYS, |_| rank);
    scheduler
}

#[test]
fn a_question_that_comes_again_is_counted_once_and_gets_the_same_answer() {
    let mut home = GroupCoordinator::new(SchedulerSettings::default(), 0);
    let of = ServiceEngines { cold: None, engines: engines(3), ..cold_engine() };
    home.set_engines(0, &[of]);
    let job = JobId { gateway: 1, number: 1 };
    let first = home.place(5_000, job, &spec(3_000, 300, 250));
    assert!(first.is_placed());
    assert_eq!(home.place(5_040, job, &spec(3_000, 300, 250)), first);
}

#[test]
fn a_home_that_has_just_begun_or_was_paused_spares_cold_engines() {
    let spec = spec(100, 300, 250);
    let mut home = home(0);
    let mut number = 0;
    let mut place = |home: &mut GroupCoordinator, now_ms| {
        number += 1;
        let job = JobId { gateway: 1, number };
        let placed = home.place(now_ms, job, &spec).is_placed();
        home.finish(now_ms, job, Outcome::Done);
        placed
    };
    assert!(!place(&mut home, 500), "the home before may have used the limit");
    assert!(place(&mut home, 1_100));
    // Paused, while others turned to the next home.
    assert!(!place(&mut home, 6_000));
    assert!(!place(&mut home, 6_900));
    assert!(place(&mut home, 7_100));
}

/// Who a gateway turns to.
#[derive(Debug, Clone, Copy)]
enum Turn {
    GroupCoordinator(usize),
    Alone(u32),
}

fn turns() -> impl Strategy<Value = Vec<(u64, Turn)>> {
    let turn = prop_oneof![
        3 => (0..2_usize).prop_map(Turn::GroupCoordinator),
        2 => (0..GATEWAYS).prop_map(Turn::Alone),
    ];
    proptest::collection::vec((0..14_u64, turn), 400..2_000)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Two gateways that both believe to be the home, one of them paused for a time, and all others that decide alone
    /// whenever they like.
    #[test]
    fn a_cold_engine_bears_what_two_homes_and_all_that_decide_alone_send(
        turns in turns(),
        paused_at_ms in 0..9_000_u64,
        paused_for_ms in 0..4_000_u64,
    ) {
        let mut homes = [home(0), home(0)];
        // Each gateway sends its list to one of them, and some turn to the other.
        let mut turned: Vec<usize> = (0..GATEWAYS as usize).map(|at| at % 2).collect();
        let mut listed_ms = 0;
        let mut alone: BTreeMap<u32, Scheduler> = BTreeMap::new();
        let mut starts = Vec::new();
        let mut now_ms = 0;
        for (number, (passed_ms, turn)) in turns.into_iter().enumerate() {
            now_ms += passed_ms;
            let spec = spec(100, 300, 250);
            let job = JobId { gateway: 1, number: number as u64 };
            let to = if let Turn::GroupCoordinator(at) = turn { at } else { 0 };
            let is_paused = (paused_at_ms..paused_at_ms + paused_for_ms).contains(&now_ms);
            if matches!(turn, Turn::GroupCoordinator(_)) {
                turned[number % GATEWAYS as usize] = to;
            }
            if listed_ms + LIST_EVERY_MS <= now_ms {
                listed_ms = now_ms;
                for (gateway, to) in turned.iter().enumerate() {
                    if *to == 0 && is_paused {
                        continue;
                    }
                    homes[*to].sync_jobs(now_ms, gateway as u64, 0, &[]);
                }
                homes.iter_mut().for_each(|home| home.expire(now_ms, GATEWAYS as usize));
            }
            let placed = match turn {
                Turn::GroupCoordinator(0) if is_paused => false,
                Turn::GroupCoordinator(at) => {
                    let placed = homes[at].place(now_ms, job, &spec).is_placed();
                    homes[at].finish(now_ms, job, Outcome::Done);
                    placed
                }
                Turn::Alone(rank) => {
                    let scheduler = alone.entry(rank).or_insert_with(|| solitary(rank));
                    let placed = scheduler.place(now_ms, job, &spec).is_placed();
                    scheduler.finish(now_ms, job, Outcome::Done);
                    placed
                }
            };
            if placed {
                starts.push(now_ms);
            }
        }
        for &begin in &starts {
            let within = starts.iter().filter(|&&at| at >= begin && at < begin + 1_000).count();
            prop_assert!(within as f64 <= BORNE, "{within} starts in the second from {begin} ms");
        }
    }
}
