//! The router's side of dispatch: requests wait here until a grant arrives.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;

use quick_error::quick_error;
use tokio::time;

use crate::code;
use crate::ids::{Flow, GrantId, Name, RequestId, RouterId};
use crate::message::{
    Account, Demand, Grant, GrantBatch, InFlight, MAX_WAITING_COUNT, PreferredTargets, Progress,
    Report, TeamVirtualTime,
};
use crate::table;

quick_error! {
    /// Why a request can't wait at this router.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum SubmitError {
        /// The table has no such class.
        UnknownClass(class: Name) {
            display("no class {class}")
        }
        /// The team has its most requests waiting.
        WaitingLimit(limit_requests: u32) {
            display("{limit_requests} requests of the team are waiting")
        }
        /// The team has its most bytes waiting.
        WaitingBytesLimit(limit_bytes: u64) {
            display("more than {limit_bytes} bytes of the team would wait")
        }
    }
}

impl SubmitError {
    /// Code for the caller's answer.
    pub fn code(&self) -> code::ResultCode {
        match self {
            SubmitError::UnknownClass(_) => code::ResultCode::UnknownClass,
            SubmitError::WaitingLimit(_) => code::ResultCode::WaitingLimit,
            SubmitError::WaitingBytesLimit(_) => code::ResultCode::WaitingBytesLimit,
        }
    }
}

/// A request that asks for a slot.
#[derive(Clone, Debug)]
pub struct Submit {
    /// Identifies the request.
    pub id: RequestId,
    /// Cell whose targets can run it.
    pub cell: Name,
    /// Team and class.
    pub flow: Flow,
    /// Bytes that the request holds while it waits.
    pub size_bytes: u64,
    /// Targets that hold a prefix of the request.
    pub preferred_targets: PreferredTargets,
}

/// A request that may start now.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The request.
    pub id: RequestId,
    /// The target to send it to.
    pub target: Name,
}

/// Requests of one router: waiting, running, and what was charged for them.
#[derive(Debug)]
pub struct Router {
    id: RouterId,
    table: sync::Arc<table::Table>,
    cells: BTreeMap<Name, CellQueue>,
    waiting: BTreeMap<RequestId, Waiting>,
    running: BTreeMap<RequestId, Running>,
    teams: BTreeMap<Name, TeamState>,
}

#[derive(Debug, Default)]
struct CellQueue {
    flows: BTreeMap<Flow, BTreeSet<(time::Instant, RequestId)>>,
    dispatcher: Option<RouterId>,
    changed: BTreeSet<Flow>,
    finished: Vec<GrantId>,
    ended: Vec<Progress>,
    declined: Vec<GrantId>,
    delivered_cost: BTreeMap<Name, f64>,
    virtual_times: BTreeMap<Name, f64>,
    report_seq: u64,
    acked_seq: u64,
    full_due: bool,
}

#[derive(Debug)]
struct Waiting {
    submit: Submit,
    deadline: time::Instant,
}

#[derive(Debug)]
struct Running {
    grant: GrantId,
    cell: Name,
    flow: Flow,
    target: Name,
    /// Cost so far, before the class's price.
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
            cells: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            teams: BTreeMap::new(),
        }
    }

    /// Takes a new table.
    pub fn set_table(&mut self, table: sync::Arc<table::Table>) {
        self.table = table;
    }

    /// Number of requests that wait or run.
    pub fn request_count(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Puts a request into the queue of its cell.
    ///
    /// # Errors
    ///
    /// The class is unknown or a limit of the team is reached; the request doesn't wait then.
    pub fn submit(&mut self, submit: Submit, now: time::Instant) -> Result<(), SubmitError> {
        let flow = submit.flow.clone();
        let class = self.table.classes.get(&flow.class);
        let max_wait = class.ok_or(SubmitError::UnknownClass(flow.class.clone()))?.max_wait;
        let limits = self.table.teams.get(&flow.team).map(|row| row.limits.clone());
        let limits = limits.unwrap_or_default();
        let team = self.teams.entry(flow.team.clone()).or_default();
        if team.waiting_requests >= limits.max_waiting_requests {
            return Err(SubmitError::WaitingLimit(limits.max_waiting_requests));
        }
        if team.waiting_bytes + submit.size_bytes > limits.max_waiting_bytes {
            return Err(SubmitError::WaitingBytesLimit(limits.max_waiting_bytes));
        }
        team.waiting_requests += 1;
        team.waiting_bytes += submit.size_bytes;
        let deadline = now + max_wait;
        let queue = self.cells.entry(submit.cell.clone()).or_default();
        queue.flows.entry(flow.clone()).or_default().insert((deadline, submit.id));
        queue.changed.insert(flow);
        self.waiting.insert(submit.id, Waiting { submit, deadline });
        Ok(())
    }

    /// Notes what a running request has cost so far, before the class's price.
    pub fn progress(&mut self, id: RequestId, cost: f64) {
        let Some(running) = self.running.get_mut(&id) else { return };
        let delta = (cost - running.cost).max(0.0);
        running.cost += delta;
        let price = self.table.price_ratio(&running.flow.class);
        let queue = self.cells.entry(running.cell.clone()).or_default();
        *queue.delivered_cost.entry(running.flow.team.clone()).or_default() += delta * price;
    }

    /// Ends a request, whether it waits or runs.
    pub fn finish(&mut self, id: RequestId) {
        if self.remove_waiting(id).is_some() {
            return;
        }
        let Some(running) = self.running.remove(&id) else { return };
        let queue = self.cells.entry(running.cell).or_default();
        queue.finished.push(running.grant);
        queue.ended.push(Progress { grant: running.grant, cost: running.cost });
        queue.changed.insert(running.flow);
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: time::Instant) -> Vec<RequestId> {
        let late = self.waiting.iter().filter(|(_, waiting)| waiting.deadline <= now);
        let ids = late.map(|(id, _)| *id).collect::<Vec<_>>();
        for id in &ids {
            self.remove_waiting(*id);
        }
        ids
    }

    /// Names the dispatcher of a cell; grants of any other are void from now on.
    pub fn set_dispatcher(&mut self, cell: &Name, dispatcher: RouterId) {
        let queue = self.cells.entry(cell.clone()).or_default();
        queue.dispatcher = Some(dispatcher);
        queue.report_seq = 0;
        queue.acked_seq = 0;
        queue.full_due = true;
        queue.finished.clear();
        queue.declined.clear();
    }

    /// Starts requests for grants; those without use are declined with the next report.
    pub fn take_grants(&mut self, batch: &GrantBatch) -> Vec<Start> {
        let Some(queue) = self.cells.get_mut(&batch.cell) else { return Vec::new() };
        if queue.dispatcher.as_ref() != Some(&batch.dispatcher) {
            return Vec::new();
        }
        queue.acked_seq = batch.seq;
        for line in &batch.virtual_times {
            queue.virtual_times.insert(line.team.clone(), line.cost);
        }
        batch.grants.iter().filter_map(|grant| self.take_grant(&batch.cell, grant)).collect()
    }

    /// Makes the report that is due for a cell, if anything has changed.
    pub fn take_report(&mut self, cell: &Name, now: time::Instant) -> Option<Report> {
        let queue = self.cells.get(cell)?;
        queue.dispatcher.as_ref()?;
        let accounts = self.accounts(cell);
        let queue = self.cells.get_mut(cell)?;
        let full = std::mem::take(&mut queue.full_due);
        let changed = std::mem::take(&mut queue.changed);
        queue.report_seq += 1;
        let (seq, acked_seq) = (queue.report_seq, queue.acked_seq);
        let finished = std::mem::take(&mut queue.finished);
        let ended = std::mem::take(&mut queue.ended);
        let declined = std::mem::take(&mut queue.declined);
        let virtual_times = queue.virtual_times.iter().filter(|_| full);
        let virtual_times = virtual_times
            .map(|(team, cost)| TeamVirtualTime { team: team.clone(), cost: *cost })
            .collect();
        let queue = self.cells.get(cell)?;
        let flows = if full { queue.flows.keys().cloned().collect() } else { changed };
        let demand = flows.iter().map(|flow| self.demand(queue, flow, now)).collect();
        let running = self.running.values().filter(|running| full && running.cell == *cell);
        let in_flight = running
            .map(|running| InFlight {
                grant: running.grant,
                flow: running.flow.clone(),
                target: running.target.clone(),
                cost: running.cost,
            })
            .collect();
        let progress = self.running.values().filter(|running| running.cell == *cell);
        let progress = progress
            .map(|running| Progress { grant: running.grant, cost: running.cost })
            .chain(ended)
            .collect();
        let (router, cell) = (self.id.clone(), cell.clone());
        Some(Report {
            router,
            cell,
            seq,
            acked_seq,
            full,
            demand,
            progress,
            finished,
            declined,
            in_flight,
            accounts,
            virtual_times,
        })
    }

    fn take_grant(&mut self, cell: &Name, grant: &Grant) -> Option<Start> {
        let queue = self.cells.get_mut(cell)?;
        let first = queue.flows.get(&grant.flow).and_then(|flow| flow.first().copied());
        let Some((_, id)) = first else {
            queue.declined.push(grant.id);
            return None;
        };
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

    fn remove_waiting(&mut self, id: RequestId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        let flow = &waiting.submit.flow;
        if let Some(team) = self.teams.get_mut(&flow.team) {
            team.waiting_requests -= 1;
            team.waiting_bytes -= waiting.submit.size_bytes;
        }
        if let Some(queue) = self.cells.get_mut(&waiting.submit.cell) {
            if let Some(line) = queue.flows.get_mut(flow) {
                line.remove(&(waiting.deadline, id));
                if line.is_empty() {
                    queue.flows.remove(flow);
                }
            }
            queue.changed.insert(flow.clone());
        }
        Some(waiting)
    }

    fn demand(&self, queue: &CellQueue, flow: &Flow, now: time::Instant) -> Demand {
        let line = queue.flows.get(flow);
        let first = line.and_then(|line| line.first());
        let count = line.map_or(0, |line| line.len());
        let preferred = first.and_then(|(_, id)| self.waiting.get(id));
        Demand {
            flow: flow.clone(),
            waiting_count: u32::try_from(count).unwrap_or(u32::MAX).min(MAX_WAITING_COUNT),
            oldest_deadline: first.map_or(now, |(deadline, _)| *deadline),
            newest_deadline: line
                .and_then(|line| line.last())
                .map_or(now, |(deadline, _)| *deadline),
            preferred_targets: preferred
                .map(|waiting| waiting.submit.preferred_targets.clone())
                .unwrap_or_default(),
        }
    }

    fn accounts(&self, cell: &Name) -> Vec<Account> {
        let Some(queue) = self.cells.get(cell) else { return Vec::new() };
        let account =
            |(team, cost): (&Name, &f64)| Account { team: team.clone(), delivered_cost: *cost };
        queue.delivered_cost.iter().map(account).collect()
    }
}
