//! A load tool: many teams call the routers, and every answer is checked.
//!
//! Arrivals follow a Poisson process of the configured rate, or each team keeps a number of
//! requests in progress. What is sent depends on the seed alone, not on the answers.
//!
//! ```no_run
//! use gentianhinge_standin::load;
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let config = load::Config {
//!     router_urls: vec!["http://127.0.0.1:8080".to_owned()],
//!     teams: vec![load::Team::new("federation", "demo-key-federation")],
//!     ..load::Config::default()
//! };
//! println!("{}", load::run(&config).await.table());
//! # });
//! ```

mod fairness_gap;
mod meter;
mod report;
mod run;
mod workload;

use std::time::Duration;

pub use fairness_gap::FairnessGap;
pub(crate) use meter::percentiles;
pub use meter::{Meter, Percentiles, Totals};
pub use report::Report;
pub use run::{Load, run};
pub use workload::{Class, Range, ServiceCalls, Team};

/// How requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Arrivals {
    /// Requests a second of all teams together, in proportion to the teams' shares.
    Open {
        /// The rate.
        requests_per_s: f64,
    },
    /// Requests that each team keeps in progress, times its share.
    Closed {
        /// The number for a share of 1.
        concurrency: usize,
    },
}

/// Configuration of a load.
#[derive(Clone, Debug)]
pub struct Config {
    /// Base URLs of the routers.
    pub router_urls: Vec<String>,
    /// Routers that each team calls, from the list in turn; all if 0. Default: 0.
    pub routers_per_team: usize,
    /// The teams.
    pub teams: Vec<Team>,
    /// How requests arrive. Default: 10 a second.
    pub arrivals: Arrivals,
    /// Name of the model. Default: `assistant`.
    pub model: String,
    /// Length of a prompt, log-uniform. Default: 100 to 4,000 bytes.
    pub prompt_bytes: Range,
    /// Length of an answer, log-uniform. Default: 10 to 300 tokens.
    pub answer_tokens: Range,
    /// Share of requests whose answers are streamed. Default: 0.9.
    pub streamed_ratio: f64,
    /// Calls of a plain service beside the model's, if any.
    pub service: Option<ServiceCalls>,
    /// Time for which requests are sent. Default: 10 s.
    pub duration: Duration,
    /// Longest time to wait for answers after that. Default: 60 s.
    pub drain_timeout: Duration,
    /// Most requests of one team in progress; more aren't sent and count as skipped.
    /// Default: 4,096.
    pub max_in_progress_count: usize,
    /// Service charged for one prompt token. Default: 0.1.
    pub prompt_token_cost: f64,
    /// Seed of all that is random. Default: 1.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            router_urls: Vec::new(),
            routers_per_team: 0,
            teams: Vec::new(),
            arrivals: Arrivals::Open { requests_per_s: 10.0 },
            model: "assistant".to_owned(),
            prompt_bytes: Range { min: 100, max: 4000 },
            answer_tokens: Range { min: 10, max: 300 },
            streamed_ratio: 0.9,
            service: None,
            duration: Duration::from_secs(10),
            drain_timeout: Duration::from_secs(60),
            max_in_progress_count: 4096,
            prompt_token_cost: 0.1,
            seed: 1,
        }
    }
}
