//! State of the targets, built from the records of the platform's registry.
//!
//! # Incarnations
//!
//! Each start of a target is a new incarnation. Once a target is leaving, it stays so for the rest
//! of its incarnation; a record that contradicts this is stale.
//!
//! # Outages
//!
//! Records of live targets expire during a registry outage and are written again shortly after it.
//! Removals that are read within [`REMOVAL_GRACE`] of the outage's end are therefore delayed until
//! the grace period ends, and dropped if the target reappears.
//!
//! # Restores
//!
//! The registry may come back from an old copy, which begins a new era of its offsets. Targets that
//! have gone since the copy reappear in its listing; they stay gone until a record shows a later
//! heartbeat. Removals are delayed as after an outage.

use std::collections::{BTreeMap, HashSet};
use std::net;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::polling::Position;
use crate::report;

/// Time after an outage within which live targets register again.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of removed targets, and of those that said that they are leaving, that are
/// remembered.
const MAX_REMOVED: usize = 1000;

/// A target as described by its registry record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the target. It usually changes when the target restarts.
    pub id: Name,
    /// Start time of the target in milliseconds since 1970; 0 if unknown.
    pub started_ms: u64,
    /// Name of the service that the target runs.
    pub service: Name,
    /// Address that the target listens on.
    pub addr: net::SocketAddr,
    /// Availability zone of the target.
    pub zone: Name,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is shutting down and accepts no new work.
    pub is_leaving: bool,
    /// Number of the target's heartbeat at which the record was written; 0 if unknown.
    pub heartbeat: u64,
}

impl Target {
    /// Hash of id and start time, which identifies the target's incarnation.
    pub fn hash(&self) -> report::Hash {
        report::hash(&self.id, self.started_ms)
    }
}

/// Effect of a registry record on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change that the caller has to act on.
    None,
    /// The target is new or has a new incarnation.
    Added,
    /// The target accepts no new work from now on.
    Leaving,
    /// The target was removed.
    Removed,
}

/// All known targets.
#[derive(Debug, Default)]
pub struct Registry {
    targets: BTreeMap<Name, Arc<Target>>,
    /// Position after the last record that was applied.
    next: Position,
    /// Hashes of incarnations that said themselves that they are leaving.
    leaving: HashSet<report::Hash>,
    /// Removed targets, which an old copy of the registry may bring back.
    removed: BTreeMap<Name, Arc<Target>>,
    delayed_removals: BTreeMap<Name, Instant>,
    grace_until: Option<Instant>,
    revision: u64,
}

impl Registry {
    /// All targets in the order of their ids, including leaving ones.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// Returns the target with this id.
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.targets.get(id)
    }

    /// Counter that increases with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Position after the last record that was applied.
    pub fn position(&self) -> Position {
        self.next
    }

    /// Starts the grace period for removals after an outage of the registry.
    pub fn resume_after_outage(&mut self, now: Instant) {
        self.grace_until = Some(now + REMOVAL_GRACE);
    }

    /// Applies one record; `target` is `None` if the record is a removal or can't be decoded.
    ///
    /// A record before [`position`](Registry::position) is stale and ignored.
    pub fn apply(
        &mut self,
        key: &str,
        at: Position,
        target: Option<Target>,
        now: Instant,
    ) -> Change {
        if at < self.next {
            return Change::None;
        }
        self.next = Position { offset: at.offset + 1, ..at };
        match target {
            Some(target) => self.put(target),
            None => self.remove(key, now),
        }
    }

    /// Replaces the targets by a full listing of the registry.
    ///
    /// Returns the targets that changed, or `None` if the listing ends before
    /// [`position`](Registry::position) and was ignored as stale.
    pub fn replace(
        &mut self,
        mut listing: Vec<Target>,
        end: Position,
        now: Instant,
    ) -> Option<Vec<(Name, Change)>> {
        if end < self.next {
            return None;
        }
        listing.retain(|target| !self.is_from_copy(target));
        self.next = end;
        let absent = self.targets.keys().filter(|id| !listing.iter().any(|t| t.id == **id));
        let absent = absent.cloned().collect::<Vec<_>>();
        let mut changes = Vec::new();
        for id in absent {
            let change = self.remove(&id, now);
            changes.push((id, change));
        }
        for target in listing {
            let id = target.id.clone();
            let change = self.put(target);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| *change != Change::None);
        Some(changes)
    }

    /// Records that an incarnation is leaving, as it says itself, whatever its record states; returns
    /// the id of the target if it is registered and that is news.
    pub fn mark_leaving(&mut self, hash: report::Hash) -> Option<Name> {
        if self.leaving.contains(&hash) {
            // Reports repeat it, and hashing all targets each time is expensive.
            return None;
        }
        if self.leaving.len() >= MAX_REMOVED {
            self.leaving.clear();
        }
        self.leaving.insert(hash);
        let known = self.targets.values_mut().find(|target| target.hash() == hash);
        let known = known.filter(|target| !target.is_leaving)?;
        *known = Arc::new(Target { is_leaving: true, ..Target::clone(known) });
        self.revision += 1;
        Some(known.id.clone())
    }

    /// Time at which the next delayed removal is due.
    pub fn next_removal(&self) -> Option<Instant> {
        self.delayed_removals.values().min().copied()
    }

    /// Carries out the delayed removals that are due and returns the removed targets.
    pub fn apply_due_removals(&mut self, now: Instant) -> Vec<Name> {
        let due = self.delayed_removals.iter().filter(|(_, at)| **at <= now);
        let due = due.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for id in &due {
            self.drop_target(id);
        }
        due
    }

    /// Whether a listed target is one that was removed before, as an old copy has it.
    fn is_from_copy(&self, target: &Target) -> bool {
        self.removed.get(&target.id).is_some_and(|removed| {
            target.started_ms <= removed.started_ms && target.heartbeat <= removed.heartbeat
        })
    }

    fn drop_target(&mut self, id: &Name) {
        self.delayed_removals.remove(id);
        self.revision += 1;
        if let Some(target) = self.targets.remove(id) {
            if self.removed.len() >= MAX_REMOVED {
                self.removed.pop_first();
            }
            self.removed.insert(id.clone(), target);
        }
    }

    fn put(&mut self, mut target: Target) -> Change {
        self.delayed_removals.remove(&target.id);
        self.removed.remove(&target.id);
        target.is_leaving |= !self.leaving.is_empty() && self.leaving.contains(&target.hash());
        let Some(known) = self.targets.get(&target.id) else {
            return self.insert(target);
        };
        if target.started_ms < known.started_ms {
            return Change::None;
        }
        if target.started_ms > known.started_ms {
            return self.insert(target);
        }
        target.is_leaving |= known.is_leaving;
        if target == (Target { heartbeat: target.heartbeat, ..Target::clone(known) }) {
            // Only the heartbeat has changed, which concerns no decision.
            self.targets.insert(target.id.clone(), Arc::new(target));
            return Change::None;
        }
        let starts_leaving = target.is_leaving && !known.is_leaving;
        self.revision += 1;
        self.targets.insert(target.id.clone(), Arc::new(target));
        if starts_leaving { Change::Leaving } else { Change::None }
    }

    fn insert(&mut self, target: Target) -> Change {
        self.revision += 1;
        let change = if target.is_leaving { Change::Leaving } else { Change::Added };
        self.targets.insert(target.id.clone(), Arc::new(target));
        change
    }

    fn remove(&mut self, key: &str, now: Instant) -> Change {
        let Some(known) = self.targets.get(key) else { return Change::None };
        let id = known.id.clone();
        if let Some(until) = self.grace_until.filter(|until| *until > now && !known.is_leaving) {
            self.delayed_removals.entry(id).or_insert(until);
            return Change::None;
        }
        self.drop_target(&id);
        Change::Removed
    }
}
