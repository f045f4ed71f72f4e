//! Callers that read slowly: their answers are whole, and the router's memory stays bounded.

mod edge_kit;
mod support;

use std::net;
use std::time::Duration;

use edge_kit::{KEY, Router, Store, raw};
use futures_util::future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{self, Instant};

/// Size of a response, above what the kernel's buffers hold.
const RESPONSE_BYTES: usize = 8 << 20;

/// Size of an event of a stream.
const EVENT_BYTES: usize = 1 << 10;

/// Time for which a caller reads 1 KB/s, longer than any time limit of a connection.
const SLOW_TIME: Duration = Duration::from_secs(8);

/// Memory of the process in the settings, in kB.
const MEMORY_KB: u64 = 256_000;

async fn start_target() -> net::SocketAddr {
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

/// Sends a large response, or a stream of as many bytes, as fast as it is read.
async fn serve(mut stream: TcpStream) {
    let Some(head) = raw::read_request(&mut stream).await else { return };
    let is_stream = head.starts_with("POST /brief/");
    let lines = if is_stream {
        "Content-Type: text/event-stream\r\nConnection: close\r\n".to_string()
    } else {
        format!("Content-Length: {RESPONSE_BYTES}\r\nConnection: close\r\n")
    };
    stream.write_all(raw::response_head(&head, &lines).as_bytes()).await.ok();
    for id in 1..=RESPONSE_BYTES / EVENT_BYTES {
        let event = format!("id: {id}\ndata: ");
        let filler = "x".repeat(EVENT_BYTES - event.len() - 2);
        if stream.write_all(format!("{event}{filler}\n\n").as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn router() -> (Store, Router) {
    let (store, store_addr) = Store::start().await;
    store.put_config_with_timeout(3, Duration::from_secs(60));
    store.put_target("t0", start_target().await, "ready");
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    router.wait_for_routers().await;
    (store, router)
}

/// Sends a request, reads its answer at 1 KB/s for a time, then the rest at once; returns the number
/// of bytes of the answer, and its last ones.
async fn read_slowly(router: &Router, path: &str, id: &str) -> Result<(usize, String), String> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    let mut stream = socket.connect(router.callers).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: lanes.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 50000\r\n\
         Authorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let began_at = Instant::now();
    let (mut received, mut buffer) = (Vec::new(), vec![0; 1 << 10]);
    loop {
        let is_slow = began_at.elapsed() < SLOW_TIME;
        if !is_slow {
            buffer.resize(64 << 10, 0);
        }
        match stream.read(&mut buffer).await {
            Ok(0) => break,
            Ok(len) => received.extend_from_slice(&buffer[..len]),
            Err(err) => {
                let after = began_at.elapsed();
                return Err(format!("{err} after {} bytes and {after:?}", received.len()));
            }
        }
        if is_slow {
            time::sleep(Duration::from_secs(1)).await;
        }
    }
    let last = &received[received.len().saturating_sub(7)..];
    Ok((received.len(), String::from_utf8_lossy(last).into_owned()))
}

/// Highest resident memory of the router's process so far, in kB.
fn peak_memory_kb(router: &Router) -> u64 {
    let path = format!("/proc/{}/status", router.process.pid().as_raw_nonzero());
    let status = std::fs::read_to_string(path).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr,)*) => { $(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    /// Guards against cutting the buffered response of a caller that reads, but slowly.
    a_caller_that_reads_slowly_gets_its_whole_response: {
        let (_store, router) = router().await;
        let read = read_slowly(&router, "/book/", "b1").await;
        assert!(read.as_ref().is_ok_and(|(count, _)| *count > RESPONSE_BYTES), "{read:?}");
    },
    /// The same for a stream.
    a_caller_that_reads_slowly_gets_its_whole_stream: {
        let (_store, router) = router().await;
        let read = read_slowly(&router, "/brief/", "s1").await;
        // The last chunk of a complete body.
        assert!(read.as_ref().is_ok_and(|(_, last)| last == "\r\n0\r\n\r\n"), "{read:?}");
    },
    /// Guards against buffering streams without a bound for callers that read slowly: they hold 400 MB.
    streams_of_slow_callers_are_not_buffered: {
        let (_store, router) = router().await;
        let callers = (0..50).map(|i| {
            let (router, id) = (&router, format!("m{i}"));
            async move {
                let reading = read_slowly(router, "/brief/", &id);
                time::timeout(SLOW_TIME / 2, reading).await.ok();
            }
        });
        future::join_all(callers).await;
        let peak = peak_memory_kb(&router);
        assert!(peak < MEMORY_KB, "{peak} kB");
    },
}
