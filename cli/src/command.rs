//! Definition of the commands and their arguments.

use std::net;
use std::path;

use clap::{Arg, ArgAction, Command};

/// Builds the parser of all commands.
pub fn command() -> Command {
    Command::new("gentianhinge")
        .about("Operates a fleet of gentianhinged routers")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check())
        .subcommand(
            Command::new("key-hash").about("Reads a key from standard input and prints its hash"),
        )
        .subcommand(table())
        .subcommand(explain())
        .subcommand(fairness())
        .subcommand(status())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows from router logs what happened to a request or to a team's requests")
        .arg(Arg::new("WHAT").help("Id of a request, or name of a team").required(true))
        .arg(logs())
        .arg(flag("json", "Print the matching log lines as a JSON array"))
}

fn fairness() -> Command {
    Command::new("fairness")
        .about(
            "Compares what each team got in its worst span with its fair share, from router logs",
        )
        .arg(logs())
        .arg(flag("json", "Print the result as a JSON array"))
}

fn logs() -> Arg {
    Arg::new("LOG")
        .help("Log files of any number of routers; standard input if omitted")
        .num_args(0..)
        .value_parser(clap::value_parser!(path::PathBuf))
}

fn status() -> Command {
    Command::new("status")
        .about("Prints the state of a router on the platform and its targets")
        .arg(router())
        .arg(flag("json", "Print the status as JSON"))
}

fn check() -> Command {
    let file = file("Settings file of a router (JSON with comments)").required(true);
    let platform = flag("platform", "Check the file as settings of a router on the platform");
    Command::new("check")
        .about("Checks a settings file and prints every mistake")
        .args([file, platform])
}

fn table() -> Command {
    let changes = Arg::new("FIELD=VALUE")
        .help("Field to set, such as weight=2; an empty value clears the field")
        .required(true)
        .num_args(1..);
    let yes = flag("yes", "Apply the edits without confirmation");
    let remove_absent = flag("remove-absent", "Remove rows that aren't in the file");
    Command::new("table")
        .about("Shows and edits the fleet's table")
        .subcommand_required(true)
        .subcommand(
            remote_command("show", "Prints the table").arg(flag("json", "Print the table as JSON")),
        )
        .subcommand(
            remote_command("export", "Writes the table as CSV")
                .arg(file("Output file; standard output if omitted")),
        )
        .subcommand(edit_command("set", "Sets fields of one row").arg(changes))
        .subcommand(edit_command("remove", "Removes one row"))
        .subcommand(
            remote_command("import", "Edits the table to match a CSV file")
                .arg(file("CSV file in the format of `table export`").required(true))
                .args([yes, remove_absent, wait()]),
        )
        .subcommand(
            remote_command("history", "Prints the edits in the log, newest first")
                .args([kind(), name()])
                .arg(flag("json", "Print the edits as JSON")),
        )
}

/// Builds a command that edits one row.
fn edit_command(command: &'static str, about: &'static str) -> Command {
    remote_command(command, about).args([kind().required(true), name().required(true), wait()])
}

fn router() -> Arg {
    Arg::new("router")
        .long("router")
        .value_name("ADDR")
        .help("Operator address of a router; if repeated, the first reachable router is used")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(clap::value_parser!(net::SocketAddr))
}

/// Builds a command that calls routers.
fn remote_command(name: &'static str, about: &'static str) -> Command {
    let key_file = Arg::new("key-file")
        .long("key-file")
        .value_name("FILE")
        .help("File containing the operator's key")
        .required(true)
        .value_parser(clap::value_parser!(path::PathBuf));
    Command::new(name).about(about).args([router(), key_file])
}

fn kind() -> Arg {
    Arg::new("KIND").help("Kind of the row").value_parser([
        "team",
        "class",
        "target",
        "operators",
        "defaults",
    ])
}

fn name() -> Arg {
    Arg::new("NAME").help("Name of the row; `-` for operators and defaults")
}

fn wait() -> Arg {
    Arg::new("wait-s")
        .long("wait-s")
        .value_name("SECONDS")
        .help("Maximum wait for the edit to be in force on every live router")
        .default_value("10")
        .value_parser(clap::value_parser!(u64).range(0..=600))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).action(ArgAction::SetTrue)
}

fn file(help: &'static str) -> Arg {
    Arg::new("FILE").help(help).value_parser(clap::value_parser!(path::PathBuf))
}
