//! Refusals of requests whose callers are still sending, and connections that end after an answer.

mod edge_kit;
mod support;

use std::time::Duration;

use edge_kit::{Behavior, KEY, Router, Store, Target};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

/// Time in which a router has begun to answer.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Time within which a router must have answered and closed a connection.
const CLOSE_TIME: Duration = Duration::from_secs(4);

async fn fleet() -> (Store, Target, Router) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    let (target, addr) = Target::start("t0", Behavior::Serve).await;
    store.put_target("t0", addr, "ready");
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    (store, target, router)
}

fn head(path: &str, key: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: lanes.example\r\nattempt-id: a1\r\ndeadline-ms: 3000\r\n\
         authorization: Bearer {key}\r\n{framing}\r\n\r\n"
    )
}

/// Sends the parts with a pause after each, and returns all that the router sends until it closes
/// the connection or falls silent.
async fn exchange(router: &Router, parts: &[&[u8]]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(router.callers).await?;
    for part in parts {
        // The router may have closed the connection.
        let _ = stream.write_all(part).await;
        time::sleep(ANSWER_TIME).await;
    }
    let mut received = Vec::new();
    let reading = async {
        let mut buf = [0; 4096];
        loop {
            match stream.read(&mut buf).await? {
                0 => return std::io::Result::Ok(()),
                count => received.extend_from_slice(&buf[..count]),
            }
        }
    };
    time::timeout(CLOSE_TIME, reading).await.unwrap_or(Ok(()))?;
    Ok(String::from_utf8(received).unwrap())
}

/// Sends a request whose body follows its head late, in pieces; returns the status that the caller
/// reads after it has sent all.
async fn status_after_sending_all(path: &str, key: &str, piece: usize, count: usize) -> String {
    let (_store, _target, router) = fleet().await;
    let head = head(path, key, &format!("content-length: {}", piece * count));
    let body = vec![b'x'; piece];
    let mut parts = vec![head.as_bytes()];
    parts.extend(std::iter::repeat_n(&body[..], count));
    let received = exchange(&router, &parts).await;
    let received = received.unwrap_or_else(|err| panic!("no answer: {err}"));
    received.lines().next().expect("no answer").to_string()
}

fn count_answers(received: &str) -> usize {
    received.matches("HTTP/1.1 ").count()
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

/// Cases in which the caller reads a status after it has sent all of a body.
macro_rules! late_bodies {
    ($($name:ident: $path:literal, $key:expr, $piece:literal x $count:literal => $status:literal;)*) => { $(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let status = status_after_sending_all($path, $key, $piece, $count).await;
            assert!(status.contains($status), "{status}");
        }
    )* };
}

late_bodies! {
    a_caller_reads_404_after_sending_a_short_body: "/gone/", KEY, 1000 x 3 => "404";
    a_caller_reads_404_after_sending_a_long_body: "/gone/", KEY, 200_000 x 4 => "404";
    a_caller_reads_401_after_sending_a_short_body: "/book/", "nobody", 1000 x 3 => "401";
    a_caller_reads_401_after_sending_a_long_body: "/book/", "nobody", 200_000 x 4 => "401";
    a_caller_reads_413_after_sending_a_body_above_the_limit: "/book/", KEY, 200_000 x 4 => "413";
    a_body_in_pieces_is_served: "/book/", KEY, 1000 x 4 => "200";
}

cases! {
    a_connection_stays_usable_after_a_refusal: {
        let (_store, target, router) = fleet().await;
        let refused = head("/gone/", KEY, "transfer-encoding: chunked");
        let served = head("/book/", KEY, "content-length: 4\r\nconnection: close");
        let received = exchange(&router, &[
            refused.as_bytes(), b"4\r\nbody\r\n", b"0\r\n\r\n", served.as_bytes(), b"body",
        ]).await.unwrap();
        assert!(received.contains("HTTP/1.1 404") && received.contains("HTTP/1.1 200"), "{received}");
        assert_eq!((count_answers(&received), target.requests().len()), (2, 1));
    },
    a_refusal_that_leaves_the_body_unread_says_that_the_connection_closes: {
        let (_store, _target, router) = fleet().await;
        let head = head("/book/", KEY, "content-length: 400000");
        let body = vec![b'x'; 200_000];
        let received = exchange(&router, &[head.as_bytes(), &body, &body]).await.unwrap();
        assert!(received.contains("413") && received.contains("connection: close"), "{received}");
    },
    a_caller_that_waits_for_100_continue_is_refused_without_sending_its_body: {
        let (_store, _target, router) = fleet().await;
        let head = head("/gone/", KEY, "content-length: 4\r\nexpect: 100-continue");
        let received = exchange(&router, &[head.as_bytes()]).await.unwrap();
        assert!(received.starts_with("HTTP/1.1 404"), "{received}");
        assert!(received.contains("connection: close"), "{received}");
    },
    a_caller_that_waits_for_100_continue_is_served: {
        let (_store, _target, router) = fleet().await;
        let head = head("/book/", KEY, "content-length: 4\r\nexpect: 100-continue\r\nconnection: close");
        let received = exchange(&router, &[head.as_bytes(), b"body"]).await.unwrap();
        assert!(received.starts_with("HTTP/1.1 100") && received.contains("HTTP/1.1 200"), "{received}");
    },
    a_request_whose_body_takes_longer_than_its_time_limit_is_refused_as_not_run: {
        let (_store, target, router) = fleet().await;
        let head = head("/look/", KEY, "content-length: 4").replace("3000", "100");
        let received = exchange(&router, &[head.as_bytes(), b"bo", b"dy"]).await.unwrap();
        assert!(received.starts_with("HTTP/1.1 503"), "{received}");
        assert!(received.contains("connection: close"), "{received}");
        assert_eq!(target.requests().len(), 0);
    },
    a_request_whose_body_takes_longer_than_the_time_limit_of_its_route_is_refused_as_not_run: {
        let (_store, target, router) = fleet().await;
        let head = head("/look/", KEY, "content-length: 4").replace("3000", "9000");
        let pause = [b"".as_slice(); 25];
        let parts = [&[head.as_bytes(), b"bo"], &pause[..], &[b"dy"]].concat();
        let received = exchange(&router, &parts).await.unwrap();
        assert!(received.starts_with("HTTP/1.1 503"), "{received}");
        assert_eq!(target.requests().len(), 0);
    },
    pipelined_requests_are_all_answered: {
        let (_store, target, router) = fleet().await;
        let request = head("/book/", KEY, "content-length: 0");
        let refused = head("/gone/", KEY, "content-length: 4") + "body";
        let last = head("/book/", KEY, "content-length: 0\r\nconnection: close");
        let all = format!("{request}{refused}{request}{last}");
        let received = exchange(&router, &[all.as_bytes()]).await.unwrap();
        assert_eq!((count_answers(&received), target.requests().len()), (4, 3), "{received}");
    },
    an_answer_is_read_though_the_caller_sends_on_after_asking_to_close: {
        let (_store, _target, router) = fleet().await;
        let request = head("/book/", KEY, "content-length: 0\r\nconnection: close");
        let more = vec![b'x'; 100_000];
        let received = exchange(&router, &[request.as_bytes(), &more, &more]).await;
        let received = received.unwrap_or_else(|err| panic!("no answer: {err}"));
        assert!(received.contains("200"), "{received}");
    },
}

/// Size of an answer that no socket buffers hold.
const LARGE_BYTES: usize = 4 << 20;

/// A target whose answers are large.
async fn large_target() -> std::net::SocketAddr {
    let answer = async |headers: axum::http::HeaderMap| {
        let head = [("attempt-id", headers["attempt-id"].clone())];
        (head, [("server-stamp", "stamp")], vec![b'x'; LARGE_BYTES])
    };
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let app = axum::Router::new().fallback(answer);
    tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
    addr
}

cases! {
    an_answer_is_whole_though_bytes_follow_the_last_request: {
        let (store, _target, router) = fleet().await;
        store.put_target("t0", large_target().await, "ready");
        time::sleep(Duration::from_secs(1)).await;
        let mut stream = TcpStream::connect(router.callers).await.unwrap();
        let request = head("/book/", KEY, "content-length: 0\r\nconnection: close");
        stream.write_all(request.as_bytes()).await.unwrap();
        time::sleep(ANSWER_TIME).await;
        stream.write_all(&[b'x'; 50_000]).await.unwrap();
        let mut buf = vec![0; 1 << 16];
        let mut count = 0;
        loop {
            match stream.read(&mut buf).await {
                Ok(0) => break,
                Ok(read) => count += read,
                Err(err) => panic!("cut after {count} bytes: {err}"),
            }
            time::sleep(Duration::from_millis(2)).await;
        }
        assert!(count >= LARGE_BYTES, "{count}");
    },
}
