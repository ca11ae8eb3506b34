//! Library with which operators build, print and apply a configuration.
//!
//! ```no_run
//! use mulberry_operators::OperatorClient;
//! use mulberry_plan::Plan;
//! use mulberry_types::{Priority, ZoneState};
//!
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let client = OperatorClient::new(vec!["192.0.2.1:7400".parse()?], "token")?;
//! let printed = Plan::read(&client)?
//!     .priority("quotes", Priority::High)
//!     .zone("zone-2", ZoneState::Out)
//!     .print()?;
//! println!("{printed}");
//! printed.apply(&client)?;
//! # Ok(())
//! # }
//! ```
//!
//! What is applied is exactly what was printed: only a [`PrintedPlan`] can be applied, and it holds the
//! change with its expected version and its id.

mod configuration_file;
mod difference;
mod plan;
mod plan_error;
mod printed_plan;

pub use configuration_file::{parse_configuration, read_configuration};
pub use difference::{Difference, change_operations, differences};
pub use plan::Plan;
pub use plan_error::{ApplyError, FileError, PlanError};
pub use printed_plan::{Applied, PrintedPlan};
