//! Inference engine: batching, prefix cache, resumption, cancellation and delayed reports.

#[macro_use]
mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{base_url, chat, get, post, wait_until};
use gentianhinge_standin::client::{Client, Outcome};
use gentianhinge_standin::engine::{self, Config, EventPage, Faults, Handle, Load};
use gentianhinge_standin::sse;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time;

async fn spawn(token_ms: f64, slots: usize) -> Handle {
    let config =
        Config { token_ms, max_running_count: slots, load_lag_ms: 20, ..Config::default() };
    engine::spawn(config).await.expect("engine")
}

async fn complete(handle: &Handle, prompt: &str, tokens: u32) -> Outcome {
    let url = base_url(handle.addr());
    Client::new().complete(&url, &[], &chat(prompt, tokens)).await.expect("response")
}

/// Reads events up to the token with number `until` or the end of the stream; returns the numbers.
async fn read_tokens(body: &mut Incoming, until: u32) -> Vec<u32> {
    let mut parser = sse::Parser::default();
    let mut numbers = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Some(data) = frame.data_ref() else { continue };
        let ids = parser.push(data).into_iter().filter_map(|event| event.id);
        numbers.extend(ids.filter_map(|id| id.parse::<u32>().ok()));
        if numbers.last().is_some_and(|&last| last >= until) {
            break;
        }
    }
    numbers
}

async fn open(
    handle: &Handle,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> http::Response<Incoming> {
    let uri = format!("{}{path}", base_url(handle.addr()));
    let request = Request::builder().method(method).uri(uri).body(Full::new(Bytes::from(body)));
    Client::new().send(request.expect("request")).await.expect("head")
}

async fn open_stream(handle: &Handle, tokens: u32) -> (String, Incoming) {
    let body = serde_json::to_vec(&chat("hello", tokens)).expect("body");
    let response = open(handle, Method::POST, "/v1/chat/completions", body).await;
    let id = response.headers()["stream-id"].to_str().expect("id").to_owned();
    (id, response.into_body())
}

cases! {
    streamed_response_is_complete => {
        let handle = spawn(1.0, 4).await;
        let outcome = complete(&handle, "hello", 20).await;
        assert_eq!(outcome.error, None);
        assert_eq!(outcome.token_at.len(), 20);
    }

    non_streamed_response_is_complete => {
        let handle = spawn(1.0, 4).await;
        let mut request = chat("hello", 20);
        request.stream = false;
        request.user = Some("q7".to_owned());
        let url = base_url(handle.addr());
        let outcome = Client::new().complete(&url, &[], &request).await.expect("response");
        assert_eq!(outcome.error, None);
        assert_eq!(outcome.usage.expect("usage").completion_tokens, 20);
    }

    engine_without_batching_returns_complete_response => {
        let handle = spawn(0.0, 4).await;
        let outcome = complete(&handle, "hello", 20).await;
        assert_eq!(outcome.error, None);
    }

    /// Four streams run in the batch at once; the fifth waits for a slot.
    requests_beyond_the_batch_size_are_queued => {
        let handle = spawn(10.0, 4).await;
        let responses = (0..5).map(|i| complete(&handle, ["a", "b", "c", "d", "e"][i], 20));
        let outcomes = futures_util::future::join_all(responses).await;
        let stats = handle.engine().stats();
        assert_eq!(stats.peak_running_count, 4);
        assert_eq!(stats.peak_waiting_count, 1);
        let first_end = outcomes.iter().map(|outcome| outcome.ended_at).min().expect("five");
        let first_tokens = outcomes.iter().map(|outcome| outcome.token_at[0]);
        assert_eq!(first_tokens.filter(|&at| at > first_end - Duration::from_millis(5)).count(), 1);
    }

    stream_is_resumed_without_gap => {
        let handle = spawn(5.0, 4).await;
        let (id, mut body) = open_stream(&handle, 30).await;
        let first = read_tokens(&mut body, 10).await;
        drop(body);
        let offset = *first.last().expect("tokens");
        let path = format!("/v1/streams/{id}/resume?offset={offset}");
        let mut rest = open(&handle, Method::POST, &path, Vec::new()).await.into_body();
        let second = read_tokens(&mut rest, 30).await;
        let all: Vec<u32> = first.into_iter().chain(second).collect();
        assert_eq!(all, (1..=30).collect::<Vec<u32>>());
        assert_eq!(handle.engine().stats().resumed_count, 1);
    }

    broken_stream_is_resumed_without_gap => {
        let handle = spawn(2.0, 4).await;
        handle.set_faults(Faults { break_after_tokens: Some(5), break_count: Some(1), ..Faults::default() });
        let (id, mut body) = open_stream(&handle, 12).await;
        assert_eq!(read_tokens(&mut body, 12).await, [1, 2, 3, 4, 5]);
        let path = format!("/v1/streams/{id}/resume?offset=5");
        let mut rest = open(&handle, Method::POST, &path, Vec::new()).await.into_body();
        assert_eq!(read_tokens(&mut rest, 12).await, [6, 7, 8, 9, 10, 11, 12]);
    }

    cancel_frees_the_slot => {
        let handle = spawn(5.0, 1).await;
        let (id, mut body) = open_stream(&handle, 100_000).await;
        read_tokens(&mut body, 3).await;
        let cancelled = open(&handle, Method::DELETE, &format!("/v1/streams/{id}"), Vec::new()).await;
        assert_eq!(cancelled.status(), StatusCode::NO_CONTENT);
        assert_eq!(complete(&handle, "next", 3).await.error, None);
        assert_eq!(handle.engine().stats().cancelled_count, 1);
        let path = format!("/v1/streams/{id}/resume?offset=3");
        let resumed = open(&handle, Method::POST, &path, Vec::new()).await;
        assert_eq!(resumed.status(), StatusCode::NOT_FOUND);
    }

    unread_stream_is_cancelled_after_the_resume_window => {
        let config = Config { token_ms: 5.0, load_lag_ms: 10, resume_window_ms: 50, ..Config::default() };
        let handle = engine::spawn(config).await.expect("engine");
        let (_, mut body) = open_stream(&handle, 100_000).await;
        read_tokens(&mut body, 3).await;
        drop(body);
        let engine = handle.engine().clone();
        wait_until("stream abandoned", move || engine.stats().abandoned_count == 1).await;
    }

    cached_prefix_shortens_prefill => {
        let config = Config { token_ms: 1.0, prefill_token_ms: 1.0, ..Config::default() };
        let handle = engine::spawn(config).await.expect("engine");
        let prompt = "long specification ".repeat(60);
        let first = complete(&handle, &prompt, 2).await;
        let second = complete(&handle, &prompt, 2).await;
        assert_eq!(first.usage.expect("usage").cached_tokens, 0);
        assert!(second.usage.expect("usage").cached_tokens > 200);
        let wait = |outcome: &Outcome| outcome.token_at[0] - outcome.started_at;
        assert!(wait(&second) < wait(&first) / 2);
    }

    cache_size_is_limited => {
        let config = Config {
            token_ms: 0.0, max_cached_blocks: 4, load_lag_ms: 5, cache_event_lag_ms: 0,
            cache_event_loss_ratio: 0.0, ..Config::default()
        };
        let handle = engine::spawn(config).await.expect("engine");
        for name in ["a", "b", "c"] {
            complete(&handle, &name.repeat(3 * 256), 1).await;
        }
        let engine = handle.engine().clone();
        wait_until("load report", move || engine.load().cached_blocks == 4).await;
        let events: EventPage = get(handle.addr(), "/cache/events?from=0").await.json().expect("events");
        let stored = events.events.iter().filter(|event| event.kind == engine::EventKind::Stored);
        assert_eq!((stored.count(), events.events.len(), events.lost), (9, 14, false));
        let expected = blake3::hash(format!("user\n{}", "a".repeat(251)).as_bytes());
        assert_eq!(events.events[0].hash, expected.to_hex()[..16]);
    }

    lost_cache_events_are_marked => {
        let config = Config {
            token_ms: 0.0, cache_event_lag_ms: 0, cache_event_loss_ratio: 0.5, ..Config::default()
        };
        let handle = engine::spawn(config).await.expect("engine");
        complete(&handle, &"x".repeat(20 * 256), 1).await;
        let events: EventPage = get(handle.addr(), "/cache/events?from=0").await.json().expect("events");
        assert!(events.lost && events.events.len() < 20);
    }

    load_report_is_delayed => {
        let config = Config { token_ms: 5.0, load_lag_ms: 300, ..Config::default() };
        let handle = engine::spawn(config).await.expect("engine");
        let (_, mut body) = open_stream(&handle, 100_000).await;
        read_tokens(&mut body, 1).await;
        let now: Load = get(handle.addr(), "/load").await.json().expect("load");
        assert_eq!(now.running_count, 0);
        let engine = handle.engine().clone();
        wait_until("running stream reported", move || engine.load().running_count == 1).await;
        let age_ms = engine::unix_time().as_millis() as u64 - handle.engine().load().at_ms;
        assert!(age_ms >= 300, "load report is only {age_ms} ms old");
    }

    repeated_attempts_are_counted => {
        let handle = spawn(0.0, 4).await;
        let url = base_url(handle.addr());
        for attempt in ["one", "two", "one"] {
            let headers = [("x-attempt-id", attempt)];
            Client::new().complete(&url, &headers, &chat("hello", 1)).await.expect("response");
        }
        assert_eq!(handle.engine().attempts()["one"], 2);
        assert_eq!(handle.engine().stats().repeated_attempt_count, 1);
    }

    stalled_engine_sends_nothing_and_continues_afterwards => {
        let handle = spawn(2.0, 4).await;
        let (_, mut body) = open_stream(&handle, 100_000).await;
        read_tokens(&mut body, 5).await;
        assert_eq!(post(handle.addr(), "/faults", r#"{"stall": true}"#).await.status, 204);
        // Reads the tokens that were in transit when the stall began.
        let silence = Duration::from_millis(100);
        while let Ok(Some(_)) = time::timeout(silence, body.frame()).await {}
        handle.set_faults(Faults::default());
        assert!(!read_tokens(&mut body, 1).await.is_empty());
    }

    status_fault_rejects_requests_without_running_them => {
        let handle = spawn(0.0, 4).await;
        handle.set_faults(Faults { status: Some(503), ..Faults::default() });
        assert_eq!(complete(&handle, "hello", 1).await.status, 503);
        assert_eq!(handle.engine().stats().run_count, 0);
    }

    unknown_fault_is_rejected => {
        let handle = spawn(0.0, 4).await;
        assert_eq!(post(handle.addr(), "/faults", r#"{"stalled": true}"#).await.status, 400);
    }

    wrong_model_and_malformed_body_are_rejected => {
        let handle = spawn(0.0, 4).await;
        let mut request = chat("hello", 1);
        request.model = "other".to_owned();
        let body = serde_json::to_string(&request).expect("body");
        assert_eq!(post(handle.addr(), "/v1/chat/completions", &body).await.status, 404);
        assert_eq!(post(handle.addr(), "/v1/chat/completions", "{").await.status, 400);
    }

    request_on_refused_connection_is_not_run => {
        let handle = spawn(0.0, 4).await;
        handle.set_faults(Faults { refuse_ms: Some(60_000), ..Faults::default() });
        let url = base_url(handle.addr());
        assert!(Client::new().complete(&url, &[], &chat("hello", 1)).await.is_err());
        assert_eq!(handle.engine().stats().run_count, 0);
    }
}
