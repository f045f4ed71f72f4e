//! What membership tells about the table.

use gentianhinge_core::ids::Name;
use gentianhinge_core::membership::Member;

/// How far one live router has applied the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedOffset {
    /// Name of the router.
    pub router: Name,
    /// Availability zone of the router.
    pub zone: Name,
    /// Offset of the first record that the router's table doesn't hold.
    pub offset: u64,
}

/// How far each live member has applied the log, as last heard.
pub fn applied_offsets<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<AppliedOffset> {
    let live = members.filter(|member| member.is_live());
    let line = |member: &Member| AppliedOffset {
        router: member.id.name.clone(),
        zone: member.zone.clone(),
        offset: member.applied_offset,
    };
    live.map(line).collect()
}
