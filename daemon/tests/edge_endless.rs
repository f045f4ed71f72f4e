//! Targets that send without end in a head, a body or an event.

mod edge_kit;
mod support;

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use edge_kit::{Behavior, Router, Store, Target};
use futures_util::future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Memory of the smallest host in the users' installations, according to their data sheets.
const MEMORY_KB: u64 = 160_000;

/// Number of concurrent requests to such a target.
const REQUEST_COUNT: usize = 60;

/// Time within which callers with a deadline of 3 s must have a response: the deadline and 1 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

const SIGNED: &str = "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-stamp: s\r\n";

/// A target that begins each response with `head` and repeats `tail` until the connection is
/// closed.
#[derive(Clone)]
struct EndlessTarget {
    head: String,
    tail: Vec<u8>,
    open_count: Arc<AtomicI64>,
    request_count: Arc<AtomicI64>,
}

impl EndlessTarget {
    async fn start(head: &str, tail: &str) -> (EndlessTarget, net::SocketAddr) {
        let tail = tail.repeat(65_536 / tail.len()).into_bytes();
        let endless_target = EndlessTarget {
            head: head.to_string(),
            tail,
            open_count: Arc::default(),
            request_count: Arc::default(),
        };
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = endless_target.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.respond(stream).await });
            }
        });
        (endless_target, addr)
    }

    async fn respond(self, mut stream: tokio::net::TcpStream) {
        let mut head = Vec::new();
        while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            match stream.read_buf(&mut head).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
        self.open_count.fetch_add(1, Ordering::SeqCst);
        self.request_count.fetch_add(1, Ordering::SeqCst);
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let id = head.lines().find_map(|line| line.strip_prefix("attempt-id: "));
        let start = self.head.replace("ID", id.unwrap_or_default());
        if stream.write_all(start.as_bytes()).await.is_ok() {
            while stream.write_all(&self.tail).await.is_ok() {}
        }
        self.open_count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Peak resident memory of a process, in KB.
fn peak_kb(pid: i32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches("kB").trim().parse().unwrap()
}

/// Sends concurrent requests to a target that sends without end. The router must stay within its
/// memory, pass no such response on as complete, close the connections, and serve requests
/// afterwards.
async fn check_endless_response(path: &'static str, head: &str, tail: &str) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let (endless_target, addr) = EndlessTarget::start(head, tail).await;
    store.put_target("t0", addr, "ready");
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    let calls = (0..REQUEST_COUNT).map(async |i| {
        let request = edge_kit::request(path, &format!("e{i}"), &[("deadline-ms", "3000")]);
        let call = edge_kit::call(&router, request);
        tokio::time::timeout(RESPONSE_TIMEOUT, call).await.expect("no response in time")
    });
    for response in future::join_all(calls).await {
        assert!(response.status >= 500 || !response.is_complete, "status {}", response.status);
    }
    assert!(endless_target.request_count.load(Ordering::SeqCst) > 0);
    edge_kit::wait_for(Duration::from_secs(2), async || {
        endless_target.open_count.load(Ordering::SeqCst) == 0
    })
    .await;
    let peak_kb = peak_kb(router.process.pid().as_raw_nonzero().get());
    assert!(peak_kb < MEMORY_KB, "{peak_kb} KB");
    store.put_target("t0", addr, "draining");
    let (healthy, addr) = Target::start("t1", Behavior::Serve).await;
    store.put_target(&healthy.id, addr, "ready");
    edge_kit::wait_for(edge_kit::APPLY_BOUND, async || {
        edge_kit::call(&router, edge_kit::request("/look/", "g1", &[])).await.status == 200
    })
    .await;
}

macro_rules! cases {
    ($($name:ident: $path:literal, $head:expr, $tail:literal;)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { check_endless_response($path, &$head, $tail).await }
    )* };
}

cases! {
    a_status_line_without_end: "/look/", "HTTP/1.1 200 ", "O";
    a_header_without_end: "/look/", format!("{SIGNED}x: "), "y";
    headers_without_end: "/look/", SIGNED, "x-more: y\r\n";
    interim_responses_without_end: "/look/", "", "HTTP/1.1 102 Processing\r\n\r\n";
    bytes_that_are_no_response: "/look/", "", "\u{1}\u{2}no answer";
    a_body_without_length_or_end: "/look/", format!("{SIGNED}connection: close\r\n\r\n"), "b";
    a_body_in_chunks_without_end: "/look/", format!("{SIGNED}transfer-encoding: chunked\r\n\r\n"),
        "8\r\nabcdefgh\r\n";
    a_chunk_extension_without_end: "/look/",
        format!("{SIGNED}transfer-encoding: chunked\r\n\r\n8;"), "x";
    the_body_of_a_response_that_states_not_run: "/book/",
        "HTTP/1.1 503 Service Unavailable\r\nattempt-id: ID\r\nnot-executed: 1\r\n\r\n", "b";
    the_body_of_a_response_to_a_request_that_runs_once: "/book/", format!("{SIGNED}\r\n"), "b";
    an_event_without_end: "/brief/",
        format!("{SIGNED}content-type: text/event-stream\r\n\r\nid: 1\ndata: "), "d";
    comments_without_end: "/brief/",
        format!("{SIGNED}content-type: text/event-stream\r\n\r\n"), ": more\n\n";
}
