//! Sessions between routers, by `capnp-rpc`.
//!
//! [`server`] accepts connections from other routers, and [`client`] opens them. Both convert what
//! they receive into [`Event`]s for the control loop, which owns all fleet state.

use std::rc;

use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_core::message::{GrantBatch, Report};
use gentianhinge_wire::peer_capnp;
use tokio::sync::{mpsc, oneshot};

pub mod client;
pub mod handshake;
pub mod network;
pub mod server;
pub mod session;

/// Capacity of the event queue; while it is full, connections aren't read.
pub const MAX_EVENTS: usize = 1024;

/// Identifier of a session or connection, unique within this process.
pub type LocalId = u64;

/// An event from a connection for the control loop.
pub enum Event {
    /// A router requests to join a cell.
    Join {
        /// Identifier of the session, valid if it is accepted.
        session: LocalId,
        /// The router.
        router: RouterId,
        /// Name of the cell.
        cell: Name,
        /// Sends the session's grants.
        sink: Sink,
        /// Receives whether this router hosts the cell's dispatcher.
        reply: oneshot::Sender<bool>,
    },
    /// A report arrived in a session.
    Report {
        /// The session.
        session: LocalId,
        /// The report.
        report: Report,
    },
    /// A session ended because its router left the cell or the connection was lost.
    SessionEnded {
        /// The session.
        session: LocalId,
    },
    /// A connection to another router is ready for use.
    Connected {
        /// The other router, as authenticated by the handshake.
        router: RouterId,
        /// The connection.
        link: client::Link,
    },
    /// A connection to another router failed or ended.
    Disconnected {
        /// The connection.
        link: LocalId,
    },
    /// A join request was answered or failed.
    Joined {
        /// Name of the cell.
        cell: Name,
        /// Identifier of the session that was requested.
        session: LocalId,
        /// Lease of the session; `None` if it was refused or the call failed.
        lease: Option<peer_capnp::lease::Client>,
    },
    /// Grants arrived in a session.
    Granted {
        /// The session.
        session: LocalId,
        /// The grants.
        batch: GrantBatch,
    },
    /// A ping over a connection was answered or failed.
    Pinged {
        /// The connection.
        link: LocalId,
    },
}

/// Sends the grants of one session.
#[derive(Clone)]
pub struct Sink {
    /// Connection of the router that joined.
    pub channel: rc::Rc<network::Channel>,
    /// Number of the session within the connection.
    pub number: session::Number,
}

impl Sink {
    /// Sends a batch of grants.
    pub fn grant(&self, batch: &GrantBatch) {
        self.channel.send(session::grants_frame(self.number, batch));
    }
}

/// State shared by all peer connections of a router.
pub struct Context {
    /// Name and incarnation of this router.
    pub local: RouterId,
    /// Key for handshake proofs.
    pub key: handshake::Key,
    /// Sends events to the control loop.
    pub events: mpsc::Sender<Event>,
    next_id: std::cell::Cell<LocalId>,
}

impl Context {
    /// Creates the shared state and the receiver for the control loop.
    pub fn new(local: RouterId, secret: &str) -> (rc::Rc<Context>, mpsc::Receiver<Event>) {
        let (events, receiver) = mpsc::channel(MAX_EVENTS);
        let key = handshake::Key::new(secret);
        (rc::Rc::new(Context { local, key, events, next_id: std::cell::Cell::new(1) }), receiver)
    }

    /// Returns an identifier that isn't used by any other session or connection of this process.
    pub fn next_id(&self) -> LocalId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    async fn send_event(&self, event: Event) -> capnp::Result<()> {
        let sent = self.events.send(event).await;
        sent.map_err(|_| capnp::Error::disconnected("the router has ended".to_string()))
    }

    /// Sends an event from a context that can't await.
    fn spawn_send_event(self: &rc::Rc<Context>, event: Event) {
        let context = self.clone();
        tokio::task::spawn_local(async move { context.send_event(event).await });
    }
}

fn parse_nonce(data: &[u8]) -> capnp::Result<handshake::Nonce> {
    data.try_into().map_err(|_| capnp::Error::failed("a nonce has 16 bytes".to_string()))
}
