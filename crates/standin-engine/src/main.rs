//! Model engine emulator for tests and measurement.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use eyre::bail;
use mulberry_types::load_settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use standin_engine::{Engine, EngineSettings};

xflags::xflags! {
    /// Emulates a model engine for tests and measurement.
    cmd standin-engine {
        /// Settings file in JSON.
        optional --settings file: PathBuf

        /// Prints the default settings and exits.
        optional --print-default-settings
    }
}

fn main() -> eyre::Result<()> {
    let flags = StandinEngine::from_env_or_exit();
    if flags.print_default_settings {
        println!("{}", serde_json::to_string_pretty(&EngineSettings::default())?);
        return Ok(());
    }
    tracing_subscriber::fmt().with_env_filter("info").with_writer(std::io::stderr).init();
    let settings: EngineSettings = match &flags.settings {
        Some(file) => load_settings(file)?,
        None => EngineSettings::default(),
    };
    settings.check()?;
    let stop_timeout = Duration::from_millis(settings.stop_timeout_ms);
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone())?;
    }
    let engine = Engine::start(settings)?;
    tracing::info!(address = %engine.address(), "started");
    while !stop.load(Ordering::Acquire) {
        if engine.is_dead() {
            bail!("the engine died of an injected fault; start it again");
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if !engine.leave(stop_timeout) {
        bail!("streams were still running after stop_timeout_ms; raise it in the settings");
    }
    Ok(())
}
