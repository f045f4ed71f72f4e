//! Connection pool for targets.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::registry::Target;
use gentianhinge_core::report::Hash;
use gentianhinge_platform::connection;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt;
use quick_error::quick_error;
use tokio::task;
use tokio::time::{self, Instant};

use super::connection_errors::PeerKind;
use super::peer_watch::{PeerWatch, Watched};
use super::response_limits::{LimitedStream, ReadLimit};

/// Connect timeout: some round trips and one lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Idle timeout of a connection if the target doesn't state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Size of the read buffer, and thus the maximum size of a response head.
const READ_BUF_BYTES: usize = 32 << 10;

/// Part of the idle timeout stated by the target that is used; the rest covers the network delay.
const IDLE_TIMEOUT_PART: f64 = 0.7;

/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 16;

/// Maximum idle time of a connection for a request that must run at most once: a connection used
/// recently is unlikely to have failed silently.
const MAX_ONCE_IDLE_TIME: Duration = Duration::from_millis(1500);

/// Minimum idle time of such a connection: stray bytes after the last response have arrived by
/// then.
const MIN_ONCE_IDLE_TIME: Duration = Duration::from_millis(15);

quick_error! {
    /// Why a request has no response.
    #[derive(Debug)]
    pub enum SendError {
        /// Connecting to the target failed.
        Unreachable(message: String) {
            display("can't connect: {message}")
        }
        /// No byte of the request was written.
        NotSent(message: String) {
            display("not sent: {message}")
        }
        /// The target may have run the request.
        Unknown(message: String) {
            display("no response: {message}")
        }
    }
}

/// A connection in use. It is closed when dropped without [`release`](Lease::release).
#[derive(Debug)]
pub struct Lease {
    sender: Option<http1::SendRequest<Full<Bytes>>>,
    task: task::AbortHandle,
    read_limit: ReadLimit,
    watched: Rc<Watched>,
    target: Hash,
    /// Whether an earlier request used the connection.
    pub is_reused: bool,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl Lease {
    /// Whether a part of the request hasn't reached the target.
    pub fn has_unsent(&self) -> bool {
        self.watched.has_unsent()
    }

    /// Returns the connection to the pool after a complete response. `idle_timeout` is the idle
    /// timeout that the target states.
    pub fn release(mut self, upstream: &Upstream, idle_timeout: Option<Duration>) {
        let Some(sender) = self.sender.take() else { return };
        let idle_timeout =
            idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |time| time.mul_f64(IDLE_TIMEOUT_PART));
        let mut idle = upstream.idle.borrow_mut();
        let connections = idle.entry(self.target).or_default();
        if connections.len() >= MAX_IDLE {
            connections.remove(0).task.abort();
        }
        let (task, since) = (self.task.clone(), Instant::now());
        let (read_limit, watched) = (self.read_limit.clone(), self.watched.clone());
        connections.push(IdleConnection {
            sender,
            task,
            read_limit,
            watched,
            since,
            until: since + idle_timeout,
        });
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: task::AbortHandle,
    read_limit: ReadLimit,
    watched: Rc<Watched>,
    since: Instant,
    until: Instant,
}

/// Pool of idle connections, by target.
#[derive(Debug)]
pub struct Upstream {
    peer_watch: Rc<PeerWatch>,
    idle: RefCell<HashMap<Hash, Vec<IdleConnection>>>,
}

impl Upstream {
    /// Creates an empty pool, whose connections are watched.
    pub fn new(peer_watch: Rc<PeerWatch>) -> Upstream {
        Upstream { peer_watch, idle: RefCell::default() }
    }

    /// Sends a request and waits for the response head, without a timeout. A pooled connection for
    /// a request with `runs_once` must have been used a short time ago.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] only if certainly no byte was written.
    pub async fn send(
        &self,
        target: &Target,
        hash: Hash,
        request: http::Request<Full<Bytes>>,
        runs_once: bool,
    ) -> Result<(http::Response<Incoming>, Lease), SendError> {
        let mut request = request;
        loop {
            let mut lease = self.lease(target, hash, runs_once).await?;
            let Some(sender) = lease.sender.as_mut() else {
                return Err(SendError::NotSent("no connection".to_string()));
            };
            lease.read_limit.limit_head();
            match sender.try_send_request(request).await {
                Ok(response) => {
                    lease.read_limit.remove();
                    return Ok((response, lease));
                }
                Err(mut err) => match err.take_message() {
                    // The pooled connection was closed before anything was written.
                    Some(unsent) if lease.is_reused => request = unsent,
                    Some(_) => return Err(SendError::NotSent(err.into_error().to_string())),
                    None => return Err(SendError::Unknown(err.into_error().to_string())),
                },
            }
        }
    }

    async fn lease(
        &self,
        target: &Target,
        hash: Hash,
        runs_once: bool,
    ) -> Result<Lease, SendError> {
        if let Some(idle) = self.take_idle(hash, runs_once) {
            let IdleConnection { sender, task, read_limit, watched, .. } = idle;
            return Ok(Lease {
                sender: Some(sender),
                task,
                read_limit,
                watched,
                target: hash,
                is_reused: true,
            });
        }
        let not_sent = |message: String| SendError::NotSent(message);
        let stream = connection::connect(target.addr, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(|err| SendError::Unreachable(err.to_string()))?;
        let read_limit = ReadLimit::default();
        read_limit.limit_head();
        let stream = self.peer_watch.add(stream, PeerKind::Target);
        let watched = stream.watched().clone();
        let stream = LimitedStream::new(stream, read_limit.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUF_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await;
        let (mut sender, connection) = handshake.map_err(|err| not_sent(err.to_string()))?;
        let task = task::spawn_local(async move {
            // Errors of the connection are handled by the request that uses it.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        sender.ready().await.map_err(|err| not_sent(err.to_string()))?;
        let sender = Some(sender);
        Ok(Lease { sender, task, read_limit, watched, target: hash, is_reused: false })
    }

    fn take_idle(&self, hash: Hash, runs_once: bool) -> Option<IdleConnection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&hash)?;
        connections.retain(|idle| {
            let is_usable = idle.until > now && !idle.sender.is_closed();
            if !is_usable {
                idle.task.abort();
            }
            is_usable
        });
        let fits = |idle: &IdleConnection| {
            let age = now.duration_since(idle.since);
            idle.sender.is_ready()
                && (!runs_once || (MIN_ONCE_IDLE_TIME..MAX_ONCE_IDLE_TIME).contains(&age))
        };
        let at = connections.iter().rposition(fits)?;
        Some(connections.remove(at))
    }

    /// Closes connections whose idle timeout has passed; never returns.
    pub async fn close_expired(&self) {
        loop {
            time::sleep(DEFAULT_IDLE_TIMEOUT / 2).await;
            let now = Instant::now();
            self.idle.borrow_mut().retain(|_, connections| {
                connections.retain(|idle| {
                    let is_usable = idle.until > now && !idle.sender.is_closed();
                    if !is_usable {
                        idle.task.abort();
                    }
                    is_usable
                });
                !connections.is_empty()
            });
        }
    }
}
