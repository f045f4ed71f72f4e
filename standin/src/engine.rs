//! A model engine: continuous batching, prefix cache, resumable streams, lagging reports.
//!
//! All running streams make one token at each step, and requests are admitted in the order of
//! their arrival, without priorities. The n-th token of an answer is the text `TAGn ` (with the
//! request's `user` as tag, or `t`), so that a gap, a doubled token or another request's answer
//! shows.

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
    /// Most streams in the batch. Default: 16.
    pub max_running_count: usize,
    /// Most requests that wait for the batch; more get status 503. Default: 10,000.
    pub max_waiting_count: usize,
    /// Time of one step with one stream in the batch; 0 answers at once, without batching.
    /// Default: 45.
    pub token_ms: f64,
    /// Growth of the step's time for each further stream, as a ratio. Default: 0.
    pub batch_growth_ratio: f64,
    /// Time to read one prompt token that isn't cached. Default: 0.02.
    pub prefill_token_ms: f64,
    /// Blocks that the prefix cache holds. Default: 4,096.
    pub max_cached_blocks: usize,
    /// Age of the load report. Default: 500.
    pub load_lag_ms: u64,
    /// Delay of a cache event. Default: 500.
    pub cache_event_lag_ms: u64,
    /// Share of cache events that are lost. Default: 0.02.
    pub cache_event_loss_ratio: f64,
    /// Time for which a stream that nobody reads goes on and can be resumed. Default: 5,000.
    pub resume_window_ms: u64,
    /// Greatest answer length, in tokens, for requests that state none. Default: 200.
    pub default_max_tokens: u32,
    /// Seed of the lost cache events. Default: 1.
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

/// Faults of an engine; a field that is absent is no fault.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Makes no token and answers no new request.
    pub stall: bool,
    /// Cuts a connection after it has carried so many tokens.
    pub break_after_tokens: Option<u32>,
    /// Number of connections that `break_after_tokens` cuts; all if absent.
    pub break_count: Option<u32>,
    /// Closes new connections, before reading from them, for so long.
    pub refuse_ms: Option<u64>,
    /// Answers new requests with this status.
    pub status: Option<u16>,
    /// Reports itself as leaving.
    pub leaving: bool,
    /// Delays the first token of new requests.
    pub slow_start_ms: Option<u64>,
    /// Answers resumptions with 404.
    pub refuse_resume: bool,
}

/// A running engine. Dropping it cuts every connection.
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

    /// The engine's state, for counts and faults.
    pub fn engine(&self) -> &Arc<Engine> {
        &self.engine
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.engine.set_faults(faults);
    }

    /// Closes the listener and cuts every connection.
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
