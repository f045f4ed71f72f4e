//! Names and identifiers.

use std::fmt;
use std::sync;

/// A shared immutable name, as of a team, class, target or zone.
pub type Name = sync::Arc<str>;

/// One life of a router: a restart gives a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouterId {
    /// Name from the router's settings.
    pub name: Name,
    /// Number of this life; later lives have greater numbers.
    pub incarnation: u64,
}

impl RouterId {
    /// Identifies one life of a router.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> RouterId {
        RouterId { name: name.into(), incarnation }
    }
}

impl fmt::Display for RouterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.name, self.incarnation)
    }
}

/// A request, unique within one incarnation of its router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A grant, unique within one incarnation of its dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantId(pub u64);

/// A team's work of one class: what demand and grants speak of.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// Name of the team.
    pub team: Name,
    /// Name of the class.
    pub class: Name,
}

impl Flow {
    /// Names a team's work of one class.
    pub fn new(team: impl Into<Name>, class: impl Into<Name>) -> Flow {
        Flow { team: team.into(), class: class.into() }
    }
}
