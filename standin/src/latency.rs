//! Router overhead: compares the same requests sent to an engine directly and through a router, in
//! the same run.

mod cpu;

use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::task::JoinSet;
use tokio::time;

use crate::client::Client;
use crate::engine::{self, Completion, Message};
use crate::fleet::{self, Fleet, StartError};
use crate::load::Percentiles;

/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// API key of the only team.
const KEY: &str = "latency-key";
/// Names of the threads whose processor time counts as the router's.
const ROUTER_THREADS: [&str; 3] = ["traffic", "control", "server"];
/// Slots of the target; enough that no request is queued.
const MAX_SLOTS: u32 = 4096;

/// Configuration of the measurement.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of sequential streams on each path for the first-token measurement. Default: 2,000.
    pub stream_count: usize,
    /// Number of concurrent streams on each path for the per-chunk measurement. Default: 8.
    pub parallel_streams: usize,
    /// Tokens of each stream of the per-chunk measurement. Default: 500.
    pub tokens_per_stream: u32,
    /// Number of concurrent callers of the throughput measurement. Default: 64.
    pub caller_count: usize,
    /// Time of the throughput measurement on each path. Default: 5 s.
    pub duration: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            stream_count: 2000,
            parallel_streams: 8,
            tokens_per_stream: 500,
            caller_count: 64,
            duration: Duration::from_secs(5),
        }
    }
}

/// Percentiles of a duration on both paths.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comparison {
    /// Without the router.
    pub direct: Percentiles,
    /// Through the router.
    pub routed: Percentiles,
}

/// Throughput on one path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Complete responses per second.
    pub requests_per_s: f64,
    /// Mean number of cores used by the router's threads.
    pub router_cores: f64,
}

/// Results of the measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Time from the request to the first token.
    pub first_token: Comparison,
    /// Time from the engine's write of a token to its arrival.
    pub chunk: Comparison,
    /// Throughput of short requests without the router.
    pub direct_rate: Rate,
    /// Throughput of short requests through the router, with one traffic thread.
    pub routed_rate: Rate,
}

/// A path to an engine, direct or through the router.
#[derive(Clone, Debug)]
struct Path {
    client: Client,
    url: String,
    authorization: String,
}

impl Path {
    fn new(url: String) -> Path {
        Path { client: Client::new(), url, authorization: format!("Bearer {KEY}") }
    }

    async fn complete(&self, completion: &Completion) -> Option<crate::client::Outcome> {
        let headers = [("authorization", self.authorization.as_str())];
        let outcome = self.client.complete(&self.url, &headers, completion).await.ok()?;
        outcome.is_complete().then_some(outcome)
    }
}

/// Measures the latency and throughput of both paths.
///
/// # Errors
///
/// Fails if the fleet doesn't start.
pub async fn run(config: &Config) -> Result<Summary, StartError> {
    let instant = start(0.0).await?;
    let (direct, routed) = paths(&instant);
    let first_token = first_token(config, &direct, &routed).await;
    let direct_rate = rate(config, &direct).await;
    let routed_rate = rate(config, &routed).await;
    instant.stop().await;
    let paced = start(2.0).await?;
    let (direct, routed) = paths(&paced);
    let chunk = Comparison {
        direct: chunk_transit(config, &direct).await,
        routed: chunk_transit(config, &routed).await,
    };
    paced.stop().await;
    Ok(Summary { first_token, chunk, direct_rate, routed_rate })
}

async fn start(token_ms: f64) -> Result<Fleet, StartError> {
    let mut config = fleet::Config::from_text(&settings_text())?;
    config.router_count = 1;
    config.engine = engine::Config { token_ms, prefill_token_ms: 0.0, ..config.engine };
    Fleet::start(&config).await
}

fn settings_text() -> String {
    let hash = blake3::hash(KEY.as_bytes()).to_hex();
    format!(
        r#"{{
            "router": {{"name": "r1", "region": "local", "zone": "a"}},
            "listen": {{"callers_addr": "127.0.0.1:0", "operators_addr": "127.0.0.1:0",
                "peers_addr": "127.0.0.1:0"}},
            "peers": {{"secret": "secret-of-this-measurement"}},
            "models": [{{"name": "m1", "targets": [
                {{"name": "m1-1", "addr": "127.0.0.1:1", "zone": "a", "max_slots": {MAX_SLOTS}}}]}}],
            "table": {{
                "classes": [{{"name": "now", "price_ratio": 1.0, "max_wait_ms": 10000}}],
                "teams": [{{"name": "team-a", "key_hashes": ["{hash}"]}}]}},
            "traffic_threads": 1
        }}"#
    )
}

fn paths(fleet: &Fleet) -> (Path, Path) {
    let direct = Path::new(format!("http://{}", fleet.engines[0].addr()));
    let routed = Path::new(fleet.router_urls().swap_remove(0));
    (direct, routed)
}

fn request(tokens: u32, is_streamed: bool) -> Completion {
    let content = "Which lanes are open today, and how strong is the wind?".to_owned();
    Completion {
        model: "m1".to_owned(),
        messages: vec![Message { role: "user".to_owned(), content }],
        max_tokens: Some(tokens),
        stream: is_streamed,
        ..Completion::default()
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("number of digits is valid")
}

/// Alternates between the direct and the routed path, so that both have the same conditions.
async fn first_token(config: &Config, direct: &Path, routed: &Path) -> Comparison {
    let request = request(8, true);
    let mut histograms = [histogram(), histogram()];
    for _ in 0..config.stream_count {
        for (path, histogram) in [direct, routed].into_iter().zip(&mut histograms) {
            let Some(outcome) = path.complete(&request).await else { continue };
            let first = outcome.token_at[0] - outcome.started_at;
            let _ = histogram.record(first.as_micros() as u64);
        }
    }
    let [direct, routed] = histograms.map(|histogram| percentiles(&histogram));
    Comparison { direct, routed }
}

async fn chunk_transit(config: &Config, path: &Path) -> Percentiles {
    let mut request = request(config.tokens_per_stream, true);
    request.standin_timing = true;
    let mut streams = JoinSet::new();
    for _ in 0..config.parallel_streams {
        let (path, request) = (path.clone(), request.clone());
        streams.spawn(async move { path.complete(&request).await });
    }
    let mut histogram = histogram();
    for outcome in streams.join_all().await.into_iter().flatten() {
        // The time of the first token also includes the start of the stream.
        for &transit_us in outcome.transit_us.iter().skip(1) {
            let _ = histogram.record(transit_us);
        }
    }
    percentiles(&histogram)
}

/// Measures the throughput of short requests from concurrent callers that each send sequentially.
async fn rate(config: &Config, path: &Path) -> Rate {
    let complete_count = Arc::new(AtomicU64::new(0));
    let started_at = time::Instant::now();
    let cpu_before = cpu::thread_time(&ROUTER_THREADS);
    let end_at = started_at + config.duration;
    let mut callers = JoinSet::new();
    for _ in 0..config.caller_count {
        let (path, complete_count) = (path.clone(), Arc::clone(&complete_count));
        callers.spawn(async move {
            let request = request(8, false);
            while time::Instant::now() < end_at {
                if path.complete(&request).await.is_some() {
                    complete_count.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    callers.join_all().await;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let cpu_s = (cpu::thread_time(&ROUTER_THREADS) - cpu_before).as_secs_f64();
    Rate {
        requests_per_s: complete_count.load(Ordering::Relaxed) as f64 / elapsed_s,
        router_cores: cpu_s / elapsed_s,
    }
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    crate::load::percentiles(histogram)
}

impl Summary {
    /// The results as a Markdown table; latencies in ms.
    pub fn table(&self) -> String {
        let mut out = String::from("| measure | direct | routed | added |\n|---|--:|--:|--:|\n");
        for (name, comparison) in [("first token", &self.first_token), ("chunk", &self.chunk)] {
            let Comparison { direct, routed } = comparison;
            let rows = [
                ("p50", direct.p50_ms, routed.p50_ms),
                ("p95", direct.p95_ms, routed.p95_ms),
                ("p99", direct.p99_ms, routed.p99_ms),
            ];
            for (quantile, direct, routed) in rows {
                let added = routed - direct;
                let _ = writeln!(
                    out,
                    "| {name} {quantile}, ms | {direct:.3} | {routed:.3} | {added:.3} |"
                );
            }
        }
        let (direct, routed) = (&self.direct_rate, &self.routed_rate);
        let _ = writeln!(
            out,
            "| short requests/s, one traffic thread | {:.0} | {:.0} | |",
            direct.requests_per_s, routed.requests_per_s
        );
        let _ = writeln!(out, "| router's cores in use | | {:.2} | |", routed.router_cores);
        let per_core = routed.requests_per_s / routed.router_cores;
        let _ = writeln!(out, "| short requests/s per core of the router | | {per_core:.0} | |");
        out
    }
}
