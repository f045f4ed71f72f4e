//! Random costs of requests, and the routers that receive them.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::settings::Settings;

/// Divisor of the costs of teams with small requests.
const SMALL_RATIO: f64 = 10.0;

/// Draws costs and routers from one seeded generator.
pub struct Workload {
    rng: SmallRng,
    min_cost: f64,
    max_cost: f64,
    small_every: usize,
    router_count: usize,
    /// Cumulative weights of the routers by rank; each team shifts the ranks by its own amount.
    cumulative_weights: Vec<f64>,
    rank_shifts: Vec<usize>,
}

impl Workload {
    /// Seeds the generator, and draws the shift of each team.
    pub fn new(settings: &Settings) -> Workload {
        let mut rng = SmallRng::seed_from_u64(settings.seed);
        let rank_shifts =
            (0..settings.team_count).map(|_| rng.random_range(0..settings.router_count)).collect();
        // Weights of 1/(rank + 3), so that a few routers receive most of a team's requests.
        let weights = (0..settings.router_count).map(|rank| 1.0 / (rank as f64 + 3.0));
        let cumulative_weights = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        Workload {
            min_cost: settings.min_cost,
            max_cost: settings.max_cost,
            small_every: settings.small_every,
            router_count: settings.router_count,
            cumulative_weights: cumulative_weights.collect(),
            rank_shifts,
            rng,
        }
    }

    fn is_small(&self, team: usize) -> bool {
        self.small_every > 0 && team % self.small_every == self.small_every - 1
    }

    /// Draws the cost of a team's next request in whole tokens, from a log-uniform distribution.
    pub fn cost(&mut self, team: usize) -> f64 {
        let ratio = if self.is_small(team) { SMALL_RATIO } else { 1.0 };
        let (min_cost, max_cost) =
            ((self.min_cost / ratio).max(1.0), (self.max_cost / ratio).max(1.0));
        let exponent = self.rng.random_range(0.0..=1.0) * (max_cost / min_cost).ln();
        (min_cost * exponent.exp()).round().max(1.0)
    }

    /// Draws the router that receives a team's next request.
    pub fn router(&mut self, team: usize) -> usize {
        let total = self.cumulative_weights.last().copied().unwrap_or(0.0);
        let drawn = self.rng.random_range(0.0..total);
        let rank = self.cumulative_weights.partition_point(|sum| *sum <= drawn);
        (rank + self.rank_shifts[team]) % self.router_count
    }

    /// Draws an index below `count`.
    pub fn random_index(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }
}
