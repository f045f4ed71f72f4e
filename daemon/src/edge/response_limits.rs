//! Bounds on what targets may send: a faulty one may send bytes that never end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may come before the head of an answer is complete, interim answers included.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Bytes of each answer that are kept without asking for room: far above the usual answer, so that
/// large ones don't stop it.
const FREE_BYTES: usize = 64 << 10;

/// Part of the memory of the process that answers take beyond that.
const MEMORY_PART: f64 = 1.0 / 16.0;

/// Bytes that may still be read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Allowance(Rc<Cell<usize>>);

impl Allowance {
    /// Bounds what comes until the head of an answer is complete.
    pub fn bound_head(&self) {
        self.0.set(MAX_HEAD_BYTES);
    }

    /// Takes the bound away: bodies have bounds of their own.
    pub fn lift(&self) {
        self.0.set(usize::MAX);
    }
}

/// A connection that fails when more is read than its allowance.
#[derive(Debug)]
pub struct Bounded<S> {
    inner: S,
    allowance: Allowance,
}

impl<S> Bounded<S> {
    /// Bounds what is read from a connection.
    pub fn new(inner: S, allowance: Allowance) -> Bounded<S> {
        Bounded { inner, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Bounded<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.inner).poll_read(cx, buf);
        let left = self.allowance.0.get().checked_sub(buf.filled().len() - before);
        match left {
            Some(left) => self.allowance.0.set(left),
            None => {
                return Poll::Ready(Err(io::Error::other("the head of the answer is too long")));
            }
        }
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Bounded<S> {
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

/// Memory for answers that are read as a whole.
#[derive(Debug)]
pub struct Room {
    free_bytes: Cell<usize>,
}

impl Room {
    /// Creates the room of a process with this much memory.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Far below 2^52 bytes.
    pub fn new(memory_mb: u32) -> Room {
        let bytes = f64::from(memory_mb) * 1e6 * MEMORY_PART;
        Room { free_bytes: Cell::new(bytes as usize) }
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// The body breaks off, or there is no room for it.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, String> {
        let mut taken = Taken { room: self, bytes: 0 };
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|err| err.to_string())?.into_data() else { continue };
            whole.extend_from_slice(&data);
            taken.grow(whole.len().saturating_sub(FREE_BYTES))?;
        }
        Ok(whole.freeze())
    }
}

/// Room that one answer has taken; given back when dropped.
struct Taken<'a> {
    room: &'a Room,
    bytes: usize,
}

impl Taken<'_> {
    fn grow(&mut self, to_bytes: usize) -> Result<(), String> {
        let more = to_bytes.saturating_sub(self.bytes);
        let left = self.room.free_bytes.get().checked_sub(more);
        self.room.free_bytes.set(left.ok_or("no room for an answer of this length")?);
        self.bytes += more;
        Ok(())
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.room.free_bytes.set(self.room.free_bytes.get() + self.bytes);
    }
}

/// Reads a body that nobody needs; `false` if it breaks off or is long, so that the connection is of
/// no more use.
pub async fn discard(mut body: Incoming) -> bool {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > FREE_BYTES {
            return false;
        }
    }
    true
}
