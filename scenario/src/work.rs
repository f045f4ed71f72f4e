//! Callers' requests and their attempts at targets.

use std::time::Duration;

use gentianhinge_core::code::{Ran, ResultCode};
use gentianhinge_core::ids::{Flow, Name, RequestId, RouterId};
use gentianhinge_core::message::PreferredTargets;
use gentianhinge_core::router::{Start, Submit, SubmitError};
use rand::Rng;

use crate::oracle::UsedGrant;
use crate::target::{Attempt, Slot, TOKEN_TIME};
use crate::world::{Event, NodeEvent, World};

/// Size of each waiting request in bytes.
const REQUEST_BYTES: u64 = 1000;
/// Delay before a request whose connection failed is queued again.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Index of the team.
    pub team: usize,
    /// Index of the class.
    pub class: usize,
    /// Index of the router that received it.
    pub node: usize,
    /// Whether it may run at most once.
    pub once: bool,
    /// Number of tokens in the complete answer.
    pub cost_tokens: u32,
    /// Latest start of the current attempt.
    pub deadline: Duration,
    /// Number of times that a target received it.
    pub run_count: u32,
    /// Number of times that its target failed while it ran.
    pub lost_count: u32,
    /// The end of the request; absent while it is open.
    pub outcome: Option<RequestOutcome>,
}

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller received this result code.
    Answered(ResultCode),
    /// The router process ended first.
    RouterLost,
}

impl RequestOutcome {
    /// Whether the answer states that the request wasn't executed.
    pub fn is_not_executed(self) -> bool {
        matches!(self, RequestOutcome::Answered(code) if code.ran() == Ran::No)
    }
}

/// A number of requests of one team and class that is kept waiting at one router.
#[derive(Clone, Debug)]
pub struct Backlog {
    /// Index of the router.
    pub node: usize,
    /// Index of the team.
    pub team: usize,
    /// Index of the class.
    pub class: usize,
    /// Number of requests to keep waiting.
    pub count: u32,
}

impl World {
    /// Submits a new request of random cost to a router.
    pub fn submit(&mut self, node: usize, team: usize, class: usize, once: bool) {
        let costs = &self.setup.teams[team];
        let (min_tokens, max_tokens) = (costs.min_cost_tokens, costs.max_cost_tokens);
        // Log-uniform: each doubling of the cost is equally likely.
        let exponent = self.rng.random_range(0.0..=1.0);
        let cost =
            f64::from(min_tokens) * (f64::from(max_tokens) / f64::from(min_tokens)).powf(exponent);
        let request = CallerRequest {
            team,
            class,
            node,
            once,
            cost_tokens: (cost.round() as u32).clamp(min_tokens, max_tokens),
            deadline: self.now + self.setup.classes[class].max_wait,
            run_count: 0,
            lost_count: 0,
            outcome: None,
        };
        self.requests.push(request);
        let request = self.requests.len() - 1;
        if self.nodes[node].draining {
            self.answer(request, ResultCode::Draining);
        } else if let Err(err) = self.enqueue(request) {
            self.answer(request, err.code());
        }
    }

    /// Queues a request, or its next attempt, at its router.
    fn enqueue(&mut self, request: usize) -> Result<(), SubmitError> {
        let id = RequestId(self.attempt_requests.len() as u64);
        let now = self.instant();
        let CallerRequest { team, class, node, .. } = self.requests[request];
        let team_name = self.setup.teams[team].name.as_str();
        let class_name = self.setup.classes[class].name.as_str();
        let submit = Submit {
            id,
            cell: self.cell.clone(),
            flow: Flow::new(team_name, class_name),
            size_bytes: REQUEST_BYTES,
            preferred_targets: PreferredTargets::new(),
        };
        self.nodes[node].router.submit(submit, now)?;
        self.attempt_requests.push(request);
        // Each attempt has the class's full wait.
        self.requests[request].deadline = self.now + self.setup.classes[class].max_wait;
        *self.nodes[node].waiting.entry((team, class)).or_default() += 1;
        self.schedule_flush(node);
        Ok(())
    }

    /// Ends a request with a result code.
    fn answer(&mut self, request: usize, code: ResultCode) {
        let outcome = RequestOutcome::Answered(code);
        self.requests[request].outcome = Some(outcome);
        self.oracle.on_outcome(&self.requests[request], outcome);
    }

    /// Submits requests until the backlogs of a router are full again.
    pub fn refill_backlogs(&mut self, node: usize) {
        if !self.nodes[node].is_running() || self.nodes[node].draining {
            return;
        }
        for i in 0..self.backlogs.len() {
            let Backlog { node: at, team, class, count } = self.backlogs[i];
            let waiting = self.nodes[node].waiting.get(&(team, class)).copied().unwrap_or(0);
            let missing_count =
                if at == node { (count as usize).saturating_sub(waiting) } else { 0 };
            for _ in 0..missing_count {
                self.submit(node, team, class, false);
            }
        }
    }

    fn decrement_waiting(&mut self, request: usize) {
        let CallerRequest { team, class, node, .. } = self.requests[request];
        let count = self.nodes[node].waiting.entry((team, class)).or_default();
        *count = count.saturating_sub(1);
    }

    /// Sends a granted request to its target.
    pub fn start_attempt(
        &mut self,
        node: usize,
        session: u64,
        sent: Duration,
        dispatcher: &RouterId,
        start: &Start,
    ) {
        let request = self.attempt_requests[start.id.0 as usize];
        let target = self.target_index(&start.target);
        self.decrement_waiting(request);
        let late_by = self.now.saturating_sub(self.requests[request].deadline);
        let thawed_ago = self.now.saturating_sub(self.nodes[node].thawed_at);
        let used = UsedGrant { node, sent, now: self.now, late_by, thawed_ago };
        self.oracle.on_grant(&used, &self.requests[request]);
        self.refill_backlogs(node);
        if !self.targets[target].up {
            let delay = self.random_delay();
            self.schedule_node(delay, node, NodeEvent::ConnectFailed(start.id));
            return;
        }
        let caller = &mut self.requests[request];
        caller.run_count += 1;
        let cost_tokens = caller.cost_tokens;
        let dispatcher = dispatcher.clone();
        let attempt =
            Attempt { request, node, session, dispatcher, target, cost_tokens, started_at: None };
        self.attempts.insert(start.id, attempt);
        self.targets[target].queue.push_back(start.id);
        self.check_start(start.id);
        self.start_queued(target);
    }

    fn target_index(&self, name: &Name) -> usize {
        let found = self.targets.iter().position(|target| target.name == *name);
        found.expect("a grant names a known target")
    }

    fn check_start(&mut self, id: RequestId) {
        let attempt = &self.attempts[&id];
        let target = &self.targets[attempt.target];
        self.oracle.on_start(self.now, &self.requests[attempt.request], attempt, target);
        let roles = self.nodes.iter().filter_map(|node| node.role.as_ref());
        let Some(role) = roles.into_iter().find(|role| role.id == attempt.dispatcher) else {
            return;
        };
        let is_member = |other: &Attempt| {
            let mut members = role.members.values();
            members.any(|member| member.session == other.session)
        };
        let of_dispatcher = self.attempts.values().filter(|other| {
            other.target == attempt.target && other.dispatcher == role.id && is_member(other)
        });
        let ceiling = (self.setup.slots + self.setup.lookahead_slots) as usize;
        self.oracle.on_ceiling(self.now, of_dispatcher.count(), ceiling, target);
    }

    /// Starts queued attempts in the free slots of a target.
    pub fn start_queued(&mut self, target: usize) {
        let now = self.now;
        while let Some((slot, free_since)) = self.targets[target].longest_free_slot() {
            let Some(id) = self.targets[target].queue.pop_front() else { return };
            self.targets[target].slots[slot] = Slot::Busy(id);
            self.oracle.on_slot_taken(now, free_since);
            let attempt = self.attempts.get_mut(&id).expect("a queued attempt exists");
            attempt.started_at = Some(now);
            let span = TOKEN_TIME * attempt.cost_tokens;
            self.schedule(span, Event::TargetDone(id));
        }
    }

    /// Removes an attempt from its target, and records the cost that it delivered.
    pub fn remove_attempt(&mut self, id: RequestId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.targets[attempt.target].remove(id, self.now);
        let request = &self.requests[attempt.request];
        let price = self.setup.classes[request.class].price_ratio;
        let delivered_cost = f64::from(attempt.delivered_tokens(self.now)) * price;
        self.oracle.on_delivered(request.team, delivered_cost);
        Some(attempt)
    }

    /// Handles the end of an attempt at its target.
    pub fn target_done(&mut self, id: RequestId) {
        let Some(attempt) = self.remove_attempt(id) else { return };
        self.start_queued(attempt.target);
        let delay = self.random_delay();
        self.schedule_node(delay, attempt.node, NodeEvent::Finished(id));
    }

    /// Handles the arrival of the complete answer at the router.
    pub fn answer_complete(&mut self, node: usize, id: RequestId) {
        let request = self.attempt_requests[id.0 as usize];
        let cost = f64::from(self.requests[request].cost_tokens);
        self.nodes[node].router.progress(id, cost);
        self.nodes[node].router.finish(id);
        self.answer(request, ResultCode::Ok);
        self.schedule_flush(node);
    }

    /// Handles the failure of the target during an attempt.
    ///
    /// A repeatable request is queued again if no token was delivered.
    pub fn target_lost(&mut self, node: usize, id: RequestId, delivered_tokens: u32) {
        let request = self.attempt_requests[id.0 as usize];
        self.nodes[node].router.progress(id, f64::from(delivered_tokens));
        self.nodes[node].router.finish(id);
        self.requests[request].lost_count += 1;
        self.schedule_flush(node);
        let is_repeatable = !self.requests[request].once && delivered_tokens == 0;
        if !is_repeatable || self.enqueue(request).is_err() {
            self.answer(request, ResultCode::TargetLost);
        }
    }

    /// Handles a failed connection: the request is queued again after a delay.
    pub fn connect_failed(&mut self, node: usize, id: RequestId) {
        let request = self.attempt_requests[id.0 as usize];
        self.nodes[node].router.fail(id);
        self.schedule_flush(node);
        self.nodes[node].retrying_count += 1;
        self.schedule_node(CONNECT_RETRY_DELAY, node, NodeEvent::Retry(request));
    }

    /// Queues a request again after a failed connection.
    pub fn retry(&mut self, node: usize, request: usize) {
        self.nodes[node].retrying_count -= 1;
        if self.requests[request].outcome.is_none() && self.enqueue(request).is_err() {
            let was_run = self.requests[request].run_count > 0;
            let code = if was_run { ResultCode::TargetLost } else { ResultCode::TargetUnreachable };
            self.answer(request, code);
        }
    }

    /// Ends the requests that have waited beyond their class's longest wait.
    pub fn expire_waiting(&mut self, node: usize) {
        let now = self.instant();
        for id in self.nodes[node].router.expire(now) {
            let request = self.attempt_requests[id.0 as usize];
            self.decrement_waiting(request);
            let was_run = self.requests[request].run_count > 0;
            let code = if was_run { ResultCode::TargetLost } else { ResultCode::WaitExpired };
            self.answer(request, code);
            self.schedule_flush(node);
        }
        self.refill_backlogs(node);
    }

    /// Reports the delivered tokens of running requests to the router.
    pub fn update_progress(&mut self, node: usize) {
        let now = self.now;
        for (id, attempt) in self.attempts.iter().filter(|(_, attempt)| attempt.node == node) {
            let delivered = f64::from(attempt.delivered_tokens(now));
            self.nodes[node].router.progress(*id, delivered);
        }
    }
}
