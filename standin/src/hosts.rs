//! Simulated host list of the platform: live and leaving hosts, with a propagation delay.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, put};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::server::{self, Gate};

/// Interval of checks whether the `hang` fault has been cleared.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Configuration of a host list.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on. Default: an ephemeral port of 127.0.0.1.
    pub listen: SocketAddr,
    /// Propagation delay of a change. Default: 1,000.
    pub lag_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config { listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), lag_ms: 1000 }
    }
}

/// Role of a host.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs a router.
    Router,
    /// Runs a target.
    Target,
}

/// State of a listed host.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Accepts new requests.
    Live,
    /// Will be shut down soon.
    Leaving,
}

/// Entry of the list.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique name.
    pub name: String,
    /// IP address and port.
    pub addr: String,
    /// Region of the host.
    pub region: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Role of the host.
    pub kind: Kind,
    /// State of the host.
    pub state: HostState,
}

/// Response to `GET /hosts`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct HostList {
    /// Hosts in order of their names.
    pub hosts: Vec<Host>,
}

/// Faults of a host list. Absent fields mean no fault.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Responds to reads with status 503.
    pub outage: bool,
    /// Accepts reads but doesn't respond until the fault is cleared.
    pub hang: bool,
    /// Additional processing time of each read.
    pub slow_ms: Option<u64>,
    /// Closes new connections for this time, before reading from them.
    pub refuse_ms: Option<u64>,
    /// Returns an empty list.
    pub empty: bool,
}

#[derive(Debug)]
struct PendingChange {
    visible_at: time::Instant,
    name: String,
    host: Option<Host>,
}

#[derive(Debug, Default)]
struct Inner {
    visible: BTreeMap<String, Host>,
    pending_changes: VecDeque<PendingChange>,
    faults: Faults,
}

/// State of a host list, shared by its connections.
#[derive(Debug)]
pub struct Hosts {
    lag: Duration,
    gate: Arc<Gate>,
    inner: Mutex<Inner>,
}

impl Hosts {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, name: String, host: Option<Host>) {
        let visible_at = time::Instant::now() + self.lag;
        self.lock().pending_changes.push_back(PendingChange { visible_at, name, host });
    }

    /// Adds or replaces a host. The change is visible after the propagation delay.
    pub fn put(&self, host: Host) {
        self.change(host.name.clone(), Some(host));
    }

    /// Removes a host. The change is visible after the propagation delay.
    pub fn remove(&self, name: &str) {
        self.change(name.to_owned(), None);
    }

    /// The list that readers currently receive.
    pub fn list(&self) -> HostList {
        let now = time::Instant::now();
        let mut inner = self.lock();
        while inner.pending_changes.front().is_some_and(|change| change.visible_at <= now) {
            let Some(change) = inner.pending_changes.pop_front() else { break };
            match change.host {
                Some(host) => inner.visible.insert(change.name, host),
                None => inner.visible.remove(&change.name),
            };
        }
        if inner.faults.empty {
            return HostList::default();
        }
        HostList { hosts: inner.visible.values().cloned().collect() }
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
}

/// A running host list. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Handle {
    server: server::Handle,
    hosts: Arc<Hosts>,
}

impl Handle {
    /// Address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// State of the host list, to change hosts and set faults.
    pub fn hosts(&self) -> &Arc<Hosts> {
        &self.hosts
    }
}

/// Starts a host list.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn spawn(config: Config) -> io::Result<Handle> {
    let lag = Duration::from_millis(config.lag_ms);
    let hosts = Arc::new(Hosts { lag, gate: Arc::default(), inner: Mutex::default() });
    let router = axum::Router::new()
        .route("/hosts", get(list))
        .route("/hosts/{name}", put(put_host).delete(remove_host))
        .route("/faults", get(show_faults).post(set_faults))
        .with_state(Arc::clone(&hosts));
    let server = server::spawn(config.listen, router, Arc::clone(&hosts.gate)).await?;
    Ok(Handle { server, hosts })
}

type Shared = State<Arc<Hosts>>;

async fn list(State(hosts): Shared) -> Response {
    while hosts.faults().hang {
        time::sleep(HANG_POLL_INTERVAL).await;
    }
    let faults = hosts.faults();
    if let Some(slow_ms) = faults.slow_ms {
        time::sleep(Duration::from_millis(slow_ms)).await;
    }
    if faults.outage {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(hosts.list()).into_response()
}

async fn put_host(State(hosts): Shared, Path(name): Path<String>, body: Bytes) -> Response {
    server::apply_json(&body, |host: Host| hosts.put(Host { name, ..host }))
}

async fn remove_host(State(hosts): Shared, Path(name): Path<String>) -> Response {
    hosts.remove(&name);
    StatusCode::NO_CONTENT.into_response()
}

async fn show_faults(State(hosts): Shared) -> Response {
    Json(hosts.faults()).into_response()
}

async fn set_faults(State(hosts): Shared, body: Bytes) -> Response {
    server::apply_json(&body, |faults: Faults| hosts.set_faults(faults))
}
