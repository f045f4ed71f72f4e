//! Choice of the next request and of its target.

use std::time::Duration;

use super::Dispatcher;
use super::flows::FlowIndex;
use super::session::{Line, SessionKey};
use crate::ids::{GrantId, Name, RouterId};
use crate::message::{Grant, GrantBatch, TeamVirtualTime};
use crate::report;

/// A team's virtual time is told with a grant no more often than this.
///
/// Routers keep the virtual times for the next dispatcher. Grants of one team go to many routers, so
/// the loss of any few loses little.
const VIRTUAL_TIME_INTERVAL: Duration = Duration::from_millis(500);

impl Dispatcher {
    pub(super) fn grant_one(&mut self) -> bool {
        let Some((_, team)) = self.teams.first() else { return false };
        let Some((_, key, flow)) = self.teams.get(team).waiting.first().copied() else {
            return false;
        };
        let session = self.sessions.get(&key);
        let Some(mut line) = session.and_then(|session| session.lines.get(&flow)).cloned() else {
            return false;
        };
        let Some(target) = self.targets.pick(&line.preferred_targets) else { return false };
        line.take_one();
        self.teams.raise_floor(self.teams.get(team).account.settled());
        self.grant(key, flow, target, line);
        true
    }

    fn grant(&mut self, key: SessionKey, flow: FlowIndex, target: Name, line: Line) {
        let id = GrantId(self.next_grant);
        self.next_grant += 1;
        // Charged first: a team whose last line goes isn't backlogged any more.
        self.start_running(key, id, flow, target.clone(), 0.0);
        self.set_line(key, flow, Some(line));
        let Some(session) = self.sessions.get_mut(&key) else { return };
        session.unacked.push_back((self.batch_seq + 1, flow));
        session.grants.push(Grant { id, flow: self.flows.get(flow).flow.clone(), target });
        self.dirty.insert(key);
    }

    pub(super) fn take_batches(&mut self) -> Vec<(RouterId, GrantBatch)> {
        let dirty = std::mem::take(&mut self.dirty);
        // One number for all batches of a poll: each router gets at most one of them.
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
            grants.iter().filter_map(|grant| self.tell_virtual_time(&grant.flow.team)).collect();
        let (dispatcher, cell, lineage) = (self.id.clone(), self.cell.clone(), self.lineage());
        Some((router, GrantBatch { dispatcher, cell, seq, grants, moves, virtual_times, lineage }))
    }

    /// The count of service that this dispatcher goes on with, or begins.
    fn lineage(&mut self) -> u64 {
        let own = report::hash(&self.id.name, self.id.incarnation);
        *self.lineage.get_or_insert(own)
    }

    fn tell_virtual_time(&mut self, team: &Name) -> Option<TeamVirtualTime> {
        let index = self.teams.find(team)?;
        let state = self.teams.get_mut(index);
        if state.told_at.is_some_and(|at| self.now < at + VIRTUAL_TIME_INTERVAL) {
            return None;
        }
        state.told_at = Some(self.now);
        // What is charged ahead is left out: the next dispatcher charges what it finds running.
        Some(TeamVirtualTime { team: team.clone(), cost: state.account.settled() })
    }
}
