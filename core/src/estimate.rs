//! Expected remaining cost of a request, learned from past requests.
//!
//! Costs are kept in a histogram of quarter octaves whose weights decay with each new sample, so
//! that a team's habits may change. The histogram starts with a prior.

/// Buckets for each doubling of the cost.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Number of buckets; the last one holds all greater costs.
const BUCKET_COUNT: usize = 96;
/// Factor on the weights of older samples for each new sample.
const DECAY: f64 = 0.98;
/// Weight of the prior in samples.
const PRIOR_WEIGHT: f64 = 10.0;

/// Distribution of the costs of past requests.
#[derive(Clone, Debug)]
pub struct CostHistogram {
    weights: Vec<f64>,
}

impl CostHistogram {
    /// Creates a histogram whose prior is spread evenly over costs up to `max_cost`.
    pub fn new(max_cost: f64) -> CostHistogram {
        let used = bucket_of(max_cost) + 1;
        let each = PRIOR_WEIGHT / used as f64;
        let weights = (0..BUCKET_COUNT).map(|i| if i < used { each } else { 0.0 }).collect();
        CostHistogram { weights }
    }

    /// Adds the cost of a finished request.
    pub fn record(&mut self, cost: f64) {
        for weight in &mut self.weights {
            *weight *= DECAY;
        }
        self.weights[bucket_of(cost)] += 1.0;
    }

    /// Expected remaining cost of a request that has cost `delivered` so far.
    ///
    /// A request beyond all past ones is expected to go on for as long as the last bucket is wide.
    pub fn expected_remaining(&self, delivered: f64) -> f64 {
        let first = bucket_of(delivered);
        let mut weight_sum = 0.0;
        let mut cost_sum = 0.0;
        for (i, weight) in self.weights.iter().enumerate().skip(first) {
            weight_sum += weight;
            cost_sum += weight * (bucket_cost(i) - delivered).max(0.0);
        }
        if weight_sum < f64::EPSILON {
            return delivered * (2f64.powf(1.0 / BUCKETS_PER_OCTAVE) - 1.0);
        }
        cost_sum / weight_sum
    }
}

fn bucket_of(cost: f64) -> usize {
    let index = cost.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    (index as usize).min(BUCKET_COUNT - 1)
}

/// Geometric middle of a bucket.
fn bucket_cost(index: usize) -> f64 {
    2f64.powf((index as f64 + 0.5) / BUCKETS_PER_OCTAVE)
}
