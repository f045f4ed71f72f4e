//! The command line's grammar.

use std::net;
use std::path;

use clap::{Arg, ArgAction, Command};

/// Builds the grammar of all commands.
pub fn command() -> Command {
    Command::new("gentianhinge")
        .about("Operates a fleet of gentianhinged routers")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check())
        .subcommand(
            Command::new("key-hash").about("Reads a key from standard input, prints its hash"),
        )
        .subcommand(table())
        .subcommand(explain())
        .subcommand(fairness())
        .subcommand(status())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells the story of a request, or of a team's requests, from routers' logs")
        .arg(Arg::new("WHAT").help("Id of the request, or name of the team").required(true))
        .arg(logs())
        .arg(flag("json", "Print the lines of the logs as a JSON array"))
}

fn fairness() -> Command {
    Command::new("fairness")
        .about(
            "Prints what each team got in its worst seconds against its share, from routers' logs",
        )
        .arg(logs())
        .arg(flag("json", "Print it as a JSON array"))
}

fn logs() -> Arg {
    Arg::new("LOG")
        .help("Logs of any number of routers; else standard input")
        .num_args(0..)
        .value_parser(clap::value_parser!(path::PathBuf))
}

fn status() -> Command {
    Command::new("status")
        .about("Prints what a router on the platform believes of targets and other routers")
        .arg(router())
        .arg(flag("json", "Print it as JSON"))
}

fn check() -> Command {
    let file = file("Settings of a router, as JSON with comments").required(true);
    let platform = flag("platform", "The file is for a router on the users' platform");
    Command::new("check")
        .about("Checks a settings file and names every mistake")
        .args([file, platform])
}

fn table() -> Command {
    let changes = Arg::new("FIELD=VALUE")
        .help("Field to set, such as weight=2; without a value the field is taken away")
        .required(true)
        .num_args(1..);
    let yes = flag("yes", "Make the edits without asking");
    let remove_absent = flag("remove-absent", "Remove rows that the file lacks");
    Command::new("table")
        .about("Shows and edits the fleet's table")
        .subcommand_required(true)
        .subcommand(remote("show", "Prints the table").arg(flag("json", "Print the table as JSON")))
        .subcommand(
            remote("export", "Writes the table as CSV").arg(file("File; else standard output")),
        )
        .subcommand(edit("set", "Sets fields of one row").arg(changes))
        .subcommand(edit("remove", "Removes one row"))
        .subcommand(
            remote("import", "Makes the rows what a CSV file says")
                .arg(file("CSV file as `table export` writes it").required(true))
                .args([yes, remove_absent, wait()]),
        )
        .subcommand(
            remote("history", "Prints the edits that the log holds, newest first")
                .args([kind(), name()])
                .arg(flag("json", "Print the edits as JSON")),
        )
}

/// A command that changes one row.
fn edit(command: &'static str, about: &'static str) -> Command {
    remote(command, about).args([kind().required(true), name().required(true), wait()])
}

fn router() -> Arg {
    Arg::new("router")
        .long("router")
        .value_name("ADDR")
        .help("Operators' address of a router; given several times, the first that answers")
        .required(true)
        .action(ArgAction::Append)
        .value_parser(clap::value_parser!(net::SocketAddr))
}

/// A command that calls routers.
fn remote(name: &'static str, about: &'static str) -> Command {
    let key_file = Arg::new("key-file")
        .long("key-file")
        .value_name("FILE")
        .help("File that holds the operator's key")
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
    Arg::new("NAME").help("Name of the row; - for operators and defaults")
}

fn wait() -> Arg {
    Arg::new("wait-s")
        .long("wait-s")
        .value_name("SECONDS")
        .help("Longest wait for the edit to be in force on every live router")
        .default_value("10")
        .value_parser(clap::value_parser!(u64).range(0..=600))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).action(ArgAction::SetTrue)
}

fn file(help: &'static str) -> Arg {
    Arg::new("FILE").help(help).value_parser(clap::value_parser!(path::PathBuf))
}
