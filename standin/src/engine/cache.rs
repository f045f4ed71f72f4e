//! Prefix cache of limited size, with an event feed that is delayed and lossy.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::time;

/// Size of a prompt block.
pub const BLOCK_BYTES: usize = 256;
/// Number of events retained for readers; older ones are lost.
const MAX_EVENTS: usize = 4096;

/// Hashes of the prefixes of a prompt that consist of its first block, its first two blocks, and so
/// on. An incomplete last block is ignored.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    blocks
        .map(|block| {
            hasher.update(block);
            let hash = hasher.finalize();
            let mut head = [0; 8];
            head.copy_from_slice(&hash.as_bytes()[..8]);
            u64::from_be_bytes(head)
        })
        .collect()
}

/// Change of a cached block.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed because the cache was full.
    Evicted,
}

/// A cache event as returned to readers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Event {
    /// Sequence number, from 0.
    pub seq: u64,
    /// Kind of change.
    pub kind: EventKind,
    /// Hash of the prefix that ends with the block, as 16 hexadecimal digits.
    pub hash: String,
}

/// Response to a read of cache events.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EventPage {
    /// Sequence number at which the next read continues.
    pub next_seq: u64,
    /// Whether events before or within this response were lost.
    pub lost: bool,
    /// Events in order of sequence number.
    pub events: Vec<Event>,
}

#[derive(Debug)]
struct RetainedEvent {
    seq: u64,
    kind: EventKind,
    hash: u64,
    visible_at: time::Instant,
}

/// Least-recently-used cache of prompt prefixes.
#[derive(Debug)]
pub(super) struct Cache {
    max_blocks: usize,
    last_use: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    next_use: u64,
    next_seq: u64,
    events: VecDeque<RetainedEvent>,
    lag: Duration,
    loss_ratio: f64,
    rng: SmallRng,
}

impl Cache {
    pub(super) fn new(max_blocks: usize, lag: Duration, loss_ratio: f64, seed: u64) -> Cache {
        Cache {
            max_blocks,
            last_use: HashMap::new(),
            by_last_use: BTreeMap::new(),
            next_use: 0,
            next_seq: 0,
            events: VecDeque::new(),
            lag,
            loss_ratio,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Adds the missing blocks of a prompt and returns the number of leading blocks that were
    /// cached.
    pub(super) fn admit(&mut self, hashes: &[u64], now: time::Instant) -> usize {
        let hit_count = hashes.iter().take_while(|hash| self.last_use.contains_key(hash)).count();
        for (i, &hash) in hashes.iter().enumerate().take(self.max_blocks) {
            self.touch(hash);
            if i >= hit_count {
                self.push_event(EventKind::Stored, hash, now);
            }
        }
        while self.last_use.len() > self.max_blocks {
            let Some((_, hash)) = self.by_last_use.pop_first() else { break };
            self.last_use.remove(&hash);
            self.push_event(EventKind::Evicted, hash, now);
        }
        hit_count
    }

    fn touch(&mut self, hash: u64) {
        self.next_use += 1;
        if let Some(old) = self.last_use.insert(hash, self.next_use) {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.next_use, hash);
    }

    fn push_event(&mut self, kind: EventKind, hash: u64, now: time::Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.rng.random_bool(self.loss_ratio.clamp(0.0, 1.0)) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(RetainedEvent { seq, kind, hash, visible_at: now + self.lag });
    }

    /// Visible events, starting at sequence number `from`.
    pub(super) fn events(&self, from: u64, now: time::Instant) -> EventPage {
        let visible = self.events.iter().filter(|event| event.seq >= from);
        let mut page = EventPage { next_seq: from, lost: false, events: Vec::new() };
        for event in visible.take_while(|event| event.visible_at <= now) {
            page.lost |= event.seq != page.next_seq;
            page.next_seq = event.seq + 1;
            let hash = format!("{:016x}", event.hash);
            page.events.push(Event { seq: event.seq, kind: event.kind, hash });
        }
        page
    }
}
