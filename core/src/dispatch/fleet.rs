//! The cell among the other cells of its model: summaries, and moves of waiting requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use tokio::time;

use super::Dispatcher;
use super::flows::FlowIndex;
use super::session::SessionKey;
use super::teams::{Others, TeamIndex};
use crate::fair;
use crate::ids::{Name, RouterId};
use crate::message::{CellState, CellSummary, GroupSummary, Move, TeamSummary};

/// Summaries of this cell that are kept until the fleet's sums hold a later one.
const MAX_TOLD_SUMMARIES: usize = 16;

/// A team's numbers in an earlier summary of this cell.
#[derive(Clone, Copy, Debug)]
pub(super) struct Told {
    seq: u64,
    service: f64,
    lift: f64,
    others: Others,
}

/// State of the cell's part in the fleet's sums.
#[derive(Debug)]
pub(super) struct FleetState {
    interval: Duration,
    seq: u64,
    aggregator: Option<(RouterId, u64)>,
    cells: Vec<CellState>,
    ended_count: u32,
    measured_at: Option<time::Instant>,
    /// Requests that end each second.
    ended_per_s: f64,
    /// Cost times price of the largest request that has ended.
    pub(super) largest_cost: f64,
}

/// Order of the teams while moves are chosen, with the moves charged.
struct Plan {
    teams: BTreeSet<(fair::VirtualTime, TeamIndex)>,
    virtual_times: BTreeMap<TeamIndex, f64>,
    /// This cell's part of what waits in all cells that have too much.
    part: f64,
}

impl Plan {
    fn insert(&mut self, team: TeamIndex, virtual_time: f64) {
        self.teams.insert((fair::VirtualTime(virtual_time), team));
        self.virtual_times.insert(team, virtual_time);
    }

    fn virtual_time(&self, team: TeamIndex) -> f64 {
        self.virtual_times.get(&team).copied().unwrap_or(0.0)
    }
}

impl FleetState {
    pub(super) fn new() -> FleetState {
        FleetState {
            interval: SUMMARY_INTERVAL,
            seq: 0,
            aggregator: None,
            cells: Vec::new(),
            ended_count: 0,
            measured_at: None,
            ended_per_s: 0.0,
            largest_cost: 0.0,
        }
    }

    /// Notes a request that has ended.
    pub(super) fn record(&mut self, cost: f64) {
        self.ended_count += 1;
        self.largest_cost = self.largest_cost.max(cost);
    }

    fn measure_rate(&mut self, now: time::Instant) {
        let since = self.measured_at.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < MIN_RATE_TIME) {
            return;
        }
        if let Some(since) = since {
            let per_s = f64::from(self.ended_count) / since.as_secs_f64();
            self.ended_per_s += (per_s - self.ended_per_s) * RATE_STEP;
        }
        self.ended_count = 0;
        self.measured_at = Some(now);
    }
}

/// Default time between summaries.
pub const SUMMARY_INTERVAL: Duration = Duration::from_secs(3);
/// Shortest time over which the rate of ends is measured.
const MIN_RATE_TIME: Duration = Duration::from_secs(1);
/// Part by which a new measurement changes the rate of ends.
const RATE_STEP: f64 = 0.3;

impl Dispatcher {
    /// Sets the time between summaries; [`SUMMARY_INTERVAL`] by default.
    pub fn set_summary_interval(&mut self, interval: Duration) {
        self.fleet.interval = interval;
    }

    /// Makes the cell's next summary: all teams if `full`, else those that have changed.
    pub fn summary(&mut self, full: bool, now: time::Instant) -> CellSummary {
        self.now = now;
        self.fleet.measure_rate(now);
        self.teams.refresh_all(now);
        self.fleet.seq += 1;
        let seq = self.fleet.seq;
        let indexes = self.teams.indexes();
        let teams = indexes.filter_map(|index| self.team_summary(index, seq, full)).collect();
        CellSummary { state: self.cell_state(seq), full, teams }
    }

    /// Takes the fleet's sums, and orders moves of requests that are better served elsewhere.
    ///
    /// Sums that don't hold this dispatcher's own part are ignored: what is the cell's own couldn't
    /// be told from the others'.
    pub fn apply_fleet_summary(&mut self, group: &GroupSummary, now: time::Instant) {
        self.now = now;
        let version = (group.aggregator.clone(), group.seq);
        let is_old = self
            .fleet
            .aggregator
            .as_ref()
            .is_some_and(|(sender, seq)| *sender == version.0 && version.1 <= *seq);
        let own = group.cells.iter().find(|line| line.cell == self.cell);
        let Some(own) = own.filter(|line| line.dispatcher == self.id && !is_old) else { return };
        self.fleet.aggregator = Some(version);
        for line in &group.teams {
            self.set_others(line, own.seq);
        }
        self.teams.sum_others(now);
        let others = group.cells.iter().filter(|line| line.cell != self.cell);
        self.fleet.cells = others.cloned().collect();
        self.teams.refresh_all(now);
        let mut plan = self.plan();
        self.move_to_idle_cells(&mut plan);
        self.move_behind(&mut plan);
    }

    fn team_summary(&mut self, index: TeamIndex, seq: u64, full: bool) -> Option<TeamSummary> {
        let team = self.teams.get_mut(index);
        let told = Told {
            seq,
            service: team.account.own_service(),
            lift: team.account.own_lift(),
            others: Others { waiting_count: team.waiting_count, running_count: team.running_count },
        };
        let last = team.told.back();
        let changed = last.is_none_or(|last| {
            (last.service, last.lift) != (told.service, told.lift) || last.others != told.others
        });
        if changed {
            team.told.push_back(told);
            if team.told.len() > MAX_TOLD_SUMMARIES {
                team.told.pop_front();
            }
        }
        (full || changed).then(|| TeamSummary {
            team: team.name.clone(),
            service_cost: told.service,
            lift_cost: told.lift,
            waiting_count: told.others.waiting_count,
            running_count: told.others.running_count,
        })
    }

    /// A slot counts as free if it has no work now or none is at hand for it before the next
    /// summary; else slots would stand idle while moves are under way.
    fn cell_state(&self, seq: u64) -> CellState {
        let waiting_count = self.teams.waiting_count();
        let interval_s = self.fleet.interval.as_secs_f64();
        let to_end = (self.fleet.ended_per_s * interval_s) as u32;
        let slots = self.targets.free_count() + to_end.min(self.targets.busy_count());
        let least = self.teams.first();
        CellState {
            cell: self.cell.clone(),
            dispatcher: self.id.clone(),
            seq,
            free_slots: slots,
            waiting_count,
            least_virtual_time: least.map_or(0.0, |(virtual_time, _)| virtual_time),
        }
    }

    fn set_others(&mut self, line: &TeamSummary, own_seq: u64) {
        let index = self.teams.index(&line.team, &self.table, self.now);
        let team = self.teams.get_mut(index);
        let own = own_part(&mut team.told, own_seq);
        let (service, others) =
            own.map_or((0.0, Others::default()), |own| (own.service, own.others));
        team.account.set_others(line.service_cost - service, line.lift_cost);
        team.others = Others {
            waiting_count: line.waiting_count.saturating_sub(others.waiting_count),
            running_count: line.running_count.saturating_sub(others.running_count),
        };
    }

    fn plan(&self) -> Plan {
        let own_count = self.teams.waiting_count();
        let lines = self.fleet.cells.iter();
        let waiting = lines.filter(|line| line.free_slots <= line.waiting_count);
        let all_count = waiting.map(|line| line.waiting_count).sum::<u32>() + own_count;
        let mut plan = Plan {
            teams: BTreeSet::new(),
            virtual_times: BTreeMap::new(),
            part: f64::from(own_count) / f64::from(all_count.max(1)),
        };
        for (virtual_time, team) in self.teams.backlogged() {
            plan.insert(team, virtual_time);
        }
        plan
    }

    /// Moves this cell's part of what cells without work of their own can take.
    fn move_to_idle_cells(&mut self, plan: &mut Plan) {
        let own_state = self.cell_state(0);
        if own_state.free_slots > own_state.waiting_count {
            return;
        }
        let idle = self.fleet.cells.iter();
        let idle = idle.filter(|line| line.free_slots > line.waiting_count);
        let rooms = idle.map(|line| {
            let room = f64::from(line.free_slots - line.waiting_count) * plan.part;
            (line.cell.clone(), self.dithered(room, &line.cell))
        });
        for (cell, room) in rooms.collect::<Vec<_>>() {
            for _ in 0..room {
                let Some((_, team)) = plan.teams.pop_first() else { return };
                self.move_planned(team, &cell, plan);
            }
        }
    }

    /// Moves requests of teams that are far behind all teams of another cell.
    fn move_behind(&mut self, plan: &mut Plan) {
        let margin_cost = fair::MOVE_LAG_RATIO * self.fleet.largest_cost;
        if margin_cost <= 0.0 {
            return;
        }
        let busy = self.fleet.cells.iter();
        let busy =
            busy.filter(|line| line.waiting_count > 0 && line.free_slots <= line.waiting_count);
        let rooms = busy.map(|line| {
            let room = self.dithered(f64::from(line.free_slots) * plan.part, &line.cell);
            (line.cell.clone(), line.least_virtual_time, room)
        });
        let mut rooms = rooms.collect::<Vec<_>>();
        while let Some((virtual_time, team)) = plan.teams.pop_first() {
            let margin = margin_cost / self.teams.get(team).account.weight();
            // The cell that is furthest ahead needs other work most.
            let open = rooms.iter_mut().filter(|(_, _, room)| *room > 0);
            let best = open.max_by(|a, b| a.1.total_cmp(&b.1));
            let Some(best) = best.filter(|best| best.1 - virtual_time.0 > margin) else { return };
            best.2 -= 1;
            let cell = best.0.clone();
            self.move_planned(team, &cell, plan);
        }
    }

    /// Moves one request and charges it in the plan, with what the other cells move of the team.
    fn move_planned(&mut self, team: TeamIndex, to_cell: &Name, plan: &mut Plan) {
        let virtual_time = plan.virtual_time(team);
        if !self.move_one(team, to_cell) {
            return;
        }
        let state = self.teams.get(team);
        let own_count = f64::from(state.waiting_count + 1);
        let all_count = own_count + f64::from(state.others.waiting_count);
        let cost = state.mean_cost.max(1.0) * all_count / own_count / state.account.weight();
        plan.insert(team, virtual_time + cost);
    }

    /// Rounds so that the mean over summaries is right, and differently for each pair of cells.
    fn dithered(&self, count: f64, to_cell: &Name) -> u32 {
        let mut hasher = DefaultHasher::new();
        (&self.cell, to_cell, self.fleet.seq).hash(&mut hasher);
        let dither = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
        (count + dither) as u32
    }

    /// Orders the move of a team's request with the earliest deadline.
    fn move_one(&mut self, team: TeamIndex, to_cell: &Name) -> bool {
        let Some((_, key, flow)) = self.teams.get(team).waiting.first().copied() else {
            return false;
        };
        let session = self.sessions.get(&key);
        let Some(mut line) = session.and_then(|session| session.lines.get(&flow)).cloned() else {
            return false;
        };
        line.take_one();
        self.set_line(key, flow, Some(line));
        self.order_move(key, flow, to_cell);
        true
    }

    fn order_move(&mut self, key: SessionKey, flow: FlowIndex, to_cell: &Name) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let flow_name = &self.flows.get(flow).flow;
        let same = |order: &&mut Move| order.flow == *flow_name && order.to_cell == *to_cell;
        match session.moves.iter_mut().find(same) {
            Some(order) => order.request_count += 1,
            None => session.moves.push(Move {
                flow: flow_name.clone(),
                request_count: 1,
                to_cell: to_cell.clone(),
            }),
        }
        session.unacked.push_back((self.batch_seq + 1, flow));
        self.dirty.insert(key);
    }
}

/// The numbers that a sum holds which includes this cell's summary `seq`; older ones are dropped.
fn own_part(told: &mut VecDeque<Told>, seq: u64) -> Option<Told> {
    while told.len() > 1 && told[1].seq <= seq {
        told.pop_front();
    }
    told.front().copied().filter(|own| own.seq <= seq)
}
