//! Counts and logs connections that end with an error.

use std::cell::Cell;
use std::io;
use std::net;
use std::sync::Arc;
use std::task::Poll;

use gentianhinge_core::tcp_peer::Sample;
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

    /// Records that this router ends the connection, and why.
    pub fn record_end(&self, cause: &'static str, sample: &Sample) {
        if !self.has_error.replace(true) {
            self.context.metrics.count_connection_error(self.kind.name(), cause);
            self.log(cause, Some(sample));
        }
    }

    /// Logs what has become of the connection.
    pub fn log(&self, outcome: &str, sample: Option<&Sample>) {
        self.context.log.state_change(json!({
            "event": "connection", "peer": self.kind.name(), "outcome": outcome,
            "addr": self.addr.map(|addr| addr.to_string()),
            "in_flight_segments": sample.map(|sample| sample.in_flight_segments),
            "unsent_bytes": sample.map(|sample| sample.unsent_bytes),
            "unanswered_probes": sample.map(|sample| sample.unanswered_probes),
            "since_ack_ms": sample.map(|sample| sample.since_ack.as_millis() as u64),
        }));
    }

    /// A timeout is logged as well: the kernel gave the peer up, while other errors are the peer's
    /// doing.
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
            self.log(cause, None);
        }
    }
}
