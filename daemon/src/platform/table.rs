//! Replicates the table from the log's stream `config`, and appends edits and snapshots to it.
//!
//! All tasks run on the traffic runtime; the rest of the router receives the table through a watch
//! channel.
//!
//! # Which table is in force
//!
//! The table read from the log or received from a peer is in force, and is never replaced by an
//! older one. The settings' table is in force only if no log is configured, or while the log
//! reports that it never held a record. A router that has neither isn't ready.

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

/// Longest time that one read waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum records per read.
const MAX_PAGE_RECORDS: usize = 1000;
/// Delay before the first retry of a failed read; doubles with each failure up to
/// [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay before a failed read is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Time between two checks whether a snapshot is due.
const SNAPSHOT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two snapshots written by one router.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(2);
/// A snapshot is due when the last one is older than this fraction (1/n) of the log's retention.
const SNAPSHOTS_PER_RETENTION: u32 = 4;
/// Records since the last snapshot above which a new one is due, so that a router without state
/// starts fast.
const MAX_RECORDS_SINCE_SNAPSHOT: u64 = 2000;
/// Timeout for an edit to be appended and read back from the log.
const EDIT_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum appends of one edit, including those whose reply was lost.
const MAX_EDIT_APPENDS: u32 = 3;

/// The table in force, as published to the rest of the router.
#[derive(Clone, Debug)]
pub struct View {
    /// The table; `None` until the router has read or received one.
    pub table: Option<Arc<core_table::Table>>,
    /// Offset of the first record of the log that isn't applied to the table yet.
    pub applied_offset: Option<u64>,
}

/// Configuration of a [`TableLog`].
pub struct Options {
    /// Client of the log; without a log, the settings' table stays in force.
    pub log: Option<Log>,
    /// The table of the settings file, used while there is no log or the log is unused.
    pub settings_table: Arc<core_table::Table>,
    /// Retention time of the log's records.
    pub retention: Duration,
    /// Returns whether this router currently has the role of writing snapshots.
    pub is_snapshot_writer: Box<dyn Fn() -> future::BoxFuture<'static, bool> + Send + Sync>,
}

/// Result of an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditResult {
    /// The edit is in the log, with this outcome.
    Settled(EditOutcome),
    /// The edit is invalid or conflicts, and wasn't sent to the log.
    Refused(replica::EditOutcome),
    /// The log is unavailable; the edit isn't in it and won't be.
    Outage(String),
    /// The edit may or may not be in the log.
    Unknown(String),
}

/// The router's replica of the table; clones share it.
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
    /// Oldest offset that the log retains, as of the last read.
    log_first_offset: u64,
    /// One past the offset of the log's last record, if the last read reached the end.
    log_end_offset: Option<u64>,
    last_snapshot_at: Option<time::Instant>,
    logged_malformed_count: u64,
    is_log_down: bool,
}

impl State {
    /// Whether the log reports that it never held a record.
    fn is_log_unused(&self) -> bool {
        self.log_end_offset == Some(0)
    }
}

impl TableLog {
    /// Creates the replica; [`TableLog::run`] must run for it to be updated from the log.
    pub fn new(options: Options) -> TableLog {
        let table = options.log.is_none().then(|| options.settings_table.clone());
        let (view, _) = watch::channel(View { table, applied_offset: None });
        TableLog { inner: Arc::new(Inner { options, state: Mutex::default(), view }) }
    }

    /// Subscribes to the table in force.
    pub fn subscribe(&self) -> watch::Receiver<View> {
        self.inner.view.subscribe()
    }

    /// Reads the log and writes snapshots until the future is dropped; returns at once without a
    /// log.
    pub async fn run(&self) {
        let Some(log) = self.inner.options.log.clone() else { return };
        tokio::join!(self.follow(&log), self.write_snapshots(&log));
    }

    /// Encodes the replica's state, for a peer that has none or an older one; `None` if there is no
    /// state.
    pub fn export_state(&self) -> Option<Vec<u8>> {
        self.state().replica.export().map(|state| record::encode_snapshot(&state))
    }

    /// Replaces the replica's state by a peer's if the peer's is newer.
    ///
    /// Returns whether it was replaced; bytes that can't be decoded as a state are ignored.
    pub fn import_state(&self, bytes: &[u8]) -> bool {
        let Record::Snapshot(state) = record::decode(bytes) else { return false };
        let is_imported = self.state().replica.import(state);
        if is_imported {
            self.publish();
        }
        is_imported
    }

    /// Returns the rows in force with their versions.
    pub fn rows(&self) -> Rows {
        let state = self.state();
        state.replica.rows().cloned().unwrap_or_else(|| rows_of(&self.inner.options.settings_table))
    }

    /// Whether the log has deleted records that this router hasn't read.
    pub fn has_gap(&self) -> bool {
        let state = self.state();
        state.replica.has_gap() && state.replica.table().is_some()
    }

    /// Returns up to `max_count` edits of the log that match a condition, newest first.
    pub fn history(
        &self,
        max_count: usize,
        is_match: impl Fn(&HistoryEntry) -> bool,
    ) -> Vec<HistoryEntry> {
        let state = self.state();
        let entries = state.replica.history().rev().filter(|entry| is_match(entry));
        entries.take(max_count).cloned().collect()
    }

    /// Returns the outcome of an edit, if its record has been read from the log.
    pub fn outcome(&self, id: &str) -> Option<EditOutcome> {
        self.state().replica.outcome(id).cloned()
    }

    /// Appends an edit to the log and waits until this router has read it back.
    ///
    /// Repeating an edit is safe: its id and base version make it apply at most once.
    pub async fn edit(&self, edit: Edit) -> EditResult {
        let Some(log) = self.inner.options.log.clone() else {
            return EditResult::Outage("no log is set up".to_string());
        };
        if let Some(result) = self.check_before_append(&edit) {
            return result;
        }
        let bytes = Bytes::from(record::encode_edit(&edit));
        let deadline = time::Instant::now() + EDIT_TIMEOUT;
        let mut is_reply_lost = false;
        for _ in 0..MAX_EDIT_APPENDS {
            let read_to = match log.append(STREAM, bytes.clone()).await {
                Ok(offset) => offset + 1,
                Err(AppendError::Refused(message)) if !is_reply_lost => {
                    return EditResult::Outage(message);
                }
                Err(err) => {
                    tracing::warn!(edit = %edit.id, %err, "log returned no offset for an edit");
                    is_reply_lost = true;
                    // The edit is appended again only after the log was read to its end without
                    // finding the record.
                    match self.log_end(&log, deadline).await {
                        Some(next_offset) => next_offset,
                        None => break,
                    }
                }
            };
            if !self.wait_applied(read_to, deadline).await {
                break;
            }
            if let Some(outcome) = self.outcome(&edit.id) {
                return EditResult::Settled(outcome);
            }
        }
        EditResult::Unknown(format!("edit {} has no answer from the log", edit.id))
    }

    /// Returns the result of an edit if it can be determined without appending to the log.
    fn check_before_append(&self, edit: &Edit) -> Option<EditResult> {
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
        // Versions only increase, so an outdated base version can't become valid again.
        if present.version > edit.base_version {
            let present = present.clone();
            return Some(EditResult::Refused(EditOutcome::Conflict { offset: 0, present }));
        }
        None
    }

    /// Reads to the end of the log and returns its offset, retrying until `deadline` if the log is
    /// unavailable.
    async fn log_end(&self, log: &Log, deadline: time::Instant) -> Option<u64> {
        let mut from = self.state().replica.read_offset();
        while time::Instant::now() < deadline {
            let read = log.read(STREAM, from, MAX_PAGE_RECORDS, Duration::ZERO);
            match time::timeout_at(deadline, read).await {
                Ok(Ok(page)) if page.entries.is_empty() => return Some(page.next_offset),
                Ok(Ok(page)) => from = page.next_offset,
                Ok(Err(_)) => time::sleep(MIN_RETRY_DELAY).await,
                Err(_) => return None,
            }
        }
        None
    }

    /// Waits until all records before an offset have been applied; returns `false` if `deadline`
    /// passes first.
    async fn wait_applied(&self, offset: u64, deadline: time::Instant) -> bool {
        let mut view = self.subscribe();
        let is_read = |view: &View| view.applied_offset.is_some_and(|applied| applied >= offset);
        time::timeout_at(deadline, view.wait_for(is_read)).await.is_ok_and(|result| result.is_ok())
    }

    async fn follow(&self, log: &Log) {
        let mut retry_delay = MIN_RETRY_DELAY;
        // The first read doesn't wait, so that an unused log is detected immediately.
        let mut wait = Duration::ZERO;
        loop {
            let from = self.state().replica.read_offset();
            match log.read(STREAM, from, MAX_PAGE_RECORDS, wait).await {
                Ok(page) => {
                    // Only an empty page marks the log's end: other pages may be truncated by size.
                    wait = if page.entries.is_empty() { LONG_POLL_TIMEOUT } else { Duration::ZERO };
                    retry_delay = MIN_RETRY_DELAY;
                    self.apply_page(page);
                }
                Err(err) => {
                    self.set_log_down(true, &err.to_string());
                    time::sleep(retry_delay).await;
                    (retry_delay, wait) = ((retry_delay * 2).min(MAX_RETRY_DELAY), Duration::ZERO);
                }
            }
        }
    }

    fn apply_page(&self, page: Page) {
        self.set_log_down(false, "");
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
        if malformed > state.logged_malformed_count {
            tracing::warn!(malformed, "the table's log holds records that can't be decoded");
            state.logged_malformed_count = malformed;
        }
        drop(state);
        self.publish();
    }

    /// Writes a log line when the table's log becomes unavailable or available again.
    fn set_log_down(&self, is_down: bool, message: &str) {
        let mut state = self.state();
        if state.is_log_down != is_down {
            state.is_log_down = is_down;
            tracing::info!(is_down, message, "availability of the table's log changed");
        }
    }

    fn publish(&self) {
        let state = self.state();
        let table = state.replica.table();
        let fallback = state.is_log_unused().then(|| self.inner.options.settings_table.clone());
        let view =
            View { table: table.or(fallback), applied_offset: state.replica.applied_offset() };
        // Sent under the lock, so that views are published in the order of their states.
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
            // A lost reply is harmless, because applying a snapshot twice has no further effect.
            if let Err(err) = log.append(STREAM, bytes).await {
                tracing::debug!(%err, "failed to append a snapshot");
            }
        }
    }

    /// Returns the snapshot to write now, if one is due.
    fn due_snapshot(&self, now: time::Instant, wall_now: SystemTime) -> Option<Snapshot> {
        let mut state = self.state();
        let end_offset = state.log_end_offset?;
        let is_recent = |at: time::Instant| now - at < MIN_SNAPSHOT_INTERVAL;
        if state.last_snapshot_at.is_some_and(is_recent) {
            return None;
        }
        let snapshot = match state.replica.export() {
            // A snapshot that lacks records of the log is of no use to other routers.
            Some(snapshot) if snapshot.as_of_offset < end_offset => return None,
            Some(snapshot) => snapshot,
            None if end_offset == 0 => {
                Snapshot { as_of_offset: 0, rows: rows_of(&self.inner.options.settings_table) }
            }
            None => return None,
        };
        let is_due = match state.replica.usable_snapshot(state.log_first_offset) {
            None => true,
            Some(last_snapshot) => {
                let since_epoch = wall_now.duration_since(UNIX_EPOCH).unwrap_or_default();
                let age = since_epoch.saturating_sub(Duration::from_millis(last_snapshot.at_ms));
                age > self.inner.options.retention / SNAPSHOTS_PER_RETENTION
                    || snapshot.as_of_offset - last_snapshot.as_of_offset
                        > MAX_RECORDS_SINCE_SNAPSHOT
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
