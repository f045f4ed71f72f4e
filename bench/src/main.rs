//! Measures the decisions of the core against baselines.
//!
//! Drives the real router and dispatcher on a synthetic clock; targets are slots that take a fixed
//! time a token. Each run is determined by its seed, but for the processor time.

mod engine;
mod fleet;
mod output;
mod plot;
mod settings;
mod size;
mod stats;
mod suite;
mod workload;

use std::process;

fn main() -> process::ExitCode {
    let matches = settings::command().get_matches();
    match suite::run(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gentianhinge-bench: {error}");
            process::ExitCode::FAILURE
        }
    }
}
