//! Faults of the fleet, injected at random times. Most of them last for some time and overlap.

use std::sync::Arc;
use std::time::{Duration, Instant};

use edge_kit::{APPLY_BOUND, Behavior};
use gentianhinge_standin::relay::{DirectionFaults, Faults, Relay};
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use super::{Fleet, ROUTER_COUNT, edge_kit};

/// Time within which a router must exit after `SIGTERM`, including requests in progress.
const GRACE: Duration = Duration::from_secs(8);

/// Time without new faults at the end, in which the running ones end.
const QUIET_END_TIME: Duration = Duration::from_secs(3);

/// Injects faults until shortly before the end, then waits until all have ended.
pub async fn run(fleet: &Arc<Fleet>, mut rng: SmallRng) {
    let mut running_faults = tokio::task::JoinSet::new();
    let mut version = 1;
    while Instant::now() + QUIET_END_TIME < fleet.ends_at {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..700))).await;
        let slot = rng.random_range(0..ROUTER_COUNT);
        let duration = Duration::from_millis(rng.random_range(200..1500));
        let fleet = fleet.clone();
        match rng.random_range(0..17) {
            0 | 1 => {
                drop(running_faults.spawn(async move { suspend(&fleet, slot, duration).await }))
            }
            2 => drop(running_faults.spawn(async move { kill(&fleet, slot, duration).await })),
            3 | 4 => drop(running_faults.spawn(async move { terminate(&fleet, slot).await })),
            5 => reload(&fleet, slot),
            6 => {
                version += rng.random_range(1..4);
                fleet.put_config(version);
            }
            7 => drop(running_faults.spawn(async move { store_down(&fleet, duration).await })),
            8 => {
                fleet.add_target(fleet.next_number()).await;
                running_faults.spawn(async move { drain_target(&fleet).await });
            }
            12 => drop(running_faults.spawn(async move { restore_store(&fleet, duration).await })),
            fault @ 13..16 => {
                let index = rng.random_range(0..super::TARGET_COUNT);
                let duration = Duration::from_millis(rng.random_range(1_000..4_500));
                let limit_per_s = f64::from(rng.random_range(1..9_u32));
                let statement = match fault {
                    13 => Statement::Leaving,
                    14 => Statement::Hold,
                    _ => Statement::Limit(limit_per_s),
                };
                running_faults
                    .spawn(async move { state(&fleet, index, statement, duration).await });
            }
            fault => {
                let index = rng.random_range(0..super::TARGET_COUNT);
                let delay_ms = rng.random_range(50..400);
                let kind = if fault == 9 { rng.random_range(0..2) } else { rng.random_range(2..6) };
                running_faults.spawn(async move {
                    break_link(&fleet, index, kind, delay_ms, duration).await
                });
            }
        }
    }
    while running_faults.join_next().await.is_some() {}
    // Callers run until the end.
    tokio::time::sleep(fleet.ends_at.saturating_duration_since(Instant::now())).await;
}

/// What a target states in its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Statement {
    /// It is leaving.
    Leaving,
    /// It refuses requests and wants none for a time.
    Hold,
    /// It takes so many requests per second from all routers together.
    Limit(f64),
}

/// Makes a target state something, and checks what it gets while nothing else is disturbed. A target
/// that said that it is leaving goes on saying so, and another one takes its place.
async fn state(fleet: &Arc<Fleet>, index: usize, statement: Statement, duration: Duration) {
    /// Time from which a stated limit must be kept.
    const LIMIT_TIME: Duration = Duration::from_secs(3);
    /// Time from which routers must keep to a hold.
    const HOLD_TIME: Duration = Duration::from_millis(500);
    let Some(target) = fleet.take_silent_target(index) else { return };
    let started_at = Instant::now();
    match statement {
        Statement::Leaving => {
            target.state(&[("server-leaving", "1")]);
            fleet.add_target(fleet.next_number()).await;
            tokio::time::sleep(APPLY_BOUND).await;
            let was_heard = target.arrivals_from(started_at, started_at + APPLY_BOUND / 2) > 0;
            let count = target.arrivals_in(Duration::from_secs(1)).await;
            if was_heard && fleet.is_undisturbed_for(started_at) && count > 0 {
                fleet.add_violation(format!("{} got {count} requests after it left", target.id));
            }
            return;
        }
        Statement::Hold => {
            let seconds = duration.as_secs_f64().to_string();
            let behavior = target.set_behavior(Behavior::Refuse);
            target.state(&[("retry-after", &seconds)]);
            tokio::time::sleep(duration).await;
            target.set_behavior(behavior);
            // Each router hears of the hold by a refusal of its own, and may send two requests more.
            let count = target.arrivals_from(started_at + HOLD_TIME, started_at + duration);
            if fleet.is_undisturbed_for(started_at) && count > 3 * ROUTER_COUNT {
                fleet.add_violation(format!("{} got {count} requests in its hold", target.id));
            }
        }
        Statement::Limit(limit_per_s) => {
            target.state(&[("server-limit", &limit_per_s.to_string())]);
            tokio::time::sleep(LIMIT_TIME).await;
            let count = target.arrivals_in(duration).await as f64;
            let allowed = 1.5 * limit_per_s * duration.as_secs_f64().max(4.0) + 5.0;
            if fleet.is_undisturbed_for(started_at) && count > allowed {
                fleet.add_violation(format!(
                    "{} got {count} requests in {duration:?} with a limit of {limit_per_s}",
                    target.id
                ));
            }
        }
    }
    target.state(&[]);
    fleet.give_back(&target.id);
}

/// The store comes back from a copy; what the operator and the targets wrote since is written again.
async fn restore_store(fleet: &Fleet, duration: Duration) {
    let backup = fleet.store.backup();
    tokio::time::sleep(duration).await;
    fleet.mark_disrupted();
    fleet.store.restore(backup);
    fleet.write_again();
    fleet.mark_disrupted();
}

fn send_signal(fleet: &Fleet, slot: usize, signal: Signal) {
    if let Some(router) = &fleet.router_slots[slot].lock().unwrap().router {
        router.process.signal(signal);
    }
}

/// Makes a router reload its settings.
fn reload(fleet: &Fleet, slot: usize) {
    let has_started = fleet.router_slots[slot].lock().unwrap().has_started();
    if has_started {
        send_signal(fleet, slot, Signal::HUP);
    }
}

/// Stops a router's process for a time.
async fn suspend(fleet: &Fleet, slot: usize, duration: Duration) {
    {
        let mut entry = fleet.router_slots[slot].lock().unwrap();
        if entry.is_stopped || entry.router.is_none() {
            return;
        }
        entry.is_stopped = true;
        entry.disrupted_at = Some(Instant::now());
    }
    fleet.mark_disrupted();
    send_signal(fleet, slot, Signal::STOP);
    tokio::time::sleep(duration).await;
    send_signal(fleet, slot, Signal::CONT);
    let mut entry = fleet.router_slots[slot].lock().unwrap();
    entry.is_stopped = false;
    entry.disrupted_at = Some(Instant::now());
    drop(entry);
    fleet.mark_disrupted();
}

/// Kills a router's process and starts another one after a time.
async fn kill(fleet: &Fleet, slot: usize, duration: Duration) {
    {
        let mut entry = fleet.router_slots[slot].lock().unwrap();
        if entry.is_stopped || entry.router.take().is_none() {
            return;
        }
        entry.disrupted_at = Some(Instant::now());
    }
    fleet.mark_disrupted();
    tokio::time::sleep(duration).await;
    fleet.start_router(slot).await;
    fleet.mark_disrupted();
}

/// Terminates a router gracefully and starts another process in its place.
async fn terminate(fleet: &Fleet, slot: usize) {
    let Some(mut router) = ({
        let mut entry = fleet.router_slots[slot].lock().unwrap();
        // A stopped process can't handle `SIGTERM` in time.
        if entry.is_stopped || !entry.has_started() { None } else { entry.router.take() }
    }) else {
        return;
    };
    router.process.signal(Signal::TERM);
    let started_at = Instant::now();
    let status = loop {
        if let Some(status) = router.process.wait_for_exit(Duration::from_millis(1)) {
            break Some(status);
        }
        if started_at.elapsed() > GRACE {
            break None;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    if status.is_none_or(|status| !status.success()) {
        fleet.add_violation(format!("r{slot} exited with {status:?} within {GRACE:?} of SIGTERM"));
    }
    fleet.start_router(slot).await;
    fleet.mark_disrupted();
}

async fn store_down(fleet: &Fleet, duration: Duration) {
    fleet.store.set_down(true);
    fleet.mark_disrupted();
    tokio::time::sleep(duration).await;
    fleet.store.set_down(false);
    fleet.mark_disrupted();
}

/// Drains the oldest target, and checks that it gets no requests once that is in force.
async fn drain_target(fleet: &Fleet) {
    let (id, addr, started_at) = {
        let mut targets = fleet.targets.lock().unwrap();
        let is_free =
            |target: &&mut super::RelayedTarget| target.leaving_at.is_none() && !target.is_stating;
        let Some(target) = targets.iter_mut().find(is_free) else {
            return;
        };
        let started_at = Instant::now();
        target.leaving_at = Some(started_at);
        (target.target.id.clone(), target.relay.addr(), started_at)
    };
    fleet.store.put_target(&id, addr, "draining");
    let arrivals = || {
        let targets = fleet.targets.lock().unwrap();
        targets
            .iter()
            .find(|target| target.target.id == id)
            .map_or(0, |s| s.target.requests().len())
    };
    tokio::time::sleep(APPLY_BOUND).await;
    let before = arrivals();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = arrivals();
    let is_undisturbed = *fleet.disrupted_at.lock().unwrap() < started_at;
    if is_undisturbed && after > before {
        fleet.add_violation(format!(
            "{id} got {} requests after its draining state was in force",
            after - before
        ));
    }
}

/// Breaks the link to a target in one of six ways.
async fn break_link(fleet: &Fleet, index: usize, kind: u32, delay_ms: u64, duration: Duration) {
    let relay = {
        let targets = fleet.targets.lock().unwrap();
        targets[targets.len() - 1 - index % targets.len()].relay.relay().clone()
    };
    let delayed = DirectionFaults { silent: false, delay_ms };
    let silent = DirectionFaults { silent: true, delay_ms: 0 };
    match kind {
        0 => return relay.cut_open(),
        1 => return relay.silence_open(),
        2 => set_faults(&relay, Faults { up: delayed.clone(), down: delayed, ..Faults::default() }),
        3 => set_faults(&relay, Faults { refuse: true, ..Faults::default() }),
        4 => set_faults(&relay, Faults { down: silent, ..Faults::default() }),
        _ => set_faults(&relay, Faults { drop_reply_count: 2, ..Faults::default() }),
    }
    tokio::time::sleep(duration).await;
    set_faults(&relay, Faults::default());
}

/// Replaces the faults of a link, including those set by an overlapping fault.
fn set_faults(relay: &Relay, faults: Faults) {
    if relay.faults().down.silent {
        // A connection that has lost bytes must not deliver later ones.
        relay.cut_open();
    }
    relay.set_faults(faults);
}
