//! Fair queueing between teams by virtual time, which is charged service divided by weight.
//!
//! The team with the least virtual time is served next. A team that was idle is lifted to the
//! virtual time of the last grant, so that it accumulates no claim while idle. A lift never lowers
//! a virtual time, so a team gains nothing by going idle and coming back.
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

/// A virtual time that can be used as a key: ordered by [`f64::total_cmp`].
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

/// Service of one team, as known to the dispatcher of one cell.
#[derive(Clone, Debug)]
pub struct Account {
    weight: f64,
    /// Service delivered in this cell, per weight.
    service: f64,
    /// Added when the team returns from being idle. The greatest lift of all cells counts, so that
    /// two cells that lift a team for the same idle time don't lift it twice.
    lift: f64,
    /// Service that known routers delivered while they had no session with this dispatcher, per
    /// weight.
    missed: f64,
    /// Added to reach the virtual time that an earlier dispatcher reported. This may include
    /// `missed`, so only the greater of the two counts.
    recovered: f64,
    /// Expected remaining cost of running requests, not divided by weight.
    pending_cost: f64,
    /// Fraction of `pending_cost` that is charged in advance.
    pending_ratio: f64,
    /// Estimate of what was delivered and not yet reported, not divided by weight.
    unreported_cost: f64,
    other_cells_service: f64,
    other_cells_lift: f64,
    other_cells_unreported_cost: f64,
}

impl Account {
    /// Creates an account without service.
    pub fn new(weight: f64) -> Account {
        Account {
            weight,
            service: 0.0,
            lift: 0.0,
            missed: 0.0,
            recovered: 0.0,
            pending_cost: 0.0,
            pending_ratio: MAX_PENDING_RATIO,
            unreported_cost: 0.0,
            other_cells_service: 0.0,
            other_cells_lift: 0.0,
            other_cells_unreported_cost: 0.0,
        }
    }

    /// Sets the weight for later service; charges made before keep theirs.
    pub fn set_weight(&mut self, weight: f64) {
        self.weight = weight;
    }

    /// Weight by which costs are divided.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Charges delivered service, as a cost that isn't divided by the weight yet.
    pub fn charge(&mut self, cost: f64) {
        self.service += cost / self.weight;
    }

    /// Adds to the expected remaining cost of running requests.
    pub fn add_pending(&mut self, cost: f64) {
        self.pending_cost += cost;
    }

    /// Resets the expected remaining cost to 0; to be called when no request runs.
    pub fn clear_pending(&mut self) {
        self.pending_cost = 0.0;
    }

    /// Sets the fraction of the expected remaining cost that is charged in advance.
    pub fn set_pending_ratio(&mut self, ratio: f64) {
        self.pending_ratio = ratio;
    }

    /// Sets the estimates of what was delivered and not yet reported, in this cell and in the
    /// others.
    pub fn set_unreported(&mut self, cost: f64, other_cells_cost: f64) {
        self.unreported_cost = cost;
        self.other_cells_unreported_cost = other_cells_cost;
    }

    /// Sets the service per weight and the greatest lift that the other cells reported.
    pub fn set_other_cells(&mut self, service: f64, lift: f64) {
        self.other_cells_service = service;
        self.other_cells_lift = lift;
    }

    /// Virtual time by reported service and lifts, without charges in advance and estimates.
    pub fn settled(&self) -> f64 {
        self.service + self.other_cells_service + self.total_lift()
    }

    /// Virtual time, with charges in advance and estimates of unreported service.
    pub fn virtual_time(&self) -> f64 {
        self.settled() + self.charged_ahead() + self.other_cells_unreported_cost / self.weight
    }

    /// Lifts the virtual time to at least `virtual_time`.
    pub fn lift_to(&mut self, virtual_time: f64) {
        let missing = virtual_time - self.virtual_time();
        if missing > 0.0 {
            self.lift = self.total_lift() + missing - self.missed.max(self.recovered);
        }
    }

    /// Charges service that a known router delivered while it had no session with this dispatcher.
    pub fn charge_missed(&mut self, cost: f64) {
        self.missed += cost / self.weight;
    }

    /// Lifts the settled virtual time to at least the one that an earlier dispatcher reported.
    pub fn raise_settled(&mut self, settled: f64) {
        let missing = settled - self.settled();
        if missing > 0.0 {
            self.recovered = self.total_lift() + missing - self.lift;
        }
    }

    /// Service charged in this cell per weight, with charges in advance and without lifts.
    pub fn own_service(&self) -> f64 {
        self.service + self.charged_ahead()
    }

    /// Lifts of this cell, per weight like all virtual time.
    pub fn own_lift(&self) -> f64 {
        self.lift + self.missed.max(self.recovered)
    }

    fn total_lift(&self) -> f64 {
        self.own_lift().max(self.other_cells_lift)
    }

    fn charged_ahead(&self) -> f64 {
        (self.pending_cost * self.pending_ratio + self.unreported_cost) / self.weight
    }
}

/// Largest fraction of the expected remaining cost that is charged in advance.
pub const MAX_PENDING_RATIO: f64 = 1.0;

/// Smallest fraction of the expected remaining cost that is charged in advance.
const MIN_PENDING_RATIO: f64 = 0.05;

/// Running requests per team up to which the expected remaining cost is charged in full.
const FULL_PENDING_REQUESTS: f64 = 1.4;

/// Fraction of the expected remaining cost of running requests that is charged in advance.
///
/// With many requests running per team, their number alone balances the teams, and the errors of
/// the estimate, which grow with the number, would only add noise. A team that runs one request at
/// a time has to be charged in full, or it is granted several before the first is charged.
pub fn pending_ratio(running_count: u32, team_count: usize) -> f64 {
    let per_team = f64::from(running_count) / team_count.max(1) as f64;
    (FULL_PENDING_REQUESTS / per_team.max(1.0)).clamp(MIN_PENDING_RATIO, MAX_PENDING_RATIO)
}

/// Parameters of [`gap_bound`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GapLimits {
    /// Price times the cost of the largest request.
    pub largest_cost: f64,
    /// Maximum number of requests of one team in flight, including look-ahead slots.
    pub in_flight_count: u32,
    /// Smaller weight of the two teams compared.
    pub min_weight: f64,
    /// Number of cells that serve the teams.
    pub cell_count: u32,
    /// Maximum service that all cells deliver while a summary is in transit; 0 for one cell.
    pub stale_service_cost: f64,
    /// Service delivered while a failed dispatcher wasn't replaced yet; 0 if none failed.
    pub lost_service_cost: f64,
}

/// Largest possible difference in delivered service per weight between two teams that have been
/// backlogged since both were last lifted.
///
/// It holds for any costs of requests, as long as none delivers more than the largest cost within a
/// report interval. The derivation is in `docs/design/dispatch.md`.
pub fn gap_bound(limits: &GapLimits) -> f64 {
    let in_flight_cost = f64::from(limits.in_flight_count) * limits.largest_cost;
    // Requests in flight, charges in advance, and estimated deliveries of requests that stalled.
    let within_cell = in_flight_cost * (1.0 + MAX_PENDING_RATIO + 1.0);
    let across_cells = if limits.cell_count > 1 {
        limits.stale_service_cost + MOVE_LAG_RATIO * limits.largest_cost
    } else {
        0.0
    };
    (within_cell + across_cells + limits.lost_service_cost) / limits.min_weight
}

/// A team's waiting requests move to another cell when the team's virtual time is below that of all
/// teams waiting there by more than this fraction of the largest request's cost.
pub const MOVE_LAG_RATIO: f64 = 0.5;
