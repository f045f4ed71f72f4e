//! Pacing of teams that ask for more than their share: each router sends its part of the team's
//! share at an even rate.
//!
//! Load pattern: a team calls all routers and asks for several times its share. What all routers
//! know of it is up to a second old, so routers that only follow it start and stop together. The
//! team then takes the whole fleet in bursts, and teams that call few routers get too little. A
//! router's part of the demand changes slowly, and what it has sent itself it knows at once.

use std::time::Duration;

use tokio::time::Instant;

/// Rate of a router as a multiple of its part of the team's share. Above 1, so that the team can use
/// what other teams or routers leave; the sums of all routers limit its mean rate.
const RATE_FACTOR: f64 = 1.5;

/// Longest time for which a router can be ahead of its pace or behind it.
const MAX_LEAD: Duration = Duration::from_secs(1);

/// Increase of the share ratio for each second ahead of the pace.
const RATIO_PER_LEAD_S: f64 = 0.5;

/// Pace of one team at one router.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    tokens_per_s: f64,
    /// Tokens sent ahead of the pace; negative if behind it.
    lead_tokens: f64,
    updated_at: Instant,
}

impl Pace {
    /// Creates a pace with a rate of 0, which is neither ahead nor behind.
    pub fn new(now: Instant) -> Pace {
        Pace { tokens_per_s: 0.0, lead_tokens: 0.0, updated_at: now }
    }

    /// Sets this router's part of the team's share, in tokens per second.
    pub fn set_share(&mut self, tokens_per_s: f64, now: Instant) {
        self.advance(now);
        self.tokens_per_s = tokens_per_s * RATE_FACTOR;
        self.limit_lead();
    }

    /// Counts tokens that were sent to a target.
    pub fn count_sent(&mut self, tokens: f64, now: Instant) {
        self.advance(now);
        self.lead_tokens += tokens;
        self.limit_lead();
    }

    /// Lets time pass until `now`.
    pub fn advance(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.updated_at);
        self.updated_at = now;
        self.lead_tokens -= self.tokens_per_s * elapsed.as_secs_f64();
        self.limit_lead();
    }

    fn limit_lead(&mut self) {
        let max_tokens = self.tokens_per_s * MAX_LEAD.as_secs_f64();
        self.lead_tokens = self.lead_tokens.clamp(-max_tokens, max_tokens);
    }

    /// Whether the router is ahead of its pace.
    pub fn is_ahead(&self) -> bool {
        self.lead_tokens > 0.0
    }

    /// The least share ratio that applies to the team at this router.
    pub fn min_ratio(&self) -> f64 {
        if !self.is_ahead() || self.tokens_per_s <= 0.0 {
            return 0.0;
        }
        1.0 + RATIO_PER_LEAD_S * self.lead_tokens / self.tokens_per_s
    }
}
