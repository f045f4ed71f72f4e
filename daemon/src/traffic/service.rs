//! Calls of plain services, which aren't models: forwarded as HTTP requests, with retries where a
//! call is idempotent.

use std::sync;
use std::time::Duration;

use axum::{extract, response};
use bytes::Bytes;
use gentianhinge_core::code::ResultCode;
use gentianhinge_core::message::PreferredTargets;
use gentianhinge_wire::settings;
use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::time;

use super::failure::{self, Failure};
use super::intake;
use super::model::{self, ATTEMPT_HEADER, AttemptError};
use super::request::RequestContext;
use super::slot::{self, Slot};
use super::upstream::{self, Connection};
use super::{PoolEntry, Traffic, idempotency};
use crate::config;

/// Largest response body that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Request header with the idempotency key of a call that runs at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Headers that apply to one connection only, or that are consumed by the router.
const NOT_FORWARDED_HEADERS: [HeaderName; 9] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A service call whose head has been parsed.
struct ServiceCall {
    context: sync::Arc<RequestContext>,
    pool: sync::Arc<PoolEntry>,
    method: Method,
    path_and_query: String,
    headers: HeaderMap,
    body: Bytes,
    idempotent: bool,
    timeout: Duration,
    cost: f64,
    /// Idempotency key: the call runs at most once, even if the caller retries it.
    key: Option<HeaderValue>,
    claim: idempotency::CallClaim,
}

/// Handles a call of a plain service.
pub async fn call(
    extract::State(traffic): extract::State<sync::Arc<Traffic>>,
    request: extract::Request,
) -> response::Response {
    let request_id = traffic.request_id();
    Failure::response_of(serve(&traffic, request_id.clone(), request).await, &request_id)
}

async fn serve(
    traffic: &Traffic,
    request_id: sync::Arc<str>,
    request: extract::Request,
) -> Result<response::Response, Failure> {
    let (parts, body) = request.into_parts();
    let context = traffic.admit(request_id, &parts.headers)?;
    let result = async {
        let mut call = parse_call(traffic, context.clone(), parts)?;
        call.body = traffic.read_body(body).await?;
        run_claimed(traffic, &call).await
    };
    let result = result.await;
    if let Err(failure) = &result {
        context.close_failed(failure);
    }
    let mut answer = result?;
    failure::set_result_headers(answer.headers_mut(), ResultCode::Ok, &context.request_id);
    Ok(answer.map(Into::into))
}

/// Runs a call; if it has an idempotency key, claims it first and settles the claim afterwards.
async fn run_claimed(
    traffic: &Traffic,
    call: &ServiceCall,
) -> Result<http::Response<Bytes>, Failure> {
    if let Some(key) = &call.key {
        // The hash covers the service's name, because two services may have the same path.
        let path = format!("/services/{}{}", call.pool.name, call.path_and_query);
        let hash = idempotency::call_hash(&call.method, &path, &call.body);
        let team = (&**call.context.team(), key);
        if let Some(answer) = idempotency::claim(traffic, &call.claim, team, hash).await? {
            call.context.close_answered();
            return Ok(answer);
        }
    }
    let result = run(traffic, call).await;
    call.claim.settle(&result);
    result
}

fn parse_call(
    traffic: &Traffic,
    context: sync::Arc<RequestContext>,
    parts: http::request::Parts,
) -> Result<ServiceCall, Failure> {
    let rest = parts.uri.path().strip_prefix("/services/").unwrap_or_default();
    let (service, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let pool =
        traffic.services.get(service).cloned().ok_or_else(|| {
            Failure::new(ResultCode::UnknownService, format!("no service {service}"))
        })?;
    let config::PoolKind::Service { call_cost, timeout, routes } = &pool.kind else {
        return Err(Failure::new(ResultCode::UnknownService, format!("no service {service}")));
    };
    context.set_pool(&pool.name);
    let key = parts.headers.get(IDEMPOTENCY_KEY_HEADER).cloned();
    let path = if path.is_empty() { "/" } else { path };
    let path_and_query = match parts.uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_string(),
    };
    Ok(ServiceCall {
        idempotent: key.is_none() && is_idempotent(routes, &parts.method, path),
        timeout: *timeout,
        cost: *call_cost,
        context,
        pool,
        method: parts.method,
        path_and_query,
        headers: forwarded_headers(parts.headers),
        body: Bytes::new(),
        key,
        claim: idempotency::CallClaim::default(),
    })
}

/// Whether a call may be sent again after its outcome is lost.
///
/// The first matching route decides; without one, safe methods are idempotent.
fn is_idempotent(routes: &[settings::Route], method: &Method, path: &str) -> bool {
    let is_match = |route: &&settings::Route| {
        let same_method = |name: &String| name.eq_ignore_ascii_case(method.as_str());
        path.starts_with(&route.path_prefix) && route.method.as_ref().is_none_or(same_method)
    };
    match routes.iter().find(is_match) {
        Some(route) => route.repeatable,
        None => matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS),
    }
}

fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in NOT_FORWARDED_HEADERS {
        headers.remove(name);
    }
    headers.remove(intake::CLASS_HEADER);
    headers.remove("keep-alive");
    headers
}

async fn run(traffic: &Traffic, call: &ServiceCall) -> Result<http::Response<Bytes>, Failure> {
    for attempt in 1_u32.. {
        let slot_request = slot::SlotRequest {
            pool: &call.pool,
            context: &call.context,
            size_bytes: call.body.len(),
            preferred: &PreferredTargets::new(),
        };
        let slot = traffic.acquire_slot(slot_request).await?;
        call.context.begin_attempt(&slot.target);
        match run_attempt(traffic, call, &slot, attempt).await {
            Ok(answer) => {
                slot.report_cost(call.cost);
                call.context.close_answered();
                traffic.retries.deposit(call.context.team());
                return Ok(answer);
            }
            Err(AttemptError::Lost(failure)) if !call.idempotent => {
                call.context.fail_attempt(&failure.message);
                return Err(failure);
            }
            Err(err) => traffic.may_retry(&call.context, attempt, err)?,
        }
    }
    unreachable!("the loop ends by a return")
}

async fn run_attempt(
    traffic: &Traffic,
    call: &ServiceCall,
    slot: &Slot,
    attempt: u32,
) -> Result<http::Response<Bytes>, AttemptError> {
    let request = service_request(call, slot, attempt)
        .ok_or_else(|| AttemptError::NotSent("no request for the path".to_string()))?;
    let connection = if call.idempotent { Connection::Pooled } else { Connection::Fresh };
    call.claim.mark_sending();
    let answer = async {
        let answer = traffic.upstream.send(connection, request).await.map_err(|err| {
            let message = format!("{}: {err}", slot.target);
            if upstream::never_sent(&err) {
                slot.report_unreachable();
                AttemptError::NotSent(message)
            } else {
                model::lost(message)
            }
        })?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|err| model::lost(format!("{}: {err}", slot.target)))?;
        Ok((parts, body.to_bytes()))
    };
    let (parts, body) = match time::timeout(call.timeout, answer).await {
        Ok(answer) => answer?,
        Err(_) => return Err(model::timed_out(slot)),
    };
    let mut response = http::Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = forwarded_headers(parts.headers);
    Ok(response)
}

fn service_request(
    call: &ServiceCall,
    slot: &Slot,
    attempt: u32,
) -> Option<http::Request<Full<Bytes>>> {
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = upstream::target_uri(slot.addr, &call.path_and_query)?;
    *request.headers_mut() = call.headers.clone();
    let attempt = format!("{}.{attempt}", call.context.request_id);
    request.headers_mut().insert(ATTEMPT_HEADER, HeaderValue::from_str(&attempt).ok()?);
    Some(request)
}
