//! Slots of a cell's targets.
//!
//! A target has as many slots as its settings allow, fewer while its load reports show that the
//! engine queues more than the look-ahead, and none once it is leaving.
//!
//! Requests that are short compared to a round trip may all end within one, so the look-ahead then
//! is at least one request for each slot.
//!
//! Load reports are delayed. A report changes the number of slots only if it was made after the
//! last change.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time;

use crate::ids::Name;
use crate::table;

/// Number of leaving targets above which those that aren't listed are forgotten.
const MAX_LEAVING_TARGETS: usize = 4_096;

/// Incarnation of a target that hasn't sent a load report yet.
pub const UNKNOWN_INCARNATION: u64 = 0;

/// Mean duration below which requests count as short compared to a round trip.
const SHORT_REQUEST: Duration = Duration::from_millis(50);

/// Initial mean duration; high enough that a few early failures don't count as short requests.
const INITIAL_MEAN_DURATION: Duration = Duration::from_millis(200);

/// Smoothing factor of the mean duration (exponential moving average).
const DURATION_SMOOTHING_RATIO: f64 = 0.05;

/// Settings of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: Name,
    /// Availability zone of the target.
    pub zone: Name,
    /// Maximum number of concurrent requests.
    pub max_slots: u32,
    /// Requests granted beyond the slots; at least `max_slots` while requests are short, unless 0.
    pub lookahead_slots: u32,
}

/// Load report of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetLoad {
    /// When the target measured the load.
    pub at: time::Instant,
    /// Incarnation of the target; once leaving, it stays so for this incarnation.
    pub incarnation: u64,
    /// Requests in progress.
    pub running_count: u32,
    /// Requests in the target's own queue.
    pub waiting_count: u32,
    /// Maximum number of concurrent requests; 0 if the target doesn't report it.
    pub max_running_count: u32,
    /// Whether the target accepts no new work.
    pub leaving: bool,
}

#[derive(Debug)]
struct Target {
    spec: TargetSpec,
    is_listed: bool,
    /// Maximum set by the operators, overriding the settings.
    max_slots_override: Option<u32>,
    busy_count: u32,
    /// Greatest `busy_count` since the last load report.
    peak_busy_count: u32,
    /// Greatest `busy_count` between the last two load reports.
    last_peak_busy_count: u32,
    /// Current number of slots as adjusted by load reports.
    ceiling: u32,
    /// Slots that load reports show to be usable while only some of the listed routers are live.
    partition_slots: u32,
    adjusted_at: Option<time::Instant>,
    load: Option<TargetLoad>,
    failed_at: Option<time::Instant>,
    mean_duration_s: Option<f64>,
}

impl Target {
    fn new(spec: TargetSpec) -> Target {
        Target {
            is_listed: true,
            max_slots_override: None,
            busy_count: 0,
            peak_busy_count: 0,
            last_peak_busy_count: 0,
            ceiling: spec.max_slots,
            partition_slots: 0,
            adjusted_at: None,
            load: None,
            failed_at: None,
            mean_duration_s: None,
            spec,
        }
    }

    fn unlisted(name: Name) -> Target {
        let zone = Name::default();
        let spec = TargetSpec { name, zone, max_slots: 0, lookahead_slots: 0 };
        Target { is_listed: false, ..Target::new(spec) }
    }

    fn slots(&self, live_ratio: f64) -> u32 {
        let share = (f64::from(self.max_slots()) * live_ratio).ceil() as u32;
        self.ceiling.min(self.max_slots()).min(share.max(self.partition_slots))
    }

    fn max_slots(&self) -> u32 {
        self.max_slots_override.unwrap_or(self.spec.max_slots)
    }

    fn lookahead(&self) -> u32 {
        let is_short =
            self.mean_duration_s.is_some_and(|mean_s| mean_s < SHORT_REQUEST.as_secs_f64());
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
        let max_slots = match load.max_running_count {
            0 => self.max_slots(),
            count => self.max_slots().min(count),
        };
        // Requests of this dispatcher beyond the ceiling, such as after a router rejoined, aren't a
        // reason to lower the ceiling: the queue drains as they end. Some that the report counts
        // may have ended since.
        let reported_busy_count = self.peak_busy_count.max(self.last_peak_busy_count);
        let is_shared = reported_busy_count < load.running_count.saturating_add(load.waiting_count);
        if !is_shared && load.running_count > self.ceiling {
            // The target runs more requests at once, and all of them are of this dispatcher.
            self.ceiling = load.running_count.min(max_slots);
            self.adjusted_at = Some(now);
            return;
        }
        let surplus = reported_busy_count.saturating_sub(self.ceiling);
        let excess = load.waiting_count.saturating_sub(self.lookahead().max(1).max(surplus));
        if excess > 0 {
            self.ceiling = self.ceiling.saturating_sub(excess).max(self.ceiling / 2).max(1);
            self.adjusted_at = Some(now);
        } else if load.waiting_count == 0
            && self.busy_count >= self.ceiling
            && self.ceiling < max_slots
        {
            // The free capacity that the target reports, or 1 if it doesn't report its maximum.
            let room = load.max_running_count.saturating_sub(load.running_count).max(1);
            self.ceiling = (self.ceiling + room).min(max_slots);
            self.adjusted_at = Some(now);
        }
    }
}

/// Targets of one cell and their slot counts.
#[derive(Debug)]
pub struct Targets {
    targets: BTreeMap<Name, Target>,
    leaving: BTreeMap<Name, u64>,
    live_ratio: f64,
}

impl Default for Targets {
    fn default() -> Targets {
        Targets { targets: BTreeMap::new(), leaving: BTreeMap::new(), live_ratio: 1.0 }
    }
}

impl Targets {
    /// Replaces the list of targets. Requests at removed targets keep running.
    pub fn set(&mut self, specs: &[TargetSpec]) {
        for target in self.targets.values_mut() {
            target.is_listed = false;
        }
        for spec in specs {
            let entry = self.targets.entry(spec.name.clone());
            let target = entry.or_insert_with(|| Target::new(spec.clone()));
            if target.spec.max_slots != spec.max_slots {
                target.ceiling = spec.max_slots;
            }
            target.spec = spec.clone();
            target.is_listed = true;
        }
        self.targets.retain(|_, target| target.is_listed || target.busy_count > 0);
    }

    /// Applies the operators' policy for targets.
    pub fn set_policy(&mut self, policy: &BTreeMap<Name, table::TargetPolicy>) {
        for (name, target) in &mut self.targets {
            let max_slots = policy.get(name).and_then(|policy| policy.max_slots);
            if max_slots != target.max_slots_override {
                target.max_slots_override = max_slots;
                target.ceiling = target.max_slots();
            }
        }
        for (name, _) in policy.iter().filter(|(_, policy)| policy.is_leaving) {
            self.leave(name, self.incarnation(name));
        }
    }

    /// Sets the ratio of live to listed routers, which scales the slots that may be used.
    pub fn set_live_ratio(&mut self, ratio: f64) {
        self.live_ratio = ratio.clamp(0.0, 1.0);
        for target in self.targets.values_mut() {
            target.partition_slots = 0;
        }
    }

    /// Applies a load report. One that is older than the last is ignored, except for its `leaving`.
    pub fn set_load(&mut self, name: &Name, load: TargetLoad, now: time::Instant) {
        let was_unknown = self.leaving.get(name) == Some(&UNKNOWN_INCARNATION);
        if load.leaving || was_unknown {
            // A leave that was recorded before the first report applies to the incarnation that
            // sends it.
            self.leave(name, load.incarnation);
        } else if self.leaving.get(name).is_some_and(|last| *last < load.incarnation) {
            self.leaving.remove(name);
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
        target.last_peak_busy_count = target.peak_busy_count;
        target.peak_busy_count = target.busy_count;
        if live_ratio < 1.0 {
            let max_slots = load.max_running_count.max(target.max_slots());
            let free = max_slots.saturating_sub(load.running_count + load.waiting_count);
            let allowed = (f64::from(free) * live_ratio) as u32;
            target.partition_slots = target.busy_count + allowed;
        }
        target.load = Some(load);
    }

    /// Stops using a target for the rest of its incarnation, even if the target is still listed.
    pub fn leave(&mut self, name: &Name, incarnation: u64) {
        let last = self.leaving.entry(name.clone()).or_insert(incarnation);
        *last = incarnation.max(*last);
        if self.leaving.len() > MAX_LEAVING_TARGETS {
            let targets = &self.targets;
            self.leaving.retain(|name, _| targets.contains_key(name));
        }
    }

    /// Stops using an unreachable target until a later load report arrives.
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

    /// Returns the target for the next request: the first preferred one with a free slot, else the
    /// one with the most free slots. Look-ahead is used only when no target has a free slot.
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
            // Room up to the look-ahead means that all slots are in use.
            (*room > i64::from(target.lookahead()), *room)
        });
        best.map(|(_, name, _)| name.clone())
    }

    /// Number of free slots, not counting look-ahead.
    pub fn free_count(&self) -> u32 {
        let free = self.targets.iter().map(|(name, target)| self.free_slots(name, target));
        u32::try_from(free.sum::<i64>()).unwrap_or(u32::MAX)
    }

    /// Number of granted requests that haven't ended.
    pub fn busy_count(&self) -> u32 {
        self.targets.values().map(|target| target.busy_count).sum()
    }

    /// Counts a request at a target. The target may be unlisted, as it may be listed later.
    pub fn take(&mut self, name: &Name) {
        let entry = self.targets.entry(name.clone());
        let target = entry.or_insert_with(|| Target::unlisted(name.clone()));
        target.busy_count += 1;
        target.peak_busy_count = target.peak_busy_count.max(target.busy_count);
    }

    /// Records the time from the grant of a request to its end.
    pub fn record_duration(&mut self, name: &Name, duration_s: f64) {
        let Some(target) = self.targets.get_mut(name) else { return };
        let mean_s = target.mean_duration_s.get_or_insert(INITIAL_MEAN_DURATION.as_secs_f64());
        *mean_s += (duration_s - *mean_s) * DURATION_SMOOTHING_RATIO;
    }

    /// Removes a request from a target's count.
    pub fn release(&mut self, name: &Name) {
        let Some(target) = self.targets.get_mut(name) else { return };
        target.busy_count = target.busy_count.saturating_sub(1);
        if !target.is_listed && target.busy_count == 0 {
            self.targets.remove(name);
        }
    }

    fn is_usable(&self, name: &Name, target: &Target) -> bool {
        let incarnation = target.load.as_ref().map_or(0, |load| load.incarnation);
        let is_leaving = self.leaving.get(name).is_some_and(|last| *last >= incarnation);
        target.is_listed && !is_leaving && target.failed_at.is_none()
    }

    fn free_slots(&self, name: &Name, target: &Target) -> i64 {
        if !self.is_usable(name, target) {
            return 0;
        }
        (i64::from(target.slots(self.live_ratio)) - i64::from(target.busy_count)).max(0)
    }

    /// Free slots including look-ahead; negative if more requests run than that.
    fn room(&self, name: &Name, target: &Target) -> i64 {
        if !self.is_usable(name, target) {
            return 0;
        }
        let slots = target.slots(self.live_ratio) + target.lookahead();
        i64::from(slots) - i64::from(target.busy_count)
    }
}
