//! Claims in the log: a call with an idempotency key is recorded there before it is sent, so that
//! it runs at most once.
//!
//! Each shard has one task that reads its stream and one that appends events to it in batches. A
//! call waits until its claim has been read back.

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

/// Largest response body that is stored for retries, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 64 << 10;
/// Timeout from a claim to its decision, after which the call is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that one read waits for new records.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum records per read.
const MAX_PAGE_RECORDS: usize = 1000;
/// Delay before a failed read or append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time between two checks in [`Claims::flush`].
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum events in one record.
const MAX_BATCH_EVENTS: usize = 256;
/// Maximum bytes of stored response bodies in one record.
const MAX_BATCH_BYTES: usize = 256 << 10;
/// Maximum events per shard that wait to be appended; above it, new claims are refused.
const MAX_QUEUED_EVENTS: usize = 10_000;

/// Configuration of [`Claims`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Client of the log.
    pub log: Log,
    /// Name and incarnation of this router, which own its claims.
    pub router: RouterId,
    /// Retention time of the log's records.
    pub retention: Duration,
    /// Minimum time between two appends to one shard, in which claims are batched.
    pub append_interval: Duration,
    /// Longest duration of a call; an unsettled claim of another router that is older counts as
    /// lost.
    pub max_call_duration: Duration,
}

/// Result of trying to claim a call.
#[derive(Debug)]
pub enum ClaimResult {
    /// The call is claimed: it may be sent once, and must be settled afterwards.
    Claimed(Claim),
    /// Another attempt of the call is in progress.
    InProgress,
    /// The call has already run, with this response.
    Stored(Answer),
    /// The call was sent, but its response isn't known or wasn't stored.
    Unknown,
    /// This attempt wasn't sent and never will be.
    Refused(ResultCode),
}

/// The exclusive right to send one call.
///
/// A claim that is dropped unsettled records the call as not run before [`Claim::mark_sending`],
/// and as of unknown outcome after it.
pub struct Claim {
    claims: Claims,
    key: KeyId,
    owner: Owner,
    /// Outcome that is recorded when the claim is dropped.
    outcome: Option<Outcome>,
}

impl Claim {
    /// Marks the call as about to be sent; from now on it may have run.
    pub fn mark_sending(&mut self) {
        self.outcome = Some(Outcome::Unknown);
    }

    /// Records the outcome of the call; appending it is retried until the log accepts it.
    pub fn settle(mut self, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Answered(answer) if answer.body.len() > MAX_STORED_ANSWER_BYTES => {
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
    /// Notifies the task that appends of new events in the queue.
    queued: Notify,
}

struct State {
    shard: Shard,
    claimant: Claimant,
    queue: Vec<Event>,
    /// Whether an append is in flight.
    is_appending: bool,
    waiters: HashMap<u64, oneshot::Sender<ClaimResult>>,
}

impl ShardState {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Claims {
    /// Creates the claims; [`Claims::run`] must run for claims to be decided.
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

    /// Reads and appends all shards' streams until the future is dropped.
    pub async fn run(&self) {
        let tasks = self.inner.shards.iter().map(|shard| async {
            tokio::join!(self.read(shard), self.append(shard));
        });
        future::join_all(tasks).await;
    }

    /// Claims a call; it may be sent only if the result is [`ClaimResult::Claimed`].
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
                Err(lookup) => return self.result_of_lookup(lookup),
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
        // If this future is dropped, the claim is abandoned, so that the call is never sent.
        let guard = AbandonOnDrop { shard, nonce };
        let result = time::timeout(CLAIM_TIMEOUT, &mut decided).await;
        drop(guard);
        // A claim that was decided between the timeout and its abandonment is valid.
        let result = result.map_or_else(|_| decided.try_recv().ok(), Result::ok);
        result.unwrap_or(ClaimResult::Refused(ResultCode::LogUnavailable))
    }

    /// Waits until all queued events are appended, for `timeout` at most.
    pub async fn flush(&self, timeout: Duration) {
        let has_unappended = |shard: &ShardState| {
            let state = shard.lock();
            state.is_appending || !state.queue.is_empty()
        };
        let flushed = async {
            while self.inner.shards.iter().any(has_unappended) {
                time::sleep(FLUSH_POLL_INTERVAL).await;
            }
        };
        let _ = time::timeout(timeout, flushed).await;
    }

    fn shard(&self, key: &KeyId) -> &ShardState {
        &self.inner.shards[usize::try_from(key.shard()).unwrap_or(0)]
    }

    fn result_of_lookup(&self, lookup: Lookup) -> ClaimResult {
        match lookup {
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
            // The claim was read back, but has already expired or been released.
            Lookup::Free => ClaimResult::Refused(ResultCode::LogUnavailable),
        }
    }

    async fn read(&self, shard: &ShardState) {
        let mut wait = Duration::ZERO;
        loop {
            let from = shard.lock().shard.next_offset();
            match self.inner.options.log.read(&shard.stream, from, MAX_PAGE_RECORDS, wait).await {
                Ok(page) => {
                    self.apply_page(shard, page);
                    wait = LONG_POLL_TIMEOUT;
                }
                Err(_) => {
                    time::sleep(RETRY_DELAY).await;
                    wait = Duration::ZERO;
                }
            }
        }
    }

    fn apply_page(&self, shard: &ShardState, page: Page) {
        // Dropped after the lock is released: dropping a claim settles it, which takes the lock.
        let mut unclaimed = Vec::new();
        let mut state = shard.lock();
        let state = &mut *state;
        state.shard.note_log_start(page.first_offset);
        for entry in page.entries {
            // Every reader ignores a record that can't be decoded, so all agree on the claims.
            let events = claims::decode(&entry.data).unwrap_or_default();
            state.shard.apply(entry.offset, entry.at_ms, events.clone());
            let releases = state.claimant.take_releases(&events);
            if !releases.is_empty() {
                state.queue.extend(releases);
                shard.queued.notify_one();
            }
            for event in events {
                unclaimed.extend(self.decide(state, &event));
            }
        }
    }

    /// Decides a claim of this router; returns the result if its caller no longer waits for it.
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
            Decision::Taken(lookup) => self.result_of_lookup(lookup),
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
                    time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Requeues the settlements of a failed append, which are idempotent; a claim is never appended
    /// twice.
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
                // The claim may still appear in the log; its caller waits for it until the timeout.
                (Event::Claim { .. }, AppendError::Unknown(_)) => {}
            }
        }
    }
}

/// Removes as many events from the queue's front as fit in one record.
fn take_batch(queue: &mut Vec<Event>) -> Vec<Event> {
    let mut size_bytes = 0;
    let fits = |event: &&Event| {
        if let Event::Settle { outcome: Outcome::Answered(answer), .. } = event {
            size_bytes += answer.body.len();
        }
        size_bytes <= MAX_BATCH_BYTES
    };
    let count = queue.iter().take(MAX_BATCH_EVENTS).take_while(fits).count();
    // One stored response is smaller than the limit, so at least one event fits.
    queue.drain(..count).collect()
}

/// Abandons a claim when dropped, unless it has been decided.
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
            // If the claim is still queued, it needn't be appended.
            state.queue.retain(
                |event| !matches!(event, Event::Claim { owner, .. } if owner.nonce == nonce),
            );
        }
    }
}
