//! Targets whose records the store carries out late.

mod edge_kit;
mod support;

use std::net;
use std::time::Duration;

use edge_kit::{APPLY_BOUND, Behavior, Router, Store, Target};
use serde_json::json;
use tokio::time;

/// Time after which a target that has gone must get nothing, as in the settings.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Writes a target's record of one of its heartbeats.
fn put_heartbeat(store: &Store, id: &str, addr: net::SocketAddr, heartbeat: u64) {
    let record = json!({
        "service": "desk", "address": addr.to_string(), "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0, "seq_no": heartbeat, "born": 1,
    });
    store.put("keyed.servers", id, record.to_string());
}

/// Sends requests through a router; returns how many reached the target.
async fn arrivals_of(router: &Router, target: &Target, prefix: &str) -> usize {
    let before = target.requests().len();
    for i in 0..40 {
        let request = edge_kit::request("/look/", &format!("{prefix}{i}"), &[]);
        assert_eq!(edge_kit::call(router, request).await.status, 200);
    }
    target.requests().len() - before
}

async fn has_target(router: &Router, id: &str) -> bool {
    let status = edge_kit::get(router.operators, "/status").await;
    status.is_some_and(|(_, body)| body.contains(&format!("\"id\":\"{id}\"")))
}

/// Guards against requests to a target that has gone and of which a record is carried out late: at
/// the router that knew it, and at one that starts afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_late_record_of_a_target_that_has_gone_brings_it_no_requests() {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let (gone, gone_addr) = Target::start("t0", Behavior::Serve).await;
    let (sound, sound_addr) = Target::start("t1", Behavior::Serve).await;
    put_heartbeat(&store, &gone.id, gone_addr, 9);
    put_heartbeat(&store, &sound.id, sound_addr, 9);
    let first = Router::start_as("r1", store_addr, 4096);
    first.wait_for_readiness(200).await;
    assert!(has_target(&first, "t0").await);
    store.put("keyed.servers", "t0", "");
    edge_kit::wait_for(APPLY_BOUND, async || !has_target(&first, "t0").await).await;
    put_heartbeat(&store, &gone.id, gone_addr, 5);
    time::sleep(DRAIN_TIME).await;
    assert_eq!(arrivals_of(&first, &gone, "a").await, 0, "at the router that knew the target");
    let second = Router::start_as("r2", store_addr, 4096);
    second.wait_for_readiness(200).await;
    time::sleep(DRAIN_TIME).await;
    assert_eq!(arrivals_of(&second, &gone, "b").await, 0, "at a router that started later");
    // A sound target returns with a later heartbeat, to both.
    put_heartbeat(&store, &gone.id, gone_addr, 12);
    for router in [&first, &second] {
        edge_kit::wait_for(APPLY_BOUND, async || has_target(router, "t0").await).await;
    }
}
