//! Processes one request from its arrival to its response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::ids::Name;
use gentianhinge_core::report;
use gentianhinge_core::routing::{Idempotency, Route, RouteTable, Team};
use gentianhinge_platform::{answer, caller};
use http::{StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{self, Instant};

use super::attempt::{self, Outcome, Request};
use super::buffered::BufferedResponse;
use super::queue::{Admission, InFlight};
use super::relay::Relay;
use super::reply::{self, Body, Reason};
use super::request_record::RequestRecord;
use super::serve::Traffic;
use super::spec::{Refused, RequestSpec};
use super::{Context, Phase};

/// `Retry-After` of a request that arrives before a configuration has been read.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(700);

/// `Retry-After` of a request whose targets refused it.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Handles one request. Errors become responses, too.
pub async fn handle(
    traffic: Rc<Traffic>,
    request: http::Request<Incoming>,
) -> http::Response<Body> {
    let (head, body) = request.into_parts();
    let caller_head = caller::decode(&head.headers);
    let mut record =
        RequestRecord::new(traffic.context.clone(), &caller_head.request_id, Instant::now());
    let mut response = match prepare(&traffic, head, body, &caller_head, &mut record).await {
        Ok((request, spec)) => {
            ActiveRequest { traffic: traffic.clone(), request, spec, record }
                .run(&caller_head)
                .await
        }
        Err((reason, retry_after)) => {
            refuse(&mut record, reason, &caller_head.request_id, retry_after)
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

type Rejection = (Reason, Option<Duration>);

/// Determines route, team and deadline of a request and reads its body.
async fn prepare(
    traffic: &Traffic,
    head: http::request::Parts,
    body: Incoming,
    caller_head: &caller::RequestHead,
    record: &mut RequestRecord,
) -> Result<(Request, RequestSpec), Rejection> {
    let arrived_at = Instant::now();
    let table = traffic.context.state().table.clone();
    let table = table.ok_or((Reason::NoConfig, Some(NO_CONFIG_RETRY_AFTER)))?;
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = table.find(host, head.uri.path()).cloned().ok_or((Reason::NoRoute, None))?;
    let team = team(&table, &route, caller_head.key.as_deref())?;
    record.set_route(&route.name, team.as_ref().map(|team| &team.name), table.version);
    let service = route.service(&caller_head.request_id).cloned().ok_or((Reason::NoRoute, None))?;
    let body = read_body(body, table.limits.max_body_bytes, &route).await?;
    let caller_deadline = arrived_at + caller_head.time_left.unwrap_or(route.timeout);
    let deadline = caller_deadline.min(arrived_at + route.timeout);
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
        arrived_at,
        due_at: arrived_at + due_in,
        deadline,
        urgency_step: urgency,
        tried: smallvec::SmallVec::new(),
        is_retry: false,
        ahead_count: 0,
        service,
    };
    // Such a request is no demand of the team.
    if traffic.context.state().is_quarantined(&spec, arrived_at) {
        return Err((Reason::Quarantined, None));
    }
    record.set_tokens(spec.charged_tokens(), spec.due_at);
    count_arrival(&traffic.context, &spec);
    let team = team.map(|team| team.name.clone());
    let id = spec.request_id.clone();
    Ok((Request { head, body, id, route, team, deadline, caller_deadline }, spec))
}

/// The team that owns the key. Without one, the result is `None` on public routes and in
/// configurations without teams, and an error otherwise.
fn team(
    table: &RouteTable,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Team>>, Rejection> {
    let team = key.and_then(|key| table.team(key)).cloned();
    if team.is_none() && table.has_teams() && !route.is_public {
        return Err((Reason::UnknownKey, None));
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

async fn read_body(body: Incoming, max_bytes: usize, route: &Route) -> Result<Bytes, Rejection> {
    let reading = time::timeout(route.timeout, Limited::new(body, max_bytes).collect()).await;
    match reading {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err((Reason::BodyTooLarge, None)),
        Ok(Err(_)) | Err(_) => Err((Reason::BodyBroken, None)),
    }
}

fn count_arrival(context: &Context, spec: &RequestSpec) {
    let now = spec.arrived_at;
    let mut state = context.state();
    state.shares.count_request(spec.team, spec.charged_tokens(), now);
    state.retries.count_request(report::hash(&spec.service, 0), now);
}

/// A request in progress, with all its attempts.
struct ActiveRequest {
    traffic: Rc<Traffic>,
    request: Request,
    spec: RequestSpec,
    record: RequestRecord,
}

/// What to do after an attempt.
enum NextStep {
    Respond(http::Response<Body>),
    Events(Box<attempt::EventStream>, InFlight),
    /// Try another target; without one, the request fails with this reason.
    Retry(Reason),
}

impl ActiveRequest {
    async fn run(mut self, caller_head: &caller::RequestHead) -> http::Response<Body> {
        let mut attempt_count = 0;
        let mut last_reason = None;
        loop {
            let is_retry = last_reason.is_some();
            if let Some(reason) =
                last_reason.filter(|reason| !self.may_retry(*reason, attempt_count))
            {
                return self.refuse(reason, Some(BUSY_RETRY_AFTER));
            }
            let admitted = time::timeout_at(self.request.deadline, self.admit()).await;
            let in_flight = match admitted {
                Ok(Admission::Send(in_flight)) => in_flight,
                Ok(Admission::Refuse(refused)) => {
                    self.record.set_refusal(&refused);
                    let reason = last_reason.filter(|_| is_retry);
                    let reason = reason.unwrap_or(refusal_reason(&refused));
                    let retry_after = Some(add_jitter(refused.retry_after));
                    return self.refuse(reason, retry_after.filter(|_| !refused.is_quarantined));
                }
                Err(_) => return self.refuse(last_reason.unwrap_or(Reason::TooLate), None),
            };
            let has_another = attempt_count + 1 < self.request.route.max_attempts;
            self.spec.tried.push(in_flight.placement.hash);
            self.record.add_attempt(&in_flight);
            let attempt_deadline =
                attempt::deadline(&self.request, &in_flight, has_another, Instant::now());
            let outcome = attempt::send(
                &self.traffic,
                &self.request,
                &in_flight,
                caller_head.last_event_id,
                attempt_deadline,
            )
            .await;
            match self.next(outcome, in_flight, &mut attempt_count) {
                NextStep::Respond(response) => return response,
                NextStep::Events(stream, in_flight) => {
                    let relay = Relay {
                        traffic: self.traffic,
                        request: self.request,
                        spec: self.spec,
                        attempt_count,
                        last_event_id: caller_head.last_event_id,
                        record: self.record,
                    };
                    return relay.start(stream, in_flight);
                }
                NextStep::Retry(reason) => last_reason = Some(reason),
            }
        }
    }

    async fn admit(&self) -> Admission {
        self.traffic.queue.admit(self.spec.clone()).await
    }

    fn next(&mut self, outcome: Outcome, in_flight: InFlight, attempt_count: &mut u32) -> NextStep {
        match outcome {
            Outcome::Events(stream) => {
                *attempt_count += 1;
                NextStep::Events(stream, in_flight)
            }
            Outcome::NotSent { cause, .. } => {
                self.record.set_attempt_result(&cause);
                NextStep::Retry(Reason::NotSent)
            }
            Outcome::NotRun { cause, .. } => {
                self.record.set_attempt_result(&cause);
                NextStep::Retry(Reason::NotRun)
            }
            Outcome::Unknown(cause) => {
                *attempt_count += 1;
                self.record.set_attempt_result(&cause);
                let is_expired = Instant::now() >= self.request.deadline;
                NextStep::Retry(if is_expired { Reason::Timeout } else { Reason::Unknown })
            }
            Outcome::Buffered(buffered) => {
                *attempt_count += 1;
                self.record.set_attempt_result(buffered.status.as_str());
                self.finish_buffered(buffered, *attempt_count)
            }
        }
    }

    /// Passes a complete response on, unless it is an error and the request may be retried.
    fn finish_buffered(&mut self, buffered: BufferedResponse, attempt_count: u32) -> NextStep {
        let means_not_run = matches!(
            buffered.status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        );
        if means_not_run && self.request.route.idempotency == Idempotency::NonIdempotent {
            // To callers these statuses mean "not run", which this target doesn't state.
            return NextStep::Retry(Reason::Unknown);
        }
        let is_retryable = buffered.status.is_server_error()
            && self.request.is_repeatable()
            && attempt_count < self.request.route.max_attempts;
        if is_retryable && self.traffic.has_retry(&self.spec.service) {
            return NextStep::Retry(Reason::Unknown);
        }
        self.record.set_first_event();
        let is_served = buffered.status.is_success();
        let outcome = if is_served { "served" } else { "target-failed" };
        self.record.set_outcome(outcome, buffered.status.as_u16(), is_served);
        let mut response = http::Response::new(reply::full_body(buffered.body));
        *response.status_mut() = buffered.status;
        *response.headers_mut() = answer::head_for_caller(&buffered.headers);
        NextStep::Respond(response)
    }

    /// Whether the request may be sent to another target after an attempt failed with `reason`.
    /// Takes a retry from the budget if so.
    fn may_retry(&mut self, reason: Reason, attempt_count: u32) -> bool {
        /// Maximum number of attempts for one request, including those that weren't run.
        const MAX_ATTEMPTS: usize = 4;
        let has_not_run = matches!(reason, Reason::NotRun | Reason::NotSent);
        let may_send_again = has_not_run || self.request.is_repeatable();
        let has_attempts_left = attempt_count < self.request.route.max_attempts;
        let has_time_left = Instant::now() < self.request.deadline;
        let will_retry = may_send_again
            && has_attempts_left
            && has_time_left
            && self.spec.tried.len() < MAX_ATTEMPTS
            // A request that was never sent is no load for the service.
            && (reason == Reason::NotSent || self.traffic.take_retry(&self.spec.service));
        if will_retry {
            self.spec.is_retry = true;
            self.spec.arrived_at = Instant::now();
        }
        will_retry
    }

    fn refuse(&mut self, reason: Reason, retry_after: Option<Duration>) -> http::Response<Body> {
        let means_not_run = reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = retry_after.filter(|_| means_not_run);
        refuse(&mut self.record, reason, &self.request.id, retry_after)
    }
}

fn refusal_reason(refused: &Refused) -> Reason {
    if refused.is_quarantined {
        Reason::Quarantined
    } else if refused.has_no_target {
        Reason::NoTarget
    } else {
        Reason::Overload
    }
}

/// Adds jitter, so that callers refused at the same time don't return at the same time.
fn add_jitter(retry_after: Duration) -> Duration {
    use rand::Rng;
    retry_after.mul_f64(rand::rng().random_range(0.8..1.4))
}
