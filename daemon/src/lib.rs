//! The router of the fleet, which accepts requests from callers and forwards them to targets.
//!
//! ```no_run
//! # fn main() -> Result<(), Box<dyn std::error::Error>> {
//! let text = std::fs::read_to_string("router.jsonc")?;
//! let settings = gentianhinged::config::load(&text).map_err(|mistakes| mistakes[0].to_string())?;
//! let router = gentianhinged::server::start(settings)?;
//! println!("callers at {}", router.callers_addr());
//! router.join();
//! # Ok(())
//! # }
//! ```
//!
//! # Threads
//!
//! One control thread owns all fleet state, on a single-threaded runtime. A second runtime with
//! worker threads handles the traffic. They share only channels and read-only snapshots.

#![warn(clippy::unwrap_used)]

pub mod admin;
pub mod config;
pub mod control;
pub mod directory;
pub mod edge;
pub mod gossip;
pub mod listener;
pub mod peer;
pub mod platform;
pub mod request_history;
pub mod server;
pub mod telemetry;
pub mod traffic;
