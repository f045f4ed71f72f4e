//! Initial state of a run.

use std::collections::{BTreeMap, BinaryHeap};
use std::sync;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::{aggregate, dispatch, router, table};
use tokio::time;

use super::{ControlCost, Event, Fleet, SAMPLE_INTERVAL, ZONE_COUNT, router_id, team_name};
use crate::engine;
use crate::settings::{Policy, Settings};
use crate::workload::Workload;

/// Longest time that a new dispatcher waits for the reports of its routers.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Longest wait of a request; longer than any run, so that none expires.
const MAX_WAIT: Duration = Duration::from_secs(1 << 20);

fn make_table(settings: &Settings) -> sync::Arc<table::Table> {
    let class = table::Class { name: "now".into(), price_ratio: 1.0, max_wait: MAX_WAIT };
    let limits = table::Limits {
        max_waiting_requests: u32::MAX,
        max_waiting_bytes: u64::MAX,
        ..Default::default()
    };
    let team = |index| {
        let name = team_name(index);
        let row = table::Team {
            name: name.clone(),
            weight: settings.weight(index),
            key_hashes: Vec::new(),
            classes: Vec::new(),
            limits: limits.clone(),
        };
        (name, row)
    };
    sync::Arc::new(table::Table {
        teams: (0..settings.team_count).map(team).collect(),
        classes: [(class.name.clone(), class)].into(),
        ..table::Table::default()
    })
}

impl Fleet {
    /// Creates the routers, dispatchers, targets and sessions, and submits the backlogs.
    pub(super) fn new(settings: Settings) -> Fleet {
        let now = time::Instant::now();
        let table = make_table(&settings);
        let cell_count = match settings.policy {
            Policy::RouterAlone => settings.router_count,
            _ => settings.cell_count,
        };
        let cells = (0..cell_count).map(|cell| Name::from(format!("assistant-{cell}")));
        let cells = cells.collect::<Vec<_>>();
        let dispatchers = cells.iter().enumerate().map(|(index, cell)| {
            let id = router_id(index % settings.router_count);
            dispatch::Dispatcher::new(id, cell.clone(), table.clone())
        });
        let routers = (0..settings.router_count).map(|index| {
            let mut router = router::Router::new(router_id(index), table.clone());
            router.set_report_interval(settings.report_interval);
            router
        });
        let mut fleet = Fleet {
            workload: Workload::new(&settings),
            now,
            events: BinaryHeap::new(),
            event_payloads: BTreeMap::new(),
            next_event_seq: 0,
            routers: routers.collect(),
            router_wakes: vec![None; settings.router_count],
            router_running: vec![BTreeMap::new(); settings.router_count],
            dispatchers: dispatchers.collect(),
            cells,
            targets: Vec::new(),
            target_index: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_request: 0,
            finished_cost: vec![0.0; settings.team_count],
            control: ControlCost::default(),
            request_count: 0,
            moved_count: 0,
            fleet_seq: 0,
            zone_aggregators: (0..ZONE_COUNT)
                .map(|zone| aggregate::Aggregator::new(format!("zone-{zone}").into(), router_id(0)))
                .collect(),
            fleet_aggregator: aggregate::Aggregator::new("assistant".into(), router_id(0)),
            settings,
        };
        fleet.add_targets();
        fleet.add_sessions();
        fleet.add_backlog();
        fleet
    }

    fn add_targets(&mut self) {
        let (slots, lookahead_slots) = (self.settings.slots, self.settings.lookahead_slots);
        let mut specs = vec![Vec::new(); self.cells.len()];
        let (count, slots) = match self.settings.policy {
            // Each slot is a target of its own, assigned to the routers in turn.
            Policy::RouterAlone => (self.settings.total_slots(), 1),
            _ => (self.settings.cell_count * self.settings.target_count, slots),
        };
        let lookahead_slots =
            if self.settings.policy == Policy::RouterAlone { 0 } else { lookahead_slots };
        for index in 0..count {
            let name = Name::from(format!("target-{index:03}"));
            self.target_index.insert(name.clone(), index);
            self.targets.push(engine::Target::new(slots as usize, self.now));
            let zone = Name::from("a");
            let cells = specs.len();
            let spec = dispatch::TargetSpec { name, zone, max_slots: slots, lookahead_slots };
            specs[index % cells].push(spec);
        }
        for (dispatcher, specs) in self.dispatchers.iter_mut().zip(specs) {
            dispatcher.set_targets(&specs);
        }
    }

    fn add_sessions(&mut self) {
        let all = (0..self.routers.len()).map(router_id).collect::<Vec<_>>();
        for (cell, dispatcher) in self.dispatchers.iter_mut().enumerate() {
            let is_alone = self.settings.policy == Policy::RouterAlone;
            let expected = if is_alone { &all[cell..=cell] } else { &all[..] };
            dispatcher.wait_for_reports(expected, self.now + SETTLE_TIME);
        }
        for router in 0..self.routers.len() {
            for cell in 0..self.cells.len() {
                if self.settings.policy == Policy::RouterAlone && cell != router {
                    continue;
                }
                self.dispatchers[cell].join(router_id(router));
                let id = router_id(cell % self.settings.router_count);
                self.routers[router].set_dispatcher(&self.cells[cell], id);
            }
        }
    }

    fn add_backlog(&mut self) {
        for team in 0..self.settings.team_count {
            for _ in 0..self.settings.backlog(team) {
                self.submit(team);
            }
        }
        for router in 0..self.routers.len() {
            self.send_report(router);
        }
        self.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
        let is_baseline = self.settings.policy != Policy::Dispatch;
        if !is_baseline && self.cells.len() > 1 && !self.settings.summary_interval.is_zero() {
            for dispatcher in &mut self.dispatchers {
                dispatcher.set_summary_interval(self.settings.summary_interval);
            }
            self.schedule(self.now + self.settings.summary_interval, Event::Summary);
        }
    }
}
