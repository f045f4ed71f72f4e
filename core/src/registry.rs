//! State of the targets, built from the records of the platform's registry.
//!
//! # Incarnations
//!
//! Each start of a target is a new incarnation. Once a target is leaving, it stays so for the rest
//! of its incarnation; a record that contradicts this is stale. A record that is older than what is
//! known, by [`incarnations`], only counts if it says that its target is leaving.
//!
//! A late record of a target that has gone stays in the registry until the target's silence removes
//! it. A router that started later can't tell that it is old, so the others tell it; see
//! [`Registry::late_records`].
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
use crate::incarnations::{self, Age, Incarnation, Incarnations, Source};
use crate::polling::Position;
use crate::recent::RecentSet;
use crate::report;

/// Time after an outage within which live targets register again.
pub const REMOVAL_GRACE: Duration = Duration::from_secs(2);

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
    /// How long the target stays cold after this record; `None` if the record doesn't say.
    pub cold_left: Option<Duration>,
    /// Version of the target's software; `None` if unknown. Versions have no order.
    pub version: Option<Name>,
}

impl Target {
    /// Hash of id and start time, which identifies the target's incarnation.
    pub fn hash(&self) -> report::Hash {
        report::hash(&self.id, self.started_ms)
    }

    /// What a record tells if only its heartbeat is new.
    pub fn as_heartbeat(&self) -> report::Heartbeat {
        let millis = |left: Duration| left.as_nanos().div_ceil(1_000_000);
        let cold_ms = self.cold_left.map(|left| millis(left).try_into().unwrap_or(u32::MAX));
        report::Heartbeat { target: self.hash(), number: self.heartbeat, cold_ms }
    }

    fn incarnation(&self) -> Incarnation {
        Incarnation {
            started_ms: self.started_ms,
            heartbeat: self.heartbeat,
            is_leaving: self.is_leaving,
        }
    }
}

/// Effect of a registry record on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change that the caller has to act on.
    None,
    /// The record is older than what is known, and was ignored.
    Late,
    /// The target is new or has a new incarnation.
    Added,
    /// The target accepts no new work from now on.
    Leaving,
    /// The target was removed.
    Removed,
}

/// All known targets.
#[derive(Debug)]
pub struct Registry {
    targets: BTreeMap<Name, Arc<Target>>,
    /// Ids of the targets by the hashes of their incarnations.
    by_hash: report::HashKeyed<Name>,
    /// Position after the last record that was applied.
    next: Position,
    /// Hashes of incarnations that said themselves that they are leaving.
    leaving: RecentSet<report::Hash>,
    /// Incarnations that are no longer registered.
    past: Incarnations,
    /// Late records of past incarnations that lie in the registry, by id.
    late: BTreeMap<Name, report::LateRecord>,
    /// Revision at which a late record that another router told was last looked for.
    heard_late: report::HashKeyed<u64>,
    delayed_removals: BTreeMap<Name, Instant>,
    grace_until: Option<Instant>,
    revision: u64,
}

impl Default for Registry {
    fn default() -> Registry {
        Registry {
            targets: BTreeMap::new(),
            by_hash: report::HashKeyed::default(),
            next: Position::default(),
            leaving: RecentSet::new(incarnations::MAX_PAST),
            past: Incarnations::default(),
            late: BTreeMap::new(),
            heard_late: report::HashKeyed::default(),
            delayed_removals: BTreeMap::new(),
            grace_until: None,
            revision: 0,
        }
    }
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
        self.late.remove(key);
        match target {
            Some(target) => self.put(target, Source::Record),
            None => self.remove(key, now),
        }
    }

    /// Whether a record of a registered target differs from what is known only by a later heartbeat
    /// and by the time for which the target stays cold.
    pub fn is_heartbeat(&self, record: &Target) -> bool {
        let Some(known) = self.targets.get(&record.id) else { return false };
        let (heartbeat, cold_left) = (record.heartbeat, record.cold_left);
        heartbeat > known.heartbeat
            && !self.delayed_removals.contains_key(&record.id)
            && *record == Target { heartbeat, cold_left, ..Target::clone(known) }
    }

    /// Returns the target with this incarnation.
    pub fn by_hash(&self, hash: report::Hash) -> Option<&Arc<Target>> {
        self.targets.get(self.by_hash.get(&hash)?)
    }

    /// Applies a record of which another router has told only what differs from the one before, as
    /// [`apply`](Registry::apply) does; [`by_hash`](Registry::by_hash) must know its target.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &report::Heartbeat,
        at: Position,
        now: Instant,
    ) -> Change {
        let Some(known) = self.by_hash(heartbeat.target) else { return Change::None };
        let cold_ms = heartbeat.cold_ms.map(u64::from);
        let record = Target {
            heartbeat: heartbeat.number,
            cold_left: cold_ms.map(Duration::from_millis),
            ..Target::clone(known)
        };
        self.apply(&record.id.clone(), at, Some(record), now)
    }

    /// Replaces the targets by a full listing of the registry.
    ///
    /// Returns the targets that changed, or `None` if the listing ends before
    /// [`position`](Registry::position) and was ignored as stale.
    pub fn replace(
        &mut self,
        listing: Vec<Target>,
        end: Position,
        now: Instant,
    ) -> Option<Vec<(Name, Change)>> {
        if end < self.next {
            return None;
        }
        let is_copy = self.next.era != 0 && end.era > self.next.era;
        let source = if is_copy { Source::Copy } else { Source::Listing };
        self.next = end;
        self.late.clear();
        let listed = listing.iter().map(|target| &target.id).collect::<HashSet<_>>();
        let absent = self.targets.keys().filter(|id| !listed.contains(id));
        let absent = absent.cloned().collect::<Vec<_>>();
        let mut changes = Vec::new();
        for id in absent {
            let change = self.remove(&id, now);
            changes.push((id, change));
        }
        for target in listing {
            let id = target.id.clone();
            let change = self.put(target, source);
            changes.push((id, change));
        }
        changes.retain(|(_, change)| !matches!(change, Change::None | Change::Late));
        Some(changes)
    }

    /// Records that an incarnation is leaving, as it says itself, whatever its record states; returns
    /// the id of the target if it is registered and that is news.
    pub fn mark_leaving(&mut self, hash: report::Hash) -> Option<Name> {
        if !self.leaving.insert(hash) {
            // Reports repeat it, and hashing all targets each time is expensive.
            return None;
        }
        let known = self.targets.get_mut(self.by_hash.get(&hash)?);
        let known = known.filter(|target| !target.is_leaving)?;
        *known = Arc::new(Target { is_leaving: true, ..Target::clone(known) });
        self.revision += 1;
        Some(known.id.clone())
    }

    /// Late records of targets that have gone, for other routers, which may not know that these have.
    pub fn late_records(&self) -> impl Iterator<Item = report::LateRecord> {
        self.late.values().copied()
    }

    /// Records that the records of an incarnation up to a heartbeat are late, as another router tells;
    /// returns the id of the target if this removes it.
    pub fn hear_late(&mut self, late: report::LateRecord) -> Option<Name> {
        if self.heard_late.len() >= incarnations::MAX_PAST {
            self.heard_late.clear();
        }
        if self.heard_late.insert(late.target, self.revision) == Some(self.revision) {
            // Reports repeat it, and hashing all targets each time is expensive.
            return None;
        }
        let is_meant = |target: &&Arc<Target>| {
            (1..=late.heartbeat).contains(&target.heartbeat) && target.hash() == late.target
        };
        let id = self.targets.values().find(is_meant)?.id.clone();
        self.drop_target(&id);
        self.late.insert(id.clone(), late);
        Some(id)
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

    fn drop_target(&mut self, id: &Name) {
        self.delayed_removals.remove(id);
        self.revision += 1;
        if let Some(target) = self.targets.remove(id) {
            self.by_hash.remove(&target.hash());
            self.past.retire(id, target.incarnation(), None);
        }
    }

    fn put(&mut self, mut target: Target, source: Source) -> Change {
        let known = self.targets.get(&target.id).cloned();
        let registered = known.as_ref().map(|known| known.incarnation());
        let record = target.incarnation();
        if self.past.age(&target.id, &record, registered.as_ref(), source) == Age::Older {
            return self.put_late(&target, known.as_deref());
        }
        self.delayed_removals.remove(&target.id);
        target.is_leaving |= self.leaving.contains(&target.hash());
        match known {
            Some(known) if known.started_ms == target.started_ms => self.update(target, &known),
            known => {
                let past = self.past.get(&target.id, target.started_ms);
                target.is_leaving |= past.is_some_and(|past| past.is_leaving);
                if let Some(known) = known {
                    self.by_hash.remove(&known.hash());
                    self.past.retire(&target.id, known.incarnation(), Some(&record));
                }
                self.insert(target)
            }
        }
    }

    /// Ignores a record that is older than what is known, unless it says that the registered target
    /// is leaving.
    fn put_late(&mut self, target: &Target, known: Option<&Target>) -> Change {
        let known = known.filter(|known| known.started_ms == target.started_ms);
        let Some(known) = known else {
            self.remember_late(target);
            return Change::Late;
        };
        if !target.is_leaving || known.is_leaving {
            return Change::Late;
        }
        self.revision += 1;
        let leaving = Target { is_leaving: true, ..known.clone() };
        self.targets.insert(target.id.clone(), Arc::new(leaving));
        Change::Leaving
    }

    /// Remembers a record of an incarnation that has gone.
    fn remember_late(&mut self, target: &Target) {
        let past = self.past.get(&target.id, target.started_ms);
        let heartbeat = past.map_or(target.heartbeat, |past| past.heartbeat.max(target.heartbeat));
        let late = report::LateRecord { target: target.hash(), heartbeat };
        self.late.insert(target.id.clone(), late);
    }

    /// Replaces the record of a registered incarnation by a newer one.
    fn update(&mut self, mut target: Target, known: &Target) -> Change {
        target.is_leaving |= known.is_leaving;
        // A record may lack the number.
        target.heartbeat = target.heartbeat.max(known.heartbeat);
        let (heartbeat, cold_left) = (target.heartbeat, target.cold_left);
        let has_changed = target != Target { heartbeat, cold_left, ..known.clone() };
        let starts_leaving = target.is_leaving && !known.is_leaving;
        if has_changed {
            // The heartbeat and the time for which the target is cold change with each record.
            self.revision += 1;
        }
        self.targets.insert(target.id.clone(), Arc::new(target));
        if starts_leaving { Change::Leaving } else { Change::None }
    }

    fn insert(&mut self, target: Target) -> Change {
        self.revision += 1;
        let change = if target.is_leaving { Change::Leaving } else { Change::Added };
        self.by_hash.insert(target.hash(), target.id.clone());
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
