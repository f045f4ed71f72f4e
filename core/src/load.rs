//! Load of targets as estimated by one router: its own requests plus the reports of other routers.
//!
//! Many routers send to the same targets, and what a target reports about itself is stale. Counting
//! requests as they are sent shows load before the target reports it.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::prompt::{Part, Prompt};
use crate::report::{self, Hash, HashKeyed};

/// Time without a report after which another router's load no longer counts: most of its requests
/// have ended by then, or failed together with it.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a part is assumed to stay cached after its last use.
pub const CACHED_PART_TTL: Duration = Duration::from_secs(60);

/// Maximum number of parts tracked for one target; beyond it, the least recently used ones are
/// dropped.
pub const MAX_CACHED_PARTS: usize = 4096;

/// Maximum number of parts in one report, so that it fits a datagram together with all targets and
/// teams.
pub const MAX_NEW_PARTS: usize = 150;

/// Load of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Prompt tokens still to be prefilled: those of requests without a first event.
    pub unread_tokens: f64,
    /// Requests in flight.
    pub running_count: f64,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    seq: u64,
    received_at: Instant,
    targets: HashKeyed<report::TargetLoad>,
}

/// Load of all targets and the parts of prompts that they have cached.
#[derive(Debug, Default)]
pub struct LoadView {
    own: HashKeyed<Load>,
    /// Lines as last reported, so that a partial report can omit unchanged ones.
    last_reported: HashKeyed<report::TargetLoad>,
    peer_totals: HashKeyed<Load>,
    peers: HashMap<Name, Peer>,
    cached_parts: HashKeyed<HashKeyed<Instant>>,
    new_parts: Vec<report::CachedPart>,
    report_counts: ReportCounts,
}

/// Reports of other routers, by their numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportCounts {
    /// Reports that were received, late ones included.
    pub received_count: u64,
    /// Reports that later ones have overtaken, so that they are lost or late.
    pub missed_count: u64,
    /// Reports that arrived after later ones.
    pub late_count: u64,
}

impl LoadView {
    /// Load of a target by requests of all routers.
    pub fn load(&self, target: Hash) -> Load {
        let own = self.own.get(&target).copied().unwrap_or_default();
        let peers = self.peer_totals.get(&target).copied().unwrap_or_default();
        Load {
            unread_tokens: own.unread_tokens + peers.unread_tokens.max(0.0),
            running_count: own.running_count + peers.running_count.max(0.0),
        }
    }

    /// Load of a target by requests of this router.
    pub fn own_load(&self, target: Hash) -> Load {
        self.own.get(&target).copied().unwrap_or_default()
    }

    /// Tokens of a prompt that a target has to prefill: those after the leading parts that it has
    /// cached.
    pub fn uncached_tokens(&self, target: Hash, prompt: &Prompt, now: Instant) -> u32 {
        let Some(cached) = self.cached_parts.get(&target) else { return prompt.prompt_tokens };
        let is_cached = |part: &&Part| {
            cached
                .get(&part.id)
                .is_some_and(|used_at| now.duration_since(*used_at) < CACHED_PART_TTL)
        };
        let cached_tokens = prompt.parts.iter().take_while(is_cached).map(|part| part.tokens);
        prompt.prompt_tokens.saturating_sub(cached_tokens.sum())
    }

    /// Whether a part is tracked as cached at a target, whatever its age.
    pub fn has_cached(&self, target: Hash, part: u64) -> bool {
        self.cached_parts.get(&target).is_some_and(|cached| cached.contains_key(&part))
    }

    /// Counts a request that is sent to a target; `unread_tokens` of its prompt are to be
    /// prefilled.
    pub fn begin_request(
        &mut self,
        target: Hash,
        unread_tokens: u32,
        prompt: &Prompt,
        now: Instant,
    ) {
        let load = self.own.entry(target).or_default();
        load.unread_tokens += f64::from(unread_tokens);
        load.running_count += 1.0;
        // The last part isn't reported, because later requests of its session use this router.
        let shared_count = prompt.parts.len().saturating_sub(1);
        for (i, part) in prompt.parts.iter().enumerate() {
            if i < shared_count && !self.has_cached(target, part.id) {
                self.new_parts.push(report::CachedPart { target, part: part.id });
            }
            self.note_cached(target, part.id, now);
        }
    }

    /// Counts the first event of a request, which shows that its prompt is prefilled.
    pub fn prompt_read(&mut self, target: Hash, unread_tokens: u32) {
        if let Some(load) = self.own.get_mut(&target) {
            load.unread_tokens = (load.unread_tokens - f64::from(unread_tokens)).max(0.0);
        }
    }

    /// Counts the end of a request at a target; `unread_tokens` is 0 if its prompt was prefilled.
    pub fn end_request(&mut self, target: Hash, unread_tokens: u32) {
        self.prompt_read(target, unread_tokens);
        if let Some(load) = self.own.get_mut(&target) {
            load.running_count = (load.running_count - 1.0).max(0.0);
        }
    }

    /// Drops the cached parts of a target that has been evacuated; its load stays.
    pub fn forget_cached_parts(&mut self, target: Hash) {
        self.cached_parts.remove(&target);
    }

    /// Drops the own load and the cached parts of a target, for example after its process failed.
    pub fn forget(&mut self, target: Hash) {
        self.cached_parts.remove(&target);
        self.own.remove(&target);
    }

    fn note_cached(&mut self, target: Hash, part: u64, now: Instant) {
        let cached = self.cached_parts.entry(target).or_default();
        cached.insert(part, now);
        if cached.len() > MAX_CACHED_PARTS {
            let mut ages = cached.iter().map(|(part, at)| (*at, *part)).collect::<Vec<_>>();
            ages.sort_unstable();
            for (_, part) in &ages[..MAX_CACHED_PARTS / 4] {
                cached.remove(part);
            }
        }
    }

    /// Applies another router's report; returns whether it is newer than the last one. Cached parts
    /// count also from an old report.
    pub fn apply_report(&mut self, report: &report::LoadReport, now: Instant) -> bool {
        for cached in &report.cached_parts {
            self.note_cached(cached.target, cached.part, now);
        }
        let peer = self.peers.entry(report.sender.clone()).or_insert_with(|| Peer {
            incarnation: 0,
            seq: 0,
            received_at: now,
            targets: HashKeyed::default(),
        });
        // The start time of a process is by its host's clock, which may have been set back since.
        let is_silent = now.duration_since(peer.received_at) > PEER_TIMEOUT;
        let is_other = report.incarnation != peer.incarnation;
        let is_later = (report.incarnation, report.seq) > (peer.incarnation, peer.seq);
        let is_newer = is_later || (is_silent && is_other);
        self.report_counts.received_count += 1;
        if !is_newer {
            self.report_counts.late_count += 1;
            return false;
        }
        if !is_other {
            self.report_counts.missed_count += report.seq - peer.seq - 1;
        }
        (peer.incarnation, peer.seq, peer.received_at) = (report.incarnation, report.seq, now);
        if report.is_full || is_other {
            for line in std::mem::take(&mut peer.targets).values() {
                subtract_line(&mut self.peer_totals, line);
            }
        }
        for line in &report.targets {
            if let Some(old) = peer.targets.insert(line.target, *line) {
                subtract_line(&mut self.peer_totals, &old);
            }
            add_line(&mut self.peer_totals, line);
        }
        true
    }

    /// Counts of reports since the last call.
    pub fn take_report_counts(&mut self) -> ReportCounts {
        std::mem::take(&mut self.report_counts)
    }

    /// Drops the load of routers without a report for [`PEER_TIMEOUT`].
    pub fn expire(&mut self, now: Instant) {
        let is_silent = |peer: &&mut Peer| now.duration_since(peer.received_at) > PEER_TIMEOUT;
        for peer in self.peers.values_mut().filter(is_silent) {
            for line in std::mem::take(&mut peer.targets).values() {
                subtract_line(&mut self.peer_totals, line);
            }
        }
        // A line may have unread tokens of a request that no longer counts as running: dropping its
        // target would make the sum negative once the line changes.
        self.peer_totals.retain(|_, load| load.running_count > 0.0 || load.unread_tokens > 0.0);
    }

    /// Number of routers with a report within [`PEER_TIMEOUT`], including this one.
    pub fn router_count(&self, now: Instant) -> usize {
        let is_live = |peer: &&Peer| now.duration_since(peer.received_at) <= PEER_TIMEOUT;
        1 + self.peers.values().filter(is_live).count()
    }

    /// Mean age of the reports of live routers.
    pub fn mean_report_age(&self, now: Instant) -> Duration {
        let ages = self.peers.values().map(|peer| now.duration_since(peer.received_at));
        let (mut sum, mut count) = (Duration::ZERO, 0);
        for age in ages.filter(|age| *age <= PEER_TIMEOUT) {
            sum += age;
            count += 1;
        }
        if count == 0 { Duration::ZERO } else { sum / count }
    }

    /// Names of the other routers with a report within `window`.
    pub fn routers_heard(&self, window: Duration, now: Instant) -> impl Iterator<Item = &str> {
        let peers = self.peers.iter();
        let is_recent = move |peer: &Peer| now.duration_since(peer.received_at) <= window;
        peers.filter(move |(_, peer)| is_recent(peer)).map(|(name, _)| &**name)
    }

    /// This router's load by target, for its report: all of it, or what changed since the last one.
    pub fn own_report(&mut self, is_full: bool) -> Vec<report::TargetLoad> {
        let mut lines =
            self.own.iter().map(|(target, load)| line(*target, load)).collect::<Vec<_>>();
        if is_full {
            lines.retain(|line| line.running_count > 0);
            self.last_reported.clear();
        } else {
            lines.retain(|line| match self.last_reported.get(&line.target) {
                Some(reported) => reported != line,
                None => line.running_count > 0,
            });
        }
        self.last_reported.extend(lines.iter().map(|line| (line.target, *line)));
        lines
    }

    /// Up to [`MAX_NEW_PARTS`] shared parts that were newly sent to targets and not returned
    /// before, the oldest first, for this router's report.
    pub fn take_new_cached_parts(&mut self) -> Vec<report::CachedPart> {
        self.new_parts.drain(..self.new_parts.len().min(MAX_NEW_PARTS)).collect()
    }
}

/// Adds another router's load to the sums. All values are integers, so the sums are exact.
fn add_line(sums: &mut HashKeyed<Load>, line: &report::TargetLoad) {
    let load = sums.entry(line.target).or_default();
    load.unread_tokens += f64::from(line.unread_tokens);
    load.running_count += f64::from(line.running_count);
}

fn subtract_line(sums: &mut HashKeyed<Load>, line: &report::TargetLoad) {
    let load = sums.entry(line.target).or_default();
    load.unread_tokens -= f64::from(line.unread_tokens);
    load.running_count -= f64::from(line.running_count);
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Small counts.
fn line(target: Hash, load: &Load) -> report::TargetLoad {
    report::TargetLoad {
        target,
        unread_tokens: load.unread_tokens as u32,
        running_count: load.running_count as u32,
    }
}
