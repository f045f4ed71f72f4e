//! Reads settings: JSON with comments, checked against the schema.
//!
//! [`parse`] reports every mistake at once, each with its line and key.

use std::fmt;
use std::sync;

use jsonc_parser::{ast, common};

pub use crate::generated::settings::*;

/// The JSON schema of the settings.
pub const SCHEMA: &str = include_str!("../schema/settings.schema.json");

/// Largest settings text that is read, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 16 << 20;

/// One mistake in a settings text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mistake {
    /// Line of the mistake, counted from 1.
    pub line: usize,
    /// Path of the key, such as `models[0].targets[2].addr`; empty for the whole text.
    pub key: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            write!(f, "line {}: {}", self.line, self.message)
        } else {
            write!(f, "line {}: {}: {}", self.line, self.key, self.message)
        }
    }
}

/// Parses and checks a settings text.
///
/// # Errors
///
/// All mistakes of the text: its syntax, types, bounds, unknown keys and missing keys.
pub fn parse(text: &str) -> Result<Settings, Vec<Mistake>> {
    if text.len() > MAX_SETTINGS_BYTES {
        let message = format!("longer than {MAX_SETTINGS_BYTES} bytes");
        return Err(vec![Mistake { line: 1, key: String::new(), message }]);
    }
    let (root, json) = parse_jsonc(text)?;
    let places = Places { text, root: &root };
    let mistakes = schema_mistakes(&places, &json);
    if !mistakes.is_empty() {
        return Err(mistakes);
    }
    serde_json::from_value(json).map_err(|err| vec![places.mistake("", err.to_string())])
}

/// Finds the places of keys in a settings text, for checks beyond the schema.
///
/// # Errors
///
/// The text's syntax is wrong.
pub fn locate(text: &str, pointers: &[(String, String)]) -> Result<Vec<Mistake>, Vec<Mistake>> {
    let (root, _) = parse_jsonc(text)?;
    let places = Places { text, root: &root };
    Ok(pointers.iter().map(|(at, message)| places.mistake(at, message.clone())).collect())
}

fn parse_jsonc(text: &str) -> Result<(ast::Value<'_>, serde_json::Value), Vec<Mistake>> {
    let options = jsonc_parser::ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        ..jsonc_parser::ParseOptions::default()
    };
    let parsed =
        jsonc_parser::parse_to_ast(text, &jsonc_parser::CollectOptions::default(), &options)
            .map_err(|err| {
                let line = err.line_display();
                vec![Mistake { line, key: String::new(), message: err.kind().to_string() }]
            })?;
    let Some(root) = parsed.value else {
        return Err(vec![Mistake { line: 1, key: String::new(), message: "empty".to_string() }]);
    };
    let json = serde_json::Value::from(root.clone());
    Ok((root, json))
}

fn schema_mistakes(places: &Places<'_>, json: &serde_json::Value) -> Vec<Mistake> {
    static VALIDATOR: sync::LazyLock<jsonschema::Validator> = sync::LazyLock::new(|| {
        let schema = serde_json::from_str(SCHEMA).expect("the schema is valid JSON");
        jsonschema::validator_for(&schema).expect("the schema is valid")
    });
    let mut mistakes = Vec::new();
    for err in VALIDATOR.iter_errors(json) {
        let at = err.instance_path().as_str();
        if let jsonschema::error::ValidationErrorKind::AdditionalProperties { unexpected } =
            err.kind()
        {
            mistakes.extend(
                unexpected
                    .iter()
                    .map(|key| places.mistake(&format!("{at}/{key}"), "unknown key".to_string())),
            );
            continue;
        }
        mistakes.push(places.mistake(at, err.to_string()));
    }
    mistakes.sort_by_key(|mistake| mistake.line);
    mistakes
}

/// Maps JSON pointers to lines and readable keys.
struct Places<'a> {
    text: &'a str,
    root: &'a ast::Value<'a>,
}

impl Places<'_> {
    fn mistake(&self, pointer: &str, message: String) -> Mistake {
        let (start_byte, key) = self.find(pointer);
        let line = 1 + self.text[..start_byte].bytes().filter(|byte| *byte == b'\n').count();
        Mistake { line, key, message }
    }

    fn find(&self, pointer: &str) -> (usize, String) {
        let mut value = self.root;
        let mut start = common::Ranged::start(value);
        let mut key = String::new();
        for part in pointer.split('/').skip(1) {
            let part = part.replace("~1", "/").replace("~0", "~");
            let child = match value {
                ast::Value::Object(object) => {
                    if !key.is_empty() {
                        key.push('.');
                    }
                    key.push_str(&part);
                    object.get(&part).map(|prop| (common::Ranged::start(prop), &prop.value))
                }
                ast::Value::Array(array) => {
                    key.push_str(&format!("[{part}]"));
                    let index = part.parse::<usize>().ok();
                    let item = index.and_then(|index| array.elements.get(index));
                    item.map(|item| (common::Ranged::start(item), item))
                }
                _ => None,
            };
            let Some((child_start, child)) = child else { break };
            (start, value) = (child_start, child);
        }
        (start, key)
    }
}
