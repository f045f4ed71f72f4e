//! Tells a peer that is gone from one that reads slowly.
//!
//! Load pattern: callers and targets read slowly, while hosts and links fail beside them. In both
//! cases what was written isn't acknowledged for seconds. A peer that only keeps its receive window
//! closed answers each probe of the window, however; one that is gone answers nothing.
//!
//! The time since the last acknowledgment alone doesn't tell: the kernel probes a closed window less
//! and less often. What counts is how long something has been sent without an answer.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which what was sent may stay unanswered before the peer counts as gone.
pub const UNANSWERED_TIMEOUT: Duration = Duration::from_secs(3);

/// Probes of a closed window that a peer may leave unanswered: single packets are lost at times.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// What the kernel knows of a connection at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Segments that were sent and aren't acknowledged.
    pub in_flight_segments: u32,
    /// Bytes that wait to be sent.
    pub unsent_bytes: u32,
    /// Probes that were sent since the last acknowledgment.
    pub unanswered_probes: u32,
    /// Time since the last acknowledgment.
    pub since_ack: Duration,
    /// Bytes that were acknowledged since the connection was opened.
    pub acked_bytes: u64,
}

impl Sample {
    /// Whether the peer hasn't acknowledged all that was written.
    pub fn is_outstanding(&self) -> bool {
        self.in_flight_segments > 0 || self.unsent_bytes > 0
    }
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// It has acknowledged all that was written.
    UpToDate,
    /// It has acknowledged something since the last sample.
    Reading,
    /// It has acknowledged nothing for this time, and may still answer.
    NotReading(Duration),
    /// It doesn't answer.
    Gone,
}

/// Follows the peer of one connection from sample to sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerState {
    acked_bytes: u64,
    /// Since when nothing has been acknowledged; `None` if nothing is outstanding.
    stalled_since: Option<Instant>,
    /// Since when something has been sent without an answer.
    unanswered_since: Option<Instant>,
}

impl PeerState {
    /// Adds a sample.
    pub fn record(&mut self, sample: &Sample, now: Instant) -> Peer {
        if !sample.is_outstanding() {
            *self = PeerState { acked_bytes: sample.acked_bytes, ..PeerState::default() };
            return Peer::UpToDate;
        }
        if self.is_gone(sample, now) {
            return Peer::Gone;
        }
        let has_progress = sample.acked_bytes > self.acked_bytes;
        self.acked_bytes = sample.acked_bytes;
        match self.stalled_since.filter(|_| !has_progress) {
            Some(since) => Peer::NotReading(now.duration_since(since)),
            None => {
                self.stalled_since = Some(now);
                Peer::Reading
            }
        }
    }

    fn is_gone(&mut self, sample: &Sample, now: Instant) -> bool {
        let is_in_flight = sample.in_flight_segments > 0;
        if !is_in_flight && sample.unanswered_probes == 0 {
            self.unanswered_since = None;
            return false;
        }
        let is_answered_since = |since: Instant| now.duration_since(since) > sample.since_ack;
        let since = self.unanswered_since.filter(|since| !is_answered_since(*since)).unwrap_or(now);
        self.unanswered_since = Some(since);
        let is_probed = is_in_flight || sample.unanswered_probes > MAX_UNANSWERED_PROBES;
        is_probed && now.duration_since(since) >= UNANSWERED_TIMEOUT
    }
}
