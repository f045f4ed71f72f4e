//! The dispatcher of a cell: grants free slots to the team with the least virtual time.
//!
//! A dispatcher holds soft state only. It is rebuilt from the full report that each router sends
//! when its session starts.
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
use self::session::{Line, Running, Session, SessionKey};
use self::teams::{TeamIndex, Teams};
use crate::ids::{GrantId, Name, RouterId};
use crate::message::{Account, Demand, GrantBatch, InFlight, Progress, Report};
use crate::slots;
pub use crate::slots::{TargetLoad, TargetSpec};
use crate::table;

/// Most routers whose deliveries are remembered after their session ended.
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
    departed: BTreeMap<RouterId, BTreeMap<TeamIndex, f64>>,
    /// Sessions with something to send.
    dirty: BTreeSet<SessionKey>,
    settling: Option<Settling>,
    /// Whether virtual times of an earlier dispatcher have come since the last grants.
    lift_due: bool,
    fleet: fleet::FleetState,
    next_session: u32,
    next_grant: u64,
    /// Number of the last batch. It goes on from session to session, so that a late batch of an
    /// ended session can't hide those of the next one.
    batch_seq: u64,
    /// Count of service that virtual times belong to; none before the first is told or heard.
    lineage: Option<u64>,
}

/// A new dispatcher's wait for the routers that the one before it served.
#[derive(Debug)]
struct Settling {
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
            settling: None,
            lift_due: false,
            fleet: fleet::FleetState::new(),
            next_session: 0,
            next_grant: 1,
            batch_seq: 0,
            lineage: None,
        }
    }

    /// Takes a new table.
    pub fn set_table(&mut self, table: sync::Arc<table::Table>) {
        self.table = table;
        self.flows.set_table(&self.table);
        self.teams.set_table(&self.table, self.now);
        self.targets.set_policy(&self.table.targets);
    }

    /// Replaces the list of targets; work at removed ones is left to end.
    pub fn set_targets(&mut self, specs: &[TargetSpec]) {
        self.targets.set(specs);
        self.targets.set_policy(&self.table.targets);
    }

    /// Takes the load that a target reports; one that says that the target leaves is final for the
    /// target's incarnation.
    pub fn set_target_load(&mut self, target: &Name, load: TargetLoad, now: time::Instant) {
        self.now = now;
        self.targets.set_load(target, load, now);
    }

    /// Takes a target out of use for the rest of its incarnation, whatever lists say.
    pub fn target_leaving(&mut self, target: &Name, incarnation: u64) {
        self.targets.leave(target, incarnation);
    }

    /// Takes a target that can't be reached out of use until a later load report.
    pub fn target_failed(&mut self, target: &Name, now: time::Instant) {
        self.targets.fail(target, now);
    }

    /// Incarnation of a target by its last load report; 0 before the first.
    pub fn target_incarnation(&self, target: &Name) -> u64 {
        self.targets.incarnation(target)
    }

    /// Sets how many of the listed routers this one sees.
    ///
    /// A group that sees n of N uses n/N of each target's slots, and beyond that what load reports
    /// show to be free, so that two groups together don't overload a target.
    pub fn set_router_counts(&mut self, live_count: u32, listed_count: u32) {
        let ratio = f64::from(live_count) / f64::from(listed_count.max(1));
        self.targets.set_live_ratio(ratio);
    }

    /// Makes a new dispatcher wait with grants until all of `expected` have reported in full or
    /// `until` has come.
    pub fn wait_for_reports(&mut self, expected: &[RouterId], until: time::Instant) {
        let reported = |router: &&RouterId| {
            let key = self.by_router.get(*router);
            key.and_then(|key| self.sessions.get(key)).is_some_and(|state| state.report_seq > 0)
        };
        let expected = expected.iter().filter(|router| !reported(router)).cloned().collect();
        self.settling = Some(Settling { expected, until });
    }

    /// Drops a router from those that a new dispatcher waits for.
    pub fn remove_expected(&mut self, router: &RouterId) {
        if let Some(settling) = &mut self.settling {
            settling.expected.remove(router);
        }
    }

    /// Slots without a request.
    pub fn free_slots(&self) -> u32 {
        self.targets.free_count()
    }

    /// Requests in progress and granted.
    pub fn busy_slots(&self) -> u32 {
        self.targets.busy_count()
    }

    /// Virtual time of a team, if the cell has seen it.
    pub fn virtual_time(&self, team: &str) -> Option<f64> {
        self.teams.find(team).map(|index| self.teams.get(index).account.virtual_time())
    }

    /// Starts a router's session; the router's first report must be full.
    pub fn join(&mut self, router: RouterId) {
        self.leave(&router);
        let delivered = self.departed.remove(&router);
        self.departed.retain(|other, _| other.name != router.name);
        let key = SessionKey(self.next_session);
        self.next_session += 1;
        self.by_router.insert(router.clone(), key);
        self.sessions.insert(key, Session::new(router, delivered));
    }

    /// Ends a router's session and takes its slots back.
    pub fn leave(&mut self, router: &RouterId) {
        let Some(key) = self.by_router.remove(router) else { return };
        self.clear_demand(key);
        self.clear_in_flight(key);
        self.dirty.remove(&key);
        let Some(session) = self.sessions.remove(&key) else { return };
        if session.report_seq == 0 && !session.was_known {
            return;
        }
        if self.departed.len() >= MAX_DEPARTED_ROUTERS {
            self.departed.pop_first();
        }
        self.departed.insert(session.router, session.delivered);
    }

    /// Takes a router's report; one from a router that hasn't joined is ignored, and so is one
    /// before the first full report or out of order.
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
        for line in &report.progress {
            self.take_progress(key, line);
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
            self.take_demand(key, demand);
        }
    }

    /// When [`Dispatcher::poll`] has something to do though no report arrives.
    pub fn next_wake(&self) -> Option<time::Instant> {
        let settled = self.settling.as_ref().map(|settling| settling.until);
        settled.into_iter().chain(self.teams.next_wake()).min()
    }

    /// Grants all free slots and returns the batches to send.
    pub fn poll(&mut self, now: time::Instant) -> Vec<(RouterId, GrantBatch)> {
        self.now = now;
        if self.is_settling(now) {
            return Vec::new();
        }
        if std::mem::take(&mut self.lift_due) {
            self.teams.lift_unknown(now);
        }
        self.teams.wake(now);
        self.teams.refresh_running(now);
        while self.grant_one() {}
        self.take_batches()
    }

    fn is_settling(&mut self, now: time::Instant) -> bool {
        let Some(settling) = &self.settling else { return false };
        if now < settling.until && !settling.expected.is_empty() {
            return true;
        }
        self.settling = None;
        false
    }

    /// Takes over what the router's requests hold. What they delivered before is part of the
    /// virtual times, unless this dispatcher has seen the router before.
    fn start_session(&mut self, key: SessionKey, report: &Report) {
        self.remove_expected(&report.router);
        self.clear_demand(key);
        self.clear_in_flight(key);
        let is_comparable = report.virtual_times.is_empty()
            || *self.lineage.get_or_insert(report.lineage) == report.lineage;
        // The numbers of another count, of routers that had all lost their memory, tell nothing
        // here.
        self.lift_due |= !is_comparable;
        for line in report.virtual_times.iter().filter(|_| is_comparable) {
            let team = self.teams.index(&line.team, &self.table, self.now);
            let state = self.teams.get_mut(team);
            self.lift_due |= line.cost > state.account.settled();
            state.inherited = true;
            state.account.raise_settled(line.cost);
            self.teams.refresh(team, self.now);
        }
        for line in &report.accounts {
            self.reconcile(key, line);
        }
        for line in &report.in_flight {
            self.adopt(key, line);
        }
    }

    fn reconcile(&mut self, key: SessionKey, line: &Account) {
        let team = self.teams.index(&line.team, &self.table, self.now);
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let known_cost = session.delivered.insert(team, line.delivered_cost);
        // A team that a known router hadn't served by its last session counts from nothing.
        let known_cost = known_cost.or(session.was_known.then_some(0.0));
        let missed_cost = known_cost.map_or(0.0, |known| (line.delivered_cost - known).max(0.0));
        self.teams.get_mut(team).account.charge_missed(missed_cost);
        self.teams.refresh(team, self.now);
    }

    fn adopt(&mut self, key: SessionKey, line: &InFlight) {
        self.next_grant = self.next_grant.max(line.grant.0 + 1);
        let flow = self.flows.index(&line.flow, &mut self.teams, &self.table, self.now);
        self.start_running(key, line.grant, flow, line.target.clone(), line.cost);
        let session = self.sessions.get_mut(&key);
        if let Some(running) = session.and_then(|state| state.in_flight.get_mut(&line.grant)) {
            // When it began isn't known, and the rest of its time would look like a short request.
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

    fn take_progress(&mut self, key: SessionKey, line: &Progress) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let Some(running) = session.in_flight.get_mut(&line.grant) else { return };
        let team_index = self.flows.get(running.flow).team;
        let now_s = self.teams.rate.seconds(self.now);
        let delivered = (line.cost - running.cost).max(0.0);
        self.teams.rate.record(delivered, now_s - running.reported_at_s);
        running.cost = running.cost.max(line.cost);
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

    fn take_demand(&mut self, key: SessionKey, demand: Demand) {
        let flow = self.flows.index(&demand.flow, &mut self.teams, &self.table, self.now);
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let line = Line::new(demand, session.unacked_count(flow));
        self.set_line(key, flow, line);
    }

    /// Replaces a router's line of one flow, and the team's order of deadlines with it.
    fn set_line(&mut self, key: SessionKey, flow: flows::FlowIndex, line: Option<Line>) {
        let Some(session) = self.sessions.get_mut(&key) else { return };
        let index = self.flows.get(flow).team;
        let team = self.teams.get_mut(index);
        if let Some(old) = session.lines.remove(&flow) {
            team.waiting.remove(&(old.oldest_deadline, key, flow));
            team.waiting_count -= old.waiting_count;
        }
        if let Some(line) = line.filter(|line| line.waiting_count > 0) {
            team.waiting.insert((line.oldest_deadline, key, flow));
            team.waiting_count += line.waiting_count;
            session.lines.insert(flow, line);
        }
        self.teams.refresh(index, self.now);
    }

    fn clear_demand(&mut self, key: SessionKey) {
        let Some(session) = self.sessions.get(&key) else { return };
        for flow in session.lines.keys().copied().collect::<Vec<_>>() {
            self.set_line(key, flow, None);
        }
    }
}
