//! The configuration that this entry has applied, published for lock-free reads on the request path.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use mulberry_callers::ApiKeys;
use mulberry_types::{Configuration, ConfigurationUpdate, ConfigurationVersion};

/// One version of the configuration and the API keys derived from it.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    pub version: ConfigurationVersion,
    pub configuration: Arc<Configuration>,
    pub api_keys: ApiKeys,
}

/// Publishes the newest applied version.
#[derive(Debug, Default)]
pub struct SharedConfiguration {
    current: ArcSwap<ActiveConfiguration>,

    /// Serializes updates, so that two threads do not apply the same one.
    applying: Mutex<()>,
}

impl SharedConfiguration {
    /// Newest applied version.
    pub fn current(&self) -> Arc<ActiveConfiguration> {
        self.current.load_full()
    }

    /// Applies an update and returns the new configuration. Returns `None` and changes nothing if the
    /// update is not newer than the active version, is a delta from another version, or does not apply.
    pub fn apply(&self, update: ConfigurationUpdate) -> Option<Arc<ActiveConfiguration>> {
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
                        // The next renewal fetches the full configuration.
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
        let next = Arc::new(ActiveConfiguration {
            version,
            configuration: Arc::new(configuration),
            api_keys,
        });
        self.current.store(next.clone());
        Some(next)
    }
}
