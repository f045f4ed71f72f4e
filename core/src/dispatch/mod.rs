//! The dispatcher of a cell: grants free slots to the team with the least virtual time.
//!
//! A dispatcher holds soft state only. A new dispatcher rebuilds it from the full report that each
//! router sends when its session starts.
//!
//! ```
//! use std::sync;
//!
//! use gentianhinge_core::{dispatch, ids, slots, table};
//!
//! let id = ids::RouterId::new("r1", 1);
//! let table = sync::Arc::new(table::Table::default());
//! let mut dispatcher = dispatch::Dispatcher::new(id.clone(), "assistant-0".into(), table);
//! dispatcher.set_targets(&[slots::TargetSpec {
//!     name: "t1".into(),
//!     zone: "a".into(),
//!     max_slots: 4,
//!     lookahead_slots: 1,
//! }]);
//! dispatcher.join(id);
//! assert_eq!(dispatcher.free_slots(), 4);
//! ```

mod fleet;
mod flows;
mod grant;
mod session;
mod teams;

use std::collections::{BTreeMap, BTreeSet};
use std::sync;

use tokio::time;

pub use self::fleet::SUMMARY_INTERVAL;
use self::flows::FlowState;
pub use self::flows::PRIOR_MAX_COST;
use self::session::{DemandEntry, Running, Session, SessionKey};
use self::teams::{TeamIndex, Teams};
use crate::ids::{GrantId, Name, RouterId};
use crate::message::{Account, Demand, GrantBatch, InFlight, Progress, Report};
use crate::slots;
pub use crate::slots::{TargetLoad, TargetSpec};
use crate::table;

/// Maximum number of routers whose delivered costs are kept after their session ended.
const MAX_DEPARTED_ROUTERS: usize = 1_024;

/// Grants the slots of one cell's targets.
#[derive(Debug)]
pub struct Dispatcher {
    id: RouterId,
    cell: Name,
    table: sync::Arc<table::Table>,
    now: time::Instant,
    targets: slots::Targets,
    teams: Teams,
    flows: flows::Flows,
    by_router: BTreeMap<RouterId, SessionKey>,
    sessions: BTreeMap<SessionKey, Session>,
    /// Costs delivered by routers without a session, as of the end of their last one.
    departed: BTreeMap<RouterId, BTreeMap<TeamIndex, f64>>,
    /// Sessions with grants or moves to send.
    dirty: BTreeSet<SessionKey>,
    pending_reports: Option<PendingReports>,
    /// Whether virtual times of an earlier dispatcher were received since the last grants.
    lift_due: bool,
    fleet: fleet::FleetState,
    next_session: u32,
    next_grant: u64,
    /// Number of the last batch. It increases across sessions, so that a late batch of an ended
    /// session can't cause those of the next one to be rejected as duplicates.
    batch_seq: u64,
    /// Lineage of the virtual times; `None` until one is sent or received.
    lineage: Option<u64>,
}

/// Routers of the previous dispatcher whose full reports a new dispatcher waits for.
#[derive(Debug)]
struct PendingReports {
    expected: BTreeSet<RouterId>,
    until: time::Instant,
}

impl Dispatcher {
    /// Creates a dispatcher without routers.
    pub fn new(id: RouterId, cell: Name, table: sync::Arc<table::Table>) -> Dispatcher {
        Dispatcher {
            id,
            cell,
            table,
            now: time::Instant::now(),
            targets: slots::Targets::default(),
            teams: Teams::default(),
            flows: flows::Flows::default(),
            by_router: BTreeMap::new(),
            sessions: BTreeMap::new(),
            departed: BTreeMap::new(),
            dirty: BTreeSet::new(),
            pending_reports: None,
            lift_due: false,
            fleet: fleet::FleetState::new(),
            next_session: 0,
            next_grant: 1,
            batch_seq: 0,
            lineage: None,
        }
    }

    /// Replaces the table and updates weights, prices, limits and target policy from it.
    pub fn set_table(&mut self, table: sync::Arc<table::Table>) {
        self.table = table;
        self.flows.set_table(&self.table);
        self.teams.set_table(&self.table, self.now);
        self.targets.set_policy(&self.table.targets);
    }

    /// Replaces the list of targets. Requests at removed targets keep running.
    pub fn set_targets(&mut self, specs: &[TargetSpec]) {
        self.targets.set(specs);
        self.targets.set_policy(&self.table.targets);
    }

    /// Applies a load report of a target. If it says that the target is leaving, the target gets no
    /// more grants in this incarnation.
    pub fn set_target_load(&mut self, target: &Name, load: TargetLoad, now: time::Instant) {
        self.now = now;
        self.targets.set_load(target, load, now);
    }

    /// Stops granting slots of a target for the rest of its incarnation, even if it is still
    /// listed.
    pub fn target_leaving(&mut self, target: &Name, incarnation: u64) {
        self.targets.leave(target, incarnation);
    }

    /// Stops granting slots of an unreachable target until a later load report arrives.
    pub fn target_failed(&mut self, target: &Name, now: time::Instant) {
        self.targets.fail(target, now);
    }

    /// Incarnation of a target by its last load report; 0 before the first.
    pub fn target_incarnation(&self, target: &Name) -> u64 {
        self.targets.incarnation(target)
    }

    /// Sets the number of live routers out of all listed ones.
    ///
    /// During a network partition, a group of n out of N routers uses n/N of each target's slots,
    /// and beyond that its share of the slots that load reports show to be free. So two groups
    /// together don't overload a target.
    pub fn set_router_counts(&mut self, live_count: u32, listed_count: u32) {
        let ratio = f64::from(live_count) / f64::from(listed_count.max(1));
        self.targets.set_live_ratio(ratio);
    }

    /// Delays grants of a new dispatcher until all of `expected` have sent a full report, at most
    /// until `until`.
    pub fn wait_for_reports(&mut self, expected: &[RouterId], until: time::Instant) {
        let reported = |router: &&RouterId| {
            let key = self.by_router.get(*router);
            key.and_then(|key| self.sessions.get(key)).is_some_and(|state| state.report_seq > 0)
        };
        let expected = expected.iter().filter(|router| !reported(router)).cloned().collect();
        self.pending_reports = Some(PendingReports { expected, until });
    }

    /// Removes a router from those that [`Dispatcher::wait_for_reports`] waits for.
    pub fn remove_expected(&mut self, router: &RouterId) {
        if let Some(pending_reports) = &mut self.pending_reports {
            pending_reports.expected.remove(router);
        }
    }

    /// Number of free slots, not counting look-ahead.
    pub fn free_slots(&self) -> u32 {
        self.targets.free_count()
    }

    /// Number of granted requests that haven't ended.
    pub fn busy_slots(&self) -> u32 {
        self.targets.busy_count()
    }

    /// Virtual time of a team; `None` if the cell has no state for it.
    pub fn virtual_time(&self, team: &str) -> Option<f64> {
        self.teams.find(team).map(|index| self.teams.get(index).account.virtual_time())
    }

    /// Starts a session of a router, ending an earlier one. Reports are ignored until the first
    /// full one.
    pub fn join(&mut self, router: RouterId) {
        self.leave(&router);
        let delivered = self.departed.remove(&router);
        self.departed.retain(|other, _| other.name != router.name);
        let key = SessionKey(self.next_session);
        self.next_session += 1;
        self.by_router.insert(router.clone(), key);
        self.sessions.insert(key, Session::new(router, delivered));
    }

    /// Ends a router's session and frees the slots of its requests.
    pub fn leave(&mut self, router: &RouterId) {
        let Some(key) = self.by_router.remove(router) else { return };
        self.clear_demand(key);
        self.clear_in_flight(key);
        self.dirty.remove(&key);
        let Some(session) = self.sessions.remove(&key) else { return };
        if session.report_seq == 0 && !session.had_session {
            return;
        }
        if self.departed.len() >= MAX_DEPARTED_ROUTERS {
            self.departed.pop_first();
        }
        self.departed.insert(session.router, session.delivered);
    }

    /// Applies a router's report. Ignored are reports of routers without a session, reports before
    /// the first full one, and reports out of order.
    pub fn report(&mut self, report: Report, now: time::Instant) {
        self.now = now;
        let Some(key) = self.by_router.get(&report.router).copied() else { return };
        let Some(session) = self.sessions.get_mut(&key) else { return };
        if report.seq <= session.report_seq || (session.report_seq == 0 && !report.full) {
            return;
        }
        session.report_seq = report.seq;
        session.ack(report.acked_seq);
        if report.full {
            self.start_session(key, &report);
        }
        for progress in &report.progress {
            self.apply_progress(key, progress);
        }
        for id in &report.failed {
            self.fail_target_of(key, *id);
        }
        for id in &report.finished {
            self.end_grant(key, *id, !report.failed.contains(id));
        }
        for id in &report.declined {
            self.end_grant(key, *id, false);
        }
        for demand in report.demand {
            self.apply_demand(key, demand);
        }
    }

    /// Time at which [`Dispatcher::poll`] is due even if no report arrives.
    pub fn next_wake(&self) -> Option<time::Instant> {
        let settled = self.pending_reports.as_ref().map(|pending_reports| pending_reports.until);
        settled.into_iter().chain(self.teams.next_wake()).min()
    }

    /// Grants all free slots and returns the batches to send.
    pub fn poll(&mut self, now: time::Instant) -> Vec<(RouterId, GrantBatch)> {
        self.now = now;
        if self.is_waiting_for_reports(now) {
            return Vec::new();
        }
        if std::mem::take(&mut self.lift_due) {
            self.teams.lift_unknown(now);
        }
        self.teams.refresh_rate_limited(now);
        self.teams.refresh_running_teams(now);
        while self.grant_one() {}
        self.take_batches()
    }

    fn is_waiting_for_reports(&mut self, now: time::Instant) -> bool {
        let Some(pending_reports) = &self.pending_reports else { return false };
        if now < pending_reports.until && !pending_reports.expected.is_empty() {
            return true;
        }
        self.pending_reports = None;
        false
    }

    /// Rebuilds the state of a router from its full report. Earlier service of the router is
    /// included in the reported virtual times, except for what it delivered between two sessions
    /// with this dispatcher.
    fn start_session(&mut self, key: SessionKey, report: &Report) {
        self.remove_expected(&report.router);
        self.clear_demand(key);
        self.clear_in_flight(key);
        let is_comparable = report.virtual_times.is_empty()
            || *self.lineage.get_or_insert(report.lineage) == report.lineage;
        // Virtual times of another lineage can't be compared. They occur after all routers of the
        // earlier lineage have lost their state.
        self.lift_due |= !is_comparable;
        for virtual_time in report.virtual_times.iter().filter(|_| is_comparable) {
            let team = self.teams.index(&virtual_time.team, &self.table, self.now);
            let state = self.teams.get_mut(team);
            self.lift_due |= virtual_time.cost > state.account.settled();
            state.inherited = true;
            state.account.raise_settled(virtual_time.cost);
            self.teams.refresh(team, self.now);
        }
        for account in &report.accounts {
            self.reconcile(key, account);
        }
        for request in &report.in_flight {
            self.adopt(key, request);
        }
    }

    fn reconcile(&mut self, key: SessionKey, account: &Account) {
        let team = self.teams.index(&account.team, &self.table, self.now);
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let known_cost = session.delivered.insert(team, account.delivered_cost);
        // If the router had a session before but no account of this team, all its cost is new.
        let known_cost = known_cost.or(session.had_session.then_some(0.0));
        let missed_cost = known_cost.map_or(0.0, |known| (account.delivered_cost - known).max(0.0));
        self.teams.get_mut(team).account.charge_missed(missed_cost);
        self.teams.refresh(team, self.now);
    }

    fn adopt(&mut self, key: SessionKey, request: &InFlight) {
        self.next_grant = self.next_grant.max(request.grant.0 + 1);
        let flow = self.flows.index(&request.flow, &mut self.teams, &self.table, self.now);
        self.start_running(key, request.grant, flow, request.target.clone(), request.cost);
        let session = self.sessions.get_mut(&key);
        if let Some(running) = session.and_then(|state| state.in_flight.get_mut(&request.grant)) {
            // The start time is unknown, and the remaining time alone would look like a short
            // request.
            running.granted_at_s = None;
        }
    }

    fn start_running(
        &mut self,
        key: SessionKey,
        id: GrantId,
        flow: flows::FlowIndex,
        target: Name,
        cost: f64,
    ) {
        let pending_cost = self.flows.pending_cost(flow, cost);
        let FlowState { team: team_index, price_ratio, .. } = *self.flows.get(flow);
        let reported_at_s = self.teams.rate.seconds(self.now);
        self.teams.running_count += 1;
        let team = self.teams.get_mut(team_index);
        team.running_count += 1;
        team.add_pending(pending_cost);
        team.unreported.add(price_ratio, reported_at_s);
        self.targets.take(&target);
        if let Some(session) = self.sessions.get_mut(&key) {
            let granted_at_s = Some(reported_at_s);
            let running = Running {
                flow,
                target,
                cost,
                pending_cost,
                price_ratio,
                granted_at_s,
                reported_at_s,
            };
            session.in_flight.insert(id, running);
        }
        self.teams.refresh(team_index, self.now);
    }

    fn apply_progress(&mut self, key: SessionKey, progress: &Progress) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let Some(running) = session.in_flight.get_mut(&progress.grant) else { return };
        let team_index = self.flows.get(running.flow).team;
        let now_s = self.teams.rate.seconds(self.now);
        let delivered = (progress.cost - running.cost).max(0.0);
        self.teams.rate.record(delivered, now_s - running.reported_at_s);
        running.cost = running.cost.max(progress.cost);
        let pending_cost = self.flows.pending_cost(running.flow, running.cost);
        let team = self.teams.get_mut(team_index);
        team.charge(delivered * running.price_ratio);
        team.add_pending(pending_cost - running.pending_cost);
        team.unreported.remove(running.price_ratio, running.reported_at_s);
        team.unreported.add(running.price_ratio, now_s);
        running.pending_cost = pending_cost;
        running.reported_at_s = now_s;
        *session.delivered.entry(team_index).or_default() += delivered * running.price_ratio;
        self.teams.refresh(team_index, self.now);
    }

    fn fail_target_of(&mut self, key: SessionKey, id: GrantId) {
        let session = self.sessions.get(&key);
        if let Some(running) = session.and_then(|session| session.in_flight.get(&id)) {
            self.targets.fail(&running.target, self.now);
        }
    }

    fn end_grant(&mut self, key: SessionKey, id: GrantId, was_run: bool) {
        let session = self.sessions.get_mut(&key);
        let Some(running) = session.and_then(|session| session.in_flight.remove(&id)) else {
            return;
        };
        if was_run {
            self.flows.record(running.flow, running.cost);
            let cost = running.cost * running.price_ratio;
            self.fleet.record(cost);
            let team = self.flows.get(running.flow).team;
            self.teams.get_mut(team).record(cost);
            if let Some(granted_at_s) = running.granted_at_s {
                let now_s = self.teams.rate.seconds(self.now);
                self.targets.record_duration(&running.target, now_s - granted_at_s);
            }
        }
        self.release(&running);
    }

    fn release(&mut self, running: &Running) {
        self.targets.release(&running.target);
        let index = self.flows.get(running.flow).team;
        self.teams.running_count = self.teams.running_count.saturating_sub(1);
        let team = self.teams.get_mut(index);
        team.add_pending(-running.pending_cost);
        team.unreported.remove(running.price_ratio, running.reported_at_s);
        team.end_running();
        self.teams.refresh(index, self.now);
    }

    fn clear_in_flight(&mut self, key: SessionKey) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        for running in std::mem::take(&mut session.in_flight).into_values() {
            self.release(&running);
        }
    }

    fn apply_demand(&mut self, key: SessionKey, demand: Demand) {
        let flow = self.flows.index(&demand.flow, &mut self.teams, &self.table, self.now);
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let entry = DemandEntry::new(demand, session.unacked_count(flow));
        self.set_demand(key, flow, entry);
    }

    /// Replaces a router's demand of one flow and updates the team's order of deadlines.
    fn set_demand(&mut self, key: SessionKey, flow: flows::FlowIndex, entry: Option<DemandEntry>) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let index = self.flows.get(flow).team;
        let team = self.teams.get_mut(index);
        if let Some(old) = session.demand.remove(&flow) {
            team.waiting.remove(&(old.oldest_deadline, key, flow));
            team.waiting_count -= old.waiting_count;
        }
        if let Some(entry) = entry.filter(|entry| entry.waiting_count > 0) {
            team.waiting.insert((entry.oldest_deadline, key, flow));
            team.waiting_count += entry.waiting_count;
            session.demand.insert(flow, entry);
        }
        self.teams.refresh(index, self.now);
    }

    fn clear_demand(&mut self, key: SessionKey) {
        let Some(session) = self.sessions.get(&key) else { return };
        for flow in session.demand.keys().copied().collect::<Vec<_>>() {
            self.set_demand(key, flow, None);
        }
    }
}
