//! Read-only snapshot of the table, from which the traffic threads authenticate callers and look up
//! their classes.

use std::collections::HashMap;
use std::sync;

use gentianhinge_core::ids::{Flow, Name};
use gentianhinge_core::{code, table};
use smallvec::SmallVec;

use crate::telemetry;

/// Teams by key hash, operator keys and classes of one table.
#[derive(Debug)]
pub struct Directory {
    keys: HashMap<table::KeyHash, sync::Arc<TeamEntry>>,
    operator_keys: Vec<table::KeyHash>,
    default_class: Option<Name>,
    classes: Vec<Name>,
}

/// A team with the classes that it may use.
#[derive(Debug)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: Name,
    flows: SmallVec<[sync::Arc<FlowEntry>; 4]>,
}

/// A class that a team may use, with its metrics.
#[derive(Debug)]
pub struct FlowEntry {
    /// Names of the team and class.
    pub flow: Flow,
    /// Histograms and counters of this team and class.
    pub metrics: telemetry::FlowMetrics,
}

impl Directory {
    /// Builds the snapshot of a table and registers the metrics of its flows.
    pub fn new(table: &table::Table, telemetry: &telemetry::Telemetry) -> Directory {
        let mut keys = HashMap::new();
        for team in table.teams.values() {
            let entry = sync::Arc::new(team_entry(team, table, telemetry));
            keys.extend(team.key_hashes.iter().map(|hash| (*hash, entry.clone())));
        }
        Directory {
            keys,
            operator_keys: table.operator_key_hashes.clone(),
            default_class: table.default_class().cloned(),
            classes: table.classes.keys().cloned().collect(),
        }
    }

    /// Returns the team to which a key belongs.
    pub fn team(&self, key: &[u8]) -> Option<&sync::Arc<TeamEntry>> {
        // The lookup is by hash, so its duration reveals nothing about the stored keys.
        self.keys.get(blake3::hash(key).as_bytes())
    }

    /// Whether a key belongs to an operator.
    pub fn is_operator(&self, key: &[u8]) -> bool {
        let hash = blake3::hash(key);
        self.operator_keys.iter().any(|known| hash == blake3::Hash::from(*known))
    }

    /// Returns the flow of a team's request, in the default class if `class` is `None`.
    ///
    /// # Errors
    ///
    /// The class isn't in the table, no default class exists, or the team may not use the class.
    pub fn flow(
        &self,
        team: &TeamEntry,
        class: Option<&str>,
    ) -> Result<sync::Arc<FlowEntry>, code::ResultCode> {
        let class = match (class, &self.default_class) {
            (Some(class), _) => class,
            (None, Some(class)) => class,
            (None, None) => return Err(code::ResultCode::UnknownClass),
        };
        if !self.classes.iter().any(|known| &**known == class) {
            return Err(code::ResultCode::UnknownClass);
        }
        let entry = team.flows.iter().find(|entry| &*entry.flow.class == class);
        entry.cloned().ok_or(code::ResultCode::ClassNotAllowed)
    }
}

fn team_entry(
    team: &table::Team,
    table: &table::Table,
    telemetry: &telemetry::Telemetry,
) -> TeamEntry {
    let allowed = |class: &&Name| team.classes.is_empty() || team.classes.contains(class);
    let flows = table.classes.keys().filter(allowed).map(|class| {
        let flow = Flow { team: team.name.clone(), class: class.clone() };
        sync::Arc::new(FlowEntry { metrics: telemetry.flow_metrics(&flow), flow })
    });
    TeamEntry { name: team.name.clone(), flows: flows.collect() }
}
