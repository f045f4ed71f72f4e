//! Limits of a team that hold in the whole cell.

use std::time::Duration;

use tokio::time;

use crate::table;

/// Service that an idle team may save up, as time at its rate.
const BURST: Duration = Duration::from_secs(1);

/// Leave to use service at a limited rate. Service is taken when it is known, so the level may be
/// below 0; nothing new starts until it is back.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    level_cost: f64,
    at: time::Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_s: u32, now: time::Instant) -> TokenBucket {
        let rate_per_s = f64::from(rate_per_s.max(1));
        TokenBucket { rate_per_s, level_cost: rate_per_s * BURST.as_secs_f64(), at: now }
    }

    /// Takes service, or gives it back if `cost` is negative.
    pub fn charge(&mut self, cost: f64) {
        self.level_cost -= cost;
    }

    /// Refills the bucket up to `now`; returns when a request may start if not now.
    pub fn ready_at(&mut self, now: time::Instant) -> Option<time::Instant> {
        let passed = now.saturating_duration_since(self.at);
        let most = self.rate_per_s * BURST.as_secs_f64();
        self.level_cost = (self.level_cost + passed.as_secs_f64() * self.rate_per_s).min(most);
        self.at = self.at.max(now);
        let missing_s = -self.level_cost / self.rate_per_s;
        (missing_s > 0.0)
            .then(|| now + Duration::from_secs_f64(missing_s.clamp(MIN_WAIT_S, MAX_WAIT_S)))
    }
}

/// Shortest time until a limited team is looked at again, in seconds. A remainder that rounds to no
/// time at all would have the caller wake for ever.
const MIN_WAIT_S: f64 = 0.001;

/// Longest time until a limited team is looked at again, in seconds.
const MAX_WAIT_S: f64 = 3_600.0;

/// Limits of one team and how far they are used.
#[derive(Clone, Debug, Default)]
pub struct TeamLimits {
    max_concurrent_requests: Option<u32>,
    max_tokens_per_s: Option<u32>,
    bucket: Option<TokenBucket>,
}

impl TeamLimits {
    /// Takes the limits of the team's row; a rate that hasn't changed keeps its level.
    pub fn set(&mut self, limits: Option<&table::Limits>, now: time::Instant) {
        self.max_concurrent_requests = limits.and_then(|limits| limits.max_concurrent_requests);
        let rate_per_s = limits.and_then(|limits| limits.max_tokens_per_s);
        if rate_per_s != self.max_tokens_per_s {
            self.bucket = rate_per_s.map(|rate_per_s| TokenBucket::new(rate_per_s, now));
            self.max_tokens_per_s = rate_per_s;
        }
    }

    /// Notes service charged to the team.
    pub fn charge(&mut self, cost: f64) {
        if let Some(bucket) = &mut self.bucket {
            bucket.charge(cost);
        }
    }

    /// Whether one more request may run beside `running_count`.
    pub fn allow_concurrent(&self, running_count: u32) -> bool {
        self.max_concurrent_requests.is_none_or(|most| running_count < most)
    }

    /// When the rate allows a request to start, if not now.
    pub fn ready_at(&mut self, now: time::Instant) -> Option<time::Instant> {
        self.bucket.as_mut().and_then(|bucket| bucket.ready_at(now))
    }
}
