//! Bandwidth and CPU time of membership by the size of the fleet.

use std::cell;
use std::rc;
use std::time::{Duration, Instant};

use gentianhinge_wire::datagram;

#[path = "../../core/tests/network/mod.rs"]
mod network;

/// Bandwidth available for all control messages of a router.
const CONTROL_BYTES_PER_S: f64 = 3_000.0;

/// Time for a fleet that starts all at once to converge, and for the join traffic to end.
const JOIN_DURATION: Duration = Duration::from_secs(240);

/// Interval of configuration changes: 9,800 per day.
const EDIT_INTERVAL: Duration = Duration::from_millis(8_816);

/// Sizes of the fleet. The largest is omitted in unoptimized builds, where it takes too long.
#[cfg(debug_assertions)]
const ROUTER_COUNTS: [usize; 3] = [8, 32, 100];
#[cfg(not(debug_assertions))]
const ROUTER_COUNTS: [usize; 4] = [8, 32, 100, 370];

/// Mean load per router.
struct Load {
    sent_bytes_per_s: f64,
    datagrams_per_s: f64,
    core_ratio: f64,
}

fn measure(count: usize, edits: bool) -> Load {
    let mut network = network::Network::new(count, 1);
    network.run(JOIN_DURATION);
    assert!((0..count).all(|i| network.sees(i, 0..count)));
    let bytes = rc::Rc::new(cell::Cell::new((0u64, 0u64)));
    let (sum, sealer) = (bytes.clone(), datagram::Sealer::new("secret"));
    let cost = rc::Rc::new(cell::Cell::new(Duration::ZERO));
    let codec_time = cost.clone();
    network.on_send = Box::new(move |_, message| {
        let start = Instant::now();
        let sealed = sealer.seal(message);
        assert!(sealed.len() <= datagram::MAX_DATAGRAM_BYTES);
        sealer.open(&sealed).unwrap();
        codec_time.set(codec_time.get() + start.elapsed());
        let (total, datagrams) = sum.get();
        sum.set((total + sealed.len() as u64, datagrams + 1));
    });
    let (rounds, start) = (3, Instant::now());
    for round in 0..rounds {
        if edits {
            (0..count).for_each(|i| network.machine(i).set_applied_offset(round + 1));
        }
        network.run(EDIT_INTERVAL);
    }
    let simulated_s = EDIT_INTERVAL.as_secs_f64() * rounds as f64 * count as f64;
    let (total, datagrams) = bytes.get();
    Load {
        sent_bytes_per_s: total as f64 / simulated_s,
        datagrams_per_s: datagrams as f64 / simulated_s,
        core_ratio: start.elapsed().as_secs_f64() / simulated_s,
    }
}

fn check(edits: bool) {
    let loads = ROUTER_COUNTS.map(|count| (count, measure(count, edits)));
    for (count, load) in &loads {
        println!(
            "routers {count} edits {edits} sent_bytes_per_s {:.0} datagrams_per_s {:.2} core_percent {:.3}",
            load.sent_bytes_per_s,
            load.datagrams_per_s,
            load.core_ratio * 100.0
        );
        assert!(load.sent_bytes_per_s < CONTROL_BYTES_PER_S);
    }
    // Per router, the largest fleet may send at most 10 % more bytes than the second smallest.
    let (small, large) = (&loads[1].1, &loads[loads.len() - 1].1);
    assert!(large.sent_bytes_per_s <= small.sent_bytes_per_s * 1.1);
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(start_paused = true)]
        async fn $name() { $body }
    )* };
}

cases! {
    bandwidth_per_router_is_constant_in_an_idle_fleet: check(false),
    bandwidth_per_router_is_constant_under_configuration_changes: check(true),
}
