//! The load of targets as one router sees it: its own requests, and what the others report.
//!
//! Load pattern: many routers send to the same targets, and what a target says of itself is old.
//! Counting what was sent shows load before the target reports it.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::Name;
use crate::prompt::{Part, Prompt};
use crate::report::{self, Hash, HashKeyed};

/// Silence after which another router's load no longer counts: what it had sent is then mostly
/// done, or was cut off with it.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time for which a part is taken to be kept after its last use.
pub const CACHED_PART_TTL: Duration = Duration::from_secs(60);

/// Most parts remembered for one target; the least recently used are forgotten beyond it.
pub const MAX_CACHED_PARTS: usize = 4096;

/// Most parts told in one report, so that it fits a datagram beside all targets and teams.
pub const MAX_NEW_PARTS: usize = 150;

/// Load of one target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Prompt tokens sent, of requests that have no event yet.
    pub unread_tokens: f64,
    /// Requests in flight.
    pub running_count: f64,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    seq: u64,
    heard_at: Instant,
    targets: HashKeyed<report::TargetLoad>,
}

/// Load of all targets, and what they keep of prompts.
#[derive(Debug, Default)]
pub struct LoadView {
    own: HashKeyed<Load>,
    /// Lines of the last report, to leave out what hasn't changed.
    reported: HashKeyed<report::TargetLoad>,
    others: HashKeyed<Load>,
    peers: HashMap<Name, Peer>,
    cached_parts: HashKeyed<HashKeyed<Instant>>,
    news: Vec<report::CachedPart>,
}

impl LoadView {
    /// Load of a target from all routers.
    pub fn load(&self, target: Hash) -> Load {
        let own = self.own.get(&target).copied().unwrap_or_default();
        let others = self.others.get(&target).copied().unwrap_or_default();
        Load {
            unread_tokens: own.unread_tokens + others.unread_tokens,
            running_count: own.running_count + others.running_count,
        }
    }

    /// Load that this router has put on a target.
    pub fn own_load(&self, target: Hash) -> Load {
        self.own.get(&target).copied().unwrap_or_default()
    }

    /// Tokens of a prompt that a target has to read: what lies behind the parts that it keeps.
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

    /// Whether a target keeps a part.
    pub fn has_cached(&self, target: Hash, part: u64) -> bool {
        self.cached_parts.get(&target).is_some_and(|cached| cached.contains_key(&part))
    }

    /// Counts a request that is sent to a target.
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
        // The last part is of no use to the others: its session comes to this router again.
        let shared_count = prompt.parts.len().saturating_sub(1);
        for (i, part) in prompt.parts.iter().enumerate() {
            if i < shared_count && !self.has_cached(target, part.id) {
                self.news.push(report::CachedPart { target, part: part.id });
            }
            self.note_cached(target, part.id, now);
        }
    }

    /// Counts the first event of a request: its prompt is read.
    pub fn prompt_read(&mut self, target: Hash, unread_tokens: u32) {
        if let Some(load) = self.own.get_mut(&target) {
            load.unread_tokens = (load.unread_tokens - f64::from(unread_tokens)).max(0.0);
        }
    }

    /// Counts the end of a request at a target; `unread_tokens` is 0 if its prompt was read.
    pub fn end_request(&mut self, target: Hash, unread_tokens: u32) {
        self.prompt_read(target, unread_tokens);
        if let Some(load) = self.own.get_mut(&target) {
            load.running_count = (load.running_count - 1.0).max(0.0);
        }
    }

    /// Forgets all that a target keeps, as after a failure of its process.
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

    /// Takes another router's report; returns whether it is newer than what is known.
    pub fn apply_report(&mut self, heard: &report::LoadReport, now: Instant) -> bool {
        for cached in &heard.cached_parts {
            self.note_cached(cached.target, cached.part, now);
        }
        let peer = self.peers.entry(heard.sender.clone()).or_insert_with(|| Peer {
            incarnation: 0,
            seq: 0,
            heard_at: now,
            targets: HashKeyed::default(),
        });
        if (heard.incarnation, heard.seq) <= (peer.incarnation, peer.seq) {
            return false;
        }
        let is_new_life = heard.incarnation != peer.incarnation;
        (peer.incarnation, peer.seq, peer.heard_at) = (heard.incarnation, heard.seq, now);
        if heard.is_full || is_new_life {
            for line in std::mem::take(&mut peer.targets).values() {
                take_line(&mut self.others, line);
            }
        }
        for line in &heard.targets {
            if let Some(old) = peer.targets.insert(line.target, *line) {
                take_line(&mut self.others, &old);
            }
            add_line(&mut self.others, line);
        }
        true
    }

    /// Drops the load of routers that are silent.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |peer: &&mut Peer| now.duration_since(peer.heard_at) > PEER_TIMEOUT;
        for peer in self.peers.values_mut().filter(is_old) {
            for line in std::mem::take(&mut peer.targets).values() {
                take_line(&mut self.others, line);
            }
        }
        self.others.retain(|_, load| load.running_count > 0.0);
    }

    /// Number of routers that were heard lately, this one included.
    pub fn router_count(&self, now: Instant) -> usize {
        let fresh = |peer: &&Peer| now.duration_since(peer.heard_at) <= PEER_TIMEOUT;
        1 + self.peers.values().filter(fresh).count()
    }

    /// This router's load by target, for its report: all of it, or what has changed since the last.
    pub fn own_report(&mut self, is_full: bool) -> Vec<report::TargetLoad> {
        let mut lines =
            self.own.iter().map(|(target, load)| line(*target, load)).collect::<Vec<_>>();
        if is_full {
            lines.retain(|line| line.running_count > 0);
            self.reported.clear();
        } else {
            lines.retain(|line| match self.reported.get(&line.target) {
                Some(reported) => reported != line,
                None => line.running_count > 0,
            });
        }
        self.reported.extend(lines.iter().map(|line| (line.target, *line)));
        lines
    }

    /// Parts that targets have been sent since the last calls, the oldest first, for this router's
    /// report.
    pub fn take_new_cached_parts(&mut self) -> Vec<report::CachedPart> {
        self.news.drain(..self.news.len().min(MAX_NEW_PARTS)).collect()
    }
}

/// Adds another router's load to the sums. Whole numbers, so that sums are exact.
fn add_line(sums: &mut HashKeyed<Load>, line: &report::TargetLoad) {
    let load = sums.entry(line.target).or_default();
    load.unread_tokens += f64::from(line.unread_tokens);
    load.running_count += f64::from(line.running_count);
}

fn take_line(sums: &mut HashKeyed<Load>, line: &report::TargetLoad) {
    let load = sums.entry(line.target).or_default();
    load.unread_tokens -= f64::from(line.unread_tokens);
    load.running_count -= f64::from(line.running_count);
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Counts of requests.
fn line(target: Hash, load: &Load) -> report::TargetLoad {
    report::TargetLoad {
        target,
        unread_tokens: load.unread_tokens as u32,
        running_count: load.running_count as u32,
    }
}
