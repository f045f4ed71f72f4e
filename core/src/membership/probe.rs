//! Pending probes and their timeouts.

use std::net;

use smallvec::SmallVec;
use tokio::time;

use crate::ids::Name;

/// Maximum number of pending probes of this router.
const MAX_PROBES: usize = 32;
/// Maximum number of pending probes on behalf of other members.
const MAX_RELAYS: usize = 64;

/// Destination of the acknowledgement of a probe on behalf of another member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Relay {
    pub(super) to: net::SocketAddr,
    pub(super) seq: u64,
}

#[derive(Debug)]
struct Probe {
    name: Name,
    seq: u64,
    /// When other members are asked to probe; `None` once they were.
    indirect_at: Option<time::Instant>,
    fail_at: time::Instant,
}

/// Pending probes of this router and on behalf of other members.
#[derive(Debug)]
pub(super) struct Probes {
    next_seq: u64,
    waiting: SmallVec<[Probe; 4]>,
    relays: Vec<(u64, Relay, time::Instant)>,
}

impl Probes {
    /// Creates an empty list. `first_seq` is random, so that numbers can't be guessed from earlier
    /// ones.
    pub(super) fn new(first_seq: u64) -> Probes {
        Probes { next_seq: first_seq | 1, waiting: SmallVec::new(), relays: Vec::new() }
    }

    /// Adds a probe and returns its number, or `None` if too many are pending.
    pub(super) fn add(
        &mut self,
        name: Name,
        indirect_at: time::Instant,
        fail_at: time::Instant,
    ) -> Option<u64> {
        if self.waiting.len() >= MAX_PROBES {
            return None;
        }
        let seq = self.take_seq();
        self.waiting.push(Probe { name, seq, indirect_at: Some(indirect_at), fail_at });
        Some(seq)
    }

    /// Adds a probe on behalf of another member and returns its number. If too many are pending,
    /// the oldest is dropped.
    pub(super) fn add_relay(&mut self, relay: Relay, until: time::Instant) -> Option<u64> {
        if self.relays.len() >= MAX_RELAYS {
            // The first is the oldest, and has most likely timed out unless this router is flooded.
            self.relays.remove(0);
        }
        let seq = self.take_seq();
        self.relays.push((seq, relay, until));
        Some(seq)
    }

    /// Removes and returns the relay of an acknowledged probe.
    pub(super) fn take_relay(&mut self, seq: u64) -> Option<Relay> {
        let index = self.relays.iter().position(|(own, _, _)| *own == seq)?;
        Some(self.relays.remove(index).1)
    }

    /// Whether a probe of the member is pending.
    pub(super) fn is_probed(&self, name: &Name) -> bool {
        self.waiting.iter().any(|probe| probe.name == *name)
    }

    /// Number of the pending probe of a member.
    pub(super) fn seq_of(&self, name: &Name) -> Option<u64> {
        self.waiting.iter().find(|probe| probe.name == *name).map(|probe| probe.seq)
    }

    /// Removes a probe that was acknowledged.
    pub(super) fn end(&mut self, seq: u64) {
        self.waiting.retain(|probe| probe.seq != seq);
    }

    /// Drops all probes of this router without a result.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Drops the probe of a member that isn't live any more.
    pub(super) fn remove_if_not_live(&mut self, name: &Name, live: bool) {
        if !live {
            self.waiting.retain(|probe| probe.name != *name);
        }
    }

    /// Returns the members whose indirect probe is due, and marks it as started.
    pub(super) fn take_due_indirect(&mut self, now: time::Instant) -> Vec<Name> {
        let mut due = Vec::new();
        for probe in &mut self.waiting {
            if probe.indirect_at.is_some_and(|at| now >= at) {
                probe.indirect_at = None;
                due.push(probe.name.clone());
            }
        }
        due
    }

    /// Removes the probes that timed out and returns their members. Also drops expired relays.
    pub(super) fn take_failed(&mut self, now: time::Instant) -> Vec<Name> {
        self.relays.retain(|(_, _, until)| now < *until);
        let failed = self.waiting.iter().filter(|probe| now >= probe.fail_at);
        let failed = failed.map(|probe| probe.name.clone()).collect();
        self.waiting.retain(|probe| now < probe.fail_at);
        failed
    }

    /// Time at which the next indirect probe or timeout is due.
    pub(super) fn next_at(&self) -> Option<time::Instant> {
        self.waiting.iter().map(|probe| probe.indirect_at.unwrap_or(probe.fail_at)).min()
    }

    fn take_seq(&mut self) -> u64 {
        let seq = self.next_seq;
        self.next_seq = self.next_seq.wrapping_add(1).max(1);
        seq
    }
}
