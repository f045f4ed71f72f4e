//! Decision logic of the router fleet, without I/O.
//!
//! Each module is a state machine or a set of pure functions. The caller passes the time as a
//! [`tokio::time::Instant`], so that tests can run on a paused clock.
//!
//! ```
//! use gentianhinge_core::code::{ResultCode, Ran};
//!
//! assert_eq!(ResultCode::WaitingLimit.number(), 200);
//! assert_eq!(ResultCode::WaitingLimit.ran(), Ran::No);
//! ```
//!
//! # Path of a request
//!
//! A [`router::Router`] queues a request until a [`dispatch::Dispatcher`] grants it a slot at a
//! target. The router reports its demand to the dispatcher of each cell. The dispatcher serves
//! teams in the order of their charged service per weight.

#![warn(clippy::unwrap_used)]

pub mod admission;
pub mod aggregate;
pub mod cell;
pub mod claim;
pub mod code;
pub mod cold;
pub mod dispatch;
pub mod eligibility;
pub mod estimate;
pub mod evacuation;
pub mod fair_queueing;
pub mod fairness;
pub mod health;
pub mod holds;
pub mod ids;
pub mod incarnations;
pub mod limits;
pub mod load;
pub mod membership;
pub mod message;
pub mod pacing;
pub mod patience;
pub mod pause;
pub mod placement;
pub mod polling;
pub mod prompt;
pub mod quarantine;
pub mod read_size;
pub mod recent;
pub mod registry;
pub mod relaying;
pub mod report;
pub mod retry_budget;
pub mod router;
pub mod routing;
pub mod sampling;
pub mod share;
pub mod slots;
pub mod speed;
pub mod spreading;
pub mod stream_versions;
pub mod table;
pub mod target_limit;
pub mod tcp_peer;
