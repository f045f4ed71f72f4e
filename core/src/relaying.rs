//! How a poll of the store is relayed to the other routers: what it tells of each record, and how it
//! is split into datagrams.
//!
//! Load pattern: 3,000 targets write a record of 250 bytes every 1.2 s. Relaying all of them would
//! take 600 KB/s into each of 300 routers, and if they aren't relayed, each router reads them from
//! the store. Nearly all of them tell nothing but another heartbeat.
//!
//! A record that differs from what is known of its target only by the heartbeat and the time for which
//! the target stays cold is relayed as a [`Heartbeat`], at 8 to 16 bytes. The number isn't left out: a
//! receiver that hadn't seen it would take a late record of a removed target for a new one, see
//! [`crate::incarnations`].
//!
//! A relayed poll has several parts if it doesn't fit one datagram. Each part is a [`Poll`] of its own
//! whose records begin where those of the one before end. Receivers apply parts without a gap only, so
//! that their state is the one that reading the store would give. Later polls repeat the records, which
//! makes up for lost parts; a receiver that they don't help reads the store.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::registry::{Registry, Target};
use crate::report::{Heartbeat, Poll, Record, Topic};

/// Size of the records from which a part of a poll is full, so that it fits one datagram of at most
/// 40,000 bytes.
pub const MAX_PART_BYTES: usize = 20_000;

/// Maximum size of one record that is relayed. It leaves 4,000 bytes of a datagram for the report.
const MAX_RECORD_BYTES: usize = 36_000;

/// Maximum number of parts of a poll. The parts arrive within milliseconds, and a socket keeps some
/// ten unread ones.
const MAX_PARTS: usize = 8;

/// Maximum number of parts that wait for earlier ones.
const MAX_WAITING: usize = 2 * MAX_PARTS;

/// Length of a heartbeat in a packed message: hash, number, and their tags.
const HEARTBEAT_BYTES: usize = 12;

/// Additional length of a heartbeat of a cold target.
const COLD_BYTES: usize = 4;

/// What a relayed poll tells of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// All of it.
    Record(Record),
    /// What differs from the one before.
    Heartbeat(Heartbeat),
}

impl Line {
    fn len(&self) -> usize {
        match self {
            Line::Record(record) => record_len(record),
            Line::Heartbeat(line) if line.cold_ms.is_some() => HEARTBEAT_BYTES + COLD_BYTES,
            Line::Heartbeat(_) => HEARTBEAT_BYTES,
        }
    }
}

/// Length of a record in a relayed poll.
pub fn record_len(record: &Record) -> usize {
    record.key.len() + record.value.as_ref().map_or(0, Vec::len) + 16
}

/// Decides for the records of one read, in their order, what is relayed of each.
#[derive(Debug, Default)]
pub struct Condenser {
    /// Targets of which this read has told more than a heartbeat; what was known before is old.
    changed: HashSet<String>,
}

impl Condenser {
    /// What is relayed of a record that says `target`; `registry` is what was known before the read.
    pub fn line(
        &mut self,
        registry: &Registry,
        target: Option<&Target>,
        record: impl FnOnce() -> Record,
    ) -> Line {
        let heartbeat = target
            .filter(|target| registry.is_heartbeat(target) && !self.changed.contains(&*target.id));
        if let Some(target) = heartbeat {
            return Line::Heartbeat(target.as_heartbeat());
        }
        let record = record();
        self.changed.insert(record.key.clone());
        Line::Record(record)
    }
}

/// Place at which a poll found the end of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// The topic.
    pub topic: Topic,
    /// Era of the store.
    pub era: u64,
    /// Offset of the end.
    pub offset: u64,
    /// When the topic ended there.
    pub at: Instant,
}

/// Records that this router relays, in the order of their offsets, and when they were read.
#[derive(Debug, Default)]
pub struct Outbox(VecDeque<(Instant, u64, Line)>);

impl Outbox {
    /// Forgets all records.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Parts of the relayed poll that found `end` and read `lines`, with those of earlier polls within
    /// `keep_time` as far as they fit one more part.
    pub fn polls(
        &mut self,
        lines: Vec<(u64, Line)>,
        end: End,
        keep_time: Duration,
        now: Instant,
    ) -> Vec<Poll> {
        self.0.retain(|(read_at, ..)| now.saturating_duration_since(*read_at) <= keep_time);
        let begins_at = lines.first().map_or(end.offset, |(offset, _)| *offset);
        if self.0.back().is_some_and(|(_, last, _)| last + 1 != begins_at) {
            // Other routers have relayed the records in between.
            self.0.clear();
        }
        let new_len = lines.iter().map(|(_, line)| line.len()).sum::<usize>();
        let max_len = new_len.max(MAX_PART_BYTES);
        // A poll that needs several parts anyway gets another one for the repetition.
        let max_len = if new_len > MAX_PART_BYTES { max_len + MAX_PART_BYTES } else { max_len };
        self.0.extend(lines.into_iter().map(|(offset, line)| (now, offset, line)));
        let too_long = self.0.iter().rposition(|(.., line)| line.len() > MAX_RECORD_BYTES);
        self.0.drain(..too_long.map_or(0, |at| at + 1));
        let mut len = self.0.iter().map(|(.., line)| line.len()).sum::<usize>();
        while len > max_len.min(MAX_PARTS * MAX_PART_BYTES) {
            let Some((.., line)) = self.0.pop_front() else { break };
            len -= line.len();
        }
        self.split(end, now)
    }

    fn split(&self, end: End, now: Instant) -> Vec<Poll> {
        let age = now.saturating_duration_since(end.at);
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let first = self.0.front().map_or(end.offset, |(_, offset, _)| *offset);
        let mut poll = empty_part(first, end, age_ms);
        let (mut len, mut parts) = (0, Vec::new());
        for (_, offset, line) in &self.0 {
            if len > 0 && len + line.len() > MAX_PART_BYTES {
                parts.push(finish(std::mem::replace(&mut poll, empty_part(*offset, end, age_ms))));
                len = 0;
            }
            len += line.len();
            poll.next_offset = offset + 1;
            match line {
                Line::Heartbeat(heartbeat) => poll.heartbeats.push(*heartbeat),
                Line::Record(record) => {
                    let at = u32::try_from(offset - poll.from).unwrap_or(u32::MAX);
                    poll.record_offsets.push(at);
                    poll.records.push(record.clone());
                }
            }
        }
        parts.push(finish(poll));
        parts
    }
}

fn empty_part(from: u64, end: End, age_ms: u32) -> Poll {
    Poll {
        topic: end.topic,
        era: end.era,
        is_listing: false,
        from,
        next_offset: from,
        end_offset: end.offset,
        age_ms,
        records: Vec::new(),
        record_offsets: Vec::new(),
        heartbeats: Vec::new(),
    }
}

/// Leaves out the offsets of records that have successive ones.
fn finish(mut poll: Poll) -> Poll {
    if poll.heartbeats.is_empty() {
        poll.record_offsets.clear();
    }
    poll
}

/// Part of a relayed poll, as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Era of the store.
    pub era: u64,
    /// Records with their offsets, which are successive.
    pub lines: VecDeque<(u64, Line)>,
    /// Offset after the last record.
    pub next_offset: u64,
    /// Offset at which the topic ended.
    pub end_offset: u64,
    /// When the topic ended there.
    pub at: Instant,
}

impl Part {
    /// Reads a poll for which the topic ended at `at`; `None` if records are missing or don't fit its
    /// offsets.
    pub fn read(poll: Poll, at: Instant) -> Option<Part> {
        let (from, next_offset) = (poll.from, poll.next_offset);
        let count = poll.records.len() + poll.heartbeats.len();
        if next_offset.checked_sub(from)? != count as u64 {
            return None;
        }
        let has_offsets = !poll.heartbeats.is_empty();
        if has_offsets && poll.record_offsets.len() != poll.records.len() {
            return None;
        }
        let mut offsets = poll.record_offsets.into_iter().map(u64::from).peekable();
        let mut records = poll.records.into_iter();
        let mut heartbeats = poll.heartbeats.into_iter();
        let mut lines = VecDeque::with_capacity(count);
        for i in 0..count as u64 {
            let is_record = !has_offsets || offsets.next_if_eq(&i).is_some();
            let line = if is_record {
                Line::Record(records.next()?)
            } else {
                Line::Heartbeat(heartbeats.next()?)
            };
            lines.push_back((from + i, line));
        }
        let end_offset = poll.end_offset.max(next_offset);
        Some(Part { era: poll.era, lines, next_offset, end_offset, at })
    }

    /// Whether the poll has no later part.
    pub fn is_last(&self) -> bool {
        self.next_offset >= self.end_offset
    }

    /// Takes off the lines from the first heartbeat on whose target isn't known, by `is_known`, and
    /// isn't told by a record before it either. Returns those that may be applied now; the others
    /// remain if a record before may make the target known, and are lost otherwise.
    pub fn split_known(
        mut self,
        is_known: impl Fn(u64) -> bool,
        inbox: &mut Inbox,
    ) -> (Part, Option<u64>) {
        let is_unknown =
            |line: &Line| matches!(line, Line::Heartbeat(heartbeat) if !is_known(heartbeat.target));
        let Some(cut) = self.lines.iter().position(|(_, line)| is_unknown(line)) else {
            return (self, None);
        };
        let rest = self.lines.split_off(cut);
        let at = rest.front().map_or(self.next_offset, |(offset, _)| *offset);
        if self.lines.iter().any(|(_, line)| matches!(line, Line::Record(_))) {
            inbox.add(Part { lines: rest, ..self.clone() });
        }
        self.next_offset = at;
        (self, Some(at))
    }
}

/// Parts of relayed polls that wait for earlier ones.
#[derive(Debug, Default)]
pub struct Inbox(Vec<Part>);

impl Inbox {
    /// Adds a part; the one that has waited for the longest time is dropped if there are too many.
    pub fn add(&mut self, part: Part) {
        if self.0.len() >= MAX_WAITING {
            self.0.remove(0);
        }
        self.0.push(part);
    }

    /// Greatest offset at which a topic ended, by the parts that wait; 0 if there are none.
    pub fn end(&self, era: u64) -> u64 {
        let ends = self.0.iter().filter(|part| part.era == era).map(|part| part.end_offset);
        ends.max().unwrap_or(0)
    }

    /// Takes a part that continues the records before `next_offset`, without those that are known.
    pub fn take(&mut self, era: u64, next_offset: u64) -> Option<Part> {
        self.0.retain(|part| part.era == era && part.next_offset > next_offset);
        let follows = |part: &Part| part.lines.front().is_some_and(|(at, _)| *at <= next_offset);
        let mut part = self.0.remove(self.0.iter().position(follows)?);
        part.lines.retain(|(offset, _)| *offset >= next_offset);
        Some(part)
    }
}
