//! Chooses the target for a request: the one where its first event is expected first.
//!
//! Load pattern: prompts share long parts, and a target that keeps a part reads 3 to 5 times less.
//! Without homes the fleet reads every part everywhere and has half the capacity that it needs.

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::admission::ServiceBacklog;
use crate::load::{Load, LoadView};
use crate::prompt::Prompt;
use crate::registry::Target;
use crate::report::Hash;

/// What the choice weighs, all in milliseconds of a target's time.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Prompt tokens that a target reads in a millisecond beside the tokens that it generates.
    pub read_tokens_per_ms: f64,
    /// Charge for a shared part that is read again while targets are idle, as a multiple of the
    /// time to read it.
    pub idle_miss_factor: f64,
    /// The same charge while targets are busy: then all other requests wait for the reading.
    pub busy_miss_factor: f64,
    /// Mean unread work of the targets at which they count as busy.
    pub busy_ms: f64,
    /// Charge for a target in another zone.
    pub other_zone_ms: f64,
    /// Time that each request in flight adds to the first event of the next one.
    pub running_ms: f64,
    /// Charge for the last target in the rendezvous order of a part that no target keeps. Above what
    /// load differs by, so that all routers, also restarted ones, choose the same home.
    pub home_rank_ms: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights {
            read_tokens_per_ms: 40.0,
            idle_miss_factor: 4.0,
            busy_miss_factor: 10.0,
            busy_ms: 100.0,
            other_zone_ms: 300.0,
            running_ms: 1.0,
            home_rank_ms: 3000.0,
        }
    }
}

/// A target that may get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub target: &'a Target,
    /// Hash of its incarnation.
    pub hash: Hash,
    /// Requests that it may have in flight.
    pub slots: f64,
}

/// The chosen target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Position among the candidates.
    pub candidate_index: usize,
    /// Time until the target has read what was sent before.
    pub wait_ms: f64,
    /// Time to read what the target lacks of the prompt.
    pub read_ms: f64,
    /// Tokens that the target lacks of the prompt.
    pub unread_tokens: u32,
    /// Those of them in parts that other requests share.
    pub missed_tokens: u32,
    /// Load of the target.
    pub load: Load,
    /// Whether the target has a free slot.
    pub has_slot: bool,
    /// Mean over all candidates of the time until they have read what was sent.
    pub mean_wait_ms: f64,
}

/// Chooses the target for a request with a prompt.
pub fn choose(
    candidates: &[Candidate<'_>],
    view: &LoadView,
    prompt: &Prompt,
    zone: &str,
    weights: &Weights,
    now: Instant,
) -> Option<Choice> {
    let home = prompt.last_shared_part().map(|part| part.id);
    let is_at_home =
        home.is_none_or(|part| candidates.iter().any(|c| view.has_cached(c.hash, part)));
    let loads = candidates.iter().map(|candidate| view.load(candidate.hash));
    let loads = loads.collect::<SmallVec<[Load; 32]>>();
    let mean_wait_ms = service_backlog(loads.iter().copied(), weights).mean_wait_ms;
    let miss_factor = miss_factor(mean_wait_ms, weights);
    let mut best: Option<(f64, Choice)> = None;
    for (candidate_index, (candidate, load)) in candidates.iter().zip(&loads).enumerate() {
        let load = *load;
        let has_slot = load.running_count < candidate.slots;
        let wait_ms = load.unread_tokens / weights.read_tokens_per_ms;
        let mut cost_ms = wait_ms + load.running_count * weights.running_ms;
        if is_at_home && &*candidate.target.zone != zone {
            cost_ms += weights.other_zone_ms;
        }
        let is_worse = |(least_ms, chosen): &(f64, Choice)| {
            (!has_slot, cost_ms) >= (!chosen.has_slot, *least_ms)
        };
        if best.as_ref().is_some_and(is_worse) {
            // What the target lacks of the prompt only adds to the cost.
            continue;
        }
        let unread_tokens = view.uncached_tokens(candidate.hash, prompt, now);
        let missed_tokens = unread_tokens.saturating_sub(prompt.own_tokens());
        let rate = weights.read_tokens_per_ms;
        let read_ms = f64::from(unread_tokens) / rate;
        cost_ms += read_ms + miss_factor * f64::from(missed_tokens) / rate;
        if let Some(part) = home.filter(|_| !is_at_home) {
            cost_ms += weights.home_rank_ms * rendezvous_rank(candidate.hash, part);
        }
        let choice = Choice {
            candidate_index,
            wait_ms,
            read_ms,
            unread_tokens,
            missed_tokens,
            load,
            has_slot,
            mean_wait_ms,
        };
        let is_better = best
            .as_ref()
            .is_none_or(|(least_ms, chosen)| (!has_slot, cost_ms) < (!chosen.has_slot, *least_ms));
        if is_better {
            best = Some((cost_ms, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// What targets with these loads look like as a whole.
pub fn service_backlog(loads: impl Iterator<Item = Load>, weights: &Weights) -> ServiceBacklog {
    let (mut sum, mut least, mut count) = (0.0, f64::INFINITY, 0.0_f64);
    for load in loads {
        sum += load.unread_tokens;
        least = load.unread_tokens.min(least);
        count += 1.0;
    }
    let rate = weights.read_tokens_per_ms;
    ServiceBacklog { mean_wait_ms: sum / rate / count.max(1.0), least_wait_ms: least / rate }
}

/// What reading a shared part again costs now, as a multiple of the time to read it.
fn miss_factor(mean_wait_ms: f64, weights: &Weights) -> f64 {
    let busy_part = (mean_wait_ms / weights.busy_ms).min(1.0);
    weights.idle_miss_factor + (weights.busy_miss_factor - weights.idle_miss_factor) * busy_part
}

/// Chooses the target for a request of a plain service: the one with the most room.
pub fn choose_without_prompt(
    candidates: &[Candidate<'_>],
    view: &LoadView,
    zone: &str,
    weights: &Weights,
) -> Option<Choice> {
    let costs = candidates.iter().enumerate().map(|(candidate_index, candidate)| {
        let load = view.load(candidate.hash);
        let other_zone = f64::from(u8::from(&*candidate.target.zone != zone));
        let used = load.running_count / candidate.slots.max(1.0);
        // A target in the own zone is preferred while less than a third of its slots is used more.
        let cost = used + other_zone / 3.0;
        let has_slot = load.running_count < candidate.slots;
        let wait_ms = load.running_count * weights.running_ms;
        let choice = Choice {
            candidate_index,
            wait_ms,
            read_ms: 0.0,
            unread_tokens: 0,
            missed_tokens: 0,
            load,
            has_slot,
            mean_wait_ms: 0.0,
        };
        (cost, choice)
    });
    costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, choice)| choice)
}

/// A number from 0 to 1 that all routers agree on for a target and a part.
#[allow(clippy::cast_precision_loss)] // 53 bits are plenty for an order.
fn rendezvous_rank(target: Hash, part: u64) -> f64 {
    // Finalizer of splitmix64.
    let mut z = target ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) as f64 / u64::MAX as f64
}
