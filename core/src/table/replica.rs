//! One router's replica of the table, built from the stream `config`.
//!
//! A replica has a *base*: the rows after all records before an offset. Records that directly
//! follow the base are applied one by one. If there is no base yet, or the log has dropped records
//! that the base doesn't include, there is a gap. Records are then buffered until a snapshot or a
//! peer's state closes the gap.
//!
//! # Invariants
//!
//! - The offset of the base never decreases. An older snapshot is ignored, so a writer that was
//!   paused can't revert an edit.
//! - Whether an edit is accepted depends only on the records before it, so all routers agree.

use std::collections::{BTreeMap, VecDeque};
use std::sync;

use super::Table;
use super::record::{Edit, EditId, LogRecord, Record, Snapshot};
use super::row::{RowError, RowKey, Rows, VersionedRow, table_of};

/// Maximum number of records that are buffered while there is a gap.
pub const MAX_PENDING_RECORDS: usize = 100_000;

/// Maximum number of edits in the history.
pub const MAX_HISTORY_EDITS: usize = 10_000;

/// Outcome of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// The edit was applied.
    Accepted {
        /// Offset of the edit's record.
        offset: u64,
    },
    /// The row had another version than the edit's base; the edit was rejected.
    Conflict {
        /// Offset of the edit's record.
        offset: u64,
        /// The row as of the edit's offset.
        present: VersionedRow,
    },
    /// The edit failed [`check_edit`] and was rejected.
    Invalid {
        /// Offset of the edit's record.
        offset: u64,
    },
}

impl EditOutcome {
    /// Offset of the edit's record.
    pub fn offset(&self) -> u64 {
        match self {
            EditOutcome::Accepted { offset }
            | EditOutcome::Conflict { offset, .. }
            | EditOutcome::Invalid { offset } => *offset,
        }
    }
}

/// An edit from the log with its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEntry {
    /// Time at which the edit was appended to the log, in milliseconds since 1970.
    pub at_ms: u64,
    /// The edit.
    pub edit: Edit,
    /// Outcome of the edit.
    pub outcome: EditOutcome,
}

/// Number of records by how they were processed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Edits that were applied.
    pub accepted_edits: u64,
    /// Edits that were rejected.
    pub rejected_edits: u64,
    /// Records that couldn't be decoded.
    pub malformed_records: u64,
    /// Records of an unknown kind.
    pub unknown_records: u64,
    /// Snapshots from the log that became the base.
    pub applied_snapshots: u64,
}

/// One router's replica of the table.
#[derive(Debug, Default)]
pub struct Replica {
    base: Option<Base>,
    gap: Option<Gap>,
    usable_snapshot: Option<SnapshotPosition>,
    history: VecDeque<HistoryEntry>,
    outcomes: BTreeMap<EditId, EditOutcome>,
    counts: Counts,
}

#[derive(Debug)]
struct Base {
    /// Offset of the first record that the rows don't include.
    next_offset: u64,
    rows: Rows,
    table: sync::Arc<Table>,
    /// Whether the rows have changed since `table` was built.
    is_table_stale: bool,
}

/// Buffered records that don't directly follow the base.
#[derive(Debug)]
struct Gap {
    start_offset: u64,
    records: VecDeque<LogRecord>,
}

impl Gap {
    fn end_offset(&self) -> u64 {
        self.start_offset + self.records.len() as u64
    }
}

/// Position of a snapshot in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotPosition {
    /// Offset of the snapshot's record.
    pub offset: u64,
    /// Offset of the first record that the snapshot doesn't include.
    pub as_of_offset: u64,
    /// Time at which the snapshot was appended to the log, in milliseconds since 1970.
    pub at_ms: u64,
}

impl Replica {
    /// Creates a replica without a table.
    pub fn new() -> Replica {
        Replica::default()
    }

    /// Offset of the next record to read from the log.
    pub fn read_offset(&self) -> u64 {
        let base = self.base.as_ref().map_or(0, |base| base.next_offset);
        self.gap.as_ref().map_or(base, |gap| gap.end_offset())
    }

    /// Offset of the first record that the table in force doesn't include; `None` without a table.
    pub fn applied_offset(&self) -> Option<u64> {
        self.base.as_ref().map(|base| base.next_offset)
    }

    /// The table in force, if any.
    pub fn table(&self) -> Option<sync::Arc<Table>> {
        self.base.as_ref().map(|base| base.table.clone())
    }

    /// Rows of the table in force, if any.
    pub fn rows(&self) -> Option<&Rows> {
        self.base.as_ref().map(|base| &base.rows)
    }

    /// Whether records between the table in force and those read from the log are missing.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Number of processed records since the replica was created.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Outcome of an edit, if its record was applied and is in the history.
    pub fn outcome(&self, id: &str) -> Option<&EditOutcome> {
        self.outcomes.get(id)
    }

    /// The last edits from the log, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// Position of the newest snapshot from which a router without state could start.
    ///
    /// `first_offset` is the oldest offset that the log keeps. A snapshot is usable only if the log
    /// still has it and every record from its `as_of_offset` on.
    pub fn usable_snapshot(&self, first_offset: u64) -> Option<SnapshotPosition> {
        let is_usable = |position: &SnapshotPosition| {
            position.offset >= first_offset && position.as_of_offset >= first_offset
        };
        self.usable_snapshot.filter(is_usable)
    }

    /// Returns the state as a snapshot, for the log or for peers.
    pub fn export(&self) -> Option<Snapshot> {
        let base = self.base.as_ref()?;
        Some(Snapshot { as_of_offset: base.next_offset, rows: base.rows.clone() })
    }

    /// Replaces the state by that of a peer if the peer has applied more records.
    ///
    /// Returns whether the state was replaced.
    pub fn import(&mut self, state: Snapshot) -> bool {
        let is_older = self.base.as_ref().is_some_and(|b| b.next_offset >= state.as_of_offset);
        if is_older {
            return false;
        }
        self.rebase(state);
        self.close_gap();
        self.rebuild_table();
        true
    }

    /// Applies records read from the log, in offset order.
    ///
    /// `log_first_offset` is the oldest offset that the log keeps.
    pub fn apply_records(&mut self, log_first_offset: u64, records: Vec<LogRecord>) {
        self.update_log_start(log_first_offset);
        for record in records {
            self.process(record);
        }
        self.rebuild_table();
    }

    fn update_log_start(&mut self, log_first_offset: u64) {
        let is_behind = self.read_offset() < log_first_offset;
        // Without a base, records are buffered even from the start of the log.
        if is_behind || (self.base.is_none() && self.gap.is_none()) {
            self.gap = Some(Gap { start_offset: log_first_offset, records: VecDeque::new() });
        }
    }

    fn process(&mut self, record: LogRecord) {
        if record.offset != self.read_offset() {
            // A duplicate or out of order; the next read starts at the right offset.
            return;
        }
        self.count(&record.record);
        self.record_snapshot(&record);
        if self.gap.is_none() {
            self.apply(record);
            return;
        }
        let snapshot = match &record.record {
            Record::Snapshot(snapshot) => Some(snapshot.clone()),
            _ => None,
        };
        self.buffer(record);
        if let Some(snapshot) = snapshot {
            self.try_snapshot(snapshot);
        }
    }

    fn count(&mut self, record: &Record) {
        match record {
            Record::Malformed => self.counts.malformed_records += 1,
            Record::Unknown => self.counts.unknown_records += 1,
            Record::Edit(_) | Record::Snapshot(_) => {}
        }
    }

    fn record_snapshot(&mut self, record: &LogRecord) {
        let Record::Snapshot(snapshot) = &record.record else { return };
        // The snapshot with the greater `as_of_offset` stays usable for longer.
        let newest = self.usable_snapshot.map_or(0, |position| position.as_of_offset);
        if snapshot.as_of_offset <= record.offset && snapshot.as_of_offset >= newest {
            self.usable_snapshot = Some(SnapshotPosition {
                offset: record.offset,
                as_of_offset: snapshot.as_of_offset,
                at_ms: record.at_ms,
            });
        }
    }

    fn buffer(&mut self, record: LogRecord) {
        let Some(gap) = self.gap.as_mut() else { return };
        gap.records.push_back(record);
        if gap.records.len() > MAX_PENDING_RECORDS {
            gap.records.pop_front();
            gap.start_offset += 1;
        }
    }

    /// Uses a snapshot from the log as the base if all records since its `as_of_offset` are
    /// buffered.
    fn try_snapshot(&mut self, snapshot: Snapshot) {
        let Some(gap) = self.gap.as_ref() else { return };
        let as_of = snapshot.as_of_offset;
        // A gap starts after the base, so a snapshot that closes it is newer than the base.
        if as_of >= gap.start_offset && as_of < gap.end_offset() {
            self.counts.applied_snapshots += 1;
            self.rebase(snapshot);
            self.close_gap();
        }
    }

    fn rebase(&mut self, state: Snapshot) {
        self.base = Some(Base {
            next_offset: state.as_of_offset,
            rows: state.rows,
            table: sync::Arc::default(),
            is_table_stale: true,
        });
    }

    /// Rebuilds the table, once for all records of a read, which may be thousands.
    fn rebuild_table(&mut self) {
        let Some(base) = self.base.as_mut().filter(|base| base.is_table_stale) else { return };
        base.table = sync::Arc::new(table_of(&base.rows));
        base.is_table_stale = false;
    }

    /// Applies the buffered records if the base now reaches them.
    fn close_gap(&mut self) {
        let Some(base) = self.base.as_ref() else { return };
        let reaches_base = |gap: &mut Gap| gap.start_offset <= base.next_offset;
        let Some(gap) = self.gap.take_if(reaches_base) else { return };
        for record in gap.records {
            self.apply(record);
        }
    }

    /// Applies a record if it directly follows the base; any other is skipped.
    fn apply(&mut self, record: LogRecord) {
        let Some(base) = self.base.as_mut() else { return };
        if record.offset != base.next_offset {
            return;
        }
        base.next_offset += 1;
        let Record::Edit(edit) = record.record else { return };
        let outcome = apply_edit(&mut base.rows, &edit, record.offset);
        if matches!(outcome, EditOutcome::Accepted { .. }) {
            base.is_table_stale = true;
            self.counts.accepted_edits += 1;
        } else {
            self.counts.rejected_edits += 1;
        }
        self.record_edit(HistoryEntry { at_ms: record.at_ms, edit, outcome });
    }

    fn record_edit(&mut self, entry: HistoryEntry) {
        // The first record of an edit id determines the outcome; a repeated append is rejected.
        self.outcomes.entry(entry.edit.id.clone()).or_insert_with(|| entry.outcome.clone());
        self.history.push_back(entry);
        if self.history.len() > MAX_HISTORY_EDITS
            && let Some(old) = self.history.pop_front()
        {
            let offset = old.outcome.offset();
            if self.outcomes.get(&old.edit.id).is_some_and(|kept| kept.offset() == offset) {
                self.outcomes.remove(&old.edit.id);
            }
        }
    }
}

/// Applies an edit to the rows if its base version equals the version of the row.
fn apply_edit(rows: &mut Rows, edit: &Edit, offset: u64) -> EditOutcome {
    if check_edit(edit).is_err() {
        return EditOutcome::Invalid { offset };
    }
    let absent = VersionedRow { version: 0, row: None };
    let present = rows.get(&edit.key).unwrap_or(&absent);
    if present.version != edit.base_version {
        return EditOutcome::Conflict { offset, present: present.clone() };
    }
    // A removed row keeps its version, so that an edit based on an older version is rejected.
    let row = VersionedRow { version: offset + 1, row: edit.row.clone() };
    rows.insert(edit.key.clone(), row);
    EditOutcome::Accepted { offset }
}

/// Checks an edit regardless of the rest of the table.
///
/// # Errors
///
/// Fails if the row has another key than the edit, has invalid content, or can't be removed.
pub fn check_edit(edit: &Edit) -> Result<(), RowError> {
    match (&edit.key, &edit.row) {
        (RowKey::Defaults | RowKey::Operators, None) => {
            Err(RowError::NotRemovable(edit.key.clone()))
        }
        (_, None) => Ok(()),
        (key, Some(row)) if row.key() != *key => Err(RowError::Bounds(key.clone(), "key")),
        (_, Some(row)) => row.check(),
    }
}
