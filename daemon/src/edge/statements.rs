//! What targets state about themselves in responses, as far as it is told to the log and to other
//! routers. What it means for placement is kept by the modules that decide.

use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::report::{Hash, HashKeyed};
use gentianhinge_core::target_limit;
use tokio::time::Instant;

/// Minimum interval between two log lines on a target's statements that can't be read.
const UNREADABLE_INTERVAL: Duration = Duration::from_secs(60);

/// Time for which other routers are told that a target is leaving.
const LEAVING_TIME: Duration = Duration::from_secs(120);

/// What is new in a target's statement.
#[derive(Clone, Copy, Debug, Default)]
pub struct News {
    /// Change of its limit.
    pub limit: Option<target_limit::Change>,
    /// Whether it wasn't known to be leaving.
    pub is_leaving: bool,
    /// Time for which it wants no requests, if it wanted them before.
    pub hold: Option<Duration>,
    /// Whether a header can't be read, which is told at most once per [`UNREADABLE_INTERVAL`].
    pub is_unreadable: bool,
}

/// What is new in another router's report of targets.
#[derive(Clone, Debug, Default)]
pub struct ReportedNews {
    /// Ids of targets that are leaving.
    pub leaving: Vec<Name>,
    /// Ids of targets whose records in the registry are late.
    pub gone: Vec<Name>,
    /// Changes of limits.
    pub limits: Vec<(Hash, target_limit::Change)>,
}

/// Statements of targets, by the hash of their incarnation.
#[derive(Debug, Default)]
pub struct Statements {
    /// When a target said last that it is leaving.
    leaving: HashKeyed<Instant>,
    /// When it was last logged that a statement can't be read.
    unreadable: HashKeyed<Instant>,
}

impl Statements {
    /// Records that a target has said that it is leaving.
    pub fn record_leaving(&mut self, target: Hash, now: Instant) {
        self.leaving.insert(target, now);
    }

    /// Records a statement that can't be read; returns whether to log it.
    pub fn record_unreadable(&mut self, target: Hash, now: Instant) -> bool {
        let before = self.unreadable.get(&target);
        let is_due = before.is_none_or(|at| now >= *at + UNREADABLE_INTERVAL);
        if is_due {
            self.unreadable.insert(target, now);
        }
        is_due
    }

    /// Targets that have said to this router lately that they are leaving, for its report.
    pub fn leaving(&mut self, now: Instant) -> Vec<Hash> {
        self.leaving.retain(|_, at| now < *at + LEAVING_TIME);
        self.leaving.keys().copied().collect()
    }

    /// Drops what is kept of unreadable statements of a target.
    pub fn forget(&mut self, target: Hash) {
        self.unreadable.remove(&target);
    }
}
