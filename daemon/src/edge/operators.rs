//! Metrics, and the HTTP server for operators.

use std::collections::{BTreeSet, HashMap};
use std::net;
use std::sync::{Arc, Mutex, PoisonError};

use gentianhinge_core::ids::Name;
use gentianhinge_core::report;
use gentianhinge_platform::names;
use serde_json::json;
use tokio::time::Instant;

use super::state::RouterState;
use super::{Context, evacuations};
use crate::telemetry;

/// Metrics of the process.
pub struct Metrics {
    telemetry: telemetry::Telemetry,
    histograms_by_team: Mutex<HashMap<Name, HashMap<Name, Arc<RouteHistograms>>>>,
    outcomes: Mutex<HashMap<&'static str, metrics::Counter>>,
    retries: Mutex<HashMap<(Name, bool), metrics::Counter>>,
    resumptions: Mutex<HashMap<(&'static str, &'static str), metrics::Counter>>,
    connection_errors: Mutex<HashMap<(&'static str, &'static str), metrics::Counter>>,
    /// Requests that ended later than their deadline allows.
    pub overdue_requests: metrics::Counter,
    /// Calls to the store.
    pub store_calls: metrics::Counter,
    /// Failed calls to the store.
    pub store_failures: metrics::Counter,
    /// Calls to the store that ended at their timeout.
    pub store_timeouts: metrics::Counter,
    /// Bytes read from the store, also by calls that failed.
    pub store_read_bytes: metrics::Counter,
    /// Largest lag of the control thread's timers in each second, in seconds.
    pub control_lag: metrics::Histogram,
    /// Reports of other routers that were received.
    pub reports_received: metrics::Counter,
    /// Reports of other routers that later ones have overtaken.
    pub reports_missed: metrics::Counter,
    /// Store records that can't be decoded.
    pub unreadable_records: metrics::Counter,
    /// Ages of the sums of teams and services that other routers reported, in seconds.
    pub sums_age: metrics::Histogram,
    /// Bytes of load reports sent to other routers.
    pub report_sent_bytes: metrics::Counter,
    /// Load reports that couldn't be sent, received or decoded.
    pub report_failures: metrics::Counter,
    /// Times from sending to the first event, relative to the prediction.
    pub first_event_ratio: metrics::Histogram,
    /// Targets that state a limit.
    limited_targets: metrics::Gauge,
    /// Targets that want no requests from this router for a time.
    held_targets: metrics::Gauge,
    /// Targets that have started a short time ago.
    cold_targets: metrics::Gauge,
    /// Registered targets that are leaving.
    leaving_targets: metrics::Gauge,
    /// Availability zones that are evacuated.
    evacuated_zones: metrics::Gauge,
}

impl std::fmt::Debug for Metrics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

/// Histograms of one team on one route.
pub struct RouteHistograms {
    /// Time from arrival until the request is first sent, in seconds.
    pub waiting: metrics::Histogram,
    /// Time from arrival to the first event or the complete response, in seconds.
    pub first_event: metrics::Histogram,
    /// Time from arrival to the end of the response, in seconds.
    pub total: metrics::Histogram,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Creates the metrics with a recorder of their own.
    pub fn new() -> Metrics {
        let telemetry = telemetry::Telemetry::new();
        Metrics {
            overdue_requests: telemetry.counter("gentianhinge_overdue_requests_total"),
            store_calls: telemetry.counter("gentianhinge_store_calls_total"),
            store_failures: telemetry.counter("gentianhinge_store_failures_total"),
            store_timeouts: telemetry.counter("gentianhinge_store_timeouts_total"),
            store_read_bytes: telemetry.counter("gentianhinge_store_read_bytes_total"),
            control_lag: telemetry.histogram("gentianhinge_control_lag_seconds", &[]),
            reports_received: telemetry.counter("gentianhinge_reports_received_total"),
            reports_missed: telemetry.counter("gentianhinge_reports_missed_total"),
            unreadable_records: telemetry.counter("gentianhinge_unreadable_records_total"),
            sums_age: telemetry.histogram("gentianhinge_sums_age_seconds", &[]),
            report_sent_bytes: telemetry.counter("gentianhinge_report_sent_bytes_total"),
            report_failures: telemetry.counter("gentianhinge_report_failures_total"),
            first_event_ratio: telemetry.histogram("gentianhinge_first_event_ratio", &[]),
            limited_targets: telemetry.gauge("gentianhinge_limited_targets"),
            held_targets: telemetry.gauge("gentianhinge_held_targets"),
            cold_targets: telemetry.gauge("gentianhinge_cold_targets"),
            leaving_targets: telemetry.gauge("gentianhinge_leaving_targets"),
            evacuated_zones: telemetry.gauge("gentianhinge_evacuated_zones"),
            histograms_by_team: Mutex::default(),
            outcomes: Mutex::default(),
            retries: Mutex::default(),
            resumptions: Mutex::default(),
            connection_errors: Mutex::default(),
            telemetry,
        }
    }

    /// Recorder of the metrics.
    pub fn recorder(&self) -> &telemetry::Telemetry {
        &self.telemetry
    }

    /// Histograms of a team on a route, created on first use.
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

    /// Counts a request by its outcome.
    pub fn count_outcome(&self, outcome: &'static str) {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = outcomes.entry(outcome).or_insert_with(|| {
            let labels = [("outcome", outcome)];
            self.telemetry.labelled_counter("gentianhinge_requests_total", &labels)
        });
        counter.increment(1);
    }

    /// Counts the resumption of a stream by who resumes it, `caller` or `router`, and its outcome.
    pub fn count_resumption(&self, by: &'static str, outcome: &'static str) {
        let mut resumptions = self.resumptions.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = resumptions.entry((by, outcome)).or_insert_with(|| {
            let labels = [("by", by), ("outcome", outcome)];
            self.telemetry.labelled_counter("gentianhinge_resumptions_total", &labels)
        });
        counter.increment(1);
    }

    /// Counts a connection that ended with an error, by its peer and the cause.
    pub fn count_connection_error(&self, peer: &'static str, cause: &'static str) {
        let mut errors = self.connection_errors.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = errors.entry((peer, cause)).or_insert_with(|| {
            let labels = [("peer", peer), ("cause", cause)];
            self.telemetry.labelled_counter("gentianhinge_connection_errors_total", &labels)
        });
        counter.increment(1);
    }

    /// Counts a retry that was sent, or denied as the budget of its service had no room for it.
    pub fn count_retry(&self, service: &Name, is_sent: bool) {
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        let counter = retries.entry((service.clone(), is_sent)).or_insert_with(|| {
            let outcome = if is_sent { "sent" } else { "denied" };
            let labels = [("service", &**service), ("outcome", outcome)];
            self.telemetry.labelled_counter("gentianhinge_retries_total", &labels)
        });
        counter.increment(1);
    }
}

/// Serves metrics and status to operators; returns only after an error.
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
                update_gauges(&metrics_context);
                metrics_context.metrics.telemetry.run_upkeep();
                metrics_context.metrics.telemetry.render()
            }),
        )
        .route("/status", axum::routing::get(async move || axum::Json(status(&status_context))));
    if let Err(err) = axum::serve(listener, app).await {
        context.log.state_change(json!({ "event": "operators", "outcome": err.to_string() }));
    }
}

fn update_gauges(context: &Context) {
    let now = Instant::now();
    let state = context.state();
    let leaving_count = state.registry.targets().filter(|target| target.is_leaving).count();
    context.metrics.limited_targets.set(state.target_limits.limited_count() as f64);
    context.metrics.held_targets.set(state.holds.count(now) as f64);
    context.metrics.cold_targets.set(state.cold.count(now) as f64);
    context.metrics.leaving_targets.set(leaving_count as f64);
    context.metrics.evacuated_zones.set(state.evacuations.evacuated().count() as f64);
}

/// The router's view of the fleet as JSON.
fn status(context: &Context) -> serde_json::Value {
    let now = Instant::now();
    let mut state = context.state();
    let budgets = retry_budgets(&mut state, now);
    let targets = state.registry.targets().cloned().collect::<Vec<_>>();
    let speeds = targets.iter().map(|target| state.speed(&target.service, now));
    let speeds = speeds.collect::<Vec<_>>();
    let targets = targets.iter().zip(speeds).map(|(target, speed)| {
        let load = state.load.load(target.hash());
        json!({
            "id": &*target.id, "service": &*target.service, "addr": target.addr.to_string(),
            "zone": &*target.zone, "leaving": target.is_leaving, "slots": target.slots,
            "running": load.running_count, "unread_tokens": load.unread_tokens,
            "ejected": state.health.is_ejected(target.hash(), now),
            "held_ms": state.holds.ends_in(target.hash(), now).map(|left| left.as_millis() as u64),
            "cold_ms": state.cold.state(target.hash(), now).map(|cold| cold.ends_in.as_millis() as u64),
            "tokens_per_ms": speed.tokens_per_ms(&state.speeds, target.hash(), now),
            "host_percent": state.speeds.host_percent(target.hash(), now),
            "limit_per_s": state.target_limits.limit(target.hash(), now).map(|(limit, _)| limit),
        })
    });
    json!({
        "router": &*context.name, "zone": &*context.zone, "phase": format!("{:?}", context.phase()),
        "ready": state.can_serve(), "config_version": state.table.as_ref().map(|table| table.version),
        "routers": state.load.router_count(now),
        "registered_routers": state.registered_routers.len(), "targets": targets.collect::<Vec<_>>(),
        "retry_budgets": budgets, "evacuations": evacuations::status(&state, now),
    })
}

/// What the router knows of the retry budget of each service.
fn retry_budgets(state: &mut RouterState, now: Instant) -> Vec<serde_json::Value> {
    let targets = state.registry.targets();
    let services = targets.map(|target| target.service.clone()).collect::<BTreeSet<_>>();
    let budgets = services.into_iter().map(|service| {
        let usage = state.retries.usage(report::hash(&service, 0), now);
        json!({
            "service": &*service, "requests": usage.requests, "retries": usage.retries,
            "allowed": usage.allowed, "own_retries": usage.own_retries,
            "own_allowed": usage.own_allowed,
            "oldest_report_ms": usage.report_age.as_millis() as u64,
        })
    });
    budgets.collect()
}
