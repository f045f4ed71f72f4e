//! The few fields of a model request that the router reads.

use std::fmt;

use gentianhinge_core::code::ResultCode;
use serde::de;
use serde::{Deserialize, Deserializer};

use super::failure::Failure;

/// Bytes of a prompt that are taken for one token until the engine tells the number.
const BYTES_PER_TOKEN: f64 = 4.0;

/// Leading bytes of a prompt that decide which targets may hold its prefix.
///
/// Longer would tell apart prompts that share a long beginning, shorter would send unlike prompts to
/// the same target.
pub const PREFIX_BYTES: usize = 1024;

/// What the router reads of a model request's body.
#[derive(Debug, Deserialize)]
pub struct Prompt {
    /// Name of the model.
    pub model: String,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    prompt: Leading,
    #[serde(default)]
    messages: Leading,
}

impl Prompt {
    /// The prompt's leading bytes, if it is long enough for a prefix to matter.
    pub fn prefix(&self) -> Option<&[u8]> {
        let leading = if self.prompt.0.is_empty() { &self.messages.0 } else { &self.prompt.0 };
        (leading.len() >= PREFIX_BYTES).then_some(&leading[..])
    }
}

/// Reads the body of a model request.
///
/// # Errors
///
/// The body isn't a JSON object with a model's name.
pub fn parse(body: &[u8]) -> Result<Prompt, Failure> {
    serde_json::from_slice::<Prompt>(body)
        .map_err(|err| Failure::new(ResultCode::MalformedRequest, err.to_string()))
}

/// Number of prompt tokens guessed from the size of the body.
pub fn guess_tokens(body: &[u8]) -> f64 {
    body.len() as f64 / BYTES_PER_TOKEN
}

/// At most [`PREFIX_BYTES`] of the text in a string, a list of texts, or a list of messages.
///
/// Anything else counts as empty: the engine judges it, not the router.
#[derive(Debug, Default)]
struct Leading(Vec<u8>);

/// One message, or one part of a message's content.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Message {
    role: Leading,
    content: Leading,
    text: Leading,
}

impl Leading {
    fn append(&mut self, text: &[u8]) {
        let room = PREFIX_BYTES.saturating_sub(self.0.len());
        self.0.extend_from_slice(&text[..text.len().min(room)]);
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

impl<'de> Deserialize<'de> for Leading {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Leading, D::Error> {
        deserializer.deserialize_any(LeadingVisitor)
    }
}

struct LeadingVisitor;

impl<'de> de::Visitor<'de> for LeadingVisitor {
    type Value = Leading;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text or a list")
    }

    fn visit_str<E>(self, text: &str) -> Result<Leading, E> {
        let mut leading = Leading::default();
        leading.append(text.as_bytes());
        Ok(leading)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut items: A) -> Result<Leading, A::Error> {
        let mut leading = Leading::default();
        while let Some(item) = items.next_element::<Item>()? {
            leading.append_item(&item);
        }
        Ok(leading)
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut map: A) -> Result<Leading, A::Error> {
        while map.next_entry::<de::IgnoredAny, de::IgnoredAny>()?.is_some() {}
        Ok(Leading::default())
    }

    fn visit_bool<E>(self, _: bool) -> Result<Leading, E> {
        Ok(Leading::default())
    }

    fn visit_i64<E>(self, _: i64) -> Result<Leading, E> {
        Ok(Leading::default())
    }

    fn visit_u64<E>(self, _: u64) -> Result<Leading, E> {
        Ok(Leading::default())
    }

    fn visit_f64<E>(self, _: f64) -> Result<Leading, E> {
        Ok(Leading::default())
    }

    fn visit_unit<E>(self) -> Result<Leading, E> {
        Ok(Leading::default())
    }
}

/// An element of a list: a text, or an object that may hold texts.
enum Item {
    Text(Leading),
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
        LeadingVisitor.visit_str(text).map(Item::Text)
    }

    fn visit_map<A: de::MapAccess<'de>>(self, map: A) -> Result<Item, A::Error> {
        let message = de::value::MapAccessDeserializer::new(map);
        Message::deserialize(message).map(Item::Message)
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut items: A) -> Result<Item, A::Error> {
        while items.next_element::<de::IgnoredAny>()?.is_some() {}
        Ok(Item::Text(Leading::default()))
    }

    fn visit_u64<E>(self, _: u64) -> Result<Item, E> {
        Ok(Item::Text(Leading::default()))
    }

    fn visit_i64<E>(self, _: i64) -> Result<Item, E> {
        Ok(Item::Text(Leading::default()))
    }
}
