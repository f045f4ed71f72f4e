//! HTTP endpoints for operators and the load balancer: health, readiness, metrics, recent requests
//! and target drains.

use std::sync;

use axum::{extract, response, routing};
use http::{HeaderMap, StatusCode, header};

use crate::{control, server};

/// Maximum number of requests in one response of `/teams/{team}/requests`.
const MAX_SHOWN_REQUESTS: usize = 100;

/// Creates the routes of the operators' listener.
pub fn routes(shared: sync::Arc<server::Shared>) -> axum::Router {
    axum::Router::new()
        .route("/healthz", routing::get(async || "ok\n"))
        .route("/readyz", routing::get(ready))
        .route("/metrics", routing::get(metrics))
        .route("/requests/{request_id}", routing::get(request))
        .route("/targets/{target}/drain", routing::post(drain_target))
        .route("/teams/{team}/requests", routing::get(team_requests))
        .with_state(shared)
}

async fn ready(
    extract::State(shared): extract::State<sync::Arc<server::Shared>>,
) -> (StatusCode, &'static str) {
    match shared.phase() {
        server::Phase::Serving => (StatusCode::OK, "ready\n"),
        server::Phase::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        server::Phase::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
    }
}

async fn metrics(extract::State(shared): extract::State<sync::Arc<server::Shared>>) -> String {
    shared.telemetry.render()
}

/// Checks that a call carries an operator's key.
///
/// # Errors
///
/// Returns the response for a call without a valid key.
pub fn authorize(
    shared: &server::Shared,
    headers: &HeaderMap,
) -> Result<(), (StatusCode, &'static str)> {
    let value = headers.get(header::AUTHORIZATION).map(|value| value.as_bytes());
    let key = value.and_then(|value| value.strip_prefix(b"Bearer "));
    if key.is_some_and(|key| shared.directory.borrow().is_operator(key)) {
        return Ok(());
    }
    Err((StatusCode::UNAUTHORIZED, "an operator's key is needed\n"))
}

async fn request(
    extract::State(shared): extract::State<sync::Arc<server::Shared>>,
    extract::Path(request_id): extract::Path<String>,
    headers: HeaderMap,
) -> response::Response {
    if let Err(refusal) = authorize(&shared, &headers) {
        return response::IntoResponse::into_response(refusal);
    }
    match shared.request_history.get(&request_id) {
        Some(record) => response::IntoResponse::into_response(axum::Json(record)),
        None => response::IntoResponse::into_response((
            StatusCode::NOT_FOUND,
            "this router doesn't remember the request\n",
        )),
    }
}

async fn team_requests(
    extract::State(shared): extract::State<sync::Arc<server::Shared>>,
    extract::Path(team): extract::Path<String>,
    headers: HeaderMap,
) -> response::Response {
    if let Err(refusal) = authorize(&shared, &headers) {
        return response::IntoResponse::into_response(refusal);
    }
    let records = shared.request_history.latest(&team, MAX_SHOWN_REQUESTS);
    response::IntoResponse::into_response(axum::Json(records))
}

async fn drain_target(
    extract::State(shared): extract::State<sync::Arc<server::Shared>>,
    extract::Path(target): extract::Path<String>,
    headers: HeaderMap,
) -> (StatusCode, &'static str) {
    if let Err(refusal) = authorize(&shared, &headers) {
        return refusal;
    }
    shared.control.send(control::Command::DrainTarget { target: target.into() });
    (StatusCode::ACCEPTED, "the target gets no new work\n")
}
