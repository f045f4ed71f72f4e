//! Assignment of the dispatcher roles, and the sessions with the dispatchers of other cells.

use gentianhinge_core::ids::Name;
use gentianhinge_core::membership::Member;
use gentianhinge_core::{cell, dispatch};
use tokio::time;

use super::Control;

impl Control {
    /// Updates the dispatchers' counts of live and listed routers.
    ///
    /// Without a host list a network partition can't be distinguished from the death of the other
    /// routers, so the counts stay as they are.
    pub(super) fn update_view(&mut self) {
        let Some(fleet) = self.fleet.as_ref().filter(|_| self.listed_count > 0) else { return };
        let live = fleet.live_count();
        self.hosted.set_view(u32::try_from(live).unwrap_or(u32::MAX), self.listed_count);
    }

    /// Routers of this region that are eligible for roles, or all live ones if none is eligible.
    fn candidates(&self) -> Vec<Name> {
        let Some(fleet) = &self.fleet else { return vec![self.id.name.clone()] };
        let here = |member: &&Member| member.region == self.region;
        let eligible = fleet.membership.eligible().filter(here);
        let eligible = eligible.map(|member| member.id.name.clone()).collect::<Vec<_>>();
        if !eligible.is_empty() {
            return eligible;
        }
        let live = fleet.membership.members().filter(here).filter(|member| member.is_live());
        let live = live.map(|member| member.id.name.clone());
        live.chain([self.id.name.clone()]).collect()
    }

    /// Reassigns the roles if the membership has changed.
    pub(super) fn assign_roles(&mut self, now: time::Instant) {
        let generation = self.fleet.as_ref().map_or(0, |fleet| fleet.membership.generation());
        if self.generation == Some(generation) || !*self.ready.borrow() {
            return;
        }
        self.generation = Some(generation);
        let candidates = self.candidates();
        let names = self.cells.names().cloned().collect::<Vec<_>>();
        for name in names {
            let role = cell::Role::Dispatcher { cell: name.clone() };
            let holder = cell::holder(&role, &candidates).cloned();
            let holder = holder.unwrap_or_else(|| self.id.name.clone());
            self.holders.insert(name.clone(), holder.clone());
            if holder != self.id.name {
                self.give_up(&name);
            } else if !self.hosted.has(&name) {
                self.host(name, now);
            }
        }
        self.update_view();
        let Some(fleet) = &self.fleet else { return };
        let membership = &fleet.membership;
        for (target, incarnation) in membership.leaving_targets() {
            self.hosted.drain_incarnation(target, incarnation);
        }
        self.hosted.retain_routers(|router| {
            let known = membership.member(&router.name);
            known.is_some_and(|member| member.id == *router && member.is_live())
        });
    }

    /// Stops the dispatcher of a cell, if this router hosts it.
    ///
    /// The local session ends too: a dispatcher that this router starts later has the same id, so
    /// the old session would be mistaken for one with the new dispatcher.
    fn give_up(&mut self, cell: &Name) {
        if self.hosted.has(cell) {
            self.hosted.stop(cell);
            self.targets.stop_polling(cell);
            self.router.end_session(cell);
        }
    }

    fn host(&mut self, name: Name, now: time::Instant) {
        let (id, table) = (self.id.clone(), self.table.clone());
        let mut dispatcher = dispatch::Dispatcher::new(id, name.clone(), table);
        dispatcher.set_targets(self.cells.targets(&name));
        let others = self.fleet.iter().flat_map(|fleet| fleet.membership.members());
        let others = others.filter(|member| member.is_live() && member.region == self.region);
        let others = others.map(|member| member.id.clone()).collect::<Vec<_>>();
        dispatcher.wait_for_reports(&others, now + self.settle_time);
        let targets = self.cells.targets(&name).iter().map(|spec| spec.name.clone());
        self.targets.start_polling(&name, &mut dispatcher, &targets.collect::<Vec<_>>(), now);
        self.hosted.start(name, dispatcher);
    }

    /// Ensures a session with the dispatcher of each cell in use.
    pub(super) fn open_sessions(&mut self, now: time::Instant) {
        if self.generation.is_none() {
            return;
        }
        let used = self.router.cells().map(|(cell, current)| (cell.clone(), current.cloned()));
        let used = used.collect::<Vec<_>>();
        for (name, current) in used {
            if self.hosted.has(&name) {
                self.uplinks.drop_session(&name);
                let joined = current.as_ref() == Some(&self.id);
                if let Some(dispatcher) = self.hosted.dispatcher(&name).filter(|_| !joined) {
                    dispatcher.join(self.id.clone());
                    self.router.set_dispatcher(&name, self.id.clone());
                }
                continue;
            }
            let holder = self.holders.get(&name).zip(self.fleet.as_ref());
            let member = holder.and_then(|(holder, fleet)| fleet.membership.member(holder));
            if let Some(member) = member.filter(|member| member.id != self.id) {
                self.uplinks.ensure_session(&name, &member.id, member.peers_addr, now);
            }
        }
    }

    /// Gives up roles, sessions and grants after a pause of the process.
    ///
    /// State received before the pause may be stale: slots may have been reassigned, and targets
    /// may have left. The next dispatcher that this router starts for such a cell therefore uses a
    /// target only after a new load report.
    pub(super) fn check_pause(&mut self, now: time::Instant) {
        if !self.pause.check(now) {
            return;
        }
        tracing::warn!("process was paused; giving up roles and sessions");
        let hosted = self.cells.names().filter(|name| self.hosted.has(name));
        for name in hosted.cloned().collect::<Vec<_>>() {
            self.give_up(&name);
            self.targets.require_fresh_load(&name);
        }
        let used = self.router.cells().map(|(name, _)| name.clone()).collect::<Vec<_>>();
        for name in used {
            self.uplinks.drop_session(&name);
            self.router.end_session(&name);
        }
        self.generation = None;
    }
}
