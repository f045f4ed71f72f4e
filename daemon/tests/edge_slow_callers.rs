//! Callers that read slowly: their answers are whole, and the router's memory stays bounded.

mod edge_kit;
mod support;

use std::net;
use std::time::Duration;

use edge_kit::{KEY, Router, Store, raw};
use futures_util::future;
use rustix::process::Signal;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{self, Instant};

/// Size of a response, above what the kernel's buffers hold.
const RESPONSE_BYTES: usize = 8 << 20;

/// Size of an event of a stream.
const EVENT_BYTES: usize = 1 << 10;

/// Time for which a caller reads 1 KB/s, longer than any time limit of a connection.
const SLOW_TIME: Duration = Duration::from_secs(8);

/// Last chunk of a complete body.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Grace period in the settings of the tests.
const GRACE: Duration = Duration::from_secs(8);

/// Deadline of callers that don't read.
const DEADLINE: Duration = Duration::from_secs(6);

/// Time for which a peer that is gone may go unnoticed: what is sent stays unanswered for 3 s, and is
/// checked each half second from the write on.
const GONE_TIME: Duration = Duration::from_secs(4);

/// Time that a step may take longer on a busy machine.
const SLACK: Duration = Duration::from_millis(700);

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

/// Path of requests for a stream that the buffers of the sockets hold, but not the receiver's alone.
const SHORT_STREAM: &str = "/brief/short";

/// Number of events of a short stream.
const SHORT_COUNT: usize = 60;

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
    let is_short = head.starts_with(&format!("POST {SHORT_STREAM}"));
    let count = if is_short { SHORT_COUNT } else { RESPONSE_BYTES / EVENT_BYTES };
    for id in 1..=count {
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

/// Sends a request on a connection with a small receive buffer.
async fn send(router: &Router, path: &str, id: &str, lines: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    let mut stream = socket.connect(router.callers).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: lanes.example\r\nAttempt-Id: {id}\r\n\
         Authorization: Bearer {KEY}\r\n{lines}Content-Length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Sends a request, reads its answer at 1 KB/s for a time, then the rest at once; returns the number
/// of bytes of the answer, and its last ones.
async fn read_slowly(router: &Router, path: &str, id: &str) -> Result<(usize, String), String> {
    let stream = send(router, path, id, "Deadline-Ms: 50000\r\nConnection: close\r\n").await;
    read_rest_slowly(stream).await
}

async fn read_rest_slowly(mut stream: TcpStream) -> Result<(usize, String), String> {
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
        if received.ends_with(LAST_CHUNK) {
            break;
        }
        if is_slow {
            time::sleep(Duration::from_secs(1)).await;
        }
    }
    let last = &received[received.len().saturating_sub(LAST_CHUNK.len())..];
    Ok((received.len(), String::from_utf8_lossy(last).into_owned()))
}

/// Makes the kernel drop all that arrives for a socket, as if its host were cut off.
fn cut_off(stream: &TcpStream) {
    // A filter program of one instruction, which accepts no byte of a packet.
    let drop_all = socket2::SockFilter::new(0x06, 0, 0, 0);
    SockRef::from(stream).attach_filter(&[drop_all]).unwrap();
}

/// Outcomes in the log of the connections that have ended, and times since `began_at` until each
/// was seen.
async fn connection_ends(
    router: &Router,
    began_at: Instant,
    count: usize,
) -> Vec<(String, Duration)> {
    let mut ends = Vec::new();
    while ends.len() < count && began_at.elapsed() < 2 * DEADLINE {
        for line in router.process.drain_lines() {
            let line = serde_json::from_str::<serde_json::Value>(&line).unwrap();
            let outcome = line["outcome"].as_str().unwrap_or_default();
            if line["event"] == "connection" && outcome != "slow" {
                ends.push((outcome.to_string(), began_at.elapsed()));
            }
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    ends
}

/// Number of callers' connections that the router's process has open, according to the kernel.
fn caller_connection_count(router: &Router) -> usize {
    const LISTENING: &str = "0A";
    let net::SocketAddr::V4(addr) = router.callers else { panic!("{}", router.callers) };
    let ip = u32::from_ne_bytes(addr.ip().octets());
    let local_addr = format!("{ip:08X}:{:04X}", addr.port());
    let is_open = |line: &str| {
        let fields = line.split_whitespace().collect::<Vec<_>>();
        // The inode is 0 once no process has the socket.
        fields[1] == local_addr && fields[3] != LISTENING && fields[9] != "0"
    };
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().skip(1).filter(|line| is_open(line)).count()
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
        assert!(read.as_ref().is_ok_and(|(_, last)| last.as_bytes() == LAST_CHUNK), "{read:?}");
    },
    /// Guards against cutting the end of a stream that waits in the kernel after the router has closed
    /// the connection (LOST).
    a_caller_that_reads_slowly_gets_the_end_after_a_close: {
        let (_store, router) = router().await;
        let read = read_slowly(&router, SHORT_STREAM, "c1").await;
        assert!(read.as_ref().is_ok_and(|(_, last)| last.as_bytes() == LAST_CHUNK), "{read:?}");
    },
    /// Guards against resetting, at the end of the process, connections whose answers wait in the
    /// kernel (LOST).
    a_caller_that_reads_after_the_end_of_the_process_gets_its_whole_stream: {
        let (_store, mut router) = router().await;
        let stream = send(&router, SHORT_STREAM, "e1", "Deadline-Ms: 50000\r\n").await;
        time::sleep(SLACK).await;
        router.process.signal(Signal::TERM);
        let status = router.process.wait_for_exit(GRACE);
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        let read = read_rest_slowly(stream).await;
        assert!(read.as_ref().is_ok_and(|(_, last)| last.as_bytes() == LAST_CHUNK), "{read:?}");
    },
    /// Guards against taking a caller that still reads for one that is idle (LOST).
    a_caller_that_reads_for_longer_than_the_idle_timeout_gets_its_whole_stream: {
        let (store, router) = router().await;
        store.change_config(4, |config| {
            config["limits"]["idle_timeout_ms"] = 1000.into();
            config["limits"]["header_timeout_ms"] = 1000.into();
        });
        time::sleep(edge_kit::APPLY_BOUND).await;
        let stream = send(&router, SHORT_STREAM, "i1", "Deadline-Ms: 50000\r\n").await;
        let read = read_rest_slowly(stream).await;
        assert!(read.as_ref().is_ok_and(|(_, last)| last.as_bytes() == LAST_CHUNK), "{read:?}");
    },
    /// Guards against keeping connections and answers of callers that never read.
    callers_that_never_read_are_let_go_at_their_deadlines: {
        let (_store, router) = router().await;
        let lines = format!("Deadline-Ms: {}\r\n", DEADLINE.as_millis());
        let began_at = Instant::now();
        let mut streams = Vec::new();
        // The memory for answers holds one of this size.
        let paths = ["/book/", "/brief/", SHORT_STREAM, "/brief/", SHORT_STREAM];
        for (i, path) in paths.iter().enumerate() {
            streams.push(send(&router, path, &format!("n{i}"), &lines).await);
        }
        time::sleep_until(began_at + DEADLINE - SLACK).await;
        assert_eq!(caller_connection_count(&router), streams.len());
        time::sleep_until(began_at + DEADLINE + 2 * SLACK).await;
        assert_eq!(caller_connection_count(&router), 0);
    },
    /// Guards against counting the memory of an answer only until it is read, while its caller takes
    /// until its deadline.
    answers_of_callers_that_never_read_keep_to_the_memory: {
        let (_store, router) = router().await;
        let mut streams = Vec::new();
        for i in 0..40 {
            let lines = "Deadline-Ms: 20000\r\n";
            streams.push(send(&router, "/book/", &format!("a{i}"), lines).await);
            time::sleep(Duration::from_millis(150)).await;
        }
        let peak = peak_memory_kb(&router);
        assert!(peak < MEMORY_KB, "{peak} kB");
    },
    /// Guards against waiting until the deadline for a caller whose host is cut off.
    a_caller_that_is_gone_is_noticed: {
        let (_store, router) = router().await;
        let mut stream = send(&router, "/brief/", "g1", "Deadline-Ms: 50000\r\n").await;
        // Reading keeps the window open, so that data is in flight at the cut.
        let (mut count, mut buffer) = (0, vec![0; 64 << 10]);
        while count < RESPONSE_BYTES / 8 {
            count += stream.read(&mut buffer).await.unwrap();
        }
        cut_off(&stream);
        let cut_at = Instant::now();
        let ends = connection_ends(&router, cut_at, 1).await;
        let is_noticed = |(outcome, after): &(String, Duration)| {
            (outcome == "gone" || outcome == "timeout") && *after < GONE_TIME + SLACK
        };
        assert!(ends.first().is_some_and(is_noticed), "{ends:?}");
    },
    /// The same for one that hasn't read for a while.
    a_caller_that_is_gone_while_it_does_not_read_is_let_go_by_its_deadline: {
        let (_store, router) = router().await;
        let lines = format!("Deadline-Ms: {}\r\n", DEADLINE.as_millis());
        let stream = send(&router, "/brief/", "g2", &lines).await;
        let began_at = Instant::now();
        time::sleep(Duration::from_secs(1)).await;
        cut_off(&stream);
        assert_eq!(caller_connection_count(&router), 1);
        time::sleep_until(began_at + DEADLINE + 2 * SLACK).await;
        assert_eq!(caller_connection_count(&router), 0);
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
