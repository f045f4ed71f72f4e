//! Requests that end each target that runs them and come again, at any router.

mod edge_kit;
mod support;

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use edge_kit::{FullResponse, Router, Store};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Body of the request that ends its targets.
const DEADLY_BODY: &str = "deadly";

/// Time for which a target runs the deadly request before it ends.
const RUN_TIME: Duration = Duration::from_millis(60);

/// Pause between two requests, more than routers need to hear of an ended target.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// Number of targets that the request may end until it must be known.
const MAX_ENDED: usize = 3;

/// Number of times that the request comes.
const REQUEST_COUNT: usize = 9;

/// When a target ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// Before any byte of the answer.
    BeforeHead,
    /// After the head of the answer.
    AfterHead,
    /// After the head and one event.
    AfterEvent,
    /// Before any byte of the answer; its connections stay open without a word.
    Silent,
    /// Before any byte of the answer, each other time that it comes. Otherwise the target fails
    /// before it runs the request.
    BetweenErrors,
}

/// Starts a target that ends when it runs the deadly request. `ended_count` counts those that did.
async fn start_target(id: &str, end: End, ended_count: &Arc<AtomicUsize>) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (id, ended_count) = (id.to_string(), ended_count.clone());
    tokio::spawn(async move {
        let (is_ending, has_ended) = (watch::Sender::new(false), watch::Sender::new(false));
        let mut ends = is_ending.subscribe();
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => accepted.unwrap().0,
                _ = ends.wait_for(|is_ending| *is_ending) => break,
            };
            let (id, sender, mut ends) = (id.clone(), is_ending.clone(), has_ended.subscribe());
            tokio::spawn(async move {
                tokio::select! {
                    () = serve(stream, &id, end, sender) => {}
                    _ = ends.wait_for(|has_ended| *has_ended), if end != End::Silent => {}
                }
            });
        }
        // As when a process ends, nothing can connect once its connections are closed.
        drop(listener);
        has_ended.send_replace(true);
        ended_count.fetch_add(1, Ordering::Relaxed);
    });
    addr
}

async fn serve(mut stream: TcpStream, id: &str, end: End, is_ending: watch::Sender<bool>) {
    while let Some((head, body)) = read_request(&mut stream).await {
        if header(&head, "expect-instance") != Some(id) {
            let refusal = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(refusal.as_bytes()).await.ok();
            continue;
        }
        let is_stream = head.starts_with("POST /brief/") || head.starts_with("POST /note/");
        let stamp =
            format!("Attempt-Id: {}\r\nServer-Stamp: s\r\n", header(&head, "attempt-id").unwrap());
        let last_id = header(&head, "last-event-id").map_or(0, |id| id.parse::<u64>().unwrap());
        let next_id = last_id + 1;
        let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
        let attempt_id = header(&head, "attempt-id").unwrap().to_string();
        let head = match is_stream {
            true => format!("HTTP/1.1 200 OK\r\n{stamp}{framing}\r\n"),
            false => format!("HTTP/1.1 200 OK\r\n{stamp}Content-Length: 4\r\n\r\n"),
        };
        if end == End::BetweenErrors && body == DEADLY_BODY && is_odd(&attempt_id) {
            let error =
                format!("HTTP/1.1 500 Internal Server Error\r\n{stamp}Content-Length: 0\r\n\r\n");
            stream.write_all(error.as_bytes()).await.ok();
            continue;
        }
        if body == DEADLY_BODY {
            if matches!(end, End::AfterHead | End::AfterEvent) {
                stream.write_all(head.as_bytes()).await.ok();
            }
            if end == End::AfterEvent && is_stream {
                let event = format!("id: {next_id}\ndata: event {next_id}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await.ok();
            }
            tokio::time::sleep(RUN_TIME).await;
            stream.set_zero_linger().unwrap();
            is_ending.send_replace(true);
            std::future::pending::<()>().await;
        }
        let events = edge_kit::full_stream();
        let answer = match is_stream {
            true => format!("{:x}\r\n{events}\r\n0\r\n\r\n", events.len()),
            false => "done".to_string(),
        };
        stream.write_all(head.as_bytes()).await.ok();
        stream.write_all(answer.as_bytes()).await.ok();
    }
}

fn is_odd(attempt_id: &str) -> bool {
    attempt_id.bytes().last().is_some_and(|digit| digit % 2 == 1)
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}

/// Reads a request with a body of known length.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let len = header(head, "content-length").map_or(0, |len| len.parse().unwrap());
            if body.len() >= len {
                return Some((head.to_string(), body.to_string()));
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(len) if len > 0 => bytes.extend_from_slice(&buffer[..len]),
            _ => return None,
        }
    }
}

async fn call(router: &Router, path: &str, id: &str, body: &str) -> FullResponse {
    let parts = format!("f{}:20", id.trim_start_matches(|c: char| c.is_ascii_lowercase()));
    let headers = [("model", "m"), ("token-counts", "1000,40"), ("prefix-hash", parts.as_str())];
    let request = edge_kit::request(path, id, &headers);
    let request = request.map(|_| Full::from(Bytes::from(body.to_string())));
    edge_kit::call(router, request).await
}

/// Sends the deadly request again and again, in turn to three routers, each time with a new id and
/// with a sound request beside it.
async fn the_request_is_held(path: &str, end: End) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let ended_count = Arc::new(AtomicUsize::new(0));
    for i in 0..24 {
        let id = format!("t{i}");
        store.put_target(&id, start_target(&id, end, &ended_count).await, "ready");
    }
    let routers = ["r1", "r2", "r3"].map(|name| Router::start_as(name, store_addr, 4096));
    for router in &routers {
        router.wait_for_readiness(200).await;
    }
    for router in &routers {
        edge_kit::wait_for(Duration::from_secs(10), async || {
            let status = edge_kit::get(router.operators, "/status").await.unwrap().1;
            status.contains(r#""routers":3"#)
        })
        .await;
    }
    let mut last = None;
    for i in 0..REQUEST_COUNT {
        let router = &routers[i % routers.len()];
        last = Some(call(router, path, &format!("d{i}"), DEADLY_BODY).await);
        tokio::time::sleep(REQUEST_INTERVAL).await;
        let sound = call(router, path, &format!("s{i}"), &format!("sound {i}")).await;
        assert!(sound.status == 200 && sound.is_complete, "{i}: {}", sound.status);
    }
    let ended_count = ended_count.load(Ordering::Relaxed);
    assert!(ended_count <= MAX_ENDED, "{ended_count} targets ended");
    let last = last.unwrap();
    assert_eq!((last.status, last.body.as_str()), (503, "quarantined\n"));
    assert!(!last.headers.contains_key("retry-after"));
}

macro_rules! cases {
    ($($name:ident: $path:expr, $end:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { the_request_is_held($path, $end).await }
    )* };
}

cases! {
    a_plain_request_that_ends_its_targets_is_held: "/look/1", End::BeforeHead,
    a_plain_request_that_ends_its_targets_within_the_answer_is_held: "/look/2", End::AfterHead,
    a_request_that_runs_once_and_ends_its_targets_is_held: "/book/1", End::BeforeHead,
    a_resumable_stream_that_ends_its_targets_before_the_answer_is_held: "/brief/1", End::BeforeHead,
    a_resumable_stream_that_ends_its_targets_at_the_start_is_held: "/brief/2", End::AfterHead,
    a_resumable_stream_that_ends_its_targets_after_events_is_held: "/brief/3", End::AfterEvent,
    a_stream_that_ends_its_targets_before_the_answer_is_held: "/note/1", End::BeforeHead,
    a_stream_that_ends_its_targets_after_events_is_held: "/note/3", End::AfterEvent,
    a_request_that_is_answered_with_errors_between_is_held: "/look/5", End::BetweenErrors,
    a_request_whose_targets_are_found_gone_after_silence_is_held: "/look/4", End::Silent,
}
