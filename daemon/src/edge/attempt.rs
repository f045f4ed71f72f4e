//! A single attempt to run a request at one target.

use std::future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::health;
use gentianhinge_core::ids::Name;
use gentianhinge_core::registry::Target;
use gentianhinge_core::report::Hash;
use gentianhinge_core::routing::{Answer, Idempotency, Route};
use gentianhinge_platform::{answer, caller};
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use serde_json::json;
use tokio::task;
use tokio::time::{self, Instant};

use super::buffered::{self, BufferedResponse};
use super::queue::InFlight;
use super::request_body::RequestBody;
use super::response_limits;
use super::traffic::Traffic;
use super::upstream::{Lease, SendError};

/// Time for reading the body of a refusal so that its connection can be reused.
const DISCARD_TIME: Duration = Duration::from_millis(300);

/// A caller's request with its body, ready to be sent to targets.
pub struct Request {
    /// Head as the caller sent it.
    pub head: http::request::Parts,
    /// Complete body.
    pub body: RequestBody,
    /// Request id.
    pub id: Name,
    /// Route that matches the request.
    pub route: std::sync::Arc<Route>,
    /// Name of the caller's team; `None` on public routes without a known key.
    pub team: Option<Name>,
    /// Deadline of the caller or the route, whichever is earlier.
    pub deadline: Instant,
    /// Deadline of the caller; that of the route if the caller states none.
    pub caller_deadline: Instant,
}

impl Request {
    /// Whether the request may be sent again after a target may have run it.
    pub fn is_repeatable(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent || self.is_resumable()
    }

    /// Whether the response is an event stream that another target may continue.
    pub fn is_resumable(&self) -> bool {
        self.route.answer == Answer::Events { is_resumable: true }
    }

    /// Whether the response is an event stream.
    pub fn expects_events(&self) -> bool {
        self.route.answer != Answer::Complete
    }
}

/// A response whose head has arrived and whose events are still to be read.
pub struct EventStream {
    /// Head of the response.
    pub head: http::response::Parts,
    body: Incoming,
    /// Frame of the body that has been read ahead.
    next_frame: Option<Frame<Bytes>>,
    /// Decoded head.
    pub answer_head: answer::AnswerHead,
    /// Connection to the target.
    pub lease: Lease,
}

/// A frame of a body or its end, as in [`BodyExt::frame`].
pub type FrameResult = Option<Result<Frame<Bytes>, hyper::Error>>;

impl EventStream {
    /// Reads the next frame of the body.
    pub async fn frame(&mut self) -> FrameResult {
        match self.next_frame.take() {
            Some(frame) => Some(Ok(frame)),
            None => self.body.frame().await,
        }
    }

    /// Waits for the first frame, which stays to be read, or the end.
    ///
    /// # Errors
    ///
    /// Describes why the stream hasn't begun. A connection that ends without an event may have
    /// failed.
    pub async fn begin(&mut self) -> Result<(), String> {
        if self.next_frame.is_some() {
            return Ok(());
        }
        match self.body.frame().await {
            Some(Ok(frame)) => self.next_frame = Some(frame),
            Some(Err(err)) => return Err(err.to_string()),
            None if self.answer_head.ends_with_connection => {
                return Err("stream ended without an event".to_string());
            }
            None => {}
        }
        Ok(())
    }
}

/// Result of an attempt.
pub enum Outcome {
    /// A complete response.
    Buffered(BufferedResponse),
    /// The head of an event stream.
    Events(Box<EventStream>),
    /// No byte of the request was written.
    NotSent {
        /// Description of the error.
        cause: String,
        /// Whether connecting to the target failed.
        is_unreachable: bool,
    },
    /// The target states that it hasn't run the request and won't.
    NotRun {
        /// Description of the response.
        cause: String,
        /// Whether the target isn't at its address any more: another process responded there.
        is_unreachable: bool,
    },
    /// There is no usable response; the target may have run the request.
    Unknown(String),
}

impl Outcome {
    /// Whether the target has answered with a server error.
    pub fn is_error(&self) -> bool {
        matches!(self, Outcome::Buffered(response) if response.status.is_server_error())
    }

    /// Whether the target has answered, other than with an error.
    pub fn is_answer(&self) -> bool {
        matches!(self, Outcome::Buffered(_) | Outcome::Events(_)) && !self.is_error()
    }

    /// How the attempt ended, for the log; `None` if its events are still to be read.
    pub fn end(&self) -> Option<&str> {
        match self {
            Outcome::NotSent { cause, .. }
            | Outcome::NotRun { cause, .. }
            | Outcome::Unknown(cause) => Some(cause),
            Outcome::Buffered(response) => Some(response.status.as_str()),
            Outcome::Events(_) => None,
        }
    }
}

/// Sends a request to its chosen target and updates the target's health. The caller enforces the
/// deadline.
pub async fn send(
    traffic: &Rc<Traffic>,
    request: &Request,
    in_flight: &InFlight,
    last_event_id: Option<u64>,
) -> Outcome {
    let (target, hash) = (&in_flight.placement.target, in_flight.placement.hash);
    let sent_at = Instant::now();
    let outcome = send_request(traffic, request, target, hash, last_event_id).await;
    record_health(traffic, target, hash, &outcome);
    if let Outcome::Buffered(response) = &outcome
        && response.status.is_success()
        && in_flight.placement.choice.unread_tokens == 0
    {
        traffic.context.state().times.record_service_time(&target.service, sent_at.elapsed());
    }
    outcome
}

async fn send_request(
    traffic: &Rc<Traffic>,
    request: &Request,
    target: &Target,
    hash: Hash,
    last_event_id: Option<u64>,
) -> Outcome {
    let outgoing = match build_request(request, target, last_event_id) {
        Ok(outgoing) => outgoing,
        Err(err) => return Outcome::NotSent { cause: err.to_string(), is_unreachable: false },
    };
    let sent_at = Instant::now();
    let sent = traffic.upstream.send(target, hash, outgoing, !request.is_repeatable()).await;
    let (response, lease) = match sent {
        Ok(sent) => sent,
        Err(err @ SendError::Unreachable(_)) => {
            return Outcome::NotSent { cause: err.to_string(), is_unreachable: true };
        }
        Err(err @ SendError::NotSent(_)) => {
            return Outcome::NotSent { cause: err.to_string(), is_unreachable: false };
        }
        Err(err @ SendError::Unknown(_)) => return Outcome::Unknown(err.to_string()),
    };
    let answer_head = answer::decode(response.status(), response.headers(), &request.id);
    if answer_head.is_mismatched {
        return Outcome::Unknown("response carries the id of another request".to_string());
    }
    // On a connection that was used before, it may be an extra answer to an earlier request.
    if !answer_head.has_id && lease.is_reused && !request.id.is_empty() {
        return Outcome::Unknown("response on a kept connection carries no id".to_string());
    }
    record_statement(traffic, target, hash, response.status(), &answer_head, sent_at);
    let is_success = response.status().is_success();
    if answer_head.is_encoded || (is_success && !answer_head.is_signed) {
        return Outcome::Unknown("response is encoded or lacks the target's stamp".to_string());
    }
    if is_success && request.expects_events() {
        let (head, body) = response.into_parts();
        return Outcome::Events(Box::new(EventStream {
            head,
            body,
            next_frame: None,
            answer_head,
            lease,
        }));
    }
    let is_not_run = answer_head.is_not_run;
    let status = response.status();
    if is_not_run {
        release_refused(traffic, response.into_body(), lease, &answer_head);
        let is_unreachable = status == http::StatusCode::MISDIRECTED_REQUEST;
        return Outcome::NotRun {
            cause: format!("target responded {status}, request not run"),
            is_unreachable,
        };
    }
    match buffered::read(response, answer_head, lease, traffic).await {
        Ok(response) => Outcome::Buffered(response),
        Err(message) => Outcome::Unknown(message),
    }
}

/// Returns the connection of a refusal to the pool once its body has been read, which nobody needs
/// and no request waits for.
fn release_refused(
    traffic: &Rc<Traffic>,
    body: Incoming,
    lease: Lease,
    answer_head: &answer::AnswerHead,
) {
    if answer_head.is_closing || answer_head.is_mismatched {
        return;
    }
    let (traffic, idle_timeout) = (traffic.clone(), answer_head.idle_timeout);
    task::spawn_local(async move {
        let discarding = time::timeout(DISCARD_TIME, response_limits::discard(body));
        if discarding.await.unwrap_or(false) {
            lease.release(&traffic.upstream, idle_timeout);
        }
    });
}

/// Records what a target states about itself in a response, if the response is the target's.
fn record_statement(
    traffic: &Rc<Traffic>,
    target: &Target,
    hash: Hash,
    status: http::StatusCode,
    answer_head: &answer::AnswerHead,
    sent_at: Instant,
) {
    let is_targets = answer_head.is_signed || answer_head.is_not_run;
    if !is_targets || status == http::StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let context = &traffic.context;
    let mut state = context.state();
    if let Some(percent) = answer_head.load.and_then(|load| load.host_percent) {
        state.record_host_percent(&target.service, hash, percent, Instant::now());
    }
    let news = state.record_statement(hash, &answer_head.statement, sent_at);
    drop(state);
    if news.limit.is_some() || news.is_leaving {
        context.alert.notify_one();
    }
    if let Some(change) = news.limit {
        super::log_limit(context, &target.id, &change, "response");
    }
    if news.is_leaving {
        super::log_leaving(context, &target.id, "response");
    }
    if let Some(hold) = news.hold {
        context.log.state_change(json!({
            "event": "target-hold", "target": &*target.id, "for_ms": hold.as_millis() as u64,
        }));
    }
    if news.is_unreadable {
        context.log.state_change(json!({
            "event": "target", "target": &*target.id, "outcome": "statement can't be read, ignored",
        }));
    }
}

fn build_request(
    request: &Request,
    target: &Target,
    last_event_id: Option<u64>,
) -> Result<http::Request<Full<Bytes>>, http::Error> {
    let time_left = request.caller_deadline.min(request.deadline);
    let router_headers = caller::RouterHeaders {
        target_id: &target.id,
        team: request.team.as_deref(),
        time_left: time_left.saturating_duration_since(Instant::now()),
        last_event_id,
    };
    let mut outgoing = http::Request::builder()
        .method(request.head.method.clone())
        .uri(request.head.uri.path_and_query().map_or("/", |path| path.as_str()))
        .body(Full::new(request.body.bytes.clone()))?;
    *outgoing.headers_mut() = caller::head_for_target(&request.head.headers, &router_headers)?;
    Ok(outgoing)
}

/// Minimum time after which a target without an answer counts as silent.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(150);

/// Part of the remaining time of an idempotent request after which its target counts as silent.
const FIRST_ATTEMPT_PART: f64 = 0.4;

/// Multiple of the latency target within which the first event must arrive, in addition to the time
/// allowed for processing the prompt.
const FIRST_EVENT_TARGET_FACTOR: f64 = 2.5;

/// Multiple of the expected time to process a prompt that is allowed, since the target may process
/// other prompts in between.
const PROMPT_TIME_FACTOR: f64 = 2.0;

/// Timeout for the first event of a stream.
pub fn first_event_time(request: &Request, in_flight: &InFlight) -> Duration {
    let choice = &in_flight.placement.choice;
    let reading = Duration::from_secs_f64((choice.wait_ms + choice.read_ms).max(0.0) / 1e3);
    request.route.latency_target.mul_f64(FIRST_EVENT_TARGET_FACTOR)
        + reading.mul_f64(PROMPT_TIME_FACTOR)
}

/// When the target of an attempt counts as silent: early enough that another one can still serve the
/// request. `None` if the deadline comes first, or the request may not be repeated.
pub fn silent_at(request: &Request, in_flight: &InFlight, now: Instant) -> Option<Instant> {
    let time_left = request.deadline.saturating_duration_since(now);
    let timeout = if request.expects_events() {
        first_event_time(request, in_flight)
    } else {
        time_left.mul_f64(FIRST_ATTEMPT_PART).max(MIN_ATTEMPT_TIME)
    };
    Some(now + timeout).filter(|_| request.is_repeatable() && timeout < time_left)
}

/// Delay of this thread from which on a target's bytes may have arrived without having been read.
const MAX_DELAY: Duration = Duration::from_millis(10);

/// Time for reading what has arrived during a delay.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Waits until a target that hasn't sent anything counts as silent. After a delay of this thread
/// itself, its connections are read first. Never returns without a time.
pub async fn silence(silent_at: Option<Instant>) {
    let Some(silent_at) = silent_at else { return future::pending().await };
    time::sleep_until(silent_at).await;
    if silent_at.elapsed() >= MAX_DELAY {
        time::sleep(CATCH_UP_TIME).await;
    }
}

/// Records that a target has been silent for longer than expected. Its next answer restores it.
pub fn record_silence(traffic: &Rc<Traffic>, target: &Target, hash: Hash) {
    let failure = health::Failure::NoValidAnswer;
    let change = traffic.context.state().health.record_failure(hash, failure, Instant::now());
    log_health(traffic, target, change, "silence");
}

fn record_health(traffic: &Rc<Traffic>, target: &Target, hash: Hash, outcome: &Outcome) {
    let now = Instant::now();
    let mut state = traffic.context.state();
    let change = match outcome {
        outcome if outcome.is_error() => {
            state.health.record_failure(hash, health::Failure::NoValidAnswer, now)
        }
        Outcome::Buffered(_) => state.health.record_success(hash),
        Outcome::NotSent { is_unreachable: true, .. }
        | Outcome::NotRun { is_unreachable: true, .. } => {
            state.health.record_failure(hash, health::Failure::Unreachable, now)
        }
        // The health of a stream's target is updated with its first event.
        Outcome::Events(_) | Outcome::NotSent { .. } | Outcome::NotRun { .. } => {
            health::Change::None
        }
        Outcome::Unknown(_) => {
            state.health.record_failure(hash, health::Failure::NoValidAnswer, now)
        }
    };
    drop(state);
    log_health(traffic, target, change, outcome.end().unwrap_or_default());
}

/// Logs that a target was ejected or restored.
pub fn log_health(traffic: &Rc<Traffic>, target: &Target, change: health::Change, cause: &str) {
    let outcome = match change {
        health::Change::None => return,
        health::Change::Ejected => "ejected",
        health::Change::Restored => "restored",
    };
    traffic.context.log.state_change(json!({
        "event": "health", "target": &*target.id, "outcome": outcome, "cause": cause,
    }));
}
