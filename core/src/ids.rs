//! Names and identifiers.

use std::fmt;
use std::sync;

/// A shared immutable name of a team, class, target, zone or other entity.
pub type Name = sync::Arc<str>;

/// Identifies one incarnation of a router; each restart creates a new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouterId {
    /// Name from the router's settings.
    pub name: Name,
    /// Incarnation number; greater after each restart.
    pub incarnation: u64,
}

impl RouterId {
    /// Creates the id of one incarnation of a router.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> RouterId {
        RouterId { name: name.into(), incarnation }
    }
}

impl fmt::Display for RouterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

/// Identifies a request; unique within one incarnation of its router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a grant; unique within one incarnation of its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantId(pub u64);

/// The requests of one team in one class; the unit of demand and grants.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// Name of the team.
    pub team: Name,
    /// Name of the class.
    pub class: Name,
}

impl Flow {
    /// Creates the flow of a team and a class.
    pub fn new(team: impl Into<Name>, class: impl Into<Name>) -> Flow {
        Flow { team: team.into(), class: class.into() }
    }
}
