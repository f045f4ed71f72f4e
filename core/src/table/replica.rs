//! The state that one router makes of the stream `config`.
//!
//! A replica holds a *base*: the rows as they are after all records before an offset. Records that
//! follow on the base are applied one by one. If the log has dropped records that the base lacks,
//! or there is no base yet, records are gathered until a snapshot or a peer's state closes the
//! gap.
//!
//! # Invariants
//!
//! - The base only moves forward by offset. A snapshot older than it changes nothing, so a writer
//!   that was paused can't take an edit back.
//! - Whether an edit is void depends on nothing but the records before it, so all routers agree.

use std::collections::{BTreeMap, VecDeque};
use std::sync;

use super::Table;
use super::record::{Edit, EditId, LogRecord, Record, Snapshot};
use super::row::{RowError, RowKey, Rows, VersionedRow, table_of};

/// Most records that are gathered while there is a gap.
pub const MAX_PENDING_RECORDS: usize = 100_000;

/// Most edits whose outcome is remembered.
pub const MAX_HISTORY_EDITS: usize = 10_000;

/// What an edit came to.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// The edit is in force from its offset on.
    Accepted {
        /// Offset of the edit's record.
        offset: u64,
    },
    /// The row had another version; the edit changed nothing.
    Conflict {
        /// Offset of the edit's record.
        offset: u64,
        /// The row that was present.
        present: VersionedRow,
    },
    /// The row can't stand in the table; the edit changed nothing.
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

/// An edit that the log holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HistoryEntry {
    /// Time at which the log took the edit, in milliseconds since 1970.
    pub at_ms: u64,
    /// The edit.
    pub edit: Edit,
    /// What it came to.
    pub outcome: EditOutcome,
}

/// Counts of records by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Edits in force.
    pub accepted_edits: u64,
    /// Edits that changed nothing.
    pub void_edits: u64,
    /// Records that can't be read.
    pub malformed_records: u64,
    /// Records of a newer version.
    pub unknown_records: u64,
    /// Snapshots that were taken as the base.
    pub taken_snapshots: u64,
}

/// One router's copy of the table.
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
    /// Offset of the first record that the rows don't hold.
    next_offset: u64,
    rows: Rows,
    table: sync::Arc<Table>,
    /// Whether the rows have changed since the table was made.
    is_table_stale: bool,
}

/// Records that don't follow on the base.
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

/// Newest snapshot that the log holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotPosition {
    /// Offset of the snapshot's record.
    pub offset: u64,
    /// Offset of the first record that the snapshot doesn't hold.
    pub as_of_offset: u64,
    /// Time at which the log took it, in milliseconds since 1970.
    pub at_ms: u64,
}

impl Replica {
    /// Creates a replica that knows nothing.
    pub fn new() -> Replica {
        Replica::default()
    }

    /// Offset to read the log from.
    pub fn read_offset(&self) -> u64 {
        let base = self.base.as_ref().map_or(0, |base| base.next_offset);
        self.gap.as_ref().map_or(base, |gap| gap.end_offset())
    }

    /// Offset of the first record that the table in force doesn't hold.
    pub fn applied_offset(&self) -> Option<u64> {
        self.base.as_ref().map(|base| base.next_offset)
    }

    /// The table in force, if there is one.
    pub fn table(&self) -> Option<sync::Arc<Table>> {
        self.base.as_ref().map(|base| base.table.clone())
    }

    /// Rows with their versions, if there is a table in force.
    pub fn rows(&self) -> Option<&Rows> {
        self.base.as_ref().map(|base| &base.rows)
    }

    /// Whether records are missing between the table in force and the log.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Counts of records since the replica was created.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What an edit came to, if its record has been read.
    pub fn outcome(&self, id: &str) -> Option<&EditOutcome> {
        self.outcomes.get(id)
    }

    /// Edits that were read from the log, oldest first.
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> {
        self.history.iter()
    }

    /// Newest snapshot from which a router without memory could start.
    ///
    /// `first_offset` is the oldest offset that the log keeps: a snapshot is of use only with
    /// every record after its place.
    pub fn usable_snapshot(&self, first_offset: u64) -> Option<SnapshotPosition> {
        let is_usable = |place: &SnapshotPosition| {
            place.offset >= first_offset && place.as_of_offset >= first_offset
        };
        self.usable_snapshot.filter(is_usable)
    }

    /// The state as a snapshot, for the log or for peers.
    pub fn export(&self) -> Option<Snapshot> {
        let base = self.base.as_ref()?;
        Some(Snapshot { as_of_offset: base.next_offset, rows: base.rows.clone() })
    }

    /// Takes a peer's state if it is further than the replica's own.
    ///
    /// Returns whether it was taken.
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

    /// Takes one answer of the log: records from `first_offset` of the answer on, in offset order.
    ///
    /// `log_first_offset` is the oldest offset that the log keeps.
    pub fn apply_records(&mut self, log_first_offset: u64, records: Vec<LogRecord>) {
        self.note_log_start(log_first_offset);
        for record in records {
            self.take(record);
        }
        self.rebuild_table();
    }

    fn note_log_start(&mut self, log_first_offset: u64) {
        let is_behind = self.read_offset() < log_first_offset;
        // Without a base, what is read is gathered even from the log's very start.
        if is_behind || (self.base.is_none() && self.gap.is_none()) {
            self.gap = Some(Gap { start_offset: log_first_offset, records: VecDeque::new() });
        }
    }

    fn take(&mut self, record: LogRecord) {
        if record.offset != self.read_offset() {
            // Read twice, or not in order: the next read asks for the right offset.
            return;
        }
        self.count(&record.record);
        self.note_snapshot(&record);
        if self.gap.is_none() {
            self.apply(record);
            return;
        }
        let snapshot = match &record.record {
            Record::Snapshot(snapshot) => Some(snapshot.clone()),
            _ => None,
        };
        self.gather(record);
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

    fn note_snapshot(&mut self, record: &LogRecord) {
        let Record::Snapshot(snapshot) = &record.record else { return };
        // Of two snapshots the one with the later place outlives the other.
        let newest = self.usable_snapshot.map_or(0, |place| place.as_of_offset);
        if snapshot.as_of_offset <= record.offset && snapshot.as_of_offset >= newest {
            self.usable_snapshot = Some(SnapshotPosition {
                offset: record.offset,
                as_of_offset: snapshot.as_of_offset,
                at_ms: record.at_ms,
            });
        }
    }

    fn gather(&mut self, record: LogRecord) {
        let Some(gap) = self.gap.as_mut() else { return };
        gap.records.push_back(record);
        if gap.records.len() > MAX_PENDING_RECORDS {
            gap.records.pop_front();
            gap.start_offset += 1;
        }
    }

    /// Takes a snapshot of the log as the base if all records after its place have been gathered.
    fn try_snapshot(&mut self, snapshot: Snapshot) {
        let Some(gap) = self.gap.as_ref() else { return };
        let as_of = snapshot.as_of_offset;
        // A gap starts behind the base, so a snapshot that closes it is further than the base.
        if as_of >= gap.start_offset && as_of < gap.end_offset() {
            self.counts.taken_snapshots += 1;
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

    /// Makes the table once for all records of an answer, which may be thousands.
    fn rebuild_table(&mut self) {
        let Some(base) = self.base.as_mut().filter(|base| base.is_table_stale) else { return };
        base.table = sync::Arc::new(table_of(&base.rows));
        base.is_table_stale = false;
    }

    /// Applies what was gathered if it now follows on the base.
    fn close_gap(&mut self) {
        let Some(base) = self.base.as_ref() else { return };
        let is_closed = |gap: &mut Gap| gap.start_offset <= base.next_offset;
        let Some(gap) = self.gap.take_if(is_closed) else { return };
        for record in gap.records {
            self.apply(record);
        }
    }

    /// Applies a record that follows on the base; an earlier one is passed over.
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
            self.counts.void_edits += 1;
        }
        self.remember(HistoryEntry { at_ms: record.at_ms, edit, outcome });
    }

    fn remember(&mut self, entry: HistoryEntry) {
        // The first record of an edit id is the one that counts; a repeated append is void.
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

/// Applies one edit to the rows if its base version is the row's present one.
fn apply_edit(rows: &mut Rows, edit: &Edit, offset: u64) -> EditOutcome {
    if check_edit(edit).is_err() {
        return EditOutcome::Invalid { offset };
    }
    let absent = VersionedRow { version: 0, row: None };
    let present = rows.get(&edit.key).unwrap_or(&absent);
    if present.version != edit.base_version {
        return EditOutcome::Conflict { offset, present: present.clone() };
    }
    // A removed row stays with its version, so that an edit of before the removal is void.
    let row = VersionedRow { version: offset + 1, row: edit.row.clone() };
    rows.insert(edit.key.clone(), row);
    EditOutcome::Accepted { offset }
}

/// Checks what can be told from an edit alone.
///
/// # Errors
///
/// The row has another key than the edit, can't stand in the table, or can't be removed.
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
