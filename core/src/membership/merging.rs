//! Merging of received claims about members.

use tokio::time;

use super::{Entry, Event, MAX_MEMBERS, Member, Membership, Source, Status, Topic, Urgency};
use crate::ids::Name;

impl Membership {
    /// Merges a claim; the greater of two claims about one member wins.
    pub(super) fn merge(&mut self, claim: Member, source: Source, now: time::Instant) {
        if claim.id.name == self.local.id.name {
            return self.refute(&claim, now);
        }
        let Some(entry) = self.members.get(&claim.id.name) else {
            // An unknown member that is dead is ignored, so that dead members stay removed.
            if self.members.len() < MAX_MEMBERS && claim.is_live() {
                self.accept(claim, source, now);
            }
            return;
        };
        let old = &entry.member;
        if claim.precedence() <= old.precedence() {
            return self.request_refutation(&claim, now);
        }
        let same_incarnation = claim.id.incarnation == old.id.incarnation;
        let reported_dead =
            claim.status == Status::Dead && old.status == Status::Alive && same_incarnation;
        if reported_dead && source != Source::Itself {
            // The member may merely be unreachable for the sender of the claim.
            let name = claim.id.name.clone();
            let to = old.peers_addr;
            self.send_claim(to, claim);
            return self.probe_now(&name, now);
        }
        self.accept(claim, source, now);
    }

    /// Asks a member to refute if it is dead to this router and alive to another one.
    fn request_refutation(&mut self, claim: &Member, now: time::Instant) {
        let Some(entry) = self.members.get(&claim.id.name) else { return };
        let old = &entry.member;
        let reported_alive = claim.status == Status::Alive && old.status == Status::Dead;
        let same_version =
            (claim.id.incarnation, claim.version) == (old.id.incarnation, old.version);
        if reported_alive && same_version && self.claim_budget.take(now) {
            let (to, dead) = (old.peers_addr, old.clone());
            self.send_claim(to, dead);
        }
    }

    pub(super) fn accept(&mut self, claim: Member, source: Source, now: time::Instant) {
        let name = claim.id.name.clone();
        let old = self.members.get(&name).map(|entry| &entry.member);
        let was_not_live = old.is_none_or(|old| !old.is_live());
        let roles_change = old.is_none_or(|old| {
            (&old.id, old.status, old.draining) != (&claim.id, claim.status, claim.draining)
        });
        let status_changes =
            old.is_none_or(|old| (&old.id, old.status) != (&claim.id, claim.status));
        let since = self.members.get(&name).map(|entry| entry.since);
        let since = since.filter(|_| !status_changes).unwrap_or(now);
        if status_changes {
            self.record_event(&claim);
        }
        self.sync_found_members |= was_not_live && claim.is_live();
        self.members.insert(name.clone(), Entry { member: claim, since });
        let urgency = if roles_change { Urgency::Urgent } else { Urgency::Normal };
        self.generation += u64::from(roles_change);
        if source != Source::Page {
            self.push_update(Topic::Member(name), urgency);
        }
    }

    pub(super) fn record_event(&mut self, claim: &Member) {
        let id = claim.id.clone();
        self.probes.remove_if_not_live(&id.name, claim.is_live());
        self.events.push_back(match claim.status {
            Status::Alive => Event::Alive(id),
            Status::Suspect => Event::Suspect(id),
            Status::Dead => Event::Dead(id),
            Status::Left => Event::Left(id),
        });
    }

    /// Handles a claim about this router: refutes it if it is greater than the router's own state,
    /// and records an event if it has a greater incarnation.
    pub(super) fn refute(&mut self, claim: &Member, now: time::Instant) {
        if claim.id.incarnation > self.local.id.incarnation {
            self.events.push_back(Event::Superseded(claim.id.clone()));
        }
        let refutes = claim.id.incarnation == self.local.id.incarnation
            && claim.precedence() > self.local.precedence();
        if refutes {
            if claim.status == Status::Dead && self.sync_after.is_none() {
                // If others assumed this router dead, it may wrongly assume others dead as well.
                self.sync_after = Some(Name::from(""));
                self.sync_at = now;
            }
            self.local.version = claim.version;
            self.update_local(Urgency::Urgent);
        }
    }

    pub(super) fn update_local(&mut self, urgency: Urgency) {
        self.local.version = self.local.version.saturating_add(1);
        self.generation += 1;
        self.push_update(Topic::Member(self.local.id.name.clone()), urgency);
    }
}
