//! Expected remaining cost of a request, estimated from past requests.
//!
//! Costs are counted in histograms with quarter-octave buckets. Older samples decay exponentially,
//! so that the estimate follows changes of the workload. A flow's own histogram is combined with
//! one pooled over all flows, which starts with a prior that is uniform over the logarithm of the
//! cost.

/// Buckets per doubling of the cost.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Number of buckets; the last one also holds all greater costs.
const BUCKET_COUNT: usize = 96;
/// Factor on the weights of a flow's older samples with each new one.
const FLOW_DECAY: f64 = 0.995;
/// Factor on the weights of the pool's older samples with each new one.
const POOL_DECAY: f64 = 0.998;
/// Weight of the pooled histogram in a flow's estimate, in samples.
const POOL_WEIGHT: f64 = 20.0;
/// Weight of the pool's prior, in samples.
const PRIOR_WEIGHT: f64 = 10.0;

/// Decaying distribution of the costs of past requests.
#[derive(Clone, Debug)]
pub struct CostHistogram {
    weights: Vec<f64>,
    decay: f64,
}

impl CostHistogram {
    /// Creates the histogram of one flow, without samples or prior.
    pub fn flow() -> CostHistogram {
        CostHistogram { weights: Vec::new(), decay: FLOW_DECAY }
    }

    /// Creates the pooled histogram with a prior that is uniform over the buckets up to `max_cost`.
    pub fn pool(max_cost: f64) -> CostHistogram {
        let used = bucket_of(max_cost) + 1;
        let each = PRIOR_WEIGHT / used as f64;
        let weights = (0..BUCKET_COUNT).map(|i| if i < used { each } else { 0.0 }).collect();
        CostHistogram { weights, decay: POOL_DECAY }
    }

    /// Adds the cost of a finished request.
    pub fn record(&mut self, cost: f64) {
        if self.weights.is_empty() {
            self.weights = vec![0.0; BUCKET_COUNT];
        }
        for weight in &mut self.weights {
            *weight *= self.decay;
        }
        self.weights[bucket_of(cost)] += 1.0;
    }

    fn weight(&self, bucket: usize) -> f64 {
        self.weights.get(bucket).copied().unwrap_or(0.0)
    }

    fn total_weight(&self) -> f64 {
        self.weights.iter().sum()
    }
}

/// Expected remaining cost of a request of a flow that has cost `delivered` so far.
///
/// If no past request cost as much, the width of the bucket of `delivered` is expected.
pub fn expected_remaining(flow: &CostHistogram, pool: &CostHistogram, delivered: f64) -> f64 {
    let pool_ratio = POOL_WEIGHT / pool.total_weight().max(f64::MIN_POSITIVE);
    let mut weight_sum = 0.0;
    let mut cost_sum = 0.0;
    for bucket in bucket_of(delivered)..BUCKET_COUNT {
        let weight = flow.weight(bucket) + pool.weight(bucket) * pool_ratio;
        weight_sum += weight;
        cost_sum += weight * (bucket_cost(bucket) - delivered).max(0.0);
    }
    if weight_sum < f64::EPSILON {
        return delivered * (2f64.powf(1.0 / BUCKETS_PER_OCTAVE) - 1.0);
    }
    cost_sum / weight_sum
}

fn bucket_of(cost: f64) -> usize {
    let index = cost.max(1.0).log2() * BUCKETS_PER_OCTAVE;
    (index as usize).min(BUCKET_COUNT - 1)
}

/// Geometric mean of a bucket's bounds.
fn bucket_cost(index: usize) -> f64 {
    2f64.powf((index as f64 + 0.5) / BUCKETS_PER_OCTAVE)
}
