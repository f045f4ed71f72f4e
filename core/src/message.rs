//! Messages between a router and the dispatcher of a cell.
//!
//! The wire form is in the crate `gentianhinge-wire`; these are the types that decisions use.

use smallvec::SmallVec;
use tokio::time;

use crate::ids::{Flow, GrantId, Name, RouterId};

/// Most waiting requests that one demand line counts.
///
/// The cap keeps reports the same size however many requests one team sends.
pub const MAX_WAITING_COUNT: u32 = 64;

/// Targets that a demand line prefers, best first.
pub type PreferredTargets = SmallVec<[Name; 2]>;

/// What one router has waiting for one flow.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Team and class.
    pub flow: Flow,
    /// Waiting requests, at most [`MAX_WAITING_COUNT`]; 0 takes the line back.
    pub waiting_count: u32,
    /// Deadline of the request that must start first.
    pub oldest_deadline: time::Instant,
    /// Deadline of the last request that the line counts.
    pub newest_deadline: time::Instant,
    /// Targets that hold a prefix of the oldest request.
    pub preferred_targets: PreferredTargets,
}

/// A granted request that hasn't finished.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlight {
    /// The grant that it runs under.
    pub grant: GrantId,
    /// Team and class.
    pub flow: Flow,
    /// Name of the target.
    pub target: Name,
    /// Cost so far, before the class's price.
    pub cost: f64,
}

/// What a granted request has cost so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// The grant that the request runs under.
    pub grant: GrantId,
    /// Cost so far, before the class's price.
    pub cost: f64,
}

/// Service that one router has delivered to one team through one cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name of the team.
    pub team: Name,
    /// Cost delivered since the router's incarnation began, times the class's price.
    pub delivered_cost: f64,
}

/// Charged service of a team per weight.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamVirtualTime {
    /// Name of the team.
    pub team: Name,
    /// Charged service divided by weight.
    pub cost: f64,
}

/// From a router to the dispatcher of a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Sender.
    pub router: RouterId,
    /// Name of the cell.
    pub cell: Name,
    /// Number of the report within its session.
    pub seq: u64,
    /// Last grant batch that this report takes account of.
    pub acked_seq: u64,
    /// Whether the report replaces all that the session reported before.
    pub full: bool,
    /// Demand lines that have changed; all if `full`.
    pub demand: Vec<Demand>,
    /// Costs that have changed: of requests in flight each report interval, of `finished` at once.
    pub progress: Vec<Progress>,
    /// Grants whose requests have ended.
    pub finished: Vec<GrantId>,
    /// Grants that the router had no use for.
    pub declined: Vec<GrantId>,
    /// Those of `finished` whose target couldn't be connected to.
    pub failed: Vec<GrantId>,
    /// Everything in flight; only if `full`.
    pub in_flight: Vec<InFlight>,
    /// What was delivered before the session; only if `full`.
    pub accounts: Vec<Account>,
    /// Virtual times last heard from a dispatcher; only if `full`.
    pub virtual_times: Vec<TeamVirtualTime>,
    /// Which count of service they belong to; 0 if none was heard.
    pub lineage: u64,
}

/// Leave to start one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Identifies the grant.
    pub id: GrantId,
    /// Team and class of the request to start.
    pub flow: Flow,
    /// Name of the target.
    pub target: Name,
}

/// Order to a router to report waiting requests to another cell of the same model.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Team and class of the requests.
    pub flow: Flow,
    /// Most requests to move.
    pub request_count: u32,
    /// Name of the cell that is to run them.
    pub to_cell: Name,
}

/// State of one cell, as the other cells of its model need it.
///
/// Lines are versioned by dispatcher and number, so that none counts twice.
#[derive(Clone, Debug, PartialEq)]
pub struct CellState {
    /// Name of the cell.
    pub cell: Name,
    /// The cell's dispatcher.
    pub dispatcher: RouterId,
    /// Number of the summary within the dispatcher's incarnation.
    pub seq: u64,
    /// Slots without a request, and those expected to end before the next summary.
    pub free_slots: u32,
    /// Requests that wait for the cell, capped by router and flow.
    pub waiting_count: u32,
    /// Least virtual time of the teams that wait for the cell; 0 if none waits.
    pub least_virtual_time: f64,
}

/// One team's service in a cell or a group of cells.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSummary {
    /// Name of the team.
    pub team: Name,
    /// Service charged per weight, without lifts; a group's is the sum over its cells.
    pub service_cost: f64,
    /// Virtual time added when the team returned from a pause; a group's is the greatest.
    pub lift_cost: f64,
    /// Requests that wait; a group's is the sum.
    pub waiting_count: u32,
    /// Requests in flight; a group's is the sum.
    pub running_count: u32,
}

/// What one cell has served and holds waiting: from its dispatcher to the aggregator of its zone.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSummary {
    /// State of the cell.
    pub state: CellState,
    /// Whether teams that aren't named are to be forgotten.
    pub full: bool,
    /// Teams whose numbers have changed; all if `full`.
    pub teams: Vec<TeamSummary>,
}

/// Sum over a group of cells: from the aggregator of a zone up to that of the fleet, and from there
/// down to the dispatchers.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSummary {
    /// Name of the zone, or of the model for the whole fleet.
    pub group: Name,
    /// Sender.
    pub aggregator: RouterId,
    /// Number of the summary within the aggregator's incarnation.
    pub seq: u64,
    /// Whether teams that aren't named are to be forgotten.
    pub full: bool,
    /// All cells of the group, with the version of each that the sums hold.
    pub cells: Vec<CellState>,
    /// Teams whose sums have changed; all if `full`.
    pub teams: Vec<TeamSummary>,
}

/// From the dispatcher of a cell to a router.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantBatch {
    /// Sender.
    pub dispatcher: RouterId,
    /// Name of the cell.
    pub cell: Name,
    /// Number of the batch within its session.
    pub seq: u64,
    /// Grants for the receiving router.
    pub grants: Vec<Grant>,
    /// Waiting requests to report to other cells.
    pub moves: Vec<Move>,
    /// Virtual times that have changed for teams of the receiving router.
    pub virtual_times: Vec<TeamVirtualTime>,
    /// Which count of service they belong to: it begins with a dispatcher to which no router tells an
    /// earlier one, and goes on with its successors. Only within one count do they compare.
    pub lineage: u64,
}
