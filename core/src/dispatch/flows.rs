//! Flows of one cell and histograms of their request costs.

use std::collections::BTreeMap;

use tokio::time;

use super::teams::{TeamIndex, Teams};
use crate::estimate;
use crate::ids::Flow;
use crate::table;

/// Upper end of the prior cost distribution for flows without samples.
pub const PRIOR_MAX_COST: f64 = 2_000.0;

/// Index of a flow in [`Flows`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct FlowIndex(u32);

#[derive(Debug)]
pub(super) struct FlowState {
    pub(super) flow: Flow,
    pub(super) team: TeamIndex,
    pub(super) price_ratio: f64,
    costs: estimate::CostHistogram,
}

/// All flows for which the cell has received requests.
#[derive(Debug)]
pub(super) struct Flows {
    by_flow: BTreeMap<Flow, FlowIndex>,
    list: Vec<FlowState>,
    all_costs: estimate::CostHistogram,
}

impl Default for Flows {
    fn default() -> Flows {
        Flows {
            by_flow: BTreeMap::new(),
            list: Vec::new(),
            all_costs: estimate::CostHistogram::pool(PRIOR_MAX_COST),
        }
    }
}

impl Flows {
    pub(super) fn index(
        &mut self,
        flow: &Flow,
        teams: &mut Teams,
        table: &table::Table,
        now: time::Instant,
    ) -> FlowIndex {
        if let Some(index) = self.by_flow.get(flow) {
            return *index;
        }
        let index = FlowIndex(u32::try_from(self.list.len()).unwrap_or(u32::MAX));
        self.list.push(FlowState {
            flow: flow.clone(),
            team: teams.index(&flow.team, table, now),
            price_ratio: table.price_ratio(&flow.class),
            costs: estimate::CostHistogram::flow(),
        });
        self.by_flow.insert(flow.clone(), index);
        index
    }

    pub(super) fn get(&self, index: FlowIndex) -> &FlowState {
        &self.list[index.0 as usize]
    }

    pub(super) fn set_table(&mut self, table: &table::Table) {
        for state in &mut self.list {
            state.price_ratio = table.price_ratio(&state.flow.class);
        }
    }

    /// Records the cost of a request that has ended.
    pub(super) fn record(&mut self, index: FlowIndex, cost: f64) {
        self.list[index.0 as usize].costs.record(cost);
        self.all_costs.record(cost);
    }

    /// Expected remaining cost, times price, of a request whose cost is `delivered` so far.
    pub(super) fn pending_cost(&self, index: FlowIndex, delivered: f64) -> f64 {
        let state = self.get(index);
        estimate::expected_remaining(&state.costs, &self.all_costs, delivered) * state.price_ratio
    }
}
