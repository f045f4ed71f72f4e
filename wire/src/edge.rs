//! Settings of a router that runs on the platform.
//!
//! The text has the same form as the other settings, JSON with comments, and is checked the same
//! way: every mistake is reported with its line and key.

use std::net;
use std::sync;

use crate::settings::{self, check};

pub use crate::generated::edge::*;

/// The JSON schema of the settings.
pub const SCHEMA: &str = include_str!("../schema/edge.schema.json");

/// Parses and checks a settings text.
///
/// # Errors
///
/// All mistakes of the text, by line.
pub fn parse(text: &str) -> Result<EdgeSettings, Vec<settings::Mistake>> {
    static VALIDATOR: sync::LazyLock<jsonschema::Validator> =
        sync::LazyLock::new(|| settings::validator(SCHEMA));
    settings::parse_checked(text, &VALIDATOR, check)
}

/// Finds addresses that don't parse, which the schema can't state.
fn check(json: &serde_json::Value) -> Vec<check::Found> {
    const ADDRS: [&str; 5] = [
        "/listen/callers_addr",
        "/listen/readiness_addr",
        "/listen/operators_addr",
        "/listen/peers_addr",
        "/store/addr",
    ];
    let texts = ADDRS.iter().filter_map(|at| Some((at, json.pointer(at)?.as_str()?)));
    let wrong = texts.filter(|(_, text)| text.parse::<net::SocketAddr>().is_err());
    let found = wrong.map(|(at, text)| check::Found {
        pointer: (*at).to_string(),
        message: format!("{text:?} isn't an IP address and port"),
    });
    found.collect()
}
