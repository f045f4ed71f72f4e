//! The route table: maps a request to a route with its service, time limits and retry rules.
//!
//! ```
//! use gentianhinge_core::routing;
//!
//! let table = routing::RouteTable::default();
//! assert!(table.find("lanes.example", "/book/4").is_none());
//! ```

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::ids::Name;
use crate::report;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A retry has no further effect, so a request may run at several targets.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
}

/// Form of the answers on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// One body, which is only useful when complete.
    Complete,
    /// A stream of events with increasing ids.
    Events {
        /// Whether another target can resume the stream after a given event id.
        is_resumable: bool,
    },
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Name,
    /// Host header that selects the route.
    pub host: Name,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: Name,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Form of the answers.
    pub answer: Answer,
    /// Timeout of a request, retries included.
    pub timeout: Duration,
    /// Time within which the answer, or its first event, meets the latency target.
    pub latency_target: Duration,
    /// Longest gap between two events of a stream that meets its target.
    pub event_gap_target: Duration,
    /// Maximum number of targets to which one request is sent, including the first.
    pub max_attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services and their weights, for [`Route::service`]; never empty.
    pub split: SmallVec<[(Name, u32); 2]>,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether requests carry a prompt whose parts targets cache.
    pub has_prompt: bool,
}

impl Route {
    /// The service for a request, chosen by weight from a hash of its id, so that retries with the
    /// same id use the same service. `None` only if `split` is empty.
    pub fn service(&self, request_id: &str) -> Option<&Name> {
        let total = self.split.iter().map(|(_, weight)| u64::from(*weight)).sum::<u64>();
        if self.split.len() == 1 || total == 0 {
            return self.split.first().map(|(service, _)| service);
        }
        let mut point = report::hash(request_id, 0) % total;
        for (service, weight) in &self.split {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}

/// One service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service, as in [`Route::split`].
    pub name: Name,
    /// Maximum number of connections that one target accepts from all routers.
    pub max_connections: u32,
    /// Whether its targets are model engines.
    pub is_model: bool,
    /// Time for which a target is cold after a start.
    pub cold_start: Duration,
    /// Requests per second that a cold target tolerates from all routers; 0 if its targets are never
    /// cold.
    pub cold_per_s: f64,
}

/// A team whose keys are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name of the team, as in logs and metrics.
    pub name: Name,
    /// [`report::hash`] of the name and 0.
    pub hash: report::Hash,
    /// Priority that replaces the route's.
    pub priority: Option<u32>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest accepted request head.
    pub max_header_bytes: usize,
    /// Largest accepted request body.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Capacity of all targets together in tokens per second; each generated token counts twice.
    pub tokens_per_s: f64,
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
            tokens_per_s: 0.0,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version of the configuration; later ones are greater.
    pub version: u64,
    /// Limits that apply to all callers.
    pub limits: CallerLimits,
    routes: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    teams: HashMap<Name, Arc<Team>>,
    has_teams: bool,
    /// Minimum latency target among the routes of each service.
    least_latency_targets: HashMap<Name, Duration>,
}

impl RouteTable {
    /// Builds a table. `teams` lists each team with its keys; `None` means that no route requires a
    /// key.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Option<Vec<(Team, Vec<Name>)>>,
    ) -> RouteTable {
        let mut by_host = HashMap::<Name, Vec<Arc<Route>>>::new();
        let mut least_latency_targets = HashMap::<Name, Duration>::new();
        for route in routes {
            for (service, _) in &route.split {
                let least = least_latency_targets.entry(service.clone());
                let least = least.or_insert(route.latency_target);
                *least = route.latency_target.min(*least);
            }
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            // The first match is then the longest.
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let has_teams = teams.is_some();
        let teams = teams.into_iter().flatten().flat_map(|(team, keys)| {
            let team = Arc::new(team);
            keys.into_iter().map(move |key| (key, team.clone()))
        });
        RouteTable {
            version,
            limits,
            routes: by_host,
            services: services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            teams: teams.collect(),
            has_teams,
            least_latency_targets,
        }
    }

    /// The route of a host with the longest prefix of a path; a query in `path` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split('?').next().unwrap_or_default();
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Looks up the team that owns a key.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams.get(key)
    }

    /// Whether routes that aren't public require a key.
    pub fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// The minimum latency target among the routes of a service, which is that of its most urgent
    /// requests; 0 if no route leads to it.
    pub fn least_latency_target(&self, service: &str) -> Duration {
        self.least_latency_targets.get(service).copied().unwrap_or_default()
    }

    /// The longest timeout of a route; 0 without routes.
    pub fn longest_timeout(&self) -> Duration {
        self.routes.values().flatten().map(|route| route.timeout).max().unwrap_or_default()
    }

    /// Number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
