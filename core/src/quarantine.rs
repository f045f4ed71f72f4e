//! Quarantine of requests and prompt parts under which targets crash (queries of death).
//!
//! Load patterns: a request ends each target that runs it, and comes again to any router; or a
//! shared part of some prompts ends each target that starts to answer them. The latter requests
//! differ in everything else. In both cases each retry ends another target, until the service has
//! none left. Sound requests run at the same targets, and share the other parts.
//!
//! # Evidence
//!
//! There are keys of two kinds: whole requests and shared parts of prompts.
//!
//! An [`EndedTarget`] names the requests that a target was running when it ended, by
//! [`request_key`]. A request that was at [`MIN_CRASHES`] targets that ended at different times is
//! quarantined, unless other requests that were at as many account for all of these crashes; it is
//! quarantined for [`MAX_AMBIGUOUS_CRASHES`] in any case. An answer clears the request, so that
//! what was only beside the cause is soon set apart.
//!
//! # Trials
//!
//! A sound request may have been at three targets that ended for other reasons, and nothing that is
//! held could be answered. A quarantined request is therefore held for [`FIRST_HOLD`] after its last
//! crash, and then tried once. A trial that ends its target, too, has it held for longer each time.
//!
//! # Evidence against parts
//!
//! A [`Crash`] names the parts of a request whose answer a target had begun when it ended. Routers
//! exchange crashes, and tell each other which of the parts were answered elsewhere: an answer that
//! ran to its end clears the parts of its request. A part with crashes at [`MIN_CRASHES`] targets
//! at different times is quarantined, but only in requests that have all uncleared parts which
//! these crashes have in common. So a sound request that shares some of the parts is still sent,
//! and clears them.
//!
//! Crashes of targets that end for other reasons are unlikely to repeat for one part before any
//! request with it is answered. Evidence lapses after [`EVIDENCE_TTL`].
//!
//! # Bounds
//!
//! Callers choose the ids of parts and the contents of requests. The key of a request depends on
//! its team, so that no team can have the request of another quarantined or cleared; at most
//! [`MAX_ENDED`] targets with [`MAX_RUNNING`] requests each are kept. Only parts of crashed targets
//! are kept as evidence, at most [`MAX_CRASHES`]; it applies to the team that sent the requests,
//! and to all teams once two teams have crashed targets with the part.

mod requests;

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::prompt::Prompt;
use crate::report::{self, Hash, HashKeyed};

use requests::Requests;
pub use requests::{
    EndedTarget, Evidence, FIRST_HOLD, MAX_AMBIGUOUS_CRASHES, MAX_ENDED, MAX_REPORTED_CLEARED,
    MAX_REPORTED_ENDED, MAX_REPORTED_RUNNING, MAX_RUNNING,
};

/// Context of the hash that identifies requests.
const REQUEST_KEY_CONTEXT: &str = "gentianhinge request key v1";

/// Number of crashes, at different targets and times, from which a part is quarantined.
pub const MIN_CRASHES: usize = 3;

/// Minimum time between two crashes that count separately. Targets that end together, for example
/// with their rack, say little about what they were answering.
pub const MIN_CRASH_GAP: Duration = Duration::from_millis(50);

/// Time after which a crash no longer counts.
pub const EVIDENCE_TTL: Duration = Duration::from_secs(300);

/// Time for which an answer clears the parts of its request.
pub const ANSWERED_TTL: Duration = Duration::from_secs(30);

/// Maximum number of crashes that are kept; beyond it, the oldest one is dropped.
pub const MAX_CRASHES: usize = 32;

/// Maximum number of parts of a request that are kept as evidence.
pub const MAX_PARTS: usize = 8;

/// Number of requests that one target was answering when it ended, from which none of them counts
/// as evidence.
pub const MAX_SUSPECTS: usize = 4;

/// Number of targets that end under one attempt of a caller, from which its router doesn't send it
/// again.
const MAX_ENDED_BY_ATTEMPT: usize = 2;

/// Maximum number of answered parts that are tracked; beyond it, the oldest quarter is dropped.
pub const MAX_ANSWERED: usize = 4096;

/// A request whose answer a target had begun when the target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the target's incarnation.
    pub target: Hash,
    /// Hash of the name of the team that sent the request; 0 without a team.
    pub team: Hash,
    /// When the target ended.
    pub at: Instant,
    /// Shared parts of the prompt, at most [`MAX_PARTS`].
    pub parts: SmallVec<[u64; 4]>,
}

/// Crashes and answers that this router has seen or heard of.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: VecDeque<Crash>,
    /// When this router last saw a part answered.
    answered: HashKeyed<Instant>,
    /// When another router last said that a part of the evidence was answered. It isn't passed on,
    /// so that it ends [`ANSWERED_TTL`] after the last answer and report.
    answered_elsewhere: HashKeyed<Instant>,
    /// Parts of other routers' crashes that this router has seen answered, to be reported.
    cleared: SmallVec<[u64; 4]>,
    next_reported: usize,
    requests: Requests,
}

/// Key of a request: a hash of what is the same when it comes again. It is the same on all routers.
pub fn request_key(team: Hash, method: &str, path_and_query: &str, body: &[u8]) -> Hash {
    let mut hasher = blake3::Hasher::new_derive_key(REQUEST_KEY_CONTEXT);
    hasher.update(&team.to_le_bytes());
    for field in [method, path_and_query] {
        hasher.update(&(field.len() as u64).to_le_bytes()).update(field.as_bytes());
    }
    report::hash_of(&hasher.update(body).finalize())
}

/// Ids of the shared parts of a prompt, at most [`MAX_PARTS`].
pub fn shared_parts(prompt: &Prompt) -> SmallVec<[u64; 4]> {
    let shared_count = prompt.parts.len().saturating_sub(1).min(MAX_PARTS);
    prompt.parts[..shared_count].iter().map(|part| part.id).collect()
}

impl Quarantine {
    /// Records a crash that this router has seen or heard of; returns whether it is new evidence.
    pub fn record_crash(&mut self, crash: Crash, now: Instant) -> bool {
        self.expire(now);
        let is_same = |known: &Crash| {
            (known.target, known.team, &known.parts) == (crash.target, crash.team, &crash.parts)
        };
        let is_expired = now.duration_since(crash.at) >= EVIDENCE_TTL;
        if crash.parts.is_empty() || is_expired || self.crashes.iter().any(is_same) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
        true
    }

    /// Records that a request was answered completely, which clears its parts.
    pub fn record_answer(&mut self, parts: &[u64], now: Instant) {
        for part in parts {
            self.answered.insert(*part, now);
        }
        if self.answered.len() > MAX_ANSWERED {
            let mut ages = self.answered.iter().map(|(part, at)| (*at, *part)).collect::<Vec<_>>();
            ages.sort_unstable();
            for (_, part) in &ages[..MAX_ANSWERED / 4] {
                self.answered.remove(part);
            }
        }
    }

    /// Whether requests of a team with these shared parts crash their targets.
    pub fn is_quarantined(&self, team: Hash, parts: &[u64], now: Instant) -> bool {
        // Almost always there is no evidence at all.
        !self.crashes.is_empty()
            && parts.iter().any(|part| self.is_suspect(team, *part, parts, now))
    }

    fn is_suspect(&self, team: Hash, part: u64, parts: &[u64], now: Instant) -> bool {
        if self.is_cleared(part, now) {
            return false;
        }
        let with_part = self.crashes.iter().filter(|crash| {
            crash.parts.contains(&part)
                && now.duration_since(crash.at) < EVIDENCE_TTL
                && self.suspect_count(crash.target) <= MAX_SUSPECTS
        });
        let with_part = with_part.collect::<SmallVec<[&Crash; 8]>>();
        let is_of_several_teams = with_part.iter().any(|crash| crash.team != with_part[0].team);
        let of_team = with_part.iter().filter(|c| is_of_several_teams || c.team == team);
        let of_team = of_team.copied().collect::<SmallVec<[&Crash; 8]>>();
        let times = of_team.iter().map(|crash| (crash.at, crash.target));
        if count_separate(times.collect()) < MIN_CRASHES {
            return false;
        }
        let is_common = |part: &&u64| of_team.iter().all(|crash| crash.parts.contains(*part));
        let mut common = of_team[0].parts.iter().filter(is_common);
        common.all(|part| self.is_cleared(*part, now) || parts.contains(part))
    }

    /// Number of requests that a target was answering when it ended.
    fn suspect_count(&self, target: Hash) -> usize {
        self.crashes.iter().filter(|crash| crash.target == target).count()
    }

    fn is_cleared(&self, part: u64, now: Instant) -> bool {
        is_recent(&self.answered, part, now) || is_recent(&self.answered_elsewhere, part, now)
    }

    /// Whether a request may be sent to another target after its target ended as it began to
    /// answer: only if all its shared parts have been answered lately. Otherwise the retry may end
    /// that target, too.
    pub fn may_retry(&self, parts: &[u64], now: Instant) -> bool {
        parts.iter().all(|part| self.is_cleared(*part, now))
    }

    /// The latest crash and another one, each in turn, for this router's report.
    pub fn report_crashes(&mut self, now: Instant) -> Vec<Crash> {
        self.expire(now);
        let Some(earlier_count) = self.crashes.len().checked_sub(1) else { return Vec::new() };
        let latest = self.crashes.back().cloned();
        self.next_reported = (self.next_reported + 1) % earlier_count.max(1);
        let earlier = self.crashes.iter().take(earlier_count).nth(self.next_reported).cloned();
        latest.into_iter().chain(earlier).collect()
    }

    /// Parts of crashes that this router has seen answered, for its report.
    pub fn take_cleared(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.cleared).into_vec()
    }

    /// Applies another router's report. What this router has seen answered is reported in turn.
    pub fn apply_report(&mut self, crashes: Vec<Crash>, cleared: &[u64], now: Instant) {
        for crash in crashes {
            for part in &crash.parts {
                if is_recent(&self.answered, *part, now) && !self.cleared.contains(part) {
                    self.cleared.push(*part);
                }
            }
            self.record_crash(crash, now);
        }
        for part in cleared {
            if self.is_evidence(*part) {
                self.answered_elsewhere.insert(*part, now);
            }
        }
    }

    /// Records that a target ended while it ran a request of this router; returns whether this is
    /// new evidence.
    pub fn record_ended(&mut self, target: Hash, request: Hash, now: Instant) -> bool {
        self.requests.expire(now);
        self.requests.record_own(target, request, now)
    }

    /// Records that a request was answered completely, which clears it.
    pub fn record_request_answer(&mut self, request: Hash, now: Instant) {
        self.requests.record_answer(request, now);
    }

    /// Whether a request keeps ending its targets.
    pub fn is_request_quarantined(&self, request: Hash, now: Instant) -> bool {
        self.requests.is_quarantined(request, now)
    }

    /// Whether a request that kept ending its targets may be sent once more, as a trial. One router
    /// of the fleet makes it.
    pub fn is_trial_due(&self, request: Hash, now: Instant) -> bool {
        self.requests.is_trial_due(request, now)
    }

    /// Records that a request is sent to a target.
    pub fn record_request_sent(&mut self, request: Hash, now: Instant) {
        self.requests.record_sent(request, now);
    }

    /// Records that a request that was sent certainly hasn't run, so that a trial is still due.
    pub fn record_request_not_run(&mut self, request: Hash, now: Instant) {
        self.requests.record_not_run(request, now);
    }

    /// What is known of a request.
    pub fn evidence(&self, request: Hash, now: Instant) -> Evidence {
        self.requests.evidence(request, now)
    }

    /// Whether a router may send a request to another target by itself after the last one of the
    /// `tried` ones ended. Its caller may still do so if others were at all of the same crashes.
    ///
    /// Targets that end within [`MIN_CRASH_GAP`] count as one crash, also if they end one after the
    /// other by retries.
    pub fn may_retry_request(&self, request: Hash, tried: &[Hash], now: Instant) -> bool {
        let evidence = self.evidence(request, now);
        let ended_count = evidence.targets.iter().filter(|target| tried.contains(target)).count();
        evidence.crash_count < MIN_CRASHES
            && ended_count < MAX_ENDED_BY_ATTEMPT
            && !self.requests.was_tried(request)
    }

    /// Ended targets that the other routers haven't been told of.
    pub fn take_unreported_ended(&mut self) -> Vec<EndedTarget> {
        self.requests.take_unreported()
    }

    /// Some of the ended targets that this router knows of, for its report.
    pub fn report_ended(&mut self, now: Instant) -> Vec<EndedTarget> {
        self.requests.report(now)
    }

    /// Requests that were at ended targets and that this router has seen answered, for its report.
    pub fn take_cleared_requests(&mut self) -> Vec<Hash> {
        self.requests.take_cleared()
    }

    /// Applies what another router reports of requests.
    pub fn apply_ended(&mut self, ended: Vec<EndedTarget>, cleared: &[Hash], now: Instant) {
        self.requests.apply_report(ended, cleared, now);
    }

    /// Whether there is no evidence at all.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.requests.is_empty()
    }

    /// Number of ended targets that are kept as evidence.
    pub fn ended_count(&self) -> usize {
        self.requests.ended_count()
    }

    fn is_evidence(&self, part: u64) -> bool {
        self.crashes.iter().any(|crash| crash.parts.contains(&part))
    }

    fn expire(&mut self, now: Instant) {
        self.crashes.retain(|crash| now.duration_since(crash.at) < EVIDENCE_TTL);
        self.answered_elsewhere.retain(|_, at| now.duration_since(*at) < ANSWERED_TTL);
    }

    /// Number of parts that this router tracks as answered.
    pub fn answered_count(&self) -> usize {
        self.answered.len()
    }

    /// Number of crashes that are kept as evidence.
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }
}

fn is_recent(answered: &HashKeyed<Instant>, part: u64, now: Instant) -> bool {
    answered.get(&part).is_some_and(|at| now.duration_since(*at) < ANSWERED_TTL)
}

/// Number of crashes at different targets and times.
fn count_separate(mut crashes: Vec<(Instant, Hash)>) -> usize {
    crashes.sort_unstable();
    let mut targets = SmallVec::<[Hash; 8]>::new();
    let mut last_at = None;
    for (at, target) in crashes {
        let is_separate = last_at.is_none_or(|last| at >= last + MIN_CRASH_GAP);
        if is_separate && !targets.contains(&target) {
            targets.push(target);
            last_at = Some(at);
        }
    }
    targets.len()
}
