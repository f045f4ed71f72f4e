//! Simulated inference engine with continuous batching, a prefix cache, resumable streams and
//! delayed load reports.
//!
//! Each step generates one token for every running stream. Requests are admitted in order of
//! arrival. The n-th token of a response is the text `TAGn ` with the request's `user` and a colon
//! as tag, or `t`. Callers can thus detect missing or duplicate tokens and responses to other
//! requests.

mod api;
mod batch;
mod cache;
mod http;
mod report;
mod stream;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::server;

pub use api::{Completion, Message, Usage, unix_time};
pub use batch::Engine;
pub use cache::{BLOCK_BYTES, Event, EventKind, EventPage, prefix_hashes};
pub use report::{Load, Stats};

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on. Default: an ephemeral port of 127.0.0.1.
    pub listen: SocketAddr,
    /// Name of the model. Default: `m1`.
    pub model: String,
    /// Maximum number of streams in the batch. Default: 16.
    pub max_running_count: usize,
    /// Maximum number of queued requests; more get status 503. Default: 10,000.
    pub max_waiting_count: usize,
    /// Duration of a step with one stream in the batch; 0 responds immediately, without batching.
    /// Default: 45.
    pub token_ms: f64,
    /// Relative increase of the step duration for each additional stream. Default: 0.
    pub batch_growth_ratio: f64,
    /// Prefill time of a prompt token that isn't cached. Default: 0.02.
    pub prefill_token_ms: f64,
    /// Capacity of the prefix cache. Default: 4,096.
    pub max_cached_blocks: usize,
    /// Interval of the load reports, and delay of their publication. Default: 500.
    pub load_lag_ms: u64,
    /// Delay until a cache event is visible. Default: 500.
    pub cache_event_lag_ms: u64,
    /// Ratio of cache events that are lost. Default: 0.02.
    pub cache_event_loss_ratio: f64,
    /// Time for which a stream without a reader continues and can be resumed. Default: 5,000.
    pub resume_window_ms: u64,
    /// Maximum response length in tokens for requests that state none. Default: 200.
    pub default_max_tokens: u32,
    /// Random seed for the loss of cache events. Default: 1.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model: "m1".to_owned(),
            max_running_count: 16,
            max_waiting_count: 10_000,
            token_ms: 45.0,
            batch_growth_ratio: 0.0,
            prefill_token_ms: 0.02,
            max_cached_blocks: 4096,
            load_lag_ms: 500,
            cache_event_lag_ms: 500,
            cache_event_loss_ratio: 0.02,
            resume_window_ms: 5000,
            default_max_tokens: 200,
            seed: 1,
        }
    }
}

/// Faults of an engine. Absent fields mean no fault.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Generates no tokens and doesn't respond to new requests until the fault is cleared.
    pub stall: bool,
    /// Closes a streaming connection after this number of tokens.
    pub break_after_tokens: Option<u32>,
    /// Number of connections that `break_after_tokens` applies to; unlimited if absent.
    pub break_count: Option<u32>,
    /// Closes new connections for this time, before reading from them.
    pub refuse_ms: Option<u64>,
    /// Responds to new requests with this status.
    pub status: Option<u16>,
    /// Sets `leaving` in the load report.
    pub leaving: bool,
    /// Additional delay of the first token of new requests.
    pub slow_start_ms: Option<u64>,
    /// Responds to resumptions with status 404.
    pub refuse_resume: bool,
}

/// A running engine. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Handle {
    server: server::Handle,
    tasks: Vec<tokio::task::AbortHandle>,
    engine: Arc<Engine>,
}

impl Handle {
    /// Address on which the engine listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// State of the engine, to set faults and read counters.
    pub fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.engine.set_faults(faults);
    }

    /// Stops the engine and closes the listener and all connections.
    pub fn shutdown(&self) {
        self.server.shutdown();
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shutdown();
    }
}

/// Starts an engine.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn spawn(config: Config) -> io::Result<Handle> {
    let listen = config.listen;
    let engine = Arc::new(Engine::new(config));
    let router = http::router(Arc::clone(&engine));
    let server = server::spawn(listen, router, Arc::clone(engine.gate())).await?;
    let tasks = vec![
        tokio::spawn(batch::run_steps(Arc::clone(&engine))).abort_handle(),
        tokio::spawn(batch::run_reports(Arc::clone(&engine))).abort_handle(),
    ];
    Ok(Handle { server, tasks, engine })
}
