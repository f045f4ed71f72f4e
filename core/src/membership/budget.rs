//! Rate limit for datagrams.

use std::time::Duration;

use tokio::time;

/// A token bucket with one token per datagram.
#[derive(Debug)]
pub(super) struct Budget {
    per_s: f64,
    burst_count: f64,
    token_count: f64,
    filled_at: time::Instant,
}

impl Budget {
    /// Creates a full bucket.
    pub(super) fn new(per_s: f64, burst_count: f64, now: time::Instant) -> Budget {
        Budget { per_s, burst_count, token_count: burst_count, filled_at: now }
    }

    /// Takes a token; returns false if there is none.
    pub(super) fn take(&mut self, now: time::Instant) -> bool {
        let added_count = now.saturating_duration_since(self.filled_at).as_secs_f64() * self.per_s;
        self.token_count = (self.token_count + added_count).min(self.burst_count);
        self.filled_at = now;
        if self.token_count < 1.0 {
            return false;
        }
        self.token_count -= 1.0;
        true
    }

    /// Time at which a token is available.
    pub(super) fn next_at(&self) -> time::Instant {
        let missing_count = (1.0 - self.token_count).max(0.0);
        // Adds 1 ms, so that rounding can't cause a wakeup before the token is available.
        self.filled_at
            + Duration::from_secs_f64(missing_count / self.per_s)
            + Duration::from_millis(1)
    }
}
