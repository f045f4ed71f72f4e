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
}

/// Service that one router has charged to one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name of the team.
    pub team: Name,
    /// Cost delivered since the router's incarnation began, times the class's price.
    pub delivered_cost: f64,
    /// Share of the expected remaining cost of running requests that is charged ahead.
    pub pending_cost: f64,
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
    /// Grants whose requests have ended.
    pub finished: Vec<GrantId>,
    /// Grants that the router had no use for.
    pub declined: Vec<GrantId>,
    /// Everything in flight; only if `full`.
    pub in_flight: Vec<InFlight>,
    /// Accounts that have changed; all if `full`.
    pub accounts: Vec<Account>,
    /// Virtual times last heard from a dispatcher; only if `full`.
    pub virtual_times: Vec<TeamVirtualTime>,
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

/// What one cell has served and holds waiting, for the other cells of its model.
///
/// Summaries are versioned by dispatcher and number, so that none counts twice.
#[derive(Clone, Debug, PartialEq)]
pub struct CellSummary {
    /// Name of the cell.
    pub cell: Name,
    /// The cell's dispatcher.
    pub dispatcher: RouterId,
    /// Number of the summary within the dispatcher's incarnation.
    pub seq: u64,
    /// Slots without a request.
    pub free_slots: u32,
    /// Teams that are backlogged here or have changed.
    pub teams: Vec<TeamSummary>,
}

/// One team's line of a [`CellSummary`].
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSummary {
    /// Name of the team.
    pub team: Name,
    /// Service charged in the cell per weight.
    pub service_cost: f64,
    /// Requests that wait for the cell, capped like those of a demand line.
    pub waiting_count: u32,
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
}
