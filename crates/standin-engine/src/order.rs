//! Orders from the target's home: which models are loaded and which role the engine has.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mulberry_types::Fence;
use serde::{Deserialize, Serialize};

use crate::EngineSettings;

/// Body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    pub fence: Fence,

    /// Time for which the order may be carried out after it was sent.
    pub valid_for_ms: u64,

    pub order: Order,
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Order {
    LoadModel { model: Arc<str> },
    LoadAdapter { model: Arc<str>, adapter: Arc<str> },
    LoadVersion { version: Arc<str> },
    UnloadModel { model: Arc<str> },
    SetRole { role: Role },
    CancelStream { request_id: Arc<str> },
    FreeExport { handle: Arc<str> },
}

/// Kind of work that an engine is meant for. It is reported and has no effect on the emulation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    #[default]
    Any,
    Prefill,
    Decode,
}

/// Models, version and role of one life of the engine.
#[derive(Debug)]
pub(crate) struct Weights {
    load_time: Duration,
    checks_fence: bool,
    models: Vec<Arc<str>>,
    version: Arc<str>,
    role: Role,
    newest_fence: Fence,
    loading: Vec<(Instant, Order)>,
    pub(crate) orders_applied: u64,
    pub(crate) orders_refused: u64,

    /// Orders with an old fencing number that were carried out, because the engine ignores the number.
    pub(crate) old_orders_applied: u64,
}

impl Weights {
    pub(crate) fn new(settings: &EngineSettings) -> Weights {
        Weights {
            load_time: Duration::from_millis(settings.weight_load_ms),
            checks_fence: settings.checks_fence,
            models: settings.models.clone(),
            version: settings.weight_version.clone(),
            role: Role::default(),
            newest_fence: Fence::default(),
            loading: Vec::new(),
            orders_applied: 0,
            orders_refused: 0,
            old_orders_applied: 0,
        }
    }

    /// Takes an order unless its fencing number is older than the newest one and the engine checks it.
    pub(crate) fn order(&mut self, request: &OrderRequest) -> Result<(), Fence> {
        if request.fence < self.newest_fence {
            if self.checks_fence {
                self.orders_refused += 1;
                return Err(self.newest_fence);
            }
            self.old_orders_applied += 1;
        }
        self.newest_fence = self.newest_fence.max(request.fence);
        self.orders_applied += 1;
        self.settle();
        match &request.order {
            Order::LoadModel { .. } | Order::LoadAdapter { .. } | Order::LoadVersion { .. } => {
                self.loading.push((Instant::now() + self.load_time, request.order.clone()));
            }
            Order::UnloadModel { model } => self.models.retain(|loaded| loaded != model),
            Order::SetRole { role } => self.role = *role,
            Order::CancelStream { .. } | Order::FreeExport { .. } => {}
        }
        Ok(())
    }

    pub(crate) fn models(&mut self) -> &[Arc<str>] {
        self.settle();
        &self.models
    }

    pub(crate) fn version(&mut self) -> Arc<str> {
        self.settle();
        self.version.clone()
    }

    pub(crate) fn role(&self) -> Role {
        self.role
    }

    pub(crate) fn loading(&mut self) -> usize {
        self.settle();
        self.loading.len()
    }

    /// Applies the loads whose time has passed.
    fn settle(&mut self) {
        let now = Instant::now();
        let (done, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.loading).into_iter().partition(|(at, _)| *at <= now);
        self.loading = left;
        for (_, order) in done {
            let name: Arc<str> = match order {
                Order::LoadModel { model } => model,
                Order::LoadAdapter { model, adapter } => format!("{model}:{adapter}").into(),
                Order::LoadVersion { version } => {
                    self.version = version;
                    continue;
                }
                _ => continue,
            };
            if !self.models.contains(&name) {
                self.models.push(name);
            }
        }
    }
}
