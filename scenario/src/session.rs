//! Sessions between routers and dispatchers, modelled on those of the daemon.

use std::collections::BTreeMap;
use std::sync;
use std::time::Duration;

use gentianhinge_core::dispatch::Dispatcher;
use gentianhinge_core::ids::RouterId;
use gentianhinge_core::message::{GrantBatch, Report};

use crate::faults::MAX_NOTICE_DELAY;
use crate::node::{Client, Member, Node, Peer, Role, SESSION_TIMEOUT};
use crate::world::{Event, NodeEvent, World};

/// Delay before a report, so that one report covers several changes.
const FLUSH_DELAY: Duration = Duration::from_millis(2);

/// Interval at which a node requests the targets' loads.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time that a new dispatcher waits for reports of the live routers before it grants.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A message between two nodes.
#[derive(Clone, Debug)]
pub enum Message {
    /// A router requests a session.
    Open { session: u64, router: RouterId },
    /// The dispatcher accepts the session.
    Accepted { session: u64, dispatcher: RouterId },
    /// The sender has closed the session, or has no such session.
    Closed { session: u64 },
    /// Heartbeat of either side.
    Ping { session: u64 },
    /// A router's report to its dispatcher.
    Report { session: u64, report: Box<Report> },
    /// A dispatcher's grants to a router.
    Batch { session: u64, sent: Duration, batch: Box<GrantBatch> },
}

impl Message {
    fn session(&self) -> u64 {
        match self {
            Message::Open { session, .. }
            | Message::Accepted { session, .. }
            | Message::Closed { session }
            | Message::Ping { session }
            | Message::Report { session, .. }
            | Message::Batch { session, .. } => *session,
        }
    }
}

impl World {
    /// Sends a message; messages between the same two nodes arrive in order.
    ///
    /// A cut holds the message back until the cut heals, as TCP would.
    pub fn send(&mut self, from: usize, to: usize, message: Message) {
        let id = self.nodes[to].id.clone();
        if self.is_cut(from, to) {
            self.held_messages.push((from, to, id, message));
            return;
        }
        let delay = if from == to { Duration::ZERO } else { self.random_delay() };
        let last = self.last_arrival.get(&(from, to)).copied().unwrap_or_default();
        let at = (self.now + delay).max(last);
        self.last_arrival.insert((from, to), at);
        let node_event = NodeEvent::Message { from, message };
        self.schedule_at(at, Event::Node { node: to, id, node_event });
    }

    /// Whether a cut separates two nodes.
    pub fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a.min(b), a.max(b)))
    }

    /// Answers a message to an ended incarnation with `Closed`, as a TCP reset would.
    ///
    /// Nothing answers while the node has no process.
    pub fn reset(&mut self, event: &Event) {
        let Event::Node { node, node_event: NodeEvent::Message { from, message }, .. } = event
        else {
            return;
        };
        let session = message.session();
        if self.nodes[*node].up && !matches!(message, Message::Closed { .. }) {
            self.send(*node, *from, Message::Closed { session });
        }
    }

    /// Gives up the role and the session, which others may have taken over during the pause.
    pub fn resume_after_pause(&mut self, index: usize) {
        self.release_role(index);
        self.close_session(index);
    }

    /// Does the periodic work of a node.
    pub fn tick(&mut self, index: usize) {
        self.refresh_peers(index);
        self.expire_waiting(index);
        let owner = self.nodes[index].owner(index, &self.cell, self.now);
        self.update_role(index, owner == Some(index));
        self.update_session(index, owner);
        self.send_pings(index);
        if self.now.saturating_sub(self.nodes[index].load_requested_at) >= LOAD_INTERVAL {
            self.request_loads(index);
        }
        self.flush(index);
        self.poll(index);
        self.exit_if_drained(index);
    }

    fn refresh_peers(&mut self, index: usize) {
        for other in 0..self.nodes.len() {
            if other == index || self.is_cut(index, other) || !self.nodes[other].is_running() {
                continue;
            }
            let (id, draining) = (self.nodes[other].id.clone(), self.nodes[other].draining);
            let peer = Peer { id, last_received_at: self.now, draining };
            self.nodes[index].peers.insert(other, peer);
        }
    }

    fn update_role(&mut self, index: usize, is_owner: bool) {
        if !is_owner {
            self.release_role(index);
            return;
        }
        if self.nodes[index].role.is_none() {
            self.nodes[index].role = Some(self.new_role(index));
        }
        let (live_count, listed_count) = self.router_counts(index);
        let now = self.now;
        let Some(role) = &mut self.nodes[index].role else { return };
        role.dispatcher.set_router_counts(live_count, listed_count);
        let silent = role.members.iter();
        let silent = silent.filter(|(_, member)| now - member.last_received_at > SESSION_TIMEOUT);
        let silent = silent.map(|(router, _)| router.clone()).collect::<Vec<_>>();
        for router in silent {
            role.members.remove(&router);
            role.dispatcher.leave(&router);
        }
    }

    fn release_role(&mut self, index: usize) {
        let Some(role) = self.nodes[index].role.take() else { return };
        for member in role.members.values() {
            self.send(index, member.node, Message::Closed { session: member.session });
        }
    }

    fn close_session(&mut self, index: usize) {
        let Some(client) = self.nodes[index].client.take() else { return };
        self.nodes[index].router.end_session(&self.cell);
        self.send(index, client.to, Message::Closed { session: client.session });
    }

    fn new_role(&mut self, index: usize) -> Role {
        let id = RouterId::new(self.nodes[index].id.name.clone(), self.unique_number());
        let until = self.instant() + SETTLE_TIME;
        let node = &self.nodes[index];
        let table = sync::Arc::clone(&node.table);
        let mut dispatcher = Dispatcher::new(id.clone(), self.cell.clone(), table);
        dispatcher.set_targets(&self.target_specs);
        for (target, incarnation) in &node.leaving {
            dispatcher.target_leaving(&self.target_specs[*target].name, *incarnation);
        }
        let peers = node.live_peers(self.now).map(|(_, peer)| peer.id.clone());
        let expected = peers.chain([node.id.clone()]).collect::<Vec<_>>();
        dispatcher.wait_for_reports(&expected, until);
        Role { id, dispatcher, members: BTreeMap::new() }
    }

    /// Number of routers live in this node's view, itself included, and number in the host list,
    /// which lags.
    fn router_counts(&self, index: usize) -> (u32, u32) {
        let live_count = 1 + self.nodes[index].live_peers(self.now).count();
        // A graceful shutdown removes the router from the list at once.
        let is_listed =
            |node: &&Node| node.up || (!node.exited && self.now < node.died_at + MAX_NOTICE_DELAY);
        let listed_count = self.nodes.iter().filter(is_listed).count().max(live_count);
        (live_count as u32, listed_count as u32)
    }

    fn update_session(&mut self, index: usize, owner: Option<usize>) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if let Some(client) = &node.client {
            if Some(client.to) == owner && now - client.last_received_at <= SESSION_TIMEOUT {
                return;
            }
            self.close_session(index);
        }
        let Some(to) = owner else { return };
        let session = self.unique_number();
        self.nodes[index].client =
            Some(Client { to, session, dispatcher: None, last_received_at: now });
        let router = self.nodes[index].id.clone();
        self.send(index, to, Message::Open { session, router });
    }

    fn send_pings(&mut self, index: usize) {
        if let Some(client) = &self.nodes[index].client {
            let (to, session) = (client.to, client.session);
            self.send(index, to, Message::Ping { session });
        }
        let Some(role) = &self.nodes[index].role else { return };
        let members = role.members.values().map(|member| (member.node, member.session));
        for (to, session) in members.collect::<Vec<_>>() {
            self.send(index, to, Message::Ping { session });
        }
    }

    /// Handles a message.
    pub fn receive(&mut self, index: usize, from: usize, message: Message) {
        match message {
            Message::Open { session, router } => self.accept_session(index, from, session, router),
            Message::Accepted { session, dispatcher } => self.accepted(index, session, dispatcher),
            Message::Closed { session } => self.session_closed(index, session),
            Message::Ping { session } => self.note_received(index, session),
            Message::Report { session, report } => self.receive_report(index, session, *report),
            Message::Batch { session, sent, batch } => {
                self.take_batch(index, session, sent, &batch)
            }
        }
    }

    fn accept_session(&mut self, index: usize, from: usize, session: u64, router: RouterId) {
        let now = self.now;
        let Some(role) = &mut self.nodes[index].role else {
            self.send(index, from, Message::Closed { session });
            return;
        };
        role.dispatcher.leave(&router);
        role.dispatcher.join(router.clone());
        role.members.insert(router, Member { node: from, session, last_received_at: now });
        let dispatcher = role.id.clone();
        self.send(index, from, Message::Accepted { session, dispatcher });
    }

    fn accepted(&mut self, index: usize, session: u64, dispatcher: RouterId) {
        let now = self.now;
        let cell = self.cell.clone();
        let node = &mut self.nodes[index];
        let Some(client) = node.client.as_mut().filter(|client| client.session == session) else {
            return;
        };
        client.last_received_at = now;
        client.dispatcher = Some(dispatcher.clone());
        node.router.set_dispatcher(&cell, dispatcher);
        self.flush(index);
    }

    fn session_closed(&mut self, index: usize, session: u64) {
        let cell = self.cell.clone();
        let node = &mut self.nodes[index];
        if node.client.as_ref().is_some_and(|client| client.session == session) {
            node.client = None;
            node.router.end_session(&cell);
        }
        let Some(role) = &mut node.role else { return };
        let member = role.members.iter().find(|(_, member)| member.session == session);
        let Some(router) = member.map(|(router, _)| router.clone()) else { return };
        role.members.remove(&router);
        role.dispatcher.leave(&router);
        self.poll(index);
    }

    fn note_received(&mut self, index: usize, session: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if let Some(client) = node.client.as_mut().filter(|client| client.session == session) {
            client.last_received_at = now;
        }
        let Some(role) = &mut node.role else { return };
        for member in role.members.values_mut().filter(|member| member.session == session) {
            member.last_received_at = now;
        }
    }

    fn receive_report(&mut self, index: usize, session: u64, report: Report) {
        self.note_received(index, session);
        let now = self.instant();
        let Some(role) = &mut self.nodes[index].role else { return };
        if role.members.get(&report.router).is_none_or(|member| member.session != session) {
            return;
        }
        role.dispatcher.report(report, now);
        self.poll(index);
    }

    /// Polls a node's dispatcher, if it has one, and sends the grants.
    pub fn poll(&mut self, index: usize) {
        let now = self.instant();
        let Some(role) = &mut self.nodes[index].role else { return };
        let batches = role.dispatcher.poll(now);
        let members = &role.members;
        let batches = batches.into_iter().filter_map(|(router, batch)| {
            members.get(&router).map(|member| (member.node, member.session, batch))
        });
        let sent = self.now;
        for (to, session, batch) in batches.collect::<Vec<_>>() {
            self.send(index, to, Message::Batch { session, sent, batch: Box::new(batch) });
        }
    }

    /// Passes grants to the router.
    ///
    /// Grants of an older session with the current dispatcher are dropped, since they were lost
    /// with that connection. Grants of other dispatchers are passed on; the router must refuse
    /// them.
    fn take_batch(&mut self, index: usize, session: u64, sent: Duration, batch: &GrantBatch) {
        self.note_received(index, session);
        let client = self.nodes[index].client.as_ref();
        let current = client.is_some_and(|client| client.session == session);
        let dispatcher = client.and_then(|client| client.dispatcher.as_ref());
        if !current && dispatcher == Some(&batch.dispatcher) {
            return;
        }
        let starts = self.nodes[index].router.take_grants(batch);
        for start in starts {
            self.start_attempt(index, session, sent, &batch.dispatcher, &start);
        }
        self.schedule_flush(index);
    }

    /// Schedules a report after `FLUSH_DELAY`, unless one is scheduled already.
    pub fn schedule_flush(&mut self, index: usize) {
        if !std::mem::replace(&mut self.nodes[index].flush_due, true) {
            self.schedule_node(FLUSH_DELAY, index, NodeEvent::Flush);
        }
    }

    /// Reports to the dispatcher, if the node has a session and anything to report.
    pub fn flush(&mut self, index: usize) {
        self.update_progress(index);
        let (instant, cell) = (self.instant(), self.cell.clone());
        let node = &mut self.nodes[index];
        node.flush_due = false;
        let Some(client) = node.client.as_ref().filter(|client| client.dispatcher.is_some()) else {
            return;
        };
        let (to, session) = (client.to, client.session);
        let Some(report) = node.router.take_report(&cell, instant) else { return };
        self.send(index, to, Message::Report { session, report: Box::new(report) });
    }
}
