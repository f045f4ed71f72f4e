//! The benchmarks of the documentation.

use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};

use clap::ArgMatches;
use quick_error::quick_error;

use crate::fleet;
use crate::output;
use crate::plot;
use crate::settings::{Policy, Settings};
use crate::stats::Outcome;

/// Numbers of routers to compare.
const ROUTER_COUNTS: [usize; 4] = [8, 32, 100, 370];
/// Factor on the first team's backlog in the runs that compare policies.
const FLOOD_RATIO: usize = 20;
/// File name of the page with the tables.
const TABLE_FILE: &str = "bench-dispatch.md";
/// File name of the plot.
const PLOT_FILE: &str = "bench-dispatch.svg";

quick_error! {
    /// Why the benchmarks failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file can't be written.
        Write(path: PathBuf, error: io::Error) {
            display("can't write {}: {error}", path.display())
        }
        /// The runtime with the paused clock can't be built.
        Clock(error: io::Error) {
            from()
            display("can't build the runtime: {error}")
        }
        /// The plot can't be drawn.
        Plot(text: String) {
            display("can't draw the plot: {text}")
        }
    }
}

/// A run of the suite with its results.
pub struct ResultRow {
    /// Title of the section that the run belongs to.
    pub section: &'static str,
    /// Settings of the run.
    pub settings: Settings,
    /// Results of the run.
    pub outcome: Outcome,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Returns an error if a file can't be written or the plot can't be drawn.
pub fn run(matches: &ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("suite", matches)) => run_suite(matches),
        Some((_, matches)) => {
            let settings = Settings::from_matches(matches);
            let outcome = fleet::run(&settings);
            println!("{}\n{}", output::HEADER, output::row(&settings, &outcome));
            Ok(())
        }
        None => unreachable!("clap demands a subcommand"),
    }
}

fn run_suite(matches: &ArgMatches) -> Result<(), Error> {
    let measured_s = *matches.get_one::<f64>("measured-s").expect("has a default");
    let out = PathBuf::from(matches.get_one::<String>("out").expect("has a default"));
    let cases = cases(Duration::from_secs_f64(measured_s));
    let rows = run_cases(cases);
    let text = output::page(&rows);
    print!("{text}");
    write(&out.join(TABLE_FILE), &text)?;
    plot::draw(&out.join(PLOT_FILE), &rows).map_err(|error| Error::Plot(error.to_string()))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|error| Error::Write(path.to_owned(), error))
}

/// Runs the cases sequentially, since parallel runs would distort the wall-clock times.
fn run_cases(cases: Vec<(&'static str, Settings)>) -> Vec<ResultRow> {
    let run = |(section, settings): (&'static str, Settings)| {
        let outcome = fleet::run(&settings);
        eprintln!("{section}: {}", output::row(&settings, &outcome));
        ResultRow { section, settings, outcome }
    };
    cases.into_iter().map(run).collect()
}

fn cases(measured: Duration) -> Vec<(&'static str, Settings)> {
    let base = Settings { measured, min_cost: 2.0, ..Settings::standard() };
    let base = &base;
    let mut cases = Vec::new();
    for policy in [Policy::Dispatch, Policy::RouterAlone, Policy::FirstCome] {
        let seeds = if policy == Policy::Dispatch { 1..=3 } else { 1..=1 };
        for (router_count, seed) in
            ROUTER_COUNTS.iter().flat_map(|count| seeds.clone().map(|seed| (*count, seed)))
        {
            let settings =
                Settings { policy, router_count, seed, flood_ratio: FLOOD_RATIO, ..base.clone() };
            cases.push((output::ROUTERS, settings));
        }
    }
    for router_count in ROUTER_COUNTS {
        let settings =
            Settings { router_count, team_count: 1_200, backlog_count: 6, ..base.clone() };
        cases.push((output::TEAMS, settings));
    }
    for (router_count, flood_ratio) in [(32, 1), (32, 50), (370, 1), (370, 50)] {
        cases.push((output::FLOOD, Settings { router_count, flood_ratio, ..base.clone() }));
    }
    for (cell_count, small_every) in [(4, 0), (10, 0), (20, 0), (4, 4), (10, 4), (20, 4)] {
        for (seed, summary_s) in [(1, 0), (1, 3), (2, 3), (3, 3), (1, 1)] {
            let summary_interval = Duration::from_secs(summary_s);
            let settings = Settings { cell_count, small_every, seed, ..cells(base) };
            cases.push((output::CELLS, Settings { summary_interval, ..settings }));
        }
    }
    for router_count in [2, 4, 8] {
        cases.push((output::FULL_SIZE_CELL, Settings { router_count, ..full_size(base) }));
    }
    for report_s in [1, 3, 10] {
        let report_interval = Duration::from_secs(report_s);
        let router_count = 370;
        cases.push((output::REPORTS, Settings { router_count, report_interval, ..base.clone() }));
    }
    for (slots, lookahead_slots) in [(1, 0), (1, 1), (8, 0), (8, 1)] {
        let settings = Settings { slots, lookahead_slots, ..short_calls(base) };
        cases.push((output::SHORT_CALLS, settings));
    }
    cases
}

/// Cells of 20 slots each; every team has requests at all routers, but most of them at a few.
fn cells(base: &Settings) -> Settings {
    let (router_count, target_count, slots) = (100, 5, 4);
    let backlog_count = 200;
    Settings { router_count, target_count, slots, backlog_count, ..base.clone() }
}

/// A cell of a full-size deployment: 16 targets and 9.7 requests per second of 500 tokens on
/// average, from the few routers whose home cell it is.
fn full_size(base: &Settings) -> Settings {
    Settings {
        target_count: 16,
        slots: 14,
        team_count: 100,
        small_every: 0,
        min_cost: 50.0,
        max_cost: 2_000.0,
        ..base.clone()
    }
}

/// Service calls of 5 ms each.
fn short_calls(base: &Settings) -> Settings {
    Settings {
        router_count: 8,
        target_count: 3,
        min_cost: 1.0,
        max_cost: 1.0,
        token_time: Duration::from_millis(5),
        delay: Duration::from_millis(1),
        warm_up: Duration::from_secs(5),
        measured: Duration::from_secs(60),
        ..base.clone()
    }
}
