//! Random schedules of the scenario language's actions, checked by the same oracle.
//!
//! A schedule has a fault phase with random faults and load, and a recovery phase: cuts heal, all
//! processes and targets return, and each team is backlogged at each router. After a settling time,
//! no slot may stay idle and no team may starve. The oracle's invariants apply to both phases.

use std::thread;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use crate::run;
use crate::script::{
    Action, ClassSetup, Expect, Indices, Load, Nodes, Script, Setup, Step, TeamSetup,
};
use crate::target::TOKEN_TIME;

/// Number of random bytes that a schedule is generated from.
const ENTROPY_BYTES: usize = 600;
/// Maximum number of random actions in a schedule.
const MAX_ACTION_COUNT: usize = 14;
/// Maximum number of failed schedules that are shrunk and reported with their script.
const MAX_KEPT_FAILURES: usize = 8;
/// Time between the end of the faults and the measurement window.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Length of the measurement window in the recovery phase.
const RECOVERY_MEASURE_TIME: Duration = Duration::from_secs(15);
/// Maximum cost of a request in tokens.
const MAX_COST_TOKENS: u32 = 40;
/// Maximum weight of a team.
const MAX_WEIGHT: u32 = 2;

/// One failed schedule.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Seed of the schedule.
    pub seed: u64,
    /// Failures of the shrunk script.
    pub reasons: Vec<String>,
    /// The schedule without the actions that the failure doesn't need.
    pub script: Script,
}

/// Totals over many schedules.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of schedules run.
    pub schedule_count: u64,
    /// Number of schedules that failed.
    pub failed_count: u64,
    /// Failed schedules with the lowest seeds, at most `MAX_KEPT_FAILURES`.
    pub failures: Vec<Failure>,
    /// Requests that callers sent.
    pub request_count: usize,
    /// Sum of the simulated time of all runs.
    pub simulated_time: Duration,
}

/// Generates the schedule of a seed; the same seed gives the same schedule.
pub fn schedule(seed: u64) -> Script {
    let mut bytes = vec![0; ENTROPY_BYTES];
    SmallRng::seed_from_u64(seed).fill_bytes(&mut bytes);
    let script = arbitrary_script(&mut Unstructured::new(&bytes));
    script.expect("generation can't fail: missing bytes read as zeros")
}

/// Runs the schedules of `count` consecutive seeds from `first_seed` on.
///
/// `thread_count` is clamped to 1 to 64.
pub fn run_many(first_seed: u64, count: u64, thread_count: u64) -> Summary {
    let thread_count = thread_count.clamp(1, 64);
    let summaries = thread::scope(|scope| {
        let run = |start: u64| {
            let seeds = (start..count).step_by(thread_count as usize);
            run_seeds(seeds.map(|i| first_seed.wrapping_add(i)))
        };
        let threads = (0..thread_count).map(|start| scope.spawn(move || run(start)));
        let threads = threads.collect::<Vec<_>>();
        let joined = threads.into_iter().map(|thread| thread.join());
        joined.map(|summary| summary.expect("a schedule panicked")).collect::<Vec<_>>()
    });
    let mut total = Summary::default();
    for summary in summaries {
        total.schedule_count += summary.schedule_count;
        total.failed_count += summary.failed_count;
        total.request_count += summary.request_count;
        total.simulated_time += summary.simulated_time;
        total.failures.extend(summary.failures);
    }
    total.failures.sort_by_key(|failure| failure.seed);
    total.failures.truncate(MAX_KEPT_FAILURES);
    total
}

fn run_seeds(seeds: impl Iterator<Item = u64>) -> Summary {
    let mut summary = Summary::default();
    for seed in seeds {
        let script = schedule(seed);
        let outcome = run::run(&script);
        summary.schedule_count += 1;
        summary.request_count += outcome.request_count;
        summary.simulated_time += outcome.simulated_time;
        if outcome.failures.is_empty() {
            continue;
        }
        summary.failed_count += 1;
        if summary.failures.len() < MAX_KEPT_FAILURES {
            let script = shrink(&script);
            summary.failures.push(Failure { seed, reasons: run::run(&script).failures, script });
        }
    }
    summary
}

/// Removes each action of the fault phase without which the schedule still fails.
pub fn shrink(script: &Script) -> Script {
    let is_heal = |step: &Step| step.action == Action::Heal;
    let recovery_step_count = script.steps.iter().rev().position(is_heal).unwrap_or(0);
    let mut smallest = script.clone();
    let mut index = 0;
    while index + recovery_step_count + 1 < smallest.steps.len() {
        let mut shorter = smallest.clone();
        shorter.steps.remove(index);
        if run::run(&shorter).failures.is_empty() {
            index += 1;
        } else {
            smallest = shorter;
        }
    }
    smallest
}

/// Generates a schedule from random bytes.
///
/// # Errors
///
/// Never fails: missing bytes read as zeros. The `Result` is for use with `arbtest`.
pub fn arbitrary_script(u: &mut Unstructured<'_>) -> Result<Script> {
    let setup = arbitrary_setup(u)?;
    let mut steps = Vec::new();
    for team in 0..setup.teams.len() {
        let load = arbitrary_load(u, &setup, team, 12)?;
        push(&mut steps, Action::Backlog(load));
    }
    push(&mut steps, Action::Run(Duration::from_millis(u.int_in_range(0..=4000)?)));
    for _ in 0..u.int_in_range(1..=MAX_ACTION_COUNT)? {
        let action = arbitrary_action(u, &setup)?;
        push(&mut steps, action);
        let pause_ms = if u.ratio(1, 3)? { 0 } else { u.int_in_range(1..=2500)? };
        push(&mut steps, Action::Run(Duration::from_millis(pause_ms)));
    }
    push_recovery(&setup, &mut steps);
    Ok(Script { setup, steps })
}

fn push(steps: &mut Vec<Step>, action: Action) {
    steps.push(Step { line: 0, at: None, action });
}

/// Appends the recovery phase, in which the fleet must return to normal service.
fn push_recovery(setup: &Setup, steps: &mut Vec<Step>) {
    push(steps, Action::Heal);
    push(steps, Action::Run(Duration::from_secs(4)));
    push(steps, Action::Restart(Nodes::Dead));
    for target in 0..setup.target_count {
        push(steps, Action::Return(target));
    }
    for team in &setup.teams {
        let routers = (0..setup.router_count).collect();
        let load = Load { team: team.name.clone(), class: None, routers, count: 6 };
        push(steps, Action::Backlog(load));
    }
    let checks = [
        Expect::IdleWhileWaiting(Duration::from_millis(50)),
        Expect::ServedWithin(longest_unserved(setup)),
        Expect::Overload { max: 0 },
    ];
    push(steps, Action::Run(SETTLE_TIME));
    push(steps, Action::Measure);
    push(steps, Action::Run(RECOVERY_MEASURE_TIME));
    checks.into_iter().for_each(|check| push(steps, Action::Expect(check)));
}

/// Longest time that a waiting team may go without a running request while all teams wait.
///
/// With few slots, a team may be ahead of each other team by the largest request plus the requests
/// in all slots. It is served again once the others have received as much, by weight.
fn longest_unserved(setup: &Setup) -> Duration {
    let largest = TOKEN_TIME * MAX_COST_TOKENS;
    let slot_count = setup.target_count as u32 * (setup.slots + setup.lookahead_slots);
    let serving_count = setup.target_count as u32 * setup.slots;
    let ahead = (slot_count + 1) * MAX_WEIGHT * setup.teams.len() as u32;
    largest * ahead / serving_count + largest
}

fn arbitrary_setup(u: &mut Unstructured<'_>) -> Result<Setup> {
    let team_count = u.int_in_range(1..=4)?;
    let mut teams = Vec::new();
    for i in 0..team_count {
        teams.push(TeamSetup {
            name: format!("team{}", i + 1),
            weight: f64::from(u.int_in_range(1..=MAX_WEIGHT)?),
            min_cost_tokens: 2,
            max_cost_tokens: u.int_in_range(4..=MAX_COST_TOKENS)?,
            max_waiting_requests: u.int_in_range(15..=60)?,
        });
    }
    let patient_wait = Duration::from_millis(u.int_in_range(500..=8000)?);
    Ok(Setup {
        seed: u.int_in_range(0..=u64::from(u32::MAX))?,
        router_count: u.int_in_range(1..=6)?,
        target_count: u.int_in_range(1..=4)?,
        slots: u.int_in_range(1..=4)?,
        lookahead_slots: u.int_in_range(0..=1)?,
        delay: Duration::from_millis(u.int_in_range(1..=5)?),
        report_interval: Duration::from_millis(u.int_in_range(200..=1000)?),
        teams,
        classes: vec![
            ClassSetup {
                name: "now".to_owned(),
                price_ratio: 1.0,
                max_wait: Duration::from_secs(60),
            },
            ClassSetup { name: "patient".to_owned(), price_ratio: 0.5, max_wait: patient_wait },
        ],
    })
}

fn arbitrary_load(
    u: &mut Unstructured<'_>,
    setup: &Setup,
    team: usize,
    max_count: u32,
) -> Result<Load> {
    let class = u.choose(&[None, Some("patient".to_owned())])?.clone();
    let routers = arbitrary_routers(u, setup)?;
    let count = u.int_in_range(0..=max_count)?;
    Ok(Load { team: setup.teams[team].name.clone(), class, routers, count })
}

fn arbitrary_routers(u: &mut Unstructured<'_>, setup: &Setup) -> Result<Indices> {
    let mask = u.int_in_range(1..=(1_u32 << setup.router_count) - 1)?;
    Ok((0..setup.router_count).filter(|index| mask & (1 << index) != 0).collect())
}

fn arbitrary_action(u: &mut Unstructured<'_>, setup: &Setup) -> Result<Action> {
    let all = (0..setup.router_count).collect::<Indices>();
    let team = u.choose_index(setup.teams.len())?;
    let target = u.choose_index(setup.target_count)?;
    let nodes = arbitrary_routers(u, setup)?;
    let one = Nodes::Routers(vec![u.choose_index(setup.router_count)?]);
    let one = if u.ratio(1, 3)? { Nodes::Dispatcher } else { one };
    Ok(match u.int_in_range(0..=15)? {
        0 => {
            let others = all.into_iter().filter(|index| !nodes.contains(index));
            let others = others.collect::<Indices>();
            if others.is_empty() { Action::Heal } else { Action::Cut(nodes, others) }
        }
        1 => Action::Heal,
        2 | 3 => Action::Freeze(one, Duration::from_millis(u.int_in_range(50..=5000)?)),
        4 => {
            Action::Freeze(Nodes::Routers(nodes), Duration::from_millis(u.int_in_range(50..=3000)?))
        }
        5 => Action::Kill(one),
        6 => Action::Restart(one),
        7 => Action::Restart(Nodes::Routers(nodes)),
        8 => Action::Drain(one),
        9 => Action::Leave(target),
        10 => Action::Crash(target),
        11 => Action::Return(target),
        12 => Action::Edit {
            team: setup.teams[team].name.clone(),
            weight: f64::from(u.int_in_range(1..=MAX_WEIGHT)?),
        },
        13 => Action::Backlog(arbitrary_load(u, setup, team, 12)?),
        14 => Action::Flood {
            load: arbitrary_load(u, setup, team, 40)?,
            duration: Duration::from_millis(u.int_in_range(100..=2000)?),
        },
        _ => Action::Submit { load: arbitrary_load(u, setup, team, 10)?, once: u.ratio(1, 2)? },
    })
}
