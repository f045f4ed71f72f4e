//! Selects a few targets at random among which a prompt is placed.
//!
//! Load pattern: some ten to hundreds of routers send prompts to the same targets, and each target
//! gets several between two reports of a router. Routers that compare all targets by an old view
//! choose the same one, which is overrun until the next reports while others are idle.
//!
//! Each router therefore compares only a few targets: all that have the prompt's shared part cached,
//! since reading the part again costs more than a backlog, and some drawn at random. With two random
//! choices the fullest target is hardly fuller than with a fresh view (the power of two choices),
//! however old the view is.

use rand::Rng;
use smallvec::SmallVec;

use crate::load::LoadView;
use crate::placement::Candidate;
use crate::prompt::Prompt;

/// Random targets in the router's availability zone, and as many in the others. Two are enough to
/// avoid the busy ones; more bring back the common choice.
const RANDOM_CHOICES: usize = 2;

/// Candidates among which a prompt is placed.
pub type Sample<'a> = SmallVec<[Candidate<'a>; 32]>;

/// Selects candidates for a prompt. If no candidate has its shared part cached, all of them are
/// returned: the rendezvous order leads all routers to the same target then, which has to be one of
/// the candidates at each of them.
pub fn select<'a>(
    candidates: Sample<'a>,
    view: &LoadView,
    prompt: &Prompt,
    zone: &str,
    rng: &mut impl Rng,
) -> Sample<'a> {
    let Some(part) = prompt.last_shared_part().map(|part| part.id) else {
        return draw(&candidates, zone, rng);
    };
    let is_cached = |candidate: &&Candidate<'_>| view.has_cached(candidate.hash, part);
    let mut selected = candidates.iter().filter(is_cached).copied().collect::<Sample<'_>>();
    if selected.is_empty() {
        return candidates;
    }
    for candidate in draw(&candidates, zone, rng) {
        if selected.iter().all(|other| other.hash != candidate.hash) {
            selected.push(candidate);
        }
    }
    selected
}

/// Draws [`RANDOM_CHOICES`] different candidates of the zone and as many of the other zones.
fn draw<'a>(candidates: &Sample<'a>, zone: &str, rng: &mut impl Rng) -> Sample<'a> {
    let is_local = |candidate: &&Candidate<'_>| &*candidate.target.zone == zone;
    let (local, remote): (Sample<'_>, Sample<'_>) =
        candidates.iter().copied().partition(|candidate| is_local(&candidate));
    let mut drawn = Sample::new();
    for mut zone in [local, remote] {
        for _ in 0..RANDOM_CHOICES.min(zone.len()) {
            drawn.push(zone.swap_remove(rng.random_range(0..zone.len())));
        }
    }
    drawn
}
