//! The request path: receives requests from callers, waits for a slot, forwards them to a target
//! and returns the response.

pub mod affinity;
pub mod failure;
mod idempotency;
mod intake;
mod model;
pub mod prompt;
mod request;
pub mod retry;
mod service;
mod slot;
pub mod sse;
mod stream;
mod upstream;

use std::collections::HashMap;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use axum::routing;
use gentianhinge_core::ids::Name;
use gentianhinge_wire::settings;

use crate::platform::claims;
use crate::{config, server};

/// Limits on the size, duration and retries of one request.
#[derive(Clone, Debug)]
struct Bounds {
    max_body_bytes: usize,
    body_timeout: Duration,
    keepalive_interval: Duration,
    unread_timeout: Duration,
    first_byte_timeout: Duration,
    idle_timeout: Duration,
    max_resumes: u32,
}

/// The part of a pool's configuration that the traffic threads use.
#[derive(Debug)]
struct PoolEntry {
    name: Name,
    kind: config::PoolKind,
    addrs: HashMap<Name, net::SocketAddr>,
    affinity: affinity::Affinity,
}

/// State of the request path, shared by all traffic threads.
pub struct Traffic {
    shared: sync::Arc<server::Shared>,
    models: HashMap<Name, sync::Arc<PoolEntry>>,
    services: HashMap<Name, sync::Arc<PoolEntry>>,
    upstream: upstream::Upstream,
    retries: retry::Budgets,
    bounds: Bounds,
    claims: Option<claims::Claims>,
    next_request: atomic::AtomicU64,
}

impl Traffic {
    /// Creates the request path for the configured pools.
    ///
    /// Without `claims`, calls with an idempotency key are refused.
    pub fn new(
        shared: sync::Arc<server::Shared>,
        settings: &settings::Settings,
        pools: Vec<config::Pool>,
        claims: Option<claims::Claims>,
    ) -> Traffic {
        let (mut models, mut services) = (HashMap::new(), HashMap::new());
        for pool in pools {
            let names = pool.targets.iter().map(|target| &target.spec.name);
            let affinity = affinity::Affinity::new(names);
            let addrs = pool.targets.iter().map(|t| (t.spec.name.clone(), t.addr)).collect();
            let map = match &pool.kind {
                config::PoolKind::Model { .. } => &mut models,
                config::PoolKind::Service { .. } => &mut services,
            };
            let entry = PoolEntry { name: pool.name.clone(), kind: pool.kind, addrs, affinity };
            map.insert(pool.name, sync::Arc::new(entry));
        }
        Traffic {
            shared,
            models,
            services,
            upstream: upstream::Upstream::new(&settings.upstream),
            retries: retry::Budgets::new(settings.upstream.retry_budget_ratio),
            bounds: Bounds::new(settings),
            claims,
            next_request: atomic::AtomicU64::new(1),
        }
    }

    fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, atomic::Ordering::Relaxed)
    }
}

impl Bounds {
    fn new(settings: &settings::Settings) -> Bounds {
        let (callers, upstream) = (&settings.callers, &settings.upstream);
        Bounds {
            max_body_bytes: usize::try_from(callers.max_body_bytes).unwrap_or(usize::MAX),
            body_timeout: Duration::from_millis(callers.body_timeout_ms),
            keepalive_interval: Duration::from_millis(callers.keepalive_interval_ms),
            unread_timeout: Duration::from_millis(callers.unread_timeout_ms),
            first_byte_timeout: Duration::from_millis(upstream.first_byte_timeout_ms),
            idle_timeout: Duration::from_millis(upstream.idle_timeout_ms),
            max_resumes: upstream.max_resumes,
        }
    }
}

/// Returns the HTTP routes of the callers' listener.
pub fn routes(traffic: Traffic) -> axum::Router {
    axum::Router::new()
        .route("/v1/chat/completions", routing::post(model::call))
        .route("/v1/completions", routing::post(model::call))
        .route("/services/{service}", routing::any(service::call))
        .route("/services/{service}/{*path}", routing::any(service::call))
        .fallback(intake::unknown_path)
        .method_not_allowed_fallback(intake::method_not_allowed)
        .with_state(sync::Arc::new(traffic))
}
