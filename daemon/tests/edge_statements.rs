//! Targets that say in their responses that they are leaving, or that they want no requests for a
//! time.

mod edge_kit;
mod support;

use std::time::{Duration, Instant};

use edge_kit::{APPLY_BOUND, Behavior, Router, Store, Target};
use futures_util::future;

/// Two routers with targets `t0` and `t1`, or only `t0`.
struct Fleet {
    targets: Vec<Target>,
    addrs: Vec<std::net::SocketAddr>,
    routers: [Router; 2],
    store: Store,
}

async fn fleet(target_count: usize) -> Fleet {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let (mut targets, mut addrs) = (Vec::new(), Vec::new());
    for i in 0..target_count {
        let (target, addr) = Target::start(&format!("t{i}"), Behavior::Serve).await;
        store.put_target(&target.id, addr, "ready");
        targets.push(target);
        addrs.push(addr);
    }
    let routers = ["r1", "r2"].map(|name| Router::start_as(name, store_addr, 4096));
    for router in &routers {
        router.wait_for_readiness(200).await;
    }
    Fleet { targets, addrs, routers, store }
}

impl Fleet {
    /// Sends requests to a router one after the other; returns their statuses.
    async fn send(&self, router: usize, path: &str, count: usize, prefix: &str) -> Vec<u16> {
        let mut statuses = Vec::new();
        for i in 0..count {
            let request = edge_kit::request(path, &format!("{prefix}{i}"), &[]);
            statuses.push(edge_kit::call(&self.routers[router], request).await.status);
        }
        statuses
    }

    /// Requests that the first target received since `since`.
    fn arrivals_since(&self, since: Instant) -> usize {
        self.targets[0].arrivals().iter().filter(|at| **at >= since).count()
    }
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

/// Defines tests of responses in which a target says that it is leaving: the path of the requests
/// and the behavior of the target.
macro_rules! leaving {
    ($($name:ident: $path:literal, $behavior:expr;)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let fleet = fleet(2).await;
            fleet.targets[0].set_behavior($behavior);
            fleet.targets[0].state(&[("server-leaving", "1")]);
            fleet.send(0, $path, 20, "a").await;
            assert!(fleet.arrivals_since(Instant::now() - Duration::from_secs(60)) > 0);
            tokio::time::sleep(APPLY_BOUND).await;
            // The store doesn't know, and writes again that the target is ready.
            fleet.store.put_target("t0", fleet.addrs[0], "ready");
            let since = Instant::now();
            fleet.send(0, $path, 20, "b").await;
            fleet.send(1, $path, 20, "c").await;
            assert_eq!(fleet.arrivals_since(since), 0);
        }
    )* };
}

leaving! {
    a_target_that_says_in_a_success_that_it_leaves_gets_nothing_new: "/look/", Behavior::Serve;
    a_target_that_says_in_a_failure_that_it_leaves_gets_nothing_new: "/look/", Behavior::Fail;
    a_target_that_says_in_a_refusal_that_it_leaves_gets_nothing_new: "/look/", Behavior::Refuse;
    a_target_that_says_in_a_stream_that_it_leaves_gets_nothing_new: "/brief/", Behavior::Serve;
}

cases! {
    a_target_that_wants_nothing_for_a_time_gets_nothing_until_its_end: {
        let fleet = fleet(2).await;
        fleet.targets[0].set_behavior(Behavior::Refuse);
        fleet.targets[0].state(&[("retry-after", "2.5")]);
        let refused = async || fleet.send(0, "/look/", 1, "a").await;
        edge_kit::wait_for(Duration::from_secs(5), async || {
            refused().await;
            !fleet.targets[0].arrivals().is_empty()
        }).await;
        let first_at = fleet.targets[0].arrivals()[0];
        let ends_at = first_at + Duration::from_millis(2500);
        while Instant::now() < ends_at - Duration::from_millis(100) {
            assert_eq!(fleet.send(0, "/look/", 5, "b").await, [200; 5]);
        }
        let held_from = first_at + Duration::from_millis(500);
        assert_eq!(fleet.arrivals_since(held_from), 0);
        fleet.targets[0].set_behavior(Behavior::Serve);
        fleet.targets[0].state(&[]);
        edge_kit::wait_for(Duration::from_secs(5), async || {
            fleet.send(0, "/look/", 5, "c").await;
            fleet.arrivals_since(ends_at) > 0
        }).await;
    },
    a_caller_hears_at_once_when_all_targets_want_nothing_until_after_its_deadline: {
        let fleet = fleet(1).await;
        fleet.targets[0].set_behavior(Behavior::Refuse);
        fleet.targets[0].state(&[("retry-after", "9")]);
        fleet.send(0, "/look/", 1, "a").await;
        let count = fleet.targets[0].arrivals().len();
        let started_at = Instant::now();
        let response = edge_kit::call(&fleet.routers[0], edge_kit::request("/look/", "b", &[])).await;
        assert_eq!(response.status, 503);
        assert!(started_at.elapsed() < Duration::from_millis(200), "{:?}", started_at.elapsed());
        let after_s = response.headers["retry-after"].to_str().unwrap().parse::<f64>().unwrap();
        assert!((6.0..=13.0).contains(&after_s), "{after_s}");
        assert_eq!(fleet.targets[0].arrivals().len(), count);
    },
    a_caller_hears_how_long_all_targets_want_nothing_when_the_retry_budget_is_used_up: {
        /// Enough requests to use up the budget: 50 retries, and one for each five requests.
        const REQUESTS: usize = 80;
        let fleet = fleet(1).await;
        fleet.targets[0].set_behavior(Behavior::Refuse);
        let requests = (0..REQUESTS).map(|i| edge_kit::request("/look/", &format!("a{i}"), &[]));
        let calls = requests.map(|request| edge_kit::call(&fleet.routers[0], request));
        assert!(future::join_all(calls).await.iter().all(|response| response.status == 503));
        fleet.targets[0].state(&[("retry-after", "9")]);
        let count = fleet.targets[0].arrivals().len();
        let response = edge_kit::call(&fleet.routers[0], edge_kit::request("/look/", "b", &[])).await;
        assert_eq!(response.status, 503);
        assert_eq!(fleet.targets[0].arrivals().len(), count + 1);
        let after_s = response.headers["retry-after"].to_str().unwrap().parse::<f64>().unwrap();
        assert!((9.0..=13.0).contains(&after_s), "{after_s}");
    },
    a_statement_that_cannot_be_read_changes_nothing: {
        let fleet = fleet(1).await;
        fleet.targets[0].state(&[("server-leaving", "soon"), ("server-limit", "few"), ("retry-after", "-1")]);
        assert_eq!(fleet.send(0, "/look/", 20, "a").await, [200; 20]);
    },
}
