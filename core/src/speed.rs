//! Learns how fast targets are from the times to their first events.
//!
//! Load pattern: the targets of a service differ in speed by 2.4 times, and a target's speed changes
//! while it runs. With one assumed speed, slow targets get as much work as fast ones, and predicted
//! times are wrong by as much. One router sees 0.15 answers of a target per second, too few to learn
//! from, and the fleet 9; so routers exchange sums of what they observe.
//!
//! The *factor* of a target is the time that it takes relative to the nominal speed. It is the ratio
//! of the decayed sums of actual and expected times. An answer thus has a weight proportional to its
//! expected time: the time to a first event that was expected at once says little about the speed.
//!
//! Why this is stable:
//!
//! - The expected times are those at the nominal speed, for the tokens known to be ahead of the
//!   request. They don't depend on what was learned, so a longer prediction doesn't confirm itself. A
//!   target with a high factor gets less work, and its factor stays as it is, since the backlog is in
//!   the expected time. With few answers it moves to the mean of the service, so a target that was
//!   slow is tried again.
//! - Backlog that wasn't reported yet looks like slowness and leads to fewer requests, hence to less of
//!   such backlog. The half-life is several times the age of reports, so this doesn't oscillate.
//! - The fixed time of a service and the factors are learned from the same answers. Any split between
//!   them would be consistent if both had the same weights. Therefore short requests have most weight
//!   for the fixed time ([`fixed_time_weight`]), and long ones for the factors.
//! - Targets state how long work takes on their hosts at the moment, see [`Speeds::host_scale`]. It is
//!   divided out of an observed time, so that it isn't learned as well.

use std::time::Duration;

use tokio::time::Instant;

use crate::report::{self, Hash, HashKeyed};

/// Half-life of observations. A change of speed by 2.4 times has to be followed within 10 s, which is
/// 5 half-lives. At 9 answers per second, the sums stand for about 26 answers.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight of the mean of the service in the factor of a target, in expected ms: that of 2 answers to
/// usual prompts, which take 40 to 400 ms, as they have to outweigh it soon. With the weight of 5, the predictions for a target of 1.7
/// times the mean speed were still 40% too long after 5 s.
const PRIOR_MS: f64 = 350.0;

/// Maximum weight of one answer, in expected ms, so that a request behind a long backlog doesn't
/// outweigh [`PRIOR_MS`].
const MAX_WEIGHT_MS: f64 = 400.0;

/// Maximum ratio of an observed time to the learned one; longer ones count as this. On shared hosts,
/// 15% of the times are 2.5 times as long, and would raise the factor by 22%. A change of speed is
/// still followed, by at most this ratio in the time in which the sums are renewed.
const MAX_RISE: f64 = 1.4;

/// Maximum ratio of the learned time to an observed one. Short times have fewer outliers than long
/// ones, so this is wider than [`MAX_RISE`].
const MAX_DROP: f64 = 2.0;

/// Least factor: 160 tokens per ms at the nominal speed of 40. The fastest known targets process
/// 104; shorter times are due to parts of the prompt that were cached unknown to the router.
const MIN_FACTOR: f64 = 0.25;

/// Greatest factor. At an assumed 40 tokens per ms, targets had medians of up to 5.2; longer times are
/// failures, which the health of targets is for.
const MAX_FACTOR: f64 = 6.0;

/// Time in which a target's statement about its host fades to the usual one. Hosts are slow for 0.6 s
/// at a time, and statements reach other routers up to 0.4 s later.
const HOST_STATEMENT_TIME: Duration = Duration::from_millis(600);

/// Weight of a statement in the usual scale of its host, if it is below and above it. Other work slows
/// a host down for short times, so the lower statements show what is usual.
const USUAL_WEIGHTS: (f64, f64) = (0.5, 0.05);

/// Range of a host's scale; statements outside it count as its ends.
const HOST_SCALES: (f64, f64) = (0.25, 10.0);

/// Maximum number of targets in a report; the others follow in the next one.
const MAX_REPORTED: usize = 64;

/// Time for which the factor of a service is cached.
const SERVICE_FACTOR_TIME: Duration = Duration::from_millis(100);

/// Time after which a target without news is dropped, such as one that has gone: its observations
/// have no weight any more.
const EXPIRY_TIME: Duration = Duration::from_secs(60);

/// Expected time at which a request has half the weight of the shortest ones for the fixed time.
const SHORT_MS: f64 = 50.0;

/// A first event of a request that this router sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Prompt tokens ahead of the request and in it that weren't prefilled when it was sent.
    pub unread_tokens: f64,
    /// Time from sending to the first event, without the fixed time of the service.
    pub time_ms: f64,
    /// [`Speeds::host_scale`] when the request was sent.
    pub host_scale_at_send: f64,
}

/// Decayed sums of the times to first events.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    expected_ms: f64,
    actual_ms: f64,
}

/// What a target stated about its host.
#[derive(Clone, Copy, Debug)]
struct HostStatement {
    scale: f64,
    at: Instant,
    /// Scale that is usual, by all statements.
    usual_scale: f64,
}

impl HostStatement {
    fn first(scale: f64, now: Instant) -> HostStatement {
        HostStatement { scale, at: now, usual_scale: scale }
    }

    fn next(self, scale: f64, now: Instant) -> HostStatement {
        let (below, above) = USUAL_WEIGHTS;
        let weight = if scale < self.usual_scale { below } else { above };
        let usual_scale = self.usual_scale + (scale - self.usual_scale) * weight;
        HostStatement { scale, at: now, usual_scale }
    }
}

#[derive(Clone, Copy, Debug)]
struct Learned {
    sums: Sums,
    /// Time up to which the sums are decayed.
    at: Instant,
    host: Option<HostStatement>,
}

impl Learned {
    fn sums(&self, now: Instant) -> Sums {
        let half_lives = now.duration_since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let rest = (-half_lives).exp2();
        Sums { expected_ms: self.sums.expected_ms * rest, actual_ms: self.sums.actual_ms * rest }
    }

    fn host_scale(&self, now: Instant) -> f64 {
        let Some(host) = self.host else { return 1.0 };
        let age = now.duration_since(host.at).as_secs_f64() / HOST_STATEMENT_TIME.as_secs_f64();
        host.usual_scale + (host.scale - host.usual_scale) * (1.0 - age).max(0.0)
    }
}

/// Learned speeds of all targets.
#[derive(Debug)]
pub struct Speeds {
    nominal_tokens_per_ms: f64,
    targets: HashKeyed<Learned>,
    /// Own observations since the last report.
    unreported: HashKeyed<Sums>,
    service_factors: HashKeyed<(Instant, f64)>,
}

impl Speeds {
    /// Creates the speeds of targets of which nothing is known: they have the nominal speed.
    pub fn new(nominal_tokens_per_ms: f64) -> Speeds {
        Speeds {
            nominal_tokens_per_ms,
            targets: HashKeyed::default(),
            unreported: HashKeyed::default(),
            service_factors: HashKeyed::default(),
        }
    }

    /// Records a first event. `service_factor` is that of the target's service.
    pub fn record(
        &mut self,
        target: Hash,
        observation: &Observation,
        service_factor: f64,
        now: Instant,
    ) {
        let expected_ms = observation.unread_tokens / self.nominal_tokens_per_ms;
        // The host may have been slow for a part of the time only.
        let scale = f64::midpoint(observation.host_scale_at_send, self.host_scale(target, now));
        let ratio = observation.time_ms / scale / expected_ms;
        if expected_ms <= 0.0 || !ratio.is_finite() {
            return;
        }
        let factor = self.factor(target, service_factor, now);
        let ratio = ratio.clamp(factor / MAX_DROP, factor * MAX_RISE);
        let expected_ms = expected_ms.min(MAX_WEIGHT_MS);
        let sums = Sums { expected_ms, actual_ms: expected_ms * ratio };
        self.add(target, sums, now);
        let unreported = self.unreported.entry(target).or_default();
        unreported.expected_ms += sums.expected_ms;
        unreported.actual_ms += sums.actual_ms;
    }

    /// Records what a target states about its host: the time that work takes there at the moment, in
    /// percent of the usual time.
    pub fn record_host_percent(&mut self, target: Hash, percent: u32, now: Instant) {
        let scale = (f64::from(percent) / 100.0).clamp(HOST_SCALES.0, HOST_SCALES.1);
        let learned = self.learned(target, now);
        let first = HostStatement::first(scale, now);
        learned.host = Some(learned.host.map_or(first, |host| host.next(scale, now)));
    }

    /// Applies the observations of another router, which is told to all others by itself.
    pub fn apply_report(&mut self, lines: &[report::FirstEvents], now: Instant) {
        for line in lines {
            if line.host_percent > 0 {
                self.record_host_percent(line.target, line.host_percent, now);
            }
            let expected_ms = f64::from(line.expected_ms);
            let (least, most) = (expected_ms * MIN_FACTOR, expected_ms * MAX_FACTOR);
            let actual_ms = f64::from(line.actual_ms).clamp(least, most);
            self.add(line.target, Sums { expected_ms, actual_ms }, now);
        }
    }

    /// This router's observations since the last report.
    pub fn take_report(&mut self, now: Instant) -> Vec<report::FirstEvents> {
        let reported = self.unreported.keys().copied().take(MAX_REPORTED).collect::<Vec<_>>();
        let lines = reported.into_iter().filter_map(|target| {
            let sums = self.unreported.remove(&target)?;
            let percent = self.host_percent(target, now);
            Some(report::FirstEvents {
                target,
                expected_ms: whole(sums.expected_ms),
                actual_ms: whole(sums.actual_ms),
                host_percent: percent.unwrap_or_default(),
            })
        });
        lines.collect()
    }

    /// Mean factor of the targets of a service, at most [`SERVICE_FACTOR_TIME`] old; 1 if nothing is
    /// known of them.
    pub fn service_factor(
        &mut self,
        service: Hash,
        targets: impl Iterator<Item = Hash>,
        now: Instant,
    ) -> f64 {
        if let Some((at, factor)) = self.service_factors.get(&service)
            && now < *at + SERVICE_FACTOR_TIME
        {
            return *factor;
        }
        let mut total = Sums::default();
        for learned in targets.filter_map(|target| self.targets.get(&target)) {
            let sums = learned.sums(now);
            total.expected_ms += sums.expected_ms;
            total.actual_ms += sums.actual_ms;
        }
        let factor = factor(&total, 1.0);
        self.service_factors.insert(service, (now, factor));
        factor
    }

    /// Prompt tokens that a target processes per millisecond at the moment. `service_factor` is that
    /// of its service.
    pub fn tokens_per_ms(&self, target: Hash, service_factor: f64, now: Instant) -> f64 {
        self.nominal_tokens_per_ms / self.slowness(target, service_factor, now)
    }

    /// Time that a target takes at the moment relative to the nominal speed. `service_factor` is that of
    /// its service.
    pub fn slowness(&self, target: Hash, service_factor: f64, now: Instant) -> f64 {
        self.factor(target, service_factor, now) * self.host_scale(target, now)
    }

    /// How much longer than usual work takes on the target's host, as it stated lately; 1 if it
    /// stated nothing.
    pub fn host_scale(&self, target: Hash, now: Instant) -> f64 {
        self.targets.get(&target).map_or(1.0, |learned| learned.host_scale(now))
    }

    /// The same in percent; `None` if the target never stated it.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // 25 to 1,000.
    pub fn host_percent(&self, target: Hash, now: Instant) -> Option<u32> {
        let learned = self.targets.get(&target).filter(|learned| learned.host.is_some())?;
        Some((learned.host_scale(now) * 100.0).round() as u32)
    }

    /// Drops what is known of an incarnation of a target.
    pub fn forget(&mut self, target: Hash) {
        self.targets.remove(&target);
        self.unreported.remove(&target);
    }

    /// Drops targets without news for a long time.
    pub fn expire(&mut self, now: Instant) {
        let at =
            |learned: &Learned| learned.host.map_or(learned.at, |host| host.at.max(learned.at));
        self.targets.retain(|_, learned| now.duration_since(at(learned)) < EXPIRY_TIME);
    }

    fn factor(&self, target: Hash, service_factor: f64, now: Instant) -> f64 {
        let sums = self.targets.get(&target).map(|learned| learned.sums(now));
        factor(&sums.unwrap_or_default(), service_factor)
    }

    fn learned(&mut self, target: Hash, now: Instant) -> &mut Learned {
        let unknown = Learned { sums: Sums::default(), at: now, host: None };
        self.targets.entry(target).or_insert(unknown)
    }

    fn add(&mut self, target: Hash, sums: Sums, now: Instant) {
        let learned = self.learned(target, now);
        let before = learned.sums(now);
        learned.at = now;
        learned.sums = Sums {
            expected_ms: before.expected_ms + sums.expected_ms,
            actual_ms: before.actual_ms + sums.actual_ms,
        };
    }
}

/// Weight of a request for the fixed time of its service, 0 to 1, by the time expected beside it.
pub fn fixed_time_weight(expected_ms: f64) -> f64 {
    SHORT_MS / (SHORT_MS + expected_ms.max(0.0))
}

fn factor(sums: &Sums, prior_factor: f64) -> f64 {
    let factor = (sums.actual_ms + PRIOR_MS * prior_factor) / (sums.expected_ms + PRIOR_MS);
    factor.clamp(MIN_FACTOR, MAX_FACTOR)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // The cast saturates.
fn whole(ms: f64) -> u32 {
    ms.round() as u32
}
