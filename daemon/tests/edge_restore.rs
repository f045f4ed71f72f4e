//! A store that comes back from an old copy, and gives offsets out again.

mod edge_kit;
mod support;

use std::time::Duration;

use edge_kit::{APPLY_BOUND, Behavior, Router, Store, Target};

/// A router, its store and the targets `t0` and `t1`.
struct Fleet {
    targets: Vec<Target>,
    addrs: Vec<std::net::SocketAddr>,
    router: Router,
    store: Store,
}

async fn fleet() -> Fleet {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let (mut targets, mut addrs) = (Vec::new(), Vec::new());
    for i in 0..2 {
        let (target, addr) = Target::start(&format!("t{i}"), Behavior::Serve).await;
        store.put_target(&target.id, addr, "ready");
        targets.push(target);
        addrs.push(addr);
    }
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    Fleet { targets, addrs, router, store }
}

/// Version of the configuration in force at a router.
async fn version(router: &Router) -> Option<u64> {
    let (_, body) = edge_kit::get(router.operators, "/status").await?;
    serde_json::from_str::<serde_json::Value>(&body).ok()?["config_version"].as_u64()
}

async fn wait_for_version(router: &Router, expected: u64) {
    edge_kit::wait_for(APPLY_BOUND, async || version(router).await == Some(expected)).await;
}

/// Sends requests to the router and returns how many reached each target.
async fn arrivals(fleet: &Fleet, prefix: &str) -> Vec<usize> {
    let before = fleet.targets.iter().map(|target| target.requests().len()).collect::<Vec<_>>();
    for i in 0..20 {
        let request = edge_kit::request("/look/", &format!("{prefix}{i}"), &[]);
        assert_eq!(edge_kit::call(&fleet.router, request).await.status, 200);
    }
    let after = fleet.targets.iter().map(|target| target.requests().len());
    after.zip(before).map(|(after, before)| after - before).collect()
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    a_configuration_at_an_offset_that_is_given_out_again_is_in_force_in_time: {
        let fleet = fleet().await;
        let backup = fleet.store.backup();
        for version in [5, 7] {
            fleet.store.put_config(version);
            wait_for_version(&fleet.router, version).await;
        }
        // The router has read up to offset 3. The copy ends at 1, and the operator writes the newest
        // configuration and another one.
        fleet.store.restore(backup);
        fleet.store.put_config(7);
        fleet.store.put_config(9);
        assert_eq!(fleet.store.len("keyed.op"), 3);
        wait_for_version(&fleet.router, 9).await;
        fleet.store.put_config(11);
        wait_for_version(&fleet.router, 11).await;
    },
    a_configuration_does_not_go_back_with_the_store: {
        let fleet = fleet().await;
        let backup = fleet.store.backup();
        fleet.store.put_config(5);
        wait_for_version(&fleet.router, 5).await;
        fleet.store.restore(backup);
        tokio::time::sleep(APPLY_BOUND).await;
        assert_eq!(version(&fleet.router).await, Some(5));
        assert_eq!(fleet.router.readiness().await, 200);
    },
    a_target_that_was_leaving_before_the_store_came_back_stays_so: {
        let fleet = fleet().await;
        let backup = fleet.store.backup();
        fleet.store.put_target("t0", fleet.addrs[0], "draining");
        tokio::time::sleep(APPLY_BOUND).await;
        assert_eq!(arrivals(&fleet, "a").await[0], 0);
        fleet.store.restore(backup);
        tokio::time::sleep(APPLY_BOUND).await;
        assert_eq!(arrivals(&fleet, "b").await[0], 0);
    },
    a_target_that_was_gone_before_the_store_came_back_stays_so: {
        let fleet = fleet().await;
        let backup = fleet.store.backup();
        fleet.store.put("keyed.servers", "t0", "");
        tokio::time::sleep(APPLY_BOUND).await;
        assert_eq!(arrivals(&fleet, "a").await[0], 0);
        fleet.store.restore(backup);
        tokio::time::sleep(APPLY_BOUND).await;
        assert_eq!(arrivals(&fleet, "b").await[0], 0);
    },
    a_target_that_leaves_after_the_store_came_back_gets_nothing_new: {
        let fleet = fleet().await;
        let backup = fleet.store.backup();
        for _ in 0..3 {
            fleet.store.put_target("t1", fleet.addrs[1], "ready");
        }
        tokio::time::sleep(APPLY_BOUND).await;
        fleet.store.restore(backup);
        fleet.store.put_target("t0", fleet.addrs[0], "draining");
        tokio::time::sleep(APPLY_BOUND).await;
        assert_eq!(arrivals(&fleet, "b").await[0], 0);
    },
    a_router_registers_again_after_the_store_came_back: {
        let (store, store_addr) = Store::start().await;
        store.put_config(3);
        let backup = store.backup();
        let router = Router::start(store_addr, 4096);
        edge_kit::wait_for(Duration::from_secs(10), async || store.has_key("keyed.routers", "r1")).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        store.restore(backup);
        store.put_config(3);
        // Routers needn't know each other sooner than within 10 s.
        edge_kit::wait_for(Duration::from_secs(10), async || store.has_key("keyed.routers", "r1")).await;
        drop(router);
    },
}
