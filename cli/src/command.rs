//! The command line's grammar.

use std::path;

/// Builds the grammar of all commands.
pub fn command() -> clap::Command {
    clap::Command::new("gentianhinge")
        .about("Operates a fleet of gentianhinged routers")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check())
        .subcommand(
            clap::Command::new("key-hash")
                .about("Reads a key from standard input, prints its hash"),
        )
}

fn check() -> clap::Command {
    let file = clap::Arg::new("FILE")
        .help("Settings of a router, as JSON with comments")
        .required(true)
        .value_parser(clap::value_parser!(path::PathBuf));
    clap::Command::new("check").about("Checks a settings file and names every mistake").arg(file)
}
