//! Retry budget per service, shared by the whole fleet.
//!
//! When targets fail many requests at once, retrying all of them would double the load just when
//! capacity is lowest. The budget limits retries to a ratio of requests over a sliding window.
//!
//! Load pattern: hundreds of routers see a target fail in the same second, and the last reports of
//! the others still show an unused budget. Each router therefore has a share of it, half by its
//! requests and half evenly.
//!
//! # Partitions
//!
//! A router that isn't heard may be cut off, and go on to serve its callers. It keeps its share for
//! [`MAX_SILENCE`], with the requests that it reported last, and so does one that is registered and
//! hasn't been heard yet. Only after that its share passes to the others.
//!
//! # Restarts
//!
//! What a process sent counts for a window after its last report, also if its router has started
//! again or has deregistered.
//!
//! A process that starts doesn't know what was sent before, and if all routers were killed at once,
//! nobody does. So it has a part of the budget that no other process uses, and gets it evenly over
//! its first window: however often a router starts, this part isn't exceeded.

mod peers;

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use self::peers::Peers;
use crate::ids::Name;
use crate::report::{self, Hash};

/// Fraction of the budget for processes that know what their router sent within the window. The rest
/// is for those that have started within it.
const USABLE_RATIO: f64 = 0.8;

/// Part of the usable budget for requests whose target is only silent. The rest is left for requests
/// that failed: without a retry these are lost, and the silent ones may not be.
const HEDGE_RATIO: f64 = 0.5;

/// Requests that each router is taken to have besides those it has reported.
const PRIOR_REQUESTS: f64 = 0.5;

/// Time for which a router that isn't heard is taken to serve its callers behind a partition.
pub const MAX_SILENCE: Duration = Duration::from_secs(60);

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

/// What a router knows of the retry budget of a service, over a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// Requests of all routers.
    pub requests: f64,
    /// Retries of all routers.
    pub retries: f64,
    /// Retries of this router.
    pub own_retries: u32,
    /// Maximum number of retries of all routers.
    pub allowed: f64,
    /// Maximum number of retries of this router.
    pub own_allowed: f64,
    /// Age of the oldest report of another router that counts.
    pub report_age: Duration,
}

impl Usage {
    /// Whether there is room for one more retry.
    pub fn has_room(&self) -> bool {
        self.retries + 1.0 <= self.allowed && f64::from(self.own_retries) + 1.0 <= self.own_allowed
    }
}

/// Retry budget of all services: own counts, reports of other routers, and bounds.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    extra_retries: f64,
    window: Duration,
    /// Number of routers heard lately, including this one.
    router_count: f64,
    buckets: VecDeque<Bucket>,
    peers: Peers,
    /// Requests in this router's last report.
    reported: HashMap<Hash, u32>,
    /// Start of the process, unless the whole fleet started with it.
    started_at: Option<Instant>,
    /// Start of a process that doesn't know the other routers yet.
    joining_since: Option<Instant>,
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
            peers: Peers::new(window),
            reported: HashMap::new(),
            started_at: None,
            joining_since: None,
        }
    }

    /// Records that this process starts and doesn't know the other routers yet. Until it does, or
    /// has listened for a window and heard others, it allows no retries. `is_first_start` tells that
    /// no router has run before.
    pub fn join(&mut self, is_first_start: bool, now: Instant) {
        self.started_at = Some(now).filter(|_| !is_first_start);
        self.joining_since = Some(now);
    }

    /// Records that the registered routers are known. `have_restarted` tells that some of them have
    /// started more than once, whatever is said of the fleet's first start.
    pub fn set_routers_known(&mut self, have_restarted: bool) {
        if let Some(joined_at) = self.joining_since.take()
            && have_restarted
        {
            self.started_at = Some(joined_at);
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
        self.usage_of(service, ratio, now).has_room()
    }

    /// Whether this router doesn't know yet how many share the budget.
    fn is_joining(&self, now: Instant) -> bool {
        let has_listened = |since| now.duration_since(since) >= self.window && self.peers.len() > 0;
        self.joining_since.is_some_and(|since| !has_listened(since))
    }

    /// What this router knows of a service's budget.
    pub fn usage(&mut self, service: Hash, now: Instant) -> Usage {
        self.usage_of(service, 1.0, now)
    }

    /// The same for a part of the budget.
    fn usage_of(&mut self, service: Hash, ratio: f64, now: Instant) -> Usage {
        let own = self.own_counts(now).get(&service).copied().unwrap_or_default();
        self.peers.expire(now);
        let (peer_requests, peer_retries) = self.peers.counts(service, now);
        let requests = f64::from(own.requests) + peer_requests;
        let retries = f64::from(own.retries) + peer_retries;
        let allowed = (self.ratio * requests + self.extra_retries) * ratio;
        // Each router can use up the remaining room before the others receive its report, so none
        // takes more than its share: the shares of all routers add up to the budget.
        let share = self.share(service, peer_requests) * self.own_ratio(now);
        Usage {
            requests,
            retries,
            own_retries: own.retries,
            allowed: allowed * USABLE_RATIO,
            own_allowed: allowed * share,
            report_age: self.peers.report_age(now),
        }
    }

    /// Fraction of its share of the budget that this process may use.
    fn own_ratio(&self, now: Instant) -> f64 {
        if self.is_joining(now) {
            return 0.0;
        }
        let age = self.started_at.map(|at| now.duration_since(at));
        match age.filter(|age| *age < self.window) {
            Some(age) => (1.0 - USABLE_RATIO) * age.div_duration_f64(self.window),
            None => USABLE_RATIO,
        }
    }

    /// This router's share of the budget of a service. Only reported requests count, its own ones as
    /// well, so that the shares of routers that get a burst at the same time add up to one.
    fn share(&self, service: Hash, peer_requests: f64) -> f64 {
        let own_requests = f64::from(self.reported.get(&service).copied().unwrap_or_default());
        let requests = own_requests + peer_requests;
        let known_count = self.router_count.max(1.0 + self.peers.len() as f64);
        let unreported_count = self.peers.unreported_count() as f64;
        let reported_count = 1.0 + self.peers.len() as f64 - unreported_count;
        // Routers that haven't reported are taken to have as many requests as the others at the mean.
        let all_requests = requests * (1.0 + unreported_count / reported_count);
        let even_share = 1.0 / known_count;
        let share_of_requests =
            if all_requests > 0.0 { own_requests / all_requests } else { even_share };
        let share = (share_of_requests + even_share) / 2.0;
        // What the silent ones do isn't known.
        if known_count > self.router_count { share * USABLE_RATIO } else { share }
    }

    /// Sets the number of routers that were heard lately, including this one.
    pub fn set_router_count(&mut self, router_count: usize) {
        self.router_count = router_count.max(1) as f64;
    }

    /// Requests per second for a service by all routers, without retries.
    pub fn requests_per_s(&mut self, service: Hash, now: Instant) -> f64 {
        let own = self.own_counts(now).get(&service).map_or(0, |count| count.requests);
        let others = self.peers.current_requests(service, now).sum::<f64>();
        (f64::from(own) + others) / self.window.as_secs_f64()
    }

    /// This router's part of the requests for a service; a router that hasn't reported yet is
    /// taken to have as many as the others at the mean. Only reported requests count, so that the
    /// parts of routers that get requests at the same time add up to one.
    pub fn demand_part(&self, service: Hash, now: Instant) -> f64 {
        let own = f64::from(self.reported.get(&service).copied().unwrap_or_default());
        let requests = self.peers.current_requests(service, now);
        let (known_count, known) =
            requests.fold((1.0, own), |(count, sum), requests| (count + 1.0, sum + requests));
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

    /// This router's counts. A bucket's retries may all be from its end, and its requests from its
    /// start, so that retries count for the length of a bucket longer.
    fn own_counts(&mut self, now: Instant) -> HashMap<Hash, Count> {
        let (window, span) = (self.window, self.window / BUCKET_COUNT);
        self.buckets.retain(|bucket| now.duration_since(bucket.started_at) < window + span);
        let mut sums = HashMap::<Hash, Count>::new();
        for bucket in &self.buckets {
            let has_requests = now.duration_since(bucket.started_at) < window;
            for (service, count) in &bucket.services {
                let sum = sums.entry(*service).or_default();
                sum.requests += if has_requests { count.requests } else { 0 };
                sum.retries += count.retries;
            }
        }
        sums
    }

    /// Replaces the counts of another router's process by those of its latest report. Those of the
    /// process before count until they have left the window.
    pub fn apply_report(
        &mut self,
        sender: &Name,
        incarnation: u64,
        services: Vec<report::ServiceUse>,
        now: Instant,
    ) {
        self.peers.apply_report(sender, incarnation, services, now);
    }

    /// Records that another router is registered, in case it can't be heard.
    pub fn hear_registered(&mut self, name: &Name, incarnation: u64, now: Instant) {
        self.peers.hear_registered(name, incarnation, now);
    }

    /// Records that another router has deregistered, which leaves its share to the others. What it
    /// spent counts until it has left the window.
    pub fn forget_router(&mut self, name: &Name) {
        self.peers.remove(name);
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
