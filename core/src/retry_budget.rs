//! Retry budget per service, shared by the whole fleet.
//!
//! When targets fail many requests at once, retrying all of them would double the load just when
//! capacity is lowest. The budget limits retries to a ratio of requests over a sliding window.
//!
//! Load pattern: hundreds of routers see a target fail in the same second, and the last reports of
//! the others still show an unused budget. Each router therefore has a share of it, half by its
//! requests and half evenly.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::report::{self, Hash};

/// Fraction of the budget that is used; the rest covers retries that other routers haven't reported
/// yet.
const USABLE_RATIO: f64 = 0.7;

/// Part of the usable budget for requests whose target is only silent. The rest is left for requests
/// that failed: without a retry these are lost, and the silent ones may not be.
const HEDGE_RATIO: f64 = 0.5;

/// Requests that each router is taken to have besides those it has reported.
const PRIOR_REQUESTS: f64 = 0.5;

/// Buckets of the sliding window.
const BUCKET_COUNT: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    requests: u32,
    retries: u32,
}

#[derive(Debug)]
struct Bucket {
    started_at: Instant,
    services: HashMap<Hash, Count>,
}

/// Retry budget of all services: own counts, reports of other routers, and bounds.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra_retries: f64,
    window: Duration,
    router_count: f64,
    buckets: VecDeque<Bucket>,
    peers: HashMap<Name, (Instant, Vec<report::ServiceUse>)>,
    /// Requests in this router's last report.
    reported: HashMap<Hash, u32>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request plus `extra_retries` per window, for each
    /// service. Both may be fractions; a retry is allowed only if a whole one is left.
    pub fn new(ratio: f64, extra_retries: f64, window: Duration) -> RetryBudget {
        RetryBudget {
            ratio,
            extra_retries,
            window,
            router_count: 1.0,
            buckets: VecDeque::new(),
            peers: HashMap::new(),
            reported: HashMap::new(),
        }
    }

    /// Replaces the bounds; counts stay.
    pub fn set_bounds(&mut self, ratio: f64, extra_retries: f64) {
        (self.ratio, self.extra_retries) = (ratio, extra_retries);
    }

    /// Counts a request of a caller, without its retries.
    pub fn count_request(&mut self, service: Hash, now: Instant) {
        self.current_bucket(now).entry(service).or_default().requests += 1;
    }

    /// Counts a retry and returns true if the budget has room for it.
    pub fn try_take(&mut self, service: Hash, now: Instant) -> bool {
        self.try_take_of(service, 1.0, now)
    }

    /// The same for a retry beside an attempt whose target is silent.
    pub fn try_take_hedge(&mut self, service: Hash, now: Instant) -> bool {
        self.try_take_of(service, HEDGE_RATIO, now)
    }

    fn try_take_of(&mut self, service: Hash, ratio: f64, now: Instant) -> bool {
        let has_room = self.has_room_of(service, ratio, now);
        if has_room {
            self.current_bucket(now).entry(service).or_default().retries += 1;
        }
        has_room
    }

    /// Whether the budget has room for one more retry.
    pub fn has_room(&mut self, service: Hash, now: Instant) -> bool {
        self.has_room_of(service, 1.0, now)
    }

    /// Whether a part of the budget has room for one more retry.
    fn has_room_of(&mut self, service: Hash, ratio: f64, now: Instant) -> bool {
        let own = self.own_counts(now).get(&service).copied().unwrap_or_default();
        let window = self.window;
        self.peers.retain(|_, (received_at, _)| now.duration_since(*received_at) < window);
        let lines = self.peers.values().flat_map(|(_, lines)| lines);
        let lines = lines.filter(|line| line.service == service);
        let (mut requests, mut retries) = (f64::from(own.requests), f64::from(own.retries));
        for line in lines {
            requests += f64::from(line.request_count);
            retries += f64::from(line.retry_count);
        }
        let allowed = (self.ratio * requests + self.extra_retries) * ratio;
        let own_requests = f64::from(own.requests);
        let share_of_requests = if requests > 0.0 { own_requests / requests } else { 0.0 };
        let share = (share_of_requests + 1.0 / self.router_count) / 2.0;
        // Each router can use up the remaining room before the others receive its report, so none
        // takes more than its share: the shares of all routers add up to the budget.
        retries + 1.0 <= allowed * USABLE_RATIO && f64::from(own.retries) + 1.0 <= allowed * share
    }

    /// Sets the number of routers that share the budget, including this one.
    pub fn set_router_count(&mut self, router_count: usize) {
        self.router_count = router_count.max(1) as f64;
    }

    /// Requests per second for a service by all routers, without retries.
    pub fn requests_per_s(&mut self, service: Hash, now: Instant) -> f64 {
        let own = self.own_counts(now).get(&service).map_or(0, |count| count.requests);
        let lines = self.peers.values().flat_map(|(_, lines)| lines);
        let lines = lines.filter(|line| line.service == service);
        let others = lines.map(|line| f64::from(line.request_count)).sum::<f64>();
        (f64::from(own) + others) / self.window.as_secs_f64()
    }

    /// This router's part of the requests for a service; a router that hasn't reported yet is
    /// taken to have as many as the others at the mean. Only reported requests count, so that the
    /// parts of routers that get requests at the same time add up to one.
    pub fn demand_part(&self, service: Hash) -> f64 {
        let own = f64::from(self.reported.get(&service).copied().unwrap_or_default());
        let lines = self.peers.values().flat_map(|(_, lines)| lines);
        let lines = lines.filter(|line| line.service == service);
        let known = own + lines.map(|line| f64::from(line.request_count)).sum::<f64>();
        let known_count = 1.0 + self.peers.len() as f64;
        let all = known * (self.router_count / known_count).max(1.0);
        (own + PRIOR_REQUESTS) / (all + PRIOR_REQUESTS * self.router_count)
    }

    fn current_bucket(&mut self, now: Instant) -> &mut HashMap<Hash, Count> {
        let span = self.window / BUCKET_COUNT;
        if self.buckets.back().is_none_or(|last| now.duration_since(last.started_at) >= span) {
            self.buckets.push_back(Bucket { started_at: now, services: HashMap::new() });
        }
        let at = self.buckets.len() - 1;
        &mut self.buckets[at].services
    }

    fn own_counts(&mut self, now: Instant) -> HashMap<Hash, Count> {
        let window = self.window;
        self.buckets.retain(|bucket| now.duration_since(bucket.started_at) < window);
        let mut sums = HashMap::<Hash, Count>::new();
        for (service, count) in self.buckets.iter().flat_map(|bucket| &bucket.services) {
            let sum = sums.entry(*service).or_default();
            sum.requests += count.requests;
            sum.retries += count.retries;
        }
        sums
    }

    /// Replaces the counts of another router by those of its latest report.
    pub fn apply_report(&mut self, sender: &Name, services: Vec<report::ServiceUse>, now: Instant) {
        self.peers.insert(sender.clone(), (now, services));
    }

    /// This router's counts within the window, for its report.
    pub fn own_report(&mut self, now: Instant) -> Vec<report::ServiceUse> {
        let own = self.own_counts(now);
        self.reported = own.iter().map(|(service, count)| (*service, count.requests)).collect();
        let lines = own.into_iter().map(|(service, count)| report::ServiceUse {
            service,
            request_count: count.requests,
            retry_count: count.retries,
        });
        lines.collect()
    }
}
