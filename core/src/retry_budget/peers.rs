//! Requests and retries of the other routers, as far as this one has heard.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::{Count, MAX_SILENCE};
use crate::ids::Name;
use crate::report::{self, Hash};

/// What is known of one process of another router.
#[derive(Debug)]
struct Peer {
    /// Start time of the process, which tells it from others of the same router.
    incarnation: u64,
    /// Time of the last report, or of the registration.
    known_at: Instant,
    /// Whether it has reported at all.
    has_reported: bool,
    services: Vec<report::ServiceUse>,
}

impl Peer {
    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.known_at)
    }

    fn count(&self, service: Hash) -> Count {
        let line = self.services.iter().find(|line| line.service == service);
        line.map_or(Count::default(), |line| Count {
            requests: line.request_count,
            retries: line.retry_count,
        })
    }
}

/// The other routers, and what processes that have ended or are leaving did within the window.
#[derive(Debug)]
pub(super) struct Peers {
    window: Duration,
    by_name: HashMap<Name, Peer>,
    /// Processes whose router has deregistered or started again.
    former: Vec<(Name, Peer)>,
}

impl Peers {
    pub fn new(window: Duration) -> Peers {
        Peers { window, by_name: HashMap::new(), former: Vec::new() }
    }

    /// Number of other routers that are heard or may be behind a partition.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Number of those that haven't reported yet.
    pub fn unreported_count(&self) -> usize {
        self.by_name.values().filter(|peer| !peer.has_reported).count()
    }

    /// Replaces the counts of a process by those of its latest report.
    pub fn apply_report(
        &mut self,
        sender: &Name,
        incarnation: u64,
        services: Vec<report::ServiceUse>,
        now: Instant,
    ) {
        let peer = Peer { incarnation, known_at: now, has_reported: true, services };
        match self.former_index(sender, incarnation) {
            // It finishes its requests before it ends.
            Some(at) => self.former[at].1 = peer,
            None => self.insert(sender, peer),
        }
    }

    /// Adds a registered router, in case it can't be heard.
    pub fn hear_registered(&mut self, name: &Name, incarnation: u64, now: Instant) {
        if self.by_name.get(name).is_some_and(|peer| peer.incarnation == incarnation) {
            return;
        }
        let peer = match self.former_index(name, incarnation) {
            Some(at) => self.former.swap_remove(at).1,
            None => Peer { incarnation, known_at: now, has_reported: false, services: Vec::new() },
        };
        self.insert(name, peer);
    }

    /// Removes a router that has deregistered.
    pub fn remove(&mut self, name: &Name) {
        if let Some(peer) = self.by_name.remove(name) {
            self.former.push((name.clone(), peer));
        }
    }

    fn former_index(&self, name: &Name, incarnation: u64) -> Option<usize> {
        let is_same =
            |(other, peer): &(Name, Peer)| other == name && peer.incarnation == incarnation;
        self.former.iter().position(is_same)
    }

    fn insert(&mut self, name: &Name, peer: Peer) {
        let incarnation = peer.incarnation;
        let before = self.by_name.insert(name.clone(), peer);
        if let Some(before) = before.filter(|before| before.incarnation != incarnation) {
            self.former.push((name.clone(), before));
        }
    }

    /// Drops routers that have been silent for [`MAX_SILENCE`], and what has left the window.
    pub fn expire(&mut self, now: Instant) {
        let window = self.window;
        self.by_name.retain(|_, peer| peer.silence(now) < MAX_SILENCE);
        self.former.retain(|(_, peer)| peer.silence(now) < window);
    }

    /// Requests and retries for a service within the window, by all processes.
    ///
    /// The retries of a process that has been silent for longer have left the window. The requests
    /// of a silent router are taken to go on; those of a former process leave the window one by one,
    /// while its callers go to others.
    pub fn counts(&self, service: Hash, now: Instant) -> (f64, f64) {
        let (mut requests, mut retries) = (0.0, 0.0);
        for peer in self.by_name.values() {
            let count = peer.count(service);
            requests += f64::from(count.requests);
            retries += if self.is_current(peer, now) { f64::from(count.retries) } else { 0.0 };
        }
        for (_, peer) in &self.former {
            let count = peer.count(service);
            let left_part = peer.silence(now).div_duration_f64(self.window).min(1.0);
            requests += f64::from(count.requests) * (1.0 - left_part);
            retries += f64::from(count.retries);
        }
        (requests, retries)
    }

    /// Requests for a service by each router that has reported within the window.
    pub fn current_requests(&self, service: Hash, now: Instant) -> impl Iterator<Item = f64> {
        let current = self.by_name.values().filter(move |peer| self.is_current(peer, now));
        current.map(move |peer| f64::from(peer.count(service).requests))
    }

    /// Age of the oldest report within the window.
    pub fn report_age(&self, now: Instant) -> Duration {
        let current = self.by_name.values().filter(|peer| self.is_current(peer, now));
        current.map(|peer| peer.silence(now)).max().unwrap_or_default()
    }

    fn is_current(&self, peer: &Peer, now: Instant) -> bool {
        peer.has_reported && peer.silence(now) < self.window
    }
}
