//! The queue of requests that wait for a target.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::report::Hash;
use tokio::sync::{Notify, oneshot};
use tokio::time::{self, Instant};

use super::spec::{Decision, Placement, Refused, RequestSpec};
use super::{Context, panics};

/// Interval between two scans of the queue: a small part of the shortest latency target.
const SCAN_INTERVAL: Duration = Duration::from_millis(10);

/// `Retry-After` if the queue is full: about the time in which all waiting requests are decided.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Pause after a scan as a multiple of its duration, so that scans leave most of the processor time
/// to requests in progress.
const SCAN_PAUSE_FACTOR: u32 = 9;

/// Maximum number of waiting requests. More of them would time out anyway, and scanning them would
/// take processor time from requests in progress.
const MAX_WAITING: usize = 64;

/// A request sent to a target. It counts as load of the target until dropped.
#[derive(Debug)]
pub struct InFlight {
    context: Arc<Context>,
    /// The chosen target.
    pub placement: Placement,
    unread_tokens: u32,
    sent_at: Instant,
}

impl InFlight {
    /// Records the first event: the target has processed the prompt. Returns the time since sending;
    /// `None` for a request without a prompt to read.
    pub fn first_event(&mut self) -> Option<Duration> {
        let unread_tokens = std::mem::take(&mut self.unread_tokens);
        if unread_tokens == 0 {
            return None;
        }
        let time = self.sent_at.elapsed();
        let mut state = self.context.state();
        state.load.prompt_read(self.placement.hash, unread_tokens);
        state.record_first_event(&self.placement, time, Instant::now());
        drop(state);
        let choice = &self.placement.choice;
        let predicted_ms = choice.wait_ms + choice.read_ms + self.placement.timing.fixed_ms;
        let ratio = time.as_secs_f64() * 1e3 / predicted_ms.max(1.0);
        self.context.metrics.first_event_ratio.record(ratio);
        Some(time)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.context.state().load.end_request(self.placement.hash, self.unread_tokens);
    }
}

/// Result of [`Queue::admit`].
#[derive(Debug)]
pub enum Admission {
    /// The request is to be sent.
    Send(InFlight),
    /// The request is refused.
    Refuse(Refused),
}

struct Waiting {
    spec: RequestSpec,
    result_sender: oneshot::Sender<Admission>,
}

/// Queue of the traffic thread.
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

    /// Waits until a target is chosen for the request or it is refused.
    pub async fn admit(&self, mut spec: RequestSpec) -> Admission {
        if self.is_full() && !self.displace_last(&spec) {
            return self.refuse_when_full(spec.team);
        }
        spec.ahead_count = self.count_ahead(&spec);
        // The waiting requests were scanned within the last interval, so this one needn't queue
        // first.
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
            team_share: self.context.state().shares.team_share(team),
            backlog_ms: 0.0,
            mean_backlog_ms: 0.0,
            opens_in_ms: 0.0,
            is_crowded_out: true,
            is_quarantined: false,
            is_evacuated: false,
            has_no_version: false,
        })
    }

    /// Waiting requests of the same service that are decided before `spec`, for services whose
    /// targets may have limits; 0 while no target has one.
    fn count_ahead(&self, spec: &RequestSpec) -> u32 {
        let state = self.context.state();
        if state.target_limits.limited_count() == 0 {
            return 0;
        }
        let now = Instant::now();
        let rank = state.rank(spec, now);
        let waiting = self.waiting.borrow();
        let same = waiting.iter().filter(|entry| entry.spec.service == spec.service);
        same.map(|entry| u32::from(state.rank(&entry.spec, now) < rank)).sum()
    }

    fn is_full(&self) -> bool {
        self.waiting.borrow().len() >= MAX_WAITING
    }

    /// Refuses the request that is last in order to make room for a new one; returns `false` if the
    /// new one would be last.
    fn displace_last(&self, spec: &RequestSpec) -> bool {
        let now = Instant::now();
        let mut waiting = self.waiting.borrow_mut();
        let state = self.context.state();
        let ranks = waiting.iter().map(|entry| state.rank(&entry.spec, now));
        let last = ranks.enumerate().max_by_key(|(_, rank)| *rank);
        let Some((at, _)) = last.filter(|(_, rank)| state.rank(spec, now) < *rank) else {
            return false;
        };
        // `admit` refuses the request when its sender is dropped.
        waiting.swap_remove(at);
        true
    }

    /// Scans the queue periodically; never returns.
    pub async fn run(self: Rc<Self>) {
        let mut pause = SCAN_INTERVAL;
        loop {
            if self.waiting.borrow().is_empty() {
                self.wake.notified().await;
            }
            time::sleep(pause).await;
            let began_at = std::time::Instant::now();
            // A panic drops requests of this scan, which are then refused.
            let _ = panics::catch(|| self.decide_all());
            pause = (began_at.elapsed() * SCAN_PAUSE_FACTOR).max(SCAN_INTERVAL);
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Whether no requests wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Decides on all waiting requests, in order of rank.
    pub fn decide_all(&self) {
        let now = Instant::now();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|entry| !entry.result_sender.is_closed());
        let mut state = self.context.state();
        state.refresh_shares(now);
        waiting.sort_by_cached_key(|entry| state.rank(&entry.spec, now));
        let mut left = Vec::new();
        let mut decided = Vec::new();
        let mut left_counts = HashMap::<Name, u32>::new();
        for mut entry in waiting.drain(..) {
            let left_count = left_counts.entry(entry.spec.service.clone()).or_default();
            entry.spec.ahead_count = *left_count;
            match state.decide(&entry.spec, &self.context.zone, now) {
                None => {
                    *left_count += 1;
                    left.push(entry);
                }
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
            // If the caller disconnected meanwhile, dropping the admission releases the load.
            let _ = entry.result_sender.send(self.admission(decision));
        }
    }

    fn admission(&self, decision: Decision) -> Admission {
        match decision {
            Decision::Send(placement) => {
                let unread_tokens = placement.choice.unread_tokens;
                let context = self.context.clone();
                let sent_at = Instant::now();
                Admission::Send(InFlight { context, placement, unread_tokens, sent_at })
            }
            Decision::Refuse(refused) => Admission::Refuse(refused),
        }
    }
}
