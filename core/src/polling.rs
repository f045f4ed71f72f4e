//! When a router polls a topic of the platform's store itself.
//!
//! Load pattern: hundreds of routers follow the same topics, each call is charged for, and every
//! change would end the long poll of each of them.
//!
//! One router therefore polls for all and relays what it reads: the first in the topic's rendezvous
//! order of routers. Each of its polls confirms the view of every router that hears of it, also if
//! there was no new record. A router whose view isn't confirmed in time polls itself, the earlier
//! the further up it is in the order, and relays the result. So the loss of the first router, or of
//! its path to the store, needs neither detection nor an election.

use std::time::Duration;

use tokio::time::Instant;

use crate::report::{self, Topic};

/// Length of a long poll of the first router, as a part of the bound within which records must be
/// known.
const LONG_POLL_PART: f64 = 0.4;

/// Age of a view, as a part of the bound, from which the second router polls.
const MAX_AGE_PART: f64 = 0.5;

/// Additional age, as a part of the bound, for each further router in the order. It leaves time for
/// a poll and for relaying its result.
const RANK_PART: f64 = 0.025;

/// Position in the order from which routers poll at the same age: by then the failure isn't one of
/// single routers.
const LAST_RANK: usize = 10;

/// Age of a view, as a part of the bound, that only an outage of the store explains.
const OUTAGE_PART: f64 = 0.85;

/// Delay after the first failed call; doubles with each further one.
pub const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum delay after failed calls of the first routers, as a part of the bound.
const FIRST_BACKOFF_PART: f64 = 0.25;

/// Maximum delay after failed calls of the last routers, as a part of the bound. During an outage,
/// a few routers are enough to notice its end.
const LAST_BACKOFF_PART: f64 = 4.0;

/// Number of routers with the delay of the first ones, and of steps up to the last ones.
const BACKOFF_RANKS: f64 = 16.0;

/// Delay from a hint that records are missing to the poll for them, as a part of the bound. Most
/// missing records arrive with the next relayed poll.
const BEHIND_PART: f64 = 0.2;

/// Time after its start within which a router takes all registered routers for live: the routers
/// of a fleet may start at the same time, and then haven't heard of each other yet.
pub const DISCOVERY_TIME: Duration = Duration::from_secs(4);

/// Position of a router in the rendezvous order of a topic among itself and `others`; 0 is the
/// first.
pub fn rank<'a>(own: &str, others: impl Iterator<Item = &'a str>, topic: Topic) -> usize {
    let weight = |name: &str| report::hash(name, topic.number() + 1);
    let own_weight = (weight(own), own);
    others.filter(|name| *name != own && (weight(name), *name) > own_weight).count()
}

/// Timing of the polls of one topic.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Time within which routers must know a record.
    pub bound: Duration,
}

impl Policy {
    /// Length of a long poll at this position in the order. Routers other than the first poll
    /// because their view is old, and need an answer at once.
    pub fn long_poll(&self, rank: usize) -> Duration {
        if rank == 0 { self.bound.mul_f64(LONG_POLL_PART) } else { Duration::ZERO }
    }

    /// Age of the view from which a router at this position polls.
    pub fn max_age(&self, rank: usize) -> Duration {
        if rank == 0 {
            return Duration::ZERO;
        }
        let steps = (rank - 1).min(LAST_RANK) as f64;
        self.bound.mul_f64(MAX_AGE_PART + steps * RANK_PART)
    }

    /// Maximum delay after failed calls at this position.
    pub fn max_backoff(&self, rank: usize) -> Duration {
        let part = (rank as f64 / BACKOFF_RANKS).min(1.0) * LAST_BACKOFF_PART;
        self.bound.mul_f64(part.max(FIRST_BACKOFF_PART)).max(MIN_BACKOFF)
    }
}

/// What a router knows of a topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct View {
    /// Offset after the last record that was applied; `None` before the first listing.
    pub next_offset: Option<u64>,
    /// Time up to which the view is known to hold all records.
    confirmed_at: Option<Instant>,
    /// When a report first showed that records are missing.
    behind_since: Option<Instant>,
}

impl View {
    /// Whether records up to `next_offset`, read when the topic ended there at `at`, end an outage
    /// of the store; confirms the view.
    pub fn confirm(&mut self, policy: &Policy, next_offset: u64, at: Instant) -> bool {
        self.next_offset = Some(self.next_offset.unwrap_or(0).max(next_offset));
        self.behind_since = None;
        let outage = policy.bound.mul_f64(OUTAGE_PART);
        let is_first_in_long =
            self.confirmed_at.is_some_and(|before| at.saturating_duration_since(before) > outage);
        self.confirmed_at = self.confirmed_at.max(Some(at));
        is_first_in_long
    }

    /// Takes into account that another router has read up to `offset`.
    pub fn hear(&mut self, offset: u64, now: Instant) {
        if self.next_offset.is_some_and(|own| offset > own) {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Whether records are known to be missing.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Age of the view; `None` if it was never confirmed.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Time at which a router at this position polls.
    pub fn next_poll(&self, policy: &Policy, rank: usize, now: Instant) -> Instant {
        let Some(confirmed_at) = self.confirmed_at.filter(|_| self.next_offset.is_some()) else {
            return now;
        };
        let by_age = confirmed_at + policy.max_age(rank);
        let by_offset = self.behind_since.map(|since| since + policy.bound.mul_f64(BEHIND_PART));
        by_offset.map_or(by_age, |at| at.min(by_age))
    }
}
