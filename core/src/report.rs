//! What routers tell each other several times a second: the load that each has put on targets.
//!
//! All figures are totals of one router, so that a lost report is made good by the next full one.
//! Reports between full ones hold only what has changed.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use crate::ids::Name;

/// Hash of a name, for reports and maps.
pub type Hash = u64;

/// Hashes a name, or a name and a number, to 64 bits.
pub fn hash(name: &str, number: u64) -> Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&number.to_le_bytes()).update(name.as_bytes());
    let digest = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Map by a hash or another number that is spread already.
pub type HashKeyed<T> = HashMap<Hash, T, BuildHasherDefault<SpreadHasher>>;

/// Takes a 64-bit key as its own hash.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpreadHasher(u64);

impl Hasher for SpreadHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        // Not used by 64-bit keys; any mixing will do for others.
        self.0 = bytes.iter().fold(self.0, |hash, byte| hash.rotate_left(8) ^ u64::from(*byte));
    }

    fn write_u64(&mut self, key: u64) {
        // Callers choose ids of parts, which may share their low bits.
        self.0 = key.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(32);
    }
}

/// One router's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Name of the router.
    pub sender: Name,
    /// Start of the router, in milliseconds since 1970.
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    pub seq: u64,
    /// Load by target.
    pub targets: Vec<TargetLoad>,
    /// Tokens by team.
    pub teams: Vec<TeamUse>,
    /// Requests and repeats by service.
    pub services: Vec<ServiceUse>,
    /// Parts of prompts that targets have read lately.
    pub cached_parts: Vec<CachedPart>,
    /// Whether targets that aren't listed have no load of the sender; else they are as before.
    pub is_full: bool,
    /// How far the router has read the store.
    pub offsets: Offsets,
    /// Whether the receiver passes the report on to the other routers of its zone.
    pub forward_in_zone: bool,
}

/// How far a router has read the topics of the store: offsets behind the last record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offsets {
    /// Of the configuration.
    pub config: u64,
    /// Of the targets.
    pub targets: u64,
}

impl Offsets {
    /// The greater of each.
    pub fn max(self, other: Offsets) -> Offsets {
        Offsets { config: self.config.max(other.config), targets: self.targets.max(other.targets) }
    }
}

/// Load that one router has put on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Prompt tokens of requests that have no event yet.
    pub unread_tokens: u32,
    /// Requests in flight.
    pub running_count: u32,
}

/// Tokens of a team at one router, within the share window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamUse {
    /// Hash of the team's name.
    pub team: Hash,
    /// Tokens that the team asked for.
    pub asked_tokens: u32,
    /// Tokens of requests that were sent to a target.
    pub begun_tokens: u32,
}

/// Requests and repeats for a service at one router, within the retry window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceUse {
    /// Hash of the service's name.
    pub service: Hash,
    /// Requests of callers.
    pub request_count: u32,
    /// Attempts beyond each request's first.
    pub retry_count: u32,
}

/// A part of a prompt that a target has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Identity of the part.
    pub part: u64,
}
