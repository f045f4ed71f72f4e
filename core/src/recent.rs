//! A set that remembers its latest members.

use std::collections::{HashSet, VecDeque};
use std::hash::Hash;

/// A set of bounded size: the members added first are forgotten first.
#[derive(Debug)]
pub struct RecentSet<T> {
    members: HashSet<T>,
    order: VecDeque<T>,
    max_len: usize,
}

impl<T: Clone + Eq + Hash> RecentSet<T> {
    /// Creates an empty set of at most `max_len` members.
    pub fn new(max_len: usize) -> RecentSet<T> {
        RecentSet { members: HashSet::new(), order: VecDeque::new(), max_len }
    }

    /// Adds a member; returns `false` if it is one already.
    pub fn insert(&mut self, member: T) -> bool {
        if !self.members.insert(member.clone()) {
            return false;
        }
        if self.order.len() >= self.max_len
            && let Some(first) = self.order.pop_front()
        {
            self.members.remove(&first);
        }
        self.order.push_back(member);
        true
    }

    /// Whether `member` is one of the latest members.
    pub fn contains(&self, member: &T) -> bool {
        self.members.contains(member)
    }
}
