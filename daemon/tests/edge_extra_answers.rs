//! Answers that belong to no request, on kept connections to targets.

mod edge_kit;
mod support;

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use edge_kit::{Router, Store, call, raw, request};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Statement that a request wasn't run, which names none.
const REFUSAL: &str = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// Time between two requests, after which a connection may be used again.
const PAUSE: Duration = Duration::from_millis(100);

/// Starts a target that runs each request. As it begins with the second one on a connection, it
/// sends an extra answer.
async fn start_target(run_count: Arc<AtomicUsize>) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, run_count.clone()));
        }
    });
    addr
}

async fn serve(mut stream: TcpStream, run_count: Arc<AtomicUsize>) {
    let mut count = 0;
    while let Some(head) = raw::read_request(&mut stream).await {
        run_count.fetch_add(1, Ordering::SeqCst);
        count += 1;
        if count == 2 {
            stream.write_all(REFUSAL.as_bytes()).await.ok();
        }
        let response = raw::response_head(&head, "Content-Length: 6\r\n") + "served";
        stream.write_all(response.as_bytes()).await.ok();
    }
}

/// Sends two requests over a router with two targets; returns the status of the second, and how
/// often it was run.
async fn second_request(path: &str) -> (u16, usize) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let run_count = Arc::default();
    let first_target = start_target(Arc::clone(&run_count)).await;
    store.put_target("t0", first_target, "ready");
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    router.wait_for_routers().await;
    assert_eq!(call(&router, request(path, "x1", &[])).await.status, 200);
    store.put_target("t1", start_target(Arc::clone(&run_count)).await, "ready");
    time::sleep(PAUSE).await;
    let before = run_count.load(Ordering::SeqCst);
    let status = call(&router, request(path, "x2", &[])).await.status;
    time::sleep(PAUSE).await;
    (status, run_count.load(Ordering::SeqCst) - before)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr,)*) => { $(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    /// Guards against taking an answer without an id on a kept connection for the statement that an
    /// order wasn't run, and running it again (TWICE).
    an_order_is_not_run_again_after_an_extra_answer_without_an_id: {
        let (status, run_count) = second_request("/book/").await;
        assert!(run_count == 1 && matches!(status, 200 | 502), "{status}, {run_count} runs");
    },
    /// The same for a stream that isn't resumed (TWICE).
    a_stream_is_not_run_again_after_an_extra_answer_without_an_id: {
        let (status, run_count) = second_request("/note/").await;
        assert!(run_count == 1 && matches!(status, 200 | 502), "{status}, {run_count} runs");
    },
    /// Guards against taking that answer for the caller's where the request may be repeated.
    a_read_is_answered_beside_an_extra_answer_without_an_id: {
        let (status, run_count) = second_request("/look/").await;
        assert!(status == 200 && run_count <= 2, "{status}, {run_count} runs");
    },
}
