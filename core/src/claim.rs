//! Claims in the log for calls that run at most once.
//!
//! Whoever wants to send a call with an idempotency key first appends a claim to one of the log's
//! claim streams and reads the stream back. The first claim of a key in log order wins. Nobody
//! takes a claim over: the winner sends the call once, or never.
//!
//! # Invariants
//!
//! - Two writers do no harm: all readers see the same first claim.
//! - A claim names a nonce of one incarnation of a router, which keeps it in memory only. After a
//!   restart nobody holds the nonce, so nobody sends the call again.
//! - A claim whose append has no answer may be told "not run" once this incarnation has given the
//!   nonce up. If the claim turns up in the log later, its owner releases it there.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::ids::{Name, RouterId};

/// Streams that claims are spread over.
pub const SHARD_COUNT: u64 = 4;

/// Part of the log's retention for which a key is kept.
///
/// Well below the whole, so that a reader that starts anew still finds every key of the window.
pub const WINDOW_RETENTION_PARTS: u32 = 2;

/// Most abandoned claims that a router remembers.
pub const MAX_ABANDONED: usize = 100_000;

/// Hash of a team and its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyId(pub [u8; 32]);

/// Hash of the call, so that one key isn't used for two calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallHash(pub [u8; 32]);

impl KeyId {
    /// Hashes a team's idempotency key; keys of two teams never meet.
    pub fn new(team: &str, key: &[u8]) -> KeyId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(team.len() as u64).to_le_bytes());
        hasher.update(team.as_bytes());
        hasher.update(key);
        KeyId(*hasher.finalize().as_bytes())
    }

    /// Number of the stream that holds the key's claims.
    pub fn shard(&self) -> u64 {
        u64::from(self.0[0]) % SHARD_COUNT
    }
}

/// Name of a shard's stream.
pub fn stream(shard: u64) -> String {
    format!("claims-{shard}")
}

/// One attempt at a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Owner {
    /// The incarnation that alone may send the call.
    pub router: RouterId,
    /// Number of the attempt within the incarnation.
    pub nonce: u64,
}

/// An answer that is kept for retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: u16,
    /// Its content type, if it had one.
    pub content_type: Option<Name>,
    /// Its body.
    pub body: Vec<u8>,
}

/// How a claimed call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered(Answer),
    /// The target answered, but more than is kept.
    AnsweredTooLarge,
    /// The call was sent and its answer lost; it may have run.
    Unknown,
    /// The call was never sent and never will be; the key is free again.
    NotRun,
}

/// What a record of a claim stream says.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Claims a key.
    Claim {
        /// The key.
        key: KeyId,
        /// The call.
        call: CallHash,
        /// Who claims.
        owner: Owner,
    },
    /// Tells how a claimed call ended; void unless it comes from the key's owner.
    Settle {
        /// The key.
        key: KeyId,
        /// Who tells.
        owner: Owner,
        /// How it ended.
        outcome: Outcome,
    },
}

/// What the log says about a key.
#[derive(Clone, Debug, PartialEq)]
pub enum Lookup {
    /// Nobody holds the key.
    Free,
    /// A claim without an outcome.
    Held {
        /// Who holds it.
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

/// One claim stream as read from the log.
#[derive(Debug)]
pub struct Shard {
    window_ms: u64,
    next_offset: u64,
    newest_at_ms: u64,
    entries: HashMap<KeyId, Entry>,
    /// Claims by age, for expiry.
    ages: VecDeque<(u64, KeyId)>,
}

impl Shard {
    /// Creates a reader that knows nothing; `retention` is the log's.
    pub fn new(retention: Duration) -> Shard {
        let window = retention / WINDOW_RETENTION_PARTS;
        Shard {
            window_ms: u64::try_from(window.as_millis()).unwrap_or(u64::MAX),
            next_offset: 0,
            newest_at_ms: 0,
            entries: HashMap::new(),
            ages: VecDeque::new(),
        }
    }

    /// Offset to read the stream from.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Notes the oldest offset that the log keeps: what is before it is older than any key's window.
    pub fn note_log_start(&mut self, first_offset: u64) {
        self.next_offset = self.next_offset.max(first_offset);
    }

    /// Applies one record; one that isn't the next is passed over.
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

    /// What the log says about a key, for a call with this hash.
    pub fn lookup(&self, key: &KeyId, call: &CallHash) -> Lookup {
        match self.entries.get(key) {
            None => Lookup::Free,
            Some(entry) if entry.outcome == Some(Outcome::NotRun) => Lookup::Free,
            Some(entry) if entry.call != *call => Lookup::Reused,
            Some(Entry { outcome: Some(outcome), .. }) => Lookup::Settled(outcome.clone()),
            Some(entry) => Lookup::Held { owner: entry.owner.clone(), at_ms: entry.at_ms },
        }
    }

    /// Keys that are held in memory.
    pub fn key_count(&self) -> usize {
        self.entries.len()
    }

    fn claim(&mut self, key: KeyId, call: CallHash, owner: Owner, at_ms: u64) {
        let present = self.entries.get(&key);
        let is_free = present.is_none_or(|entry| entry.outcome == Some(Outcome::NotRun));
        // A released owner has given its nonce up, so a late copy of its claim claims nothing.
        let is_released = present.is_some_and(|entry| entry.owner == owner);
        if is_free && !is_released {
            self.entries.insert(key, Entry { call, owner, at_ms, outcome: None });
            self.ages.push_back((at_ms, key));
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
        while let Some((at_ms, key)) = self.ages.front().copied() {
            if at_ms >= oldest_at_ms {
                return;
            }
            self.ages.pop_front();
            // A key that was released and claimed anew has a younger line of its own.
            if self.entries.get(&key).is_some_and(|entry| entry.at_ms == at_ms) {
                self.entries.remove(&key);
            }
        }
    }
}

/// What a caller's attempt comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// This incarnation holds the key: it may send the call, once.
    Claimed(Owner),
    /// The call is another's, or was; [`Lookup::Free`] doesn't occur.
    Taken(Lookup),
}

/// The claims that one incarnation of a router is about to make.
///
/// Keeps what no log can: which nonces may still send.
#[derive(Debug)]
pub struct Claimant {
    router: RouterId,
    next_nonce: u64,
    waiting: BTreeMap<u64, (KeyId, CallHash)>,
    abandoned: BTreeMap<u64, KeyId>,
}

impl Claimant {
    /// Creates the claims of an incarnation, which has none.
    pub fn new(router: RouterId) -> Claimant {
        Claimant { router, next_nonce: 1, waiting: BTreeMap::new(), abandoned: BTreeMap::new() }
    }

    /// The incarnation whose claims these are.
    pub fn router(&self) -> &RouterId {
        &self.router
    }

    /// Begins a claim: gives the record to append, or what the key already came to.
    ///
    /// # Errors
    ///
    /// The key isn't free as far as this router has read, or a claim of its own is under way.
    pub fn begin(&mut self, shard: &Shard, key: KeyId, call: CallHash) -> Result<Event, Lookup> {
        let lookup = shard.lookup(&key, &call);
        if lookup != Lookup::Free {
            return Err(lookup);
        }
        if let Some((nonce, _)) = self.waiting.iter().find(|(_, (waiting, _))| *waiting == key) {
            return Err(Lookup::Held { owner: self.owner(*nonce), at_ms: shard.newest_at_ms });
        }
        let owner = self.owner(self.next_nonce);
        self.waiting.insert(owner.nonce, (key, call));
        self.next_nonce += 1;
        Ok(Event::Claim { key, call, owner })
    }

    /// Decides a claim whose record has been read back; ends the wait.
    ///
    /// `None` if the nonce isn't waiting any more: then it was abandoned and must not be sent.
    pub fn decide(&mut self, shard: &Shard, nonce: u64) -> Option<Decision> {
        let (key, call) = self.waiting.remove(&nonce)?;
        let owner = self.owner(nonce);
        Some(match shard.lookup(&key, &call) {
            Lookup::Held { owner: first, .. } if first == owner => Decision::Claimed(owner),
            taken => Decision::Taken(taken),
        })
    }

    /// Gives a claim up: this incarnation never sends it, so its caller may be told "not run".
    ///
    /// Returns whether the claim was still waiting.
    pub fn abandon(&mut self, nonce: u64) -> bool {
        let Some((key, _)) = self.waiting.remove(&nonce) else { return false };
        self.abandoned.insert(nonce, key);
        if self.abandoned.len() > MAX_ABANDONED {
            // Its key stays held if the claim turns up after all; nobody sends it either way.
            self.abandoned.pop_first();
        }
        true
    }

    /// Records that release abandoned claims which the log does hold after all.
    pub fn take_releases(&mut self, events: &[Event]) -> Vec<Event> {
        let own = events.iter().filter_map(|event| match event {
            Event::Claim { owner, .. } if owner.router == self.router => Some(owner.nonce),
            _ => None,
        });
        let turned_up = own.filter(|nonce| self.abandoned.contains_key(nonce)).collect::<Vec<_>>();
        let release = |nonce: u64| {
            let key = self.abandoned.remove(&nonce)?;
            let owner = self.owner(nonce);
            Some(Event::Settle { key, owner, outcome: Outcome::NotRun })
        };
        turned_up.into_iter().filter_map(release).collect()
    }

    fn owner(&self, nonce: u64) -> Owner {
        Owner { router: self.router.clone(), nonce }
    }
}
