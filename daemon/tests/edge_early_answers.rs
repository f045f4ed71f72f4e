//! Answers that end before they are whole must not look complete to callers: targets that answer
//! while an upload is still being written, and streams that are cut.

mod edge_kit;
mod support;

use std::fmt::Write as _;
use std::net;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use edge_kit::{KEY, Router, Store, raw};
use rustix::process::Signal;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// Largest body that the configuration allows, above what the kernel's buffers hold.
const MAX_UPLOAD_BYTES: usize = 8_000_000;

/// Size of the part of a body that a target sends.
const PART_BYTES: usize = 3000;

/// Time after which a request without an answer has failed.
const TIMEOUT: Duration = Duration::from_secs(20);

/// How a target's answer to an upload ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// With a reset.
    Reset,
    /// With a close while bytes of the upload are unread, which resets the connection.
    CloseUnread,
    /// With a plain end while the upload isn't read, as a proxy passes a reset on.
    Fin,
}

impl End {
    /// Sizes of uploads with which the end tells that the answer isn't whole: a part must be unread,
    /// or even unsent.
    fn upload_sizes(self) -> &'static [usize] {
        match self {
            End::Reset => &[4, 200_000, MAX_UPLOAD_BYTES],
            End::CloseUnread => &[200_000, MAX_UPLOAD_BYTES],
            End::Fin => &[MAX_UPLOAD_BYTES],
        }
    }
}

/// What a target does with a request on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    /// Sends the head of an answer without a length and a part of its body, before it has read the
    /// request's body.
    Early { part_bytes: usize, delay_ms: u64, end: End },
    /// Reads the request and sends a whole answer.
    Whole,
    /// Reads the request, and sends nothing.
    Silent,
    /// Sends this many events of a stream, and resets the connection.
    Cut(u64),
    /// Answers with this status line.
    Status(&'static str),
}

/// Behavior of the next requests, the last one of which repeats.
type Script = Arc<Mutex<Vec<Behavior>>>;

async fn start_target(script: Script) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, script.clone()));
        }
    });
    addr
}

fn next_behavior(script: &Script) -> Behavior {
    let mut script = script.lock().unwrap();
    if script.len() > 1 { script.remove(0) } else { script[0] }
}

/// Reads a head; returns it with the part of the body that came along.
async fn read_head(stream: &mut TcpStream) -> Option<(String, usize)> {
    let mut received = Vec::new();
    loop {
        if let Some(end) = received.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).into_owned();
            return Some((head, received.len() - end - 4));
        }
        let mut buffer = [0; 512];
        match stream.read(&mut buffer).await {
            Ok(len) if len > 0 => received.extend_from_slice(&buffer[..len]),
            _ => return None,
        }
    }
}

/// Reads the rest of a request's body.
async fn read_rest(stream: &mut TcpStream, head: &str, mut received_bytes: usize) -> Option<()> {
    let len = raw::header(head, "content-length")?.parse::<usize>().unwrap();
    let mut buffer = vec![0; 64 << 10];
    while received_bytes < len {
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => received_bytes += count,
            _ => return None,
        }
    }
    Some(())
}

async fn serve(mut stream: TcpStream, script: Script) {
    while let Some((head, received_bytes)) = read_head(&mut stream).await {
        let behavior = next_behavior(&script);
        if let Behavior::Early { part_bytes, delay_ms, end } = behavior {
            return answer_early(stream, &head, part_bytes, delay_ms, end).await;
        }
        if read_rest(&mut stream, &head, received_bytes).await.is_none() {
            return;
        }
        let is_stream = head.starts_with("POST /brief/") || head.starts_with("POST /note/");
        match behavior {
            Behavior::Status(line) => {
                let head = raw::response_head(&head, "Content-Length: 6\r\n");
                let head = head.replace("HTTP/1.1 200 OK", line);
                stream.write_all((head + "served").as_bytes()).await.ok();
            }
            Behavior::Cut(count) => {
                let lines = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
                let mut text = raw::response_head(&head, lines);
                for id in 1..=count {
                    let event = format!("id: {id}\ndata: event {id}\n\n");
                    write!(text, "{:x}\r\n{event}\r\n", event.len()).unwrap();
                }
                stream.write_all(text.as_bytes()).await.ok();
                time::sleep(Duration::from_millis(50)).await;
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
            Behavior::Silent => time::sleep(TIMEOUT).await,
            _ => {
                let body = if is_stream { "id: 1\ndata: x\n\n" } else { "served" };
                let lines = format!("Content-Length: {}\r\n", body.len());
                let head = raw::response_head(&head, &lines);
                stream.write_all((head + body).as_bytes()).await.ok();
            }
        }
    }
}

async fn answer_early(
    mut stream: TcpStream,
    head: &str,
    part_bytes: usize,
    delay_ms: u64,
    end: End,
) {
    let is_stream = head.starts_with("POST /brief/") || head.starts_with("POST /note/");
    let lines = if is_stream { "Content-Type: text/event-stream\r\n" } else { "" };
    let mut text = raw::response_head(head, lines);
    if part_bytes > 0 {
        // Whole events, so that a stream isn't cut within one.
        let event = format!("id: 1\ndata: {}\n\n", "x".repeat(part_bytes - 14));
        text.push_str(&event);
    }
    stream.write_all(text.as_bytes()).await.ok();
    time::sleep(Duration::from_millis(delay_ms)).await;
    match end {
        End::Reset => SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap(),
        End::CloseUnread => {}
        End::Fin => {
            stream.shutdown().await.ok();
            time::sleep(TIMEOUT).await;
        }
    }
}

/// A router with targets that follow one script.
async fn fleet(script: &[Behavior], target_count: usize) -> (Store, Router) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    store.change_config(4, |config| {
        config["limits"]["max_body_bytes"] = (MAX_UPLOAD_BYTES + 1000).into();
    });
    let script = Arc::new(Mutex::new(script.to_vec()));
    for i in 0..target_count {
        store.put_target(&format!("t{i}"), start_target(script.clone()).await, "ready");
    }
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    router.wait_for_routers().await;
    (store, router)
}

/// An answer as a caller gets it.
#[derive(Debug)]
struct Received {
    status: String,
    bytes: usize,
    /// Whether the caller must take it for complete.
    looks_complete: bool,
}

impl Received {
    fn is_whole_success(&self) -> bool {
        self.status.starts_with('2') && self.looks_complete
    }
}

/// Sends a request in a version of HTTP, and reads its answer to the end.
async fn call(router: &Router, version: &str, path: &str, upload_bytes: usize) -> Received {
    let mut stream = TcpStream::connect(router.callers).await.unwrap();
    let head = format!(
        "POST {path} {version}\r\nHost: lanes.example\r\nAttempt-Id: e1\r\nDeadline-Ms: 3000\r\n\
         Authorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: {upload_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; upload_bytes]).await.ok();
    let mut received = Vec::new();
    let end = time::timeout(TIMEOUT, stream.read_to_end(&mut received)).await.unwrap();
    let Some(head_end) = received.windows(4).position(|four| four == b"\r\n\r\n") else {
        return Received { status: String::new(), bytes: 0, looks_complete: false };
    };
    let head = String::from_utf8_lossy(&received[..head_end]).into_owned();
    let body = &received[head_end + 4..];
    let length = raw::header(&head, "content-length").map(|len| len.parse::<usize>().unwrap());
    let is_chunked = raw::header(&head, "transfer-encoding").is_some();
    let looks_complete = match length {
        Some(len) => body.len() == len,
        None if is_chunked => body.ends_with(b"0\r\n\r\n"),
        // Only a reset tells.
        None => end.is_ok(),
    };
    let status = head.split(' ').nth(1).unwrap_or_default().to_string();
    Received { status, bytes: body.len(), looks_complete }
}

/// Sends a request on each route to a target that answers early, in all forms; returns those whose
/// part was passed on as a whole success.
async fn wrong_successes(version: &str, ends: &[End]) -> Vec<String> {
    let mut wrong = Vec::new();
    for end in ends {
        for part_bytes in [0, PART_BYTES] {
            for delay_ms in [0, 5, 50] {
                let behavior = Behavior::Early { part_bytes, delay_ms, end: *end };
                let (_store, router) = fleet(&[behavior], 2).await;
                for upload_bytes in end.upload_sizes() {
                    for path in ["/book/", "/look/", "/brief/", "/note/"] {
                        let received = call(&router, version, path, *upload_bytes).await;
                        if received.is_whole_success() {
                            wrong.push(format!("{behavior:?} {path} {upload_bytes}: {received:?}"));
                        }
                    }
                }
            }
        }
    }
    wrong
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr,)*) => { $(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() { $body }
    )* };
}

cases! {
    /// Guards against passing on, as complete, what a target sent of an answer before it reset the
    /// connection during the upload (MIXED).
    a_reset_during_an_upload_gives_no_complete_answer: {
        let wrong = wrong_successes("HTTP/1.1", &[End::Reset, End::CloseUnread]).await;
        assert!(wrong.is_empty(), "{wrong:#?}");
    },
    /// The same where a proxy between the two passes the reset on as a plain end (MIXED).
    a_plain_end_during_an_upload_gives_no_complete_answer: {
        let wrong = wrong_successes("HTTP/1.1", &[End::Fin]).await;
        assert!(wrong.is_empty(), "{wrong:#?}");
    },
    /// The same to callers of HTTP/1.0, where only a reset tells that a stream isn't whole (MIXED).
    a_reset_during_an_upload_gives_no_complete_answer_in_http_1_0: {
        let wrong = wrong_successes("HTTP/1.0", &[End::Reset, End::CloseUnread]).await;
        assert!(wrong.is_empty(), "{wrong:#?}");
    },
    /// Guards against ending a cut stream like a whole one to a caller of HTTP/1.0 (MIXED).
    a_cut_stream_does_not_look_complete_in_http_1_0: {
        let (_store, router) = fleet(&[Behavior::Cut(3)], 1).await;
        for path in ["/brief/", "/note/"] {
            let received = call(&router, "HTTP/1.0", path, 4).await;
            assert!(received.status == "200" && received.bytes > 0, "{path}: {received:?}");
            assert!(!received.looks_complete, "{path}: {received:?}");
        }
    },
    /// Guards against resetting whole streams of such callers.
    a_whole_stream_is_complete_in_http_1_0: {
        let (_store, router) = fleet(&[Behavior::Whole], 1).await;
        for path in ["/book/", "/look/", "/brief/", "/note/"] {
            let received = call(&router, "HTTP/1.0", path, 4).await;
            assert!(received.is_whole_success() && received.bytes > 0, "{path}: {received:?}");
        }
    },
    /// Guards against such answers on a connection that has brought a whole one before (MIXED).
    a_reset_on_a_kept_connection_gives_no_complete_answer: {
        for end in [End::Reset, End::CloseUnread, End::Fin] {
            let early = Behavior::Early { part_bytes: PART_BYTES, delay_ms: 5, end };
            for path in ["/book/", "/look/", "/brief/", "/note/"] {
                let (_store, router) = fleet(&[Behavior::Whole, early], 1).await;
                assert!(call(&router, "HTTP/1.1", path, 4).await.is_whole_success());
                time::sleep(Duration::from_millis(100)).await;
                let received = call(&router, "HTTP/1.1", path, MAX_UPLOAD_BYTES).await;
                assert!(!received.is_whole_success(), "{end:?} {path}: {received:?}");
            }
        }
    },
    /// The same for the answer of a second target beside a silent one (MIXED).
    a_reset_of_a_hedge_gives_no_complete_answer: {
        for end in [End::Reset, End::CloseUnread, End::Fin] {
            let early = Behavior::Early { part_bytes: PART_BYTES, delay_ms: 5, end };
            for path in ["/look/", "/brief/"] {
                let (_store, router) = fleet(&[Behavior::Silent, early], 2).await;
                let received = call(&router, "HTTP/1.1", path, MAX_UPLOAD_BYTES).await;
                assert!(!received.is_whole_success(), "{end:?} {path}: {received:?}");
            }
        }
    },
    /// The same for a target that resumes a stream (MIXED).
    a_reset_of_a_resumed_stream_gives_no_complete_answer: {
        for end in [End::Reset, End::CloseUnread, End::Fin] {
            let early = Behavior::Early { part_bytes: 0, delay_ms: 5, end };
            let (_store, router) = fleet(&[Behavior::Cut(3), early], 2).await;
            let received = call(&router, "HTTP/1.1", "/brief/", MAX_UPLOAD_BYTES).await;
            assert!(!received.is_whole_success(), "{end:?}: {received:?}");
        }
    },
    /// Guards against an order of events in which a write reports the reset, and the next read a plain
    /// end: bytes and reset arrive together while the router is stopped (MIXED).
    a_reset_that_arrives_at_a_stopped_router_gives_no_complete_answer: {
        for end in [End::Reset, End::CloseUnread] {
            for delay_ms in [0, 50] {
                let early = Behavior::Early { part_bytes: PART_BYTES, delay_ms: 200 + delay_ms, end };
                for path in ["/book/", "/look/", "/brief/", "/note/"] {
                    let (_store, router) = fleet(&[early], 1).await;
                    let calling = call(&router, "HTTP/1.1", path, MAX_UPLOAD_BYTES);
                    let stopping = async {
                        time::sleep(Duration::from_millis(150)).await;
                        router.process.signal(Signal::STOP);
                        time::sleep(Duration::from_millis(300)).await;
                        router.process.signal(Signal::CONT);
                    };
                    let (received, ()) = tokio::join!(calling, stopping);
                    assert!(!received.is_whole_success(), "{early:?} {path}: {received:?}");
                }
            }
        }
    },
    /// Guards against passing on an answer whose status isn't one of HTTP (MIXED).
    a_status_that_is_none_gives_no_answer_of_the_target: {
        let lines = ["HTTP/1.1 000 X", "HTTP/1.1 099 X", "HTTP/1.1 1000 X", "HTTP/1.1 20x X", "HTTP/1.1 0"];
        for line in lines {
            let (_store, router) = fleet(&[Behavior::Status(line)], 1).await;
            for version in ["HTTP/1.0", "HTTP/1.1"] {
                for path in ["/book/", "/look/", "/brief/", "/note/"] {
                    let received = call(&router, version, path, 4).await;
                    assert!(received.status == "502", "{line} {version} {path}: {received:?}");
                }
            }
        }
    },
}
