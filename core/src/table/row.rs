//! Rows of the table, the unit of an edit.

use std::collections::BTreeMap;
use std::fmt;

use quick_error::quick_error;

use super::{Class, KeyHash, Table, TargetPolicy, Team};
use crate::ids::Name;

/// Identifies a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RowKey {
    /// Settings for all teams.
    Defaults,
    /// Keys of the operators.
    Operators,
    /// A class of the price list.
    Class(Name),
    /// A team.
    Team(Name),
    /// Policy of a target.
    Target(Name),
}

impl RowKey {
    /// Kind of the row in records and on the command line.
    pub fn kind(&self) -> &'static str {
        match self {
            RowKey::Defaults => "defaults",
            RowKey::Operators => "operators",
            RowKey::Class(_) => "class",
            RowKey::Team(_) => "team",
            RowKey::Target(_) => "target",
        }
    }

    /// Name of the team, class or target; empty for kinds with a single row.
    pub fn name(&self) -> &str {
        match self {
            RowKey::Defaults | RowKey::Operators => "",
            RowKey::Class(name) | RowKey::Team(name) | RowKey::Target(name) => name,
        }
    }

    /// Creates a key from a kind and a name; `None` if the kind is unknown or doesn't match the
    /// name.
    pub fn new(kind: &str, name: &str) -> Option<RowKey> {
        match (kind, name) {
            ("defaults", "") => Some(RowKey::Defaults),
            ("operators", "") => Some(RowKey::Operators),
            (_, "") => None,
            ("class", _) => Some(RowKey::Class(name.into())),
            ("team", _) => Some(RowKey::Team(name.into())),
            ("target", _) => Some(RowKey::Target(name.into())),
            _ => None,
        }
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RowKey::Defaults | RowKey::Operators => f.write_str(self.kind()),
            _ => write!(f, "{}:{}", self.kind(), self.name()),
        }
    }
}

/// Content of a row.
#[derive(Clone, Debug, PartialEq)]
pub enum Row {
    /// Content of [`RowKey::Defaults`].
    Defaults {
        /// Class of requests without a class.
        default_class: Option<Name>,
    },
    /// Content of [`RowKey::Operators`].
    Operators {
        /// Hashes of the operators' keys.
        key_hashes: Vec<KeyHash>,
    },
    /// Content of [`RowKey::Class`].
    Class(Class),
    /// Content of [`RowKey::Team`].
    Team(Team),
    /// Content of [`RowKey::Target`].
    Target(Name, TargetPolicy),
}

quick_error! {
    /// Reason why an edit of a row is invalid.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RowError {
        /// The value of a field is out of bounds.
        Bounds(key: RowKey, field: &'static str) {
            display("{key}: {field} is out of bounds")
        }
        /// The row has no operator key, so that nobody could edit the table any more.
        NoOperator {
            display("the table needs an operators' key")
        }
        /// The row is the only one of its kind and can't be removed.
        NotRemovable(key: RowKey) {
            display("{key} can't be removed")
        }
    }
}

/// Maximum weight of a team and price of a class.
pub const MAX_RATIO: f64 = 1e6;

impl Row {
    /// Key of the row.
    pub fn key(&self) -> RowKey {
        match self {
            Row::Defaults { .. } => RowKey::Defaults,
            Row::Operators { .. } => RowKey::Operators,
            Row::Class(class) => RowKey::Class(class.name.clone()),
            Row::Team(team) => RowKey::Team(team.name.clone()),
            Row::Target(name, _) => RowKey::Target(name.clone()),
        }
    }

    /// Checks the content of the row, regardless of the rest of the table.
    ///
    /// # Errors
    ///
    /// Fails if a field is out of bounds or the row would leave no operator key.
    pub fn check(&self) -> Result<(), RowError> {
        let is_ratio = |ratio: f64| ratio > 0.0 && ratio <= MAX_RATIO;
        let bounds = |fits: bool, field| match fits {
            true => Ok(()),
            false => Err(RowError::Bounds(self.key(), field)),
        };
        match self {
            Row::Team(team) => {
                bounds(is_ratio(team.weight), "weight")?;
                bounds(team.limits.max_waiting_requests > 0, "max_waiting_requests")
            }
            Row::Class(class) => {
                bounds(is_ratio(class.price_ratio), "price_ratio")?;
                bounds(!class.max_wait.is_zero(), "max_wait_ms")
            }
            Row::Operators { key_hashes } if key_hashes.is_empty() => Err(RowError::NoOperator),
            Row::Target(_, policy) => bounds(policy.max_slots != Some(0), "max_slots"),
            Row::Operators { .. } | Row::Defaults { .. } => Ok(()),
        }
    }
}

/// A row with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedRow {
    /// Log offset of the last edit of the row plus 1; 0 if there is none.
    ///
    /// Offsets are unique, so a row that is removed and created again never repeats a version.
    pub version: u64,
    /// Content of the row; `None` if it was removed.
    pub row: Option<Row>,
}

/// Rows by key.
pub type Rows = BTreeMap<RowKey, VersionedRow>;

/// Splits a table into rows with version 0.
pub fn rows_of(table: &Table) -> Rows {
    let defaults = Row::Defaults { default_class: table.default_class.clone() };
    let operators = Row::Operators { key_hashes: table.operator_key_hashes.clone() };
    let classes = table.classes.values().cloned().map(Row::Class);
    let teams = table.teams.values().cloned().map(Row::Team);
    let targets = table.targets.iter();
    let targets = targets.map(|(name, policy)| Row::Target(name.clone(), policy.clone()));
    let rows = [defaults, operators].into_iter().chain(classes).chain(teams).chain(targets);
    rows.map(|row| (row.key(), VersionedRow { version: 0, row: Some(row) })).collect()
}

/// Builds a table from rows.
pub fn table_of(rows: &Rows) -> Table {
    let mut table = Table::default();
    for row in rows.values().filter_map(|row| row.row.as_ref()) {
        match row {
            Row::Defaults { default_class } => table.default_class.clone_from(default_class),
            Row::Operators { key_hashes } => table.operator_key_hashes.clone_from(key_hashes),
            Row::Class(class) => {
                table.classes.insert(class.name.clone(), class.clone());
            }
            Row::Team(team) => {
                table.teams.insert(team.name.clone(), team.clone());
            }
            Row::Target(name, policy) => {
                table.targets.insert(name.clone(), policy.clone());
            }
        }
    }
    table
}
