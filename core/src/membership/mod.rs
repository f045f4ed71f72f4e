//! Membership and failure detection of the fleet by the SWIM protocol over datagrams.
//!
//! [`Membership`] is a state machine without I/O. It is driven by received messages and by time,
//! and returns [`Envelope`]s to send. Its random choices are determined by a seed.
//!
//! # Protocol
//!
//! Each router probes one other router per interval, in shuffled rounds. A probe without an
//! acknowledgement is repeated through other members. If that fails too, the member is suspected,
//! and it is declared dead if it doesn't refute in time.
//!
//! A claim is an assertion about the state of a member. Claims are ordered by incarnation, version
//! and status, and the greater one wins. A router refutes a claim by raising its version, and a
//! restarted router has a greater incarnation.
//!
//! If another member reports a live member as dead, the report isn't applied. Instead the member is
//! probed at once and receives the claim, so that it can refute. This lets two groups merge after a
//! network partition without applying each other's dead members.
//!
//! # Traffic
//!
//! A datagram contains at most [`message::MAX_UPDATES_BYTES`] of updates. Datagrams other than
//! probes are rate limited, so that the traffic of a member doesn't grow with the fleet.

use std::collections::{BTreeMap, VecDeque};
use std::net;
use std::time::Duration;

use rand::rngs;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use tokio::time;

use crate::ids::{Name, RouterId};

mod budget;
mod joining;
mod liveness;
mod member;
mod merging;
pub mod message;
mod outgoing;
mod probe;
mod update_queue;

pub use member::{Member, Status};
pub use message::{Envelope, Kind, LeavingTarget, Message};

use budget::Budget;
use update_queue::{Topic, UpdateQueue, Urgency};

/// Maximum number of known routers; further ones are ignored.
pub const MAX_MEMBERS: usize = 4096;

/// Maximum number of known leaving targets; further ones are ignored.
pub const MAX_LEAVING_TARGETS: usize = 16_384;

/// Number of members that are notified at once when this router leaves.
const LEAVE_FANOUT_COUNT: usize = 8;
/// Rate limit of datagrams with urgent updates, per second.
const SPREAD_PER_S: f64 = 1.0;
/// Burst limit of datagrams with urgent updates.
const SPREAD_BURST_COUNT: f64 = 12.0;
/// Rate limit of pages sent to joining routers, per second.
const PAGES_PER_S: f64 = 50.0;
/// Burst limit of pages.
const PAGES_BURST_COUNT: f64 = 50.0;
/// Rate limit of datagrams that ask members to refute, per second. They are sent to members that
/// are dead to this router but alive to others.
const CLAIMS_PER_S: f64 = 20.0;
/// Burst limit of datagrams that ask members to refute.
const CLAIMS_BURST_COUNT: f64 = 60.0;

/// Delay after which nothing is due any more; longer than any process runs.
const FAR_FUTURE: Duration = Duration::from_secs(365 * 24 * 3600);

/// Intervals and timeouts of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes; 1 s by default.
    pub probe_interval: Duration,
    /// Timeout of a direct probe, and again of the indirect one; 300 ms by default.
    pub probe_timeout: Duration,
    /// Time after which a suspected member that hasn't refuted is dead; 1.5 s by default.
    pub suspicion: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            suspicion: Duration::from_millis(1500),
        }
    }
}

/// A change of a member's status, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A router joined, returned or refuted a claim.
    Alive(RouterId),
    /// A router failed a probe.
    Suspect(RouterId),
    /// A router didn't refute in time.
    Dead(RouterId),
    /// A router left of its own accord.
    Left(RouterId),
    /// Another router has this one's name and a greater incarnation.
    Superseded(RouterId),
}

/// Origin of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// The member that the claim is about.
    Itself,
    /// An update from another member, or the failure detector of this one.
    Other,
    /// A page; its sender has already disseminated the updates.
    Page,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// When the current status was accepted.
    since: time::Instant,
}

/// The state machine of one router.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    local: Member,
    members: BTreeMap<Name, Entry>,
    leaving_targets: BTreeMap<Name, u64>,
    seeds: Vec<net::SocketAddr>,
    rng: rngs::SmallRng,
    updates: UpdateQueue,
    probes: probe::Probes,
    probe_round: Vec<Name>,
    refresh_after: Name,
    sync_after: Option<Name>,
    sync_at: time::Instant,
    sync_found_members: bool,
    has_joined: bool,
    sync_wait: Duration,
    expected_poll_at: time::Instant,
    next_spread_at: time::Instant,
    next_probe_at: time::Instant,
    next_dead_probe_at: time::Instant,
    next_seed_probe_at: time::Instant,
    spread_budget: Budget,
    page_budget: Budget,
    claim_budget: Budget,
    outbox: Vec<Envelope>,
    events: VecDeque<Event>,
    generation: u64,
}

impl Membership {
    /// Creates the state machine of a router without other members.
    ///
    /// The status of `local` is set to alive. `seed` determines the random choices.
    pub fn new(settings: Settings, mut local: Member, seed: u64, now: time::Instant) -> Membership {
        local.status = Status::Alive;
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        // Routers that start together shouldn't probe at the same time.
        let phase = settings.probe_interval.mul_f64(rng.random::<f64>());
        Membership {
            local,
            members: BTreeMap::new(),
            leaving_targets: BTreeMap::new(),
            seeds: Vec::new(),
            updates: UpdateQueue::default(),
            probes: probe::Probes::new(rng.random()),
            probe_round: Vec::new(),
            refresh_after: Name::from(""),
            sync_after: Some(Name::from("")),
            sync_at: now,
            sync_found_members: false,
            has_joined: false,
            sync_wait: joining::SYNC_TIMEOUT,
            expected_poll_at: now,
            next_spread_at: now,
            next_probe_at: now + phase,
            next_dead_probe_at: now + liveness::DEAD_PROBE_INTERVAL.mul_f64(rng.random::<f64>()),
            next_seed_probe_at: now + liveness::SEED_PROBE_INTERVAL.mul_f64(rng.random::<f64>()),
            spread_budget: Budget::new(SPREAD_PER_S, SPREAD_BURST_COUNT, now),
            page_budget: Budget::new(PAGES_PER_S, PAGES_BURST_COUNT, now),
            claim_budget: Budget::new(CLAIMS_PER_S, CLAIMS_BURST_COUNT, now),
            outbox: Vec::new(),
            events: VecDeque::new(),
            generation: 0,
            rng,
            settings,
        }
    }

    /// Replaces the addresses to join through.
    ///
    /// They come from the settings and the platform's host list. Members that aren't among them are
    /// kept.
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|addr| *addr != self.local.peers_addr);
    }

    /// State of this router, as sent to others.
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// All known other routers, including dead ones, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// State of a router; `None` if it is unknown.
    pub fn member(&self, name: &str) -> Option<&Member> {
        if *self.local.id.name == *name {
            return Some(&self.local);
        }
        self.members.get(name).map(|entry| &entry.member)
    }

    /// Routers that may hold roles, which may include this one.
    pub fn eligible(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.local).chain(self.members()).filter(|member| member.is_eligible())
    }

    /// Counter that changes whenever the live members, their eligibility for roles or the leaving
    /// targets change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether a full listing of the members has been received from another router.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    /// Sets whether this router is draining; a draining router holds no roles.
    pub fn set_draining(&mut self, draining: bool) {
        if self.local.draining != draining {
            self.local.draining = draining;
            self.update_local(Urgency::Urgent);
        }
    }

    /// Sets the offset of the configuration that is in force at this router.
    pub fn set_applied_offset(&mut self, offset: u64) {
        if self.local.applied_offset != offset {
            self.local.applied_offset = offset;
            self.local.version += 1;
            self.push_update(Topic::Member(self.local.id.name.clone()), Urgency::Normal);
        }
    }

    /// Marks a target as leaving in this and all earlier incarnations.
    ///
    /// The mark can't be removed. Only a greater incarnation of the target accepts new work again.
    pub fn add_leaving_target(&mut self, name: &Name, incarnation: u64) {
        if self.insert_leaving_target(name, incarnation) {
            self.push_update(Topic::Target(name.clone()), Urgency::Urgent);
        }
    }

    /// Records a leaving target; returns whether that is new.
    fn insert_leaving_target(&mut self, name: &Name, incarnation: u64) -> bool {
        let full = self.leaving_targets.len() >= MAX_LEAVING_TARGETS;
        match self.leaving_targets.get_mut(name) {
            Some(last) if *last >= incarnation => return false,
            Some(last) => *last = incarnation,
            None if full || name.len() > message::MAX_NAME_BYTES => return false,
            None => {
                self.leaving_targets.insert(name.clone(), incarnation);
            }
        }
        self.generation += 1;
        true
    }

    /// Whether a target is leaving; an `incarnation` of 0 stands for an unknown one.
    pub fn is_target_leaving(&self, name: &str, incarnation: u64) -> bool {
        self.leaving_targets.get(name).is_some_and(|last| incarnation <= *last)
    }

    /// All leaving targets, each with the greatest incarnation that is leaving.
    pub fn leaving_targets(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.leaving_targets.iter().map(|(name, incarnation)| (name, *incarnation))
    }

    /// Leaves the fleet. The datagrams of the next [`poll`](Membership::poll) notify other members.
    pub fn leave(&mut self) {
        self.local.status = Status::Left;
        self.local.version += 1;
        self.generation += 1;
        let mut to = self.members().filter(|member| member.is_live()).cloned().collect::<Vec<_>>();
        to.shuffle(&mut self.rng);
        for member in to.iter().take(LEAVE_FANOUT_COUNT) {
            self.send(member.peers_addr, Kind::Spread, 0);
        }
    }

    /// Handles one received datagram.
    pub fn handle(&mut self, message: Message, now: time::Instant) {
        if self.local.status == Status::Left || message.sender.id == self.local.id {
            return;
        }
        let last = message.last_name().cloned();
        let source = match message.kind {
            Kind::Page { .. } => Source::Page,
            _ => Source::Other,
        };
        for LeavingTarget { name, incarnation } in &message.leaving_targets {
            match source {
                Source::Page => _ = self.insert_leaving_target(name, *incarnation),
                _ => self.add_leaving_target(name, *incarnation),
            }
        }
        let sender = message.sender;
        for member in message.members {
            self.merge(member, source, now);
        }
        self.merge(sender.clone(), Source::Itself, now);
        let to = sender.peers_addr;
        match message.kind {
            Kind::Ping => self.send_probe(to, Kind::Ack, message.seq, Some(&sender.id.name)),
            Kind::Ack => self.take_ack(message.seq),
            Kind::PingRequest { target_addr } => {
                let relay = probe::Relay { to, seq: message.seq };
                let until = now + self.settings.probe_timeout * 2;
                if let Some(seq) = self.probes.add_relay(relay, until) {
                    self.send(target_addr, Kind::Ping, seq);
                }
            }
            Kind::Spread => {}
            Kind::Sync { after } => self.send_page(to, message.seq, &after, now),
            Kind::Page { more } => self.take_page(last, more, now),
        }
    }

    /// Runs all due actions and returns the datagrams to send.
    pub fn poll(&mut self, now: time::Instant) -> Vec<Envelope> {
        if self.local.status != Status::Left {
            self.handle_pause(now);
            self.poll_sync(now);
            self.poll_probes(now);
            self.poll_suspects(now);
            self.poll_dead(now);
            self.poll_seeds(now);
            self.poll_urgent_updates(now);
        }
        self.expected_poll_at = self.next_wakeup();
        std::mem::take(&mut self.outbox)
    }

    /// Time at which [`poll`](Membership::poll) is due if no datagram arrives.
    pub fn next_wakeup(&self) -> time::Instant {
        if self.local.status == Status::Left {
            return self.next_seed_probe_at + FAR_FUTURE;
        }
        let suspects = self.members.values().filter(|e| e.member.status == Status::Suspect);
        let suspects = suspects.map(|entry| entry.since + self.settings.suspicion);
        let sync = self.sync_after.as_ref().map(|_| self.sync_at);
        let spread = self.spread_budget.next_at().max(self.next_spread_at);
        let spread = Some(spread).filter(|_| self.updates.has_urgent());
        let probes = self.probes.next_at();
        let fixed = self.next_probe_at.min(self.next_dead_probe_at).min(self.next_seed_probe_at);
        suspects.chain(sync).chain(spread).chain(probes).fold(fixed, time::Instant::min)
    }
}
