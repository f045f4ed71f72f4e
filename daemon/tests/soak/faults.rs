//! What befalls the deployment: one fault after another at random times, most of which last and so
//! overlap.

use std::sync::Arc;
use std::time::{Duration, Instant};

use edge_kit::APPLY_BOUND;
use gentianhinge_standin::relay::{Direction, Faults, Relay};
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;

use super::{ROUTERS, World, edge_kit};

/// Time in which a router that is told to end does so, with what it has in progress.
const GRACE: Duration = Duration::from_secs(8);

/// Time without a fault at the end, in which what lasts is over.
const CALM_END: Duration = Duration::from_secs(3);

/// Plays faults until shortly before the end, then waits until all are over.
pub async fn run(world: &Arc<World>, mut random: SmallRng) {
    let mut lasting = tokio::task::JoinSet::new();
    let mut version = 1;
    let mut next_server = super::TARGETS;
    while Instant::now() + CALM_END < world.ends_at {
        tokio::time::sleep(Duration::from_millis(random.random_range(50..700))).await;
        let place = random.random_range(0..ROUTERS);
        let lasts = Duration::from_millis(random.random_range(200..1500));
        let world = world.clone();
        match random.random_range(0..12) {
            0 | 1 => drop(lasting.spawn(async move { stop(&world, place, lasts).await })),
            2 => drop(lasting.spawn(async move { kill(&world, place, lasts).await })),
            3 | 4 => drop(lasting.spawn(async move { end(&world, place).await })),
            5 => reload(&world, place),
            6 => {
                version += random.random_range(1..4);
                world.store.put_config(version);
            }
            7 => drop(lasting.spawn(async move { store_down(&world, lasts).await })),
            8 => {
                world.add_server(next_server).await;
                next_server += 1;
                lasting.spawn(async move { leave(&world).await });
            }
            fault => {
                let at = random.random_range(0..super::TARGETS);
                let delay_ms = random.random_range(50..400);
                let form =
                    if fault == 9 { random.random_range(0..2) } else { random.random_range(2..6) };
                lasting.spawn(async move { link(&world, at, form, delay_ms, lasts).await });
            }
        }
    }
    while lasting.join_next().await.is_some() {}
    // Callers go on until their end.
    tokio::time::sleep(world.ends_at.saturating_duration_since(Instant::now())).await;
}

fn signal(world: &World, place: usize, signal: Signal) {
    if let Some(router) = &world.places[place].lock().unwrap().router {
        router.process.signal(signal);
    }
}

/// Tells a router to read its settings again.
fn reload(world: &World, place: usize) {
    let is_loaded = world.places[place].lock().unwrap().is_loaded();
    if is_loaded {
        signal(world, place, Signal::HUP);
    }
}

/// Stops a router and lets it go on.
async fn stop(world: &World, place: usize, lasts: Duration) {
    {
        let mut entry = world.places[place].lock().unwrap();
        if entry.is_stopped || entry.router.is_none() {
            return;
        }
        entry.is_stopped = true;
        entry.disturbed_at = Some(Instant::now());
    }
    world.unsettle();
    signal(world, place, Signal::STOP);
    tokio::time::sleep(lasts).await;
    signal(world, place, Signal::CONT);
    let mut entry = world.places[place].lock().unwrap();
    entry.is_stopped = false;
    entry.disturbed_at = Some(Instant::now());
    drop(entry);
    world.unsettle();
}

/// Kills a router and starts another process in its place.
async fn kill(world: &World, place: usize, lasts: Duration) {
    {
        let mut entry = world.places[place].lock().unwrap();
        if entry.is_stopped || entry.router.take().is_none() {
            return;
        }
        entry.disturbed_at = Some(Instant::now());
    }
    world.unsettle();
    tokio::time::sleep(lasts).await;
    world.start_router(place).await;
    world.unsettle();
}

/// Asks a router to end, which cuts nothing off, and starts another in its place.
async fn end(world: &World, place: usize) {
    let Some(mut router) = ({
        let mut entry = world.places[place].lock().unwrap();
        // A stopped process can't end in time.
        if entry.is_stopped || !entry.is_loaded() { None } else { entry.router.take() }
    }) else {
        return;
    };
    router.process.signal(Signal::TERM);
    let began = Instant::now();
    let status = loop {
        if let Some(status) = router.process.wait_for_exit(Duration::from_millis(1)) {
            break Some(status);
        }
        if began.elapsed() > GRACE {
            break None;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    if status.is_none_or(|status| !status.success()) {
        world.wrong(format!("r{place} ended with {status:?} within {GRACE:?} of SIGTERM"));
    }
    world.start_router(place).await;
    world.unsettle();
}

async fn store_down(world: &World, lasts: Duration) {
    world.store.set_down(true);
    world.unsettle();
    tokio::time::sleep(lasts).await;
    world.store.set_down(false);
    world.unsettle();
}

/// Takes the oldest target out: it gets nothing more once its leaving is in force.
async fn leave(world: &World) {
    let (id, addr, began) = {
        let mut servers = world.servers.lock().unwrap();
        let Some(server) = servers.iter_mut().find(|server| server.leaving_at.is_none()) else {
            return;
        };
        let began = Instant::now();
        server.leaving_at = Some(began);
        (server.target.id.clone(), server.relay.addr(), began)
    };
    world.store.put_target(&id, addr, "draining");
    let arrivals = || {
        let servers = world.servers.lock().unwrap();
        servers.iter().find(|server| server.target.id == id).map_or(0, |s| s.target.seen().len())
    };
    tokio::time::sleep(APPLY_BOUND).await;
    let before = arrivals();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = arrivals();
    let is_settled = *world.unsettled_at.lock().unwrap() < began;
    if is_settled && after > before {
        world.wrong(format!("{id} got {} requests after its leaving was in force", after - before));
    }
}

/// Breaks the link to a target.
async fn link(world: &World, at: usize, form: u32, delay_ms: u64, lasts: Duration) {
    let relay = {
        let servers = world.servers.lock().unwrap();
        servers[servers.len() - 1 - at % servers.len()].relay.relay().clone()
    };
    let held = Direction { silent: false, delay_ms };
    let silent = Direction { silent: true, delay_ms: 0 };
    match form {
        0 => return relay.cut_open(),
        1 => return relay.silence_open(),
        2 => set_faults(&relay, Faults { up: held.clone(), down: held, ..Faults::default() }),
        3 => set_faults(&relay, Faults { refuse: true, ..Faults::default() }),
        4 => set_faults(&relay, Faults { down: silent, ..Faults::default() }),
        _ => set_faults(&relay, Faults { drop_reply_count: 2, ..Faults::default() }),
    }
    tokio::time::sleep(lasts).await;
    set_faults(&relay, Faults::default());
}

/// Replaces the faults of a link, which may be another fault's.
fn set_faults(relay: &Relay, faults: Faults) {
    if relay.faults().down.silent {
        // No connection delivers later bytes once some are lost.
        relay.cut_open();
    }
    relay.set_faults(faults);
}
