//! Membership of the fleet: who lives, by probes over datagrams (SWIM).
//!
//! [`Membership`] is a state machine without I/O. It is driven by received messages and by time, and
//! answers with [`Envelope`]s to send. Its random choices come from a seed.
//!
//! # Rules
//!
//! Each router probes one other in each interval, in a shuffled round. A probe without an
//! acknowledgement is repeated through other members; then the member is suspected, and dead if it
//! doesn't refute in time. A router refutes by raising its version, and a restarted one has a greater
//! incarnation, so a claim is ordered by incarnation, version and status, and the greater one holds.
//!
//! A death that others tell isn't believed of a member that is thought alive: the member is probed
//! at once, and the probe tells it what is claimed. So groups that were cut from each other can meet
//! again without taking over each other's dead.
//!
//! # Bytes
//!
//! A datagram carries at most [`message::MAX_UPDATES_BYTES`] of news. Datagrams beyond those of the
//! probes are sent from a budget, so that the bytes of a member don't grow with the fleet.

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
mod spread;

pub use member::{Member, Status};
pub use message::{Envelope, Kind, LeavingTarget, Message};

use budget::Budget;
use spread::{SpreadQueue, Topic, Urgency};

/// Most routers that are remembered; names beyond are ignored.
pub const MAX_MEMBERS: usize = 4096;

/// Most leaving targets that are remembered; names beyond are ignored.
pub const MAX_LEAVING_TARGETS: usize = 16_384;

/// Members and seeds to whom a leave goes at once.
const LEAVE_FANOUT_COUNT: usize = 8;
/// Datagrams a second for urgent news.
const SPREAD_PER_S: f64 = 1.0;
/// Datagrams of urgent news that may be sent at once.
const SPREAD_BURST_COUNT: f64 = 12.0;
/// Pages a second that are sent to joining routers.
const PAGES_PER_S: f64 = 50.0;
/// Pages that may be sent at once.
const PAGES_BURST_COUNT: f64 = 50.0;
/// Datagrams a second that ask members that are dead here, but live to others, to refute.
const CLAIMS_PER_S: f64 = 20.0;
/// Such datagrams that may be sent at once.
const CLAIMS_BURST_COUNT: f64 = 60.0;

/// Longer than any process waits.
const FOREVER: Duration = Duration::from_secs(365 * 24 * 3600);

/// Times of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes; 1 s by default.
    pub probe_interval: Duration,
    /// Longest wait for an acknowledgement, direct and again indirect; 300 ms by default.
    pub probe_timeout: Duration,
    /// Time that a suspected member has to refute; 1.5 s by default.
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

/// A change that the fleet's operators may want to read about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A router joined, returned or refuted.
    Alive(RouterId),
    /// A router failed a probe.
    Suspect(RouterId),
    /// A router didn't refute in time.
    Dead(RouterId),
    /// A router left.
    Left(RouterId),
    /// Another router has this one's name and a greater incarnation.
    Superseded(RouterId),
}

/// Where a claim comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// The member that it is about.
    Itself,
    /// News of another member, or a verdict of this one.
    Other,
    /// A page, whose sender has spread the news already.
    Page,
}

#[derive(Debug)]
struct Entry {
    member: Member,
    /// When the status was taken on.
    since: time::Instant,
}

/// The state machine of one router.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    me: Member,
    members: BTreeMap<Name, Entry>,
    leaving_targets: BTreeMap<Name, u64>,
    seeds: Vec<net::SocketAddr>,
    rng: rngs::SmallRng,
    news: SpreadQueue,
    probes: probe::Probes,
    round: Vec<Name>,
    refresh_after: Name,
    sync_after: Option<Name>,
    sync_at: time::Instant,
    sync_is_news: bool,
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
    /// Creates the state machine of a router that knows nobody.
    ///
    /// `me` is taken as alive, in its first version.
    pub fn new(settings: Settings, mut me: Member, seed: u64, now: time::Instant) -> Membership {
        me.status = Status::Alive;
        let mut rng = rngs::SmallRng::seed_from_u64(seed);
        // Routers that start together shouldn't probe in step.
        let phase = settings.probe_interval.mul_f64(rng.random::<f64>());
        Membership {
            me,
            members: BTreeMap::new(),
            leaving_targets: BTreeMap::new(),
            seeds: Vec::new(),
            news: SpreadQueue::default(),
            probes: probe::Probes::new(rng.random()),
            round: Vec::new(),
            refresh_after: Name::from(""),
            sync_after: Some(Name::from("")),
            sync_at: now,
            sync_is_news: false,
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
    /// They come from the settings and the platform's host list. A list adds candidates; a router
    /// that it lacks stays a member.
    pub fn set_seeds(&mut self, seeds: Vec<net::SocketAddr>) {
        self.seeds = seeds;
        self.seeds.retain(|addr| *addr != self.me.peers_addr);
    }

    /// This router as others are told.
    pub fn local_member(&self) -> &Member {
        &self.me
    }

    /// All other routers that are remembered, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|entry| &entry.member)
    }

    /// What is known of a router.
    pub fn member(&self, name: &str) -> Option<&Member> {
        if *self.me.id.name == *name {
            return Some(&self.me);
        }
        self.members.get(name).map(|entry| &entry.member)
    }

    /// Routers that may hold roles, this one among them.
    pub fn eligible(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.me).chain(self.members()).filter(|member| member.is_eligible())
    }

    /// Number that changes with each change of who lives or may hold roles.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the members are known as far as another router could tell them.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    /// Tells the fleet whether this router takes roles.
    pub fn set_draining(&mut self, draining: bool) {
        if self.me.draining != draining {
            self.me.draining = draining;
            self.change_me(Urgency::Urgent);
        }
    }

    /// Tells the fleet which configuration is in force here.
    pub fn set_applied_offset(&mut self, offset: u64) {
        if self.me.applied_offset != offset {
            self.me.applied_offset = offset;
            self.me.version += 1;
            self.push_news(Topic::Member(self.me.id.name.clone()), Urgency::Usual);
        }
    }

    /// Notes that a target takes no new work in this or an earlier incarnation.
    ///
    /// A note is final: only a greater incarnation of the target is free of it.
    pub fn add_leaving_target(&mut self, name: &Name, incarnation: u64) {
        let full = self.leaving_targets.len() >= MAX_LEAVING_TARGETS;
        match self.leaving_targets.get_mut(name) {
            Some(last) if *last >= incarnation => return,
            Some(last) => *last = incarnation,
            None if full || name.len() > message::MAX_NAME_BYTES => return,
            None => {
                self.leaving_targets.insert(name.clone(), incarnation);
            }
        }
        self.generation += 1;
        self.push_news(Topic::Target(name.clone()), Urgency::Urgent);
    }

    /// Whether a target takes no new work; an incarnation of 0 isn't known.
    pub fn is_target_leaving(&self, name: &str, incarnation: u64) -> bool {
        self.leaving_targets.get(name).is_some_and(|last| incarnation <= *last)
    }

    /// All targets that take no new work, with the last incarnation that doesn't.
    pub fn leaving_targets(&self) -> impl Iterator<Item = (&Name, u64)> {
        self.leaving_targets.iter().map(|(name, incarnation)| (name, *incarnation))
    }

    /// Leaves the fleet; the datagrams of the next poll say so.
    pub fn leave(&mut self) {
        self.me.status = Status::Left;
        self.me.version += 1;
        self.generation += 1;
        let mut to = self.members().filter(|member| member.is_live()).cloned().collect::<Vec<_>>();
        to.shuffle(&mut self.rng);
        for member in to.iter().take(LEAVE_FANOUT_COUNT) {
            self.send(member.peers_addr, Kind::Spread, 0);
        }
    }

    /// Takes one datagram.
    pub fn handle(&mut self, message: Message, now: time::Instant) {
        if self.me.status == Status::Left || message.sender.id == self.me.id {
            return;
        }
        for target in &message.leaving_targets {
            self.add_leaving_target(&target.name, target.incarnation);
        }
        let sender = message.sender;
        let last = message.members.last().map(|member| member.id.name.clone());
        let source = match message.kind {
            Kind::Page { .. } => Source::Page,
            _ => Source::Other,
        };
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

    /// Does what is due and returns the datagrams to send.
    pub fn poll(&mut self, now: time::Instant) -> Vec<Envelope> {
        if self.me.status != Status::Left {
            self.excuse_pause(now);
            self.poll_sync(now);
            self.poll_probes(now);
            self.poll_suspects(now);
            self.poll_dead(now);
            self.poll_seeds(now);
            self.poll_news(now);
        }
        self.expected_poll_at = self.next_wakeup();
        std::mem::take(&mut self.outbox)
    }

    /// When [`poll`](Membership::poll) is due next if nothing arrives.
    pub fn next_wakeup(&self) -> time::Instant {
        if self.me.status == Status::Left {
            return self.next_seed_probe_at + FOREVER;
        }
        let suspects = self.members.values().filter(|e| e.member.status == Status::Suspect);
        let suspects = suspects.map(|entry| entry.since + self.settings.suspicion);
        let sync = self.sync_after.as_ref().map(|_| self.sync_at);
        let spread = self.spread_budget.next_at().max(self.next_spread_at);
        let spread = Some(spread).filter(|_| self.news.has_urgent());
        let probes = self.probes.next_at();
        let fixed = self.next_probe_at.min(self.next_dead_probe_at).min(self.next_seed_probe_at);
        suspects.chain(sync).chain(spread).chain(probes).fold(fixed, time::Instant::min)
    }
}
