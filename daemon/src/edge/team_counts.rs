//! Counts requested and served tokens of each team, and logs them once a second.
//!
//! The lines of all routers together show what every team received in each second, and the share
//! that each router assumed at that time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::report;
use serde_json::{Value, json};
use tokio::time::{self, Instant};

use super::Context;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of one team at this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    arrived_tokens: u64,
    sent_tokens: u64,
    started_tokens: u64,
    largest_tokens: u32,
    refused_count: u32,
    crowded_out_count: u32,
    late_count: u32,
}

/// Counts by team since the last log line.
#[derive(Debug, Default)]
pub struct TeamCounts {
    teams: Mutex<BTreeMap<Name, Counts>>,
}

impl TeamCounts {
    fn teams(&self) -> MutexGuard<'_, BTreeMap<Name, Counts>> {
        // A panic while counting leaves counts that are off by one request at most.
        self.teams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, team: &Name, change: impl FnOnce(&mut Counts)) {
        let mut teams = self.teams();
        if let Some(counts) = teams.get_mut(team) {
            change(counts);
        } else {
            change(teams.entry(team.clone()).or_default());
        }
    }

    /// Counts an arrived request by its charged tokens.
    pub fn count_arrival(&self, team: &Name, tokens: u32) {
        self.count(team, |counts| {
            counts.arrived_tokens += u64::from(tokens);
            counts.largest_tokens = counts.largest_tokens.max(tokens);
        });
    }

    /// Counts a request when it is sent to its first target.
    pub fn count_send(&self, team: &Name, tokens: u32) {
        self.count(team, |counts| counts.sent_tokens += u64::from(tokens));
    }

    /// Counts a request at its first event; `is_late` if that missed the latency target.
    pub fn count_first_event(&self, team: &Name, tokens: u32, is_late: bool) {
        self.count(team, |counts| {
            counts.started_tokens += u64::from(tokens);
            counts.late_count += u32::from(is_late);
        });
    }

    /// Counts a request that ended without a first event; `is_crowded_out` if the queue was full.
    pub fn count_refusal(&self, team: &Name, is_crowded_out: bool) {
        self.count(team, |counts| {
            counts.refused_count += 1;
            counts.crowded_out_count += u32::from(is_crowded_out);
        });
    }
}

/// Logs the counts once a second; never returns.
pub async fn log_counts(context: Arc<Context>) {
    loop {
        time::sleep(LOG_INTERVAL).await;
        for age in context.state().shares.ages(Instant::now()) {
            context.metrics.sums_age.record(age.as_secs_f64());
        }
        let teams = std::mem::take(&mut *context.team_counts.teams());
        if !teams.is_empty() {
            context.log.state_change(log_line(&context, &teams));
        }
    }
}

fn log_line(context: &Context, teams: &BTreeMap<Name, Counts>) -> Value {
    let now = Instant::now();
    let state = context.state();
    let oldest_age = state.shares.ages(now).max().unwrap_or_default();
    let entries = teams.iter().map(|(team, counts)| {
        let team_share = state.shares.team_share(report::hash(team, 0));
        let fields = json!({
            "asked": counts.arrived_tokens, "sent": counts.sent_tokens,
            "begun": counts.started_tokens, "largest": counts.largest_tokens, "refused": counts.refused_count,
            "crowded_out": counts.crowded_out_count, "late": counts.late_count,
            "share": round_ratio(team_share.ratio), "shortfall": round_ratio(team_share.shortfall),
        });
        (team.to_string(), fields)
    });
    let entries = entries.collect::<serde_json::Map<_, _>>();
    json!({
        "event": "shares", "level": state.shares.fair_share_tokens().min(f64::from(u32::MAX)) as u64,
        "oldest_sums_ms": oldest_age.as_millis() as u64,
        "routers": state.load.router_count(now), "teams": entries,
    })
}

/// Rounds a ratio to three decimal places for the log.
pub fn round_ratio(ratio: f64) -> f64 {
    (ratio * 1e3).round() / 1e3
}
