//! Encoding of load reports between routers: one datagram each, in packed Cap'n Proto.
//!
//! Names are sent as 64-bit hashes, so that a report of 20 targets and 16 teams fits one datagram.

use gentianhinge_core::{quarantine, report, stream_versions};
use quick_error::quick_error;

use crate::decode::{self, DecodeError};
use crate::generated::load_capnp;

/// Maximum size of a received datagram.
pub const MAX_DATAGRAM_BYTES: usize = 40_000;

/// Traversal limit for decoding a datagram, in words of 8 bytes.
const TRAVERSAL_LIMIT_WORDS: usize = 8192;

quick_error! {
    /// Why a received datagram is dropped.
    #[derive(Debug)]
    pub enum LoadError {
        /// The message can't be decoded.
        Decode(err: DecodeError) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Encodes a report as a datagram.
pub fn encode(report: &report::LoadReport) -> Vec<u8> {
    let mut builder = capnp::message::Builder::new_default();
    write_report(builder.init_root(), report);
    let mut bytes = Vec::new();
    // Writing to a `Vec` can't fail.
    let _ = capnp::serialize_packed::write_message(&mut bytes, &builder);
    bytes
}

/// Decodes a datagram.
///
/// # Errors
///
/// The datagram isn't a valid report.
pub fn decode(mut bytes: &[u8]) -> Result<report::LoadReport, LoadError> {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(TRAVERSAL_LIMIT_WORDS)).nesting_limit(8);
    let reader = capnp::serialize_packed::read_message(&mut bytes, options);
    let reader = reader.map_err(DecodeError::from)?;
    Ok(read_report(reader.get_root().map_err(DecodeError::from)?)?)
}

#[allow(clippy::cast_possible_truncation)] // A report has far fewer than 2^32 entries.
fn write_report(mut builder: load_capnp::load_report::Builder<'_>, report: &report::LoadReport) {
    builder.set_sender(&*report.sender);
    builder.set_incarnation(report.incarnation);
    builder.set_seq(report.seq);
    builder.set_is_full(report.is_full);
    let [config, targets, routers] = report.offsets;
    builder.set_config_offset(config);
    builder.set_targets_offset(targets);
    builder.set_routers_offset(routers);
    builder.set_store_era(report.store_era);
    builder.set_to_zone(report.forward_in_zone);
    let mut targets = builder.reborrow().init_targets(report.targets.len() as u32);
    for (i, line) in report.targets.iter().enumerate() {
        let mut target = targets.reborrow().get(i as u32);
        target.set_target(line.target);
        target.set_unread_tokens(line.unread_tokens);
        target.set_running_count(line.running_count);
    }
    let mut teams = builder.reborrow().init_teams(report.teams.len() as u32);
    for (i, line) in report.teams.iter().enumerate() {
        let mut team = teams.reborrow().get(i as u32);
        team.set_team(line.team);
        team.set_asked_tokens(line.asked_tokens);
        team.set_begun_tokens(line.begun_tokens);
    }
    let mut services = builder.reborrow().init_services(report.services.len() as u32);
    for (i, line) in report.services.iter().enumerate() {
        let mut service = services.reborrow().get(i as u32);
        service.set_service(line.service);
        service.set_request_count(line.request_count);
        service.set_repeat_count(line.retry_count);
    }
    let mut polls = builder.reborrow().init_polls(report.polls.len() as u32);
    for (i, poll) in report.polls.iter().enumerate() {
        write_poll(polls.reborrow().get(i as u32), poll);
    }
    let mut crashes = builder.reborrow().init_crashes(report.crashes.len() as u32);
    for (i, line) in report.crashes.iter().enumerate() {
        let mut crash = crashes.reborrow().get(i as u32);
        crash.set_target(line.target);
        crash.set_team(line.team);
        crash.set_age_ms(line.age_ms);
        // The length of a list in a message is bounded by that of the slice.
        let _ = crash.set_parts(line.parts.as_slice());
    }
    let mut ended = builder.reborrow().init_ended(report.ended.len() as u32);
    for (i, line) in report.ended.iter().enumerate() {
        let mut target = ended.reborrow().get(i as u32);
        target.set_target(line.target);
        target.set_age_ms(line.age_ms);
        let _ = target.set_requests(line.requests.as_slice());
    }
    let _ = builder.reborrow().set_cleared_requests(report.cleared_requests.as_slice());
    let _ = builder.reborrow().set_cleared_parts(report.cleared_parts.as_slice());
    let _ = builder.reborrow().set_leaving(report.leaving.as_slice());
    let mut late_records = builder.reborrow().init_late_records(report.late_records.len() as u32);
    for (i, line) in report.late_records.iter().enumerate() {
        let mut late = late_records.reborrow().get(i as u32);
        late.set_target(line.target);
        late.set_heartbeat(line.heartbeat);
    }
    let mut first_events = builder.reborrow().init_first_events(report.first_events.len() as u32);
    for (i, line) in report.first_events.iter().enumerate() {
        let mut events = first_events.reborrow().get(i as u32);
        events.set_target(line.target);
        events.set_expected_ms(line.expected_ms);
        events.set_actual_ms(line.actual_ms);
        events.set_host_percent(line.host_percent);
    }
    let streams = report.streams.iter().map(|line| line.stream).collect::<Vec<_>>();
    let _ = builder.reborrow().set_streams(streams.as_slice());
    let versions = report.streams.iter().map(|line| line.version).collect::<Vec<_>>();
    let _ = builder.reborrow().set_stream_versions(versions.as_slice());
    let services = report.mixed_services.iter().map(|line| line.service).collect::<Vec<_>>();
    let _ = builder.reborrow().set_mixed_services(services.as_slice());
    let ages = report.mixed_services.iter().map(|line| line.age_ms).collect::<Vec<_>>();
    let _ = builder.reborrow().set_mixed_ages_ms(ages.as_slice());
    builder.set_knows_versions(report.knows_versions);
    let mut limits = builder.reborrow().init_limits(report.limits.len() as u32);
    for (i, line) in report.limits.iter().enumerate() {
        write_limit(limits.reborrow().get(i as u32), line);
    }
    let mut cached_parts = builder.init_kept(report.cached_parts.len() as u32);
    for (i, line) in report.cached_parts.iter().enumerate() {
        let mut part = cached_parts.reborrow().get(i as u32);
        part.set_target(line.target);
        part.set_part(line.part);
    }
}

#[allow(clippy::cast_possible_truncation)] // A poll has far fewer than 2^32 records.
fn write_poll(mut builder: load_capnp::poll::Builder<'_>, poll: &report::Poll) {
    builder.set_topic(match poll.topic {
        report::Topic::Config => load_capnp::Topic::Config,
        report::Topic::Targets => load_capnp::Topic::Targets,
        report::Topic::Routers => load_capnp::Topic::Routers,
    });
    builder.set_from(poll.from);
    builder.set_era(poll.era);
    builder.set_is_listing(poll.is_listing);
    builder.set_next_offset(poll.next_offset);
    builder.set_end_offset(poll.end_offset);
    builder.set_age_ms(poll.age_ms);
    // The length of a list in a message is bounded by that of the slice.
    let _ = builder.set_record_offsets(poll.record_offsets.as_slice());
    let targets = poll.heartbeats.iter().map(|line| line.target).collect::<Vec<_>>();
    let _ = builder.set_heartbeat_targets(targets.as_slice());
    let numbers = poll.heartbeats.iter().map(|line| line.number).collect::<Vec<_>>();
    let _ = builder.set_heartbeat_numbers(numbers.as_slice());
    if poll.heartbeats.iter().any(|line| line.cold_ms.is_some()) {
        let cold = poll.heartbeats.iter();
        let cold = cold.map(|line| line.cold_ms.map_or(0, |left| left.saturating_add(1)));
        let _ = builder.set_heartbeat_cold_ms(cold.collect::<Vec<_>>().as_slice());
    }
    let mut records = builder.init_records(poll.records.len() as u32);
    for (i, line) in poll.records.iter().enumerate() {
        let mut record = records.reborrow().get(i as u32);
        record.set_key(line.key.as_str());
        record.set_value(line.value.as_deref().unwrap_or_default());
    }
}

fn write_limit(mut builder: load_capnp::target_limit::Builder<'_>, line: &report::TargetLimit) {
    builder.set_target(line.target);
    builder.set_sent_count(line.sent_count);
    builder.set_has_statement(line.stated.is_some());
    let Some(stated) = line.stated else { return };
    builder.set_age_ms(stated.age_ms);
    builder.set_is_limited(stated.limit_milli_per_s.is_some());
    builder.set_limit_milli_per_s(stated.limit_milli_per_s.unwrap_or_default());
}

fn read_limit(line: load_capnp::target_limit::Reader<'_>) -> report::TargetLimit {
    let limit_milli_per_s = line.get_is_limited().then(|| line.get_limit_milli_per_s());
    let stated = report::StatedLimit { limit_milli_per_s, age_ms: line.get_age_ms() };
    report::TargetLimit {
        target: line.get_target(),
        stated: line.get_has_statement().then_some(stated),
        sent_count: line.get_sent_count(),
    }
}

fn read_ended(
    line: load_capnp::ended_target::Reader<'_>,
) -> Result<report::EndedTarget, DecodeError> {
    let requests = line.get_requests()?.iter().take(quarantine::MAX_RUNNING).collect();
    Ok(report::EndedTarget { target: line.get_target(), age_ms: line.get_age_ms(), requests })
}

fn read_poll(reader: load_capnp::poll::Reader<'_>) -> Result<report::Poll, DecodeError> {
    let mut records = Vec::new();
    for line in reader.get_records()? {
        let key = line.get_key()?.to_str().unwrap_or_default().to_string();
        let value = Some(line.get_value()?.to_vec()).filter(|value| !value.is_empty());
        records.push(report::Record { key, value });
    }
    let (targets, numbers) = (reader.get_heartbeat_targets()?, reader.get_heartbeat_numbers()?);
    let cold = reader.get_heartbeat_cold_ms()?;
    let cold = cold.iter().map(|left| left.checked_sub(1)).chain(std::iter::repeat(None));
    let heartbeats = targets.iter().zip(numbers).zip(cold);
    let heartbeats =
        heartbeats.map(|((target, number), cold_ms)| report::Heartbeat { target, number, cold_ms });
    Ok(report::Poll {
        topic: match reader.get_topic().map_err(DecodeError::from)? {
            load_capnp::Topic::Config => report::Topic::Config,
            load_capnp::Topic::Targets => report::Topic::Targets,
            load_capnp::Topic::Routers => report::Topic::Routers,
        },
        era: reader.get_era(),
        is_listing: reader.get_is_listing(),
        from: reader.get_from(),
        next_offset: reader.get_next_offset(),
        end_offset: reader.get_end_offset().max(reader.get_next_offset()),
        age_ms: reader.get_age_ms(),
        records,
        record_offsets: reader.get_record_offsets()?.iter().collect(),
        heartbeats: heartbeats.collect(),
    })
}

fn read_report(
    reader: load_capnp::load_report::Reader<'_>,
) -> Result<report::LoadReport, DecodeError> {
    let targets = reader.get_targets()?.iter().map(|line| report::TargetLoad {
        target: line.get_target(),
        unread_tokens: line.get_unread_tokens(),
        running_count: line.get_running_count(),
    });
    let teams = reader.get_teams()?.iter().map(|line| report::TeamUse {
        team: line.get_team(),
        asked_tokens: line.get_asked_tokens(),
        begun_tokens: line.get_begun_tokens(),
    });
    let services = reader.get_services()?.iter().map(|line| report::ServiceUse {
        service: line.get_service(),
        request_count: line.get_request_count(),
        retry_count: line.get_repeat_count(),
    });
    let polls = reader.get_polls()?.iter().map(read_poll).collect::<Result<_, _>>()?;
    let crashes = reader.get_crashes()?.iter().map(|line| {
        let parts = line.get_parts()?.iter().take(quarantine::MAX_PARTS).collect();
        Ok::<_, DecodeError>(report::Crash {
            target: line.get_target(),
            team: line.get_team(),
            age_ms: line.get_age_ms(),
            parts,
        })
    });
    let crashes = crashes.collect::<Result<_, _>>()?;
    let ended = reader.get_ended()?.iter().take(quarantine::MAX_ENDED).map(read_ended);
    let ended = ended.collect::<Result<_, _>>()?;
    let cleared_requests = reader.get_cleared_requests()?.iter();
    let cleared_requests = cleared_requests.take(quarantine::MAX_REPORTED_CLEARED).collect();
    let late_records = reader.get_late_records()?.iter().take(report::MAX_LATE_RECORDS);
    let late_records = late_records.map(|line| report::LateRecord {
        target: line.get_target(),
        heartbeat: line.get_heartbeat(),
    });
    let first_events = reader.get_first_events()?.iter().map(|line| report::FirstEvents {
        target: line.get_target(),
        expected_ms: line.get_expected_ms(),
        actual_ms: line.get_actual_ms(),
        host_percent: line.get_host_percent(),
    });
    let cleared_parts = reader.get_cleared_parts()?.iter().collect();
    let cached_parts = reader.get_kept()?.iter();
    let cached_parts = cached_parts
        .map(|line| report::CachedPart { target: line.get_target(), part: line.get_part() });
    let streams = reader.get_streams()?.iter().zip(reader.get_stream_versions()?.iter());
    let streams = streams.take(stream_versions::MAX_REPORTED);
    let streams = streams.map(|(stream, version)| report::StreamVersion { stream, version });
    let mixed = reader.get_mixed_services()?.iter().zip(reader.get_mixed_ages_ms()?.iter());
    let mixed = mixed.map(|(service, age_ms)| report::MixedService { service, age_ms });
    Ok(report::LoadReport {
        sender: decode::name(reader.get_sender(), decode::MAX_NAME_BYTES)?,
        incarnation: reader.get_incarnation(),
        seq: reader.get_seq(),
        targets: targets.collect(),
        teams: teams.collect(),
        services: services.collect(),
        cached_parts: cached_parts.collect(),
        is_full: reader.get_is_full(),
        forward_in_zone: reader.get_to_zone(),
        store_era: reader.get_store_era(),
        offsets: [
            reader.get_config_offset(),
            reader.get_targets_offset(),
            reader.get_routers_offset(),
        ],
        polls,
        crashes,
        cleared_parts,
        ended,
        cleared_requests,
        limits: reader.get_limits()?.iter().map(read_limit).collect(),
        leaving: reader.get_leaving()?.iter().collect(),
        late_records: late_records.collect(),
        first_events: first_events.collect(),
        streams: streams.collect(),
        mixed_services: mixed.collect(),
        knows_versions: reader.get_knows_versions(),
    })
}
