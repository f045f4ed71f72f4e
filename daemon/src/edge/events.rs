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
pub struct Splitter {
    rest: BytesMut,
    /// Id of the last whole event.
    pub last_id: Option<u64>,
    /// Whether an id came that doesn't follow the one before it.
    pub has_gap: bool,
}

impl Splitter {
    /// Begins behind an event, if its id is known.
    pub fn new(last_id: Option<u64>) -> Splitter {
        Splitter { rest: BytesMut::new(), last_id, has_gap: false }
    }

    /// Takes bytes and returns the whole events that they complete; none if an event is missing among
    /// them, so that another target goes on behind the last one that was returned.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let scanned = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.rest, scanned) else { return Bytes::new() };
        let whole = self.rest.split_to(end).freeze();
        if self.note_ids(&whole) { whole } else { Bytes::new() }
    }

    /// Whether bytes of an event that isn't whole are left.
    pub fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Whether an event is longer than any should be.
    pub fn is_overfull(&self) -> bool {
        self.rest.len() > MAX_EVENT_BYTES
    }

    /// Notes the id of the last of these events; returns whether each follows the one before it.
    fn note_ids(&mut self, whole: &[u8]) -> bool {
        let mut last_id = self.last_id;
        for line in whole.split(|byte| *byte == b'\n') {
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
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let at = bytes[from..].windows(2).rposition(|pair| pair == b"\n\n").map(|at| from + at + 2);
    let crlf = bytes[from..].windows(4).rposition(|four| four == b"\r\n\r\n");
    at.max(crlf.map(|at| from + at + 4))
}

/// When a stream that is silent is given up.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Longest time to the first event.
    pub first: Duration,
    /// Longest pause between two events.
    pub pause: Duration,
}

impl Patience {
    /// Time at which the stream is given up if nothing more comes.
    pub fn until(&self, last_at: Instant, has_begun: bool) -> Instant {
        last_at + if has_begun { self.pause } else { self.first }
    }
}
