//! Targets that read uploads slowly: they run the requests, and their answers reach the callers.

mod edge_kit;
mod support;

use std::net;
use std::time::Duration;

use bytes::Bytes;
use edge_kit::{KEY, Router, Store, raw};
use futures_util::future;
use http_body_util::Full;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{self, Instant};

/// Size of an upload, above what the kernel's buffers hold.
const UPLOAD_BYTES: usize = 4_000_000;

/// Time for which a target reads 1 KB/s, longer than any time limit of a connection.
const SLOW_TIME: Duration = Duration::from_secs(9);

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(30);

/// Time for which a target that is gone may go unnoticed: what is sent stays unanswered for 3 s, and is
/// checked each half second from the write on.
const GONE_TIME: Duration = Duration::from_secs(4);

/// Time that a step may take longer on a busy machine.
const SLACK: Duration = Duration::from_millis(700);

/// How a target reads uploads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// At 1 KB/s for [`SLOW_TIME`], then the rest at once.
    Slowly,
    /// Not at all after the first bytes: its host is cut off.
    CutOff,
}

async fn start_target(reading: Reading) -> net::SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(64).unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move { serve(stream, reading).await });
        }
    });
    addr
}

/// Reads one request and answers it.
async fn serve(mut stream: TcpStream, reading: Reading) {
    let began_at = Instant::now();
    let (mut received, mut buffer) = (Vec::new(), vec![0; 1 << 10]);
    loop {
        let is_slow = began_at.elapsed() < SLOW_TIME;
        if !is_slow {
            buffer.resize(64 << 10, 0);
        }
        match stream.read(&mut buffer).await {
            Ok(len) if len > 0 => received.extend_from_slice(&buffer[..len]),
            _ => return,
        }
        if reading == Reading::CutOff {
            let drop_all = socket2::SockFilter::new(0x06, 0, 0, 0);
            SockRef::from(&stream).attach_filter(&[drop_all]).unwrap();
            future::pending::<()>().await;
        }
        let head_end = received.windows(4).position(|four| four == b"\r\n\r\n");
        if head_end.is_some_and(|end| received.len() >= end + 4 + UPLOAD_BYTES) {
            break;
        }
        if is_slow {
            time::sleep(Duration::from_secs(1)).await;
        }
    }
    let head = String::from_utf8_lossy(&received[..1 << 10]).into_owned();
    let is_stream = head.starts_with("POST /note/");
    let lines = if is_stream {
        "Content-Type: text/event-stream\r\nContent-Length: 15\r\n"
    } else {
        "Content-Length: 15\r\n"
    };
    let response = raw::response_head(&head, lines) + "id: 1\ndata: x\n\n";
    stream.write_all(response.as_bytes()).await.ok();
}

async fn fleet(reading: Reading) -> (Store, Router) {
    let (store, store_addr) = Store::start().await;
    store.put_config_with_timeout(3, DEADLINE);
    store.change_config(4, |config| {
        config["limits"]["max_body_bytes"] = (UPLOAD_BYTES + 1000).into();
    });
    store.put_target("t0", start_target(reading).await, "ready");
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    router.wait_for_routers().await;
    (store, router)
}

/// Sends an upload; returns the status of the response.
async fn upload(router: &Router, path: &str) -> u16 {
    let request = http::Request::post(path)
        .header("host", "lanes.example")
        .header("attempt-id", "u1")
        .header("deadline-ms", DEADLINE.as_millis().to_string())
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(Bytes::from(vec![b'x'; UPLOAD_BYTES])))
        .unwrap();
    let mut sender = edge_kit::connect(router.callers).await.unwrap();
    let response = edge_kit::read_response(sender.send_request(request).await.unwrap()).await;
    if response.is_complete { response.status } else { 0 }
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr,)*) => { $(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    /// Guards against giving up a target that reads an upload slowly: an order may have run (LOST).
    an_order_is_run_by_a_target_that_reads_it_slowly: {
        let (_store, router) = fleet(Reading::Slowly).await;
        assert_eq!(upload(&router, "/book/").await, 200);
    },
    /// The same for a request that may be repeated.
    a_read_is_run_by_a_target_that_reads_it_slowly: {
        let (_store, router) = fleet(Reading::Slowly).await;
        assert_eq!(upload(&router, "/look/").await, 200);
    },
    /// The same for a stream.
    a_stream_is_run_by_a_target_that_reads_it_slowly: {
        let (_store, router) = fleet(Reading::Slowly).await;
        assert_eq!(upload(&router, "/note/").await, 200);
    },
    /// Guards against waiting until the deadline for a target whose host is cut off during an upload.
    a_target_that_is_gone_during_an_upload_is_noticed: {
        let (_store, router) = fleet(Reading::CutOff).await;
        let began_at = Instant::now();
        assert_eq!(upload(&router, "/book/").await, 502);
        let after = began_at.elapsed();
        assert!(after < GONE_TIME + SLACK, "{after:?}");
    },
}
