//! Slots of a cell's targets.
//!
//! A target has as many slots as its settings say, fewer while its load reports show that the
//! engine queues more than the look-ahead, and none once it leaves. Where requests are short beside
//! a round trip, all slots of a target may end within one, so look-ahead then covers each slot. Load reports lag: a report
//! changes the number of slots only if it was made after the last change.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time;

use crate::ids::Name;
use crate::table;

/// Most targets whose leave is remembered after they went from the list.
const MAX_LEFT_TARGETS: usize = 4_096;

/// Incarnation of a target that hasn't reported yet.
pub const UNKNOWN_INCARNATION: u64 = 0;

/// Requests that take less than this are short beside a round trip.
const SHORT_REQUEST: Duration = Duration::from_millis(50);

/// Mean before the first request, so that a few that broke off early don't pass for short ones.
const FIRST_TIME: Duration = Duration::from_millis(200);

/// Part by which a request's time changes the mean.
const TIME_STEP: f64 = 0.05;

/// A target as the settings describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: Name,
    /// Availability zone of the target.
    pub zone: Name,
    /// Most requests in progress at once.
    pub max_slots: u32,
    /// Requests granted beyond the slots; one for each slot while requests are short.
    pub lookahead_slots: u32,
}

/// What a target reports of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLoad {
    /// When the target had this load.
    pub at: time::Instant,
    /// One life of the target; a leave is final for it.
    pub incarnation: u64,
    /// Requests in progress.
    pub running_count: u32,
    /// Requests in the target's own queue.
    pub waiting_count: u32,
    /// Most requests in progress at once; 0 if the target doesn't tell.
    pub max_running_count: u32,
    /// Whether the target wants no new work.
    pub leaving: bool,
}

#[derive(Debug)]
struct Target {
    spec: TargetSpec,
    listed: bool,
    /// Slots that the operators allow, if other than in the settings.
    most_slots: Option<u32>,
    busy_count: u32,
    /// Slots by load reports, at most those of the settings.
    ceiling: u32,
    /// Slots that a cut-off group may use beyond its share.
    found_slots: u32,
    adjusted_at: Option<time::Instant>,
    load: Option<TargetLoad>,
    failed_at: Option<time::Instant>,
    mean_time_s: Option<f64>,
}

impl Target {
    fn new(spec: TargetSpec) -> Target {
        Target {
            listed: true,
            most_slots: None,
            busy_count: 0,
            ceiling: spec.max_slots,
            found_slots: 0,
            adjusted_at: None,
            load: None,
            failed_at: None,
            mean_time_s: None,
            spec,
        }
    }

    fn unlisted(name: Name) -> Target {
        let zone = Name::default();
        let spec = TargetSpec { name, zone, max_slots: 0, lookahead_slots: 0 };
        Target { listed: false, ..Target::new(spec) }
    }

    fn slots(&self, live_ratio: f64) -> u32 {
        let share = (f64::from(self.max_slots()) * live_ratio).ceil() as u32;
        self.ceiling.min(self.max_slots()).min(share.max(self.found_slots))
    }

    fn max_slots(&self) -> u32 {
        self.most_slots.unwrap_or(self.spec.max_slots)
    }

    fn lookahead(&self) -> u32 {
        let is_short = self.mean_time_s.is_some_and(|mean_s| mean_s < SHORT_REQUEST.as_secs_f64());
        if is_short && self.spec.lookahead_slots > 0 {
            return self.spec.lookahead_slots.max(self.max_slots());
        }
        self.spec.lookahead_slots
    }

    fn adapt(&mut self, load: &TargetLoad, now: time::Instant) {
        if load.max_running_count > 0 {
            self.ceiling = self.ceiling.min(load.max_running_count);
        }
        if self.adjusted_at.is_some_and(|at| load.at < at) {
            return;
        }
        let most = match load.max_running_count {
            0 => self.max_slots(),
            count => self.max_slots().min(count),
        };
        // What this dispatcher has there beyond the ceiling, after a rejoin say, ends without a
        // lower one.
        let surplus = self.busy_count.saturating_sub(self.ceiling);
        let excess = load.waiting_count.saturating_sub(self.lookahead().max(1).max(surplus));
        if excess > 0 {
            self.ceiling = self.ceiling.saturating_sub(excess).max(self.ceiling / 2).max(1);
            self.adjusted_at = Some(now);
        } else if load.waiting_count == 0 && self.busy_count >= self.ceiling && self.ceiling < most
        {
            // What the target says it could run besides; by ones if it doesn't say.
            let room = load.max_running_count.saturating_sub(load.running_count).max(1);
            self.ceiling = (self.ceiling + room).min(most);
            self.adjusted_at = Some(now);
        }
    }
}

/// The targets of one cell.
#[derive(Debug)]
pub struct Targets {
    targets: BTreeMap<Name, Target>,
    left: BTreeMap<Name, u64>,
    live_ratio: f64,
}

impl Default for Targets {
    fn default() -> Targets {
        Targets { targets: BTreeMap::new(), left: BTreeMap::new(), live_ratio: 1.0 }
    }
}

impl Targets {
    /// Replaces the list of targets; work at removed ones is left to end.
    pub fn set(&mut self, specs: &[TargetSpec]) {
        for target in self.targets.values_mut() {
            target.listed = false;
        }
        for spec in specs {
            let entry = self.targets.entry(spec.name.clone());
            let target = entry.or_insert_with(|| Target::new(spec.clone()));
            if target.spec.max_slots != spec.max_slots {
                target.ceiling = spec.max_slots;
            }
            target.spec = spec.clone();
            target.listed = true;
        }
        self.targets.retain(|_, target| target.listed || target.busy_count > 0);
    }

    /// Applies what operators say about targets.
    pub fn set_policy(&mut self, policy: &BTreeMap<Name, table::TargetPolicy>) {
        for (name, target) in &mut self.targets {
            let max_slots = policy.get(name).and_then(|line| line.max_slots);
            if max_slots != target.most_slots {
                target.most_slots = max_slots;
                target.ceiling = target.max_slots();
            }
        }
        for (name, _) in policy.iter().filter(|(_, line)| line.is_leaving) {
            self.leave(name, self.incarnation(name));
        }
    }

    /// Sets which part of the routers this one sees; the slots are shared out by it.
    pub fn set_live_ratio(&mut self, ratio: f64) {
        self.live_ratio = ratio.clamp(0.0, 1.0);
        for target in self.targets.values_mut() {
            target.found_slots = 0;
        }
    }

    /// Takes a target's load; one that is older than the last is ignored.
    pub fn set_load(&mut self, name: &Name, load: TargetLoad, now: time::Instant) {
        let was_unknown = self.left.get(name) == Some(&UNKNOWN_INCARNATION);
        if load.leaving || was_unknown {
            // A leave that came before the first report means the incarnation that now reports.
            self.leave(name, load.incarnation);
        } else if self.left.get(name).is_some_and(|left| *left < load.incarnation) {
            self.left.remove(name);
        }
        let live_ratio = self.live_ratio;
        let Some(target) = self.targets.get_mut(name) else { return };
        if target.load.as_ref().is_some_and(|last| load.at < last.at) {
            return;
        }
        if target.failed_at.is_some_and(|at| load.at > at) {
            target.failed_at = None;
        }
        target.adapt(&load, now);
        if live_ratio < 1.0 {
            let most = load.max_running_count.max(target.max_slots());
            let free = most.saturating_sub(load.running_count + load.waiting_count);
            let found = (f64::from(free) * live_ratio) as u32;
            target.found_slots = target.busy_count + found;
        }
        target.load = Some(load);
    }

    /// Takes a target out of use for the rest of its incarnation, whatever lists say.
    pub fn leave(&mut self, name: &Name, incarnation: u64) {
        let left = self.left.entry(name.clone()).or_insert(incarnation);
        *left = incarnation.max(*left);
        if self.left.len() > MAX_LEFT_TARGETS {
            let targets = &self.targets;
            self.left.retain(|name, _| targets.contains_key(name));
        }
    }

    /// Takes a target out of use until a load report shows that it lives.
    pub fn fail(&mut self, name: &Name, now: time::Instant) {
        if let Some(target) = self.targets.get_mut(name) {
            target.failed_at = Some(now);
        }
    }

    /// Incarnation of a target by its last load report; [`UNKNOWN_INCARNATION`] before the first.
    pub fn incarnation(&self, name: &Name) -> u64 {
        let load = self.targets.get(name).and_then(|target| target.load.as_ref());
        load.map_or(UNKNOWN_INCARNATION, |load| load.incarnation)
    }

    /// The target to use next: the first preferred one that is free, else that with most slots free.
    pub fn pick(&self, preferred: &[Name]) -> Option<Name> {
        let free = preferred.iter().find(|name| {
            self.targets.get(*name).is_some_and(|target| self.free_slots(name, target) > 0)
        });
        if let Some(name) = free {
            return Some(name.clone());
        }
        let free =
            self.targets.iter().map(|(name, target)| (self.room(name, target), name, target));
        let free = free.filter(|(room, _, _)| *room > 0);
        let best = free.max_by_key(|(room, _, target)| {
            // A target whose slots are taken has only look-ahead left, however much.
            (*room > i64::from(target.lookahead()), *room)
        });
        best.map(|(_, name, _)| name.clone())
    }

    /// Slots without a request, without look-ahead.
    pub fn free_count(&self) -> u32 {
        let free = self.targets.iter().map(|(name, target)| self.free_slots(name, target));
        u32::try_from(free.sum::<i64>()).unwrap_or(u32::MAX)
    }

    /// Requests in progress and granted.
    pub fn busy_count(&self) -> u32 {
        self.targets.values().map(|target| target.busy_count).sum()
    }

    /// Counts a request at a target, also at one that isn't listed: it may be later.
    pub fn take(&mut self, name: &Name) {
        let entry = self.targets.entry(name.clone());
        entry.or_insert_with(|| Target::unlisted(name.clone())).busy_count += 1;
    }

    /// Learns how long a request took from its grant to its end.
    pub fn record_time(&mut self, name: &Name, time_s: f64) {
        let Some(target) = self.targets.get_mut(name) else { return };
        let mean_s = target.mean_time_s.get_or_insert(FIRST_TIME.as_secs_f64());
        *mean_s += (time_s - *mean_s) * TIME_STEP;
    }

    /// Ends the count of a request at a target.
    pub fn release(&mut self, name: &Name) {
        let Some(target) = self.targets.get_mut(name) else { return };
        target.busy_count = target.busy_count.saturating_sub(1);
        if !target.listed && target.busy_count == 0 {
            self.targets.remove(name);
        }
    }

    fn usable(&self, name: &Name, target: &Target) -> bool {
        let incarnation = target.load.as_ref().map_or(0, |load| load.incarnation);
        let left = self.left.get(name).is_some_and(|left| *left >= incarnation);
        target.listed && !left && target.failed_at.is_none()
    }

    fn free_slots(&self, name: &Name, target: &Target) -> i64 {
        if !self.usable(name, target) {
            return 0;
        }
        (i64::from(target.slots(self.live_ratio)) - i64::from(target.busy_count)).max(0)
    }

    /// Slots and look-ahead without a request.
    fn room(&self, name: &Name, target: &Target) -> i64 {
        if !self.usable(name, target) {
            return 0;
        }
        let slots = target.slots(self.live_ratio) + target.lookahead();
        i64::from(slots) - i64::from(target.busy_count)
    }
}
