//! Dispatchers that this router hosts, and the sessions of the routers that joined them.

use std::collections::{BTreeMap, HashMap};
use std::sync;

use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_core::message::{GrantBatch, Report};
use gentianhinge_core::{dispatch, table};
use tokio::time;

use crate::peer;

/// Dispatchers that this router hosts, by cell, with their sessions.
#[derive(Default)]
pub struct Hosted {
    dispatchers: BTreeMap<Name, dispatch::Dispatcher>,
    sessions: HashMap<peer::LocalId, Session>,
    by_router: HashMap<(Name, RouterId), peer::LocalId>,
}

struct Session {
    cell: Name,
    router: RouterId,
    sink: peer::Sink,
}

impl Hosted {
    /// Whether this router hosts the dispatcher of a cell.
    pub fn has(&self, cell: &Name) -> bool {
        self.dispatchers.contains_key(cell)
    }

    /// The dispatcher of a cell; `None` if another router hosts it.
    pub fn dispatcher(&mut self, cell: &Name) -> Option<&mut dispatch::Dispatcher> {
        self.dispatchers.get_mut(cell)
    }

    /// Starts to host the dispatcher of a cell.
    pub fn start(&mut self, cell: Name, dispatcher: dispatch::Dispatcher) {
        tracing::info!(%cell, "dispatcher started");
        self.dispatchers.insert(cell, dispatcher);
    }

    /// Stops the dispatcher of a cell and ends its sessions.
    pub fn stop(&mut self, cell: &Name) {
        if self.dispatchers.remove(cell).is_some() {
            tracing::info!(%cell, "dispatcher stopped");
            self.sessions.retain(|_, session| session.cell != *cell);
            self.by_router.retain(|(of, _), _| of != cell);
        }
    }

    /// Puts a new table into force for all dispatchers.
    pub fn set_table(&mut self, table: &sync::Arc<table::Table>) {
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.set_table(table.clone());
        }
    }

    /// Permanently takes the current incarnation of a target out of use.
    pub fn drain_target(&mut self, target: &Name) {
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.target_leaving(target, dispatcher.target_incarnation(target));
        }
    }

    /// Permanently takes an incarnation of a target, and all earlier ones, out of use.
    pub fn drain_incarnation(&mut self, target: &Name, incarnation: u64) {
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.target_leaving(target, incarnation);
        }
    }

    /// Sets how many routers this one regards as live, and how many the host list has.
    pub fn set_view(&mut self, live_count: u32, listed_count: u32) {
        for dispatcher in self.dispatchers.values_mut() {
            dispatcher.set_router_counts(live_count, listed_count);
        }
    }

    /// Adds a router's session to a cell, replacing its earlier one; returns `false` if this router
    /// doesn't host the cell's dispatcher.
    pub fn join(
        &mut self,
        id: peer::LocalId,
        router: RouterId,
        cell: Name,
        sink: peer::Sink,
    ) -> bool {
        let Some(dispatcher) = self.dispatchers.get_mut(&cell) else { return false };
        dispatcher.join(router.clone());
        let old = self.by_router.insert((cell.clone(), router.clone()), id);
        old.and_then(|old| self.sessions.remove(&old));
        self.sessions.insert(id, Session { cell, router, sink });
        true
    }

    /// Applies a report; one from an ended session is ignored.
    pub fn report(&mut self, id: peer::LocalId, report: Report, now: time::Instant) {
        if !self.sessions.contains_key(&id) {
            return;
        }
        if let Some(dispatcher) = self.dispatchers.get_mut(&report.cell) {
            dispatcher.report(report, now);
        }
    }

    /// Ends a session and reclaims the router's slots and demand.
    pub fn end(&mut self, id: peer::LocalId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        self.by_router.remove(&(session.cell.clone(), session.router.clone()));
        if let Some(dispatcher) = self.dispatchers.get_mut(&session.cell) {
            dispatcher.leave(&session.router);
        }
    }

    /// Ends the sessions of routers that are no longer live.
    pub fn retain_routers(&mut self, is_live: impl Fn(&RouterId) -> bool) {
        for dispatcher in self.dispatchers.values_mut() {
            for router in self.by_router.keys().map(|(_, router)| router) {
                if !is_live(router) {
                    dispatcher.remove_expected(router);
                }
            }
        }
        let ended = self.sessions.iter().filter(|(_, session)| !is_live(&session.router));
        let ended = ended.map(|(id, _)| *id).collect::<Vec<_>>();
        for id in ended {
            self.end(id);
        }
    }

    /// Issues grants: returns those for `local`, and sends the others to their routers.
    pub fn poll(&mut self, local: &RouterId, now: time::Instant) -> Vec<GrantBatch> {
        let mut own = Vec::new();
        for (cell, dispatcher) in &mut self.dispatchers {
            for (router, batch) in dispatcher.poll(now) {
                if router == *local {
                    own.push(batch);
                    continue;
                }
                let id = self.by_router.get(&(cell.clone(), router));
                if let Some(session) = id.and_then(|id| self.sessions.get(id)) {
                    session.sink.grant(&batch);
                }
            }
        }
        own
    }

    /// When the next dispatcher must be polled.
    pub fn next_wake(&self) -> Option<time::Instant> {
        self.dispatchers.values().filter_map(dispatch::Dispatcher::next_wake).min()
    }
}
