//! The event queue and the simulated processes, targets and network.

use std::cmp;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync;
use std::time::Duration;

use gentianhinge_core::dispatch::{TargetLoad, TargetSpec};
use gentianhinge_core::ids::{Name, RequestId, RouterId};
use gentianhinge_core::table::{Class, Limits, Table, Team};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time;

use crate::node::{Node, TICK_INTERVAL};
use crate::oracle::{Oracle, TeamSample};
use crate::script::{Action, Setup};
use crate::session::Message;
use crate::target::{Attempt, Target};
use crate::work::{Backlog, CallerRequest};

/// Interval at which the teams' service is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum Event {
    /// An event of one process; deferred while the process is frozen.
    Node { node: usize, id: RouterId, node_event: NodeEvent },
    /// The end of a pause.
    Thaw { node: usize, until: Duration },
    /// A target has produced the last token of an attempt.
    TargetDone(RequestId),
    /// An action of the script.
    Action(Action),
    /// The teams' service is sampled.
    Sample,
}

/// An event of one process.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// The periodic timer fires.
    Tick,
    /// A report is due.
    Flush,
    /// A message arrives.
    Message { from: usize, message: Message },
    /// A caller sends a request.
    Submit { team: usize, class: usize, once: bool },
    /// An attempt's answer is complete.
    Finished(RequestId),
    /// The target failed during the attempt.
    Lost { id: RequestId, delivered_tokens: u32 },
    /// The connection to the target failed.
    ConnectFailed(RequestId),
    /// A request whose connection failed is queued again.
    Retry(usize),
    /// A notice that another process has shut down gracefully.
    PeerLeft { peer: usize, router: RouterId },
    /// A notice that a target is leaving.
    Leaving { target: usize, incarnation: u64 },
    /// A target's load, or none if the target is unreachable.
    Load { target: usize, load: Option<TargetLoad> },
    /// A changed table arrives.
    Table(sync::Arc<Table>),
}

#[derive(Debug)]
struct Scheduled {
    at: Duration,
    seq: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.seq == other.seq
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> cmp::Ordering {
        // Reversed: `BinaryHeap` pops the greatest item, which must be the earliest.
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

/// State of one run.
#[derive(Debug)]
pub struct World {
    pub setup: Setup,
    pub now: Duration,
    pub rng: SmallRng,
    pub cell: Name,
    pub target_specs: Vec<TargetSpec>,
    pub table: sync::Arc<Table>,
    pub nodes: Vec<Node>,
    pub targets: Vec<Target>,
    pub requests: Vec<CallerRequest>,
    /// Index of the caller's request, by the number of the attempt.
    pub attempt_requests: Vec<usize>,
    pub attempts: BTreeMap<RequestId, Attempt>,
    pub backlogs: Vec<Backlog>,
    pub cuts: BTreeSet<(usize, usize)>,
    /// Messages held back by a cut: sender, receiver, incarnation of the receiver, message.
    pub held_messages: Vec<(usize, usize, RouterId, Message)>,
    /// Arrival time of the last message by sender and receiver, which keeps messages in order.
    pub last_arrival: BTreeMap<(usize, usize), Duration>,
    pub oracle: Oracle,
    started_at: time::Instant,
    queue: BinaryHeap<Scheduled>,
    next_seq: u64,
    last_number: u64,
}

impl World {
    /// Creates the initial state of a script; the runtime's clock must be paused.
    pub fn new(setup: &Setup) -> World {
        let table = sync::Arc::new(table_of(setup));
        let mut world = World {
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(setup.seed),
            cell: "model".into(),
            target_specs: (0..setup.target_count).map(|i| spec_of(setup, i)).collect(),
            nodes: Vec::new(),
            targets: initial_targets(setup),
            requests: Vec::new(),
            attempt_requests: Vec::new(),
            attempts: BTreeMap::new(),
            backlogs: Vec::new(),
            cuts: BTreeSet::new(),
            held_messages: Vec::new(),
            last_arrival: BTreeMap::new(),
            oracle: Oracle::new(setup),
            started_at: time::Instant::now(),
            queue: BinaryHeap::new(),
            next_seq: 0,
            last_number: 1,
            setup: setup.clone(),
            table,
        };
        for index in 0..setup.router_count {
            let id = RouterId::new(format!("r{}", index + 1), world.unique_number());
            world.nodes.push(Node::new(
                id,
                sync::Arc::clone(&world.table),
                setup.report_interval,
                world.started_at,
            ));
        }
        for index in 0..setup.router_count {
            world.start_ticks(index);
        }
        world.schedule(SAMPLE_INTERVAL, Event::Sample);
        world
    }

    /// Returns a number that is unique in the run.
    pub fn unique_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The simulated time as an instant, for the core.
    pub fn instant(&self) -> time::Instant {
        self.started_at + self.now
    }

    /// Schedules an event after a delay.
    pub fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    /// Schedules an event at a time since the start, or now if that has passed.
    pub fn schedule_at(&mut self, at: Duration, event: Event) {
        self.next_seq += 1;
        self.queue.push(Scheduled { at: at.max(self.now), seq: self.next_seq, event });
    }

    /// Schedules an event for the current incarnation of a process; a later one doesn't get it.
    pub fn schedule_node(&mut self, after: Duration, node: usize, node_event: NodeEvent) {
        let id = self.nodes[node].id.clone();
        self.schedule(after, Event::Node { node, id, node_event });
    }

    /// Starts a process's timer with a random phase.
    pub fn start_ticks(&mut self, node: usize) {
        let phase = self.rng.random_range(Duration::ZERO..TICK_INTERVAL);
        self.schedule_node(phase, node, NodeEvent::Tick);
    }

    /// Draws a one-way delay between the script's delay and twice that.
    pub fn random_delay(&mut self) -> Duration {
        let delay = self.setup.delay;
        self.rng.random_range(delay..=delay * 2)
    }

    /// Handles all events of a time span, and advances the runtime's paused clock with them.
    pub async fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|next| next.at <= end) {
            let Some(next) = self.queue.pop() else { break };
            self.advance_to(next.at).await;
            self.handle(next.event);
        }
        self.advance_to(end).await;
    }

    async fn advance_to(&mut self, at: Duration) {
        if at > self.now {
            time::advance(at - self.now).await;
        }
        let waiting = self.nodes.iter().filter(|node| node.is_running());
        let waiting = waiting.map(Node::waiting_count).sum::<usize>() > 0;
        self.oracle.record_interval(self.now, at, waiting, &self.targets);
        self.now = at;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Node { node, ref id, .. } if self.nodes[node].id != *id => self.reset(&event),
            Event::Node { node, .. } if !self.nodes[node].up => self.reset(&event),
            Event::Node { node, .. } if self.nodes[node].frozen_until.is_some() => {
                self.nodes[node].deferred_events.push(event);
            }
            Event::Node { node, node_event, .. } => self.handle_node_event(node, node_event),
            Event::Thaw { node, until } => self.thaw(node, until),
            Event::TargetDone(id) => self.target_done(id),
            Event::Action(action) => self.apply_action(&action),
            Event::Sample => {
                self.sample();
                self.schedule(SAMPLE_INTERVAL, Event::Sample);
            }
        }
    }

    fn handle_node_event(&mut self, node: usize, node_event: NodeEvent) {
        let now = self.instant();
        if self.nodes[node].pause_detector.check(now) {
            self.resume_after_pause(node);
        }
        match node_event {
            NodeEvent::Tick => {
                self.tick(node);
                self.schedule_node(TICK_INTERVAL, node, NodeEvent::Tick);
            }
            NodeEvent::Flush => self.flush(node),
            NodeEvent::Message { from, message } => self.receive(node, from, message),
            NodeEvent::Submit { team, class, once } => self.submit(node, team, class, once),
            NodeEvent::Finished(id) => self.answer_complete(node, id),
            NodeEvent::Lost { id, delivered_tokens } => {
                self.target_lost(node, id, delivered_tokens)
            }
            NodeEvent::ConnectFailed(id) => self.connect_failed(node, id),
            NodeEvent::Retry(request) => self.retry(node, request),
            NodeEvent::PeerLeft { peer, router } => self.nodes[node].remove_peer(peer, &router),
            NodeEvent::Leaving { target, incarnation } => {
                self.apply_leaving(node, target, incarnation);
            }
            NodeEvent::Load { target, load } => self.apply_load(node, target, load),
            NodeEvent::Table(table) => self.apply_table(node, table),
        }
    }

    /// Ends a pause: handles the deferred events, with the timer randomly first or last.
    fn thaw(&mut self, node: usize, until: Duration) {
        if self.nodes[node].frozen_until != Some(until) {
            return;
        }
        self.nodes[node].frozen_until = None;
        self.nodes[node].thawed_at = self.now;
        let mut deferred_events = std::mem::take(&mut self.nodes[node].deferred_events);
        let is_tick =
            |event: &Event| matches!(event, Event::Node { node_event: NodeEvent::Tick, .. });
        if self.rng.random_bool(0.5) {
            deferred_events.sort_by_key(|event| is_tick(event));
        } else {
            deferred_events.sort_by_key(|event| !is_tick(event));
        }
        for event in deferred_events {
            self.schedule(Duration::ZERO, event);
        }
    }

    fn sample(&mut self) {
        let teams = self.setup.teams.iter();
        let weights = teams.map(|team| self.table.weight(&team.name));
        let samples = weights.map(|weight| TeamSample { weight, ..TeamSample::default() });
        let mut samples = samples.collect::<Vec<_>>();
        for node in self.nodes.iter().filter(|node| node.is_running()) {
            for ((team, _), count) in &node.waiting {
                samples[*team].waiting_count += count;
            }
        }
        for attempt in self.attempts.values().filter(|attempt| attempt.started_at.is_some()) {
            let request = &self.requests[attempt.request];
            let price = self.setup.classes[request.class].price_ratio;
            let sample = &mut samples[request.team];
            sample.running_count += 1;
            sample.running_cost += f64::from(attempt.delivered_tokens(self.now)) * price;
        }
        let roles = self.nodes.iter().filter_map(|node| node.role.as_ref());
        let dispatchers = roles.filter(|role| !role.members.is_empty()).count();
        self.oracle.sample(self.now, &samples, dispatchers);
    }
}

fn initial_targets(setup: &Setup) -> Vec<Target> {
    (0..setup.target_count).map(|i| Target::new(i, setup.slots, Duration::ZERO)).collect()
}

fn table_of(setup: &Setup) -> Table {
    let mut table = Table::default();
    for team in &setup.teams {
        let name = Name::from(team.name.as_str());
        let max_waiting_requests = team.max_waiting_requests;
        let row = Team {
            name: name.clone(),
            weight: team.weight,
            key_hashes: Vec::new(),
            classes: Vec::new(),
            limits: Limits { max_waiting_requests, ..Limits::default() },
        };
        table.teams.insert(name, row);
    }
    for class in &setup.classes {
        let name = Name::from(class.name.as_str());
        let (price_ratio, max_wait) = (class.price_ratio, class.max_wait);
        table.classes.insert(name.clone(), Class { name, price_ratio, max_wait });
    }
    table
}

fn spec_of(setup: &Setup, index: usize) -> TargetSpec {
    TargetSpec {
        name: format!("t{}", index + 1).into(),
        zone: "zone".into(),
        max_slots: setup.slots,
        lookahead_slots: setup.lookahead_slots,
    }
}
