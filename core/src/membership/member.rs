//! What is known of one router of the fleet.

use std::net;

use crate::ids::{Name, RouterId};

/// Bytes of a member's encoded fields besides its names.
const FIXED_MEMBER_BYTES: usize = 48;

/// Liveness of a member; of two claims of the same version the greater one holds.
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

/// One router as others see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Name and incarnation.
    pub id: RouterId,
    /// Version within the incarnation; only the router itself raises it.
    pub version: u32,
    /// Liveness.
    pub status: Status,
    /// Whether the router finishes its requests and takes no role.
    pub draining: bool,
    /// Offset of the configuration that is in force at the router.
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

    /// Whether the member is thought to run, if only by doubt.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }

    /// Order of claims on one member: a greater one supersedes.
    pub(super) fn precedence(&self) -> (u64, u32, Status) {
        (self.id.incarnation, self.version, self.status)
    }

    /// Upper estimate of the encoded size.
    pub(super) fn size_bytes(&self) -> usize {
        FIXED_MEMBER_BYTES + self.id.name.len() + self.region.len() + self.zone.len()
    }
}
