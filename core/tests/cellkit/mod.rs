//! Test fixture: the dispatcher of one cell and its routers, connected without delay.
#![allow(dead_code)]

use std::sync;
use std::time::Duration;

use gentianhinge_core::ids::{Flow, Name, RequestId, RouterId};
use gentianhinge_core::{dispatch, router, table};
use tokio::time;

pub const CELL: &str = "assistant-0";

/// Defines tests with a paused clock.
#[macro_export]
macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(start_paused = true)]
        async fn $name() { $body }
    )* };
}

pub fn now() -> time::Instant {
    time::Instant::now()
}

/// A table with the classes `now` at price 1 and `later` at price 0.5.
pub fn table() -> table::Table {
    let class = |name: &str, price_ratio, max_wait_s| {
        let max_wait = Duration::from_secs(max_wait_s);
        (Name::from(name), table::Class { name: name.into(), price_ratio, max_wait })
    };
    table::Table {
        classes: [class("now", 1.0, 10), class("later", 0.5, 1_000)].into(),
        ..table::Table::default()
    }
}

pub fn with_team(mut table: table::Table, name: &str, limits: table::Limits) -> table::Table {
    let row = table::Team {
        name: name.into(),
        weight: 1.0,
        key_hashes: Vec::new(),
        classes: Vec::new(),
        limits,
    };
    table.teams.insert(name.into(), row);
    table
}

pub fn target(name: &str, max_slots: u32) -> dispatch::TargetSpec {
    dispatch::TargetSpec { name: name.into(), zone: "a".into(), max_slots, lookahead_slots: 0 }
}

pub fn submit(id: u64, team: &str, class: &str) -> router::Submit {
    router::Submit {
        id: RequestId(id),
        cell: CELL.into(),
        flow: Flow::new(team, class),
        size_bytes: 10,
        preferred_targets: Default::default(),
    }
}

pub struct Cell {
    pub table: sync::Arc<table::Table>,
    pub dispatcher: dispatch::Dispatcher,
    pub routers: Vec<router::Router>,
    pub started: Vec<router::Start>,
}

impl Cell {
    pub fn new(table: table::Table, router_count: usize, slots: u32) -> Cell {
        let table = sync::Arc::new(table);
        let routers = 0..router_count;
        let routers = routers.map(|index| router::Router::new(router_id(index), table.clone()));
        let mut cell = Cell {
            dispatcher: dispatch::Dispatcher::new(router_id(0), CELL.into(), table.clone()),
            routers: routers.collect(),
            started: Vec::new(),
            table,
        };
        cell.dispatcher.set_targets(&[target("t1", slots)]);
        cell.join_all(router_id(0));
        cell
    }

    /// Replaces the dispatcher by one without state.
    pub fn fail_over(&mut self, id: RouterId, slots: u32) {
        self.dispatcher = dispatch::Dispatcher::new(id.clone(), CELL.into(), self.table.clone());
        self.dispatcher.set_targets(&[target("t1", slots)]);
        self.join_all(id);
    }

    pub fn join_all(&mut self, dispatcher: RouterId) {
        for (index, router) in self.routers.iter_mut().enumerate() {
            self.dispatcher.join(router_id(index));
            router.set_dispatcher(&CELL.into(), dispatcher.clone());
        }
    }

    pub fn submit(&mut self, router: usize, id: u64, team: &str) {
        self.submit_class(router, id, team, "now");
    }

    pub fn submit_class(&mut self, router: usize, id: u64, team: &str, class: &str) {
        self.routers[router].submit(submit(id, team, class), now()).unwrap();
    }

    /// Delivers all reports and grants; returns the requests that started.
    pub fn exchange(&mut self) -> Vec<u64> {
        let mut started = Vec::new();
        for router in &mut self.routers {
            if let Some(report) = router.take_report(&CELL.into(), now()) {
                self.dispatcher.report(report, now());
            }
        }
        for (id, batch) in self.dispatcher.poll(now()) {
            let index = (0..self.routers.len()).find(|index| router_id(*index) == id).unwrap();
            started.extend(self.routers[index].take_grants(&batch));
        }
        self.started.extend(started.iter().cloned());
        started.iter().map(|start| start.id.0).collect()
    }

    /// Ends a request with a total cost.
    pub fn finish(&mut self, router: usize, id: u64, cost: f64) {
        self.routers[router].progress(RequestId(id), cost);
        self.routers[router].finish(RequestId(id));
    }
}

pub fn router_id(index: usize) -> RouterId {
    RouterId::new(format!("r{index}"), 1)
}
