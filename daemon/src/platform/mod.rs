//! What lasts lives in the platform's log: the table.
//!
//! - [`log`] is the adapter to the log service.
//! - [`table`] follows the stream `config`, writes snapshots to it and appends edits.
//! - [`api`] is the operators' HTTP interface to the table.

pub mod api;
pub mod log;
pub mod table;
