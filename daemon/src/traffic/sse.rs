//! Splits and parses the server-sent events of a model engine.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest event that is accepted, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into events at empty lines.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the buffer's start that were already searched for an event's end.
    scanned_bytes: usize,
}

/// One complete event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The event's bytes as received.
    pub raw: Bytes,
    /// Sequence number of the token, from the `id` field, if the event carries one.
    pub token: Option<u64>,
    /// Whether this is the `[DONE]` event that ends the stream.
    pub done: bool,
}

/// Token counts that an engine reports at the end of a response.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
pub struct Usage {
    /// Number of tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

#[derive(Deserialize)]
struct UsageBody {
    usage: Option<Usage>,
}

impl Splitter {
    /// Appends received bytes; returns false if an event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &Bytes) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() - self.scanned_bytes <= MAX_EVENT_BYTES + bytes.len()
            && self.scanned_bytes <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        // The two newlines that end an event may be split between two calls of `push`.
        let from = self.scanned_bytes.saturating_sub(1);
        let found = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n");
        let Some(at) = found else {
            self.scanned_bytes = self.buffer.len();
            return None;
        };
        let raw = self.buffer.split_to(from + at + 2).freeze();
        self.scanned_bytes = 0;
        Some(Event::new(raw))
    }
}

impl Event {
    fn new(raw: Bytes) -> Event {
        let mut token = None;
        let mut done = false;
        for line in raw.split(|byte| *byte == b'\n') {
            if let Some(value) = field_value(line, b"id:") {
                token = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            } else if let Some(value) = field_value(line, b"data:") {
                done = value == b"[DONE]";
            }
        }
        Event { raw, token, done }
    }

    /// Returns the token counts, if this event has a `usage` field.
    pub fn usage(&self) -> Option<Usage> {
        const MARK: &[u8] = b"\"usage\"";
        if !self.raw.windows(MARK.len()).any(|window| window == MARK) {
            return None;
        }
        let mut lines = self.raw.split(|byte| *byte == b'\n');
        let data = lines.find_map(|line| field_value(line, b"data:"))?;
        serde_json::from_slice::<UsageBody>(data).ok()?.usage
    }
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Returns the token counts of a response body that isn't streamed.
pub fn usage_of_body(body: &[u8]) -> Option<Usage> {
    serde_json::from_slice::<UsageBody>(body).ok()?.usage
}
