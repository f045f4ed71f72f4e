//! Invalid requests: each has its own result code, and the router keeps serving.

mod support;

use std::time::Duration;

use support::Deployment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::{net, time};

/// Longest time for the router to close a bad connection, above the timeouts of its settings.
const MARGIN: Duration = Duration::from_secs(3);

struct Case {
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    result: u16,
}

const KEY: (&str, &str) = ("authorization", "Bearer key-of-lanes");
const CLUBS: (&str, &str) = ("authorization", "Bearer key-of-clubs");
const CHAT: &str = "/v1/chat/completions";

async fn check(case: Case) {
    let fleet = Deployment::start(r#""callers": {"max_body_bytes": 2048},"#);
    let response =
        support::send(case.method, fleet.callers_addr, case.path, case.headers, case.body).await;
    assert_eq!(response.result_code(), case.result, "{response:?}");
    assert_eq!(response.ran(), "no");
    let error = &response.json()["error"];
    assert_eq!(error["code"], case.result);
    assert!(error["request_id"].as_str().is_some_and(|id| id.starts_with("r1-")));
    assert_eq!(support::chat(fleet.callers_addr, true, 3).await.result_code(), 0);
}

macro_rules! rejections {
    ($($name:ident: $method:literal $path:expr, $headers:expr, $body:expr => $result:literal;)*) => { $(
        #[tokio::test]
        async fn $name() {
            check(Case { method: $method, path: $path, headers: $headers, body: $body, result: $result })
                .await;
        }
    )* };
}

static LARGE_BODY: &str = include_str!("bad_input.rs");

rejections! {
    no_key: "POST" CHAT, &[], "{}" => 110;
    wrong_key: "POST" CHAT, &[("authorization", "Bearer nobody")], "{}" => 110;
    not_a_bearer_key: "POST" CHAT, &[("authorization", "Basic a2V5")], "{}" => 110;
    class_unknown: "POST" CHAT, &[KEY, ("gentianhinge-class", "gold")], "{}" => 122;
    class_not_allowed: "POST" CHAT, &[CLUBS, ("gentianhinge-class", "now")], "{}" => 111;
    malformed_json: "POST" CHAT, &[KEY], "{\"model\": " => 100;
    json_without_model: "POST" CHAT, &[KEY], "{\"stream\": true}" => 100;
    json_of_other_types: "POST" CHAT, &[KEY], "{\"model\": 7}" => 100;
    unknown_model: "POST" CHAT, &[KEY], "{\"model\": \"oracle\"}" => 120;
    unknown_service: "POST" "/services/bank/pay", &[KEY], "" => 121;
    unknown_path: "GET" "/v2/anything", &[KEY], "" => 123;
    wrong_method: "GET" CHAT, &[KEY], "" => 124;
    body_too_large: "POST" CHAT, &[KEY], LARGE_BODY => 101;
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test]
        async fn $name() { $body }
    )* };
}

/// Sends raw bytes and returns what the router sends until it closes the connection.
async fn send_raw(addr: std::net::SocketAddr, bytes: &[u8], timeout: Duration) -> String {
    let mut stream = net::TcpStream::connect(addr).await.unwrap();
    // The router may close the connection before everything is written.
    let _ = stream.write_all(bytes).await;
    let mut response = Vec::new();
    let read = time::timeout(timeout, stream.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the router closes the connection");
    String::from_utf8_lossy(&response).into_owned()
}

/// Size of each event of a large response.
const EVENT_BYTES: usize = 4000;

/// Receive buffer of a caller that doesn't read.
const SMALL_BUFFER_BYTES: u32 = 8192;

/// Requests a streamed response that is larger than the socket buffers, without reading any of it.
async fn request_many_tokens(addr: std::net::SocketAddr) -> net::TcpStream {
    let socket = net::TcpSocket::new_v4().unwrap();
    // The router's timeout starts only when the socket buffers are full. The kernel lets a buffer
    // grow to megabytes, which take seconds to fill on a busy machine.
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    let mut stream = socket.connect(addr).await.unwrap();
    // The stand-in repeats the user in each token, so that a few large events fill the buffers.
    let user = "u".repeat(EVENT_BYTES);
    let body = format!(
        r#"{{"model": "assistant", "stream": true, "max_tokens": 4000, "user": "{user}"}}"#
    );
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\
         authorization: Bearer key-of-lanes\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

cases! {
    too_many_headers_are_rejected: {
        let fleet = Deployment::start("");
        let mut head = String::from("POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n");
        for n in 0..10_000 {
            head.push_str(&format!("x-filler-{n}: {n}\r\n"));
        }
        let response = send_raw(fleet.callers_addr, head.as_bytes(), MARGIN).await;
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
        assert_eq!(support::chat(fleet.callers_addr, true, 3).await.result_code(), 0);
    },
    a_slow_request_head_times_out: {
        let fleet = Deployment::start(r#""callers": {"header_timeout_ms": 200},"#);
        send_raw(fleet.callers_addr, b"POST /v1/chat/completions HTT", MARGIN).await;
        assert_eq!(support::chat(fleet.callers_addr, true, 3).await.result_code(), 0);
    },
    a_slow_request_body_times_out: {
        let fleet = Deployment::start(r#""callers": {"body_timeout_ms": 200},"#);
        let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\
                    authorization: Bearer key-of-lanes\r\nconnection: close\r\n\r\n{";
        let response = send_raw(fleet.callers_addr, head.as_bytes(), MARGIN).await;
        assert!(response.starts_with("HTTP/1.1 408"), "{response}");
        assert!(response.contains("gentianhinge-result: 103"), "{response}");
    },
    a_disconnected_caller_frees_its_slot: {
        let fleet = Deployment::start("");
        for _ in 0..8 {
            let stream = request_many_tokens(fleet.callers_addr).await;
            time::sleep(Duration::from_millis(20)).await;
            drop(stream);
        }
        let response = time::timeout(MARGIN, support::chat(fleet.callers_addr, true, 3)).await;
        assert_eq!(response.expect("a slot is free").result_code(), 0);
    },
    a_caller_that_does_not_read_frees_its_slot: {
        // The engine generates tokens without delay, so that the socket buffers fill up quickly.
        let fleet = Deployment::with_engines(1, "0", r#""callers": {"unread_timeout_ms": 300},"#);
        let mut streams = Vec::new();
        for _ in 0..8 {
            streams.push(request_many_tokens(fleet.callers_addr).await);
        }
        let response = time::timeout(MARGIN, support::chat(fleet.callers_addr, true, 3)).await;
        assert_eq!(response.expect("a slot is free").result_code(), 0);
    },
    requests_above_a_teams_waiting_limit_are_refused: {
        let fleet = Deployment::start("");
        let call = async |team_key: &'static str| {
            let auth = format!("Bearer {team_key}");
            let body = r#"{"model": "assistant", "stream": true, "max_tokens": 300}"#;
            let headers =
                [("authorization", auth.as_str()), ("gentianhinge-class", "later")];
            support::send("POST", fleet.callers_addr, CHAT, &headers, body).await.result_code()
        };
        // Five run (four slots and one lookahead slot), two wait, and the others are refused.
        let calls = (0..10).map(|_| call(support::CLUBS_KEY));
        let results = futures_util::future::join_all(calls).await;
        let refused = results.iter().filter(|result| **result == 200).count();
        assert!(refused >= 1, "{results:?}");
        assert!(results.iter().all(|result| [0, 200].contains(result)), "{results:?}");
    },
}
