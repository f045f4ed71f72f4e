//! Simulated targets, platform services and callers, for tests and demonstrations.
//!
//! Each stand-in has a `spawn` function that starts it on the current Tokio runtime and returns a
//! handle. The program `gentianhinge-standin` runs the same stand-ins as processes.
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
//! Faults are injected with `POST /faults`. A body replaces all faults that were set before; `{}`
//! clears them. Counters are read with `GET /stats`, those of a plain service with `GET /effects`.

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
