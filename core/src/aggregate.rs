//! Aggregates the service of one model's cells in a tree of zones and fleet.
//!
//! The dispatcher of each cell sends a summary of what the cell served to the aggregator of its
//! zone. The aggregator of each zone sends its sums to that of the fleet, whose sums are sent down
//! to all dispatchers. Any router can run an aggregator, because its state is soft: a new
//! aggregator requests full summaries from its children.
//!
//! ```
//! use gentianhinge_core::{aggregate, ids, message};
//!
//! let id = ids::RouterId::new("r1", 1);
//! let mut zone = aggregate::Aggregator::new("zone-a".into(), id.clone());
//! let team = message::TeamSummary {
//!     team: "lanes".into(),
//!     service_cost: 120.0,
//!     lift_cost: 0.0,
//!     waiting_count: 3,
//!     running_count: 1,
//! };
//! let state = message::CellState {
//!     cell: "assistant-0".into(),
//!     dispatcher: id,
//!     seq: 1,
//!     free_slots: 0,
//!     waiting_count: 3,
//!     least_virtual_time: 120.0,
//! };
//! let summary = message::CellSummary { state, full: true, teams: vec![team] };
//! assert_eq!(zone.apply_cell_summary(summary), aggregate::ApplyResult::Applied);
//! assert_eq!(zone.summary(true).teams[0].service_cost, 120.0);
//! ```

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{Name, RouterId};
use crate::message::{CellState, CellSummary, GroupSummary, TeamSummary};

/// Result of applying a summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The sums include it now.
    Applied,
    /// It isn't newer than the last one from the same sender and is ignored.
    Stale,
    /// It lists changes to a state that the aggregator doesn't have; a full summary is needed.
    NeedsFull,
}

/// Node of the tree: sums over the cells or groups below it.
#[derive(Debug)]
pub struct Aggregator {
    group: Name,
    id: RouterId,
    seq: u64,
    children: BTreeMap<Name, Child>,
    changed: BTreeSet<Name>,
}

/// Latest state of a cell or a group. Its values are cumulative and replace earlier ones, so that
/// applying a summary is idempotent.
#[derive(Debug)]
struct Child {
    sender: RouterId,
    seq: u64,
    lines: Vec<CellState>,
    teams: BTreeMap<Name, TeamSummary>,
}

impl Aggregator {
    /// Creates an aggregator without children for the group `group`, run by the router `id`.
    pub fn new(group: Name, id: RouterId) -> Aggregator {
        Aggregator { group, id, seq: 0, children: BTreeMap::new(), changed: BTreeSet::new() }
    }

    /// Applies the summary of a cell.
    pub fn apply_cell_summary(&mut self, summary: CellSummary) -> ApplyResult {
        let CellSummary { state, full, teams } = summary;
        let (key, sender, seq) = (state.cell.clone(), state.dispatcher.clone(), state.seq);
        self.apply(key, sender, seq, full, vec![state], teams)
    }

    /// Applies the summary of a group one level below.
    pub fn apply_group_summary(&mut self, summary: GroupSummary) -> ApplyResult {
        let GroupSummary { group, aggregator, seq, full, cells, teams } = summary;
        self.apply(group, aggregator, seq, full, cells, teams)
    }

    /// Clears waiting and running requests and free slots of a cell or group that no longer exists;
    /// its service stays in the sums.
    pub fn retire(&mut self, key: &Name) {
        let Some(child) = self.children.get_mut(key) else { return };
        child.lines.clear();
        for team in child.teams.values_mut() {
            team.waiting_count = 0;
            team.running_count = 0;
        }
        self.changed.extend(child.teams.keys().cloned());
    }

    /// Creates the next summary: with all teams if `full`, otherwise with those whose sums changed.
    pub fn summary(&mut self, full: bool) -> GroupSummary {
        self.seq += 1;
        let changed = std::mem::take(&mut self.changed);
        let names = if full { self.team_names() } else { changed };
        GroupSummary {
            group: self.group.clone(),
            aggregator: self.id.clone(),
            seq: self.seq,
            full,
            cells: self.children.values().flat_map(|child| child.lines.iter().cloned()).collect(),
            teams: names.iter().map(|team| self.sum(team)).collect(),
        }
    }

    fn apply(
        &mut self,
        key: Name,
        sender: RouterId,
        seq: u64,
        full: bool,
        lines: Vec<CellState>,
        teams: Vec<TeamSummary>,
    ) -> ApplyResult {
        let previous = self.children.get(&key).filter(|child| child.sender == sender);
        match previous {
            Some(child) if seq <= child.seq => return ApplyResult::Stale,
            // If the summary before was lost, a team that only changed there would stay outdated.
            Some(child) if !full && seq != child.seq + 1 => return ApplyResult::NeedsFull,
            None if !full => return ApplyResult::NeedsFull,
            _ => {}
        }
        self.changed.extend(teams.iter().map(|line| line.team.clone()));
        let old = self.children.remove(&key).map(|child| child.teams).unwrap_or_default();
        let mut by_name = if full { BTreeMap::new() } else { old.clone() };
        by_name.extend(teams.into_iter().map(|line| (line.team.clone(), line)));
        self.changed.extend(old.into_keys().filter(|team| !by_name.contains_key(team)));
        self.children.insert(key, Child { sender, seq, lines, teams: by_name });
        ApplyResult::Applied
    }

    fn team_names(&self) -> BTreeSet<Name> {
        self.children.values().flat_map(|child| child.teams.keys().cloned()).collect()
    }

    fn sum(&self, team: &Name) -> TeamSummary {
        let mut sum = TeamSummary {
            team: team.clone(),
            service_cost: 0.0,
            lift_cost: 0.0,
            waiting_count: 0,
            running_count: 0,
        };
        for line in self.children.values().filter_map(|child| child.teams.get(team)) {
            sum.service_cost += line.service_cost;
            sum.lift_cost = sum.lift_cost.max(line.lift_cost);
            sum.waiting_count = sum.waiting_count.saturating_add(line.waiting_count);
            sum.running_count = sum.running_count.saturating_add(line.running_count);
        }
        sum
    }
}
