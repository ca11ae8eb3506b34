//! Load generator and experiment runner.

use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};
use std::str::FromStr;

use eyre::{Context, bail};
use mulberry_bench::{Experiment, Outcome, Report, SmokeTest, compare, plot, run, smoke};
use mulberry_types::load_settings;

/// Addresses with commas between them.
#[derive(Debug, Clone)]
pub struct AddressList(Vec<SocketAddr>);

impl FromStr for AddressList {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<AddressList, AddrParseError> {
        text.split(',').map(str::parse).collect::<Result<_, _>>().map(AddressList)
    }
}

xflags::xflags! {
    /// Sends load to running entries, checks every answer and measures.
    cmd mulberry-bench {
        /// Runs an experiment; exits with status 2 if a rule of the system was broken.
        cmd run {
            /// Experiment file in JSON.
            required experiment: PathBuf

            /// File for the result in JSON.
            optional --out file: PathBuf
        }

        /// Prints an experiment file with the defaults.
        cmd print-default-experiment {}

        /// Prints a table of several results.
        cmd compare {
            repeated results: PathBuf
        }

        /// Draws the course of a run.
        cmd plot {
            required result: PathBuf

            /// SVG file to write.
            required --out file: PathBuf
        }

        /// Sends a few requests; exits with status 0 only if every answer was right.
        cmd smoke {
            /// Addresses of entries with commas between them.
            required --entries list: AddressList

            /// API key of a workspace.
            required --key key: String

            /// Model to ask; `model-a` by default.
            optional --model name: String

            /// Service for bookings; none are made without it.
            optional --service name: String
        }
    }
}

fn main() -> eyre::Result<()> {
    let is_right = match MulberryBench::from_env_or_exit().subcommand {
        MulberryBenchCmd::Run(Run { experiment, out }) => run_file(&experiment, out.as_deref())?,
        MulberryBenchCmd::PrintDefaultExperiment(_) => {
            println!("{}", serde_json::to_string_pretty(&Experiment::default())?);
            true
        }
        MulberryBenchCmd::Compare(Compare { results }) => {
            if results.is_empty() {
                bail!("name at least one result file");
            }
            let reports: Vec<Report> =
                results.iter().map(|file| read_report(file)).collect::<eyre::Result<_>>()?;
            print!("{}", compare(&reports));
            true
        }
        MulberryBenchCmd::Plot(Plot { result, out }) => {
            plot(&read_report(&result)?, &out)?;
            true
        }
        MulberryBenchCmd::Smoke(flags) => {
            let (table, all_right) = smoke(&SmokeTest {
                entries: flags.entries.0,
                api_key: flags.key,
                model: flags.model.unwrap_or_else(|| "model-a".to_owned()),
                service: flags.service,
            });
            print!("{table}");
            all_right
        }
    };
    if !is_right {
        std::process::exit(2);
    }
    Ok(())
}

fn run_file(file: &Path, out: Option<&Path>) -> eyre::Result<bool> {
    let experiment: Experiment = load_settings(file)?;
    experiment.check()?;
    let report = run(&experiment)?;
    print!("{}", report.table());
    if let Some(out) = out {
        std::fs::write(out, serde_json::to_string_pretty(&report)?)
            .wrap_err_with(|| format!("cannot write {}; check --out", out.display()))?;
    }
    let any_right = report.loads.values().any(|load| load.outcomes.contains_key(&Outcome::Right));
    if !any_right {
        bail!("no request was answered rightly, so the run shows nothing; check the entries");
    }
    Ok(report.violations.is_empty())
}

fn read_report(file: &Path) -> eyre::Result<Report> {
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("cannot read {}", file.display()))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{} is no result", file.display()))
}
