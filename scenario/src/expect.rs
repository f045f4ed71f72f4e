//! Checks of a script against what the oracle saw.

use std::fmt;

use gentianhinge_core::code::ResultCode;

use crate::script::Expect;
use crate::work::Outcome;
use crate::world::World;

/// What a check saw.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Verdict {
    /// Whether the check holds.
    pub(crate) holds: bool,
    /// What was seen, in words.
    pub(crate) seen: String,
}

/// Holds a check against what was seen.
///
/// A check for which nothing was seen fails, so that a script can't pass for want of work.
pub(crate) fn judge(world: &World, expect: &Expect) -> Verdict {
    let oracle = &world.oracle;
    let lookahead = world.setup.lookahead_slots;
    match expect {
        Expect::Gap { most_largest } => at_most(oracle.gap_largest(), *most_largest),
        Expect::IdleWhileWaiting(most) => at_most(Some(oracle.longest_idle()), *most),
        Expect::Utilisation { least } => at_least(oracle.utilisation(), *least),
        Expect::Overload { most } => at_most(Some(oracle.greatest_overload(lookahead)), *most),
        Expect::RunsPerRequest { most } => {
            at_most(world.requests.iter().map(|request| request.run_count).max(), *most)
        }
        Expect::GrantsResumeWithin(most) => at_most(oracle.longest_resume(world.now), *most),
        Expect::ServedWithin(most) => at_most(Some(oracle.longest_unserved()), *most),
        Expect::Share { team, share, tolerance } => {
            let seen = oracle.share(team_index(world, team));
            let holds = seen.is_some_and(|seen| (seen - share).abs() <= *tolerance);
            Verdict { holds, seen: format!("{seen:?}") }
        }
        Expect::NoWorkOn { target, after } => no_work(world, *target, *after),
        Expect::Dispatchers { least } => at_least(Some(oracle.greatest_dispatchers()), *least),
        Expect::Refused { team, least } => {
            at_least(Some(oracle.refused_count(team_index(world, team))), *least)
        }
        Expect::Expired { least } => at_least(Some(oracle.expired_count()), *least),
        Expect::AllAnswered => all_answered(world),
        Expect::Drained(nodes) => {
            let left = nodes.iter().filter(|node| !world.nodes[**node].exited).count();
            Verdict { holds: left == 0, seen: format!("{left} haven't shut down") }
        }
    }
}

fn team_index(world: &World, name: &str) -> usize {
    let found = world.setup.teams.iter().position(|team| team.name == name);
    found.expect("the parser knows the teams")
}

fn at_most<T: PartialOrd + fmt::Debug>(seen: Option<T>, bound: T) -> Verdict {
    Verdict { holds: seen.as_ref().is_some_and(|seen| *seen <= bound), seen: text(seen) }
}

fn at_least<T: PartialOrd + fmt::Debug>(seen: Option<T>, bound: T) -> Verdict {
    Verdict { holds: seen.as_ref().is_some_and(|seen| *seen >= bound), seen: text(seen) }
}

fn text<T: fmt::Debug>(seen: Option<T>) -> String {
    seen.map_or_else(|| "nothing was seen".to_owned(), |seen| format!("{seen:?}"))
}

fn no_work(world: &World, target: usize, after: std::time::Duration) -> Verdict {
    let last = world.oracle.last_leaving_start(target);
    let left = world.targets[target].leaving_since.is_some();
    Verdict { holds: left && last.is_none_or(|last| last <= after), seen: text(last) }
}

fn all_answered(world: &World) -> Verdict {
    let is_answered = |outcome: Option<Outcome>| {
        matches!(
            outcome,
            Some(Outcome::Told(ResultCode::Ok | ResultCode::TargetLost) | Outcome::RouterLost)
        )
    };
    let count = world.requests.len();
    let left = world.requests.iter().filter(|request| !is_answered(request.outcome)).count();
    Verdict { holds: left == 0 && count > 0, seen: format!("{left} of {count} aren't") }
}
