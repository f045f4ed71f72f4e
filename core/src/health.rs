//! Health of targets, from the results of this router's own requests (outlier ejection).
//!
//! A target may fail or hang while it reports itself as healthy. Such a target is ejected, which
//! means that it receives no requests for a while, then a single trial request.
//! [`MAX_EJECTED_RATIO`] limits ejection so that the remaining targets aren't overloaded.

use std::time::Duration;

use tokio::time::Instant;

use crate::report::{Hash, HashKeyed};

/// Consecutive failures after which a target is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;

/// Failure rate of recent requests above which a target is ejected.
const EJECT_ABOVE_FAILURE_RATE: f64 = 0.3;

/// Weight of one request in the moving average of the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Duration of the first ejection; it doubles with each further one up to `MAX_EJECT_TIME`.
const EJECT_TIME: Duration = Duration::from_millis(1500);

/// Longest duration of an ejection.
const MAX_EJECT_TIME: Duration = Duration::from_secs(6);

/// Largest fraction of a service's reachable targets that may be excluded by ejection. The caller
/// applies it: beyond this fraction it also uses ejected targets.
pub const MAX_EJECTED_RATIO: f64 = 0.34;

/// How a request failed at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target's process can't be reached, or another one has its address.
    Unreachable,
    /// The target was reached but gave no valid answer.
    NoValidAnswer,
}

#[derive(Clone, Debug, Default)]
struct State {
    consecutive_failures: u32,
    is_unreachable: bool,
    failure_rate: f64,
    ejected_until: Option<Instant>,
    eject_time: Duration,
    trial_started_at: Option<Instant>,
}

/// Health of all targets with recent failures.
#[derive(Debug, Default)]
pub struct Health {
    targets: HashKeyed<State>,
}

/// Change of a target's state by a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// The target is now ejected.
    Ejected,
    /// The target is no longer ejected.
    Restored,
}

impl Health {
    /// Whether a target is ejected at `now`. After its ejection time it counts as ejected while a
    /// trial request is in flight.
    pub fn is_ejected(&self, target: Hash, now: Instant) -> bool {
        self.targets.get(&target).is_some_and(|state| match state.ejected_until {
            Some(until) if now < until => true,
            // Allows one trial request at a time; a trial without a result ends after `EJECT_TIME`.
            Some(_) => state.trial_started_at.is_some_and(|at| now.duration_since(at) < EJECT_TIME),
            None => false,
        })
    }

    /// Whether a target is ejected because its process is unreachable, so that no request can run
    /// there.
    pub fn is_unreachable(&self, target: Hash, now: Instant) -> bool {
        self.targets.get(&target).is_some_and(|state| state.is_unreachable)
            && self.is_ejected(target, now)
    }

    /// Whether a target was ejected and hasn't served a request since.
    pub fn is_unproven(&self, target: Hash) -> bool {
        self.targets.get(&target).is_some_and(|state| state.ejected_until.is_some())
    }

    /// Records that a request was sent; it is the trial if the target's ejection time is over.
    pub fn record_sent(&mut self, target: Hash, now: Instant) {
        if let Some(state) = self.targets.get_mut(&target)
            && state.ejected_until.is_some_and(|until| now >= until)
        {
            state.trial_started_at = Some(now);
        }
    }

    /// Records a request that the target served.
    pub fn record_success(&mut self, target: Hash) -> Change {
        let Some(state) = self.targets.get_mut(&target) else { return Change::None };
        state.consecutive_failures = 0;
        state.is_unreachable = false;
        state.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        state.trial_started_at = None;
        if state.ejected_until.take().is_some() {
            state.failure_rate = 0.0;
            return Change::Restored;
        }
        state.eject_time = Duration::ZERO;
        Change::None
    }

    /// Records a request that failed at the target.
    pub fn record_failure(&mut self, target: Hash, failure: Failure, now: Instant) -> Change {
        let state = self.targets.entry(target).or_default();
        state.is_unreachable = failure == Failure::Unreachable;
        state.consecutive_failures += 1;
        state.failure_rate += (1.0 - state.failure_rate) * FAILURE_RATE_WEIGHT;
        let is_trial = state.ejected_until.is_some_and(|until| now >= until);
        let is_bad = failure == Failure::Unreachable
            || is_trial
            || state.consecutive_failures >= EJECT_AFTER_FAILURES
            || state.failure_rate > EJECT_ABOVE_FAILURE_RATE;
        if !is_bad || state.ejected_until.is_some_and(|until| now < until) {
            return Change::None;
        }
        let longer = (state.eject_time * 2).clamp(EJECT_TIME, MAX_EJECT_TIME);
        state.eject_time = longer;
        state.ejected_until = Some(now + longer);
        state.trial_started_at = None;
        Change::Ejected
    }

    /// Drops the state of a target, for example when it leaves.
    pub fn forget(&mut self, target: Hash) {
        self.targets.remove(&target);
    }
}
