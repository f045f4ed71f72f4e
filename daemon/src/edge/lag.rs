//! Detects an overloaded traffic thread by its timer lag, so that new callers go to other routers.
//!
//! Load pattern: the balancer sends a flood of one team to one small host. The host can't even
//! refuse in time the requests that it can't serve, while other hosts have free processor time.
//! Requests in progress have precedence, so connections are accepted more slowly as the lag grows.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::time::{self, Instant};

use super::Context;

/// Interval between two lag samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum lag of a sample: a process that was suspended once isn't overloaded.
const MAX_SAMPLE: Duration = Duration::from_millis(300);

/// Weight of a sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Mean lag above which the router isn't ready: a tenth of the shortest usual latency target.
const OVERLOADED_LAG: Duration = Duration::from_millis(80);

/// Mean lag below which the router becomes ready again.
const RECOVERED_LAG: Duration = Duration::from_millis(15);

/// Mean lag above which connections are accepted more slowly.
const SLOW_LAG: Duration = Duration::from_millis(30);

/// Pause between two accepted connections, as a part of the mean lag.
const ACCEPT_PAUSE_PART: f64 = 0.05;

/// Minimum time for which the router isn't ready. The balancer takes 2 s to notice, and the lag
/// would return if all callers of a flood came back at once.
const MIN_OVERLOAD_TIME: Duration = Duration::from_secs(5);

/// Detects an overloaded thread by the moving average of its timer lag.
#[derive(Clone, Copy, Debug, Default)]
pub struct LagMonitor {
    mean_lag_s: f64,
    overloaded_since: Option<Instant>,
}

impl LagMonitor {
    /// Adds a lag sample; returns whether the thread is overloaded.
    pub fn sample(&mut self, lag: Duration, now: Instant) -> bool {
        self.mean_lag_s += (lag.min(MAX_SAMPLE).as_secs_f64() - self.mean_lag_s) * SAMPLE_WEIGHT;
        match self.overloaded_since {
            None if self.mean_lag_s > OVERLOADED_LAG.as_secs_f64() => {
                self.overloaded_since = Some(now)
            }
            Some(since)
                if self.mean_lag_s < RECOVERED_LAG.as_secs_f64()
                    && now >= since + MIN_OVERLOAD_TIME =>
            {
                self.overloaded_since = None;
            }
            _ => {}
        }
        self.overloaded_since.is_some()
    }

    /// Moving average of the lag.
    pub fn mean_lag(&self) -> Duration {
        Duration::from_secs_f64(self.mean_lag_s.max(0.0))
    }
}

/// Pause after an accepted connection at this mean lag.
pub fn accept_pause(mean_lag: Duration) -> Duration {
    if mean_lag <= SLOW_LAG { Duration::ZERO } else { mean_lag.mul_f64(ACCEPT_PAUSE_PART) }
}

/// Monitors the lag of the thread it runs on; never returns.
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
