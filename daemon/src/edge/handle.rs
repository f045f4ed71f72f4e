//! Leads one request from its arrival to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::ids::Name;
use gentianhinge_core::report;
use gentianhinge_core::routing::{Repeat, Route, RouteTable, Team};
use gentianhinge_platform::{answer, caller};
use http::{StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::{self, Instant};

use super::attempt::{self, Outcome, Request};
use super::buffered::BufferedResponse;
use super::queue::{Admission, Flight};
use super::relay::Relay;
use super::reply::{self, Body, Reason};
use super::request_record::RequestRecord;
use super::serve::Traffic;
use super::state::Ask;
use super::{Context, Phase};

/// Time to come back in when no configuration or target is known yet.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(700);

/// Time to come back in when a target was full a moment ago.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Answers one request.
pub async fn handle(
    traffic: Rc<Traffic>,
    request: http::Request<Incoming>,
) -> http::Response<Body> {
    let (head, body) = request.into_parts();
    let asked = caller::decode(&head.headers);
    let mut record = RequestRecord::new(traffic.context.clone(), &asked.request_id, Instant::now());
    let mut answer = match prepare(&traffic, head, body, &asked, &mut record).await {
        Ok((request, ask)) => {
            Job { traffic: traffic.clone(), request, ask, record }.run(&asked).await
        }
        Err((reason, retry_after)) => refuse(&mut record, reason, &asked.request_id, retry_after),
    };
    if traffic.context.phase() != Phase::Serving || traffic.is_crowded() {
        reply::close(answer.headers_mut());
    }
    answer
}

fn refuse(
    record: &mut RequestRecord,
    reason: Reason,
    request_id: &str,
    retry_after: Option<Duration>,
) -> http::Response<Body> {
    record.ended(reason.name(), reason.status().as_u16(), false);
    reply::refusal(reason, request_id, retry_after)
}

type Refusal = (Reason, Option<Duration>);

/// Finds out what is asked, by whom, and whether it is allowed.
async fn prepare(
    traffic: &Traffic,
    head: http::request::Parts,
    body: Incoming,
    asked: &caller::Asked,
    record: &mut RequestRecord,
) -> Result<(Request, Ask), Refusal> {
    let arrived_at = Instant::now();
    let table = traffic.context.state().table.clone();
    let table = table.ok_or((Reason::NoConfig, Some(UNKNOWN_RETRY_AFTER)))?;
    let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = table.find(host, head.uri.path()).cloned().ok_or((Reason::NoRoute, None))?;
    let team = team(&table, &route, asked.key.as_deref())?;
    record.routed(&route.name, team.as_ref().map(|team| &team.name), table.version);
    let service = route.service(&asked.request_id).cloned().ok_or((Reason::NoRoute, None))?;
    let body = read_body(body, table.limits.max_body_bytes, &route).await?;
    let caller_deadline = arrived_at + asked.time_left.unwrap_or(route.timeout);
    let deadline = caller_deadline.min(arrived_at + route.timeout);
    let urgency = urgency_step(&table, &route, &service);
    let ask = Ask {
        request_id: asked.request_id.as_str().into(),
        prompt: asked.prompt.clone().filter(|_| route.has_prompt),
        team: team.as_ref().map_or(0, |team| team.hash),
        arrived_at,
        due_at: arrived_at + route.latency_target,
        deadline,
        urgency_step: urgency,
        tried: smallvec::SmallVec::new(),
        is_repeat: false,
        service,
    };
    record.asked(ask.share_tokens(), ask.due_at);
    count_arrival(&traffic.context, &ask);
    let team = team.map(|team| team.name.clone());
    let id = ask.request_id.clone();
    Ok((Request { head, body, id, route, team, deadline, caller_deadline }, ask))
}

/// The team that asks; none on a public route without a known key.
fn team(
    table: &RouteTable,
    route: &Route,
    key: Option<&str>,
) -> Result<Option<Arc<Team>>, Refusal> {
    let team = key.and_then(|key| table.team(key)).cloned();
    if team.is_none() && table.has_teams() && !route.is_public {
        return Err((Reason::UnknownKey, None));
    }
    Ok(team)
}

/// Steps by which a route is less urgent than the most urgent one of its service: one for each
/// doubling of the latency target, rounded up.
fn urgency_step(table: &RouteTable, route: &Route, service: &Name) -> u32 {
    let least = table.least_latency_target(service).as_secs_f64();
    let ratio = route.latency_target.as_secs_f64() / least.max(1e-3);
    if ratio > 1.0 { ratio.log2().ceil() as u32 } else { 0 }
}

async fn read_body(body: Incoming, max_bytes: usize, route: &Route) -> Result<Bytes, Refusal> {
    let reading = time::timeout(route.timeout, Limited::new(body, max_bytes).collect()).await;
    match reading {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err((Reason::BodyTooLarge, None)),
        Ok(Err(_)) | Err(_) => Err((Reason::BodyBroken, None)),
    }
}

fn count_arrival(context: &Context, ask: &Ask) {
    let now = ask.arrived_at;
    let mut state = context.state();
    state.shares.ask(ask.team, ask.share_tokens(), now);
    state.repeats.count_request(report::hash(&ask.service, 0), now);
}

/// A request on its way through targets.
struct Job {
    traffic: Rc<Traffic>,
    request: Request,
    ask: Ask,
    record: RequestRecord,
}

/// What to do after a sending.
enum Next {
    Answer(http::Response<Body>),
    Events(Box<attempt::EventStream>, Flight),
    /// Another target may be asked; the reason holds if none can.
    Another(Reason),
}

impl Job {
    async fn run(mut self, asked: &caller::Asked) -> http::Response<Body> {
        let mut attempt_count = 0;
        let mut last_reason = None;
        loop {
            let is_repeat = last_reason.is_some();
            if let Some(reason) =
                last_reason.filter(|reason| !self.may_go_on(*reason, attempt_count))
            {
                return self.refuse(reason, Some(FULL_RETRY_AFTER));
            }
            let admitted = time::timeout_at(self.request.deadline, self.admit()).await;
            let flight = match admitted {
                Ok(Admission::Send(flight)) => flight,
                Ok(Admission::Refuse(refused)) => {
                    self.record.turned_away(&refused);
                    let none = refused.has_no_target;
                    let reason = if none { Reason::NoTarget } else { Reason::Overload };
                    let reason = last_reason.filter(|_| is_repeat).unwrap_or(reason);
                    return self.refuse(reason, Some(spread(refused.retry_after)));
                }
                Err(_) => return self.refuse(last_reason.unwrap_or(Reason::TooLate), None),
            };
            let has_another = attempt_count + 1 < self.request.route.max_attempts;
            self.ask.tried.push(flight.placed.hash);
            self.record.sent(&flight);
            let limit = attempt::limit(&self.request, &flight, has_another, Instant::now());
            let outcome =
                attempt::send(&self.traffic, &self.request, &flight, asked.last_event_id, limit)
                    .await;
            match self.next(outcome, flight, &mut attempt_count) {
                Next::Answer(answer) => return answer,
                Next::Events(stream, flight) => {
                    let relay = Relay {
                        traffic: self.traffic,
                        request: self.request,
                        ask: self.ask,
                        attempt_count,
                        last_event_id: asked.last_event_id,
                        record: self.record,
                    };
                    return relay.start(stream, flight);
                }
                Next::Another(reason) => last_reason = Some(reason),
            }
        }
    }

    async fn admit(&self) -> Admission {
        self.traffic.queue.admit(self.ask.clone()).await
    }

    fn next(&mut self, outcome: Outcome, flight: Flight, attempt_count: &mut u32) -> Next {
        match outcome {
            Outcome::Events(stream) => {
                *attempt_count += 1;
                Next::Events(stream, flight)
            }
            Outcome::NotSent { cause, .. } => {
                self.record.send_ended(&cause);
                Next::Another(Reason::NotSent)
            }
            Outcome::NotRun { cause, .. } => {
                self.record.send_ended(&cause);
                Next::Another(Reason::NotRun)
            }
            Outcome::Lost(cause) => {
                *attempt_count += 1;
                self.record.send_ended(&cause);
                let is_over = Instant::now() >= self.request.deadline;
                Next::Another(if is_over { Reason::Timeout } else { Reason::Unknown })
            }
            Outcome::Buffered(whole) => {
                *attempt_count += 1;
                self.record.send_ended(whole.status.as_str());
                self.whole(whole, *attempt_count)
            }
        }
    }

    /// Passes a whole answer on, unless another target may do better.
    fn whole(&mut self, whole: BufferedResponse, attempt_count: u32) -> Next {
        let is_promise = matches!(
            whole.status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        );
        if is_promise && self.request.route.repeat == Repeat::Once {
            // The target doesn't say that it hasn't run the request, so we can't either.
            return Next::Another(Reason::Unknown);
        }
        let may_repeat = whole.status.is_server_error()
            && self.request.may_repeat()
            && attempt_count < self.request.route.max_attempts;
        if may_repeat && self.traffic.has_repeat(&self.ask.service) {
            return Next::Another(Reason::Unknown);
        }
        self.record.first_event();
        let is_served = whole.status.is_success();
        let outcome = if is_served { "served" } else { "target-failed" };
        self.record.ended(outcome, whole.status.as_u16(), is_served);
        let mut answer = http::Response::new(reply::whole(whole.body));
        *answer.status_mut() = whole.status;
        *answer.headers_mut() = answer::head_for_caller(&whole.headers);
        Next::Answer(answer)
    }

    /// Whether another target may be asked after a sending that ended for `reason`.
    fn may_go_on(&mut self, reason: Reason, attempt_count: u32) -> bool {
        /// Sendings of one request, those included that weren't run.
        const MAX_SENDS: usize = 4;
        let has_not_run = matches!(reason, Reason::NotRun | Reason::NotSent);
        let may_run = has_not_run || self.request.may_repeat();
        let has_room = attempt_count < self.request.route.max_attempts;
        let has_time = Instant::now() < self.request.deadline;
        let goes_on = may_run
            && has_room
            && has_time
            && self.ask.tried.len() < MAX_SENDS
            // What never arrived is no load for the service.
            && (reason == Reason::NotSent || self.traffic.take_repeat(&self.ask.service));
        if goes_on {
            self.ask.is_repeat = true;
            self.ask.arrived_at = Instant::now();
        }
        goes_on
    }

    fn refuse(&mut self, reason: Reason, retry_after: Option<Duration>) -> http::Response<Body> {
        let is_promise = reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        let retry_after = retry_after.filter(|_| is_promise);
        refuse(&mut self.record, reason, &self.request.id, retry_after)
    }
}

/// Spreads returns, so that callers who were refused together don't come back together.
fn spread(retry_after: Duration) -> Duration {
    use rand::Rng;
    retry_after.mul_f64(rand::rng().random_range(0.8..1.4))
}
