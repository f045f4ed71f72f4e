//! One router process: the real state machines and the state that the daemon keeps around them.

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

/// Time without a heartbeat after which a peer counts as dead.
pub const MEMBER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time without a message after which a session is closed.
pub const SESSION_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time between two clock checks above which a process assumes that it was paused.
///
/// A notice that a target is leaving takes up to 2.5 s and the target must get no requests after
/// 3 s, so the gap must be less than the difference.
pub const MAX_TICK_GAP: Duration = Duration::from_millis(400);
/// Interval of a node's timer.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A peer's state at its last heartbeat.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The peer's name and incarnation.
    pub id: RouterId,
    /// Time of the last heartbeat.
    pub last_received_at: Duration,
    /// Whether it is shutting down.
    pub draining: bool,
}

/// The router's side of its session with a dispatcher.
#[derive(Clone, Debug)]
pub struct Client {
    /// Index of the node that the session is with.
    pub to: usize,
    /// Session number, unique in a run.
    pub session: u64,
    /// The dispatcher, once it has accepted the session.
    pub dispatcher: Option<RouterId>,
    /// Time of the last message in the session.
    pub last_received_at: Duration,
}

/// The dispatcher's side of a session with a router.
#[derive(Clone, Debug)]
pub struct Member {
    /// Index of the router's node.
    pub node: usize,
    /// Session number, unique in a run.
    pub session: u64,
    /// Time of the last message in the session.
    pub last_received_at: Duration,
}

/// State of a node that holds the dispatcher role.
#[derive(Debug)]
pub struct Role {
    /// Identifies this term of the dispatcher; a new term has a new incarnation.
    pub id: RouterId,
    /// The state machine under test.
    pub dispatcher: Dispatcher,
    /// Open sessions by router.
    pub members: BTreeMap<RouterId, Member>,
}

/// One router process.
#[derive(Debug)]
pub struct Node {
    /// Name and incarnation; a restart changes the incarnation.
    pub id: RouterId,
    /// Whether the process exists.
    pub up: bool,
    /// When the process last ended.
    pub died_at: Duration,
    /// Whether the process is shutting down gracefully.
    pub draining: bool,
    /// Whether the process has ended by a graceful shutdown.
    pub exited: bool,
    /// End of the current pause, if the process is frozen.
    pub frozen_until: Option<Duration>,
    /// Detects that the process was paused.
    pub pause_detector: pause::PauseDetector,
    /// Events that arrived while the process was frozen.
    pub deferred_events: Vec<Event>,
    /// End of the last pause, or the time of the last restart.
    pub thawed_at: Duration,
    /// The state machine under test.
    pub router: Router,
    /// Table that this node uses.
    pub table: sync::Arc<Table>,
    /// Session with the dispatcher.
    pub client: Option<Client>,
    /// State of the dispatcher role, while the node holds it.
    pub role: Option<Role>,
    /// Peers by index.
    pub peers: BTreeMap<usize, Peer>,
    /// Latest incarnation of each target known to be leaving, by index of the target.
    pub leaving: BTreeMap<usize, u64>,
    /// Number of waiting requests by index of the team and of the class.
    pub waiting: BTreeMap<(usize, usize), usize>,
    /// Requests between two attempts, which the router's queue doesn't contain.
    pub retrying_count: usize,
    /// When the node last requested the targets' loads.
    pub load_requested_at: Duration,
    /// Whether a report is already scheduled.
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

    /// Whether the process exists and isn't frozen.
    pub fn is_running(&self) -> bool {
        self.up && self.frozen_until.is_none()
    }

    /// Number of requests that wait at this node.
    pub fn waiting_count(&self) -> usize {
        self.waiting.values().sum()
    }

    /// Peers with a heartbeat within [`MEMBER_TIMEOUT`].
    pub fn live_peers(&self, now: Duration) -> impl Iterator<Item = (usize, &Peer)> {
        let peers = self.peers.iter().map(|(index, peer)| (*index, peer));
        peers.filter(move |(_, peer)| now.saturating_sub(peer.last_received_at) <= MEMBER_TIMEOUT)
    }

    /// Removes a peer that has ended, unless a later incarnation has replaced it.
    pub fn remove_peer(&mut self, index: usize, router: &RouterId) {
        if self.peers.get(&index).is_some_and(|peer| peer.id == *router) {
            self.peers.remove(&index);
        }
    }

    /// Index of the node that should be the cell's dispatcher, as this node sees its peers.
    pub fn owner(&self, own_index: usize, cell: &Name, now: Duration) -> Option<usize> {
        let me = (own_index, &self.id.name, self.draining);
        let peers = self.live_peers(now);
        let peers = peers.map(|(index, peer)| (index, &peer.id.name, peer.draining));
        let live = peers.chain([me]).collect::<Vec<_>>();
        // A draining node gets the role only if all live nodes are draining.
        let all_drain = live.iter().all(|(_, _, draining)| *draining);
        let names = live.into_iter().filter(|(_, _, draining)| all_drain || !draining);
        let owner = names.max_by_key(|(index, name, _)| (score(cell, name), *index));
        owner.map(|(index, _, _)| index)
    }
}

/// Rendezvous hash of a node for a cell.
fn score(cell: &Name, name: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    (cell, name).hash(&mut hasher);
    hasher.finish()
}
