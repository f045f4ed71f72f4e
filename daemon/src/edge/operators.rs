//! Metrics, and the operators' address.

use std::collections::HashMap;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};

use gentianhinge_core::ids::Name;
use gentianhinge_platform::names;
use serde_json::json;

use super::Context;
use crate::telemetry;

/// Counters and histograms of the process.
pub struct Metrics {
    telemetry: telemetry::Telemetry,
    histograms_by_team: Mutex<HashMap<Name, HashMap<Name, Arc<RouteHistograms>>>>,
    outcomes: Mutex<HashMap<&'static str, metrics::Counter>>,
    /// Calls to the store that failed.
    pub store_failures: metrics::Counter,
    /// Records of the store that can't be read.
    pub unreadable_records: metrics::Counter,
    /// Bytes of reports to other routers.
    pub report_sent_bytes: metrics::Counter,
    /// Reports that couldn't be sent, received or understood.
    pub report_failures: metrics::Counter,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Histograms of one team on one route.
pub struct RouteHistograms {
    /// Time from arrival to the target, in seconds.
    pub waiting: metrics::Histogram,
    /// Time from arrival to the first event or the whole answer, in seconds.
    pub first_event: metrics::Histogram,
    /// Time from arrival to the end, in seconds.
    pub total: metrics::Histogram,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Creates the counters.
    pub fn new() -> Metrics {
        let telemetry = telemetry::Telemetry::new();
        Metrics {
            store_failures: telemetry.counter("gentianhinge_store_failures_total"),
            unreadable_records: telemetry.counter("gentianhinge_unreadable_records_total"),
            report_sent_bytes: telemetry.counter("gentianhinge_report_sent_bytes_total"),
            report_failures: telemetry.counter("gentianhinge_report_failures_total"),
            histograms_by_team: Mutex::default(),
            outcomes: Mutex::default(),
            telemetry,
        }
    }

    /// The recorder behind the counters.
    pub fn recorder(&self) -> &telemetry::Telemetry {
        &self.telemetry
    }

    /// The histograms of a team on a route.
    pub fn histograms(&self, team: &Name, route: &Name) -> Arc<RouteHistograms> {
        let mut histograms_by_team =
            self.histograms_by_team.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(histograms) = histograms_by_team.get(team).and_then(|routes| routes.get(route))
        {
            return histograms.clone();
        }
        let labels = [("team", &**team), ("route", &**route)];
        let histograms = Arc::new(RouteHistograms {
            waiting: self.telemetry.histogram("gentianhinge_waiting_seconds", &labels),
            first_event: self.telemetry.histogram("gentianhinge_first_event_seconds", &labels),
            total: self.telemetry.histogram("gentianhinge_whole_seconds", &labels),
        });
        histograms_by_team
            .entry(team.clone())
            .or_default()
            .insert(route.clone(), histograms.clone());
        histograms
    }

    /// Counts the outcome of a request.
    pub fn count_outcome(&self, outcome: &'static str) {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = outcomes.entry(outcome).or_insert_with(|| {
            let labels = [("outcome", outcome)];
            self.telemetry.labelled_counter("gentianhinge_requests_total", &labels)
        });
        counter.increment(1);
    }
}

/// Serves operators; never returns.
pub async fn serve(context: Arc<Context>, listener: net::TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => {
            context.log.state_change(json!({ "event": "operators", "outcome": err.to_string() }));
            return;
        }
    };
    let metrics_context = context.clone();
    let status_context = context.clone();
    let app = axum::Router::new()
        .route(
            names::METRICS_PATH,
            axum::routing::get(async move || {
                metrics_context.metrics.telemetry.run_upkeep();
                metrics_context.metrics.telemetry.render()
            }),
        )
        .route("/status", axum::routing::get(async move || axum::Json(status(&status_context))));
    if let Err(err) = axum::serve(listener, app).await {
        context.log.state_change(json!({ "event": "operators", "outcome": err.to_string() }));
    }
}

/// What the router believes, for operators.
fn status(context: &Context) -> serde_json::Value {
    let now = tokio::time::Instant::now();
    let state = context.state();
    let targets = state.registry.targets().map(|target| {
        let load = state.load.load(target.hash());
        json!({
            "id": &*target.id, "service": &*target.service, "addr": target.addr.to_string(),
            "zone": &*target.zone, "leaving": target.is_leaving, "slots": target.slots,
            "running": load.running_count, "unread_tokens": load.unread_tokens,
            "ejected": state.health.is_ejected(target.hash(), now),
        })
    });
    json!({
        "router": &*context.name, "zone": &*context.zone, "phase": format!("{:?}", context.phase()),
        "ready": state.can_serve(), "config_version": state.table.as_ref().map(|table| table.version),
        "routers": state.load.router_count(now), "targets": targets.collect::<Vec<_>>(),
    })
}
