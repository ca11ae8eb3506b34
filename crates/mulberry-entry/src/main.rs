//! Command line of an entry instance, which forwards requests from callers to targets.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use eyre::Result;
use mulberry_entry::{EntrySettings, Instance};
use mulberry_telemetry::{error_line, init_logging};
use mulberry_types::load_settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

xflags::xflags! {
    /// Entry instance of mulberryladder.
    cmd mulberry-entry {
        /// Settings file in JSON.
        optional --settings file: PathBuf

        /// Checks the settings and exits.
        optional --check-settings

        /// Prints the default settings and exits.
        optional --print-default-settings
    }
}

fn main() -> ExitCode {
    let flags = MulberryEntry::from_env_or_exit();
    match run(&flags) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("mulberry-entry: {}", error_line(error.as_ref()));
            ExitCode::from(2)
        }
    }
}

fn run(flags: &MulberryEntry) -> Result<ExitCode> {
    if flags.print_default_settings {
        println!("{}", serde_json::to_string_pretty(&EntrySettings::default())?);
        return Ok(ExitCode::SUCCESS);
    }
    let settings = read_settings(flags.settings.as_deref())?;
    if flags.check_settings {
        println!("the settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    init_logging(&settings.log_level, &format!("entry-{}", settings.node));
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let instance = Instance::start(settings)?;
    signals.forever().next();
    let all_ended = instance.stop();
    Ok(if all_ended { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn read_settings(file: Option<&Path>) -> Result<EntrySettings> {
    let settings: EntrySettings = match file {
        Some(file) => load_settings(file)?,
        None => EntrySettings::default(),
    };
    settings.check()?;
    Ok(settings)
}
