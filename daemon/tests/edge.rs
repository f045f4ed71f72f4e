//! Behavior of the router process on the platform toward callers, targets and the balancer.

mod edge_kit;
mod support;

use std::time::Duration;

use edge_kit::{APPLY_BOUND, Behavior, Router, Store, Target};
use rustix::process::Signal;

/// A router with targets of the given behaviors, named `t0`, `t1` and so on.
async fn fleet(behaviors: &[Behavior]) -> (Store, Vec<Target>, Router) {
    fleet_with(behaviors, 4096).await
}

/// Like [`fleet`], for a router with a limit of open files.
async fn fleet_with(behaviors: &[Behavior], max_files: u32) -> (Store, Vec<Target>, Router) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let mut targets = Vec::new();
    for (i, behavior) in behaviors.iter().enumerate() {
        let (target, addr) = Target::start(&format!("t{i}"), *behavior).await;
        store.put_target(&target.id, addr, "ready");
        targets.push(target);
    }
    let router = Router::start(store_addr, max_files);
    router.wait_for_readiness(200).await;
    router.wait_for_routers().await;
    (store, targets, router)
}

fn run_count(targets: &[Target]) -> usize {
    targets.iter().map(|target| target.requests().len()).sum()
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    a_request_is_served_with_the_routers_own_headers: {
        let (_store, targets, router) = fleet(&[Behavior::Serve]).await;
        let forged = [("tenant", "large"), ("hold", "h"), ("kv-from", "x"), ("x-own", "kept"),
            ("expect-instance", "t9"), ("pin-ms", "5")];
        let response = edge_kit::call(&router, edge_kit::request("/book/4?a=b", "a1", &forged)).await;
        assert_eq!((response.status, response.body.as_str()), (200, "served by t0"));
        assert_eq!(response.headers["server-stamp"], "stamp");
        let request = &targets[0].requests()[0];
        assert_eq!(request["tenant"], "clubs");
        assert_eq!(request["expect-instance"], "t0");
        assert_eq!(request["attempt-id"], "a1");
        assert_eq!(request["x-own"], "kept");
        assert!(["authorization", "hold", "kv-from", "pin-ms"].iter().all(|h| !request.contains_key(*h)));
        let remaining_ms = request["deadline-ms"].to_str().unwrap().parse::<u64>().unwrap();
        assert!((1000..=3000).contains(&remaining_ms), "{remaining_ms}");
    },
    a_stream_is_forwarded_completely: {
        let (_store, _targets, router) = fleet(&[Behavior::Serve]).await;
        let response = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &[])).await;
        assert_eq!((response.status, response.is_complete), (200, true));
        assert_eq!(response.body, edge_kit::full_stream());
    },
    an_interrupted_stream_is_resumed_at_another_target: {
        let (_store, targets, router) = fleet(&[Behavior::CutAfter(4), Behavior::CutAfter(4)]).await;
        let response = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &[])).await;
        assert!(response.is_complete);
        assert_eq!(response.body, edge_kit::full_stream());
        let resumed = targets.iter().flat_map(Target::requests).filter(|h| h.contains_key("last-event-id"));
        let resumed = resumed.collect::<Vec<_>>();
        assert_eq!(resumed.len(), 1);
        assert_eq!(resumed[0]["last-event-id"], "4");
    },
    a_stream_with_a_skipped_event_is_resumed_without_a_gap: {
        let (_store, targets, router) = fleet(&[Behavior::SkipAfter(4), Behavior::SkipAfter(4)]).await;
        let response = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &[])).await;
        assert!(response.is_complete);
        assert_eq!(response.body, edge_kit::full_stream());
        let resumed = targets.iter().flat_map(Target::requests).find(|h| h.contains_key("last-event-id"));
        assert_eq!(resumed.unwrap()["last-event-id"], "4");
    },
    a_stream_that_cannot_be_resumed_does_not_look_complete: {
        let (_store, targets, router) = fleet(&[Behavior::CutAfter(4), Behavior::CutAfter(4)]).await;
        let response = edge_kit::call(&router, edge_kit::request("/note/", "a1", &[])).await;
        assert!(!response.is_complete);
        assert!(edge_kit::full_stream().starts_with(&response.body));
        assert_eq!(run_count(&targets), 1);
    },
    a_request_with_an_unknown_outcome_gets_502_and_no_retry: {
        let (_store, targets, router) = fleet(&[Behavior::LoseResponse, Behavior::LoseResponse]).await;
        let response = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(response.status, 502);
        assert!(!response.headers.contains_key("retry-after"));
        assert_eq!(run_count(&targets), 1);
    },
    an_idempotent_request_is_retried_at_another_target: {
        let (_store, targets, router) = fleet(&[Behavior::LoseResponse, Behavior::Serve]).await;
        for i in 0..4 {
            let response = edge_kit::call(&router, edge_kit::request("/look/", &format!("a{i}"), &[])).await;
            assert_eq!(response.status, 200);
        }
        assert!(targets[0].requests().len() <= 4);
    },
    a_request_that_was_not_run_is_sent_to_another_target: {
        let (_store, targets, router) = fleet(&[Behavior::Refuse, Behavior::Serve]).await;
        for i in 0..4 {
            let response = edge_kit::call(&router, edge_kit::request("/book/", &format!("a{i}"), &[])).await;
            assert_eq!(response.status, 200);
        }
        assert_eq!(targets[1].requests().len(), 4);
    },
    a_refusal_by_all_targets_gets_503_with_retry_after: {
        let (_store, _targets, router) = fleet(&[Behavior::Refuse]).await;
        let response = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(response.status, 503);
        assert!(response.headers["retry-after"].to_str().unwrap().parse::<f64>().unwrap() > 0.0);
    },
    a_response_to_another_request_is_never_passed_on: {
        let (_store, _targets, router) = fleet(&[Behavior::OtherId]).await;
        let response = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(response.status, 502);
    },
    an_unsigned_success_is_never_passed_on: {
        let (_store, _targets, router) = fleet(&[Behavior::Unsigned]).await;
        let response = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(response.status, 502);
    },
    a_targets_failure_is_passed_on_unchanged: {
        let (_store, _targets, router) = fleet(&[Behavior::Fail]).await;
        let response = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!((response.status, response.headers.contains_key("server-stamp")), (500, true));
    },
    unknown_keys_routes_and_large_bodies_are_refused: {
        let (_store, targets, router) = fleet(&[Behavior::Serve]).await;
        let mut unknown = edge_kit::request("/book/", "a1", &[]);
        unknown.headers_mut().insert("authorization", "Bearer other".parse().unwrap());
        assert_eq!(edge_kit::call(&router, unknown).await.status, 401);
        let nowhere = edge_kit::request("/nowhere/", "a2", &[]);
        assert_eq!(edge_kit::call(&router, nowhere).await.status, 404);
        let (parts, _) = edge_kit::request("/book/", "a3", &[]).into_parts();
        let large = http::Request::from_parts(parts, vec![b'x'; 5000].into());
        assert_eq!(edge_kit::call(&router, large).await.status, 413);
        assert_eq!(run_count(&targets), 0);
    },
    a_router_without_a_store_at_the_start_is_not_ready: {
        let (store, store_addr) = Store::start().await;
        store.set_down(true);
        store.put_config(3);
        let router = Router::start(store_addr, 4096);
        router.wait_for_readiness(503).await;
        let response = edge_kit::call(&router, edge_kit::request("/nowhere/", "a1", &[])).await;
        assert_eq!(response.status, 503);
        assert!(response.headers.contains_key("retry-after"));
        store.set_down(false);
        router.wait_for_readiness(200).await;
    },
    requests_are_served_during_a_store_outage: {
        let (store, _targets, router) = fleet(&[Behavior::Serve]).await;
        store.set_down(true);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let response = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(response.status, 200);
        assert_eq!(router.readiness().await, 200);
    },
    an_older_configuration_is_never_applied: {
        let (store, _targets, router) = fleet(&[Behavior::Serve]).await;
        store.put("keyed.op", "config", r#"{"version": 5, "routes": [], "tenants": []}"#);
        let is_in_force = async || {
            edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await.status == 404
        };
        edge_kit::wait_for(APPLY_BOUND, is_in_force).await;
        store.put_config(4);
        store.put("keyed.op", "config", "not JSON");
        store.put("keyed.op", "config", r#"{"version": 9, "routes": [{}]}"#);
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(is_in_force().await);
    },
    an_unreadable_target_record_is_counted_and_logged_once: {
        let (store, _targets, router) = fleet(&[Behavior::Serve]).await;
        let count = async || {
            let metrics = edge_kit::get(router.operators, "/metrics").await.unwrap().1;
            let name = "gentianhinge_unreadable_records_total ";
            metrics.lines().find_map(|line| line.strip_prefix(name)?.parse::<u32>().ok())
        };
        for written in 1..=3 {
            store.put("keyed.servers", "t9", "not JSON");
            edge_kit::wait_for(APPLY_BOUND, async || count().await == Some(written)).await;
        }
        let lines = router.process.drain_lines();
        let matching = lines.iter().filter(|line| line.contains("names no target that can be used"));
        assert_eq!(matching.count(), 1, "{lines:#?}");
        let response = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(response.status, 200);
    },
    a_silent_long_poll_is_restarted_when_other_routers_have_read_further: {
        let (store, store_addr) = Store::start().await;
        store.put_config(3);
        let (_target, addr) = Target::start("t0", Behavior::Serve).await;
        store.put_target("t0", addr, "ready");
        store.set_silent(true);
        let silent = Router::start_as("r1", store_addr, 4096);
        silent.wait_for_readiness(200).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        store.set_silent(false);
        let other = Router::start_as("r2", store_addr, 4096);
        other.wait_for_readiness(200).await;
        // Both routers must have received each other's reports.
        let have_exchanged_reports = async || {
            edge_kit::get(other.operators, "/status").await.unwrap().1.contains(r#""routers":2"#)
        };
        edge_kit::wait_for(Duration::from_secs(10), have_exchanged_reports).await;
        store.set_silent(true);
        let next_poll = Duration::from_secs(4);
        tokio::time::sleep(next_poll).await;
        store.set_silent(false);
        let restarted = Router::start_as("r3", store_addr, 4096);
        restarted.wait_for_readiness(200).await;
        store.put("keyed.op", "config", r#"{"version": 5, "routes": [], "tenants": []}"#);
        for router in [&silent, &other, &restarted] {
            let is_in_force = async || {
                edge_kit::call(router, edge_kit::request("/book/", "a1", &[])).await.status == 404
            };
            edge_kit::wait_for(APPLY_BOUND, is_in_force).await;
        }
    },
    a_leaving_target_gets_no_new_requests: {
        let (store, targets, router) = fleet(&[Behavior::Serve, Behavior::Serve]).await;
        let (_, other) = Target::start("unused", Behavior::Serve).await;
        store.put_target("t0", other, "draining");
        store.put("keyed.servers", "t1", "not JSON");
        let (fresh, addr) = Target::start("t2", Behavior::Serve).await;
        store.put_target("t2", addr, "ready");
        let is_rerouted = async || {
            edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await.body == "served by t2"
        };
        edge_kit::wait_for(APPLY_BOUND, is_rerouted).await;
        let before = run_count(&targets);
        for i in 0..6 {
            let request = edge_kit::request("/book/", &format!("b{i}"), &[]);
            assert_eq!(edge_kit::call(&router, request).await.body, "served by t2");
        }
        assert_eq!(run_count(&targets), before);
        assert!(fresh.requests().len() >= 6);
    },
    a_disconnected_caller_ends_its_request: {
        let (_store, targets, router) = fleet(&[Behavior::Serve]).await;
        edge_kit::call_and_disconnect(&router, edge_kit::request("/brief/", "a1", &[])).await;
        edge_kit::wait_for(Duration::from_millis(500), async || targets[0].open_streams() == 0).await;
        assert_eq!(targets[0].requests().len(), 1);
    },
    a_graceful_shutdown_completes_requests_in_progress: {
        let (_store, _targets, mut router) = fleet(&[Behavior::Serve]).await;
        let callers = router.callers;
        let running = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &[]));
        let stopping = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            router.process.signal(Signal::TERM);
            router.wait_for_readiness(503).await;
            // A late request is served, and its caller asked to close the connection.
            let late = edge_kit::call(&router, edge_kit::request("/book/", "a2", &[])).await;
            assert_eq!((late.status, late.headers["connection"].to_str().unwrap()), (200, "close"));
        };
        let (response, ()) = tokio::join!(running, stopping);
        assert_eq!((response.is_complete, response.body), (true, edge_kit::full_stream()));
        let status = router.process.wait_for_exit(Duration::from_secs(8)).expect("ends within the grace");
        assert!(status.success());
        assert!(std::net::TcpStream::connect(callers).is_err());
    },
    a_large_prompt_gets_a_longer_first_event_timeout: {
        // The first event comes later than 2.5 times the latency target of 400 ms.
        let slow = Behavior::ServeAfter(Duration::from_millis(1300));
        let (_store, targets, router) = fleet(&[slow, slow]).await;
        let large = [("token-counts", "40000,100"), ("prefix-hash", "a1:36000,b2:4000")];
        let response = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &large)).await;
        assert_eq!((response.is_complete, response.body), (true, edge_kit::full_stream()));
        assert_eq!(run_count(&targets), 1);
    },
    a_full_queue_refuses_at_once: {
        // Of 100 requests the target runs 8 and 64 wait for half a second, so 28 are refused at
        // once.
        let (_store, _targets, router) = fleet(&[Behavior::ServeAfter(Duration::from_secs(3))]).await;
        let calls = (0..100).map(async |i| {
            let began_at = std::time::Instant::now();
            let request = edge_kit::request("/book/", &format!("a{i}"), &[]);
            let response = edge_kit::call(&router, request).await;
            (response.status, began_at.elapsed())
        });
        let responses = futures_util::future::join_all(calls).await;
        let at_once = responses.iter().filter(|(status, time)| {
            *status == 503 && *time < Duration::from_millis(400)
        });
        assert!(at_once.count() >= 20, "{responses:?}");
    },
    idle_connections_do_not_block_new_callers: {
        // The router accepts 66 connections. Each caller keeps its connection open unless asked to
        // close.
        let (_store, _targets, router) = fleet_with(&[Behavior::Serve], 300).await;
        let mut kept = Vec::new();
        for i in 0..120 {
            let request = edge_kit::request("/book/", &format!("a{i}"), &[]);
            let response = edge_kit::call_and_keep(&router, request);
            let response = tokio::time::timeout(Duration::from_secs(1), response).await;
            let (status, connection) = response.expect("no response within a second");
            assert_eq!(status, 200);
            kept.extend(connection);
        }
        assert!(kept.len() >= 30, "{} kept", kept.len());
    },
    metrics_and_status_are_served: {
        let (_store, _targets, router) = fleet(&[Behavior::Serve]).await;
        edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        let (_, metrics) = edge_kit::get(router.operators, "/metrics").await.unwrap();
        assert!(metrics.contains(r#"gentianhinge_requests_total{outcome="served"} 1"#), "{metrics}");
        assert!(metrics.contains(r#"gentianhinge_whole_seconds_count{team="clubs",route="book"} 1"#));
        let (_, status) = edge_kit::get(router.operators, "/status").await.unwrap();
        assert!(status.contains(r#""config_version":3"#), "{status}");
    },
}
