//! Joining: requests the members and leaving targets in pages until a pass finds no new members.

use std::collections::BTreeSet;
use std::net;
use std::ops;
use std::time::Duration;

use rand::seq::IndexedRandom;
use smallvec::SmallVec;
use tokio::time;

use super::{Envelope, Kind, LeavingTarget, Member, Membership, Message, message};
use crate::ids::Name;

/// Initial time after which an unanswered request for a page is repeated.
pub(super) const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two passes over all members, while passes find new members.
const RESYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two requests for a page.
const MAX_SYNC_WAIT: Duration = Duration::from_secs(5);
/// Number of members or leaving targets that is too large for one page, whatever their names.
const MAX_PAGE_ENTRIES: usize = message::MAX_UPDATES_BYTES / LeavingTarget::FIXED_BYTES + 1;

impl Membership {
    pub(super) fn poll_sync(&mut self, now: time::Instant) {
        let Some(after) = self.sync_after.clone() else { return };
        if now < self.sync_at {
            return;
        }
        self.sync_at = now + self.sync_wait;
        self.sync_wait = (self.sync_wait * 2).min(MAX_SYNC_WAIT);
        let live = self.members().filter(|member| member.is_live());
        let live = live.map(|member| member.peers_addr).collect::<Vec<_>>();
        let mut to = live.choose(&mut self.rng).copied().into_iter().collect::<SmallVec<[_; 2]>>();
        // Before the first pass has ended, the live members may be routers that joined through this
        // one and know no others.
        if !self.has_joined || to.is_empty() {
            to.extend(self.unknown_seeds().choose(&mut self.rng).copied());
        }
        for addr in to {
            self.send(addr, Kind::Sync { after: after.clone() }, 0);
        }
    }

    /// Requests the next page, or ends the pass after the last one.
    ///
    /// A duplicate or late page doesn't move the cursor back.
    pub(super) fn take_page(&mut self, last: Option<Name>, more: bool, now: time::Instant) {
        let Some(after) = &self.sync_after else { return };
        if !more {
            self.has_joined = true;
            // When many routers join at once, the first pass may find only few of them, so passes
            // are repeated until one finds no new members.
            let again = std::mem::take(&mut self.sync_found_members);
            self.sync_after = again.then(|| Name::from(""));
            self.sync_wait = SYNC_TIMEOUT;
            self.sync_at = now + RESYNC_INTERVAL;
        } else if last.as_ref().is_some_and(|last| last > after) {
            self.sync_after = last;
            self.sync_wait = SYNC_TIMEOUT;
            self.sync_at = now;
        }
    }

    pub(super) fn send_page(
        &mut self,
        to: net::SocketAddr,
        seq: u64,
        after: &Name,
        now: time::Instant,
    ) {
        if !self.page_budget.take(now) {
            return;
        }
        let (members, leaving_targets, more) = self.page(after);
        let (kind, sender) = (Kind::Page { more }, self.local.clone());
        let message = Message { kind, seq, sender, members, leaving_targets };
        self.outbox.push(Envelope { to, message });
    }

    /// Returns the members and leaving targets after a name that fit one page, and whether there
    /// are more. A member and a target of the same name are in the same page.
    fn page(&self, after: &Name) -> (Vec<Member>, Vec<LeavingTarget>, bool) {
        let from = (ops::Bound::Excluded(after.clone()), ops::Bound::Unbounded);
        let members = self.members.range(from.clone()).map(|(name, _)| name);
        let targets = self.leaving_targets.range(from).map(|(name, _)| name);
        let names = members.take(MAX_PAGE_ENTRIES).chain(targets.take(MAX_PAGE_ENTRIES));
        let mut left_bytes = message::MAX_UPDATES_BYTES;
        let (mut members, mut leaving_targets) = (Vec::new(), Vec::new());
        for name in names.collect::<BTreeSet<_>>() {
            let member = self.members.get(name).map(|entry| entry.member.clone());
            let target = self
                .leaving_targets
                .get(name)
                .map(|incarnation| LeavingTarget { name: name.clone(), incarnation: *incarnation });
            let size = member.as_ref().map_or(0, Member::size_bytes)
                + target.as_ref().map_or(0, LeavingTarget::size_bytes);
            if size > left_bytes {
                return (members, leaving_targets, true);
            }
            left_bytes -= size;
            members.extend(member);
            leaving_targets.extend(target);
        }
        (members, leaving_targets, false)
    }
}
