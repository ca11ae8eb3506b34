//! The configuration that this entry has applied, read without locks on the path of a request.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use mulberry_callers::ApiKeys;
use mulberry_types::{Configuration, ConfigurationUpdate, ConfigurationVersion};

/// One version of the configuration with what is derived from it.
#[derive(Debug, Default)]
pub struct InForce {
    pub version: ConfigurationVersion,
    pub configuration: Arc<Configuration>,
    pub api_keys: ApiKeys,
}

/// Holder of the newest applied version.
#[derive(Debug, Default)]
pub struct ConfigurationHolder {
    current: ArcSwap<InForce>,

    /// Held while an update is applied, so that two threads do not apply the same one.
    applying: Mutex<()>,
}

impl ConfigurationHolder {
    /// Newest applied version.
    pub fn current(&self) -> Arc<InForce> {
        self.current.load_full()
    }

    /// Applies an update. Returns the new version if it is later than the one in force; an update
    /// that is older, or that does not start at the version in force, is left out.
    pub fn apply(&self, update: ConfigurationUpdate) -> Option<Arc<InForce>> {
        let _applying = self.applying.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.current.load_full();
        let (version, configuration) = match update {
            ConfigurationUpdate::Full { version, configuration } => (version, configuration),
            ConfigurationUpdate::Delta { from_version, to_version, operations } => {
                if from_version != current.version {
                    return None;
                }
                let mut configuration = (*current.configuration).clone();
                for operation in &operations {
                    if let Err(error) = operation.apply(&mut configuration) {
                        // The whole configuration is fetched with the next renewal.
                        tracing::error!(%error, version = %to_version, "update_does_not_apply");
                        return None;
                    }
                }
                (to_version, configuration)
            }
        };
        if version <= current.version {
            return None;
        }
        let api_keys = ApiKeys::new(&configuration);
        let next = Arc::new(InForce { version, configuration: Arc::new(configuration), api_keys });
        self.current.store(next.clone());
        Some(next)
    }
}
