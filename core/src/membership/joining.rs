//! Joining: requests the member list in pages until a pass finds no new members.

use std::net;
use std::ops;
use std::time::Duration;

use rand::seq::IndexedRandom;
use smallvec::SmallVec;
use tokio::time;

use super::{Envelope, Kind, Membership, Message, message};
use crate::ids::Name;

/// Initial time after which an unanswered request for a page is repeated.
pub(super) const SYNC_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two passes over all members, while passes find new members.
const RESYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time between two requests for a page.
const MAX_SYNC_WAIT: Duration = Duration::from_secs(5);

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
        let mut left_bytes = message::MAX_UPDATES_BYTES;
        let mut members = Vec::new();
        let mut more = false;
        let from = (ops::Bound::Excluded(after.clone()), ops::Bound::Unbounded);
        for entry in self.members.range(from).map(|(_, entry)| entry) {
            let size = entry.member.size_bytes();
            if size > left_bytes {
                more = true;
                break;
            }
            left_bytes -= size;
            members.push(entry.member.clone());
        }
        let message = Message {
            kind: Kind::Page { more },
            seq,
            sender: self.local.clone(),
            members,
            leaving_targets: Vec::new(),
        };
        self.outbox.push(Envelope { to, message });
    }
}
