//! Fake targets: slots, a queue, and tokens made at a fixed rate.

use std::collections::VecDeque;
use std::time::Duration;

use gentianhinge_core::ids::{Name, RequestId, RouterId};

/// Time that a target takes for one token.
pub const TOKEN_TIME: Duration = Duration::from_millis(45);

/// One attempt at a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Index of the caller's request.
    pub request: usize,
    /// Index of the router.
    pub node: usize,
    /// The router's session that brought the grant.
    pub session: u64,
    /// The dispatcher that granted it.
    pub dispatcher: RouterId,
    /// Index of the target.
    pub target: usize,
    /// Tokens that the answer will have.
    pub cost_tokens: u32,
    /// When the target began; still in its queue if absent.
    pub started_at: Option<Duration>,
}

impl Attempt {
    /// Tokens made so far.
    pub fn delivered_tokens(&self, now: Duration) -> u32 {
        let Some(started_at) = self.started_at else { return 0 };
        let tokens = now.saturating_sub(started_at).as_micros() / TOKEN_TIME.as_micros();
        u32::try_from(tokens).unwrap_or(u32::MAX).min(self.cost_tokens)
    }
}

/// One slot of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Slot {
    /// Without a request since a time.
    Free(Duration),
    /// Taken by an attempt.
    Busy(RequestId),
}

/// A target.
#[derive(Debug)]
pub struct Target {
    /// Name of the target.
    pub name: Name,
    /// Number of this life; a return gives a new one.
    pub incarnation: u64,
    /// Whether the target answers.
    pub up: bool,
    /// When the target began to leave.
    pub leaving_since: Option<Duration>,
    /// The slots.
    pub slots: Vec<Slot>,
    /// Attempts that wait for a slot.
    pub queue: VecDeque<RequestId>,
}

impl Target {
    /// Creates a target without work.
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

    /// Whether the target takes new work.
    pub fn is_usable(&self) -> bool {
        self.up && self.leaving_since.is_none()
    }

    /// Attempts in slots and in the queue.
    pub fn attempt_count(&self) -> usize {
        self.busy_count() + self.queue.len()
    }

    /// Slots with a request.
    pub fn busy_count(&self) -> usize {
        self.slots.iter().filter(|slot| matches!(slot, Slot::Busy(_))).count()
    }

    /// The slot that has been free for longest.
    pub fn longest_free_slot(&self) -> Option<(usize, Duration)> {
        let free = self.slots.iter().enumerate().filter_map(|(i, slot)| match slot {
            Slot::Free(since) => Some((i, *since)),
            Slot::Busy(_) => None,
        });
        free.min_by_key(|(_, since)| *since)
    }

    /// Takes an attempt out of its slot or the queue.
    pub fn remove(&mut self, id: RequestId, now: Duration) {
        self.queue.retain(|queued| *queued != id);
        for slot in &mut self.slots {
            if *slot == Slot::Busy(id) {
                *slot = Slot::Free(now);
            }
        }
    }
}
