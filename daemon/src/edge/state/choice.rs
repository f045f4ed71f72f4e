//! The choice of a request's target.

use std::time::Duration;

use gentianhinge_core::eligibility::{self, Eligibility};
use gentianhinge_core::ids::Name;
use gentianhinge_core::report::{self, Hash};
use gentianhinge_core::{admission, placement, sampling, spreading};
use rand::Rng;
use smallvec::SmallVec;
use tokio::time::Instant;

use super::{RouterState, SHARES_INTERVAL};
use crate::edge::spec::{Placement, RequestSpec};

/// Time for which the backlog of a service is cached: the interval between two scans of
/// the queue.
const BACKLOG_CACHE_TIME: Duration = Duration::from_millis(10);

impl RouterState {
    fn choose(&mut self, spec: &RequestSpec, zone: &str, now: Instant) -> Option<Placement> {
        self.refresh_target_index(now);
        let service_load = self.service_load(&spec.service, now);
        let demand_part = self.demand_part(&spec.service, now);
        let speed = self.speed(&spec.service, now);
        let spreads_load = self.spreads_load(&spec.service);
        let all = self.by_service.get(&spec.service)?;
        let target_versions = &self.target_versions;
        let has_version = |hash| {
            spec.required_version.is_none_or(|version| target_versions.get(hash) == Some(&version))
        };
        let untried =
            all.iter().filter(|(_, hash)| !spec.tried.contains(hash) && has_version(hash));
        let mut eligibility = Eligibility {
            health: &self.health,
            limits: &mut self.target_limits,
            holds: &self.holds,
            cold: &self.cold,
            demand_part,
        };
        let usable = eligibility.select(untried, now);
        let candidates = usable.into_iter().map(|(target, hash)| placement::Candidate {
            target,
            hash: *hash,
            slots: f64::from(target.slots),
            tokens_per_ms: speed.tokens_per_ms(&self.speeds, *hash, now),
        });
        let mut candidates = candidates.collect::<sampling::Sample<'_>>();
        if let Some(prompt) = spec.prompt.as_ref().filter(|_| spreads_load) {
            candidates = sampling::select(candidates, &self.load, prompt, zone, &mut rand::rng());
        }
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
        let timing = self.timing(&spec.service, hash, now);
        Some(Placement { target, hash, choice, limit, timing })
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
        let required = spec.required_version;
        let eligibility = self.eligibility(&spec.service, required, now);
        eligibility.map_or(Duration::ZERO, |(eligibility, targets)| {
            eligibility.opens_in(targets.into_iter(), spec.ahead_count, now)
        })
    }

    /// Eligibility of the targets of a service, or of those of a version; `None` for an unknown
    /// service.
    fn eligibility(
        &mut self,
        service: &Name,
        required_version: Option<Hash>,
        now: Instant,
    ) -> Option<(Eligibility<'_>, SmallVec<[&eligibility::Entry; 32]>)> {
        let demand_part = self.demand_part(service, now);
        let versions = &self.target_versions;
        let targets = self.by_service.get(service)?.iter().filter(|(_, hash)| {
            required_version.is_none_or(|version| versions.get(hash) == Some(&version))
        });
        let targets = targets.collect();
        let RouterState { health, target_limits: limits, holds, cold, .. } = self;
        Some((Eligibility { health, limits, holds, cold, demand_part }, targets))
    }

    fn service_load(&mut self, service: &Name, now: Instant) -> spreading::ServiceLoad {
        spreading::ServiceLoad {
            arrivals_per_s: self.retries.requests_per_s(report::hash(service, 0), now),
            service_time: self.times.mean(service),
            report_age: self.load.mean_report_age(now),
        }
    }

    /// Backlog of the targets of a service, or of those of a version, at most [`BACKLOG_CACHE_TIME`] old.
    fn service_backlog(
        &mut self,
        service: &Name,
        required_version: Option<Hash>,
        now: Instant,
    ) -> Option<admission::ServiceBacklog> {
        self.refresh_target_index(now);
        let key = (service.clone(), required_version);
        if let Some((at, backlog)) = self.service_backlogs.get(&key)
            && now < *at + BACKLOG_CACHE_TIME
        {
            return Some(*backlog);
        }
        let speed = self.speed(service, now);
        let (mut eligibility, targets) = self.eligibility(service, required_version, now)?;
        let open = targets.into_iter().map(|(_, hash)| *hash);
        let open = open.filter(|hash| eligibility.is_open(*hash, now));
        let open = open.collect::<SmallVec<[Hash; 32]>>();
        let loads = open
            .iter()
            .map(|hash| (self.load.load(*hash), speed.tokens_per_ms(&self.speeds, *hash, now)));
        let backlog = placement::service_backlog(loads, &self.weights);
        if backlog.least_wait_ms.is_infinite() {
            return None;
        }
        self.service_backlogs.insert(key, (now, backlog));
        Some(backlog)
    }

    /// The target chosen for a request and its estimates; no target if the backlog of the service
    /// already rules out sending.
    pub(super) fn best_target(
        &mut self,
        spec: &RequestSpec,
        waiting: &admission::WaitingRequest,
        policy: &admission::Policy,
        zone: &str,
        now: Instant,
    ) -> (Option<Placement>, Option<admission::BestTarget>) {
        if spec.prompt.is_some()
            && let Some(backlog) = self.service_backlog(&spec.service, spec.required_version, now)
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
}
