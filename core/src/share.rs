//! Shares of teams over a sliding window and all routers: max-min fairness of tokens.
//!
//! The fair share is the level at which demands, each capped at the level, add up to the capacity.
//! Teams that ask for more all get the same, so one team that sends many times its usual load
//! doesn't delay the others.
//!
//! Targets may produce less than the configured capacity, as with empty caches or after targets
//! were lost. Then every team is below its share of that capacity, so a team's shortfall is
//! measured against an even share of what was actually served.
//!
//! What was counted weighs less as it ages, so that a burst leaves the window little by little:
//! otherwise all routers see it leave at the same time, and send the next one together. Each router
//! also paces teams that ask for more than their share, see [`pacing`](crate::pacing).

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::pacing::Pace;
use crate::report::{self, Hash};

/// Buckets of the sliding window.
const BUCKET_COUNT: u32 = 8;

/// Part of the window within which what was counted keeps its full weight.
const FULL_WEIGHT_PART: f64 = 0.1;

/// Steps of a weight between 0 and 1; a power of two.
const WEIGHT_STEPS: f64 = 64.0;

/// Tokens of one team within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Tokens of requests that arrived.
    pub asked_tokens: f64,
    /// Tokens of requests that were sent to a target.
    pub begun_tokens: f64,
}

impl Usage {
    fn add(&mut self, other: Usage) {
        self.asked_tokens += other.asked_tokens;
        self.begun_tokens += other.begun_tokens;
    }

    fn scaled(self, factor: f64) -> Usage {
        Usage { asked_tokens: self.asked_tokens * factor, begun_tokens: self.begun_tokens * factor }
    }
}

#[derive(Debug)]
struct Bucket {
    started_at: Instant,
    teams: HashMap<Hash, Usage>,
}

/// Usage of all teams, counted by this router and reported by the others.
#[derive(Debug)]
pub struct Shares {
    window: Duration,
    buckets: VecDeque<Bucket>,
    peers: HashMap<Name, (Instant, Vec<report::TeamUse>)>,
    fair_share_tokens: f64,
    served_share_tokens: f64,
    totals: HashMap<Hash, Usage>,
    /// Tokens that teams asked for in this router's last report.
    reported: HashMap<Hash, f64>,
    /// Tokens due to all teams, and this router's part of them.
    due_tokens: [f64; 2],
    /// Paces of the teams that ask for more than their share.
    paces: HashMap<Hash, Pace>,
}

/// How much a team has used of its share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamShare {
    /// Tokens sent to targets, as a ratio to the fair share of the configured capacity; above 1 the
    /// team is over its share, or this router is ahead of its part of it.
    pub ratio: f64,
    /// Fraction of the tokens due to the team that weren't sent, 0 to 1. Due is what the team asked
    /// for, up to an even share of what was served. 0 while this router is ahead of its part.
    pub shortfall: f64,
}

impl Shares {
    /// Creates empty counts over a window of this length.
    pub fn new(window: Duration) -> Shares {
        let (buckets, peers) = (VecDeque::new(), HashMap::new());
        let (fair_share_tokens, served_share_tokens) = (f64::INFINITY, f64::INFINITY);
        Shares {
            window,
            buckets,
            peers,
            fair_share_tokens,
            served_share_tokens,
            totals: HashMap::new(),
            reported: HashMap::new(),
            due_tokens: [0.0; 2],
            paces: HashMap::new(),
        }
    }

    /// Counts a request that arrived.
    pub fn count_request(&mut self, team: Hash, tokens: u32, now: Instant) {
        self.current_bucket(now).entry(team).or_default().asked_tokens += f64::from(tokens);
        self.totals.entry(team).or_default().asked_tokens += f64::from(tokens);
        if let Some(pace) = self.paces.get_mut(&team) {
            pace.advance(now);
        }
    }

    /// Counts a request that was sent to a target.
    pub fn count_sent(&mut self, team: Hash, tokens: u32, now: Instant) {
        self.current_bucket(now).entry(team).or_default().begun_tokens += f64::from(tokens);
        self.totals.entry(team).or_default().begun_tokens += f64::from(tokens);
        if let Some(pace) = self.paces.get_mut(&team) {
            pace.count_sent(f64::from(tokens), now);
        }
    }

    fn current_bucket(&mut self, now: Instant) -> &mut HashMap<Hash, Usage> {
        let span = self.window / BUCKET_COUNT;
        if self.buckets.back().is_none_or(|last| now.duration_since(last.started_at) >= span) {
            self.buckets.push_back(Bucket { started_at: now, teams: HashMap::new() });
        }
        let at = self.buckets.len() - 1;
        &mut self.buckets[at].teams
    }

    /// Replaces the counts of another router by those of its latest report.
    pub fn apply_report(&mut self, sender: &Name, teams: Vec<report::TeamUse>, now: Instant) {
        self.peers.insert(sender.clone(), (now, teams));
    }

    /// This router's counts within the window, for its report.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Few seconds' tokens.
    pub fn own_report(&mut self, now: Instant) -> Vec<report::TeamUse> {
        let own = self.own_usage(now);
        self.reported = own.iter().map(|(team, usage)| (*team, usage.asked_tokens)).collect();
        let lines = own.into_iter().map(|(team, usage)| report::TeamUse {
            team,
            asked_tokens: usage.asked_tokens as u32,
            begun_tokens: usage.begun_tokens as u32,
        });
        lines.collect()
    }

    fn own_usage(&mut self, now: Instant) -> HashMap<Hash, Usage> {
        let window = self.window;
        self.buckets.retain(|bucket| now.duration_since(bucket.started_at) < window);
        let mut sums = HashMap::<Hash, Usage>::new();
        for bucket in &self.buckets {
            let age = now.duration_since(bucket.started_at);
            let weight = age_weight(age.as_secs_f64() / window.as_secs_f64());
            for (team, usage) in &bucket.teams {
                sums.entry(*team).or_default().add(usage.scaled(weight));
            }
        }
        sums
    }

    /// Recomputes the fair share; to be called a few times per second. `capacity_tokens_per_s` is a
    /// lower bound on the capacity of all targets, so that a dip in throughput doesn't lower
    /// shares.
    pub fn recompute(&mut self, capacity_tokens_per_s: f64, now: Instant) {
        let own = self.own_usage(now);
        let mut totals = own.clone();
        let window = self.window;
        self.peers.retain(|_, (received_at, _)| now.duration_since(*received_at) < window);
        for line in self.peers.values().flat_map(|(_, teams)| teams) {
            let usage = Usage {
                asked_tokens: f64::from(line.asked_tokens),
                begun_tokens: f64::from(line.begun_tokens),
            };
            totals.entry(line.team).or_default().add(usage);
        }
        let served = totals.values().map(|usage| usage.begun_tokens).sum::<f64>();
        let capacity = served.max(capacity_tokens_per_s * window.as_secs_f64());
        let asked = totals.values().map(|usage| usage.asked_tokens.max(usage.begun_tokens));
        let asked = asked.collect::<Vec<_>>();
        self.served_share_tokens = water_level(asked.clone(), served);
        self.fair_share_tokens = water_level(asked, capacity);
        self.totals = totals;
        self.due_tokens = self.sum_due_tokens(&own);
        self.update_paces(&own, now);
    }

    /// Tokens due to all teams, and the part of those that ask this router for them: each team's due
    /// is divided among the routers by what it asks of them. Of this router's own only what it has
    /// reported counts, as of the others.
    fn sum_due_tokens(&self, own: &HashMap<Hash, Usage>) -> [f64; 2] {
        let mut sums = [0.0; 2];
        for (team, usage) in &self.totals {
            let own_tokens = own.get(team).map_or(0.0, |usage| usage.asked_tokens);
            let reported_tokens = self.reported.get(team).copied().unwrap_or_default();
            let asked_tokens = usage.asked_tokens - own_tokens + reported_tokens;
            if asked_tokens <= 0.0 {
                continue;
            }
            let due_tokens = asked_tokens.min(self.served_share_tokens);
            sums[0] += due_tokens;
            sums[1] += due_tokens * reported_tokens / asked_tokens;
        }
        sums
    }

    /// This router's part of what is due to all teams, as of the last [`Shares::recompute`]; a router
    /// that hasn't reported yet is taken to have as much as the others at the mean. `None` if this
    /// one has reported no tokens.
    pub fn due_part(&self, router_count: usize) -> Option<f64> {
        let [all, own] = self.due_tokens;
        let known_count = 1.0 + self.peers.len() as f64;
        let all = all * (router_count as f64 / known_count).max(1.0);
        (own > 0.0).then(|| own / all)
    }

    /// Divides the share of each team that asks for more among the routers, by what it asks of them.
    fn update_paces(&mut self, own: &HashMap<Hash, Usage>, now: Instant) {
        let share_tokens = self.fair_share_tokens;
        let asked = |team: &Hash| self.totals.get(team).map_or(0.0, |usage| usage.asked_tokens);
        let is_over = |team: &Hash| asked(team) > share_tokens;
        self.paces.retain(|team, _| own.contains_key(team) && is_over(team));
        for (team, usage) in own.iter().filter(|(team, _)| is_over(team)) {
            let own_part = usage.asked_tokens / asked(team);
            let pace = self.paces.entry(*team).or_insert_with(|| Pace::new(now));
            pace.set_share(share_tokens * own_part / self.window.as_secs_f64(), now);
        }
    }

    /// How much a team has used of its share, as of the last [`Shares::recompute`] and this
    /// router's requests since.
    pub fn team_share(&self, team: Hash) -> TeamShare {
        let usage = self.totals.get(&team).copied().unwrap_or_default();
        let due_tokens = usage.asked_tokens.min(self.served_share_tokens);
        let ratio_to = |whole: f64| if whole > 0.0 { usage.begun_tokens / whole } else { 0.0 };
        let pace = self.paces.get(&team);
        let is_ahead = pace.is_some_and(Pace::is_ahead);
        let is_short = usage.begun_tokens < due_tokens && !is_ahead;
        TeamShare {
            ratio: ratio_to(self.fair_share_tokens).max(pace.map_or(0.0, Pace::min_ratio)),
            shortfall: if is_short { 1.0 - ratio_to(due_tokens) } else { 0.0 },
        }
    }

    /// Whether almost all requests of a team were sent, as of the last [`Shares::recompute`].
    pub fn is_served_in_full(&self, team: Hash) -> bool {
        const SERVED_PART: f64 = 0.95;
        let usage = self.totals.get(&team).copied().unwrap_or_default();
        usage.begun_tokens > 0.0 && usage.begun_tokens >= usage.asked_tokens * SERVED_PART
    }

    /// Ages of the reports of other routers that are still counted.
    pub fn ages(&self, now: Instant) -> impl Iterator<Item = Duration> {
        self.peers.values().map(move |(received_at, _)| now.duration_since(*received_at))
    }

    /// Fair share in tokens per window; infinite while all demands fit.
    pub fn fair_share_tokens(&self) -> f64 {
        self.fair_share_tokens
    }
}

/// Weight of what was counted at an age, given as a part of the window. The mean over the window is 1,
/// so that an even rate has the same sum as without weights.
fn age_weight(age_part: f64) -> f64 {
    let max_weight = 2.0 / (1.0 + FULL_WEIGHT_PART);
    let fading_part = 1.0 - FULL_WEIGHT_PART;
    let weight = max_weight * ((1.0 - age_part) / fading_part).clamp(0.0, 1.0);
    // Sums of tokens are then exact, whatever their order.
    (weight * WEIGHT_STEPS).round() / WEIGHT_STEPS
}

/// Max-min fair level: the one at which the demands, each capped at it, add up to the capacity.
///
/// Infinite if all demands fit.
pub fn water_level(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    let mut count = demands.len() as f64;
    for demand in demands {
        if demand * count > left {
            return left / count;
        }
        left -= demand;
        count -= 1.0;
    }
    f64::INFINITY
}
