//! The client of the control instances, from arguments and environment.

use std::net::SocketAddr;

use eyre::{WrapErr, eyre};
use mulberry_operators::{OperatorClient, OperatorClientSettings};

use crate::failure::Failure;
use crate::flags::Mulberryctl;

const TOKEN_VARIABLE: &str = "MULBERRY_OPERATOR_TOKEN";

/// Sets up the client; sends nothing.
pub fn connect(flags: &Mulberryctl) -> Result<OperatorClient, Failure> {
    let addresses = addresses(flags).map_err(Failure::usage)?;
    let token = token(flags).map_err(Failure::usage)?;
    let defaults = OperatorClientSettings::default();
    let time_limit_ms =
        flags.time_limit_s.map_or(defaults.time_limit_ms, |seconds| u64::from(seconds) * 1_000);
    let settings = OperatorClientSettings { time_limit_ms, ..defaults };
    OperatorClient::with_settings(addresses, &token, settings).map_err(Failure::usage)
}

fn addresses(flags: &Mulberryctl) -> eyre::Result<Vec<SocketAddr>> {
    let Some(text) = &flags.control else {
        return Err(eyre!("--control is missing; name the control instances, see --help"));
    };
    text.split(',')
        .map(|address| {
            address.trim().parse().map_err(|_| {
                eyre!("--control: \"{address}\" is no address; use numeric ones such as 192.0.2.1:7400")
            })
        })
        .collect()
}

fn token(flags: &Mulberryctl) -> eyre::Result<String> {
    if let Some(file) = &flags.token_file {
        return std::fs::read_to_string(file).wrap_err_with(|| {
            format!("cannot read token file {}; check --token-file", file.display())
        });
    }
    std::env::var(TOKEN_VARIABLE)
        .map_err(|_| eyre!("no token; use --token-file or set {TOKEN_VARIABLE}"))
}
