//! Keeps the state in sync with the store's topics of configurations, targets and routers.

use std::collections::HashSet;
use std::net;
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::registry::Change;
use gentianhinge_core::report;
use gentianhinge_platform::store::{Entries, Entry, Store, StoreError};
use gentianhinge_platform::{config as platform_config, peers, registry};
use rand::Rng;
use serde_json::json;
use tokio::time::{self, Instant};

use super::{Context, Phase, load_reports};

/// Timeout of a long poll, including the response, as a multiple of the time within which a
/// configuration must be in force. A connection without a response may have failed silently.
const POLL_TIMEOUT_FACTOR: u32 = 2;

/// Interval at which the offsets reported by other routers are checked.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum interval between two polls that are restarted because other routers have read further.
const MIN_RESTART_INTERVAL: Duration = Duration::from_secs(3);

/// Delay after the first failed call; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum delay after failed calls: half of the time within which a configuration must be in
/// force.
const MAX_BACKOFF: Duration = Duration::from_millis(1000);

/// Pause between two reads of the targets, as a part of the time for which a leaving target may
/// still receive requests. All targets may write at once.
const TARGETS_PAUSE_PART: f64 = 0.2;

/// Number of routers up to which long polls have the base length. Above it they get longer, since
/// by the load reports any router's poll shows all routers whether the store has new records.
const ROUTERS_PER_POLL: f64 = 8.0;

/// Maximum factor by which long polls get longer in a large fleet.
const MAX_POLL_FACTOR: f64 = 4.0;

/// Pause between two reads of the routers. All routers write at once when the fleet starts.
const ROUTERS_PAUSE: Duration = Duration::from_secs(2);

/// Long poll for records of routers, which aren't urgent.
const ROUTERS_LONG_POLL: Duration = Duration::from_secs(25);

/// Address and timing of the store.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Address of the store.
    pub addr: net::SocketAddr,
    /// Timeout of a response, beyond the time of a long poll.
    pub timeout: Duration,
    /// Base length of a long poll.
    pub long_poll: Duration,
    /// Pause between two reads of the targets.
    pub targets_pause: Duration,
}

impl Settings {
    /// Creates settings for a store at `addr`. `config_apply` is the time within which a
    /// configuration must be in force, `drain` the time for which a leaving target may still
    /// receive requests.
    pub fn new(
        addr: net::SocketAddr,
        timeout: Duration,
        config_apply: Duration,
        drain: Duration,
    ) -> Settings {
        let long_poll = (config_apply * POLL_TIMEOUT_FACTOR).saturating_sub(timeout).max(timeout);
        let targets_pause = drain.mul_f64(TARGETS_PAUSE_PART);
        Settings { addr, timeout, long_poll, targets_pause }
    }

    /// Length of the next long poll in a fleet of `router_count` routers. In a large fleet it has
    /// jitter, so that routers don't renew their polls at the same time.
    pub fn next_poll(&self, router_count: usize) -> Duration {
        let factor = (router_count as f64 / ROUTERS_PER_POLL).clamp(1.0, MAX_POLL_FACTOR);
        if factor <= 1.0 {
            return self.long_poll;
        }
        self.long_poll.mul_f64(factor * rand::rng().random_range(0.7..1.0))
    }
}

/// Selects the offset of a topic.
type OffsetOf = fn(&report::Offsets) -> u64;

/// Reader of one topic, with its offset and the state of its connection to the store.
struct TopicReader {
    context: Arc<Context>,
    store: Store,
    topic: &'static str,
    next_offset: Option<u64>,
    backoff: Duration,
    failing_since: Option<Instant>,
    /// Whether the last batch was the first one after an outage.
    has_recovered: bool,
    /// Selects the topic's offset from load reports; `None` if they don't carry it.
    offset_of: Option<OffsetOf>,
    /// When a poll was last restarted because other routers had read further.
    restarted_at: Option<Instant>,
}

/// Records read from a topic.
enum Batch {
    /// The newest record of each key.
    Snapshot(Entries),
    /// Records since the last batch.
    Updates(Entries),
}

impl TopicReader {
    fn new(
        context: Arc<Context>,
        settings: Settings,
        topic: &'static str,
        offset_of: Option<OffsetOf>,
    ) -> TopicReader {
        TopicReader {
            context,
            store: Store::new(settings.addr, settings.timeout),
            topic,
            next_offset: None,
            backoff: MIN_BACKOFF,
            failing_since: None,
            has_recovered: false,
            offset_of,
            restarted_at: None,
        }
    }

    /// Reads the next batch with a long poll of `wait`; retries failed calls.
    async fn next_batch(&mut self, wait: Duration) -> Batch {
        let mut wait = wait;
        loop {
            // After a failure the store should respond at once, so that its recovery is noticed.
            if self.failing_since.is_some() {
                wait = Duration::ZERO;
            }
            let Some(from) = self.next_offset else {
                match self.store.newest(self.topic).await {
                    Ok(listing) => {
                        self.has_recovered = self.record_success();
                        return Batch::Snapshot(listing);
                    }
                    Err(err) => self.handle_failure(&err).await,
                }
                continue;
            };
            let behind = wait_until_behind(&self.context, self.offset_of, from, self.restarted_at);
            let result = tokio::select! {
                result = self.store.read(self.topic, from, wait) => result.map(Batch::Updates),
                peer_offset = behind => {
                    self.restart_poll(from, peer_offset);
                    wait = Duration::ZERO;
                    continue;
                }
            };
            match result {
                Ok(batch) => {
                    self.has_recovered = self.record_success();
                    return batch;
                }
                Err(err) => self.handle_failure(&err).await,
            }
        }
    }

    /// Closes the connection of a poll without a response although other routers have read further.
    fn restart_poll(&mut self, from: u64, peer_offset: u64) {
        self.store.disconnect();
        self.restarted_at = Some(Instant::now());
        self.context.log.state_change(json!({
            "event": "dependency", "dependency": "store", "topic": self.topic,
            "outcome": "other routers have read further, poll restarted", "offset": from, "heard": peer_offset,
        }));
    }

    /// Records a successful call; returns whether it ends an outage.
    fn record_success(&mut self) -> bool {
        self.backoff = MIN_BACKOFF;
        let Some(since) = self.failing_since.take() else { return false };
        let outage_ms = since.elapsed().as_millis() as u64;
        self.context.log.state_change(json!({
            "event": "dependency", "dependency": "store", "topic": self.topic,
            "outcome": "regained", "away_ms": outage_ms,
        }));
        true
    }

    async fn handle_failure(&mut self, err: &StoreError) {
        if matches!(err, StoreError::Gone) {
            self.next_offset = None;
            return;
        }
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            self.context.log.state_change(json!({
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

/// Waits until other routers have read further than `from` at two successive checks; returns their
/// highest offset.
async fn wait_until_behind(
    context: &Context,
    offset_of: Option<OffsetOf>,
    from: u64,
    restarted_at: Option<Instant>,
) -> u64 {
    let Some(offset_of) = offset_of else { return std::future::pending().await };
    if let Some(at) = restarted_at {
        time::sleep_until(at + MIN_RESTART_INTERVAL).await;
    }
    let mut was_behind = false;
    loop {
        time::sleep(PEER_CHECK_INTERVAL).await;
        let peer_offset = offset_of(&context.state().peer_offsets);
        if was_behind && peer_offset > from {
            return peer_offset;
        }
        was_behind = peer_offset > from;
    }
}

/// Keeps the configuration in sync with the store; never returns.
pub async fn config(context: Arc<Context>, settings: Settings) {
    let offset_of: OffsetOf = |offsets| offsets.config;
    let mut reader =
        TopicReader::new(context.clone(), settings, platform_config::TOPIC, Some(offset_of));
    loop {
        let router_count = context.state().load.router_count(Instant::now());
        let wait = settings.next_poll(router_count);
        let (Batch::Snapshot(read) | Batch::Updates(read)) = reader.next_batch(wait).await;
        // Offsets never decrease: a listing that ends earlier is stale.
        let next_offset = reader.next_offset.unwrap_or(0).max(read.next_offset);
        reader.next_offset = Some(next_offset);
        context.state().offsets.config = next_offset;
        // Only the newest readable configuration is applied.
        for entry in read.entries.iter().rev() {
            if platform_config::text(entry).is_some_and(|text| apply_config(&context, text)) {
                break;
            }
        }
    }
}

/// Applies a configuration unless its version is old; returns `false` if it can't be decoded.
fn apply_config(context: &Context, text: &[u8]) -> bool {
    let table = match platform_config::decode(text) {
        Ok(table) => table,
        Err(err) => {
            context.metrics.unreadable_records.increment(1);
            context.log.state_change(json!({
                "event": "config", "outcome": "unreadable, ignored", "cause": err.to_string(),
            }));
            return false;
        }
    };
    let mut state = context.state();
    let before = state.table.as_ref().map(|table| table.version);
    let is_newer = before.is_none_or(|before| table.version > before);
    let (version, route_count) = (table.version, table.route_count());
    if is_newer {
        state.table = Some(Arc::new(table));
    }
    drop(state);
    if is_newer {
        context.log.state_change(json!({
            "event": "config", "outcome": "in force", "version": version, "before": before,
            "routes": route_count,
        }));
    }
    true
}

/// Keeps the targets in sync with the store; never returns.
pub async fn targets(context: Arc<Context>, settings: Settings) {
    let offset_of: OffsetOf = |offsets| offsets.targets;
    let mut reader = TopicReader::new(context.clone(), settings, registry::TOPIC, Some(offset_of));
    let mut unreadable = HashSet::new();
    loop {
        let now = Instant::now();
        let (due_at, router_count) = {
            let state = context.state();
            (state.registry.next_removal(), state.load.router_count(now))
        };
        let until_due = due_at.map(|at| at.saturating_duration_since(now));
        let poll = settings.next_poll(router_count);
        let wait = until_due.unwrap_or(poll).min(poll);
        let batch = reader.next_batch(wait).await;
        let now = Instant::now();
        if reader.has_recovered {
            context.state().registry.resume_after_outage(now);
        }
        match batch {
            Batch::Snapshot(listing) => {
                apply_listing(&context, &mut reader, &mut unreadable, &listing, now);
            }
            Batch::Updates(read) => {
                reader.next_offset = Some(read.next_offset);
                for entry in &read.entries {
                    let target = registry::decode(entry);
                    record_unreadable(&context, &mut unreadable, entry, target.is_none());
                    let mut state = context.state();
                    let before = state.registry.get(&entry.key).cloned();
                    let change = state.registry.apply(&entry.key, entry.offset, target, now);
                    drop(state);
                    record_change(&context, &entry.key, change, before.as_deref());
                }
            }
        }
        context.state().offsets.targets = reader.next_offset.unwrap_or(0);
        let removed = context.state().registry.apply_due_removals(now);
        for id in removed {
            record_change(&context, &id, Change::Removed, None);
        }
        time::sleep(settings.targets_pause).await;
    }
}

fn apply_listing(
    context: &Context,
    reader: &mut TopicReader,
    unreadable: &mut HashSet<Name>,
    listing: &Entries,
    now: Instant,
) {
    let targets = listing.entries.iter().filter_map(|entry| {
        let target = registry::decode(entry);
        record_unreadable(context, unreadable, entry, target.is_none());
        target
    });
    let targets = targets.collect();
    let mut state = context.state();
    let targets_before = state.registry.targets().cloned().collect::<Vec<_>>();
    let Some(changes) = state.registry.replace(targets, listing.next_offset, now) else {
        drop(state);
        context.log.state_change(json!({
            "event": "targets", "outcome": "stale listing ignored", "end": listing.next_offset,
        }));
        return;
    };
    state.set_targets_loaded();
    drop(state);
    reader.next_offset = Some(listing.next_offset);
    for (id, change) in changes {
        let before = targets_before.iter().find(|target| target.id == id);
        record_change(context, &id, change, before.map(|target| &**target));
    }
}

/// Counts a record that can't be used as a target. It is logged only once, since the target writes
/// it again with each heartbeat.
fn record_unreadable(
    context: &Context,
    unreadable: &mut HashSet<Name>,
    entry: &Entry,
    is_unusable: bool,
) {
    if !is_unusable || entry.value.is_none() {
        unreadable.remove(&*entry.key);
        return;
    }
    context.metrics.unreadable_records.increment(1);
    if unreadable.insert(entry.key.as_str().into()) {
        context.log.state_change(json!({
            "event": "target", "target": entry.key, "offset": entry.offset,
            "outcome": "record names no target that can be used",
        }));
    }
}

/// Logs a change of a target, and drops the load and health of its previous incarnation.
fn record_change(
    context: &Context,
    id: &str,
    change: Change,
    before: Option<&gentianhinge_core::registry::Target>,
) {
    let outcome = match change {
        Change::None => return,
        Change::Added => "added",
        Change::Leaving => "leaving",
        Change::Removed => "gone",
    };
    if let Some(before) = before.filter(|_| change != Change::Leaving) {
        context.state().forget(before.hash());
    }
    context.log.state_change(json!({ "event": "target", "target": id, "outcome": outcome }));
}

/// Registers this router in the store and keeps the other routers in sync, until the shutdown,
/// which removes the registration.
pub async fn routers(
    context: Arc<Context>,
    settings: Settings,
    own_peer: peers::Peer,
    peers: load_reports::Peers,
) {
    let mut reader = TopicReader::new(context.clone(), settings, peers::TOPIC, None);
    let name = context.name.to_string();
    while let Err(err) = reader.store.put(peers::TOPIC, &name, &peers::encode(&own_peer)).await {
        reader.handle_failure(&err).await;
    }
    let mut phase = context.phase.subscribe();
    loop {
        let batch = tokio::select! {
            batch = reader.next_batch(ROUTERS_LONG_POLL) => batch,
            _ = phase.wait_for(|phase| *phase != Phase::Serving) => break,
        };
        let (Batch::Snapshot(read) | Batch::Updates(read)) = batch;
        let next_offset = reader.next_offset.unwrap_or(0).max(read.next_offset);
        reader.next_offset = Some(next_offset);
        for entry in read.entries.iter().filter(|entry| entry.key != name) {
            peers.set(&entry.key, peers::decode(entry));
        }
        time::sleep(ROUTERS_PAUSE).await;
    }
    if let Err(err) = reader.store.put(peers::TOPIC, &name, &[]).await {
        // Other routers drop this one when its reports stop.
        context.log.state_change(json!({
            "event": "stop", "outcome": "can't remove the record in the store", "cause": err.to_string(),
        }));
    }
}
