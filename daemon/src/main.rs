//! Command line of `gentianhinged`, the router.

use std::fs;
use std::io::Write;
use std::path;
use std::process;
use std::thread;

use clap::{Arg, ArgAction, Command};
use gentianhinge_wire::settings;
use gentianhinged::{config, edge, server, telemetry};
use tokio::runtime;
use tokio::signal::unix;

/// Exit status if the settings are missing or invalid.
const EXIT_SETTINGS: u8 = 2;
/// Exit status if the router can't start.
const EXIT_START: u8 = 3;

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    if matches.get_flag("platform") {
        return run_on_platform(matches.get_one::<String>("settings"));
    }
    let Some(path) = matches.get_one::<String>("settings") else {
        return process::ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match read(path) {
        Ok(settings) => settings,
        Err(lines) => {
            for line in lines {
                eprintln!("{path}: {line}");
            }
            return process::ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check-settings") {
        println!("{path}: ok");
        return process::ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gentianhinged: {message}");
            process::ExitCode::from(EXIT_START)
        }
    }
}

fn command() -> Command {
    Command::new("gentianhinged")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Router of the fleet: accepts requests from callers and forwards them to targets")
        .arg(
            Arg::new("settings")
                .value_name("FILE")
                .required_unless_present("platform")
                .help("Settings file, JSON with comments"),
        )
        .arg(
            Arg::new("platform").long("platform").action(ArgAction::SetTrue).help(
                "Run on the users' platform, which names the settings file if FILE is omitted",
            ),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .action(ArgAction::SetTrue)
                .help("Validate the settings and exit"),
        )
}

/// Runs the router on the users' platform.
fn run_on_platform(path: Option<&String>) -> process::ExitCode {
    let Some(path) = path.map(path::PathBuf::from).or_else(edge::settings_path) else {
        eprintln!("gentianhinged: no settings file: FILE is omitted and the platform names none");
        return process::ExitCode::from(EXIT_SETTINGS);
    };
    match edge::run(&path) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err @ (edge::EdgeError::Settings(..) | edge::EdgeError::Unreadable(..))) => {
            eprintln!("{err}");
            process::ExitCode::from(EXIT_SETTINGS)
        }
        Err(err) => {
            eprintln!("gentianhinged: {err}");
            process::ExitCode::from(EXIT_START)
        }
    }
}

fn read(path: &str) -> Result<settings::Settings, Vec<String>> {
    let text = fs::read_to_string(path).map_err(|err| vec![err.to_string()])?;
    config::load(&text)
        .map_err(|mistakes| mistakes.iter().map(ToString::to_string).collect::<Vec<_>>())
}

fn run(settings: settings::Settings) -> Result<(), String> {
    telemetry::init_logs(&settings.log)?;
    let server = server::start(settings).map_err(|err| err.to_string())?;
    println!("callers at {}", server.callers_addr());
    println!("operators at {}", server.operators_addr());
    if let Some(addr) = server.peers_addr() {
        println!("peers at {addr}");
    }
    // The reader of the addresses may have closed the pipe, which must not stop the router.
    let _ = std::io::stdout().flush();
    thread::scope(|scope| {
        scope.spawn(|| wait_for_signal(&server));
    });
    server.join();
    Ok(())
}

/// Blocks until `SIGTERM` or `SIGINT` arrives, then starts a graceful shutdown.
fn wait_for_signal(server: &server::Server) {
    let Ok(runtime) = runtime::Builder::new_current_thread().enable_all().build() else { return };
    runtime.block_on(async {
        let terminate = unix::signal(unix::SignalKind::terminate());
        let interrupt = unix::signal(unix::SignalKind::interrupt());
        let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else { return };
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    });
    server.stop();
}
