//! Routers on a simulated network with a fixed delay, partitions, pauses, and losses by seed.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_core::membership::{self, Envelope, Member, Membership, Message, Status};
use rand::rngs;
use rand::{Rng, SeedableRng};
use tokio::time;

const DELAY: Duration = Duration::from_millis(1);

/// Callback that receives the sender's name and each datagram that is sent.
pub type OnSend = Box<dyn FnMut(&Name, &Message)>;

struct Node {
    machine: Membership,
    wakeup: time::Instant,
    paused: bool,
    side: usize,
    sent_count: u64,
}

/// The network and its routers.
pub struct Network {
    pub now: time::Instant,
    pub loss_ratio: f64,
    pub on_send: OnSend,
    nodes: BTreeMap<net::SocketAddr, Node>,
    /// Addresses by the time of their next wakeup.
    wakeups: BTreeSet<(time::Instant, net::SocketAddr)>,
    in_transit: BTreeMap<(time::Instant, u64), (net::SocketAddr, Message)>,
    rng: rngs::SmallRng,
    next_id: u64,
    seeds: Vec<net::SocketAddr>,
}

pub fn addr(index: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 7000))
}

pub fn name(index: usize) -> Name {
    format!("router-{index:03}").into()
}

impl Network {
    /// Starts `count` routers that join through the first three.
    pub fn new(count: usize, seed: u64) -> Network {
        let mut network = Network {
            now: time::Instant::now(),
            loss_ratio: 0.0,
            on_send: Box::new(|_, _| ()),
            nodes: BTreeMap::new(),
            wakeups: BTreeSet::new(),
            in_transit: BTreeMap::new(),
            rng: rngs::SmallRng::seed_from_u64(seed),
            next_id: 0,
            seeds: (0..count.min(3)).map(addr).collect(),
        };
        (0..count).for_each(|index| network.start(index, 1));
        network
    }

    /// Starts a router, or restarts it without state.
    pub fn start(&mut self, index: usize, incarnation: u64) {
        let me = Member {
            id: RouterId::new(name(index), incarnation),
            version: 0,
            status: Status::Alive,
            draining: false,
            applied_offset: 0,
            peers_addr: addr(index),
            region: "quebec-est".into(),
            zone: format!("quebec-est-{}", index % 3).into(),
        };
        let settings = membership::Settings::default();
        let mut machine = Membership::new(settings, me, self.rng.random(), self.now);
        machine.set_seeds(self.seeds.clone());
        self.stop(index);
        let node = Node { machine, wakeup: self.now, paused: false, side: 0, sent_count: 0 };
        self.nodes.insert(addr(index), node);
        self.wakeups.insert((self.now, addr(index)));
    }

    /// Stops a router without notifying others.
    pub fn stop(&mut self, index: usize) {
        if let Some(node) = self.nodes.remove(&addr(index)) {
            self.wakeups.remove(&(node.wakeup, addr(index)));
        }
    }

    pub fn machine(&mut self, index: usize) -> &mut Membership {
        &mut self.nodes.get_mut(&addr(index)).unwrap().machine
    }

    /// Polls a router, so that it sends the datagrams caused by a call.
    pub fn flush(&mut self, index: usize) {
        self.poll(addr(index));
    }

    /// Assigns a router to a side of a partition. Datagrams are delivered within one side only.
    pub fn set_side(&mut self, index: usize, side: usize) {
        self.nodes.get_mut(&addr(index)).unwrap().side = side;
    }

    /// Pauses or resumes a router. Its timers and incoming datagrams are delayed until it resumes.
    pub fn set_paused(&mut self, index: usize, paused: bool) {
        self.nodes.get_mut(&addr(index)).unwrap().paused = paused;
        if paused {
            return;
        }
        let (now, mut held) = (self.now, Vec::new());
        let late =
            self.in_transit.iter().filter(|((at, _), (to, _))| *at <= now && *to == addr(index));
        held.extend(late.map(|(key, _)| *key));
        // Polls before delivering datagrams, which is the harder order for a router that was
        // paused.
        self.poll(addr(index));
        for key in held {
            let (to, message) = self.in_transit.remove(&key).unwrap();
            self.deliver(to, message);
        }
    }

    /// Delivers a datagram at once.
    pub fn inject(&mut self, to: usize, message: Message) {
        self.deliver(addr(to), message);
    }

    /// Advances the simulated time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.step(end) {}
        self.now = end;
    }

    /// Advances the simulated time until a condition holds, and returns the time passed.
    pub fn run_until(
        &mut self,
        most: Duration,
        mut holds: impl FnMut(&mut Network) -> bool,
    ) -> Duration {
        let (start, end) = (self.now, self.now + most);
        while !holds(self) {
            assert!(self.step(end), "the condition didn't hold within {most:?}");
        }
        self.now - start
    }

    fn step(&mut self, end: time::Instant) -> bool {
        let nodes = &self.nodes;
        let paused = |to: &net::SocketAddr| nodes.get(to).is_some_and(|node| node.paused);
        let arrival = self.in_transit.iter().find(|(_, (to, _))| !paused(to)).map(|(key, _)| *key);
        let wakeup = self.wakeups.iter().find(|(_, at)| !paused(at)).copied();
        match (arrival, wakeup) {
            (Some(key), wakeup) if key.0 <= end && wakeup.is_none_or(|(at, _)| key.0 <= at) => {
                self.now = self.now.max(key.0);
                let (to, message) = self.in_transit.remove(&key).unwrap();
                self.deliver(to, message);
                true
            }
            (_, Some((at, to))) if at <= end => {
                self.now = self.now.max(at);
                self.poll(to);
                true
            }
            _ => false,
        }
    }

    fn deliver(&mut self, to: net::SocketAddr, message: Message) {
        let Some(node) = self.nodes.get_mut(&to) else { return };
        node.machine.handle(message, self.now);
        self.poll(to);
    }

    fn poll(&mut self, at: net::SocketAddr) {
        let Some(node) = self.nodes.get_mut(&at) else { return };
        let envelopes = node.machine.poll(self.now);
        self.wakeups.remove(&(node.wakeup, at));
        node.wakeup = node.machine.next_wakeup();
        assert!(node.wakeup > self.now, "a poll must not be due again at once");
        self.wakeups.insert((node.wakeup, at));
        node.sent_count += envelopes.len() as u64;
        let (from, side) = (node.machine.local_member().id.name.clone(), node.side);
        for Envelope { to, message } in envelopes {
            (self.on_send)(&from, &message);
            let cut = self.nodes.get(&to).is_none_or(|other| other.side != side);
            if cut || self.rng.random_bool(self.loss_ratio) {
                continue;
            }
            self.next_id += 1;
            self.in_transit.insert((self.now + DELAY, self.next_id), (to, message));
        }
    }

    /// Whether exactly these other routers are alive to a router.
    pub fn sees(&mut self, index: usize, others: impl IntoIterator<Item = usize>) -> bool {
        let seen = self.machine(index).members().filter(|member| member.status == Status::Alive);
        let seen = seen.map(|member| member.id.name.clone()).collect::<BTreeSet<_>>();
        let mut expected = others.into_iter().map(name).collect::<BTreeSet<_>>();
        expected.remove(&name(index));
        seen == expected
    }

    pub fn status(&mut self, at: usize, of: usize) -> Status {
        self.machine(at).member(&name(of)).unwrap().status
    }
}
