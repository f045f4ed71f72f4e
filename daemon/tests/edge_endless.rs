//! Targets whose bytes never end: in a head, in a body, in an event.

mod edge_kit;
mod support;

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use edge_kit::{Act, Router, Store, Target};
use futures_util::future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Memory of the smallest host of the users' installations, from their sheets.
const MEMORY_KB: u64 = 160_000;

/// Requests that meet such a target at the same time.
const CALLS: usize = 60;

/// Time within which callers with a time limit of 3 s have an answer: that limit, and a second.
const ANSWER_BOUND: Duration = Duration::from_secs(4);

const SIGNED: &str = "HTTP/1.1 200 OK\r\nattempt-id: ID\r\nserver-stamp: s\r\n";

/// A target that begins each answer with `head` and goes on with `rest` until it is closed.
#[derive(Clone)]
struct Endless {
    head: String,
    rest: Vec<u8>,
    open: Arc<AtomicI64>,
    met: Arc<AtomicI64>,
}

impl Endless {
    async fn start(head: &str, rest: &str) -> (Endless, net::SocketAddr) {
        let rest = rest.repeat(65_536 / rest.len()).into_bytes();
        let endless =
            Endless { head: head.to_string(), rest, open: Arc::default(), met: Arc::default() };
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = endless.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.answer(stream).await });
            }
        });
        (endless, addr)
    }

    async fn answer(self, mut stream: tokio::net::TcpStream) {
        let mut head = Vec::new();
        while !head.windows(4).any(|four| four == b"\r\n\r\n") {
            match stream.read_buf(&mut head).await {
                Ok(count) if count > 0 => {}
                _ => return,
            }
        }
        self.open.fetch_add(1, Ordering::SeqCst);
        self.met.fetch_add(1, Ordering::SeqCst);
        let head = String::from_utf8_lossy(&head).to_lowercase();
        let id = head.lines().find_map(|line| line.strip_prefix("attempt-id: "));
        let begin = self.head.replace("ID", id.unwrap_or_default());
        if stream.write_all(begin.as_bytes()).await.is_ok() {
            while stream.write_all(&self.rest).await.is_ok() {}
        }
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Peak memory of a process so far.
fn peak_kb(pid: i32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches("kB").trim().parse().unwrap()
}

/// Many requests meet a target whose bytes never end. The router stays within its memory, tells no
/// caller that such an answer is complete, closes the connections, and serves others meanwhile.
async fn meets(path: &'static str, head: &str, rest: &str) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let (endless, addr) = Endless::start(head, rest).await;
    store.put_target("t0", addr, "ready");
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    let calls = (0..CALLS).map(async |i| {
        let request = edge_kit::request(path, &format!("e{i}"), &[("deadline-ms", "3000")]);
        let call = edge_kit::call(&router, request);
        tokio::time::timeout(ANSWER_BOUND, call).await.expect("an answer within the time limit")
    });
    for answer in future::join_all(calls).await {
        assert!(answer.status >= 500 || !answer.is_whole, "status {}", answer.status);
    }
    assert!(endless.met.load(Ordering::SeqCst) > 0);
    edge_kit::wait_for(Duration::from_secs(2), async || endless.open.load(Ordering::SeqCst) == 0)
        .await;
    let peak_kb = peak_kb(router.process.pid().as_raw_nonzero().get());
    assert!(peak_kb < MEMORY_KB, "{peak_kb} KB");
    store.put_target("t0", addr, "draining");
    let (good, addr) = Target::start("t1", Act::Serve).await;
    store.put_target(&good.id, addr, "ready");
    edge_kit::wait_for(edge_kit::APPLY_BOUND, async || {
        edge_kit::call(&router, edge_kit::request("/look/", "g1", &[])).await.status == 200
    })
    .await;
}

macro_rules! cases {
    ($($name:ident: $path:literal, $head:expr, $rest:literal;)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { meets($path, &$head, $rest).await }
    )* };
}

cases! {
    a_status_line_without_end: "/look/", "HTTP/1.1 200 ", "O";
    a_header_without_end: "/look/", format!("{SIGNED}x: "), "y";
    headers_without_end: "/look/", SIGNED, "x-more: y\r\n";
    interim_answers_without_end: "/look/", "", "HTTP/1.1 102 Processing\r\n\r\n";
    bytes_that_are_no_answer: "/look/", "", "\u{1}\u{2}no answer";
    a_body_without_length_or_end: "/look/", format!("{SIGNED}connection: close\r\n\r\n"), "b";
    a_body_in_chunks_without_end: "/look/", format!("{SIGNED}transfer-encoding: chunked\r\n\r\n"),
        "8\r\nabcdefgh\r\n";
    a_chunk_extension_without_end: "/look/",
        format!("{SIGNED}transfer-encoding: chunked\r\n\r\n8;"), "x";
    the_body_of_an_answer_that_says_not_run: "/book/",
        "HTTP/1.1 503 Service Unavailable\r\nattempt-id: ID\r\nnot-executed: 1\r\n\r\n", "b";
    the_body_of_a_call_that_runs_once: "/book/", format!("{SIGNED}\r\n"), "b";
    an_event_without_end: "/brief/",
        format!("{SIGNED}content-type: text/event-stream\r\n\r\nid: 1\ndata: "), "d";
    comments_without_end: "/brief/",
        format!("{SIGNED}content-type: text/event-stream\r\n\r\n"), ": more\n\n";
}
