//! Messages between a router and the dispatcher of a cell.
//!
//! The wire format is in the crate `gentianhinge-wire`.

use smallvec::SmallVec;
use tokio::time;

use crate::ids::{Flow, GrantId, Name, RouterId};

/// Maximum number of waiting requests that one [`Demand`] counts.
///
/// The cap bounds the reporting traffic, however many requests one team sends.
pub const MAX_WAITING_COUNT: u32 = 64;

/// Targets that a [`Demand`] prefers, best first.
pub type PreferredTargets = SmallVec<[Name; 2]>;

/// Waiting requests of one router and one flow.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Team and class.
    pub flow: Flow,
    /// Number of waiting requests, at most [`MAX_WAITING_COUNT`]; 0 withdraws the demand.
    pub waiting_count: u32,
    /// Earliest deadline of the waiting requests.
    pub oldest_deadline: time::Instant,
    /// Deadline of the last request that `waiting_count` includes.
    pub newest_deadline: time::Instant,
    /// Targets that have a prefix of the oldest request in their cache.
    pub preferred_targets: PreferredTargets,
}

/// A granted request that hasn't finished.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlight {
    /// Grant under which the request runs.
    pub grant: GrantId,
    /// Team and class.
    pub flow: Flow,
    /// Name of the target.
    pub target: Name,
    /// Cost so far, not multiplied by the class's price.
    pub cost: f64,
}

/// Cost of a granted request so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Grant under which the request runs.
    pub grant: GrantId,
    /// Cost so far, not multiplied by the class's price.
    pub cost: f64,
}

/// Service that one router has delivered to one team through one cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name of the team.
    pub team: Name,
    /// Cost times the class's price, summed since the start of the router's incarnation.
    pub delivered_cost: f64,
}

/// Virtual time of a team, as used by weighted fair queueing.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamVirtualTime {
    /// Name of the team.
    pub team: Name,
    /// Charged cost divided by the team's weight.
    pub cost: f64,
}

/// Report of a router to the dispatcher of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Sender.
    pub router: RouterId,
    /// Name of the cell.
    pub cell: Name,
    /// Number of the report within its session.
    pub seq: u64,
    /// Number of the last grant batch that the router has applied.
    pub acked_seq: u64,
    /// Whether the report replaces all state that was reported before.
    pub full: bool,
    /// Changed demand; that of all flows if `full`.
    pub demand: Vec<Demand>,
    /// Costs of requests: of those in flight once per report interval, of those in `finished` at
    /// once.
    pub progress: Vec<Progress>,
    /// Grants whose requests have ended.
    pub finished: Vec<GrantId>,
    /// Grants for which the router had no waiting request.
    pub declined: Vec<GrantId>,
    /// The subset of `finished` whose target couldn't be connected to.
    pub failed: Vec<GrantId>,
    /// All requests in flight; only if `full`.
    pub in_flight: Vec<InFlight>,
    /// Service delivered so far for each team; only if `full`.
    pub accounts: Vec<Account>,
    /// Virtual times last received from a dispatcher; only if `full`.
    pub virtual_times: Vec<TeamVirtualTime>,
    /// Lineage of `virtual_times`, see [`GrantBatch::lineage`]; 0 if none was received.
    pub lineage: u64,
}

/// Permission to start one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Id of the grant.
    pub id: GrantId,
    /// Team and class of the request to start.
    pub flow: Flow,
    /// Name of the target.
    pub target: Name,
}

/// Instruction to a router to move waiting requests to another cell of the same model.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Team and class of the requests.
    pub flow: Flow,
    /// Maximum number of requests to move.
    pub request_count: u32,
    /// Name of the cell to move the requests to.
    pub to_cell: Name,
}

/// State of one cell that the other cells of its model need.
///
/// It is versioned by `dispatcher` and `seq`, so that no summary counts twice.
#[derive(Clone, Debug, PartialEq)]
pub struct CellState {
    /// Name of the cell.
    pub cell: Name,
    /// Dispatcher of the cell.
    pub dispatcher: RouterId,
    /// Number of the summary within the dispatcher's incarnation.
    pub seq: u64,
    /// Free slots, including those of requests expected to end before the next summary.
    pub free_slots: u32,
    /// Number of requests waiting for the cell; capped at [`MAX_WAITING_COUNT`] per router and
    /// flow.
    pub waiting_count: u32,
    /// Minimum virtual time of the teams with waiting requests; 0 if there are none.
    pub least_virtual_time: f64,
}

/// One team's service in a cell or a group of cells.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSummary {
    /// Name of the team.
    pub team: Name,
    /// Charged cost per weight, without `lift_cost`; for a group, the sum over its cells.
    pub service_cost: f64,
    /// Virtual time added when the team returned from a pause; for a group, the maximum.
    pub lift_cost: f64,
    /// Number of waiting requests; for a group, the sum.
    pub waiting_count: u32,
    /// Number of requests in flight; for a group, the sum.
    pub running_count: u32,
}

/// Service and demand of one cell, sent by its dispatcher to the aggregator of its zone.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSummary {
    /// State of the cell.
    pub state: CellState,
    /// Whether teams that aren't listed are to be removed.
    pub full: bool,
    /// Teams whose values have changed; all if `full`.
    pub teams: Vec<TeamSummary>,
}

/// Sums over a group of cells. A zone's aggregator sends them to the fleet's aggregator, which
/// sends the sums over the fleet to the dispatchers.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSummary {
    /// Name of the zone, or of the model for sums over the whole fleet.
    pub group: Name,
    /// Sender.
    pub aggregator: RouterId,
    /// Number of the summary within the aggregator's incarnation.
    pub seq: u64,
    /// Whether teams that aren't listed are to be removed.
    pub full: bool,
    /// All cells of the group, each with the version that the sums include.
    pub cells: Vec<CellState>,
    /// Teams whose sums have changed; all if `full`.
    pub teams: Vec<TeamSummary>,
}

/// Message from the dispatcher of a cell to a router.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantBatch {
    /// Sender.
    pub dispatcher: RouterId,
    /// Name of the cell.
    pub cell: Name,
    /// Number of the batch; increases across sessions.
    pub seq: u64,
    /// Grants for the receiving router.
    pub grants: Vec<Grant>,
    /// Waiting requests to move to other cells.
    pub moves: Vec<Move>,
    /// Virtual times that have changed for teams of the receiving router.
    pub virtual_times: Vec<TeamVirtualTime>,
    /// Identifies the series of dispatchers whose virtual times are comparable. A dispatcher starts
    /// a new lineage if no router reports an earlier one, and otherwise continues the reported
    /// lineage.
    pub lineage: u64,
}
