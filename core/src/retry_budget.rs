//! One budget of repeats for the whole fleet, by service.
//!
//! Load pattern: targets fail many requests at once. If every router repeats each of them, the
//! load doubles when there is least room for it.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::report::{self, Hash};

/// Part of the budget that is used; the rest covers what other routers do before they report it.
const USED_PART: f64 = 0.7;

/// Parts into which the window is cut.
const BUCKET_COUNT: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    retries: u32,
}

#[derive(Debug)]
struct Bucket {
    began_at: Instant,
    services: HashMap<Hash, Count>,
}

/// Counts of this router, reports of the others, and the bounds.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    buckets: VecDeque<Bucket>,
    peers: HashMap<Name, (Instant, Vec<report::ServiceUse>)>,
}

impl RetryBudget {
    /// Creates a budget: `ratio` repeats for each request and `extra` more in each window.
    pub fn new(ratio: f64, extra: u32, window: Duration) -> RetryBudget {
        let (buckets, peers) = (VecDeque::new(), HashMap::new());
        RetryBudget { ratio, extra: f64::from(extra), window, buckets, peers }
    }

    /// Takes over bounds that have changed.
    pub fn set_bounds(&mut self, ratio: f64, extra: u32) {
        (self.ratio, self.extra) = (ratio, f64::from(extra));
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, service: Hash, now: Instant) {
        self.bucket(now).entry(service).or_default().requests += 1;
    }

    /// Counts a repeat if the budget has room for it.
    pub fn try_take(&mut self, service: Hash, now: Instant) -> bool {
        let has_room = self.has_room(service, now);
        if has_room {
            self.bucket(now).entry(service).or_default().retries += 1;
        }
        has_room
    }

    /// Whether the budget has room for a repeat.
    pub fn has_room(&mut self, service: Hash, now: Instant) -> bool {
        let own = self.own(now).get(&service).copied().unwrap_or_default();
        let window = self.window;
        self.peers.retain(|_, (heard_at, _)| now.duration_since(*heard_at) < window);
        let lines = self.peers.values().flat_map(|(_, lines)| lines);
        let lines = lines.filter(|line| line.service == service);
        let (mut requests, mut retries) = (f64::from(own.requests), f64::from(own.retries));
        for line in lines {
            requests += f64::from(line.request_count);
            retries += f64::from(line.retry_count);
        }
        // Each router may spend the margin once before the others hear of it.
        let allowed = (self.ratio * requests + self.extra) * USED_PART;
        retries + 1.0 <= allowed
    }

    fn bucket(&mut self, now: Instant) -> &mut HashMap<Hash, Count> {
        let span = self.window / BUCKET_COUNT;
        if self.buckets.back().is_none_or(|last| now.duration_since(last.began_at) >= span) {
            self.buckets.push_back(Bucket { began_at: now, services: HashMap::new() });
        }
        let at = self.buckets.len() - 1;
        &mut self.buckets[at].services
    }

    fn own(&mut self, now: Instant) -> HashMap<Hash, Count> {
        let window = self.window;
        self.buckets.retain(|bucket| now.duration_since(bucket.began_at) < window);
        let mut sums = HashMap::<Hash, Count>::new();
        for (service, count) in self.buckets.iter().flat_map(|bucket| &bucket.services) {
            let sum = sums.entry(*service).or_default();
            sum.requests += count.requests;
            sum.retries += count.retries;
        }
        sums
    }

    /// Takes another router's counts.
    pub fn apply_report(&mut self, sender: &Name, services: Vec<report::ServiceUse>, now: Instant) {
        self.peers.insert(sender.clone(), (now, services));
    }

    /// This router's counts, for its report.
    pub fn own_report(&mut self, now: Instant) -> Vec<report::ServiceUse> {
        let own = self.own(now).into_iter().map(|(service, count)| report::ServiceUse {
            service,
            request_count: count.requests,
            retry_count: count.retries,
        });
        own.collect()
    }
}
