//! Assignment of targets to cells, and of fleet roles to routers.
//!
//! The targets of a model or service in a region are split into cells of bounded size. A role, such
//! as a cell's dispatcher, is held by the live router with the greatest hash of role and router
//! (rendezvous hashing). All routers with the same member list agree on the holder, and adding or
//! removing a router reassigns only the roles that this router holds.
//!
//! ```
//! use gentianhinge_core::cell;
//! use gentianhinge_core::ids::Name;
//!
//! let routers = ["r1", "r2", "r3"].map(Name::from);
//! let role = cell::Role::Dispatcher { cell: "assistant/quebec-est/0".into() };
//! let holder = cell::holder(&role, routers.iter()).unwrap();
//! let others = routers.iter().filter(|name| *name != holder);
//! assert_ne!(cell::holder(&role, others), Some(holder));
//! ```

use std::cmp;
use std::collections::BTreeMap;

use crate::ids::Name;

/// A task that one router of the fleet performs at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Role {
    /// Grants the slots of a cell.
    Dispatcher {
        /// Name of the cell.
        cell: Name,
    },
    /// Aggregates the summaries of one zone's cells for one model or service.
    ZoneSummary {
        /// Name of the model or service.
        pool: Name,
        /// Name of the zone.
        zone: Name,
    },
    /// Aggregates the zone summaries of one model or service.
    FleetSummary {
        /// Name of the model or service.
        pool: Name,
    },
    /// Writes snapshots of the table.
    TableWriter,
    /// Writes one shard of the claims.
    ClaimWriter {
        /// Number of the shard.
        shard: u32,
    },
    /// Reads the log on behalf of the routers of a zone.
    LogTailer {
        /// Name of the zone.
        zone: Name,
        /// Number of the reader within the zone.
        index: u32,
    },
}

impl Role {
    /// Hash of the role and a router; the router with the greatest hash holds the role.
    pub fn score(&self, router: &str) -> u64 {
        match self {
            Role::Dispatcher { cell } => hash(&["dispatcher", cell, router]),
            Role::ZoneSummary { pool, zone } => hash(&["zone-summary", pool, zone, router]),
            Role::FleetSummary { pool } => hash(&["fleet-summary", pool, router]),
            Role::TableWriter => hash(&["table-writer", router]),
            Role::ClaimWriter { shard } => hash(&["claim-writer", &shard.to_string(), router]),
            Role::LogTailer { zone, index } => {
                hash(&["log-tailer", zone, &index.to_string(), router])
            }
        }
    }
}

/// Returns the router that holds a role, or `None` if there are no routers.
///
/// On a hash tie the smaller name wins, so that all routers still agree.
pub fn holder<'a>(role: &Role, routers: impl IntoIterator<Item = &'a Name>) -> Option<&'a Name> {
    let score = |router: &&'a Name| (role.score(router), cmp::Reverse(*router));
    routers.into_iter().max_by_key(score)
}

/// Name of a cell, as `pool/region/index`.
pub fn cell_name(pool: &str, region: &str, index: usize) -> Name {
    format!("{pool}/{region}/{index}").into()
}

/// Splits a pool's targets in a region into cells of at most `max_targets`.
///
/// The result depends only on the set of targets. Targets choose a cell by rendezvous hashing, in
/// the order of their own hashes, so that adding or removing a target moves few others.
pub fn assign(
    pool: &str,
    region: &str,
    targets: &[Name],
    max_targets: usize,
) -> BTreeMap<Name, Vec<Name>> {
    let max_targets = max_targets.max(1);
    let cell_count = cell_count(targets.len(), max_targets);
    let names = (0..cell_count).map(|i| cell_name(pool, region, i)).collect::<Vec<_>>();
    let mut cells = names.iter().map(|cell| (cell.clone(), Vec::new())).collect::<BTreeMap<_, _>>();
    let mut order = targets.to_vec();
    order.sort_by_cached_key(|target| (hash(&["order", target]), target.clone()));
    order.dedup();
    for target in order {
        let mut by_score = names.iter().collect::<Vec<_>>();
        by_score.sort_by_cached_key(|cell| cmp::Reverse(hash(&[cell, &target])));
        let not_full = by_score.into_iter().find(|cell| cells[*cell].len() < max_targets);
        if let Some(list) = not_full.and_then(|cell| cells.get_mut(cell)) {
            list.push(target);
        }
    }
    cells.values_mut().for_each(|list| list.sort());
    cells
}

/// Number of cells. About a fifth of the capacity is left free, and the number is rounded up to a
/// multiple of a quarter of the preceding power of two.
///
/// The rounding keeps the number stable while targets are added and removed, and a change moves at
/// most a quarter of the targets. The free capacity makes it rare that a target's first choice is
/// full.
fn cell_count(target_count: usize, max_targets: usize) -> usize {
    if target_count <= max_targets {
        return 1;
    }
    let needed = (target_count * 5).div_ceil(max_targets * 4);
    let step = (needed.next_power_of_two() / 8).max(1);
    needed.next_multiple_of(step)
}

/// Hashes a list of names. Each is prefixed by its length, so that lists with the same
/// concatenation hash differently.
fn hash(parts: &[&str]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
