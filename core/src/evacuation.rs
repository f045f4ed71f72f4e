//! Availability zones that the operator evacuates.
//!
//! Failure: a zone is about to fail, or its hosts are taken away, and its targets must be empty by
//! then. The order lies in the platform's store. A router hears of it through listings, records in
//! order, and records after a gap, in any order: a router that can't reach the store may miss a
//! record that is too long to be relayed.
//!
//! Each zone therefore carries the [`Position`] up to which its state is known, and older news of the
//! zone changes nothing. While the store is away, the last known state applies.
//!
//! Targets come back from an evacuation without load or cached prompt parts, and look best to all
//! routers at the same moment. Each router takes them back at a different time within
//! [`RETURN_TIME`].

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::polling::Position;
use crate::report::{self, Hash};

/// Time within which routers take the targets of a zone back, one after the other: five intervals of
/// load reports, so that most routers know what the first ones have sent.
pub const RETURN_TIME: Duration = Duration::from_secs(2);

/// Interval between two groups of targets that a router takes back. It bounds how often the router
/// rebuilds its index of targets.
const RETURN_STEP: Duration = Duration::from_millis(100);

/// `Retry-After` if all targets of a service are evacuated. The operator ends an evacuation after
/// minutes, and routers know of it within some seconds: callers that come back earlier only load the
/// routers, and later ones leave the targets idle.
pub const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time for which it is known that a zone was evacuated. Targets are treated as cold for some seconds
/// after that.
pub const MEMORY_TIME: Duration = Duration::from_secs(600);

/// A change of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Its evacuation has begun.
    Begun(Name),
    /// It is taken back, after an evacuation of this length.
    Ended(Name, Duration),
}

/// An evacuation in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// When this router learned of it.
    pub since: Instant,
    /// Whether no request has been in flight in the zone.
    is_empty: bool,
    /// Whether the zone was found to have no targets.
    is_unknown: bool,
}

/// What is known of a zone.
#[derive(Clone, Copy, Debug)]
enum State {
    Evacuated(Evacuation),
    /// The zone was taken back at a time.
    TakenBack(Instant),
    /// The first record that was heard of the zone, at this time, was a removal.
    NeverEvacuated(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Zone {
    state: State,
    /// Position after the last record that is taken into account.
    known_to: Position,
}

/// The zones that are evacuated, and those that were a short time ago.
#[derive(Debug, Default)]
pub struct Evacuations {
    zones: BTreeMap<Name, Zone>,
    /// End of the last listing.
    listed_to: Position,
    revision: u64,
}

impl Evacuations {
    /// Replaces the zones by a listing that ends at `end`. What is known of a zone from later records
    /// stays.
    pub fn replace(&mut self, listed: &[Name], end: Position, now: Instant) -> Vec<Change> {
        if end < self.listed_to {
            return Vec::new();
        }
        self.listed_to = end;
        let absent = self.zones.keys().filter(|zone| !listed.contains(zone));
        let absent = absent.cloned().collect::<Vec<_>>();
        let ended = absent.iter().filter_map(|zone| self.set(zone, false, end, now));
        let mut changes = ended.collect::<Vec<_>>();
        changes.extend(listed.iter().filter_map(|zone| self.set(zone, true, end, now)));
        self.forget_old(now);
        changes
    }

    /// Applies the record at a position, also after a gap; ignored if later news of the zone is
    /// known.
    pub fn apply(
        &mut self,
        zone: &Name,
        is_evacuated: bool,
        at: Position,
        now: Instant,
    ) -> Option<Change> {
        if at < self.listed_to {
            return None;
        }
        let change = self.set(zone, is_evacuated, Position { offset: at.offset + 1, ..at }, now);
        self.forget_old(now);
        change
    }

    fn set(
        &mut self,
        zone: &Name,
        is_evacuated: bool,
        known_to: Position,
        now: Instant,
    ) -> Option<Change> {
        let known = self.zones.get_mut(zone);
        if known.as_ref().is_some_and(|known| known_to < known.known_to) {
            return None;
        }
        let state = known.as_ref().map(|known| known.state);
        if let Some(known) = known {
            known.known_to = known_to;
        }
        let (state, change) = match (state, is_evacuated) {
            (Some(State::Evacuated(_)), true)
            | (Some(State::TakenBack(_) | State::NeverEvacuated(_)), false) => return None,
            (None | Some(State::TakenBack(_) | State::NeverEvacuated(_)), true) => {
                let evacuation = Evacuation { since: now, is_empty: false, is_unknown: false };
                (State::Evacuated(evacuation), Some(Change::Begun(zone.clone())))
            }
            (Some(State::Evacuated(evacuation)), false) => {
                let length = now.duration_since(evacuation.since);
                (State::TakenBack(now), Some(Change::Ended(zone.clone(), length)))
            }
            // After a gap, an earlier record may still follow.
            (None, false) => (State::NeverEvacuated(now), None),
        };
        self.zones.insert(zone.clone(), Zone { state, known_to });
        self.revision += u64::from(change.is_some());
        change
    }

    /// Forgets zones that were taken back long ago.
    fn forget_old(&mut self, now: Instant) {
        self.zones.retain(|_, zone| match zone.state {
            State::Evacuated(_) => true,
            State::TakenBack(at) | State::NeverEvacuated(at) => {
                now.duration_since(at) < MEMORY_TIME
            }
        });
    }

    /// The zones that are evacuated, in the order of their names.
    pub fn evacuated(&self) -> impl Iterator<Item = (&Name, &Evacuation)> {
        self.zones.iter().filter_map(|(name, zone)| match &zone.state {
            State::Evacuated(evacuation) => Some((name, evacuation)),
            State::TakenBack(_) | State::NeverEvacuated(_) => None,
        })
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        matches!(self.zones.get(zone), Some(Zone { state: State::Evacuated(_), .. }))
    }

    /// When a zone was taken back, if it isn't evacuated and that is known.
    pub fn taken_back_at(&self, zone: &str) -> Option<Instant> {
        match self.zones.get(zone)?.state {
            State::TakenBack(at) => Some(at),
            State::Evacuated(_) | State::NeverEvacuated(_) => None,
        }
    }

    /// Time at which a router takes a target back after the evacuation of its zone; `None` if it has
    /// come. Targets and routers have different times.
    pub fn returns_at(
        &self,
        zone: &str,
        target: Hash,
        router: &str,
        now: Instant,
    ) -> Option<Instant> {
        let ended_at = self.taken_back_at(zone).filter(|at| now < *at + RETURN_TIME)?;
        let step_count = RETURN_TIME.as_millis() / RETURN_STEP.as_millis();
        let step = u128::from(report::hash(router, target)) % step_count;
        let returns_at = ended_at + RETURN_STEP * u32::try_from(step).unwrap_or_default();
        Some(returns_at).filter(|at| now < *at)
    }

    /// Records that no request is in flight in an evacuated zone; returns whether that is news.
    pub fn mark_empty(&mut self, zone: &str) -> bool {
        self.evacuation(zone)
            .is_some_and(|evacuation| !std::mem::replace(&mut evacuation.is_empty, true))
    }

    /// Records that an evacuated zone has no targets; returns whether that is news.
    pub fn mark_unknown(&mut self, zone: &str) -> bool {
        self.evacuation(zone)
            .is_some_and(|evacuation| !std::mem::replace(&mut evacuation.is_unknown, true))
    }

    fn evacuation(&mut self, zone: &str) -> Option<&mut Evacuation> {
        match &mut self.zones.get_mut(zone)?.state {
            State::Evacuated(evacuation) => Some(evacuation),
            State::TakenBack(_) | State::NeverEvacuated(_) => None,
        }
    }

    /// Counter that increases when an evacuation begins or ends.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

impl Evacuation {
    /// Whether there has been no request in flight in the zone.
    pub fn is_empty(&self) -> bool {
        self.is_empty
    }
}
