//! Stand-ins of the third review: the platform's store, servers and clients. Standard library only.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// A small generator of random numbers (splitmix64).
#[derive(Clone)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    pub fn chance(&mut self, p: f64) -> bool {
        ((self.next() >> 11) as f64 / (1u64 << 53) as f64) < p
    }
}

// ---------------------------------------------------------------- messages

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub lines: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.lines.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get(name).is_some_and(|v| v.to_ascii_lowercase().contains(token))
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buf: Vec::new() }
    }

    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&addr, timeout)?))
    }

    /// Reads more bytes; `false` at the end.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16384];
        let len = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..len]);
        Ok(len > 0)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_string();
                let lines = lines.filter_map(|line| line.split_once(':'));
                let lines = lines.map(|(k, v)| (k.trim().to_string(), v.trim().to_string()));
                return Ok(Some(Head { first, lines: lines.collect() }));
            }
            if !self.fill()? {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::Error::other("end within a head"));
            }
        }
    }

    pub fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if !self.fill()? {
                return Err(io::Error::other("end within a body"));
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|two| two == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(text);
            }
            if !self.fill()? {
                return Err(io::Error::other("end within a line"));
            }
        }
    }

    /// Reads a chunk; empty at the end of the body.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let len = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
        let len = len.map_err(|_| io::Error::other("not a chunk"))?;
        let data = self.exact(len)?;
        self.line()?;
        Ok(data)
    }

    /// Reads the body of a request.
    pub fn request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.has_token("transfer-encoding", "chunked") {
            let mut all = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(all);
                }
                all.extend(chunk);
            }
        }
        let len = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.exact(len)
    }

    /// Closes with a reset.
    pub fn reset(self) {
        // Bytes that are left unread make the close a reset.
        set_linger_zero(&self.stream);
    }
}

fn set_linger_zero(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    #[repr(C)]
    struct Linger {
        on: i32,
        secs: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, len: u32) -> i32;
    }
    let linger = Linger { on: 1, secs: 0 };
    // SOL_SOCKET and SO_LINGER on Linux, x86-64 and arm64 alike.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, (&raw const linger).cast(), 8) };
}

/// Sets the size of the receive buffer of a socket.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    use std::os::fd::AsRawFd;
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, len: u32) -> i32;
    }
    unsafe { setsockopt(stream.as_raw_fd(), 1, 8, (&raw const bytes).cast(), 4) };
}

// ---------------------------------------------------------------- the store

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Good,
    /// It reads calls and says nothing.
    Silent,
    /// It answers 503 and does nothing.
    Busy,
    /// It closes channels with a reset.
    Reset,
}

#[derive(Default)]
struct Topics {
    records: HashMap<String, Vec<(String, Vec<u8>)>>,
    first: HashMap<String, u64>,
}

pub struct Store {
    topics: Mutex<Topics>,
    changed: Condvar,
    mode: Mutex<StoreMode>,
    pub calls: AtomicU64,
    /// Time of each answer.
    pub delay_ms: AtomicU64,
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let n = u32::from(three[0]) << 16
            | u32::from(*three.get(1).unwrap_or(&0)) << 8
            | u32::from(*three.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= three.len() {
                text.push(SIGNS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store {
            topics: Mutex::default(),
            changed: Condvar::new(),
            mode: Mutex::new(StoreMode::Good),
            calls: AtomicU64::new(0),
            delay_ms: AtomicU64::new(2),
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let all = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = all.clone();
                thread::spawn(move || {
                    let _ = store.serve(Conn::new(stream));
                });
            }
        });
        (store, addr)
    }

    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap() = mode;
    }

    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.records.entry(topic.to_string()).or_default();
        records.push((key.to_string(), value.to_vec()));
        self.changed.notify_all();
    }

    /// The newest value of a key.
    pub fn value(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.topics.lock().unwrap();
        let (_, value) = topics.records.get(topic)?.iter().rev().find(|(name, _)| name == key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Deletes all records of a topic but the newest of each key.
    pub fn compact(&self, topic: &str) {
        let mut topics = self.topics.lock().unwrap();
        let end = topics.records.get(topic).map_or(0, |r| r.len() as u64);
        topics.first.insert(topic.to_string(), end);
    }

    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.head()? {
            let body = conn.request_body(&head)?;
            self.calls.fetch_add(1, Ordering::Relaxed);
            thread::sleep(ms(self.delay_ms.load(Ordering::Relaxed)));
            let mode = *self.mode.lock().unwrap();
            match mode {
                StoreMode::Good => {}
                StoreMode::Silent => {
                    thread::sleep(ms(60_000));
                    return Ok(());
                }
                StoreMode::Busy => {
                    conn.stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")?;
                    continue;
                }
                StoreMode::Reset => {
                    conn.reset();
                    return Ok(());
                }
            }
            let path = head.path().to_string();
            let (call, query) = path.split_once('?').unwrap_or((&path, ""));
            let query = query.split('&').filter_map(|pair| pair.split_once('='));
            let query = query.collect::<HashMap<_, _>>();
            let topic = query.get("topic").copied().unwrap_or_default();
            let (status, kind, answer) = match call {
                "/log-append" => self.append(topic, &body),
                "/log-read" => self.read(topic, &query),
                "/log-newest" => self.newest(topic, &query),
                _ => (404, "application/json", Vec::new()),
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            let mut all = text.into_bytes();
            all.extend(answer);
            conn.stream.write_all(&all)?;
        }
        Ok(())
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> (u16, &'static str, Vec<u8>) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.records.entry(topic.to_string()).or_default();
        let offset = records.len();
        while body.len() >= 5 {
            let len = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + len];
            let key_len = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=key_len]).into_owned();
            records.push((key, record[1 + key_len..].to_vec()));
            body = &body[4 + len..];
        }
        let end = records.len();
        self.changed.notify_all();
        let text = format!("{{\"offset\":{offset},\"end_offset\":{end}}}");
        (200, "application/json", text.into_bytes())
    }

    fn read(&self, topic: &str, query: &HashMap<&str, &str>) -> (u16, &'static str, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let until = Instant::now() + ms(number("wait_ms").unwrap_or(0));
        let max = number("max_kb").unwrap_or(1024) as usize * 1024;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let first = topics.first.get(topic).copied().unwrap_or(0);
            if from < first {
                let text = format!("{{\"first_offset\":{first}}}");
                return (410, "application/json", text.into_bytes());
            }
            let end = topics.records.get(topic).map_or(0, |r| r.len() as u64);
            let now = Instant::now();
            if end > from || now >= until {
                let mut answer = end.to_be_bytes().to_vec();
                answer.extend(first.to_be_bytes());
                let records = topics.records.get(topic).map(Vec::as_slice).unwrap_or_default();
                for (key, value) in records.iter().skip(from as usize) {
                    if answer.len() > 16 && answer.len() + value.len() > max {
                        break;
                    }
                    let len = (1 + key.len() + value.len()) as u32;
                    answer.extend(len.to_be_bytes());
                    answer.push(key.len() as u8);
                    answer.extend(key.as_bytes());
                    answer.extend(value);
                }
                return (200, "application/octet-stream", answer);
            }
            topics = self.changed.wait_timeout(topics, until - now).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, query: &HashMap<&str, &str>) -> (u16, &'static str, Vec<u8>) {
        let after = query.get("after").copied().unwrap_or_default();
        let topics = self.topics.lock().unwrap();
        let records = topics.records.get(topic).map(Vec::as_slice).unwrap_or_default();
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.clone(), (offset, value));
        }
        let items = newest.iter().filter(|(key, (_, v))| key.as_str() > after && !v.is_empty());
        let items = items.map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        let text = format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{end}}}");
        (200, "application/json", text.into_bytes())
    }
}

// ---------------------------------------------------------------- routers

/// A router process, started with the command of the deploy file.
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: String,
    log: String,
    child: Option<Child>,
}

/// A port of the loopback address `ip` that is free now.
pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap().port()
}

impl Router {
    /// Writes the settings as the template of the deploy file gives them.
    pub fn new(dir: &str, number: usize, store: SocketAddr, memory_mb: u32) -> Router {
        let ip = format!("127.0.1.{}", 10 + number);
        let name = format!("edge-zone-a-{number}");
        let port = || free_port(&ip);
        let (callers, ready, operators, peers) = (port(), port(), port(), port());
        let settings = format!("{dir}/router-{number}.jsonc");
        let text = format!(
            r#"{{
  "router": {{ "name": "{name}", "region": "area", "zone": "zone-a", "is_first_start": true }},
  "listen": {{
    "callers_addr": "{ip}:{callers}", "readiness_addr": "{ip}:{ready}",
    "operators_addr": "{ip}:{operators}", "peers_addr": "{ip}:{peers}"
  }},
  "store": {{ "addr": "{store}", "heartbeat_ms": 1200 }},
  "callers": {{ "max_files": 4100, "memory_mb": {memory_mb} }},
  "bounds": {{
    "drain_ms": 2000, "config_apply_ms": 2000, "grace_s": 8, "retry_ratio": 0.2,
    "retry_window_s": 10, "extra_retries": 54, "share_window_s": 4,
    "cold_overshoot": null, "cold_slack": null, "evacuate_ms": null
  }}
}}
"#
        );
        fs::write(&settings, text).unwrap();
        Router {
            name,
            callers: format!("{ip}:{callers}").parse().unwrap(),
            ready: format!("{ip}:{ready}").parse().unwrap(),
            settings,
            log: format!("{dir}/router-{number}.log"),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/gentianhinged")
            .arg("--platform")
            .env("GENTIANHINGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the router is built by the deploy file's command");
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut conn = Conn::connect(self.ready, ms(500))?;
            conn.stream.set_read_timeout(Some(ms(500)))?;
            conn.stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(conn.head()?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + ms(15_000);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal, by its name without `SIG`, to the process that this started.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let text = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(text).status();
        }
    }

    /// How the process has ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Resident memory of the process and its peak, in MB.
    pub fn memory_mb(&self) -> (f64, f64) {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let field = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name)).unwrap_or_default();
            let kb = line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok());
            kb.unwrap_or(0.0) / 1e3
        };
        (field("VmRSS:"), field("VmHWM:"))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- the operator and clients

pub const KEY: &str = "key-of-clubs";

/// A request of a client.
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub lines: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn text(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: lanes.example\r\nAttempt-Id: {}\r\nAuthorization: Bearer {KEY}\r\n\
             Deadline-Ms: {}\r\n{}",
            self.method, self.path, self.id, self.deadline_ms, self.lines
        );
        if self.method == "POST" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// What a client gets.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub id: String,
    pub stamp: String,
    pub body: Vec<u8>,
    /// Whether the answer has come to its end.
    pub is_whole: bool,
    pub is_closing: bool,
    pub error: String,
}

/// Reads an answer; the read timeout of the connection bounds the time.
pub fn read_answer(conn: &mut Conn) -> Answer {
    let mut answer = Answer::default();
    let head = match conn.head() {
        Ok(Some(head)) => head,
        Ok(None) => {
            answer.error = "closed".to_string();
            return answer;
        }
        Err(err) => {
            answer.error = err.to_string();
            return answer;
        }
    };
    answer.status = head.status();
    answer.id = head.get("attempt-id").unwrap_or_default().to_string();
    answer.stamp = head.get("server-stamp").unwrap_or_default().to_string();
    answer.is_closing = head.has_token("connection", "close");
    if head.has_token("transfer-encoding", "chunked") {
        loop {
            match conn.chunk() {
                Ok(chunk) if chunk.is_empty() => {
                    answer.is_whole = true;
                    break;
                }
                Ok(chunk) => answer.body.extend(chunk),
                Err(err) => {
                    answer.error = err.to_string();
                    break;
                }
            }
        }
    } else {
        let len = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        match conn.exact(len) {
            Ok(body) => (answer.body, answer.is_whole) = (body, true),
            Err(err) => answer.error = err.to_string(),
        }
    }
    answer
}

/// A flag that ends threads.
pub type Stop = Arc<AtomicBool>;

/// Closes both directions.
pub fn close(conn: &Conn) {
    let _ = conn.stream.shutdown(Shutdown::Both);
}
