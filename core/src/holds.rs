//! Times for which targets want no requests from this router.

use std::time::Duration;

use tokio::time::Instant;

use crate::report::{Hash, HashKeyed};

/// Longest time, so that its end can be computed.
const MAX_HOLD: Duration = Duration::from_secs(365 * 24 * 3600);

/// Greatest factor on the time that a target states. Its end is put off at random, so that not all
/// routers return at once.
pub const MAX_JITTER_FACTOR: f64 = 1.1;

/// Targets that want no requests from this router, and until when.
#[derive(Debug, Default)]
pub struct Holds {
    ends: HashKeyed<Instant>,
}

impl Holds {
    /// Records that a target wants no requests for a time; a later end counts. `draw` is uniformly
    /// distributed from 0 to 1.
    pub fn record(&mut self, target: Hash, time: Duration, draw: f64, now: Instant) {
        if time.is_zero() {
            return;
        }
        let time =
            time.min(MAX_HOLD).mul_f64(1.0 + (MAX_JITTER_FACTOR - 1.0) * draw.clamp(0.0, 1.0));
        let end = self.ends.entry(target).or_insert(now);
        *end = (*end).max(now + time);
    }

    /// Time until a target wants requests again; `None` if it does.
    pub fn ends_in(&self, target: Hash, now: Instant) -> Option<Duration> {
        let end = self.ends.get(&target)?;
        Some(end.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }

    /// Whether no target wants to be left alone; targets whose time has ended may still count.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Number of targets that want no requests.
    pub fn count(&self, now: Instant) -> usize {
        self.ends.values().filter(|end| **end > now).count()
    }

    /// Drops the times that have ended.
    pub fn expire(&mut self, now: Instant) {
        self.ends.retain(|_, end| *end > now);
    }

    /// Drops the state of a target.
    pub fn forget(&mut self, target: Hash) {
        self.ends.remove(&target);
    }
}
