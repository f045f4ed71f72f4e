//! Logs how old the router's views of the store's topics are, and what may have delayed them, once a
//! second in which something did.
//!
//! The lines of all routers tell a slow store from a late polling router, from lost datagrams, and
//! from threads of this process that got no processor time.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gentianhinge_core::load::ReportCounts;
use gentianhinge_core::report::{self, Topic};
use gentianhinge_platform::store::Usage;
use serde_json::{Value, json};
use tokio::time::{self, Instant};

use super::Context;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the lag of the control thread is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Age of a view, as a part of its bound, from which it is logged: the age at which all routers poll.
const OLD_PART: f64 = 0.75;

/// Part of the reports of others whose loss is logged.
const MISSED_PART: f64 = 0.05;

/// Lag of a thread that is logged.
const LONG_LAG: Duration = Duration::from_millis(100);

/// When polls of other routers were last received, by [`Topic::number`].
#[derive(Debug, Default)]
pub struct RelayTimes(Mutex<[Option<Instant>; Topic::ALL.len()]>);

impl RelayTimes {
    /// Records a poll that another router has relayed.
    pub fn record(&self, poll: &report::Poll) {
        let topic = usize::try_from(poll.topic.number()).unwrap_or_default();
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(time) = times.get_mut(topic) {
            *time = Some(Instant::now());
        }
    }

    fn since(&self, topic: usize, now: Instant) -> Option<Duration> {
        let times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times.get(topic).copied().flatten().map(|at| now.saturating_duration_since(at))
    }
}

/// Times within which the records of each topic must be known, by [`Topic::number`].
pub type Bounds = [Duration; Topic::ALL.len()];

/// Totals of calls to the store at one moment.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    begun_count: u64,
    answered_count: u64,
    timeout_count: u64,
    read_bytes: u64,
}

impl Calls {
    fn read(usage: &Usage) -> Calls {
        Calls {
            begun_count: usage.begun_count.load(Ordering::Relaxed),
            answered_count: usage.answered_count.load(Ordering::Relaxed),
            timeout_count: usage.timeout_count.load(Ordering::Relaxed),
            read_bytes: usage.read_bytes.load(Ordering::Relaxed),
        }
    }
}

/// What happened since the last line.
struct Second {
    calls_before: Calls,
    calls: Calls,
    reports: ReportCounts,
    peaks: Peaks,
}

/// Largest values of some samples.
#[derive(Clone, Copy, Debug, Default)]
struct Peaks {
    control_lag: Duration,
    /// Ages of the views, by [`Topic::number`]; `None` if one was never confirmed.
    ages: [Option<Duration>; Topic::ALL.len()],
}

/// Counts calls to the store and reports in the metrics, and logs delays; never returns.
pub async fn watch(context: Arc<Context>, usage: Arc<Usage>, bounds: Bounds) {
    let mut calls_before = Calls::default();
    loop {
        let peaks = sample(&context, LOG_INTERVAL).await;
        let calls = Calls::read(&usage);
        let reports = context.state().load.take_report_counts();
        let metrics = &context.metrics;
        metrics.store_timeouts.absolute(calls.timeout_count);
        metrics.store_read_bytes.absolute(calls.read_bytes);
        metrics.reports_received.increment(reports.received_count);
        metrics.reports_missed.increment(reports.missed_count);
        metrics.control_lag.record(peaks.control_lag.as_secs_f64());
        let second = Second { calls_before, calls, reports, peaks };
        if let Some(line) = log_line(&context, &second, &bounds, Instant::now()) {
            context.log.state_change(line);
        }
        calls_before = calls;
    }
}

/// Samples the lag of this thread's timers and the ages of the views for `time`.
async fn sample(context: &Context, time: Duration) -> Peaks {
    let ends_at = Instant::now() + time;
    let mut peaks = Peaks::default();
    while Instant::now() < ends_at {
        let due_at = Instant::now() + SAMPLE_INTERVAL;
        time::sleep_until(due_at).await;
        let now = Instant::now();
        peaks.control_lag = peaks.control_lag.max(now.saturating_duration_since(due_at));
        let mut state = context.state();
        for (peak, topic) in peaks.ages.iter_mut().zip(Topic::ALL) {
            *peak = (*peak).max(state.topic_view(topic).age(now));
        }
    }
    peaks
}

/// The log line of a second; `None` if nothing was late.
fn log_line(context: &Context, second: &Second, bounds: &Bounds, now: Instant) -> Option<Value> {
    let mut views = serde_json::Map::new();
    for (number, topic) in Topic::ALL.into_iter().enumerate() {
        let view = *context.state().topic_view(topic);
        let relayed = context.relay_times.since(number, now);
        let fields = json!({
            "age_ms": second.peaks.ages[number].map(as_ms), "relayed_ms": relayed.map(as_ms),
            "offset": view.next_offset, "is_behind": view.is_behind(),
        });
        views.insert(topic.name().to_string(), fields);
    }
    let is_old = |(age, bound): (Option<Duration>, &Duration)| {
        age.is_none_or(|age| age > bound.mul_f64(OLD_PART))
    };
    let timeout_count = second.calls.timeout_count - second.calls_before.timeout_count;
    let reports = &second.reports;
    let control_lag = second.peaks.control_lag;
    let traffic_lag = Duration::from_millis(context.lag_ms.load(Ordering::Relaxed));
    let is_late = second.peaks.ages.into_iter().zip(bounds).any(is_old)
        || timeout_count > 0
        || reports.missed_count as f64 > reports.received_count as f64 * MISSED_PART
        || control_lag.max(traffic_lag) > LONG_LAG;
    is_late.then(|| {
        json!({
            "event": "freshness", "views": views,
            "store": {
                "begun": second.calls.begun_count - second.calls_before.begun_count,
                "answered": second.calls.answered_count - second.calls_before.answered_count,
                "timeouts": timeout_count,
                "read_bytes": second.calls.read_bytes - second.calls_before.read_bytes,
            },
            "reports": {
                "received": reports.received_count, "missed": reports.missed_count,
                "late": reports.late_count,
            },
            "control_lag_ms": as_ms(control_lag), "traffic_lag_ms": as_ms(traffic_lag),
        })
    })
}

fn as_ms(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
