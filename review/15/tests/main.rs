//! Case 15 (an entry of KNOWN-RED.txt; the script of the second review, at commit 1a16e1f): the open channels of all routers to the store go silent, and a server leaves without having
//! reported `draining`.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;

#[path = "../../stand-ins-2/tests/fleet.rs"]
mod fleet;

use fleet::{Arrivals, Client, Fleet, Record, Server, Store};

/// Clients at each router.
const CLIENT_COUNT: usize = 3;
/// Pause of a client between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Time limit of a lookup.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time for which requests may have been under way.
const MARGIN: Duration = Duration::from_millis(50);
/// Time from the silence of the channels to the removal of the server's entry.
const LEAVES_AFTER: Duration = Duration::from_millis(500);

fn main() {
    fleet::main_of(run);
}

fn run(record: &Record) -> Result<(bool, String), String> {
    let store = Store::start(record);
    let arrivals = Arrivals::default();
    fleet::put_config(&store, 800, 100);
    let work = Duration::from_millis(15);
    let servers = (0..3).map(|number| {
        // Servers don't write at the same time.
        thread::sleep(fleet::HEARTBEAT / 3);
        Server::start(number, work, &store, &arrivals)
    });
    let servers = servers.collect::<Vec<_>>();
    let mut fleet = Fleet::start(2, &store)?;
    thread::sleep(Duration::from_secs(2));
    // A rolling restart, long before the disruption and also without it.
    for number in 0..2 {
        fleet.restart(number)?;
        thread::sleep(Duration::from_secs(2));
    }
    let starts_at = record.now() + Duration::from_secs(4);
    record.sleep_until(starts_at);
    let silent_at = starts_at + Duration::from_secs(6);
    let ends_at = silent_at + Duration::from_secs(10);
    let (statuses, acked_at) = (Mutex::new(Vec::new()), Mutex::new(Duration::ZERO));
    thread::scope(|scope| {
        for (i, router) in fleet.routers.iter().enumerate() {
            for number in 0..CLIENT_COUNT {
                let mut client = Client::new(format!("c{i}{number}"), router.front, record);
                let statuses = &statuses;
                scope.spawn(move || {
                    while record.now() < ends_at {
                        let (_, status) = client.call("GET", "stock", DEADLINE);
                        fleet::lock(statuses).push(status);
                        thread::sleep(PAUSE);
                    }
                });
            }
        }
        record.sleep_until(silent_at);
        if fleet::has_trouble() {
            store.silence_connections();
        }
        record.sleep_until(silent_at + LEAVES_AFTER);
        *fleet::lock(&acked_at) = servers[0].leave();
    });
    drop(fleet);
    let acked_at = *fleet::lock(&acked_at);
    // Silent channels count as a reset of the channels of all machines: these are in touch again once
    // `stable_window_ms` has passed.
    let in_touch_from = silent_at + fleet::STABLE_WINDOW + MARGIN;
    let late_from = (acked_at + fleet::DRAIN).max(in_touch_from);
    let arrivals = fleet::lock(&arrivals);
    let at_server = arrivals.iter().filter(|it| it.server == servers[0].id && it.has_run);
    let before = at_server.clone().filter(|it| it.at < acked_at).count();
    let late = at_server.filter(|it| it.at > late_from).collect::<Vec<_>>();
    for arrival in &late {
        let after = (arrival.at - acked_at).as_millis();
        let since = (arrival.at - silent_at).as_millis();
        record.add(format!(
            "DRAIN: {} reached i-0 {after} ms after the ack, {since} ms after the silence began",
            arrival.attempt
        ));
    }
    let statuses = fleet::lock(&statuses);
    let served = statuses.iter().filter(|status| **status == 200).count();
    let text = format!(
        "{} lookups reached i-0 more than 2,000 ms after the ack of its leaving, from routers in \
         touch; {before} before the ack; {} sent, {served} served",
        late.len(),
        statuses.len()
    );
    if served * 10 < statuses.len() * 9 || before == 0 {
        return Err(format!("the stand-ins or routers don't work: {text}"));
    }
    Ok((!late.is_empty(), text))
}
