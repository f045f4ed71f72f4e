//! Measurements of a run.

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Largest difference in delivered service per weight between two teams during the measurement,
    /// in units of the largest request.
    pub gap: f64,
    /// Ratio of the greatest to the least service of a team per weight.
    pub most_to_least: f64,
    /// Share of the slot time in use, 0 to 1.
    pub utilisation: f64,
    /// Longest time that a slot was idle, in seconds.
    pub longest_idle_s: f64,
    /// Number of requests that ended.
    pub request_count: u64,
    /// Control messages between routers, dispatchers and aggregators per request.
    pub messages_per_request: f64,
    /// Estimated bytes of these messages per request.
    pub bytes_per_request: f64,
    /// Estimated bytes of these messages per second and router.
    pub bytes_per_s: f64,
    /// Time spent in router code per request, in microseconds.
    pub router_us_per_request: f64,
    /// Time spent in dispatcher and aggregator code per request, in microseconds.
    pub dispatcher_us_per_request: f64,
    /// Share of the requests that moved to another cell, 0 to 1.
    pub moved_ratio: f64,
    /// Growth of the resident memory during the run, in MB.
    pub memory_mb: f64,
    /// Service of each team per weight during the measurement, in tokens.
    pub service: Vec<f64>,
}

/// Tracks the service of each team and the largest gap between two teams.
#[derive(Debug)]
pub struct GapTracker {
    start_service: Vec<f64>,
    latest_service: Vec<f64>,
    largest_gap: f64,
}

impl GapTracker {
    /// Starts a measurement; `start_service` is the service of each team so far, per weight.
    pub fn new(start_service: Vec<f64>) -> GapTracker {
        GapTracker {
            latest_service: vec![0.0; start_service.len()],
            start_service,
            largest_gap: 0.0,
        }
    }

    /// Records the service of each team so far, per weight.
    pub fn sample(&mut self, service: &[f64]) {
        let since = service.iter().zip(&self.start_service).map(|(now, start)| now - start);
        self.latest_service = since.collect();
        let (least, most) = self.extremes();
        self.largest_gap = self.largest_gap.max(most - least);
    }

    /// Largest gap at any sample, in tokens per weight.
    pub fn largest_gap(&self) -> f64 {
        self.largest_gap
    }

    /// Service of each team since the start of the measurement, at the last sample.
    pub fn service(&self) -> &[f64] {
        &self.latest_service
    }

    /// Minimum and maximum service at the last sample.
    pub fn extremes(&self) -> (f64, f64) {
        let least = self.latest_service.iter().copied().fold(f64::INFINITY, f64::min);
        let most = self.latest_service.iter().copied().fold(0.0, f64::max);
        (least, most)
    }
}

/// Resident memory of the process in MB; 0 on systems without `/proc`.
pub fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1_024.0
}
