//! The operators' table: teams' weights and limits, the price list, and targets' policy.
//!
//! # Layout
//!
//! - [`row`] takes the table apart into rows, each with a key and a version.
//! - [`record`] holds what the log's stream `config` is made of: edits and snapshots.
//! - [`replica`] applies these records in offset order, the same way in every router.

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

/// One team's row.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Share relative to other teams; greater than 0.
    pub weight: f64,
    /// Hashes of the keys that identify the team.
    pub key_hashes: Vec<KeyHash>,
    /// Classes that the team may use; all if empty.
    pub classes: Vec<Name>,
    /// Limits of the team.
    pub limits: Limits,
}

/// Limits of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most requests in progress in the fleet, if limited.
    pub max_concurrent_requests: Option<u32>,
    /// Most charged tokens a second in the fleet, if limited.
    pub max_tokens_per_s: Option<u32>,
    /// Most requests that wait at one router.
    pub max_waiting_requests: u32,
    /// Most bytes of requests that wait at one router.
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

/// One line of the price list.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class.
    pub name: Name,
    /// Factor on the service charged.
    pub price_ratio: f64,
    /// Longest wait for a slot.
    pub max_wait: Duration,
}

/// What operators say about one target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetPolicy {
    /// Whether the target gets no new work.
    pub is_leaving: bool,
    /// Most requests in progress at once, if other than in the settings.
    pub max_slots: Option<u32>,
}

/// The whole table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Rows by team.
    pub teams: BTreeMap<Name, Team>,
    /// The price list by class.
    pub classes: BTreeMap<Name, Class>,
    /// Hashes of the operators' keys.
    pub operator_key_hashes: Vec<KeyHash>,
    /// Class of requests that name none; see [`Table::default_class`].
    pub default_class: Option<Name>,
    /// Policy by target; a target without a line has none.
    pub targets: BTreeMap<Name, TargetPolicy>,
}

impl Table {
    /// Weight of a team; 1 if the table has no such team.
    pub fn weight(&self, team: &str) -> f64 {
        self.teams.get(team).map_or(1.0, |row| row.weight)
    }

    /// Price factor of a class; 1 if the price list has no such class.
    pub fn price_ratio(&self, class: &str) -> f64 {
        self.classes.get(class).map_or(1.0, |line| line.price_ratio)
    }

    /// Class of requests that name none: the one set, or else the first by name.
    pub fn default_class(&self) -> Option<&Name> {
        let set = self.default_class.as_ref().filter(|class| self.classes.contains_key(*class));
        set.or_else(|| self.classes.keys().next())
    }

    /// Team with a key of this hash; the first by name if several have it.
    pub fn team_of_key(&self, hash: &KeyHash) -> Option<&Team> {
        self.teams.values().find(|team| team.key_hashes.contains(hash))
    }

    /// Whether an operator has a key of this hash.
    pub fn is_operator_key(&self, hash: &KeyHash) -> bool {
        self.operator_key_hashes.contains(hash)
    }
}
