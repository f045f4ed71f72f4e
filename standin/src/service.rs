//! A plain service that counts the side effects of its calls, to detect duplicate calls.
//!
//! Each call whose method isn't `GET` or `HEAD` has one effect, counted by `Idempotency-Key`, even
//! if its response is lost. All calls are counted by `X-Attempt-Id`.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Json;
use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use futures_util::stream::{self, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::engine::{Load, unix_time};
use crate::server::{self, Gate};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Maximum number of keys and of attempt ids that are counted; further ones are ignored.
const MAX_KEYS: usize = 1_000_000;
/// Interval of checks whether the `hang` fault has been cleared.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay between the first half of a truncated body and the close, so that the half arrives.
const CUT_DELAY: Duration = Duration::from_millis(10);

/// Configuration of a service.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on. Default: an ephemeral port of 127.0.0.1.
    pub listen: SocketAddr,
    /// Processing time of each call. Default: 5.
    pub latency_ms: u64,
    /// Maximum number of concurrent calls stated in the load report; not enforced. Default: 16.
    pub max_running_count: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            latency_ms: 5,
            max_running_count: 16,
        }
    }
}

/// Faults of a service. Absent fields mean no fault.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Closes the connection after the effect, before the response.
    pub drop_reply: bool,
    /// Closes the connection after the effect, within the body of the response.
    pub cut_body: bool,
    /// Responds with this status, without an effect.
    pub status: Option<u16>,
    /// Accepts calls but neither runs them nor responds until the fault is cleared.
    pub hang: bool,
    /// Closes new connections for this time, before reading from them.
    pub refuse_ms: Option<u64>,
    /// Additional processing time of each call.
    pub slow_ms: Option<u64>,
    /// Sets `leaving` in the load report.
    pub leaving: bool,
    /// Number of calls that `drop_reply`, `cut_body` and `status` apply to; unlimited if absent.
    pub fault_count: Option<u32>,
}

/// Counters since the start of the service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Effects {
    /// Calls that had an effect.
    pub effect_count: u64,
    /// All calls, with or without an effect.
    pub call_count: u64,
    /// Calls that arrived while `leaving` was set.
    pub call_while_leaving_count: u64,
    /// Effects by idempotency key.
    pub by_key: HashMap<String, u32>,
    /// Calls by attempt id.
    pub by_attempt: HashMap<String, u32>,
}

/// Body of the response to a call, which describes the request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EchoResponse {
    /// Method of the call.
    pub method: String,
    /// Path and query of the call.
    pub path: String,
    /// Length of the call's body.
    pub body_bytes: usize,
    /// First 16 hexadecimal digits of the BLAKE3 hash of the body.
    pub body_hash: String,
    /// Sequence number of the effect, from 1; 0 if the call had none.
    pub effect: u64,
}

#[derive(Debug, Default)]
struct Inner {
    effects: Effects,
    faults: Faults,
    running_count: usize,
}

/// State of a service, shared by its connections.
#[derive(Debug)]
pub struct Service {
    config: Config,
    incarnation: u64,
    gate: Arc<Gate>,
    inner: Mutex<Inner>,
}

/// Fault that applies to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    DropReply,
    CutBody,
    Status(u16),
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counters since the start.
    pub fn effects(&self) -> Effects {
        self.lock().effects.clone()
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

    fn take_fault(&self) -> Fault {
        let mut inner = self.lock();
        let faults = &mut inner.faults;
        let fault = match faults.status {
            _ if faults.fault_count == Some(0) => Fault::None,
            Some(status) => Fault::Status(status),
            None if faults.drop_reply => Fault::DropReply,
            None if faults.cut_body => Fault::CutBody,
            None => Fault::None,
        };
        if fault != Fault::None {
            faults.fault_count = faults.fault_count.map(|count| count - 1);
        }
        fault
    }

    fn count_call(&self, headers: &HeaderMap) {
        let mut inner = self.lock();
        inner.effects.call_count += 1;
        inner.effects.call_while_leaving_count += u64::from(inner.faults.leaving);
        count(&mut inner.effects.by_attempt, headers, "x-attempt-id");
    }

    fn run_effect(&self, headers: &HeaderMap) -> u64 {
        let mut inner = self.lock();
        inner.effects.effect_count += 1;
        count(&mut inner.effects.by_key, headers, "idempotency-key");
        inner.effects.effect_count
    }

    fn load(&self) -> Load {
        let inner = self.lock();
        Load {
            at_ms: unix_time().as_millis() as u64,
            incarnation: self.incarnation,
            running_count: inner.running_count,
            max_running_count: self.config.max_running_count,
            leaving: inner.faults.leaving,
            ..Load::default()
        }
    }
}

fn count(counts: &mut HashMap<String, u32>, headers: &HeaderMap, name: &str) {
    let Some(value) = headers.get(name).and_then(|value| value.to_str().ok()) else { return };
    if counts.len() < MAX_KEYS || counts.contains_key(value) {
        *counts.entry(value.to_owned()).or_default() += 1;
    }
}

/// A running service. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Handle {
    server: server::Handle,
    service: Arc<Service>,
}

impl Handle {
    /// Address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// State of the service, to set faults and read counters.
    pub fn service(&self) -> &Arc<Service> {
        &self.service
    }

    /// Closes the listener and all connections.
    pub fn shutdown(&self) {
        self.server.shutdown();
    }
}

/// Starts a service.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn spawn(config: Config) -> io::Result<Handle> {
    let listen = config.listen;
    let service = Arc::new(Service {
        config,
        incarnation: unix_time().as_millis() as u64,
        gate: Arc::default(),
        inner: Mutex::default(),
    });
    let router = axum::Router::new()
        .route("/load", get(load))
        .route("/faults", get(show_faults).post(set_faults))
        .route("/effects", get(effects))
        .fallback(call)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Arc::clone(&service));
    let server = server::spawn(listen, router, Arc::clone(&service.gate)).await?;
    Ok(Handle { server, service })
}

type Shared = State<Arc<Service>>;

/// Counts a call as running until it is dropped.
struct Running(Arc<Service>);

impl Running {
    fn new(service: Arc<Service>) -> Running {
        service.lock().running_count += 1;
        Running(service)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.lock().running_count -= 1;
    }
}

async fn call(
    State(service): Shared,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let _running = Running::new(Arc::clone(&service));
    service.count_call(&headers);
    while service.faults().hang {
        time::sleep(HANG_POLL_INTERVAL).await;
    }
    let latency_ms = service.config.latency_ms + service.faults().slow_ms.unwrap_or(0);
    if latency_ms > 0 {
        time::sleep(Duration::from_millis(latency_ms)).await;
    }
    let fault = service.take_fault();
    if let Fault::Status(status) = fault {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        return (status, "fault").into_response();
    }
    let has_effect = method != Method::GET && method != Method::HEAD;
    let effect = if has_effect { service.run_effect(&headers) } else { 0 };
    let response = EchoResponse {
        method: method.to_string(),
        path: uri.to_string(),
        body_bytes: body.len(),
        body_hash: blake3::hash(&body).to_hex()[..16].to_owned(),
        effect,
    };
    respond(fault, &response)
}

fn respond(fault: Fault, response: &EchoResponse) -> Response {
    match fault {
        Fault::None | Fault::Status(_) => Json(response).into_response(),
        Fault::DropReply => server::cut_connection(),
        Fault::CutBody => {
            let full = serde_json::to_string(response).unwrap_or_default();
            let half = full[..full.len() / 2].to_owned();
            let cut_error = async {
                time::sleep(CUT_DELAY).await;
                Err(io::Error::other("body truncated by an injected fault"))
            };
            let parts = stream::iter([Ok(half)]).chain(stream::once(cut_error));
            Body::from_stream(parts).into_response()
        }
    }
}

async fn load(State(service): Shared) -> Response {
    Json(service.load()).into_response()
}

async fn show_faults(State(service): Shared) -> Response {
    Json(service.faults()).into_response()
}

async fn set_faults(State(service): Shared, body: Bytes) -> Response {
    server::apply_json(&body, |faults: Faults| service.set_faults(faults))
}

async fn effects(State(service): Shared) -> Response {
    Json(service.effects()).into_response()
}
