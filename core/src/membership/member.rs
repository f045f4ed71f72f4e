//! State of one router of the fleet.

use std::net;

use crate::ids::{Name, RouterId};

/// Upper estimate of the encoded size of a member without its names.
const FIXED_MEMBER_BYTES: usize = 48;

/// Liveness of a member; of two claims with the same version the one with the greater status wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Status {
    /// Answers probes.
    Alive,
    /// Failed a probe and may still refute.
    Suspect,
    /// Didn't refute in time.
    Dead,
    /// Left of its own accord.
    Left,
}

/// A claim about the state of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name and incarnation.
    pub id: RouterId,
    /// Version within the incarnation; only the router itself raises it.
    pub version: u32,
    /// Liveness as assumed by the sender of the claim.
    pub status: Status,
    /// Whether the router only finishes its requests and holds no roles.
    pub draining: bool,
    /// Offset in the log up to which the configuration is in force at the router.
    pub applied_offset: u64,
    /// Address for other routers: TCP for sessions, UDP for membership.
    pub peers_addr: net::SocketAddr,
    /// Region of the host.
    pub region: Name,
    /// Availability zone of the host.
    pub zone: Name,
}

impl Member {
    /// Whether the member may hold roles.
    pub fn is_eligible(&self) -> bool {
        self.status == Status::Alive && !self.draining
    }

    /// Whether the member is assumed to run; true also while it is suspected.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// Order of claims about one member; the greater claim wins.
    pub(super) fn precedence(&self) -> (u64, u32, Status) {
        (self.id.incarnation, self.version, self.status)
    }

    /// Upper estimate of the encoded size in bytes.
    pub(super) fn size_bytes(&self) -> usize {
        FIXED_MEMBER_BYTES + self.id.name.len() + self.region.len() + self.zone.len()
    }
}
