//! Control instance with replicated state.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use mulberry_control::{ControlInstance, ControlSettings};
use mulberry_telemetry::error_line;
use mulberry_types::load_settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Time between two looks at whether the replica still runs.
const WATCH: Duration = Duration::from_millis(100);

xflags::xflags! {
    /// Control instance with replicated state.
    cmd mulberry-control {
        /// Settings file in JSON.
        optional --settings file: PathBuf

        /// Checks the settings and ends.
        optional --check-settings

        /// Prints the default settings and ends.
        optional --print-default-settings
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mulberry-control: {}", error_line(error.as_ref()));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<()> {
    let flags = MulberryControl::from_env_or_exit();
    if flags.print_default_settings {
        println!("{}", serde_json::to_string_pretty(&ControlSettings::default())?);
        return Ok(());
    }
    let file = flags.settings.ok_or_else(|| eyre!("name a settings file with --settings"))?;
    let settings: ControlSettings = load_settings(&file)?;
    settings.check()?;
    if flags.check_settings {
        println!("{} is valid", file.display());
        return Ok(());
    }
    mulberry_telemetry::init_logging(&settings.log_level, &settings.name);
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("cannot handle signals")?;
    let instance = ControlInstance::start(&settings)?;
    loop {
        if signals.pending().next().is_some() {
            instance.stop();
            return Ok(());
        }
        if !instance.is_running() {
            return Err(eyre!("the replica has ended by a fault; see the log, then start again"));
        }
        std::thread::sleep(WATCH);
    }
}
