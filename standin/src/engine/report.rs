//! What an engine reports and counts.

use serde::{Deserialize, Serialize};

/// Load report of a target.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// When the report was made, in Unix time.
    pub at_ms: u64,
    /// Number of the target's life.
    pub incarnation: u64,
    /// Streams in the batch.
    pub running_count: usize,
    /// Requests that wait for the batch.
    pub waiting_count: usize,
    /// Most streams in the batch.
    pub max_running_count: usize,
    /// Blocks in the prefix cache.
    #[serde(default)]
    pub cached_blocks: usize,
    /// Most blocks in the prefix cache.
    #[serde(default)]
    pub max_cached_blocks: usize,
    /// Whether the target is about to leave.
    pub leaving: bool,
}

/// What an engine has counted since its start.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Requests that were admitted or queued.
    pub run_count: u64,
    /// Answers made whole.
    pub finished_count: u64,
    /// Streams cancelled by their callers.
    pub cancelled_count: u64,
    /// Streams cancelled because nobody read them.
    pub abandoned_count: u64,
    /// Resumptions.
    pub resumed_count: u64,
    /// Requests refused.
    pub refused_count: u64,
    /// Requests taken while leaving.
    pub run_while_leaving_count: u64,
    /// Attempt ids that came more than once.
    pub repeated_attempt_count: u64,
    /// Tokens made.
    pub token_count: u64,
    /// Tokens of prompts read, cached ones included.
    pub prompt_token_count: u64,
    /// Tokens of prompts that the cache held.
    pub cached_token_count: u64,
    /// Greatest number of streams in the batch.
    pub peak_running_count: usize,
    /// Greatest number of requests that waited for the batch.
    pub peak_waiting_count: usize,
    /// Time spent by streams in the batch, summed over streams.
    pub busy_slot_ms: f64,
    /// Time since the start.
    pub uptime_ms: u64,
}
