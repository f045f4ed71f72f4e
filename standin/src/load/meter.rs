//! Counts and latencies of a team.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client::Outcome;

/// Precision of the histograms, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Fixed-point factor for service costs in atomic counters.
const UNITS_PER_COST: f64 = 1000.0;
/// Maximum number of retained reasons of broken responses.
const MAX_BROKEN_REASONS: usize = 3;

/// Counts of a team.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// Requests sent.
    pub request_count: u64,
    /// Complete responses.
    pub complete_count: u64,
    /// Requests not sent because too many were in progress.
    pub skipped_count: u64,
    /// Requests without a response within the drain timeout.
    pub unanswered_count: u64,
    /// Response tokens received.
    pub token_count: u64,
    /// Error responses by result code.
    pub errors: BTreeMap<u16, u64>,
    /// Requests without a response, and responses that were incomplete or belonged to another
    /// request and stated no result code.
    pub broken_count: u64,
    /// Reasons of the first broken responses.
    pub broken_reasons: Vec<String>,
}

/// Percentiles of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Percentiles {
    /// 50th percentile.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

#[derive(Debug)]
struct Inner {
    totals: Totals,
    head_us: Histogram<u64>,
    first_token_us: Histogram<u64>,
    inter_token_us: Histogram<u64>,
    total_us: Histogram<u64>,
}

/// Records the responses to a team's requests.
#[derive(Debug)]
pub struct Meter {
    service_units: AtomicU64,
    charged_units: AtomicU64,
    /// Value of `charged_units` when sending ended.
    charged_at_end: OnceLock<u64>,
    inner: Mutex<Inner>,
}

impl Default for Meter {
    fn default() -> Meter {
        let inner = Inner {
            totals: Totals::default(),
            head_us: histogram(),
            first_token_us: histogram(),
            inter_token_us: histogram(),
            total_us: histogram(),
        };
        Meter {
            service_units: AtomicU64::new(0),
            charged_units: AtomicU64::new(0),
            charged_at_end: OnceLock::new(),
            inner: Mutex::new(inner),
        }
    }
}

impl Meter {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds service when it is received.
    pub(super) fn add_service(&self, cost: f64, price_ratio: f64) {
        let units = cost * UNITS_PER_COST;
        self.service_units.fetch_add(units as u64, Ordering::Relaxed);
        self.charged_units.fetch_add((units * price_ratio) as u64, Ordering::Relaxed);
    }

    /// Cost of the tokens received so far.
    pub fn service_cost(&self) -> f64 {
        self.service_units.load(Ordering::Relaxed) as f64 / UNITS_PER_COST
    }

    /// Cost of the tokens received so far, multiplied by the price of each request's class.
    pub fn charged_cost(&self) -> f64 {
        self.charged_units.load(Ordering::Relaxed) as f64 / UNITS_PER_COST
    }

    /// Charged cost at the end of sending, or so far. Later service is excluded, since it goes to
    /// the teams that still have requests waiting, regardless of their shares.
    pub fn charged_cost_while_sending(&self) -> f64 {
        let units = self.charged_at_end.get().copied();
        units.map_or_else(|| self.charged_cost(), |units| units as f64 / UNITS_PER_COST)
    }

    /// Records the charged cost at the end of sending.
    pub(super) fn end_sending(&self) {
        self.charged_at_end.get_or_init(|| self.charged_units.load(Ordering::Relaxed));
    }

    /// Counts so far.
    pub fn totals(&self) -> Totals {
        self.lock().totals.clone()
    }

    /// Time to the response head, time to the first token, time between tokens, and total time.
    pub fn percentiles(&self) -> [Percentiles; 4] {
        let inner = self.lock();
        [&inner.head_us, &inner.first_token_us, &inner.inter_token_us, &inner.total_us]
            .map(percentiles)
    }

    pub(super) fn record_sent(&self) {
        self.lock().totals.request_count += 1;
    }

    pub(super) fn record_skipped(&self) {
        self.lock().totals.skipped_count += 1;
    }

    pub(super) fn record_unanswered(&self) {
        self.lock().totals.unanswered_count += 1;
    }

    /// Records a response of a plain service.
    pub(super) fn record_service_response(&self, status: u16, result_code: u16, total: Duration) {
        let mut inner = self.lock();
        if status == 200 {
            inner.totals.complete_count += 1;
            record(&mut inner.total_us, total);
        } else {
            *inner.totals.errors.entry(result_code).or_default() += 1;
        }
    }

    /// Records a request without a response.
    pub(super) fn record_failed(&self, reason: String) {
        self.lock().totals.record_broken(reason);
    }

    /// Records the outcome of a completion request.
    pub(super) fn record_response(&self, outcome: &Outcome) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.totals.token_count += outcome
            .usage
            .map_or(outcome.token_at.len() as u64, |usage| u64::from(usage.completion_tokens));
        if !outcome.is_complete() {
            if outcome.result_code != 0 {
                *inner.totals.errors.entry(outcome.result_code).or_default() += 1;
                return;
            }
            let reason = outcome.error.clone();
            inner
                .totals
                .record_broken(reason.unwrap_or_else(|| format!("status {}", outcome.status)));
            return;
        }
        inner.totals.complete_count += 1;
        record(&mut inner.total_us, outcome.ended_at - outcome.started_at);
        // Without streaming, the head arrives with the body and doesn't measure the queueing time.
        if let Some(&first_at) = outcome.token_at.first() {
            record(&mut inner.head_us, outcome.head_at - outcome.started_at);
            record(&mut inner.first_token_us, first_at - outcome.started_at);
        }
        for pair in outcome.token_at.windows(2) {
            record(&mut inner.inter_token_us, pair[1] - pair[0]);
        }
    }
}

impl Totals {
    fn record_broken(&mut self, reason: String) {
        self.broken_count += 1;
        if self.broken_reasons.len() < MAX_BROKEN_REASONS {
            self.broken_reasons.push(reason);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(SIGNIFICANT_DIGITS).expect("number of digits is valid")
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    // Can't fail, since the histogram resizes automatically.
    let _ = histogram.record(duration.as_micros() as u64);
}

/// Percentiles of a histogram of microseconds.
pub(crate) fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Percentiles { p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99) }
}
