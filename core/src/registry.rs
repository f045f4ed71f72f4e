//! What is believed of the targets, from the records of the platform's registry.
//!
//! # Incarnations
//!
//! Each start of a target is an incarnation of its own. A target that leaves is leaving for the
//! rest of its incarnation: a record that says otherwise is late.
//!
//! # Outages
//!
//! Records of live targets lapse while the registry is away, and come back a moment after it.
//! Removals that are read in that moment take effect at its end, unless the target is back.

use std::collections::BTreeMap;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::report;

/// Time after an outage within which live targets are back in the registry.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(2);

/// A target as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the target, new with most starts.
    pub id: Name,
    /// Start of the target, in milliseconds since 1970; 0 if it doesn't say.
    pub started_ms: u64,
    /// Service that it runs.
    pub service: Name,
    /// Where it listens.
    pub addr: net::SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves and takes no new work.
    pub is_leaving: bool,
}

impl Target {
    /// Hash of the target's incarnation.
    pub fn hash(&self) -> report::Hash {
        report::hash(&self.id, self.started_ms)
    }
}

/// What a record has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that matters.
    None,
    /// The target is new, or another incarnation.
    Added,
    /// The target takes no new work.
    Leaving,
    /// The target is gone.
    Gone,
}

/// The targets that are known.
#[derive(Debug, Default)]
pub struct Registry {
    targets: BTreeMap<Name, Arc<Target>>,
    /// Offset behind the last record that was applied.
    next_offset: u64,
    removals: BTreeMap<Name, Instant>,
    grace_until: Option<Instant>,
    revision: u64,
}

impl Registry {
    /// All targets, also those that leave, by id.
    pub fn targets(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.targets.values()
    }

    /// A target by its id.
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.targets.get(id)
    }

    /// Number that grows with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Offset behind the last record that was applied.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Begins the grace of removals after an outage.
    pub fn resume_after_outage(&mut self, now: Instant) {
        self.grace_until = Some(now + REMOVAL_GRACE);
    }

    /// Applies one record; `target` is `None` if it removes the entry or can't be read.
    ///
    /// A record before [`next_offset`](Registry::next_offset) is old and changes nothing.
    pub fn apply(
        &mut self,
        key: &str,
        offset: u64,
        target: Option<Target>,
        now: Instant,
    ) -> Change {
        if offset < self.next_offset {
            return Change::None;
        }
        self.next_offset = offset + 1;
        match target {
            Some(target) => self.put(target),
            None => self.remove(key, now),
        }
    }

    /// Makes the targets those of a whole listing of the registry.
    ///
    /// A listing that ends before [`next_offset`](Registry::next_offset) is stale: it changes
    /// nothing, and `None` is returned. Else the targets that changed are returned.
    pub fn replace(
        &mut self,
        listing: Vec<Target>,
        end_offset: u64,
        now: Instant,
    ) -> Option<Vec<(Name, Change)>> {
        if end_offset < self.next_offset {
            return None;
        }
        self.next_offset = end_offset;
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

    /// Time at which the next removal's grace ends.
    pub fn next_removal(&self) -> Option<Instant> {
        self.removals.values().min().copied()
    }

    /// Carries out the removals whose grace has ended, and returns the targets that are gone.
    pub fn apply_due_removals(&mut self, now: Instant) -> Vec<Name> {
        let due = self.removals.iter().filter(|(_, at)| **at <= now);
        let due = due.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        for id in &due {
            self.removals.remove(id);
            self.targets.remove(id);
            self.revision += 1;
        }
        due
    }

    fn put(&mut self, mut target: Target) -> Change {
        self.removals.remove(&target.id);
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
        if target == **known {
            return Change::None;
        }
        let begins_to_leave = target.is_leaving && !known.is_leaving;
        self.revision += 1;
        self.targets.insert(target.id.clone(), Arc::new(target));
        if begins_to_leave { Change::Leaving } else { Change::None }
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
            self.removals.entry(id).or_insert(until);
            return Change::None;
        }
        self.removals.remove(&id);
        self.targets.remove(&id);
        self.revision += 1;
        Change::Gone
    }
}
