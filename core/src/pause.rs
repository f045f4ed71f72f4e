//! Detects that the process was suspended, for example because its host froze.
//!
//! State from before a pause may be stale: other routers may have taken over this one's roles, and
//! targets that it was granted may be gone. After a pause a router closes its sessions and gives up
//! its roles before it acts on any message that it received before.
//!
//! ```
//! use std::time::Duration;
//!
//! use gentianhinge_core::pause;
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let mut detector = pause::PauseDetector::new(Duration::from_millis(400), now);
//! assert!(!detector.check(now + Duration::from_millis(100)));
//! assert!(detector.check(now + Duration::from_millis(600)));
//! assert!(!detector.check(now + Duration::from_millis(700)));
//! ```

use std::time::Duration;

use tokio::time;

/// Detects pauses by the time between two checks.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    max_gap: Duration,
    last_check_at: time::Instant,
}

impl PauseDetector {
    /// Creates a detector for a process that checks at least every `max_gap` while it runs.
    pub fn new(max_gap: Duration, now: time::Instant) -> PauseDetector {
        PauseDetector { max_gap, last_check_at: now }
    }

    /// Whether the process was paused since the last check; to be called before other work.
    pub fn check(&mut self, now: time::Instant) -> bool {
        let gap = now.saturating_duration_since(self.last_check_at);
        self.last_check_at = now;
        gap > self.max_gap
    }
}
