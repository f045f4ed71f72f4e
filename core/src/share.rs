//! Shares of teams over a sliding window, from all routers: max-min fairness of tokens.
//!
//! Load pattern: one team sends many times its usual. What is served is divided so that the teams
//! that ask for more than an even share all get the same, and no team waits behind the large one.
//!
//! Load pattern: targets produce less than is stated, as with empty caches or after a loss. Then no
//! team has got its share of what is stated; what a team lacks of its part of what was served tells
//! who goes first.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::report::{self, Hash};

/// Parts into which the window is cut.
const BUCKET_COUNT: u32 = 8;

/// Tokens of one team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    /// Tokens that the team asked for.
    pub asked_tokens: f64,
    /// Tokens of requests that were sent to a target.
    pub begun_tokens: f64,
}

impl Use {
    fn add(&mut self, other: Use) {
        self.asked_tokens += other.asked_tokens;
        self.begun_tokens += other.begun_tokens;
    }
}

#[derive(Debug)]
struct Bucket {
    began_at: Instant,
    teams: HashMap<Hash, Use>,
}

/// What teams asked for and got, by this router and by the others.
#[derive(Debug)]
pub struct Shares {
    window: Duration,
    buckets: VecDeque<Bucket>,
    peers: HashMap<Name, (Instant, Vec<report::TeamUse>)>,
    fair_share_tokens: f64,
    served_share_tokens: f64,
    totals: HashMap<Hash, Use>,
}

/// Where a team stands against the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamShare {
    /// What the team has got, as a ratio of its share of what targets are stated to produce; above 1
    /// it has more than its share.
    pub ratio: f64,
    /// Part of what is due to the team that it hasn't got, 0 to 1. Due is what it asked for, up to an
    /// even share of what was served.
    pub shortfall: f64,
}

impl Shares {
    /// Creates an empty count over a window.
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
        }
    }

    /// Counts a request that has arrived.
    pub fn count_request(&mut self, team: Hash, tokens: u32, now: Instant) {
        self.bucket(now).entry(team).or_default().asked_tokens += f64::from(tokens);
        self.totals.entry(team).or_default().asked_tokens += f64::from(tokens);
    }

    /// Counts a request that is sent to a target.
    pub fn count_sent(&mut self, team: Hash, tokens: u32, now: Instant) {
        self.bucket(now).entry(team).or_default().begun_tokens += f64::from(tokens);
        self.totals.entry(team).or_default().begun_tokens += f64::from(tokens);
    }

    fn bucket(&mut self, now: Instant) -> &mut HashMap<Hash, Use> {
        let span = self.window / BUCKET_COUNT;
        if self.buckets.back().is_none_or(|last| now.duration_since(last.began_at) >= span) {
            self.buckets.push_back(Bucket { began_at: now, teams: HashMap::new() });
        }
        let at = self.buckets.len() - 1;
        &mut self.buckets[at].teams
    }

    /// Takes another router's counts.
    pub fn apply_report(&mut self, sender: &Name, teams: Vec<report::TeamUse>, now: Instant) {
        self.peers.insert(sender.clone(), (now, teams));
    }

    /// This router's counts, for its report.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Tokens of some seconds.
    pub fn own_report(&mut self, now: Instant) -> Vec<report::TeamUse> {
        let own = self.own(now).into_iter().map(|(team, used)| report::TeamUse {
            team,
            asked_tokens: used.asked_tokens as u32,
            begun_tokens: used.begun_tokens as u32,
        });
        own.collect()
    }

    fn own(&mut self, now: Instant) -> HashMap<Hash, Use> {
        let window = self.window;
        self.buckets.retain(|bucket| now.duration_since(bucket.began_at) < window);
        let mut sums = HashMap::<Hash, Use>::new();
        for (team, used) in self.buckets.iter().flat_map(|bucket| &bucket.teams) {
            sums.entry(*team).or_default().add(*used);
        }
        sums
    }

    /// Works out the fair level anew; to be called some times a second. `capacity_tokens_per_s` is
    /// what all targets produce at least, so that a dip in what is served doesn't lower the level.
    pub fn recompute(&mut self, capacity_tokens_per_s: f64, now: Instant) {
        let mut totals = self.own(now);
        let window = self.window;
        self.peers.retain(|_, (heard_at, _)| now.duration_since(*heard_at) < window);
        for line in self.peers.values().flat_map(|(_, teams)| teams) {
            let used = Use {
                asked_tokens: f64::from(line.asked_tokens),
                begun_tokens: f64::from(line.begun_tokens),
            };
            totals.entry(line.team).or_default().add(used);
        }
        let served = totals.values().map(|used| used.begun_tokens).sum::<f64>();
        let capacity = served.max(capacity_tokens_per_s * window.as_secs_f64());
        let asked = totals.values().map(|used| used.asked_tokens.max(used.begun_tokens));
        let asked = asked.collect::<Vec<_>>();
        self.served_share_tokens = water_level(asked.clone(), served);
        self.fair_share_tokens = water_level(asked, capacity);
        self.totals = totals;
    }

    /// Where a team stands against the others.
    pub fn team_share(&self, team: Hash) -> TeamShare {
        let used = self.totals.get(&team).copied().unwrap_or_default();
        let due_tokens = used.asked_tokens.min(self.served_share_tokens);
        let part_of = |whole: f64| if whole > 0.0 { used.begun_tokens / whole } else { 0.0 };
        let lacks_any = used.begun_tokens < due_tokens;
        TeamShare {
            ratio: part_of(self.fair_share_tokens),
            shortfall: if lacks_any { 1.0 - part_of(due_tokens) } else { 0.0 },
        }
    }

    /// Time since the sums of the router that was heard longest ago.
    pub fn oldest_age(&self, now: Instant) -> Duration {
        let ages = self.peers.values().map(|(heard_at, _)| now.duration_since(*heard_at));
        ages.max().unwrap_or_default()
    }

    /// Tokens that the fair share comes to within the window.
    pub fn fair_share_tokens(&self) -> f64 {
        self.fair_share_tokens
    }
}

/// The level at which the demands, each cut off at the level, add up to the capacity.
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
