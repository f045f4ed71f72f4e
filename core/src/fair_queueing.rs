//! Virtual time of teams: charged service per weight.
//!
//! The team with the least virtual time is served next. A team that returns after a pause is lifted
//! to the virtual time of the last grant, so that it can't claim service for the pause. A lift never
//! lowers a virtual time, so leaving and returning gains nothing.
//!
//! ```
//! use gentianhinge_core::fair_queueing;
//!
//! let mut lanes = fair_queueing::Account::new(2.0);
//! lanes.charge(100.0);
//! lanes.add_pending(20.0);
//! assert_eq!(lanes.virtual_time(), 60.0);
//! lanes.lift_to(90.0);
//! assert_eq!(lanes.virtual_time(), 90.0);
//! ```

use std::cmp;

/// A virtual time that can be a key: ordered by [`f64::total_cmp`].
#[derive(Clone, Copy, Debug)]
pub struct VirtualTime(pub f64);

impl PartialEq for VirtualTime {
    fn eq(&self, other: &VirtualTime) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for VirtualTime {}

impl PartialOrd for VirtualTime {
    fn partial_cmp(&self, other: &VirtualTime) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for VirtualTime {
    fn cmp(&self, other: &VirtualTime) -> cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Service of one team, as the dispatcher of one cell knows it.
#[derive(Clone, Debug)]
pub struct Account {
    weight: f64,
    /// Delivered in this cell, per weight.
    service: f64,
    /// Added on returns. The greatest of all cells counts, so that two cells that lift a team for
    /// one pause don't lift it twice.
    lift: f64,
    /// Delivered by known routers while they had no session here, per weight.
    missed: f64,
    /// Added for what an earlier dispatcher has told. It may hold what was missed, so the greater
    /// of both counts.
    raised: f64,
    /// Expected remaining cost of running requests, not divided by weight.
    pending_cost: f64,
    /// Share of `pending_cost` that is charged ahead.
    pending_ratio: f64,
    /// Believed to be delivered and not yet reported, not divided by weight.
    unreported_cost: f64,
    others_service: f64,
    others_lift: f64,
    others_unreported_cost: f64,
}

impl Account {
    /// Opens an account without service.
    pub fn new(weight: f64) -> Account {
        Account {
            weight,
            service: 0.0,
            lift: 0.0,
            missed: 0.0,
            raised: 0.0,
            pending_cost: 0.0,
            pending_ratio: MAX_PENDING_RATIO,
            unreported_cost: 0.0,
            others_service: 0.0,
            others_lift: 0.0,
            others_unreported_cost: 0.0,
        }
    }

    /// Charges later service by another weight; what was charged stays.
    pub fn set_weight(&mut self, weight: f64) {
        self.weight = weight;
    }

    /// Weight by which service is divided.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Charges delivered service.
    pub fn charge(&mut self, cost: f64) {
        self.service += cost / self.weight;
    }

    /// Adds to the expected remaining cost of running requests.
    pub fn add_pending(&mut self, cost: f64) {
        self.pending_cost += cost;
    }

    /// Forgets the expected remaining cost, as is due when nothing runs.
    pub fn clear_pending(&mut self) {
        self.pending_cost = 0.0;
    }

    /// Sets the share of the expected remaining cost that is charged ahead.
    pub fn set_pending_ratio(&mut self, ratio: f64) {
        self.pending_ratio = ratio;
    }

    /// Sets what is believed to be delivered here and in the other cells and not yet reported.
    pub fn set_unreported(&mut self, cost: f64, others_cost: f64) {
        self.unreported_cost = cost;
        self.others_unreported_cost = others_cost;
    }

    /// Takes what the other cells have told.
    pub fn set_other_cells(&mut self, service: f64, lift: f64) {
        self.others_service = service;
        self.others_lift = lift;
    }

    /// Virtual time by what is reported, without what is charged ahead.
    pub fn settled(&self) -> f64 {
        self.service + self.others_service + self.total_lift()
    }

    /// Virtual time.
    pub fn virtual_time(&self) -> f64 {
        self.settled() + self.ahead() + self.others_unreported_cost / self.weight
    }

    /// Lifts the virtual time to at least `virtual_time`.
    pub fn lift_to(&mut self, virtual_time: f64) {
        let missing = virtual_time - self.virtual_time();
        if missing > 0.0 {
            self.lift = self.total_lift() + missing - self.missed.max(self.raised);
        }
    }

    /// Charges service that a known router delivered while it had no session here.
    pub fn charge_missed(&mut self, cost: f64) {
        self.missed += cost / self.weight;
    }

    /// Lifts the settled virtual time to one that an earlier dispatcher has told.
    pub fn raise_settled(&mut self, settled: f64) {
        let missing = settled - self.settled();
        if missing > 0.0 {
            self.raised = self.total_lift() + missing - self.lift;
        }
    }

    /// Service charged in this cell per weight, with what is charged ahead and without lifts.
    pub fn own_service(&self) -> f64 {
        self.service + self.ahead()
    }

    /// Lifts of this cell.
    pub fn own_lift(&self) -> f64 {
        self.lift + self.missed.max(self.raised)
    }

    fn total_lift(&self) -> f64 {
        self.own_lift().max(self.others_lift)
    }

    fn ahead(&self) -> f64 {
        (self.pending_cost * self.pending_ratio + self.unreported_cost) / self.weight
    }
}

/// Greatest share of the expected remaining cost that is charged ahead.
pub const MAX_PENDING_RATIO: f64 = 1.0;

/// Least share of the expected remaining cost that is charged ahead.
const MIN_PENDING_RATIO: f64 = 0.05;

/// Running requests for which the expected remaining cost is charged in full.
const FULL_PENDING_REQUESTS: f64 = 1.4;

/// Share of the expected remaining cost of running requests that is charged ahead.
///
/// A team with many requests running is steered by how many it has, and the estimate's errors, which
/// grow with the number, would only disturb; a team with one at a time needs to be charged for
/// it in full, or it gets several before the first is paid for.
pub fn pending_ratio(running_count: u32, team_count: usize) -> f64 {
    let per_team = f64::from(running_count) / team_count.max(1) as f64;
    (FULL_PENDING_REQUESTS / per_team.max(1.0)).clamp(MIN_PENDING_RATIO, MAX_PENDING_RATIO)
}

/// What the guarantee on the fairness gap depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GapLimits {
    /// Price times cost of the largest request.
    pub largest_cost: f64,
    /// Most requests of one team in flight, look-ahead included.
    pub in_flight_count: u32,
    /// Least weight of the teams compared.
    pub min_weight: f64,
    /// Number of cells that serve the teams.
    pub cell_count: u32,
    /// Most service that all cells deliver while a summary travels; 0 for one cell.
    pub stale_service_cost: f64,
    /// Service delivered while dispatchers were lost and not yet replaced; 0 if none was.
    pub lost_service_cost: f64,
}

/// Greatest difference in delivered service per weight between two teams that have been
/// backlogged since both were last lifted, whatever requests cost, as long as none delivers more
/// than the largest cost within a report interval.
///
/// The derivation is in `docs/design/dispatch.md`.
pub fn gap_bound(limits: &GapLimits) -> f64 {
    let in_flight_cost = f64::from(limits.in_flight_count) * limits.largest_cost;
    // What is in flight, what is charged ahead, and what is believed delivered though it stalled.
    let within_cell = in_flight_cost * (1.0 + MAX_PENDING_RATIO + 1.0);
    let across_cells = if limits.cell_count > 1 {
        limits.stale_service_cost + MOVE_LAG_RATIO * limits.largest_cost
    } else {
        0.0
    };
    (within_cell + across_cells + limits.lost_service_cost) / limits.min_weight
}

/// A team's waiting work moves to another cell when it is behind the teams there by more than this
/// part of the largest request.
pub const MOVE_LAG_RATIO: f64 = 0.5;
