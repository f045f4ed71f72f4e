//! State shared by all requests of the traffic thread.

use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;

use gentianhinge_core::ids::Name;
use gentianhinge_core::report;
use gentianhinge_platform::connection;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::Context;
use super::buffers::BufferBudget;
use super::connections::Connections;
use super::peer_watch::PeerWatch;
use super::queue::Queue;
use super::upstream::Upstream;

/// Part of the memory of the process for bodies of requests.
const REQUEST_MEMORY_PART: f64 = 1.0 / 3.0;

/// Part of the memory of the process for buffered responses.
const RESPONSE_MEMORY_PART: f64 = 1.0 / 16.0;

/// Resource limits of the traffic thread.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Memory of the process, in MB.
    pub memory_mb: f64,
}

/// Part of the maximum number of connections up to which callers may keep theirs alive.
const KEEP_ALIVE_PART: f64 = 0.5;

/// State shared by all requests of the traffic thread.
pub struct Traffic {
    /// State shared by all parts of the process.
    pub context: Arc<Context>,
    /// Requests waiting for a target.
    pub queue: Rc<Queue>,
    /// Watch over the connections to callers and targets.
    pub peer_watch: Rc<PeerWatch>,
    /// Connection pool for targets.
    pub upstream: Upstream,
    /// Memory budget for bodies of requests.
    pub request_buffers: BufferBudget,
    /// Memory budget for buffered responses.
    pub response_buffers: BufferBudget,
    inherits_options: OnceCell<bool>,
    /// Callers' connections.
    pub connections: Rc<Connections>,
    /// Permits for callers' connections.
    pub permits: Rc<Semaphore>,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
}

impl Traffic {
    /// Creates the state of a traffic thread without requests.
    pub fn new(context: Arc<Context>, queue: Rc<Queue>, bounds: Bounds) -> Traffic {
        let peer_watch = Rc::new(PeerWatch::new(context.clone()));
        Traffic {
            upstream: Upstream::new(peer_watch.clone()),
            peer_watch,
            context,
            queue,
            request_buffers: BufferBudget::new(bounds.memory_mb, REQUEST_MEMORY_PART),
            response_buffers: BufferBudget::new(bounds.memory_mb, RESPONSE_MEMORY_PART),
            inherits_options: OnceCell::new(),
            connections: Rc::default(),
            permits: Rc::new(Semaphore::new(bounds.max_connections)),
            max_connections: bounds.max_connections,
        }
    }

    /// Whether callers are asked to close their connections after a response, because so many are
    /// open that idle ones could block new callers.
    pub fn limits_keep_alive(&self) -> bool {
        let open = self.max_connections.saturating_sub(self.permits.available_permits());
        open as f64 > self.max_connections as f64 * KEEP_ALIVE_PART
    }

    /// Whether accepted connections inherit the socket options of the listener, as seen at the
    /// first one. Setting them on each connection takes nearly half of the system calls of a
    /// refused request.
    pub fn inherits_socket_options(&self, stream: &tokio::net::TcpStream) -> bool {
        *self.inherits_options.get_or_init(|| {
            let is_inherited = connection::has_options(stream);
            self.context
                .log
                .state_change(json!({ "event": "callers", "options_inherited": is_inherited }));
            is_inherited
        })
    }

    /// Takes a retry from the budget of a service; returns `false` if none is left.
    pub fn take_retry(&self, service: &Name) -> bool {
        let hash = report::hash(service, 0);
        let is_taken = self.context.state().retries.try_take(hash, Instant::now());
        self.count_retry(service, is_taken);
        is_taken
    }

    /// The same for a retry beside an attempt whose target is silent.
    pub fn take_hedge(&self, service: &Name) -> bool {
        let hash = report::hash(service, 0);
        let is_taken = self.context.state().retries.try_take_hedge(hash, Instant::now());
        self.count_retry(service, is_taken);
        is_taken
    }

    fn count_retry(&self, service: &Name, is_sent: bool) {
        self.context.metrics.count_retry(service, is_sent);
        self.context.retry_counts.count(service, is_sent);
    }

    /// Whether the budget of a service has a retry left.
    pub fn has_retry(&self, service: &str) -> bool {
        self.context.state().retries.has_room(report::hash(service, 0), Instant::now())
    }
}
