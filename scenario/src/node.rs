//! One router process: the real machines and what the daemon holds around them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync;
use std::time::Duration;

use gentianhinge_core::dispatch::Dispatcher;
use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_core::pause;
use gentianhinge_core::router::Router;
use gentianhinge_core::table::Table;

use tokio::time;

use crate::world::Event;

/// A peer that hasn't been heard for this long isn't live.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(1200);
/// A session that has been silent for this long is closed.
pub const SESSION_TIMEOUT: Duration = Duration::from_millis(1000);
/// A process that hasn't looked at its clock for longer stood still.
///
/// News of a target takes up to 2.5 s, and a leaving one may get work for 3 s.
pub const MAX_TICK_GAP: Duration = Duration::from_millis(400);
/// Time between the rounds of a node's timer.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A peer as last heard.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The peer's incarnation.
    pub id: RouterId,
    /// When it was heard last.
    pub last_received_at: Duration,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// The router's session with a dispatcher.
#[derive(Clone, Debug)]
pub struct Client {
    /// Index of the node with the role.
    pub to: usize,
    /// Number of the session, unique in a run.
    pub session: u64,
    /// The dispatcher, once it has answered.
    pub dispatcher: Option<RouterId>,
    /// When it was heard last.
    pub last_received_at: Duration,
}

/// A router that has a session with a dispatcher.
#[derive(Clone, Debug)]
pub struct Member {
    /// Index of the router's node.
    pub node: usize,
    /// Number of the session.
    pub session: u64,
    /// When it was heard last.
    pub last_received_at: Duration,
}

/// The dispatcher's role.
#[derive(Debug)]
pub struct Role {
    /// Identifies this holding of the role.
    pub id: RouterId,
    /// The real machine.
    pub dispatcher: Dispatcher,
    /// Routers with a session.
    pub members: BTreeMap<RouterId, Member>,
}

/// One router process.
#[derive(Debug)]
pub struct Node {
    /// Name and incarnation.
    pub id: RouterId,
    /// Whether the process exists.
    pub up: bool,
    /// When the process ended.
    pub died_at: Duration,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Whether it has shut down gracefully.
    pub exited: bool,
    /// End of the present standstill.
    pub frozen_until: Option<Duration>,
    /// Notices a standstill.
    pub pause_detector: pause::PauseDetector,
    /// What waits for the process to go on.
    pub deferred_events: Vec<Event>,
    /// End of the last standstill.
    pub thawed_at: Duration,
    /// The real machine.
    pub router: Router,
    /// Table in force at this node.
    pub table: sync::Arc<Table>,
    /// Session with a dispatcher.
    pub client: Option<Client>,
    /// The dispatcher's role, while held.
    pub role: Option<Role>,
    /// Peers by index.
    pub peers: BTreeMap<usize, Peer>,
    /// Last incarnation of each target that is known to leave, by index.
    pub leaving: BTreeMap<usize, u64>,
    /// Waiting requests by team and class.
    pub waiting: BTreeMap<(usize, usize), usize>,
    /// Requests that wait for their next attempt outside of the router's queue.
    pub retrying_count: usize,
    /// When the targets' loads were asked for last.
    pub load_requested_at: Duration,
    /// Whether a report is on its way.
    pub flush_due: bool,
}

impl Node {
    /// Creates a process that has just started.
    pub fn new(
        id: RouterId,
        table: sync::Arc<Table>,
        report_interval: Duration,
        now: time::Instant,
    ) -> Node {
        let mut router = Router::new(id.clone(), sync::Arc::clone(&table));
        router.set_report_interval(report_interval);
        Node {
            router,
            id,
            up: true,
            draining: false,
            exited: false,
            frozen_until: None,
            pause_detector: pause::PauseDetector::new(MAX_TICK_GAP, now),
            deferred_events: Vec::new(),
            thawed_at: Duration::ZERO,
            table,
            client: None,
            role: None,
            peers: BTreeMap::new(),
            leaving: BTreeMap::new(),
            died_at: Duration::ZERO,
            waiting: BTreeMap::new(),
            retrying_count: 0,
            load_requested_at: Duration::ZERO,
            flush_due: false,
        }
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        self.up && self.frozen_until.is_none()
    }

    /// Requests that wait here.
    pub fn waiting_count(&self) -> usize {
        self.waiting.values().sum()
    }

    /// Peers that were heard lately.
    pub fn live_peers(&self, now: Duration) -> impl Iterator<Item = (usize, &Peer)> {
        let peers = self.peers.iter().map(|(index, peer)| (*index, peer));
        peers.filter(move |(_, peer)| now.saturating_sub(peer.last_received_at) <= MEMBER_TIMEOUT)
    }

    /// Takes a process that has ended out of the live ones, but not its successor.
    pub fn remove_peer(&mut self, index: usize, router: &RouterId) {
        if self.peers.get(&index).is_some_and(|peer| peer.id == *router) {
            self.peers.remove(&index);
        }
    }

    /// Index of the node that this one takes for the cell's dispatcher.
    pub fn owner(&self, own_index: usize, cell: &Name, now: Duration) -> Option<usize> {
        let me = (own_index, &self.id.name, self.draining);
        let peers = self.live_peers(now);
        let peers = peers.map(|(index, peer)| (index, &peer.id.name, peer.draining));
        let live = peers.chain([me]).collect::<Vec<_>>();
        // One that shuts down has the role only if all do.
        let all_drain = live.iter().all(|(_, _, draining)| *draining);
        let names = live.into_iter().filter(|(_, _, draining)| all_drain || !draining);
        let owner = names.max_by_key(|(index, name, _)| (score(cell, name), *index));
        owner.map(|(index, _, _)| index)
    }
}

/// Rendezvous score of a node for a cell.
fn score(cell: &Name, name: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (cell, name).hash(&mut hasher);
    hasher.finish()
}
