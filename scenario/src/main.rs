//! Runs scenario files or random schedules; for development only.
//!
//! `gentianhinge-scenario run FILE…` prints the measurement of each check.
//! `gentianhinge-scenario fuzz --schedules N --seed S` runs random schedules and prints the script
//! of each that fails.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use gentianhinge_scenario::{fuzz, parse, run};

fn command() -> Command {
    let files = Arg::new("file").required(true).action(ArgAction::Append);
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default)
    };
    Command::new("gentianhinge-scenario")
        .about("Runs scenarios on the router and dispatcher state machines")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Runs scenario files")
                .arg(files.value_parser(value_parser!(PathBuf))),
        )
        .subcommand(
            Command::new("fuzz")
                .about("Runs random schedules")
                .arg(number("schedules", "1000").help("Number of schedules"))
                .arg(number("seed", "1").help("Seed of the first schedule, incremented for each"))
                .arg(number("threads", "1").help("Number of threads")),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let ok = match matches.subcommand() {
        Some(("run", args)) => run_files(args),
        Some(("fuzz", args)) => run_schedules(args),
        _ => false,
    };
    if ok { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn run_files(args: &ArgMatches) -> bool {
    let files = args.get_many::<PathBuf>("file").into_iter().flatten();
    let failed = files.filter(|file| !run_file(file)).count();
    failed == 0
}

fn run_file(file: &PathBuf) -> bool {
    let name = file.display();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(err) => {
            eprintln!("{name}: {err}");
            return false;
        }
    };
    let script = match parse::parse(&text) {
        Ok(script) => script,
        Err(err) => {
            eprintln!("{name}: {err}");
            return false;
        }
    };
    let outcome = run::run(&script);
    println!("{name}: {} requests in {:?}", outcome.request_count, outcome.simulated_time);
    outcome.measured.iter().for_each(|line| println!("  {line}"));
    outcome.failures.iter().for_each(|line| println!("  failure: {line}"));
    outcome.failures.is_empty()
}

fn run_schedules(args: &ArgMatches) -> bool {
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    let (schedules, seed, threads) = (number("schedules"), number("seed"), number("threads"));
    let summary = fuzz::run_many(seed, schedules, threads);
    for failure in &summary.failures {
        println!("seed {}:", failure.seed);
        failure.reasons.iter().for_each(|reason| println!("  # {reason}"));
        println!("{}", failure.script);
    }
    println!(
        "{} schedules from seed {seed}: {} failed; {} requests, {} s of simulated time",
        summary.schedule_count,
        summary.failed_count,
        summary.request_count,
        summary.simulated_time.as_secs()
    );
    summary.failed_count == 0
}
