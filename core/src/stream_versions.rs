//! The software version at which each stream under way began.
//!
//! Targets of several versions serve side by side during a release, and what two versions write doesn't
//! fit together. A caller whose router has ended comes to another one within moments, with some hundred
//! others, and names only its attempt that brought the stream's first event.
//!
//! Each router remembers the streams that it has begun, and tells the others while a service is
//! *mixed*: while targets of more than one version serve it, or did within the time for which a caller
//! may come back. With one version only, nothing need be told. A router that has started too late to
//! know takes each service for mixed until it hears one that does.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time::Instant;

use crate::ids::Name;
use crate::report::{self, Hash, HashKeyed};

/// Time beyond the longest timeout of a route within which a caller comes back.
pub const RETURN_MARGIN: Duration = Duration::from_secs(10);

/// Maximum number of remembered streams; beyond it, the oldest are dropped.
pub const MAX_STREAMS: usize = 65_536;

/// Maximum number of streams in one report, so that it fits a datagram.
pub const MAX_REPORTED: usize = 500;

/// A version in reports that stands for an unknown one.
const UNKNOWN: Hash = 0;

/// Where a resumed stream may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// At targets of this version.
    Version(Hash),
    /// At any target: one version only serves.
    Any,
    /// Nowhere, as the version at which it began isn't known.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Begun {
    /// Version of its target; `None` if unknown.
    version: Option<Hash>,
    /// When it was last heard of.
    at: Instant,
    /// Service and target, if this router has begun it.
    own: Option<(Hash, Hash)>,
}

/// A version of a service's targets.
#[derive(Clone, Copy, Debug)]
struct Served {
    version: Option<Hash>,
    /// When its last target went; `None` while one is registered.
    left_at: Option<Instant>,
}

/// Streams with their versions, and services with theirs.
#[derive(Debug)]
pub struct StreamVersions {
    /// Time for which streams and versions are remembered.
    remembered_time: Duration,
    joined_at: Instant,
    /// Whether this router knows which versions served before it started.
    knows_past: bool,
    /// Whether another router has told that it does.
    has_heard_knowing: bool,
    begun: HashKeyed<Begun>,
    by_age: VecDeque<(Instant, Hash)>,
    untold: VecDeque<Hash>,
    /// Streams in `untold`.
    queued: HashKeyed<()>,
    /// Streams that were told once; a second time makes up for a lost datagram.
    told_once: VecDeque<Hash>,
    served: HashKeyed<SmallVec<[Served; 2]>>,
    /// When others last knew more than one version of a service.
    heard_mixed: HashKeyed<Instant>,
    /// Start times of the other routers.
    routers: HashMap<Name, u64>,
    has_news: bool,
}

impl StreamVersions {
    /// Creates the state of a router that starts now and doesn't know what served before.
    pub fn new(now: Instant) -> StreamVersions {
        StreamVersions {
            remembered_time: RETURN_MARGIN,
            joined_at: now,
            knows_past: false,
            has_heard_knowing: false,
            begun: HashKeyed::default(),
            by_age: VecDeque::new(),
            untold: VecDeque::new(),
            queued: HashKeyed::default(),
            told_once: VecDeque::new(),
            served: HashKeyed::default(),
            heard_mixed: HashKeyed::default(),
            routers: HashMap::new(),
            has_news: false,
        }
    }

    /// Sets whether no router has run before this fleet's start, so that there is no past to know.
    pub fn set_first_start(&mut self, is_first_start: bool) {
        self.knows_past = is_first_start;
    }

    /// Records that other routers have run before, whatever is said of the fleet's first start.
    pub fn set_restarted(&mut self) {
        self.knows_past &= self.has_heard_knowing;
    }

    /// Takes a timeout of the configuration into account; the longest one counts.
    pub fn cover_timeout(&mut self, longest_timeout: Duration) {
        self.remembered_time = self.remembered_time.max(longest_timeout + RETURN_MARGIN);
    }

    /// Whether this router knows which versions served within the remembered time.
    pub fn knows_past(&self, now: Instant) -> bool {
        self.knows_past || now >= self.joined_at + self.remembered_time
    }

    /// Sets the versions of all registered targets, by service; `None` is an unknown one.
    pub fn set_served(
        &mut self,
        registered: impl Iterator<Item = (Hash, Option<Hash>)>,
        now: Instant,
    ) {
        let mixed_before =
            self.served.keys().copied().filter(|service| self.is_mixed(*service, now));
        let mixed_before = mixed_before.collect::<Vec<_>>();
        for served in self.served.values_mut().flatten() {
            served.left_at.get_or_insert(now);
        }
        for (service, version) in registered {
            let versions = self.served.entry(service).or_default();
            match versions.iter_mut().find(|served| served.version == version) {
                Some(served) => served.left_at = None,
                None => versions.push(Served { version, left_at: None }),
            }
        }
        let remembered_time = self.remembered_time;
        for versions in self.served.values_mut() {
            versions.retain(|served| served.left_at.is_none_or(|at| now < at + remembered_time));
        }
        self.served.retain(|_, versions| !versions.is_empty());
        let services = self.served.keys().copied().collect::<Vec<_>>();
        for service in services {
            if !mixed_before.contains(&service) && self.is_mixed(service, now) {
                self.tell_all(service);
                self.has_news = true;
            }
        }
    }

    /// Whether a service has become mixed since the last call.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Time since more than one version was last known to serve; `None` if that is longer ago than the
    /// remembered time.
    fn mixed_age(&self, service: Hash, now: Instant) -> Option<Duration> {
        let heard = self.heard_mixed.get(&service).map(|at| now.duration_since(*at));
        let own = self.served.get(&service).and_then(|versions| own_mixed_age(versions, now));
        let age = own.into_iter().chain(heard).min()?;
        Some(age).filter(|age| *age < self.remembered_time)
    }

    /// Whether targets of more than one version serve a service, or may have within the remembered time.
    pub fn is_mixed(&self, service: Hash, now: Instant) -> bool {
        !self.knows_past(now) || self.mixed_age(service, now).is_some()
    }

    /// Records that a target of this router has sent the first event of a stream, or resumed it.
    pub fn record_begun(
        &mut self,
        stream: Hash,
        service: Hash,
        target: Hash,
        version: Option<Hash>,
        now: Instant,
    ) {
        self.insert(stream, Begun { version, at: now, own: Some((service, target)) });
        if self.is_mixed(service, now) {
            self.queue(stream);
        }
    }

    /// Tells a stream in the next report.
    fn queue(&mut self, stream: Hash) {
        if self.queued.insert(stream, ()).is_none() {
            self.untold.push_back(stream);
        }
    }

    /// Records that streams of a target may have been begun by another version than it had, as it has
    /// started again under its id.
    pub fn doubt_target(&mut self, target: Hash) {
        let mut doubtful = Vec::new();
        for (stream, begun) in &mut self.begun {
            let is_its = begun.own.is_some_and(|(_, own)| own == target);
            if is_its && begun.version.take().is_some() {
                doubtful.push(*stream);
            }
        }
        for stream in doubtful {
            self.queue(stream);
        }
    }

    /// Version at which a stream began: `None` if nothing is known of the stream.
    pub fn version(&self, stream: Hash) -> Option<Option<Hash>> {
        self.begun.get(&stream).map(|begun| begun.version)
    }

    /// Where a stream may go on that a caller takes up; `stream` is `None` if it names none.
    /// `may_be_mixed` tells that this router can't know of further versions.
    pub fn origin(
        &mut self,
        stream: Option<Hash>,
        service: Hash,
        may_be_mixed: bool,
        now: Instant,
    ) -> Origin {
        match stream.and_then(|stream| self.begun.get(&stream).map(|begun| (stream, *begun))) {
            Some((stream, begun)) => {
                self.insert(stream, Begun { at: now, ..begun });
                begun.version.map_or(Origin::Unknown, Origin::Version)
            }
            None if may_be_mixed || self.is_mixed(service, now) => Origin::Unknown,
            None => Origin::Any,
        }
    }

    /// Streams to tell the other routers, at most [`MAX_REPORTED`].
    pub fn take_report(&mut self) -> Vec<report::StreamVersion> {
        let again = self.told_once.len().min(MAX_REPORTED / 2);
        let mut streams = self.told_once.drain(..again).collect::<Vec<_>>();
        let new = self.untold.len().min(MAX_REPORTED - streams.len());
        let new = self.untold.drain(..new).collect::<Vec<_>>();
        for stream in &new {
            self.queued.remove(stream);
        }
        streams.extend(&new);
        self.told_once.extend(new);
        let lines = streams.into_iter().filter_map(|stream| {
            let version = self.begun.get(&stream)?.version.unwrap_or(UNKNOWN);
            Some(report::StreamVersion { stream, version })
        });
        lines.collect()
    }

    /// Whether streams are to be told to the other routers.
    pub fn has_untold(&self) -> bool {
        !self.untold.is_empty() || !self.told_once.is_empty()
    }

    /// Mixed services with the time since more than one version was known to serve them, for a report.
    pub fn mixed_services(&self, now: Instant) -> Vec<report::MixedService> {
        let services = self.served.keys().chain(self.heard_mixed.keys()).copied();
        let mixed = services.filter_map(|service| {
            let age = self.mixed_age(service, now)?;
            let age_ms = age.as_millis().try_into().unwrap_or(u32::MAX);
            Some(report::MixedService { service, age_ms })
        });
        let mut mixed = mixed.collect::<Vec<_>>();
        mixed.sort_unstable_by_key(|line| line.service);
        mixed.dedup_by_key(|line| line.service);
        mixed
    }

    /// Applies what another router tells, also if later reports have overtaken it.
    pub fn apply_report(&mut self, report: &report::LoadReport, now: Instant) {
        for line in &report.mixed_services {
            let at = now.checked_sub(Duration::from_millis(line.age_ms.into()));
            let was_mixed = self.is_mixed(line.service, now);
            if let Some(at) = at {
                let heard = self.heard_mixed.entry(line.service).or_insert(at);
                *heard = (*heard).max(at);
            }
            if !was_mixed && self.is_mixed(line.service, now) {
                self.tell_all(line.service);
            }
        }
        let remembered_time = self.remembered_time;
        self.heard_mixed.retain(|_, at| now < *at + remembered_time);
        self.has_heard_knowing |= report.knows_versions;
        self.knows_past |= report.knows_versions;
        if self.routers.insert(report.sender.clone(), report.incarnation)
            != Some(report.incarnation)
        {
            self.tell_mixed(now);
        }
        for line in &report.streams {
            let version = Some(line.version).filter(|version| *version != UNKNOWN);
            let known = self.begun.get(&line.stream);
            // Of two that differ, neither is certain.
            let is_doubtful = known.is_some_and(|begun| begun.version != version);
            let version = version.filter(|_| !is_doubtful);
            let own = known.and_then(|begun| begun.own);
            self.insert(line.stream, Begun { version, at: now, own });
        }
    }

    /// Tells the streams under way of mixed services again, to a router that has started.
    fn tell_mixed(&mut self, now: Instant) {
        let own = self.begun.values().filter_map(|begun| begun.own.map(|(service, _)| service));
        let mut services = own.collect::<Vec<_>>();
        services.sort_unstable();
        services.dedup();
        for service in services {
            if self.is_mixed(service, now) {
                self.tell_all(service);
            }
        }
    }

    /// Tells the streams of a service that this router has begun.
    fn tell_all(&mut self, service: Hash) {
        let is_meant = |begun: &Begun| begun.own.is_some_and(|(own, _)| own == service);
        let streams = self.begun.iter().filter(|(_, begun)| is_meant(begun));
        let streams = streams.map(|(stream, _)| *stream).collect::<Vec<_>>();
        for stream in streams {
            self.queue(stream);
        }
    }

    fn insert(&mut self, stream: Hash, begun: Begun) {
        let now = begun.at;
        self.begun.insert(stream, begun);
        self.by_age.push_back((now, stream));
        while let Some((at, oldest)) = self.by_age.front().copied() {
            let is_full = self.begun.len() > MAX_STREAMS || self.by_age.len() > 2 * MAX_STREAMS;
            if !is_full && now < at + self.remembered_time {
                break;
            }
            self.by_age.pop_front();
            if self.begun.get(&oldest).is_some_and(|begun| begun.at <= at) {
                self.begun.remove(&oldest);
            }
        }
    }
}

/// Time since more than one version served a service; zero if it does or a version is unknown.
fn own_mixed_age(versions: &[Served], now: Instant) -> Option<Duration> {
    let age = |served: &Served| served.left_at.map_or(Duration::ZERO, |at| now.duration_since(at));
    let unknown = versions.iter().filter(|served| served.version.is_none()).map(age).min();
    let mut ages = versions.iter().map(age).collect::<SmallVec<[Duration; 4]>>();
    ages.sort_unstable();
    // The last version but one tells until when there were two.
    ages.get(1).copied().into_iter().chain(unknown).min()
}
