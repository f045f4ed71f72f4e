//! Virtual time of teams: charged service per weight.
//!
//! The team with the least virtual time is served next. A team that returns after a pause is lifted
//! to the least virtual time of the active teams, so that it can't claim service for the pause.

use std::collections::BTreeMap;

use crate::ids::Name;

/// Virtual times of all teams of one cell.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    teams: BTreeMap<Name, Entry>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// Delivered service per weight, plus lifts.
    settled: f64,
    /// Charged ahead for running requests, not divided by weight.
    pending_cost: f64,
    active: bool,
}

impl Ledger {
    /// Virtual time of a team.
    pub fn virtual_time(&self, team: &str, weight: f64) -> f64 {
        self.teams.get(team).map_or(0.0, |entry| entry.settled + entry.pending_cost / weight)
    }

    /// Charges delivered service to a team.
    pub fn charge(&mut self, team: &Name, cost: f64, weight: f64) {
        self.entry(team).settled += cost / weight;
    }

    /// Sets what is charged ahead for a team's running requests.
    pub fn set_pending(&mut self, team: &Name, cost: f64) {
        self.entry(team).pending_cost = cost;
    }

    /// Raises a team's settled virtual time to one that another dispatcher has told.
    pub fn raise(&mut self, team: &Name, virtual_time: f64) {
        let entry = self.entry(team);
        entry.settled = entry.settled.max(virtual_time);
    }

    /// Marks whether a team has work; a team that returns is lifted.
    pub fn set_active(&mut self, team: &Name, active: bool) {
        let was_active = self.teams.get(team).is_some_and(|entry| entry.active);
        if active && !was_active {
            let floor = self.floor();
            self.raise(team, floor);
        }
        self.entry(team).active = active;
    }

    /// Least settled virtual time of the active teams; 0 if there are none.
    fn floor(&self) -> f64 {
        let active = self.teams.values().filter(|entry| entry.active);
        let least = active.map(|entry| entry.settled).fold(f64::INFINITY, f64::min);
        if least.is_finite() { least } else { 0.0 }
    }

    /// Settled virtual times of all teams.
    pub fn settled(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.teams.iter().map(|(team, entry)| (team, entry.settled))
    }

    fn entry(&mut self, team: &Name) -> &mut Entry {
        self.teams.entry(team.clone()).or_default()
    }
}
