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

use tokio::runtime::Builder;

fn main() -> process::ExitCode {
    let matches = settings::command().get_matches();
    // The paused clock keeps what the core takes for the present from differing between runs.
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    let result = runtime.map_err(suite::Error::from);
    match result.and_then(|runtime| runtime.block_on(async { suite::run(&matches) })) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gentianhinge-bench: {error}");
            process::ExitCode::FAILURE
        }
    }
}
