//! In-memory record store with retention and an append rate limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use axum::body::Bytes;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use tokio::time;

use super::AppendError;
use crate::engine::unix_time;

/// Time for which unused rate accumulates, which sets the burst size.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Maximum size of the records in a response. The first record is included even if it is larger.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// A record as returned to readers.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Offset within the stream, from 0.
    pub offset: u64,
    /// Time of the append, in Unix time.
    pub at_ms: u64,
    /// Contents, base64-encoded.
    pub data_base64: String,
}

/// Response to a read.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Page {
    /// Offset of the oldest retained record.
    pub first_offset: u64,
    /// Offset at which the next read continues.
    pub next_offset: u64,
    /// Records in order of offset.
    pub records: Vec<Record>,
}

/// Counters since the start of the service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Records appended.
    pub append_count: u64,
    /// Appends rejected by the rate limit.
    pub rate_limited_count: u64,
    /// Read requests.
    pub read_count: u64,
    /// Counters by stream.
    pub streams: BTreeMap<String, StreamStats>,
}

/// Counters of a stream.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct StreamStats {
    /// Records appended.
    pub append_count: u64,
    /// Bytes appended.
    pub append_bytes: u64,
    /// Bytes of records read, before base64 encoding.
    pub read_bytes: u64,
}

#[derive(Debug)]
struct StoredRecord {
    at: time::Instant,
    at_ms: u64,
    data: Bytes,
}

#[derive(Debug, Default)]
struct Stream {
    first_offset: u64,
    records: VecDeque<StoredRecord>,
}

impl Stream {
    fn next_offset(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        if self.records.pop_front().is_some() {
            self.first_offset += 1;
        }
    }

    fn expire(&mut self, retention: Duration, now: time::Instant) {
        let is_old = |record: &StoredRecord| now.duration_since(record.at) >= retention;
        while self.records.front().is_some_and(is_old) {
            self.drop_oldest();
        }
    }
}

/// All streams of a service, with the token bucket that limits appends.
#[derive(Debug)]
pub(super) struct Store {
    max_appends_per_s: u32,
    retention: Duration,
    allowance: f64,
    allowance_at: time::Instant,
    streams: BTreeMap<String, Stream>,
    stats: Stats,
}

impl Store {
    pub(super) fn new(max_appends_per_s: u32, retention: Duration, now: time::Instant) -> Store {
        Store {
            max_appends_per_s,
            retention,
            allowance: max_burst(max_appends_per_s),
            allowance_at: now,
            streams: BTreeMap::new(),
            stats: Stats::default(),
        }
    }

    pub(super) fn append(
        &mut self,
        name: &str,
        data: Bytes,
        now: time::Instant,
    ) -> Result<u64, AppendError> {
        let elapsed = now.duration_since(self.allowance_at).as_secs_f64();
        let refilled = self.allowance + elapsed * f64::from(self.max_appends_per_s);
        self.allowance = refilled.min(max_burst(self.max_appends_per_s));
        self.allowance_at = now;
        if self.allowance < 1.0 {
            self.stats.rate_limited_count += 1;
            return Err(AppendError::RateLimit);
        }
        self.allowance -= 1.0;
        self.stats.append_count += 1;
        let counts = self.stats.streams.entry(name.to_owned()).or_default();
        counts.append_count += 1;
        counts.append_bytes += data.len() as u64;
        let stream = self.streams.entry(name.to_owned()).or_default();
        stream.expire(self.retention, now);
        let offset = stream.next_offset();
        let at_ms = unix_time().as_millis() as u64;
        stream.records.push_back(StoredRecord { at: now, at_ms, data });
        Ok(offset)
    }

    pub(super) fn read(
        &mut self,
        name: &str,
        from: u64,
        max_count: usize,
        now: time::Instant,
    ) -> Page {
        self.stats.read_count += 1;
        let Some(stream) = self.streams.get_mut(name) else {
            return Page { first_offset: 0, next_offset: from, records: Vec::new() };
        };
        stream.expire(self.retention, now);
        let from = from.max(stream.first_offset);
        let skip = usize::try_from(from - stream.first_offset).unwrap_or(usize::MAX);
        let mut records = Vec::new();
        let mut page_bytes = 0;
        for (record, offset) in stream.records.iter().skip(skip).take(max_count).zip(from..) {
            page_bytes += record.data.len();
            if page_bytes > MAX_PAGE_BYTES && !records.is_empty() {
                page_bytes -= record.data.len();
                break;
            }
            let data_base64 = STANDARD.encode(&record.data);
            records.push(Record { offset, at_ms: record.at_ms, data_base64 });
        }
        if let Some(counts) = self.stats.streams.get_mut(name) {
            counts.read_bytes += page_bytes as u64;
        }
        let next_offset = from + records.len() as u64;
        Page { first_offset: stream.first_offset, next_offset, records }
    }

    pub(super) fn expire_before(&mut self, name: &str, offset: u64) {
        let Some(stream) = self.streams.get_mut(name) else { return };
        while stream.first_offset < offset && !stream.records.is_empty() {
            stream.drop_oldest();
        }
    }

    pub(super) fn stats(&self) -> Stats {
        self.stats.clone()
    }
}

fn max_burst(max_appends_per_s: u32) -> f64 {
    (f64::from(max_appends_per_s) * BURST_TIME.as_secs_f64()).max(1.0)
}
