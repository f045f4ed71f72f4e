//! Notices that the process stood still, as when its host froze it.
//!
//! What was true before may not be so any more: others may have taken over its roles, and targets
//! that it was granted may have left. After a pause a router ends its sessions and gives up its roles
//! before it acts on anything that it had received.
//!
//! ```
//! use std::time::Duration;
//!
//! use gentianhinge_core::pause;
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let mut watch = pause::PauseDetector::new(Duration::from_millis(400), now);
//! assert!(!watch.check(now + Duration::from_millis(100)));
//! assert!(watch.check(now + Duration::from_millis(600)));
//! assert!(!watch.check(now + Duration::from_millis(700)));
//! ```

use std::time::Duration;

use tokio::time;

/// Compares the clock with the time of the last check.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    max_gap: Duration,
    checked: time::Instant,
}

impl PauseDetector {
    /// Creates a watch for a process that checks at least every `max_gap` while it runs.
    pub fn new(max_gap: Duration, now: time::Instant) -> PauseDetector {
        PauseDetector { max_gap, checked: now }
    }

    /// Whether the process stood still since the last check; to be asked before anything is done.
    pub fn check(&mut self, now: time::Instant) -> bool {
        let gap = now.saturating_duration_since(self.checked);
        self.checked = now;
        gap > self.max_gap
    }
}
