//! Settings of a run, from the command line.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

/// How requests come to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Dispatchers of the core, one for each cell.
    Dispatch,
    /// Each router fair by itself with an even share of the slots.
    RouterAlone,
    /// First come, first served, at a random target.
    FirstCome,
}

impl Policy {
    /// Name in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Dispatch => "dispatch",
            Policy::RouterAlone => "router-alone",
            Policy::FirstCome => "first-come",
        }
    }
}

/// One run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How requests come to targets.
    pub policy: Policy,
    /// Number of routers.
    pub router_count: usize,
    /// Number of teams.
    pub team_count: usize,
    /// Number of cells.
    pub cell_count: usize,
    /// Targets of each cell.
    pub target_count: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Requests granted beyond the slots of a target.
    pub lookahead_slots: u32,
    /// Least cost of a request in tokens.
    pub min_cost: f64,
    /// Greatest cost of a request in tokens.
    pub max_cost: f64,
    /// Every so many teams have requests ten times smaller; 0 for none.
    pub small_every: usize,
    /// Time a token.
    pub token_time: Duration,
    /// Time of a message between routers, one way.
    pub delay: Duration,
    /// Time between reports of costs.
    pub report_interval: Duration,
    /// Time between sums over the cells.
    pub summary_interval: Duration,
    /// Waiting requests that each team keeps up.
    pub backlog_count: usize,
    /// Factor on the backlog of the first team.
    pub flood_ratio: usize,
    /// Whether weights differ, from 1 to 4.
    pub mixed_weights: bool,
    /// Time before measuring.
    pub warm_up: Duration,
    /// Time of measuring.
    pub measured: Duration,
    /// Seed of costs and arrivals.
    pub seed: u64,
}

/// The bench's command.
pub fn command() -> Command {
    Command::new("gentianhinge-bench")
        .about("Measures fairness gap, utilisation and control cost of the core's decisions")
        .subcommand_required(true)
        .subcommand(run_command())
        .subcommand(suite_command())
}

fn run_command() -> Command {
    Command::new("run")
        .about("One run; prints a line of the table")
        .arg(arg("policy", "dispatch").value_parser(["dispatch", "router-alone", "first-come"]))
        .arg(count("routers", "32"))
        .arg(count("teams", "16"))
        .arg(count("cells", "1"))
        .arg(count("targets", "20").help("Targets of each cell"))
        .arg(count("slots", "16"))
        .arg(count("lookahead", "1"))
        .arg(number("min-cost-tokens", "20"))
        .arg(number("max-cost-tokens", "2000"))
        .arg(count("small-every", "4").help("One team in so many has ten times smaller requests"))
        .arg(number("token-ms", "45"))
        .arg(number("delay-ms", "1.5"))
        .arg(number("report-s", "3"))
        .arg(number("summary-s", "3").help("Time between sums over the cells; 0 for none"))
        .arg(count("backlog", "40").help("Waiting requests that each team keeps up"))
        .arg(count("flood", "1").help("Factor on the first team's backlog"))
        .arg(Arg::new("mixed-weights").long("mixed-weights").num_args(0))
        .arg(number("warm-up-s", "120"))
        .arg(number("measured-s", "780"))
        .arg(count("seed", "1"))
}

fn suite_command() -> Command {
    Command::new("suite")
        .about("All runs of the docs; writes a table and a plot")
        .arg(arg("out", "docs").help("Directory of the table and the plot"))
        .arg(number("measured-s", "780"))
}

fn arg(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default)
}

fn count(name: &'static str, default: &'static str) -> Arg {
    arg(name, default).value_parser(value_parser!(u32))
}

fn number(name: &'static str, default: &'static str) -> Arg {
    arg(name, default).value_parser(value_parser!(f64))
}

impl Settings {
    /// Settings that the suite varies.
    pub fn standard() -> Settings {
        let matches = command().get_matches_from(["gentianhinge-bench", "run"]);
        match matches.subcommand() {
            Some((_, run)) => Settings::from_matches(run),
            None => unreachable!("clap demands a subcommand"),
        }
    }

    /// Settings from the arguments of `run`.
    pub fn from_matches(matches: &ArgMatches) -> Settings {
        let count = |name| *matches.get_one::<u32>(name).expect("has a default");
        let number = |name| *matches.get_one::<f64>(name).expect("has a default");
        let millis = |name| Duration::from_secs_f64(number(name) / 1_000.0);
        let secs = |name| Duration::from_secs_f64(number(name));
        let policy = match matches.get_one::<String>("policy").map(String::as_str) {
            Some("router-alone") => Policy::RouterAlone,
            Some("first-come") => Policy::FirstCome,
            _ => Policy::Dispatch,
        };
        Settings {
            policy,
            router_count: count("routers") as usize,
            team_count: count("teams") as usize,
            cell_count: count("cells") as usize,
            target_count: count("targets") as usize,
            slots: count("slots"),
            lookahead_slots: count("lookahead"),
            min_cost: number("min-cost-tokens"),
            max_cost: number("max-cost-tokens"),
            small_every: count("small-every") as usize,
            token_time: millis("token-ms"),
            delay: millis("delay-ms"),
            report_interval: secs("report-s"),
            summary_interval: secs("summary-s"),
            backlog_count: count("backlog") as usize,
            flood_ratio: count("flood") as usize,
            mixed_weights: matches.get_flag("mixed-weights"),
            warm_up: secs("warm-up-s"),
            measured: secs("measured-s"),
            seed: u64::from(count("seed")),
        }
    }

    /// Slots of all cells.
    pub fn total_slots(&self) -> usize {
        self.cell_count * self.target_count * self.slots as usize
    }

    /// Waiting requests that a team keeps up.
    pub fn backlog(&self, team: usize) -> usize {
        if team == 0 { self.backlog_count * self.flood_ratio } else { self.backlog_count }
    }

    /// Weight of a team.
    pub fn weight(&self, team: usize) -> f64 {
        if self.mixed_weights { f64::from(1u32 << (team % 3)) } else { 1.0 }
    }
}
