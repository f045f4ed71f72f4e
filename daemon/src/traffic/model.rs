//! Requests of the model API.

use std::sync;

use axum::{body, extract, response};
use bytes::Bytes;
use gentianhinge_core::code::ResultCode;
use gentianhinge_core::message::PreferredTargets;
use http::{HeaderValue, Method, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time;

use super::failure::{self, Failure};
use super::request::RequestContext;
use super::slot::{self, Slot};
use super::upstream::{self, Connection};
use super::{PoolEntry, Traffic, prompt, retry, sse, stream};
use crate::config;

/// Request header that identifies the attempt, so that a target can tell a retry from a new
/// request.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Largest response body that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A model request whose body has been read.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// The caller, the attempts so far and the result.
    pub context: sync::Arc<RequestContext>,
    /// Pool of the model's targets.
    pub pool: sync::Arc<PoolEntry>,
    /// Path of the request to the engine.
    pub path: &'static str,
    /// The request body, forwarded unchanged.
    pub body: Bytes,
    /// Targets that are likely to have the prompt's prefix cached.
    pub preferred: PreferredTargets,
}

impl ModelCall {
    /// Returns the parameters of the wait for a slot.
    pub fn slot_request(&self) -> slot::SlotRequest<'_> {
        slot::SlotRequest {
            pool: &self.pool,
            context: &self.context,
            size_bytes: self.body.len(),
            preferred: &self.preferred,
        }
    }
}

/// Cost of one request, updated while tokens are generated.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    prompt_token_cost: f64,
    output_token_cost: f64,
    prompt_tokens: f64,
    /// Output tokens generated so far.
    pub output_tokens: u64,
}

impl Meter {
    /// Starts at the cost of the prompt, whose token count is estimated from the body's size.
    pub fn new(pool: &PoolEntry, body: &[u8]) -> Meter {
        let (prompt_token_cost, output_token_cost) = match pool.kind {
            config::PoolKind::Model { prompt_token_cost, output_token_cost } => {
                (prompt_token_cost, output_token_cost)
            }
            config::PoolKind::Service { call_cost, .. } => (0.0, call_cost),
        };
        let prompt_tokens = prompt::estimate_tokens(body);
        Meter { prompt_token_cost, output_token_cost, prompt_tokens, output_tokens: 0 }
    }

    /// Replaces the estimates by the engine's token counts; the output count never decreases.
    pub fn set_usage(&mut self, usage: sse::Usage) {
        self.prompt_tokens = usage.prompt_tokens as f64;
        self.output_tokens = self.output_tokens.max(usage.completion_tokens);
    }

    /// Cost so far, before the class's price ratio.
    pub fn cost(&self) -> f64 {
        self.prompt_tokens * self.prompt_token_cost
            + self.output_tokens as f64 * self.output_token_cost
    }
}

/// Why an attempt got no complete response.
#[derive(Clone, Debug)]
pub enum AttemptError {
    /// No byte of the request was written to the target.
    NotSent(String),
    /// The connection was lost, timed out, or the target responded with an error; the target may
    /// have run the request.
    Lost(Failure),
}

impl AttemptError {
    /// Returns the failure to report to the caller if there is no further attempt.
    pub fn into_failure(self) -> Failure {
        match self {
            AttemptError::NotSent(message) => Failure::new(ResultCode::TargetUnreachable, message),
            AttemptError::Lost(failure) => failure,
        }
    }
}

/// Handles a request of the model API.
pub async fn call(
    extract::State(traffic): extract::State<sync::Arc<Traffic>>,
    request: extract::Request,
) -> response::Response {
    let request_id = traffic.request_id();
    Failure::response_of(serve(&traffic, request_id.clone(), request).await, &request_id)
}

async fn serve(
    traffic: &sync::Arc<Traffic>,
    request_id: sync::Arc<str>,
    request: extract::Request,
) -> Result<response::Response, Failure> {
    let (parts, body) = request.into_parts();
    let context = traffic.admit(request_id, &parts.headers)?;
    let result = read_and_run(traffic, context.clone(), &parts, body).await;
    if let Err(failure) = &result {
        context.close_failed(failure);
    }
    result
}

async fn read_and_run(
    traffic: &sync::Arc<Traffic>,
    context: sync::Arc<RequestContext>,
    parts: &http::request::Parts,
    body: body::Body,
) -> Result<response::Response, Failure> {
    if parts.headers.contains_key("idempotency-key") {
        let message = "the model API doesn't take idempotency keys";
        return Err(Failure::new(ResultCode::LogUnavailable, message));
    }
    let body = traffic.read_body(body).await?;
    let prompt = prompt::parse(&body)?;
    let pool = traffic.models.get(prompt.model.as_str()).cloned().ok_or_else(|| {
        Failure::new(ResultCode::UnknownModel, format!("no model {}", prompt.model))
    })?;
    context.set_pool(&pool.name);
    let path = match parts.uri.path() {
        "/v1/completions" => "/v1/completions",
        _ => "/v1/chat/completions",
    };
    let preferred = prompt.prefix().map(|prefix| pool.affinity.preferred(prefix));
    let preferred = preferred.unwrap_or_default();
    let call = ModelCall { context, pool, path, body, preferred };
    if prompt.stream {
        return stream::respond(traffic.clone(), call).await;
    }
    run_unstreamed(traffic, &call).await
}

/// Runs a request whose response isn't streamed, with retries.
async fn run_unstreamed(
    traffic: &Traffic,
    call: &ModelCall,
) -> Result<response::Response, Failure> {
    for attempt in 1_u32.. {
        let slot = traffic.acquire_slot(call.slot_request()).await?;
        call.context.begin_attempt(&slot.target);
        match attempt_unstreamed(traffic, call, &slot, attempt).await {
            Ok(answer) => {
                call.context.close_answered();
                traffic.retries.deposit(call.context.team());
                return Ok(answer);
            }
            Err(err) => traffic.may_retry(&call.context, attempt, err)?,
        }
    }
    unreachable!("the loop ends by a return")
}

async fn attempt_unstreamed(
    traffic: &Traffic,
    call: &ModelCall,
    slot: &Slot,
    attempt: u32,
) -> Result<response::Response, AttemptError> {
    let answer = traffic.send_model(call, slot, attempt).await?;
    traffic.read_answer(call, slot, answer).await
}

impl Traffic {
    /// Sends a model request to a target and waits for the response head.
    pub(super) async fn send_model(
        &self,
        call: &ModelCall,
        slot: &Slot,
        attempt: u32,
    ) -> Result<upstream::Answer, AttemptError> {
        let request = model_request(call, slot, attempt)
            .ok_or_else(|| AttemptError::NotSent("no request for the path".to_string()))?;
        let sent = self.upstream.send(Connection::Pooled, request);
        let answer = match time::timeout(self.bounds.first_byte_timeout, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(err)) if upstream::never_sent(&err) => {
                slot.report_unreachable();
                return Err(AttemptError::NotSent(format!("{}: {err}", slot.target)));
            }
            Ok(Err(err)) => return Err(lost(format!("{}: {err}", slot.target))),
            Err(_) => return Err(timed_out(slot)),
        };
        if answer.status().is_server_error() {
            let message = format!("{} answered {}", slot.target, answer.status());
            return Err(AttemptError::Lost(Failure::new(ResultCode::TargetError, message)));
        }
        Ok(answer)
    }

    /// Reads a complete response that isn't streamed and reports its cost.
    pub(super) async fn read_answer(
        &self,
        call: &ModelCall,
        slot: &Slot,
        answer: upstream::Answer,
    ) -> Result<response::Response, AttemptError> {
        let (parts, body) = answer.into_parts();
        let collected = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let collected = time::timeout(self.bounds.first_byte_timeout, collected).await;
        let body = match collected {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(err)) => return Err(lost(format!("{}: {err}", slot.target))),
            Err(_) => return Err(timed_out(slot)),
        };
        let mut meter = Meter::new(&call.pool, &call.body);
        if let Some(usage) = sse::usage_of_body(&body) {
            meter.set_usage(usage);
        }
        slot.report_cost(meter.cost());
        call.context.set_output_tokens(meter.output_tokens);
        let mut response = response::Response::new(body.into());
        *response.status_mut() = parts.status;
        if let Some(kind) = parts.headers.get(header::CONTENT_TYPE) {
            response.headers_mut().insert(header::CONTENT_TYPE, kind.clone());
        }
        failure::set_result_headers(
            response.headers_mut(),
            ResultCode::Ok,
            &call.context.request_id,
        );
        Ok(response)
    }

    /// Decides whether an idempotent request may be retried.
    ///
    /// A request that was never sent is retried from the same budget, because each attempt loads
    /// the fleet.
    pub(super) fn may_retry(
        &self,
        context: &RequestContext,
        attempt: u32,
        err: AttemptError,
    ) -> Result<(), Failure> {
        let failure = err.into_failure();
        context.fail_attempt(&failure.message);
        if attempt < retry::MAX_ATTEMPTS && self.retries.withdraw(context.team()) {
            return Ok(());
        }
        Err(failure)
    }
}

fn model_request(
    call: &ModelCall,
    slot: &Slot,
    attempt: u32,
) -> Option<http::Request<Full<Bytes>>> {
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = upstream::target_uri(slot.addr, call.path)?;
    let headers = request.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let attempt = format!("{}.{attempt}", call.context.request_id);
    headers.insert(ATTEMPT_HEADER, HeaderValue::from_str(&attempt).ok()?);
    Some(request)
}

/// Error for a connection that was lost after the request was sent.
pub fn lost(message: String) -> AttemptError {
    AttemptError::Lost(Failure::new(ResultCode::TargetLost, message))
}

/// Error for a target that sent nothing within its timeout.
pub fn timed_out(slot: &Slot) -> AttemptError {
    let message = format!("{} was silent for too long", slot.target);
    AttemptError::Lost(Failure::new(ResultCode::TargetTimeout, message))
}
