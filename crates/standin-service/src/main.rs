//! Plain service emulator for tests and measurement.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::bail;
use mulberry_types::load_settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use standin_service::{Service, ServiceSettings};

xflags::xflags! {
    /// Emulates a plain service for tests and measurement.
    cmd standin-service {
        /// Settings file in JSON.
        optional --settings file: PathBuf

        /// Prints the default settings and exits.
        optional --print-default-settings
    }
}

fn main() -> eyre::Result<()> {
    let flags = StandinService::from_env_or_exit();
    if flags.print_default_settings {
        println!("{}", serde_json::to_string_pretty(&ServiceSettings::default())?);
        return Ok(());
    }
    tracing_subscriber::fmt().with_env_filter("info").with_writer(std::io::stderr).init();
    let settings: ServiceSettings = match &flags.settings {
        Some(file) => load_settings(file)?,
        None => ServiceSettings::default(),
    };
    settings.check()?;
    let stop_timeout = Duration::from_millis(settings.stop_timeout_ms);
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let service = Service::start(settings)?;
    tracing::info!(address = %service.address(), "started");
    while !stop.load(Ordering::Acquire) {
        if service.is_dead() {
            bail!("the service died of an injected fault; start it again");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if !service.leave(stop_timeout) {
        bail!("calls were still running after stop_timeout_ms; raise it in the settings");
    }
    Ok(())
}
