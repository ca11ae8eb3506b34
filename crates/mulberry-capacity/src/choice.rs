//! Selection of a target by the time in which it is expected to serve a request.
//!
//! Gateways decide at the same time by views of the same age. If each took the best target, all would take the same
//! one; so each draws two targets by their capacity, and takes the second one only if it is clearly better.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{CapacityView, TargetCapacity};

/// Factor by which a target in another availability zone must be expected to be faster.
const OTHER_ZONE_FACTOR: f64 = 1.3;

/// Weight of failures beyond the usual in the cost of a target.
const FAILURE_FACTOR: f64 = 4.0;

/// Increase of the cost from an unloaded target to one at its limit. Load below the limit costs little time, but leaves
/// less room for the requests of other gateways.
const LOAD_FACTOR: f64 = 0.3;

/// Share of its capacity by which a target at its limit is drawn less often than one without load. A larger share would
/// make the load swing between targets, because all gateways decide by the same, slightly old loads.
const DRAWN_LOAD_SHARE: f64 = 0.25;

/// Cost of the second target drawn, relative to the first, below which it is preferred. Smaller differences lie within
/// the age of the loads.
const PREFERRED_COST: f64 = 0.7;

/// Share of the objective up to which every request is sent to a target without room. From there on, ever fewer are
/// sent, and none whose expected time is beyond the objective.
const SURE_SHARE: f64 = 0.6;

/// Share of the objective for which a request waits for room.
const WAIT_SHARE: f64 = 0.125;

/// Bounds of the time that a refused request is told to wait.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
const MAX_RETRY_AFTER_MS: f64 = 5_000.0;

/// A target that may get the request.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub target: Arc<str>,

    /// Whether it is in the zone of the gateway.
    pub is_local: bool,

    /// Requests that it declares to take at once.
    pub slots: u32,

    /// Whether it is suspended after failures, or silent: used only if all others are, too.
    pub is_avoided: bool,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct RequestNeeds {
    /// Hash of the route's name.
    pub route: u32,

    /// Latency objective.
    pub objective_ms: u64,

    /// Whether the request has waited for room.
    pub has_waited: bool,
}

/// Which target gets a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Index of the candidate.
    Send(usize),

    /// No target has room. The request may wait for `wait_ms` and ask again.
    Wait { wait_ms: u64 },

    /// No target has room, and none is expected to before `retry_after_ms`.
    Refuse { retry_after_ms: u64 },

    /// Nothing is known about the targets.
    Unknown,
}

/// A candidate with what is known about it.
#[derive(Debug, Clone, Copy)]
struct Rated<'a> {
    index: usize,
    candidate: &'a Candidate,
    load: f64,
    own_load: f64,
    limit: f64,
    slowness: f64,
    failure_share: f64,
    trial_share: f64,
}

impl Rated<'_> {
    /// Weight with which the target is drawn: its capacity, less a part of what is used.
    fn weight(&self) -> f64 {
        let use_share = (self.load / self.limit).min(1.0);
        self.limit / self.slowness * (1.0 - DRAWN_LOAD_SHARE * use_share)
    }

    fn has_room(&self) -> bool {
        self.load + 1.0 <= self.limit.max(1.0) + f64::EPSILON
    }

    /// Whether this gateway alone has as many requests there as it declares to take. What other gateways have there is
    /// known too late to tell; the target refuses what is too much.
    fn is_full(&self) -> bool {
        self.own_load >= f64::from(self.candidate.slots.max(1))
    }

    /// Time of one more request, relative to the usual time of its route. The slowness was measured at the present
    /// load, so only load beyond the larger of limit and load adds to it.
    fn expected_time(&self) -> f64 {
        self.slowness * ((self.load + 1.0) / self.limit.max(self.load)).max(1.0)
    }

    fn cost(&self) -> f64 {
        let use_share = ((self.own_load + 1.0) / self.limit).min(2.0);
        let zone_factor = if self.candidate.is_local { 1.0 } else { OTHER_ZONE_FACTOR };
        self.expected_time()
            * (1.0 + LOAD_FACTOR * use_share * use_share)
            * (1.0 + FAILURE_FACTOR * self.failure_share)
            * zone_factor
    }
}

/// Selects a target by the view of the home. `own_load` returns the requests that this gateway has in flight at a target,
/// now and smoothed like those in the view.
pub(crate) fn choose(
    view: &CapacityView,
    candidates: &[Candidate],
    needs: &RequestNeeds,
    own_load: impl Fn(&str) -> (f64, f64),
    random: &mut impl FnMut() -> f64,
) -> Choice {
    let is_any_good = candidates.iter().any(|candidate| !candidate.is_avoided);
    let known: HashMap<&str, &TargetCapacity> =
        view.targets.iter().map(|capacity| (&*capacity.target, capacity)).collect();
    let usual_slowness = usual_slowness(view);
    let rate = |(index, candidate)| {
        rate(index, candidate, known.get(&*candidate.target).copied(), usual_slowness, &own_load)
    };
    let usable: Vec<Rated<'_>> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| !(is_any_good && candidate.is_avoided))
        .map(rate)
        .collect();
    let is_any_free = usable.iter().any(|rated| !rated.is_full());
    let usable: Vec<Rated<'_>> =
        usable.into_iter().filter(|rated| !(is_any_free && rated.is_full())).collect();
    if let Some(tried) = draw_trial(&usable, random) {
        return Choice::Send(tried.index);
    }
    let local = better_of_two(&usable, true, random);
    let other = better_of_two(&usable, false, random);
    let Some(best) = better(local, other) else { return Choice::Unknown };
    let usual_ms = view
        .routes
        .iter()
        .find(|reference| reference.route == needs.route)
        .map(|reference| f64::from(reference.usual_us) / 1_000.0);
    let Some(usual_ms) = usual_ms else { return Choice::Send(best.index) };
    let expected_share = usual_ms * best.expected_time() / needs.objective_ms.max(1) as f64;
    if best.has_room() || (expected_share <= SURE_SHARE && !best.is_full()) {
        return Choice::Send(best.index);
    }
    let with_room = usable.iter().filter(|rated| rated.has_room());
    if let Some(slower) = with_room.min_by(|a, b| a.cost().total_cmp(&b.cost())) {
        return Choice::Send(slower.index);
    }
    admit_without_room(&best, usual_ms, expected_share, needs, random)
}

/// Decides about a request for which no target has room.
fn admit_without_room(
    best: &Rated<'_>,
    usual_ms: f64,
    expected_share: f64,
    needs: &RequestNeeds,
    random: &mut impl FnMut() -> f64,
) -> Choice {
    let admitted_share = (1.0 - expected_share) / (1.0 - SURE_SHARE);
    if !best.is_full() && random() < admitted_share {
        return Choice::Send(best.index);
    }
    if !needs.has_waited {
        return Choice::Wait { wait_ms: (needs.objective_ms as f64 * WAIT_SHARE).round() as u64 };
    }
    // The requests beyond the limit end one after the other, each gap being a limit-th of a request's time.
    let excess = (best.load + 1.0 - best.limit).max(1.0);
    let until_room_ms = usual_ms * best.slowness * excess / best.limit;
    let retry_after_ms = until_room_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    Choice::Refuse { retry_after_ms: retry_after_ms.ceil() as u64 }
}

fn rate<'a>(
    index: usize,
    candidate: &'a Candidate,
    known: Option<&TargetCapacity>,
    usual_slowness: f64,
    own_load: impl Fn(&str) -> (f64, f64),
) -> Rated<'a> {
    let slots = f64::from(candidate.slots.max(1));
    let (own, own_smoothed) = own_load(&candidate.target);
    let others = (known.map_or(0.0, TargetCapacity::load) - own_smoothed).max(0.0);
    Rated {
        index,
        candidate,
        load: others + own,
        own_load: own,
        // The target may have announced fewer slots since.
        limit: known.map_or(slots, TargetCapacity::limit).clamp(1.0, slots),
        slowness: known.map_or(usual_slowness, TargetCapacity::slowness),
        failure_share: known.map_or(0.0, |known| f64::from(known.failure_percent) / 100.0),
        trial_share: known.map_or(0.0, |known| f64::from(known.trial_permille) / 1_000.0),
    }
}

fn usual_slowness(view: &CapacityView) -> f64 {
    let mut all: Vec<f64> = view.targets.iter().map(TargetCapacity::slowness).collect();
    all.sort_by(f64::total_cmp);
    all.get(all.len().saturating_sub(1) / 2).copied().unwrap_or(1.0)
}

/// Draws a target that needs a trial, with the share that the home has set for each.
fn draw_trial<'a>(usable: &[Rated<'a>], random: &mut impl FnMut() -> f64) -> Option<Rated<'a>> {
    let mut left = random();
    usable.iter().find_map(|rated| {
        left -= rated.trial_share;
        (left < 0.0 && rated.load < 1.0).then_some(*rated)
    })
}

/// Draws two targets of the gateway's zone, or of the other zones, and returns the better one.
fn better_of_two<'a>(
    usable: &[Rated<'a>],
    is_local: bool,
    random: &mut impl FnMut() -> f64,
) -> Option<Rated<'a>> {
    let drawn_from: Vec<Rated<'a>> =
        usable.iter().filter(|rated| rated.candidate.is_local == is_local).copied().collect();
    let first = draw(&drawn_from, random)?;
    let others: Vec<Rated<'a>> =
        drawn_from.iter().filter(|rated| rated.index != first.index).copied().collect();
    better(Some(first), draw(&others, random))
}

fn draw<'a>(from: &[Rated<'a>], random: &mut impl FnMut() -> f64) -> Option<Rated<'a>> {
    let total: f64 = from.iter().map(Rated::weight).sum();
    let mut left = random() * total;
    let drawn = from.iter().find(|rated| {
        left -= rated.weight();
        left < 0.0
    });
    drawn.or(from.last()).copied()
}

fn better<'a>(first: Option<Rated<'a>>, second: Option<Rated<'a>>) -> Option<Rated<'a>> {
    let (Some(first), Some(second)) = (first, second) else { return first.or(second) };
    Some(if second.cost() < first.cost() * PREFERRED_COST { second } else { first })
}
