//! Limits that targets state on the requests they take from all routers together.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::report::{Hash, HashKeyed};

/// Window over which a target counts requests against its limit.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Time for which sends are kept: the longest window of a limit below one request per [`WINDOW`].
const MAX_WINDOW: Duration = Duration::from_secs(10);

/// Granularity of the counts of sends.
const BUCKET_TIME: Duration = Duration::from_millis(100);

/// Change of a target's limit by a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Limit before, in requests per second.
    pub before_per_s: Option<f64>,
    /// Limit from now on; `None` if the target has no limit any more.
    pub limit_per_s: Option<f64>,
}

/// Requests sent to one target within [`MAX_WINDOW`].
#[derive(Debug, Default)]
struct Sends {
    /// Counts with the start of their time, the oldest first.
    buckets: VecDeque<(Instant, u32)>,
}

impl Sends {
    fn record(&mut self, now: Instant) {
        let is_kept = |at: Instant| now.duration_since(at) < MAX_WINDOW + BUCKET_TIME;
        while self.buckets.front().is_some_and(|(at, _)| !is_kept(*at)) {
            self.buckets.pop_front();
        }
        match self.buckets.back_mut() {
            Some((at, count)) if now.duration_since(*at) < BUCKET_TIME => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
    }

    fn count(&self, window: Duration, now: Instant) -> u32 {
        // A bucket counts until its last request has left the window.
        let recent =
            self.buckets.iter().rev().take_while(|(at, _)| now - *at < window + BUCKET_TIME);
        recent.map(|(_, count)| count).sum()
    }
}

#[derive(Debug, Default)]
struct State {
    sends: Sends,
    limit_per_s: Option<f64>,
}

/// Limits of all targets and the requests sent to them.
#[derive(Debug, Default)]
pub struct TargetLimits {
    targets: HashKeyed<State>,
}

impl TargetLimits {
    /// Counts a request that is sent to a target.
    pub fn record_send(&mut self, target: Hash, now: Instant) {
        self.targets.entry(target).or_default().sends.record(now);
    }

    /// Records what a target states in a response; returns the change of its limit.
    pub fn record_answer(&mut self, target: Hash, limit_per_s: Option<f64>) -> Option<Change> {
        let state = self.targets.entry(target).or_default();
        let before_per_s = std::mem::replace(&mut state.limit_per_s, limit_per_s);
        (before_per_s != limit_per_s).then_some(Change { before_per_s, limit_per_s })
    }

    /// Requests that this router has sent to a target within [`WINDOW`].
    pub fn sent_count(&self, target: Hash, now: Instant) -> u32 {
        self.targets.get(&target).map_or(0, |state| state.sends.count(WINDOW, now))
    }

    /// Drops the state of a target.
    pub fn forget(&mut self, target: Hash) {
        self.targets.remove(&target);
    }
}
