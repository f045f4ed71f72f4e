//! Targets: slots, a queue in order of arrival, and a fixed time a token.

use std::collections::VecDeque;

use tokio::time;

/// A request at a target.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the request.
    pub request: u64,
    /// When it starts to deliver.
    pub started_at: time::Instant,
}

/// One target.
#[derive(Debug, Default)]
pub struct Target {
    slots: usize,
    running_count: usize,
    queue: VecDeque<u64>,
    /// When each slot without work became free.
    free_since: VecDeque<time::Instant>,
    /// Sum of the idle times that have ended since measuring began, in seconds.
    pub idle_s: f64,
    /// Longest idle time that has ended since measuring began, in seconds.
    pub longest_idle_s: f64,
}

impl Target {
    /// Creates a target without work.
    pub fn new(slots: usize, now: time::Instant) -> Target {
        Target { slots, free_since: vec![now; slots].into(), ..Target::default() }
    }

    /// Takes a request; it starts if a slot is free.
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

    /// Ends a request; the next of the queue starts.
    pub fn finish(&mut self, now: time::Instant) -> Option<Job> {
        let Some(request) = self.queue.pop_front() else {
            self.running_count -= 1;
            self.free_since.push_back(now);
            return None;
        };
        Some(Job { request, started_at: now })
    }

    /// Begins measuring anew.
    pub fn start_measuring(&mut self, now: time::Instant) {
        (self.idle_s, self.longest_idle_s) = (0.0, 0.0);
        for since in &mut self.free_since {
            *since = now;
        }
    }

    /// Counts the idle times that haven't ended.
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
