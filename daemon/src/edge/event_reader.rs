//! Reads the complete events of a target's stream.

use bytes::Bytes;

use super::attempt::EventStream;
use super::buffers::{BufferBudget, Reservation};
use super::events::EventSplitter;

/// What a stream has brought.
#[derive(Debug)]
pub enum Read {
    /// One or more complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The stream is broken, for this reason.
    Broken(String),
}

/// Reads events. The bytes of an incomplete event are kept until it is complete, however slowly they
/// arrive; their number is limited.
#[derive(Debug)]
pub struct EventReader {
    splitter: EventSplitter,
    partial: Reservation,
}

impl EventReader {
    /// Creates a reader for a stream that continues after the event `last_id`, if that is known.
    pub fn new(last_id: Option<u64>, budget: &BufferBudget) -> EventReader {
        EventReader { splitter: EventSplitter::new(last_id), partial: budget.reservation() }
    }

    /// Id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.splitter.last_id
    }

    /// Drops an incomplete event: another target continues after the last complete one.
    pub fn restart(&mut self) {
        self.splitter = EventSplitter::new(self.splitter.last_id);
        self.partial.release();
    }

    /// Reads until events are complete or the stream ends. Nothing is lost if the future is dropped.
    pub async fn next(&mut self, stream: &mut EventStream) -> Read {
        loop {
            let frame = match stream.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(err)) => return Read::Broken(err.to_string()),
                None => return self.end(stream),
            };
            let events = self.splitter.push(&frame.into_data().unwrap_or_default());
            if let Err(cause) = self.check() {
                return Read::Broken(cause);
            }
            if !events.is_empty() {
                return Read::Events(events);
            }
        }
    }

    /// Checks the sequence of events and the size of an incomplete one.
    fn check(&mut self) -> Result<(), String> {
        if self.splitter.has_gap || self.splitter.is_event_too_long() {
            return Err("an event is missing or too long".to_string());
        }
        self.partial.resize(self.splitter.partial_len()).map_err(|err| err.to_string())
    }

    /// What the end of the stream means.
    fn end(&self, stream: &EventStream) -> Read {
        if self.splitter.partial_len() > 0 {
            return Read::Broken("stream ended within an event".to_string());
        }
        if stream.answer_head.ends_with_connection && !self.splitter.has_events() {
            return Read::Broken("stream ended without an event".to_string());
        }
        if stream.answer_head.ends_with_connection && stream.lease.has_unsent() {
            return Read::Broken("stream ended before the request was sent".to_string());
        }
        Read::End
    }
}
