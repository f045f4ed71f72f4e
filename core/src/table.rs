//! The operators' table: weights and limits of teams, the price list, and policy of targets.
//!
//! # Layout
//!
//! - [`row`] divides the table into rows, each with a key and a version.
//! - [`record`] has the records of the log's stream `config`: edits and snapshots.
//! - [`replica`] applies these records in offset order, with the same result in every router.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Name;

pub mod record;
pub mod replica;
pub mod row;

/// Length of a key's hash in bytes.
pub const KEY_HASH_BYTES: usize = 32;

/// BLAKE3 hash of a team's or operator's key.
pub type KeyHash = [u8; KEY_HASH_BYTES];

/// Row of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Weight of the team's share relative to other teams; greater than 0.
    pub weight: f64,
    /// Hashes of the keys that identify the team.
    pub key_hashes: Vec<KeyHash>,
    /// Classes that the team may use; all if empty.
    pub classes: Vec<Name>,
    /// Limits on the team's requests.
    pub limits: Limits,
}

/// Limits of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of requests in progress in the fleet; `None` if unlimited.
    pub max_concurrent_requests: Option<u32>,
    /// Maximum rate of charged tokens in the fleet, per second; `None` if unlimited.
    pub max_tokens_per_s: Option<u32>,
    /// Maximum number of waiting requests at one router.
    pub max_waiting_requests: u32,
    /// Maximum total size of waiting requests at one router, in bytes.
    pub max_waiting_bytes: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_concurrent_requests: None,
            max_tokens_per_s: None,
            max_waiting_requests: 1000,
            max_waiting_bytes: 16 << 20,
        }
    }
}

/// Row of a class in the price list.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: Name,
    /// Factor by which the cost of requests is multiplied when it is charged.
    pub price_ratio: f64,
    /// Maximum time that a request waits for a slot.
    pub max_wait: Duration,
}

/// Operators' policy for one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetPolicy {
    /// Whether the target gets no new requests.
    pub is_leaving: bool,
    /// Maximum number of concurrent requests, overriding the settings.
    pub max_slots: Option<u32>,
}

/// The whole table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
    /// The price list: classes by name.
    pub classes: BTreeMap<Name, Class>,
    /// Hashes of the operators' keys.
    pub operator_key_hashes: Vec<KeyHash>,
    /// Class of requests without a class; see [`Table::default_class`].
    pub default_class: Option<Name>,
    /// Policy by target; the default policy applies to others.
    pub targets: BTreeMap<Name, TargetPolicy>,
}

impl Table {
    /// Weight of a team; 1 if the table has no such team.
    pub fn weight(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(1.0, |row| row.weight)
    }

    /// Price factor of a class; 1 if the price list has no such class.
    pub fn price_ratio(&self, class: &str) -> f64 {
        self.classes.get(class).map_or(1.0, |class| class.price_ratio)
    }

    /// Class of requests without a class: the configured one if it exists, else the first by name.
    pub fn default_class(&self) -> Option<&Name> {
        let set = self.default_class.as_ref().filter(|class| self.classes.contains_key(*class));
        set.or_else(|| self.classes.keys().next())
    }

    /// Returns the team that has a key with this hash; the first by name if there are several.
    pub fn team_of_key(&self, hash: &KeyHash) -> Option<&Team> {
        self.teams.values().find(|team| team.key_hashes.contains(hash))
    }

    /// Whether this is the hash of an operator's key.
    pub fn is_operator_key(&self, hash: &KeyHash) -> bool {
        self.operator_key_hashes.contains(hash)
    }
}
