//! Applied log offsets of the routers, from membership.

use gentianhinge_core::ids::Name;
use gentianhinge_core::membership::Member;

/// Log offset up to which one live router has applied the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedOffset {
    /// Name of the router.
    pub router: Name,
    /// Availability zone of the router.
    pub zone: Name,
    /// Offset of the first record that the router's table doesn't include.
    pub offset: u64,
}

/// Last known applied offset of each live member.
pub fn applied_offsets<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<AppliedOffset> {
    let live = members.filter(|member| member.is_live());
    let applied_offset = |member: &Member| AppliedOffset {
        router: member.id.name.clone(),
        zone: member.zone.clone(),
        offset: member.applied_offset,
    };
    live.map(applied_offset).collect()
}
