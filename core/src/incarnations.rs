//! Which of two registry records of a target is older.
//!
//! # Late writes
//!
//! A write to the registry that got no response may be carried out seconds later, behind records that
//! the target wrote after it, behind its removal, or behind the records of its next start. The order
//! of the registry is therefore not the order in which targets wrote. Each record states its
//! target's start and the number of its heartbeat; [`Incarnations::age`] compares these with what is
//! known, and everything that comes from the registry or from other routers is judged by it.
//!
//! # Starts
//!
//! Each start of a target under its id is a new incarnation, whose heartbeats count anew. Start times
//! mostly increase, but a target whose clock was set back states an earlier one. A start that hasn't
//! been seen before is therefore news, whatever its time. One that has been followed by a later start
//! never returns.

use std::collections::{HashMap, VecDeque};

use smallvec::SmallVec;

use crate::ids::Name;

/// Maximum number of past incarnations that are remembered: more than twice the targets of the largest
/// deployment. Those remembered for the longest time are forgotten first.
pub const MAX_PAST: usize = 16_384;

/// Where a record comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The record was read at its position in the registry.
    Record,
    /// The record is the newest one of its id.
    Listing,
    /// The same, in a registry that has come back from an old copy.
    Copy,
}

/// Age of a record compared with what is known of its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// It was written before what is known, or can't be distinguished from such a record.
    Older,
    /// It is the newest record of its incarnation.
    News,
}

/// What is known of one incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Start time in milliseconds since 1970; 0 if unknown.
    pub started_ms: u64,
    /// Number of the newest known heartbeat; 0 if unknown.
    pub heartbeat: u64,
    /// Whether it has said that it is leaving.
    pub is_leaving: bool,
}

/// An incarnation that is no longer registered.
#[derive(Clone, Copy, Debug)]
struct Past {
    incarnation: Incarnation,
    /// Whether a later start of the target has been seen.
    is_replaced: bool,
}

/// The past incarnations of targets.
#[derive(Debug, Default)]
pub struct Incarnations {
    past: HashMap<Name, SmallVec<[Past; 1]>>,
    /// Ids and start times in the order in which they were first remembered.
    order: VecDeque<(Name, u64)>,
}

impl Incarnations {
    /// Compares a record of the incarnation `record` of a target with what is known; `registered`
    /// is the incarnation that is registered, if any.
    pub fn age(
        &self,
        id: &str,
        record: &Incarnation,
        registered: Option<&Incarnation>,
        source: Source,
    ) -> Age {
        let same = registered.filter(|known| known.started_ms == record.started_ms);
        if let Some(known) = same {
            let is_older = is_numbered(record, known) && record.heartbeat < known.heartbeat;
            return if is_older { Age::Older } else { Age::News };
        }
        if let Some(past) = self.find(id, record.started_ms) {
            return past.age(record, source);
        }
        let past = self.past.get(id).into_iter().flatten().map(|past| &past.incarnation);
        let has_later_start =
            registered.into_iter().chain(past).any(|known| known.started_ms > record.started_ms);
        if source == Source::Copy && has_later_start { Age::Older } else { Age::News }
    }

    /// Whether the incarnation was seen and is no longer registered.
    pub fn is_past(&self, id: &str, started_ms: u64) -> bool {
        self.find(id, started_ms).is_some()
    }

    /// What is known of a past incarnation.
    pub fn get(&self, id: &str, started_ms: u64) -> Option<&Incarnation> {
        self.find(id, started_ms).map(|past| &past.incarnation)
    }

    /// Records that an incarnation is no longer registered. `next` is the one that has replaced it,
    /// if any.
    pub fn retire(&mut self, id: &Name, incarnation: Incarnation, next: Option<&Incarnation>) {
        let is_replaced = next.is_some_and(|next| {
            next.started_ms > incarnation.started_ms && !self.is_past(id, next.started_ms)
        });
        let new = Past { incarnation, is_replaced };
        if let Some(past) = self.find_mut(id, incarnation.started_ms) {
            *past = new;
            return;
        }
        if self.order.len() >= MAX_PAST {
            self.forget_oldest();
        }
        self.order.push_back((id.clone(), incarnation.started_ms));
        self.past.entry(id.clone()).or_default().push(new);
    }

    fn find(&self, id: &str, started_ms: u64) -> Option<&Past> {
        self.past.get(id)?.iter().find(|past| past.incarnation.started_ms == started_ms)
    }

    fn find_mut(&mut self, id: &str, started_ms: u64) -> Option<&mut Past> {
        self.past.get_mut(id)?.iter_mut().find(|past| past.incarnation.started_ms == started_ms)
    }

    fn forget_oldest(&mut self) {
        let Some((id, started_ms)) = self.order.pop_front() else { return };
        let Some(past) = self.past.get_mut(&id) else { return };
        past.retain(|past| past.incarnation.started_ms != started_ms);
        if past.is_empty() {
            self.past.remove(&id);
        }
    }
}

impl Past {
    /// Age of a record of this incarnation.
    fn age(&self, record: &Incarnation, source: Source) -> Age {
        let is_news = if record.heartbeat > 0 {
            record.heartbeat > self.incarnation.heartbeat
        } else {
            // Only the order of the registry tells.
            source == Source::Record
        };
        if is_news && !self.is_replaced { Age::News } else { Age::Older }
    }
}

/// Whether both heartbeats have a number.
fn is_numbered(record: &Incarnation, known: &Incarnation) -> bool {
    record.heartbeat > 0 && known.heartbeat > 0
}
