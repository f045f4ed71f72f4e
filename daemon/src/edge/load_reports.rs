//! Load reports between routers, as UDP datagrams.

use std::collections::BTreeMap;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gentianhinge_core::report;
use gentianhinge_platform::peers;
use gentianhinge_wire::load;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::state::RouterState;
use super::{Context, crash, polls, statements};

/// Minimum interval between two reports: about the time in which a target processes a prompt.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between two reports with sums of teams and services, which also serve as
/// heartbeats: a tenth of the window over which shares are computed.
const SUMS_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum interval between two reports of all targets.
const FULL_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum bytes per second sent to all other routers together; in a large fleet reports become
/// less frequent.
const MAX_SENT_BYTES_PER_S: f64 = 90_000.0;

/// Maximum part of these bytes for reports of all targets. They only repair lost reports, and must
/// not displace reports of changes.
const FULL_PART: f64 = 0.3;

/// Maximum part of these bytes for sums of teams and services.
const SUMS_PART: f64 = 0.3;

/// Part left for targets whose load has changed and for changes of cached prompt parts.
const CHANGES_PART: f64 = 1.0 - FULL_PART - SUMS_PART;

/// Maximum bytes per second of reports of begun streams, beyond the others. There are none while one
/// software version serves each service.
const MAX_STREAM_BYTES_PER_S: f64 = 30_000.0;

/// Minimum number of routers in another zone for which a report is sent to one of them, which
/// relays it in its zone. Relaying saves traffic between zones, which is charged for; in a small
/// fleet, a failed relay would lose too many reports.
const MIN_RELAYED_ROUTERS: usize = 6;

/// The other routers, as registered in the store.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    by_name: Arc<Mutex<BTreeMap<String, peers::Peer>>>,
}

/// Addresses to which one report is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Receivers {
    /// Routers that don't relay the report.
    pub direct: Vec<net::SocketAddr>,
    /// One router in each of the larger other zones, which relays the report there.
    pub relays: Vec<net::SocketAddr>,
}

impl Peers {
    /// Sets the address of a router; `None` removes it.
    pub fn set(&self, name: &str, peer: Option<peers::Peer>) {
        let mut by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        match peer {
            Some(peer) => by_name.insert(name.to_string(), peer),
            None => by_name.remove(name),
        };
    }

    /// Receivers of report `seq` of a router in `zone`. Relays rotate with each report, so that a
    /// failed relay loses only a part of the reports and needs no failover.
    pub fn receivers(&self, zone: &str, seq: u64) -> Receivers {
        let by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        let mut zones = BTreeMap::<&str, Vec<net::SocketAddr>>::new();
        for peer in by_name.values() {
            zones.entry(&peer.zone).or_default().push(peer.addr);
        }
        let mut receivers = Receivers::default();
        for (other, addrs) in zones {
            if other == zone || other.is_empty() || addrs.len() < MIN_RELAYED_ROUTERS {
                receivers.direct.extend(addrs);
            } else {
                // The cast can't truncate: the remainder is less than the length.
                receivers.relays.push(addrs[(seq % addrs.len() as u64) as usize]);
            }
        }
        receivers
    }

    /// Addresses of the other routers in a zone.
    fn of_zone(&self, zone: &str) -> Vec<net::SocketAddr> {
        let by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        by_name.values().filter(|peer| peer.zone == zone).map(|peer| peer.addr).collect()
    }

    fn count(&self) -> usize {
        self.by_name.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

/// Receives the reports of other routers; never returns. Polls of the store are passed to `polls`.
pub async fn receive(
    context: Arc<Context>,
    socket: Arc<UdpSocket>,
    peers: Peers,
    polls: polls::PollSenders,
) {
    let mut buffer = vec![0; load::MAX_DATAGRAM_BYTES];
    loop {
        let len = match socket.recv_from(&mut buffer).await {
            Ok((len, _)) => len,
            Err(err) => {
                // An unreachable receiver of an earlier report can cause this; the socket stays
                // usable.
                context.metrics.report_failures.increment(1);
                tracing::debug!("can't receive a load report: {err}");
                time::sleep(REPORT_INTERVAL).await;
                continue;
            }
        };
        match load::decode(&buffer[..len]) {
            Ok(mut report) => {
                if std::mem::take(&mut report.forward_in_zone) {
                    deliver(&context, &socket, &report, &peers.of_zone(&context.zone)).await;
                }
                for poll in std::mem::take(&mut report.polls) {
                    context.relay_times.record(&poll);
                    polls.send(poll);
                }
                let news = context.state().apply_report(report, Instant::now());
                log_news(&context, &news);
            }
            Err(err) => {
                context.metrics.report_failures.increment(1);
                tracing::debug!("can't decode a load report: {err}");
            }
        }
    }
}

/// Logs what another router reported of targets' statements.
fn log_news(context: &Context, news: &statements::ReportedNews) {
    for target in &news.leaving {
        super::log_leaving(context, target, "router");
    }
    for target in &news.gone {
        context.log.state_change(json!({
            "event": "target", "target": &**target, "outcome": "gone", "source": "router",
        }));
    }
    for (target, change) in &news.limits {
        let state = context.state();
        let id = state.target_id(*target);
        drop(state);
        super::log_limit(context, id.as_deref().unwrap_or_default(), change, "router");
    }
}

/// Sends this router's reports and its polls of the store, which come from `polls`; never returns.
pub async fn send(
    context: Arc<Context>,
    socket: Arc<UdpSocket>,
    peers: Peers,
    mut polls: mpsc::Receiver<report::Poll>,
) {
    let mut schedule = Schedule::new(Instant::now());
    let mut seq = 1;
    let mut router_count = 0;
    loop {
        let due_at = schedule.next_at().min(schedule.streams_at);
        let poll = tokio::select! {
            Some(poll) = polls.recv() => Some(poll),
            () = context.alert.notified() => {
                let mut report = compose_alert(&context, seq);
                deliver_to_all(&context, &socket, &peers, &mut report).await;
                seq += 1;
                continue;
            }
            () = time::sleep_until(due_at) => None,
        };
        if let Some(poll) = poll {
            relay_poll(&context, &socket, &peers, seq, poll).await;
            seq += 1;
            continue;
        }
        let now = Instant::now();
        if now >= schedule.streams_at {
            let has_untold = context.state().versions.has_untold();
            let len = if has_untold {
                let (mut report, _) = compose(&context, seq, NO_PARTS);
                report.streams = context.state().versions.take_report();
                seq += 1;
                deliver_to_all(&context, &socket, &peers, &mut report).await
            } else {
                0
            };
            schedule.streams_sent(len * peers.count(), now);
        }
        let parts = schedule.parts(now);
        if !parts.has_changes && !parts.has_sums {
            continue;
        }
        if parts.has_sums {
            super::log_cold(&context);
        }
        let (mut report, count) = compose(&context, seq, parts);
        log_spreading(&context);
        if count != router_count {
            context.log.state_change(
                json!({ "event": "routers", "count": count, "before": router_count }),
            );
            router_count = count;
        }
        if !has_content(parts, &report) {
            schedule.sent(parts, 0, now);
            continue;
        }
        let len = deliver_to_all(&context, &socket, &peers, &mut report).await;
        // Only reports that were sent are numbered, so that receivers notice lost ones.
        seq += 1;
        schedule.sent(parts, len * peers.count(), now);
    }
}

/// Logs the services over whose targets load is spread from now on.
fn log_spreading(context: &Context) {
    let news = context.state().take_spreading_news();
    for (service, cause) in news {
        context.log.state_change(json!({
            "event": "load-spreading", "service": &*service, "cause": cause.name(),
        }));
    }
}

/// Whether a report that is due tells anything. What a report takes out of a queue is told once, so
/// it must not be dropped.
pub fn has_content(parts: Parts, report: &report::LoadReport) -> bool {
    parts.has_sums
        || !report.targets.is_empty()
        || !report.cached_parts.is_empty()
        || !report.limits.is_empty()
        || !report.cleared_parts.is_empty()
        || !report.cleared_requests.is_empty()
        || !report.first_events.is_empty()
}

/// Sends the result of a poll to all other routers.
async fn relay_poll(
    context: &Context,
    socket: &UdpSocket,
    peers: &Peers,
    seq: u64,
    poll: report::Poll,
) {
    let (mut report, _) = compose(context, seq, NO_PARTS);
    report.polls.push(poll);
    deliver_to_all(context, socket, peers, &mut report).await;
}

/// Sends a report to all other routers; returns the size of the datagram.
async fn deliver_to_all(
    context: &Context,
    socket: &UdpSocket,
    peers: &Peers,
    report: &mut report::LoadReport,
) -> usize {
    let receivers = peers.receivers(&context.zone, report.seq);
    let len = deliver(context, socket, report, &receivers.direct).await;
    report.forward_in_zone = true;
    deliver(context, socket, report, &receivers.relays).await;
    len
}

/// Sends a report to some addresses; returns the size of the datagram.
async fn deliver(
    context: &Context,
    socket: &UdpSocket,
    report: &report::LoadReport,
    addrs: &[net::SocketAddr],
) -> usize {
    let datagram = load::encode(report);
    context.metrics.report_sent_bytes.increment((datagram.len() * addrs.len()) as u64);
    for addr in addrs {
        if let Err(err) = socket.send_to(&datagram, addr).await {
            context.metrics.report_failures.increment(1);
            tracing::debug!("can't send a load report to {addr}: {err}");
        }
    }
    datagram.len()
}

/// Contents of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parts {
    /// Targets whose load has changed, and changes of cached prompt parts.
    pub has_changes: bool,
    /// Sums of teams and services.
    pub has_sums: bool,
    /// All targets with load, instead of only the changed ones.
    pub is_full: bool,
}

/// Parts of a report that is sent out of schedule.
const NO_PARTS: Parts = Parts { has_changes: false, has_sums: false, is_full: false };

/// Schedule of reports and their parts. Each part has a byte budget of its own, so that no part
/// delays another.
#[derive(Debug)]
pub struct Schedule {
    changes_at: Instant,
    sums_at: Instant,
    full_at: Instant,
    /// When the next report of begun streams is due, which has no other parts.
    streams_at: Instant,
}

impl Schedule {
    /// Creates a schedule whose first report has all parts.
    pub fn new(now: Instant) -> Schedule {
        let first_at = now + REPORT_INTERVAL;
        Schedule {
            changes_at: first_at,
            sums_at: first_at,
            full_at: first_at,
            streams_at: first_at,
        }
    }

    /// Time at which the next report is due.
    pub fn next_at(&self) -> Instant {
        self.changes_at.min(self.sums_at)
    }

    /// Parts of a report sent at `now`.
    pub fn parts(&self, now: Instant) -> Parts {
        let has_changes = now >= self.changes_at;
        Parts {
            has_changes,
            has_sums: now >= self.sums_at,
            is_full: has_changes && now >= self.full_at,
        }
    }

    /// Records a report of begun streams with a total of `sent_bytes` over all receivers.
    pub fn streams_sent(&mut self, sent_bytes: usize, now: Instant) {
        let pause_s = sent_bytes as f64 / MAX_STREAM_BYTES_PER_S;
        self.streams_at = now + REPORT_INTERVAL.max(Duration::from_secs_f64(pause_s));
    }

    /// Records a report with `parts` and a total of `sent_bytes` over all receivers.
    pub fn sent(&mut self, parts: Parts, sent_bytes: usize, now: Instant) {
        let time_at =
            |part: f64| Duration::from_secs_f64(sent_bytes as f64 / (MAX_SENT_BYTES_PER_S * part));
        if parts.has_sums {
            self.sums_at = now + SUMS_INTERVAL.max(time_at(SUMS_PART));
        }
        if parts.is_full {
            self.full_at = now + FULL_INTERVAL.max(time_at(FULL_PART));
        }
        if parts.has_changes {
            // A report with other parts, too, is charged to the budgets of those parts.
            let is_charged_to_others = parts.is_full || parts.has_sums;
            let pause = if is_charged_to_others { Duration::ZERO } else { time_at(CHANGES_PART) };
            self.changes_at = now + REPORT_INTERVAL.max(pause);
        }
    }
}

/// Composes a report of what other routers have to know at once.
fn compose_alert(context: &Context, seq: u64) -> report::LoadReport {
    let (mut report, _) = compose(context, seq, NO_PARTS);
    let now = Instant::now();
    let mut state = context.state();
    report.crashes = crash::reported(&mut state.quarantine, now);
    report.ended = crash::unreported(&mut state.quarantine, now);
    report.limits = state.target_limits.own_report(false, now);
    report.leaving = state.statements.leaving(now);
    report.late_records = late_records(&state);
    report
}

fn late_records(state: &RouterState) -> Vec<report::LateRecord> {
    state.registry.late_records().take(report::MAX_LATE_RECORDS).collect()
}

/// Composes a report with these parts; also returns the number of routers heard.
pub fn compose(context: &Context, seq: u64, parts: Parts) -> (report::LoadReport, usize) {
    let now = Instant::now();
    let mut state = context.state();
    state.load.expire(now);
    if parts.has_sums {
        state.target_limits.expire(now);
        state.holds.expire(now);
        state.speeds.expire(now);
    }
    state.refresh_shares(now);
    let (mixed_services, knows_versions) =
        (state.versions.mixed_services(now), state.versions.knows_past(now));
    let report = report::LoadReport {
        sender: context.name.clone(),
        incarnation: context.incarnation,
        seq,
        targets: if parts.has_changes { state.load.own_report(parts.is_full) } else { Vec::new() },
        teams: if parts.has_sums { state.shares.own_report(now) } else { Vec::new() },
        services: if parts.has_sums { state.retries.own_report(now) } else { Vec::new() },
        cached_parts: if parts.has_changes {
            state.load.take_new_cached_parts()
        } else {
            Vec::new()
        },
        is_full: parts.is_full,
        store_era: state.store_era(),
        offsets: state.offsets(),
        polls: Vec::new(),
        forward_in_zone: false,
        crashes: if parts.has_sums {
            crash::reported(&mut state.quarantine, now)
        } else {
            Vec::new()
        },
        cleared_parts: state.quarantine.take_cleared(),
        ended: if parts.has_sums {
            crash::reported_ended(&mut state.quarantine, now)
        } else {
            Vec::new()
        },
        cleared_requests: state.quarantine.take_cleared_requests(),
        leaving: if parts.has_sums { state.statements.leaving(now) } else { Vec::new() },
        late_records: if parts.has_sums { late_records(&state) } else { Vec::new() },
        // Sums are also the heartbeats of routers and must not become less frequent for this.
        first_events: if parts.is_full { state.speeds.take_report(now) } else { Vec::new() },
        streams: Vec::new(),
        mixed_services,
        knows_versions,
        limits: if parts.has_changes || parts.has_sums {
            state.target_limits.own_report(parts.has_sums, now)
        } else {
            Vec::new()
        },
    };
    (report, state.load.router_count(now))
}
