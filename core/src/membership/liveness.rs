//! Failure detection: probes, suspicion and death of members.

use std::collections::BTreeSet;
use std::net;
use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time;

use super::{Kind, Membership, Source, Status};
use crate::ids::Name;

/// Number of members that are asked to repeat a failed probe.
const INDIRECT_COUNT: usize = 3;
/// Time between two probes of dead members.
pub(super) const DEAD_PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two probes of seeds that aren't the address of a live member.
pub(super) const SEED_PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Delay of a poll from which this process is assumed to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);
/// Time after which members that died or left are removed.
const FORGET_AFTER: Duration = Duration::from_secs(600);

impl Membership {
    /// Probes a member at once, for instance when its session is unresponsive.
    ///
    /// The direct and the indirect probe start together, so that a failure is detected within one
    /// timeout.
    pub fn probe_now(&mut self, name: &Name, now: time::Instant) {
        let alive = self.members.get(name).is_some_and(|e| e.member.status == Status::Alive);
        if alive && !self.probes.is_probed(name) {
            self.begin_probe(name, now, true);
        }
    }

    /// Drops pending probes and restarts suspicion timeouts after this process was paused.
    ///
    /// Their answers may still be in the socket's buffer, so the pause must not be taken for a
    /// failure of other members.
    pub(super) fn handle_pause(&mut self, now: time::Instant) {
        if now < self.expected_poll_at + PAUSE_THRESHOLD {
            return;
        }
        self.probes.clear();
        for entry in self.members.values_mut() {
            if entry.member.status == Status::Suspect {
                entry.since = now;
            }
        }
    }

    pub(super) fn poll_probes(&mut self, now: time::Instant) {
        for name in self.probes.take_due_indirect(now) {
            self.probe_indirectly(&name);
        }
        for name in self.probes.take_failed(now) {
            self.suspect(&name, now);
        }
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.probe_interval;
            if let Some(name) = self.next_in_round() {
                self.begin_probe(&name, now, false);
            }
        }
    }

    /// Returns the next member to probe, in a shuffled round over all live members.
    pub(super) fn next_in_round(&mut self) -> Option<Name> {
        if self.probe_round.is_empty() {
            let live = self.members().filter(|member| member.is_live());
            self.probe_round = live.map(|member| member.id.name.clone()).collect();
            self.probe_round.shuffle(&mut self.rng);
        }
        while let Some(name) = self.probe_round.pop() {
            let live = self.members.get(&name).is_some_and(|entry| entry.member.is_live());
            if live && !self.probes.is_probed(&name) {
                return Some(name);
            }
        }
        None
    }

    pub(super) fn begin_probe(&mut self, name: &Name, now: time::Instant, indirect_now: bool) {
        let Some(entry) = self.members.get(name) else { return };
        let to = entry.member.peers_addr;
        let timeout = self.settings.probe_timeout;
        let indirect_at = if indirect_now { now } else { now + timeout };
        let fail_at = indirect_at + timeout;
        let Some(seq) = self.probes.add(name.clone(), indirect_at, fail_at) else { return };
        self.send_probe(to, Kind::Ping, seq, Some(name));
        if indirect_now {
            self.probes.take_due_indirect(now);
            self.probe_indirectly(name);
        }
    }

    pub(super) fn probe_indirectly(&mut self, name: &Name) {
        let Some(entry) = self.members.get(name) else { return };
        let Some(seq) = self.probes.seq_of(name) else { return };
        let target_addr = entry.member.peers_addr;
        let relays = self.members().filter(|m| m.status == Status::Alive && m.id.name != *name);
        let relays = relays.map(|member| member.peers_addr).collect::<Vec<_>>();
        let relays =
            relays.choose_multiple(&mut self.rng, INDIRECT_COUNT).copied().collect::<Vec<_>>();
        for to in relays {
            self.send(to, Kind::PingRequest { target_addr }, seq);
        }
    }

    pub(super) fn take_ack(&mut self, seq: u64) {
        if let Some(relay) = self.probes.take_relay(seq) {
            self.send(relay.to, Kind::Ack, relay.seq);
            return;
        }
        self.probes.end(seq);
    }

    pub(super) fn suspect(&mut self, name: &Name, now: time::Instant) {
        let Some(entry) = self.members.get_mut(name) else { return };
        if entry.member.status == Status::Alive {
            let mut claim = entry.member.clone();
            claim.status = Status::Suspect;
            let to = claim.peers_addr;
            self.merge(claim.clone(), Source::Other, now);
            self.send_claim(to, claim);
        }
    }

    pub(super) fn poll_suspects(&mut self, now: time::Instant) {
        let late = self.members.values().filter(|entry| {
            entry.member.status == Status::Suspect && now >= entry.since + self.settings.suspicion
        });
        let late = late.map(|entry| entry.member.clone()).collect::<Vec<_>>();
        for mut claim in late {
            claim.status = Status::Dead;
            self.merge(claim, Source::Other, now);
        }
    }

    /// Probes a random dead member periodically, so that groups merge again after a network
    /// partition.
    pub(super) fn poll_dead(&mut self, now: time::Instant) {
        if now < self.next_dead_probe_at {
            return;
        }
        self.next_dead_probe_at = now + DEAD_PROBE_INTERVAL;
        self.members.retain(|_, entry| {
            entry.member.is_live() || now.duration_since(entry.since) < FORGET_AFTER
        });
        let dead = self.members().filter(|member| member.status == Status::Dead);
        let dead = dead.cloned().collect::<Vec<_>>();
        if let Some(member) = dead.choose(&mut self.rng) {
            self.send_probe(member.peers_addr, Kind::Ping, 0, Some(&member.id.name));
        }
    }

    /// Probes a random seed that isn't the address of a live member.
    pub(super) fn poll_seeds(&mut self, now: time::Instant) {
        if now < self.next_seed_probe_at {
            return;
        }
        self.next_seed_probe_at = now + SEED_PROBE_INTERVAL;
        if let Some(addr) = self.unknown_seeds().choose(&mut self.rng) {
            self.send(*addr, Kind::Ping, 0);
        }
    }

    /// Seeds that aren't the address of a live member.
    pub(super) fn unknown_seeds(&self) -> Vec<net::SocketAddr> {
        let live = self.members().filter(|member| member.is_live());
        let live = live.map(|member| member.peers_addr).collect::<BTreeSet<_>>();
        self.seeds.iter().filter(|addr| !live.contains(addr)).copied().collect()
    }
}
