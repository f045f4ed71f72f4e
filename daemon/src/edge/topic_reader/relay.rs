//! What this router relays of its polls, and the batches that relayed polls become.

use bytes::Bytes;
use gentianhinge_core::relaying;
use gentianhinge_core::report::{self, Topic};
use gentianhinge_platform::registry;
use gentianhinge_platform::store::{Entries, Entry};
use tokio::time::Instant;

use super::{Batch, TopicReader};

/// Records that are compared with the known targets at once, while requests wait for the state.
const COMPARED_COUNT: usize = 64;

/// Time for which a record is relayed again with further polls, as a part of the bound. The
/// repetition makes up for lost datagrams.
const RELAY_TIME_PART: f64 = 0.5;

impl TopicReader {
    /// Sends the result of a poll to the other routers, with the records of the last polls.
    pub(super) fn relay(&mut self, read: &Entries, at: Instant) {
        let keep_time = self.policy.bound.mul_f64(RELAY_TIME_PART);
        let end = relaying::End { topic: self.topic, era: read.era, offset: read.end_offset, at };
        let lines = self.relayed_lines(&read.entries);
        let polls = self.relayed.polls(lines, end, keep_time, Instant::now());
        self.context.state().topic_view(self.topic).record_relayed(read.next_offset);
        polls.into_iter().for_each(|poll| self.send(poll));
    }

    /// What other routers are told of records. A poll that fits one datagram tells all of them.
    fn relayed_lines(&self, entries: &[Entry]) -> Vec<(u64, relaying::Line)> {
        let in_full = |entry: &Entry| (entry.offset, relaying::Line::Record(record(entry)));
        let len = entries.iter().map(record_len).sum::<usize>();
        if self.topic != Topic::Targets || len <= relaying::MAX_PART_BYTES {
            return entries.iter().map(in_full).collect();
        }
        let mut condenser = relaying::Condenser::default();
        let mut lines = Vec::with_capacity(entries.len());
        for some in entries.chunks(COMPARED_COUNT) {
            let targets = some.iter().map(registry::decode).collect::<Vec<_>>();
            let state = self.context.state();
            for (entry, target) in some.iter().zip(&targets) {
                let line = condenser.line(&state.registry, target.as_ref(), || record(entry));
                lines.push((entry.offset, line));
            }
        }
        lines
    }

    /// Sends the first listing of an era to the other routers, unless it is too long; then each of
    /// them lists the topic itself.
    pub(super) fn relay_listing(&self, listing: &Entries, at: Instant) {
        if listing.entries.iter().map(record_len).sum::<usize>() > relaying::MAX_PART_BYTES {
            return;
        }
        self.send(report::Poll {
            topic: self.topic,
            era: listing.era,
            is_listing: true,
            from: listing.next_offset,
            next_offset: listing.next_offset,
            end_offset: listing.next_offset,
            age_ms: u32::try_from(at.elapsed().as_millis()).unwrap_or(u32::MAX),
            records: listing.entries.iter().map(record).collect(),
            record_offsets: Vec::new(),
            heartbeats: Vec::new(),
        });
    }

    fn send(&self, poll: report::Poll) {
        if self.outbox.try_send(poll).is_err() {
            tracing::debug!("a poll isn't relayed: the queue is full");
        }
    }

    /// Batch of the records of a relayed poll.
    pub(super) fn updates(&mut self, part: relaying::Part) -> Batch {
        let (era, next_offset, end_offset) = (part.era, part.next_offset, part.next_offset);
        let mut entries = Vec::new();
        for (offset, line) in part.lines {
            match line {
                relaying::Line::Heartbeat(heartbeat) => self.heartbeats.push((offset, heartbeat)),
                relaying::Line::Record(record) => entries.push(Entry {
                    offset,
                    key: record.key,
                    value: record.value.map(Bytes::from),
                }),
            }
        }
        Batch::Updates(Entries { entries, next_offset, era, end_offset })
    }
}

/// Length of a record in a relayed poll.
fn record_len(entry: &Entry) -> usize {
    entry.key.len() + entry.value.as_ref().map_or(0, Bytes::len) + 16
}

fn record(entry: &Entry) -> report::Record {
    let value = entry.value.as_ref().map(|value| value.to_vec());
    report::Record { key: entry.key.clone(), value }
}
