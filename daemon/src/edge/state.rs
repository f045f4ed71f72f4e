//! A router's view of the fleet, and the decisions based on it.
//!
//! [`choice`] chooses the target of a request, [`evacuated`] leaves out those of evacuated zones,
//! [`speeds`] learns how fast targets are, [`topics`] keeps the positions in the store's topics,
//! [`versions`] tells at which software version a stream may go on, and [`reports`] applies what other routers and targets tell.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::cold::{self, Cold};
use gentianhinge_core::evacuation::Evacuations;
use gentianhinge_core::holds::Holds;
use gentianhinge_core::ids::Name;
use gentianhinge_core::load::LoadView;
use gentianhinge_core::prompt::Prompt;
use gentianhinge_core::quarantine::Quarantine;
use gentianhinge_core::registry::{Registry, Target};
use gentianhinge_core::report::{self, Hash, HashKeyed};
use gentianhinge_core::retry_budget::RetryBudget;
use gentianhinge_core::routing::RouteTable;
use gentianhinge_core::share::Shares;
use gentianhinge_core::speed::Speeds;
use gentianhinge_core::stream_versions::StreamVersions;
use gentianhinge_core::target_limit::TargetLimits;
use gentianhinge_core::{admission, evacuation, health, patience, placement, polling};
use gentianhinge_wire::edge;
use tokio::time::Instant;

use super::service_times::ServiceTimes;
use super::spec::{Decision, Placement, Refused, RequestSpec};
use super::statements;

mod choice;
mod evacuated;
mod reports;
mod speeds;
mod topics;
mod versions;

/// Interval of the targets' heartbeats until the settings state it.
const DEFAULT_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);

/// Minimum interval between two computations of the fair share.
const SHARES_INTERVAL: Duration = Duration::from_millis(350);

/// Time since a router's last report within which it takes its turn to try a quarantined request.
const TRIAL_WINDOW: Duration = Duration::from_secs(10);

/// A router's view of the fleet.
#[derive(Debug)]
pub struct RouterState {
    name: Name,
    /// Configuration in force.
    pub table: Option<Arc<RouteTable>>,
    /// Registered targets.
    pub registry: Registry,
    /// Availability zones whose targets get no requests.
    pub evacuations: Evacuations,
    /// Estimated load of targets.
    pub load: LoadView,
    /// Shares of teams in the capacity.
    pub shares: Shares,
    /// Budget of retries, by service.
    pub retries: RetryBudget,
    /// Health of targets.
    pub health: health::Health,
    /// Requests and prompt parts under which targets crash.
    pub quarantine: Quarantine,
    /// Limits that targets state.
    pub target_limits: TargetLimits,
    /// Times for which targets want no requests.
    pub holds: Holds,
    /// Targets that have started a short time ago.
    pub cold: Cold,
    /// What this router keeps of targets' statements, for its log and reports.
    pub statements: statements::Statements,
    /// Names of the routers that are registered in the store, including this one.
    pub registered_routers: BTreeSet<Name>,
    /// What this router knows of the store's topics, by [`Topic::number`](report::Topic::number).
    topic_views: [polling::View; report::Topic::ALL.len()],
    /// Learned speeds of targets.
    pub speeds: Speeds,
    /// Whether load is spread over the targets of all services.
    spreads_all: bool,
    /// Services over whose targets load is spread.
    spreading_services: HashMap<Name, speeds::SpreadingCause>,
    /// Services whose targets have stated how long work takes on their hosts.
    stating_services: HashSet<Name>,
    spreading_news: Vec<speeds::SpreadingNews>,
    weights: placement::Weights,
    policy: admission::Policy,
    shares_computed_at: Option<Instant>,
    by_service: HashMap<Name, Vec<(Arc<Target>, Hash)>>,
    /// Services that have no targets outside of evacuated zones.
    evacuated_services: HashSet<Name>,
    /// Services of the targets in `by_service`.
    service_names: HashKeyed<Name>,
    /// How long services take.
    pub times: ServiceTimes,
    patience: HashMap<Name, patience::Patience>,
    service_backlogs: HashMap<(Name, Option<Hash>), (Instant, admission::ServiceBacklog)>,
    /// This router's part of the demand for each service, and when it was computed.
    demand_parts: HashMap<Name, (Instant, f64)>,
    /// Revisions of the registry and the evacuations from which the index of targets was built.
    indexed_revisions: (u64, u64),
    /// When the next targets come back from an evacuation.
    next_return: Option<Instant>,
    /// Interval of the targets' heartbeats to the store.
    pub heartbeat_interval: Duration,
    /// Time within which a configuration must be in force.
    config_bound: Duration,
    /// Versions at which streams began.
    pub versions: StreamVersions,
    /// Hashes of the versions of registered targets, by the hash of their incarnation.
    target_versions: HashKeyed<Hash>,
    /// The last known incarnation and version of each id of a target.
    versions_by_id: HashMap<Name, (Hash, Option<Hash>)>,
    /// Age from which on the view of the targets is old.
    targets_bound: Duration,
    are_targets_loaded: bool,
}

impl RouterState {
    /// Creates the state of a router that has not read the store yet.
    ///
    /// `seed` is for random choices and must differ between routers.
    pub fn new(name: Name, bounds: &edge::EdgeBounds, seed: u64) -> RouterState {
        let mut cold = Cold::new(&name, Instant::now());
        cold.set_bounds(cold_bounds(bounds));
        RouterState {
            name,
            table: None,
            registry: Registry::default(),
            evacuations: Evacuations::default(),
            load: LoadView::default(),
            shares: Shares::new(edge::duration_s(bounds.share_window_s)),
            retries: retry_budget(bounds),
            health: health::Health::default(),
            quarantine: Quarantine::default(),
            target_limits: TargetLimits::new(seed),
            holds: Holds::default(),
            cold,
            statements: statements::Statements::default(),
            registered_routers: BTreeSet::new(),
            topic_views: Default::default(),
            speeds: Speeds::new(placement::Weights::default().read_tokens_per_ms),
            spreads_all: false,
            spreading_services: HashMap::new(),
            stating_services: HashSet::new(),
            spreading_news: Vec::new(),
            weights: placement::Weights::default(),
            policy: admission::Policy::default(),
            shares_computed_at: None,
            by_service: HashMap::new(),
            evacuated_services: HashSet::new(),
            service_names: HashKeyed::default(),
            times: ServiceTimes::default(),
            patience: HashMap::new(),
            service_backlogs: HashMap::new(),
            demand_parts: HashMap::new(),
            indexed_revisions: (0, 0),
            next_return: None,
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            config_bound: edge::duration_ms(bounds.config_apply_ms),
            versions: StreamVersions::new(Instant::now()),
            target_versions: HashKeyed::default(),
            versions_by_id: HashMap::new(),
            targets_bound: edge::duration_ms(bounds.drain_ms),
            are_targets_loaded: false,
        }
    }

    /// Recomputes the fair share, at most once per interval. The control thread calls this for its
    /// reports. The traffic thread calls it, too, since a flood leaves the control thread little
    /// processor time.
    pub fn refresh_shares(&mut self, now: Instant) {
        if self.shares_computed_at.is_some_and(|at| now < at + SHARES_INTERVAL) {
            return;
        }
        self.shares_computed_at = Some(now);
        let capacity = self.table.as_ref().map_or(0.0, |table| table.limits.tokens_per_s);
        self.shares.recompute(capacity, now);
        let router_count = self.load.router_count(now);
        self.retries.set_router_count(router_count);
        self.target_limits.set_heard(router_count * 2 > self.registered_routers.len());
    }

    /// Applies changed bounds of the configuration, the retry budget and cold targets; windows keep
    /// their lengths.
    pub fn set_bounds(&mut self, bounds: &edge::EdgeBounds) {
        self.config_bound = edge::duration_ms(bounds.config_apply_ms);
        self.retries.set_bounds(bounds.retry_ratio, bounds.extra_retries);
        self.cold.set_bounds(cold_bounds(bounds));
    }

    /// Lets a registered target count as cold until `until` at least, whatever its record states.
    pub fn hold_cold(&mut self, target: &Target, until: Instant) {
        self.cold.hold(target, until);
    }

    /// Whether a configuration and the targets have been read.
    pub fn can_serve(&self) -> bool {
        self.table.is_some() && self.are_targets_loaded
    }

    /// Records that the registry holds a complete listing.
    pub fn set_targets_loaded(&mut self) {
        self.are_targets_loaded = true;
    }

    /// Drops load, health, limit and speed of an incarnation of a target.
    pub fn forget(&mut self, hash: Hash) {
        self.load.forget(hash);
        self.health.forget(hash);
        self.target_limits.forget(hash);
        self.holds.forget(hash);
        self.cold.forget(hash);
        self.statements.forget(hash);
        self.speeds.forget(hash);
    }

    /// Time that the caller of a request has waited at least since its first try; `limit` is the
    /// time for which it still waits.
    pub fn waited_before(&mut self, route: &Name, team: Hash, limit: Duration) -> Duration {
        let is_first_try = self.shares.is_served_in_full(team);
        let patience = self.patience.entry(route.clone()).or_default();
        if is_first_try {
            patience.sample(limit);
        }
        patience.waited(limit)
    }

    /// Decides on one request and counts its load if it is to be sent. `None` means that the
    /// request keeps waiting.
    pub fn decide(&mut self, spec: &RequestSpec, zone: &str, now: Instant) -> Option<Decision> {
        let waiting = self.waiting_request(spec);
        if self.is_quarantined(spec, now) {
            return Some(Decision::Refuse(Refused {
                retry_after: Duration::ZERO,
                has_no_target: false,
                team_share: waiting.team_share,
                backlog_ms: 0.0,
                mean_backlog_ms: 0.0,
                opens_in_ms: 0.0,
                is_crowded_out: false,
                is_quarantined: true,
                is_evacuated: false,
                has_no_version: false,
            }));
        }
        if self.is_evacuated(&spec.service, now) {
            return Some(Decision::Refuse(Refused {
                retry_after: evacuation::RETRY_AFTER,
                has_no_target: true,
                team_share: waiting.team_share,
                backlog_ms: 0.0,
                mean_backlog_ms: 0.0,
                opens_in_ms: 0.0,
                is_crowded_out: false,
                is_quarantined: false,
                is_evacuated: true,
                has_no_version: false,
            }));
        }
        if !self.has_version(spec, now) {
            return Some(Decision::Refuse(Refused {
                retry_after: Duration::ZERO,
                has_no_target: true,
                team_share: waiting.team_share,
                backlog_ms: 0.0,
                mean_backlog_ms: 0.0,
                opens_in_ms: 0.0,
                is_crowded_out: false,
                is_quarantined: false,
                is_evacuated: false,
                has_no_version: true,
            }));
        }
        let policy = if spec.is_retry { admission::Policy::for_retries() } else { self.policy };
        let (placement, best) = self.best_target(spec, &waiting, &policy, zone, now);
        match admission::decide(&policy, &waiting, best.as_ref(), now) {
            admission::Verdict::Send => {
                let placement = placement?;
                self.record_dispatch(spec, &placement, now);
                Some(Decision::Send(placement))
            }
            admission::Verdict::Wait => None,
            admission::Verdict::Refuse { retry_after } => Some(Decision::Refuse(Refused {
                retry_after,
                has_no_target: best.is_none(),
                team_share: waiting.team_share,
                backlog_ms: best.map_or(0.0, |best| best.wait_ms),
                mean_backlog_ms: best.map_or(0.0, |best| best.mean_wait_ms),
                opens_in_ms: best.map_or(0.0, |best| best.opens_in.as_secs_f64() * 1e3),
                is_crowded_out: false,
                is_quarantined: false,
                is_evacuated: false,
                has_no_version: false,
            })),
        }
    }

    /// Whether targets crash under the request or parts of its prompt, and this router doesn't try it
    /// again.
    pub fn is_quarantined(&self, spec: &RequestSpec, now: Instant) -> bool {
        if self.quarantine.is_empty() {
            return false;
        }
        let request = spec.identity.key();
        self.quarantine.is_request_quarantined(request, now)
            || (self.quarantine.is_trial_due(request, now) && !self.makes_trial(request, now))
            || self.quarantine.is_quarantined(spec.team, &spec.shared_parts(), now)
    }

    /// Whether this router is the one that tries a quarantined request again: the first in the
    /// request's rendezvous order of the routers that are heard.
    fn makes_trial(&self, request: Hash, now: Instant) -> bool {
        let own_weight = (report::hash(&self.name, request), &*self.name);
        let mut others = self.load.routers_heard(TRIAL_WINDOW, now);
        others.all(|name| (report::hash(name, request), name) <= own_weight)
    }

    fn record_dispatch(&mut self, spec: &RequestSpec, placement: &Placement, now: Instant) {
        let no_prompt = Prompt::default();
        let prompt = spec.prompt.as_ref().unwrap_or(&no_prompt);
        self.load.begin_request(placement.hash, placement.choice.unread_tokens, prompt, now);
        if !self.quarantine.is_empty() {
            self.quarantine.record_request_sent(spec.identity.key(), now);
        }
        self.health.record_sent(placement.hash, now);
        self.target_limits.record_send(placement.hash, now);
        if !spec.is_retry {
            self.shares.count_sent(spec.team, spec.charged_tokens(), now);
        }
    }

    /// The properties of a request on which admission depends.
    pub fn waiting_request(&self, spec: &RequestSpec) -> admission::WaitingRequest {
        admission::WaitingRequest {
            arrived_at: spec.arrived_at,
            due_at: spec.due_at,
            deadline: spec.deadline,
            urgency_step: spec.urgency_step,
            team_share: self.shares.team_share(spec.team),
        }
    }

    /// Rank of a request in the queue; lower ranks are decided first.
    pub fn rank(&self, spec: &RequestSpec, now: Instant) -> admission::Rank {
        self.waiting_request(spec).rank(&self.policy, now)
    }

    /// Id of the registered target with this hash.
    pub fn target_id(&self, hash: Hash) -> Option<Name> {
        let targets = self.registry.targets();
        targets.into_iter().find(|target| target.hash() == hash).map(|target| target.id.clone())
    }
}

fn cold_bounds(bounds: &edge::EdgeBounds) -> cold::Bounds {
    cold::Bounds { overshoot: bounds.cold_overshoot, slack: bounds.cold_slack }
}

fn retry_budget(bounds: &edge::EdgeBounds) -> RetryBudget {
    let window = edge::duration_s(bounds.retry_window_s);
    RetryBudget::new(bounds.retry_ratio, bounds.extra_retries, window)
}
