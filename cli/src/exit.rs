//! Exit codes.

use std::process;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command did what it was asked.
    Ok = 0,
    /// The command failed in a way that has no code of its own.
    Failed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings or the table file hold mistakes.
    Mistakes = 3,
    /// A file can't be read or written.
    Unreadable = 4,
    /// The operator's key isn't known.
    Refused = 5,
    /// The operator declined the change when asked.
    Declined = 6,
    /// The row was changed by somebody else meanwhile; nothing was changed.
    Conflict = 10,
    /// The log or the router can't be reached; nothing was changed.
    Outage = 11,
    /// The edit may or may not come into force; its id tells later.
    UnknownOutcome = 12,
    /// The edit is accepted but not yet in force on every live router.
    NotYetInForce = 13,
}

impl From<Exit> for process::ExitCode {
    fn from(exit: Exit) -> process::ExitCode {
        process::ExitCode::from(exit as u8)
    }
}
