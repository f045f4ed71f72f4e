//! Stand-ins for the platform's store, servers and clients, and the scripts of the review's cases.
//!
//! It uses the standard library only. `standin CASE FOLDER` plays a case: it starts the routers with
//! the command of `deploy/system.toml`, writes `record.txt` into the folder, and exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption
//! out.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod case;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The record of a run: what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn new(folder: &str) -> io::Result<Record> {
        let file = File::create(PathBuf::from(folder).join("record.txt"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    pub fn sleep_until(&self, at_s: f64) {
        let left = at_s - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

/// A message of HTTP/1.1: first line, headers with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("/")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.path().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads first line and headers; `None` if the channel ends before the first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_string();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

/// Reads a chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size =
        usize::from_str_radix(size, 16).map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = [0; 2];
    reader.read_exact(&mut end)?;
    Ok(chunk)
}

/// Reads the body of a message whose head is given.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Accepts channels and serves each in a thread of its own.
fn accept_all(listener: TcpListener, serve: impl Fn(TcpStream) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
}

type Records = Vec<(String, Vec<u8>)>;

/// The platform's store: keyed topics with one partition, which lose nothing.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Records>>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let served = store.clone();
        accept_all(listener, move |stream| {
            let _ = served.serve(stream);
        });
        Ok((store, addr))
    }

    /// Appends a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (topics, changed) = &*self.topics;
        let record = (key.to_string(), value.as_bytes().to_vec());
        topics.lock().unwrap().entry(topic.to_string()).or_default().push(record);
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(call) = read_message(&mut reader)? {
            // An answer takes 4 ms.
            thread::sleep(ms(4));
            let topic = call.query("topic").unwrap_or_default().to_string();
            match call.path().split('?').next().unwrap_or_default() {
                "/log-read" => {
                    let body = self.read(&call, &topic);
                    respond(&mut stream, "200 OK", "", &body)?;
                }
                "/log-newest" => {
                    let body = self.newest(&topic);
                    respond(
                        &mut stream,
                        "200 OK",
                        "Content-Type: application/json\r\n",
                        body.as_bytes(),
                    )?;
                }
                "/log-append" => {
                    let key_len = usize::from(call.body[4]);
                    let key = String::from_utf8_lossy(&call.body[5..5 + key_len]).to_string();
                    let value = String::from_utf8_lossy(&call.body[5 + key_len..]).to_string();
                    self.put(&topic, &key, &value);
                    let end = self.topics.0.lock().unwrap()[&topic].len();
                    let body = format!("{{\"offset\":{},\"end_offset\":{end}}}", end - 1);
                    respond(
                        &mut stream,
                        "200 OK",
                        "Content-Type: application/json\r\n",
                        body.as_bytes(),
                    )?;
                }
                _ => respond(&mut stream, "404 Not Found", "", b"")?,
            }
        }
        Ok(())
    }

    fn read(&self, call: &Message, topic: &str) -> Vec<u8> {
        let number =
            |name: &str| call.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (from, ends_at) = (number("from") as usize, Instant::now() + ms(number("wait_ms")));
        let (topics, changed) = &*self.topics;
        let mut guard = topics.lock().unwrap();
        loop {
            let records = guard.get(topic).map_or(&[][..], |records| &records[..]);
            let now = Instant::now();
            if records.len() > from || now >= ends_at {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return body;
            }
            guard = changed.wait_timeout(guard, ends_at - now).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> String {
        let guard = self.topics.0.lock().unwrap();
        let records = guard.get(topic).map_or(&[][..], |records| &records[..]);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key.clone(), (offset, value.clone()));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items = newest.iter().map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
        });
        let items = items.collect::<Vec<_>>().join(",");
        format!("{{\"items\":[{items}],\"has_more\":false,\"end_offset\":{}}}", records.len())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let all = three.iter().fold(0_u32, |all, byte| (all << 8) | u32::from(*byte))
            << (8 * (3 - three.len()));
        for i in 0..4 {
            let digit = char::from(DIGITS[((all >> (18 - 6 * i)) & 63) as usize]);
            text.push(if i <= three.len() { digit } else { '=' });
        }
    }
    text
}

/// A server: registers itself with a liveness report each 1.2 s, and hands requests to `handler`.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    born: u64,
    seq_no: Arc<AtomicU64>,
    is_reporting: Arc<AtomicBool>,
    store: Store,
}

/// What a server does with a request that is meant for it.
pub type Handler = dyn Fn(&Server, &Message, &mut TcpStream) -> io::Result<()> + Send + Sync;

pub const HEARTBEAT_MS: u64 = 1200;

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        store: &Store,
        handler: Arc<Handler>,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
            id: id.to_string(),
            addr: listener.local_addr()?,
            service: service.to_string(),
            born: unix_ms(),
            seq_no: Arc::default(),
            is_reporting: Arc::new(AtomicBool::new(true)),
            store: store.clone(),
        };
        let served = server.clone();
        accept_all(listener, move |stream| {
            let _ = served.serve(stream, &*handler);
        });
        let reporter = server.clone();
        thread::spawn(move || {
            while reporter.is_reporting.load(Ordering::Relaxed) {
                reporter.store.put("keyed.servers", &reporter.id, &reporter.entry("ready"));
                thread::sleep(ms(HEARTBEAT_MS));
            }
        });
        Ok(server)
    }

    /// The next entry of the server in the list of servers.
    pub fn entry(&self, state: &str) -> String {
        let seq_no = self.seq_no.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq_no\":{seq_no},\"born\":{}}}",
            self.service, self.addr, self.born
        )
    }

    pub fn stop_reporting(&self) {
        self.is_reporting.store(false, Ordering::Relaxed);
    }

    fn serve(&self, mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_message(&mut reader)? {
            let expected = request.header("expect-instance").unwrap_or(&self.id);
            if expected != self.id {
                let headers = format!("Instance-Id: {}\r\n", self.id);
                respond(&mut stream, "421 Misdirected Request", &headers, b"")?;
                continue;
            }
            handler(self, &request, &mut stream)?;
        }
        Ok(())
    }

    /// The headers of an answer.
    pub fn answer_headers(&self, request: &Message) -> String {
        let id = request.header("attempt-id").unwrap_or_default();
        format!("Attempt-Id: {id}\r\nServer-Stamp: stamp.{}.{id}\r\n", self.id)
    }
}

/// A router as a process of its own, started with the command of the deploy file.
pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

/// Bounds as in the settings of a small deployment.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u64,
    pub config_apply_ms: u64,
    pub grace_s: u64,
}

pub const BOUNDS: Bounds = Bounds { drain_ms: 2000, config_apply_ms: 2000, grace_s: 8 };

/// An address whose port is free for TCP and UDP, and isn't one of those that outgoing channels get.
fn free_addr() -> io::Result<SocketAddr> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..1000 {
        let number = unix_ms() * 13 + u64::from(std::process::id()) * 101;
        let number = number + NEXT.fetch_add(1, Ordering::Relaxed) * 7;
        let addr = SocketAddr::from(([127, 0, 0, 1], 20_000 + (number % 12_000) as u16));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::Error::other("no free port"))
}

impl Router {
    pub fn start(name: &str, store: SocketAddr, folder: &PathBuf) -> io::Result<Router> {
        let (front, ready, operators, peers) =
            (free_addr()?, free_addr()?, free_addr()?, free_addr()?);
        let settings = folder.join(format!("{name}.jsonc"));
        let text = format!(
            "{{ \"router\": {{ \"name\": \"{name}\", \"region\": \"here\", \"zone\": \"a\" }},
  \"listen\": {{ \"callers_addr\": \"{front}\", \"readiness_addr\": \"{ready}\",
    \"operators_addr\": \"{operators}\", \"peers_addr\": \"{peers}\" }},
  \"store\": {{ \"addr\": \"{store}\", \"heartbeat_ms\": {HEARTBEAT_MS} }},
  \"callers\": {{ \"max_files\": 4100, \"memory_mb\": 260 }},
  \"bounds\": {{ \"drain_ms\": {}, \"config_apply_ms\": {}, \"grace_s\": {}, \"retry_ratio\": 0.2,
    \"retry_window_s\": 10, \"extra_retries\": 56, \"share_window_s\": 4 }} }}\n",
            BOUNDS.drain_ms, BOUNDS.config_apply_ms, BOUNDS.grace_s
        );
        fs::write(&settings, text)?;
        let mut router = Router {
            name: name.to_string(),
            front,
            ready,
            folder: folder.clone(),
            settings,
            child: None,
        };
        router.spawn()?;
        Ok(router)
    }

    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::create(self.folder.join(format!("{}.out", self.name)))?;
        let child = Command::new("target/release/gentianhinged")
            .arg("--platform")
            .env_clear()
            .env("GENTIANHINGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, ms(500))?;
            stream.set_read_timeout(Some(ms(500)))?;
            stream
                .write_all(b"GET /readyz HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n")?;
            Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory in use, in MB.
    pub fn memory_mb(&self) -> f64 {
        let id = self.child.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
        line.trim()
            .trim_end_matches(" kB")
            .trim()
            .parse::<f64>()
            .map_or(0.0, |kb| kb * 1024.0 / 1e6)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How a client's attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A whole answer, with its status.
    Answered(u16),
    /// The channel ended before a whole answer.
    Cut(String),
    /// The client's time is over and there is no whole answer.
    GaveUp,
}

/// A client's attempt and how it ended.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub router: String,
    pub sent_s: f64,
    pub ended_s: f64,
    pub ended: Ended,
    pub body: Vec<u8>,
    pub has_head: bool,
}

/// Sends a request on a new channel and waits for its answer, for at most `patience`. `limit` is the
/// time limit that the client states.
#[allow(clippy::too_many_arguments)]
pub fn call(
    record: &Record,
    router: &str,
    front: SocketAddr,
    id: &str,
    first: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
    patience: Duration,
) -> Attempt {
    let sent_s = record.now();
    let ends_at = Instant::now() + patience;
    let mut attempt = Attempt {
        id: id.to_string(),
        router: router.to_string(),
        sent_s,
        ended_s: sent_s,
        ended: Ended::GaveUp,
        body: Vec::new(),
        has_head: false,
    };
    let result = (|| -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&front, ms(1000))?;
        stream.set_nodelay(true)?;
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let head = format!(
            "{first} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n{headers}{length}\r\n",
            limit.as_millis()
        );
        stream.write_all(&[head.as_bytes(), body].concat())?;
        let limited = Limited { stream: stream.try_clone()?, ends_at };
        let mut reader = BufReader::new(limited);
        let Some(mut answer) = read_head(&mut reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        attempt.has_head = true;
        let result = read_body(&mut reader, &mut answer);
        let status = answer.status();
        attempt.body = answer.body;
        let _ = stream.shutdown(Shutdown::Both);
        result.map(|()| status)
    })();
    attempt.ended_s = record.now();
    attempt.ended = match result {
        Ok(status) => Ended::Answered(status),
        Err(err) if matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            Ended::GaveUp
        }
        Err(err) => Ended::Cut(err.kind().to_string()),
    };
    attempt
}

/// A stream whose reads end at a time.
struct Limited {
    stream: TcpStream,
    ends_at: Instant,
}

impl Read for Limited {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.ends_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buf)
    }
}

/// A case while it runs.
pub struct Stage {
    pub record: Record,
    pub has_trouble: bool,
    pub store: Store,
    pub store_addr: SocketAddr,
    pub folder: PathBuf,
}

impl Stage {
    fn new(folder: &str) -> io::Result<Stage> {
        let record = Record::new(folder)?;
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let (store, store_addr) = Store::start()?;
        let temporary =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&temporary)?;
        Ok(Stage { record, has_trouble, store, store_addr, folder: temporary })
    }

    /// Starts routers and waits until all are ready.
    pub fn start_routers(&self, count: usize) -> io::Result<Vec<Router>> {
        let routers =
            (1..=count).map(|i| Router::start(&format!("edge-{i}"), self.store_addr, &self.folder));
        let routers = routers.collect::<io::Result<Vec<_>>>()?;
        let ends_at = Instant::now() + ms(10_000);
        while !routers.iter().all(Router::is_ready) {
            if Instant::now() > ends_at {
                return Err(io::Error::other("the routers aren't ready after 10 s"));
            }
            thread::sleep(ms(50));
        }
        self.record.line(&format!("{count} routers are ready"));
        Ok(routers)
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn main() -> ExitCode {
    let args = std::env::args().collect::<Vec<_>>();
    let [_, name, folder] = &args[..] else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let result = Stage::new(folder).and_then(|stage| {
        let outcome = case::run(name, &stage);
        if let Err(err) = &outcome {
            stage.record.line(&format!("couldn't run: {err}"));
        }
        outcome
    });
    match result {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("couldn't run: {err}");
            ExitCode::from(2)
        }
    }
}
