//! Limits on responses: a faulty target may send without end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of a response head, including interim responses. Decoding them takes time from other
/// requests, up to the deadline of a request if its target never comes to an answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Size up to which a response needs no reservation: far above the usual size, so that large
/// responses don't block usual ones.
const UNRESERVED_BYTES: usize = 64 << 10;

/// Part of the memory of the process that reservations may use.
const MEMORY_PART: f64 = 1.0 / 16.0;

/// Number of bytes that may still be read from a connection. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct ReadLimit(Rc<Cell<usize>>);

impl ReadLimit {
    /// Sets the limit for reading a response head.
    pub fn limit_head(&self) {
        self.0.set(MAX_HEAD_BYTES);
    }

    /// Removes the limit: bodies have limits of their own.
    pub fn remove(&self) {
        self.0.set(usize::MAX);
    }
}

/// A connection that fails when its [`ReadLimit`] is exceeded.
#[derive(Debug)]
pub struct LimitedStream<S> {
    inner: S,
    read_limit: ReadLimit,
}

impl<S> LimitedStream<S> {
    /// Wraps a connection.
    pub fn new(inner: S, read_limit: ReadLimit) -> LimitedStream<S> {
        LimitedStream { inner, read_limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        let remaining = self.read_limit.0.get().checked_sub(buf.filled().len() - before);
        match remaining {
            Some(remaining) => self.read_limit.0.set(remaining),
            None => {
                return Poll::Ready(Err(io::Error::other("response head exceeds the size limit")));
            }
        }
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Memory budget for what is buffered of responses.
#[derive(Debug)]
pub struct BufferBudget {
    free_bytes: Rc<Cell<usize>>,
}

impl BufferBudget {
    /// Creates the budget of a process with `memory_mb` MB of memory.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Far below 2^52 bytes.
    pub fn new(memory_mb: f64) -> BufferBudget {
        let bytes = memory_mb * 1e6 * MEMORY_PART;
        BufferBudget { free_bytes: Rc::new(Cell::new(bytes as usize)) }
    }

    /// An empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation { free_bytes: self.free_bytes.clone(), bytes: 0 }
    }

    /// Reads a complete body.
    ///
    /// # Errors
    ///
    /// Describes why the body can't be read: the connection failed, or the budget is exhausted.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut reservation = self.reservation();
        let mut body_bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|err| err.to_string())?.into_data() else { continue };
            body_bytes.extend_from_slice(&data);
            reservation.resize(reserved_bytes(body_bytes.len()))?;
        }
        Ok(body_bytes.freeze())
    }
}

/// Bytes to be reserved for `len` buffered bytes of a response.
pub fn reserved_bytes(len: usize) -> usize {
    len.saturating_sub(UNRESERVED_BYTES)
}

/// Part of a budget reserved for one response; released when dropped.
#[derive(Debug)]
pub struct Reservation {
    free_bytes: Rc<Cell<usize>>,
    bytes: usize,
}

impl Reservation {
    /// Sets the number of reserved bytes.
    ///
    /// # Errors
    ///
    /// The budget is exhausted; the reservation is unchanged.
    pub fn resize(&mut self, bytes: usize) -> Result<(), String> {
        let available_bytes = self.free_bytes.get() + self.bytes;
        let remaining = available_bytes.checked_sub(bytes);
        self.free_bytes.set(remaining.ok_or("no memory left for a response of this size")?);
        self.bytes = bytes;
        Ok(())
    }

    /// Gives all reserved bytes back.
    pub fn release(&mut self) {
        self.free_bytes.set(self.free_bytes.get() + self.bytes);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}

/// Reads and drops a body; returns `false` if it is incomplete or too long, so that the connection
/// can't be reused.
pub async fn discard(mut body: Incoming) -> bool {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > UNRESERVED_BYTES {
            return false;
        }
    }
    true
}
