//! Chooses the target of a request: the one with the earliest expected first event, with charges
//! for cache misses and remote zones.
//!
//! Prompts share long parts, and a target that has a part cached processes 3 to 5 times fewer
//! tokens. Each shared part therefore has preferred targets; without them every target would
//! process every part, and the fleet would have half the capacity that it needs.

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::admission::ServiceBacklog;
use crate::load::{Load, LoadView};
use crate::prompt::Prompt;
use crate::registry::Target;
use crate::report::Hash;
use crate::spreading::{self, Filling, ServiceLoad};

/// Parameters of the choice; costs are in milliseconds of a target's time.
#[derive(Clone, Copy, Debug)]
pub struct Weights {
    /// Prompt tokens that a target prefills per millisecond while it also generates tokens, unless
    /// its speed has been learned.
    pub read_tokens_per_ms: f64,
    /// Charge for prefilling an uncached shared part while targets are idle, as a multiple of the
    /// prefill time.
    pub idle_miss_factor: f64,
    /// The same charge while targets are busy, when other requests wait for that prefill.
    pub busy_miss_factor: f64,
    /// Mean backlog at which targets count as fully busy.
    pub busy_ms: f64,
    /// Charge for a target in another zone, unless the prompt has a shared part that no target has
    /// cached: then the rendezvous order decides.
    pub other_zone_ms: f64,
    /// Delay that each request in flight adds to the first event of the next one.
    pub running_ms: f64,
    /// Charge for the last target in the rendezvous order of a shared part that no target has
    /// cached. It exceeds usual differences in load, so that all routers choose the same target for
    /// the part, restarted ones included.
    pub rendezvous_rank_ms: f64,
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
            rendezvous_rank_ms: 3000.0,
        }
    }
}

/// A target that may receive the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Registry entry of the target.
    pub target: &'a Target,
    /// Hash of the target's incarnation, the key of its load.
    pub hash: Hash,
    /// Maximum number of requests that the target may have in flight.
    pub slots: f64,
    /// Prompt tokens that the target prefills per millisecond; see [`crate::speed`].
    pub tokens_per_ms: f64,
}

/// The chosen target and what was expected of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index among the candidates.
    pub candidate_index: usize,
    /// Backlog: time until the target has prefilled the prompts that were sent to it before.
    pub wait_ms: f64,
    /// Time to prefill the part of the prompt that isn't cached.
    pub read_ms: f64,
    /// Tokens of the prompt that aren't cached at the target.
    pub unread_tokens: u32,
    /// Those of `unread_tokens` that lie in shared parts.
    pub missed_tokens: u32,
    /// Load of the target before this request.
    pub load: Load,
    /// Whether the target has a free slot.
    pub has_slot: bool,
    /// Mean backlog of all candidates.
    pub mean_wait_ms: f64,
}

/// Chooses the target of a request with a prompt; `None` without candidates. Targets with a free
/// slot go before those without.
pub fn choose(
    candidates: &[Candidate<'_>],
    view: &LoadView,
    prompt: &Prompt,
    zone: &str,
    weights: &Weights,
    now: Instant,
) -> Option<Choice> {
    let shared_part = prompt.last_shared_part().map(|part| part.id);
    let is_cached_anywhere =
        shared_part.is_none_or(|part| candidates.iter().any(|c| view.has_cached(c.hash, part)));
    let loads = candidates.iter().map(|candidate| view.load(candidate.hash));
    let loads = loads.collect::<SmallVec<[Load; 32]>>();
    let speeds = candidates.iter().map(|candidate| candidate.tokens_per_ms);
    let mean_wait_ms = service_backlog(loads.iter().copied().zip(speeds), weights).mean_wait_ms;
    let miss_factor = miss_factor(mean_wait_ms, weights);
    let mut best: Option<(f64, Choice)> = None;
    for (candidate_index, (candidate, load)) in candidates.iter().zip(&loads).enumerate() {
        let load = *load;
        let has_slot = load.running_count < candidate.slots;
        let rate = candidate.tokens_per_ms;
        let wait_ms = load.unread_tokens / rate;
        let mut cost_ms = wait_ms + load.running_count * weights.running_ms;
        if is_cached_anywhere && &*candidate.target.zone != zone {
            cost_ms += weights.other_zone_ms;
        }
        let is_worse = |(least_ms, chosen): &(f64, Choice)| {
            (!has_slot, cost_ms) >= (!chosen.has_slot, *least_ms)
        };
        if best.as_ref().is_some_and(is_worse) {
            // Uncached tokens only add to the cost.
            continue;
        }
        let unread_tokens = view.uncached_tokens(candidate.hash, prompt, now);
        let missed_tokens = unread_tokens.saturating_sub(prompt.own_tokens());
        let read_ms = f64::from(unread_tokens) / rate;
        cost_ms += read_ms + miss_factor * f64::from(missed_tokens) / rate;
        if let Some(part) = shared_part.filter(|_| !is_cached_anywhere) {
            cost_ms += weights.rendezvous_rank_ms * rendezvous_rank(candidate.hash, part);
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

/// Mean and minimum backlog of targets with these loads and speeds in tokens per ms.
pub fn service_backlog(
    loads: impl Iterator<Item = (Load, f64)>,
    weights: &Weights,
) -> ServiceBacklog {
    let rate = weights.read_tokens_per_ms;
    let (mut sum, mut least, mut count) = (0.0, f64::INFINITY, 0.0_f64);
    for (load, tokens_per_ms) in loads {
        // Tokens that take as long at the nominal speed; they are exact for targets that have it.
        let nominal_tokens = load.unread_tokens * (rate / tokens_per_ms);
        sum += nominal_tokens;
        least = nominal_tokens.min(least);
        count += 1.0;
    }
    ServiceBacklog { mean_wait_ms: sum / rate / count.max(1.0), least_wait_ms: least / rate }
}

/// Charge for an uncached shared part at this mean backlog, as a multiple of the prefill time.
fn miss_factor(mean_wait_ms: f64, weights: &Weights) -> f64 {
    let busy_part = (mean_wait_ms / weights.busy_ms).min(1.0);
    weights.idle_miss_factor + (weights.busy_miss_factor - weights.idle_miss_factor) * busy_part
}

/// Chooses the target of a request without a prompt; `None` without candidates. `draw` is uniformly
/// distributed from 0 to 1; see [`spreading`] for how it selects among targets.
pub fn choose_without_prompt(
    candidates: &[Candidate<'_>],
    view: &LoadView,
    zone: &str,
    service: &ServiceLoad,
    weights: &Weights,
    draw: f64,
) -> Option<Choice> {
    /// Charge for a target in another zone, as a part of its slots, if reports are fresh.
    const OTHER_ZONE_PART: f64 = 1.0 / 3.0;
    let running_part = service.running_part();
    let fillings = candidates.iter().map(|candidate| {
        let own = view.own_load(candidate.hash).running_count;
        let reported = view.load(candidate.hash).running_count - own;
        let is_remote = f64::from(u8::from(&*candidate.target.zone != zone));
        let remote = is_remote * OTHER_ZONE_PART * candidate.slots;
        Filling { slots: candidate.slots, running_count: own + (reported + remote) * running_part }
    });
    let fillings = fillings.collect::<SmallVec<[Filling; 32]>>();
    let candidate_index = spreading::draw(&fillings, service.unreported_count(), draw)?;
    let (candidate, filling) = (&candidates[candidate_index], &fillings[candidate_index]);
    let load = view.load(candidate.hash);
    Some(Choice {
        candidate_index,
        wait_ms: load.running_count * weights.running_ms,
        read_ms: 0.0,
        unread_tokens: 0,
        missed_tokens: 0,
        load,
        has_slot: filling.running_count < candidate.slots,
        mean_wait_ms: 0.0,
    })
}

/// Rendezvous hash of a target and a part, from 0 to 1; the same on all routers.
#[allow(clippy::cast_precision_loss)] // 53 bits are enough to order targets.
fn rendezvous_rank(target: Hash, part: u64) -> f64 {
    // The finalizer of splitmix64.
    let mut z = target ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z ^ (z >> 31)) as f64 / u64::MAX as f64
}
