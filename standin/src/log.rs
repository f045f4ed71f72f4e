//! Simulated log service of the platform: named append-only streams with an append rate limit and a
//! retention time.

mod store;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time;

use crate::server::{self, Gate};
use store::Store;

pub use store::{Page, Record, Stats, StreamStats};

/// Maximum time of a long poll.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Maximum number of records in a response if the request states none.
const DEFAULT_PAGE_RECORDS: usize = 1000;
/// Interval of checks whether the `hang` fault has been cleared.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Configuration of a log service.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on. Default: an ephemeral port of 127.0.0.1.
    pub listen: SocketAddr,
    /// Maximum appends per second over all streams; more get status 429. Default: 400.
    pub max_appends_per_s: u32,
    /// Retention time of a record. Default: 1 hour.
    pub retention_ms: u64,
    /// Maximum size of a record; a larger one gets status 413. Default: 1 MiB.
    pub max_record_bytes: usize,
    /// Processing time of each call. Default: 1.
    pub latency_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            max_appends_per_s: 400,
            retention_ms: 3_600_000,
            max_record_bytes: 1 << 20,
            latency_ms: 1,
        }
    }
}

/// Faults of a log service. Absent fields mean no fault.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Responds to appends with status 503.
    pub append_outage: bool,
    /// Responds to reads with status 503.
    pub read_outage: bool,
    /// Accepts calls but neither runs them nor responds until the fault is cleared.
    pub hang: bool,
    /// Additional processing time of each call.
    pub slow_ms: Option<u64>,
    /// Closes new connections for this time, before reading from them.
    pub refuse_ms: Option<u64>,
    /// Closes the connection of an append after the record was stored, without a response.
    pub drop_reply: bool,
    /// Number of appends that `drop_reply` applies to; unlimited if absent.
    pub drop_reply_count: Option<u32>,
    /// Stream that `drop_reply` applies to; all if absent.
    pub drop_reply_stream: Option<String>,
}

/// State of a log service, shared by its connections.
#[derive(Debug)]
pub struct Log {
    config: Config,
    gate: Arc<Gate>,
    inner: Mutex<Inner>,
    appended: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    store: Store,
    faults: Faults,
}

/// Why a record wasn't appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendError {
    /// The `append_outage` fault is set.
    Outage,
    /// The append rate limit is exceeded.
    RateLimit,
    /// The record exceeds `max_record_bytes`.
    TooLarge,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails if the record wasn't appended.
    pub fn append(&self, stream: &str, data: Bytes) -> Result<u64, AppendError> {
        let mut inner = self.lock();
        if inner.faults.append_outage {
            return Err(AppendError::Outage);
        }
        if data.len() > self.config.max_record_bytes {
            return Err(AppendError::TooLarge);
        }
        let offset = inner.store.append(stream, data, time::Instant::now());
        drop(inner);
        if offset.is_ok() {
            self.appended.send_modify(|count| *count += 1);
        }
        offset
    }

    /// Reads up to `max_count` records, starting at offset `from`.
    pub fn read(&self, stream: &str, from: u64, max_count: usize) -> Page {
        self.lock().store.read(stream, from, max_count, time::Instant::now())
    }

    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        self.lock().store.stats()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.gate.close_for(Duration::from_millis(faults.refuse_ms.unwrap_or(0)));
        self.lock().faults = faults;
    }

    /// Current faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Removes the records before this offset, as if their retention time had elapsed.
    pub fn expire_before(&self, stream: &str, offset: u64) {
        self.lock().store.expire_before(stream, offset);
    }

    fn take_dropped_reply(&self, stream: &str) -> bool {
        let mut inner = self.lock();
        let faults = &mut inner.faults;
        let applies_to_stream =
            faults.drop_reply_stream.as_deref().is_none_or(|name| name == stream);
        if !faults.drop_reply || !applies_to_stream || faults.drop_reply_count == Some(0) {
            return false;
        }
        faults.drop_reply_count = faults.drop_reply_count.map(|count| count - 1);
        true
    }

    /// Delays a call by the configured latency and the `hang` and `slow_ms` faults.
    async fn delay_call(&self) {
        while self.faults().hang {
            time::sleep(HANG_POLL_INTERVAL).await;
        }
        let wait_ms = self.config.latency_ms + self.faults().slow_ms.unwrap_or(0);
        if wait_ms > 0 {
            time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }
}

/// A running log service. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Handle {
    server: server::Handle,
    log: Arc<Log>,
}

impl Handle {
    /// Address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// State of the log, to access records and set faults.
    pub fn log(&self) -> &Arc<Log> {
        &self.log
    }
}

/// Starts a log service.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn spawn(config: Config) -> io::Result<Handle> {
    let listen = config.listen;
    let retention = Duration::from_millis(config.retention_ms);
    let store = Store::new(config.max_appends_per_s, retention, time::Instant::now());
    // One byte above the record limit, so that the service itself rejects a record that exceeds it.
    let body_limit = DefaultBodyLimit::max(config.max_record_bytes + 1);
    let log = Arc::new(Log {
        config,
        gate: Arc::default(),
        inner: Mutex::new(Inner { store, faults: Faults::default() }),
        appended: watch::Sender::new(0),
    });
    let router = axum::Router::new()
        .route("/streams/{stream}/records", post(append).get(read))
        .route("/faults", get(show_faults).post(set_faults))
        .route("/stats", get(stats))
        .layer(body_limit)
        .with_state(Arc::clone(&log));
    let server = server::spawn(listen, router, Arc::clone(&log.gate)).await?;
    Ok(Handle { server, log })
}

type Shared = State<Arc<Log>>;

#[derive(Debug, Deserialize, Serialize)]
struct AppendResponse {
    offset: u64,
}

async fn append(State(log): Shared, Path(stream): Path<String>, data: Bytes) -> Response {
    log.delay_call().await;
    match log.append(&stream, data) {
        Ok(_) if log.take_dropped_reply(&stream) => server::cut_connection(),
        Ok(offset) => Json(AppendResponse { offset }).into_response(),
        Err(AppendError::Outage) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Err(AppendError::RateLimit) => StatusCode::TOO_MANY_REQUESTS.into_response(),
        Err(AppendError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    max: Option<usize>,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(
    State(log): Shared,
    Path(stream): Path<String>,
    Query(query): Query<ReadQuery>,
) -> Response {
    log.delay_call().await;
    let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
    let deadline = time::Instant::now() + wait;
    let mut appended = log.appended.subscribe();
    loop {
        appended.borrow_and_update();
        if log.faults().read_outage {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let max_count = query.max.unwrap_or(DEFAULT_PAGE_RECORDS);
        let page = log.read(&stream, query.from, max_count);
        let has_timed_out = time::Instant::now() >= deadline;
        if has_timed_out || max_count == 0 || !page.records.is_empty() {
            return Json(page).into_response();
        }
        let _ = time::timeout_at(deadline, appended.changed()).await;
    }
}

async fn show_faults(State(log): Shared) -> Response {
    Json(log.faults()).into_response()
}

async fn set_faults(State(log): Shared, body: Bytes) -> Response {
    server::apply_json(&body, |faults: Faults| log.set_faults(faults))
}

async fn stats(State(log): Shared) -> Response {
    Json(log.stats()).into_response()
}
