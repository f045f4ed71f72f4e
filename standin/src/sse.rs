//! Reads server-sent events from pieces of a body.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The event's id, if it has one.
    pub id: Option<String>,
    /// The event's name, if it has one.
    pub name: Option<String>,
    /// The event's data.
    pub data: String,
}

/// Splits a body into events, whatever pieces it comes in.
#[derive(Clone, Debug, Default)]
pub struct Parser {
    rest: Vec<u8>,
    event: Event,
    has_data: bool,
}

impl Parser {
    /// Takes a piece of the body and gives the events that it completes.
    pub fn push(&mut self, piece: &[u8]) -> Vec<Event> {
        let mut events = Vec::new();
        self.rest.extend_from_slice(piece);
        let mut start = 0;
        while let Some(length) = self.rest[start..].iter().position(|&byte| byte == b'\n') {
            let line = String::from_utf8_lossy(&self.rest[start..start + length]).into_owned();
            start += length + 1;
            events.extend(self.take_line(line.trim_end_matches('\r')));
        }
        self.rest.drain(..start);
        events
    }

    /// Whether the body ended within an event.
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
            // A line without a field's name is a comment; unknown fields are ignored.
            _ => {}
        }
        None
    }
}
