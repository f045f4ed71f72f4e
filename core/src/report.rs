//! Reports that routers exchange several times per second: the load that each puts on targets.
//!
//! All values are totals of one router, so the next full report makes up for a lost one. Partial
//! reports between full ones only list what changed.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

use crate::ids::Name;

/// Hash of a name, used in place of the name in reports and maps. See [`hash`].
pub type Hash = u64;

/// Hashes a name and a number to 64 bits; `number` is 0 for a name alone. The hash is the same on
/// all routers.
pub fn hash(name: &str, number: u64) -> Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&number.to_le_bytes()).update(name.as_bytes());
    hash_of(&hasher.finalize())
}

/// The first 64 bits of a digest.
pub(crate) fn hash_of(digest: &blake3::Hash) -> Hash {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Map by a `Hash` or another 64-bit id.
pub type HashKeyed<T> = HashMap<Hash, T, BuildHasherDefault<MixHasher>>;

/// Hasher for 64-bit keys, most of which are hashes already: mixes them by one multiplication.
#[derive(Clone, Copy, Debug, Default)]
pub struct MixHasher(u64);

impl Hasher for MixHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        // 64-bit keys don't use this; any mixing function is sufficient.
        self.0 = bytes.iter().fold(self.0, |hash, byte| hash.rotate_left(8) ^ u64::from(*byte));
    }

    fn write_u64(&mut self, key: u64) {
        // Part ids are chosen by callers and may have equal low bits.
        self.0 = key.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(32);
    }
}

/// Report of one router to the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Name of the router.
    pub sender: Name,
    /// Start time of the router, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub seq: u64,
    /// Load by target; all targets with load, or those that changed if not `is_full`.
    pub targets: Vec<TargetLoad>,
    /// Tokens by team; empty in reports without sums.
    pub teams: Vec<TeamUse>,
    /// Requests and retries by service; empty in reports without sums.
    pub services: Vec<ServiceUse>,
    /// Parts of prompts newly sent to targets, which have them cached now.
    pub cached_parts: Vec<CachedPart>,
    /// Whether targets that aren't listed have no load by the sender; otherwise theirs is
    /// unchanged.
    pub is_full: bool,
    /// Latest era of the store that the router knows of.
    pub store_era: u64,
    /// Offsets up to which the router has read the store in this era.
    pub offsets: Offsets,
    /// Polls of the store by the sender, for routers that don't poll themselves.
    pub polls: Vec<Poll>,
    /// Whether the receiver forwards the report to the other routers of its zone.
    pub forward_in_zone: bool,
    /// Some of the crashes that the sender knows of.
    pub crashes: Vec<Crash>,
    /// Parts of reported crashes that the sender has seen answered.
    pub cleared_parts: Vec<u64>,
    /// Targets that ended, with requests that they were running.
    pub ended: Vec<EndedTarget>,
    /// Requests that the sender has seen answered, of those that ended targets were running.
    pub cleared_requests: Vec<Hash>,
    /// Targets with a limit, and those that had one lately.
    pub limits: Vec<TargetLimit>,
    /// Hashes of incarnations that said to the sender that they are leaving.
    pub leaving: Vec<Hash>,
    /// Some of the late records in the registry of targets.
    pub late_records: Vec<LateRecord>,
    /// First events that the sender has seen since its last full report, by target.
    pub first_events: Vec<FirstEvents>,
    /// Streams that have begun, with the versions of their targets.
    pub streams: Vec<StreamVersion>,
    /// Services of which the sender knows targets of more than one version.
    pub mixed_services: Vec<MixedService>,
    /// Whether the sender knows which versions have served lately, also before it started.
    pub knows_versions: bool,
}

/// The software version at which a stream began; see [`crate::stream_versions`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamVersion {
    /// Hash of the id of the caller's attempt that brought the first event.
    pub stream: Hash,
    /// Hash of the version; 0 if unknown.
    pub version: Hash,
}

/// A service whose targets had more than one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MixedService {
    /// Hash of the service's name.
    pub service: Hash,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// How fast a target was, by the first events that one router has seen within some time; see
/// [`crate::speed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FirstEvents {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Time to the first event that was expected at the nominal speed, summed, in milliseconds.
    pub expected_ms: u32,
    /// Time that it took, summed, in milliseconds.
    pub actual_ms: u32,
    /// Time that work takes on the target's host at the moment, as last stated by the target, in
    /// percent of the usual time; 0 if it stated nothing.
    pub host_percent: u32,
}

/// Maximum number of late records in a report.
pub const MAX_LATE_RECORDS: usize = 32;

/// A record of a target that has gone, which lies in the registry because it was written late; see
/// [`crate::incarnations`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRecord {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Number of the heartbeat up to which its records are late.
    pub heartbeat: u64,
}

/// What one router knows of a target's limit; see [`crate::target_limit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLimit {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// What the target stated to the sender; `None` if nothing.
    pub stated: Option<StatedLimit>,
    /// Requests that the sender has sent to the target within the window of the limit.
    pub sent_count: u32,
}

/// Limit that a target stated in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedLimit {
    /// Requests per 1,000 seconds; `None` if the target stated no limit any more.
    pub limit_milli_per_s: Option<u32>,
    /// Time since the response, in milliseconds.
    pub age_ms: u32,
}

/// A request whose answer a target had begun when the target ended; see [`crate::quarantine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Hash of the name of the team that sent the request; 0 without a team.
    pub team: Hash,
    /// Time since the target ended, in milliseconds.
    pub age_ms: u32,
    /// Shared parts of the prompt.
    pub parts: Vec<u64>,
}

/// A target that ended, with requests that it was running; see [`crate::quarantine`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTarget {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Time since the target ended, in milliseconds.
    pub age_ms: u32,
    /// Keys of the requests.
    pub requests: Vec<Hash>,
}

/// A topic of the store that routers follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Configurations.
    Config,
    /// Targets.
    Targets,
    /// Routers.
    Routers,
}

impl Topic {
    /// All topics, in the order of their numbers.
    pub const ALL: [Topic; 3] = [Topic::Config, Topic::Targets, Topic::Routers];

    /// Number of the topic in reports.
    pub fn number(self) -> u64 {
        match self {
            Topic::Config => 0,
            Topic::Targets => 1,
            Topic::Routers => 2,
        }
    }

    /// Name of the topic, for logs.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Config => "config",
            Topic::Targets => "targets",
            Topic::Routers => "routers",
        }
    }
}

/// Position of a router in the topics of the store: offsets after the last record read, by
/// [`Topic::number`].
pub type Offsets = [u64; Topic::ALL.len()];

/// Result of a poll of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The topic.
    pub topic: Topic,
    /// Era of the store.
    pub era: u64,
    /// Whether the records are the newest ones of all keys, instead of those from `from` on.
    pub is_listing: bool,
    /// Offset of the first record.
    pub from: u64,
    /// Offset after the last record.
    pub next_offset: u64,
    /// Offset at which the topic ended; beyond `next_offset` if other parts of the poll follow.
    pub end_offset: u64,
    /// Time since the topic ended there, in milliseconds.
    pub age_ms: u32,
    /// Records from `from` to `next_offset`, without those that `heartbeats` stand for.
    pub records: Vec<Record>,
    /// Offsets of `records`, counted from `from`; empty if they have successive offsets.
    pub record_offsets: Vec<u32>,
    /// What the records at the other offsets say, in their order; see [`crate::relaying`].
    pub heartbeats: Vec<Heartbeat>,
}

/// A record of a target that differs from the one before only by the number of its heartbeat and
/// by the time for which the target stays cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Number of the heartbeat.
    pub number: u64,
    /// How long the target stays cold after this record, in milliseconds; `None` if the record
    /// doesn't say.
    pub cold_ms: Option<u32>,
}

/// A record of a topic; records have successive offsets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key of the record.
    pub key: String,
    /// Value; `None` if the record removes the key.
    pub value: Option<Vec<u8>>,
}

/// Load of a target by requests of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Prompt tokens still to be prefilled: those of requests without a first event.
    pub unread_tokens: u32,
    /// Requests in flight.
    pub running_count: u32,
}

/// Tokens of a team at one router, within the share window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamUse {
    /// Hash of the team's name.
    pub team: Hash,
    /// Tokens of requests that arrived.
    pub asked_tokens: u32,
    /// Tokens of requests that were sent to a target.
    pub begun_tokens: u32,
}

/// Requests and retries for a service at one router, within the retry window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceUse {
    /// Hash of the service's name.
    pub service: Hash,
    /// Requests of callers, without retries.
    pub request_count: u32,
    /// Attempts beyond each request's first.
    pub retry_count: u32,
}

/// A part of a prompt that a target has cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Identity of the part, as in [`crate::prompt::Part`].
    pub part: u64,
}
