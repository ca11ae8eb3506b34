//! Division of scarce room among workspaces, and of a workspace's share among its requests.
//!
//! The division is max-min fair in the dominant resource: no workspace gets more by what another one is refused, except
//! from those that have more than it already. A workspace can't raise its share by asking for more or more often.

/// Resources of the engines: engine time and memory times time, as fractions of what all usable engines have.
pub(crate) const RESOURCES: usize = 2;

/// Amounts of each resource.
pub(crate) type Amounts = [f64; RESOURCES];

/// Fraction of a workspace's share that each later rank keeps while earlier ones want all of it.
const RANK_FLOOR: f64 = 0.15;

/// Upper limit of all floors together.
const MAX_FLOORS: f64 = 0.5;

/// Index of the resource of which `amounts` is the largest fraction.
pub(crate) fn dominant(amounts: &Amounts) -> usize {
    usize::from(amounts[1] > amounts[0])
}

/// Largest dominant share that each workspace may have so that all shares together fit; infinite if all demands fit.
pub(crate) fn fair_level(demands: &[Amounts]) -> f64 {
    let total = |resource: usize| demands.iter().map(|demand| demand[resource]).sum::<f64>();
    if (0..RESOURCES).all(|resource| total(resource) <= 1.0) {
        return f64::INFINITY;
    }
    let share = |demand: &Amounts| demand[dominant(demand)];
    let mut ascending: Vec<&Amounts> =
        demands.iter().filter(|demand| share(demand) > 0.0).collect();
    ascending.sort_by(|a, b| share(a).total_cmp(&share(b)));
    let mut satisfied = [0.0; RESOURCES];
    // Amounts of those not satisfied yet, for each unit of the level.
    let mut growing = [0.0; RESOURCES];
    for demand in &ascending {
        for resource in 0..RESOURCES {
            growing[resource] += demand[resource] / share(demand);
        }
    }
    for demand in &ascending {
        let limit = |resource: usize| (1.0 - satisfied[resource]) / growing[resource].max(1e-12);
        let level = (0..RESOURCES).map(limit).fold(f64::INFINITY, f64::min);
        if level <= share(demand) {
            return level.max(0.0);
        }
        for resource in 0..RESOURCES {
            satisfied[resource] += demand[resource];
            growing[resource] -= demand[resource] / share(demand);
        }
    }
    f64::INFINITY
}

/// Part of a workspace's share `level` that its requests of `rank` may use. `demands` are its demands by rank, the first
/// to be served first. Later ranks keep a floor, so that none of them waits for all earlier ones.
pub(crate) fn rank_share<R: PartialEq>(level: f64, demands: &[(R, f64)], rank: &R) -> f64 {
    let floor = level * RANK_FLOOR.min(MAX_FLOORS / demands.len().max(1) as f64);
    let mut left = level;
    let mut floors: f64 = demands.iter().skip(1).map(|(_, demand)| demand.min(floor)).sum();
    for (index, (at, demand)) in demands.iter().enumerate() {
        if index > 0 {
            floors -= demand.min(floor);
        }
        let share = (left - floors).max(0.0);
        if at == rank {
            return share;
        }
        left -= demand.min(share);
    }
    left.max(0.0)
}
