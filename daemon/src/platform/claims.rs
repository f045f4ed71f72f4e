//! Claims calls that run at most once in the log, before they are sent.
//!
//! Each shard has a task that reads its stream and one that appends, many events in one record.
//! A call waits until its claim has been read back.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use futures_util::future;
use gentianhinge_core::claim::{
    self, Answer, CallHash, Claimant, Decision, Event, KeyId, Lookup, Outcome, Owner, Shard,
};
use gentianhinge_core::code::ResultCode;
use gentianhinge_core::ids::RouterId;
use gentianhinge_wire::claims;
use tokio::sync::{Notify, oneshot};
use tokio::time;

use super::log::{AppendError, Log, Page};

/// Longest answer that is kept whole for retries, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 64 << 10;
/// Longest time from a claim to its decision; then the call is refused.
const CLAIM_BOUND: Duration = Duration::from_secs(3);
/// Longest time that one read waits for a record.
const POLL_WAIT: Duration = Duration::from_secs(10);
/// Most records of one read.
const PAGE_RECORDS: usize = 1000;
/// Pause after a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time between two looks at whether all events are in the log.
const FLUSH_POLL: Duration = Duration::from_millis(5);
/// Most events of one record.
const MAX_BATCH_EVENTS: usize = 256;
/// Most bytes of kept answers in one record.
const MAX_BATCH_BYTES: usize = 256 << 10;
/// Most events that wait for the log; beyond, calls are refused.
const MAX_QUEUED_EVENTS: usize = 10_000;

/// How claims are made.
#[derive(Clone, Debug)]
pub struct Options {
    /// Client of the log.
    pub log: Log,
    /// The incarnation that claims.
    pub router: RouterId,
    /// Time for which the log keeps a record.
    pub retention: Duration,
    /// Least time between two appends to one shard; claims are gathered meanwhile.
    pub append_interval: Duration,
    /// Longest time that a call takes; an older claim without an outcome counts as lost.
    pub max_call_duration: Duration,
}

/// What an attempt at a call comes to.
#[derive(Debug)]
pub enum ClaimResult {
    /// The call may be sent, once; it must be settled afterwards.
    Claimed(Claim),
    /// The call is under way.
    InProgress,
    /// The call has run, and this was the answer.
    Stored(Answer),
    /// The call was sent, and its answer isn't known or wasn't kept.
    Unknown,
    /// The call wasn't sent and this attempt never will be.
    Refused(ResultCode),
}

/// The right to send one call.
///
/// A claim that is dropped settles itself: as not run before [`Claim::sending`], as unknown after.
pub struct Claim {
    claims: Claims,
    key: KeyId,
    owner: Owner,
    /// What is recorded when the claim is dropped.
    outcome: Option<Outcome>,
}

impl Claim {
    /// Notes that the call is about to be sent; from now on it may have run.
    pub fn sending(&mut self) {
        self.outcome = Some(Outcome::Unknown);
    }

    /// Records how the call ended; the record is appended as soon as the log takes it.
    pub fn settle(mut self, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Answered(answer) if answer.body.len() > MAX_KEPT_ANSWER_BYTES => {
                Outcome::AnsweredTooLarge
            }
            outcome => outcome,
        };
        self.outcome = Some(outcome);
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        let Some(outcome) = self.outcome.take() else { return };
        let (key, owner) = (self.key, self.owner.clone());
        let shard = self.claims.shard(&key);
        shard.lock().queue.push(Event::Settle { key, owner, outcome });
        shard.queued.notify_one();
    }
}

impl fmt::Debug for Claim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claim").field("owner", &self.owner).finish_non_exhaustive()
    }
}

/// The claims of one router; clones share them.
#[derive(Clone)]
pub struct Claims {
    inner: Arc<Inner>,
}

struct Inner {
    options: Options,
    shards: Vec<ShardState>,
}

struct ShardState {
    stream: String,
    state: Mutex<State>,
    /// Wakes the task that appends.
    queued: Notify,
}

struct State {
    shard: Shard,
    claimant: Claimant,
    queue: Vec<Event>,
    /// Whether events are on their way to the log.
    is_appending: bool,
    waiters: HashMap<u64, oneshot::Sender<ClaimResult>>,
}

impl ShardState {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Claims {
    /// Creates the claims; [`Claims::run`] reads and appends.
    pub fn new(options: Options) -> Claims {
        let shards = (0..claim::SHARD_COUNT).map(|shard| ShardState {
            stream: claim::stream(shard),
            state: Mutex::new(State {
                shard: Shard::new(options.retention),
                claimant: Claimant::new(options.router.clone()),
                queue: Vec::new(),
                is_appending: false,
                waiters: HashMap::new(),
            }),
            queued: Notify::new(),
        });
        Claims { inner: Arc::new(Inner { shards: shards.collect(), options }) }
    }

    /// Reads and appends until dropped.
    pub async fn run(&self) {
        let tasks = self.inner.shards.iter().map(|shard| async {
            tokio::join!(self.read(shard), self.append(shard));
        });
        future::join_all(tasks).await;
    }

    /// Claims a call; only [`ClaimResult::Claimed`] allows to send it.
    pub async fn claim(&self, key: KeyId, call: CallHash) -> ClaimResult {
        let shard = self.shard(&key);
        let (nonce, mut decided) = {
            let mut state = shard.lock();
            let state = &mut *state;
            if state.queue.len() >= MAX_QUEUED_EVENTS {
                return ClaimResult::Refused(ResultCode::LogUnavailable);
            }
            let event = match state.claimant.begin(&state.shard, key, call) {
                Ok(event) => event,
                Err(taken) => return self.result_of(taken),
            };
            let Event::Claim { owner, .. } = &event else {
                return ClaimResult::Refused(ResultCode::LogUnavailable);
            };
            let nonce = owner.nonce;
            let (sender, decided) = oneshot::channel();
            state.waiters.insert(nonce, sender);
            state.queue.push(event);
            (nonce, decided)
        };
        shard.queued.notify_one();
        // If the caller leaves meanwhile, nobody may send the call any more.
        let guard = AbandonOnDrop { shard, nonce };
        let result = time::timeout(CLAIM_BOUND, &mut decided).await;
        drop(guard);
        // Decided just before it was given up, the claim holds.
        let result = result.map_or_else(|_| decided.try_recv().ok(), Result::ok);
        result.unwrap_or(ClaimResult::Refused(ResultCode::LogUnavailable))
    }

    /// Waits until all events are in the log, at most for `bound`.
    pub async fn flush(&self, bound: Duration) {
        let is_busy = |shard: &ShardState| {
            let state = shard.lock();
            state.is_appending || !state.queue.is_empty()
        };
        let flushed = async {
            while self.inner.shards.iter().any(is_busy) {
                time::sleep(FLUSH_POLL).await;
            }
        };
        let _ = time::timeout(bound, flushed).await;
    }

    fn shard(&self, key: &KeyId) -> &ShardState {
        &self.inner.shards[usize::try_from(key.shard()).unwrap_or(0)]
    }

    fn result_of(&self, taken: Lookup) -> ClaimResult {
        match taken {
            Lookup::Held { owner, at_ms } => {
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                let age = now.saturating_sub(Duration::from_millis(at_ms));
                let is_own = owner.router == self.inner.options.router;
                match is_own || age <= self.inner.options.max_call_duration {
                    true => ClaimResult::InProgress,
                    false => ClaimResult::Unknown,
                }
            }
            Lookup::Settled(Outcome::Answered(answer)) => ClaimResult::Stored(answer),
            Lookup::Settled(_) => ClaimResult::Unknown,
            Lookup::Reused => ClaimResult::Refused(ResultCode::KeyReused),
            // Read back, but already beyond its window or released.
            Lookup::Free => ClaimResult::Refused(ResultCode::LogUnavailable),
        }
    }

    async fn read(&self, shard: &ShardState) {
        let mut wait = Duration::ZERO;
        loop {
            let from = shard.lock().shard.next_offset();
            match self.inner.options.log.read(&shard.stream, from, PAGE_RECORDS, wait).await {
                Ok(page) => {
                    self.take(shard, page);
                    wait = POLL_WAIT;
                }
                Err(_) => {
                    time::sleep(RETRY_PAUSE).await;
                    wait = Duration::ZERO;
                }
            }
        }
    }

    fn take(&self, shard: &ShardState, page: Page) {
        // Dropped after the lock: a claim that nobody waits for settles itself under it.
        let mut unsent = Vec::new();
        let mut state = shard.lock();
        let state = &mut *state;
        state.shard.note_log_start(page.first_offset);
        for entry in page.entries {
            // A record that can't be read holds no claim, for every reader alike.
            let events = claims::decode(&entry.data).unwrap_or_default();
            state.shard.apply(entry.offset, entry.at_ms, events.clone());
            let releases = state.claimant.releases(&events);
            if !releases.is_empty() {
                state.queue.extend(releases);
                shard.queued.notify_one();
            }
            for event in events {
                unsent.extend(self.decide(state, &event));
            }
        }
    }

    /// Decides a claim of this router, and returns what nobody waits for any more.
    fn decide(&self, state: &mut State, event: &Event) -> Option<ClaimResult> {
        let Event::Claim { key, owner, .. } = event else { return None };
        if owner.router != self.inner.options.router {
            return None;
        }
        let result = match state.claimant.decide(&state.shard, owner.nonce)? {
            Decision::Claimed(owner) => {
                let (claims, outcome) = (self.clone(), Some(Outcome::NotRun));
                ClaimResult::Claimed(Claim { claims, key: *key, owner, outcome })
            }
            Decision::Taken(taken) => self.result_of(taken),
        };
        match state.waiters.remove(&owner.nonce) {
            Some(waiter) => waiter.send(result).err(),
            None => Some(result),
        }
    }

    async fn append(&self, shard: &ShardState) {
        loop {
            let batch = {
                let mut state = shard.lock();
                let batch = take_batch(&mut state.queue);
                state.is_appending = !batch.is_empty();
                batch
            };
            if batch.is_empty() {
                shard.queued.notified().await;
                continue;
            }
            let record = Bytes::from(claims::encode(&batch));
            match self.inner.options.log.append(&shard.stream, record).await {
                Ok(_) => {
                    shard.lock().is_appending = false;
                    time::sleep(self.inner.options.append_interval).await;
                }
                Err(err) => {
                    self.requeue(shard, batch, &err);
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Appends settlements again, which does no harm; a claim is never appended twice.
    fn requeue(&self, shard: &ShardState, batch: Vec<Event>, err: &AppendError) {
        let mut state = shard.lock();
        for event in batch {
            match (&event, err) {
                (Event::Settle { .. }, _) => state.queue.push(event),
                (Event::Claim { owner, .. }, AppendError::Refused(_)) => {
                    state.claimant.abandon(owner.nonce);
                    if let Some(waiter) = state.waiters.remove(&owner.nonce) {
                        let _ = waiter.send(ClaimResult::Refused(ResultCode::LogUnavailable));
                    }
                }
                // The claim may yet turn up; its caller waits for that up to the bound.
                (Event::Claim { .. }, AppendError::Unknown(_)) => {}
            }
        }
    }
}

/// Takes as many events as one record holds.
fn take_batch(queue: &mut Vec<Event>) -> Vec<Event> {
    let mut size_bytes = 0;
    let fits = |event: &&Event| {
        if let Event::Settle { outcome: Outcome::Answered(answer), .. } = event {
            size_bytes += answer.body.len();
        }
        size_bytes <= MAX_BATCH_BYTES
    };
    let count = queue.iter().take(MAX_BATCH_EVENTS).take_while(fits).count();
    // One kept answer is smaller than the bound, so there is always an event that fits.
    queue.drain(..count).collect()
}

/// Gives a claim up unless it has been decided.
struct AbandonOnDrop<'a> {
    shard: &'a ShardState,
    nonce: u64,
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        let mut state = self.shard.lock();
        state.waiters.remove(&self.nonce);
        if state.claimant.abandon(self.nonce) {
            let nonce = self.nonce;
            // Not appended yet, it needn't be at all.
            state.queue.retain(
                |event| !matches!(event, Event::Claim { owner, .. } if owner.nonce == nonce),
            );
        }
    }
}
