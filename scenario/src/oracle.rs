//! Checks the invariants of a run, and measures what scripts check.

use std::time::Duration;

use crate::script::Setup;
use crate::target::{Attempt, Target};
use crate::work::{CallerRequest, RequestOutcome};

/// Time after which a leaving target must get no requests.
pub const LEAVING_GRACE_TIME: Duration = Duration::from_secs(3);
/// Longest time between a request's deadline and its answer: two intervals of the router's timer.
const EXPIRY_TOLERANCE: Duration = Duration::from_millis(200);
/// Maximum number of violations recorded.
const MAX_VIOLATION_COUNT: usize = 20;

/// Routers that lost their dispatcher and haven't used a grant since.
#[derive(Clone, Debug)]
struct DispatcherLoss {
    at: Duration,
    routers: Vec<usize>,
}

/// A team's measurements in the current window.
#[derive(Clone, Debug, Default)]
struct TeamWindow {
    /// Whether requests waited at every sample.
    always_waited: bool,
    /// Delivered service per weight.
    service: f64,
    /// Since when requests have waited and none has run.
    unserved_since: Option<Duration>,
    longest_unserved: Duration,
    refused_count: u32,
}

/// Invariants and measurements of one run.
#[derive(Debug)]
pub struct Oracle {
    /// Violated invariants, as text.
    pub violations: Vec<String>,
    /// Maximum charged cost of a request, from the setup.
    largest_cost: f64,
    /// Charged cost of attempts that have ended, by team.
    ended_cost: Vec<f64>,
    /// Charged cost at the last sample, by team.
    sampled_cost: Vec<f64>,
    teams: Vec<TeamWindow>,
    window_start: Duration,
    waiting_since: Option<Duration>,
    longest_idle: Duration,
    busy_slot_s: f64,
    usable_slot_s: f64,
    greatest_gap: f64,
    greatest_queue: usize,
    greatest_dispatchers: usize,
    expired_count: u32,
    losses: Vec<DispatcherLoss>,
    longest_resume: Duration,
    /// Time from the start of leaving to the last request received, by target.
    leaving_starts: Vec<Option<Duration>>,
}

impl Oracle {
    /// Creates an oracle without measurements.
    pub fn new(setup: &Setup) -> Oracle {
        let team_count = setup.teams.len();
        let price = setup.classes.iter().map(|class| class.price_ratio).fold(0.0, f64::max);
        let largest = setup.teams.iter().map(|team| team.max_cost_tokens).max().unwrap_or(1);
        let mut oracle = Oracle {
            violations: Vec::new(),
            largest_cost: f64::from(largest) * price,
            ended_cost: vec![0.0; team_count],
            sampled_cost: vec![0.0; team_count],
            teams: vec![TeamWindow::default(); team_count],
            window_start: Duration::ZERO,
            waiting_since: None,
            longest_idle: Duration::ZERO,
            busy_slot_s: 0.0,
            usable_slot_s: 0.0,
            greatest_gap: 0.0,
            greatest_queue: 0,
            greatest_dispatchers: 0,
            expired_count: 0,
            losses: Vec::new(),
            longest_resume: Duration::ZERO,
            leaving_starts: vec![None; setup.target_count],
        };
        oracle.start_window(Duration::ZERO);
        oracle
    }

    /// Starts a new measurement window.
    pub fn start_window(&mut self, now: Duration) {
        self.window_start = now;
        for team in &mut self.teams {
            *team = TeamWindow { always_waited: true, ..TeamWindow::default() };
        }
        self.longest_idle = Duration::ZERO;
        self.busy_slot_s = 0.0;
        self.usable_slot_s = 0.0;
        self.greatest_gap = 0.0;
        self.greatest_queue = 0;
        self.greatest_dispatchers = 0;
        self.expired_count = 0;
        self.losses.clear();
        self.longest_resume = Duration::ZERO;
    }

    fn add_violation(&mut self, now: Duration, description: String) {
        if self.violations.len() < MAX_VIOLATION_COUNT {
            self.violations.push(format!("at {now:?}: {description}"));
        }
    }

    /// Records an interval in which no event happened.
    pub fn record_interval(
        &mut self,
        from: Duration,
        to: Duration,
        waiting: bool,
        targets: &[Target],
    ) {
        for target in targets.iter().filter(|target| target.is_usable()) {
            self.greatest_queue = self.greatest_queue.max(target.queue.len());
        }
        if !waiting {
            self.waiting_since = None;
            return;
        }
        let waiting_since = *self.waiting_since.get_or_insert(from);
        let since = waiting_since.max(self.window_start);
        let span_s = (to - from).as_secs_f64();
        for target in targets.iter().filter(|target| target.is_usable()) {
            self.usable_slot_s += target.slots.len() as f64 * span_s;
            self.busy_slot_s += target.busy_count() as f64 * span_s;
            if let Some((_, free_since)) = target.longest_free_slot() {
                self.longest_idle = self.longest_idle.max(to.saturating_sub(free_since.max(since)));
            }
        }
    }

    /// Records a sample of the teams' waiting and running requests and delivered service.
    pub fn sample(&mut self, now: Duration, samples: &[TeamSample], dispatchers: usize) {
        self.greatest_dispatchers = self.greatest_dispatchers.max(dispatchers);
        for (i, sample) in samples.iter().enumerate() {
            let team = &mut self.teams[i];
            let cost = self.ended_cost[i] + sample.running_cost;
            team.service += (cost - self.sampled_cost[i]) / sample.weight;
            self.sampled_cost[i] = cost;
            if sample.waiting_count == 0 {
                team.always_waited = false;
            }
            if sample.waiting_count == 0 || sample.running_count > 0 {
                team.unserved_since = None;
                continue;
            }
            let since = *team.unserved_since.get_or_insert(now);
            team.longest_unserved = team.longest_unserved.max(now - since);
        }
        let backlogged = self.teams.iter().filter(|team| team.always_waited);
        let services = backlogged.map(|team| team.service);
        let most = services.clone().fold(f64::NEG_INFINITY, f64::max);
        let least = services.fold(f64::INFINITY, f64::min);
        if most > least {
            self.greatest_gap = self.greatest_gap.max(most - least);
        }
    }

    /// Records the end of a request.
    pub fn on_outcome(&mut self, request: &CallerRequest, outcome: RequestOutcome) {
        if outcome.is_not_executed() && request.run_count > 0 {
            let description = format!("a request that ran ended as not executed: {outcome:?}");
            self.violations.push(description);
        }
        let RequestOutcome::Answered(code) = outcome else { return };
        match code.number() {
            200..=201 => self.teams[request.team].refused_count += 1,
            202 => self.expired_count += 1,
            _ => {}
        }
    }

    /// Checks a grant that a router uses.
    pub fn on_grant(&mut self, grant: &UsedGrant, request: &CallerRequest) {
        let now = grant.now;
        if let Some(outcome) = request.outcome {
            self.add_violation(now, format!("a request starts after its end: {outcome:?}"));
        }
        // After a pause, a process may handle the grant before its timer, which expires requests.
        let was_frozen = grant.thawed_ago < EXPIRY_TOLERANCE;
        if grant.late_by > EXPIRY_TOLERANCE && !was_frozen {
            self.add_violation(
                now,
                format!("a request starts {:?} after its deadline", grant.late_by),
            );
        }
        for loss in &mut self.losses {
            if grant.sent > loss.at && loss.routers.contains(&grant.node) {
                self.longest_resume = self.longest_resume.max(now - loss.at);
                loss.routers.clear();
            }
        }
        self.losses.retain(|loss| !loss.routers.is_empty());
    }

    /// Checks a request that a target receives.
    pub fn on_start(
        &mut self,
        now: Duration,
        request: &CallerRequest,
        attempt: &Attempt,
        target: &Target,
    ) {
        let may_run = 1 + if request.once { 0 } else { request.lost_count };
        if request.run_count > may_run {
            let (count, once) = (request.run_count, request.once);
            self.add_violation(now, format!("a request (once: {once}) runs {count} times"));
        }
        let Some(since) = target.leaving_since else { return };
        let leaving_for = now - since;
        self.leaving_starts[attempt.target] = Some(leaving_for);
        if leaving_for > LEAVING_GRACE_TIME {
            let name = &target.name;
            self.add_violation(
                now,
                format!("{name} gets a request {leaving_for:?} after it started leaving"),
            );
        }
    }

    /// Checks the number of requests at a target from the sessions of one dispatcher.
    pub fn on_ceiling(
        &mut self,
        now: Duration,
        request_count: usize,
        ceiling: usize,
        target: &Target,
    ) {
        if request_count > ceiling {
            let name = &target.name;
            self.add_violation(
                now,
                format!("one dispatcher has {request_count} requests at {name}, ceiling {ceiling}"),
            );
        }
    }

    /// Records that a slot, free until now, takes a request.
    pub fn on_slot_taken(&mut self, now: Duration, free_since: Duration) {
        let Some(waiting_since) = self.waiting_since else { return };
        let since = free_since.max(waiting_since).max(self.window_start);
        self.longest_idle = self.longest_idle.max(now.saturating_sub(since));
    }

    /// Records the charged cost of an attempt that has ended.
    pub fn on_delivered(&mut self, team: usize, cost: f64) {
        self.ended_cost[team] += cost;
    }

    /// Records that routers lost their dispatcher.
    pub fn on_dispatcher_lost(&mut self, now: Duration, routers: Vec<usize>) {
        if !routers.is_empty() {
            self.losses.push(DispatcherLoss { at: now, routers });
        }
    }

    /// Checks the graceful shutdown of a router.
    pub fn on_exit(&mut self, now: Duration, router: usize, unanswered_count: usize) {
        if unanswered_count > 0 {
            let name = router + 1;
            self.add_violation(
                now,
                format!("r{name} exits with {unanswered_count} requests unanswered"),
            );
        }
    }

    /// Checks a request that is unanswered at the end of the run.
    pub fn on_unanswered(&mut self, now: Duration, request: &CallerRequest) {
        let is_waiting = request.run_count == 0 || request.lost_count >= request.run_count;
        if is_waiting && now > request.deadline + EXPIRY_TOLERANCE {
            self.add_violation(now, "a request waits beyond its class's longest wait".to_owned());
        }
    }

    /// Maximum difference in service per weight between teams that waited at every sample, in
    /// units of the largest request; none if there are fewer than two such teams.
    pub fn gap_in_largest_requests(&self) -> Option<f64> {
        let backlogged = self.teams.iter().filter(|team| team.always_waited).count();
        (backlogged >= 2).then_some(self.greatest_gap / self.largest_cost)
    }

    /// Longest time that a slot was free while requests waited.
    pub fn longest_idle(&self) -> Duration {
        self.longest_idle
    }

    /// Share of slot time in use while requests waited, 0 to 1; none if none waited.
    pub fn utilisation(&self) -> Option<f64> {
        (self.usable_slot_s > 0.0).then(|| self.busy_slot_s / self.usable_slot_s)
    }

    /// Maximum number of requests at a target beyond its slots and look-ahead.
    pub fn greatest_overload(&self, lookahead: u32) -> usize {
        self.greatest_queue.saturating_sub(lookahead as usize)
    }

    /// Maximum number of dispatchers with sessions at one sample.
    pub fn greatest_dispatchers(&self) -> usize {
        self.greatest_dispatchers
    }

    /// Longest time from the loss of a dispatcher to the next grant used; none if none was lost.
    ///
    /// A loss without a grant so far counts up to `now`.
    pub fn longest_resume(&self, now: Duration) -> Option<Duration> {
        let open = self.losses.iter().map(|loss| now - loss.at).max();
        let longest = self.longest_resume.max(open.unwrap_or_default());
        (longest > Duration::ZERO).then_some(longest)
    }

    /// Longest time for which a team had requests waiting and none running.
    pub fn longest_unserved(&self) -> Duration {
        self.teams.iter().map(|team| team.longest_unserved).max().unwrap_or_default()
    }

    /// A team's share of all service per weight, 0 to 1; none if there was no service.
    pub fn share(&self, team: usize) -> Option<f64> {
        let all = self.teams.iter().map(|team| team.service).sum::<f64>();
        (all > 0.0).then(|| self.teams[team].service / all)
    }

    /// Number of a team's requests refused because of a limit.
    pub fn refused_count(&self, team: usize) -> u32 {
        self.teams[team].refused_count
    }

    /// Number of requests that have expired.
    pub fn expired_count(&self) -> u32 {
        self.expired_count
    }

    /// Time from the start of leaving to the last request a target received; none without one.
    pub fn last_leaving_start(&self, target: usize) -> Option<Duration> {
        self.leaving_starts[target]
    }
}

/// A team's requests at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamSample {
    /// Number of waiting requests.
    pub waiting_count: usize,
    /// Number of running requests.
    pub running_count: usize,
    /// Tokens delivered by running requests times their class's price.
    pub running_cost: f64,
    /// Weight of the team in the current table.
    pub weight: f64,
}

/// A grant that a router uses.
#[derive(Clone, Copy, Debug)]
pub struct UsedGrant {
    /// Index of the router.
    pub node: usize,
    /// When the dispatcher sent the grant.
    pub sent: Duration,
    /// When the router uses the grant.
    pub now: Duration,
    /// Time since the request's deadline; zero before it.
    pub late_by: Duration,
    /// Time since the router's last pause or restart.
    pub thawed_ago: Duration,
}
