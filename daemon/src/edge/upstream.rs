//! Connections to targets, and the sending of one request.

use std::cell::RefCell;
use std::collections::HashMap;
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

use super::response_limits::{LimitedStream, ReadLimit};

/// Longest time to connect: some round trips, and one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which an unused connection is kept if the target doesn't tell its own.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Most bytes that are read from a connection at once, and longest head of an answer.
const READ_BUF_BYTES: usize = 32 << 10;

/// Part of the target's own idle time that is used; the rest covers what is on its way.
const IDLE_TIME_PART: f64 = 0.7;

/// Most unused connections kept for one target.
const MAX_IDLE: usize = 16;

/// Longest idle time of a connection for a request that runs at most once: one that was used a
/// moment ago hasn't gone silent.
const MAX_ONCE_IDLE_TIME: Duration = Duration::from_millis(1500);

/// Least idle time of such a connection: bytes behind the last answer have then shown.
const MIN_ONCE_IDLE_TIME: Duration = Duration::from_millis(15);

quick_error! {
    /// Why a request has no answer.
    #[derive(Debug)]
    pub enum SendError {
        /// The target can't be connected to.
        Unreachable(message: String) {
            display("no connection: {message}")
        }
        /// No byte of it was written.
        NotSent(message: String) {
            display("not sent: {message}")
        }
        /// It may have run.
        Unknown(message: String) {
            display("no answer: {message}")
        }
    }
}

/// A connection in use; closed when dropped without [`give_back`](Lease::give_back).
#[derive(Debug)]
pub struct Lease {
    sender: Option<http1::SendRequest<Full<Bytes>>>,
    task: task::AbortHandle,
    read_limit: ReadLimit,
    target: Hash,
    /// Whether the connection had been used before.
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
    /// Keeps the connection for another request, now that the answer is complete.
    pub fn release(mut self, upstream: &Upstream, idle_time: Option<Duration>) {
        let Some(sender) = self.sender.take() else { return };
        let idle_time = idle_time.map_or(IDLE_TIME, |time| time.mul_f64(IDLE_TIME_PART));
        let mut idle = upstream.idle.borrow_mut();
        let connections = idle.entry(self.target).or_default();
        if connections.len() >= MAX_IDLE {
            connections.remove(0).task.abort();
        }
        let (task, read_limit, since) =
            (self.task.clone(), self.read_limit.clone(), Instant::now());
        connections.push(IdleConnection {
            sender,
            task,
            read_limit,
            since,
            until: since + idle_time,
        });
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: task::AbortHandle,
    read_limit: ReadLimit,
    since: Instant,
    until: Instant,
}

/// Unused connections, by target.
#[derive(Debug, Default)]
pub struct Upstream {
    idle: RefCell<HashMap<Hash, Vec<IdleConnection>>>,
}

impl Upstream {
    /// Sends a request and waits for the head of the answer, without a time limit.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if surely nothing was written.
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
                    // The connection was closed before anything was written.
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
            let IdleConnection { sender, task, read_limit, .. } = idle;
            return Ok(Lease {
                sender: Some(sender),
                task,
                read_limit,
                target: hash,
                is_reused: true,
            });
        }
        let not_sent = |message: String| SendError::NotSent(message);
        let stream = connection::connect(target.addr, CONNECT_TIMEOUT).await;
        let stream = stream.map_err(|err| SendError::Unreachable(err.to_string()))?;
        let read_limit = ReadLimit::default();
        read_limit.limit_head();
        let stream = LimitedStream::new(stream, read_limit.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUF_BYTES)
            .handshake(rt::TokioIo::new(stream))
            .await;
        let (mut sender, connection) = handshake.map_err(|err| not_sent(err.to_string()))?;
        let task = task::spawn_local(async move {
            // A break of the connection shows in the request that uses it.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        sender.ready().await.map_err(|err| not_sent(err.to_string()))?;
        Ok(Lease { sender: Some(sender), task, read_limit, target: hash, is_reused: false })
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

    /// Closes what is unused for too long; never returns.
    pub async fn close_expired(&self) {
        loop {
            time::sleep(IDLE_TIME / 2).await;
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
