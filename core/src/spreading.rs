//! Spreads requests over targets when the reports of their load are older than the requests that
//! they run.
//!
//! Load pattern: hundreds of routers share a service of a few targets with few slots. Between two
//! reports of a router, the fleet sends each target many requests, and those in the reports have
//! ended. If every router sent to the target with the least reported load, all of them would choose
//! the same one, whose queue overflows while others are idle.
//!
//! Requests that the reports don't show yet are therefore assumed to fill up the targets evenly, and
//! a router draws a target in proportion to what it takes to reach the common level. With fresh
//! reports this is the target with the least load; with old ones it is a random target.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

/// What is known of the load of a service, beside the requests of single targets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLoad {
    /// Requests per second that all routers send to the service.
    pub arrivals_per_s: f64,
    /// Mean time that a target takes for a request.
    pub service_time: Duration,
    /// Mean age of the other routers' reports.
    pub report_age: Duration,
}

impl ServiceLoad {
    /// Fraction of the reported requests that are still running, 0 to 1.
    pub fn running_part(&self) -> f64 {
        let service_s = self.service_time.as_secs_f64();
        if service_s <= 0.0 {
            return 0.0;
        }
        (1.0 - self.report_age.as_secs_f64() / service_s).clamp(0.0, 1.0)
    }

    /// Expected number of requests that run and aren't reported yet.
    pub fn unreported_count(&self) -> f64 {
        let age = self.report_age.min(self.service_time);
        self.arrivals_per_s * age.as_secs_f64()
    }
}

/// A target with its slots and the requests that are assumed to occupy them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Filling {
    /// Requests that the target can run at the same time.
    pub slots: f64,
    /// Requests known to be running, with any charge for choosing the target.
    pub running_count: f64,
}

/// Index of the drawn target, or `None` without any. `unreported_count` requests are on their way
/// besides those that are known; `draw` is uniformly distributed from 0 to 1.
pub fn draw(fillings: &[Filling], unreported_count: f64, draw: f64) -> Option<usize> {
    // The request itself needs room, too.
    let level = level(fillings, unreported_count + 1.0)?;
    let room = |filling: &Filling| (level * filling.slots - filling.running_count).max(0.0);
    draw_by_weight(&fillings.iter().map(room).collect::<SmallVec<[f64; 32]>>(), draw)
}

/// Index drawn in proportion to the weights, which aren't negative; `None` if all are 0. `draw` is
/// uniformly distributed from 0 to 1.
pub fn draw_by_weight(weights: &[f64], draw: f64) -> Option<usize> {
    let mut left = draw * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return Some(i);
        }
    }
    weights.iter().position(|weight| *weight > 0.0)
}

/// Work of one router for a service, from which follows what the others have sent and not reported.
///
/// Load pattern: some ten to hundreds of routers send prompts to the same targets, each of which gets
/// several between two reports of a router. All routers see the same target as the least busy one
/// until the next reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnreportedWork {
    tokens_per_s: f64,
    counted_at: Option<Instant>,
}

/// Time over which the rate of a router's work is averaged: some requests of one router.
const RATE_TIME: Duration = Duration::from_secs(2);

impl UnreportedWork {
    /// Counts a request that this router sends; `unread_tokens` of its prompt are to be prefilled.
    pub fn record_send(&mut self, unread_tokens: u32, now: Instant) {
        self.tokens_per_s = self.rate(now) + f64::from(unread_tokens) / RATE_TIME.as_secs_f64();
        self.counted_at = Some(now);
    }

    /// Tokens to be prefilled that this router sends per second.
    fn rate(&self, now: Instant) -> f64 {
        let age = self.counted_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.tokens_per_s * (-age.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }

    /// Tokens that other routers are expected to have sent to each of `target_count` targets and not
    /// reported yet. `demand_part` is this router's part of the service's requests, 0 to 1.
    pub fn tokens_per_target(
        &self,
        demand_part: f64,
        report_age: Duration,
        target_count: usize,
        now: Instant,
    ) -> f64 {
        if demand_part <= 0.0 || target_count == 0 {
            return 0.0;
        }
        let others_per_s = self.rate(now) * (1.0 / demand_part.min(1.0) - 1.0);
        others_per_s * report_age.as_secs_f64() / target_count as f64
    }
}

/// Part of their slots up to which the targets are filled by `count` more requests; `None` without
/// targets.
fn level(fillings: &[Filling], count: f64) -> Option<f64> {
    let ratio = |filling: &Filling| filling.running_count / filling.slots.max(1.0);
    let mut sorted = fillings.iter().collect::<SmallVec<[&Filling; 32]>>();
    sorted.sort_by(|a, b| ratio(a).total_cmp(&ratio(b)));
    let (mut slots, mut running) = (0.0, 0.0);
    let mut level = None;
    for filling in sorted {
        if level.is_some_and(|level| ratio(filling) >= level) {
            break;
        }
        slots += filling.slots.max(1.0);
        running += filling.running_count;
        level = Some((running + count) / slots);
    }
    level
}
