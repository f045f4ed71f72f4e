//! Datagrams to send, and the news that fills them.

use std::net;
use std::ops;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time;

use super::{Envelope, Kind, LeavingTarget, Member, Membership, Message, Status, Topic, Urgency};
use crate::ids::Name;

/// Members to whom urgent news goes at once.
const FANOUT_COUNT: usize = 3;
/// Known members that fill each probe, in turn, so that lost news is made good.
const REFRESH_COUNT: usize = 2;
/// Time between two rounds of urgent news.
const SPREAD_INTERVAL: Duration = Duration::from_millis(100);

impl Membership {
    /// Sends urgent news at once, within its budget.
    pub(super) fn poll_news(&mut self, now: time::Instant) {
        if !self.news.has_urgent() || now < self.next_spread_at {
            return;
        }
        self.next_spread_at = now + SPREAD_INTERVAL;
        let alive = self.members().filter(|member| member.is_live());
        let alive = alive.map(|member| member.peers_addr).collect::<Vec<_>>();
        let to = alive.choose_multiple(&mut self.rng, FANOUT_COUNT).copied().collect::<Vec<_>>();
        for addr in to {
            if !self.news.has_urgent() || !self.spread_budget.take(now) {
                return;
            }
            self.send(addr, Kind::Spread, 0);
        }
    }

    pub(super) fn push_news(&mut self, topic: Topic, urgency: Urgency) {
        let count = self.members.len() + 1;
        self.news.push(topic, urgency, count);
    }

    /// Tells a member what is claimed of it.
    pub(super) fn tell_claim(&mut self, to: net::SocketAddr, claim: Member) {
        let message = Message {
            kind: Kind::Spread,
            seq: 0,
            sender: self.me.clone(),
            members: vec![claim],
            leaving_targets: Vec::new(),
        };
        self.outbox.push(Envelope { to, message });
    }

    pub(super) fn send(&mut self, to: net::SocketAddr, kind: Kind, seq: u64) {
        let message = self.fill(kind, seq, None, 0);
        self.outbox.push(Envelope { to, message });
    }

    /// Sends a ping or its answer: with what is thought of the receiver, if it isn't alive, and a
    /// few known members in turn.
    pub(super) fn send_probe(
        &mut self,
        to: net::SocketAddr,
        kind: Kind,
        seq: u64,
        receiver: Option<&Name>,
    ) {
        let message = self.fill(kind, seq, receiver, REFRESH_COUNT);
        self.outbox.push(Envelope { to, message });
    }

    pub(super) fn fill(
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
        // News of the sender itself needs no room, as its state is part of each datagram.
        let topics = self.news.take(|topic| match topic {
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
        Message { kind, seq, sender: self.me.clone(), members, leaving_targets }
    }

    /// Known members in turn.
    pub(super) fn next_to_refresh(&mut self, count: usize) -> Vec<Member> {
        let from = (ops::Bound::Excluded(&self.refresh_after), ops::Bound::Unbounded);
        let next = self.members.range::<Name, _>(from).take(count);
        let next = next.map(|(_, entry)| entry.member.clone()).collect::<Vec<_>>();
        self.refresh_after = next.last().map_or(Name::from(""), |member| member.id.name.clone());
        next
    }
}
