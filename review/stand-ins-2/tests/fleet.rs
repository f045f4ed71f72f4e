//! Stand-ins of the second review: the platform's store, servers, clients, and the routers as child
//! processes. Only the standard library is used, so that `rustc` alone builds them.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::panic;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Key of the tenant that calls.
pub const KEY: &str = "key-of-tenant-1";
/// Host header of all routes.
pub const HOST: &str = "desk.example";
/// Interval between two heartbeats of a server, as in the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// `drain_ms` of the settings.
pub const DRAIN: Duration = Duration::from_millis(2000);
/// `stable_window_ms` of the settings.
pub const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Time after which a run of a script is given up.
const MAX_RUN_TIME: Duration = Duration::from_secs(117);

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Locks, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What was sent, answered and run, with the time since the start in ms.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started_at: Instant::now(), lines: Arc::default() }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds a line.
    pub fn add(&self, line: String) {
        let now = self.now();
        lock(&self.lines).push((now, line));
    }

    /// Waits until a time since the start.
    pub fn sleep_until(&self, at: Duration) {
        thread::sleep(at.saturating_sub(self.now()));
    }

    fn write(&self, path: &str) -> io::Result<()> {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines.iter().map(|(at, line)| format!("{:>8} {line}\n", at.as_millis()));
        fs::write(path, lines.collect::<String>())
    }
}

/// Whether the script causes its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Runs a case: `run` returns whether the rule was broken, and why. The record goes to `record.txt` in
/// the folder that the first argument names.
pub fn main_of(run: impl FnOnce(&Record) -> Result<(bool, String), String>) -> ! {
    let record = Record::new();
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
    // A case that ends by a panic couldn't run.
    let result = panic::catch_unwind(panic::AssertUnwindSafe(|| run(&record)));
    let result = result.unwrap_or_else(|_| Err("the script panicked".to_string()));
    let (code, text) = match result {
        Ok((true, text)) => (BROKEN, format!("BROKEN: {text}")),
        Ok((false, text)) => (HELD, format!("HELD: {text}")),
        Err(text) => (NOT_RUN, format!("NOT RUN: {text}")),
    };
    println!("{text}");
    record.add(text);
    if let Err(err) = record.write(&format!("{folder}/record.txt")) {
        eprintln!("can't write the record: {err}");
    }
    std::process::exit(code);
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the target of a request or the status of an answer.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.second_word().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

/// A TCP connection that carries messages.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Channel {
        let _ = stream.set_nodelay(true);
        Channel { stream, buffer: Vec::new() }
    }

    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Channel> {
        Ok(Channel::new(TcpStream::connect_timeout(&addr, timeout)?))
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16384];
        let len = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..len]);
        Ok(len > 0)
    }

    /// Reads a message with a length; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let head_end = loop {
            if let Some(at) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_string();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.to_string(), value.trim().to_string()));
        let mut message =
            Message { first_line, headers: headers.collect::<Vec<_>>(), body: Vec::new() };
        let len = message.header("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
        while self.buffer.len() < head_end + len {
            if !self.fill()? {
                return Ok(None);
            }
        }
        message.body = self.buffer[head_end..head_end + len].to_vec();
        self.buffer.drain(..head_end + len);
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads and drops what comes until the peer closes the connection, without an answer.
    fn stay_silent(&mut self) {
        let mut bytes = [0; 4096];
        while matches!(self.stream.read(&mut bytes), Ok(len) if len > 0) {}
    }
}

fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A free port of a loopback address.
pub fn free_addr(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// A loopback address of this process; different numbers give different addresses.
pub fn ip(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    let octet = |number: u32| (number % 250) as u8 + 1;
    Ipv4Addr::new(127, octet(pid), octet(pid / 250), number)
}

// ---------------------------------------------------------------------------------------------
// Store

type Topic = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct StoreState {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
    connection_count: AtomicU64,
    /// Connections with lower numbers are silent for good.
    silent_below: AtomicU64,
    /// Routers whose next deregistration gets no answer and is executed after this time.
    late_removals: Mutex<HashMap<String, Duration>>,
    write_count: AtomicU64,
    unanswered_count: AtomicU64,
}

/// Stand-in of the platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<StoreState>,
    record: Record,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(record: &Record) -> Store {
        let listener = TcpListener::bind((ip(1), 0)).expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let store = Store { state: Arc::default(), record: record.clone(), addr };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                let number = store.state.connection_count.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || store.serve(Channel::new(stream), number));
            }
        });
        store
    }

    /// Lets all connections that are open now go silent for good; new ones work.
    pub fn silence_connections(&self) {
        let count = self.state.connection_count.load(Ordering::SeqCst);
        self.state.silent_below.store(count, Ordering::SeqCst);
        self.record.add(format!("store: {count} connections so far are silent from now on"));
    }

    /// The next deregistration of a router is executed late, without an answer.
    pub fn delay_removal(&self, router: &str, delay: Duration) {
        lock(&self.state.late_removals).insert(router.to_string(), delay);
    }

    /// Writes of the routers, and how many of them got no answer.
    pub fn write_counts(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::SeqCst);
        (load(&self.state.write_count), load(&self.state.unanswered_count))
    }

    /// Appends a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> u64 {
        let mut topics = lock(&self.state.topics);
        let records = topics.entry(topic.to_string()).or_default();
        records.push((key.to_string(), value.as_bytes().to_vec()));
        let offset = records.len() as u64 - 1;
        drop(topics);
        self.state.changed.notify_all();
        offset
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.state.silent_below.load(Ordering::SeqCst)
    }

    fn serve(&self, mut channel: Channel, number: u64) {
        while let Ok(Some(request)) = channel.read() {
            if self.is_silent(number) {
                return channel.stay_silent();
            }
            let path = request.second_word().split('?').next().unwrap_or_default();
            let bytes = match path {
                "/log-newest" => Some(self.newest(&request)),
                "/log-read" => Some(self.read(&request)),
                "/log-append" => self.append(&request),
                _ => Some(answer("404 Not Found", &[], b"")),
            };
            let bytes = bytes.filter(|_| !self.is_silent(number));
            let Some(bytes) = bytes else { return channel.stay_silent() };
            if channel.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn newest(&self, request: &Message) -> Vec<u8> {
        let topics = lock(&self.state.topics);
        let empty = Topic::new();
        let records = topics.get(request.query("topic").unwrap_or_default()).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            let (key, value) = (escape(key), base64(value));
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        let body = format!(r#"{{"items":[{items}],"has_more":false,"end_offset":{end}}}"#);
        answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn read(&self, request: &Message) -> Vec<u8> {
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let topic = request.query("topic").unwrap_or_default();
        let from = number("from").unwrap_or(0) as usize;
        let ends_at = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut topics = lock(&self.state.topics);
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = ends_at.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            let waited = self.state.changed.wait_timeout(topics, left);
            topics = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let empty = Topic::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in records.iter().skip(from) {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        answer("200 OK", &[], &body)
    }

    /// `None` if the call gets no answer.
    fn append(&self, request: &Message) -> Option<Vec<u8>> {
        let topic = request.query("topic").unwrap_or_default().to_string();
        self.state.write_count.fetch_add(1, Ordering::SeqCst);
        let mut body = &request.body[..];
        let mut offset = 0;
        while body.len() > 4 {
            let len = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let (record, rest) = body[4..].split_at(len.min(body.len() - 4));
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            let (key, value) = (String::from_utf8_lossy(key), String::from_utf8_lossy(value));
            body = rest;
            let kind = if value.is_empty() { "removal" } else { "record" };
            let delay =
                if value.is_empty() { lock(&self.state.late_removals).remove(&*key) } else { None };
            if let Some(delay) = delay {
                self.state.unanswered_count.fetch_add(1, Ordering::SeqCst);
                self.record.add(format!("store: {kind} of {key} in {topic}: no answer"));
                let (store, key) = (self.clone(), key.into_owned());
                thread::spawn(move || {
                    thread::sleep(delay);
                    store.put(&topic, &key, "");
                    store.record.add(format!(
                        "store: {kind} of {key} in {topic} executed {} ms late",
                        delay.as_millis()
                    ));
                });
                return None;
            }
            self.record.add(format!("store: {kind} of {key} in {topic}: executed"));
            offset = self.put(&topic, &key, &value);
        }
        let body = format!(r#"{{"offset":{offset},"end_offset":{}}}"#, offset + 1);
        Some(answer("200 OK", &[("Content-Type", "application/json")], body.as_bytes()))
    }
}

/// Escapes control characters for JSON.
fn escape(text: &str) -> String {
    let escaped = text.chars().map(|char| match char {
        char if char.is_control() => format!("\\u{:04x}", u32::from(char)),
        char => char.to_string(),
    });
    escaped.collect()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |at: usize| u32::from(three.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let at = (bits >> (18 - 6 * digit) & 63) as usize;
            let is_used = digit <= three.len();
            text.push(if is_used { char::from(DIGITS[at]) } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// Configuration

/// Puts a configuration with routes to the service `order-desk` and one to `draft-model`.
pub fn put_config(store: &Store, timeout_ms: u64, target_latency_ms: u64) {
    let route = |name: &str, service: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","route_kind":"{kind}",
            "timeout_ms":{timeout_ms},"target_latency_ms":{target_latency_ms},"priority":2,
            "service":"{service}","max_attempts":{attempts},"gap_aim_ms":300,
            "resumable":{}}}"#,
            kind == "streaming"
        )
    };
    let routes = [
        route("order", "order-desk", "non_idempotent", 1),
        route("stock", "order-desk", "idempotent", 2),
        route("draft", "draft-model", "idempotent", 2),
        route("brief", "order-desk", "streaming", 2),
    ];
    let routes = routes.join(",");
    let config = format!(
        r#"{{"version":7,"routes":[{routes}],
        "services":[{{"name":"order-desk","max_conns":110}},
        {{"name":"draft-model","max_conns":110}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
        "idle_timeout_ms":15000}},
        "tenants":[{{"name":"tenant-1","api_keys":["{KEY}"]}}]}}"#
    );
    store.put("keyed.op", "config", &config);
}

// ---------------------------------------------------------------------------------------------
// Servers

/// A request as a server has received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub server: String,
    pub attempt: String,
    pub has_run: bool,
}

/// What all servers have received.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// How a server numbers and sends the events of its streams.
#[derive(Clone, Copy)]
pub struct Numbering {
    /// Difference between the ids of two events; the first event has this id.
    pub step: u64,
    pub event_count: u64,
    /// Time that an event takes.
    pub pace: Duration,
}

/// An extra answer that a faulty server sends after a complete one.
pub struct Stray {
    pub bytes: Vec<u8>,
    /// Every how many answers there is one.
    pub one_in: u64,
}

struct ServerState {
    work: Duration,
    /// Part of the requests that fail with 500 after they have run, in percent.
    fail_percent: AtomicU32,
    stray: Mutex<Option<Stray>>,
    numbering: Mutex<Option<Numbering>>,
    answer_count: AtomicU64,
    stray_count: AtomicU64,
    is_beating: AtomicBool,
    heartbeat: AtomicU64,
}

/// Stand-in of a server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    service: String,
    pub addr: SocketAddr,
    pub born_ms: u128,
    state: Arc<ServerState>,
    store: Store,
    record: Record,
    arrivals: Arrivals,
}

impl Server {
    /// Starts a server of the service `order-desk` and its heartbeats.
    pub fn start(number: u8, work: Duration, store: &Store, arrivals: &Arrivals) -> Server {
        Server::start_of("order-desk", number, work, store, arrivals)
    }

    /// The same for any service.
    pub fn start_of(
        service: &str,
        number: u8,
        work: Duration,
        store: &Store,
        arrivals: &Arrivals,
    ) -> Server {
        let listener = TcpListener::bind((ip(100 + number), 0)).expect("a free port");
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let server = Server {
            id: format!("i-{number}"),
            service: service.to_string(),
            addr: listener.local_addr().expect("a bound address"),
            born_ms: born.expect("a time after 1970").as_millis(),
            state: Arc::new(ServerState {
                work,
                fail_percent: AtomicU32::new(0),
                stray: Mutex::default(),
                numbering: Mutex::default(),
                answer_count: AtomicU64::new(0),
                stray_count: AtomicU64::new(0),
                is_beating: AtomicBool::new(true),
                heartbeat: AtomicU64::new(0),
            }),
            store: store.clone(),
            record: store.record.clone(),
            arrivals: arrivals.clone(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(Channel::new(stream)));
            }
        });
        let beating = server.clone();
        thread::spawn(move || {
            while beating.state.is_beating.load(Ordering::SeqCst) {
                beating.register();
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    fn register(&self) {
        let number = self.state.heartbeat.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-1","version":"1","slots":6,
            "state":"ready","cold_left_ms":0,"seq_no":{number},"born":{}}}"#,
            self.service, self.addr, self.born_ms
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    /// Leaves without having reported `draining`: the entry is removed, and the server goes on for a
    /// time. Returns the time of the store's ack.
    pub fn leave(&self) -> Duration {
        self.state.is_beating.store(false, Ordering::SeqCst);
        self.store.put("keyed.servers", &self.id, "");
        let acked_at = self.record.now();
        self.record.add(format!("store: entry of {} removed, the server leaves", self.id));
        acked_at
    }

    /// Lets a part of the requests fail after they have run.
    pub fn set_failing(&self, percent: u32) {
        self.state.fail_percent.store(percent, Ordering::SeqCst);
    }

    /// Lets an extra answer follow some answers.
    pub fn set_stray(&self, stray: Option<Stray>) {
        *lock(&self.state.stray) = stray;
    }

    /// Sends streams event by event from now on.
    pub fn set_numbering(&self, numbering: Numbering) {
        *lock(&self.state.numbering) = Some(numbering);
    }

    /// Number of answers, and of extra answers.
    pub fn answer_counts(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::SeqCst);
        (load(&self.state.answer_count), load(&self.state.stray_count))
    }

    /// The extra answer that follows the answer that was just sent, if there is one.
    fn stray_after(&self) -> Option<Vec<u8>> {
        let number = self.state.answer_count.fetch_add(1, Ordering::SeqCst) + 1;
        let stray = lock(&self.state.stray);
        let stray = stray.as_ref().filter(|stray| number % stray.one_in == 0)?;
        Some(stray.bytes.clone())
    }

    fn serve(&self, mut channel: Channel) {
        let mut stray: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = channel.read() {
            let attempt = request.header("attempt-id").unwrap_or_default().to_string();
            // Without the header, a server runs what it gets.
            let expected = request.header("expect-instance");
            let is_meant = expected.is_none_or(|id| id == self.id);
            let arrival = Arrival {
                at: self.record.now(),
                server: self.id.clone(),
                attempt: attempt.clone(),
                has_run: is_meant,
            };
            lock(&self.arrivals).push(arrival);
            let what = if is_meant { "runs" } else { "rejects" };
            self.record.add(format!("server {}: {what} {attempt}", self.id));
            if let Some(bytes) = stray.take() {
                // It comes late, at the point where the next answer is expected.
                let count = self.state.stray_count.fetch_add(1, Ordering::SeqCst) + 1;
                self.record.add(format!(
                    "server {}: extra answer {count} after the one before, as {attempt} runs",
                    self.id
                ));
                if channel.write(&bytes).is_err() {
                    return;
                }
            }
            let numbering = *lock(&self.state.numbering);
            let is_stream = request.second_word().starts_with("/brief/");
            if let Some(numbering) = numbering.filter(|_| is_meant && is_stream) {
                if self.send_events(&mut channel, &request, &attempt, numbering).is_err() {
                    return;
                }
                continue;
            }
            let bytes = if is_meant {
                thread::sleep(self.state.work);
                let percent = self.state.fail_percent.load(Ordering::SeqCst);
                let draw = random() % 100;
                let status =
                    if draw < percent.into() { "500 Internal Server Error" } else { "200 OK" };
                let headers = [("Attempt-Id", attempt.as_str()), ("Server-Stamp", "3e1b.07")];
                let body =
                    if is_stream { events() } else { format!("done by {}", self.id).into_bytes() };
                answer(status, &headers, &body)
            } else {
                let headers = [("Attempt-Id", attempt.as_str()), ("Instance-Id", self.id.as_str())];
                answer("421 Misdirected Request", &headers, b"")
            };
            if channel.write(&bytes).is_err() {
                return;
            }
            stray = self.stray_after();
        }
    }

    /// Sends a stream event by event, from the one after `Last-Event-Id` on.
    fn send_events(
        &self,
        channel: &mut Channel,
        request: &Message,
        attempt: &str,
        numbering: Numbering,
    ) -> io::Result<()> {
        thread::sleep(self.state.work);
        let last = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let first = last.unwrap_or(0) / numbering.step + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Attempt-Id: {attempt}\r\nServer-Stamp: 3e1b.07\r\n\r\n"
        );
        channel.write(head.as_bytes())?;
        for number in first..=numbering.event_count {
            thread::sleep(numbering.pace);
            let event = format!("id: {}\ndata: event {number}\n\n", number * numbering.step);
            channel.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        channel.write(b"0\r\n\r\n")?;
        self.record.add(format!("server {}: has sent all events of {attempt}", self.id));
        Ok(())
    }
}

/// Number of events of a stream, and their size in bytes: the largest of the kind `dossier-appeal` in
/// `apmwb-wallet-grown`.
pub const EVENT_COUNT: usize = 120;
pub const EVENT_BYTES: usize = 300;

/// All events of a stream.
pub fn events() -> Vec<u8> {
    let event = |id: usize| {
        let head = format!("id: {id}\ndata: ");
        let filler = "x".repeat(EVENT_BYTES - head.len() - 2);
        format!("{head}{filler}\n\n")
    };
    (1..=EVENT_COUNT).map(event).collect::<String>().into_bytes()
}

/// A pseudo-random number.
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let mut x = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    x = (x ^ x >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ x >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ x >> 31
}

// ---------------------------------------------------------------------------------------------
// Routers

/// A router process, with the command of the deploy file.
pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Routers and their folder; all processes end when it is dropped.
pub struct Fleet {
    folder: PathBuf,
    template: String,
    command: Vec<String>,
    store: Store,
    record: Record,
    pub routers: Vec<Router>,
}

impl Fleet {
    /// Starts `count` routers at the first start of the fleet.
    pub fn start(count: u8, store: &Store) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|err| format!("temporary folder: {err}"))?;
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|err| err.to_string())?;
        let field = |name: &str| {
            let line = deploy.lines().find(|line| line.starts_with(&format!("{name} = ")));
            line.and_then(|line| line.split('"').nth(1)).map(str::to_string)
        };
        let command = field("run").ok_or("no command in the deploy file")?;
        let template = field("template").ok_or("no template in the deploy file")?;
        let template = fs::read_to_string(template).map_err(|err| err.to_string())?;
        let mut fleet = Fleet {
            folder,
            template,
            command: command.split(' ').map(str::to_string).collect(),
            store: store.clone(),
            record: store.record.clone(),
            routers: Vec::new(),
        };
        watch(&fleet);
        for number in 0..count {
            fleet.add(number)?;
        }
        for router in &fleet.routers {
            router.wait_until_ready()?;
        }
        Ok(fleet)
    }

    fn add(&mut self, number: u8) -> Result<(), String> {
        let name = format!("edge-zone-1-{}", number + 1);
        let own_ip = ip(10 + number);
        let (front, ready) = (free_addr(own_ip), free_addr(own_ip));
        let settings = self.folder.join(format!("{name}.jsonc"));
        let log = self.folder.join(format!("{name}.log"));
        let text = self.render(&name, own_ip, front, ready, true);
        fs::write(&settings, text).map_err(|err| err.to_string())?;
        let child = spawn(&self.command, &settings, &log)?;
        note_child(child.id());
        self.record.add(format!("router {name}: started"));
        self.routers.push(Router { name, front, ready, settings, log, child });
        Ok(())
    }

    /// Stops a router with SIGTERM, waits for its end (SIGKILL after the grace period), and starts it
    /// again after a short delay.
    pub fn restart(&mut self, number: usize) -> Result<(), String> {
        let own_ip = match self.routers[number].front.ip() {
            IpAddr::V4(own_ip) => own_ip,
            IpAddr::V6(_) => return Err("not an IPv4 address".to_string()),
        };
        let router = &mut self.routers[number];
        self.record.add(format!("router {}: SIGTERM", router.name));
        signal(router.child.id(), "TERM")?;
        let kill_at = Instant::now() + Duration::from_secs(8);
        while router.child.try_wait().map_err(|err| err.to_string())?.is_none() {
            if Instant::now() >= kill_at {
                let _ = router.child.kill();
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.add(format!("router {}: has ended", router.name));
        thread::sleep(Duration::from_millis(200));
        let (name, front, ready) = (router.name.clone(), router.front, router.ready);
        let text = self.render(&name, own_ip, front, ready, false);
        let router = &mut self.routers[number];
        fs::write(&router.settings, text).map_err(|err| err.to_string())?;
        router.child = spawn(&self.command, &router.settings, &router.log)?;
        note_child(router.child.id());
        self.record.add(format!("router {name}: started again"));
        router.wait_until_ready()
    }

    /// The settings of a router, as the platform renders the template.
    fn render(
        &self,
        name: &str,
        own_ip: Ipv4Addr,
        front: SocketAddr,
        ready: SocketAddr,
        is_first_start: bool,
    ) -> String {
        let text = |text: String| format!("\"{text}\"");
        let values = [
            ("node_name|json", text(name.to_string())),
            ("region|json", text("region-1".to_string())),
            ("zone|json", text("zone-1".to_string())),
            ("bootstrap|json", is_first_start.to_string()),
            ("listen.front|json", text(front.to_string())),
            ("listen.ready_addr|json", text(ready.to_string())),
            ("ip", own_ip.to_string()),
            ("internal_ports.0", "7400".to_string()),
            ("platform.address|json", text(self.store.addr.to_string())),
            ("heartbeat_ms|json", HEARTBEAT.as_millis().to_string()),
            ("limits.max_fds|json", "4100".to_string()),
            ("limits.memory_mb|json", "260".to_string()),
            ("bounds.drain_ms|json", "2000".to_string()),
            ("bounds.config_apply_ms|json", "2000".to_string()),
            ("bounds.grace_s|json", "8".to_string()),
            ("bounds.retry_budget_ratio|json", "0.2".to_string()),
            ("bounds.budget_window_s|json", "10".to_string()),
            ("bounds.budget_extra_retries|json", "56".to_string()),
            ("bounds.quota_window_s|json", "4".to_string()),
        ];
        let mut rendered = self.template.clone();
        for (field, value) in values {
            rendered = rendered.replace(&format!("{{{{{field}}}}}"), &value);
        }
        // Fields that the platform has no value for.
        while let Some((before, rest)) = rendered.split_once("{{") {
            let after = rest.split_once("}}").map_or("", |(_, after)| after);
            rendered = format!("{before}null{after}");
        }
        rendered
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for router in &mut self.routers {
            let _ = router.child.kill();
            let _ = router.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Router {
    fn wait_until_ready(&self) -> Result<(), String> {
        let ends_at = Instant::now() + Duration::from_secs(10);
        while Instant::now() < ends_at {
            let get = format!("GET /readyz HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
            let is_ready =
                Channel::connect(self.ready, Duration::from_secs(1)).and_then(|mut it| {
                    it.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                    it.write(get.as_bytes())?;
                    Ok(it.read()?.is_some_and(|answer| answer.status() == 200))
                });
            if is_ready.unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("router {} isn't ready", self.name))
    }
}

fn spawn(command: &[String], settings: &PathBuf, log: &PathBuf) -> Result<Child, String> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log);
    let log = log.map_err(|err| err.to_string())?;
    let mut process = Command::new(&command[0]);
    process.args(&command[1..]).env_clear().env("GENTIANHINGE_CONFIG", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Some(value) = std::env::var_os(name) {
            process.env(name, value);
        }
    }
    let errors = log.try_clone().map_err(|err| err.to_string())?;
    process.stdin(Stdio::null()).stdout(log).stderr(errors);
    process.spawn().map_err(|err| format!("{}: {err}", command[0]))
}

fn signal(pid: u32, name: &str) -> Result<(), String> {
    let status = Command::new("kill").args([format!("-{name}"), pid.to_string()]).status();
    match status {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("kill: {status}")),
        Err(err) => Err(format!("kill: {err}")),
    }
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn note_child(pid: u32) {
    lock(&CHILDREN).push(pid);
}

/// Ends all processes if the script takes too long.
fn watch(fleet: &Fleet) {
    let folder = fleet.folder.clone();
    thread::spawn(move || {
        thread::sleep(MAX_RUN_TIME);
        for pid in lock(&CHILDREN).iter() {
            let is_own = fs::read_to_string(format!("/proc/{pid}/cmdline"));
            if is_own.is_ok_and(|line| line.contains("gentianhinged")) {
                let _ = signal(*pid, "KILL");
            }
        }
        let _ = fs::remove_dir_all(folder);
        println!("NOT RUN: the script took too long");
        std::process::exit(NOT_RUN);
    });
}

// ---------------------------------------------------------------------------------------------
// Clients

/// A client that sends requests one after the other and keeps its channel while the router does.
pub struct Client {
    name: String,
    front: SocketAddr,
    record: Record,
    channel: Option<Channel>,
    count: u64,
}

impl Client {
    pub fn new(name: String, front: SocketAddr, record: &Record) -> Client {
        Client { name, front, record: record.clone(), channel: None, count: 0 }
    }

    /// Sends a request and reads its answer; returns the id of the attempt and the status, 0 without
    /// an answer.
    pub fn call(&mut self, method: &str, route: &str, deadline: Duration) -> (String, u16) {
        self.count += 1;
        let attempt = format!("{}-{:06}", self.name, self.count);
        let body = if method == "POST" { "an order" } else { "" };
        let request = format!(
            "{method} /{route}/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n\
             Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
            deadline.as_millis(),
            body.len()
        );
        self.record.add(format!("client: sends {attempt} {method} /{route}/ to {}", self.front));
        let result = self.exchange(request.as_bytes(), deadline);
        let status = match result {
            Ok(answer) => {
                if answer.header("connection").is_some_and(|value| value.contains("close")) {
                    self.channel = None;
                }
                let id = answer.header("attempt-id").unwrap_or("no id").to_string();
                let status = answer.status();
                self.record.add(format!("client: {attempt} is answered {status} (id {id})"));
                status
            }
            Err(err) => {
                self.channel = None;
                self.record.add(format!("client: {attempt} has no answer: {err}"));
                0
            }
        };
        (attempt, status)
    }

    fn exchange(&mut self, request: &[u8], deadline: Duration) -> io::Result<Message> {
        let channel = match self.channel.take() {
            Some(channel) => self.channel.insert(channel),
            None => self.channel.insert(Channel::connect(self.front, Duration::from_secs(1))?),
        };
        channel.stream.set_read_timeout(Some(deadline))?;
        channel.write(request)?;
        let answer = channel.read()?;
        answer.ok_or_else(|| io::Error::other("the channel was closed"))
    }
}
