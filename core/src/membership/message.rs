//! Datagrams between members.

use std::net;

use super::member;
use crate::ids::Name;

/// Most bytes of members and targets that one datagram carries.
pub const MAX_UPDATES_BYTES: usize = 900;

/// Most bytes of news in one datagram beyond changes of liveness.
pub const MAX_NON_URGENT_BYTES: usize = 200;

/// Longest name of a router, region, zone or target in a datagram, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Asks the receiver for an [`Kind::Ack`] of the same number.
    Ping,
    /// Answers a ping.
    Ack,
    /// Asks the receiver to ping another member on the sender's behalf.
    PingRequest {
        /// Address of the member to ping.
        target_addr: net::SocketAddr,
    },
    /// Tells changes without asking for an answer.
    Spread,
    /// Asks for a page of members whose names are greater than `after`.
    Sync {
        /// Last name that the sender has; empty for the first page.
        after: Name,
    },
    /// A page of members in the order of their names.
    Page {
        /// Whether names greater than the last one of the page exist.
        more: bool,
    },
}

/// A target that takes no new work in this or an earlier incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct LeavingTarget {
    /// Name of the target.
    pub name: Name,
    /// Last incarnation that is leaving; 0 if the target never told one.
    pub incarnation: u64,
}

impl LeavingTarget {
    /// Upper estimate of the encoded size besides the name.
    pub(super) const FIXED_BYTES: usize = 20;
}

/// One datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Purpose.
    pub kind: Kind,
    /// Number that an answer repeats.
    pub seq: u64,
    /// The sender, as it sees itself.
    pub sender: member::Member,
    /// Other members.
    pub members: Vec<member::Member>,
    /// Targets that are leaving.
    pub leaving_targets: Vec<LeavingTarget>,
}

/// A datagram and where it goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Address of the receiver.
    pub to: net::SocketAddr,
    /// The datagram.
    pub message: Message,
}
