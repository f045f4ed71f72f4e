//! Cells of the configured targets in this router's region.

use std::collections::BTreeMap;

use gentianhinge_core::cell;
use gentianhinge_core::dispatch;
use gentianhinge_core::ids::{Name, RequestId};

use crate::config;

/// The cells of each pool and the targets of each cell.
#[derive(Debug, Default)]
pub struct Cells {
    by_pool: BTreeMap<Name, Vec<Name>>,
    targets: BTreeMap<Name, Vec<dispatch::TargetSpec>>,
}

impl Cells {
    /// Splits the pools' targets into cells.
    pub fn new(pools: &[config::Pool], region: &str, max_targets: usize) -> Cells {
        let mut cells = Cells::default();
        for pool in pools {
            let specs = pool.targets.iter().map(|target| (&target.spec.name, &target.spec));
            let specs = specs.collect::<BTreeMap<_, _>>();
            let names = specs.keys().map(|name| (*name).clone()).collect::<Vec<_>>();
            for (name, targets) in cell::assign(&pool.name, region, &names, max_targets) {
                let targets = targets.iter().map(|target| specs[target].clone()).collect();
                cells.by_pool.entry(pool.name.clone()).or_default().push(name.clone());
                cells.targets.insert(name, targets);
            }
        }
        cells
    }

    /// Names of all cells, of all pools.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.targets.keys()
    }

    /// Targets of a cell; empty if the cell is unknown.
    pub fn targets(&self, cell: &Name) -> &[dispatch::TargetSpec] {
        self.targets.get(cell).map_or(&[], Vec::as_slice)
    }

    /// Cell in which a request of a pool waits, chosen round-robin by the request's id.
    pub fn for_request(&self, pool: &Name, id: RequestId) -> Option<&Name> {
        let cells = self.by_pool.get(pool)?;
        cells.get((id.0 % cells.len() as u64) as usize)
    }
}
