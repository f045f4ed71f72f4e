//! A script's actions on processes, targets, the network and the table.

use std::sync;
use std::time::Duration;

use gentianhinge_core::dispatch::TargetLoad;
use gentianhinge_core::ids::{Name, RequestId, RouterId};
use gentianhinge_core::table::Table;
use rand::Rng;

use crate::node::Node;
use crate::script::{Action, Load, Nodes};
use crate::session::Message;
use crate::target::Target;
use crate::work::{Backlog, RequestOutcome};
use crate::world::{Event, NodeEvent, World};

/// Longest delay until a router is notified of a leaving target or of a changed table.
///
/// The host list lags by up to this much; gossip is faster. Leaving targets must be avoided within
/// 3 s and table edits applied within 4 s, so both bounds are tested with this delay.
pub const MAX_NOTICE_DELAY: Duration = Duration::from_millis(2500);
/// Delay between the measurement of a target's load and its arrival at a node.
const LOAD_DELAY: Duration = Duration::from_millis(500);

impl World {
    /// Applies an action.
    pub fn apply_action(&mut self, action: &Action) {
        match action {
            Action::Backlog(load) => self.set_backlogs(load),
            Action::Submit { load, once } => self.submit_all(load, *once),
            Action::Flood { load, duration } => self.submit_at_rate(load, *duration),
            Action::Cut(left, right) => self.cut(left, right),
            Action::Heal => self.heal(),
            Action::Freeze(nodes, span) => self.for_each(nodes, |w, node| w.freeze(node, *span)),
            Action::Kill(nodes) => self.for_each(nodes, World::kill),
            Action::Restart(nodes) => self.for_each(nodes, World::restart),
            Action::Drain(nodes) => self.for_each(nodes, World::drain),
            Action::Leave(target) => self.start_leaving(*target),
            Action::Crash(target) => self.crash(*target),
            Action::Return(target) => self.return_target(*target),
            Action::Edit { team, weight } => self.edit_weight(team, *weight),
            Action::Measure => self.oracle.start_window(self.now),
            // The run loop handles these two.
            Action::Run(_) | Action::Expect(_) => {}
        }
    }

    fn for_each(&mut self, nodes: &Nodes, mut apply: impl FnMut(&mut World, usize)) {
        let all = self.nodes.iter().enumerate();
        let indices = match nodes {
            Nodes::Routers(indices) => indices.clone(),
            Nodes::Dispatcher => {
                let holders = all.filter(|(_, node)| {
                    node.is_running()
                        && node.role.as_ref().is_some_and(|role| !role.members.is_empty())
                });
                holders.map(|(index, _)| index).collect()
            }
            Nodes::Dead => all.filter(|(_, node)| !node.up).map(|(index, _)| index).collect(),
        };
        indices.into_iter().for_each(|node| apply(self, node));
    }

    fn team_and_class(&self, load: &Load) -> (usize, usize) {
        let team = self.setup.teams.iter().position(|team| team.name == load.team);
        let class = load.class.as_ref();
        let class =
            class.and_then(|name| self.setup.classes.iter().position(|class| class.name == *name));
        (team.expect("the parser accepts only known teams"), class.unwrap_or(0))
    }

    fn set_backlogs(&mut self, load: &Load) {
        let (team, class) = self.team_and_class(load);
        for &node in &load.routers {
            let same =
                |other: &Backlog| (other.node, other.team, other.class) == (node, team, class);
            self.backlogs.retain(|other| !same(other));
            self.backlogs.push(Backlog { node, team, class, count: load.count });
            self.refill_backlogs(node);
        }
    }

    fn submit_all(&mut self, load: &Load, once: bool) {
        let (team, class) = self.team_and_class(load);
        for &node in &load.routers {
            for _ in 0..load.count {
                let node_event = NodeEvent::Submit { team, class, once };
                self.schedule_node(Duration::ZERO, node, node_event);
            }
        }
    }

    fn submit_at_rate(&mut self, load: &Load, duration: Duration) {
        let (team, class) = self.team_and_class(load);
        let count = (f64::from(load.count) * duration.as_secs_f64()) as u32;
        for &node in &load.routers {
            for i in 0..count {
                let after = duration * i / count;
                self.schedule_node(after, node, NodeEvent::Submit { team, class, once: false });
            }
        }
    }

    fn cut(&mut self, left: &[usize], right: &[usize]) {
        let pairs = left.iter().flat_map(|a| right.iter().map(move |b| (*a, *b)));
        let pairs = pairs.filter(|(a, b)| a != b).map(|(a, b)| (a.min(b), a.max(b)));
        self.cuts.extend(pairs);
        self.record_lost_dispatchers();
    }

    fn heal(&mut self) {
        self.cuts.clear();
        for (from, to, id, message) in std::mem::take(&mut self.held_messages) {
            if self.nodes[to].id == id {
                self.send(from, to, message);
            }
        }
    }

    fn freeze(&mut self, node: usize, span: Duration) {
        if !self.nodes[node].up {
            return;
        }
        let until = self.now + span;
        let old = self.nodes[node].frozen_until;
        let until = old.map_or(until, |old| old.max(until));
        self.nodes[node].frozen_until = Some(until);
        self.schedule_at(until, Event::Thaw { node, until });
        self.record_lost_dispatchers();
    }

    fn kill(&mut self, node: usize) {
        if !self.nodes[node].up {
            return;
        }
        self.nodes[node].up = false;
        self.nodes[node].died_at = self.now;
        self.nodes[node].frozen_until = None;
        self.record_lost_dispatchers();
        self.nodes[node].deferred_events.clear();
        self.nodes[node].role = None;
        self.nodes[node].client = None;
        self.nodes[node].waiting.clear();
        let own = self.attempts.iter().filter(|(_, attempt)| attempt.node == node);
        for id in own.map(|(id, _)| *id).collect::<Vec<RequestId>>() {
            // The target cancels the request when the connection closes.
            if let Some(attempt) = self.remove_attempt(id) {
                self.start_queued(attempt.target);
            }
        }
        let open = self.requests.iter_mut().filter(|request| request.node == node);
        for request in open.filter(|request| request.outcome.is_none()) {
            request.outcome = Some(RequestOutcome::RouterLost);
        }
    }

    fn restart(&mut self, node: usize) {
        self.kill(node);
        let id = RouterId::new(self.nodes[node].id.name.clone(), self.unique_number());
        // A new process has the current table from the log, but its host list lags.
        let table = sync::Arc::clone(&self.table);
        self.nodes[node] = Node::new(id, table, self.setup.report_interval, self.instant());
        self.nodes[node].thawed_at = self.now;
        for target in 0..self.targets.len() {
            self.notify_leaving(node, target);
        }
        self.start_ticks(node);
        self.refill_backlogs(node);
    }

    fn drain(&mut self, node: usize) {
        self.nodes[node].draining = true;
        // The daemon also gives up its roles before its peers are notified.
        self.tick(node);
    }

    /// Ends a draining process once all its requests are answered and another node has its role.
    ///
    /// It may keep the role if all live peers are draining.
    pub fn exit_if_drained(&mut self, index: usize) {
        let node = &self.nodes[index];
        let has_successor = node.live_peers(self.now).any(|(_, peer)| !peer.draining);
        let request_count = node.router.request_count() + node.retrying_count;
        if !node.draining || request_count > 0 || (node.role.is_some() && has_successor) {
            return;
        }
        let unanswered = self.requests.iter().filter(|request| request.node == index);
        let unanswered_count = unanswered.filter(|request| request.outcome.is_none()).count();
        self.oracle.on_exit(self.now, index, unanswered_count);
        let now = self.now;
        let node = &mut self.nodes[index];
        node.exited = true;
        node.up = false;
        node.died_at = now;
        if let Some(client) = node.client.take() {
            self.send(index, client.to, Message::Closed { session: client.session });
        }
        self.notify_exit(index);
    }

    /// Notifies the other processes of a graceful shutdown, as the daemon's membership does.
    fn notify_exit(&mut self, index: usize) {
        let router = self.nodes[index].id.clone();
        for other in 0..self.nodes.len() {
            if other != index && !self.is_cut(index, other) {
                let delay = self.random_delay();
                let node_event = NodeEvent::PeerLeft { peer: index, router: router.clone() };
                self.schedule_node(delay, other, node_event);
            }
        }
    }

    fn start_leaving(&mut self, target: usize) {
        if self.targets[target].leaving_since.is_none() {
            self.targets[target].leaving_since = Some(self.now);
        }
        for node in 0..self.nodes.len() {
            self.notify_leaving(node, target);
        }
    }

    fn crash(&mut self, target: usize) {
        if !self.targets[target].up {
            return;
        }
        self.targets[target].up = false;
        let lost = self.attempts.iter().filter(|(_, attempt)| attempt.target == target);
        for id in lost.map(|(id, _)| *id).collect::<Vec<RequestId>>() {
            let Some(attempt) = self.remove_attempt(id) else { continue };
            let delivered_tokens = attempt.delivered_tokens(self.now);
            let delay = self.random_delay();
            self.schedule_node(delay, attempt.node, NodeEvent::Lost { id, delivered_tokens });
        }
    }

    fn return_target(&mut self, target: usize) {
        self.crash(target);
        let mut fresh = Target::new(target, self.setup.slots, self.now);
        fresh.incarnation = self.targets[target].incarnation + 1;
        self.targets[target] = fresh;
    }

    /// Schedules the notice that a target is leaving, with a random delay.
    fn notify_leaving(&mut self, node: usize, target: usize) {
        let Some(since) = self.targets[target].leaving_since else { return };
        let lag = self.rng.random_range(Duration::ZERO..MAX_NOTICE_DELAY);
        let after = lag.saturating_sub(self.now - since);
        let incarnation = self.targets[target].incarnation;
        self.schedule_node(after, node, NodeEvent::Leaving { target, incarnation });
    }

    /// Handles the notice that a target is leaving, which is final for that incarnation.
    pub fn apply_leaving(&mut self, index: usize, target: usize, incarnation: u64) {
        let node = &mut self.nodes[index];
        let known = node.leaving.entry(target).or_default();
        *known = incarnation.max(*known);
        if let Some(role) = &mut node.role {
            role.dispatcher.target_leaving(&self.target_specs[target].name, incarnation);
        }
        self.poll(index);
    }

    /// Requests the load of all targets, which arrives after `LOAD_DELAY`.
    ///
    /// `leaving` is always false, so that a report that contradicts an earlier notice is tested.
    pub fn request_loads(&mut self, index: usize) {
        self.nodes[index].load_requested_at = self.now;
        for target in 0..self.targets.len() {
            let state = &self.targets[target];
            let load = TargetLoad {
                at: self.instant(),
                incarnation: state.incarnation,
                running_count: state.busy_count() as u32,
                waiting_count: state.queue.len() as u32,
                max_running_count: self.setup.slots,
                leaving: false,
            };
            let load = state.up.then_some(load);
            self.schedule_node(LOAD_DELAY, index, NodeEvent::Load { target, load });
        }
    }

    /// Passes a target's load, or its absence, to the node's dispatcher.
    pub fn apply_load(&mut self, index: usize, target: usize, load: Option<TargetLoad>) {
        let now = self.instant();
        let Some(role) = &mut self.nodes[index].role else { return };
        let name = &self.target_specs[target].name;
        match load {
            Some(load) => role.dispatcher.set_target_load(name, load, now),
            None => role.dispatcher.target_failed(name, now),
        }
        self.poll(index);
    }

    fn edit_weight(&mut self, team: &str, weight: f64) {
        let mut table = Table::clone(&self.table);
        if let Some(row) = table.teams.get_mut(&Name::from(team)) {
            row.weight = weight;
        }
        self.table = sync::Arc::new(table);
        for node in 0..self.nodes.len() {
            let after = self.rng.random_range(Duration::ZERO..MAX_NOTICE_DELAY);
            let table = sync::Arc::clone(&self.table);
            self.schedule_node(after, node, NodeEvent::Table(table));
        }
    }

    /// Applies a changed table to a node.
    pub fn apply_table(&mut self, index: usize, table: sync::Arc<Table>) {
        let node = &mut self.nodes[index];
        node.table = sync::Arc::clone(&table);
        node.router.set_table(sync::Arc::clone(&table));
        if let Some(role) = &mut node.role {
            role.dispatcher.set_table(table);
        }
        self.poll(index);
    }

    /// Records the routers that a fault has separated from their dispatcher.
    fn record_lost_dispatchers(&mut self) {
        let mut disconnected = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(client) = node.client.as_ref().filter(|_| node.is_running()) else { continue };
            if self.is_cut(index, client.to) || !self.nodes[client.to].is_running() {
                disconnected.push(index);
            }
        }
        self.oracle.on_dispatcher_lost(self.now, disconnected);
    }
}
