//! Measures how far teams were from their shares, from what each asked for and got in each second.
//!
//! A team is held against half of what it asked for or of what the team that got most in that second
//! got, whichever is less. Only spans count in which the team had to wait or was turned away in every
//! second.

use std::collections::BTreeMap;

use crate::ids::Name;

/// Seconds in a span.
pub const SPAN_S: usize = 6;

/// Part of a team's due below which it was served unfairly.
const FAIR_PART: f64 = 0.5;

/// Largest requests that a team may lack beyond the bound: they are served whole or not at all.
const LARGEST_COUNT: f64 = 3.0;

/// What a team asked for and got in one second, over all routers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamSecond {
    /// Tokens of the requests that arrived.
    pub asked_tokens: f64,
    /// Tokens of the requests whose first event came.
    pub got_tokens: f64,
    /// Tokens of the requests that were sent to a target: a router that falls behind sees first events
    /// late.
    pub sent_tokens: f64,
    /// Tokens of the largest request that arrived.
    pub largest_tokens: f64,
    /// Requests that were refused, or waited past their latency target.
    pub turned_away_count: u64,
}

impl TeamSecond {
    /// Adds what another router counted in the same second.
    pub fn add(&mut self, other: TeamSecond) {
        self.asked_tokens += other.asked_tokens;
        self.got_tokens += other.got_tokens;
        self.sent_tokens += other.sent_tokens;
        self.largest_tokens = self.largest_tokens.max(other.largest_tokens);
        self.turned_away_count += other.turned_away_count;
    }
}

/// A team's worst span.
#[derive(Clone, Debug, PartialEq)]
pub struct Margin {
    /// The team.
    pub team: Name,
    /// Position of the span's first second.
    pub from: usize,
    /// Tokens that the team asked for within the span.
    pub asked_tokens: f64,
    /// Tokens that it got.
    pub got_tokens: f64,
    /// Tokens of its requests that were sent to targets.
    pub sent_tokens: f64,
    /// Tokens that it was to get at least.
    pub bound_tokens: f64,
}

impl Margin {
    /// What the team got, as a multiple of the least that is fair; below 1 it was served unfairly.
    pub fn ratio(&self) -> f64 {
        if self.bound_tokens > 0.0 { self.got_tokens / self.bound_tokens } else { f64::INFINITY }
    }
}

/// Finds the worst span of each team, the worst team first. Teams that never waited through a whole
/// span are left out.
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

/// A team's margin within one span; `None` if it didn't have to wait in every second.
fn margin(
    team: &Name,
    from: usize,
    span: &[BTreeMap<Name, TeamSecond>],
    best: &[f64],
) -> Option<Margin> {
    let own = span.iter().map(|teams| teams.get(team).copied().unwrap_or_default());
    let own = own.collect::<Vec<_>>();
    if own.iter().any(|second| second.turned_away_count == 0) {
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
        bound_tokens: FAIR_PART * due.sum::<f64>() - LARGEST_COUNT * largest,
    })
}
