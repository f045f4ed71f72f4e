//! Scripted scenarios that drive the fleet's real state machines on a synthetic clock.
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
//! # What is real
//!
//! Each node holds a [`gentianhinge_core::router::Router`] and, while it has the role, a
//! [`gentianhinge_core::dispatch::Dispatcher`]. Fakes stand at the interfaces: messages with a
//! delay between nodes, a failure detector, and targets with slots that make tokens at a fixed
//! rate. The clock is a number that moves from event to event; the same script with the same seed
//! gives the same run.
//!
//! # Grammar
//!
//! One statement a line; `#` begins a comment. `DURATION` is `50ms`, `1.5s` or `2m`; `ROUTERS` is
//! `r1`, `r1..r4`, `r1,r3` or `all`; `NODES` is `ROUTERS`, or `dispatcher` for whichever has the
//! role at that time, or `dead` for whichever don't exist; `TEAM` and `CLASS` are names; `T` is `t1`, `t2` and so on.
//!
//! Setup, before all else:
//!
//! ```text
//! seed N                                      random numbers (1)
//! routers N                                   nodes r1 to rN (1)
//! targets N slots N [lookahead N]             targets t1 to tN (1 slot, no look-ahead)
//! delay DURATION                              one way between two nodes (1ms)
//! report DURATION                             longest time between reports (1s)
//! team NAME [weight X] [cost A..B] [waiting N]  weight 1, cost 20..2000 tokens, limit 1000
//! class NAME [price X] [wait DURATION]        the first is each team's default ("now", 1, 10m)
//! ```
//!
//! Actions, at once or by `at DURATION ACTION` at a time since the start:
//!
//! ```text
//! backlog TEAM [class CLASS] on ROUTERS count N   keep N requests waiting at each; 0 ends it
//! submit TEAM [class CLASS] on ROUTERS count N [once]   `once`: may not be repeated
//! flood TEAM on ROUTERS rate N for DURATION       N requests a second at each
//! cut ROUTERS | ROUTERS                           no message passes between the groups
//! heal                                            ends all cuts
//! freeze NODES DURATION                           the process stands still, then goes on
//! kill NODES                                      the process is gone
//! restart NODES                                   a new process without memory
//! drain NODES                                     graceful shutdown
//! leave T                                         the target begins to leave
//! crash T                                         the target dies with its work
//! return T                                        the target is back as a new incarnation
//! edit TEAM weight X                              a row of the table changes
//! measure                                         begins the window of measurement anew
//! run DURATION                                    lets time pass
//! ```
//!
//! Checks of what was seen since the last `measure`:
//!
//! ```text
//! expect gap <= X largest              service per weight between teams backlogged throughout
//! expect idle-while-waiting <= DURATION  longest time that a slot was free while work waited
//! expect utilisation >= X              share of slot time used while work waited, 0 to 1
//! expect overload <= N                 requests at a target beyond its slots and look-ahead
//! expect runs-per-request <= N
//! expect grants-resume-within DURATION after the loss of a dispatcher
//! expect served-within DURATION        longest time that a team's work waited and none ran
//! expect share TEAM X +- Y             share of all service per weight, 0 to 1
//! expect no-work-on T after DURATION   since the target began to leave
//! expect dispatchers >= N              at once
//! expect refused TEAM >= N             over a limit
//! expect expired >= N                  of the class's longest wait
//! expect all-answered                  but for what was lost with a process
//! expect drained ROUTERS               ended without a request cut off
//! ```
//!
//! # Oracle
//!
//! Whatever the script expects, [`oracle::Oracle`] judges each run: a request that was refused or
//! has expired never runs; a request runs once, or again only after its target was lost and only
//! if it may be repeated; a dispatcher's sessions never hold more at a target than its ceiling; a
//! target that has been leaving for 3 s gets no work; a request waits no longer than its class
//! says; a drained router cuts nothing off.

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
