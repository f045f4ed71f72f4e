//! Datagrams between members.

use std::net;

use super::member;
use crate::ids::Name;

/// Maximum size of the members and targets in one datagram, in bytes.
pub const MAX_UPDATES_BYTES: usize = 900;

/// Size of the updates in a datagram beyond which only urgent ones are added, in bytes.
pub const MAX_NON_URGENT_BYTES: usize = 200;

/// Maximum length of the name of a router, region, zone or target in a datagram, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Purpose of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Asks the receiver for a [`Kind::Ack`] with the same `seq`.
    Ping,
    /// Answers a [`Kind::Ping`].
    Ack,
    /// Asks the receiver to ping another member on the sender's behalf.
    PingRequest {
        /// Address of the member to ping.
        target_addr: net::SocketAddr,
    },
    /// Sends updates without requesting an answer.
    Spread,
    /// Requests a page of the members and leaving targets whose names are greater than `after`.
    Sync {
        /// Last name of the previous page; empty for the first page.
        after: Name,
    },
    /// A page of members and leaving targets in the order of their names.
    Page {
        /// Whether names greater than the last one of the page exist.
        more: bool,
    },
}

/// A target that accepts no new work in this or an earlier incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct LeavingTarget {
    /// Name of the target.
    pub name: Name,
    /// Greatest incarnation that is leaving; 0 if unknown.
    pub incarnation: u64,
}

impl LeavingTarget {
    /// Upper estimate of the encoded size without the name.
    pub(super) const FIXED_BYTES: usize = 20;

    /// Upper estimate of the encoded size in bytes.
    pub(super) fn size_bytes(&self) -> usize {
        LeavingTarget::FIXED_BYTES + self.name.len()
    }
}

/// One datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Purpose of the datagram.
    pub kind: Kind,
    /// Number that an answer repeats; 0 if no answer is matched.
    pub seq: u64,
    /// State of the sender.
    pub sender: member::Member,
    /// Claims about other members.
    pub members: Vec<member::Member>,
    /// Updates about leaving targets.
    pub leaving_targets: Vec<LeavingTarget>,
}

impl Message {
    /// Greatest name of a page's members and leaving targets; `None` if there are none.
    pub(super) fn last_name(&self) -> Option<&Name> {
        let member = self.members.last().map(|member| &member.id.name);
        member.max(self.leaving_targets.last().map(|target| &target.name))
    }
}

/// A datagram with its destination.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Address of the receiver.
    pub to: net::SocketAddr,
    /// The datagram.
    pub message: Message,
}
