//! The bound on the fairness gap for any costs, and the estimate of costs.

mod cellkit;

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use cellkit::{Cell, table};
use gentianhinge_core::ids::RequestId;
use gentianhinge_core::{estimate, fair_queueing};
use rand::{RngCore, SeedableRng};
use tokio::time;

const LARGEST_COST: f64 = 2_000.0;
/// Number of random schedules.
const SEED_COUNT: u64 = 40;
/// Random bytes that determine the steps of a schedule.
const SCHEDULE_BYTES: usize = 20_000;
const TEAMS: [&str; 4] = ["a", "b", "c", "d"];

/// Teams that always have requests waiting, on random routers and with random costs.
struct Backlog {
    cell: Cell,
    next: u64,
    /// Team, router, delivered cost and whole cost of each request.
    requests: BTreeMap<u64, (usize, usize, f64, f64)>,
    running: Vec<u64>,
    delivered: [f64; TEAMS.len()],
}

impl Backlog {
    fn submit(&mut self, team: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let router = u.choose_index(self.cell.routers.len())?;
        let cost = *u.choose(&[1.0, 20.0, 300.0, LARGEST_COST])?;
        self.cell.submit_class(router, self.next, TEAMS[team], "free");
        self.requests.insert(self.next, (team, router, 0.0, cost));
        self.next += 1;
        Ok(())
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let started = self.cell.exchange();
        for id in &started {
            self.submit(self.requests[id].0, u)?;
        }
        self.running.extend(started);
        let index = u.choose_index(self.running.len())?;
        let id = self.running[index];
        let (team, router, delivered, cost) = self.requests[&id];
        let step_cost = if u.ratio(1, 3)? { cost - delivered } else { (cost - delivered) / 2.0 };
        self.delivered[team] += step_cost;
        self.requests.insert(id, (team, router, delivered + step_cost, cost));
        self.cell.routers[router].progress(RequestId(id), delivered + step_cost);
        if delivered + step_cost >= cost {
            self.cell.routers[router].finish(RequestId(id));
            self.running.swap_remove(index);
        }
        Ok(())
    }

    fn gap(&self) -> f64 {
        let most = self.delivered.iter().copied().fold(0.0, f64::max);
        most - self.delivered.iter().copied().fold(f64::INFINITY, f64::min)
    }
}

async fn check(u: &mut Unstructured<'_>) -> Result<()> {
    let slots = u.int_in_range(1..=6u32)?;
    let router_count = u.int_in_range(1..=5)?;
    let mut table = table();
    let mut free = table.classes["now"].clone();
    free.max_wait = Duration::from_secs(1 << 20);
    table.classes.insert("free".into(), free);
    let mut backlog = Backlog {
        cell: Cell::new(table, router_count, slots),
        next: 0,
        requests: BTreeMap::new(),
        running: Vec::new(),
        delivered: [0.0; TEAMS.len()],
    };
    for team in (0..TEAMS.len()).flat_map(|team| [team; 8]) {
        backlog.submit(team, u)?;
    }
    let bound = fair_queueing::gap_bound(&fair_queueing::GapLimits {
        largest_cost: LARGEST_COST,
        in_flight_count: slots,
        min_weight: 1.0,
        cell_count: 1,
        stale_service_cost: 0.0,
        lost_service_cost: 0.0,
    });
    while !u.is_empty() {
        backlog.step(u)?;
        time::advance(Duration::from_millis(u.int_in_range(0..=400)?)).await;
        assert!(backlog.gap() <= bound, "{} of {bound}", backlog.gap());
    }
    Ok(())
}

#[test]
fn the_gap_stays_within_its_bound_for_any_costs() {
    for seed in 0..SEED_COUNT {
        let mut bytes = vec![0; SCHEDULE_BYTES];
        rand::rngs::SmallRng::seed_from_u64(seed).fill_bytes(&mut bytes);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        // A schedule ends when its bytes are used up.
        let _ = runtime.block_on(check(&mut Unstructured::new(&bytes)));
    }
}

cases! {
    the_estimate_follows_a_flows_costs: {
        let mut pool = estimate::CostHistogram::pool(LARGEST_COST);
        let mut flow = estimate::CostHistogram::flow();
        for _ in 0..400 {
            flow.record(100.0);
            pool.record(1_000.0);
        }
        let new_request = estimate::expected_remaining(&flow, &pool, 0.0);
        assert!((150.0..250.0).contains(&new_request), "{new_request}");
        let new_flow = estimate::expected_remaining(&estimate::CostHistogram::flow(), &pool, 0.0);
        assert!((800.0..1_200.0).contains(&new_flow), "{new_flow}");
        // Above the flow's own costs the pool determines the estimate.
        let beyond = estimate::expected_remaining(&flow, &pool, 300.0);
        assert!((500.0..900.0).contains(&beyond), "{beyond}");
    },
    the_charge_in_advance_depends_on_running_requests_per_team: {
        assert_eq!(fair_queueing::pending_ratio(0, 0), 1.0);
        assert_eq!(fair_queueing::pending_ratio(320, 1_200), 1.0);
        assert!(fair_queueing::pending_ratio(320, 16) < 0.1);
    },
}
