//! Fairness gap, computed from samples of the service that each team has received.

/// Tracks the difference of received service for every pair of teams.
///
/// The gap of a pair is the largest change of their difference between any two samples, so that it
/// covers every interval and not only those that start at the first sample.
///
/// ```
/// use gentianhinge_standin::load::FairnessGap;
///
/// let mut gap = FairnessGap::new(2);
/// for services in [[0.0, 0.0], [30.0, 10.0], [40.0, 50.0]] {
///     gap.sample(&services);
/// }
/// assert_eq!(gap.largest(), 30.0);
/// ```
#[derive(Clone, Debug)]
pub struct FairnessGap {
    team_count: usize,
    /// Minimum and maximum difference of each pair.
    ranges: Vec<(f64, f64)>,
}

impl FairnessGap {
    /// Creates a tracker without samples.
    pub fn new(team_count: usize) -> FairnessGap {
        let pairs = team_count * team_count.saturating_sub(1) / 2;
        FairnessGap { team_count, ranges: vec![(f64::INFINITY, f64::NEG_INFINITY); pairs] }
    }

    /// Adds a sample: the total service that each team has received so far.
    pub fn sample(&mut self, services: &[f64]) {
        let pairs = (0..self.team_count).flat_map(|i| (0..i).map(move |j| (i, j)));
        for (range, (i, j)) in self.ranges.iter_mut().zip(pairs) {
            let difference = services[i] - services[j];
            range.0 = range.0.min(difference);
            range.1 = range.1.max(difference);
        }
    }

    /// The largest gap of any pair; 0 without samples.
    pub fn largest(&self) -> f64 {
        self.ranges.iter().map(|range| range.1 - range.0).fold(0.0, f64::max)
    }
}
