//! Wire formats of messages between routers and of the log's records, and the settings of a router.
//!
//! ```
//! let mistakes = gentianhinge_wire::settings::parse("{ // comment\n  \"router\": 3\n}").unwrap_err();
//! assert_eq!(mistakes[0].line, 1);
//! ```
//!
//! # Layout
//!
//! `schema/` contains the schemas, from which `regenerate.sh` generates `src/generated/`. The generated
//! code is committed, so a build doesn't need the generator.

pub mod claims;
pub mod datagram;
pub mod decode;
pub mod edge;
pub mod load;
pub mod peer;
pub mod record;
pub mod settings;

/// Code generated from the schemas; don't edit it by hand.
#[allow(missing_docs, clippy::all, unused_parens, dead_code)]
#[rustfmt::skip]
pub mod generated {
    pub mod edge;
    pub mod load_capnp;
    pub mod membership_capnp;
    pub mod peer_capnp;
    pub mod record;
    pub mod settings;
}

pub use generated::peer_capnp;
