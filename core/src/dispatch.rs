//! The dispatcher of a cell: grants free slots to the team with the least virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync;

use tokio::time;

use crate::estimate;
use crate::fair;
use crate::ids::{Flow, GrantId, Name, RouterId};
use crate::message::{Demand, Grant, GrantBatch, Report, TeamVirtualTime};
use crate::table;

/// Share of the expected remaining cost that is charged while a request runs.
pub const PENDING_RATIO: f64 = 0.25;

/// Cost up to which the prior of an unknown team spreads.
pub const PRIOR_MAX_COST: f64 = 2_000.0;

/// A target as the settings describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSpec {
    /// Name of the target.
    pub name: Name,
    /// Availability zone of the target.
    pub zone: Name,
    /// Most requests in progress at once.
    pub max_slots: u32,
    /// Requests granted beyond the slots.
    pub lookahead_slots: u32,
}

/// Grants the slots of one cell's targets.
#[derive(Debug)]
pub struct Dispatcher {
    id: RouterId,
    cell: Name,
    table: sync::Arc<table::Table>,
    ledger: fair::Ledger,
    targets: BTreeMap<Name, TargetState>,
    routers: BTreeMap<RouterId, RouterState>,
    next_grant: u64,
}

#[derive(Debug)]
struct TargetState {
    spec: TargetSpec,
    leaving: bool,
    busy: BTreeSet<GrantId>,
}

impl TargetState {
    fn free_slots(&self) -> usize {
        if self.leaving {
            return 0;
        }
        let slots = (self.spec.max_slots + self.spec.lookahead_slots) as usize;
        slots.saturating_sub(self.busy.len())
    }
}

#[derive(Debug, Default)]
struct RouterState {
    demand: BTreeMap<Flow, Demand>,
    in_flight: BTreeMap<GrantId, (Flow, Name, f64)>,
    sent_seq: u64,
    outbox: Vec<Grant>,
}

impl Dispatcher {
    /// Creates a dispatcher without routers.
    pub fn new(id: RouterId, cell: Name, table: sync::Arc<table::Table>) -> Dispatcher {
        Dispatcher {
            id,
            cell,
            table,
            ledger: fair::Ledger::default(),
            targets: BTreeMap::new(),
            routers: BTreeMap::new(),
            next_grant: 1,
        }
    }

    /// Takes a new table.
    pub fn set_table(&mut self, table: sync::Arc<table::Table>) {
        self.table = table;
    }

    /// Replaces the list of targets; work at removed ones is left to end.
    pub fn set_targets(&mut self, specs: &[TargetSpec]) {
        for target in self.targets.values_mut() {
            target.leaving = true;
        }
        for spec in specs {
            let target = self.targets.entry(spec.name.clone()).or_insert_with(|| TargetState {
                spec: spec.clone(),
                leaving: false,
                busy: BTreeSet::new(),
            });
            target.spec = spec.clone();
            target.leaving = false;
        }
        self.targets.retain(|_, target| !(target.leaving && target.busy.is_empty()));
    }

    /// Starts a router's session.
    pub fn join(&mut self, router: RouterId) {
        self.routers.insert(router, RouterState::default());
    }

    /// Ends a router's session and takes its slots back.
    pub fn leave(&mut self, router: &RouterId) {
        let Some(state) = self.routers.remove(router) else { return };
        for (id, (_, target, _)) in state.in_flight {
            self.release(&target, id);
        }
        self.update_teams();
    }

    /// Takes a router's report; one from a router that hasn't joined is ignored.
    pub fn report(&mut self, report: Report, _now: time::Instant) {
        if !self.routers.contains_key(&report.router) {
            return;
        }
        if report.full {
            self.replace_state(&report);
        }
        self.take_progress(&report);
        for id in report.finished.iter().chain(&report.declined) {
            self.end_grant(&report.router, *id);
        }
        let Some(state) = self.routers.get_mut(&report.router) else { return };
        for demand in report.demand {
            if demand.waiting_count == 0 {
                state.demand.remove(&demand.flow);
            } else {
                state.demand.insert(demand.flow.clone(), demand);
            }
        }
        self.update_teams();
    }

    /// Grants all free slots and returns the batches to send.
    pub fn poll(&mut self, _now: time::Instant) -> Vec<(RouterId, GrantBatch)> {
        while self.grant_one() {}
        self.take_batches()
    }

    fn replace_state(&mut self, report: &Report) {
        for line in &report.virtual_times {
            self.ledger.raise(&line.team, line.cost);
        }
        let Some(state) = self.routers.get_mut(&report.router) else { return };
        state.demand.clear();
        let old = std::mem::take(&mut state.in_flight);
        for (id, (_, target, _)) in old {
            self.release(&target, id);
        }
        for line in &report.in_flight {
            if let Some(target) = self.targets.get_mut(&line.target) {
                target.busy.insert(line.grant);
            }
            if let Some(state) = self.routers.get_mut(&report.router) {
                state
                    .in_flight
                    .insert(line.grant, (line.flow.clone(), line.target.clone(), line.cost));
            }
        }
    }

    fn end_grant(&mut self, router: &RouterId, id: GrantId) {
        let state = self.routers.get_mut(router);
        let Some((_, target, _)) = state.and_then(|state| state.in_flight.remove(&id)) else {
            return;
        };
        self.release(&target, id);
    }

    fn release(&mut self, target: &Name, id: GrantId) {
        let Some(state) = self.targets.get_mut(target) else { return };
        state.busy.remove(&id);
        if state.leaving && state.busy.is_empty() {
            self.targets.remove(target);
        }
    }

    fn take_progress(&mut self, report: &Report) {
        let Some(state) = self.routers.get_mut(&report.router) else { return };
        for line in &report.progress {
            let Some((flow, _, cost)) = state.in_flight.get_mut(&line.grant) else { continue };
            let delta = (line.cost - *cost).max(0.0) * self.table.price_ratio(&flow.class);
            *cost = cost.max(line.cost);
            self.ledger.charge(&flow.team, delta, self.table.weight(&flow.team));
        }
    }

    fn update_teams(&mut self) {
        let mut active = BTreeSet::<Name>::new();
        let mut pending = BTreeMap::<Name, f64>::new();
        let costs = estimate::CostHistogram::new(PRIOR_MAX_COST);
        for state in self.routers.values() {
            active.extend(state.demand.keys().map(|flow| flow.team.clone()));
            active.extend(state.in_flight.values().map(|(flow, _, _)| flow.team.clone()));
            for (flow, _, cost) in state.in_flight.values() {
                let remaining = costs.expected_remaining(*cost) * PENDING_RATIO;
                *pending.entry(flow.team.clone()).or_default() += remaining;
            }
        }
        let known = self.ledger.settled().map(|(team, _)| team.clone()).collect::<Vec<_>>();
        for team in known.iter().chain(&active) {
            self.ledger.set_pending(team, pending.get(team).copied().unwrap_or(0.0));
            self.ledger.set_active(team, active.contains(team));
        }
    }

    fn grant_one(&mut self) -> bool {
        let Some((router, flow)) = self.next_flow() else { return false };
        let Some(target) = self.free_target(&router, &flow) else { return false };
        let id = GrantId(self.next_grant);
        self.next_grant += 1;
        if let Some(state) = self.targets.get_mut(&target) {
            state.busy.insert(id);
        }
        let Some(state) = self.routers.get_mut(&router) else { return false };
        if let Some(demand) = state.demand.get_mut(&flow) {
            demand.waiting_count -= 1;
            if demand.waiting_count == 0 {
                state.demand.remove(&flow);
            }
        }
        state.in_flight.insert(id, (flow.clone(), target.clone(), 0.0));
        state.outbox.push(Grant { id, flow, target });
        true
    }

    /// The waiting flow of the team with the least virtual time, earliest deadline first.
    fn next_flow(&self) -> Option<(RouterId, Flow)> {
        let mut best = None;
        for (router, state) in &self.routers {
            for demand in state.demand.values() {
                let team = &demand.flow.team;
                let virtual_time = self.ledger.virtual_time(team, self.table.weight(team));
                let key = (virtual_time, demand.oldest_deadline);
                if best.as_ref().is_none_or(|(least, _, _)| key < *least) {
                    best = Some((key, router, &demand.flow));
                }
            }
        }
        best.map(|(_, router, flow)| (router.clone(), flow.clone()))
    }

    fn free_target(&self, router: &RouterId, flow: &Flow) -> Option<Name> {
        let demand = self.routers.get(router)?.demand.get(flow)?;
        let preferred = demand
            .preferred_targets
            .iter()
            .find(|name| self.targets.get(*name).is_some_and(|target| target.free_slots() > 0));
        if let Some(name) = preferred {
            return Some(name.clone());
        }
        let free = self.targets.iter().filter(|(_, target)| target.free_slots() > 0);
        free.max_by_key(|(_, target)| target.free_slots()).map(|(name, _)| name.clone())
    }

    fn take_batches(&mut self) -> Vec<(RouterId, GrantBatch)> {
        let mut batches = Vec::new();
        for (router, state) in &mut self.routers {
            if state.outbox.is_empty() {
                continue;
            }
            state.sent_seq += 1;
            let grants = std::mem::take(&mut state.outbox);
            let teams = grants.iter().map(|grant| &grant.flow.team).collect::<BTreeSet<_>>();
            let virtual_times = teams
                .into_iter()
                .map(|team| TeamVirtualTime {
                    team: team.clone(),
                    cost: self.ledger.virtual_time(team, self.table.weight(team)),
                })
                .collect();
            let batch = GrantBatch {
                dispatcher: self.id.clone(),
                cell: self.cell.clone(),
                seq: state.sent_seq,
                grants,
                moves: Vec::new(),
                virtual_times,
            };
            batches.push((router.clone(), batch));
        }
        batches
    }
}
