//! Targets that state a limit on the requests they take from all routers together.

mod edge_kit;
mod support;

use std::time::{Duration, Instant};

use edge_kit::{Behavior, Router, Store, Target};

/// Window in which a target counts requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Time from which a stated limit must be kept.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Interval between two requests of the callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Two routers with three targets, of which the first states a limit.
struct Fleet {
    targets: Vec<Target>,
    routers: [Router; 2],
    _store: Store,
}

async fn fleet(limit: &str) -> Fleet {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let mut targets = Vec::new();
    for i in 0..3 {
        let (target, addr) = Target::start(&format!("t{i}"), Behavior::Serve).await;
        store.put_target(&target.id, addr, "ready");
        targets.push(target);
    }
    targets[0].state(&[("server-limit", limit)]);
    let routers = ["r1", "r2"].map(|name| Router::start_as(name, store_addr, 4096));
    for router in &routers {
        router.wait_for_readiness(200).await;
    }
    Fleet { targets, routers, _store: store }
}

impl Fleet {
    /// Sends requests to both routers in turn; returns their number, and how many were served.
    async fn send_for(&self, time: Duration, prefix: &str) -> (usize, usize) {
        let ends_at = Instant::now() + time;
        let (mut count, mut served_count) = (0, 0);
        while Instant::now() < ends_at {
            let request = edge_kit::request("/look/", &format!("{prefix}{count}"), &[]);
            let response = edge_kit::call(&self.routers[count % 2], request).await;
            served_count += usize::from(response.status == 200);
            count += 1;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        (count, served_count)
    }
}

/// Most requests that a target received within [`WINDOW`] from `from` on.
fn most_in_window(target: &Target, from: Instant) -> usize {
    let arrivals = target.arrivals();
    let arrivals = arrivals.iter().filter(|at| **at >= from).collect::<Vec<_>>();
    let in_window = |start: &Instant| {
        arrivals.iter().filter(|at| ***at >= *start && ***at < *start + WINDOW).count()
    };
    arrivals.iter().map(|at| in_window(at)).max().unwrap_or(0)
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    a_target_that_states_a_limit_gets_no_more_from_all_routers_together: {
        let fleet = fleet("2").await;
        let limited_from = Instant::now() + APPLY_TIME;
        let (count, served_count) = fleet.send_for(APPLY_TIME + WINDOW * 2, "a").await;
        assert_eq!(served_count, count);
        let allowed = 1.5 * 2.0 * WINDOW.as_secs_f64() + 5.0;
        let most = most_in_window(&fleet.targets[0], limited_from);
        assert!((most as f64) <= allowed, "{most} requests in {WINDOW:?}");
        assert!(most > 0, "a target with a limit still gets requests");
    },
}
