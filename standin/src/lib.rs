//! Small stand-ins for targets, platform and callers, for tests and demonstrations.
//!
//! Each stand-in is a function that starts it inside the caller's runtime and returns a handle;
//! the program `gentianhinge-standin` starts the same ones as processes.
//!
//! ```
//! use gentianhinge_standin::engine;
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let engine = engine::spawn(engine::Config { token_ms: 0.0, ..Default::default() }).await?;
//! println!("listening on {}", engine.addr());
//! # std::io::Result::Ok(())
//! # }).unwrap();
//! ```
//!
//! # Faults
//!
//! Each stand-in takes faults at `POST /faults` of its own port. A body replaces all faults that
//! were set before; `{}` clears them. What each stand-in counts is read at `GET /stats`.

pub mod client;
pub mod demo;
pub mod engine;
pub mod fleet;
pub mod hosts;
pub mod latency;
pub mod load;
pub mod log;
pub mod relay;
pub mod result_codes;
pub mod server;
pub mod service;
pub mod sse;
