//! Owns the guarantee of a shutdown: each request that was read gets its whole response before the
//! process exits.
//!
//! Failures: a request whose record has ended isn't answered yet, since its response may still wait
//! in a buffer of its connection; and a request that lies unread in the socket of an idle
//! connection would be discarded if that connection were closed. Connections are therefore tracked
//! from accept until they are closed, and one is closed without a response only if its socket has
//! no unread bytes either.

use std::cell::Cell;
use std::convert::Infallible;
use std::future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::{self, Pin};
use std::rc::Rc;
use std::task::{self, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{self, Instant};

use super::linger::{LINGER_TIME, LingeringStream};
use super::peer_watch::WatchedStream;
use super::reply::{Body, BodyError};

/// Time that the caller of a new connection has to send its first request, if the shutdown closes
/// connections meanwhile: the connection may come from the listener's queue, with its request still
/// in transit. A round trip between zones takes a few ms, and callers may be busy.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(250);

/// Time that a caller has to send the rest of a request head when the shutdown closes connections.
/// It must leave time for the response within a grace period of 8 s, of which 2.6 s have passed.
const HEAD_TIME: Duration = LINGER_TIME;

/// Explanation of an outcome in the log: a shutdown left no more time for the request.
pub const GRACE_OVER: &str = "grace period over";

/// The connections of callers that aren't closed.
#[derive(Debug, Default)]
pub struct Connections {
    open_count: Cell<usize>,
    unanswered_count: Cell<usize>,
    emptied: Notify,
}

impl Connections {
    /// Tracks a connection until the result is dropped.
    pub fn add(self: &Rc<Connections>) -> Rc<Connection> {
        self.open_count.set(self.open_count.get() + 1);
        Rc::new(Connection {
            connections: self.clone(),
            accepted_at: Instant::now(),
            state: Cell::default(),
            is_closing: Cell::new(false),
        })
    }

    /// Number of connections that aren't closed.
    pub fn open_count(&self) -> usize {
        self.open_count.get()
    }

    /// Number of connections with a request whose response isn't written completely.
    pub fn unanswered_count(&self) -> usize {
        self.unanswered_count.get()
    }

    /// Waits until all connections are closed.
    pub async fn wait_until_closed(&self) {
        while self.open_count.get() > 0 {
            self.emptied.notified().await;
        }
    }
}

/// What has been read from a connection, and written to it.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Whether the connection has had a request.
    is_used: bool,
    /// Whether a request is in progress, up to the end of its response's body.
    has_request: bool,
    /// Whether a part of the last response may not be written yet.
    has_unwritten: bool,
    /// Whether a part of the next request head has been read.
    has_part: bool,
    /// Whether the socket has bytes that have not been read; known only while the connection is
    /// being closed.
    has_unread: bool,
}

impl State {
    fn is_unanswered(&self) -> bool {
        self.has_request || self.has_unwritten
    }

    /// Whether nothing is left to answer. The caller may be late with its first request or with
    /// the rest of a request head.
    fn is_idle(&self, is_first_late: bool, is_head_late: bool) -> bool {
        let is_expected = self.has_part || self.has_unread || !(self.is_used || is_first_late);
        !self.is_unanswered() && (is_head_late || !is_expected)
    }
}

/// Progress of one connection.
#[derive(Debug)]
pub struct Connection {
    connections: Rc<Connections>,
    accepted_at: Instant,
    state: Cell<State>,
    is_closing: Cell<bool>,
}

impl Connection {
    /// Records that a request head has been read.
    pub fn begin_request(self: &Rc<Connection>) -> OpenRequest {
        self.update(|state| {
            (state.is_used, state.has_request, state.has_part) = (true, true, false);
        });
        OpenRequest(self.clone())
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.get();
        let was_unanswered = state.is_unanswered();
        change(&mut state);
        self.state.set(state);
        let count = &self.connections.unanswered_count;
        match (was_unanswered, state.is_unanswered()) {
            (false, true) => count.set(count.get() + 1),
            (true, false) => count.set(count.get() - 1),
            _ => {}
        }
    }

    /// Serves a connection to its end after the phase `Closing` has begun. Unless its caller is
    /// late, it is closed only when it has no request, read or unread.
    pub async fn close<S>(&self, mut served: Pin<&mut http1::Connection<TokioIo<Stream>, S>>)
    where
        S: HttpService<Incoming, ResBody = TrackedBody, Error = Infallible>,
    {
        self.is_closing.set(true);
        let mut first_request = pin::pin!(time::sleep_until(self.accepted_at + FIRST_REQUEST_TIME));
        let mut head = pin::pin!(time::sleep(HEAD_TIME));
        let (mut was_idle, mut is_shut) = (false, false);
        future::poll_fn(|cx| {
            // Errors of the connection are handled by the request in progress.
            if served.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            if is_shut {
                return Poll::Pending;
            }
            let is_first_late = first_request.as_mut().poll(cx).is_ready();
            let is_head_late = head.as_mut().poll(cx).is_ready();
            let is_idle = self.state.get().is_idle(is_first_late, is_head_late);
            if !is_idle || !was_idle {
                if is_idle {
                    // The connection yields between pipelined requests, so it is asked twice.
                    cx.waker().wake_by_ref();
                }
                was_idle = is_idle;
                return Poll::Pending;
            }
            is_shut = true;
            served.as_mut().graceful_shutdown();
            served.as_mut().poll(cx).map(drop)
        })
        .await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.update(|state| *state = State::default());
        let connections = &self.connections;
        connections.open_count.set(connections.open_count.get() - 1);
        if connections.open_count.get() == 0 {
            connections.emptied.notify_one();
        }
    }
}

/// A request in progress; dropped with its response's body.
#[derive(Debug)]
pub struct OpenRequest(Rc<Connection>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.update(|state| (state.has_request, state.has_unwritten) = (false, true));
    }
}

/// Body of a response, with its request.
pub struct TrackedBody {
    inner: Body,
    _request: OpenRequest,
}

impl TrackedBody {
    /// Adds the request to the body of its response.
    pub fn new(inner: Body, request: OpenRequest) -> TrackedBody {
        TrackedBody { inner, _request: request }
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Stream of a connection, which records its progress.
#[derive(Debug)]
pub struct Stream {
    inner: LingeringStream,
    connection: Rc<Connection>,
}

impl Stream {
    /// Wraps the stream of a connection.
    pub fn new(stream: WatchedStream, connection: Rc<Connection>) -> Stream {
        Stream { inner: LingeringStream::new(stream), connection }
    }

    /// Whether the socket has unread bytes, also if the runtime doesn't know yet.
    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(self.inner.get_ref().socket()).peek(&mut byte);
        peeked.is_ok_and(|len| len > 0)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        let has_read = buf.filled().len() > before;
        let has_unread = poll.is_pending() && self.connection.is_closing.get() && self.has_unread();
        self.connection.update(|state| {
            state.has_part |= has_read && !state.has_request;
            state.has_unread = has_unread;
        });
        poll
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    /// Called by hyper only once its own write buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        let poll = Pin::new(&mut self.inner).poll_flush(cx);
        if poll.is_ready() {
            self.connection.update(|state| state.has_unwritten = false);
            if !self.connection.state.get().has_request {
                self.inner.get_ref().watched().set_unframed(false);
            }
        }
        poll
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
