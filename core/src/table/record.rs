//! Records of the log's stream `config`.

use super::row::{Row, RowKey, Rows};
use crate::ids::Name;

/// Name of the stream in the log.
pub const STREAM: &str = "config";

/// Identifies an edit, so that its sender can find its record in the log.
pub type EditId = Name;

/// Replaces or removes one row.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// Id of the edit, chosen by its sender and never reused.
    pub id: EditId,
    /// Name of the operator who made the edit, for the history.
    pub operator: Name,
    /// Key of the row to replace or remove.
    pub key: RowKey,
    /// Version of the row that the edit is based on; the edit is rejected if the row has another.
    pub base_version: u64,
    /// New content of the row; `None` removes it.
    pub row: Option<Row>,
}

/// The whole table as of an offset of the log.
///
/// A snapshot is appended after that offset, so the log may contain edits in between that the
/// snapshot doesn't include.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Offset of the first record that the snapshot doesn't include.
    pub as_of_offset: u64,
    /// All rows with their versions.
    pub rows: Rows,
}

/// A record of the stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// An edit of one row.
    Edit(Edit),
    /// The whole table.
    Snapshot(Snapshot),
    /// A record of an unknown kind, written by a newer version; it is skipped.
    Unknown,
    /// Bytes that can't be decoded.
    Malformed,
}

/// A record with its position in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: u64,
    /// Time at which the record was appended to the log, in milliseconds since 1970.
    pub at_ms: u64,
    /// Content of the record.
    pub record: Record,
}
