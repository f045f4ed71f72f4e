//! Exchange with the other cells of a model: summaries, and moves of waiting requests.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use tokio::time;

use super::Dispatcher;
use super::flows::FlowIndex;
use super::session::SessionKey;
use super::teams::{RequestCounts, TeamIndex};
use crate::fair_queueing;
use crate::ids::{Name, RouterId};
use crate::message::{CellState, CellSummary, GroupSummary, Move, TeamSummary};

/// Maximum number of this cell's summaries that are kept until the fleet's sums include a later
/// one.
const MAX_SENT_SUMMARIES: usize = 16;

/// A team's values in an earlier summary of this cell.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentSummary {
    seq: u64,
    service: f64,
    lift: f64,
    counts: RequestCounts,
}

/// State of the exchange with the fleet's aggregator.
#[derive(Debug)]
pub(super) struct FleetState {
    interval: Duration,
    seq: u64,
    /// Aggregator and number of the last sums that were applied.
    aggregator: Option<(RouterId, u64)>,
    cells: Vec<CellState>,
    ended_count: u32,
    measured_at: Option<time::Instant>,
    /// Moving average of the requests that end per second.
    ended_per_s: f64,
    /// Cost times price of the largest request that has ended.
    pub(super) largest_cost: f64,
}

/// Order of the teams while moves are selected; each move is charged to its team.
struct MovePlan {
    teams: BTreeSet<(fair_queueing::VirtualTime, TeamIndex)>,
    virtual_times: BTreeMap<TeamIndex, f64>,
    /// This cell's share of the requests that wait in all overloaded cells.
    own_waiting_ratio: f64,
}

impl MovePlan {
    fn insert(&mut self, team: TeamIndex, virtual_time: f64) {
        self.teams.insert((fair_queueing::VirtualTime(virtual_time), team));
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

    /// Records the cost times price of a request that has ended.
    pub(super) fn record(&mut self, cost: f64) {
        self.ended_count += 1;
        self.largest_cost = self.largest_cost.max(cost);
    }

    fn measure_rate(&mut self, now: time::Instant) {
        let since = self.measured_at.map(|at| now.saturating_duration_since(at));
        if since.is_some_and(|since| since < MIN_RATE_SAMPLE) {
            return;
        }
        if let Some(since) = since {
            let per_s = f64::from(self.ended_count) / since.as_secs_f64();
            self.ended_per_s += (per_s - self.ended_per_s) * RATE_SMOOTHING_RATIO;
        }
        self.ended_count = 0;
        self.measured_at = Some(now);
    }
}

/// Default time between summaries.
pub const SUMMARY_INTERVAL: Duration = Duration::from_secs(3);
/// Minimum time between two samples of the rate at which requests end.
const MIN_RATE_SAMPLE: Duration = Duration::from_secs(1);
/// Smoothing factor of the rate at which requests end.
const RATE_SMOOTHING_RATIO: f64 = 0.3;

impl Dispatcher {
    /// Sets the time between summaries; [`SUMMARY_INTERVAL`] by default.
    pub fn set_summary_interval(&mut self, interval: Duration) {
        self.fleet.interval = interval;
    }

    /// Returns the cell's next summary, with all teams if `full`, else those that have changed.
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

    /// Applies the fleet's sums, and moves requests to cells that can serve them better.
    ///
    /// Sums that don't include a summary of this dispatcher are ignored, as the cell's own part
    /// couldn't be subtracted from them.
    pub fn apply_fleet_summary(&mut self, group: &GroupSummary, now: time::Instant) {
        self.now = now;
        let version = (group.aggregator.clone(), group.seq);
        let is_old = self
            .fleet
            .aggregator
            .as_ref()
            .is_some_and(|(sender, seq)| *sender == version.0 && version.1 <= *seq);
        let own = group.cells.iter().find(|state| state.cell == self.cell);
        let Some(own) = own.filter(|state| state.dispatcher == self.id && !is_old) else { return };
        self.fleet.aggregator = Some(version);
        for team_sum in &group.teams {
            self.set_other_cells(team_sum, own.seq);
        }
        self.teams.sum_others(now);
        let others = group.cells.iter().filter(|state| state.cell != self.cell);
        self.fleet.cells = others.cloned().collect();
        self.teams.refresh_all(now);
        let mut plan = self.plan();
        self.move_to_idle_cells(&mut plan);
        self.move_lagging_teams(&mut plan);
    }

    fn team_summary(&mut self, index: TeamIndex, seq: u64, full: bool) -> Option<TeamSummary> {
        let team = self.teams.get_mut(index);
        let sent = SentSummary {
            seq,
            service: team.account.own_service(),
            lift: team.account.own_lift(),
            counts: RequestCounts {
                waiting_count: team.waiting_count,
                running_count: team.running_count,
            },
        };
        let last = team.sent_summaries.back();
        let changed = last.is_none_or(|last| {
            (last.service, last.lift) != (sent.service, sent.lift) || last.counts != sent.counts
        });
        if changed {
            team.sent_summaries.push_back(sent);
            if team.sent_summaries.len() > MAX_SENT_SUMMARIES {
                team.sent_summaries.pop_front();
            }
        }
        (full || changed).then(|| TeamSummary {
            team: team.name.clone(),
            service_cost: sent.service,
            lift_cost: sent.lift,
            waiting_count: sent.counts.waiting_count,
            running_count: sent.counts.running_count,
        })
    }

    /// State of the cell for a summary.
    ///
    /// Slots of requests that are expected to end before the next summary count as free; otherwise
    /// they would be idle until moved requests arrive.
    fn cell_state(&self, seq: u64) -> CellState {
        let waiting_count = self.teams.waiting_count();
        let interval_s = self.fleet.interval.as_secs_f64();
        let ending_count = (self.fleet.ended_per_s * interval_s) as u32;
        let slots = self.targets.free_count() + ending_count.min(self.targets.busy_count());
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

    fn set_other_cells(&mut self, team_sum: &TeamSummary, own_seq: u64) {
        let index = self.teams.index(&team_sum.team, &self.table, self.now);
        let team = self.teams.get_mut(index);
        let own = included_summary(&mut team.sent_summaries, own_seq);
        let (service, others) =
            own.map_or((0.0, RequestCounts::default()), |own| (own.service, own.counts));
        team.account.set_other_cells(team_sum.service_cost - service, team_sum.lift_cost);
        team.other_cells = RequestCounts {
            waiting_count: team_sum.waiting_count.saturating_sub(others.waiting_count),
            running_count: team_sum.running_count.saturating_sub(others.running_count),
        };
    }

    fn plan(&self) -> MovePlan {
        let own_count = self.teams.waiting_count();
        let cells = self.fleet.cells.iter();
        let waiting = cells.filter(|state| state.free_slots <= state.waiting_count);
        let all_count = waiting.map(|state| state.waiting_count).sum::<u32>() + own_count;
        let mut plan = MovePlan {
            teams: BTreeSet::new(),
            virtual_times: BTreeMap::new(),
            own_waiting_ratio: f64::from(own_count) / f64::from(all_count.max(1)),
        };
        for (virtual_time, team) in self.teams.backlogged() {
            plan.insert(team, virtual_time);
        }
        plan
    }

    /// Moves waiting requests to cells with more free slots than waiting requests, up to this
    /// cell's share of the free slots.
    fn move_to_idle_cells(&mut self, plan: &mut MovePlan) {
        let own_state = self.cell_state(0);
        if own_state.free_slots > own_state.waiting_count {
            return;
        }
        let idle = self.fleet.cells.iter();
        let idle = idle.filter(|state| state.free_slots > state.waiting_count);
        let rooms = idle.map(|state| {
            let room = f64::from(state.free_slots - state.waiting_count) * plan.own_waiting_ratio;
            (state.cell.clone(), self.dithered_round(room, &state.cell))
        });
        for (cell, room) in rooms.collect::<Vec<_>>() {
            for _ in 0..room {
                let Some((_, team)) = plan.teams.pop_first() else { return };
                self.move_and_charge(team, &cell, plan);
            }
        }
    }

    /// Moves requests of teams whose virtual time is behind all teams of another cell by more than
    /// a margin.
    fn move_lagging_teams(&mut self, plan: &mut MovePlan) {
        let margin_cost = fair_queueing::MOVE_LAG_RATIO * self.fleet.largest_cost;
        if margin_cost <= 0.0 {
            return;
        }
        let busy = self.fleet.cells.iter();
        let busy =
            busy.filter(|state| state.waiting_count > 0 && state.free_slots <= state.waiting_count);
        let rooms = busy.map(|state| {
            let room = self
                .dithered_round(f64::from(state.free_slots) * plan.own_waiting_ratio, &state.cell);
            (state.cell.clone(), state.least_virtual_time, room)
        });
        let mut rooms = rooms.collect::<Vec<_>>();
        while let Some((virtual_time, team)) = plan.teams.pop_first() {
            let margin = margin_cost / self.teams.get(team).account.weight();
            // Prefers the cell whose least virtual time is greatest.
            let open = rooms.iter_mut().filter(|(_, _, room)| *room > 0);
            let best = open.max_by(|a, b| a.1.total_cmp(&b.1));
            let Some(best) = best.filter(|best| best.1 - virtual_time.0 > margin) else { return };
            best.2 -= 1;
            let cell = best.0.clone();
            self.move_and_charge(team, &cell, plan);
        }
    }

    /// Moves one request and charges it in the plan, together with the requests of the team that
    /// the other cells are expected to move.
    fn move_and_charge(&mut self, team: TeamIndex, to_cell: &Name, plan: &mut MovePlan) {
        let virtual_time = plan.virtual_time(team);
        if !self.move_one(team, to_cell) {
            return;
        }
        let state = self.teams.get(team);
        let own_count = f64::from(state.waiting_count + 1);
        let all_count = own_count + f64::from(state.other_cells.waiting_count);
        let cost = state.mean_cost.max(1.0) * all_count / own_count / state.account.weight();
        plan.insert(team, virtual_time + cost);
    }

    /// Rounds with a pseudo-random dither per summary and pair of cells, so that the mean over
    /// summaries equals `count`.
    fn dithered_round(&self, count: f64, to_cell: &Name) -> u32 {
        let mut hasher = DefaultHasher::new();
        (&self.cell, to_cell, self.fleet.seq).hash(&mut hasher);
        let dither = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
        (count + dither) as u32
    }

    /// Moves the team's request with the earliest deadline.
    fn move_one(&mut self, team: TeamIndex, to_cell: &Name) -> bool {
        let Some((_, key, flow)) = self.teams.get(team).waiting.first().copied() else {
            return false;
        };
        let session = self.sessions.get(&key);
        let Some(mut entry) = session.and_then(|session| session.demand.get(&flow)).cloned() else {
            return false;
        };
        entry.take_one();
        self.set_demand(key, flow, Some(entry));
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

/// The team's values that are included in sums over this cell's summary `seq`. Older ones are
/// dropped from `sent`.
fn included_summary(sent: &mut VecDeque<SentSummary>, seq: u64) -> Option<SentSummary> {
    while sent.len() > 1 && sent[1].seq <= seq {
        sent.pop_front();
    }
    sent.front().copied().filter(|own| own.seq <= seq)
}
