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
    let total = fillings.iter().map(room).sum::<f64>();
    let mut left = draw * total;
    for (i, filling) in fillings.iter().enumerate() {
        left -= room(filling);
        if left < 0.0 {
            return Some(i);
        }
    }
    fillings.iter().position(|filling| room(filling) > 0.0)
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
