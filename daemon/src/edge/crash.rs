//! Notices targets that end, as evidence against the requests that they ran and the parts of the
//! prompts.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use gentianhinge_core::quarantine::{Crash, EndedTarget, Quarantine};
use gentianhinge_core::report;
use gentianhinge_platform::connection;
use serde_json::json;
use tokio::task::{self, JoinHandle};
use tokio::time::{self, Instant};

use super::attempt::Outcome;
use super::spec::{Placement, RequestSpec};
use super::traffic::Traffic;

/// Timeout for connecting to a target that may have ended: some round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a request waits until it is known whether its silent target has ended.
const SILENT_CHECK_TIME: Duration = Duration::from_millis(50);

/// Whether a request may be sent to another target after it was sent to one and got no answer or a
/// broken one. If the target has ended, this is recorded, and told to the other routers.
///
/// `is_at_start` is whether the answer had begun without an event.
pub async fn may_retry(
    traffic: &Rc<Traffic>,
    spec: &RequestSpec,
    placement: &Placement,
    is_at_start: bool,
) -> bool {
    let target = &placement.target;
    let connected = connection::connect(target.addr, CONNECT_TIMEOUT).await;
    let has_ended = connected.is_err_and(|err| err.kind() == io::ErrorKind::ConnectionRefused);
    if !has_ended {
        return true;
    }
    let now = Instant::now();
    let (hash, request, parts) = (placement.hash, spec.identity.key(), spec.shared_parts());
    let mut state = traffic.context.state();
    let quarantine = &mut state.quarantine;
    let mut is_new = quarantine.record_ended(hash, request, now);
    let mut may_retry = quarantine.may_retry_request(request, &spec.tried, now);
    if is_at_start {
        let crash = Crash { target: hash, team: spec.team, at: now, parts: parts.clone() };
        is_new |= quarantine.record_crash(crash, now);
        may_retry &= quarantine.may_retry(&parts, now);
    }
    let evidence = quarantine.evidence(request, now);
    let crash_count = quarantine.crash_count();
    let is_quarantined = state.is_quarantined(spec, now);
    drop(state);
    if !is_new {
        return may_retry;
    }
    traffic.context.alert.notify_one();
    let part_ids = parts.iter().map(|part| format!("{part:x}")).collect::<Vec<_>>();
    traffic.context.log.state_change(json!({
        "event": "crash", "id": &*spec.request_id, "request": format!("{request:x}"),
        "target": &*target.id, "parts": part_ids, "at_start": is_at_start, "crashes": crash_count,
        "request_crashes": evidence.crash_count, "first_ms_ago": evidence.age.as_millis() as u64,
        "quarantined": is_quarantined, "retried": may_retry,
    }));
    may_retry
}

/// Records whether the target of an attempt has survived the request, as far as the outcome tells.
pub async fn record_outcome(
    traffic: &Rc<Traffic>,
    spec: &RequestSpec,
    placement: &Placement,
    outcome: &Outcome,
) {
    match outcome {
        // A target that fails may not have begun to run the request.
        outcome if outcome.is_error() => {}
        Outcome::Buffered(_) => record_request_answer(traffic, spec),
        Outcome::Unknown(_) => {
            // The check goes on if the request ends meanwhile.
            let _ = check_in_background(traffic, spec, placement.clone()).await;
        }
        Outcome::NotSent { .. } | Outcome::NotRun { .. } => {
            let quarantine = &mut traffic.context.state().quarantine;
            if !quarantine.is_empty() {
                quarantine.record_request_not_run(spec.identity.key(), Instant::now());
            }
        }
        Outcome::Events(_) => {}
    }
}

/// Checks whether a target that was silent has ended, while the request goes on.
pub fn check_in_background(
    traffic: &Rc<Traffic>,
    spec: &RequestSpec,
    placement: Placement,
) -> JoinHandle<()> {
    let (traffic, spec) = (traffic.clone(), spec.clone());
    task::spawn_local(async move {
        may_retry(&traffic, &spec, &placement, false).await;
    })
}

/// Checks whether a silent target has ended, before another one is tried. The request doesn't wait
/// for a target that can't be reached.
pub async fn check_silent(traffic: &Rc<Traffic>, spec: &RequestSpec, placement: &Placement) {
    let check = check_in_background(traffic, spec, placement.clone());
    // The check goes on after the timeout.
    let _ = time::timeout(SILENT_CHECK_TIME, check).await;
}

/// Whether a router may send a request to another target by itself.
pub fn may_send_again(traffic: &Rc<Traffic>, spec: &RequestSpec) -> bool {
    let quarantine = &traffic.context.state().quarantine;
    let now = Instant::now();
    quarantine.is_empty() || quarantine.may_retry_request(spec.identity.key(), &spec.tried, now)
}

/// Records that a request was answered completely, which clears it and the parts of its prompt.
pub fn record_answer(traffic: &Rc<Traffic>, spec: &RequestSpec) {
    record_request_answer(traffic, spec);
    let parts = spec.shared_parts();
    if !parts.is_empty() {
        traffic.context.state().quarantine.record_answer(&parts, Instant::now());
    }
}

/// Records that a request was answered, other than with a server error, which clears it.
fn record_request_answer(traffic: &Rc<Traffic>, spec: &RequestSpec) {
    let quarantine = &mut traffic.context.state().quarantine;
    if !quarantine.is_empty() {
        quarantine.record_request_answer(spec.identity.key(), Instant::now());
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

/// Targets that ended and of which the other routers haven't been told, for an alert.
pub fn unreported(quarantine: &mut Quarantine, now: Instant) -> Vec<report::EndedTarget> {
    quarantine.take_unreported_ended().into_iter().map(|ended| ended_line(ended, now)).collect()
}

/// Some of the ended targets that this router knows of, for its report.
pub fn reported_ended(quarantine: &mut Quarantine, now: Instant) -> Vec<report::EndedTarget> {
    quarantine.report_ended(now).into_iter().map(|ended| ended_line(ended, now)).collect()
}

#[allow(clippy::cast_possible_truncation)] // Ended targets are kept for some minutes.
fn ended_line(ended: EndedTarget, now: Instant) -> report::EndedTarget {
    let age_ms = now.duration_since(ended.at).as_millis() as u32;
    report::EndedTarget { target: ended.target, age_ms, requests: ended.requests.to_vec() }
}

/// A reported ended target; `None` if it ended before the clock's start.
pub fn ended_target(line: report::EndedTarget, now: Instant) -> Option<EndedTarget> {
    let at = now.checked_sub(Duration::from_millis(line.age_ms.into()))?;
    Some(EndedTarget { target: line.target, at, requests: line.requests.into_iter().collect() })
}
