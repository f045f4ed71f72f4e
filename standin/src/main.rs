//! Starts a stand-in as a process of its own.
//!
//! The first line on standard output is `listening on ADDR`.

mod args;

use std::future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::ArgMatches;
use gentianhinge_standin::{engine, hosts, log, relay, service};

fn main() -> ExitCode {
    let matches = args::command().get_matches();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(run(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("gentianhinge-standin: {error}");
    ExitCode::FAILURE
}

async fn run(matches: &ArgMatches) -> io::Result<()> {
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
        _ => Ok(()),
    }
}

async fn serve_forever(addr: SocketAddr) -> io::Result<()> {
    let mut out = io::stdout();
    writeln!(out, "listening on {addr}")?;
    out.flush()?;
    future::pending().await
}
