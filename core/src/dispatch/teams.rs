//! Teams of one cell, ordered by virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use tokio::time;

use super::fleet::Told;
use super::flows::FlowIndex;
use super::session::SessionKey;
use crate::fair_queueing;
use crate::ids::Name;
use crate::limits;
use crate::table;

/// Place of a team in [`Teams`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct TeamIndex(u32);

impl TeamIndex {
    pub(super) fn number(self) -> usize {
        self.0 as usize
    }
}

/// A demand line of a team: earliest deadline first.
pub(super) type WaitingKey = (time::Instant, SessionKey, FlowIndex);

#[derive(Debug)]
pub(super) struct Team {
    pub(super) name: Name,
    pub(super) account: fair_queueing::Account,
    pub(super) waiting: BTreeSet<WaitingKey>,
    pub(super) waiting_count: u32,
    pub(super) running_count: u32,
    pub(super) others: Others,
    pub(super) told_at: Option<time::Instant>,
    /// Whether a router has told a virtual time of an earlier dispatcher.
    pub(super) inherited: bool,
    /// Numbers in this cell's last summaries.
    pub(super) told: VecDeque<Told>,
    /// Mean cost times price of past requests.
    pub(super) mean_cost: f64,
    pub(super) unreported: Unreported,
    limits: limits::TeamLimits,
    backlogged: bool,
    /// When its last waiting request was granted or went.
    idle_since: Option<time::Instant>,
    key: Option<fair_queueing::VirtualTime>,
    ready_at: Option<time::Instant>,
}

/// What the other cells have waiting and running of a team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Others {
    pub(super) waiting_count: u32,
    pub(super) running_count: u32,
}

/// Sums over a team's running requests that tell what they deliver between reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Unreported {
    price_sum: f64,
    /// Sum of price times the time of the last report, in seconds since the epoch.
    price_time_sum_s: f64,
}

impl Unreported {
    /// Adds a request whose cost is known at a time.
    pub(super) fn add(&mut self, price_ratio: f64, at_s: f64) {
        self.price_sum += price_ratio;
        self.price_time_sum_s += price_ratio * at_s;
    }

    /// Takes a request out that was added with the same numbers.
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
            others: Others::default(),
            told_at: None,
            inherited: false,
            told: VecDeque::new(),
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

    /// Changes the expected remaining cost of what runs.
    pub(super) fn add_pending(&mut self, cost: f64) {
        self.account.add_pending(cost);
        self.limits.charge(cost);
    }

    /// Learns from a request that has ended.
    pub(super) fn record(&mut self, cost: f64) {
        let step = if self.mean_cost == 0.0 { 1.0 } else { MEAN_COST_STEP };
        self.mean_cost += (cost - self.mean_cost) * step;
    }

    /// Ends the count of a request in flight.
    pub(super) fn end_running(&mut self) {
        self.running_count = self.running_count.saturating_sub(1);
        if self.running_count == 0 {
            // Sums of small differences leave a remainder.
            self.account.clear_pending();
            self.unreported = Unreported::default();
        }
    }
}

/// Cost that one request delivers a second, learned over all requests of the cell.
#[derive(Debug, Default)]
pub(super) struct Rate {
    epoch: Option<time::Instant>,
    per_s: f64,
}

impl Rate {
    /// Seconds since the first time asked for.
    pub(super) fn seconds(&mut self, now: time::Instant) -> f64 {
        let epoch = *self.epoch.get_or_insert(now);
        now.saturating_duration_since(epoch).as_secs_f64()
    }

    /// Learns from a request that has delivered `cost` in `passed_s`.
    pub(super) fn record(&mut self, cost: f64, passed_s: f64) {
        if passed_s < MIN_RATE_TIME_S {
            return;
        }
        let step = if self.per_s == 0.0 { 1.0 } else { RATE_STEP };
        self.per_s += (cost / passed_s - self.per_s) * step;
    }
}

/// With several cells the share charged ahead is so much greater: what cells order by old sums takes
/// longer to show.
const FLEET_PENDING_FACTOR: f64 = 4.0;
/// Part by which a request's cost changes its team's mean.
const MEAN_COST_STEP: f64 = 0.02;
/// Shortest time that tells a rate, in seconds.
const MIN_RATE_TIME_S: f64 = 0.5;
/// Part by which a new sample changes the learned rate.
const RATE_STEP: f64 = 0.02;
/// A team without waiting work for less than this hasn't paused: its next request is on its way.
///
/// A team that sends one request at a time would else be lifted for each, and lose what it is
/// behind.
const BRIEF_PAUSE: Duration = Duration::from_millis(200);
/// Time between refreshes of the order for what running requests deliver meanwhile.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// All teams, and the order in which those with work are served.
#[derive(Debug, Default)]
pub(super) struct Teams {
    by_name: BTreeMap<Name, TeamIndex>,
    list: Vec<Team>,
    order: BTreeSet<(fair_queueing::VirtualTime, TeamIndex)>,
    limited: BTreeSet<(time::Instant, TeamIndex)>,
    /// Settled virtual time of the team of the last grant; it never falls.
    ///
    /// What is charged ahead is left out: estimates of requests in flight, of which a new dispatcher
    /// has only the prior, would else hold a returning team back for as long as they are too high.
    floor: f64,
    pub(super) rate: Rate,
    /// Requests in flight in the other cells.
    others_running_count: u32,
    /// Teams with waiting work in any cell.
    fleet_team_count: usize,
    /// When the other cells' numbers came, in seconds of the rate's clock.
    fleet_at_s: f64,
    /// Requests of all teams in flight.
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

    /// Puts a team into its place after any change.
    ///
    /// A team that its limits hold back isn't backlogged: it falls behind by its own doing, and is
    /// lifted like one that returns.
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
        let others = f64::from(team.others.running_count) * rate_per_s * (now_s - self.fleet_at_s);
        team.account.set_unreported(team.unreported.cost(now_s, rate_per_s), others);
        team.account.set_pending_ratio(pending_ratio);
        if let Some(key) = team.key.take() {
            self.order.remove(&(key, index));
        }
        if let Some(at) = team.ready_at.take() {
            self.limited.remove(&(at, index));
        }
        let concurrent = team.running_count + team.others.running_count;
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
            self.limited.insert((at, index));
            return;
        }
        let paused = team.idle_since.is_none_or(|since| now >= since + BRIEF_PAUSE);
        if !team.backlogged && paused && team.others.waiting_count == 0 {
            team.account.lift_to(self.floor);
        }
        team.backlogged = true;
        let key = fair_queueing::VirtualTime(team.account.virtual_time());
        team.key = Some(key);
        self.order.insert((key, index));
    }

    /// Looks again at the teams whose rate allows work by now.
    pub(super) fn wake(&mut self, now: time::Instant) {
        while let Some((at, index)) = self.limited.first().copied() {
            if at > now {
                return;
            }
            self.refresh(index, now);
            if self.get(index).ready_at.is_some_and(|at| at <= now) {
                return;
            }
        }
    }

    /// Brings the order up to date with what running requests have delivered since their reports.
    pub(super) fn refresh_running(&mut self, now: time::Instant) {
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
        self.limited.first().map(|(at, _)| *at)
    }

    /// The backlogged team with the least virtual time.
    pub(super) fn first(&self) -> Option<(f64, TeamIndex)> {
        self.order.first().map(|(key, index)| (key.0, *index))
    }

    /// Backlogged teams, least virtual time first.
    pub(super) fn backlogged(&self) -> impl Iterator<Item = (f64, TeamIndex)> + '_ {
        self.order.iter().map(|(key, index)| (key.0, *index))
    }

    /// Adds up what the other cells have told of each team.
    pub(super) fn sum_others(&mut self, now: time::Instant) {
        self.fleet_at_s = self.rate.seconds(now);
        let running = self.list.iter().map(|team| team.others.running_count);
        self.others_running_count = running.sum();
        let waits = |team: &&Team| team.waiting_count + team.others.waiting_count > 0;
        self.fleet_team_count = self.list.iter().filter(waits).count();
    }

    /// Waiting requests of all teams.
    pub(super) fn waiting_count(&self) -> u32 {
        self.list.iter().map(|team| team.waiting_count).sum()
    }

    /// Lifts backlogged teams that weren't in service when this dispatcher took over to the least
    /// settled virtual time of those that were.
    ///
    /// The time of a team of which none is known begins at 0; that of a team that returned from a
    /// pause during the take-over stands where the pause began. The others would wait for all that
    /// these missed. What tells a team in service is that it has requests in flight. One that waited
    /// without any loses what it was behind, at most the bound of the gap.
    pub(super) fn lift_unknown(&mut self, now: time::Instant) {
        let serves = |team: &Team| team.running_count > 0;
        let some_run =
            self.list.iter().any(|team| team.inherited && team.backlogged && serves(team));
        let is_known = |team: &Team| team.inherited && (serves(team) || !some_run);
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

    /// Notes the settled virtual time of a team that gets a grant.
    pub(super) fn raise_floor(&mut self, settled: f64) {
        self.floor = self.floor.max(settled);
    }
}
