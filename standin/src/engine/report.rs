//! Load report and counters of an engine.

use serde::{Deserialize, Serialize};

/// Load report of a target.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Creation time of the report, in Unix time.
    pub at_ms: u64,
    /// Start time of the target in Unix milliseconds, which identifies its incarnation.
    pub incarnation: u64,
    /// Streams in the batch.
    pub running_count: usize,
    /// Queued requests.
    pub waiting_count: usize,
    /// Maximum number of streams in the batch.
    pub max_running_count: usize,
    /// Blocks in the prefix cache.
    #[serde(default)]
    pub cached_blocks: usize,
    /// Capacity of the prefix cache, in blocks.
    #[serde(default)]
    pub max_cached_blocks: usize,
    /// Whether the target will shut down soon and shouldn't get new requests.
    pub leaving: bool,
}

/// Counters since the start of an engine.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Requests accepted into the batch or the queue.
    pub run_count: u64,
    /// Streams that generated all their tokens.
    pub finished_count: u64,
    /// Streams cancelled by a caller.
    pub cancelled_count: u64,
    /// Streams cancelled because they had no reader for the resume window.
    pub abandoned_count: u64,
    /// Successful resumptions.
    pub resumed_count: u64,
    /// Requests rejected.
    pub refused_count: u64,
    /// Requests accepted while `leaving` was set.
    pub run_while_leaving_count: u64,
    /// Requests whose attempt id had been used before.
    pub repeated_attempt_count: u64,
    /// Tokens generated.
    pub token_count: u64,
    /// Prompt tokens, including cached ones.
    pub prompt_token_count: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_token_count: u64,
    /// Peak number of streams in the batch.
    pub peak_running_count: usize,
    /// Peak number of queued requests.
    pub peak_waiting_count: usize,
    /// Time of streams in the batch, summed over streams.
    pub busy_slot_ms: f64,
    /// Time since the start.
    pub uptime_ms: u64,
}
