//! A bound on how often something is sent.

use std::time::Duration;

use tokio::time;

/// A token bucket.
#[derive(Debug)]
pub(super) struct Budget {
    per_s: f64,
    burst_count: f64,
    left_count: f64,
    filled_at: time::Instant,
}

impl Budget {
    /// Creates a full bucket.
    pub(super) fn new(per_s: f64, burst_count: f64, now: time::Instant) -> Budget {
        Budget { per_s, burst_count, left_count: burst_count, filled_at: now }
    }

    /// Takes one, if there is one.
    pub(super) fn take(&mut self, now: time::Instant) -> bool {
        let gained = now.saturating_duration_since(self.filled_at).as_secs_f64() * self.per_s;
        self.left_count = (self.left_count + gained).min(self.burst_count);
        self.filled_at = now;
        if self.left_count < 1.0 {
            return false;
        }
        self.left_count -= 1.0;
        true
    }

    /// When there is one again.
    pub(super) fn next_at(&self) -> time::Instant {
        let lacking = (1.0 - self.left_count).max(0.0);
        // A little later, so that rounding can't wake too early.
        self.filled_at + Duration::from_secs_f64(lacking / self.per_s) + Duration::from_millis(1)
    }
}
