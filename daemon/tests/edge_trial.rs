//! Trials of requests that were at targets which ended for other reasons.

mod edge_kit;
mod support;

use std::net;
use std::time::Duration;

use edge_kit::{Behavior, Router, Store, Target, raw};
use gentianhinge_core::quarantine::FIRST_HOLD;
use tokio::net::TcpListener;
use tokio::time::{self, Instant};

/// Time for which a target runs a request before it ends.
const RUN_TIME: Duration = Duration::from_millis(100);

/// Time after the return of a service within which its requests must be served.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Starts a target that ends with the first request that it runs.
async fn start_ending_target() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            if raw::read_request(&mut stream).await.is_some() {
                time::sleep(RUN_TIME).await;
                return;
            }
        }
    });
    addr
}

async fn status(router: &Router, id: &str) -> u16 {
    edge_kit::call(router, edge_kit::request("/look/", id, &[])).await.status
}

/// Guards against a sound request that is refused for minutes because the targets of its service ended
/// one after the other while it was there.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_sound_request_is_served_again_once_its_service_is_back() {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    for id in ["t0", "t1", "t2"] {
        store.put_target(id, start_ending_target().await, "ready");
    }
    let routers = ["r1", "r2"].map(|name| Router::start_as(name, store_addr, 4096));
    for router in &routers {
        router.wait_for_readiness(200).await;
    }
    // The routers hear of each other.
    time::sleep(Duration::from_secs(2)).await;
    for i in 0..3 {
        assert_ne!(status(&routers[0], &format!("a{i}")).await, 200);
    }
    let back_at = Instant::now();
    let (sound, addr) = Target::start("t3", Behavior::Serve).await;
    store.put_target(&sound.id, addr, "ready");
    time::sleep(Duration::from_secs(2)).await;
    for router in &routers {
        assert_eq!(status(router, "b").await, 503, "the request isn't held");
    }
    assert!(sound.requests().is_empty());
    time::sleep_until(back_at + FIRST_HOLD + Duration::from_millis(200)).await;
    // One of the routers makes the trial, and tells the other of the answer.
    let mut served_count = 0;
    let mut number = 0;
    while Instant::now() < back_at + RECOVERY_TIME && served_count < 2 {
        served_count = 0;
        for router in &routers {
            number += 1;
            served_count += usize::from(status(router, &format!("c{number}")).await == 200);
        }
    }
    assert_eq!(served_count, 2);
}
