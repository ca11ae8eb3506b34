//! Experiment files.

use std::net::SocketAddr;
use std::sync::Arc;

use mulberry_types::SettingsError;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Most requests in flight. Each takes a thread.
pub const MAX_IN_FLIGHT: usize = 600;

/// An experiment: who sends what to whom for how long.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Experiment {
    /// Name under which results are compared.
    pub name: String,

    /// Decides arrivals, lengths and texts. The same seed sends the same requests at the same times.
    pub seed: u64,

    pub entries: Vec<Entry>,

    /// Engines and services whose accounting is read at the end.
    pub engines: Vec<SocketAddr>,
    pub services: Vec<SocketAddr>,

    pub model: String,

    /// Time at the start whose requests are sent and checked for errors, but not measured.
    pub warm_up_ms: u64,

    /// Measured time after the warm-up.
    pub duration_ms: u64,

    /// Requests in flight; requests beyond are not sent and counted as such.
    pub max_in_flight: usize,

    /// Time after a request's deadline beyond which an answer is late.
    pub late_after_ms: u64,

    /// Time after a request's deadline beyond which a request without an outcome is lost.
    pub lost_after_ms: u64,

    /// Time at the end for engines to free everything that no request holds any more.
    pub settle_ms: u64,

    pub workspaces: Vec<WorkspaceLoad>,
    pub completions: Vec<CompletionLoad>,
    pub calls: Vec<CallLoad>,
    pub actions: Vec<Action>,
}

/// One entry, as the platform's balancer knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub address: SocketAddr,

    /// Where `/readyz` is; without it the entry always counts as ready.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
}

/// A workspace that sends requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceLoad {
    pub name: Arc<str>,
    pub api_key: String,

    /// Share of the requests relative to the other workspaces.
    #[serde(default = "one")]
    pub weight: f64,
}

/// A kind of completion requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CompletionLoad {
    pub name: Arc<str>,

    /// Mean of the Poisson arrivals.
    pub rate_per_s: f64,

    /// Bounds of the prompt length, drawn evenly on a logarithmic scale.
    pub prompt_tokens: [u64; 2],

    /// Bounds of the answer length, drawn evenly.
    pub answer_tokens: [u32; 2],

    pub deadline_ms: u64,
    pub stream: bool,
    pub chat: bool,

    /// Share of the prompts whose first half is one of `prefixes` shared texts.
    pub shared_prefix_share: f64,
    pub prefixes: u32,

    /// Workspace that sends all of them; without it the workspaces share by weight.
    pub workspace: Option<Arc<str>>,
}

/// A kind of plain service calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallLoad {
    pub name: Arc<str>,

    /// Name of the service as configured.
    pub service: String,

    pub method: String,

    /// Path behind `/services/{service}`.
    pub path: String,

    /// Mean of the Poisson arrivals.
    pub rate_per_s: f64,

    /// Bounds of the body length.
    pub body_bytes: [usize; 2],

    pub deadline_ms: u64,

    /// Whether each call must run at most once.
    pub at_most_once: bool,

    /// Whether each call carries an `Idempotency-Key`.
    pub with_key: bool,

    /// Share of the calls with a key that are sent again through another entry at nearly the same time.
    pub resend_share: f64,

    /// Workspace that sends all of them; without it the workspaces share by weight.
    pub workspace: Option<Arc<str>>,
}

/// An HTTP POST at a set time, such as a fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Action {
    /// Time after the warm-up.
    pub at_ms: u64,

    pub url: String,
    pub body: Value,
}

impl Default for Experiment {
    fn default() -> Self {
        let completions = vec![
            CompletionLoad::default(),
            CompletionLoad {
                name: "medium".into(),
                rate_per_s: 3.0,
                prompt_tokens: [2_001, 16_000],
                ..CompletionLoad::default()
            },
            CompletionLoad {
                name: "long".into(),
                rate_per_s: 0.75,
                prompt_tokens: [16_001, 100_000],
                deadline_ms: 60_000,
                ..CompletionLoad::default()
            },
            // One request in fifty has more than 100,000 tokens.
            CompletionLoad {
                name: "huge".into(),
                rate_per_s: 0.25,
                prompt_tokens: [100_001, 1_000_000],
                deadline_ms: 300_000,
                ..CompletionLoad::default()
            },
        ];
        let calls = vec![
            CallLoad::default(),
            CallLoad {
                name: "book_without_key".into(),
                rate_per_s: 0.5,
                with_key: false,
                ..CallLoad::default()
            },
            CallLoad {
                name: "look_up".into(),
                method: "GET".into(),
                path: "/seats".into(),
                at_most_once: false,
                with_key: false,
                ..CallLoad::default()
            },
        ];
        Self {
            name: "default".into(),
            seed: 1,
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            model: "model-a".into(),
            warm_up_ms: 10_000,
            duration_ms: 60_000,
            max_in_flight: MAX_IN_FLIGHT,
            late_after_ms: 500,
            lost_after_ms: 10_000,
            settle_ms: 10_000,
            workspaces: Vec::new(),
            completions,
            calls,
            actions: Vec::new(),
        }
    }
}

impl Default for CompletionLoad {
    fn default() -> Self {
        Self {
            name: "short".into(),
            rate_per_s: 8.5,
            prompt_tokens: [1_000, 2_000],
            answer_tokens: [8, 64],
            deadline_ms: 30_000,
            stream: true,
            chat: true,
            shared_prefix_share: 0.3,
            prefixes: 20,
            workspace: None,
        }
    }
}

impl Default for CallLoad {
    fn default() -> Self {
        Self {
            name: "book".into(),
            service: "bookings".into(),
            method: "POST".into(),
            path: "/bookings".into(),
            rate_per_s: 2.0,
            body_bytes: [20, 400],
            deadline_ms: 10_000,
            at_most_once: true,
            with_key: true,
            resend_share: 0.2,
            workspace: None,
        }
    }
}

fn one() -> f64 {
    1.0
}

impl Experiment {
    /// Checks the values.
    ///
    /// # Errors
    /// A value is missing or out of its range; the error names the field.
    pub fn check(&self) -> Result<(), SettingsError> {
        let wrong = |path: String, problem: &str| {
            Err(SettingsError::Field { path, problem: problem.to_owned() })
        };
        if self.entries.is_empty() {
            return wrong("entries".into(), "name at least one entry");
        }
        if self.workspaces.is_empty() {
            return wrong("workspaces".into(), "name at least one workspace with its API key");
        }
        if !(1..=MAX_IN_FLIGHT).contains(&self.max_in_flight) {
            return wrong("max_in_flight".into(), "must be from 1 to 600");
        }
        let known = |name: &Option<Arc<str>>| {
            name.as_ref().is_none_or(|name| self.workspaces.iter().any(|known| known.name == *name))
        };
        for (index, load) in self.completions.iter().enumerate() {
            let path = |field: &str| format!("completions[{index}].{field}");
            if !(load.rate_per_s >= 0.0 && load.rate_per_s.is_finite()) {
                return wrong(path("rate_per_s"), "must be 0 or more");
            }
            if load.prompt_tokens[0] == 0 || load.prompt_tokens[0] > load.prompt_tokens[1] {
                return wrong(path("prompt_tokens"), "must be a range that starts at 1 or more");
            }
            if load.answer_tokens[0] == 0 || load.answer_tokens[0] > load.answer_tokens[1] {
                return wrong(path("answer_tokens"), "must be a range that starts at 1 or more");
            }
            if load.shared_prefix_share > 0.0 && load.prefixes == 0 {
                return wrong(path("prefixes"), "must be at least 1 with a shared_prefix_share");
            }
            if !known(&load.workspace) {
                return wrong(path("workspace"), "is not one of the workspaces");
            }
        }
        for (index, load) in self.calls.iter().enumerate() {
            let path = |field: &str| format!("calls[{index}].{field}");
            if !(load.rate_per_s >= 0.0 && load.rate_per_s.is_finite()) {
                return wrong(path("rate_per_s"), "must be 0 or more");
            }
            if load.body_bytes[0] > load.body_bytes[1] {
                return wrong(path("body_bytes"), "must be a range");
            }
            if load.method.parse::<attohttpc::Method>().is_err() {
                return wrong(path("method"), "must be an HTTP method");
            }
            if !known(&load.workspace) {
                return wrong(path("workspace"), "is not one of the workspaces");
            }
        }
        Ok(())
    }
}
