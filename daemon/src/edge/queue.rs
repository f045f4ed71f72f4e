//! Requests that wait for a target at this router, and the order in which they go.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::report::Hash;
use tokio::sync::{Notify, oneshot};
use tokio::time::{self, Instant};

use super::Context;
use super::state::{Decision, Placement, Refused, RequestSpec};

/// Time between two looks at requests that wait: a small part of the shortest latency target.
const SCAN_INTERVAL: Duration = Duration::from_millis(10);

/// Time to come back in when the queue is full: about that in which all that waits is decided.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Multiple of the time that a look takes after which the next one begins, so that looking leaves
/// most of the processor to requests that are being served.
const SCAN_PAUSE_FACTOR: u32 = 9;

/// Most requests that wait. More have no chance within the longest wait, and looking at them would
/// take the processor from those that are served.
const MAX_WAITING: usize = 64;

/// A request's load at its target; taken back when dropped.
#[derive(Debug)]
pub struct InFlight {
    context: Arc<Context>,
    /// Where the request goes, and why.
    pub placement: Placement,
    unread_tokens: u32,
}

impl InFlight {
    /// Counts the first event: the prompt is read.
    pub fn first_event(&mut self) {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if unread_tokens > 0 {
            self.context.state().load.read(self.placement.hash, unread_tokens);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.context.state().load.end(self.placement.hash, self.unread_tokens);
    }
}

/// What became of the wait.
#[derive(Debug)]
pub enum Admission {
    /// The request goes to a target.
    Send(InFlight),
    /// The request is refused.
    Refuse(Refused),
}

struct Waiting {
    spec: RequestSpec,
    result_sender: oneshot::Sender<Admission>,
}

/// The requests that wait.
pub struct Queue {
    context: Arc<Context>,
    waiting: RefCell<Vec<Waiting>>,
    wake: Notify,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(context: Arc<Context>) -> Queue {
        Queue { context, waiting: RefCell::default(), wake: Notify::new() }
    }

    /// Waits until the request goes to a target or is refused.
    pub async fn admit(&self, spec: RequestSpec) -> Admission {
        if self.is_full() && !self.displace_last(&spec) {
            return self.refuse_when_full(spec.team);
        }
        // Those that wait have been looked at a moment ago.
        let decision = self.context.state().decide(&spec, &self.context.zone, Instant::now());
        if let Some(decision) = decision {
            return self.admission(decision);
        }
        let team = spec.team;
        let (result_sender, admitted) = oneshot::channel();
        self.waiting.borrow_mut().push(Waiting { spec, result_sender });
        self.wake.notify_one();
        admitted.await.unwrap_or_else(|_| self.refuse_when_full(team))
    }

    fn refuse_when_full(&self, team: Hash) -> Admission {
        Admission::Refuse(Refused {
            retry_after: FULL_RETRY_AFTER,
            has_no_target: false,
            standing: self.context.state().shares.standing(team),
            backlog_ms: 0.0,
            mean_backlog_ms: 0.0,
            is_crowded_out: true,
        })
    }

    fn is_full(&self) -> bool {
        self.waiting.borrow().len() >= MAX_WAITING
    }

    /// Gives up the request that goes last, so that the new one can wait; `false` if the new one
    /// would itself go last.
    fn displace_last(&self, spec: &RequestSpec) -> bool {
        let now = Instant::now();
        let mut waiting = self.waiting.borrow_mut();
        let state = self.context.state();
        let ranks = waiting.iter().map(|entry| state.rank(&entry.spec, now));
        let last = ranks.enumerate().max_by_key(|(_, rank)| *rank);
        let Some((at, _)) = last.filter(|(_, rank)| state.rank(spec, now) < *rank) else {
            return false;
        };
        // Dropping its sender refuses it.
        waiting.swap_remove(at);
        true
    }

    /// Looks at the requests that wait from time to time; never returns.
    pub async fn run(self: Rc<Self>) {
        let mut pause = SCAN_INTERVAL;
        loop {
            if self.waiting.borrow().is_empty() {
                self.wake.notified().await;
            }
            time::sleep(pause).await;
            let began_at = std::time::Instant::now();
            self.decide_all();
            pause = (began_at.elapsed() * SCAN_PAUSE_FACTOR).max(SCAN_INTERVAL);
        }
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Decides on all requests that wait, in their order.
    pub fn decide_all(&self) {
        let now = Instant::now();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|entry| !entry.result_sender.is_closed());
        let mut state = self.context.state();
        state.refresh_shares(now);
        waiting.sort_by_cached_key(|entry| state.rank(&entry.spec, now));
        let mut left = Vec::new();
        let mut decided = Vec::new();
        for entry in waiting.drain(..) {
            match state.decide(&entry.spec, &self.context.zone, now) {
                None => left.push(entry),
                Some(decision) => decided.push((entry, decision)),
            }
        }
        drop(state);
        *waiting = left;
        if !waiting.is_empty() {
            self.wake.notify_one();
        }
        drop(waiting);
        for (entry, decision) in decided {
            // A caller that has left in the meantime gives its load back.
            let _ = entry.result_sender.send(self.admission(decision));
        }
    }

    fn admission(&self, decision: Decision) -> Admission {
        match decision {
            Decision::Send(placement) => {
                let unread_tokens = placement.choice.unread_tokens;
                let context = self.context.clone();
                Admission::Send(InFlight { context, placement, unread_tokens })
            }
            Decision::Refuse(refused) => Admission::Refuse(refused),
        }
    }
}
