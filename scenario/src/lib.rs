//! Scripted scenarios that run the real router and dispatcher state machines on a simulated clock.
//!
//! ```
//! use gentianhinge_scenario::{parse, run};
//!
//! let text = "
//!     routers 2
//!     targets 1 slots 2
//!     team lanes
//!     submit lanes on r1 count 3
//!     run 3m
//!     expect all-answered
//! ";
//! let script = parse::parse(text).unwrap();
//! assert!(run::run(&script).failures.is_empty());
//! ```
//!
//! # Real and simulated parts
//!
//! Each node runs a [`gentianhinge_core::router::Router`] and, while it has the role, a
//! [`gentianhinge_core::dispatch::Dispatcher`]. The interfaces are simulated: messages between
//! nodes with a delay, a failure detector, and targets with slots that produce tokens at a fixed
//! rate. The clock advances from event to event, and a run is deterministic: the same script with
//! the same seed gives the same result.
//!
//! # Grammar
//!
//! One statement per line; `#` begins a comment. `DURATION` is `50ms`, `1.5s` or `2m`; `ROUTERS`
//! is `r1`, `r1..r4`, `r1,r3` or `all`; `NODES` is `ROUTERS`, or `dispatcher` for the routers that
//! have the role when the action runs, or `dead` for the routers without a process; `TEAM` and
//! `CLASS` are names; `T` is `t1`, `t2` and so on.
//!
//! Setup statements, before all others (defaults in parentheses):
//!
//! ```text
//! seed N                                      seed of the random numbers (1)
//! routers N                                   nodes r1 to rN (1)
//! targets N slots N [lookahead N]             targets t1 to tN (1 slot, no look-ahead)
//! delay DURATION                              least one-way delay between nodes (1ms)
//! report DURATION                             longest time between two reports (1s)
//! team NAME [weight X] [cost A..B] [waiting N]  (1, 20..2000 tokens, 1000 requests)
//! class NAME [price X] [wait DURATION]        the first is the default ("now", 1, 10m)
//! ```
//!
//! Actions, which run at once or, with `at DURATION ACTION`, at that time since the start:
//!
//! ```text
//! backlog TEAM [class CLASS] on ROUTERS count N   keep N requests waiting at each; 0 stops
//! submit TEAM [class CLASS] on ROUTERS count N [once]   `once`: not repeatable
//! flood TEAM on ROUTERS rate N for DURATION       N requests per second at each
//! cut ROUTERS | ROUTERS                           no messages between the two groups
//! heal                                            remove all cuts
//! freeze NODES DURATION                           pause the process for the duration
//! kill NODES                                      end the process abruptly
//! restart NODES                                   start a new process without state
//! drain NODES                                     graceful shutdown
//! leave T                                         the target starts leaving
//! crash T                                         the target fails with its requests
//! return T                                        the target returns as a new incarnation
//! edit TEAM weight X                              change a row of the table
//! measure                                         restart the measurement window
//! run DURATION                                    advance the clock
//! ```
//!
//! Checks of the measurements since the last `measure`; `runs-per-request`, `no-work-on`,
//! `all-answered` and `drained` cover the whole run:
//!
//! ```text
//! expect gap <= X largest              service per weight, teams always backlogged
//! expect idle-while-waiting <= DURATION  longest time a slot was free with requests waiting
//! expect utilisation >= X              share of slot time in use with requests waiting, 0 to 1
//! expect overload <= N                 requests at a target beyond slots and look-ahead
//! expect runs-per-request <= N         most runs of one request
//! expect grants-resume-within DURATION after the loss of a dispatcher
//! expect served-within DURATION        longest time a team had requests waiting and none running
//! expect share TEAM X +- Y             share of all service per weight, 0 to 1
//! expect no-work-on T after DURATION   since the target started leaving
//! expect dispatchers >= N              most dispatchers with sessions at one time
//! expect refused TEAM >= N             requests refused because of a limit
//! expect expired >= N                  requests beyond their class's longest wait
//! expect all-answered                  except requests lost with their router
//! expect drained ROUTERS               exited after a drain
//! ```
//!
//! # Oracle
//!
//! Independently of the script's checks, [`oracle::Oracle`] checks invariants in each run:
//!
//! - A refused or expired request never runs.
//! - A request runs once. It runs again only if it is repeatable and its target was lost.
//! - The sessions of one dispatcher never have more requests at a target than its ceiling, which is
//!   its slots plus look-ahead.
//! - A target that has been leaving for 3 s gets no requests.
//! - A request waits no longer than its class allows.
//! - A drained router exits only after all its requests are answered.

#![warn(clippy::unwrap_used)]

pub mod expect;
mod faults;
pub mod fuzz;
mod node;
pub mod oracle;
pub mod parse;
pub mod run;
pub mod script;
mod session;
mod target;
mod work;
mod world;
