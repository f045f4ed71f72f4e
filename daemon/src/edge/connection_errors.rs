//! Counts and logs connections that end with an error.

use std::cell::Cell;
use std::io;
use std::net;
use std::sync::Arc;
use std::task::Poll;

use serde_json::json;

use super::Context;

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// A caller.
    Caller,
    /// A target.
    Target,
}

impl PeerKind {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            PeerKind::Caller => "caller",
            PeerKind::Target => "target",
        }
    }
}

/// Records the first error of one connection.
#[derive(Debug)]
pub struct ErrorRecorder {
    context: Arc<Context>,
    kind: PeerKind,
    addr: Option<net::SocketAddr>,
    has_error: Cell<bool>,
}

impl ErrorRecorder {
    /// Creates a recorder for a connection without an error.
    pub fn new(
        context: Arc<Context>,
        kind: PeerKind,
        addr: Option<net::SocketAddr>,
    ) -> ErrorRecorder {
        ErrorRecorder { context, kind, addr, has_error: Cell::new(false) }
    }

    /// Records the error of an operation, if it failed, and returns its result.
    pub fn check<T>(&self, poll: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(err)) = &poll {
            self.record(err);
        }
        poll
    }

    /// A timeout is logged as well: this host gave the peer up, while other errors are the peer's doing.
    fn record(&self, err: &io::Error) {
        if self.has_error.replace(true) {
            return;
        }
        let cause = match err.kind() {
            io::ErrorKind::TimedOut => "timeout",
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => "reset",
            _ => "other",
        };
        self.context.metrics.count_connection_error(self.kind.name(), cause);
        if cause == "timeout" {
            self.context.log.state_change(json!({
                "event": "connection", "peer": self.kind.name(), "outcome": "timeout",
                "addr": self.addr.map(|addr| addr.to_string()), "cause": err.to_string(),
            }));
        }
    }
}
