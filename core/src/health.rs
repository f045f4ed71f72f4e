//! Health of targets, from the results of this router's own requests.
//!
//! Load pattern: a few targets fail or hang while they say that they are well. They get no work for
//! a while, then one request as a trial. Never are so many left out that the rest drowns.

use std::time::Duration;

use tokio::time::Instant;

use crate::report::{Hash, HashKeyed};

/// Failures in a row after which a target is left out.
const FAILURES_TO_EJECT: u32 = 3;

/// Failed part of recent requests above which a target is left out.
const FAILED_PART_TO_EJECT: f64 = 0.3;

/// Weight of one request in the recent part that failed.
const RECENT_WEIGHT: f64 = 0.1;

/// First time for which a target is left out; it doubles up to the longest.
const EJECT_TIME: Duration = Duration::from_millis(1500);

/// Longest time for which a target is left out.
const MAX_EJECT_TIME: Duration = Duration::from_secs(6);

/// Largest part of a service's targets that is left out.
pub const MAX_EJECTED_RATIO: f64 = 0.34;

/// How a request failed at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The target's process is away, or another one has its address.
    Unreachable,
    /// The target gave no proper answer.
    NoValidAnswer,
}

#[derive(Clone, Debug, Default)]
struct State {
    failures_in_row: u32,
    is_unreachable: bool,
    failed_part: f64,
    ejected_until: Option<Instant>,
    eject_time: Duration,
    trial_since: Option<Instant>,
}

/// Health of all targets.
#[derive(Debug, Default)]
pub struct Health {
    targets: HashKeyed<State>,
}

/// What a result has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// The target is left out.
    Ejected,
    /// The target takes work again.
    Restored,
}

impl Health {
    /// Whether a target is left out now.
    pub fn is_ejected(&self, target: Hash, now: Instant) -> bool {
        self.targets.get(&target).is_some_and(|state| match state.ejected_until {
            Some(until) if now < until => true,
            // Past its time: one trial at once.
            Some(_) => state.trial_since.is_some_and(|at| now.duration_since(at) < EJECT_TIME),
            None => false,
        })
    }

    /// Whether a target is left out because its process is away, so that nothing can run there.
    pub fn is_unreachable(&self, target: Hash, now: Instant) -> bool {
        self.targets.get(&target).is_some_and(|state| state.is_unreachable)
            && self.is_ejected(target, now)
    }

    /// Notes that a request is sent, which may be the trial of a target that was left out.
    pub fn record_sent(&mut self, target: Hash, now: Instant) {
        if let Some(state) = self.targets.get_mut(&target)
            && state.ejected_until.is_some_and(|until| now >= until)
        {
            state.trial_since = Some(now);
        }
    }

    /// Notes a request that the target has served.
    pub fn record_success(&mut self, target: Hash) -> Change {
        let Some(state) = self.targets.get_mut(&target) else { return Change::None };
        state.failures_in_row = 0;
        state.is_unreachable = false;
        state.failed_part *= 1.0 - RECENT_WEIGHT;
        state.trial_since = None;
        if state.ejected_until.take().is_some() {
            state.failed_part = 0.0;
            return Change::Restored;
        }
        state.eject_time = Duration::ZERO;
        Change::None
    }

    /// Notes a request that the target has failed.
    pub fn record_failure(&mut self, target: Hash, failure: Failure, now: Instant) -> Change {
        let state = self.targets.entry(target).or_default();
        state.is_unreachable = failure == Failure::Unreachable;
        state.failures_in_row += 1;
        state.failed_part += (1.0 - state.failed_part) * RECENT_WEIGHT;
        let is_trial = state.ejected_until.is_some_and(|until| now >= until);
        let is_bad = failure == Failure::Unreachable
            || is_trial
            || state.failures_in_row >= FAILURES_TO_EJECT
            || state.failed_part > FAILED_PART_TO_EJECT;
        if !is_bad || state.ejected_until.is_some_and(|until| now < until) {
            return Change::None;
        }
        let longer = (state.eject_time * 2).clamp(EJECT_TIME, MAX_EJECT_TIME);
        state.eject_time = longer;
        state.ejected_until = Some(now + longer);
        state.trial_since = None;
        Change::Ejected
    }

    /// Forgets a target.
    pub fn forget(&mut self, target: Hash) {
        self.targets.remove(&target);
    }
}
