//! Applies, logs and shows evacuations of availability zones. [`evacuation`](gentianhinge_core::evacuation)
//! keeps them.

use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::evacuation::Change;
use gentianhinge_core::ids::Name;
use gentianhinge_core::polling;
use gentianhinge_platform::config;
use serde_json::json;
use tokio::time::{self, Instant};

use super::Context;
use super::state::RouterState;
use super::topic_reader::Batch;

/// Time in which a zone must be free of new requests, if the settings don't say.
pub const DEFAULT_BOUND: Duration = Duration::from_secs(5);

/// Interval of the checks whether a zone has become empty.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Applies what records of the configuration's topic say of zones.
pub fn apply(context: &Context, batch: &Batch) {
    let now = Instant::now();
    let mut state = context.state();
    let changes = match batch {
        Batch::Snapshot(listing) => {
            let records = listing.entries.iter().filter_map(config::evacuation);
            let zones = records.filter(|record| record.is_evacuated).map(|record| record.zone);
            let end = polling::Position { era: listing.era, offset: listing.next_offset };
            state.evacuations.replace(&zones.collect::<Vec<_>>(), end, now)
        }
        Batch::Updates(read) | Batch::AfterGap(read) => {
            let changes = read.entries.iter().filter_map(|entry| {
                let record = config::evacuation(entry)?;
                let at = polling::Position { era: read.era, offset: entry.offset };
                state.evacuations.apply(&record.zone, record.is_evacuated, at, now)
            });
            changes.collect()
        }
    };
    let changes = changes.into_iter().map(|change| {
        let zone_use = state.apply_evacuation_change(&change);
        (change, zone_use)
    });
    let changes = changes.collect::<Vec<_>>();
    drop(state);
    for (change, zone_use) in changes {
        let (zone, outcome, length) = match change {
            Change::Begun(zone) => (zone, "begun", None),
            Change::Ended(zone, length) => (zone, "ended", Some(length.as_millis() as u64)),
        };
        context.log.state_change(json!({
            "event": "evacuation", "zone": &*zone, "outcome": outcome, "for_ms": length,
            "targets": zone_use.target_count, "own_requests": zone_use.own_request_count,
            "requests": zone_use.request_count,
        }));
    }
}

/// Logs when evacuated zones have become empty; never returns. No router sends requests there once
/// `bound` has passed.
pub async fn watch(context: Arc<Context>, bound: Duration) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        check(&context, bound, Instant::now());
    }
}

fn check(context: &Context, bound: Duration, now: Instant) {
    let mut state = context.state();
    if !state.are_targets_loaded() {
        return;
    }
    let zones = state.evacuations.evacuated().map(|(zone, known)| (zone.clone(), known.since));
    let zones = zones.collect::<Vec<(Name, Instant)>>();
    let mut lines = Vec::new();
    for (zone, since) in zones {
        let zone_use = state.zone_use(&zone);
        let outcome = if zone_use.target_count == 0 {
            state.evacuations.mark_unknown(&zone).then_some("no targets in this zone, kept")
        } else if zone_use.request_count == 0 && now >= since + bound {
            state.evacuations.mark_empty(&zone).then_some("empty")
        } else {
            None
        };
        lines.extend(outcome.map(|outcome| {
            json!({
                "event": "evacuation", "zone": &*zone, "outcome": outcome,
                "for_ms": now.duration_since(since).as_millis() as u64,
                "targets": zone_use.target_count,
            })
        }));
    }
    drop(state);
    for line in lines {
        context.log.state_change(line);
    }
}

/// The evacuations for operators, as JSON.
pub fn status(state: &RouterState, now: Instant) -> Vec<serde_json::Value> {
    let evacuations = state.evacuations.evacuated().map(|(zone, evacuation)| {
        let zone_use = state.zone_use(zone);
        json!({
            "zone": &**zone, "for_ms": now.duration_since(evacuation.since).as_millis() as u64,
            "targets": zone_use.target_count, "own_requests": zone_use.own_request_count,
            "requests": zone_use.request_count, "empty": evacuation.is_empty(),
        })
    });
    evacuations.collect()
}
