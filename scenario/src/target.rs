//! Simulated targets: slots, a queue, and tokens produced at a fixed rate.

use std::collections::VecDeque;
use std::time::Duration;

use gentianhinge_core::ids::{Name, RequestId, RouterId};

/// Time that a target takes to produce one token.
pub const TOKEN_TIME: Duration = Duration::from_millis(45);

/// One attempt to run a request at a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Index of the caller's request.
    pub request: usize,
    /// Index of the router.
    pub node: usize,
    /// Number of the session in which the router received the grant.
    pub session: u64,
    /// The dispatcher that granted the request.
    pub dispatcher: RouterId,
    /// Index of the target.
    pub target: usize,
    /// Number of tokens in the complete answer.
    pub cost_tokens: u32,
    /// When the attempt got a slot; absent while it is queued at the target.
    pub started_at: Option<Duration>,
}

impl Attempt {
    /// Tokens produced so far.
    pub fn delivered_tokens(&self, now: Duration) -> u32 {
        let Some(started_at) = self.started_at else { return 0 };
        let tokens = now.saturating_sub(started_at).as_micros() / TOKEN_TIME.as_micros();
        u32::try_from(tokens).unwrap_or(u32::MAX).min(self.cost_tokens)
    }
}

/// One slot of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Slot {
    /// Unused since this time.
    Free(Duration),
    /// In use by this attempt.
    Busy(RequestId),
}

/// State of one target.
#[derive(Debug)]
pub struct Target {
    /// Name of the target.
    pub name: Name,
    /// Incarnation, which increases with each return.
    pub incarnation: u64,
    /// Whether the target accepts connections; false after a crash.
    pub up: bool,
    /// When the target started leaving.
    pub leaving_since: Option<Duration>,
    /// State of each slot.
    pub slots: Vec<Slot>,
    /// Attempts that wait for a slot, oldest first.
    pub queue: VecDeque<RequestId>,
}

impl Target {
    /// Creates an idle target.
    pub fn new(index: usize, slot_count: u32, now: Duration) -> Target {
        Target {
            name: format!("t{}", index + 1).into(),
            incarnation: 1,
            up: true,
            leaving_since: None,
            slots: vec![Slot::Free(now); slot_count as usize],
            queue: VecDeque::new(),
        }
    }

    /// Whether the target may get requests: it is up and isn't leaving.
    pub fn is_usable(&self) -> bool {
        self.up && self.leaving_since.is_none()
    }

    /// Number of attempts in slots and in the queue.
    pub fn attempt_count(&self) -> usize {
        self.busy_count() + self.queue.len()
    }

    /// Number of slots in use.
    pub fn busy_count(&self) -> usize {
        self.slots.iter().filter(|slot| matches!(slot, Slot::Busy(_))).count()
    }

    /// Index of the slot that has been free for longest, and since when.
    pub fn longest_free_slot(&self) -> Option<(usize, Duration)> {
        let free = self.slots.iter().enumerate().filter_map(|(i, slot)| match slot {
            Slot::Free(since) => Some((i, *since)),
            Slot::Busy(_) => None,
        });
        free.min_by_key(|(_, since)| *since)
    }

    /// Removes an attempt from its slot or the queue.
    pub fn remove(&mut self, id: RequestId, now: Duration) {
        self.queue.retain(|queued| *queued != id);
        for slot in &mut self.slots {
            if *slot == Slot::Busy(id) {
                *slot = Slot::Free(now);
            }
        }
    }
}
