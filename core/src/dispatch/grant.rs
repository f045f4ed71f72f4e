//! Selection of the next request and its target, and batching of grants.

use std::time::Duration;

use super::Dispatcher;
use super::flows::FlowIndex;
use super::session::{DemandEntry, SessionKey};
use crate::ids::{GrantId, Name, RouterId};
use crate::message::{Grant, GrantBatch, TeamVirtualTime};
use crate::report;

/// Minimum time between two sends of a team's virtual time.
///
/// Virtual times are sent with grants, and routers keep them for the next dispatcher. Grants of one
/// team go to many routers, so the loss of a few routers loses little.
const VIRTUAL_TIME_INTERVAL: Duration = Duration::from_millis(500);

impl Dispatcher {
    pub(super) fn grant_one(&mut self) -> bool {
        let Some((_, team)) = self.teams.first() else { return false };
        let Some((_, key, flow)) = self.teams.get(team).waiting.first().copied() else {
            return false;
        };
        let session = self.sessions.get(&key);
        let Some(mut entry) = session.and_then(|session| session.demand.get(&flow)).cloned() else {
            return false;
        };
        let Some(target) = self.targets.pick(&entry.preferred_targets) else { return false };
        entry.take_one();
        self.teams.raise_floor(self.teams.get(team).account.settled());
        self.grant(key, flow, target, entry);
        true
    }

    fn grant(&mut self, key: SessionKey, flow: FlowIndex, target: Name, entry: DemandEntry) {
        let id = GrantId(self.next_grant);
        self.next_grant += 1;
        // Charge before removing the demand: without demand the team isn't backlogged any more.
        self.start_running(key, id, flow, target.clone(), 0.0);
        self.set_demand(key, flow, Some(entry));
        let Some(session) = self.sessions.get_mut(&key) else { return };
        session.unacked.push_back((self.batch_seq + 1, flow));
        session.grants.push(Grant { id, flow: self.flows.get(flow).flow.clone(), target });
        self.dirty.insert(key);
    }

    pub(super) fn take_batches(&mut self) -> Vec<(RouterId, GrantBatch)> {
        let dirty = std::mem::take(&mut self.dirty);
        // All batches of a poll share one number, as each router gets at most one of them.
        self.batch_seq += u64::from(!dirty.is_empty());
        dirty.into_iter().filter_map(|key| self.take_batch(key)).collect()
    }

    fn take_batch(&mut self, key: SessionKey) -> Option<(RouterId, GrantBatch)> {
        let session = self.sessions.get_mut(&key)?;
        let seq = self.batch_seq;
        let router = session.router.clone();
        let grants = std::mem::take(&mut session.grants);
        let moves = std::mem::take(&mut session.moves);
        let virtual_times =
            grants.iter().filter_map(|grant| self.virtual_time_to_send(&grant.flow.team)).collect();
        let (dispatcher, cell, lineage) = (self.id.clone(), self.cell.clone(), self.lineage());
        Some((router, GrantBatch { dispatcher, cell, seq, grants, moves, virtual_times, lineage }))
    }

    /// The lineage that this dispatcher continues, or else a new one.
    fn lineage(&mut self) -> u64 {
        let own = report::hash(&self.id.name, self.id.incarnation);
        *self.lineage.get_or_insert(own)
    }

    fn virtual_time_to_send(&mut self, team: &Name) -> Option<TeamVirtualTime> {
        let index = self.teams.find(team)?;
        let state = self.teams.get_mut(index);
        if state.virtual_time_sent_at.is_some_and(|at| self.now < at + VIRTUAL_TIME_INTERVAL) {
            return None;
        }
        state.virtual_time_sent_at = Some(self.now);
        // Excludes expected costs: the next dispatcher charges those of the requests reported to
        // it.
        Some(TeamVirtualTime { team: team.clone(), cost: state.account.settled() })
    }
}
