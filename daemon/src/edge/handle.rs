//! Processes one request from its arrival to its response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::report::Hash;
use gentianhinge_core::routing::{Answer, Route, RouteTable, Team};
use gentianhinge_core::stream_versions::Origin;
use gentianhinge_core::{admission, report};
use gentianhinge_platform::{answer, caller};
use http::header;
use hyper::body::{Body as _, Incoming};
use rand::Rng;
use tokio::time::{self, Instant};

use super::active::{ActiveRequest, TargetAnswer};
use super::attempt::Request;
use super::buffered::BufferedResponse;
use super::relay::Relay;
use super::reply::{self, Body, Reason};
use super::request_body::{BodyReadError, RequestBody};
use super::request_record::RequestRecord;
use super::spec::{Identity, RequestSpec, Resumption};
use super::traffic::Traffic;
use super::{Context, Phase, linger, panics, request_body, response_limits};

/// `Retry-After` of a request that a configuration may allow which this router hasn't read.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(700);

/// `Retry-After` of a request for whose body there is no memory: about the time that a request takes.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Time for which the body of a refused request is read before the refusal is sent.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Deadline of a request, in its response.
#[derive(Clone, Copy, Debug)]
struct Deadline(Instant);

/// When the caller must have read a response: at the deadline of its request, but it has a moment in
/// any case.
pub fn read_by(response: &http::Response<Body>, now: Instant) -> Instant {
    let deadline = response.extensions().get::<Deadline>();
    deadline.map_or(now, |deadline| deadline.0).max(now + linger::LINGER_TIME)
}

/// Handles one request. Errors and panics become responses, too.
pub async fn handle(
    traffic: Rc<Traffic>,
    request: http::Request<Incoming>,
) -> http::Response<Body> {
    let request_id = caller::request_id(request.headers()).to_string();
    let response = panics::catch_async(respond(traffic, request)).await;
    response.unwrap_or_else(|| {
        let mut response = reply::error_response(Reason::Unknown, &request_id, None);
        reply::set_connection_close(response.headers_mut());
        response
    })
}

async fn respond(traffic: Rc<Traffic>, request: http::Request<Incoming>) -> http::Response<Body> {
    let (head, body) = request.into_parts();
    let caller_head = caller::decode(&head.headers);
    let mut record =
        RequestRecord::new(traffic.context.clone(), &caller_head.request_id, Instant::now());
    record.set_resumes(caller_head.resumes.as_deref());
    let mut response = match prepare(&traffic, head, body, &caller_head, &mut record).await {
        Ok((request, spec)) => {
            let resumption = Resumption {
                last_event_id: caller_head.last_event_id,
                stream: caller_head.resumes.as_deref().map(Name::from),
            };
            let deadline = Deadline(request.deadline);
            let active = ActiveRequest::new(traffic.clone(), request, spec, record, resumption);
            let mut response = answer(active).await;
            response.extensions_mut().insert(deadline);
            response
        }
        Err(Rejection { reason, retry_after, leaves_body }) => {
            let mut response = refuse(&mut record, reason, &caller_head.request_id, retry_after);
            if leaves_body {
                reply::set_connection_close(response.headers_mut());
            }
            response
        }
    };
    if traffic.context.phase() != Phase::Serving || traffic.limits_keep_alive() {
        reply::set_connection_close(response.headers_mut());
    }
    response
}

fn refuse(
    record: &mut RequestRecord,
    reason: Reason,
    request_id: &str,
    retry_after: Option<Duration>,
) -> http::Response<Body> {
    record.set_outcome(reason.name(), reason.status().as_u16(), false);
    reply::error_response(reason, request_id, retry_after)
}

/// Why a request is refused before it is queued.
struct Rejection {
    reason: Reason,
    retry_after: Option<Duration>,
    /// Whether a part of the body is still to be read, so that the connection can't be kept.
    leaves_body: bool,
}

impl From<Reason> for Rejection {
    fn from(reason: Reason) -> Rejection {
        Rejection { reason, retry_after: None, leaves_body: false }
    }
}

/// What the configuration says of a request.
struct Match {
    table: Arc<RouteTable>,
    route: Arc<Route>,
    team: Option<Arc<Team>>,
    service: Name,
}

impl Match {
    /// Deadline of the caller, if it states one, or the route, whichever is earlier.
    fn deadline(&self, arrived_at: Instant, caller_deadline: Option<Instant>) -> Instant {
        let route_deadline = arrived_at + self.route.timeout;
        caller_deadline.map_or(route_deadline, |deadline| deadline.min(route_deadline))
    }

    fn record(&self, record: &mut RequestRecord) {
        let team = self.team.as_ref().map(|team| &team.name);
        record.set_route(&self.route.name, team, self.table.version);
    }
}

/// Determines route, team and deadline of a request and reads its body.
async fn prepare(
    traffic: &Traffic,
    head: http::request::Parts,
    body: Incoming,
    caller_head: &caller::RequestHead,
    record: &mut RequestRecord,
) -> Result<(Request, RequestSpec), Rejection> {
    let arrived_at = Instant::now();
    let mut matched = match find(traffic, &head, caller_head) {
        Ok(matched) => matched,
        Err(rejection) => {
            let leaves_body = !discard_body(body, &head).await;
            return Err(Rejection { leaves_body, ..rejection });
        }
    };
    matched.record(record);
    let max_bytes = matched.table.limits.max_body_bytes;
    let caller_deadline = caller_head.time_left.map(|time| arrived_at + time);
    let body =
        read_body(traffic, body, max_bytes, matched.deadline(arrived_at, caller_deadline)).await?;
    if traffic.context.config_version() != Some(matched.table.version) {
        matched = find(traffic, &head, caller_head)?;
        matched.record(record);
    }
    let deadline = matched.deadline(arrived_at, caller_deadline);
    record.set_deadline(deadline);
    if Instant::now() >= deadline {
        return Err(Reason::TooLate.into());
    }
    let Match { table, route, team, service } = matched;
    let caller_deadline = caller_deadline.unwrap_or(arrived_at + route.timeout);
    let urgency = urgency_step(&table, &route, &service);
    let team_hash = team.as_ref().map_or(0, |team| team.hash);
    let waited_before = caller_head.time_left.map_or(Duration::ZERO, |limit| {
        traffic.context.state().waited_before(&route.name, team_hash, limit)
    });
    record.set_waited_before(waited_before);
    let due_in = route.latency_target.saturating_sub(waited_before);
    let spec = RequestSpec {
        request_id: caller_head.request_id.as_str().into(),
        prompt: caller_head.prompt.clone().filter(|_| route.has_prompt),
        team: team_hash,
        identity: Arc::new(Identity::new(team_hash, &head, &body.bytes)),
        arrived_at,
        due_at: arrived_at + due_in,
        deadline,
        urgency_step: urgency,
        tried: smallvec::SmallVec::new(),
        is_retry: false,
        ahead_count: 0,
        required_version: None,
        service,
    };
    let required_version = required_version(traffic, caller_head, &route, &spec, arrived_at)?;
    let spec = RequestSpec { required_version, ..spec };
    // Such a request is no demand of the team.
    if traffic.context.state().is_quarantined(&spec, arrived_at) {
        record.set_detail(format!("request {:x}", spec.identity.key()));
        return Err(Reason::Quarantined.into());
    }
    record.set_tokens(spec.charged_tokens(), spec.due_at);
    count_arrival(&traffic.context, &spec);
    let team = team.map(|team| team.name.clone());
    let id = spec.request_id.clone();
    Ok((Request { head, body, id, route, team, deadline, caller_deadline }, spec))
}

/// Hash of the software version that must run a request, if it resumes a stream of a known one.
fn required_version(
    traffic: &Traffic,
    caller_head: &caller::RequestHead,
    route: &Route,
    spec: &RequestSpec,
    now: Instant,
) -> Result<Option<Hash>, Rejection> {
    let is_resumed = caller_head.last_event_id.is_some_and(|id| id > 0);
    if !is_resumed || route.answer != (Answer::Events { is_resumable: true }) {
        return Ok(None);
    }
    let context = &traffic.context;
    let origin = context.state().origin(caller_head.resumes.as_deref(), &spec.service, now);
    let (outcome, result) = match origin {
        Origin::Version(version) => ("same-version", Ok(Some(version))),
        Origin::Any => ("one-version", Ok(None)),
        Origin::Unknown => ("version-unknown", Err(Reason::VersionUnknown.into())),
    };
    context.metrics.count_resumption("caller", outcome);
    result
}

/// Looks up a request in the configuration in force.
fn find(
    traffic: &Traffic,
    head: &http::request::Parts,
    caller_head: &caller::RequestHead,
) -> Result<Match, Rejection> {
    let mut state = traffic.context.state();
    let (table, may_lack_config) = (state.table.clone(), state.may_lack_config(Instant::now()));
    drop(state);
    let for_a_time = |reason: Reason| Rejection {
        retry_after: Some(NO_CONFIG_RETRY_AFTER),
        ..Rejection::from(reason)
    };
    let table = table.ok_or_else(|| for_a_time(Reason::NoConfig))?;
    find_in(table, head, caller_head).map_err(|reason| match reason {
        Reason::NoRoute | Reason::UnknownKey if may_lack_config => for_a_time(Reason::OldConfig),
        reason => reason.into(),
    })
}

/// Looks up a request in a configuration.
fn find_in(
    table: Arc<RouteTable>,
    head: &http::request::Parts,
    caller_head: &caller::RequestHead,
) -> Result<Match, Reason> {
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = table.find(host, head.uri.path()).cloned().ok_or(Reason::NoRoute)?;
    let team = team(&table, &route, caller_head.key.as_deref())?;
    let service = route.service(&caller_head.request_id).cloned().ok_or(Reason::NoRoute)?;
    Ok(Match { table, route, team, service })
}

/// The team that owns the key. Without one, the result is `None` on public routes and in
/// configurations without teams, and an error otherwise.
fn team(table: &RouteTable, route: &Route, key: Option<&str>) -> Result<Option<Arc<Team>>, Reason> {
    let team = key.and_then(|key| table.team(key)).cloned();
    if team.is_none() && table.has_teams() && !route.is_public {
        return Err(Reason::UnknownKey);
    }
    Ok(team)
}

/// Number of steps by which a route is less urgent than the most urgent one of its service: one for
/// each doubling of the latency target, rounded up.
fn urgency_step(table: &RouteTable, route: &Route, service: &Name) -> u32 {
    let least = table.least_latency_target(service).as_secs_f64();
    let ratio = route.latency_target.as_secs_f64() / least.max(1e-3);
    if ratio > 1.0 { ratio.log2().ceil() as u32 } else { 0 }
}

/// Reads the body of a request. What is left of one that can't be read closes the connection.
async fn read_body(
    traffic: &Traffic,
    body: Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<RequestBody, Rejection> {
    let budget = &traffic.request_buffers;
    let err = match request_body::read(body, max_bytes, deadline, budget).await {
        Ok(body) => return Ok(body),
        Err(err) => err,
    };
    let (reason, retry_after) = match err {
        BodyReadError::TooLarge => (Reason::BodyTooLarge, None),
        BodyReadError::Broken => (Reason::BodyBroken, None),
        BodyReadError::TooLate => (Reason::TooLate, None),
        BodyReadError::NoMemory => {
            let draw = rand::rng().random();
            let retry_after = admission::add_jitter(NO_MEMORY_RETRY_AFTER, Duration::ZERO, draw);
            (Reason::NoMemory, Some(retry_after))
        }
    };
    Err(Rejection { reason, retry_after, leaves_body: true })
}

/// Reads and drops the body of a refused request, so that the connection can be kept; returns
/// `false` if a part of it is left.
async fn discard_body(body: Incoming, head: &http::request::Parts) -> bool {
    // Reading the body would ask a caller to send it that waits for `100 Continue`.
    let is_held_back = head.headers.contains_key(header::EXPECT) && !body.is_end_stream();
    let discarding = time::timeout(DISCARD_TIME, response_limits::discard(body));
    !is_held_back && discarding.await.unwrap_or(false)
}

fn count_arrival(context: &Context, spec: &RequestSpec) {
    let now = spec.arrived_at;
    let mut state = context.state();
    state.shares.count_request(spec.team, spec.charged_tokens(), now);
    state.retries.count_request(report::hash(&spec.service, 0), now);
}

/// Has a request answered by a target.
async fn answer(mut active: ActiveRequest) -> http::Response<Body> {
    match active.answer().await {
        Ok(TargetAnswer::Buffered(response)) => pass_on(&mut active.record, response),
        Ok(TargetAnswer::Events(stream, attempt)) => Relay::start(active, stream, attempt),
        Err(refusal) => {
            let request_id = active.request.id.clone();
            refuse(&mut active.record, refusal.reason, &request_id, refusal.retry_after)
        }
    }
}

/// Passes a complete response on to the caller.
fn pass_on(record: &mut RequestRecord, response: BufferedResponse) -> http::Response<Body> {
    record.set_first_event();
    let is_served = response.status.is_success();
    let outcome = if is_served { "served" } else { "target-failed" };
    record.set_outcome(outcome, response.status.as_u16(), is_served);
    let mut passed_on = http::Response::new(reply::full_body(response.body));
    *passed_on.status_mut() = response.status;
    *passed_on.headers_mut() = answer::head_for_caller(&response.headers);
    passed_on
}
