//! The router side of dispatch: requests wait here until a grant arrives.
//!
//! ```
//! use std::sync;
//! use std::time::Duration;
//!
//! use gentianhinge_core::{ids, router, table};
//! use tokio::time;
//!
//! let class = table::Class {
//!     name: "now".into(),
//!     price_ratio: 1.0,
//!     max_wait: Duration::from_secs(10),
//! };
//! let mut table = table::Table::default();
//! table.classes.insert("now".into(), class);
//! let mut router = router::Router::new(ids::RouterId::new("r1", 1), sync::Arc::new(table));
//! let cell = ids::Name::from("assistant-0");
//! router.set_dispatcher(&cell, ids::RouterId::new("r2", 1));
//! let submit = router::Submit {
//!     id: ids::RequestId(1),
//!     cell: cell.clone(),
//!     flow: ids::Flow::new("lanes", "now"),
//!     size_bytes: 100,
//!     preferred_targets: Default::default(),
//! };
//! let now = time::Instant::now();
//! router.submit(submit, now)?;
//! let report = router.take_report(&cell, now).expect("the request is to be reported");
//! assert_eq!(report.demand[0].waiting_count, 1);
//! # Ok::<(), router::SubmitError>(())
//! ```

mod queue;

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync;
use std::time::Duration;

use quick_error::quick_error;
use tokio::time;

use self::queue::CellQueue;
use crate::code;
use crate::ids::{Flow, GrantId, Name, RequestId, RouterId};
use crate::message::{
    Account, Grant, GrantBatch, InFlight, Move, PreferredTargets, Progress, Report, TeamVirtualTime,
};
use crate::table;

/// Default time between reports of the costs of running requests.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(3);

quick_error! {
    /// Error of [`Router::submit`].
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SubmitError {
        /// The table has no such class.
        UnknownClass(class: Name) {
            display("no class {class}")
        }
        /// The team has reached its limit of waiting requests.
        WaitingLimit(limit_requests: u32) {
            display("{limit_requests} requests of the team are waiting")
        }
        /// The request would exceed the team's limit of waiting bytes.
        WaitingBytesLimit(limit_bytes: u64) {
            display("more than {limit_bytes} bytes of the team would wait")
        }
    }
}

impl SubmitError {
    /// Result code for the answer to the caller.
    pub fn code(&self) -> code::ResultCode {
        match self {
            SubmitError::UnknownClass(_) => code::ResultCode::UnknownClass,
            SubmitError::WaitingLimit(_) => code::ResultCode::WaitingLimit,
            SubmitError::WaitingBytesLimit(_) => code::ResultCode::WaitingBytesLimit,
        }
    }
}

/// A request to be queued.
#[derive(Clone, Debug)]
pub struct Submit {
    /// Id of the request, unique within the router's incarnation.
    pub id: RequestId,
    /// Name of a cell whose targets can run the request.
    pub cell: Name,
    /// Team and class.
    pub flow: Flow,
    /// Bytes that the request occupies while it waits.
    pub size_bytes: u64,
    /// Targets that have a prefix of the request in their cache, best first.
    pub preferred_targets: PreferredTargets,
}

/// A request that may start.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Id of the request.
    pub id: RequestId,
    /// Name of the target to send the request to.
    pub target: Name,
}

/// Waiting and running requests of one router, and the service delivered for them.
#[derive(Debug)]
pub struct Router {
    id: RouterId,
    table: sync::Arc<table::Table>,
    report_interval: Duration,
    /// The `now` argument of the last call that has one.
    now: time::Instant,
    cells: BTreeMap<Name, CellQueue>,
    waiting: BTreeMap<RequestId, Waiting>,
    deadlines: BTreeSet<(time::Instant, RequestId)>,
    running: BTreeMap<RequestId, Running>,
    teams: BTreeMap<Name, TeamState>,
}

#[derive(Debug)]
struct Waiting {
    submit: Submit,
    deadline: time::Instant,
    was_moved: bool,
}

#[derive(Debug)]
struct Running {
    grant: GrantId,
    cell: Name,
    flow: Flow,
    target: Name,
    /// Cost so far, not multiplied by the class's price.
    cost: f64,
}

#[derive(Debug, Default)]
struct TeamState {
    waiting_requests: u32,
    waiting_bytes: u64,
}

impl Router {
    /// Creates a router without requests.
    pub fn new(id: RouterId, table: sync::Arc<table::Table>) -> Router {
        Router {
            id,
            table,
            report_interval: REPORT_INTERVAL,
            now: time::Instant::now(),
            cells: BTreeMap::new(),
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            running: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }

    /// Replaces the table.
    pub fn set_table(&mut self, table: sync::Arc<table::Table>) {
        self.table = table;
    }

    /// Sets the time between reports of the costs of running requests; [`REPORT_INTERVAL`] by
    /// default.
    pub fn set_report_interval(&mut self, interval: Duration) {
        self.report_interval = interval;
    }

    /// Number of waiting and running requests.
    pub fn request_count(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Number of running requests.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Cells with waiting or running requests, and the dispatcher of each; `None` without a
    /// session.
    pub fn cells(&self) -> impl Iterator<Item = (&Name, Option<&RouterId>)> {
        let used = self.cells.iter();
        let used = used.filter(|(_, queue)| !queue.flows.is_empty() || !queue.running.is_empty());
        used.map(|(cell, queue)| (cell, queue.dispatcher.as_ref()))
    }

    /// Adds a request to the queue of its cell.
    ///
    /// # Errors
    ///
    /// Fails if the class is unknown or a limit of the team is reached. The request isn't queued
    /// then.
    pub fn submit(&mut self, submit: Submit, now: time::Instant) -> Result<(), SubmitError> {
        self.now = now;
        let flow = &submit.flow;
        let class = self.table.classes.get(&flow.class);
        let max_wait = class.ok_or(SubmitError::UnknownClass(flow.class.clone()))?.max_wait;
        let limits = self.table.teams.get(&flow.team).map(|row| row.limits.clone());
        let limits = limits.unwrap_or_default();
        let team = self.teams.entry(flow.team.clone()).or_default();
        if team.waiting_requests >= limits.max_waiting_requests {
            return Err(SubmitError::WaitingLimit(limits.max_waiting_requests));
        }
        if team.waiting_bytes.saturating_add(submit.size_bytes) > limits.max_waiting_bytes {
            return Err(SubmitError::WaitingBytesLimit(limits.max_waiting_bytes));
        }
        team.waiting_requests += 1;
        team.waiting_bytes += submit.size_bytes;
        self.insert_waiting(Waiting { submit, deadline: now + max_wait, was_moved: false }, now);
        Ok(())
    }

    /// Records the cost of a running request so far, not multiplied by the class's price.
    pub fn progress(&mut self, id: RequestId, cost: f64) {
        let Some(running) = self.running.get_mut(&id) else { return };
        let delta = (cost - running.cost).max(0.0);
        running.cost += delta;
        let price = self.table.price_ratio(&running.flow.class);
        if let Some(queue) = self.cells.get_mut(&running.cell) {
            *queue.delivered_cost.entry(running.flow.team.clone()).or_default() += delta * price;
        }
    }

    /// Ends a waiting or running request.
    pub fn finish(&mut self, id: RequestId) {
        if self.remove_waiting(id).is_some() {
            return;
        }
        let Some(running) = self.running.remove(&id) else { return };
        let Some(queue) = self.cells.get_mut(&running.cell) else { return };
        queue.running.remove(&id);
        queue.finished.push(running.grant);
        queue.ended.push(Progress { grant: running.grant, cost: running.cost });
    }

    /// Ends a running request whose target couldn't be connected to.
    pub fn fail(&mut self, id: RequestId) {
        if let Some(running) = self.running.get(&id)
            && let Some(queue) = self.cells.get_mut(&running.cell)
        {
            queue.failed.push(running.grant);
        }
        self.finish(id);
    }

    /// Removes and returns the waiting requests whose deadline has passed.
    pub fn expire(&mut self, now: time::Instant) -> Vec<RequestId> {
        self.now = now;
        let late = self.deadlines.iter().take_while(|(deadline, _)| *deadline <= now);
        let ids = late.map(|(_, id)| *id).collect::<Vec<_>>();
        for id in &ids {
            self.remove_waiting(*id);
        }
        ids
    }

    /// Time at which [`Router::expire`] or [`Router::take_report`] is due if nothing else happens.
    pub fn next_wake(&self) -> Option<time::Instant> {
        let expiry = self.deadlines.first().map(|(deadline, _)| *deadline);
        let sessions = self.cells.values().filter(|queue| queue.dispatcher.is_some());
        let reports = sessions.filter(|queue| !queue.running.is_empty());
        reports.map(|queue| queue.progress_due).chain(expiry).min()
    }

    /// Starts a session with the dispatcher of a cell. Grants of any other are ignored from now on.
    pub fn set_dispatcher(&mut self, cell: &Name, dispatcher: RouterId) {
        let due = self.first_progress_due(self.now);
        let queue = self.cells.entry(cell.clone()).or_insert_with(|| CellQueue::new(due));
        queue.start_session(dispatcher);
    }

    /// Ends the session with a cell's dispatcher. All grants are ignored until the next session.
    pub fn end_session(&mut self, cell: &Name) {
        if let Some(queue) = self.cells.get_mut(cell) {
            queue.dispatcher = None;
        }
    }

    /// Starts a request for each grant, and moves requests as instructed. Grants without a waiting
    /// request are declined with the next report.
    pub fn take_grants(&mut self, batch: &GrantBatch) -> Vec<Start> {
        let Some(queue) = self.cells.get_mut(&batch.cell) else { return Vec::new() };
        if queue.dispatcher.as_ref() != Some(&batch.dispatcher) || batch.seq <= queue.acked_seq {
            return Vec::new();
        }
        queue.acked_seq = batch.seq;
        if !batch.virtual_times.is_empty() && batch.lineage != queue.lineage {
            queue.lineage = batch.lineage;
            queue.virtual_times.clear();
        }
        for virtual_time in &batch.virtual_times {
            queue.virtual_times.insert(virtual_time.team.clone(), virtual_time.cost);
        }
        let starts = batch.grants.iter().filter_map(|grant| self.take_grant(&batch.cell, grant));
        let starts = starts.collect();
        for order in &batch.moves {
            self.move_waiting(&batch.cell, order);
        }
        starts
    }

    /// Returns the report that is due for a cell, if any.
    ///
    /// Demand and ended requests are due at once, costs of running requests once per report
    /// interval.
    pub fn take_report(&mut self, cell: &Name, now: time::Instant) -> Option<Report> {
        self.now = now;
        let queue = self.cells.get_mut(cell)?;
        queue.dispatcher.as_ref()?;
        let waiting = &self.waiting;
        let preferred = |id| {
            let request: Option<&Waiting> = waiting.get(&id);
            request.map(|request| request.submit.preferred_targets.clone()).unwrap_or_default()
        };
        let demand = queue.take_demand(now, preferred);
        let full = std::mem::take(&mut queue.full_due);
        let mut progress = std::mem::take(&mut queue.ended);
        let finished = std::mem::take(&mut queue.finished);
        let declined = std::mem::take(&mut queue.declined);
        let failed = std::mem::take(&mut queue.failed);
        if now >= queue.progress_due {
            progress.extend(self.take_progress(cell, now));
        }
        let is_empty = demand.is_empty() && progress.is_empty() && declined.is_empty();
        if is_empty && finished.is_empty() && !full {
            return None;
        }
        let queue = self.cells.get_mut(cell)?;
        queue.report_seq += 1;
        let mut report = Report {
            router: self.id.clone(),
            cell: cell.clone(),
            seq: queue.report_seq,
            acked_seq: queue.acked_seq,
            full,
            demand,
            progress,
            finished,
            declined,
            failed,
            in_flight: Vec::new(),
            accounts: Vec::new(),
            virtual_times: Vec::new(),
            lineage: 0,
        };
        if full {
            self.add_full_state(&mut report);
        }
        Some(report)
    }

    fn insert_waiting(&mut self, waiting: Waiting, now: time::Instant) {
        let (submit, deadline) = (&waiting.submit, waiting.deadline);
        let due = self.first_progress_due(now);
        let queue = self.cells.entry(submit.cell.clone()).or_insert_with(|| CellQueue::new(due));
        queue.insert(&submit.flow, deadline, submit.id);
        self.deadlines.insert((deadline, submit.id));
        self.waiting.insert(submit.id, waiting);
    }

    /// Time of the first cost report. Its phase is a hash of the router's id, so that routers that
    /// start together report at different times.
    fn first_progress_due(&self, now: time::Instant) -> time::Instant {
        let mut hasher = DefaultHasher::new();
        self.id.hash(&mut hasher);
        let part = (hasher.finish() >> 32) as f64 / (u64::from(u32::MAX) as f64);
        now + self.report_interval.mul_f64(part)
    }

    fn take_progress(&mut self, cell: &Name, now: time::Instant) -> Vec<Progress> {
        let Some(queue) = self.cells.get_mut(cell) else { return Vec::new() };
        queue.progress_due = now + self.report_interval;
        let mut progress = Vec::new();
        for id in &queue.running {
            let Some(running) = self.running.get(id) else { continue };
            // Sent even if unchanged: the dispatcher assumes that a request delivers at the mean
            // rate until its next report.
            progress.push(Progress { grant: running.grant, cost: running.cost });
        }
        progress
    }

    /// Adds the state that a dispatcher without state of this router needs.
    fn add_full_state(&self, report: &mut Report) {
        let Some(queue) = self.cells.get(&report.cell) else { return };
        let running = queue.running.iter().filter_map(|id| self.running.get(id));
        report.in_flight = running
            .map(|running| InFlight {
                grant: running.grant,
                flow: running.flow.clone(),
                target: running.target.clone(),
                cost: running.cost,
            })
            .collect();
        let accounts = queue.delivered_cost.iter();
        report.accounts = accounts
            .map(|(team, cost)| Account { team: team.clone(), delivered_cost: *cost })
            .collect();
        report.lineage = queue.lineage;
        let virtual_times = queue.virtual_times.iter();
        report.virtual_times = virtual_times
            .map(|(team, cost)| TeamVirtualTime { team: team.clone(), cost: *cost })
            .collect();
    }

    fn take_grant(&mut self, cell: &Name, grant: &Grant) -> Option<Start> {
        let queue = self.cells.get_mut(cell)?;
        let waiting = &self.waiting;
        let prefers = |id| {
            let request: Option<&Waiting> = waiting.get(&id);
            request.is_some_and(|request| request.submit.preferred_targets.contains(&grant.target))
        };
        let picked = queue.flows.get_mut(&grant.flow).and_then(|flow| flow.pick(prefers));
        let Some(id) = picked else {
            queue.declined.push(grant.id);
            return None;
        };
        queue.running.insert(id);
        let waiting = self.remove_waiting(id)?;
        let running = Running {
            grant: grant.id,
            cell: cell.clone(),
            flow: waiting.submit.flow,
            target: grant.target.clone(),
            cost: 0.0,
        };
        self.running.insert(id, running);
        Some(Start { id, target: grant.target.clone() })
    }

    /// Moves waiting requests to another cell. Each is moved at most once, so that two cells with
    /// outdated sums don't move it back and forth.
    fn move_waiting(&mut self, cell: &Name, order: &Move) {
        let Some(queue) = self.cells.get_mut(cell) else { return };
        queue.changed.insert(order.flow.clone());
        let Some(flow) = queue.flows.get_mut(&order.flow) else { return };
        flow.record_moved(order.request_count);
        let ids = flow.waiting.iter().map(|(_, id)| *id);
        let unmoved =
            ids.filter(|id| self.waiting.get(id).is_some_and(|waiting| !waiting.was_moved));
        let ids = unmoved.take(order.request_count as usize).collect::<Vec<_>>();
        for id in ids {
            let Some(mut waiting) = self.remove_waiting(id) else { continue };
            let team = self.teams.entry(order.flow.team.clone()).or_default();
            team.waiting_requests += 1;
            team.waiting_bytes += waiting.submit.size_bytes;
            waiting.submit.cell = order.to_cell.clone();
            waiting.was_moved = true;
            self.insert_waiting(waiting, self.now);
        }
    }

    fn remove_waiting(&mut self, id: RequestId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        let submit = &waiting.submit;
        self.deadlines.remove(&(waiting.deadline, id));
        if let Some(team) = self.teams.get_mut(&submit.flow.team) {
            team.waiting_requests = team.waiting_requests.saturating_sub(1);
            team.waiting_bytes = team.waiting_bytes.saturating_sub(submit.size_bytes);
        }
        if let Some(queue) = self.cells.get_mut(&submit.cell) {
            queue.remove(&submit.flow, waiting.deadline, id);
        }
        Some(waiting)
    }
}
