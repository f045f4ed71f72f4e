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

use super::buffers::BufferBudget;

/// Maximum size of a response head, including interim responses. Decoding them takes time from other
/// requests, up to the deadline of a request if its target never comes to an answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum size of a body that is read only so that its connection can be reused.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

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

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, slices)
    }

    // Without this, the body of each request is copied.
    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Reads a complete body. Its memory counts toward the budget until the last copy is dropped, however
/// long the caller takes to read it.
///
/// # Errors
///
/// Describes why the body can't be read: the connection failed, or the budget is exhausted.
pub async fn read(mut body: Incoming, budget: &BufferBudget) -> Result<Bytes, String> {
    let mut reservation = budget.reservation();
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|err| err.to_string())?.into_data() else { continue };
        bytes.extend_from_slice(&data);
        reservation.resize(bytes.len()).map_err(|err| err.to_string())?;
    }
    Ok(reservation.hold(bytes.freeze()))
}

/// Reads and drops a body; returns `false` if it is incomplete or too long, so that the connection
/// can't be reused.
pub async fn discard(mut body: Incoming) -> bool {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > MAX_DISCARDED_BYTES {
            return false;
        }
    }
    true
}
