//! The index of targets by service, without those of evacuated availability zones.

use std::collections::HashSet;
use std::sync::Arc;

use gentianhinge_core::evacuation::Change;
use gentianhinge_core::ids::Name;
use gentianhinge_core::registry::Target;
use tokio::time::Instant;

use super::RouterState;

/// Heartbeats for which targets that are taken back count as cold: by then a record has been read that
/// was written after the evacuation.
const COLD_HEARTBEATS: u32 = 2;

/// Targets and requests of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneUse {
    /// Registered targets, including those that leave.
    pub target_count: usize,
    /// Requests of this router in flight.
    pub own_request_count: u64,
    /// Requests of all routers in flight, as far as this one knows.
    pub request_count: u64,
}

impl RouterState {
    /// Rebuilds the index of targets by service if the registry or the evacuations have changed, or
    /// targets come back from an evacuation.
    pub(super) fn refresh_target_index(&mut self, now: Instant) {
        let revisions = (self.registry.revision(), self.evacuations.revision());
        let is_return_due = self.next_return.is_some_and(|at| at <= now);
        if self.indexed_revisions == revisions && !is_return_due {
            return;
        }
        self.indexed_revisions = revisions;
        self.by_service.clear();
        self.service_names.clear();
        self.evacuated_services.clear();
        self.service_backlogs.clear();
        self.next_return = None;
        self.refresh_versions(now);
        let mut returning = Vec::new();
        for target in self.registry.targets().filter(|target| !target.is_leaving) {
            if self.evacuations.is_evacuated(&target.zone) {
                self.evacuated_services.insert(target.service.clone());
                continue;
            }
            let hash = target.hash();
            self.service_names.insert(hash, target.service.clone());
            if let Some(at) = self.evacuations.returns_at(&target.zone, hash, &self.name, now) {
                self.next_return = Some(self.next_return.map_or(at, |next| next.min(at)));
                returning.push((target.clone(), hash));
                continue;
            }
            let entries = self.by_service.entry(target.service.clone()).or_default();
            entries.push((target.clone(), hash));
        }
        // Without other targets, requests would be refused until the first one is due.
        let served = self.by_service.keys().cloned().collect::<HashSet<_>>();
        returning.retain(|(target, _)| !served.contains(&target.service));
        for entry in returning {
            self.by_service.entry(entry.0.service.clone()).or_default().push(entry);
        }
        self.evacuated_services.retain(|service| !self.by_service.contains_key(service));
        self.begin_spreading_all();
    }

    /// Whether a service has targets, all of them in evacuated zones.
    pub(super) fn is_evacuated(&mut self, service: &Name, now: Instant) -> bool {
        self.refresh_target_index(now);
        self.evacuated_services.contains(service)
    }

    /// Acts on a change of a zone, in the same lock in which it was recorded; returns the use of the
    /// zone.
    pub fn apply_evacuation_change(&mut self, change: &Change) -> ZoneUse {
        let (Change::Begun(zone) | Change::Ended(zone, _)) = change;
        if matches!(change, Change::Ended(..)) {
            let targets = self.targets_in(zone).cloned().collect::<Vec<_>>();
            self.take_back(&targets, Instant::now());
        }
        self.zone_use(zone)
    }

    /// Acts on the end of an evacuation; `targets` are those of the zone, which may get requests
    /// again. Their cached prompt parts may have been lost meanwhile, and they may have become cold
    /// since their last records.
    fn take_back(&mut self, targets: &[Arc<Target>], now: Instant) {
        let cold_until = now + self.heartbeat_interval * COLD_HEARTBEATS;
        for target in targets {
            self.load.forget_cached_parts(target.hash());
            self.hold_cold(target, cold_until);
        }
    }

    fn targets_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Arc<Target>> {
        self.registry.targets().filter(move |target| &*target.zone == zone)
    }

    /// Targets and requests of a zone.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Small counts.
    pub fn zone_use(&self, zone: &str) -> ZoneUse {
        self.targets_in(zone).fold(ZoneUse::default(), |sum, target| {
            let hash = target.hash();
            ZoneUse {
                target_count: sum.target_count + 1,
                own_request_count: sum.own_request_count
                    + self.load.own_load(hash).running_count as u64,
                request_count: sum.request_count + self.load.load(hash).running_count as u64,
            }
        })
    }

    /// Whether the targets have been read.
    pub fn are_targets_loaded(&self) -> bool {
        self.are_targets_loaded
    }
}
