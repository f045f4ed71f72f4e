//! Recognizes requests that come back after a refusal, by the time that their callers still wait.
//!
//! Load pattern: in overload most requests are refused once and come back a second later. By then
//! they have missed their latency target, which counts from the first try, but look like new ones.
//! If they compete with new requests as equals, targets spend their time on answers that are late
//! anyway, and new requests are refused and come back late, too.
//!
//! Callers of a route state similar time limits on their first try, and less on a later one. The
//! usual limits are learned from teams whose requests are all sent, as almost none of theirs comes
//! back.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of requests from which the usual limits are computed.
const SAMPLE_COUNT: usize = 32;

/// Minimum number of requests before any is recognized.
const MIN_SAMPLE_COUNT: usize = 8;

/// Part of the sampled requests that may have come back all the same.
const RETURNED_PART: f64 = 0.1;

/// The time limits that callers of one route state.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    samples: VecDeque<Duration>,
    /// Lowest limit of a first try.
    least: Option<Duration>,
}

impl Patience {
    /// Adds the time limit of a request that is likely a first try.
    pub fn sample(&mut self, limit: Duration) {
        if self.samples.len() >= SAMPLE_COUNT {
            self.samples.pop_front();
        }
        self.samples.push_back(limit);
        if self.samples.len() >= MIN_SAMPLE_COUNT {
            let mut sorted = self.samples.iter().copied().collect::<Vec<_>>();
            sorted.sort_unstable();
            self.least = Some(sorted[(sorted.len() as f64 * RETURNED_PART) as usize]);
        }
    }

    /// Time that a caller with this limit has waited at least since its first try.
    pub fn waited(&self, limit: Duration) -> Duration {
        self.least.map_or(Duration::ZERO, |least| least.saturating_sub(limit))
    }
}
