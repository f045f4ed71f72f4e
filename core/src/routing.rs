//! The route table: which service a request goes to, and what may be done with it.
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
    /// It is idempotent.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
}

/// What an answer on a route looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// One body, complete or worthless.
    Whole,
    /// Events with increasing ids.
    Events {
        /// Whether a target can go on with a stream behind an event's id.
        is_resumable: bool,
    },
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// First part of the path; begins and ends with a slash.
    pub path_prefix: Name,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// What an answer looks like.
    pub answer: Answer,
    /// Longest time for a request.
    pub timeout: Duration,
    /// Time within which an answer, or the first event, is on time.
    pub latency_target: Duration,
    /// Longest pause between two events of an answer that is on time.
    pub event_gap_target: Duration,
    /// Most targets to which one request is sent.
    pub max_attempts: u32,
    /// Rank, 0 being the most urgent.
    pub priority: u32,
    /// Services and their weights; never empty.
    pub split: SmallVec<[(Name, u32); 2]>,
    /// Whether no key is needed.
    pub is_public: bool,
    /// Whether requests carry a prompt whose parts targets keep.
    pub has_prompt: bool,
}

impl Route {
    /// The service for a request, by the weights and the request's id.
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

/// A service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Most connections that one target takes from all routers.
    pub max_connections: u32,
    /// Whether model engines serve it.
    pub is_model: bool,
}

/// A team that may call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// Hash of the name.
    pub hash: report::Hash,
    /// Rank that goes before the route's.
    pub priority: Option<u32>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Largest request head.
    pub max_header_bytes: usize,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub header_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// Tokens that all targets together produce in a second, each generated one counted twice.
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

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Version; later ones are greater.
    pub version: u64,
    /// Bounds on callers.
    pub limits: CallerLimits,
    routes: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    teams: HashMap<Name, Arc<Team>>,
    has_teams: bool,
    /// Least latency target among the routes of each service.
    least_latency_targets: HashMap<Name, Duration>,
}

impl RouteTable {
    /// Builds a table; `teams` holds each team with its keys, `None` if no keys are asked for.
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
            // The first that fits is then the longest.
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

    /// The route with the longest prefix of a path among those of a host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split('?').next().unwrap_or_default();
        self.routes.get(host)?.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The team that holds a key.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams.get(key)
    }

    /// Whether routes that aren't public ask for a key.
    pub fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// The least latency target among the routes of a service: that of its most urgent requests.
    pub fn least_latency_target(&self, service: &str) -> Duration {
        self.least_latency_targets.get(service).copied().unwrap_or_default()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
