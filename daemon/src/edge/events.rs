//! Splits event streams into complete events.
//!
//! Only complete events are passed to the caller, so that another target can resume the stream
//! after the last one.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Id of the last complete event, or of the event before the stream.
    pub last_id: Option<u64>,
    /// Whether an id isn't the successor of the one before it.
    pub has_gap: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`, if that is known.
    pub fn new(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { partial: BytesMut::new(), last_id, has_gap: false }
    }

    /// Adds bytes and returns the events that they complete. Returns none if an event is missing
    /// among them, so that another target resumes after the last event returned before.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.partial, scanned) else { return Bytes::new() };
        let events = self.partial.split_to(end).freeze();
        if self.check_ids(&events) { events } else { Bytes::new() }
    }

    /// Whether the caller has received any event of the stream, also of earlier targets.
    pub fn has_events(&self) -> bool {
        self.last_id.is_some()
    }

    /// Number of bytes of the incomplete event at the end.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Whether the incomplete event is longer than any event may be.
    pub fn is_event_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Records the id of the last of these events; returns whether the ids are consecutive.
    fn check_ids(&mut self, events: &[u8]) -> bool {
        let mut last_id = self.last_id;
        for line in events.split(|byte| *byte == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            let id = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse::<u64>().ok());
            let Some(id) = id else { continue };
            self.has_gap |= last_id.is_some_and(|last| last.checked_add(1) != Some(id));
            last_id = Some(id);
        }
        if !self.has_gap {
            self.last_id = last_id;
        }
        !self.has_gap
    }
}

/// Position after the last blank line, which ends an event.
fn end_of_last_event(bytes: &[u8], from: usize) -> Option<usize> {
    // A long event without line ends is the common case among those that never end.
    if !bytes[from..].contains(&b'\n') {
        return None;
    }
    let at = bytes[from..].windows(2).rposition(|pair| pair == b"\n\n").map(|at| from + at + 2);
    let crlf = bytes[from..].windows(4).rposition(|four| four == b"\r\n\r\n");
    at.max(crlf.map(|at| from + at + 4))
}

/// Times without an event after which the target of a stream counts as silent.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// Timeout for the first event.
    pub first_event: Duration,
    /// Timeout between two events.
    pub between_events: Duration,
}

impl StreamTimeouts {
    /// Deadline for the next event. `last_at` is the time of the last event, or of the stream's
    /// start.
    pub fn deadline(&self, last_at: Instant, has_begun: bool) -> Instant {
        last_at + if has_begun { self.between_events } else { self.first_event }
    }
}
