//! A plan as it was shown to the operator, which is what is applied.

use std::fmt;

use mulberry_operators::OperatorClient;
use mulberry_types::{
    Change, ChangeOutcome, Configuration, ConfigurationError, ConfigurationVersion, RejectReason,
};

use crate::{ApplyError, Difference};

/// A checked plan. Its text is the wanted configuration and what differs from the one in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrintedPlan {
    pub(crate) change: Change,
    pub(crate) wanted: Configuration,
    pub(crate) differences: Vec<Difference>,
}

/// Outcome of a plan that is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// Version with the plan in force; the expected one if nothing had to change.
    pub version: ConfigurationVersion,
}

impl PrintedPlan {
    /// The change that is sent. It keeps its id, so a repeated [`PrintedPlan::apply`] is one change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// The configuration that is wanted.
    pub fn wanted(&self) -> &Configuration {
        &self.wanted
    }

    /// What differs from the configuration in force.
    pub fn differences(&self) -> &[Difference] {
        &self.differences
    }

    /// Whether the configuration in force is the wanted one already.
    pub fn is_empty(&self) -> bool {
        self.change.operations.is_empty()
    }

    /// Sends exactly the change that was printed. Sends nothing if nothing differs.
    ///
    /// # Errors
    /// Another change came first, the control group refused the change, or the request failed; with
    /// an unknown outcome, applying the same plan again is safe.
    pub fn apply(&self, client: &OperatorClient) -> Result<Applied, ApplyError> {
        let Change { id, expected_version, .. } = &self.change;
        if self.is_empty() {
            return Ok(Applied { version: *expected_version });
        }
        let outcome = client
            .submit_change(&self.change)
            .map_err(|error| ApplyError::Request { id: id.clone(), error })?;
        match outcome {
            ChangeOutcome::Accepted { version } => Ok(Applied { version }),
            ChangeOutcome::Rejected { reason: RejectReason::VersionConflict { current } } => {
                Err(ApplyError::Conflict { expected: *expected_version, current })
            }
            ChangeOutcome::Rejected { reason: RejectReason::Invalid { path, problem } } => {
                Err(ApplyError::Invalid(ConfigurationError { path, problem }))
            }
            ChangeOutcome::Rejected { reason: RejectReason::IdReused } => {
                Err(ApplyError::IdReused { id: id.clone() })
            }
        }
    }
}

impl fmt::Display for PrintedPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wanted = serde_json::to_string_pretty(&self.wanted).map_err(|_| fmt::Error)?;
        writeln!(f, "wanted configuration:\n{wanted}\n")?;
        if self.is_empty() {
            return write!(
                f,
                "no difference from version {} in force",
                self.change.expected_version
            );
        }
        writeln!(f, "difference from version {} in force:", self.change.expected_version)?;
        for difference in &self.differences {
            writeln!(f, "  {difference}")?;
        }
        write!(f, "change id {}", self.change.id.0)
    }
}
