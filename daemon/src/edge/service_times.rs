//! How long services take, as this router has seen lately.

use std::collections::HashMap;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::speed;

use super::spec::Placement;

/// Mean times by service.
#[derive(Debug, Default)]
pub struct ServiceTimes {
    /// Time of requests without a prompt.
    means: HashMap<Name, Duration>,
    /// Time from sending to the first event beyond what was expected, in ms.
    extra_ms: HashMap<Name, f64>,
}

impl ServiceTimes {
    /// Records the time from sending to the first event of a request.
    pub fn record_first_event(&mut self, placement: &Placement, time: Duration) {
        self.record_extra(placement, time, 1.0);
    }

    /// The same for a service whose targets' speeds are learned; short requests count most, as
    /// [`speed`] explains.
    pub fn record_fixed_time(&mut self, placement: &Placement, time: Duration) {
        let expected_ms = placement.choice.wait_ms + placement.choice.read_ms;
        self.record_extra(placement, time, speed::fixed_time_weight(expected_ms));
    }

    fn record_extra(&mut self, placement: &Placement, time: Duration, weight: f64) {
        /// Weight of a request in the moving average.
        const WEIGHT: f64 = 0.05;
        /// Maximum difference of one request that counts: beyond it, the target was slow.
        const MAX_EXTRA_MS: f64 = 400.0;
        let expected_ms = placement.choice.wait_ms + placement.choice.read_ms;
        let extra_ms = (time.as_secs_f64() * 1e3 - expected_ms).clamp(-MAX_EXTRA_MS, MAX_EXTRA_MS);
        let service = placement.target.service.clone();
        let mean = self.extra_ms.entry(service).or_default();
        *mean = (*mean + (extra_ms - *mean) * WEIGHT * weight).max(0.0);
    }

    /// Records how long a target took for a request without a prompt.
    pub fn record_service_time(&mut self, service: &Name, time: Duration) {
        /// Weight of a request in the moving average.
        const WEIGHT: f64 = 0.1;
        let mean = self.means.entry(service.clone()).or_insert(time);
        *mean = mean.mul_f64(1.0 - WEIGHT) + time.mul_f64(WEIGHT);
    }

    /// Mean time of requests without a prompt; zero if unknown.
    pub fn mean(&self, service: &Name) -> Duration {
        self.means.get(service).copied().unwrap_or_default()
    }

    /// Mean time to the first event beyond what was expected, in ms.
    pub fn mean_extra_ms(&self, service: &Name) -> f64 {
        self.extra_ms.get(service).copied().unwrap_or_default()
    }
}
