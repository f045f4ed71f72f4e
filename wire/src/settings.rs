//! Reads settings: JSON with comments, checked against the schema and beyond it.
//!
//! [`parse`] reports every mistake at once, each with its line and key.
//!
//! # Checks
//!
//! The schema states types, bounds and keys. [`check`] adds what a schema can't state: addresses
//! that parse, names that are unique, references that lead somewhere. Both run over the same JSON
//! value, so that a wrong type in one place hides no mistake in another.

use std::fmt;
use std::fs;
use std::io::{self, Read};
use std::path;
use std::sync;

use quick_error::quick_error;

pub mod check;
pub mod places;

pub use crate::generated::settings::*;

/// The JSON schema of the settings.
pub const SCHEMA: &str = include_str!("../schema/settings.schema.json");

/// Largest settings text that is read, in bytes.
pub const MAX_SETTINGS_BYTES: usize = 16 << 20;

/// Most mistakes that are reported for one text.
pub const MAX_MISTAKES: usize = 1_000;

/// Largest integer that JSON numbers hold exactly everywhere.
const MAX_SAFE_INTEGER: u64 = (1 << 53) - 1;

/// One mistake in a settings text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
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

quick_error! {
    /// Why no settings could be had from a file.
    #[derive(Debug)]
    pub enum ReadError {
        /// The file can't be read.
        Unreadable(path: path::PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The text holds mistakes.
        Mistakes(path: path::PathBuf, mistakes: Vec<Mistake>) {
            display("{}", display_mistakes(path, mistakes))
        }
    }
}

fn display_mistakes(path: &path::Path, mistakes: &[Mistake]) -> String {
    let path = path.display();
    let lines = mistakes.iter().map(|mistake| format!("{path}: {mistake}"));
    lines.collect::<Vec<_>>().join("\n")
}

/// Reads, parses and checks a settings file; what `--check-settings` and `gentianhinge check` do.
///
/// # Errors
///
/// The file can't be read, isn't UTF-8, or holds mistakes.
pub fn read_file(path: &path::Path) -> Result<Settings, ReadError> {
    let unreadable = |err| ReadError::Unreadable(path.to_path_buf(), err);
    let mut text = String::new();
    // One byte more than may be, so that `parse` sees that the text is too long.
    let limit_bytes = MAX_SETTINGS_BYTES as u64 + 1;
    let file = fs::File::open(path).map_err(unreadable)?;
    file.take(limit_bytes).read_to_string(&mut text).map_err(unreadable)?;
    parse(&text).map_err(|mistakes| ReadError::Mistakes(path.to_path_buf(), mistakes))
}

/// Parses and checks a settings text.
///
/// # Errors
///
/// All mistakes of the text, by line: its syntax, types, bounds, unknown, missing and repeated
/// keys, and what [`check`] finds.
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

/// Parses a text and checks it against a schema and beyond it.
pub(crate) fn parse_checked<T: serde::de::DeserializeOwned>(
    text: &str,
    validator: &jsonschema::Validator,
    check: impl Fn(&serde_json::Value) -> Vec<check::Found>,
) -> Result<T, Vec<Mistake>> {
    if text.len() > MAX_SETTINGS_BYTES {
        let message = format!("longer than {MAX_SETTINGS_BYTES} bytes");
        return Err(vec![Mistake { line: 1, key: String::new(), message }]);
    }
    let (root, mut json) = places::parse_jsonc(text)?;
    integral_floats_to_integers(&mut json);
    let places = places::Places::new(text, &root);
    let mut mistakes = places.repeated_keys();
    mistakes.extend(schema_mistakes(validator, &places, &json));
    let found = check(&json);
    mistakes.extend(found.into_iter().map(|found| places.mistake(&found.pointer, found.message)));
    if !mistakes.is_empty() {
        mistakes.sort();
        mistakes.truncate(MAX_MISTAKES);
        return Err(mistakes);
    }
    serde_json::from_value(json).map_err(|err| vec![places.mistake("", err.to_string())])
}

/// Turns `3.0` into `3`, which the schema calls an integer but the generated types don't.
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

/// Gives each integer the bound that its format implies, so that no value overflows its type.
fn bound_formats(schema: &mut serde_json::Value) {
    if let Some(items) = schema.as_array_mut() {
        items.iter_mut().for_each(bound_formats);
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
    map.values_mut().for_each(bound_formats);
}

/// Compiles one of the crate's own schemas.
pub(crate) fn validator(schema: &str) -> jsonschema::Validator {
    let mut schema = serde_json::from_str(schema).expect("the schema is valid JSON");
    bound_formats(&mut schema);
    jsonschema::validator_for(&schema).expect("the schema is valid")
}

fn schema_mistakes(
    validator: &jsonschema::Validator,
    places: &places::Places<'_>,
    json: &serde_json::Value,
) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    for err in validator.iter_errors(json).take(MAX_MISTAKES) {
        let at = err.instance_path().as_str();
        if let jsonschema::error::ValidationErrorKind::AdditionalProperties { unexpected } =
            err.kind()
        {
            mistakes.extend(
                unexpected
                    .iter()
                    // Each place costs a walk over its object's keys.
                    .take(MAX_MISTAKES)
                    .map(|key| places.mistake_of_key(at, key, "unknown key".to_string())),
            );
            continue;
        }
        mistakes.push(places.mistake(at, shorten(err.to_string())));
    }
    mistakes
}

/// Cuts a message that quotes a long value.
fn shorten(message: String) -> String {
    const MAX_CHARS: usize = 200;
    if message.chars().count() <= MAX_CHARS {
        return message;
    }
    // The end of the message says what is wrong with the value that its start quotes.
    let chars = message.chars().collect::<Vec<_>>();
    let start = chars[..MAX_CHARS / 2].iter().collect::<String>();
    let end = chars[chars.len() - MAX_CHARS / 2..].iter().collect::<String>();
    format!("{start} … {end}")
}
