//! Keeps the state in sync with the store's topics of configurations, targets and routers.

use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::registry::{Change, Target};
use gentianhinge_core::{polling, report};
use gentianhinge_platform::store::{Entries, Entry};
use gentianhinge_platform::{config as platform_config, peers, registry};
use rand::Rng;
use serde_json::json;
use tokio::task;
use tokio::time::{self, Instant};

use super::state::RouterState;
use super::topic_reader::{Batch, TopicReader};
use super::{Context, Phase, evacuations, load_reports};

/// Pause between two reads of the targets, as a part of the time for which a leaving target may
/// still receive requests. All targets may write at once.
const TARGETS_PAUSE_PART: f64 = 0.2;

/// Time within which a router must know the others. They aren't urgent.
pub const ROUTERS_BOUND: Duration = Duration::from_secs(10);

/// Pause between two reads of the routers, and at the fleet's first start between this router's
/// registration and the first read: all routers write at once then.
const ROUTERS_PAUSE: Duration = Duration::from_millis(800);

/// Records after which the readers of the other topics get processor time: a configuration must not
/// wait for some thousand targets.
const YIELD_COUNT: usize = 64;

/// Time for which the first listing of the targets waits for the configuration's. The configuration is
/// one record, which the listings of all routers would delay after a restart of the fleet.
const CONFIG_FIRST_TIME: Duration = Duration::from_secs(1);

/// Interval at which the arrival of the configuration is checked meanwhile.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Keeps the configuration in sync with the store; never returns.
pub async fn config(mut reader: TopicReader) {
    loop {
        let batch = reader.next_batch().await;
        // Evacuations go first: with the first configuration, the router begins to serve.
        evacuations::apply(&reader.context, &batch);
        let (Batch::Snapshot(read) | Batch::Updates(read)) = batch else { continue };
        // Only the newest readable configuration is applied.
        for entry in read.entries.iter().rev() {
            if platform_config::text(entry).is_some_and(|text| apply_config(&reader.context, text))
            {
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
    let (version, route_count) = (table.version, table.route_count());
    let table = Arc::new(table);
    let mut state = context.state();
    let before = state.table.as_ref().map(|table| table.version);
    let is_newer = before.is_none_or(|before| version > before);
    if is_newer {
        state.cold.set_services(table.services());
        state.versions.cover_timeout(table.longest_timeout());
    }
    let old_table = if is_newer { state.table.replace(table) } else { Some(table) };
    drop(state);
    super::log_cold(context);
    // Requests wait for the state, and dropping a large table takes time.
    drop(old_table);
    if is_newer {
        context.log.state_change(json!({
            "event": "config", "outcome": "in force", "version": version, "before": before,
            "routes": route_count,
        }));
    }
    true
}

/// Keeps the targets in sync with the store; never returns.
pub async fn targets(mut reader: TopicReader, drain: Duration) {
    let context = reader.context.clone();
    let mut unreadable = HashSet::new();
    let config_due_at = Instant::now() + CONFIG_FIRST_TIME;
    while context.state().table.is_none() && Instant::now() < config_due_at {
        time::sleep(CONFIG_CHECK_INTERVAL).await;
    }
    loop {
        let batch = tokio::select! {
            batch = reader.next_batch() => batch,
            never = apply_due_removals(&context) => match never {},
        };
        let now = Instant::now();
        if reader.has_recovered {
            context.state().registry.resume_after_outage(now);
        }
        let heartbeats = std::mem::take(&mut reader.heartbeats);
        apply_targets(&context, &mut unreadable, &batch, heartbeats, now).await;
        if context.state().take_version_news(now) {
            context.alert.notify_one();
        }
        reader.pause(drain.mul_f64(TARGETS_PAUSE_PART));
    }
}

/// Removes targets when their delayed removals are due.
async fn apply_due_removals(context: &Context) -> Infallible {
    loop {
        let due_at = context.state().registry.next_removal();
        match due_at {
            Some(at) => time::sleep_until(at).await,
            None => std::future::pending().await,
        }
        let removed = context.state().registry.apply_due_removals(Instant::now());
        for id in removed {
            record_change(context, &id, Change::Removed, None);
        }
    }
}

async fn apply_targets(
    context: &Context,
    unreadable: &mut HashSet<Name>,
    batch: &Batch,
    heartbeats: Vec<(u64, report::Heartbeat)>,
    now: Instant,
) {
    let read = match batch {
        Batch::Snapshot(listing) => return apply_listing(context, unreadable, listing, now).await,
        Batch::Updates(read) => read,
        Batch::AfterGap(_) => return,
    };
    let mut heartbeats = heartbeats.into_iter().peekable();
    for (i, entry) in read.entries.iter().enumerate() {
        if i % YIELD_COUNT == YIELD_COUNT - 1 {
            task::yield_now().await;
        }
        let before = std::iter::from_fn(|| heartbeats.next_if(|(at, _)| *at < entry.offset));
        apply_heartbeats(context, read.era, before.collect(), now).await;
        let target = registry::decode(entry);
        record_unreadable(context, unreadable, entry, target.is_none());
        let mut state = context.state();
        let before = state.registry.get(&entry.key).cloned();
        let heartbeat = target.as_ref().map(|target| target.heartbeat);
        let at = polling::Position { era: read.era, offset: entry.offset };
        let change = state.registry.apply(&entry.key, at, target, now);
        apply_cold(&mut state, &entry.key, before.as_ref(), now);
        drop(state);
        if change == Change::Late {
            // Other routers may not know that the record is late.
            context.alert.notify_one();
            context.log.state_change(json!({
                "event": "target", "target": entry.key, "outcome": "late record ignored",
                "offset": entry.offset, "heartbeat": heartbeat,
                "known": before.as_ref().map(|before| before.heartbeat),
            }));
        }
        record_change(context, &entry.key, change, before.as_deref());
    }
    apply_heartbeats(context, read.era, heartbeats.collect(), now).await;
    super::log_cold(context);
}

/// Applies records of which another router has told the heartbeats only.
async fn apply_heartbeats(
    context: &Context,
    era: u64,
    heartbeats: Vec<(u64, report::Heartbeat)>,
    now: Instant,
) {
    for (i, (offset, heartbeat)) in heartbeats.iter().enumerate() {
        if i % YIELD_COUNT == YIELD_COUNT - 1 {
            task::yield_now().await;
        }
        let at = polling::Position { era, offset: *offset };
        let mut state = context.state();
        let Some(before) = state.registry.by_hash(heartbeat.target).cloned() else { continue };
        // A heartbeat changes neither a target's state nor its incarnation.
        state.registry.apply_heartbeat(heartbeat, at, now);
        apply_cold(&mut state, &before.id, Some(&before), now);
    }
}

/// Applies the cold time of the registered record of a target, if it is not the one before: one that
/// was late or stale has not been registered.
fn apply_cold(state: &mut RouterState, id: &str, before: Option<&Arc<Target>>, now: Instant) {
    let Some(target) = state.registry.get(id) else { return };
    if before.is_none_or(|before| !Arc::ptr_eq(before, target)) {
        state.cold.apply_record(target, before.map(|before| &**before), now);
    }
}

async fn apply_listing(
    context: &Context,
    unreadable: &mut HashSet<Name>,
    listing: &Entries,
    now: Instant,
) {
    let mut targets = Vec::with_capacity(listing.entries.len());
    for some in listing.entries.chunks(YIELD_COUNT) {
        targets.extend(some.iter().filter_map(|entry| {
            let target = registry::decode(entry);
            record_unreadable(context, unreadable, entry, target.is_none());
            target
        }));
        task::yield_now().await;
    }
    let mut state = context.state();
    let targets_before = state.registry.targets().cloned();
    let targets_before =
        targets_before.map(|target| (target.id.clone(), target)).collect::<HashMap<_, _>>();
    let end = polling::Position { era: listing.era, offset: listing.next_offset };
    let Some(changes) = state.registry.replace(targets, end, now) else {
        drop(state);
        context.log.state_change(json!({
            "event": "targets", "outcome": "stale listing ignored", "end": listing.next_offset,
        }));
        return;
    };
    state.set_targets_loaded();
    let registered = state.registry.targets().map(|target| target.id.clone()).collect::<Vec<_>>();
    for id in registered {
        apply_cold(&mut state, &id, targets_before.get(&id), now);
    }
    drop(state);
    for (id, change) in changes {
        let before = targets_before.get(&id);
        record_change(context, &id, change, before.map(|target| &**target));
    }
    super::log_cold(context);
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
        Change::None | Change::Late => return,
        Change::Added => "added",
        Change::Leaving => "leaving",
        Change::Removed => "gone",
    };
    if let Some(before) = before.filter(|_| change != Change::Leaving) {
        context.state().forget(before.hash());
    }
    context.log.state_change(json!({ "event": "target", "target": id, "outcome": outcome }));
}

fn apply_router(context: &Context, peers: &load_reports::Peers, entry: &Entry) {
    let peer = peers::decode(entry);
    let name = Name::from(entry.key.as_str());
    let mut state = context.state();
    match &peer {
        Some(peer) => {
            if name != context.name {
                state.retries.hear_registered(&name, peer.incarnation, Instant::now());
            }
            state.cold.add_router(&name);
            state.registered_routers.insert(name);
        }
        None => {
            state.retries.forget_router(&name);
            state.cold.remove_router(&name, Instant::now());
            state.registered_routers.remove(&name);
        }
    }
    drop(state);
    if entry.key != *context.name {
        peers.set(&entry.key, peer);
    }
}

/// Writes this router's record until the store accepts it.
async fn register(reader: &mut TopicReader, own_peer: &peers::Peer) {
    let name = reader.context.name.to_string();
    let mut backoff = polling::MIN_BACKOFF;
    while let Err(err) = reader.store.put(peers::TOPIC, &name, &peers::encode(own_peer)).await {
        reader.handle_failure(&err, 0);
        let jitter = rand::rng().random_range(0.5..1.0);
        time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(ROUTERS_PAUSE);
    }
}

/// Registers this router in the store and keeps the other routers in sync, until the shutdown,
/// which removes the registration.
pub async fn routers(mut reader: TopicReader, own_peer: peers::Peer, peers: load_reports::Peers) {
    let context = reader.context.clone();
    let name = context.name.to_string();
    register(&mut reader, &own_peer).await;
    if context.is_first_start {
        reader.pause(ROUTERS_PAUSE);
    }
    let mut phase = context.phase.subscribe();
    loop {
        let batch = tokio::select! {
            batch = reader.next_batch() => batch,
            _ = phase.wait_for(|phase| *phase != Phase::Serving) => break,
        };
        let is_listing = matches!(batch, Batch::Snapshot(_));
        let (Batch::Snapshot(read) | Batch::Updates(read)) = batch else { continue };
        for entry in &read.entries {
            apply_router(&context, &peers, entry);
        }
        // Each start writes a record, so that there are more records than routers after a restart.
        let have_restarted = is_listing && read.next_offset > read.entries.len() as u64;
        context.state().retries.set_routers_known(have_restarted);
        if have_restarted {
            context.state().versions.set_restarted();
        }
        if is_listing {
            context.state().cold.set_routers_known();
        }
        if is_listing && read.entries.iter().all(|entry| entry.key != name) {
            // The store has lost the registration.
            register(&mut reader, &own_peer).await;
        }
        reader.pause(ROUTERS_PAUSE);
    }
    reader.store.disconnect();
    if let Err(err) = reader.store.put(peers::TOPIC, &name, &[]).await {
        // Other routers drop this one when its reports stop.
        context.log.state_change(json!({
            "event": "stop", "outcome": "can't remove the record in the store", "cause": err.to_string(),
        }));
    }
}
