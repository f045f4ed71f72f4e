//! Several cells of one model: aggregated summaries, and moves between cells.

mod cellkit;

use std::sync;

use cellkit::{now, router_id, submit, table, target};
use gentianhinge_core::aggregate::{Aggregator, ApplyResult};
use gentianhinge_core::ids::{Flow, Name, RequestId, RouterId};
use gentianhinge_core::message::{CellState, CellSummary, GrantBatch, Move, TeamSummary};
use gentianhinge_core::{dispatch, router};

fn summary(dispatcher: u64, seq: u64, full: bool, service_cost: f64) -> CellSummary {
    let state = CellState {
        cell: "cell-a".into(),
        dispatcher: RouterId::new("r1", dispatcher),
        seq,
        free_slots: 0,
        waiting_count: 1,
        least_virtual_time: 0.0,
    };
    let team = TeamSummary {
        team: "lanes".into(),
        service_cost,
        lift_cost: 0.0,
        waiting_count: 1,
        running_count: 1,
    };
    CellSummary { state, full, teams: vec![team] }
}

fn service(aggregator: &mut Aggregator) -> f64 {
    aggregator.summary(true).teams[0].service_cost
}

/// Two cells and one router with a session to both.
struct Pair {
    dispatchers: [dispatch::Dispatcher; 2],
    router: router::Router,
    zone: Aggregator,
    top: Aggregator,
}

const CELLS: [&str; 2] = ["assistant-0", "assistant-1"];

impl Pair {
    fn new(slots: [u32; 2]) -> Pair {
        let table = sync::Arc::new(table());
        let mut router = router::Router::new(router_id(0), table.clone());
        let dispatchers = [0, 1].map(|index| {
            let cell = Name::from(CELLS[index]);
            let mut dispatcher =
                dispatch::Dispatcher::new(router_id(index), cell.clone(), table.clone());
            dispatcher.set_targets(&[target(&format!("t{index}"), slots[index])]);
            dispatcher.join(router_id(0));
            router.set_dispatcher(&cell, router_id(index));
            dispatcher
        });
        let zone = Aggregator::new("zone-a".into(), router_id(0));
        Pair { dispatchers, router, zone, top: Aggregator::new("assistant".into(), router_id(0)) }
    }

    fn submit(&mut self, cell: usize, id: u64, team: &str) {
        let cell = CELLS[cell].into();
        self.router.submit(router::Submit { cell, ..submit(id, team, "later") }, now()).unwrap();
    }

    /// Delivers all reports and grants; returns the requests that started in each cell.
    fn exchange(&mut self) -> [Vec<u64>; 2] {
        [0, 1].map(|index| {
            let dispatcher = &mut self.dispatchers[index];
            if let Some(report) = self.router.take_report(&CELLS[index].into(), now()) {
                dispatcher.report(report, now());
            }
            let batches = dispatcher.poll(now());
            let starts = batches.iter().flat_map(|(_, batch)| self.router.take_grants(batch));
            starts.map(|start| start.id.0).collect()
        })
    }

    fn finish(&mut self, id: u64, cost: f64) {
        self.router.progress(RequestId(id), cost);
        self.router.finish(RequestId(id));
    }

    fn exchange_summaries(&mut self) {
        for dispatcher in &mut self.dispatchers {
            self.zone.apply_cell_summary(dispatcher.summary(true, now()));
        }
        self.top.apply_group_summary(self.zone.summary(true));
        let fleet = self.top.summary(true);
        for dispatcher in &mut self.dispatchers {
            dispatcher.apply_fleet_summary(&fleet, now());
        }
    }
}

cases! {
    a_duplicate_summary_is_ignored: {
        let mut zone = Aggregator::new("zone-a".into(), router_id(0));
        assert_eq!(zone.apply_cell_summary(summary(1, 1, true, 100.0)), ApplyResult::Applied);
        assert_eq!(zone.apply_cell_summary(summary(1, 2, false, 150.0)), ApplyResult::Applied);
        assert_eq!(zone.apply_cell_summary(summary(1, 2, false, 150.0)), ApplyResult::Stale);
        assert_eq!(zone.apply_cell_summary(summary(1, 1, true, 100.0)), ApplyResult::Stale);
        assert_eq!(service(&mut zone), 150.0);
    },
    a_gap_in_summaries_requests_a_full_one: {
        let mut zone = Aggregator::new("zone-a".into(), router_id(0));
        assert_eq!(zone.apply_cell_summary(summary(1, 4, false, 100.0)), ApplyResult::NeedsFull);
        assert_eq!(zone.apply_cell_summary(summary(1, 5, true, 100.0)), ApplyResult::Applied);
        assert_eq!(zone.apply_cell_summary(summary(1, 7, false, 150.0)), ApplyResult::NeedsFull);
        assert_eq!(zone.apply_cell_summary(summary(1, 8, true, 150.0)), ApplyResult::Applied);
        assert_eq!(service(&mut zone), 150.0);
    },
    summaries_of_a_new_dispatcher_replace_those_of_the_old_one: {
        let mut zone = Aggregator::new("zone-a".into(), router_id(0));
        zone.apply_cell_summary(summary(1, 9, true, 100.0));
        assert_eq!(zone.apply_cell_summary(summary(2, 1, true, 30.0)), ApplyResult::Applied);
        assert_eq!(service(&mut zone), 30.0);
    },
    a_cells_own_service_is_not_counted_twice: {
        let mut pair = Pair::new([1, 1]);
        pair.submit(0, 1, "lanes");
        pair.exchange();
        pair.finish(1, 400.0);
        pair.exchange();
        for _ in 0..3 {
            pair.exchange_summaries();
        }
        assert_eq!(pair.dispatchers[0].virtual_time("lanes"), Some(200.0));
        assert_eq!(pair.dispatchers[1].virtual_time("lanes"), Some(200.0));
    },
    a_team_served_in_another_cell_is_served_later: {
        let mut pair = Pair::new([1, 1]);
        for id in 0..4 {
            pair.submit(0, id, "large");
        }
        pair.exchange();
        pair.finish(0, 4_000.0);
        pair.submit(1, 10, "other");
        pair.exchange();
        pair.submit(1, 11, "large");
        pair.submit(1, 12, "other");
        pair.exchange();
        pair.exchange_summaries();
        pair.finish(10, 10.0);
        assert_eq!(pair.exchange()[1], [12]);
    },
    waiting_requests_move_to_an_idle_cell_once: {
        let mut pair = Pair::new([0, 2]);
        for id in 0..5 {
            pair.submit(0, id, "lanes");
        }
        pair.exchange();
        pair.exchange_summaries();
        let started = pair.exchange();
        assert_eq!(started[1].len(), 2, "{started:?}");
        // The idle cell is full now, and no request is moved back.
        pair.dispatchers[0].set_targets(&[target("t0", 8)]);
        assert_eq!(pair.exchange()[0].len(), 3);
    },
    a_team_waiting_in_another_cell_is_not_lifted: {
        let mut pair = Pair::new([0, 1]);
        for id in 0..8 {
            pair.submit(1, id, "busy");
        }
        pair.submit(0, 20, "poor");
        for _ in 0..4 {
            let id = pair.exchange()[1][0];
            pair.finish(id, 1_000.0);
        }
        // The team is waiting in the first cell, so it hasn't paused and isn't lifted in the
        // second.
        for dispatcher in &mut pair.dispatchers {
            pair.zone.apply_cell_summary(dispatcher.summary(true, now()));
        }
        let fleet = pair.zone.summary(true);
        pair.dispatchers[1].apply_fleet_summary(&fleet, now());
        pair.submit(1, 21, "poor");
        pair.exchange();
        assert!(pair.dispatchers[1].virtual_time("poor").unwrap() < 1_000.0);
    },
    a_moved_request_is_not_moved_back: {
        let mut pair = Pair::new([0, 2]);
        for id in 0..5 {
            pair.submit(0, id, "lanes");
        }
        pair.exchange();
        pair.exchange_summaries();
        pair.dispatchers[1].set_targets(&[]);
        assert_eq!(pair.exchange(), [vec![], vec![]]);
        let back = Move {
            flow: Flow::new("lanes", "later"),
            request_count: 5,
            to_cell: CELLS[0].into(),
        };
        let batch = GrantBatch {
            dispatcher: router_id(1),
            cell: CELLS[1].into(),
            seq: 1_000,
            grants: Vec::new(),
            moves: vec![back],
            virtual_times: Vec::new(),
            lineage: 0,
        };
        pair.router.take_grants(&batch);
        pair.dispatchers[0].set_targets(&[target("t0", 8)]);
        assert_eq!(pair.exchange()[0].len(), 3);
    },
}
