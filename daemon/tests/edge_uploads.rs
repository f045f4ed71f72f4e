//! Large request bodies that arrive together.

mod edge_kit;
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use edge_kit::{KEY, Router, Store};
use futures_util::future;
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use tokio::time;

/// Size of an upload; the configuration allows a little more.
const UPLOAD_BYTES: usize = 4_000_000;

/// Uploads at the same time: more than a router has memory for.
const UPLOAD_COUNT: usize = 80;

/// Memory of the process, as in the settings' default.
const MEMORY_KB: u64 = 250_000;

/// Time that a target takes.
const SERVICE_TIME: Duration = Duration::from_millis(1500);

/// Starts a target that counts the whole uploads that it gets.
async fn start_target(id: &str, run_count: &Arc<AtomicUsize>) -> std::net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (id, run_count) = (id.to_string(), run_count.clone());
    let serve = async move |request: axum::extract::Request| {
        let (head, body) = request.into_parts();
        assert_eq!(head.headers["expect-instance"], id.as_str());
        let request_id = head.headers["attempt-id"].clone();
        assert!(body.collect().await.unwrap().to_bytes().len() <= UPLOAD_BYTES);
        run_count.fetch_add(1, Ordering::SeqCst);
        time::sleep(SERVICE_TIME).await;
        let headers =
            [("attempt-id", request_id), ("server-stamp", http::HeaderValue::from_static("s"))];
        (headers, "served")
    };
    let app = axum::Router::new().fallback(serve).layer(axum::extract::DefaultBodyLimit::disable());
    tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
    addr
}

async fn fleet() -> (Store, Router, Arc<AtomicUsize>) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let (_, newest) = store.backup()["keyed.op"].last().unwrap().clone();
    let mut config = serde_json::from_slice::<Value>(&newest).unwrap();
    config["version"] = 4.into();
    config["limits"]["max_body_bytes"] = (UPLOAD_BYTES + 1000).into();
    store.put("keyed.op", "config", config.to_string());
    let run_count = Arc::default();
    for i in 0..UPLOAD_COUNT / 8 {
        let id = format!("t{i}");
        store.put_target(&id, start_target(&id, &run_count).await, "ready");
    }
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    (store, router, run_count)
}

/// Sends a body; returns the status of the response, 0 without one, and whether it has `Retry-After`.
async fn upload(router: &Router, id: &str, body: Bytes) -> (u16, bool) {
    let request = http::Request::post("/book/")
        .header("host", "lanes.example")
        .header("attempt-id", id)
        .header("deadline-ms", "4000")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(body))
        .unwrap();
    let mut sender = edge_kit::connect(router.callers).await.unwrap();
    let Ok(response) = sender.send_request(request).await else { return (0, false) };
    (response.status().as_u16(), response.headers().contains_key("retry-after"))
}

/// Peak resident memory of a process, in KB.
fn peak_kb(router: &Router) -> u64 {
    let pid = router.process.pid().as_raw_nonzero();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches("kB").trim().parse().unwrap()
}

/// Guards against a router that exceeds its memory under uploads within the limits: the platform ends
/// it, and all that it has in progress is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn uploads_beyond_the_memory_are_refused_and_the_others_served() {
    let (_store, router, run_count) = fleet().await;
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    let ids = (0..UPLOAD_COUNT).map(|i| format!("u{i}")).collect::<Vec<_>>();
    let calls = ids.iter().map(|id| upload(&router, id, body.clone()));
    let small = async {
        time::sleep(SERVICE_TIME / 2).await;
        upload(&router, "small", Bytes::from_static(b"body")).await
    };
    let (statuses, small) = future::join(future::join_all(calls), small).await;
    let served_count = statuses.iter().filter(|(status, _)| *status == 200).count();
    let refused_count = statuses.iter().filter(|answer| **answer == (503, true)).count();
    assert_eq!(served_count + refused_count, UPLOAD_COUNT, "{statuses:?}");
    assert_eq!(small.0, 200, "a small request beside the uploads");
    assert_eq!(run_count.load(Ordering::SeqCst), served_count + 1);
    assert!(served_count >= 15, "{served_count} served");
    let peak_kb = peak_kb(&router);
    assert!(peak_kb < MEMORY_KB, "{peak_kb} KB");
    // The memory is there again.
    assert_eq!(upload(&router, "again", body).await.0, 200);
}

/// Guards against a body in chunks that takes more memory than one with a length.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn uploads_in_chunks_keep_to_the_memory_as_well() {
    let (_store, router, _) = fleet().await;
    let calls = (0..UPLOAD_COUNT).map(async |i| {
        let chunk = Bytes::from(vec![b'u'; 100_000]);
        let chunks = (0..UPLOAD_BYTES / chunk.len())
            .map(move |_| Ok::<_, std::convert::Infallible>(http_body::Frame::data(chunk.clone())));
        let body = http_body_util::StreamBody::new(futures_util::stream::iter(chunks));
        let request = http::Request::post("/book/")
            .header("host", "lanes.example")
            .header("attempt-id", format!("c{i}"))
            .header("deadline-ms", "4000")
            .header("authorization", format!("Bearer {KEY}"))
            .body(body)
            .unwrap();
        let stream = tokio::net::TcpStream::connect(router.callers).await.unwrap();
        let io = hyper_util::rt::TokioIo::new(stream);
        let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
        tokio::spawn(async move { connection.await.ok() });
        sender.send_request(request).await.map_or(0, |response| response.status().as_u16())
    });
    let statuses = future::join_all(calls).await;
    assert!(statuses.iter().all(|status| matches!(status, 200 | 503)), "{statuses:?}");
    assert!(statuses.contains(&200), "{statuses:?}");
    let peak_kb = peak_kb(&router);
    assert!(peak_kb < MEMORY_KB, "{peak_kb} KB");
}
