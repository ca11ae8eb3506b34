//! Finds prompt parts that crash engines, and quarantines them fleet-wide.
//!
//! Some prompts crash every engine that begins to answer them (a "query of death"). A single gateway sees only its own
//! requests at a crashed engine, most of which are harmless. So gateways report to all registries which requests were
//! waiting for their first tokens at an engine that crashed. Each registry looks for the part that these requests have
//! in common ([`CrashCorrelator`]), asks the gateways whether an engine has survived it, and otherwise quarantines it.
//! Gateways refuse requests with a quarantined part ([`PartGuard`]).
//!
//! All state is soft: it is bounded, expires when no requests with a part arrive, and is restored from whichever
//! processes still hold it ([`PartTable`]). Registries also save the quarantined parts on disk.

mod crash_correlator;
mod crash_report;
mod part_guard;
mod part_table;
mod settings;
mod survival_log;
mod tally;

pub use crash_correlator::CrashCorrelator;
pub use crash_report::{CrashReport, CrashedPart, PartStatus};
pub use part_guard::{PartGuard, PartMessage, Verdict};
pub use part_table::{PartChange, PartTable};
pub use settings::QuarantineSettings;

/// Time in milliseconds of a monotonic clock. Signed, since events may be older than the process.
pub type TimeMs = i64;
