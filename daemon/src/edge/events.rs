//! Answers as series of events: passed on as they come, and gone on with at another target.
//!
//! Only whole events are passed on, so that another target can go on behind the last one.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Instant;

/// Longest event that is kept until its end comes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a stream of bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Id of the last whole event.
    pub last_id: Option<u64>,
    /// Whether an id came that doesn't follow the one before it.
    pub has_gap: bool,
}

impl EventSplitter {
    /// Begins behind an event, if its id is known.
    pub fn new(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { partial: BytesMut::new(), last_id, has_gap: false }
    }

    /// Takes bytes and returns the whole events that they complete; none if an event is missing among
    /// them, so that another target goes on behind the last one that was returned.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.partial, scanned) else { return Bytes::new() };
        let events = self.partial.split_to(end).freeze();
        if self.check_ids(&events) { events } else { Bytes::new() }
    }

    /// Whether bytes of an event that isn't whole are left.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Whether an event is longer than any should be.
    pub fn is_event_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Notes the id of the last of these events; returns whether each follows the one before it.
    fn check_ids(&mut self, events: &[u8]) -> bool {
        let mut last_id = self.last_id;
        for line in events.split(|byte| *byte == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            let id = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse::<u64>().ok());
            let Some(id) = id else { continue };
            self.has_gap |= last_id.is_some_and(|last| id != last + 1);
            last_id = Some(id);
        }
        if !self.has_gap {
            self.last_id = last_id;
        }
        !self.has_gap
    }
}

/// Position behind the last blank line, which ends an event.
fn end_of_last_event(bytes: &[u8], from: usize) -> Option<usize> {
    let at = bytes[from..].windows(2).rposition(|pair| pair == b"\n\n").map(|at| from + at + 2);
    let crlf = bytes[from..].windows(4).rposition(|four| four == b"\r\n\r\n");
    at.max(crlf.map(|at| from + at + 4))
}

/// When a stream that is silent is given up.
#[derive(Clone, Copy, Debug)]
pub struct StreamTimeouts {
    /// Longest time to the first event.
    pub first_event: Duration,
    /// Longest pause between two events.
    pub between_events: Duration,
}

impl StreamTimeouts {
    /// Time at which the stream is given up if nothing more comes.
    pub fn deadline(&self, last_at: Instant, has_begun: bool) -> Instant {
        last_at + if has_begun { self.between_events } else { self.first_event }
    }
}
