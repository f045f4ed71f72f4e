//! What the dispatcher knows of one router.

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
pub(super) struct Line {
    pub(super) waiting_count: u32,
    pub(super) oldest_deadline: time::Instant,
    pub(super) newest_deadline: time::Instant,
    pub(super) preferred_targets: PreferredTargets,
}

impl Line {
    pub(super) fn new(demand: Demand, granted_count: u32) -> Option<Line> {
        let waiting_count = demand.waiting_count.checked_sub(granted_count)?;
        let mut line = Line {
            waiting_count: demand.waiting_count,
            oldest_deadline: demand.oldest_deadline,
            newest_deadline: demand.newest_deadline.max(demand.oldest_deadline),
            preferred_targets: demand.preferred_targets,
        };
        for _ in 0..granted_count {
            line.take_one();
        }
        (waiting_count > 0).then_some(line)
    }

    /// Takes the oldest request. The deadline of the next one is taken to lie at an even distance.
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

/// A request that was granted and hasn't ended.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) flow: FlowIndex,
    pub(super) target: Name,
    /// Cost so far, before the class's price.
    pub(super) cost: f64,
    /// Expected remaining cost, times price.
    pub(super) pending_cost: f64,
    pub(super) price_ratio: f64,
    /// When the request was granted, in seconds of the dispatcher's clock.
    pub(super) granted_at_s: Option<f64>,
    /// When `cost` was reported, in seconds of the dispatcher's clock.
    pub(super) reported_at_s: f64,
}

#[derive(Debug)]
pub(super) struct Session {
    pub(super) router: RouterId,
    pub(super) lines: BTreeMap<FlowIndex, Line>,
    pub(super) in_flight: BTreeMap<GrantId, Running>,
    /// Whether the router's incarnation had a session with this dispatcher before.
    pub(super) was_known: bool,
    /// Delivered by the router's incarnation, as in its accounts.
    pub(super) delivered: BTreeMap<TeamIndex, f64>,
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
            lines: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            was_known: delivered.is_some(),
            delivered: delivered.unwrap_or_default(),
            unacked: VecDeque::new(),
            grants: Vec::new(),
            moves: Vec::new(),
            report_seq: 0,
        }
    }

    /// Forgets the grants that a report takes account of.
    pub(super) fn ack(&mut self, acked_seq: u64) {
        while self.unacked.front().is_some_and(|(seq, _)| *seq <= acked_seq) {
            self.unacked.pop_front();
        }
    }

    /// Grants of a flow that the router's last report takes no account of.
    pub(super) fn unacked_count(&self, flow: FlowIndex) -> u32 {
        let count = self.unacked.iter().filter(|(_, of)| *of == flow).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
