//! Targets that have started a short time ago and tolerate few requests from all routers together.
//!
//! Load pattern: a target starts under traffic, or a zone of targets is taken back. To all routers
//! it is the least loaded one, so each sends it several requests at once, and it crashes above a few
//! requests per second. There is no time to exchange who has sent how many.
//!
//! The fleet's [`allowance`] for a cold target is therefore divided among the registered routers, in a
//! rendezvous order for the target, and no router sends more than its part within [`WINDOW`]. Nothing
//! is exchanged, and silent routers keep their part.
//!
//! # Differing views
//!
//! The more routers a view contains, the smaller are the parts of those in it. If the views of all
//! routers that send contain all these routers, their parts add up to the allowance at most. A router
//! that is added therefore counts as soon as it is heard of, and one that is removed counts for
//! [`REMOVAL_DELAY`] longer: it may still send, and it usually returns after a restart. Routers that
//! haven't heard of added ones yet exceed the allowance by the parts of these: routers with equal
//! views never have more than the allowance, so two groups have twice the allowance at most.
//!
//! # Delays
//!
//! Requests that arrive within one second were sent within [`WINDOW`], if their delays don't differ by
//! more than 100 ms. With greater differences, as long as they are below [`WINDOW`], they are from two
//! rounds of parts at most, which the headroom of the [`Bounds`] allows.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::registry::Target;
use crate::report::{self, Hash, HashKeyed};
use crate::routing::Service;
use crate::target_limit::{self, TargetLimits};

/// Time within which a router sends no more than its part: the second in which targets count, and
/// 100 ms by which the delays of requests differ.
pub const WINDOW: Duration = Duration::from_millis(1100);

/// Time for which a removed router counts: longer than its grace period, for which it may still send,
/// and than its restart.
pub const REMOVAL_DELAY: Duration = Duration::from_secs(10);

/// Longest time for which a target is cold, so that its end can be computed.
const MAX_COLD_TIME: Duration = Duration::from_secs(24 * 3600);

/// Rounds of parts that may arrive at a target within one second.
const MAX_ROUNDS: f64 = 2.0;

/// Bounds on the requests that a cold target may receive within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    /// Maximum ratio to the rate that the target tolerates.
    pub overshoot: Option<f64>,
    /// Number of requests in addition to the ratio.
    pub slack: Option<f64>,
}

/// Requests within [`WINDOW`] that all routers may send to a cold target which tolerates
/// `cold_per_s`; `None` if such a target is never cold.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
pub fn allowance(cold_per_s: f64, bounds: &Bounds) -> Option<u32> {
    // Also false for NaN.
    let is_limited = cold_per_s > 0.0;
    let most = bounds
        .overshoot
        .zip(bounds.slack)
        .map_or(f64::INFINITY, |(overshoot, slack)| (cold_per_s * overshoot + slack) / MAX_ROUNDS);
    is_limited.then(|| (cold_per_s.min(most) as u32).max(1))
}

/// What the configuration states of a service with cold targets.
#[derive(Clone, Copy, Debug)]
struct ServiceState {
    start: Duration,
    cold_per_s: f64,
    allowance: u32,
}

/// One target that may be cold.
#[derive(Debug)]
struct Entry {
    id: Name,
    service: Name,
    /// End of the cold time that the target's record states.
    stated_until: Option<Instant>,
    /// When the target was first heard of, if its record doesn't state a time.
    unstated_since: Option<Instant>,
    /// End of the time for which the target counts as cold whatever its record states.
    held_until: Option<Instant>,
    is_reported: bool,
    /// This router's part, and the revision of its inputs.
    part: Cell<(u64, u32)>,
}

impl Entry {
    fn new(target: &Target) -> Entry {
        Entry {
            id: target.id.clone(),
            service: target.service.clone(),
            stated_until: None,
            unstated_since: None,
            held_until: None,
            is_reported: false,
            part: Cell::new((0, 0)),
        }
    }

    fn end(&self, start: Duration) -> Option<Instant> {
        let unstated_until = self.unstated_since.map(|since| since + start);
        self.stated_until.max(unstated_until).max(self.held_until)
    }
}

/// State of a cold target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    /// Time for which the target stays cold.
    pub ends_in: Duration,
    /// Requests that this router may send within [`WINDOW`].
    pub part: u32,
    /// Requests that all routers may send within [`WINDOW`].
    pub allowance: u32,
    /// Requests per second that this router may send.
    pub rate_per_s: f64,
}

/// Begin or end of a target's cold time.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Id of the target.
    pub target: Name,
    /// Service of the target.
    pub service: Name,
    /// State from now on; `None` if the target is no longer cold.
    pub state: Option<State>,
}

/// The cold targets, and this router's part of the requests that they tolerate.
#[derive(Debug)]
pub struct Cold {
    name: Hash,
    started_at: Instant,
    /// Hashes of the routers' names, with the time until which removed ones count.
    routers: BTreeMap<Hash, Option<Instant>>,
    are_routers_known: bool,
    bounds: Bounds,
    /// Services whose targets may be cold; `None` before a configuration has been read.
    services: Option<HashMap<Name, ServiceState>>,
    targets: HashKeyed<Entry>,
    /// Counts the changes of everything on which the parts depend.
    revision: u64,
}

impl Cold {
    /// Creates an empty set for the router `name`, whose process starts at `now`.
    pub fn new(name: &Name, now: Instant) -> Cold {
        let name = report::hash(name, 0);
        Cold {
            name,
            started_at: now,
            routers: BTreeMap::from([(name, None)]),
            are_routers_known: false,
            bounds: Bounds::default(),
            services: None,
            targets: HashKeyed::default(),
            revision: 1,
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
        for service in self.services.iter_mut().flat_map(HashMap::values_mut) {
            service.allowance = allowance(service.cold_per_s, &bounds).unwrap_or(1);
        }
        self.revision += 1;
    }

    /// Applies the services of a configuration. Targets of services without a cold time are dropped.
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = &'a Service>) {
        let bounds = self.bounds;
        let services = services.filter_map(|service| {
            let state = ServiceState {
                start: service.cold_start.min(MAX_COLD_TIME),
                cold_per_s: service.cold_per_s,
                allowance: allowance(service.cold_per_s, &bounds)?,
            };
            Some((service.name.clone(), state))
        });
        let services = services.collect::<HashMap<_, _>>();
        // Those that were reported as cold stay until their end has been reported, too.
        self.targets.retain(|_, entry| entry.is_reported || services.contains_key(&entry.service));
        self.services = Some(services);
        self.revision += 1;
    }

    /// Records that the list of registered routers has been read.
    pub fn set_routers_known(&mut self) {
        self.are_routers_known = true;
    }

    /// Records that a router is registered.
    pub fn add_router(&mut self, name: &Name) {
        if self.routers.insert(report::hash(name, 0), None).is_none() {
            self.revision += 1;
        }
    }

    /// Records that a router is no longer registered; it still counts for [`REMOVAL_DELAY`].
    pub fn remove_router(&mut self, name: &Name, now: Instant) {
        let name = report::hash(name, 0);
        if name != self.name
            && let Some(until) = self.routers.get_mut(&name)
        {
            *until = Some(now + REMOVAL_DELAY);
        }
    }

    /// Whether targets of a service may be cold, as far as this router knows.
    fn may_be_cold(&self, service: &Name) -> bool {
        self.services.as_ref().is_none_or(|services| services.contains_key(service))
    }

    /// Applies a record that the registry has accepted; `before` is what was registered under its id.
    pub fn apply_record(&mut self, target: &Target, before: Option<&Target>, now: Instant) {
        if !self.may_be_cold(&target.service) {
            return;
        }
        let same = before.filter(|before| before.started_ms == target.started_ms);
        if same.is_some_and(|same| same.heartbeat == target.heartbeat && same.heartbeat != 0) {
            // The time counts from when the record was first read.
            return;
        }
        let hash = target.hash();
        match target.cold_left {
            Some(left) if left.is_zero() => {
                if let Some(entry) = self.targets.get_mut(&hash) {
                    (entry.stated_until, entry.unstated_since) = (None, None);
                }
            }
            Some(left) => {
                let entry = self.targets.entry(hash).or_insert_with(|| Entry::new(target));
                entry.stated_until = Some(now + left.min(MAX_COLD_TIME));
                entry.unstated_since = None;
            }
            None if same.is_none() => {
                let entry = self.targets.entry(hash).or_insert_with(|| Entry::new(target));
                (entry.stated_until, entry.unstated_since) = (None, Some(now));
            }
            None => {}
        }
    }

    /// Lets a target count as cold until `until` at least, whatever its record states.
    pub fn hold(&mut self, target: &Target, until: Instant) {
        if !self.may_be_cold(&target.service) {
            return;
        }
        let entry = self.targets.entry(target.hash()).or_insert_with(|| Entry::new(target));
        entry.held_until = entry.held_until.max(Some(until));
    }

    /// Whether no target is cold; targets whose time has ended may still count.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Number of cold targets.
    pub fn count(&self, now: Instant) -> usize {
        self.targets.keys().filter(|target| self.state(**target, now).is_some()).count()
    }

    /// State of a target; `None` if it isn't cold.
    pub fn state(&self, target: Hash, now: Instant) -> Option<State> {
        if self.targets.is_empty() {
            return None;
        }
        self.entry_state(target, self.targets.get(&target)?, now)
    }

    fn entry_state(&self, target: Hash, entry: &Entry, now: Instant) -> Option<State> {
        let service = self.services.as_ref()?.get(&entry.service)?;
        let ends_in = entry.end(service.start)?.saturating_duration_since(now);
        if ends_in.is_zero() {
            return None;
        }
        let part = self.part(target, entry, service.allowance);
        let round = WINDOW + target_limit::BUCKET_TIME;
        let rate_per_s = f64::from(part) / round.as_secs_f64();
        Some(State { ends_in, part, allowance: service.allowance, rate_per_s })
    }

    /// This router's part of the allowance for a target. It decreases with each router added.
    fn part(&self, target: Hash, entry: &Entry, allowance: u32) -> u32 {
        if !self.are_routers_known {
            return 0;
        }
        let (revision, part) = entry.part.get();
        if revision == self.revision {
            return part;
        }
        let own_weight = (weight(self.name, target), self.name);
        let others = self.routers.keys().map(|name| (weight(*name, target), *name));
        let rank = others.filter(|other| *other > own_weight).count();
        let router_count = self.routers.len();
        let allowance = allowance as usize;
        let part = allowance / router_count + usize::from(rank < allowance % router_count);
        let part = u32::try_from(part).unwrap_or(u32::MAX);
        entry.part.set((self.revision, part));
        part
    }

    /// Whether this router may send a request to a target now, after those that `limits` counts.
    pub fn may_send(&self, target: Hash, limits: &TargetLimits, now: Instant) -> bool {
        if self.targets.is_empty() {
            return true;
        }
        let Some(entry) = self.targets.get(&target) else { return true };
        if self.services.is_none() {
            return false;
        }
        let Some(state) = self.entry_state(target, entry, now) else { return true };
        // The process before may have sent requests under the same name.
        now.saturating_duration_since(self.started_at) >= WINDOW
            && limits.sent_count(target, WINDOW, now) < state.part
    }

    /// Takes the targets whose cold time has begun or ended since the last call, and drops what no
    /// longer counts.
    pub fn take_changes(&mut self, now: Instant) -> Vec<Change> {
        let count_before = self.routers.len();
        self.routers.retain(|_, until| until.is_none_or(|until| now < until));
        if self.routers.len() != count_before {
            self.revision += 1;
        }
        if self.targets.is_empty() || self.services.is_none() {
            return Vec::new();
        }
        let mut targets = std::mem::take(&mut self.targets);
        let mut changes = Vec::new();
        targets.retain(|hash, entry| {
            let state = self.entry_state(*hash, entry, now);
            if state.is_some() != entry.is_reported {
                entry.is_reported = state.is_some();
                let (target, service) = (entry.id.clone(), entry.service.clone());
                changes.push(Change { target, service, state });
            }
            state.is_some()
        });
        self.targets = targets;
        changes
    }

    /// Drops the state of a target.
    pub fn forget(&mut self, target: Hash) {
        self.targets.remove(&target);
    }
}

/// Weight of a router for a target in its rendezvous order; the same on all routers. Both are
/// hashes already, so that mixing them is enough: there may be hundreds of routers for each of
/// thousands of targets.
fn weight(router: Hash, target: Hash) -> u64 {
    // The finalizer of splitmix64.
    let mut z = target ^ router.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
