//! Targets that fail before, within and after an answer.

mod support;

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use support::Deployment;
use tokio::time;

/// Bounds of the router's calls to targets, short so that the tests are.
const UPSTREAM: &str = r#""upstream": {"connect_timeout_ms": 300, "first_byte_timeout_ms": 800,
    "idle_timeout_ms": 500},"#;

/// Longest time for a test's request; above every bound in [`UPSTREAM`] together.
const BOUND: Duration = Duration::from_secs(8);

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test]
        async fn $name() { $body }
    )* };
}

async fn chat(fleet: &Deployment, stream: bool, max_tokens: u32) -> support::Response {
    let answer = time::timeout(BOUND, support::chat(fleet.callers_addr, stream, max_tokens)).await;
    answer.expect("no request hangs")
}

cases! {
    a_broken_stream_is_resumed_without_gap_or_doubled_token: {
        let fleet = Deployment::start(UPSTREAM);
        let faults = json!({"break_after_tokens": 7, "break_count": 1});
        fleet.set_faults(fleet.engine_addrs[0], faults).await;
        let answer = chat(&fleet, true, 40).await;
        assert_eq!(support::token_ids(&answer.body), (1..=40).collect::<Vec<_>>());
        assert!(answer.body.trim_end().ends_with("data: [DONE]"));
    },
    a_stream_that_cannot_be_resumed_tells_what_was_delivered: {
        let fleet = Deployment::start(UPSTREAM);
        let faults = json!({"break_after_tokens": 7, "refuse_resume": true});
        fleet.set_faults(fleet.engine_addrs[0], faults).await;
        let answer = chat(&fleet, true, 40).await;
        let error = answer.body.lines().rev().find_map(|line| line.strip_prefix("data: ")).unwrap();
        let error = serde_json::from_str::<serde_json::Value>(error).unwrap();
        let delivered = support::token_ids(&answer.body).len();
        assert_eq!(error["error"]["code"], 402, "{}", answer.body);
        assert_eq!(error["error"]["ran"], "unknown");
        let message = error["error"]["message"].as_str().unwrap();
        assert!(message.contains(&format!("{delivered} tokens delivered")), "{message}");
    },
    a_stalled_engine_ends_by_the_inactivity_bound: {
        let fleet = Deployment::start(UPSTREAM);
        fleet.set_faults(fleet.engine_addrs[0], json!({"stall": true})).await;
        let answer = chat(&fleet, true, 5).await;
        assert_eq!(answer.result_code(), 401);
        assert_eq!(answer.ran(), "unknown");
    },
    a_frozen_engine_ends_an_open_stream_by_the_inactivity_bound: {
        let fleet = Deployment::start(UPSTREAM);
        let callers = fleet.callers_addr;
        let stream = tokio::spawn(async move { support::chat(callers, true, 10_000).await });
        time::sleep(Duration::from_millis(300)).await;
        fleet.engines[0].signal(Signal::STOP);
        let answer = time::timeout(BOUND, stream).await.expect("no request hangs").unwrap();
        fleet.engines[0].signal(Signal::CONT);
        assert!(answer.body.contains("\"code\":402"), "{}", answer.body);
        let ids = support::token_ids(&answer.body);
        assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    },
    work_lost_before_the_first_token_goes_to_another_target: {
        // Whichever target dispatch prefers, one of the two is it.
        for killed in 0..2 {
            let mut fleet = Deployment::with_engines(2, "5", UPSTREAM);
            fleet.engines[killed].signal(Signal::KILL);
            fleet.engines[killed].wait_for_exit(BOUND);
            for _ in 0..6 {
                let answer = chat(&fleet, true, 5).await;
                assert_eq!(answer.result_code(), 0, "{answer:?}");
            }
        }
    },
    retries_stop_at_the_budget: {
        let fleet = Deployment::start(UPSTREAM);
        fleet.set_faults(fleet.engine_addrs[0], json!({"status": 500})).await;
        // A team starts with ten retries, and only requests that finish earn more.
        let request_count = 10;
        for _ in 0..request_count {
            assert_eq!(chat(&fleet, false, 5).await.result_code(), 403);
        }
        let stats = support::send("GET", fleet.engine_addrs[0], "/stats", &[], "").await.json();
        let attempts = stats["refused_count"].as_u64().unwrap();
        assert_eq!(attempts, request_count + 10, "{stats}");
    },
    an_idempotent_call_is_retried: {
        let fleet = Deployment::start(UPSTREAM);
        fleet.set_faults(fleet.service_addr, json!({"cut_body": true, "fault_count": 1})).await;
        assert_eq!(fleet.call_service("GET", "/lanes").await.result_code(), 0);
    },
    a_call_that_may_not_be_repeated_is_sent_once: {
        let fleet = Deployment::start(UPSTREAM);
        fleet.set_faults(fleet.service_addr, json!({"drop_reply": true, "fault_count": 1})).await;
        let answer = fleet.call_service("POST", "/bookings").await;
        assert_eq!((answer.result_code(), answer.ran()), (400, "unknown".to_string()));
        assert_eq!(fleet.effect_count().await, 1);
    },
    the_journal_tells_of_each_attempt: {
        let fleet = Deployment::start(UPSTREAM);
        fleet.set_faults(fleet.service_addr, json!({"cut_body": true, "fault_count": 1})).await;
        let answer = fleet.call_service("GET", "/lanes").await;
        let request_id = answer.headers["gentianhinge-request-id"].to_str().unwrap();
        let path = format!("/requests/{request_id}");
        let refused = support::send("GET", fleet.operators_addr, &path, &[], "").await;
        assert_eq!(refused.status, 401);
        let auth = format!("Bearer {}", support::OPERATOR_KEY);
        let headers = [("authorization", auth.as_str())];
        let record = support::send("GET", fleet.operators_addr, &path, &headers, "").await.json();
        assert_eq!((&record["team"], &record["result"]), (&json!("lanes"), &json!(0)));
        let attempts = record["attempts"].as_array().unwrap();
        assert_eq!(attempts.len(), 2, "{record}");
        assert!(attempts[0]["error"].as_str().is_some_and(|error| error.starts_with("s1: ")));
        assert!(attempts[1]["error"].is_null());
    },
    a_call_told_as_not_run_had_no_effect: {
        let mut fleet = Deployment::start(UPSTREAM);
        fleet.service.signal(Signal::KILL);
        fleet.service.wait_for_exit(BOUND);
        let answer = time::timeout(BOUND, fleet.call_service("POST", "/bookings")).await.unwrap();
        assert_eq!(answer.ran(), "no", "{answer:?}");
    },
}
