//! Teams of one cell, and the order in which they are served.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use tokio::time;

use super::fleet::SentSummary;
use super::flows::FlowIndex;
use super::session::SessionKey;
use crate::fair_queueing;
use crate::ids::Name;
use crate::limits;
use crate::table;

/// Index of a team in [`Teams`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TeamIndex(u32);

impl TeamIndex {
    pub(super) fn number(self) -> usize {
        self.0 as usize
    }
}

/// Key of a router's demand of one flow, ordered by earliest deadline.
pub(super) type WaitingKey = (time::Instant, SessionKey, FlowIndex);

#[derive(Debug)]
pub(super) struct Team {
    pub(super) name: Name,
    pub(super) account: fair_queueing::Account,
    pub(super) waiting: BTreeSet<WaitingKey>,
    pub(super) waiting_count: u32,
    pub(super) running_count: u32,
    pub(super) other_cells: RequestCounts,
    pub(super) virtual_time_sent_at: Option<time::Instant>,
    /// Whether a router has reported a virtual time of an earlier dispatcher.
    pub(super) inherited: bool,
    /// The team's values in this cell's last summaries, oldest first.
    pub(super) sent_summaries: VecDeque<SentSummary>,
    /// Moving average of cost times price of past requests.
    pub(super) mean_cost: f64,
    pub(super) unreported: Unreported,
    limits: limits::TeamLimits,
    backlogged: bool,
    /// When its last waiting request was granted or removed.
    idle_since: Option<time::Instant>,
    key: Option<fair_queueing::VirtualTime>,
    ready_at: Option<time::Instant>,
}

/// Numbers of a team's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RequestCounts {
    pub(super) waiting_count: u32,
    pub(super) running_count: u32,
}

/// Sums over a team's running requests, used to estimate the cost delivered since their last
/// reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Unreported {
    price_sum: f64,
    /// Sum of price times the time of the last report, in seconds of the [`Rate`]'s clock.
    price_time_sum_s: f64,
}

impl Unreported {
    /// Adds a request whose cost was last reported at `at_s`.
    pub(super) fn add(&mut self, price_ratio: f64, at_s: f64) {
        self.price_sum += price_ratio;
        self.price_time_sum_s += price_ratio * at_s;
    }

    /// Removes a request that was added with the same values.
    pub(super) fn remove(&mut self, price_ratio: f64, at_s: f64) {
        self.add(-price_ratio, at_s);
    }

    fn cost(&self, now_s: f64, rate_per_s: f64) -> f64 {
        (rate_per_s * (self.price_sum * now_s - self.price_time_sum_s)).max(0.0)
    }
}

impl Team {
    fn new(name: Name, weight: f64) -> Team {
        Team {
            name,
            account: fair_queueing::Account::new(weight),
            waiting: BTreeSet::new(),
            waiting_count: 0,
            running_count: 0,
            other_cells: RequestCounts::default(),
            virtual_time_sent_at: None,
            inherited: false,
            sent_summaries: VecDeque::new(),
            mean_cost: 0.0,
            unreported: Unreported::default(),
            limits: limits::TeamLimits::default(),
            backlogged: false,
            idle_since: None,
            key: None,
            ready_at: None,
        }
    }

    /// Charges delivered service.
    pub(super) fn charge(&mut self, cost: f64) {
        self.account.charge(cost);
        self.limits.charge(cost);
    }

    /// Adds to the expected remaining cost of running requests; `cost` may be negative.
    pub(super) fn add_pending(&mut self, cost: f64) {
        self.account.add_pending(cost);
        self.limits.charge(cost);
    }

    /// Records the cost of a request that has ended.
    pub(super) fn record(&mut self, cost: f64) {
        let step = if self.mean_cost == 0.0 { 1.0 } else { MEAN_COST_SMOOTHING_RATIO };
        self.mean_cost += (cost - self.mean_cost) * step;
    }

    /// Removes a request from the number in flight.
    pub(super) fn end_running(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
        if self.running_count == 0 {
            // Clears the rounding errors of the running sums.
            self.account.clear_pending();
            self.unreported = Unreported::default();
        }
    }
}

/// Moving average of the cost that one request delivers per second, over all requests of the cell.
#[derive(Debug, Default)]
pub(super) struct Rate {
    epoch: Option<time::Instant>,
    per_s: f64,
}

impl Rate {
    /// Seconds from the first call to `now`.
    pub(super) fn seconds(&mut self, now: time::Instant) -> f64 {
        let epoch = *self.epoch.get_or_insert(now);
        now.saturating_duration_since(epoch).as_secs_f64()
    }

    /// Records that a request has delivered `cost` in `passed_s`.
    pub(super) fn record(&mut self, cost: f64, passed_s: f64) {
        if passed_s < MIN_RATE_SAMPLE_S {
            return;
        }
        let step = if self.per_s == 0.0 { 1.0 } else { RATE_SMOOTHING_RATIO };
        self.per_s += (cost / passed_s - self.per_s) * step;
    }
}

/// Factor on the share of expected cost that is charged ahead, for several cells. Their sums are
/// older, so that the effect of a grant becomes visible later.
const FLEET_PENDING_FACTOR: f64 = 4.0;
/// Smoothing factor of a team's mean cost.
const MEAN_COST_SMOOTHING_RATIO: f64 = 0.02;
/// Minimum duration of a sample of the rate, in seconds.
const MIN_RATE_SAMPLE_S: f64 = 0.5;
/// Smoothing factor of the rate.
const RATE_SMOOTHING_RATIO: f64 = 0.02;
/// Time without waiting requests after which a team counts as paused.
///
/// Without it, a team that sends one request at a time would be lifted for each request and lose
/// the service that it is behind.
const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Time between updates of the order by the estimated service of running requests.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// All teams, and the backlogged ones ordered by virtual time.
#[derive(Debug, Default)]
pub(super) struct Teams {
    by_name: BTreeMap<Name, TeamIndex>,
    list: Vec<Team>,
    order: BTreeSet<(fair_queueing::VirtualTime, TeamIndex)>,
    rate_limited: BTreeSet<(time::Instant, TeamIndex)>,
    /// Greatest settled virtual time of a team at its grant. A returning team is lifted to it.
    ///
    /// Cost charged ahead is excluded. A new dispatcher estimates it from the prior only, and a
    /// returning team would be delayed while that estimate is too high.
    floor: f64,
    pub(super) rate: Rate,
    /// Requests in flight in the other cells.
    others_running_count: u32,
    /// Number of teams with waiting requests in any cell.
    fleet_team_count: usize,
    /// When the values of the other cells were received, in seconds of the rate's clock.
    fleet_at_s: f64,
    /// Requests in flight in this cell, of all teams.
    pub(super) running_count: u32,
    refreshed_at: Option<time::Instant>,
}

impl Teams {
    pub(super) fn find(&self, name: &str) -> Option<TeamIndex> {
        self.by_name.get(name).copied()
    }

    pub(super) fn index(
        &mut self,
        name: &Name,
        table: &table::Table,
        now: time::Instant,
    ) -> TeamIndex {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = TeamIndex(u32::try_from(self.list.len()).unwrap_or(u32::MAX));
        let mut team = Team::new(name.clone(), table.weight(name));
        team.limits.set(table.teams.get(name).map(|row| &row.limits), now);
        self.list.push(team);
        self.by_name.insert(name.clone(), index);
        index
    }

    pub(super) fn get(&self, index: TeamIndex) -> &Team {
        &self.list[index.number()]
    }

    pub(super) fn get_mut(&mut self, index: TeamIndex) -> &mut Team {
        &mut self.list[index.number()]
    }

    pub(super) fn indexes(&self) -> impl Iterator<Item = TeamIndex> + use<> {
        (0..u32::try_from(self.list.len()).unwrap_or(u32::MAX)).map(TeamIndex)
    }

    pub(super) fn set_table(&mut self, table: &table::Table, now: time::Instant) {
        for team in &mut self.list {
            team.account.set_weight(table.weight(&team.name));
            team.limits.set(table.teams.get(&team.name).map(|row| &row.limits), now);
        }
        self.refresh_all(now);
    }

    pub(super) fn refresh_all(&mut self, now: time::Instant) {
        for index in self.indexes() {
            self.refresh(index, now);
        }
    }

    /// Updates the position of a team in the order after any change.
    ///
    /// A team at one of its limits doesn't count as backlogged. Its limits are the reason why it
    /// falls behind, so it is lifted later like a team that returns from a pause.
    pub(super) fn refresh(&mut self, index: TeamIndex, now: time::Instant) {
        let now_s = self.rate.seconds(now);
        let rate_per_s = self.rate.per_s;
        let running_count = self.running_count + self.others_running_count;
        let team_count = self.order.len().max(self.fleet_team_count);
        let mut pending_ratio = fair_queueing::pending_ratio(running_count, team_count);
        if self.others_running_count > 0 {
            pending_ratio =
                (pending_ratio * FLEET_PENDING_FACTOR).min(fair_queueing::MAX_PENDING_RATIO);
        }
        let team = &mut self.list[index.number()];
        let others =
            f64::from(team.other_cells.running_count) * rate_per_s * (now_s - self.fleet_at_s);
        team.account.set_unreported(team.unreported.cost(now_s, rate_per_s), others);
        team.account.set_pending_ratio(pending_ratio);
        if let Some(key) = team.key.take() {
            self.order.remove(&(key, index));
        }
        if let Some(at) = team.ready_at.take() {
            self.rate_limited.remove(&(at, index));
        }
        let concurrent = team.running_count + team.other_cells.running_count;
        if team.waiting.is_empty() && team.backlogged {
            team.idle_since = Some(now);
        }
        if team.waiting.is_empty() || !team.limits.allow_concurrent(concurrent) {
            team.backlogged = false;
            return;
        }
        if let Some(at) = team.limits.ready_at(now) {
            team.backlogged = false;
            team.ready_at = Some(at);
            self.rate_limited.insert((at, index));
            return;
        }
        let paused = team.idle_since.is_none_or(|since| now >= since + MIN_PAUSE);
        if !team.backlogged && paused && team.other_cells.waiting_count == 0 {
            team.account.lift_to(self.floor);
        }
        team.backlogged = true;
        let key = fair_queueing::VirtualTime(team.account.virtual_time());
        team.key = Some(key);
        self.order.insert((key, index));
    }

    /// Updates the teams whose rate limit allows a request by now.
    pub(super) fn refresh_rate_limited(&mut self, now: time::Instant) {
        while let Some((at, index)) = self.rate_limited.first().copied() {
            if at > now {
                return;
            }
            self.refresh(index, now);
            if self.get(index).ready_at.is_some_and(|at| at <= now) {
                return;
            }
        }
    }

    /// Updates the order by the estimated cost that running requests have delivered since their
    /// last reports.
    pub(super) fn refresh_running_teams(&mut self, now: time::Instant) {
        if self.refreshed_at.is_some_and(|at| now < at + REFRESH_INTERVAL) {
            return;
        }
        self.refreshed_at = Some(now);
        let running = self.order.iter().map(|(_, index)| *index);
        let running = running.filter(|index| self.get(*index).running_count > 0);
        for index in running.collect::<Vec<_>>() {
            self.refresh(index, now);
        }
    }

    pub(super) fn next_wake(&self) -> Option<time::Instant> {
        self.rate_limited.first().map(|(at, _)| *at)
    }

    /// The backlogged team with the least virtual time.
    pub(super) fn first(&self) -> Option<(f64, TeamIndex)> {
        self.order.first().map(|(key, index)| (key.0, *index))
    }

    /// Backlogged teams, least virtual time first.
    pub(super) fn backlogged(&self) -> impl Iterator<Item = (f64, TeamIndex)> + '_ {
        self.order.iter().map(|(key, index)| (key.0, *index))
    }

    /// Recomputes the totals over the values of the other cells.
    pub(super) fn sum_others(&mut self, now: time::Instant) {
        self.fleet_at_s = self.rate.seconds(now);
        let running = self.list.iter().map(|team| team.other_cells.running_count);
        self.others_running_count = running.sum();
        let waits = |team: &&Team| team.waiting_count + team.other_cells.waiting_count > 0;
        self.fleet_team_count = self.list.iter().filter(waits).count();
    }

    /// Number of waiting requests of all teams.
    pub(super) fn waiting_count(&self) -> u32 {
        self.list.iter().map(|team| team.waiting_count).sum()
    }

    /// Lifts backlogged teams that weren't in service when this dispatcher took over to the least
    /// settled virtual time of those that were.
    ///
    /// A team without a reported virtual time starts at 0, and a team that returned from a pause
    /// during the takeover has its virtual time from before the pause. Without the lift, the other
    /// teams would wait until these have caught up. A team counts as in service if it has requests
    /// in flight. A team that was waiting without any loses what it was behind, which the fairness
    /// gap bounds.
    pub(super) fn lift_unknown(&mut self, now: time::Instant) {
        let is_in_service = |team: &Team| team.running_count > 0;
        let any_in_service =
            self.list.iter().any(|team| team.inherited && team.backlogged && is_in_service(team));
        let is_known = |team: &Team| team.inherited && (is_in_service(team) || !any_in_service);
        let known = self.list.iter().filter(|team| team.backlogged && is_known(team));
        let least = known.map(|team| team.account.settled()).fold(f64::INFINITY, f64::min);
        if !least.is_finite() {
            return;
        }
        self.raise_floor(least);
        for index in self.indexes() {
            let team = &mut self.list[index.number()];
            team.idle_since = None;
            if team.backlogged && !is_known(team) {
                team.account.lift_to(least);
                self.refresh(index, now);
            }
        }
    }

    /// Raises the floor to the settled virtual time of a team that gets a grant.
    pub(super) fn raise_floor(&mut self, settled: f64) {
        self.floor = self.floor.max(settled);
    }
}
