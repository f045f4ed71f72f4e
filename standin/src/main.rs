//! Runs a stand-in or a load tool as a process.
//!
//! Stand-ins print `listening on ADDR` as the first line on standard output.

mod args;

use std::error;
use std::future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::ArgMatches;
use gentianhinge_standin::{demo, engine, hosts, latency, load, log, relay, result_codes, service};

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run(&matches)) {
        Ok(code) => code,
        Err(error) => fail(&*error),
    }
}

fn fail(error: &dyn error::Error) -> ExitCode {
    eprintln!("gentianhinge-standin: {error}");
    ExitCode::FAILURE
}

async fn run(matches: &ArgMatches) -> Result<ExitCode, Box<dyn error::Error>> {
    match matches.subcommand() {
        Some(("engine", options)) => {
            let handle = engine::spawn(args::engine_config(options)).await?;
            serve_forever(handle.addr()).await
        }
        Some(("service", options)) => {
            let handle = service::spawn(args::service_config(options)).await?;
            serve_forever(handle.addr()).await
        }
        Some(("log", options)) => {
            let handle = log::spawn(args::log_config(options)).await?;
            serve_forever(handle.addr()).await
        }
        Some(("hosts", options)) => {
            let handle = hosts::spawn(args::hosts_config(options)).await?;
            serve_forever(handle.addr()).await
        }
        Some(("relay", options)) => {
            let handle = relay::spawn(args::relay_config(options)).await?;
            eprintln!("control on {}", handle.control_addr());
            serve_forever(handle.addr()).await
        }
        Some(("load", options)) => {
            let report = load::run(&args::load_config(options)?).await;
            print!("{}", report.table());
            let totals = report.totals();
            Ok(exit_code(totals.broken_count == 0 && totals.unanswered_count == 0))
        }
        Some(("latency", options)) => {
            let summary = latency::run(&args::latency_config(options)).await?;
            print!("{}", summary.table());
            Ok(ExitCode::SUCCESS)
        }
        Some(("demo", options)) => {
            let summary = demo::run(&args::demo_config(options), &mut io::stdout()).await?;
            print!("\n{}", summary.text());
            Ok(exit_code(summary.is_clean()))
        }
        Some(("result-codes", _)) => {
            print!("{}", result_codes::page());
            Ok(ExitCode::SUCCESS)
        }
        _ => Ok(ExitCode::FAILURE),
    }
}

fn exit_code(success: bool) -> ExitCode {
    if success { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

async fn serve_forever(addr: SocketAddr) -> Result<ExitCode, Box<dyn error::Error>> {
    let mut out = io::stdout();
    writeln!(out, "listening on {addr}")?;
    out.flush()?;
    future::pending().await
}
