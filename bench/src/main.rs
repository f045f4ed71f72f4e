//! Benchmarks the dispatch decisions of the core against baselines.
//!
//! Runs the real router and dispatcher state machines on a simulated clock, with simulated targets
//! that take a fixed time per token. All results but the wall-clock times and the memory depend on
//! the settings and the seed only.

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
    // The paused clock makes the instants that the core reads the same in every run.
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
