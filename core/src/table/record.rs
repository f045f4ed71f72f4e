//! Records of the log's stream `config`.

use super::row::{Row, RowKey, Rows};
use crate::ids::Name;

/// Name of the stream in the log.
pub const STREAM: &str = "config";

/// Identifies an edit, so that its record is known again in the log.
pub type EditId = Name;

/// Replaces or removes one row.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// Identifies the edit; chosen by its sender, never used twice.
    pub id: EditId,
    /// Who made the edit, for the history.
    pub operator: Name,
    /// The row.
    pub key: RowKey,
    /// Version of the row that the edit builds on; the edit is void at any other.
    pub base_version: u64,
    /// New content; absent to remove the row.
    pub row: Option<Row>,
}

/// The whole table at one place of the log.
///
/// A snapshot lies behind its place: between the two, the log may hold edits that the snapshot
/// doesn't.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Offset of the first record that the snapshot doesn't hold.
    pub as_of_offset: u64,
    /// The rows, with their versions.
    pub rows: Rows,
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// An edit of one row.
    Edit(Edit),
    /// The whole table.
    Snapshot(Snapshot),
    /// A kind that a newer version writes; it changes nothing here.
    Unknown,
    /// Bytes that aren't a record.
    Malformed,
}

/// A record with its place in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Time at which the log took the record, in milliseconds since 1970.
    pub at_ms: u64,
    /// Content.
    pub record: Record,
}
