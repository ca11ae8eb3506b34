//! Binary of a control instance.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use mulberry_control::{ControlInstance, ControlSettings};
use mulberry_telemetry::error_line;
use mulberry_types::load_settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Interval at which signals and the state of the replica are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

xflags::xflags! {
    /// Control instance with replicated state.
    cmd mulberry-control {
        /// Settings file in JSON.
        optional --settings file: PathBuf

        /// Checks the settings and exits.
        optional --check-settings

        /// Prints the default settings and exits.
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
    let file = flags.settings.ok_or_else(|| eyre!("no settings file; pass one with --settings"))?;
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
            return Err(eyre!(
                "the replica thread ended unexpectedly; check the log, then restart the instance"
            ));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
