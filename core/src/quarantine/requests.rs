//! Requests that targets were running when they ended.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use super::{EVIDENCE_TTL, MAX_ANSWERED, MIN_CRASHES};
use crate::report::{Hash, HashKeyed};

/// Number of crashes from which a request is quarantined even if others were at all of them.
pub const MAX_AMBIGUOUS_CRASHES: usize = 4;

/// Maximum number of ended targets that are kept; beyond it, the oldest one is dropped, at first of
/// those without a request that was at several.
pub const MAX_ENDED: usize = 256;

/// Maximum number of requests that are kept for an ended target, more than engines run and queue.
pub const MAX_RUNNING: usize = 512;

/// Maximum number of requests at ended targets that wait to be told to the other routers.
const MAX_UNREPORTED: usize = 512;

/// Maximum number of ended targets in a report.
pub const MAX_REPORTED_ENDED: usize = 8;

/// Maximum number of requests of an ended target in a report that repeats what was told before.
pub const MAX_REPORTED_RUNNING: usize = 16;

/// Maximum number of cleared requests in a report.
pub const MAX_REPORTED_CLEARED: usize = 128;

/// Time after its last crash for which a request is held at first. Its targets are back by then, so
/// that one trial tells whether it is sound.
pub const FIRST_HOLD: Duration = Duration::from_secs(10);

/// Times for which a request is held after each further trial that ends a target; the last one is
/// repeated.
const LATER_HOLDS: [Duration; 3] =
    [Duration::from_secs(5 * 60), Duration::from_secs(60 * 60), Duration::from_secs(24 * 60 * 60)];

/// Maximum number of requests that are held after a trial; beyond it, the one whose hold ends first
/// is dropped.
const MAX_HELD: usize = 256;

/// An ended target and requests that it was running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTarget {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// When the target ended, or was found to have ended.
    pub at: Instant,
    /// Keys of the requests; see [`super::request_key`].
    pub requests: SmallVec<[Hash; 4]>,
}

/// What is known of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// Number of separate crashes.
    pub crash_count: usize,
    /// Time since the earliest of them.
    pub age: Duration,
    /// Hashes of the targets that ended while they ran the request.
    pub targets: SmallVec<[Hash; 4]>,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Instant,
    /// Whether this router saw the answer. Otherwise it isn't passed on.
    is_own: bool,
}

#[derive(Clone, Debug)]
struct Ended {
    at: Instant,
    requests: SmallVec<[Hash; 4]>,
}

/// A request that was tried again.
#[derive(Clone, Copy, Debug)]
struct Held {
    trial_count: usize,
    /// When the next trial is due.
    until: Instant,
}

/// Requests that were running at ended targets and weren't answered since.
#[derive(Debug, Default)]
pub(super) struct Requests {
    ended: BTreeMap<Hash, Ended>,
    /// Targets that ended, by request.
    targets: HashKeyed<SmallVec<[Hash; 4]>>,
    /// Requests that were tried again. They outlast the evidence.
    held: HashKeyed<Held>,
    answered: HashKeyed<Answer>,
    /// Requests that this router has seen answered, to be reported.
    cleared: Vec<Hash>,
    /// Targets and requests that only this router knows of, to be reported.
    unreported: Vec<(Hash, Hash)>,
    last_repeated: Hash,
    last_other: Hash,
}

impl Requests {
    pub(super) fn record_own(&mut self, target: Hash, request: Hash, now: Instant) -> bool {
        let is_new = self.record(target, now, request, now);
        if is_new && self.unreported.len() < MAX_UNREPORTED {
            self.unreported.push((target, request));
        }
        is_new
    }

    fn record(&mut self, target: Hash, at: Instant, request: Hash, now: Instant) -> bool {
        let is_expired = now.duration_since(at) >= EVIDENCE_TTL;
        if is_expired || self.is_answered_since(at, request) {
            return false;
        }
        let is_of_trial = self.is_trial_due(request, at);
        if !self.ended.contains_key(&target) && self.ended.len() >= MAX_ENDED {
            self.drop_weakest();
        }
        let new = Ended { at, requests: SmallVec::new() };
        let ended = self.ended.entry(target).or_insert(new);
        // What waited in silence finds out last.
        ended.at = ended.at.min(at);
        if ended.requests.contains(&request) || ended.requests.len() >= MAX_RUNNING {
            return false;
        }
        ended.requests.push(request);
        self.targets.entry(request).or_default().push(target);
        if is_of_trial {
            self.hold_after_trial(request, at);
        }
        true
    }

    /// Records that a request is sent, which is a trial if one is due.
    pub(super) fn record_sent(&mut self, request: Hash, now: Instant) {
        if self.is_trial_due(request, now) {
            self.hold_after_trial(request, now);
        }
    }

    /// Records that the last send of a request didn't reach a target, so that it was no trial.
    pub(super) fn record_not_run(&mut self, request: Hash, now: Instant) {
        let Some(held) = self.held.get_mut(&request) else { return };
        held.trial_count -= 1;
        held.until = now;
        if held.trial_count == 0 {
            self.held.remove(&request);
        }
    }

    fn hold_after_trial(&mut self, request: Hash, at: Instant) {
        let trial_count = self.held.get(&request).map_or(0, |held| held.trial_count);
        let hold = LATER_HOLDS[trial_count.min(LATER_HOLDS.len() - 1)];
        if self.held.len() >= MAX_HELD && !self.held.contains_key(&request) {
            let first = self.held.iter().min_by_key(|(_, held)| held.until);
            let first = first.map(|(request, _)| *request);
            first.map(|request| self.held.remove(&request));
        }
        let held = Held { trial_count: trial_count + 1, until: at + hold };
        self.held.insert(request, held);
    }

    /// Whether a request that keeps ending its targets may be tried again.
    pub(super) fn is_trial_due(&self, request: Hash, now: Instant) -> bool {
        match self.held.get(&request) {
            Some(held) => now >= held.until,
            None => self.is_suspect(request, now) && now >= self.first_hold_until(request),
        }
    }

    /// End of the first hold of a request with evidence.
    fn first_hold_until(&self, request: Hash) -> Instant {
        let targets = self.targets.get(&request).into_iter().flatten();
        let last_at = targets.filter_map(|target| self.ended.get(target)).map(|it| it.at).max();
        last_at.map_or_else(Instant::now, |at| at + FIRST_HOLD)
    }

    /// Whether a request has been tried again and wasn't answered.
    pub(super) fn was_tried(&self, request: Hash) -> bool {
        self.held.contains_key(&request)
    }

    /// Whether the request was answered after a crash at `at`. If this router has seen the answer,
    /// it is reported again, since the sender of the crash hasn't heard of it.
    fn is_answered_since(&mut self, at: Instant, request: Hash) -> bool {
        let Some(answer) = self.answered.get(&request).filter(|answer| answer.at >= at) else {
            return false;
        };
        if answer.is_own {
            self.report_cleared(request);
        }
        true
    }

    fn report_cleared(&mut self, request: Hash) {
        if !self.cleared.contains(&request) && self.cleared.len() < MAX_REPORTED_CLEARED {
            self.cleared.push(request);
        }
    }

    fn drop_weakest(&mut self) {
        let is_repeated =
            |request: &Hash| self.targets.get(request).is_some_and(|targets| targets.len() > 1);
        let rank = |ended: &Ended| (ended.requests.iter().any(is_repeated), ended.at);
        let weakest = self.ended.iter().min_by_key(|(_, ended)| rank(ended));
        if let Some((target, _)) = weakest {
            self.drop_target(*target);
        }
    }

    fn drop_target(&mut self, target: Hash) {
        let ended = self.ended.remove(&target);
        for request in ended.into_iter().flat_map(|ended| ended.requests) {
            if let Some(targets) = self.targets.get_mut(&request) {
                targets.retain(|other| *other != target);
                if targets.is_empty() {
                    self.targets.remove(&request);
                }
            }
        }
    }

    /// Drops the evidence against a request that was answered; returns whether there was any.
    fn clear(&mut self, request: Hash, is_own: bool, now: Instant) -> bool {
        let was_held = self.held.remove(&request).is_some();
        let targets = self.targets.remove(&request);
        if targets.is_none() && !was_held {
            return false;
        }
        for target in targets.into_iter().flatten() {
            if let Some(ended) = self.ended.get_mut(&target) {
                ended.requests.retain(|other| *other != request);
                if ended.requests.is_empty() {
                    self.ended.remove(&target);
                }
            }
        }
        if self.answered.len() >= MAX_ANSWERED {
            let oldest = self.answered.iter().min_by_key(|(_, answer)| answer.at);
            let oldest = oldest.map(|(request, _)| *request);
            oldest.map(|request| self.answered.remove(&request));
        }
        self.answered.insert(request, Answer { at: now, is_own });
        true
    }

    pub(super) fn record_answer(&mut self, request: Hash, now: Instant) {
        if self.clear(request, true, now) {
            self.report_cleared(request);
        }
    }

    pub(super) fn evidence(&self, request: Hash, now: Instant) -> Evidence {
        let targets = self.targets.get(&request).cloned().unwrap_or_default();
        let at = |target: &Hash| self.ended.get(target).map(|ended| (ended.at, *target));
        let is_fresh = |(at, _): &(Instant, Hash)| now.duration_since(*at) < EVIDENCE_TTL;
        let crashes = targets.iter().filter_map(at).filter(is_fresh).collect::<Vec<_>>();
        let first_at = crashes.iter().map(|(at, _)| *at).min();
        Evidence {
            age: first_at.map_or(Duration::ZERO, |at| now.duration_since(at)),
            crash_count: super::count_separate(crashes),
            targets,
        }
    }

    /// Whether a request is held: it keeps ending its targets, and no trial is due.
    pub(super) fn is_quarantined(&self, request: Hash, now: Instant) -> bool {
        match self.held.get(&request) {
            Some(held) => now < held.until,
            None => self.is_suspect(request, now) && now < self.first_hold_until(request),
        }
    }

    /// Whether the evidence is that a request keeps ending its targets. Others that were at some of
    /// the same crashes are set apart by the crashes at which they weren't.
    fn is_suspect(&self, request: Hash, now: Instant) -> bool {
        let Some(targets) = self.targets.get(&request) else { return false };
        if targets.len() < MIN_CRASHES {
            return false;
        }
        let crash_count = self.evidence(request, now).crash_count;
        let is_alone = |target: &Hash| !self.has_other_suspect(*target, request, now);
        crash_count >= MAX_AMBIGUOUS_CRASHES
            || (crash_count >= MIN_CRASHES && targets.iter().any(is_alone))
    }

    /// Whether a target ran another request that was at enough crashes to be quarantined.
    fn has_other_suspect(&self, target: Hash, request: Hash, now: Instant) -> bool {
        let is_suspect = |other: &Hash| {
            let target_count = self.targets.get(other).map_or(0, SmallVec::len);
            *other != request
                && target_count >= MIN_CRASHES
                && self.evidence(*other, now).crash_count >= MIN_CRASHES
        };
        self.ended.get(&target).is_some_and(|ended| ended.requests.iter().any(is_suspect))
    }

    /// What only this router knows of.
    pub(super) fn take_unreported(&mut self) -> Vec<EndedTarget> {
        let mut lines = BTreeMap::<Hash, EndedTarget>::new();
        for (target, request) in std::mem::take(&mut self.unreported) {
            let Some(ended) = self.ended.get(&target) else { continue };
            let line = EndedTarget { target, at: ended.at, requests: SmallVec::new() };
            lines.entry(target).or_insert(line).requests.push(request);
        }
        lines.into_values().collect()
    }

    /// Ended targets for this router's report: each in turn those with requests that were at
    /// several, and one of the others.
    pub(super) fn report(&mut self, now: Instant) -> Vec<EndedTarget> {
        self.expire(now);
        let mut lines = self.lines_after(self.last_repeated, MAX_REPORTED_ENDED - 1, 2);
        self.last_repeated = lines.last().map_or(0, |line| line.target);
        let other = self.lines_after(self.last_other, 1, 1);
        self.last_other = other.last().map_or(0, |line| line.target);
        lines.extend(other);
        lines
    }

    /// The next ended targets with requests that were at `min_count` or more; of these, the ones
    /// that were at most.
    fn lines_after(&self, last: Hash, max_lines: usize, min_count: usize) -> Vec<EndedTarget> {
        let count = |request: &Hash| self.targets.get(request).map_or(0, SmallVec::len);
        let after = (Bound::Excluded(last), Bound::Unbounded);
        let in_turn = self.ended.range(after).chain(self.ended.range(..=last));
        let lines = in_turn.filter_map(|(target, ended)| {
            let requests = ended.requests.iter().copied().filter(|key| count(key) >= min_count);
            let mut requests = requests.collect::<SmallVec<[Hash; 4]>>();
            requests.sort_by_key(|request| Reverse(count(request)));
            requests.truncate(MAX_REPORTED_RUNNING);
            let line = EndedTarget { target: *target, at: ended.at, requests };
            Some(line).filter(|line| !line.requests.is_empty())
        });
        lines.take(max_lines).collect()
    }

    pub(super) fn take_cleared(&mut self) -> Vec<Hash> {
        std::mem::take(&mut self.cleared)
    }

    /// Applies another router's report.
    pub(super) fn apply_report(&mut self, ended: Vec<EndedTarget>, cleared: &[Hash], now: Instant) {
        for request in cleared {
            self.clear(*request, false, now);
        }
        for line in ended {
            for request in line.requests {
                self.record(line.target, line.at, request, now);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.duration_since(at) >= EVIDENCE_TTL;
        let expired = self.ended.iter().filter(|(_, ended)| is_expired(ended.at));
        let expired = expired.map(|(target, _)| *target).collect::<Vec<_>>();
        expired.into_iter().for_each(|target| self.drop_target(target));
        self.answered.retain(|_, answer| !is_expired(answer.at));
        let last_hold = LATER_HOLDS[LATER_HOLDS.len() - 1];
        self.held.retain(|_, held| now < held.until + last_hold);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ended.is_empty() && self.held.is_empty()
    }

    pub(super) fn ended_count(&self) -> usize {
        self.ended.len()
    }
}
