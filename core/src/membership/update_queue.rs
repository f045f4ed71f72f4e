//! Queue of updates to be sent with datagrams.
//!
//! Each update is sent a number of times that is logarithmic in the size of the fleet. Urgent
//! updates go first, and among equals those that were sent least often.

use std::cmp;
use std::collections::BTreeMap;

use super::message::{MAX_NON_URGENT_BYTES, MAX_UPDATES_BYTES};
use crate::ids::Name;

/// Number of times that an update is sent per doubling of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 3;

/// Topic of an update.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Topic {
    /// A leaving target.
    Target(Name),
    /// A router.
    Member(Name),
}

/// Priority of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// Sent after all urgent updates.
    Normal,
    /// Sent first: changes of liveness, of roles and of leaving targets.
    Urgent,
}

/// Updates with sends left.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    sends_left: BTreeMap<Topic, (Urgency, u32)>,
}

impl UpdateQueue {
    /// Adds an update; one with the same topic is replaced and gets its full number of sends
    /// again.
    pub(super) fn push(&mut self, topic: Topic, urgency: Urgency, member_count: usize) {
        let doublings = usize::BITS - member_count.leading_zeros();
        let count = SENDS_PER_DOUBLING * doublings.max(1);
        let old = self.sends_left.get(&topic).map_or(Urgency::Normal, |(old, _)| *old);
        self.sends_left.insert(topic, (urgency.max(old), count));
    }

    /// Whether an urgent update is left.
    pub(super) fn has_urgent(&self) -> bool {
        self.sends_left.values().any(|(urgency, _)| *urgency == Urgency::Urgent)
    }

    /// Takes the updates for one datagram; `size_bytes` returns the size of each.
    pub(super) fn take(&mut self, size_bytes: impl Fn(&Topic) -> usize) -> Vec<Topic> {
        let ranks = self.sends_left.iter();
        let mut order = ranks.map(|(topic, rank)| (*rank, topic.clone())).collect::<Vec<_>>();
        order.sort_by_key(|(rank, _)| cmp::Reverse(*rank));
        let mut used_bytes = 0;
        let mut taken = Vec::new();
        for ((urgency, sends), topic) in order {
            let max_bytes = match urgency {
                Urgency::Urgent => MAX_UPDATES_BYTES,
                Urgency::Normal => MAX_NON_URGENT_BYTES,
            };
            used_bytes += size_bytes(&topic);
            if used_bytes > max_bytes {
                break;
            }
            if sends > 1 {
                self.sends_left.insert(topic.clone(), (urgency, sends - 1));
            } else {
                self.sends_left.remove(&topic);
            }
            taken.push(topic);
        }
        taken
    }
}
