//! Command-line tool for operators: checks settings, edits the fleet's table, explains requests.
//!
//! ```
//! let args = ["gentianhinge", "check", "no-such-file"].map(Into::into).to_vec();
//! assert_eq!(gentianhinge::run(args), gentianhinge::exit::Exit::Unreadable);
//! ```
//!
//! # Exit codes
//!
//! Each kind of failure has its own exit code; see [`exit::Exit`].

use std::ffi;

pub mod check;
pub mod client;
pub mod command;
pub mod exit;
pub mod explain;
pub mod fairness;
pub mod hash;
pub mod status;
pub mod table;

/// Parses the arguments, the first of which is the program's name, and runs the command.
pub fn run(args: Vec<ffi::OsString>) -> exit::Exit {
    let matches = match command::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(err) => {
            let _ = err.print();
            return if err.use_stderr() { exit::Exit::Usage } else { exit::Exit::Ok };
        }
    };
    match matches.subcommand() {
        Some(("check", matches)) => check::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("fairness", matches)) => fairness::run(matches),
        Some(("key-hash", _)) => hash::run(),
        Some(("status", matches)) => status::run(matches),
        Some(("table", matches)) => table::run(matches),
        _ => exit::Exit::Usage,
    }
}
