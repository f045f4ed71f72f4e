//! The router on the platform as a process: what callers, targets and the balancer see.

mod edge_kit;
mod support;

use std::time::Duration;

use edge_kit::{APPLY_BOUND, Act, Router, Store, Target};
use rustix::process::Signal;

/// A router before targets that act as told, named `t0`, `t1` and so on.
async fn fleet(acts: &[Act]) -> (Store, Vec<Target>, Router) {
    fleet_with(acts, 4096).await
}

/// The same, with a limit of open files.
async fn fleet_with(acts: &[Act], max_files: u32) -> (Store, Vec<Target>, Router) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let mut targets = Vec::new();
    for (i, act) in acts.iter().enumerate() {
        let (target, addr) = Target::start(&format!("t{i}"), *act).await;
        store.put_target(&target.id, addr, "ready");
        targets.push(target);
    }
    let router = Router::start(store_addr, max_files);
    router.wait_for_readiness(200).await;
    (store, targets, router)
}

fn run_count(targets: &[Target]) -> usize {
    targets.iter().map(|target| target.seen().len()).sum()
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    a_call_is_served_and_headers_are_the_systems_own: {
        let (_store, targets, router) = fleet(&[Act::Serve]).await;
        let forged = [("tenant", "large"), ("hold", "h"), ("kv-from", "x"), ("x-own", "kept"),
            ("expect-instance", "t9"), ("pin-ms", "5")];
        let answer = edge_kit::call(&router, edge_kit::request("/book/4?a=b", "a1", &forged)).await;
        assert_eq!((answer.status, answer.body.as_str()), (200, "served by t0"));
        assert_eq!(answer.headers["server-stamp"], "stamp");
        let seen = &targets[0].seen()[0];
        assert_eq!(seen["tenant"], "clubs");
        assert_eq!(seen["expect-instance"], "t0");
        assert_eq!(seen["attempt-id"], "a1");
        assert_eq!(seen["x-own"], "kept");
        assert!(["authorization", "hold", "kv-from", "pin-ms"].iter().all(|h| !seen.contains_key(*h)));
        let left_ms = seen["deadline-ms"].to_str().unwrap().parse::<u64>().unwrap();
        assert!((1000..=3000).contains(&left_ms), "{left_ms}");
    },
    a_stream_comes_whole: {
        let (_store, _targets, router) = fleet(&[Act::Serve]).await;
        let answer = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &[])).await;
        assert_eq!((answer.status, answer.is_whole), (200, true));
        assert_eq!(answer.body, edge_kit::all_events());
    },
    a_stream_that_breaks_off_goes_on_at_another_target: {
        let (_store, targets, router) = fleet(&[Act::CutAfter(4), Act::CutAfter(4)]).await;
        let answer = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &[])).await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, edge_kit::all_events());
        let resumed = targets.iter().flat_map(Target::seen).filter(|h| h.contains_key("last-event-id"));
        let resumed = resumed.collect::<Vec<_>>();
        assert_eq!(resumed.len(), 1);
        assert_eq!(resumed[0]["last-event-id"], "4");
    },
    a_stream_in_which_a_target_skips_an_event_has_no_gap: {
        let (_store, targets, router) = fleet(&[Act::SkipAfter(4), Act::SkipAfter(4)]).await;
        let answer = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &[])).await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, edge_kit::all_events());
        let resumed = targets.iter().flat_map(Target::seen).find(|h| h.contains_key("last-event-id"));
        assert_eq!(resumed.unwrap()["last-event-id"], "4");
    },
    a_stream_that_cannot_be_resumed_does_not_look_complete: {
        let (_store, targets, router) = fleet(&[Act::CutAfter(4), Act::CutAfter(4)]).await;
        let answer = edge_kit::call(&router, edge_kit::request("/note/", "a1", &[])).await;
        assert!(!answer.is_whole);
        assert!(edge_kit::all_events().starts_with(&answer.body));
        assert_eq!(run_count(&targets), 1);
    },
    a_lost_outcome_is_told_so_and_never_repeated: {
        let (_store, targets, router) = fleet(&[Act::LoseAnswer, Act::LoseAnswer]).await;
        let answer = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(answer.status, 502);
        assert!(!answer.headers.contains_key("retry-after"));
        assert_eq!(run_count(&targets), 1);
    },
    an_idempotent_call_is_repeated_elsewhere: {
        let (_store, targets, router) = fleet(&[Act::LoseAnswer, Act::Serve]).await;
        for i in 0..4 {
            let answer = edge_kit::call(&router, edge_kit::request("/look/", &format!("a{i}"), &[])).await;
            assert_eq!(answer.status, 200);
        }
        assert!(targets[0].seen().len() <= 4);
    },
    what_was_not_run_goes_elsewhere: {
        let (_store, targets, router) = fleet(&[Act::Refuse, Act::Serve]).await;
        for i in 0..4 {
            let answer = edge_kit::call(&router, edge_kit::request("/book/", &format!("a{i}"), &[])).await;
            assert_eq!(answer.status, 200);
        }
        assert_eq!(targets[1].seen().len(), 4);
    },
    a_refusal_by_all_says_not_run_and_when_to_return: {
        let (_store, _targets, router) = fleet(&[Act::Refuse]).await;
        let answer = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers["retry-after"].to_str().unwrap().parse::<f64>().unwrap() > 0.0);
    },
    another_requests_answer_is_never_passed_on: {
        let (_store, _targets, router) = fleet(&[Act::Strange]).await;
        let answer = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(answer.status, 502);
    },
    an_unsigned_success_is_never_passed_on: {
        let (_store, _targets, router) = fleet(&[Act::Unsigned]).await;
        let answer = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(answer.status, 502);
    },
    a_targets_failure_is_passed_on_unchanged: {
        let (_store, _targets, router) = fleet(&[Act::Fail]).await;
        let answer = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!((answer.status, answer.headers.contains_key("server-stamp")), (500, true));
    },
    unknown_keys_routes_and_large_bodies_are_refused: {
        let (_store, targets, router) = fleet(&[Act::Serve]).await;
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
    a_store_that_is_away_at_the_start_means_not_ready: {
        let (store, store_addr) = Store::start().await;
        store.set_down(true);
        store.put_config(3);
        let router = Router::start(store_addr, 4096);
        router.wait_for_readiness(503).await;
        let answer = edge_kit::call(&router, edge_kit::request("/nowhere/", "a1", &[])).await;
        assert_eq!(answer.status, 503);
        assert!(answer.headers.contains_key("retry-after"));
        store.set_down(false);
        router.wait_for_readiness(200).await;
    },
    a_store_that_goes_away_stops_nothing: {
        let (store, _targets, router) = fleet(&[Act::Serve]).await;
        store.set_down(true);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let answer = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(answer.status, 200);
        assert_eq!(router.readiness().await, 200);
    },
    a_configuration_never_goes_back: {
        let (store, _targets, router) = fleet(&[Act::Serve]).await;
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
    a_target_that_cannot_be_read_is_counted_and_logged_once: {
        let (store, _targets, router) = fleet(&[Act::Serve]).await;
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
        let told = lines.iter().filter(|line| line.contains("names no target that can be used"));
        assert_eq!(told.count(), 1, "{lines:#?}");
        let answer = edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        assert_eq!(answer.status, 200);
    },
    a_silent_long_poll_is_noticed_by_what_other_routers_have_read: {
        let (store, store_addr) = Store::start().await;
        store.put_config(3);
        let (_target, addr) = Target::start("t0", Act::Serve).await;
        store.put_target("t0", addr, "ready");
        store.set_silent(true);
        let silent = Router::start_as("r1", store_addr, 4096);
        silent.wait_for_readiness(200).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        store.set_silent(false);
        let other = Router::start_as("r2", store_addr, 4096);
        other.wait_for_readiness(200).await;
        // Until both have found each other.
        let have_met = async || {
            edge_kit::get(other.operators, "/status").await.unwrap().1.contains(r#""routers":2"#)
        };
        edge_kit::wait_for(Duration::from_secs(10), have_met).await;
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
    a_leaving_target_gets_nothing_new: {
        let (store, targets, router) = fleet(&[Act::Serve, Act::Serve]).await;
        let (_, other) = Target::start("unused", Act::Serve).await;
        store.put_target("t0", other, "draining");
        store.put("keyed.servers", "t1", "not JSON");
        let (fresh, addr) = Target::start("t2", Act::Serve).await;
        store.put_target("t2", addr, "ready");
        let is_moved = async || {
            edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await.body == "served by t2"
        };
        edge_kit::wait_for(APPLY_BOUND, is_moved).await;
        let before = run_count(&targets);
        for i in 0..6 {
            let request = edge_kit::request("/book/", &format!("b{i}"), &[]);
            assert_eq!(edge_kit::call(&router, request).await.body, "served by t2");
        }
        assert_eq!(run_count(&targets), before);
        assert!(fresh.seen().len() >= 6);
    },
    a_caller_that_leaves_ends_the_work: {
        let (_store, targets, router) = fleet(&[Act::Serve]).await;
        edge_kit::call_and_leave(&router, edge_kit::request("/brief/", "a1", &[])).await;
        edge_kit::wait_for(Duration::from_millis(500), async || targets[0].open_streams() == 0).await;
        assert_eq!(targets[0].seen().len(), 1);
    },
    a_graceful_shutdown_cuts_nothing: {
        let (_store, _targets, mut router) = fleet(&[Act::Serve]).await;
        let callers = router.callers;
        let running = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &[]));
        let stopping = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            router.process.signal(Signal::TERM);
            router.wait_for_readiness(503).await;
            // What still comes is served, and told to use another connection.
            let late = edge_kit::call(&router, edge_kit::request("/book/", "a2", &[])).await;
            assert_eq!((late.status, late.headers["connection"].to_str().unwrap()), (200, "close"));
        };
        let (answer, ()) = tokio::join!(running, stopping);
        assert_eq!((answer.is_whole, answer.body), (true, edge_kit::all_events()));
        let status = router.process.wait_for_exit(Duration::from_secs(8)).expect("ends within the grace");
        assert!(status.success());
        assert!(std::net::TcpStream::connect(callers).is_err());
    },
    a_large_prompt_gets_time_to_be_read: {
        // 2.5 times the latency target of 400 ms is over before the first event comes.
        let slow = Act::ServeAfter(Duration::from_millis(1300));
        let (_store, targets, router) = fleet(&[slow, slow]).await;
        let large = [("token-counts", "40000,100"), ("prefix-hash", "a1:36000,b2:4000")];
        let answer = edge_kit::call(&router, edge_kit::request("/brief/", "a1", &large)).await;
        assert_eq!((answer.is_whole, answer.body), (true, edge_kit::all_events()));
        assert_eq!(run_count(&targets), 1);
    },
    a_full_queue_refuses_at_once: {
        // The target runs 8 requests, 64 wait for half a second, and 28 are too many.
        let (_store, _targets, router) = fleet(&[Act::ServeAfter(Duration::from_secs(3))]).await;
        let calls = (0..100).map(async |i| {
            let began_at = std::time::Instant::now();
            let request = edge_kit::request("/book/", &format!("a{i}"), &[]);
            let answer = edge_kit::call(&router, request).await;
            (answer.status, began_at.elapsed())
        });
        let answers = futures_util::future::join_all(calls).await;
        let at_once = answers.iter().filter(|(status, time)| {
            *status == 503 && *time < Duration::from_millis(400)
        });
        assert!(at_once.count() >= 20, "{answers:?}");
    },
    unused_connections_keep_no_caller_out: {
        // The router takes 66 connections; each caller keeps its own open if it may.
        let (_store, _targets, router) = fleet_with(&[Act::Serve], 300).await;
        let mut kept = Vec::new();
        for i in 0..120 {
            let request = edge_kit::request("/book/", &format!("a{i}"), &[]);
            let answer = edge_kit::call_and_keep(&router, request);
            let answer = tokio::time::timeout(Duration::from_secs(1), answer).await;
            let (status, connection) = answer.expect("a caller gets through");
            assert_eq!(status, 200);
            kept.extend(connection);
        }
        assert!(kept.len() >= 30, "{} kept", kept.len());
    },
    metrics_and_status_are_served: {
        let (_store, _targets, router) = fleet(&[Act::Serve]).await;
        edge_kit::call(&router, edge_kit::request("/book/", "a1", &[])).await;
        let (_, metrics) = edge_kit::get(router.operators, "/metrics").await.unwrap();
        assert!(metrics.contains(r#"gentianhinge_requests_total{outcome="served"} 1"#), "{metrics}");
        assert!(metrics.contains(r#"gentianhinge_whole_seconds_count{team="clubs",route="book"} 1"#));
        let (_, status) = edge_kit::get(router.operators, "/status").await.unwrap();
        assert!(status.contains(r#""config_version":3"#), "{status}");
    },
}
