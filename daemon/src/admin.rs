//! Health, readiness and metrics for operators and the balancer.

use std::sync;

use axum::extract;
use axum::routing;
use http::StatusCode;

use crate::server;

/// Routes of the operators' listener.
pub fn routes(shared: sync::Arc<server::Shared>) -> axum::Router {
    axum::Router::new()
        .route("/healthz", routing::get(async || "ok\n"))
        .route("/readyz", routing::get(ready))
        .route("/metrics", routing::get(metrics))
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
