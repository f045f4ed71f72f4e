//! A router's view of the fleet, and the placement decisions based on it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::eligibility::{self, Eligibility};
use gentianhinge_core::holds::Holds;
use gentianhinge_core::ids::Name;
use gentianhinge_core::load::LoadView;
use gentianhinge_core::prompt::Prompt;
use gentianhinge_core::quarantine::Quarantine;
use gentianhinge_core::registry::{Registry, Target};
use gentianhinge_core::report::{self, Hash};
use gentianhinge_core::retry_budget::RetryBudget;
use gentianhinge_core::routing::RouteTable;
use gentianhinge_core::share::Shares;
use gentianhinge_core::target_limit::TargetLimits;
use gentianhinge_core::{admission, health, patience, placement, polling, spreading};
use gentianhinge_platform::answer::Statement;
use gentianhinge_wire::edge;
use rand::Rng;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::crash;
use super::service_times::ServiceTimes;
use super::spec::{Decision, Placement, Refused, RequestSpec};
use super::statements;

/// Minimum interval between two computations of the fair share.
const SHARES_INTERVAL: Duration = Duration::from_millis(350);

/// Time for which the backlog of a service is cached: the interval between two scans of
/// the queue.
const BACKLOG_CACHE_TIME: Duration = Duration::from_millis(10);

/// Time since a router's last report within which it takes its turn to try a quarantined request.
const TRIAL_WINDOW: Duration = Duration::from_secs(10);

type Candidates<'a> = SmallVec<[placement::Candidate<'a>; 32]>;

/// A router's view of the fleet.
#[derive(Debug)]
pub struct RouterState {
    name: Name,
    /// Configuration in force.
    pub table: Option<Arc<RouteTable>>,
    /// Registered targets.
    pub registry: Registry,
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
    /// What this router keeps of targets' statements, for its log and reports.
    pub statements: statements::Statements,
    /// Names of the routers that are registered in the store, including this one.
    pub registered_routers: BTreeSet<Name>,
    /// What this router knows of the store's topics, by [`Topic::number`](report::Topic::number).
    topic_views: [polling::View; report::Topic::ALL.len()],
    weights: placement::Weights,
    policy: admission::Policy,
    shares_computed_at: Option<Instant>,
    by_service: HashMap<Name, Vec<(Arc<Target>, Hash)>>,
    /// How long services take.
    pub times: ServiceTimes,
    patience: HashMap<Name, patience::Patience>,
    service_backlogs: HashMap<Name, (Instant, admission::ServiceBacklog)>,
    /// This router's part of the demand for each service, and when it was computed.
    demand_parts: HashMap<Name, (Instant, f64)>,
    indexed_revision: u64,
    are_targets_loaded: bool,
}

impl RouterState {
    /// Creates the state of a router that has not read the store yet.
    ///
    /// `seed` is for random choices and must differ between routers.
    pub fn new(name: Name, bounds: &edge::EdgeBounds, seed: u64) -> RouterState {
        RouterState {
            name,
            table: None,
            registry: Registry::default(),
            load: LoadView::default(),
            shares: Shares::new(edge::duration_s(bounds.share_window_s)),
            retries: retry_budget(bounds),
            health: health::Health::default(),
            quarantine: Quarantine::default(),
            target_limits: TargetLimits::new(seed),
            holds: Holds::default(),
            statements: statements::Statements::default(),
            registered_routers: BTreeSet::new(),
            topic_views: Default::default(),
            weights: placement::Weights::default(),
            policy: admission::Policy::default(),
            shares_computed_at: None,
            by_service: HashMap::new(),
            times: ServiceTimes::default(),
            patience: HashMap::new(),
            service_backlogs: HashMap::new(),
            demand_parts: HashMap::new(),
            indexed_revision: 0,
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

    /// Applies changed bounds of the retry budget; the windows keep their lengths.
    pub fn set_bounds(&mut self, bounds: &edge::EdgeBounds) {
        self.retries.set_bounds(bounds.retry_ratio, bounds.extra_retries);
    }

    /// What this router knows of a topic of the store.
    pub fn topic_view(&mut self, topic: report::Topic) -> &mut polling::View {
        match topic {
            report::Topic::Config => &mut self.topic_views[0],
            report::Topic::Targets => &mut self.topic_views[1],
            report::Topic::Routers => &mut self.topic_views[2],
        }
    }

    /// Latest era of the store that this router knows of.
    pub fn store_era(&self) -> u64 {
        self.topic_views.iter().map(|view| view.era).max().unwrap_or_default()
    }

    /// Offsets up to which this router has read the store in this era; 0 for topics that it hasn't
    /// read in this era.
    pub fn offsets(&self) -> report::Offsets {
        let era = self.store_era();
        self.topic_views.map(|view| {
            let is_read = view.era == era && !view.must_list();
            view.next_offset.filter(|_| is_read).unwrap_or(0)
        })
    }

    /// Takes into account that the store has another era, as another topic or router shows.
    pub fn hear_era(&mut self, era: u64, now: Instant) {
        for view in &mut self.topic_views {
            view.hear_era(era, now);
        }
    }

    /// Whether a configuration and the targets have been read.
    pub fn can_serve(&self) -> bool {
        self.table.is_some() && self.are_targets_loaded
    }

    /// Records that the registry holds a complete listing.
    pub fn set_targets_loaded(&mut self) {
        self.are_targets_loaded = true;
    }

    /// Drops load, health and limit of an incarnation of a target.
    pub fn forget(&mut self, hash: Hash) {
        self.load.forget(hash);
        self.health.forget(hash);
        self.target_limits.forget(hash);
        self.holds.forget(hash);
        self.statements.forget(hash);
    }

    /// Rebuilds the index of targets by service if the registry has changed.
    fn refresh_target_index(&mut self) {
        if self.indexed_revision == self.registry.revision() {
            return;
        }
        self.indexed_revision = self.registry.revision();
        self.by_service.clear();
        self.service_backlogs.clear();
        for target in self.registry.targets().filter(|target| !target.is_leaving) {
            let entries = self.by_service.entry(target.service.clone()).or_default();
            entries.push((target.clone(), target.hash()));
        }
    }

    fn choose(&mut self, spec: &RequestSpec, zone: &str, now: Instant) -> Option<Placement> {
        self.refresh_target_index();
        let service_load = self.service_load(&spec.service, now);
        let demand_part = self.demand_part(&spec.service, now);
        let all = self.by_service.get(&spec.service)?;
        let untried = all.iter().filter(|(_, hash)| !spec.tried.contains(hash));
        let mut eligibility = Eligibility {
            health: &self.health,
            limits: &mut self.target_limits,
            holds: &self.holds,
            demand_part,
        };
        let usable = eligibility.select(untried, now);
        let candidates = usable.into_iter().map(candidate).collect::<Candidates<'_>>();
        let weights = &self.weights;
        let choice = match &spec.prompt {
            Some(prompt) => placement::choose(&candidates, &self.load, prompt, zone, weights, now),
            None => placement::choose_without_prompt(
                &candidates,
                &self.load,
                zone,
                &service_load,
                weights,
                rand::rng().random(),
            ),
        }?;
        let chosen = candidates.get(choice.candidate_index)?;
        let (hash, id) = (chosen.hash, chosen.target.id.clone());
        let target = self.registry.get(&id)?.clone();
        let limit = self.target_limits.limit(hash, now);
        Some(Placement { target, hash, choice, limit })
    }

    /// This router's part of the demand for a service, at most [`SHARES_INTERVAL`] old: of what is
    /// due to teams if its targets run a model, otherwise of the requests.
    fn demand_part(&mut self, service: &Name, now: Instant) -> f64 {
        if let Some((at, part)) = self.demand_parts.get(service)
            && now < *at + SHARES_INTERVAL
        {
            return *part;
        }
        let router_count = self.load.router_count(now);
        let is_model = self
            .table
            .as_ref()
            .is_some_and(|table| table.service(service).is_some_and(|service| service.is_model));
        let due_part = self.shares.due_part(router_count).filter(|_| is_model);
        let part =
            due_part.unwrap_or_else(|| self.retries.demand_part(report::hash(service, 0), now));
        self.demand_parts.insert(service.clone(), (now, part));
        part
    }

    /// Expected time until a target of the service takes the request; zero if one does now.
    pub fn opens_in(&mut self, spec: &RequestSpec, now: Instant) -> Duration {
        let eligibility = self.eligibility(&spec.service, now);
        eligibility.map_or(Duration::ZERO, |(eligibility, targets)| {
            eligibility.opens_in(targets.iter(), spec.ahead_count, now)
        })
    }

    /// Eligibility of the targets of a service; `None` without any.
    fn eligibility(
        &mut self,
        service: &Name,
        now: Instant,
    ) -> Option<(Eligibility<'_>, &[eligibility::Entry])> {
        let demand_part = self.demand_part(service, now);
        let targets = self.by_service.get(service)?;
        let RouterState { health, target_limits: limits, holds, .. } = self;
        Some((Eligibility { health, limits, holds, demand_part }, targets))
    }

    fn service_load(&mut self, service: &Name, now: Instant) -> spreading::ServiceLoad {
        spreading::ServiceLoad {
            arrivals_per_s: self.retries.requests_per_s(report::hash(service, 0), now),
            service_time: self.times.mean(service),
            report_age: self.load.mean_report_age(now),
        }
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

    /// Backlog of the targets of a service, at most [`BACKLOG_CACHE_TIME`] old.
    fn service_backlog(
        &mut self,
        service: &Name,
        now: Instant,
    ) -> Option<admission::ServiceBacklog> {
        self.refresh_target_index();
        if let Some((at, backlog)) = self.service_backlogs.get(service)
            && now < *at + BACKLOG_CACHE_TIME
        {
            return Some(*backlog);
        }
        let (mut eligibility, targets) = self.eligibility(service, now)?;
        let open = targets.iter().map(|(_, hash)| *hash);
        let open = open.filter(|hash| eligibility.is_open(*hash, now));
        let open = open.collect::<SmallVec<[Hash; 32]>>();
        let loads = open.iter().map(|hash| self.load.load(*hash));
        let backlog = placement::service_backlog(loads, &self.weights);
        if backlog.least_wait_ms.is_infinite() {
            return None;
        }
        self.service_backlogs.insert(service.clone(), (now, backlog));
        Some(backlog)
    }

    /// The target chosen for a request and its estimates; no target if the backlog of the service
    /// already rules out sending.
    fn best_target(
        &mut self,
        spec: &RequestSpec,
        waiting: &admission::WaitingRequest,
        policy: &admission::Policy,
        zone: &str,
        now: Instant,
    ) -> (Option<Placement>, Option<admission::BestTarget>) {
        if spec.prompt.is_some()
            && let Some(backlog) = self.service_backlog(&spec.service, now)
            && !policy.may_send(waiting, &backlog)
        {
            let mean_wait_ms = backlog.mean_wait_ms;
            let wait_ms = mean_wait_ms;
            let opens_in = Duration::ZERO;
            let busy = admission::BestTarget {
                wait_ms,
                read_ms: 0.0,
                has_slot: false,
                mean_wait_ms,
                opens_in,
            };
            return (None, Some(busy));
        }
        let placement = self.choose(spec, zone, now);
        let opens_in = self.opens_in(spec, now);
        let Some(chosen) = &placement else {
            let best = admission::BestTarget::closed_for(opens_in);
            return (None, Some(best).filter(|_| !opens_in.is_zero()));
        };
        let extra_ms = self.times.mean_extra_ms(&spec.service);
        let best = Some(admission::BestTarget {
            wait_ms: chosen.choice.wait_ms,
            read_ms: chosen.choice.read_ms + extra_ms,
            has_slot: chosen.choice.has_slot,
            // A target with a limit has no backlog, though requests wait for openings.
            mean_wait_ms: chosen.choice.mean_wait_ms.max(opens_in.as_secs_f64() * 1e3),
            opens_in: Duration::ZERO,
        });
        (placement, best)
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

    /// Applies a load report of another router; outdated reports are ignored but for their evidence of
    /// crashes, most of which is told once.
    /// Returns what is new of targets' statements.
    pub fn apply_report(
        &mut self,
        mut report: report::LoadReport,
        now: Instant,
    ) -> statements::ReportedNews {
        self.apply_evidence(&mut report, now);
        if !self.load.apply_report(&report, now) {
            return statements::ReportedNews::default();
        }
        self.hear_era(report.store_era, now);
        for (view, offset) in self.topic_views.iter_mut().zip(report.offsets) {
            if report.store_era == view.era && !view.must_list() {
                view.hear(offset, now);
            }
        }
        if !report.teams.is_empty() {
            self.shares.apply_report(&report.sender, report.teams, now);
        }
        if !report.services.is_empty() {
            self.retries.apply_report(&report.sender, report.incarnation, report.services, now);
        }
        let gone = report.late_records.iter().filter_map(|late| {
            let id = self.registry.hear_late(*late)?;
            Some((id, late.target))
        });
        let gone = gone.collect::<Vec<_>>();
        for (_, hash) in &gone {
            self.forget(*hash);
        }
        let leaving = report.leaving.iter();
        statements::ReportedNews {
            leaving: leaving.filter_map(|hash| self.registry.mark_leaving(*hash)).collect(),
            limits: self.target_limits.apply_report(
                &report.sender,
                report.incarnation,
                &report.limits,
                now,
            ),
            gone: gone.into_iter().map(|(id, _)| id).collect(),
        }
    }

    fn apply_evidence(&mut self, report: &mut report::LoadReport, now: Instant) {
        let crashes = std::mem::take(&mut report.crashes).into_iter();
        let crashes = crashes.filter_map(|line| crash::from_report(line, now)).collect();
        self.quarantine.apply_report(crashes, &report.cleared_parts, now);
        let ended = std::mem::take(&mut report.ended).into_iter();
        let ended = ended.filter_map(|line| crash::ended_target(line, now)).collect();
        self.quarantine.apply_ended(ended, &report.cleared_requests, now);
    }

    /// Records what a target states in a response to a request that was sent at `sent_at`.
    pub fn record_statement(
        &mut self,
        target: Hash,
        statement: &Statement,
        sent_at: Instant,
    ) -> statements::News {
        let now = Instant::now();
        let mut news = statements::News::default();
        if !statement.is_limit_unreadable || statement.limit_per_s.is_some() {
            let limit_per_s = statement.limit_per_s;
            news.limit = self.target_limits.record_answer(target, limit_per_s, sent_at, now);
        }
        if statement.is_leaving {
            news.is_leaving = self.registry.mark_leaving(target).is_some();
            self.statements.record_leaving(target, now);
        }
        if let Some(hold) = statement.hold {
            news.hold = Some(hold).filter(|_| self.holds.ends_in(target, now).is_none());
            self.holds.record(target, hold, rand::rng().random(), now);
        }
        news.is_unreadable =
            statement.is_unreadable && self.statements.record_unreadable(target, now);
        news
    }

    /// Id of the registered target with this hash.
    pub fn target_id(&self, hash: Hash) -> Option<Name> {
        let targets = self.registry.targets();
        targets.into_iter().find(|target| target.hash() == hash).map(|target| target.id.clone())
    }
}

fn candidate((target, hash): &(Arc<Target>, Hash)) -> placement::Candidate<'_> {
    placement::Candidate { target, hash: *hash, slots: f64::from(target.slots) }
}

fn retry_budget(bounds: &edge::EdgeBounds) -> RetryBudget {
    let window = edge::duration_s(bounds.retry_window_s);
    RetryBudget::new(bounds.retry_ratio, bounds.extra_retries, window)
}
