//! Stand-ins for the platform, its operator, its engines and its clients, and the cases that use them.
//!
//! Usage: `standin CASE FOLDER`. The record is written to `FOLDER/record.txt`. Exit status: 1 if the rule was broken, 0
//! if it held, 2 if the case could not run. `TROUBLE=0` runs the case without the disruption.

mod cases;
mod engine;
mod fleet;
mod http;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let status = match cases::run(case, &PathBuf::from(folder), trouble) {
        Ok(is_broken) => i32::from(is_broken),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            2
        }
    };
    std::process::exit(status);
}
