//! Counts retries that were sent and denied, and logs them once a second with what decided it.
//!
//! The lines of all routers together show what each took for spent of a service's budget, and how
//! old its knowledge of the others was.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::report;
use serde_json::{Value, json};
use tokio::time::{self, Instant};

use super::Context;

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Retries for one service at this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    sent_count: u32,
    denied_count: u32,
}

/// Retries by service since the last log line.
#[derive(Debug, Default)]
pub struct RetryCounts {
    services: Mutex<BTreeMap<Name, Counts>>,
}

impl RetryCounts {
    fn services(&self) -> MutexGuard<'_, BTreeMap<Name, Counts>> {
        // A panic while counting leaves counts that are off by one retry at most.
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a retry that was sent, or denied as the budget had no room for it.
    pub fn count(&self, service: &Name, is_sent: bool) {
        let mut services = self.services();
        let counts = services.entry(service.clone()).or_default();
        counts.sent_count += u32::from(is_sent);
        counts.denied_count += u32::from(!is_sent);
    }
}

/// Logs the counts once a second in which there were any; never returns.
pub async fn log_counts(context: Arc<Context>) {
    let started_at = Instant::now();
    loop {
        time::sleep(LOG_INTERVAL).await;
        let services = std::mem::take(&mut *context.retry_counts.services());
        for (service, counts) in services {
            context.log.state_change(log_line(&context, &service, counts, started_at));
        }
    }
}

fn log_line(context: &Context, service: &Name, counts: Counts, started_at: Instant) -> Value {
    let now = Instant::now();
    let mut state = context.state();
    let routers = state.load.router_count(now);
    let usage = state.retries.usage(report::hash(service, 0), now);
    drop(state);
    json!({
        "event": "retries", "service": &**service,
        "sent": counts.sent_count, "denied": counts.denied_count,
        "requests": usage.requests.round() as u64, "retries": usage.retries.round() as u64,
        "allowed": usage.allowed as u64, "own_retries": usage.own_retries,
        "own_allowed": usage.own_allowed as u64,
        "oldest_report_ms": usage.report_age.as_millis() as u64, "routers": routers,
        "up_ms": now.duration_since(started_at).as_millis() as u64,
    })
}
