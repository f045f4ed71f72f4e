//! Follows the topics of the store: configuration, targets, routers.

use std::net;
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::registry::Change;
use gentianhinge_platform::store::{Entries, Store, StoreError};
use gentianhinge_platform::{config as platform_config, peers, registry};
use rand::Rng;
use serde_json::json;
use tokio::time::{self, Instant};

use super::{Context, Phase, exchange};

/// Longest wait of one read for the next record. A connection that went silent is noticed sooner, by
/// the kernel's probes.
const LONG_POLL: Duration = Duration::from_secs(10);

/// Pause after a failed call; grows up to the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause after failed calls: half the time in which a configuration is to be in force.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Pause between two reads of the targets, which may all write at once.
const TARGETS_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two reads of the routers, which all write at once when the fleet starts.
const ROUTERS_PAUSE: Duration = Duration::from_secs(2);

/// How to reach the store.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Address of the store.
    pub addr: net::SocketAddr,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

/// Where a follower stands in its topic, and whether the store answers it.
struct Follower {
    context: Arc<Context>,
    store: Store,
    topic: &'static str,
    next_offset: Option<u64>,
    backoff: Duration,
    failing_since: Option<Instant>,
    /// Whether the last step was the first after an outage.
    is_back: bool,
}

/// What one step has read.
enum Step {
    /// The newest record of each key.
    All(Entries),
    /// Records since the last step.
    More(Entries),
}

impl Follower {
    fn new(context: Arc<Context>, settings: Settings, topic: &'static str) -> Follower {
        let store = Store::new(settings.addr, settings.timeout);
        let (next_offset, backoff) = (None, MIN_BACKOFF);
        Follower {
            context,
            store,
            topic,
            next_offset,
            backoff,
            failing_since: None,
            is_back: false,
        }
    }

    /// Reads what is new; waits for it up to `wait`, and through failures.
    async fn step(&mut self, wait: Duration) -> Step {
        loop {
            // After a failure the first answer is to come at once, to see the store's return.
            let wait = if self.failing_since.is_some() { Duration::ZERO } else { wait };
            let result = match self.next_offset {
                None => self.store.newest(self.topic).await.map(Step::All),
                Some(from) => self.store.read(self.topic, from, wait).await.map(Step::More),
            };
            match result {
                Ok(step) => {
                    self.is_back = self.succeeded();
                    return step;
                }
                Err(err) => self.failed(&err).await,
            }
        }
    }

    /// Notes that the store answers; returns whether it had been away.
    fn succeeded(&mut self) -> bool {
        self.backoff = MIN_BACKOFF;
        let Some(since) = self.failing_since.take() else { return false };
        let away_ms = since.elapsed().as_millis() as u64;
        self.context.log.state(json!({
            "event": "dependency", "dependency": "store", "topic": self.topic,
            "outcome": "regained", "away_ms": away_ms,
        }));
        true
    }

    async fn failed(&mut self, err: &StoreError) {
        if matches!(err, StoreError::Gone) {
            self.next_offset = None;
            return;
        }
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            self.context.log.state(json!({
                "event": "dependency", "dependency": "store", "topic": self.topic,
                "outcome": "lost", "cause": err.to_string(),
            }));
        }
        self.context.metrics.store_failures.increment(1);
        let jitter = rand::rng().random_range(0.5..1.0);
        time::sleep(self.backoff.mul_f64(jitter)).await;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}

/// Follows the operators' configuration.
pub async fn config(context: Arc<Context>, settings: Settings) {
    let mut follower = Follower::new(context.clone(), settings, platform_config::TOPIC);
    loop {
        let (Step::All(read) | Step::More(read)) = follower.step(LONG_POLL).await;
        // An offset never goes back: a listing that ends earlier is stale.
        let next_offset = follower.next_offset.unwrap_or(0).max(read.next_offset);
        follower.next_offset = Some(next_offset);
        // Only the newest that can be read counts.
        for entry in read.entries.iter().rev() {
            if platform_config::text(entry).is_some_and(|text| apply_config(&context, text)) {
                break;
            }
        }
    }
}

/// Puts a configuration in force if it can be read; older versions change nothing.
fn apply_config(context: &Context, text: &[u8]) -> bool {
    let table = match platform_config::decode(text) {
        Ok(table) => table,
        Err(err) => {
            context.metrics.unreadable_records.increment(1);
            context.log.state(json!({
                "event": "config", "outcome": "unreadable, ignored", "cause": err.to_string(),
            }));
            return false;
        }
    };
    let mut brain = context.brain();
    let before = brain.table.as_ref().map(|table| table.version);
    let is_newer = before.is_none_or(|before| table.version > before);
    let (version, route_count) = (table.version, table.route_count());
    if is_newer {
        brain.table = Some(Arc::new(table));
    }
    drop(brain);
    if is_newer {
        context.log.state(json!({
            "event": "config", "outcome": "in force", "version": version, "before": before,
            "routes": route_count,
        }));
    }
    true
}

/// Follows the targets.
pub async fn targets(context: Arc<Context>, settings: Settings) {
    let mut follower = Follower::new(context.clone(), settings, registry::TOPIC);
    loop {
        let due_at = context.brain().registry.next_removal();
        let wait = due_at.map_or(LONG_POLL, |at| at.saturating_duration_since(Instant::now()));
        let step = follower.step(wait.min(LONG_POLL)).await;
        let now = Instant::now();
        if follower.is_back {
            context.brain().registry.resume_after_outage(now);
        }
        match step {
            Step::All(listing) => apply_listing(&context, &mut follower, &listing, now),
            Step::More(read) => {
                follower.next_offset = Some(read.next_offset);
                for entry in &read.entries {
                    let target = registry::decode(entry);
                    count_unreadable(&context, entry, target.is_none());
                    let mut brain = context.brain();
                    let before = brain.registry.get(&entry.key).cloned();
                    let change = brain.registry.apply(&entry.key, entry.offset, target, now);
                    drop(brain);
                    note_change(&context, &entry.key, change, before.as_deref());
                }
            }
        }
        let gone = context.brain().registry.settle(now);
        for id in gone {
            note_change(&context, &id, Change::Gone, None);
        }
        time::sleep(TARGETS_PAUSE).await;
    }
}

fn apply_listing(context: &Context, follower: &mut Follower, listing: &Entries, now: Instant) {
    let targets = listing.entries.iter().filter_map(|entry| {
        let target = registry::decode(entry);
        count_unreadable(context, entry, target.is_none());
        target
    });
    let targets = targets.collect();
    let mut brain = context.brain();
    let known = brain.registry.targets().cloned().collect::<Vec<_>>();
    let Some(changes) = brain.registry.replace(targets, listing.next_offset, now) else {
        drop(brain);
        context.log.state(json!({
            "event": "targets", "outcome": "stale listing ignored", "end": listing.next_offset,
        }));
        return;
    };
    brain.set_targets_known();
    drop(brain);
    follower.next_offset = Some(listing.next_offset);
    for (id, change) in changes {
        let before = known.iter().find(|target| target.id == id);
        note_change(context, &id, change, before.map(|target| &**target));
    }
}

fn count_unreadable(
    context: &Context,
    entry: &gentianhinge_platform::store::Entry,
    is_unusable: bool,
) {
    if is_unusable && entry.value.is_some() {
        context.metrics.unreadable_records.increment(1);
        context.log.state(json!({
            "event": "target", "target": entry.key, "offset": entry.offset,
            "outcome": "record names no target that can be used",
        }));
    }
}

/// Logs a change, and forgets what was believed of an incarnation that is over.
fn note_change(
    context: &Context,
    id: &str,
    change: Change,
    before: Option<&gentianhinge_core::registry::Target>,
) {
    let outcome = match change {
        Change::None => return,
        Change::Added => "added",
        Change::Leaving => "leaving",
        Change::Gone => "gone",
    };
    if let Some(before) = before.filter(|_| change != Change::Leaving) {
        context.brain().forget(before.hash());
    }
    context.log.state(json!({ "event": "target", "target": id, "outcome": outcome }));
}

/// Makes this router known, and follows the others.
pub async fn routers(
    context: Arc<Context>,
    settings: Settings,
    me: peers::Peer,
    known: exchange::Peers,
) {
    let mut follower = Follower::new(context.clone(), settings, peers::TOPIC);
    let name = context.name.to_string();
    while let Err(err) = follower.store.put(peers::TOPIC, &name, &peers::encode(&me)).await {
        follower.failed(&err).await;
    }
    let mut phase = context.phase.subscribe();
    loop {
        let step = tokio::select! {
            step = follower.step(LONG_POLL) => step,
            _ = phase.wait_for(|phase| *phase != Phase::Serving) => break,
        };
        let (Step::All(read) | Step::More(read)) = step;
        let next_offset = follower.next_offset.unwrap_or(0).max(read.next_offset);
        follower.next_offset = Some(next_offset);
        for entry in read.entries.iter().filter(|entry| entry.key != name) {
            known.set(&entry.key, peers::decode(entry));
        }
        time::sleep(ROUTERS_PAUSE).await;
    }
    if let Err(err) = follower.store.put(peers::TOPIC, &name, &[]).await {
        // The others notice the silence.
        context.log.state(json!({
            "event": "stop", "outcome": "record in the store stays", "cause": err.to_string(),
        }));
    }
}
