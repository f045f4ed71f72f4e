//! Load generator: sends requests of many teams to the routers and checks every response.
//!
//! Arrivals follow a Poisson process (open loop), or each team keeps a number of requests in
//! progress (closed loop). The sequence of requests depends only on the seed, not on the responses.
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
    /// Open loop: a Poisson process for each team, with rates in proportion to the teams' load
    /// shares.
    Open {
        /// Total rate of all teams.
        requests_per_s: f64,
    },
    /// Closed loop: each team keeps a number of requests in progress, in proportion to its load
    /// share.
    Closed {
        /// Number of requests for a load share of 1.
        concurrency: usize,
    },
}

/// Configuration of a load run.
#[derive(Clone, Debug)]
pub struct Config {
    /// Base URLs of the routers.
    pub router_urls: Vec<String>,
    /// Number of routers that each team calls, assigned round-robin; all if 0. Default: 0.
    pub routers_per_team: usize,
    /// Teams that send requests.
    pub teams: Vec<Team>,
    /// How requests arrive. Default: open loop, 10 requests per second.
    pub arrivals: Arrivals,
    /// Name of the model. Default: `assistant`.
    pub model: String,
    /// Length of prompts, log-uniformly distributed. Default: 100 to 4,000 bytes.
    pub prompt_bytes: Range,
    /// Length of responses, log-uniformly distributed. Default: 10 to 300 tokens.
    pub response_tokens: Range,
    /// Ratio of requests whose responses are streamed. Default: 0.9.
    pub streamed_ratio: f64,
    /// Calls of a plain service in addition to completions.
    pub service: Option<ServiceCalls>,
    /// Time during which requests are sent. Default: 10 s.
    pub duration: Duration,
    /// Maximum time to wait for responses after that. Default: 60 s.
    pub drain_timeout: Duration,
    /// Maximum number of requests of a team in progress with an open loop; further ones aren't sent
    /// and count as skipped. Default: 4,096.
    pub max_in_progress_count: usize,
    /// Cost of a prompt token; a response token costs 1. Default: 0.1.
    pub prompt_token_cost: f64,
    /// Random seed. Default: 1.
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
            response_tokens: Range { min: 10, max: 300 },
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
