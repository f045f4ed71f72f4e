//! Which targets may receive a request from this router now, by their health and by what they state
//! in responses. Targets that leave aren't asked here: the [registry](crate::registry) keeps that for
//! the whole incarnation.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::cold::Cold;
use crate::health::{self, Health};
use crate::holds::Holds;
use crate::registry::Target;
use crate::report::Hash;
use crate::target_limit::TargetLimits;

/// A target and the hash of its incarnation.
pub type Entry = (Arc<Target>, Hash);

/// Longest expected time until a target takes a request.
const MAX_OPENING_TIME: Duration = Duration::from_secs(60);

/// State of targets that decides which of them may receive a request.
#[derive(Debug)]
pub struct Eligibility<'a> {
    /// Health by the results of this router's requests.
    pub health: &'a Health,
    /// Limits that all routers share.
    pub limits: &'a mut TargetLimits,
    /// Times for which targets want no requests from this router.
    pub holds: &'a Holds,
    /// Targets that have started a short time ago.
    pub cold: &'a Cold,
    /// This router's part of the demand for the targets' service.
    pub demand_part: f64,
}

impl Eligibility<'_> {
    /// Whether a target takes a request from this router, if it is healthy.
    pub fn is_open(&mut self, target: Hash, now: Instant) -> bool {
        // Last, as it may use up an opening.
        self.holds.ends_in(target, now).is_none()
            && self.cold.may_send(target, self.limits, now)
            && self.limits.may_send(target, self.demand_part, now)
    }

    /// Selects the targets among which a request may be placed. Ejected ones count if too many are
    /// ejected, and unreachable ones if there are no others.
    pub fn select<'t>(
        &mut self,
        targets: impl Iterator<Item = &'t Entry>,
        now: Instant,
    ) -> SmallVec<[&'t Entry; 32]> {
        let (mut usable, mut ejected, mut unreachable) =
            (SmallVec::new(), SmallVec::<[_; 8]>::new(), SmallVec::new());
        for entry in targets {
            if !self.is_open(entry.1, now) {
                continue;
            }
            match self.health.is_ejected(entry.1, now) {
                false => usable.push(entry),
                true if self.health.is_unreachable(entry.1, now) => unreachable.push(entry),
                true => ejected.push(entry),
            }
        }
        let reachable_count = (usable.len() + ejected.len()) as f64;
        if (usable.len() as f64) < reachable_count * (1.0 - health::MAX_EJECTED_RATIO) {
            // With too many targets ejected, the rest would be overloaded.
            usable.extend(ejected);
        }
        if usable.is_empty() { unreachable } else { usable }
    }

    /// Expected time until one of the targets takes a request that `ahead_count` others precede; zero
    /// if one of them has no limit and wants requests.
    pub fn opens_in<'t>(
        &self,
        targets: impl Iterator<Item = &'t Entry>,
        ahead_count: u32,
        now: Instant,
    ) -> Duration {
        if self.limits.limited_count() == 0 && self.holds.is_empty() && self.cold.is_empty() {
            return Duration::ZERO;
        }
        let (mut rate_per_s, mut hold_end) = (0.0, MAX_OPENING_TIME);
        for (_, hash) in targets {
            match self.holds.ends_in(*hash, now) {
                Some(left) => hold_end = hold_end.min(left),
                None => {
                    let limit_per_s = self.limits.rate_per_s(*hash, self.demand_part);
                    let cold = self.cold.state(*hash, now);
                    rate_per_s += cold.map_or(limit_per_s, |cold| cold.rate_per_s.min(limit_per_s));
                    // The target may have a limit beyond that time, too.
                    let warm = cold.filter(|_| limit_per_s.is_infinite());
                    hold_end = warm.map_or(hold_end, |cold| hold_end.min(cold.ends_in));
                }
            }
        }
        let opening_s = f64::from(1 + ahead_count) / rate_per_s;
        Duration::from_secs_f64(opening_s.min(MAX_OPENING_TIME.as_secs_f64())).min(hold_end)
    }
}
