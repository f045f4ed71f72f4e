//! Targets that have started a short time ago and tolerate few requests per second.

mod edge_kit;
mod support;

use std::time::{Duration, Instant};

use edge_kit::{Behavior, Router, Store, Target};

/// Requests per second that the cold target tolerates.
const COLD_PER_S: f64 = 4.0;

const SECOND: Duration = Duration::from_secs(1);

/// Interval between two requests of the callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests to the routers in turn; returns their number, and how many were served.
async fn send_for(routers: &[Router; 2], time: Duration, prefix: &str) -> (usize, usize) {
    let ends_at = Instant::now() + time;
    let (mut count, mut served_count) = (0, 0);
    while Instant::now() < ends_at {
        let request = edge_kit::request("/look/", &format!("{prefix}{count}"), &[]);
        let response = edge_kit::call(&routers[count % 2], request).await;
        served_count += usize::from(response.status == 200);
        count += 1;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    (count, served_count)
}

/// Most requests that a target received within one second.
fn most_in_a_second(target: &Target) -> usize {
    let arrivals = target.arrivals();
    let count = |from: &Instant| target.arrivals_from(*from, *from + SECOND);
    arrivals.iter().map(count).max().unwrap_or(0)
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    // Would send half of all requests to the cold target, which crashes under them.
    a_cold_target_gets_what_it_tolerates_and_the_warm_one_the_rest: {
        let (store, store_addr) = Store::start().await;
        store.put_config_with_cold(3, COLD_PER_S);
        let (cold, cold_addr) = Target::start("cold", Behavior::Serve).await;
        let (warm, warm_addr) = Target::start("warm", Behavior::Serve).await;
        store.put_target_heartbeat("cold", cold_addr, "ready", 1, SECOND * 60);
        store.put_target("warm", warm_addr, "ready");
        let routers = ["r1", "r2"].map(|name| Router::start_as(name, store_addr, 4096));
        for router in &routers {
            router.wait_for_readiness(200).await;
        }
        let (count, served_count) = send_for(&routers, SECOND * 8, "a").await;
        assert_eq!(served_count, count);
        let most = most_in_a_second(&cold);
        assert!(most as f64 <= COLD_PER_S * 1.5 + 5.0, "{most} requests in a second");
        assert!(most > 0, "a cold target still gets requests");
        assert!(warm.arrivals().len() > cold.arrivals().len());
        let (_, status) = edge_kit::get(routers[0].operators, "/status").await.unwrap();
        let status = serde_json::from_str::<serde_json::Value>(&status).unwrap();
        assert!(status["targets"][0]["cold_ms"].as_u64().is_some_and(|left| left > 0), "{status}");
        assert!(status["targets"][1]["cold_ms"].is_null(), "{status}");
        let (_, metrics) = edge_kit::get(routers[0].operators, "/metrics").await.unwrap();
        assert!(metrics.contains("gentianhinge_cold_targets 1"), "{metrics}");

        store.put_target_heartbeat("cold", cold_addr, "ready", 2, Duration::ZERO);
        tokio::time::sleep(edge_kit::APPLY_BOUND).await;
        let before = cold.arrivals().len();
        send_for(&routers, SECOND * 3, "b").await;
        let per_s = (cold.arrivals().len() - before) as f64 / 3.0;
        assert!(per_s > COLD_PER_S * 1.5, "a warm target isn't limited: {per_s} per second");
        let lines = routers[0].process.drain_lines().join("\n");
        for outcome in ["begun", "ended"] {
            let has = lines.lines().any(|line| {
                line.contains(r#""event":"target-cold""#) && line.contains(outcome)
            });
            assert!(has, "{outcome}:\n{lines}");
        }
    },
}
