//! Log-based claims on idempotency keys, for calls that run at most once.
//!
//! Before it sends a call with an idempotency key, a router appends a claim to one of the log's
//! claim streams and reads the stream back. The first claim of a key in log order wins. A claim is
//! never transferred: the winner sends the call once or never.
//!
//! # Invariants
//!
//! - Concurrent writers to one stream are safe: all readers see the same first claim.
//! - A claim contains a nonce that one incarnation of a router keeps in memory only. After a
//!   restart the nonce is lost, so the call isn't sent again.
//! - If an append isn't acknowledged, the call may be reported as "not run" once this incarnation
//!   has abandoned the nonce. If the claim appears in the log later, its owner releases it there.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::ids::{Name, RouterId};

/// Number of log streams that claims are sharded over.
pub const SHARD_COUNT: u64 = 4;

/// Divisor of the log's retention that gives the time for which a key is kept.
///
/// The window is well below the retention, so that a reader without state still finds every key of
/// the window in the log.
pub const RETENTION_WINDOW_DIVISOR: u32 = 2;

/// Maximum number of abandoned claims that a router tracks.
pub const MAX_ABANDONED_CLAIMS: usize = 100_000;

/// Hash of a team and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyId(pub [u8; 32]);

/// Hash of the call; detects reuse of a key for another call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallHash(pub [u8; 32]);

impl KeyId {
    /// Hashes a team's idempotency key. Equal keys of two teams give different ids.
    pub fn new(team: &str, key: &[u8]) -> KeyId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(team.len() as u64).to_le_bytes());
        hasher.update(team.as_bytes());
        hasher.update(key);
        KeyId(*hasher.finalize().as_bytes())
    }

    /// Shard of the key's claims, below [`SHARD_COUNT`].
    pub fn shard(&self) -> u64 {
        u64::from(self.0[0]) % SHARD_COUNT
    }
}

/// Name of the log stream of a shard.
pub fn stream(shard: u64) -> String {
    format!("claims-{shard}")
}

/// Identifies one attempt to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Owner {
    /// The only incarnation that may send the call.
    pub router: RouterId,
    /// Number of the attempt within the incarnation.
    pub nonce: u64,
}

/// An answer that is kept to be returned to retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// The `content-type` header of the answer, if it had one.
    pub content_type: Option<Name>,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered(Answer),
    /// The target answered, but the answer exceeds the size that is kept.
    AnsweredTooLarge,
    /// The call was sent and its answer was lost; it may have run.
    Unknown,
    /// The call wasn't sent and won't be; the key is free again.
    NotRun,
}

/// Content of a record of a claim stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Claims a key.
    Claim {
        /// Key to claim.
        key: KeyId,
        /// Call to be sent under the key.
        call: CallHash,
        /// Attempt that claims the key.
        owner: Owner,
    },
    /// Records how a claimed call ended; ignored unless `owner` holds the key.
    Settle {
        /// Claimed key.
        key: KeyId,
        /// Attempt that claimed the key.
        owner: Owner,
        /// How the call ended.
        outcome: Outcome,
    },
}

/// State of a key according to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// The key isn't claimed.
    Free,
    /// The key is claimed and the call has no outcome yet.
    Held {
        /// Attempt that claimed the key.
        owner: Owner,
        /// Time of the claim, in milliseconds since 1970.
        at_ms: u64,
    },
    /// The call has ended.
    Settled(Outcome),
    /// The key was used for another call.
    Reused,
}

#[derive(Clone, Debug)]
struct Entry {
    call: CallHash,
    owner: Owner,
    at_ms: u64,
    outcome: Option<Outcome>,
}

/// Keys of one claim stream, as read from the log.
#[derive(Debug)]
pub struct Shard {
    window_ms: u64,
    next_offset: u64,
    newest_at_ms: u64,
    entries: HashMap<KeyId, Entry>,
    /// Times and keys of claims in log order, for expiry.
    claim_times: VecDeque<(u64, KeyId)>,
}

impl Shard {
    /// Creates an empty shard; `retention` is that of the log.
    pub fn new(retention: Duration) -> Shard {
        let window = retention / RETENTION_WINDOW_DIVISOR;
        Shard {
            window_ms: u64::try_from(window.as_millis()).unwrap_or(u64::MAX),
            next_offset: 0,
            newest_at_ms: 0,
            entries: HashMap::new(),
            claim_times: VecDeque::new(),
        }
    }

    /// Offset to read the stream from.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Skips to the oldest offset that the log keeps. Earlier records are older than the window of
    /// any key.
    pub fn note_log_start(&mut self, first_offset: u64) {
        self.next_offset = self.next_offset.max(first_offset);
    }

    /// Applies the record at [`next_offset`](Shard::next_offset); any other is ignored.
    pub fn apply(&mut self, offset: u64, at_ms: u64, events: Vec<Event>) {
        if offset != self.next_offset {
            return;
        }
        self.next_offset += 1;
        self.newest_at_ms = self.newest_at_ms.max(at_ms);
        self.expire();
        for event in events {
            match event {
                Event::Claim { key, call, owner } => self.claim(key, call, owner, at_ms),
                Event::Settle { key, owner, outcome } => self.settle(key, &owner, outcome),
            }
        }
    }

    /// Returns the state of a key, for a call with this hash.
    pub fn lookup(&self, key: &KeyId, call: &CallHash) -> Lookup {
        match self.entries.get(key) {
            None => Lookup::Free,
            Some(entry) if entry.outcome == Some(Outcome::NotRun) => Lookup::Free,
            Some(entry) if entry.call != *call => Lookup::Reused,
            Some(Entry { outcome: Some(outcome), .. }) => Lookup::Settled(outcome.clone()),
            Some(entry) => Lookup::Held { owner: entry.owner.clone(), at_ms: entry.at_ms },
        }
    }

    /// Number of keys in memory, including settled ones.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    fn claim(&mut self, key: KeyId, call: CallHash, owner: Owner, at_ms: u64) {
        let present = self.entries.get(&key);
        let is_free = present.is_none_or(|entry| entry.outcome == Some(Outcome::NotRun));
        // A released owner has abandoned its nonce, so a duplicate of its claim must not take the
        // key.
        let is_released = present.is_some_and(|entry| entry.owner == owner);
        if is_free && !is_released {
            self.entries.insert(key, Entry { call, owner, at_ms, outcome: None });
            self.claim_times.push_back((at_ms, key));
        }
    }

    fn settle(&mut self, key: KeyId, owner: &Owner, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.owner == *owner && entry.outcome.is_none() {
            entry.outcome = Some(outcome);
        }
    }

    fn expire(&mut self) {
        let oldest_at_ms = self.newest_at_ms.saturating_sub(self.window_ms);
        while let Some((at_ms, key)) = self.claim_times.front().copied() {
            if at_ms >= oldest_at_ms {
                return;
            }
            self.claim_times.pop_front();
            // A key that was released and claimed again has a later entry of its own.
            if self.entries.get(&key).is_some_and(|entry| entry.at_ms == at_ms) {
                self.entries.remove(&key);
            }
        }
    }
}

/// Result of an attempt to claim a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// This incarnation holds the key and may send the call once.
    Claimed(Owner),
    /// The key is or was held by another attempt; never [`Lookup::Free`].
    Taken(Lookup),
}

/// Pending claims of one incarnation of a router.
///
/// Tracks in memory which nonces may still send their call.
#[derive(Debug)]
pub struct Claimant {
    router: RouterId,
    next_nonce: u64,
    pending: BTreeMap<u64, (KeyId, CallHash)>,
    abandoned: BTreeMap<u64, KeyId>,
}

impl Claimant {
    /// Creates the state of an incarnation without claims.
    pub fn new(router: RouterId) -> Claimant {
        Claimant { router, next_nonce: 1, pending: BTreeMap::new(), abandoned: BTreeMap::new() }
    }

    /// The incarnation that owns the claims.
    pub fn router(&self) -> &RouterId {
        &self.router
    }

    /// Begins a claim and returns the record to append.
    ///
    /// # Errors
    ///
    /// Returns the state of the key if it isn't free as far as this router has read the log, or if
    /// this incarnation has a pending claim on it.
    pub fn begin(&mut self, shard: &Shard, key: KeyId, call: CallHash) -> Result<Event, Lookup> {
        let lookup = shard.lookup(&key, &call);
        if lookup != Lookup::Free {
            return Err(lookup);
        }
        if let Some((nonce, _)) = self.pending.iter().find(|(_, (pending, _))| *pending == key) {
            return Err(Lookup::Held { owner: self.owner(*nonce), at_ms: shard.newest_at_ms });
        }
        let owner = self.owner(self.next_nonce);
        self.pending.insert(owner.nonce, (key, call));
        self.next_nonce += 1;
        Ok(Event::Claim { key, call, owner })
    }

    /// Decides a pending claim whose record has been read back from the log.
    ///
    /// Returns `None` if the claim isn't pending any more; the call must not be sent then.
    pub fn decide(&mut self, shard: &Shard, nonce: u64) -> Option<Decision> {
        let (key, call) = self.pending.remove(&nonce)?;
        let owner = self.owner(nonce);
        Some(match shard.lookup(&key, &call) {
            Lookup::Held { owner: first, .. } if first == owner => Decision::Claimed(owner),
            taken => Decision::Taken(taken),
        })
    }

    /// Abandons a claim. This incarnation won't send the call, so it may be reported as "not run".
    ///
    /// Returns whether the claim was still pending.
    pub fn abandon(&mut self, nonce: u64) -> bool {
        let Some((key, _)) = self.pending.remove(&nonce) else { return false };
        self.abandoned.insert(nonce, key);
        if self.abandoned.len() > MAX_ABANDONED_CLAIMS {
            // If the claim of the dropped nonce appears in the log, its key stays held until it
            // expires; the call isn't sent in either case.
            self.abandoned.pop_first();
        }
        true
    }

    /// Returns records that release those abandoned claims which appear in `events`.
    pub fn take_releases(&mut self, events: &[Event]) -> Vec<Event> {
        let own = events.iter().filter_map(|event| match event {
            Event::Claim { owner, .. } if owner.router == self.router => Some(owner.nonce),
            _ => None,
        });
        let appended = own.filter(|nonce| self.abandoned.contains_key(nonce)).collect::<Vec<_>>();
        let release = |nonce: u64| {
            let key = self.abandoned.remove(&nonce)?;
            let owner = self.owner(nonce);
            Some(Event::Settle { key, owner, outcome: Outcome::NotRun })
        };
        appended.into_iter().filter_map(release).collect()
    }

    fn owner(&self, nonce: u64) -> Owner {
        Owner { router: self.router.clone(), nonce }
    }
}
