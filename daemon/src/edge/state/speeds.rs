//! The learned speeds of targets, and the services for which they are used.

use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::report::{self, Hash};
use gentianhinge_core::speed::{Observation, Speeds};
use gentianhinge_wire::edge;
use tokio::time::Instant;

use super::RouterState;
use crate::edge::spec::{Placement, Timing};

/// Maximum part of the time to a first event that counts as the fixed time of the service, so that a
/// wrong fixed time can't make the rest of a short request look like nothing.
const MAX_FIXED_PART: f64 = 0.5;

/// Why load is spread over the targets of a service and their speeds are learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadingCause {
    /// The setting `placement.spread_load`.
    Setting,
    /// A target has stated how long work takes on its host.
    Target,
}

impl SpreadingCause {
    /// Name of the cause in the log.
    pub fn name(self) -> &'static str {
        match self {
            SpreadingCause::Setting => "setting",
            SpreadingCause::Target => "target",
        }
    }
}

/// What is assumed of the speeds of a service's targets.
#[derive(Clone, Copy, Debug)]
pub enum ServiceSpeed {
    /// All have this speed, in tokens per ms.
    Nominal(f64),
    /// They are what the targets state of their hosts, relative to this speed in tokens per ms.
    Stated(f64),
    /// They are learned.
    Learned {
        /// Speed of a target with the mean factor, in tokens per ms.
        nominal_tokens_per_ms: f64,
        /// Mean factor of the service's targets.
        service_factor: f64,
    },
}

impl ServiceSpeed {
    /// Prompt tokens that a target of the service is taken to process per millisecond.
    ///
    /// Learned speeds are relative to the mean of the service. The thresholds of admission are in
    /// milliseconds at the nominal speed; with absolute times, a fleet on which all targets are slower
    /// admitted less while targets had room.
    pub fn tokens_per_ms(self, speeds: &Speeds, target: Hash, now: Instant) -> f64 {
        match self {
            ServiceSpeed::Nominal(tokens_per_ms) => tokens_per_ms,
            ServiceSpeed::Stated(tokens_per_ms) => tokens_per_ms / speeds.host_scale(target, now),
            ServiceSpeed::Learned { nominal_tokens_per_ms, service_factor } => {
                let slowness = speeds.slowness(target, service_factor, now);
                nominal_tokens_per_ms * service_factor / slowness
            }
        }
    }
}

/// A service over whose targets load is spread from now on.
pub type SpreadingNews = (Name, SpreadingCause);

impl RouterState {
    /// Applies changed settings for the choice of targets. Services for which spreading has begun by a
    /// target's statement keep it until the process ends.
    pub fn set_placement(&mut self, placement: &edge::EdgePlacement) {
        self.spreads_all = placement.spread_load;
        if !self.spreads_all {
            self.spreading_services.retain(|_, cause| *cause == SpreadingCause::Target);
        }
        self.begin_spreading_all();
    }

    /// Whether load is spread over the targets of a service and their speeds are learned: the settings
    /// say so, or one of its targets has stated how long work takes on its host.
    pub fn spreads_load(&self, service: &str) -> bool {
        self.spreads_all || self.spreading_services.contains_key(service)
    }

    /// Whether what the first events show of a service's targets is kept and exchanged: the settings
    /// say so, or the targets state figures of their hosts, which are exchanged with it.
    fn exchanges_first_events(&self, service: &str) -> bool {
        self.spreads_all || self.stating_services.contains(service)
    }

    /// Services for which [`RouterState::spreads_load`] holds since the last call.
    pub fn take_spreading_news(&mut self) -> Vec<SpreadingNews> {
        std::mem::take(&mut self.spreading_news)
    }

    /// Begins spreading for all known services if the settings say so.
    pub(super) fn begin_spreading_all(&mut self) {
        if self.spreads_all {
            let services = self.by_service.keys().cloned().collect::<Vec<_>>();
            for service in services {
                self.begin_spreading(&service, SpreadingCause::Setting);
            }
        }
    }

    fn begin_spreading(&mut self, service: &Name, cause: SpreadingCause) {
        if cause == SpreadingCause::Target && !self.stating_services.contains(service) {
            self.stating_services.insert(service.clone());
        }
        if !self.spreading_services.contains_key(service) {
            self.spreading_services.insert(service.clone(), cause);
            self.spreading_news.push((service.clone(), cause));
        }
    }

    /// Records what a target of a service states about its host.
    pub fn record_host_percent(
        &mut self,
        service: &Name,
        target: Hash,
        percent: u32,
        now: Instant,
    ) {
        self.begin_spreading(service, SpreadingCause::Target);
        self.speeds.record_host_percent(target, percent, now);
    }

    /// Applies first events that another router has seen.
    pub(super) fn apply_first_events(&mut self, lines: &[report::FirstEvents], now: Instant) {
        if lines.is_empty() {
            return;
        }
        self.refresh_target_index(now);
        for line in lines.iter().filter(|line| line.host_percent > 0) {
            if let Some(service) = self.service_names.get(&line.target).cloned() {
                self.begin_spreading(&service, SpreadingCause::Target);
            }
        }
        self.speeds.apply_report(lines, now);
    }

    /// Records the time from sending to the first event of a request with a prompt.
    pub fn record_first_event(&mut self, placement: &Placement, time: Duration, now: Instant) {
        let service = &placement.target.service;
        let uses_learned_speeds = self.spreads_all;
        if !uses_learned_speeds {
            self.times.record_first_event(placement, time);
        }
        if !self.exchanges_first_events(service) || placement.timing.is_unproven {
            return;
        }
        let time_ms = time.as_secs_f64() * 1e3;
        let fixed_ms = self.times.mean_extra_ms(service).min(time_ms * MAX_FIXED_PART);
        let choice = &placement.choice;
        let observation = Observation {
            unread_tokens: choice.load.unread_tokens + f64::from(choice.unread_tokens),
            time_ms: time_ms - fixed_ms,
            host_scale_at_send: placement.timing.host_scale,
        };
        let service_factor = self.service_factor(service, now);
        self.speeds.record(placement.hash, &observation, service_factor, now);
        if uses_learned_speeds {
            self.times.record_fixed_time(placement, time);
        }
    }

    /// Mean factor of the targets of a service; see [`Speeds`].
    fn service_factor(&mut self, service: &Name, now: Instant) -> f64 {
        let targets = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let hashes = targets.iter().map(|(_, hash)| *hash);
        self.speeds.service_factor(report::hash(service, 0), hashes, now)
    }

    /// What placement assumes of the speeds of a service's targets.
    ///
    /// Learned speeds are used only if the settings say so: in trials on two fleets they moved prompts
    /// away from the targets that had them cached, and fewer requests were served.
    pub fn speed(&mut self, service: &Name, now: Instant) -> ServiceSpeed {
        if !self.spreads_all && self.stating_services.contains(service) {
            ServiceSpeed::Stated(self.weights.read_tokens_per_ms)
        } else if self.spreads_all {
            ServiceSpeed::Learned {
                nominal_tokens_per_ms: self.weights.read_tokens_per_ms,
                service_factor: self.service_factor(service, now),
            }
        } else {
            ServiceSpeed::Nominal(self.weights.read_tokens_per_ms)
        }
    }

    /// What is known of a target's speed as a request is sent there.
    pub(super) fn timing(&self, service: &Name, target: Hash, now: Instant) -> Timing {
        let learned_scale = self.speeds.host_scale(target, now);
        Timing {
            fixed_ms: self.times.mean_extra_ms(service),
            host_scale: if self.exchanges_first_events(service) { learned_scale } else { 1.0 },
            is_unproven: self.health.is_unproven(target),
        }
    }
}
