//! Requests that cross a change of the configuration on a kept connection.

mod edge_kit;
mod support;

use std::time::Duration;

use edge_kit::{Behavior, KEY, Router, Store, Target};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

/// Time that a target takes.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Changes of the configuration in a test.
const CHANGE_COUNT: u64 = 20;

/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(120);

/// Connections at the same time.
const CONNECTION_COUNT: usize = 8;

/// How a caller sends its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    /// Each once the one before is answered.
    InTurn,
    /// Two at a time, without waiting for the first answer.
    Pipelined,
    /// The head, and the body once the router asks for it.
    ExpectContinue,
    /// The head, and the body after a pause.
    SlowBody,
}

/// A change of the configuration, by its number.
type Change = fn(&mut Value, u64);

fn move_routes(config: &mut Value, number: u64) {
    let service = if number.is_multiple_of(2) { "desk" } else { "bank" };
    for route in config["routes"].as_array_mut().unwrap() {
        route["service"] = service.into();
    }
}

fn drop_other_routes(config: &mut Value, number: u64) {
    let routes = config["routes"].as_array_mut().unwrap();
    routes.retain(|route| route["name"] == "look" || number.is_multiple_of(2));
}

fn change_limits(config: &mut Value, number: u64) {
    let even = number.is_multiple_of(2);
    config["limits"] = json!({
        "max_body_bytes": if even { 4096 } else { 64 }, "max_header_bytes": 8192 + number,
        "header_timeout_ms": if even { 2000 } else { 5000 },
        "idle_timeout_ms": if even { 3000 } else { 30_000 },
    });
}

fn change_teams(config: &mut Value, number: u64) {
    config["tenants"] = json!([
        { "name": "clubs", "api_keys": [KEY, format!("key-{number}")], "priority": number % 3 },
        { "name": format!("team-{number}"), "api_keys": [format!("other-{number}")] },
    ]);
}

fn change_timeouts(config: &mut Value, number: u64) {
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = (3000 + 100 * number).into();
    }
}

async fn fleet() -> (Store, Router) {
    let (store, store_addr) = Store::start().await;
    store.put_config(3);
    for (id, service) in [("t0", "desk"), ("t1", "desk"), ("b0", "bank"), ("b1", "bank")] {
        let (_, addr) = Target::start(id, Behavior::ServeAfter(SERVICE_TIME)).await;
        let record = json!({
            "service": service, "address": addr.to_string(), "zone": "a", "version": "v1",
            "slots": 64, "state": "ready", "cold_left_ms": 0, "seq_no": 1, "born": 1,
        });
        store.put("keyed.servers", id, record.to_string());
    }
    let router = Router::start(store_addr, 4096);
    router.wait_for_readiness(200).await;
    (store, router)
}

async fn change_in_series(store: &Store, router: &Router, change: Change) {
    let (_, newest) = store.backup()["keyed.op"].last().unwrap().clone();
    let first = serde_json::from_slice::<Value>(&newest).unwrap();
    for number in 0..CHANGE_COUNT {
        let mut config = first.clone();
        config["version"] = (4 + number).into();
        change(&mut config, number);
        store.put("keyed.op", "config", config.to_string());
        if number.is_multiple_of(3) {
            router.process.signal(Signal::HUP);
        }
        time::sleep(CHANGE_INTERVAL).await;
    }
}

fn head(id: &str, lines: &str) -> String {
    format!(
        "POST /look/ HTTP/1.1\r\nHost: lanes.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n{lines}\r\n"
    )
}

/// A caller's connection with the bytes that it has received and not used.
struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    served_count: usize,
}

impl Connection {
    async fn open(router: &Router) -> Connection {
        let stream = TcpStream::connect(router.callers).await.unwrap();
        Connection { stream, received: Vec::new(), served_count: 0 }
    }

    /// Reads the next answer; `None` if the connection ends first. Returns its status, and whether
    /// the router closes the connection after it.
    async fn read_answer(&mut self) -> Option<(u16, bool)> {
        loop {
            if let Some((answer, len)) = parse_answer(&self.received) {
                self.received.drain(..len);
                return Some(answer);
            }
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer).await {
                Ok(len) if len > 0 => self.received.extend_from_slice(&buffer[..len]),
                _ => return None,
            }
        }
    }

    /// Sends requests with these ids; returns whether each is answered, and whether the connection
    /// can be used again.
    async fn send(&mut self, ids: &[String], sending: Sending) -> Option<bool> {
        match sending {
            Sending::InTurn | Sending::Pipelined => {
                let text = ids.iter().map(|id| head(id, "") + "body").collect::<String>();
                self.stream.write_all(text.as_bytes()).await.ok()?;
            }
            Sending::ExpectContinue => {
                let text = head(&ids[0], "Expect: 100-continue\r\n");
                self.stream.write_all(text.as_bytes()).await.ok()?;
                let (status, is_closing) = self.read_answer().await?;
                if status != 100 {
                    return Some(!is_closing);
                }
                self.stream.write_all(b"body").await.ok()?;
            }
            Sending::SlowBody => {
                self.stream.write_all(head(&ids[0], "").as_bytes()).await.ok()?;
                time::sleep(CHANGE_INTERVAL).await;
                self.stream.write_all(b"body").await.ok()?;
            }
        }
        let mut is_closing = false;
        for _ in ids {
            // What is sent after a request whose answer closes the connection wasn't read.
            if is_closing {
                return Some(false);
            }
            let status;
            (status, is_closing) = self.read_answer().await?;
            self.served_count += usize::from(status == 200);
        }
        Some(!is_closing)
    }
}

/// Parses an answer with a length, or an interim one; also returns its number of bytes.
fn parse_answer(bytes: &[u8]) -> Option<((u16, bool), usize)> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map_or(0, |length| length.trim().parse::<usize>().unwrap());
    let is_closing = head.contains("connection: close");
    (bytes.len() >= end + length).then_some(((status, is_closing), end + length))
}

/// Sends requests on kept connections while the configuration changes in series; returns the ids of
/// those that got neither an answer nor a refusal.
async fn unanswered(change: Change, sending: Sending) -> Vec<String> {
    let (store, router) = fleet().await;
    let ends_at = Instant::now() + CHANGE_INTERVAL * u32::try_from(CHANGE_COUNT).unwrap();
    let callers = (0..CONNECTION_COUNT).map(async |caller| {
        let mut connection = Connection::open(&router).await;
        let (mut unanswered, mut count, mut served_count) = (Vec::new(), 0, 0);
        while Instant::now() < ends_at {
            let ids = (0..if sending == Sending::Pipelined { 2 } else { 1 })
                .map(|i| format!("c{caller}n{count}i{i}"))
                .collect::<Vec<_>>();
            count += 1;
            let sent = connection.send(&ids, sending).await;
            served_count += std::mem::take(&mut connection.served_count);
            match sent {
                Some(true) => {}
                Some(false) => connection = Connection::open(&router).await,
                None => {
                    unanswered.push(ids[0].clone());
                    connection = Connection::open(&router).await;
                }
            }
        }
        assert!(served_count > count / 2, "{served_count} of {count} requests served");
        unanswered
    });
    let changing = change_in_series(&store, &router, change);
    let (unanswered, ()) =
        futures_util::future::join(futures_util::future::join_all(callers), changing).await;
    unanswered.concat()
}

/// Defines tests: how callers send, under each kind of change.
macro_rules! answered {
    ($($name:ident: $sending:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let changes: [Change; 5] =
                [move_routes, drop_other_routes, change_limits, change_teams, change_timeouts];
            for (number, change) in changes.into_iter().enumerate() {
                let unanswered = unanswered(change, $sending).await;
                assert_eq!(unanswered, Vec::<String>::new(), "change {number}");
            }
        }
    )*};
}

// Guards against a request that is read beside a change of the configuration and gets neither an
// answer nor a refusal.
answered! {
    requests_in_turn_are_answered_beside_changes: Sending::InTurn;
    pipelined_requests_are_answered_beside_changes: Sending::Pipelined;
    requests_that_expect_to_be_asked_are_answered_beside_changes: Sending::ExpectContinue;
    requests_whose_body_comes_later_are_answered_beside_changes: Sending::SlowBody;
}
