//! Encoding of reports and grants between routers.
//!
//! Deadlines are sent as the remaining time, so that routers don't need synchronized clocks.

use std::time::Duration;

use gentianhinge_core::ids::{Flow, GrantId, Name, RouterId};
use gentianhinge_core::message::{
    Account, Demand, Grant, GrantBatch, InFlight, Move, Progress, Report, TeamVirtualTime,
};
use smallvec::SmallVec;
use tokio::time;

use crate::decode::{self, DecodeError, MAX_NAME_BYTES};
use crate::generated::peer_capnp;

/// Maximum number of preferred targets of a demand entry; others are ignored on receipt.
const MAX_PREFERRED_TARGETS: usize = 8;

/// Encodes a report. `now` is the time from which its deadlines are counted.
pub fn write_report(
    mut builder: peer_capnp::report::Builder<'_>,
    report: &Report,
    now: time::Instant,
) {
    builder.set_seq(report.seq as u32);
    builder.set_acked_seq(report.acked_seq as u32);
    builder.set_full(report.full);
    write_requests(&mut builder, report, now);
    if !report.finished.is_empty() {
        write_ids(builder.reborrow().init_finished_grants(len(&report.finished)), &report.finished);
    }
    if !report.declined.is_empty() {
        write_ids(builder.reborrow().init_declined_grants(len(&report.declined)), &report.declined);
    }
    if !report.failed.is_empty() {
        write_ids(builder.reborrow().init_failed_grants(len(&report.failed)), &report.failed);
    }
    if !report.accounts.is_empty() {
        let mut list = builder.reborrow().init_accounts(len(&report.accounts));
        for (i, line) in (0..).zip(&report.accounts) {
            let mut entry = list.reborrow().get(i);
            entry.set_team(&*line.team);
            entry.set_delivered_cost(line.delivered_cost);
        }
    }
    builder.set_lineage(report.lineage);
    if !report.virtual_times.is_empty() {
        let list = builder.init_virtual_times(len(&report.virtual_times));
        write_virtual_times(list, &report.virtual_times);
    }
}

/// Writes the lists that describe waiting and running requests.
fn write_requests(
    builder: &mut peer_capnp::report::Builder<'_>,
    report: &Report,
    now: time::Instant,
) {
    if !report.demand.is_empty() {
        let mut list = builder.reborrow().init_demand(len(&report.demand));
        for (i, line) in (0..).zip(&report.demand) {
            write_demand(list.reborrow().get(i), line, now);
        }
    }
    if !report.progress.is_empty() {
        let mut list = builder.reborrow().init_progress(len(&report.progress));
        for (i, line) in (0..).zip(&report.progress) {
            let mut entry = list.reborrow().get(i);
            entry.set_grant_id(line.grant.0);
            entry.set_cost(line.cost);
        }
    }
    if !report.in_flight.is_empty() {
        let mut list = builder.reborrow().init_in_flight(len(&report.in_flight));
        for (i, line) in (0..).zip(&report.in_flight) {
            let mut entry = list.reborrow().get(i);
            entry.set_grant_id(line.grant.0);
            entry.set_team(&*line.flow.team);
            entry.set_class(&*line.flow.class);
            entry.set_target(&*line.target);
            entry.set_cost(line.cost);
        }
    }
}

fn write_demand(mut builder: peer_capnp::demand::Builder<'_>, demand: &Demand, now: time::Instant) {
    builder.set_team(&*demand.flow.team);
    builder.set_class(&*demand.flow.class);
    builder.set_waiting_count(demand.waiting_count);
    if demand.waiting_count == 0 {
        return;
    }
    builder.set_oldest_deadline_ms(remaining_ms(demand.oldest_deadline, now));
    builder.set_newest_deadline_ms(remaining_ms(demand.newest_deadline, now));
    if !demand.preferred_targets.is_empty() {
        let mut list = builder.init_preferred_targets(len(&demand.preferred_targets));
        for (i, target) in (0..).zip(&demand.preferred_targets) {
            list.set(i, &**target);
        }
    }
}

fn write_ids(mut list: capnp::primitive_list::Builder<'_, u64>, ids: &[GrantId]) {
    for (i, id) in (0..).zip(ids) {
        list.set(i, id.0);
    }
}

fn write_virtual_times(
    mut list: capnp::struct_list::Builder<'_, peer_capnp::team_virtual_time::Owned>,
    lines: &[TeamVirtualTime],
) {
    for (i, line) in (0..).zip(lines) {
        let mut entry = list.reborrow().get(i);
        entry.set_team(&*line.team);
        entry.set_cost(line.cost);
    }
}

/// Decodes a report of `router` for `cell`, which was received at `now`.
///
/// # Errors
///
/// The message is malformed or a value is out of bounds.
pub fn read_report(
    reader: peer_capnp::report::Reader<'_>,
    router: RouterId,
    cell: Name,
    now: time::Instant,
) -> Result<Report, DecodeError> {
    Ok(Report {
        router,
        cell,
        seq: reader.get_seq().into(),
        acked_seq: reader.get_acked_seq().into(),
        full: reader.get_full(),
        demand: read_list(reader.get_demand()?, |line| read_demand(line, now))?,
        progress: read_list(reader.get_progress()?, |line| {
            let cost = decode::cost(line.get_cost())?;
            Ok(Progress { grant: GrantId(line.get_grant_id()), cost })
        })?,
        finished: read_ids(reader.get_finished_grants()?)?,
        declined: read_ids(reader.get_declined_grants()?)?,
        failed: read_ids(reader.get_failed_grants()?)?,
        in_flight: read_list(reader.get_in_flight()?, read_in_flight)?,
        accounts: read_list(reader.get_accounts()?, |line| {
            let delivered_cost = decode::cost(line.get_delivered_cost())?;
            Ok(Account { team: name(line.get_team())?, delivered_cost })
        })?,
        virtual_times: read_list(reader.get_virtual_times()?, read_virtual_time)?,
        lineage: reader.get_lineage(),
    })
}

fn read_demand(
    reader: peer_capnp::demand::Reader<'_>,
    now: time::Instant,
) -> Result<Demand, DecodeError> {
    let preferred = reader.get_preferred_targets()?.iter().take(MAX_PREFERRED_TARGETS);
    Ok(Demand {
        flow: flow(reader.get_team(), reader.get_class())?,
        waiting_count: reader.get_waiting_count(),
        oldest_deadline: now + Duration::from_millis(reader.get_oldest_deadline_ms().into()),
        newest_deadline: now + Duration::from_millis(reader.get_newest_deadline_ms().into()),
        preferred_targets: preferred.map(name).collect::<Result<SmallVec<_>, _>>()?,
    })
}

fn read_in_flight(reader: peer_capnp::in_flight::Reader<'_>) -> Result<InFlight, DecodeError> {
    Ok(InFlight {
        grant: GrantId(reader.get_grant_id()),
        flow: flow(reader.get_team(), reader.get_class())?,
        target: name(reader.get_target())?,
        cost: decode::cost(reader.get_cost())?,
    })
}

fn read_virtual_time(
    reader: peer_capnp::team_virtual_time::Reader<'_>,
) -> Result<TeamVirtualTime, DecodeError> {
    Ok(TeamVirtualTime { team: name(reader.get_team())?, cost: decode::cost(reader.get_cost())? })
}

/// Encodes a batch of grants.
pub fn write_grants(mut builder: peer_capnp::grant_batch::Builder<'_>, batch: &GrantBatch) {
    builder.set_seq(batch.seq as u32);
    if !batch.grants.is_empty() {
        let mut list = builder.reborrow().init_grants(len(&batch.grants));
        for (i, grant) in (0..).zip(&batch.grants) {
            let mut entry = list.reborrow().get(i);
            entry.set_id(grant.id.0);
            entry.set_team(&*grant.flow.team);
            entry.set_class(&*grant.flow.class);
            entry.set_target(&*grant.target);
        }
    }
    if !batch.moves.is_empty() {
        let mut list = builder.reborrow().init_moves(len(&batch.moves));
        for (i, line) in (0..).zip(&batch.moves) {
            let mut entry = list.reborrow().get(i);
            entry.set_team(&*line.flow.team);
            entry.set_class(&*line.flow.class);
            entry.set_request_count(line.request_count);
            entry.set_to_cell(&*line.to_cell);
        }
    }
    builder.set_lineage(batch.lineage);
    if !batch.virtual_times.is_empty() {
        let list = builder.init_virtual_times(len(&batch.virtual_times));
        write_virtual_times(list, &batch.virtual_times);
    }
}

/// Decodes a batch of grants from `dispatcher` for `cell`.
///
/// # Errors
///
/// The message is malformed or a value is out of bounds.
pub fn read_grants(
    reader: peer_capnp::grant_batch::Reader<'_>,
    dispatcher: RouterId,
    cell: Name,
) -> Result<GrantBatch, DecodeError> {
    let read_grant = |line: peer_capnp::grant::Reader<'_>| {
        let flow = flow(line.get_team(), line.get_class())?;
        Ok(Grant { id: GrantId(line.get_id()), flow, target: name(line.get_target())? })
    };
    let read_move = |line: peer_capnp::move_::Reader<'_>| {
        let flow = flow(line.get_team(), line.get_class())?;
        let (request_count, to_cell) = (line.get_request_count(), name(line.get_to_cell())?);
        Ok(Move { flow, request_count, to_cell })
    };
    Ok(GrantBatch {
        dispatcher,
        cell,
        seq: reader.get_seq().into(),
        grants: read_list(reader.get_grants()?, read_grant)?,
        moves: read_list(reader.get_moves()?, read_move)?,
        virtual_times: read_list(reader.get_virtual_times()?, read_virtual_time)?,
        lineage: reader.get_lineage(),
    })
}

fn read_list<'a, S, T>(
    list: capnp::struct_list::Reader<'a, S>,
    read: impl FnMut(S::Reader<'a>) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError>
where
    S: capnp::traits::OwnedStruct,
{
    decode::list_len(list.len())?;
    list.iter().map(read).collect()
}

fn read_ids(list: capnp::primitive_list::Reader<'_, u64>) -> Result<Vec<GrantId>, DecodeError> {
    decode::list_len(list.len())?;
    Ok(list.iter().map(GrantId).collect())
}

fn flow(
    team: capnp::Result<capnp::text::Reader<'_>>,
    class: capnp::Result<capnp::text::Reader<'_>>,
) -> Result<Flow, DecodeError> {
    Ok(Flow { team: name(team)?, class: name(class)? })
}

fn name(text: capnp::Result<capnp::text::Reader<'_>>) -> Result<Name, DecodeError> {
    decode::name(text, MAX_NAME_BYTES)
}

/// Remaining time until a deadline, saturated at [`u32::MAX`] ms.
fn remaining_ms(deadline: time::Instant, now: time::Instant) -> u32 {
    let remaining = deadline.saturating_duration_since(now).as_millis();
    u32::try_from(remaining).unwrap_or(u32::MAX)
}

fn len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}
