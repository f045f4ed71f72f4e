//! The complete request path, with the router and its stand-ins as separate processes.

mod support;

use std::time::Duration;

use rustix::process::Signal;
use support::Deployment;

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test]
        async fn $name() { $body }
    )* };
}

cases! {
    streams_a_whole_answer: {
        let fleet = Deployment::start("");
        let answer = support::chat(fleet.callers_addr, true, 20).await;
        assert_eq!((answer.status, answer.result_code()), (200, 0));
        assert_eq!(support::token_ids(&answer.body), (1..=20).collect::<Vec<_>>());
        assert!(answer.body.trim_end().ends_with("data: [DONE]"));
        assert!(answer.headers.contains_key("gentianhinge-request-id"));
    },
    gives_a_whole_answer_unstreamed: {
        let fleet = Deployment::start("");
        let answer = support::chat(fleet.callers_addr, false, 20).await;
        assert_eq!((answer.status, answer.result_code()), (200, 0));
        assert_eq!(answer.json()["usage"]["completion_tokens"], 20);
    },
    calls_a_plain_service: {
        let fleet = Deployment::start("");
        let answer = fleet.call_service("POST", "/bookings?lane=3").await;
        assert_eq!((answer.status, answer.result_code()), (200, 0), "{answer:?}");
    },
    shows_health_and_histograms: {
        let fleet = Deployment::start("");
        support::chat(fleet.callers_addr, true, 5).await;
        let ready = support::send("GET", fleet.operators_addr, "/readyz", &[], "").await;
        assert_eq!(ready.status, 200);
        let metrics = support::send("GET", fleet.operators_addr, "/metrics", &[], "").await;
        for name in ["waiting", "first_token", "between_tokens", "whole"] {
            let line = format!("gentianhinge_{name}_seconds_count{{team=\"lanes\",class=\"now\"}}");
            assert!(metrics.body.contains(&line), "{line} in {}", metrics.body);
        }
    },
    finishes_a_stream_at_shutdown: {
        let mut fleet = Deployment::start("");
        let callers = fleet.callers_addr;
        let stream = tokio::spawn(async move { support::chat(callers, true, 600).await });
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.router.signal(Signal::TERM);
        let answer = stream.await.unwrap();
        assert_eq!(support::token_ids(&answer.body).len(), 600);
        let status = fleet.router.wait_for_exit(Duration::from_secs(10)).expect("the router ends");
        assert!(status.success());
    },
}
