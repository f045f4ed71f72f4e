//! Calls of plain services.

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

use super::arrival::Arrival;
use super::failure::{self, Failure};
use super::intake;
use super::model::{self, ATTEMPT_HEADER, AttemptError};
use super::slot::{self, Slot};
use super::upstream::{self, Connection};
use super::{PoolEntry, Traffic, once};
use crate::config;

/// Largest answer that is held until it is whole.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Header that marks a call that runs at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Headers that concern one connection, or that are the router's own.
const HOP_HEADERS: [HeaderName; 9] = [
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

/// A service call that has been read.
struct ServiceCall {
    arrival: sync::Arc<Arrival>,
    pool: sync::Arc<PoolEntry>,
    method: Method,
    path_and_query: String,
    headers: HeaderMap,
    body: Bytes,
    idempotent: bool,
    timeout: Duration,
    cost: f64,
    /// Marks a call that runs at most once, however often it is sent.
    key: Option<HeaderValue>,
    claim: once::ClaimSlot,
}

/// Serves a call of a plain service.
pub async fn call(
    extract::State(traffic): extract::State<sync::Arc<Traffic>>,
    request: extract::Request,
) -> response::Response {
    let request_id = traffic.request_id();
    Failure::answer(serve(&traffic, request_id.clone(), request).await, &request_id)
}

async fn serve(
    traffic: &Traffic,
    request_id: sync::Arc<str>,
    request: extract::Request,
) -> Result<response::Response, Failure> {
    let (parts, body) = request.into_parts();
    let arrival = traffic.admit(request_id, &parts.headers)?;
    let result = async {
        let mut call = read_call(traffic, arrival.clone(), parts)?;
        call.body = traffic.read_body(body).await?;
        run_claimed(traffic, &call).await
    };
    let result = result.await;
    if let Err(failure) = &result {
        arrival.close_failed(failure);
    }
    let mut answer = result?;
    failure::mark(answer.headers_mut(), ResultCode::Ok, &arrival.request_id);
    Ok(answer.map(Into::into))
}

/// Runs a call, after a claim if it has an idempotency key.
async fn run_claimed(
    traffic: &Traffic,
    call: &ServiceCall,
) -> Result<http::Response<Bytes>, Failure> {
    if let Some(key) = &call.key {
        // The service's name is part of the call: two services may have the same path.
        let place = format!("/services/{}{}", call.pool.name, call.path_and_query);
        let hash = once::call_hash(&call.method, &place, &call.body);
        let team = (&**call.arrival.team(), key);
        if let Some(answer) = once::claim(traffic, &call.claim, team, hash).await? {
            call.arrival.close_answered();
            return Ok(answer);
        }
    }
    let result = run(traffic, call).await;
    call.claim.settle(&result);
    result
}

fn read_call(
    traffic: &Traffic,
    arrival: sync::Arc<Arrival>,
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
    arrival.set_pool(&pool.name);
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
        arrival,
        pool,
        method: parts.method,
        path_and_query,
        headers: end_to_end(parts.headers),
        body: Bytes::new(),
        key,
        claim: once::ClaimSlot::default(),
    })
}

/// Whether a call may run more than once.
fn is_idempotent(routes: &[settings::Route], method: &Method, path: &str) -> bool {
    let fits = |route: &&settings::Route| {
        let same_method = |name: &String| name.eq_ignore_ascii_case(method.as_str());
        path.starts_with(&route.path_prefix) && route.method.as_ref().is_none_or(same_method)
    };
    match routes.iter().find(fits) {
        Some(route) => route.repeatable,
        None => matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS),
    }
}

fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(intake::CLASS_HEADER);
    headers.remove("keep-alive");
    headers
}

async fn run(traffic: &Traffic, call: &ServiceCall) -> Result<http::Response<Bytes>, Failure> {
    for attempt in 1_u32.. {
        let wish = slot::Wish {
            pool: &call.pool,
            arrival: &call.arrival,
            size_bytes: call.body.len(),
            preferred: &PreferredTargets::new(),
        };
        let slot = traffic.slot(wish).await?;
        call.arrival.begin_attempt(&slot.target);
        match run_attempt(traffic, call, &slot, attempt).await {
            Ok(answer) => {
                slot.progress(call.cost);
                call.arrival.close_answered();
                traffic.retries.earn(call.arrival.team());
                return Ok(answer);
            }
            Err(AttemptError::Lost(failure)) if !call.idempotent => {
                call.arrival.fail_attempt(&failure.message);
                return Err(failure);
            }
            Err(err) => traffic.may_retry(&call.arrival, attempt, err)?,
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
    call.claim.sending();
    let answer = async {
        let answer = traffic.upstream.send(connection, request).await.map_err(|err| {
            let message = format!("{}: {err}", slot.target);
            if upstream::never_sent(&err) {
                slot.fail();
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
    *response.headers_mut() = end_to_end(parts.headers);
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
    let attempt = format!("{}.{attempt}", call.arrival.request_id);
    request.headers_mut().insert(ATTEMPT_HEADER, HeaderValue::from_str(&attempt).ok()?);
    Some(request)
}
