//! Routers, dispatchers and targets on a simulated clock.

mod setup;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use gentianhinge_core::ids::{Flow, Name, RequestId, RouterId};
use gentianhinge_core::message::{GrantBatch, GroupSummary, Report};
use gentianhinge_core::{aggregate, dispatch, router};
use tokio::time;

use crate::engine;
use crate::settings::{Policy, Settings};
use crate::size;
use crate::stats::{self, GapTracker, Outcome};
use crate::workload::Workload;

/// Interval at which the gap is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of zones; each has an aggregator for its cells.
const ZONE_COUNT: usize = 4;
/// Delay from the summaries of the cells to the arrival of the fleet summary.
const AGGREGATION_DELAY: Duration = Duration::from_millis(50);

/// A scheduled event; indices are of cells or routers.
enum Event {
    Report(usize, Box<Report>),
    Grants(usize, Box<GrantBatch>),
    Finish(u64),
    Wake(usize),
    Summary,
    Fleet(Box<GroupSummary>),
    Sample,
}

struct Request {
    team: usize,
    router: usize,
    target: usize,
    cost: f64,
    started_at: Option<time::Instant>,
}

/// Control messages, and the time spent in router, dispatcher and aggregator code.
#[derive(Default)]
struct ControlCost {
    message_count: u64,
    bytes: u64,
    router_time: Duration,
    dispatcher_time: Duration,
}

impl ControlCost {
    fn add_message(&mut self, bytes: usize) {
        self.message_count += 1;
        self.bytes += bytes as u64;
    }
}

/// State of one run.
struct Fleet {
    settings: Settings,
    workload: Workload,
    now: time::Instant,
    events: BinaryHeap<Reverse<(time::Instant, u64)>>,
    event_payloads: BTreeMap<u64, Event>,
    next_event_seq: u64,
    routers: Vec<router::Router>,
    router_wakes: Vec<Option<time::Instant>>,
    router_running: Vec<BTreeMap<u64, ()>>,
    dispatchers: Vec<dispatch::Dispatcher>,
    cells: Vec<Name>,
    targets: Vec<engine::Target>,
    target_index: BTreeMap<Name, usize>,
    requests: BTreeMap<u64, Request>,
    next_request: u64,
    finished_cost: Vec<f64>,
    control: ControlCost,
    request_count: u64,
    moved_count: u64,
    fleet_seq: u64,
    zone_aggregators: Vec<aggregate::Aggregator>,
    fleet_aggregator: aggregate::Aggregator,
}

fn router_id(index: usize) -> RouterId {
    RouterId::new(format!("router-{index:03}"), 1)
}

fn team_name(index: usize) -> Name {
    format!("team-{index:04}").into()
}

/// Runs a benchmark and returns its results.
pub fn run(settings: &Settings) -> Outcome {
    let memory_mb = stats::resident_mb();
    Fleet::new(settings.clone()).run(memory_mb)
}

impl Fleet {
    /// Runs the warm-up and the measurement, and returns the results.
    fn run(mut self, memory_mb: f64) -> Outcome {
        let measure_start = self.now + self.settings.warm_up;
        let end = measure_start + self.settings.measured;
        self.run_until(measure_start, &mut None);
        let warm_up_count = self.request_count;
        self.control = ControlCost::default();
        self.moved_count = 0;
        for target in &mut self.targets {
            target.start_measuring(measure_start);
        }
        let mut gap = Some(GapTracker::new(self.service()));
        self.run_until(end, &mut gap);
        for target in &mut self.targets {
            target.end_measuring(end);
        }
        let requests = self.request_count - warm_up_count;
        let gap = gap.unwrap_or_else(|| GapTracker::new(Vec::new()));
        self.outcome(&gap, requests, stats::resident_mb() - memory_mb)
    }

    fn outcome(&self, gap: &GapTracker, requests: u64, memory_mb: f64) -> Outcome {
        let idle_s = self.targets.iter().map(|target| target.idle_s).sum::<f64>();
        let longest = self.targets.iter().map(|target| target.longest_idle_s);
        let measured_s = self.settings.measured.as_secs_f64();
        let idle_slots = idle_s / measured_s;
        let (least, most) = gap.extremes();
        let per_request = |value: f64| value / (requests as f64).max(1.0);
        let bytes = self.control.bytes as f64;
        Outcome {
            gap: gap.largest_gap() / self.settings.max_cost,
            most_to_least: most / least,
            utilisation: 1.0 - idle_slots / self.settings.total_slots() as f64,
            longest_idle_s: longest.fold(0.0, f64::max),
            request_count: requests,
            messages_per_request: per_request(self.control.message_count as f64),
            bytes_per_request: per_request(bytes),
            bytes_per_s: bytes / measured_s / self.settings.router_count as f64,
            router_us_per_request: per_request(self.control.router_time.as_secs_f64() * 1e6),
            dispatcher_us_per_request: per_request(
                self.control.dispatcher_time.as_secs_f64() * 1e6,
            ),
            moved_ratio: per_request(self.moved_count as f64),
            memory_mb,
            service: gap.service().to_vec(),
        }
    }

    fn run_until(&mut self, end: time::Instant, gap: &mut Option<GapTracker>) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            let Some(event) = self.event_payloads.remove(&number) else { continue };
            match event {
                Event::Sample => {
                    let service = self.service();
                    if let Some(gap) = gap {
                        gap.sample(&service);
                    }
                    self.schedule(self.now + SAMPLE_INTERVAL, Event::Sample);
                }
                event => self.handle(event),
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Report(cell, report) => self.receive_report(cell, *report),
            Event::Grants(router, batch) => self.take_grants(router, &batch),
            Event::Finish(request) => self.finish(request),
            Event::Wake(router) => {
                self.router_wakes[router] = None;
                self.send_report(router);
            }
            Event::Summary => self.aggregate_summaries(),
            Event::Fleet(summary) => self.apply_fleet_summary(&summary),
            Event::Sample => {}
        }
    }

    fn schedule(&mut self, at: time::Instant, event: Event) {
        let number = self.next_event_seq;
        self.next_event_seq += 1;
        self.event_payloads.insert(number, event);
        self.events.push(Reverse((at, number)));
    }

    /// Submits a team's next request; returns the router that received it.
    fn submit(&mut self, team: usize) -> usize {
        let id = self.next_request;
        self.next_request += 1;
        let (cost, router) = (self.workload.cost(team), self.workload.router(team));
        let request = Request { team, router, target: 0, cost, started_at: None };
        self.requests.insert(id, request);
        if self.settings.policy == Policy::FirstCome {
            let target = self.workload.random_index(self.targets.len());
            self.arrive(id, target);
            return router;
        }
        let cell = self.cells[self.home_cell(router)].clone();
        let submit = router::Submit {
            id: RequestId(id),
            cell,
            flow: Flow::new(team_name(team), "now"),
            size_bytes: 1,
            preferred_targets: Default::default(),
        };
        let timer = std::time::Instant::now();
        self.routers[router].submit(submit, self.now).expect("no limit is set");
        self.control.router_time += timer.elapsed();
        router
    }

    /// Adjacent routers share a cell, so that a team's skewed load falls on few cells.
    fn home_cell(&self, router: usize) -> usize {
        router * self.cells.len() / self.routers.len()
    }

    fn send_report(&mut self, router: usize) {
        if self.settings.policy == Policy::FirstCome {
            return;
        }
        self.update_progress(router);
        let timer = std::time::Instant::now();
        let cells = &self.cells;
        let cell_indices = match self.settings.policy {
            Policy::RouterAlone => router..router + 1,
            _ => 0..cells.len(),
        };
        let now = self.now;
        let state = &mut self.routers[router];
        let reports =
            cell_indices.filter_map(|cell| Some((cell, state.take_report(&cells[cell], now)?)));
        let reports = reports.collect::<Vec<_>>();
        let wake = state.next_wake();
        self.control.router_time += timer.elapsed();
        for (cell, report) in reports {
            self.control.add_message(size::report(&report));
            self.schedule(self.now + self.delay(), Event::Report(cell, Box::new(report)));
        }
        let wake = wake.map(|at| at.max(self.now + Duration::from_millis(1)));
        if let Some(at) = wake.filter(|at| self.router_wakes[router].is_none_or(|old| *at < old)) {
            self.router_wakes[router] = Some(at);
            self.schedule(at, Event::Wake(router));
        }
    }

    /// Reports the delivered cost of running requests to the router, if its next report is due.
    fn update_progress(&mut self, router: usize) {
        if self.routers[router].next_wake().is_none_or(|at| at > self.now) {
            return;
        }
        let timer = std::time::Instant::now();
        for id in self.router_running[router].keys() {
            let request = &self.requests[id];
            let cost = self.delivered(request);
            self.routers[router].progress(RequestId(*id), cost);
        }
        self.control.router_time += timer.elapsed();
    }

    fn delay(&self) -> Duration {
        if self.settings.policy == Policy::RouterAlone {
            Duration::ZERO
        } else {
            self.settings.delay
        }
    }

    fn receive_report(&mut self, cell: usize, report: Report) {
        let timer = std::time::Instant::now();
        let dispatcher = &mut self.dispatchers[cell];
        dispatcher.report(report, self.now);
        self.control.dispatcher_time += timer.elapsed();
        self.poll(cell);
    }

    fn poll(&mut self, cell: usize) {
        let timer = std::time::Instant::now();
        let batches = self.dispatchers[cell].poll(self.now);
        self.control.dispatcher_time += timer.elapsed();
        for (id, batch) in batches {
            self.control.add_message(size::batch(&batch));
            let router = id.name.strip_prefix("router-").and_then(|text| text.parse().ok());
            let router = router.expect("router names are made by `router_id`");
            self.schedule(self.now + self.delay(), Event::Grants(router, Box::new(batch)));
        }
    }

    /// Aggregates the summaries of all cells by zone and then for the fleet, and schedules the
    /// result for the dispatchers.
    fn aggregate_summaries(&mut self) {
        let timer = std::time::Instant::now();
        for (cell, dispatcher) in self.dispatchers.iter_mut().enumerate() {
            let summary = dispatcher.summary(self.fleet_seq == 0, self.now);
            self.control.add_message(size::cell_summary(&summary));
            self.zone_aggregators[cell % ZONE_COUNT].apply_cell_summary(summary);
        }
        for zone in &mut self.zone_aggregators {
            let summary = zone.summary(self.fleet_seq == 0);
            self.control.add_message(size::group_summary(&summary));
            self.fleet_aggregator.apply_group_summary(summary);
        }
        let summary = self.fleet_aggregator.summary(false);
        self.control.dispatcher_time += timer.elapsed();
        self.fleet_seq += 1;
        self.schedule(self.now + AGGREGATION_DELAY, Event::Fleet(Box::new(summary)));
        self.schedule(self.now + self.settings.summary_interval, Event::Summary);
    }

    fn apply_fleet_summary(&mut self, summary: &GroupSummary) {
        for cell in 0..self.dispatchers.len() {
            self.control.add_message(size::group_summary(summary));
            let timer = std::time::Instant::now();
            self.dispatchers[cell].apply_fleet_summary(summary, self.now);
            self.control.dispatcher_time += timer.elapsed();
            self.poll(cell);
        }
    }

    fn take_grants(&mut self, router: usize, batch: &GrantBatch) {
        let timer = std::time::Instant::now();
        let starts = self.routers[router].take_grants(batch);
        self.control.router_time += timer.elapsed();
        let mut changed_routers = vec![router];
        let is_moved = self.cells[self.home_cell(router)] != batch.cell;
        self.moved_count += if is_moved { starts.len() as u64 } else { 0 };
        for start in starts {
            let target = self.target_index[&start.target];
            self.router_running[router].insert(start.id.0, ());
            changed_routers.push(self.submit(self.requests[&start.id.0].team));
            self.arrive(start.id.0, target);
        }
        changed_routers.sort_unstable();
        changed_routers.dedup();
        for router in changed_routers {
            self.send_report(router);
        }
    }

    fn arrive(&mut self, id: u64, target: usize) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.target = target;
        }
        let job = self.targets[target].arrive(id, self.now);
        self.start(job);
    }

    fn start(&mut self, job: Option<engine::Job>) {
        let Some(job) = job else { return };
        let Some(request) = self.requests.get_mut(&job.request) else { return };
        request.started_at = Some(job.started_at);
        let team = request.team;
        let time = self.settings.token_time.mul_f64(request.cost);
        self.schedule(self.now + time, Event::Finish(job.request));
        if self.settings.policy == Policy::FirstCome {
            self.submit(team);
        }
    }

    fn finish(&mut self, id: u64) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.finished_cost[request.team] += request.cost;
        self.request_count += 1;
        let next = self.targets[request.target].finish(self.now);
        self.start(next);
        if self.settings.policy == Policy::FirstCome {
            return;
        }
        self.router_running[request.router].remove(&id);
        let timer = std::time::Instant::now();
        self.routers[request.router].progress(RequestId(id), request.cost);
        self.routers[request.router].finish(RequestId(id));
        self.control.router_time += timer.elapsed();
        self.send_report(request.router);
    }

    fn delivered(&self, request: &Request) -> f64 {
        let Some(started_at) = request.started_at else { return 0.0 };
        let elapsed = self.now.saturating_duration_since(started_at);
        let tokens = (elapsed.as_secs_f64() / self.settings.token_time.as_secs_f64()).floor();
        tokens.min(request.cost)
    }

    /// Service of each team so far, in tokens per weight.
    fn service(&self) -> Vec<f64> {
        let mut service = self.finished_cost.clone();
        for request in self.requests.values() {
            service[request.team] += self.delivered(request);
        }
        for (team, cost) in service.iter_mut().enumerate() {
            *cost /= self.settings.weight(team);
        }
        service
    }
}
