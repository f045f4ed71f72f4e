//! Settings of a router that runs on the platform.
//!
//! As in [`settings`], the text is JSON with comments, and every mistake is reported with its line and
//! key.

use std::net;
use std::sync;
use std::time::Duration;

use crate::settings::{self, check};

pub use crate::generated::edge::*;

/// JSON schema of the settings; see [`EdgeSettings`].
pub const SCHEMA: &str = include_str!("../schema/edge.schema.json");

/// Parses and validates a settings text.
///
/// # Errors
///
/// All mistakes of the text, sorted by line.
pub fn parse(text: &str) -> Result<EdgeSettings, Vec<settings::Mistake>> {
    static VALIDATOR: sync::LazyLock<jsonschema::Validator> =
        sync::LazyLock::new(|| settings::validator(SCHEMA));
    settings::parse_checked(text, &VALIDATOR, check_addrs)
}

/// Converts a setting in milliseconds; the schema bounds its size.
#[must_use]
pub fn duration_ms(ms: f64) -> Duration {
    duration_s(ms / 1e3)
}

/// Converts a setting in seconds; the schema bounds its size.
#[must_use]
pub fn duration_s(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

/// Reports invalid addresses, which the schema can't express.
fn check_addrs(json: &serde_json::Value) -> Vec<check::Found> {
    const ADDRS: [&str; 5] = [
        "/listen/callers_addr",
        "/listen/readiness_addr",
        "/listen/operators_addr",
        "/listen/peers_addr",
        "/store/addr",
    ];
    let texts =
        ADDRS.iter().filter_map(|pointer| Some((pointer, json.pointer(pointer)?.as_str()?)));
    let invalid = texts.filter(|(_, text)| text.parse::<net::SocketAddr>().is_err());
    let found = invalid.map(|(pointer, text)| check::Found {
        pointer: (*pointer).to_string(),
        message: format!("{text:?} isn't an IP address and port"),
    });
    found.collect()
}
