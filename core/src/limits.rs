//! Limits of a team in a whole cell: concurrent requests and service per second.

use std::time::Duration;

use tokio::time;

use crate::table;

/// Capacity of the bucket, as time at the team's rate.
const MAX_BURST: Duration = Duration::from_secs(1);

/// Token bucket over service cost. Service is charged once its cost is known, so the level may be
/// negative; no request starts until it is back at 0.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    available_cost: f64,
    refilled_at: time::Instant,
}

impl TokenBucket {
    /// Creates a full bucket; a rate of 0 counts as 1.
    pub fn new(rate_per_s: u32, now: time::Instant) -> TokenBucket {
        let rate_per_s = f64::from(rate_per_s.max(1));
        TokenBucket {
            rate_per_s,
            available_cost: rate_per_s * MAX_BURST.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Charges service, or refunds it if `cost` is negative.
    pub fn charge(&mut self, cost: f64) {
        self.available_cost -= cost;
    }

    /// Refills the bucket up to `now`; returns when a request may start, `None` meaning now.
    pub fn ready_at(&mut self, now: time::Instant) -> Option<time::Instant> {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let max = self.rate_per_s * MAX_BURST.as_secs_f64();
        self.available_cost =
            (self.available_cost + elapsed.as_secs_f64() * self.rate_per_s).min(max);
        self.refilled_at = self.refilled_at.max(now);
        let missing_s = -self.available_cost / self.rate_per_s;
        (missing_s > 0.0)
            .then(|| now + Duration::from_secs_f64(missing_s.clamp(MIN_WAIT_S, MAX_WAIT_S)))
    }
}

/// Shortest time until a limited team is checked again, in seconds. Without it a remainder that
/// rounds to 0 would make the caller wake up in a busy loop.
const MIN_WAIT_S: f64 = 0.001;

/// Longest time until a limited team is checked again, in seconds.
const MAX_WAIT_S: f64 = 3_600.0;

/// Limits of one team and the state of its token bucket.
#[derive(Clone, Debug, Default)]
pub struct TeamLimits {
    max_concurrent_requests: Option<u32>,
    max_tokens_per_s: Option<u32>,
    bucket: Option<TokenBucket>,
}

impl TeamLimits {
    /// Sets the limits from the team's row of the table; an unchanged rate keeps the bucket's
    /// level.
    pub fn set(&mut self, limits: Option<&table::Limits>, now: time::Instant) {
        self.max_concurrent_requests = limits.and_then(|limits| limits.max_concurrent_requests);
        let rate_per_s = limits.and_then(|limits| limits.max_tokens_per_s);
        if rate_per_s != self.max_tokens_per_s {
            self.bucket = rate_per_s.map(|rate_per_s| TokenBucket::new(rate_per_s, now));
            self.max_tokens_per_s = rate_per_s;
        }
    }

    /// Charges service to the team's bucket, if its rate is limited.
    pub fn charge(&mut self, cost: f64) {
        if let Some(bucket) = &mut self.bucket {
            bucket.charge(cost);
        }
    }

    /// Whether one more request may run in addition to `running_count`.
    pub fn allow_concurrent(&self, running_count: u32) -> bool {
        self.max_concurrent_requests.is_none_or(|max| running_count < max)
    }

    /// When the rate limit allows a request to start, `None` meaning now.
    pub fn ready_at(&mut self, now: time::Instant) -> Option<time::Instant> {
        self.bucket.as_mut().and_then(|bucket| bucket.ready_at(now))
    }
}
