//! Admission control: decides whether a request is sent, waits at its router or is refused.
//!
//! A target processes prompts in order of arrival, so under overload a request that is sent early
//! delays everything behind it. Requests therefore wait at their router and are sent when the
//! backlog of their target falls to a threshold. [`Rank`] orders them: teams within their share go
//! before those above it, then requests that aren't late, then the more urgent ones.
//!
//! The threshold alone favours a team that calls many routers over one that calls a single router,
//! because with many routers some router finds an idle target at any time. A team above its share
//! is therefore also held to a limit on the mean backlog of all targets, which falls as its excess
//! grows.
//!
//! When every target is above the threshold, large teams take capacity as soon as it frees up. A
//! team that was served too little of what is due to it may use busier targets than the others,
//! also for requests that are already late, so that it doesn't have to be the first to find a free
//! target.

use std::time::Duration;

use tokio::time::Instant;

use crate::holds;
use crate::share::TeamShare;

/// Parameters of admission. Backlogs are in milliseconds of prefill, see [`BestTarget::wait_ms`].
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Backlog of a target up to which it receives the most urgent requests.
    pub threshold_ms: f64,
    /// Factor on the threshold for each step of urgency below the highest.
    pub urgency_factor: f64,
    /// Factor on the threshold for a request that can no longer meet its latency target.
    pub late_factor: f64,
    /// Share ratio of a team above which its threshold falls.
    pub full_threshold_ratio: f64,
    /// Factor on the threshold for a team that has used exactly its share.
    pub full_share_factor: f64,
    /// Share ratio of a team from which its threshold is 0, so that it only gets targets without a
    /// backlog.
    pub zero_threshold_ratio: f64,
    /// Mean backlog of all targets up to which a team at twice its share is admitted. At other
    /// ratios the limit is divided by the square of the excess over the share.
    pub double_share_mean_ms: f64,
    /// Longest wait at the router before a request is refused.
    pub max_wait: Duration,
    /// Factor on `max_wait` for a team above its share.
    pub over_share_wait_factor: f64,
    /// Shortfall up to which a team has no precedence, as a few waiting requests already cause one.
    pub precedence_min_shortfall: f64,
    /// Shortfall from which precedence is full.
    pub precedence_full_shortfall: f64,
    /// Factor on the threshold at full precedence.
    pub precedence_factor: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            threshold_ms: 400.0,
            urgency_factor: 0.6,
            late_factor: 0.03,
            full_threshold_ratio: 0.6,
            full_share_factor: 0.15,
            zero_threshold_ratio: 1.8,
            double_share_mean_ms: 20.0,
            max_wait: Duration::from_millis(500),
            over_share_wait_factor: 0.5,
            precedence_min_shortfall: 0.2,
            precedence_full_shortfall: 0.6,
            precedence_factor: 6.0,
        }
    }
}

impl Policy {
    /// The policy for a retry at another target: it is sent at once if there is a slot.
    pub fn for_retries() -> Policy {
        Policy {
            threshold_ms: f64::INFINITY,
            urgency_factor: 1.0,
            late_factor: 1.0,
            full_threshold_ratio: f64::INFINITY,
            double_share_mean_ms: f64::INFINITY,
            ..Policy::default()
        }
    }

    /// Factor on the threshold for a team with this share ratio, from 1 down to 0.
    pub fn share_factor(&self, ratio: f64) -> f64 {
        let between = |from: f64, to: f64| ((ratio - from) / (to - from)).clamp(0.0, 1.0);
        if ratio <= self.full_threshold_ratio {
            1.0
        } else if ratio <= OVER_SHARE {
            1.0 - (1.0 - self.full_share_factor) * between(self.full_threshold_ratio, OVER_SHARE)
        } else {
            self.full_share_factor * (1.0 - between(OVER_SHARE, self.zero_threshold_ratio))
        }
    }

    /// Precedence of a team with this shortfall, 0 to 1.
    pub fn precedence(&self, shortfall: f64) -> f64 {
        let span = self.precedence_full_shortfall - self.precedence_min_shortfall;
        ((shortfall - self.precedence_min_shortfall) / span).clamp(0.0, 1.0)
    }

    /// Backlog of a target up to which it receives a request that can meet its latency target.
    fn threshold_ms(&self, request: &WaitingRequest) -> f64 {
        let TeamShare { ratio, shortfall } = request.team_share;
        let urgency_factor = self.urgency_factor.powi(request.urgency_step.min(8) as i32);
        let precedence_factor = 1.0 + (self.precedence_factor - 1.0) * self.precedence(shortfall);
        self.threshold_ms * urgency_factor * self.share_factor(ratio) * precedence_factor
    }

    /// Whether any target could be admitted for the request now. Under overload this is usually
    /// false, which saves the choice among all targets.
    pub fn may_send(&self, request: &WaitingRequest, backlog: &ServiceBacklog) -> bool {
        self.is_fleet_idle_for(request.team_share.ratio, backlog.mean_wait_ms)
            && backlog.least_wait_ms <= self.threshold_ms(request)
    }

    /// Whether the mean backlog is low enough for a team with this share ratio.
    fn is_fleet_idle_for(&self, ratio: f64, mean_wait_ms: f64) -> bool {
        let excess = (ratio - OVER_SHARE) / OVER_SHARE;
        excess <= 0.0 || mean_wait_ms * excess.powi(2) <= self.double_share_mean_ms
    }
}

/// A request that waits for admission.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// When it arrived at the router, or was queued again for a retry.
    pub arrived_at: Instant,
    /// Time by which its first event meets the latency target.
    pub due_at: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Steps of urgency below the most urgent requests of the service; 0 is the most urgent.
    pub urgency_step: u32,
    /// How much its team has used of its share.
    pub team_share: TeamShare,
}

/// Expected times at the target chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct BestTarget {
    /// Backlog: time until the target has prefilled the prompts that were sent to it before.
    pub wait_ms: f64,
    /// Time to prefill this request.
    pub read_ms: f64,
    /// Whether the target has a free slot.
    pub has_slot: bool,
    /// Mean backlog of all targets of the service.
    pub mean_wait_ms: f64,
    /// Expected time until the target takes a request; zero unless all targets have limits.
    pub opens_in: Duration,
}

impl BestTarget {
    /// Stands for the targets of a service none of which takes a request for this time.
    pub fn closed_for(opens_in: Duration) -> BestTarget {
        let wait_ms = opens_in.as_secs_f64() * 1e3;
        BestTarget { wait_ms, read_ms: 0.0, has_slot: false, mean_wait_ms: wait_ms, opens_in }
    }
}

/// Backlog of the targets of a service as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceBacklog {
    /// Mean backlog of the targets.
    pub mean_wait_ms: f64,
    /// Minimum backlog of any target; infinite if there is none.
    pub least_wait_ms: f64,
}

/// Result of [`decide`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send the request to the chosen target.
    Send,
    /// Keep it queued and decide again later.
    Wait,
    /// Refuse it; it wasn't executed.
    Refuse {
        /// Time after which a new attempt is likely to be served.
        retry_after: Duration,
    },
}

/// Share ratio above which a team is over its share.
pub const OVER_SHARE: f64 = 1.0;

/// Shortest `retry_after`: a router's queue clears in about this time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Least factor on an estimated `retry_after`.
const MIN_JITTER_FACTOR: f64 = 0.8;

/// Greatest factor on a `retry_after`, also on one that targets state.
const MAX_JITTER_FACTOR: f64 = 1.4;

/// Adds jitter to a `retry_after`, so that callers refused at the same time don't return at the same
/// time; none returns before targets take requests, in `opens_in`. `draw` is uniformly distributed
/// from 0 to 1.
pub fn add_jitter(retry_after: Duration, opens_in: Duration, draw: f64) -> Duration {
    let [least, greatest] = if opens_in.is_zero() {
        [MIN_JITTER_FACTOR, MAX_JITTER_FACTOR]
    } else {
        [1.0, MAX_JITTER_FACTOR / holds::MAX_JITTER_FACTOR]
    };
    retry_after.mul_f64(least + (greatest - least) * draw)
}

/// Order in which waiting requests are decided on; the least comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_over_share: bool,
    has_no_precedence: bool,
    is_late: bool,
    urgency_step: u32,
    arrived_at: Instant,
}

impl WaitingRequest {
    /// Whether the first event is expected by `due_at`.
    pub fn can_be_on_time(&self, best: &BestTarget, now: Instant) -> bool {
        let expected = now + Duration::from_secs_f64((best.wait_ms + best.read_ms).max(0.0) / 1e3);
        expected <= self.due_at
    }

    /// Rank of the request at `now`; it changes when the request becomes late.
    pub fn rank(&self, policy: &Policy, now: Instant) -> Rank {
        let has_precedence = policy.precedence(self.team_share.shortfall) > 0.0;
        Rank {
            is_over_share: self.team_share.ratio > OVER_SHARE,
            has_no_precedence: !has_precedence,
            is_late: now >= self.due_at,
            urgency_step: self.urgency_step,
            arrived_at: self.arrived_at,
        }
    }
}

/// Decides on one request; `best` is `None` if the service has no usable target.
pub fn decide(
    policy: &Policy,
    request: &WaitingRequest,
    best: Option<&BestTarget>,
    now: Instant,
) -> Verdict {
    let waited = now.duration_since(request.arrived_at);
    let TeamShare { ratio, shortfall } = request.team_share;
    if let Some(best) = best {
        let mut threshold_ms = policy.threshold_ms(request);
        if !request.can_be_on_time(best, now) {
            threshold_ms *= policy.late_factor.powf(1.0 - policy.precedence(shortfall));
        }
        let is_idle = policy.is_fleet_idle_for(ratio, best.mean_wait_ms);
        if best.has_slot && best.wait_ms <= threshold_ms && is_idle {
            return Verdict::Send;
        }
    }
    let wait_factor = if ratio > OVER_SHARE { policy.over_share_wait_factor } else { 1.0 };
    let max_wait = policy.max_wait.mul_f64(wait_factor);
    let opens_in = best.map_or(Duration::ZERO, |best| best.opens_in);
    if waited + opens_in < max_wait && now + opens_in < request.deadline {
        return Verdict::Wait;
    }
    let backlog_ms = best.map_or(0.0, |best| best.wait_ms);
    let retry_after = Duration::from_secs_f64(backlog_ms.max(0.0) / 1e3).max(MIN_RETRY_AFTER);
    Verdict::Refuse { retry_after }
}
