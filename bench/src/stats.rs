//! What a run measures.

/// Result of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Largest difference in delivered service per weight between two teams since measuring began,
    /// in the largest request.
    pub gap: f64,
    /// Most service of a team over the least.
    pub most_to_least: f64,
    /// Part of the slots' time that was used.
    pub utilisation: f64,
    /// Longest time that a slot was idle, in seconds.
    pub longest_idle_s: f64,
    /// Requests that ended.
    pub request_count: u64,
    /// Messages between routers and dispatchers for each request.
    pub messages_per_request: f64,
    /// Bytes of these messages for each request.
    pub bytes_per_request: f64,
    /// Bytes of these messages a second and router.
    pub bytes_per_s: f64,
    /// Processor time in routers for each request, in microseconds.
    pub router_us_per_request: f64,
    /// Processor time in dispatchers for each request, in microseconds.
    pub dispatcher_us_per_request: f64,
    /// Part of the requests that moved to another cell.
    pub moved_ratio: f64,
    /// Memory that the process gained from before the run to its end, in MB.
    pub memory_mb: f64,
    /// Service of each team since measuring began, per weight.
    pub service: Vec<f64>,
}

/// Service of each team and the gap between them.
#[derive(Debug)]
pub struct GapTracker {
    start_service: Vec<f64>,
    latest_service: Vec<f64>,
    largest_gap: f64,
}

impl GapTracker {
    /// Starts measuring at the given service per team and weight.
    pub fn new(start_service: Vec<f64>) -> GapTracker {
        GapTracker {
            latest_service: vec![0.0; start_service.len()],
            start_service,
            largest_gap: 0.0,
        }
    }

    /// Notes the service of now.
    pub fn sample(&mut self, service: &[f64]) {
        let since = service.iter().zip(&self.start_service).map(|(now, start)| now - start);
        self.latest_service = since.collect();
        let (least, most) = self.extremes();
        self.largest_gap = self.largest_gap.max(most - least);
    }

    /// Largest difference so far.
    pub fn largest_gap(&self) -> f64 {
        self.largest_gap
    }

    /// Service at the last sample.
    pub fn service(&self) -> &[f64] {
        &self.latest_service
    }

    /// Least and most service at the last sample.
    pub fn extremes(&self) -> (f64, f64) {
        let least = self.latest_service.iter().copied().fold(f64::INFINITY, f64::min);
        let most = self.latest_service.iter().copied().fold(0.0, f64::max);
        (least, most)
    }
}

/// Memory of the process that is resident, in MB; 0 where the system doesn't tell.
pub fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1_024.0
}
