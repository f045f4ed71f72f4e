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
//!
//! The store may come back from an old copy and give offsets out again. It numbers the times between
//! as eras, and an offset is only comparable with others of its era. A router that hears of a later
//! era lists the topic anew, in the same order of routers, and relays the listing.

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

/// Additional delay of the last routers, as a part of the bound. With a pause of a fifth of the bound
/// between polls, it lets most routers hear the next poll, which repeats the records.
const BEHIND_SPREAD_PART: f64 = 0.25;

/// Position in the order from which routers poll with all of this delay: the size of the largest
/// fleets. The routers of a zone miss the same datagram if the one that forwards it does.
const LAST_BEHIND_RANK: usize = 300;

/// Delay from the begin of an era to the listing of the second router, as a part of the bound. It
/// leaves time for the first router's listing and for relaying it.
const LISTING_PART: f64 = 0.1;

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

    /// Delay from the begin of an era to the listing of a router at this position.
    pub fn listing_delay(&self, rank: usize) -> Duration {
        if rank == 0 {
            return Duration::ZERO;
        }
        let steps = (rank - 1).min(LAST_RANK) as f64;
        self.bound.mul_f64(LISTING_PART + steps * RANK_PART)
    }

    /// Delay from a hint that records are missing to the poll for them, at this position.
    pub fn behind_delay(&self, rank: usize) -> Duration {
        let spread = rank.min(LAST_BEHIND_RANK) as f64 / LAST_BEHIND_RANK as f64;
        self.bound.mul_f64(BEHIND_PART + spread * BEHIND_SPREAD_PART)
    }

    /// Maximum delay after failed calls at this position.
    pub fn max_backoff(&self, rank: usize) -> Duration {
        let part = (rank as f64 / BACKOFF_RANKS).min(1.0) * LAST_BACKOFF_PART;
        self.bound.mul_f64(part.max(FIRST_BACKOFF_PART)).max(MIN_BACKOFF)
    }
}

/// Place in a topic; a later era comes after all offsets of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Era of the store that gave the offset.
    pub era: u64,
    /// Offset within the era.
    pub offset: u64,
}

/// What an answer of the store says about its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The era is that of the view.
    None,
    /// The store has begun another era, so the topic has to be listed.
    New,
    /// The answer was given in an earlier era and has arrived late.
    Stale,
}

/// What a router knows of a topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct View {
    /// Era of the store in which `next_offset` was given.
    pub era: u64,
    /// Offset after the last record that was applied; `None` before the first listing.
    pub next_offset: Option<u64>,
    /// When the router learned of the era.
    era_since: Option<Instant>,
    /// Whether the topic hasn't been listed in this era yet.
    must_list: bool,
    /// Time up to which the view is known to hold all records.
    confirmed_at: Option<Instant>,
    /// When a report first showed that records are missing.
    behind_since: Option<Instant>,
    /// Offset up to which polls were relayed in this era.
    relayed_to: u64,
}

impl View {
    /// Takes into account that another router has heard of an era.
    pub fn hear_era(&mut self, era: u64, now: Instant) {
        if era > self.era {
            self.begin_era(era, now);
        }
    }

    /// Takes into account the era of an answer of the store to a call made at `asked_at`. An answer
    /// to a call made in the present era is right about it, whatever others have heard.
    pub fn read_era(&mut self, era: u64, asked_at: Instant, now: Instant) -> EraChange {
        if era == self.era {
            return EraChange::None;
        }
        if era < self.era && self.era_since.is_none_or(|since| asked_at <= since) {
            return EraChange::Stale;
        }
        self.begin_era(era, now);
        EraChange::New
    }

    fn begin_era(&mut self, era: u64, now: Instant) {
        (self.era, self.era_since, self.behind_since) = (era, Some(now), None);
        self.relayed_to = 0;
        self.must_list = self.next_offset.is_some();
    }

    /// Whether the topic has to be listed, because its offsets are of an earlier era.
    pub fn must_list(&self) -> bool {
        self.must_list
    }

    /// Sets the view to a listing that ends at `next_offset`, read at `at`; returns whether it ends
    /// an outage of the store or is the first of an era.
    pub fn confirm_listing(&mut self, policy: &Policy, next_offset: u64, at: Instant) -> bool {
        let is_first = std::mem::take(&mut self.must_list);
        if is_first {
            self.next_offset = Some(next_offset);
        }
        self.confirm(policy, next_offset, at) || is_first
    }

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

    /// Takes into account that records up to `next_offset` are applied and that the topic has more.
    pub fn advance(&mut self, next_offset: u64, end_offset: u64, now: Instant) {
        self.next_offset = self.next_offset.max(Some(next_offset));
        self.hear(end_offset, now);
    }

    /// Takes into account that another router has read up to `offset`.
    pub fn hear(&mut self, offset: u64, now: Instant) {
        if self.next_offset.is_some_and(|own| offset > own) {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Takes into account that a poll of this or another router up to `offset` was relayed.
    pub fn record_relayed(&mut self, offset: u64) {
        self.relayed_to = self.relayed_to.max(offset);
    }

    /// Offset that this router tells the others, who take earlier ones of their own as a sign that they
    /// missed a relayed poll. What this router has read for itself alone isn't one: if it were told, all
    /// others would read the store as well.
    pub fn told_offset(&self) -> u64 {
        self.next_offset.unwrap_or(0).min(self.relayed_to)
    }

    /// Whether records are known to be missing.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some() || self.must_list
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
        if let Some(since) = self.era_since.filter(|_| self.must_list) {
            return since + policy.listing_delay(rank);
        }
        let by_age = confirmed_at + policy.max_age(rank);
        let by_offset = self.behind_since.map(|since| since + policy.behind_delay(rank));
        by_offset.map_or(by_age, |at| at.min(by_age))
    }
}
