//! State that a dispatcher keeps for one router.

use std::collections::{BTreeMap, VecDeque};

use tokio::time;

use super::flows::FlowIndex;
use super::teams::TeamIndex;
use crate::ids::{GrantId, Name, RouterId};
use crate::message::{Demand, Grant, Move, PreferredTargets};

/// Identifies a session within its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct SessionKey(pub(super) u32);

/// A router's waiting requests of one flow.
#[derive(Clone, Debug)]
pub(super) struct DemandEntry {
    pub(super) waiting_count: u32,
    pub(super) oldest_deadline: time::Instant,
    pub(super) newest_deadline: time::Instant,
    pub(super) preferred_targets: PreferredTargets,
}

impl DemandEntry {
    pub(super) fn new(demand: Demand, granted_count: u32) -> Option<DemandEntry> {
        let waiting_count = demand.waiting_count.checked_sub(granted_count)?;
        let mut entry = DemandEntry {
            waiting_count: demand.waiting_count,
            oldest_deadline: demand.oldest_deadline,
            newest_deadline: demand.newest_deadline.max(demand.oldest_deadline),
            preferred_targets: demand.preferred_targets,
        };
        for _ in 0..granted_count {
            entry.take_one();
        }
        (waiting_count > 0).then_some(entry)
    }

    /// Removes the oldest request. The deadline of the next one is interpolated, as if deadlines
    /// were evenly spaced.
    pub(super) fn take_one(&mut self) {
        let steps = self.waiting_count.saturating_sub(1);
        if steps > 0 {
            let span = self.newest_deadline.saturating_duration_since(self.oldest_deadline);
            self.oldest_deadline += span / steps;
        }
        self.waiting_count = steps;
        self.preferred_targets.clear();
    }
}

/// A granted request that hasn't ended.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) flow: FlowIndex,
    pub(super) target: Name,
    /// Cost so far, not multiplied by the class's price.
    pub(super) cost: f64,
    /// Expected remaining cost, times price.
    pub(super) pending_cost: f64,
    pub(super) price_ratio: f64,
    /// When the request was granted, in seconds of the dispatcher's clock; `None` if unknown.
    pub(super) granted_at_s: Option<f64>,
    /// When `cost` was reported, in seconds of the dispatcher's clock.
    pub(super) reported_at_s: f64,
}

#[derive(Debug)]
pub(super) struct Session {
    pub(super) router: RouterId,
    pub(super) demand: BTreeMap<FlowIndex, DemandEntry>,
    pub(super) in_flight: BTreeMap<GrantId, Running>,
    /// Whether the router's incarnation had an earlier session with this dispatcher.
    pub(super) had_session: bool,
    /// Cost times price that the router's incarnation has delivered, as in its accounts.
    pub(super) delivered: BTreeMap<TeamIndex, f64>,
    /// Batch number and flow of each grant or move that no report has acknowledged.
    pub(super) unacked: VecDeque<(u64, FlowIndex)>,
    pub(super) grants: Vec<Grant>,
    pub(super) moves: Vec<Move>,
    /// Number of the last report; 0 before the first, which must be full.
    pub(super) report_seq: u64,
}

impl Session {
    pub(super) fn new(router: RouterId, delivered: Option<BTreeMap<TeamIndex, f64>>) -> Session {
        Session {
            router,
            demand: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            had_session: delivered.is_some(),
            delivered: delivered.unwrap_or_default(),
            unacked: VecDeque::new(),
            grants: Vec::new(),
            moves: Vec::new(),
            report_seq: 0,
        }
    }

    /// Drops the grants that a report acknowledges.
    pub(super) fn ack(&mut self, acked_seq: u64) {
        while self.unacked.front().is_some_and(|(seq, _)| *seq <= acked_seq) {
            self.unacked.pop_front();
        }
    }

    /// Number of grants of a flow that the router's last report doesn't acknowledge.
    pub(super) fn unacked_count(&self, flow: FlowIndex) -> u32 {
        let count = self.unacked.iter().filter(|(_, of)| *of == flow).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
