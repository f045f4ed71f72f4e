//! Limits that targets state on the requests they take from all routers together.
//!
//! Load pattern: a quarter to all targets of a service take a fraction of what they are sent, the
//! routers are unequal, and hundreds of them may share one request per second. A fixed share per
//! router would starve the busy ones, and a router that acts on reports alone would start and stop
//! together with all others.
//!
//! Each router therefore gets openings for single requests at random times, at a rate of its part
//! of the service's demand times the limit. The rate of all rises with what they have left of the
//! limit within the window, as far as they have heard, and falls once they have sent more. An opening
//! that isn't used lapses, so that idle routers save nothing up for a burst. A router that had no
//! requests finds an opening with such a likelihood that, if all had a request at the same time,
//! they would use what is left. Besides, no router sends while nothing is left.
//!
//! A target that is sent nothing can't say that its limit has ended, so the least rate is one
//! request per [`MAX_WINDOW`] from the whole fleet.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

use crate::ids::Name;
use crate::report::{self, Hash, HashKeyed};

/// Window over which a target counts requests against its limit.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Longest window, for limits below one request per [`WINDOW`], and time for which sends are kept.
pub const MAX_WINDOW: Duration = Duration::from_secs(10);

/// Time after which an unused opening lapses.
const OPENING_TIME: Duration = Duration::from_millis(1500);

/// Time after which a target without requests is forgotten.
const LAPSE_TIME: Duration = Duration::from_secs(60);

/// Requests that a router sends to a target within [`WINDOW`] before its first answer, while it hasn't
/// heard of limits from other routers.
const MAX_UNANSWERED_SENDS: u32 = 4;

/// Factor on a limit up to which requests are sent within a window. Rates keep the mean at the limit;
/// without the rest, requests that come unevenly couldn't use it.
const MAX_SENT_FACTOR: f64 = 1.25;

/// Increase of the rate of openings if nothing was sent within a window, as a part of the limit.
const RATE_GAIN: f64 = 3.0;

/// Progress to the next opening that a long pause between two checks can save up.
const MAX_SAVED_PROGRESS: f64 = 1.0;

/// Granularity of the counts of sends.
pub const BUCKET_TIME: Duration = Duration::from_millis(100);

/// Time for which the sum of the other routers' sends is cached.
const SUM_CACHE_TIME: Duration = Duration::from_millis(50);

/// Change of a target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// Limit before, in requests per second.
    pub before_per_s: Option<f64>,
    /// Limit from now on; `None` if the target has no limit any more.
    pub limit_per_s: Option<f64>,
}

/// What a target stated in a response.
#[derive(Clone, Copy, Debug)]
struct Statement {
    /// Requests per second; `None` without a limit.
    limit_per_s: Option<f64>,
    at: Instant,
}

/// Window over which a limit holds; longer for limits below one request per [`WINDOW`].
fn window(limit_per_s: f64) -> Duration {
    let (min_s, max_s) = (WINDOW.as_secs_f64(), MAX_WINDOW.as_secs_f64());
    Duration::from_secs_f64(limit_per_s.recip().clamp(min_s, max_s))
}

/// Most requests that are sent within a window, at least one.
fn max_sent_count(limit_per_s: f64) -> f64 {
    (limit_per_s * window(limit_per_s).as_secs_f64() * MAX_SENT_FACTOR).floor().max(1.0)
}

/// Rate of requests under a limit.
fn send_rate_per_s(limit_per_s: f64) -> f64 {
    limit_per_s.max(MAX_WINDOW.as_secs_f64().recip())
}

/// Openings that all routers together may have at one target.
#[derive(Clone, Copy, Debug)]
struct Openings {
    /// Rate of new openings.
    rate_per_s: f64,
    /// Openings at routers that had no requests.
    saved_count: f64,
    /// Whether a request may be sent now.
    has_room: bool,
}

impl Openings {
    /// Openings after all routers have sent `sent_count` requests within the window.
    fn new(limit_per_s: f64, sent_count: f64) -> Openings {
        let send_rate_per_s = send_rate_per_s(limit_per_s);
        let due_count = send_rate_per_s * window(limit_per_s).as_secs_f64();
        let unsent_part = 1.0 - sent_count / due_count;
        Openings {
            rate_per_s: send_rate_per_s * (1.0 + RATE_GAIN * unsent_part).max(0.0),
            // One less, as some more are sent before routers hear of each other's requests.
            saved_count: due_count - 1.0 - sent_count,
            has_room: sent_count + 1.0 <= max_sent_count(limit_per_s),
        }
    }
}

/// Requests sent to one target within [`MAX_WINDOW`].
#[derive(Debug, Default)]
struct Sends {
    /// Counts with the start of their time, the oldest first.
    buckets: VecDeque<(Instant, u32)>,
}

impl Sends {
    fn record(&mut self, now: Instant) {
        let is_kept = |at: Instant| now.duration_since(at) < MAX_WINDOW + BUCKET_TIME;
        while self.buckets.front().is_some_and(|(at, _)| !is_kept(*at)) {
            self.buckets.pop_front();
        }
        match self.buckets.back_mut() {
            Some((at, count)) if now.duration_since(*at) < BUCKET_TIME => *count += 1,
            _ => self.buckets.push_back((now, 1)),
        }
    }

    fn count(&self, window: Duration, now: Instant) -> u32 {
        // A bucket counts until its last request has left the window.
        let is_recent = |at: Instant| now.duration_since(at) < window + BUCKET_TIME;
        let recent = self.buckets.iter().rev().take_while(|(at, _)| is_recent(*at));
        recent.map(|(_, count)| count).sum()
    }
}

/// Openings of one router for requests to one target.
#[derive(Debug, Default)]
struct Gate {
    /// Part of the way to the next opening.
    progress: f64,
    /// Progress at which the next opening begins.
    threshold: f64,
    opened_at: Option<Instant>,
    checked_at: Option<Instant>,
}

impl Gate {
    /// Whether there is an opening, of those that all routers may have and this router's part of
    /// them.
    fn check(&mut self, all: Openings, part: f64, now: Instant, rng: &mut SmallRng) -> bool {
        let elapsed = self.checked_at.map(|at| now.saturating_duration_since(at));
        self.checked_at = Some(now);
        match elapsed {
            Some(elapsed) if elapsed <= OPENING_TIME => {
                self.lapse(now, rng);
                if all.has_room && self.opened_at.is_none() {
                    self.advance(all.rate_per_s * part * elapsed.as_secs_f64(), now);
                }
            }
            // Nothing was waiting.
            _ => {
                let likelihood = all.saved_count * part;
                (self.progress, self.threshold) = (0.0, rng.random_range(0.0..1.0));
                self.opened_at = (rng.random_range(0.0..1.0) < likelihood).then_some(now);
            }
        }
        all.has_room && self.opened_at.is_some()
    }

    fn lapse(&mut self, now: Instant, rng: &mut SmallRng) {
        if self.opened_at.is_some_and(|at| now.saturating_duration_since(at) > OPENING_TIME) {
            self.close(rng);
            self.progress = 0.0;
        }
    }

    fn advance(&mut self, progress: f64, now: Instant) {
        self.progress += progress;
        if self.progress >= self.threshold {
            self.progress = (self.progress - self.threshold).min(MAX_SAVED_PROGRESS);
            self.opened_at = Some(now);
        }
    }

    fn close(&mut self, rng: &mut SmallRng) {
        self.opened_at = None;
        self.threshold = rng.random_range(0.5..1.5);
    }
}

#[derive(Debug, Default)]
struct State {
    sends: Sends,
    /// Whether this router has had a response.
    is_answered: bool,
    /// Latest statement, heard by any router.
    known: Option<Statement>,
    /// Latest statement in a response to this router.
    own: Option<Statement>,
    /// Sends of the other routers' processes and when they were reported, by name and start time.
    /// Those of a process that has ended count until they have left the window.
    peers: HashMap<(Name, u64), (Instant, u32)>,
    peers_sum: Option<(Instant, f64)>,
    gate: Gate,
    reported: Option<(Option<f64>, u32)>,
}

impl State {
    fn limit_per_s(&self) -> Option<f64> {
        self.known.and_then(|known| known.limit_per_s)
    }

    fn peers_sum(&mut self, window: Duration, now: Instant) -> f64 {
        if let Some((at, sum)) = self.peers_sum
            && now.saturating_duration_since(at) < SUM_CACHE_TIME
        {
            return sum;
        }
        self.peers.retain(|_, (at, _)| now.saturating_duration_since(*at) < window);
        let sum = self.peers.values().map(|(_, count)| f64::from(*count)).sum();
        self.peers_sum = Some((now, sum));
        sum
    }

    /// Openings of all routers, by what they have sent.
    fn openings(&mut self, limit_per_s: f64, now: Instant) -> Openings {
        let window = window(limit_per_s);
        let sent_count = f64::from(self.sends.count(window, now)) + self.peers_sum(window, now);
        Openings::new(limit_per_s, sent_count)
    }

    /// Whether other routers have to hear of the target.
    fn is_reportable(&self, now: Instant) -> bool {
        let is_recent = |statement: &Statement| {
            statement.limit_per_s.is_some()
                || now.saturating_duration_since(statement.at) < MAX_WINDOW
        };
        self.limit_per_s().is_some() || self.own.as_ref().is_some_and(is_recent)
    }
}

/// Limits of all targets and the requests sent to them.
#[derive(Debug)]
pub struct TargetLimits {
    targets: HashKeyed<State>,
    limited_count: usize,
    has_heard: bool,
    rng: SmallRng,
}

impl TargetLimits {
    /// Creates an empty set; routers need different seeds.
    pub fn new(seed: u64) -> TargetLimits {
        let rng = SmallRng::seed_from_u64(seed);
        TargetLimits { targets: HashKeyed::default(), limited_count: 0, has_heard: true, rng }
    }

    /// Number of targets with a limit.
    pub fn limited_count(&self) -> usize {
        self.limited_count
    }

    /// Limit of a target in requests per second, and the time since the target stated it.
    pub fn limit(&self, target: Hash, now: Instant) -> Option<(f64, Duration)> {
        let known = self.targets.get(&target)?.known?;
        Some((known.limit_per_s?, now.saturating_duration_since(known.at)))
    }

    /// Sets whether this router has heard of limits from enough of the others. A router that starts
    /// would otherwise send without limits to targets that have stated one.
    pub fn set_heard(&mut self, has_heard: bool) {
        self.has_heard = has_heard;
    }

    /// Whether this router may send a request to a target now; `demand_part` is its part of the
    /// requests of the target's service.
    pub fn may_send(&mut self, target: Hash, demand_part: f64, now: Instant) -> bool {
        if self.limited_count == 0 && self.has_heard {
            return true;
        }
        let Some(state) = self.targets.get_mut(&target) else { return true };
        let is_unknown = !self.has_heard && !state.is_answered;
        if is_unknown && state.sends.count(WINDOW, now) >= MAX_UNANSWERED_SENDS {
            return false;
        }
        let Some(limit_per_s) = state.limit_per_s() else { return true };
        let openings = state.openings(limit_per_s, now);
        state.gate.check(openings, demand_part, now, &mut self.rng)
    }

    /// Requests per second that this router may send to a target; infinite without a limit.
    pub fn rate_per_s(&self, target: Hash, demand_part: f64) -> f64 {
        let limit_per_s = self.targets.get(&target).and_then(State::limit_per_s);
        limit_per_s.map_or(f64::INFINITY, |limit| send_rate_per_s(limit) * demand_part)
    }

    /// Requests that this router has sent to a target within a time of at most [`MAX_WINDOW`]; may
    /// count some for [`BUCKET_TIME`] longer.
    pub fn sent_count(&self, target: Hash, window: Duration, now: Instant) -> u32 {
        self.targets.get(&target).map_or(0, |state| state.sends.count(window, now))
    }

    /// Counts a request that is sent to a target.
    pub fn record_send(&mut self, target: Hash, now: Instant) {
        let state = self.targets.entry(target).or_default();
        state.sends.record(now);
        state.gate.close(&mut self.rng);
    }

    /// Records what a target states in a response to a request that was sent at `sent_at`; returns
    /// the change of its limit.
    pub fn record_answer(
        &mut self,
        target: Hash,
        limit_per_s: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<Change> {
        let state = self.targets.entry(target).or_default();
        state.is_answered = true;
        let is_known_later = state.known.is_some_and(|known| known.at >= sent_at);
        if limit_per_s.is_none() && is_known_later {
            // The response may have been on its way when the target stated the limit.
            return None;
        }
        if limit_per_s.is_none() && state.known.is_none() {
            return None;
        }
        let statement = Statement { limit_per_s, at: now };
        state.own = Some(statement);
        self.set_known(target, statement)
    }

    /// Applies the statements and sends that a process of another router reports; returns the targets
    /// whose limit has changed.
    pub fn apply_report(
        &mut self,
        sender: &Name,
        incarnation: u64,
        lines: &[report::TargetLimit],
        now: Instant,
    ) -> Vec<(Hash, Change)> {
        let mut changes = Vec::new();
        for line in lines {
            let state = self.targets.entry(line.target).or_default();
            state.peers.insert((sender.clone(), incarnation), (now, line.sent_count));
            state.peers_sum = None;
            let Some(stated) = line.stated else { continue };
            let age = Duration::from_millis(stated.age_ms.into());
            let Some(at) = now.checked_sub(age) else { continue };
            if state.known.is_some_and(|known| known.at >= at) {
                continue;
            }
            let limit_per_s = stated.limit_milli_per_s.map(|milli| f64::from(milli) / 1e3);
            let change = self.set_known(line.target, Statement { limit_per_s, at });
            changes.extend(change.map(|change| (line.target, change)));
        }
        changes
    }

    fn set_known(&mut self, target: Hash, statement: Statement) -> Option<Change> {
        let state = self.targets.entry(target).or_default();
        let before_per_s = state.limit_per_s();
        state.known = Some(statement);
        let limit_per_s = statement.limit_per_s;
        match (before_per_s, limit_per_s) {
            (None, Some(_)) => {
                self.limited_count += 1;
                state.gate = Gate::default();
            }
            (Some(_), None) => self.limited_count -= 1,
            _ => {}
        }
        (before_per_s != limit_per_s).then_some(Change { before_per_s, limit_per_s })
    }

    /// This router's lines for its report: those that changed, or all of them if `is_full`.
    pub fn own_report(&mut self, is_full: bool, now: Instant) -> Vec<report::TargetLimit> {
        let mut lines = Vec::new();
        for (target, state) in &mut self.targets {
            if !state.is_reportable(now) {
                continue;
            }
            let limit_per_s = state.limit_per_s().unwrap_or(f64::INFINITY);
            let sent_count = state.sends.count(window(limit_per_s), now);
            if state.own.is_none() && sent_count == 0 {
                continue;
            }
            let has_changed = state.reported.is_none_or(|(limit, sent)| {
                limit != state.own.and_then(|own| own.limit_per_s) || sent_count > sent
            });
            if !is_full && !has_changed {
                continue;
            }
            state.reported = Some((state.own.and_then(|own| own.limit_per_s), sent_count));
            let stated = state.own.map(|own| stated(&own, now));
            lines.push(report::TargetLimit { target: *target, stated, sent_count });
        }
        lines
    }

    /// Drops targets that no router has sent to or heard of for [`LAPSE_TIME`].
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LAPSE_TIME;
        self.targets.retain(|_, state| {
            let last_send = state.sends.buckets.back().map(|(at, _)| *at);
            let known = state.known.map(|known| known.at);
            let peers = state.peers.values().map(|(at, _)| *at);
            last_send.into_iter().chain(known).chain(peers).any(is_recent)
        });
        let limits = self.targets.values().filter(|state| state.limit_per_s().is_some());
        self.limited_count = limits.count();
    }

    /// Drops the state of a target.
    pub fn forget(&mut self, target: Hash) {
        let state = self.targets.remove(&target);
        if state.is_some_and(|state| state.limit_per_s().is_some()) {
            self.limited_count -= 1;
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
fn stated(statement: &Statement, now: Instant) -> report::StatedLimit {
    let age_ms = now.saturating_duration_since(statement.at).as_millis();
    report::StatedLimit {
        limit_milli_per_s: statement.limit_per_s.map(|per_s| (per_s * 1e3) as u32),
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}
