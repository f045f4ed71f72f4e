//! Claims on members: which of two holds, and what follows.

use tokio::time;

use super::{Entry, Event, MAX_MEMBERS, Member, Membership, Source, Status, Topic, Urgency};
use crate::ids::Name;

impl Membership {
    /// Takes a claim; the greater of two claims on one member holds.
    pub(super) fn merge(&mut self, claim: Member, source: Source, now: time::Instant) {
        if claim.id.name == self.me.id.name {
            return self.answer_claim(&claim, now);
        }
        let Some(entry) = self.members.get(&claim.id.name) else {
            // The dead are told of to those who knew them only, so that they are forgotten.
            if self.members.len() < MAX_MEMBERS && claim.is_live() {
                self.accept(claim, source, now);
            }
            return;
        };
        let old = &entry.member;
        if claim.precedence() <= old.precedence() {
            return self.answer_life(&claim, now);
        }
        let same_life = claim.id.incarnation == old.id.incarnation;
        let told_dead = claim.status == Status::Dead && old.status == Status::Alive && same_life;
        if told_dead && source != Source::Itself {
            // The member may merely be cut off from those who say so.
            let name = claim.id.name.clone();
            let to = old.peers_addr;
            self.tell_claim(to, claim);
            return self.probe_now(&name, now);
        }
        self.accept(claim, source, now);
    }

    /// Asks a member that is dead to this router, but lives to another, to refute.
    fn answer_life(&mut self, claim: &Member, now: time::Instant) {
        let Some(entry) = self.members.get(&claim.id.name) else { return };
        let old = &entry.member;
        let lives = claim.status == Status::Alive && old.status == Status::Dead;
        let same_version =
            (claim.id.incarnation, claim.version) == (old.id.incarnation, old.version);
        if lives && same_version && self.claim_budget.take(now) {
            let (to, dead) = (old.peers_addr, old.clone());
            self.tell_claim(to, dead);
        }
    }

    pub(super) fn accept(&mut self, claim: Member, source: Source, now: time::Instant) {
        let name = claim.id.name.clone();
        let old = self.members.get(&name).map(|entry| &entry.member);
        let was_gone = old.is_none_or(|old| !old.is_live());
        let roles_change = old.is_none_or(|old| {
            (&old.id, old.status, old.draining) != (&claim.id, claim.status, claim.draining)
        });
        let status_changes =
            old.is_none_or(|old| (&old.id, old.status) != (&claim.id, claim.status));
        let since = self.members.get(&name).map(|entry| entry.since);
        let since = since.filter(|_| !status_changes).unwrap_or(now);
        if status_changes {
            self.note(&claim);
        }
        self.sync_is_news |= was_gone && claim.is_live();
        self.members.insert(name.clone(), Entry { member: claim, since });
        let urgency = if roles_change { Urgency::Urgent } else { Urgency::Usual };
        self.generation += u64::from(roles_change);
        if source != Source::Page {
            self.push_news(Topic::Member(name), urgency);
        }
    }

    pub(super) fn note(&mut self, claim: &Member) {
        let id = claim.id.clone();
        self.probes.forget_if_gone(&id.name, claim.is_live());
        self.events.push_back(match claim.status {
            Status::Alive => Event::Alive(id),
            Status::Suspect => Event::Suspect(id),
            Status::Dead => Event::Dead(id),
            Status::Left => Event::Left(id),
        });
    }

    /// Refutes a claim on this router's own life.
    pub(super) fn answer_claim(&mut self, claim: &Member, now: time::Instant) {
        if claim.id.incarnation > self.me.id.incarnation {
            self.events.push_back(Event::Superseded(claim.id.clone()));
        }
        let refutes = claim.id.incarnation == self.me.id.incarnation
            && claim.precedence() > self.me.precedence();
        if refutes {
            if claim.status == Status::Dead && self.sync_after.is_none() {
                // Whoever was thought dead may think the same of the others.
                self.sync_after = Some(Name::from(""));
                self.sync_at = now;
            }
            self.me.version = claim.version;
            self.change_me(Urgency::Urgent);
        }
    }

    pub(super) fn change_me(&mut self, urgency: Urgency) {
        self.me.version = self.me.version.saturating_add(1);
        self.generation += 1;
        self.push_news(Topic::Member(self.me.id.name.clone()), urgency);
    }
}
