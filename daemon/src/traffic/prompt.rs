//! Parses the few fields of a model request that the router needs.

use std::fmt;

use gentianhinge_core::code::ResultCode;
use serde::de;
use serde::{Deserialize, Deserializer};

use super::failure::Failure;

/// Bytes per prompt token that are assumed until the engine reports its token counts.
const BYTES_PER_TOKEN: f64 = 4.0;

/// Leading bytes of a prompt that are hashed to choose its preferred targets.
///
/// A longer prefix would separate prompts that share a long beginning, a shorter one would send
/// unrelated prompts to the same target.
pub const PREFIX_BYTES: usize = 1024;

/// The fields of a model request's body that the router needs.
#[derive(Debug, Deserialize)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Whether the response is to be streamed.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    prompt: LeadingText,
    #[serde(default)]
    messages: LeadingText,
}

impl Prompt {
    /// The prompt's first [`PREFIX_BYTES`] bytes; `None` if the prompt is shorter, because affinity
    /// hardly matters for short prompts.
    pub fn prefix(&self) -> Option<&[u8]> {
        let leading = if self.prompt.0.is_empty() { &self.messages.0 } else { &self.prompt.0 };
        (leading.len() >= PREFIX_BYTES).then_some(&leading[..])
    }
}

/// Parses the body of a model request.
///
/// # Errors
///
/// The body isn't a JSON object with the name of a model.
pub fn parse(body: &[u8]) -> Result<Prompt, Failure> {
    serde_json::from_slice::<Prompt>(body)
        .map_err(|err| Failure::new(ResultCode::MalformedRequest, err.to_string()))
}

/// Estimates the number of prompt tokens from the size of the body.
pub fn estimate_tokens(body: &[u8]) -> f64 {
    body.len() as f64 / BYTES_PER_TOKEN
}

/// At most the first [`PREFIX_BYTES`] bytes of the text in a string, a list of strings, or a list
/// of messages.
///
/// Any other JSON value counts as empty: validating it is left to the engine.
#[derive(Debug, Default)]
struct LeadingText(Vec<u8>);

/// One message, or one part of a message's content.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Message {
    role: LeadingText,
    content: LeadingText,
    text: LeadingText,
}

impl LeadingText {
    fn append(&mut self, text: &[u8]) {
        let free_bytes = PREFIX_BYTES.saturating_sub(self.0.len());
        self.0.extend_from_slice(&text[..text.len().min(free_bytes)]);
    }

    fn append_item(&mut self, item: &Item) {
        match item {
            Item::Text(text) => self.append(&text.0),
            Item::Message(message) => {
                for part in [&message.role, &message.content, &message.text] {
                    if !part.0.is_empty() {
                        self.append(&part.0);
                        self.append(b"\n");
                    }
                }
            }
        }
    }
}

impl<'de> Deserialize<'de> for LeadingText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<LeadingText, D::Error> {
        deserializer.deserialize_any(LeadingTextVisitor)
    }
}

struct LeadingTextVisitor;

impl<'de> de::Visitor<'de> for LeadingTextVisitor {
    type Value = LeadingText;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text or a list")
    }

    fn visit_str<E>(self, text: &str) -> Result<LeadingText, E> {
        let mut leading = LeadingText::default();
        leading.append(text.as_bytes());
        Ok(leading)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut items: A) -> Result<LeadingText, A::Error> {
        let mut leading = LeadingText::default();
        while let Some(item) = items.next_element::<Item>()? {
            leading.append_item(&item);
        }
        Ok(leading)
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<LeadingText, A::Error> {
        while map.next_entry::<de::IgnoredAny, de::IgnoredAny>()?.is_some() {}
        Ok(LeadingText::default())
    }

    fn visit_bool<E>(self, _: bool) -> Result<LeadingText, E> {
        Ok(LeadingText::default())
    }

    fn visit_i64<E>(self, _: i64) -> Result<LeadingText, E> {
        Ok(LeadingText::default())
    }

    fn visit_u64<E>(self, _: u64) -> Result<LeadingText, E> {
        Ok(LeadingText::default())
    }

    fn visit_f64<E>(self, _: f64) -> Result<LeadingText, E> {
        Ok(LeadingText::default())
    }

    fn visit_unit<E>(self) -> Result<LeadingText, E> {
        Ok(LeadingText::default())
    }
}

/// An element of a list: a string, or an object that may contain text.
enum Item {
    Text(LeadingText),
    Message(Message),
}

impl<'de> Deserialize<'de> for Item {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Item, D::Error> {
        deserializer.deserialize_any(ItemVisitor)
    }
}

struct ItemVisitor;

impl<'de> de::Visitor<'de> for ItemVisitor {
    type Value = Item;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text or an object")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Item, E> {
        LeadingTextVisitor.visit_str(text).map(Item::Text)
    }

    fn visit_map<A: de::MapAccess<'de>>(self, map: A) -> Result<Item, A::Error> {
        let message = de::value::MapAccessDeserializer::new(map);
        Message::deserialize(message).map(Item::Message)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut items: A) -> Result<Item, A::Error> {
        while items.next_element::<de::IgnoredAny>()?.is_some() {}
        Ok(Item::Text(LeadingText::default()))
    }

    fn visit_u64<E>(self, _: u64) -> Result<Item, E> {
        Ok(Item::Text(LeadingText::default()))
    }

    fn visit_i64<E>(self, _: i64) -> Result<Item, E> {
        Ok(Item::Text(LeadingText::default()))
    }
}
