//! Incremental parser of server-sent events.

/// A complete event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field.
    pub id: Option<String>,
    /// Value of the `event` field.
    pub name: Option<String>,
    /// Values of the `data` fields, joined with newlines.
    pub data: String,
}

/// Splits a body into events, whatever its chunk boundaries.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    rest: Vec<u8>,
    event: Event,
    has_data: bool,
}

impl Parser {
    /// Adds a chunk of the body and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        self.rest.extend_from_slice(chunk);
        let mut start = 0;
        while let Some(length) = self.rest[start..].iter().position(|&byte| byte == b'\n') {
            let line = String::from_utf8_lossy(&self.rest[start..start + length]).into_owned();
            start += length + 1;
            events.extend(self.take_line(line.trim_end_matches('\r')));
        }
        self.rest.drain(..start);
        events
    }

    /// Whether the input so far ends within an incomplete event.
    pub fn is_within_event(&self) -> bool {
        !self.rest.is_empty() || self.has_data
    }

    fn take_line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_owned()),
            "event" => self.event.name = Some(value.to_owned()),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            // Comments have an empty field name; they and unknown fields are ignored.
            _ => {}
        }
        None
    }
}
