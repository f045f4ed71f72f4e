//! Helpers that start the router and its stand-ins as processes, and send requests to them.

#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net;
use std::path;
use std::process;
use std::sync::atomic;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::rt;

/// Key of the team `lanes` in [`settings`].
pub const LANES_KEY: &str = "key-of-lanes";
/// Key of the team `clubs` in [`settings`].
pub const CLUBS_KEY: &str = "key-of-clubs";

/// Key of an operator in [`settings`].
pub const OPERATOR_KEY: &str = "key-of-an-operator";

/// Longest time for a process to print its addresses or to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A child process that is killed at the end of the test.
pub struct Process {
    child: process::Child,
    lines: std::sync::mpsc::Receiver<String>,
    errors: std::sync::Arc<std::sync::Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program of the workspace, which must have been built.
    pub fn start(program: &str, args: &[&str]) -> Process {
        let dir = path::Path::new(env!("CARGO_BIN_EXE_gentianhinged")).parent().unwrap();
        let mut child = process::Command::new(dir.join(program))
            .args(args)
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::piped())
            .spawn()
            .unwrap_or_else(|err| panic!("{program}: {err}; build the whole workspace first"));
        let stdout = BufReader::new(child.stdout.take().unwrap());
        let (sender, lines) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in stdout.lines().map_while(Result::ok) {
                if sender.send(line).is_err() {
                    return;
                }
            }
        });
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let errors = std::sync::Arc::<std::sync::Mutex<Vec<String>>>::default();
        let written = errors.clone();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                written.lock().unwrap().push(line);
            }
        });
        Process { child, lines, errors }
    }

    /// State of the process according to the kernel, and the lines of standard error so far.
    pub fn diagnosis(&self) -> String {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let state = status.lines().find(|line| line.starts_with("State:")).unwrap_or("no state");
        format!("{state}; standard error: {:?}", self.errors.lock().unwrap())
    }

    /// Waits for a line of standard output that starts with `prefix`, and returns the address after
    /// the prefix.
    pub fn wait_for_addr(&self, prefix: &str) -> net::SocketAddr {
        loop {
            let line =
                self.lines.recv_timeout(START_TIMEOUT).expect("the process prints its address");
            if let Some(rest) = line.strip_prefix(prefix) {
                return rest.trim().parse().unwrap();
            }
        }
    }

    /// Returns the lines of standard output that were printed since the last call.
    pub fn drain_lines(&self) -> Vec<String> {
        self.lines.try_iter().collect()
    }

    /// Id of the process.
    pub fn pid(&self) -> rustix::process::Pid {
        rustix::process::Pid::from_child(&self.child)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        rustix::process::kill_process(self.pid(), signal).unwrap();
    }

    /// Waits until the process exits; `None` if it still runs after `timeout`.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Option<process::ExitStatus> {
        let end = std::time::Instant::now() + timeout;
        while std::time::Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A settings file that is removed at the end of the test.
pub struct SettingsFile {
    path: path::PathBuf,
}

impl SettingsFile {
    /// Writes settings to a new temporary file.
    pub fn new(text: &str) -> SettingsFile {
        static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
        let number = NEXT.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("gentianhinge-{}-{number}.jsonc", process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::File::create(&path).unwrap().write_all(text.as_bytes()).unwrap();
        SettingsFile { path }
    }

    /// Path of the file.
    pub fn path(&self) -> &str {
        self.path.to_str().unwrap()
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Settings of one router with model engines and one service, with `extra_settings` inserted as is.
pub fn settings(
    engines: &[net::SocketAddr],
    service: net::SocketAddr,
    extra_settings: &str,
) -> String {
    let engines = engines.iter().enumerate().map(|(i, addr)| {
        format!(r#"{{ "name": "m{}", "addr": "{addr}", "zone": "a", "max_slots": 4 }}"#, i + 1)
    });
    let engines = engines.collect::<Vec<_>>().join(", ");
    let lanes = blake3::hash(LANES_KEY.as_bytes()).to_hex();
    let operator = blake3::hash(OPERATOR_KEY.as_bytes()).to_hex();
    let clubs = blake3::hash(CLUBS_KEY.as_bytes()).to_hex();
    format!(
        r#"{{
        "router": {{ "name": "r1", "region": "here", "zone": "a" }},
        "listen": {{ "callers_addr": "127.0.0.1:0", "operators_addr": "127.0.0.1:0",
                    "peers_addr": "127.0.0.1:0" }},
        "models": [{{ "name": "assistant", "targets": [{engines}] }}],
        "services": [{{ "name": "desk", "timeout_ms": 2000,
            "routes": [{{ "path_prefix": "/bookings", "method": "POST", "repeatable": false }},
                       {{ "path_prefix": "/search", "repeatable": true }}],
            "targets": [{{ "name": "s1", "addr": "{service}", "zone": "a" }}] }}],
        {extra_settings}
        "table": {{
            "operator_key_hashes": ["{operator}"],
            "classes": [{{ "name": "now", "price_ratio": 1.0, "max_wait_ms": 3000 }},
                        {{ "name": "later", "price_ratio": 0.5, "max_wait_ms": 60000 }}],
            "teams": [{{ "name": "lanes", "key_hashes": ["{lanes}"] }},
                      {{ "name": "clubs", "key_hashes": ["{clubs}"], "classes": ["later"],
                         "max_waiting_requests": 2 }}] }}
    }}"#
    )
}

/// Waits until a router is ready, by the load balancer's readiness check.
pub fn wait_ready(operators_addr: net::SocketAddr) {
    let end = std::time::Instant::now() + START_TIMEOUT;
    while std::time::Instant::now() < end {
        if is_ready(operators_addr).unwrap_or(false) {
            return;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("the router isn't ready after {START_TIMEOUT:?}");
}

fn is_ready(operators_addr: net::SocketAddr) -> std::io::Result<bool> {
    let mut stream = net::TcpStream::connect(operators_addr)?;
    stream.write_all(b"GET /readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")?;
    let mut status = String::new();
    BufReader::new(stream).read_line(&mut status)?;
    Ok(status.starts_with("HTTP/1.1 200"))
}

/// A router and its stand-ins, each in its own process.
pub struct Deployment {
    /// The router.
    pub router: Process,
    /// Address on which callers reach the router.
    pub callers_addr: net::SocketAddr,
    /// Address on which operators reach the router.
    pub operators_addr: net::SocketAddr,
    /// The model engines.
    pub engines: Vec<Process>,
    /// Addresses of the engines.
    pub engine_addrs: Vec<net::SocketAddr>,
    /// The plain service.
    pub service: Process,
    /// Address of the plain service.
    pub service_addr: net::SocketAddr,
    _settings: SettingsFile,
}

impl Deployment {
    /// Starts a model engine, a service and a router with `extra_settings`.
    pub fn start(extra_settings: &str) -> Deployment {
        Deployment::with_engines(1, "5", extra_settings)
    }

    /// Starts several model engines that take `token_ms` per token, a service and a router.
    pub fn with_engines(engine_count: usize, token_ms: &str, extra_settings: &str) -> Deployment {
        let listen = ["--listen", "127.0.0.1:0"];
        let engine_args = ["engine", "--name", "assistant", "--slots", "4", "--token-ms", token_ms];
        let engine_args = [&engine_args[..], &listen].concat();
        let engines = (0..engine_count)
            .map(|_| Process::start("gentianhinge-standin", &engine_args))
            .collect::<Vec<_>>();
        let service = Process::start("gentianhinge-standin", &[&["service"][..], &listen].concat());
        let engine_addrs =
            engines.iter().map(|engine| engine.wait_for_addr("listening on ")).collect::<Vec<_>>();
        let service_addr = service.wait_for_addr("listening on ");
        let file = SettingsFile::new(&settings(&engine_addrs, service_addr, extra_settings));
        let router = Process::start("gentianhinged", &[file.path()]);
        let callers_addr = router.wait_for_addr("callers at ");
        let operators_addr = router.wait_for_addr("operators at ");
        wait_ready(operators_addr);
        Deployment {
            router,
            callers_addr,
            operators_addr,
            engines,
            engine_addrs,
            service,
            service_addr,
            _settings: file,
        }
    }

    /// Sets the faults that a stand-in injects.
    pub async fn set_faults(&self, addr: net::SocketAddr, faults: serde_json::Value) {
        let headers = [("content-type", "application/json")];
        let response = send("POST", addr, "/faults", &headers, &faults.to_string()).await;
        assert!((200..300).contains(&response.status), "{response:?}");
    }

    /// Calls the plain service as the team `lanes`.
    pub async fn call_service(&self, method: &str, path: &str) -> Response {
        let auth = format!("Bearer {LANES_KEY}");
        let headers = [("authorization", auth.as_str())];
        send(method, self.callers_addr, &format!("/services/desk{path}"), &headers, "{}").await
    }

    /// Number of calls that took effect at the plain service.
    pub async fn effect_count(&self) -> u64 {
        let response = send("GET", self.service_addr, "/effects", &[], "").await;
        response.json()["effect_count"].as_u64().unwrap()
    }
}

/// A complete HTTP response.
#[derive(Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// HTTP headers.
    pub headers: http::HeaderMap,
    /// The complete body, with invalid UTF-8 replaced.
    pub body: String,
}

impl Response {
    /// Number of the result code, from the `gentianhinge-result` header.
    pub fn result_code(&self) -> u16 {
        let value = self.headers.get("gentianhinge-result").expect("every response has a result");
        value.to_str().unwrap().parse().unwrap()
    }

    /// The body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// Whether the request ran, from the error body.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"].as_str().unwrap().to_string()
    }
}

/// HTTP client for tests.
pub type Client = legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>;

/// Creates a client.
pub fn client() -> Client {
    legacy::Client::builder(rt::TokioExecutor::new()).build_http()
}

/// Sends a request and reads the complete response.
pub async fn send(
    method: &str,
    addr: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    try_send(method, addr, path, headers, body).await.expect("the call is answered")
}

/// Sends a request and reads the complete response; `None` if the connection ends early.
pub async fn try_send(
    method: &str,
    addr: net::SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response> {
    let mut request = http::Request::builder().method(method).uri(format!("http://{addr}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(body.to_string())).unwrap();
    let response = client().request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some(Response {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Sends a chat request of the team `lanes` in the class `now`.
pub async fn chat(addr: net::SocketAddr, stream: bool, max_tokens: u32) -> Response {
    chat_in_class(addr, "now", stream, max_tokens).await
}

/// Sends a chat request of the team `lanes` in a given class.
pub async fn chat_in_class(
    addr: net::SocketAddr,
    class: &str,
    stream: bool,
    max_tokens: u32,
) -> Response {
    let auth = format!("Bearer {LANES_KEY}");
    let body = serde_json::json!({
        "model": "assistant",
        "stream": stream,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": "Which lanes are open?"}],
    });
    let headers = [("authorization", auth.as_str()), ("gentianhinge-class", class)];
    send("POST", addr, "/v1/chat/completions", &headers, &body.to_string()).await
}

/// Numbers of the tokens in a streamed response, in order.
pub fn token_ids(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}
