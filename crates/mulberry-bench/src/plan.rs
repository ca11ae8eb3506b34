//! What is sent when, as follows from the seed of an experiment.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::experiment::{CallLoad, CompletionLoad, Experiment};
use crate::prompt::Prompt;

/// Longest time between a call and the same call through another entry.
const MAX_RESEND_DELAY_MS: u64 = 100;

/// One request of an experiment.
#[derive(Debug, Clone, PartialEq)]
pub struct Planned {
    /// Time after the start, warm-up included.
    pub at: Duration,

    /// Index of the workspace.
    pub workspace: usize,

    /// Chooses among the entries that are ready.
    pub entry_draw: usize,

    pub kind: PlannedKind,
}

/// Kind of a planned request. `load` is the index in the experiment.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannedKind {
    Completion {
        load: usize,
        prompt: Prompt,
        max_tokens: u32,
    },

    /// `number` is the same for a call and for its copy through another entry.
    Call {
        load: usize,
        number: u64,
        body_bytes: usize,
        is_resend: bool,
    },
}

/// All requests of an experiment in the order of their times.
pub fn plan(experiment: &Experiment) -> Vec<Planned> {
    let mut planned = Vec::new();
    let end = Duration::from_millis(experiment.warm_up_ms + experiment.duration_ms);
    for (index, load) in experiment.completions.iter().enumerate() {
        let mut random = generator(experiment.seed, index as u64);
        for at in arrivals(&mut random, load.rate_per_s, end) {
            let workspace = choose_workspace(experiment, &mut random, load.workspace.as_ref());
            let entry_draw = random.random_range(0..1 << 20);
            let kind = completion(&mut random, index, load, experiment.seed);
            planned.push(Planned { at, workspace, entry_draw, kind });
        }
    }
    for (index, load) in experiment.calls.iter().enumerate() {
        let mut random = generator(experiment.seed, 1_000 + index as u64);
        for (number, at) in arrivals(&mut random, load.rate_per_s, end).into_iter().enumerate() {
            let workspace = choose_workspace(experiment, &mut random, load.workspace.as_ref());
            let entry_draw = random.random_range(0..1 << 20);
            let [shortest, longest] = load.body_bytes;
            let body_bytes = random.random_range(shortest..=longest);
            let call = |is_resend| PlannedKind::Call {
                load: index,
                number: number as u64,
                body_bytes,
                is_resend,
            };
            planned.push(Planned { at, workspace, entry_draw, kind: call(false) });
            if is_resent(&mut random, load) {
                let delay = random.random_range(0..=MAX_RESEND_DELAY_MS);
                let at = at + Duration::from_millis(delay);
                let entry_draw = entry_draw + 1;
                planned.push(Planned { at, workspace, entry_draw, kind: call(true) });
            }
        }
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn generator(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}

/// Times of Poisson arrivals before `end`.
fn arrivals(random: &mut ChaCha8Rng, rate_per_s: f64, end: Duration) -> Vec<Duration> {
    let mut times = Vec::new();
    if rate_per_s <= 0.0 {
        return times;
    }
    let mut at_s = 0.0;
    loop {
        at_s -= (1.0 - random.random::<f64>()).ln() / rate_per_s;
        if at_s >= end.as_secs_f64() {
            return times;
        }
        times.push(Duration::from_secs_f64(at_s));
    }
}

fn choose_workspace(
    experiment: &Experiment,
    random: &mut ChaCha8Rng,
    fixed: Option<&Arc<str>>,
) -> usize {
    let workspaces = &experiment.workspaces;
    if let Some(name) = fixed {
        return workspaces.iter().position(|known| known.name == *name).unwrap_or_default();
    }
    let total: f64 = workspaces.iter().map(|workspace| workspace.weight).sum();
    let mut draw = random.random::<f64>() * total;
    for (index, workspace) in workspaces.iter().enumerate() {
        draw -= workspace.weight;
        if draw < 0.0 {
            return index;
        }
    }
    0
}

fn completion(
    random: &mut ChaCha8Rng,
    index: usize,
    load: &CompletionLoad,
    seed: u64,
) -> PlannedKind {
    let [shortest, longest] = load.prompt_tokens.map(|tokens| (tokens as f64).ln());
    let drawn = (shortest + random.random::<f64>() * (longest - shortest)).exp().round();
    let tokens = (drawn as u64).clamp(load.prompt_tokens[0], load.prompt_tokens[1]);
    let max_tokens = random.random_range(load.answer_tokens[0]..=load.answer_tokens[1]);
    let prefix_seed = (random.random::<f64>() < load.shared_prefix_share).then(|| {
        let prefix = random.random_range(0..load.prefixes);
        generator(seed, 2_000 + u64::from(prefix)).random()
    });
    let prompt = Prompt { tokens, seed: random.random(), prefix_seed };
    PlannedKind::Completion { load: index, prompt, max_tokens }
}

fn is_resent(random: &mut ChaCha8Rng, load: &CallLoad) -> bool {
    load.with_key && random.random::<f64>() < load.resend_share
}
