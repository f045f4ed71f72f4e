//! A router that shuts down answers each request that it has read, and each that lies complete in
//! its sockets when it closes.

mod edge_kit;
mod support;

use std::net;
use std::time::Duration;

use edge_kit::{Behavior, KEY, Router, Store, Target, raw};
use futures_util::future;
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{self, Instant};

/// Grace period in the settings of the tests.
const GRACE: Duration = Duration::from_secs(8);

/// Time from SIGTERM to the phase Closing.
const ROTATION_TIME: Duration = Duration::from_millis(2600);

/// Time for which the router waits for a caller to close its connection.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// Time that a step may take longer on a busy machine.
const SLACK: Duration = Duration::from_millis(700);

/// Requests or connections at the same time; fewer than the standard library's accept backlog.
const COUNT: usize = 60;

/// Size of a response that exceeds the buffers of the sockets.
const LARGE_BYTES: usize = 6 << 20;

/// A router with one target.
async fn fleet(behavior: Behavior) -> (Store, Target, Router) {
    let (target, addr) = Target::start("t0", behavior).await;
    let (store, router) = router_of(addr).await;
    (store, target, router)
}

/// A router whose target `t0` has this address.
async fn router_of(target: net::SocketAddr) -> (Store, Router) {
    let (store, store_addr) = Store::start().await;
    store.put_config_with_timeout(3, Duration::from_secs(20));
    store.put_target("t0", target, "ready");
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    router.wait_for_routers().await;
    (store, router)
}

fn head(path: &str, id: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: lanes.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 15000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\n"
    )
}

/// Sends a complete request.
async fn send(stream: &mut TcpStream, path: &str, id: &str) -> std::io::Result<()> {
    stream.write_all((head(path, id) + "body").as_bytes()).await
}

/// Reads a response with a length to its end; returns its status and whether it asks to close the
/// connection, or what was received of an incomplete one.
async fn read_response(stream: &mut TcpStream) -> Result<(u16, bool), String> {
    let mut received = Vec::new();
    loop {
        if let Some(response) = parse(&received) {
            return Ok(response);
        }
        let mut buffer = [0; 16 << 10];
        match time::timeout(GRACE, stream.read(&mut buffer)).await {
            Ok(Ok(len)) if len > 0 => received.extend_from_slice(&buffer[..len]),
            end => return Err(format!("{end:?} after {} bytes", received.len())),
        }
    }
}

fn parse(bytes: &[u8]) -> Option<(u16, bool)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let is_whole = bytes.len() >= end + length.trim().parse::<usize>().ok()?;
    is_whole.then(|| (status, head.contains("connection: close")))
}

/// Opens a connection, uses it once and keeps it.
async fn kept_connection(router: &Router, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(router.callers).await.unwrap();
    send(&mut stream, "/book/", id).await.unwrap();
    assert_eq!(read_response(&mut stream).await, Ok((200, false)));
    stream
}

async fn kept_connections(router: &Router) -> Vec<TcpStream> {
    let mut kept = Vec::new();
    for i in 0..COUNT {
        kept.push(kept_connection(router, &format!("k{i}")).await);
    }
    kept
}

/// Sends SIGTERM, and suspends the process over the beginning of the phase Closing, while `sending`
/// fills its sockets.
async fn fill_sockets_at_close<T>(router: &Router, sending: impl Future<Output = T>) -> T {
    let terminated_at = Instant::now();
    router.process.signal(Signal::TERM);
    time::sleep_until(terminated_at + ROTATION_TIME - Duration::from_millis(600)).await;
    router.process.signal(Signal::STOP);
    let sent = sending.await;
    time::sleep_until(terminated_at + ROTATION_TIME + Duration::from_millis(200)).await;
    router.process.signal(Signal::CONT);
    sent
}

/// Checks that the process ends by itself within `timeout`.
fn check_exit(router: &mut Router, timeout: Duration) {
    let status = router.process.wait_for_exit(timeout);
    let status = status.unwrap_or_else(|| panic!("still runs after {timeout:?}"));
    assert!(status.success(), "{status}");
}

/// Reads all responses; each must be complete, say 200 or 503, and ask to close the connection.
async fn check_answered(streams: &mut [TcpStream]) {
    let reading = streams.iter_mut().map(read_response);
    for (i, response) in future::join_all(reading).await.into_iter().enumerate() {
        assert!(matches!(response, Ok((200 | 503, true))), "request {i}: {response:?}");
    }
}

/// A target that handles each connection by itself.
async fn start_target<F: Future<Output = ()> + Send>(
    serve: impl Fn(TcpStream) -> F + Copy + Send + 'static,
) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move { serve(stream).await });
        }
    });
    addr
}

/// Reads a request and closes the connection without running it.
async fn close_without_response(mut stream: TcpStream) {
    raw::read_request(&mut stream).await;
}

/// Sends a large response.
async fn serve_large(mut stream: TcpStream) {
    let Some(head) = raw::read_request(&mut stream).await else { return };
    let lines = format!("Content-Length: {LARGE_BYTES}\r\nConnection: close\r\n");
    let head = raw::response_head(&head, &lines);
    stream.write_all(head.as_bytes()).await.ok();
    stream.write_all(&vec![b'x'; LARGE_BYTES]).await.ok();
}

/// Connects with a small receive buffer, as a slow caller's, and sends a request.
async fn slow_caller(router: &Router, path: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(32 << 10).unwrap();
    let mut stream = socket.connect(router.callers).await.unwrap();
    send(&mut stream, path, "s1").await.unwrap();
    stream
}

/// Reads to the end at a limited rate; returns the number of bytes, or the error with it.
async fn read_slowly(
    mut stream: TcpStream,
    chunk_bytes: usize,
    pause: Duration,
) -> Result<usize, String> {
    let (mut count, mut buffer) = (0, vec![0; chunk_bytes]);
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return Ok(count),
            Ok(len) => count += len,
            Err(err) => return Err(format!("{err} after {count} bytes")),
        }
        time::sleep(pause).await;
    }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr,)*) => { $(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    /// Guards against resetting connections that wait in the accept queue.
    requests_in_the_accept_queue_at_the_close_are_answered: {
        let (_store, target, mut router) = fleet(Behavior::ServeAfter(Duration::from_millis(50))).await;
        let mut streams = fill_sockets_at_close(&router, async {
            let mut streams = Vec::new();
            for i in 0..COUNT {
                let mut stream = TcpStream::connect(router.callers).await.unwrap();
                send(&mut stream, "/book/", &format!("q{i}")).await.unwrap();
                streams.push(stream);
            }
            streams
        })
        .await;
        check_answered(&mut streams).await;
        drop(streams);
        check_exit(&mut router, SLACK);
        assert!(target.requests().len() >= 8, "{} reached the target", target.requests().len());
    },
    /// Guards against closing kept connections whose next request hasn't been read yet.
    unread_requests_on_kept_connections_at_the_close_are_answered: {
        let (_store, _target, mut router) = fleet(Behavior::Serve).await;
        let mut streams = kept_connections(&router).await;
        fill_sockets_at_close(&router, async {
            for (i, stream) in streams.iter_mut().enumerate() {
                send(stream, "/book/", &format!("u{i}")).await.unwrap();
            }
        })
        .await;
        check_answered(&mut streams).await;
        drop(streams);
        check_exit(&mut router, SLACK);
    },
    /// Guards against closing connections on which a part of the request head has been read.
    a_request_head_that_comes_in_parts_around_the_close_is_answered: {
        let (_store, _target, mut router) = fleet(Behavior::Serve).await;
        let mut kept = kept_connection(&router, "k1").await;
        let mut new = TcpStream::connect(router.callers).await.unwrap();
        let terminated_at = Instant::now();
        router.process.signal(Signal::TERM);
        time::sleep_until(terminated_at + ROTATION_TIME - Duration::from_millis(500)).await;
        let text = head("/book/", "p1") + "body";
        let (first, last) = text.split_at(30);
        for stream in [&mut kept, &mut new] {
            stream.write_all(first.as_bytes()).await.unwrap();
        }
        time::sleep_until(terminated_at + ROTATION_TIME + Duration::from_millis(500)).await;
        for stream in [&mut kept, &mut new] {
            stream.write_all(last.as_bytes()).await.unwrap();
            assert_eq!(read_response(stream).await, Ok((200, true)));
        }
        drop((kept, new));
        check_exit(&mut router, SLACK);
    },
    /// Guards against a request without a response whose target closes without running it, while the
    /// router's leaving phase ends.
    requests_to_a_target_that_closes_are_answered_around_the_close: {
        let (_store, mut router) = router_of(start_target(close_without_response).await).await;
        let terminated_at = Instant::now();
        router.process.signal(Signal::TERM);
        let callers = (0..COUNT).map(async |i| {
            // From 520 to 120 ms before the close, so that a busy machine sends all in time.
            let delay = Duration::from_millis(400 * i as u64 / COUNT as u64);
            time::sleep_until(terminated_at + ROTATION_TIME - Duration::from_millis(520) + delay).await;
            let mut stream = TcpStream::connect(router.callers).await.unwrap();
            let path = ["/book/", "/look/", "/brief/", "/note/"][i % 4];
            send(&mut stream, path, &format!("c{i}")).await.unwrap();
            read_response(&mut stream).await
        });
        for (i, response) in future::join_all(callers).await.into_iter().enumerate() {
            assert!(matches!(response, Ok((502 | 503, true))), "request {i}: {response:?}");
        }
        check_exit(&mut router, GRACE - ROTATION_TIME);
    },
    /// The same while the process is too slow to take the requests before the close, as on a host
    /// under flood.
    unread_requests_to_a_target_that_closes_are_answered: {
        let (_store, mut router) = router_of(start_target(close_without_response).await).await;
        let mut streams = fill_sockets_at_close(&router, async {
            let mut streams = Vec::new();
            for i in 0..COUNT {
                let mut stream = TcpStream::connect(router.callers).await.unwrap();
                let path = ["/book/", "/look/", "/brief/", "/note/"][i % 4];
                send(&mut stream, path, &format!("c{i}")).await.unwrap();
                streams.push(stream);
            }
            streams
        })
        .await;
        for (i, stream) in streams.iter_mut().enumerate() {
            let response = read_response(stream).await;
            assert!(matches!(response, Ok((502 | 503, true))), "request {i}: {response:?}");
        }
        drop(streams);
        check_exit(&mut router, GRACE - ROTATION_TIME);
    },
    /// Guards against waiting for callers that keep connections without requests.
    idle_connections_do_not_delay_the_exit: {
        let (_store, _target, mut router) = fleet(Behavior::Serve).await;
        let streams = kept_connections(&router).await;
        let unused = TcpStream::connect(router.callers).await.unwrap();
        router.process.signal(Signal::TERM);
        check_exit(&mut router, ROTATION_TIME + LINGER_TIME + SLACK);
        drop((streams, unused));
    },
    /// Guards against an exit before a response is written, while the caller still reads it.
    a_slow_reading_caller_gets_its_whole_answer: {
        let (_store, mut router) = router_of(start_target(serve_large).await).await;
        let caller = slow_caller(&router, "/book/").await;
        router.process.signal(Signal::TERM);
        // Some 6 MB at 64 KB each 50 ms take about 5 s, thus end before the grace period.
        let read = read_slowly(caller, 64 << 10, Duration::from_millis(50)).await;
        assert!(read.as_ref().is_ok_and(|count| *count > LARGE_BYTES), "{read:?}");
        check_exit(&mut router, SLACK);
    },
    /// Guards against running requests that get no answer at the end of the grace period. Of the
    /// requests, 8 run and the others wait for a target.
    requests_that_outlast_the_grace_period_are_answered: {
        let (_store, target, mut router) =
            fleet(Behavior::ServeAfter(Duration::from_secs(14))).await;
        let mut streams = Vec::new();
        for i in 0..12 {
            let mut stream = TcpStream::connect(router.callers).await.unwrap();
            send(&mut stream, "/book/", &format!("l{i}")).await.unwrap();
            streams.push(stream);
        }
        time::sleep(Duration::from_millis(100)).await;
        let terminated_at = Instant::now();
        router.process.signal(Signal::TERM);
        let reading = streams.iter_mut().map(read_response);
        let responses = future::join_all(reading).await;
        drop(streams);
        check_exit(&mut router, GRACE.saturating_sub(terminated_at.elapsed()));
        for (i, response) in responses.iter().enumerate() {
            let status = if target.run_count(&format!("l{i}")) > 0 { 504 } else { 503 };
            let status_seen = response.as_ref().map(|(status, _)| *status);
            assert_eq!(status_seen, Ok(status), "request {i}");
        }
    },
    /// Guards against a process that waits for a caller until it is killed.
    an_incomplete_request_is_left_at_the_end_of_the_grace_period: {
        let (_store, _target, mut router) = fleet(Behavior::Serve).await;
        let mut stream = TcpStream::connect(router.callers).await.unwrap();
        stream.write_all(head("/book/", "i1").as_bytes()).await.unwrap();
        time::sleep(Duration::from_millis(100)).await;
        router.process.signal(Signal::TERM);
        check_exit(&mut router, GRACE);
        let lines = router.process.drain_lines();
        let left = lines.iter().find(|line| line.contains(r#""phase":"end""#)).expect("no last line");
        assert!(left.contains(r#""connections":1"#) && left.contains(r#""requests":1"#), "{left}");
    },
}
