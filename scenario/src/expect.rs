//! Evaluates a script's checks against the measurements of a run.

use std::fmt;

use gentianhinge_core::code::ResultCode;

use crate::script::Expect;
use crate::work::RequestOutcome;
use crate::world::World;

/// Result of one check.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CheckResult {
    /// Whether the measurement is within the bound.
    pub(crate) passed: bool,
    /// The measurement as text, for the report.
    pub(crate) measured: String,
}

/// Evaluates a check against the measurements so far.
///
/// A check without a measurement fails, so that a script that caused no work can't pass.
pub(crate) fn evaluate(world: &World, expect: &Expect) -> CheckResult {
    let oracle = &world.oracle;
    let lookahead = world.setup.lookahead_slots;
    match expect {
        Expect::Gap { max_largest_requests } => {
            at_most(oracle.gap_in_largest_requests(), *max_largest_requests)
        }
        Expect::IdleWhileWaiting(max) => at_most(Some(oracle.longest_idle()), *max),
        Expect::Utilisation { min } => at_least(oracle.utilisation(), *min),
        Expect::Overload { max } => at_most(Some(oracle.greatest_overload(lookahead)), *max),
        Expect::RunsPerRequest { max } => {
            at_most(world.requests.iter().map(|request| request.run_count).max(), *max)
        }
        Expect::GrantsResumeWithin(max) => at_most(oracle.longest_resume(world.now), *max),
        Expect::ServedWithin(max) => at_most(Some(oracle.longest_unserved()), *max),
        Expect::Share { team, share, tolerance } => {
            let measured = oracle.share(team_index(world, team));
            let passed = measured.is_some_and(|measured| (measured - share).abs() <= *tolerance);
            CheckResult { passed, measured: format!("{measured:?}") }
        }
        Expect::NoWorkOn { target, after } => no_work(world, *target, *after),
        Expect::Dispatchers { min } => at_least(Some(oracle.greatest_dispatchers()), *min),
        Expect::Refused { team, min } => {
            at_least(Some(oracle.refused_count(team_index(world, team))), *min)
        }
        Expect::Expired { min } => at_least(Some(oracle.expired_count()), *min),
        Expect::AllAnswered => all_answered(world),
        Expect::Drained(nodes) => {
            let remaining_count = nodes.iter().filter(|node| !world.nodes[**node].exited).count();
            CheckResult {
                passed: remaining_count == 0,
                measured: format!("{remaining_count} routers haven't exited"),
            }
        }
    }
}

fn team_index(world: &World, name: &str) -> usize {
    let found = world.setup.teams.iter().position(|team| team.name == name);
    found.expect("the parser accepts only known teams")
}

fn at_most<T: PartialOrd + fmt::Debug>(measured: Option<T>, bound: T) -> CheckResult {
    CheckResult {
        passed: measured.as_ref().is_some_and(|measured| *measured <= bound),
        measured: describe(measured),
    }
}

fn at_least<T: PartialOrd + fmt::Debug>(measured: Option<T>, bound: T) -> CheckResult {
    CheckResult {
        passed: measured.as_ref().is_some_and(|measured| *measured >= bound),
        measured: describe(measured),
    }
}

fn describe<T: fmt::Debug>(measured: Option<T>) -> String {
    measured.map_or_else(|| "no measurement".to_owned(), |measured| format!("{measured:?}"))
}

fn no_work(world: &World, target: usize, after: std::time::Duration) -> CheckResult {
    let last = world.oracle.last_leaving_start(target);
    let is_leaving = world.targets[target].leaving_since.is_some();
    CheckResult {
        passed: is_leaving && last.is_none_or(|last| last <= after),
        measured: describe(last),
    }
}

fn all_answered(world: &World) -> CheckResult {
    let is_answered = |outcome: Option<RequestOutcome>| {
        matches!(
            outcome,
            Some(
                RequestOutcome::Answered(ResultCode::Ok | ResultCode::TargetLost)
                    | RequestOutcome::RouterLost
            )
        )
    };
    let count = world.requests.len();
    let remaining_count =
        world.requests.iter().filter(|request| !is_answered(request.outcome)).count();
    CheckResult {
        passed: remaining_count == 0 && count > 0,
        measured: format!("{remaining_count} of {count} requests unanswered"),
    }
}
