//! Queue of news that datagrams carry.
//!
//! Each piece of news is sent a number of times that grows with the logarithm of the fleet, the
//! least sent first. Changes of liveness go before other changes.

use std::cmp;
use std::collections::BTreeMap;

use super::message::{MAX_NON_URGENT_BYTES, MAX_UPDATES_BYTES};
use crate::ids::Name;

/// Times that news is sent for each doubling of the fleet.
const SENDS_PER_DOUBLING: u32 = 3;

/// What a piece of news is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Topic {
    /// A leaving target.
    Target(Name),
    /// A router.
    Member(Name),
}

/// How soon news is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// After all urgent news.
    Usual,
    /// First.
    Urgent,
}

/// News that is still to be sent.
#[derive(Debug, Default)]
pub(super) struct SpreadQueue {
    sends_left: BTreeMap<Topic, (Urgency, u32)>,
}

impl SpreadQueue {
    /// Adds news, or begins anew with what was there.
    pub(super) fn push(&mut self, topic: Topic, urgency: Urgency, member_count: usize) {
        let doublings = usize::BITS - member_count.leading_zeros();
        let count = SENDS_PER_DOUBLING * doublings.max(1);
        let old = self.sends_left.get(&topic).map_or(Urgency::Usual, |(old, _)| *old);
        self.sends_left.insert(topic, (urgency.max(old), count));
    }

    /// Whether urgent news is left.
    pub(super) fn has_urgent(&self) -> bool {
        self.sends_left.values().any(|(urgency, _)| *urgency == Urgency::Urgent)
    }

    /// Takes the news for one datagram; `size_bytes` tells the size of each piece.
    pub(super) fn take(&mut self, size_bytes: impl Fn(&Topic) -> usize) -> Vec<Topic> {
        let ranks = self.sends_left.iter();
        let mut order = ranks.map(|(topic, rank)| (*rank, topic.clone())).collect::<Vec<_>>();
        order.sort_by_key(|(rank, _)| cmp::Reverse(*rank));
        let mut used_bytes = 0;
        let mut taken = Vec::new();
        for ((urgency, sends), topic) in order {
            let max_bytes = match urgency {
                Urgency::Urgent => MAX_UPDATES_BYTES,
                Urgency::Usual => MAX_NON_URGENT_BYTES,
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
