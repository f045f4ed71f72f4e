//! Simulated targets: slots, and a queue in order of arrival.

use std::collections::VecDeque;

use tokio::time;

/// A request that has got a slot.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the request.
    pub request: u64,
    /// When it got the slot.
    pub started_at: time::Instant,
}

/// State of one target.
#[derive(Debug, Default)]
pub struct Target {
    slots: usize,
    running_count: usize,
    queue: VecDeque<u64>,
    /// When each free slot became free, longest ago first.
    free_since: VecDeque<time::Instant>,
    /// Sum of the idle times of all slots that ended during the measurement, in seconds.
    pub idle_s: f64,
    /// Longest idle time of a slot that ended during the measurement, in seconds.
    pub longest_idle_s: f64,
}

impl Target {
    /// Creates an idle target.
    pub fn new(slots: usize, now: time::Instant) -> Target {
        Target { slots, free_since: vec![now; slots].into(), ..Target::default() }
    }

    /// Adds a request; returns it if it starts at once, or queues it if no slot is free.
    pub fn arrive(&mut self, request: u64, now: time::Instant) -> Option<Job> {
        if self.running_count >= self.slots {
            self.queue.push_back(request);
            return None;
        }
        self.running_count += 1;
        if let Some(since) = self.free_since.pop_front() {
            self.record_idle(now, since);
        }
        Some(Job { request, started_at: now })
    }

    /// Ends a request; returns the next request of the queue, which takes the slot.
    pub fn finish(&mut self, now: time::Instant) -> Option<Job> {
        let Some(request) = self.queue.pop_front() else {
            self.running_count -= 1;
            self.free_since.push_back(now);
            return None;
        };
        Some(Job { request, started_at: now })
    }

    /// Starts a measurement, in which idle times count from now.
    pub fn start_measuring(&mut self, now: time::Instant) {
        (self.idle_s, self.longest_idle_s) = (0.0, 0.0);
        for since in &mut self.free_since {
            *since = now;
        }
    }

    /// Ends the measurement, with the idle times of the slots that are free now.
    pub fn end_measuring(&mut self, now: time::Instant) {
        for since in std::mem::take(&mut self.free_since) {
            self.record_idle(now, since);
        }
    }

    fn record_idle(&mut self, now: time::Instant, since: time::Instant) {
        let idle_s = now.saturating_duration_since(since).as_secs_f64();
        self.idle_s += idle_s;
        self.longest_idle_s = self.longest_idle_s.max(idle_s);
    }
}
