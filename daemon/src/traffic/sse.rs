//! Server-sent events of a model engine.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest event that is read.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the buffer's start that are known to hold no event's end.
    scanned_bytes: usize,
}

/// One whole event with its closing empty line.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The event as it came.
    pub raw: Bytes,
    /// Number of the token, if the event carries one.
    pub token: Option<u64>,
    /// Whether this is the stream's end mark.
    pub done: bool,
}

/// Token counts that an engine tells at the end.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated.
    #[serde(default)]
    pub completion_tokens: u64,
}

#[derive(Deserialize)]
struct WithUsage {
    usage: Option<Usage>,
}

impl Splitter {
    /// Adds bytes; false if an event has grown beyond [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &Bytes) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() - self.scanned_bytes <= MAX_EVENT_BYTES + bytes.len()
            && self.scanned_bytes <= MAX_EVENT_BYTES
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        // The end mark may begin in the last byte that was seen before.
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
            if let Some(value) = field(line, b"id:") {
                token = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            } else if let Some(value) = field(line, b"data:") {
                done = value == b"[DONE]";
            }
        }
        Event { raw, token, done }
    }

    /// The token counts, if this event tells them.
    pub fn usage(&self) -> Option<Usage> {
        const MARK: &[u8] = b"\"usage\"";
        if !self.raw.windows(MARK.len()).any(|window| window == MARK) {
            return None;
        }
        let mut lines = self.raw.split(|byte| *byte == b'\n');
        let data = lines.find_map(|line| field(line, b"data:"))?;
        serde_json::from_slice::<WithUsage>(data).ok()?.usage
    }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Token counts in a body that isn't streamed.
pub fn usage_of_body(body: &[u8]) -> Option<Usage> {
    serde_json::from_slice::<WithUsage>(body).ok()?.usage
}
