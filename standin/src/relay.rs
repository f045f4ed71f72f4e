//! A TCP relay that injects network faults: closed connections, delays and lost data.
//!
//! Faults of a direction apply to all connections, open and new. [`Relay::silence_open`]
//! permanently affects the connections that are open when it is called, but no later ones.

use std::future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time;

use crate::server::{self, Gate};

/// Size of the read buffer, and thus the maximum size of a chunk.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks in transit per connection and direction.
const MAX_DELAYED_CHUNKS: usize = 1024;

/// Configuration of a relay.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that connections are forwarded to.
    pub upstream: SocketAddr,
    /// Address of the HTTP control interface.
    pub control: SocketAddr,
}

impl Config {
    /// Forwards to `upstream` and listens on ephemeral ports of 127.0.0.1.
    pub fn to(upstream: SocketAddr) -> Config {
        let ephemeral = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Config { listen: ephemeral, upstream, control: ephemeral }
    }
}

/// Faults of one direction.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Discards all bytes without closing the connection. They aren't sent after the fault is
    /// cleared.
    pub silent: bool,
    /// Delay of each chunk.
    pub delay_ms: u64,
}

/// Faults of a relay. Absent fields mean no fault.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Faults from the client to the upstream.
    pub up: DirectionFaults,
    /// Faults from the upstream to the client.
    pub down: DirectionFaults,
    /// Closes new connections immediately after accepting them.
    pub refuse: bool,
    /// Number of connections to close when response data arrives, which is discarded.
    pub drop_reply_count: u32,
}

/// Counters since the start of the relay.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Stats {
    /// Connections accepted and not refused by a fault.
    pub connection_count: u64,
    /// Bytes forwarded from clients to the upstream.
    pub up_bytes: u64,
    /// Bytes forwarded from the upstream to clients.
    pub down_bytes: u64,
    /// Responses discarded by `drop_reply_count`.
    pub dropped_reply_count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

/// Faults of the connections that were open when the fault was injected. Connections are numbered
/// from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OpenFaults {
    /// Connections up to this number are closed.
    cut_through: u64,
    /// Data of connections up to this number is discarded permanently.
    silent_through: u64,
}

#[derive(Debug, Default)]
struct Inner {
    faults: Faults,
    stats: Stats,
}

/// State of a relay, shared by its connections.
#[derive(Debug)]
pub struct Relay {
    upstream: SocketAddr,
    inner: Mutex<Inner>,
    open_faults: watch::Sender<OpenFaults>,
}

impl Relay {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Current faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        self.lock().stats.clone()
    }

    /// Closes all open connections.
    pub fn cut_open(&self) {
        let last = self.lock().stats.connection_count;
        self.open_faults.send_modify(|open_faults| open_faults.cut_through = last);
    }

    /// Permanently discards the data of all open connections, in both directions, without closing
    /// them. New connections aren't affected.
    pub fn silence_open(&self) {
        let last = self.lock().stats.connection_count;
        self.open_faults.send_modify(|open_faults| open_faults.silent_through = last);
    }

    fn faults_of(&self, direction: Direction) -> DirectionFaults {
        let inner = self.lock();
        match direction {
            Direction::Up => inner.faults.up.clone(),
            Direction::Down => inner.faults.down.clone(),
        }
    }

    fn count_bytes(&self, direction: Direction, bytes: usize) {
        let stats = &mut self.lock().stats;
        match direction {
            Direction::Up => stats.up_bytes += bytes as u64,
            Direction::Down => stats.down_bytes += bytes as u64,
        }
    }

    fn take_dropped_reply(&self) -> bool {
        let mut inner = self.lock();
        if inner.faults.drop_reply_count == 0 {
            return false;
        }
        inner.faults.drop_reply_count -= 1;
        inner.stats.dropped_reply_count += 1;
        true
    }
}

/// A running relay. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Handle {
    addr: SocketAddr,
    control: server::Handle,
    task: AbortHandle,
    relay: Arc<Relay>,
}

impl Handle {
    /// Address on which the relay listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address of the HTTP control interface.
    pub fn control_addr(&self) -> SocketAddr {
        self.control.addr()
    }

    /// State of the relay, to set faults and read counters.
    pub fn relay(&self) -> &Arc<Relay> {
        &self.relay
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a relay.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub async fn spawn(config: Config) -> io::Result<Handle> {
    let listener = TcpListener::bind(config.listen).await?;
    let addr = listener.local_addr()?;
    let relay = Arc::new(Relay {
        upstream: config.upstream,
        inner: Mutex::default(),
        open_faults: watch::Sender::default(),
    });
    let router = axum::Router::new()
        .route("/faults", get(show_faults).post(set_faults))
        .route("/cut", post(cut_open))
        .route("/silence", post(silence_open))
        .route("/stats", get(stats))
        .with_state(Arc::clone(&relay));
    let control = server::spawn(config.control, router, Arc::new(Gate::default())).await?;
    let task = tokio::spawn(accept(listener, Arc::clone(&relay))).abort_handle();
    Ok(Handle { addr, control, task, relay })
}

/// Accepts connections. Owns their tasks, so that aborting this task closes them.
async fn accept(listener: TcpListener, relay: Arc<Relay>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                if relay.faults().refuse {
                    continue;
                }
                let number = {
                    let stats = &mut relay.lock().stats;
                    stats.connection_count += 1;
                    stats.connection_count
                };
                connections.spawn(relay_connection(client, number, Arc::clone(&relay)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn relay_connection(client: TcpStream, number: u64, relay: Arc<Relay>) {
    let Ok(upstream) = TcpStream::connect(relay.upstream).await else { return };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let mut open_faults = relay.open_faults.subscribe();
    let both = async {
        tokio::try_join!(
            relay_direction(&relay, number, Direction::Up, client_read, upstream_write),
            relay_direction(&relay, number, Direction::Down, upstream_read, client_write),
        )
    };
    tokio::select! {
        _ = both => {}
        _ = open_faults.wait_for(|open_faults| open_faults.cut_through >= number) => {}
    }
}

/// Error that closes the connection in both directions.
struct ConnectionCut;

struct Chunk {
    due_at: time::Instant,
    data: Vec<u8>,
}

/// Forwards one direction until its end. Dropping `to` forwards the end of the stream.
async fn relay_direction(
    relay: &Relay,
    number: u64,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
) -> Result<(), ConnectionCut> {
    let (sender, chunks) = mpsc::channel(MAX_DELAYED_CHUNKS);
    tokio::try_join!(
        read_chunks(relay, number, direction, from, sender),
        write_chunks(relay, direction, to, chunks)
    )?;
    Ok(())
}

async fn read_chunks(
    relay: &Relay,
    number: u64,
    direction: Direction,
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
) -> Result<(), ConnectionCut> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let count = from.read(&mut buffer).await.map_err(|_| ConnectionCut)?;
        let faults = relay.faults_of(direction);
        let is_silent = faults.silent || relay.open_faults.borrow().silent_through >= number;
        match (count, is_silent) {
            (0, false) => return Ok(()),
            // A silent connection doesn't forward the end of the stream either.
            (0, true) => return future::pending().await,
            (_, true) => continue,
            (_, false) => {}
        }
        if direction == Direction::Down && relay.take_dropped_reply() {
            return Err(ConnectionCut);
        }
        let due_at = time::Instant::now() + Duration::from_millis(faults.delay_ms);
        let chunk = Chunk { due_at, data: buffer[..count].to_vec() };
        sender.send(chunk).await.map_err(|_| ConnectionCut)?;
    }
}

async fn write_chunks(
    relay: &Relay,
    direction: Direction,
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<Chunk>,
) -> Result<(), ConnectionCut> {
    while let Some(chunk) = chunks.recv().await {
        time::sleep_until(chunk.due_at).await;
        to.write_all(&chunk.data).await.map_err(|_| ConnectionCut)?;
        relay.count_bytes(direction, chunk.data.len());
    }
    Ok(())
}

async fn show_faults(State(relay): State<Arc<Relay>>) -> Response {
    Json(relay.faults()).into_response()
}

async fn set_faults(State(relay): State<Arc<Relay>>, body: Bytes) -> Response {
    server::apply_json(&body, |faults: Faults| relay.set_faults(faults))
}

async fn cut_open(State(relay): State<Arc<Relay>>) -> StatusCode {
    relay.cut_open();
    StatusCode::NO_CONTENT
}

async fn silence_open(State(relay): State<Arc<Relay>>) -> StatusCode {
    relay.silence_open();
    StatusCode::NO_CONTENT
}

async fn stats(State(relay): State<Arc<Relay>>) -> Response {
    Json(relay.stats()).into_response()
}
