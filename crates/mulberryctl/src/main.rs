//! Command line for operators.

mod commands;
mod connection;
mod explain;
mod failure;
mod flags;
mod output;

use std::process::ExitCode;

use failure::Failure;

fn main() -> ExitCode {
    let flags = match flags::Mulberryctl::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            output::print(&error.to_string());
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            let message = format!("{error}; see mulberryctl --help");
            return Failure::usage(eyre::Report::msg(message)).report(false);
        }
    };
    match commands::run(&flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => failure.report(flags.json),
    }
}
