//! Parses and validates settings, which are written as JSON with comments.
//!
//! [`parse`] reports all mistakes at once, each with its line and key.
//!
//! # Validation
//!
//! The schema covers types, bounds and keys. [`check`] covers what a schema can't express: valid
//! addresses, unique names and references that resolve. Both validate the same JSON value, so a wrong
//! type in one place doesn't hide mistakes elsewhere.

use std::fmt;
use std::fs;
use std::io::{self, Read};
use std::path;
use std::sync;

use quick_error::quick_error;

pub mod check;
pub mod source_map;

pub use crate::generated::settings::*;

/// JSON schema of the settings; see [`Settings`].
pub const SCHEMA: &str = include_str!("../schema/settings.schema.json");

/// Maximum size of a settings text.
pub const MAX_SETTINGS_BYTES: usize = 16 << 20;

/// Maximum number of mistakes reported for one text.
pub const MAX_MISTAKES: usize = 1_000;

/// Largest integer up to which every JSON implementation is exact: 2^53 - 1.
const MAX_SAFE_INTEGER: u64 = (1 << 53) - 1;

/// One mistake in a settings text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mistake {
    /// Line number, counted from 1.
    pub line: usize,
    /// Path of the key, such as `models[0].targets[2].addr`; empty for the whole text.
    pub key: String,
    /// What is wrong with the value of the key.
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

quick_error! {
    /// Why settings couldn't be read from a file.
    #[derive(Debug)]
    pub enum ReadError {
        /// The file can't be opened or read, or isn't UTF-8.
        Unreadable(path: path::PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The text has mistakes, sorted by line.
        Mistakes(path: path::PathBuf, mistakes: Vec<Mistake>) {
            display("{}", format_mistakes(path, mistakes))
        }
    }
}

fn format_mistakes(path: &path::Path, mistakes: &[Mistake]) -> String {
    let path = path.display();
    let lines = mistakes.iter().map(|mistake| format!("{path}: {mistake}"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Reads, parses and validates a settings file, for `--check-settings` and `gentianhinge check`.
///
/// # Errors
///
/// The file can't be read, isn't UTF-8, or has mistakes.
pub fn read_file(path: &path::Path) -> Result<Settings, ReadError> {
    let unreadable = |err| ReadError::Unreadable(path.to_path_buf(), err);
    let mut text = String::new();
    // One byte beyond the maximum, so that `parse` detects a text that is too long.
    let limit_bytes = MAX_SETTINGS_BYTES as u64 + 1;
    let file = fs::File::open(path).map_err(unreadable)?;
    file.take(limit_bytes).read_to_string(&mut text).map_err(unreadable)?;
    parse(&text).map_err(|mistakes| ReadError::Mistakes(path.to_path_buf(), mistakes))
}

/// Parses and validates a settings text.
///
/// # Errors
///
/// The mistakes of the text, sorted by line: syntax errors, wrong types, values out of bounds,
/// unknown, missing and duplicate keys, and what [`check`] finds. A syntax error is reported alone.
///
/// # Example
///
/// ```
/// let mistakes = gentianhinge_wire::settings::parse("{\n  \"routers\": {}\n}").unwrap_err();
/// assert!(mistakes.iter().any(|mistake| mistake.to_string() == "line 2: routers: unknown key"));
/// ```
pub fn parse(text: &str) -> Result<Settings, Vec<Mistake>> {
    static VALIDATOR: sync::LazyLock<jsonschema::Validator> =
        sync::LazyLock::new(|| validator(SCHEMA));
    parse_checked(text, &VALIDATOR, check::check)
}

/// Parses a text and validates it with a schema and an additional check.
pub(crate) fn parse_checked<T: serde::de::DeserializeOwned>(
    text: &str,
    validator: &jsonschema::Validator,
    check: impl Fn(&serde_json::Value) -> Vec<check::Found>,
) -> Result<T, Vec<Mistake>> {
    if text.len() > MAX_SETTINGS_BYTES {
        let message = format!("the text is longer than {MAX_SETTINGS_BYTES} bytes");
        return Err(vec![Mistake { line: 1, key: String::new(), message }]);
    }
    let (root, mut json) = source_map::parse_jsonc(text)?;
    integral_floats_to_integers(&mut json);
    let source_map = source_map::SourceMap::new(text, &root);
    let mut mistakes = source_map.duplicate_keys();
    mistakes.extend(schema_mistakes(validator, &source_map, &json));
    let found = check(&json);
    mistakes
        .extend(found.into_iter().map(|found| source_map.mistake(&found.pointer, found.message)));
    if !mistakes.is_empty() {
        mistakes.sort();
        mistakes.truncate(MAX_MISTAKES);
        return Err(mistakes);
    }
    serde_json::from_value(json).map_err(|err| vec![source_map.mistake("", err.to_string())])
}

/// Converts `3.0` to `3`. JSON schema accepts both as integers, but the generated types only the
/// latter.
fn integral_floats_to_integers(json: &mut serde_json::Value) {
    match json {
        serde_json::Value::Array(items) => items.iter_mut().for_each(integral_floats_to_integers),
        serde_json::Value::Object(map) => map.values_mut().for_each(integral_floats_to_integers),
        serde_json::Value::Number(number) => {
            let value = number.as_f64().unwrap_or(0.5);
            let is_integral = value >= 0.0 && value.fract() == 0.0;
            if number.is_f64() && is_integral && value <= MAX_SAFE_INTEGER as f64 {
                *number = serde_json::Number::from(value as u64);
            }
        }
        _ => {}
    }
}

/// Adds the bounds that an integer's `format` implies, so that no value overflows its Rust type.
fn add_format_bounds(schema: &mut serde_json::Value) {
    if let Some(items) = schema.as_array_mut() {
        items.iter_mut().for_each(add_format_bounds);
    }
    let Some(map) = schema.as_object_mut() else { return };
    let max = match map.get("format").and_then(|format| format.as_str()) {
        Some("uint16") => Some(u64::from(u16::MAX)),
        Some("uint32") => Some(u64::from(u32::MAX)),
        Some("uint64") => Some(MAX_SAFE_INTEGER),
        _ => None,
    };
    if let Some(max) = max {
        map.entry("maximum").or_insert_with(|| max.into());
        map.entry("minimum").or_insert_with(|| 0.into());
    }
    map.values_mut().for_each(add_format_bounds);
}

/// Compiles a schema of this crate.
pub(crate) fn validator(schema: &str) -> jsonschema::Validator {
    let mut schema = serde_json::from_str(schema).expect("the schema is valid JSON");
    add_format_bounds(&mut schema);
    jsonschema::validator_for(&schema).expect("the schema is valid")
}

fn schema_mistakes(
    validator: &jsonschema::Validator,
    source_map: &source_map::SourceMap<'_>,
    json: &serde_json::Value,
) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    for err in validator.iter_errors(json).take(MAX_MISTAKES) {
        let pointer = err.instance_path().as_str();
        if let jsonschema::error::ValidationErrorKind::AdditionalProperties { unexpected } =
            err.kind()
        {
            mistakes.extend(
                unexpected
                    .iter()
                    // Locating each mistake takes a search of the object's keys.
                    .take(MAX_MISTAKES)
                    .map(|key| source_map.mistake_at_key(pointer, key, "unknown key".to_string())),
            );
            continue;
        }
        mistakes.push(source_map.mistake(pointer, shorten_message(err.to_string())));
    }
    mistakes
}

/// Removes the middle of a message that quotes a long value. The end is included, since it states
/// the violated constraint.
fn shorten_message(message: String) -> String {
    const MAX_CHARS: usize = 200;
    if message.chars().count() <= MAX_CHARS {
        return message;
    }
    let chars = message.chars().collect::<Vec<_>>();
    let start = chars[..MAX_CHARS / 2].iter().collect::<String>();
    let end = chars[chars.len() - MAX_CHARS / 2..].iter().collect::<String>();
    format!("{start} … {end}")
}
