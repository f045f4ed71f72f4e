//! Holds requests back while targets are busy, and turns away what has no chance.
//!
//! Load pattern: more work arrives than targets can read. A target serves in order of arrival, so
//! what is sent early makes everything behind it late. Requests wait at their router instead, and
//! are sent when their target will begin them soon: first those that can still be on time, of the
//! most urgent kind, of teams below their share.
//!
//! Load pattern: a large team sends through all routers, a smaller one through a single router. Each
//! router finds some idle target at some moment, so the large team would get most of what frees. The
//! more a team is above its share, the idler the whole fleet must be before it gets more.
//!
//! Load pattern: targets are busier than the threshold, and large teams fill whatever frees. A team
//! that has got too little of what is due to it may send to busier targets than the others, and late,
//! so that it doesn't depend on being the first to see a free target.

use std::time::Duration;

use tokio::time::Instant;

use crate::share::TeamShare;

/// Settings of the wait.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Unread work at a target, in ms, below which it gets the most urgent requests.
    pub threshold_ms: f64,
    /// Factor on the threshold for each step of urgency below the first.
    pub urgency_factor: f64,
    /// Factor on the threshold for a request that can't be on time any more.
    pub late_factor: f64,
    /// Ratio of a team's share from which its threshold falls.
    pub free_share: f64,
    /// Factor on the threshold for a team that has got its share.
    pub full_share_factor: f64,
    /// Ratio of a team's share from which it gets only targets with nothing to read.
    pub last_share: f64,
    /// Mean unread work of all targets, in ms, up to which a team gets more that has got twice its
    /// share. With other ratios it falls with the square of the excess.
    pub double_share_mean_ms: f64,
    /// Longest wait at the router.
    pub max_wait: Duration,
    /// Factor on the longest wait for a team above its share.
    pub over_share_wait_factor: f64,
    /// Shortfall up to which a team goes with the others: single requests that wait.
    pub free_shortfall: f64,
    /// Shortfall from which a team has full precedence.
    pub full_shortfall: f64,
    /// Factor on the threshold for a team with full precedence.
    pub precedence_factor: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            threshold_ms: 400.0,
            urgency_factor: 0.6,
            late_factor: 0.03,
            free_share: 0.6,
            full_share_factor: 0.15,
            last_share: 1.8,
            double_share_mean_ms: 20.0,
            max_wait: Duration::from_millis(500),
            over_share_wait_factor: 0.5,
            free_shortfall: 0.2,
            full_shortfall: 0.6,
            precedence_factor: 4.0,
        }
    }
}

impl Policy {
    /// The policy for a request that goes on at another target: at once if there is a slot.
    pub fn for_retries() -> Policy {
        Policy {
            threshold_ms: f64::INFINITY,
            urgency_factor: 1.0,
            late_factor: 1.0,
            free_share: f64::INFINITY,
            double_share_mean_ms: f64::INFINITY,
            ..Policy::default()
        }
    }

    /// Factor on the threshold for a team that has got this ratio of its share.
    pub fn share_factor(&self, ratio: f64) -> f64 {
        let between = |from: f64, to: f64| ((ratio - from) / (to - from)).clamp(0.0, 1.0);
        if ratio <= self.free_share {
            1.0
        } else if ratio <= OVER_SHARE {
            1.0 - (1.0 - self.full_share_factor) * between(self.free_share, OVER_SHARE)
        } else {
            self.full_share_factor * (1.0 - between(OVER_SHARE, self.last_share))
        }
    }

    /// Precedence of a team, 0 to 1, by what it lacks of what is due to it.
    pub fn precedence(&self, shortfall: f64) -> f64 {
        let span = self.full_shortfall - self.free_shortfall;
        ((shortfall - self.free_shortfall) / span).clamp(0.0, 1.0)
    }

    /// Unread work at a target, in ms, below which it gets a request that can be on time.
    fn threshold_ms(&self, waiter: &WaitingRequest) -> f64 {
        let TeamShare { ratio, shortfall } = waiter.team_share;
        let urgency_factor = self.urgency_factor.powi(waiter.urgency_step.min(8) as i32);
        let precedence_factor = 1.0 + (self.precedence_factor - 1.0) * self.precedence(shortfall);
        self.threshold_ms * urgency_factor * self.share_factor(ratio) * precedence_factor
    }

    /// Whether some target might get the request now. Under a flood most requests have no such target,
    /// and are spared the choice among all of them.
    pub fn may_send(&self, waiter: &WaitingRequest, outline: &ServiceBacklog) -> bool {
        self.has_idle_fleet(waiter.team_share.ratio, outline.mean_wait_ms)
            && outline.least_wait_ms <= self.threshold_ms(waiter)
    }

    /// Whether the fleet is idle enough for a team that has got this ratio of its share.
    fn has_idle_fleet(&self, ratio: f64, mean_wait_ms: f64) -> bool {
        let excess = (ratio - OVER_SHARE) / OVER_SHARE;
        excess <= 0.0 || mean_wait_ms * excess.powi(2) <= self.double_share_mean_ms
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// When it arrived at the router.
    pub arrived_at: Instant,
    /// Time at which it stops being on time.
    pub due_at: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Steps of urgency below the most urgent kind of the service.
    pub urgency_step: u32,
    /// Where its team stands against the others.
    pub team_share: TeamShare,
}

/// What a request's best target looks like.
#[derive(Clone, Copy, Debug)]
pub struct BestTarget {
    /// Time until the target has read what was sent before.
    pub wait_ms: f64,
    /// Time to read this request.
    pub read_ms: f64,
    /// Whether the target has a free slot.
    pub has_slot: bool,
    /// Mean over all targets of the time until they have read what was sent.
    pub mean_wait_ms: f64,
}

/// What the targets of a service look like as a whole.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceBacklog {
    /// Mean of the time until a target has read what was sent.
    pub mean_wait_ms: f64,
    /// Least of these times.
    pub least_wait_ms: f64,
}

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Send it to its best target.
    Send,
    /// Look again soon.
    Wait,
    /// Tell the caller that it wasn't run, and when to come back.
    Refuse {
        /// Time after which the caller is likely to be served.
        retry_after: Duration,
    },
}

/// Share ratio above which a team counts as above its share.
pub const OVER_SHARE: f64 = 1.0;

/// Least time to come back in, as a queue of that length clears in about that time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Place in the order in which requests are looked at; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    is_over_share: bool,
    has_no_precedence: bool,
    is_late: bool,
    urgency_step: u32,
    arrived_at: Instant,
}

impl WaitingRequest {
    /// Whether the first event can still come in time.
    pub fn can_be_on_time(&self, outlook: &BestTarget, now: Instant) -> bool {
        let expected = now + Duration::from_secs_f64((outlook.wait_ms + outlook.read_ms) / 1e3);
        expected <= self.due_at
    }

    /// Place of the request in the order.
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

/// Decides on one request; `outlook` is `None` if no target is there.
pub fn decide(
    policy: &Policy,
    waiter: &WaitingRequest,
    outlook: Option<&BestTarget>,
    now: Instant,
) -> Verdict {
    let waited = now.duration_since(waiter.arrived_at);
    let TeamShare { ratio, shortfall } = waiter.team_share;
    if let Some(outlook) = outlook {
        let mut threshold_ms = policy.threshold_ms(waiter);
        if !waiter.can_be_on_time(outlook, now) {
            threshold_ms *= policy.late_factor.powf(1.0 - policy.precedence(shortfall));
        }
        let is_idle = policy.has_idle_fleet(ratio, outlook.mean_wait_ms);
        if outlook.has_slot && outlook.wait_ms <= threshold_ms && is_idle {
            return Verdict::Send;
        }
    }
    let wait_factor = if ratio > OVER_SHARE { policy.over_share_wait_factor } else { 1.0 };
    let max_wait = policy.max_wait.mul_f64(wait_factor);
    if waited < max_wait && now < waiter.deadline {
        return Verdict::Wait;
    }
    let backlog_ms = outlook.map_or(0.0, |outlook| outlook.wait_ms);
    let retry_after = Duration::from_secs_f64(backlog_ms / 1e3).max(MIN_RETRY_AFTER);
    Verdict::Refuse { retry_after }
}
