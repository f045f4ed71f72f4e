//! Statements of a scenario, and their text form.

use std::fmt;
use std::time;

/// A parsed scenario; `Display` writes it in a form that parses to the same script.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Routers, targets, teams and classes at the start.
    pub setup: Setup,
    /// Actions and checks in the order of the text.
    pub steps: Vec<Step>,
}

/// Routers, targets, teams and classes at the start of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    /// Seed of all random numbers of a run.
    pub seed: u64,
    /// Number of routers.
    pub router_count: usize,
    /// Number of targets.
    pub target_count: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Requests that a dispatcher grants at each target beyond its slots.
    pub lookahead_slots: u32,
    /// Minimum one-way delay between two nodes; the delay of a message is up to twice as long.
    pub delay: time::Duration,
    /// Longest time between two reports of a router.
    pub report_interval: time::Duration,
    /// Teams, which scripts refer to by name.
    pub teams: Vec<TeamSetup>,
    /// Classes; the first is the default of every team.
    pub classes: Vec<ClassSetup>,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            seed: 1,
            router_count: 1,
            target_count: 1,
            slots: 1,
            lookahead_slots: 0,
            delay: time::Duration::from_millis(1),
            report_interval: time::Duration::from_secs(1),
            teams: Vec::new(),
            classes: Vec::new(),
        }
    }
}

/// A team at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSetup {
    /// Name of the team.
    pub name: String,
    /// Share of the service relative to other teams.
    pub weight: f64,
    /// Minimum cost of a request, in tokens.
    pub min_cost_tokens: u32,
    /// Maximum cost of a request, in tokens.
    pub max_cost_tokens: u32,
    /// Limit on the requests that wait at one router.
    pub max_waiting_requests: u32,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSetup {
    /// Name of the class.
    pub name: String,
    /// Factor on the cost charged to the team.
    pub price_ratio: f64,
    /// Longest wait for a slot, after which the request expires.
    pub max_wait: time::Duration,
}

/// One action or check.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Line number in the text, from 1; 0 for a generated script.
    pub line: usize,
    /// When the action runs, since the start; if absent, in the order of the steps.
    pub at: Option<time::Duration>,
    /// The action or check.
    pub action: Action,
}

/// Indices of nodes or targets, from 0.
pub type Indices = Vec<usize>;

/// The processes that a fault applies to.
#[derive(Clone, Debug, PartialEq)]
pub enum Nodes {
    /// Routers by index.
    Routers(Indices),
    /// Routers that hold the dispatcher role and have sessions when the action runs.
    Dispatcher,
    /// Routers without a process when the action runs.
    Dead,
}

impl fmt::Display for Nodes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Nodes::Routers(indices) => f.write_str(&routers(indices)),
            Nodes::Dispatcher => f.write_str("dispatcher"),
            Nodes::Dead => f.write_str("dead"),
        }
    }
}

/// Requests that a team sends.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Name of the team.
    pub team: String,
    /// Name of the class; the default class if absent.
    pub class: Option<String>,
    /// Routers that the requests are sent to.
    pub routers: Indices,
    /// Requests per router; for a flood, requests per second and router.
    pub count: u32,
}

/// What a step does.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "the grammar in the crate's docs describes each action")]
pub enum Action {
    Backlog(Load),
    Submit { load: Load, once: bool },
    Flood { load: Load, duration: time::Duration },
    Cut(Indices, Indices),
    Heal,
    Freeze(Nodes, time::Duration),
    Kill(Nodes),
    Restart(Nodes),
    Drain(Nodes),
    Leave(usize),
    Crash(usize),
    Return(usize),
    Edit { team: String, weight: f64 },
    Measure,
    Run(time::Duration),
    Expect(Expect),
}

/// A check of the measurements.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "the grammar in the crate's docs describes each check")]
pub enum Expect {
    Gap { max_largest_requests: f64 },
    IdleWhileWaiting(time::Duration),
    Utilisation { min: f64 },
    Overload { max: usize },
    RunsPerRequest { max: u32 },
    GrantsResumeWithin(time::Duration),
    ServedWithin(time::Duration),
    Share { team: String, share: f64, tolerance: f64 },
    NoWorkOn { target: usize, after: time::Duration },
    Dispatchers { min: usize },
    Refused { team: String, min: u32 },
    Expired { min: u32 },
    AllAnswered,
    Drained(Indices),
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.setup)?;
        for step in &self.steps {
            if let Some(at) = step.at {
                write!(f, "at {}ms ", at.as_millis())?;
            }
            writeln!(f, "{}", step.action)?;
        }
        Ok(())
    }
}

impl fmt::Display for Setup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(f, "routers {}", self.router_count)?;
        let (count, slots) = (self.target_count, self.slots);
        writeln!(f, "targets {count} slots {slots} lookahead {}", self.lookahead_slots)?;
        writeln!(f, "delay {}ms", self.delay.as_millis())?;
        writeln!(f, "report {}ms", self.report_interval.as_millis())?;
        for team in &self.teams {
            let TeamSetup { name, weight, min_cost_tokens, max_cost_tokens, .. } = team;
            write!(f, "team {name} weight {weight} cost {min_cost_tokens}..{max_cost_tokens}")?;
            writeln!(f, " waiting {}", team.max_waiting_requests)?;
        }
        for class in &self.classes {
            let ClassSetup { name, price_ratio, max_wait } = class;
            writeln!(f, "class {name} price {price_ratio} wait {}ms", max_wait.as_millis())?;
        }
        Ok(())
    }
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.team)?;
        if let Some(class) = &self.class {
            write!(f, " class {class}")?;
        }
        write!(f, " on {}", routers(&self.routers))
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Action::Backlog(load) => write!(f, "backlog {load} count {}", load.count),
            Action::Submit { load, once } => {
                let once = if *once { " once" } else { "" };
                write!(f, "submit {load} count {}{once}", load.count)
            }
            Action::Flood { load, duration } => {
                write!(f, "flood {load} rate {} for {}ms", load.count, duration.as_millis())
            }
            Action::Cut(a, b) => write!(f, "cut {} | {}", routers(a), routers(b)),
            Action::Heal => write!(f, "heal"),
            Action::Freeze(nodes, span) => {
                write!(f, "freeze {nodes} {}ms", span.as_millis())
            }
            Action::Kill(nodes) => write!(f, "kill {nodes}"),
            Action::Restart(nodes) => write!(f, "restart {nodes}"),
            Action::Drain(nodes) => write!(f, "drain {nodes}"),
            Action::Leave(target) => write!(f, "leave t{}", target + 1),
            Action::Crash(target) => write!(f, "crash t{}", target + 1),
            Action::Return(target) => write!(f, "return t{}", target + 1),
            Action::Edit { team, weight } => write!(f, "edit {team} weight {weight}"),
            Action::Measure => write!(f, "measure"),
            Action::Run(span) => write!(f, "run {}ms", span.as_millis()),
            Action::Expect(expect) => write!(f, "expect {expect}"),
        }
    }
}

impl fmt::Display for Expect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Expect::Gap { max_largest_requests } => {
                write!(f, "gap <= {max_largest_requests} largest")
            }
            Expect::IdleWhileWaiting(max) => {
                write!(f, "idle-while-waiting <= {}ms", max.as_millis())
            }
            Expect::Utilisation { min } => write!(f, "utilisation >= {min}"),
            Expect::Overload { max } => write!(f, "overload <= {max}"),
            Expect::RunsPerRequest { max } => write!(f, "runs-per-request <= {max}"),
            Expect::GrantsResumeWithin(max) => {
                write!(f, "grants-resume-within {}ms", max.as_millis())
            }
            Expect::ServedWithin(max) => write!(f, "served-within {}ms", max.as_millis()),
            Expect::Share { team, share, tolerance } => {
                write!(f, "share {team} {share} +- {tolerance}")
            }
            Expect::NoWorkOn { target, after } => {
                write!(f, "no-work-on t{} after {}ms", target + 1, after.as_millis())
            }
            Expect::Dispatchers { min } => write!(f, "dispatchers >= {min}"),
            Expect::Refused { team, min } => write!(f, "refused {team} >= {min}"),
            Expect::Expired { min } => write!(f, "expired >= {min}"),
            Expect::AllAnswered => write!(f, "all-answered"),
            Expect::Drained(nodes) => write!(f, "drained {}", routers(nodes)),
        }
    }
}

fn routers(indices: &[usize]) -> String {
    let names = indices.iter().map(|index| format!("r{}", index + 1)).collect::<Vec<_>>();
    names.join(",")
}
