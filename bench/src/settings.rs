//! Command line and settings of a run.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

/// How requests are assigned to targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// One dispatcher of the core for each cell.
    Dispatch,
    /// Baseline: each router has an even share of the slots, and is fair among its own requests
    /// only.
    RouterAlone,
    /// Baseline: each request goes to a random target, which serves in order of arrival.
    FirstCome,
}

impl Policy {
    /// Name in the tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Dispatch => "dispatch",
            Policy::RouterAlone => "router-alone",
            Policy::FirstCome => "first-come",
        }
    }
}

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How requests are assigned to targets.
    pub policy: Policy,
    /// Number of routers.
    pub router_count: usize,
    /// Number of teams.
    pub team_count: usize,
    /// Number of cells.
    pub cell_count: usize,
    /// Number of targets in each cell.
    pub target_count: usize,
    /// Number of slots of each target.
    pub slots: u32,
    /// Requests that a dispatcher grants at each target beyond its slots.
    pub lookahead_slots: u32,
    /// Minimum cost of a request in tokens.
    pub min_cost: f64,
    /// Maximum cost of a request in tokens.
    pub max_cost: f64,
    /// One team in this many has requests ten times smaller; 0 for none.
    pub small_every: usize,
    /// Time that a target takes for one token.
    pub token_time: Duration,
    /// One-way delay of a message between a router and a dispatcher.
    pub delay: Duration,
    /// Longest time between two reports of a router.
    pub report_interval: Duration,
    /// Interval of the summaries over the cells; zero for none.
    pub summary_interval: Duration,
    /// Number of requests that each team keeps waiting.
    pub backlog_count: usize,
    /// Factor on the first team's backlog.
    pub flood_ratio: usize,
    /// Whether the teams' weights are 1, 2 and 4 in turn instead of 1.
    pub mixed_weights: bool,
    /// Simulated time before the measurement.
    pub warm_up: Duration,
    /// Simulated time of the measurement.
    pub measured: Duration,
    /// Seed of the costs and of the choice of routers.
    pub seed: u64,
}

/// The command line.
pub fn command() -> Command {
    Command::new("gentianhinge-bench")
        .about("Measures fairness gap, utilisation and control cost of the core's decisions")
        .subcommand_required(true)
        .subcommand(run_command())
        .subcommand(suite_command())
}

fn run_command() -> Command {
    Command::new("run")
        .about("Runs one benchmark; prints a row of the table")
        .arg(arg("policy", "dispatch").value_parser(["dispatch", "router-alone", "first-come"]))
        .arg(count("routers", "32"))
        .arg(count("teams", "16"))
        .arg(count("cells", "1"))
        .arg(count("targets", "20").help("Targets of each cell"))
        .arg(count("slots", "16"))
        .arg(count("lookahead", "1"))
        .arg(number("min-cost-tokens", "20"))
        .arg(number("max-cost-tokens", "2000"))
        .arg(
            count("small-every", "4")
                .help("One team in this many has ten times smaller requests; 0 for none"),
        )
        .arg(number("token-ms", "45"))
        .arg(number("delay-ms", "1.5"))
        .arg(number("report-s", "3"))
        .arg(number("summary-s", "3").help("Interval of the summaries over the cells; 0 for none"))
        .arg(count("backlog", "40").help("Requests that each team keeps waiting"))
        .arg(count("flood", "1").help("Factor on the first team's backlog"))
        .arg(Arg::new("mixed-weights").long("mixed-weights").num_args(0))
        .arg(number("warm-up-s", "120"))
        .arg(number("measured-s", "780"))
        .arg(count("seed", "1"))
}

fn suite_command() -> Command {
    Command::new("suite")
        .about("Runs all benchmarks of the documentation; writes a table and a plot")
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
    /// The defaults of the `run` command, which the suite varies.
    pub fn standard() -> Settings {
        let matches = command().get_matches_from(["gentianhinge-bench", "run"]);
        match matches.subcommand() {
            Some((_, run)) => Settings::from_matches(run),
            None => unreachable!("clap demands a subcommand"),
        }
    }

    /// Settings from the arguments of the `run` command.
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

    /// Number of slots in all cells.
    pub fn total_slots(&self) -> usize {
        self.cell_count * self.target_count * self.slots as usize
    }

    /// Number of requests that a team keeps waiting.
    pub fn backlog(&self, team: usize) -> usize {
        if team == 0 { self.backlog_count * self.flood_ratio } else { self.backlog_count }
    }

    /// Weight of a team: 1, or 1, 2 and 4 in turn with mixed weights.
    pub fn weight(&self, team: usize) -> f64 {
        if self.mixed_weights { f64::from(1u32 << (team % 3)) } else { 1.0 }
    }
}
