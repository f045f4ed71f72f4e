//! Watches connections whose peers haven't acknowledged all that was written, and ends those whose
//! peers are gone.
//!
//! The kernel's user timeout also ends a connection whose peer answers but reads slowly. It holds
//! for a connection until the watch has seen it, and is lifted then. What bounds a slow reader from
//! there on is its own request: a caller has until the deadline to read its answer. On a kernel that
//! doesn't count segments, the user timeout stays.

use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::{AsRawFd, RawFd};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{self, Poll};
use std::time::Duration;

use gentianhinge_core::tcp_peer::{Peer, PeerState, Sample, UNANSWERED_TIMEOUT};
use gentianhinge_platform::{connection, tcp_info};
use serde_json::json;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{self, Instant};

use super::connection_errors::{ErrorRecorder, PeerKind};
use super::{Context, Phase};

/// Interval at which connections are checked, well below [`UNANSWERED_TIMEOUT`].
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two probes of a peer that reads nothing: three of them take as long as
/// [`UNANSWERED_TIMEOUT`].
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why the watch has ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The peer doesn't answer.
    Gone,
    /// The caller hasn't read its answer by the deadline of its request.
    Unread,
}

impl End {
    fn name(self) -> &'static str {
        match self {
            End::Gone => "gone",
            End::Unread => "unread",
        }
    }
}

/// The watched connections of the traffic thread.
#[derive(Debug)]
pub struct PeerWatch {
    context: Arc<Context>,
    connections: RefCell<Vec<Rc<Watched>>>,
    /// Cleared on a kernel that doesn't count segments.
    is_supported: Cell<bool>,
}

impl PeerWatch {
    /// Creates a watch without connections.
    pub fn new(context: Arc<Context>) -> PeerWatch {
        PeerWatch { context, connections: RefCell::default(), is_supported: Cell::new(true) }
    }

    /// Watches a connection until the result is dropped.
    pub fn add(&self, stream: TcpStream, kind: PeerKind) -> WatchedStream {
        let errors = ErrorRecorder::new(self.context.clone(), kind, stream.peer_addr().ok());
        let watched = Rc::new(Watched {
            context: self.context.clone(),
            errors,
            kind,
            socket: Cell::new(Some(stream.as_raw_fd())),
            has_written: Cell::default(),
            has_unflushed: Cell::default(),
            is_lifted: Cell::default(),
            is_logged: Cell::default(),
            state: Cell::default(),
            read_by: Cell::default(),
            end: Cell::default(),
            is_unframed: Cell::default(),
            is_unread: Arc::default(),
        });
        if self.is_supported.get() {
            self.connections.borrow_mut().push(watched.clone());
        }
        WatchedStream { watched, inner: stream }
    }

    /// Checks the connections; returns only on a kernel that doesn't count segments.
    pub async fn run(&self) {
        while self.is_supported.get() {
            time::sleep(CHECK_INTERVAL).await;
            self.check_all(Instant::now());
        }
        self.connections.borrow_mut().clear();
        self.context.log.state_change(json!({ "event": "peer-watch", "outcome": "not supported" }));
    }

    fn check_all(&self, now: Instant) {
        self.connections.borrow_mut().retain(|watched| {
            let Some(socket) = watched.socket.get() else { return false };
            if watched.has_written.get() {
                match tcp_info::sample(socket) {
                    Some(sample) => watched.check(socket, &sample, now),
                    None => self.is_supported.set(false),
                }
            }
            true
        });
    }
}

/// A connection as the watch sees it.
#[derive(Debug)]
pub struct Watched {
    context: Arc<Context>,
    errors: ErrorRecorder,
    kind: PeerKind,
    /// Descriptor of the socket; `None` once it is closed.
    socket: Cell<Option<RawFd>>,
    /// Whether something was written that may not be acknowledged.
    has_written: Cell<bool>,
    /// Whether something that is to be written may not have been taken by the kernel.
    has_unflushed: Cell<bool>,
    /// Whether the kernel's user timeout is lifted.
    is_lifted: Cell<bool>,
    /// Whether the peer was logged as slow.
    is_logged: Cell<bool>,
    state: Cell<PeerState>,
    /// When the caller must have read its answer.
    read_by: Cell<Option<Instant>>,
    end: Cell<Option<End>>,
    /// Whether a close now would look like the end of a complete answer.
    is_unframed: Cell<bool>,
    is_unread: Arc<AtomicBool>,
}

impl Watched {
    /// Sets when the caller must have read the answers so far; `None` while it waits for one.
    pub fn set_read_by(&self, read_by: Option<Instant>) {
        self.read_by.set(read_by);
    }

    /// Sets whether an answer is being written whose end only the close tells, as to callers of
    /// HTTP/1.0. If the connection is closed meanwhile, it is reset.
    pub fn set_unframed(&self, is_unframed: bool) {
        self.is_unframed.set(is_unframed);
    }

    /// Whether the peer hadn't acknowledged all that was written at the last check.
    pub fn is_unread(&self) -> Arc<AtomicBool> {
        self.is_unread.clone()
    }

    /// Whether the caller is still reading what was written, and has time left.
    pub fn is_reading(&self) -> bool {
        let is_in_time = self.read_by.get().is_none_or(|read_by| Instant::now() < read_by);
        is_in_time && self.end.get().is_none() && self.has_outstanding()
    }

    /// Whether a part of what is to be written hasn't reached the peer.
    pub fn has_unsent(&self) -> bool {
        self.has_unflushed.get() || self.has_outstanding()
    }

    fn has_outstanding(&self) -> bool {
        let socket = self.socket.get().filter(|_| self.has_written.get());
        socket.and_then(tcp_info::sample).is_some_and(|sample| sample.is_outstanding())
    }

    fn check(&self, socket: RawFd, sample: &Sample, now: Instant) {
        if self.end.get().is_some() {
            return;
        }
        if !self.is_lifted.replace(true) {
            self.log_failure(tcp_info::set_user_timeout(socket, None));
        }
        let mut state = self.state.get();
        let peer = state.record(sample, now);
        self.state.set(state);
        self.is_unread.store(peer != Peer::UpToDate, Ordering::Relaxed);
        let is_overdue = self.read_by.get().is_some_and(|read_by| now >= read_by);
        match peer {
            Peer::UpToDate => self.has_written.set(false),
            Peer::Gone => self.end(socket, End::Gone, sample),
            _ if is_overdue => self.end(socket, End::Unread, sample),
            Peer::Reading => {}
            Peer::NotReading(time) => self.record_slow(socket, time, sample),
        }
    }

    /// A peer that reads nothing is logged once it would be given up, had it not answered.
    fn record_slow(&self, socket: RawFd, time: Duration, sample: &Sample) {
        // Where the option is missing, it takes longer to notice that such a peer is gone.
        let _ = tcp_info::set_max_probe_interval(socket, Some(MAX_PROBE_INTERVAL));
        if time >= UNANSWERED_TIMEOUT && !self.is_logged.replace(true) {
            self.errors.log("slow", Some(sample));
        }
    }

    /// Ends the connection. The task that reads it gets an error, since a plain end could mean the
    /// end of a complete answer.
    fn end(&self, socket: RawFd, end: End, sample: &Sample) {
        self.end.set(Some(end));
        self.errors.record_end(end.name(), sample);
        self.log_failure(tcp_info::reset_on_close(socket));
        // Fails if the connection has just ended by itself.
        let _ = tcp_info::shutdown(socket);
    }

    /// Leaves the connection to the kernel, as its socket is about to be closed.
    fn release(&self) {
        if let Some(socket) = self.socket.get().filter(|_| self.is_unframed.get()) {
            self.log_failure(tcp_info::reset_on_close(socket));
        }
        let is_left = self.end.get().is_none() && self.is_lifted.get() && self.has_outstanding();
        let Some(socket) = self.socket.take().filter(|_| is_left) else { return };
        if self.kind == PeerKind::Target {
            // What a target hasn't read of an abandoned request must not reach it later.
            self.log_failure(tcp_info::reset_on_close(socket));
            return;
        }
        // The kernel gives a closed socket up at the longest interval, though its peer answers.
        let _ = tcp_info::set_max_probe_interval(socket, None);
        if self.context.phase() != Phase::Closing {
            self.log_failure(tcp_info::set_user_timeout(socket, Some(connection::USER_TIMEOUT)));
        }
    }

    fn log_failure(&self, result: io::Result<()>) {
        if let Err(err) = result {
            tracing::debug!("can't set an option of a {}'s socket: {err}", self.kind.name());
        }
    }
}

/// A stream whose connection is watched.
#[derive(Debug)]
pub struct WatchedStream {
    watched: Rc<Watched>,
    inner: TcpStream,
}

impl WatchedStream {
    /// The connection as the watch sees it.
    pub fn watched(&self) -> &Rc<Watched> {
        &self.watched
    }

    /// The socket.
    pub fn socket(&self) -> &TcpStream {
        &self.inner
    }

    fn check_write(&self, poll: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.watched.has_written.set(true);
        self.watched.has_unflushed.set(true);
        self.watched.errors.check(poll)
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.watched.release();
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.watched.end.get().is_some() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.watched.errors.check(poll)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.check_write(poll)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.inner).poll_write_vectored(cx, slices);
        self.check_write(poll)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    /// Called by hyper only once its own write buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.inner).poll_flush(cx);
        if poll.is_ready() {
            self.watched.has_unflushed.set(false);
        }
        poll
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
