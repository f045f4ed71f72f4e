//! Notices that the traffic thread falls behind, so that new callers go to other routers.
//!
//! Load pattern: the balancer sends one team's flood to one small host. What it can't serve in time
//! it can't even refuse in time, while its neighbours have processor time to spare. Those that it serves
//! go before those that it would refuse, so it accepts more slowly the further it falls behind.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::time::{self, Instant};

use super::Context;

/// Time between two samples of the lag.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Lag that counts at most for one sample: a process that stood still once isn't overloaded.
const MAX_SAMPLE: Duration = Duration::from_millis(300);

/// Part by which a sample changes the mean.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Mean lag from which new callers go elsewhere: a tenth of the shortest usual latency target.
const OVERLOADED_LAG: Duration = Duration::from_millis(80);

/// Mean lag below which they may come back.
const RECOVERED_LAG: Duration = Duration::from_millis(15);

/// Mean lag from which connections are accepted more slowly.
const SLOW_LAG: Duration = Duration::from_millis(30);

/// Part of the mean lag that passes between two accepted connections.
const ACCEPT_PAUSE_PART: f64 = 0.05;

/// Least time without new callers: the balancer takes two seconds to notice, and a flood of which all
/// callers come back at once would bring the lag back.
const MIN_OVERLOAD_TIME: Duration = Duration::from_secs(5);

/// Whether a thread falls behind, by how late its timers are.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagMonitor {
    mean_lag_s: f64,
    since: Option<Instant>,
}

impl LagMonitor {
    /// Takes a sample of the lag; returns whether the thread falls behind.
    pub fn sample(&mut self, lag: Duration, now: Instant) -> bool {
        self.mean_lag_s += (lag.min(MAX_SAMPLE).as_secs_f64() - self.mean_lag_s) * SAMPLE_WEIGHT;
        match self.since {
            None if self.mean_lag_s > OVERLOADED_LAG.as_secs_f64() => self.since = Some(now),
            Some(since)
                if self.mean_lag_s < RECOVERED_LAG.as_secs_f64()
                    && now >= since + MIN_OVERLOAD_TIME =>
            {
                self.since = None;
            }
            _ => {}
        }
        self.since.is_some()
    }

    /// Mean lag of the last samples.
    pub fn mean_lag(&self) -> Duration {
        Duration::from_secs_f64(self.mean_lag_s.max(0.0))
    }
}

/// Pause behind an accepted connection while the thread lags by this much at the mean.
pub fn accept_pause(mean_lag: Duration) -> Duration {
    if mean_lag <= SLOW_LAG { Duration::ZERO } else { mean_lag.mul_f64(ACCEPT_PAUSE_PART) }
}

/// Watches the thread that it runs on; never returns.
pub async fn run(context: Arc<Context>) {
    let mut monitor = LagMonitor::default();
    loop {
        let due_at = Instant::now() + SAMPLE_INTERVAL;
        time::sleep_until(due_at).await;
        let now = Instant::now();
        let is_overloaded = monitor.sample(now.saturating_duration_since(due_at), now);
        context.lag_ms.store(monitor.mean_lag().as_millis() as u64, Ordering::Relaxed);
        if context.is_overloaded.swap(is_overloaded, Ordering::Relaxed) != is_overloaded {
            let outcome = if is_overloaded { "not ready" } else { "ready again" };
            let lag_ms = monitor.mean_lag().as_millis() as u64;
            context
                .log
                .state_change(json!({ "event": "strain", "outcome": outcome, "lag_ms": lag_ms }));
        }
    }
}
