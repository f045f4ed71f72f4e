//! Follows the stream `config`, writes snapshots to it and appends edits.
//!
//! All tasks run on the traffic runtime; the rest of the router sees the table through a watch
//! channel.
//!
//! # Which table is in force
//!
//! The one that the log or a peer gave; it never goes back. The settings' table is in force only
//! where there is no log, or while the log says that it never held one. A router that knows
//! neither isn't ready.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures_util::future;
use gentianhinge_core::table::record::{Edit, LogRecord, Record, STREAM, Snapshot};
use gentianhinge_core::table::replica::{self, EditOutcome, HistoryEntry, Replica};
use gentianhinge_core::table::row::{Rows, VersionedRow, rows_of};
use gentianhinge_core::table::{self as core_table};
use gentianhinge_wire::record;
use tokio::sync::watch;
use tokio::time;

use super::log::{AppendError, Log, Page};

/// Longest time that one read waits for a record.
const POLL_WAIT: Duration = Duration::from_secs(10);
/// Most records of one read.
const PAGE_RECORDS: usize = 1000;
/// First pause after a failed read; it doubles up to [`MAX_RETRY_PAUSE`].
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a failed read.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1000);
/// Time between two looks at whether a snapshot is due.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Least time between two snapshots of one router.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(2);
/// A snapshot is due when the last one's age is this part of the log's retention.
const SNAPSHOT_RETENTION_PARTS: u32 = 4;
/// Records after which a snapshot is due, so that an empty router starts fast.
const SNAPSHOT_RECORDS: u64 = 2000;
/// Longest time for an edit to come back from the log.
const EDIT_BOUND: Duration = Duration::from_secs(4);
/// Appends of one edit, counting those whose reply was lost.
const EDIT_APPENDS: u32 = 3;

/// The table in force.
#[derive(Clone, Debug)]
pub struct View {
    /// The table; absent while the router knows none.
    pub table: Option<Arc<core_table::Table>>,
    /// Offset of the first record of the log that the table doesn't hold.
    pub applied_offset: Option<u64>,
}

/// How a table follows the log.
pub struct Options {
    /// Client of the log; without one, the settings' table stays in force.
    pub log: Option<Log>,
    /// The settings' table.
    pub settings_table: Arc<core_table::Table>,
    /// Time for which the log keeps a record.
    pub retention: Duration,
    /// Whether this router writes snapshots, as the live routers now choose.
    pub is_snapshot_writer: Box<dyn Fn() -> future::BoxFuture<'static, bool> + Send + Sync>,
}

/// What became of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditResult {
    /// The log holds the edit, and this is what it came to.
    Settled(EditOutcome),
    /// The edit can't be made and wasn't sent to the log.
    Refused(replica::EditOutcome),
    /// The edit isn't in the log and won't be.
    Outage(String),
    /// The edit may or may not be in the log.
    Unknown(String),
}

/// The router's table; clones share it.
#[derive(Clone)]
pub struct TableLog {
    inner: Arc<Inner>,
}

struct Inner {
    options: Options,
    state: Mutex<State>,
    view: watch::Sender<View>,
}

#[derive(Default)]
struct State {
    replica: Replica,
    /// Oldest offset that the log keeps, as last read.
    log_first_offset: u64,
    /// Offset behind the log's last record, if the last read reached it.
    log_end_offset: Option<u64>,
    last_snapshot_at: Option<time::Instant>,
    logged_malformed: u64,
    is_log_down: bool,
}

impl State {
    /// Whether the log says that it never held a record.
    fn is_log_virgin(&self) -> bool {
        self.log_end_offset == Some(0)
    }
}

impl TableLog {
    /// Creates the table; [`TableLog::run`] makes it follow the log.
    pub fn new(options: Options) -> TableLog {
        let table = options.log.is_none().then(|| options.settings_table.clone());
        let (view, _) = watch::channel(View { table, applied_offset: None });
        TableLog { inner: Arc::new(Inner { options, state: Mutex::default(), view }) }
    }

    /// Follows the table in force.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.inner.view.subscribe()
    }

    /// Follows the log until dropped.
    pub async fn run(&self) {
        let Some(log) = self.inner.options.log.clone() else { return };
        tokio::join!(self.follow(&log), self.write_snapshots(&log));
    }

    /// The state as bytes, for a router that has none or an older one.
    pub fn export_state(&self) -> Option<Vec<u8>> {
        self.state().replica.export().map(|state| record::encode_snapshot(&state))
    }

    /// Takes a peer's state if it is further than this router's.
    ///
    /// Returns whether it was taken; bytes that aren't a state are not.
    pub fn import_state(&self, bytes: &[u8]) -> bool {
        let Record::Snapshot(state) = record::decode(bytes) else { return false };
        let is_taken = self.state().replica.import(state);
        if is_taken {
            self.publish();
        }
        is_taken
    }

    /// Rows in force with their versions.
    pub fn rows(&self) -> Rows {
        let state = self.state();
        state.replica.rows().cloned().unwrap_or_else(|| rows_of(&self.inner.options.settings_table))
    }

    /// Whether the log has dropped records that this router hasn't read.
    pub fn has_gap(&self) -> bool {
        let state = self.state();
        state.replica.has_gap() && state.replica.table().is_some()
    }

    /// Edits that the log holds, newest first.
    pub fn history(
        &self,
        max_count: usize,
        fits: impl Fn(&HistoryEntry) -> bool,
    ) -> Vec<HistoryEntry> {
        let state = self.state();
        let entries = state.replica.history().rev().filter(|entry| fits(entry));
        entries.take(max_count).cloned().collect()
    }

    /// What an edit came to, if its record has been read.
    pub fn outcome(&self, id: &str) -> Option<EditOutcome> {
        self.state().replica.outcome(id).cloned()
    }

    /// Makes an edit and waits until this router has read it back.
    ///
    /// The same edit may be sent again: its id and base version make it apply at most once.
    pub async fn edit(&self, edit: Edit) -> EditResult {
        let Some(log) = self.inner.options.log.clone() else {
            return EditResult::Outage("no log is set up".to_string());
        };
        if let Some(result) = self.judge_early(&edit) {
            return result;
        }
        let bytes = Bytes::from(record::encode_edit(&edit));
        let end = time::Instant::now() + EDIT_BOUND;
        let mut is_lost = false;
        for _ in 0..EDIT_APPENDS {
            let read_to = match log.append(STREAM, bytes.clone()).await {
                Ok(offset) => offset + 1,
                Err(AppendError::Refused(message)) if !is_lost => {
                    return EditResult::Outage(message);
                }
                Err(err) => {
                    tracing::warn!(edit = %edit.id, %err, "edit without a reply");
                    is_lost = true;
                    // The log's end tells whether the record is there; only then a second try.
                    match self.log_end(&log, end).await {
                        Some(next_offset) => next_offset,
                        None => break,
                    }
                }
            };
            if !self.wait_read(read_to, end).await {
                break;
            }
            if let Some(outcome) = self.outcome(&edit.id) {
                return EditResult::Settled(outcome);
            }
        }
        EditResult::Unknown(format!("edit {} has no answer from the log", edit.id))
    }

    /// What can be told before anything is sent to the log.
    fn judge_early(&self, edit: &Edit) -> Option<EditResult> {
        let state = self.state();
        if let Some(outcome) = state.replica.outcome(&edit.id) {
            return Some(EditResult::Settled(outcome.clone()));
        }
        if replica::check_edit(edit).is_err() {
            return Some(EditResult::Refused(EditOutcome::Invalid { offset: 0 }));
        }
        let Some(rows) = state.replica.rows() else {
            return Some(EditResult::Outage("this router has no table of the log yet".to_string()));
        };
        let absent = VersionedRow { version: 0, row: None };
        let present = rows.get(&edit.key).unwrap_or(&absent);
        // Versions only grow, so an older base can't become valid any more.
        if present.version > edit.base_version {
            let present = present.clone();
            return Some(EditResult::Refused(EditOutcome::Conflict { offset: 0, present }));
        }
        None
    }

    /// The log's end, however long the log is out of service before `end`.
    async fn log_end(&self, log: &Log, end: time::Instant) -> Option<u64> {
        let mut from = self.state().replica.read_offset();
        while time::Instant::now() < end {
            let read = log.read(STREAM, from, PAGE_RECORDS, Duration::ZERO);
            match time::timeout_at(end, read).await {
                Ok(Ok(page)) if page.entries.is_empty() => return Some(page.next_offset),
                Ok(Ok(page)) => from = page.next_offset,
                Ok(Err(_)) => time::sleep(MIN_RETRY_PAUSE).await,
                Err(_) => return None,
            }
        }
        None
    }

    /// Waits until all records before an offset have been read; `false` if `end` comes first.
    async fn wait_read(&self, offset: u64, end: time::Instant) -> bool {
        let mut view = self.subscribe();
        let is_read = |view: &View| view.applied_offset.is_some_and(|applied| applied >= offset);
        time::timeout_at(end, view.wait_for(is_read)).await.is_ok_and(|result| result.is_ok())
    }

    async fn follow(&self, log: &Log) {
        let mut pause = MIN_RETRY_PAUSE;
        // The first read doesn't wait, so that an empty log is known to be empty at once.
        let mut wait = Duration::ZERO;
        loop {
            let from = self.state().replica.read_offset();
            match log.read(STREAM, from, PAGE_RECORDS, wait).await {
                Ok(page) => {
                    // Only an empty page is the log's end: others may be cut by their size.
                    wait = if page.entries.is_empty() { POLL_WAIT } else { Duration::ZERO };
                    pause = MIN_RETRY_PAUSE;
                    self.take(page);
                }
                Err(err) => {
                    self.note_log(true, &err.to_string());
                    time::sleep(pause).await;
                    (pause, wait) = ((pause * 2).min(MAX_RETRY_PAUSE), Duration::ZERO);
                }
            }
        }
    }

    fn take(&self, page: Page) {
        self.note_log(false, "");
        let end_offset = page.entries.is_empty().then_some(page.next_offset);
        let records = page.entries.into_iter().map(|entry| LogRecord {
            offset: entry.offset,
            at_ms: entry.at_ms,
            record: record::decode(&entry.data),
        });
        let records = records.collect();
        let mut state = self.state();
        state.log_first_offset = page.first_offset;
        state.log_end_offset = end_offset;
        state.replica.apply_records(page.first_offset, records);
        let malformed = state.replica.counts().malformed_records;
        if malformed > state.logged_malformed {
            tracing::warn!(malformed, "records of the table that can't be read");
            state.logged_malformed = malformed;
        }
        drop(state);
        self.publish();
    }

    /// Logs when the log goes out of service and when it is back.
    fn note_log(&self, is_down: bool, message: &str) {
        let mut state = self.state();
        if state.is_log_down != is_down {
            state.is_log_down = is_down;
            tracing::info!(is_down, message, "log of the table");
        }
    }

    fn publish(&self) {
        let state = self.state();
        let table = state.replica.table();
        let fallback = state.is_log_virgin().then(|| self.inner.options.settings_table.clone());
        let view =
            View { table: table.or(fallback), applied_offset: state.replica.applied_offset() };
        // Sent under the lock, so that an older state can't overtake a newer one.
        self.inner.view.send_replace(view);
    }

    async fn write_snapshots(&self, log: &Log) {
        let mut interval = time::interval(SNAPSHOT_CHECK_INTERVAL);
        interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let Some(snapshot) = self.due_snapshot(time::Instant::now(), SystemTime::now()) else {
                continue;
            };
            if !(self.inner.options.is_snapshot_writer)().await {
                continue;
            }
            let bytes = Bytes::from(record::encode_snapshot(&snapshot));
            // A lost reply does no harm: a snapshot that is there twice changes nothing.
            if let Err(err) = log.append(STREAM, bytes).await {
                tracing::debug!(%err, "snapshot");
            }
        }
    }

    /// The snapshot to write now, if one is due.
    fn due_snapshot(&self, now: time::Instant, wall_now: SystemTime) -> Option<Snapshot> {
        let mut state = self.state();
        let end_offset = state.log_end_offset?;
        let is_recent = |at: time::Instant| now - at < MIN_SNAPSHOT_INTERVAL;
        if state.last_snapshot_at.is_some_and(is_recent) {
            return None;
        }
        let snapshot = match state.replica.export() {
            // A table that lacks records of the log would be of no use to others.
            Some(snapshot) if snapshot.as_of_offset < end_offset => return None,
            Some(snapshot) => snapshot,
            None if end_offset == 0 => {
                Snapshot { as_of_offset: 0, rows: rows_of(&self.inner.options.settings_table) }
            }
            None => return None,
        };
        let is_due = match state.replica.usable_snapshot(state.log_first_offset) {
            None => true,
            Some(place) => {
                let since_epoch = wall_now.duration_since(UNIX_EPOCH).unwrap_or_default();
                let age = since_epoch.saturating_sub(Duration::from_millis(place.at_ms));
                age > self.inner.options.retention / SNAPSHOT_RETENTION_PARTS
                    || snapshot.as_of_offset - place.as_of_offset > SNAPSHOT_RECORDS
            }
        };
        if !is_due {
            return None;
        }
        state.last_snapshot_at = Some(now);
        Some(snapshot)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.inner.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
