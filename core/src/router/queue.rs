//! A router's requests of one cell, and their state as reported to its dispatcher.

use std::collections::{BTreeMap, BTreeSet};

use tokio::time;

use crate::ids::{Flow, GrantId, Name, RequestId, RouterId};
use crate::message::{Demand, MAX_WAITING_COUNT, PreferredTargets, Progress};

/// Reported number of waiting requests below which each increase is reported.
const EXACT_WAITING_COUNT: u32 = 4;

/// Number of requests at the head of a flow among which a grant is matched by preferred target.
const AFFINITY_WINDOW: usize = 4;

/// Maximum number of consecutive grants for which a preferring request may overtake the head.
const MAX_OVERTAKES: u32 = 4;

/// Waiting requests of one flow, and the dispatcher's view of them.
#[derive(Debug, Default)]
pub(super) struct FlowQueue {
    pub(super) waiting: BTreeSet<(time::Instant, RequestId)>,
    /// Last reported count minus the grants and moves received since.
    reported_count: u32,
    reported_preferred: PreferredTargets,
    overtakes: u32,
}

impl FlowQueue {
    fn capped_count(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX).min(MAX_WAITING_COUNT)
    }

    /// Whether the dispatcher's view needs a correction: its count is too high, which would lead to
    /// declined grants, or so low that it may reach 0 before the next report.
    fn needs_report(&self, preferred: &PreferredTargets) -> bool {
        let count = self.capped_count();
        if count <= self.reported_count {
            return count < self.reported_count
                || (count > 0 && !preferred.is_empty() && *preferred != self.reported_preferred);
        }
        self.reported_count < EXACT_WAITING_COUNT || self.reported_count * 2 <= count
    }

    /// Records that the dispatcher has subtracted moved requests from its count.
    pub(super) fn record_moved(&mut self, count: u32) {
        self.reported_count = self.reported_count.saturating_sub(count);
    }

    /// Selects the request for a grant: the one with the earliest deadline, unless one of the next
    /// few prefers the granted target.
    pub(super) fn pick(&mut self, prefers: impl Fn(RequestId) -> bool) -> Option<RequestId> {
        self.reported_count = self.reported_count.saturating_sub(1);
        self.reported_preferred.clear();
        let (_, head) = self.waiting.first().copied()?;
        if self.overtakes < MAX_OVERTAKES {
            let window = self.waiting.iter().take(AFFINITY_WINDOW).map(|(_, id)| *id);
            if let Some(id) = window.into_iter().find(|id| prefers(*id)) {
                self.overtakes = if id == head { 0 } else { self.overtakes + 1 };
                return Some(id);
            }
        }
        self.overtakes = 0;
        Some(head)
    }
}

/// Requests of one cell, and the session with its dispatcher.
#[derive(Debug)]
pub(super) struct CellQueue {
    pub(super) flows: BTreeMap<Flow, FlowQueue>,
    pub(super) running: BTreeSet<RequestId>,
    pub(super) dispatcher: Option<RouterId>,
    pub(super) changed: BTreeSet<Flow>,
    pub(super) finished: Vec<GrantId>,
    pub(super) ended: Vec<Progress>,
    pub(super) declined: Vec<GrantId>,
    pub(super) failed: Vec<GrantId>,
    pub(super) delivered_cost: BTreeMap<Name, f64>,
    pub(super) virtual_times: BTreeMap<Name, f64>,
    pub(super) lineage: u64,
    pub(super) report_seq: u64,
    pub(super) acked_seq: u64,
    pub(super) full_due: bool,
    pub(super) progress_due: time::Instant,
}

impl CellQueue {
    pub(super) fn new(progress_due: time::Instant) -> CellQueue {
        CellQueue {
            flows: BTreeMap::new(),
            running: BTreeSet::new(),
            dispatcher: None,
            changed: BTreeSet::new(),
            finished: Vec::new(),
            ended: Vec::new(),
            declined: Vec::new(),
            failed: Vec::new(),
            delivered_cost: BTreeMap::new(),
            virtual_times: BTreeMap::new(),
            lineage: 0,
            report_seq: 0,
            acked_seq: 0,
            full_due: false,
            progress_due,
        }
    }

    /// Starts a session. Pending data of the earlier one are dropped, as the full report covers
    /// them.
    pub(super) fn start_session(&mut self, dispatcher: RouterId) {
        self.dispatcher = Some(dispatcher);
        self.report_seq = 0;
        self.acked_seq = 0;
        self.full_due = true;
        self.finished.clear();
        self.ended.clear();
        self.declined.clear();
        self.failed.clear();
        for queue in self.flows.values_mut() {
            queue.reported_count = 0;
        }
        self.changed = self.flows.keys().cloned().collect();
    }

    pub(super) fn insert(&mut self, flow: &Flow, deadline: time::Instant, id: RequestId) {
        self.flows.entry(flow.clone()).or_default().waiting.insert((deadline, id));
        self.changed.insert(flow.clone());
    }

    pub(super) fn remove(&mut self, flow: &Flow, deadline: time::Instant, id: RequestId) {
        if let Some(queue) = self.flows.get_mut(flow) {
            queue.waiting.remove(&(deadline, id));
            self.changed.insert(flow.clone());
        }
    }

    /// Returns the demand that is due and records it as reported.
    pub(super) fn take_demand(
        &mut self,
        now: time::Instant,
        preferred: impl Fn(RequestId) -> PreferredTargets,
    ) -> Vec<Demand> {
        let changed = std::mem::take(&mut self.changed);
        let demand =
            changed.into_iter().filter_map(|flow| self.take_flow_demand(flow, now, &preferred));
        demand.collect()
    }

    fn take_flow_demand(
        &mut self,
        flow: Flow,
        now: time::Instant,
        preferred: impl Fn(RequestId) -> PreferredTargets,
    ) -> Option<Demand> {
        let queue = self.flows.get_mut(&flow)?;
        let first = queue.waiting.first().copied();
        let preferred_targets = first.map(|(_, id)| preferred(id)).unwrap_or_default();
        let due = queue.needs_report(&preferred_targets);
        if !due {
            if first.is_none() && queue.reported_count == 0 {
                self.flows.remove(&flow);
            }
            return None;
        }
        let waiting_count = queue.capped_count();
        queue.reported_count = waiting_count;
        queue.reported_preferred = preferred_targets.clone();
        let last = queue.waiting.iter().nth((waiting_count as usize).saturating_sub(1));
        let newest_deadline = last.map_or(now, |(deadline, _)| *deadline);
        let oldest_deadline = first.map_or(now, |(deadline, _)| deadline);
        if waiting_count == 0 {
            self.flows.remove(&flow);
        }
        Some(Demand { flow, waiting_count, oldest_deadline, newest_deadline, preferred_targets })
    }
}
