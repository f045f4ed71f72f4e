//! What lasts lives in the platform's log: the table, and claims of calls that run at most once.
//!
//! - [`log`] is the adapter to the log service.
//! - [`table`] follows the stream `config`, writes snapshots to it and appends edits.
//! - [`claims`] claims calls that run at most once.
//! - [`api`] is the operators' HTTP interface to the table.

pub mod api;
pub mod claims;
pub mod log;
pub mod table;
