//! Software versions: at which a stream under way may go on.

use gentianhinge_core::report::{self, Hash};
use gentianhinge_core::stream_versions::Origin;
use tokio::time::Instant;

use super::RouterState;
use crate::edge::spec::{Placement, RequestSpec};

/// Maximum number of ids of targets whose last version is remembered.
const MAX_TARGET_IDS: usize = 16_384;

impl RouterState {
    /// Takes the versions of all registered targets into account, those that leave included.
    pub(super) fn refresh_versions(&mut self, now: Instant) {
        self.target_versions.clear();
        if self.versions_by_id.len() > MAX_TARGET_IDS {
            self.versions_by_id.clear();
        }
        let mut served = Vec::new();
        for target in self.registry.targets() {
            let hash = target.hash();
            let version = target.version.as_ref().map(|version| report::hash(version, 0));
            served.push((report::hash(&target.service, 0), version));
            if let Some(version) = version {
                self.target_versions.insert(hash, version);
            }
            let before = self.versions_by_id.insert(target.id.clone(), (hash, version));
            if let Some((old, _)) = before.filter(|(_, before)| *before != version) {
                // Requests that were sent to the old incarnation may have reached the new one.
                self.versions.doubt_target(old);
            }
        }
        self.versions.set_served(served.into_iter(), now);
    }

    /// Whether a service has become mixed, which other routers have to know at once.
    pub fn take_version_news(&mut self, now: Instant) -> bool {
        self.refresh_target_index(now);
        self.versions.take_news()
    }

    /// Where a stream may go on that a caller takes up; `stream` is the id of the attempt that
    /// brought its first event.
    pub fn origin(&mut self, stream: Option<&str>, service: &str, now: Instant) -> Origin {
        self.refresh_target_index(now);
        let stream = stream.map(|id| report::hash(id, 0));
        let may_be_mixed = self.is_out_of_touch(now);
        self.versions.origin(stream, report::hash(service, 0), may_be_mixed, now)
    }

    /// Whether this router's view of the targets is old, and it doesn't hear most of the other routers
    /// either, so that further versions may serve.
    fn is_out_of_touch(&mut self, now: Instant) -> bool {
        let age = self.topic_view(report::Topic::Targets).age(now);
        let is_stale = age.is_none_or(|age| age > self.targets_bound);
        let router_count = self.load.router_count(now);
        is_stale && router_count * 2 <= self.registered_routers.len().max(2)
    }

    /// Records that a target has sent the first event of a stream; returns the version at which it may
    /// go on, if it is known.
    pub fn record_begun(
        &mut self,
        stream: Option<&str>,
        placement: &Placement,
        now: Instant,
    ) -> Option<Hash> {
        self.refresh_target_index(now);
        let target = &placement.target;
        let registered = self.versions_by_id.get(&target.id);
        let version = target.version.as_ref().map(|version| report::hash(version, 0));
        // Another version under its id may have run the request.
        let is_certain = registered.is_none_or(|(_, registered)| *registered == version);
        let version = version.filter(|_| is_certain);
        if let Some(stream) = stream {
            let service = report::hash(&target.service, 0);
            let stream = report::hash(stream, 0);
            self.versions.record_begun(stream, service, placement.hash, version, now);
        }
        version
    }

    /// Whether another version than that of its target may have begun a stream.
    pub fn is_version_doubtful(&mut self, stream: &str) -> bool {
        self.refresh_target_index(Instant::now());
        self.versions.version(report::hash(stream, 0)) == Some(None)
    }

    /// Whether a target that a request hasn't been sent to has the version that the request needs.
    pub(super) fn has_version(&mut self, spec: &RequestSpec, now: Instant) -> bool {
        let Some(version) = spec.required_version else { return true };
        self.refresh_target_index(now);
        let targets = self.by_service.get(&spec.service).into_iter().flatten();
        let mut untried = targets.filter(|(_, hash)| !spec.tried.contains(hash));
        untried.any(|(_, hash)| self.target_versions.get(hash) == Some(&version))
    }
}
