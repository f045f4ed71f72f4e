//! Durable state, which is kept in the platform's log: the table, and the claims of calls that run
//! at most once.
//!
//! - [`log`] is the client of the log service.
//! - [`table`] replicates the table from the stream `config`, to which it appends edits and
//!   snapshots.
//! - [`claims`] claims calls that run at most once.
//! - [`api`] is the operators' HTTP interface to the table.

pub mod api;
pub mod claims;
pub mod log;
pub mod table;
