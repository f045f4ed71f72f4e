//! The log record and metrics of one request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::queue::InFlight;
use super::reply::Reason;
use super::spec::Refused;
use super::{Context, decisions, operators, team_counts};

/// Time after the deadline from which a request that hasn't ended counts as overdue.
const OVERDUE_TIME: Duration = Duration::from_millis(250);

/// Collects the decisions on a request. Dropping it writes one log line and updates the metrics.
pub struct RequestRecord {
    context: Arc<Context>,
    request_id: Name,
    arrived_at: Instant,
    route: Option<Name>,
    team: Option<Name>,
    config_version: u64,
    tokens: u32,
    due_at: Option<Instant>,
    deadline: Option<Instant>,
    histograms: Option<Arc<operators::RouteHistograms>>,
    sends: Vec<Value>,
    refused: Option<Refused>,
    first_ms: Option<u64>,
    outcome: &'static str,
    status: u16,
    is_served: bool,
    detail: String,
    waited_before_ms: u64,
    /// Id that the caller names as that of the attempt whose stream it resumes.
    resumes: Option<String>,
    /// Versions of the targets whose events were forwarded, in order; null if unknown.
    versions: Vec<Value>,
}

impl RequestRecord {
    /// Creates the record of a request that has arrived. Until an outcome is set, it is
    /// `caller-left`.
    pub fn new(context: Arc<Context>, request_id: &str, arrived_at: Instant) -> RequestRecord {
        context.open_requests.fetch_add(1, Ordering::Relaxed);
        RequestRecord {
            context,
            request_id: request_id.into(),
            arrived_at,
            route: None,
            team: None,
            config_version: 0,
            tokens: 0,
            due_at: None,
            deadline: None,
            histograms: None,
            sends: Vec::new(),
            refused: None,
            first_ms: None,
            outcome: "caller-left",
            status: 0,
            is_served: false,
            detail: String::new(),
            waited_before_ms: 0,
            resumes: None,
            versions: Vec::new(),
        }
    }

    /// Sets the id of the caller's attempt whose stream this one resumes.
    pub fn set_resumes(&mut self, id: Option<&str>) {
        self.resumes = id.map(str::to_string);
    }

    /// Adds the version of a target that has begun or resumed the stream.
    pub fn add_version(&mut self, version: Option<&str>) {
        self.versions.push(version.into());
    }

    /// Sets the time that the caller has waited since its first try, as far as it is recognized.
    pub fn set_waited_before(&mut self, waited: Duration) {
        self.waited_before_ms = waited.as_millis() as u64;
    }

    /// Sets route and team, and the version of the configuration that determined them.
    pub fn set_route(&mut self, route: &Name, team: Option<&Name>, config_version: u64) {
        self.route = Some(route.clone());
        self.team = team.cloned();
        self.config_version = config_version;
        let no_team = || Name::from("");
        let histograms =
            self.context.metrics.histograms(&team.cloned().unwrap_or_else(no_team), route);
        self.histograms = Some(histograms);
    }

    /// Sets the tokens charged to the team, and the end of the latency target.
    pub fn set_tokens(&mut self, tokens: u32, due_at: Instant) {
        (self.tokens, self.due_at) = (tokens, Some(due_at));
        if let Some(team) = self.metered_team() {
            self.context.team_counts.count_arrival(team, tokens);
        }
    }

    /// Sets the deadline of the caller or the route, whichever is earlier.
    pub fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Time since the deadline if the request is overdue.
    fn overdue_time(&self) -> Option<Duration> {
        self.deadline.map(|deadline| deadline.elapsed()).filter(|time| *time >= OVERDUE_TIME)
    }

    /// The team, if the request counts toward its share.
    fn metered_team(&self) -> Option<&Name> {
        self.team.as_ref().filter(|_| self.tokens > 0)
    }

    /// Adds an attempt with the estimates on which the choice of its target is based; returns its
    /// number.
    pub fn add_attempt(&mut self, in_flight: &InFlight) -> usize {
        let choice = &in_flight.placement.choice;
        let waiting_time = self.arrived_at.elapsed();
        if let Some(histograms) = self.histograms.as_ref().filter(|_| self.sends.is_empty()) {
            histograms.waiting.record(waiting_time.as_secs_f64());
        }
        if let Some(team) = self.metered_team().filter(|_| self.sends.is_empty()) {
            self.context.team_counts.count_send(team, self.tokens);
        }
        let mut send = json!({
            "target": &*in_flight.placement.target.id, "at_ms": waiting_time.as_millis() as u64,
            "wait_ms": choice.wait_ms as u64, "read_ms": choice.read_ms as u64,
            "fixed_ms": in_flight.placement.timing.fixed_ms as u64,
            "unread": choice.unread_tokens, "missed": choice.missed_tokens, "running": choice.load.running_count as u64,
        });
        if let Some((limit_per_s, age)) = in_flight.placement.limit {
            send["limit_per_s"] = limit_per_s.into();
            send["limit_age_ms"] = (age.as_millis() as u64).into();
        }
        self.sends.push(send);
        self.sends.len() - 1
    }

    /// Sets why admission refused the request.
    pub fn set_refusal(&mut self, refused: &Refused) {
        self.refused = Some(*refused);
    }

    /// Sets the result of an attempt.
    pub fn set_attempt_result(&mut self, number: usize, result: &str) {
        self.set_attempt_field(number, "result", result.into());
    }

    /// Records that the target of an attempt has been silent for longer than expected.
    pub fn set_silent(&mut self, number: usize) {
        let silent_ms = self.arrived_at.elapsed().as_millis() as u64;
        self.set_attempt_field(number, "silent_ms", silent_ms.into());
    }

    /// Records that the head of an event stream has arrived, which may be long before an event.
    pub fn set_head(&mut self, number: usize) {
        let head_ms = self.arrived_at.elapsed().as_millis() as u64;
        self.set_attempt_field(number, "head_ms", head_ms.into());
    }

    /// Records the time from sending an attempt to its first event, to be compared with the sum of
    /// `wait_ms`, `read_ms` and `fixed_ms`.
    pub fn set_read(&mut self, number: usize, time: Duration) {
        self.set_attempt_field(number, "first_ms", (time.as_millis() as u64).into());
    }

    /// Records that later attempts were given up, as the target of attempt `number` has answered.
    pub fn cancel_after(&mut self, number: usize) {
        for later in number + 1..self.sends.len() {
            if self.sends[later].get("result").is_none() {
                self.set_attempt_result(later, "canceled");
            }
        }
    }

    fn set_attempt_field(&mut self, number: usize, name: &str, value: Value) {
        if let Some(send) = self.sends.get_mut(number).and_then(Value::as_object_mut) {
            send.insert(name.to_string(), value);
        }
    }

    /// Sets the time of the first event, or of the complete response of a request without events.
    pub fn set_first_event(&mut self) {
        let first_event_time = self.arrived_at.elapsed();
        if let Some(team) = self.metered_team().filter(|_| self.first_ms.is_none()) {
            let is_late = self.due_at.is_some_and(|due_at| Instant::now() > due_at);
            self.context.team_counts.count_first_event(team, self.tokens, is_late);
        }
        self.first_ms = u64::try_from(first_event_time.as_millis()).ok();
        if let Some(histograms) = &self.histograms {
            histograms.first_event.record(first_event_time.as_secs_f64());
        }
    }

    /// Sets the outcome; a later call replaces it.
    pub fn set_outcome(&mut self, outcome: &'static str, status: u16, is_served: bool) {
        (self.outcome, self.status, self.is_served) = (outcome, status, is_served);
    }

    /// Sets an explanation of the outcome.
    pub fn set_detail(&mut self, detail: String) {
        self.detail = detail;
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.context.open_requests.fetch_sub(1, Ordering::Relaxed);
        if thread::panicking() {
            let reason = Reason::Unknown;
            self.set_outcome(reason.name(), reason.status().as_u16(), false);
        }
        let total_time = self.arrived_at.elapsed();
        if let Some(histograms) = &self.histograms {
            histograms.total.record(total_time.as_secs_f64());
        }
        self.context.metrics.count_outcome(self.outcome);
        let overdue_time = self.overdue_time();
        if overdue_time.is_some() {
            self.context.metrics.overdue_requests.increment(1);
        }
        if let Some(team) = self.metered_team().filter(|_| self.first_ms.is_none()) {
            let is_crowded_out = self.refused.is_some_and(|refused| refused.is_crowded_out);
            self.context.team_counts.count_refusal(team, is_crowded_out);
        }
        let kind =
            if self.is_served { decisions::LineKind::Request } else { decisions::LineKind::Failed };
        self.context.log.write(kind, || {
            let mut line = json!({
                "event": "request", "id": &*self.request_id, "route": self.route.as_deref(),
                "team": self.team.as_deref(), "tokens": self.tokens, "config": self.config_version, "sends": self.sends,
                "first_ms": self.first_ms, "whole_ms": total_time.as_millis() as u64,
                "outcome": self.outcome, "status": self.status,
            });
            if let Some(refused) = &self.refused {
                line["share"] = team_counts::round_ratio(refused.team_share.ratio).into();
                line["shortfall"] = team_counts::round_ratio(refused.team_share.shortfall).into();
                line["backlog_ms"] = (refused.backlog_ms as u64).into();
                line["mean_backlog_ms"] = (refused.mean_backlog_ms as u64).into();
                line["opens_in_ms"] = (refused.opens_in_ms as u64).into();
                line["crowded_out"] = refused.is_crowded_out.into();
            }
            let config_end = self.context.config_version();
            if config_end.is_some_and(|version| version != self.config_version) {
                line["config_end"] = config_end.into();
            }
            if let Some(overdue_time) = overdue_time {
                line["overdue_ms"] = (overdue_time.as_millis() as u64).into();
            }
            if let Some(id) = &self.resumes {
                line["resumes"] = id.as_str().into();
            }
            if !self.versions.is_empty() {
                line["versions"] = self.versions.clone().into();
            }
            if self.waited_before_ms > 0 {
                line["waited_before_ms"] = self.waited_before_ms.into();
            }
            if !self.detail.is_empty() {
                line["detail"] = self.detail.as_str().into();
            }
            line
        });
    }
}
