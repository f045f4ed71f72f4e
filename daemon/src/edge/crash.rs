//! Notices targets that end as they begin to answer, as evidence against parts of the prompt.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use gentianhinge_core::quarantine::{Crash, Quarantine};
use gentianhinge_core::report;
use gentianhinge_platform::connection;
use serde_json::json;
use tokio::time::Instant;

use super::queue::InFlight;
use super::serve::Traffic;
use super::spec::RequestSpec;

/// Timeout for connecting to a target that may have ended: some round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether a request may be sent to another target after its stream broke before the first event. If
/// the target has ended, this is recorded, and told to the other routers.
pub async fn may_retry(traffic: &Rc<Traffic>, spec: &RequestSpec, in_flight: &InFlight) -> bool {
    let target = &in_flight.placement.target;
    let connected = connection::connect(target.addr, CONNECT_TIMEOUT).await;
    let has_ended = connected.is_err_and(|err| err.kind() == io::ErrorKind::ConnectionRefused);
    if !has_ended {
        return true;
    }
    let now = Instant::now();
    let parts = spec.shared_parts();
    let crash =
        Crash { target: in_flight.placement.hash, team: spec.team, at: now, parts: parts.clone() };
    let mut state = traffic.context.state();
    state.quarantine.record_crash(crash, now);
    let may_retry = state.quarantine.may_retry(&parts, now);
    let is_quarantined = state.is_quarantined(spec, now);
    let crash_count = state.quarantine.crash_count();
    drop(state);
    traffic.context.alert.notify_one();
    let part_ids = parts.iter().map(|part| format!("{part:x}")).collect::<Vec<_>>();
    traffic.context.log.state_change(json!({
        "event": "crash", "id": &*spec.request_id, "target": &*target.id, "parts": part_ids,
        "crashes": crash_count, "quarantined": is_quarantined, "retried": may_retry,
    }));
    may_retry
}

/// Records that a request was answered completely, which clears the parts of its prompt.
pub fn record_answer(traffic: &Rc<Traffic>, spec: &RequestSpec) {
    let parts = spec.shared_parts();
    if !parts.is_empty() {
        traffic.context.state().quarantine.record_answer(&parts, Instant::now());
    }
}

/// Some of the crashes that this router knows of, the latest one among them, for its report.
#[allow(clippy::cast_possible_truncation)] // Crashes are kept for some minutes.
pub fn reported(quarantine: &mut Quarantine, now: Instant) -> Vec<report::Crash> {
    let crashes = quarantine.report_crashes(now).into_iter();
    let lines = crashes.map(|crash| report::Crash {
        target: crash.target,
        team: crash.team,
        age_ms: now.duration_since(crash.at).as_millis() as u32,
        parts: crash.parts.to_vec(),
    });
    lines.collect()
}

/// A reported crash; `None` if it was before the clock's start.
pub fn from_report(line: report::Crash, now: Instant) -> Option<Crash> {
    let at = now.checked_sub(Duration::from_millis(line.age_ms.into()))?;
    let parts = line.parts.into_iter().collect();
    Some(Crash { target: line.target, team: line.team, at, parts })
}
