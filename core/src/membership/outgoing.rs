//! Outgoing datagrams and the updates that they contain.

use std::net;
use std::ops;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time;

use super::{Envelope, Kind, LeavingTarget, Member, Membership, Message, Status, Topic, Urgency};
use crate::ids::Name;

/// Number of members to which urgent updates are sent at once.
const FANOUT_COUNT: usize = 3;
/// Minimum number of members in each probe or acknowledgement. Known members are added in turn, so
/// that lost updates are repaired.
const REFRESH_COUNT: usize = 2;
/// Minimum time between two rounds of urgent updates.
const SPREAD_INTERVAL: Duration = Duration::from_millis(100);

impl Membership {
    /// Sends urgent updates at once, within their rate limit.
    pub(super) fn poll_urgent_updates(&mut self, now: time::Instant) {
        if !self.updates.has_urgent() || now < self.next_spread_at {
            return;
        }
        self.next_spread_at = now + SPREAD_INTERVAL;
        let alive = self.members().filter(|member| member.is_live());
        let alive = alive.map(|member| member.peers_addr).collect::<Vec<_>>();
        let to = alive.choose_multiple(&mut self.rng, FANOUT_COUNT).copied().collect::<Vec<_>>();
        for addr in to {
            if !self.updates.has_urgent() || !self.spread_budget.take(now) {
                return;
            }
            self.send(addr, Kind::Spread, 0);
        }
    }

    pub(super) fn push_update(&mut self, topic: Topic, urgency: Urgency) {
        let count = self.members.len() + 1;
        self.updates.push(topic, urgency, count);
    }

    /// Sends a claim to the member that it is about.
    pub(super) fn send_claim(&mut self, to: net::SocketAddr, claim: Member) {
        let message = Message {
            kind: Kind::Spread,
            seq: 0,
            sender: self.local.clone(),
            members: vec![claim],
            leaving_targets: Vec::new(),
        };
        self.outbox.push(Envelope { to, message });
    }

    pub(super) fn send(&mut self, to: net::SocketAddr, kind: Kind, seq: u64) {
        let message = self.build_message(kind, seq, None, 0);
        self.outbox.push(Envelope { to, message });
    }

    /// Sends a ping or its acknowledgement. It includes the state of the receiver, if that isn't
    /// alive, and a few known members in turn.
    pub(super) fn send_probe(
        &mut self,
        to: net::SocketAddr,
        kind: Kind,
        seq: u64,
        receiver: Option<&Name>,
    ) {
        let message = self.build_message(kind, seq, receiver, REFRESH_COUNT);
        self.outbox.push(Envelope { to, message });
    }

    pub(super) fn build_message(
        &mut self,
        kind: Kind,
        seq: u64,
        receiver: Option<&Name>,
        refresh: usize,
    ) -> Message {
        let mut members = Vec::new();
        let claimed = receiver.and_then(|name| self.members.get(name));
        if let Some(entry) = claimed.filter(|entry| entry.member.status != Status::Alive) {
            members.push(entry.member.clone());
        }
        let mut leaving_targets = Vec::new();
        let (known, targets) = (&self.members, &self.leaving_targets);
        // An update about the sender takes no space, as its state is part of each datagram.
        let topics = self.updates.take(|topic| match topic {
            Topic::Member(name) => known.get(name).map_or(0, |entry| entry.member.size_bytes()),
            Topic::Target(name) => LeavingTarget::FIXED_BYTES + name.len(),
        });
        for topic in topics {
            match topic {
                Topic::Member(name) => {
                    members.extend(known.get(&name).map(|entry| entry.member.clone()));
                }
                Topic::Target(name) => {
                    let incarnation = targets.get(&name).copied().unwrap_or(0);
                    leaving_targets.push(LeavingTarget { name, incarnation });
                }
            }
        }
        if members.len() < refresh {
            members.extend(self.next_to_refresh(refresh - members.len()));
        }
        Message { kind, seq, sender: self.local.clone(), members, leaving_targets }
    }

    /// Returns the next `count` known members in the order of their names, starting over at the
    /// end.
    pub(super) fn next_to_refresh(&mut self, count: usize) -> Vec<Member> {
        let from = (ops::Bound::Excluded(&self.refresh_after), ops::Bound::Unbounded);
        let next = self.members.range::<Name, _>(from).take(count);
        let next = next.map(|(_, entry)| entry.member.clone()).collect::<Vec<_>>();
        self.refresh_after = next.last().map_or(Name::from(""), |member| member.id.name.clone());
        next
    }
}
