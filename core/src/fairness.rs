//! Measures fairness between teams from what each asked for and got per second.
//!
//! A team is due at least half of what it asked for, or half of what the best-served team got in
//! the same second, whichever is less. Only spans count in which requests of the team were late or
//! refused in every second.

use std::collections::BTreeMap;

use crate::ids::Name;

/// Length of a span, in seconds.
pub const SPAN_S: usize = 6;

/// Fraction of the tokens due to a team below which it was served unfairly.
const FAIR_RATIO: f64 = 0.5;

/// Tolerance in units of the largest request, since a request is served whole or not at all.
const LARGEST_REQUEST_COUNT: f64 = 3.0;

/// What a team asked for and got in one second, over all routers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamSecond {
    /// Tokens of the requests that arrived.
    pub asked_tokens: f64,
    /// Tokens of the requests whose first event arrived.
    pub got_tokens: f64,
    /// Tokens of the requests that were sent to a target. An overloaded router sees first events
    /// late, so this may be ahead of `got_tokens`.
    pub sent_tokens: f64,
    /// Tokens of the largest request that arrived.
    pub largest_tokens: f64,
    /// Requests that were refused or missed their latency target.
    pub refused_or_late_count: u64,
}

impl TeamSecond {
    /// Adds what another router counted in the same second.
    pub fn add(&mut self, other: TeamSecond) {
        self.asked_tokens += other.asked_tokens;
        self.got_tokens += other.got_tokens;
        self.sent_tokens += other.sent_tokens;
        self.largest_tokens = self.largest_tokens.max(other.largest_tokens);
        self.refused_or_late_count += other.refused_or_late_count;
    }
}

/// What a team asked for and got within its worst span.
#[derive(Clone, Debug, PartialEq)]
pub struct Margin {
    /// Name of the team.
    pub team: Name,
    /// Index of the span's first second.
    pub from: usize,
    /// Tokens that the team asked for within the span.
    pub asked_tokens: f64,
    /// Tokens of its requests whose first event arrived within the span.
    pub got_tokens: f64,
    /// Tokens of its requests that were sent to a target within the span.
    pub sent_tokens: f64,
    /// Minimum number of tokens that is fair.
    pub bound_tokens: f64,
}

impl Margin {
    /// Ratio of what the team got to the least that is fair; below 1 it was served unfairly.
    pub fn ratio(&self) -> f64 {
        if self.bound_tokens > 0.0 { self.got_tokens / self.bound_tokens } else { f64::INFINITY }
    }
}

/// The worst span of each team, sorted by ratio, the lowest first. Omits teams without a span in
/// which requests were late or refused in every second.
pub fn margins(seconds: &[BTreeMap<Name, TeamSecond>]) -> Vec<Margin> {
    let best = seconds.iter().map(|teams| {
        let got = teams.values().map(|second| second.got_tokens);
        got.fold(0.0, f64::max)
    });
    let best = best.collect::<Vec<_>>();
    let mut worst = BTreeMap::<Name, Margin>::new();
    for (from, span) in seconds.windows(SPAN_S).enumerate() {
        for team in span[0].keys() {
            let Some(margin) = margin(team, from, span, &best[from..]) else { continue };
            match worst.get(team) {
                Some(known) if known.ratio() <= margin.ratio() => {}
                _ => {
                    worst.insert(team.clone(), margin);
                }
            }
        }
    }
    let mut margins = worst.into_values().collect::<Vec<_>>();
    margins.sort_by(|a, b| a.ratio().total_cmp(&b.ratio()));
    margins
}

/// A team's margin within one span; `None` if in some second no request was late or refused.
fn margin(
    team: &Name,
    from: usize,
    span: &[BTreeMap<Name, TeamSecond>],
    best: &[f64],
) -> Option<Margin> {
    let own = span.iter().map(|teams| teams.get(team).copied().unwrap_or_default());
    let own = own.collect::<Vec<_>>();
    if own.iter().any(|second| second.refused_or_late_count == 0) {
        return None;
    }
    let due = own.iter().zip(best).map(|(second, best)| second.asked_tokens.min(*best));
    let largest = own.iter().map(|second| second.largest_tokens).fold(0.0, f64::max);
    Some(Margin {
        team: team.clone(),
        from,
        asked_tokens: own.iter().map(|second| second.asked_tokens).sum(),
        got_tokens: own.iter().map(|second| second.got_tokens).sum(),
        sent_tokens: own.iter().map(|second| second.sent_tokens).sum(),
        bound_tokens: FAIR_RATIO * due.sum::<f64>() - LARGEST_REQUEST_COUNT * largest,
    })
}
