//! Estimated size of messages in packed Cap'n Proto.
//!
//! An eight-byte word takes a tag byte and its nonzero bytes; a text takes its length and a tag
//! byte per word. Each message adds the frames of the call and of its answer.

use gentianhinge_core::ids::{Flow, Name, RouterId};
use gentianhinge_core::message::{CellSummary, GrantBatch, GroupSummary, Report};

/// Size of the frames of a call and its answer, with their targets and capability tables, in bytes.
const CALL_BYTES: usize = 48;
/// Size of a pointer to a struct or list, in bytes.
const POINTER_BYTES: usize = 3;
/// Size of a number without zero bytes, such as a floating-point cost, in bytes.
const DOUBLE_BYTES: usize = 9;

fn number(value: u64) -> usize {
    1 + (8 - value.leading_zeros() as usize / 8)
}

fn text(name: &Name) -> usize {
    POINTER_BYTES + name.len() + name.len() / 8 + 1
}

fn flow(flow: &Flow) -> usize {
    text(&flow.team) + text(&flow.class)
}

fn router(router: &RouterId) -> usize {
    POINTER_BYTES + text(&router.name) + number(router.incarnation)
}

/// Estimated size of a router's report, in bytes.
pub fn report(report: &Report) -> usize {
    let demand = report.demand.iter().map(|line| {
        let preferred = line.preferred_targets.iter().map(text).sum::<usize>();
        flow(&line.flow) + preferred + 2 * number(10_000) + number(line.waiting_count.into())
    });
    let progress = report.progress.iter().map(|line| number(line.grant.0) + cost(line.cost));
    let ended = report.finished.iter().chain(&report.declined).map(|id| number(id.0));
    let in_flight = report
        .in_flight
        .iter()
        .map(|line| flow(&line.flow) + text(&line.target) + number(line.grant.0) + cost(line.cost));
    let accounts = report.accounts.iter().map(|line| text(&line.team) + DOUBLE_BYTES);
    let virtual_times = report.virtual_times.iter().map(|line| text(&line.team) + DOUBLE_BYTES);
    let head = router(&report.router) + text(&report.cell);
    let head = head + number(report.seq) + number(report.acked_seq) + 7 * POINTER_BYTES;
    let lines = demand.chain(progress).chain(ended).chain(in_flight).chain(accounts);
    CALL_BYTES + head + lines.chain(virtual_times).sum::<usize>()
}

/// Whole numbers of tokens are floating-point numbers with few nonzero bytes.
fn cost(cost: f64) -> usize {
    1 + cost.to_be_bytes().iter().filter(|byte| **byte != 0).count()
}

/// Estimated size of a dispatcher's batch of grants, in bytes.
pub fn batch(batch: &GrantBatch) -> usize {
    let grants = batch.grants.iter();
    let grants = grants.map(|grant| number(grant.id.0) + flow(&grant.flow) + text(&grant.target));
    let moves = batch.moves.iter().map(|order| flow(&order.flow) + text(&order.to_cell) + 2);
    let virtual_times = batch.virtual_times.iter().map(|line| text(&line.team) + DOUBLE_BYTES);
    let head = router(&batch.dispatcher) + text(&batch.cell) + number(batch.seq);
    let lines = grants.chain(moves).chain(virtual_times);
    CALL_BYTES + head + 3 * POINTER_BYTES + lines.sum::<usize>()
}

/// Estimated size of a cell's summary, in bytes.
pub fn cell_summary(summary: &CellSummary) -> usize {
    let line = text(&summary.state.cell) + router(&summary.state.dispatcher) + DOUBLE_BYTES + 6;
    let teams = summary.teams.iter().map(|team| text(&team.team) + 2 * DOUBLE_BYTES + 3);
    CALL_BYTES + line + teams.sum::<usize>()
}

/// Estimated size of a group's summary, in bytes.
pub fn group_summary(summary: &GroupSummary) -> usize {
    let cells = summary.cells.iter();
    let cells = cells.map(|line| text(&line.cell) + router(&line.dispatcher) + DOUBLE_BYTES + 6);
    let teams = summary.teams.iter().map(|team| text(&team.team) + 2 * DOUBLE_BYTES + 3);
    let head = text(&summary.group) + router(&summary.aggregator) + number(summary.seq);
    CALL_BYTES + head + cells.chain(teams).sum::<usize>()
}
