//! Closes callers' connections without a reset.
//!
//! A socket that is closed with unread bytes resets its connection, which drops what hasn't been
//! sent of the last answer. The router therefore closes its own direction first and reads on until
//! the caller closes the other one.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{self, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{self, Instant};

use super::peer_watch::WatchedStream;

/// Time that a caller has to close the connection. It may take longer to read the last answer.
pub const LINGER_TIME: Duration = Duration::from_secs(2);

/// Size of the buffer for bytes that are dropped.
const DISCARD_BYTES: usize = 4096;

/// Interval at which a closed connection is checked whose caller takes longer to read.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A stream whose shutdown waits until the peer has closed its direction, for a limited time.
#[derive(Debug)]
pub struct LingeringStream {
    inner: WatchedStream,
    /// Set once the write direction is closed.
    linger: Option<Pin<Box<time::Sleep>>>,
}

impl LingeringStream {
    /// Wraps a stream.
    pub fn new(inner: WatchedStream) -> LingeringStream {
        LingeringStream { inner, linger: None }
    }

    /// The wrapped stream.
    pub fn get_ref(&self) -> &WatchedStream {
        &self.inner
    }

    /// Reads and drops bytes until the peer closes its direction or the connection fails.
    fn poll_discard(&mut self, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            task::ready!(Pin::new(&mut self.inner).poll_read(cx, &mut buf))?;
            if buf.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringStream {
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

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            task::ready!(Pin::new(&mut self.inner).poll_shutdown(cx))?;
            self.linger = Some(Box::pin(time::sleep(LINGER_TIME)));
        }
        if let Poll::Ready(result) = self.poll_discard(cx) {
            return Poll::Ready(result);
        }
        let this = &mut *self;
        let Some(linger) = &mut this.linger else { return Poll::Ready(Ok(())) };
        loop {
            task::ready!(linger.as_mut().poll(cx));
            if !this.inner.watched().is_reading() {
                return Poll::Ready(Ok(()));
            }
            linger.as_mut().reset(Instant::now() + CHECK_INTERVAL);
        }
    }
}
