//! Targets that fail before, during and after a response.

mod support;

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use support::Deployment;
use tokio::time;

/// Timeouts of the router's calls to targets, short to keep the tests fast.
const UPSTREAM: &str = r#""upstream": {"connect_timeout_ms": 300, "first_byte_timeout_ms": 800,
    "idle_timeout_ms": 500},"#;

/// Longest time for a test's request; above the sum of all timeouts in [`UPSTREAM`].
const TIMEOUT: Duration = Duration::from_secs(8);

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test]
        async fn $name() { $body }
    )* };
}

async fn chat(fleet: &Deployment, stream: bool, max_tokens: u32) -> support::Response {
    let response =
        time::timeout(TIMEOUT, support::chat(fleet.callers_addr, stream, max_tokens)).await;
    response.expect("no request hangs")
}

cases! {
    a_broken_stream_is_resumed_without_gap_or_duplicate_token: {
        let fleet = Deployment::start(UPSTREAM);
        let faults = json!({"break_after_tokens": 7, "break_count": 1});
        fleet.set_faults(fleet.engine_addrs[0], faults).await;
        let response = chat(&fleet, true, 40).await;
        assert_eq!(support::token_ids(&response.body), (1..=40).collect::<Vec<_>>());
        assert!(response.body.trim_end().ends_with("data: [DONE]"));
    },
    a_stream_that_cannot_be_resumed_reports_the_delivered_tokens: {
        let fleet = Deployment::start(UPSTREAM);
        let faults = json!({"break_after_tokens": 7, "refuse_resume": true});
        fleet.set_faults(fleet.engine_addrs[0], faults).await;
        let response = chat(&fleet, true, 40).await;
        let error =
            response.body.lines().rev().find_map(|line| line.strip_prefix("data: ")).unwrap();
        let error = serde_json::from_str::<serde_json::Value>(error).unwrap();
        let delivered = support::token_ids(&response.body).len();
        assert_eq!(error["error"]["code"], 402, "{}", response.body);
        assert_eq!(error["error"]["ran"], "unknown");
        let message = error["error"]["message"].as_str().unwrap();
        assert!(message.contains(&format!("{delivered} tokens delivered")), "{message}");
    },
    a_stalled_engine_times_out: {
        let fleet = Deployment::start(UPSTREAM);
        fleet.set_faults(fleet.engine_addrs[0], json!({"stall": true})).await;
        let response = chat(&fleet, true, 5).await;
        assert_eq!(response.result_code(), 401);
        assert_eq!(response.ran(), "unknown");
    },
    an_open_stream_of_a_frozen_engine_times_out: {
        let fleet = Deployment::start(UPSTREAM);
        let callers = fleet.callers_addr;
        let stream = tokio::spawn(async move { support::chat(callers, true, 10_000).await });
        time::sleep(Duration::from_millis(300)).await;
        fleet.engines[0].signal(Signal::STOP);
        let response = time::timeout(TIMEOUT, stream).await.expect("no request hangs").unwrap();
        fleet.engines[0].signal(Signal::CONT);
        assert!(response.body.contains("\"code\":402"), "{}", response.body);
        let ids = support::token_ids(&response.body);
        assert_eq!(ids, (1..=ids.len() as u64).collect::<Vec<_>>());
    },
    a_request_lost_before_its_first_token_moves_to_another_target: {
        // Kills each target in turn, so that one run kills the target that dispatch prefers.
        for killed in 0..2 {
            let mut fleet = Deployment::with_engines(2, "5", UPSTREAM);
            fleet.engines[killed].signal(Signal::KILL);
            fleet.engines[killed].wait_for_exit(TIMEOUT);
            for _ in 0..6 {
                let response = chat(&fleet, true, 5).await;
                assert_eq!(response.result_code(), 0, "{response:?}");
            }
        }
    },
    retries_stop_at_the_budget: {
        let fleet = Deployment::start(UPSTREAM);
        fleet.set_faults(fleet.engine_addrs[0], json!({"status": 500})).await;
        // A team starts with a budget of ten retries, and only requests that finish add to it.
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
    a_non_idempotent_call_is_sent_once: {
        let fleet = Deployment::start(UPSTREAM);
        fleet.set_faults(fleet.service_addr, json!({"drop_reply": true, "fault_count": 1})).await;
        let response = fleet.call_service("POST", "/bookings").await;
        assert_eq!((response.result_code(), response.ran()), (400, "unknown".to_string()));
        assert_eq!(fleet.effect_count().await, 1);
    },
    the_request_history_lists_each_attempt: {
        let fleet = Deployment::start(UPSTREAM);
        fleet.set_faults(fleet.service_addr, json!({"cut_body": true, "fault_count": 1})).await;
        let response = fleet.call_service("GET", "/lanes").await;
        let request_id = response.headers["gentianhinge-request-id"].to_str().unwrap();
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
    a_call_reported_as_not_run_had_no_effect: {
        let mut fleet = Deployment::start(UPSTREAM);
        fleet.service.signal(Signal::KILL);
        fleet.service.wait_for_exit(TIMEOUT);
        let response =
            time::timeout(TIMEOUT, fleet.call_service("POST", "/bookings")).await.unwrap();
        assert_eq!(response.ran(), "no", "{response:?}");
    },
}
