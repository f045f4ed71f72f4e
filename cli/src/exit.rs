//! Exit codes of the command line.

use std::process;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Ok = 0,
    /// The command failed for a reason without a code of its own.
    Failed = 1,
    /// The command line or a value on it is invalid.
    Usage = 2,
    /// The settings, the table file or an edit are invalid.
    Mistakes = 3,
    /// A file can't be read or written.
    Unreadable = 4,
    /// The router rejected the operator's key.
    Refused = 5,
    /// The operator declined the changes at the prompt.
    Declined = 6,
    /// The row was edited concurrently; nothing was changed.
    Conflict = 10,
    /// The log or the router is unreachable; nothing was changed.
    Outage = 11,
    /// Whether the edit was applied is unknown; `table history` shows it once the log is reachable.
    UnknownOutcome = 12,
    /// The edit was accepted but isn't in force on every live router yet.
    NotYetInForce = 13,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> process::ExitCode {
        process::ExitCode::from(exit as u8)
    }
}
