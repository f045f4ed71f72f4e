//! Load generator: which responses count as complete, and that the requests depend only on the
//! seed.

#[macro_use]
mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use common::{base_url, chat};
use gentianhinge_standin::client::{Client, Outcome};
use gentianhinge_standin::load::{self, Arrivals, Range, ServiceCalls, Team, Totals};
use gentianhinge_standin::{demo, engine, latency, server, service, sse};

/// Returns an event with a token.
fn token(text: &str) -> String {
    format!("data: {{\"choices\": [{{\"delta\": {{\"content\": \"{text} \"}}}}]}}\n\n")
}

/// Returns the final events of a response.
fn end(tokens: u32) -> String {
    format!(
        "data: {{\"choices\": [], \"usage\": {{\"prompt_tokens\": 1, \"completion_tokens\": {tokens}, \
         \"total_tokens\": 1, \"cached_tokens\": 0}}}}\n\ndata: [DONE]\n\n"
    )
}

/// Returns the client's check of a response with this body.
async fn check_response(body: String) -> Outcome {
    let router = axum::Router::new().fallback(move || async move { body });
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = server::spawn(any, router, Arc::default()).await.expect("server");
    let mut request = chat("hello", 3);
    request.user = Some("q1".to_owned());
    let url = base_url(server.addr());
    Client::new().complete(&url, &[], &request).await.expect("response")
}

async fn check_error(body: String) -> String {
    check_response(body).await.error.expect("response should be invalid")
}

async fn engine(token_ms: f64) -> engine::Handle {
    engine::spawn(engine::Config { token_ms, ..Default::default() }).await.expect("engine")
}

fn load_config(addr: SocketAddr, seed: u64) -> load::Config {
    load::Config {
        router_urls: vec![base_url(addr)],
        teams: vec![Team::new("a", "ka"), Team::new("b", "kb")],
        arrivals: Arrivals::Open { requests_per_s: 200.0 },
        model: "m1".to_owned(),
        response_tokens: Range { min: 1, max: 50 },
        duration: Duration::from_millis(500),
        seed,
        ..load::Config::default()
    }
}

async fn run(seed: u64) -> Totals {
    let engine = engine(0.0).await;
    load::run(&load_config(engine.addr(), seed)).await.totals()
}

cases! {
    complete_response_has_no_error => {
        let outcome = check_response(token("q1:1") + &token("q1:2") + &end(2)).await;
        assert_eq!((outcome.error, outcome.token_at.len()), (None, 2));
    }

    missing_token_is_detected => {
        assert!(check_error(token("q1:1") + &token("q1:3") + &end(2)).await.contains("q1:3"));
    }

    duplicate_token_is_detected => {
        assert!(check_error(token("q1:1") + &token("q1:1") + &end(2)).await.contains("q1:1"));
    }

    response_to_another_request_is_detected => {
        assert!(check_error(token("q2:1") + &end(1)).await.contains("q2:1"));
    }

    missing_last_token_is_detected => {
        assert!(check_error(token("q1:1") + &end(2)).await.contains("received 1 tokens, but usage states 2"));
    }

    missing_end_is_detected => {
        assert!(check_error(token("q1:1")).await.contains("ended early"));
    }

    events_after_the_end_are_detected => {
        assert!(check_error(token("q1:1") + &end(1) + &token("q1:2")).await.contains("after the end"));
    }

    error_event_sets_the_result_code => {
        let error = r#"data: {"error": {"code": 402, "message": "lost"}}"#;
        let outcome = check_response(token("q1:1") + error + "\n\n").await;
        assert_eq!((outcome.result_code, outcome.is_complete()), (402, false));
    }

    events_are_parsed_with_any_chunk_size => {
        let text = "id: 7\r\ndata: a\r\n\r\n: comment\nevent: error\ndata: b\ndata: c\n\n";
        for size in 1..text.len() {
            let mut parser = sse::Parser::default();
            let chunks = text.as_bytes().chunks(size);
            let events: Vec<_> = chunks.flat_map(|chunk| parser.push(chunk)).collect();
            assert_eq!(events.len(), 2);
            assert_eq!((events[0].id.as_deref(), events[0].data.as_str()), (Some("7"), "a"));
            assert_eq!((events[1].name.as_deref(), events[1].data.as_str()), (Some("error"), "b\nc"));
        }
    }

    requests_depend_only_on_the_seed => {
        let (first, again, other) = (run(7).await, run(7).await, run(8).await);
        assert_eq!(first.broken_reasons, Vec::<String>::new());
        assert!(first.request_count > 50 && first.complete_count == first.request_count);
        assert_eq!((first.request_count, first.token_count), (again.request_count, again.token_count));
        assert_ne!(first.token_count, other.token_count);
    }

    closed_loop_keeps_its_concurrency => {
        let engine = engine(2.0).await;
        let mut config = load_config(engine.addr(), 1);
        config.arrivals = Arrivals::Closed { concurrency: 3 };
        let report = load::run(&config).await;
        assert_eq!(engine.engine().stats().peak_running_count, 6);
        let totals = report.totals();
        assert_eq!((totals.complete_count, totals.broken_count), (totals.request_count, 0));
        assert!(totals.request_count > 12, "{totals:?}");
    }

    broken_responses_are_counted => {
        let engine = engine(1.0).await;
        let faults = engine::Faults { break_after_tokens: Some(0), ..Default::default() };
        engine.set_faults(faults);
        let totals = load::run(&load_config(engine.addr(), 1)).await.totals();
        assert!(totals.broken_count > 0 && totals.broken_count + totals.complete_count == totals.request_count);
    }

    hanging_requests_count_as_unanswered => {
        let engine = engine(1.0).await;
        engine.set_faults(engine::Faults { stall: true, ..Default::default() });
        let mut config = load_config(engine.addr(), 1);
        config.drain_timeout = Duration::from_millis(100);
        let totals = load::run(&config).await.totals();
        assert_eq!((totals.unanswered_count, totals.complete_count), (totals.request_count, 0));
        assert_eq!(engine.engine().stats().run_count, 0);
    }

    service_calls_have_unique_idempotency_keys => {
        let service = service::spawn(service::Config::default()).await.expect("service");
        let mut config = load_config(service.addr(), 1);
        let (path, name) = ("/bookings".to_owned(), "desk".to_owned());
        config.service = Some(ServiceCalls { service: name, path, ratio: 1.0, has_keys: true });
        let totals = load::run(&config).await.totals();
        let effects = service.service().effects();
        assert_eq!(effects.by_key.len() as u64, totals.complete_count);
        assert_eq!(totals.complete_count, totals.request_count);
    }

    demo_completes_without_errors => {
        let config = demo::Config {
            router_count: 2,
            duration: Duration::from_secs(2),
            warm_up: Duration::from_millis(500),
            ..demo::Config::default()
        };
        let mut progress = Vec::new();
        let summary = demo::run(&config, &mut progress).await.expect("demo");
        assert!(summary.is_clean(), "{}", summary.text());
        assert!(summary.report.totals().complete_count > 100);
        assert!(String::from_utf8_lossy(&progress).contains("20 model targets"));
    }

    latency_is_measured_on_both_paths => {
        let config = latency::Config {
            stream_count: 20,
            parallel_streams: 2,
            tokens_per_stream: 20,
            caller_count: 4,
            duration: Duration::from_millis(200),
        };
        let summary = latency::run(&config).await.expect("summary");
        assert!(summary.first_token.direct.p50_ms > 0.0 && summary.first_token.routed.p50_ms > 0.0);
        assert!(summary.chunk.routed.p50_ms > 0.0);
        assert!(summary.routed_rate.requests_per_s > 0.0 && summary.routed_rate.router_cores > 0.0);
    }
}
