//! Sessions between routers, by `capnp-rpc`.
//!
//! [`server`] accepts connections of other routers, [`client`] opens them. Both turn what arrives
//! into [`Event`]s for the control loop, which alone holds the fleet's state.

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

/// Most events that wait for the control loop before connections are read no further.
pub const MAX_EVENTS: usize = 1024;

/// Identifies a session or connection within this process.
pub type LocalId = u64;

/// What the connections tell the control loop.
pub enum Event {
    /// A router asks to join a cell.
    Join {
        /// The session, if it is accepted.
        session: LocalId,
        /// The router.
        router: RouterId,
        /// Name of the cell.
        cell: Name,
        /// Where grants go.
        sink: Sink,
        /// Gets whether this router is the cell's dispatcher.
        reply: oneshot::Sender<bool>,
    },
    /// A report arrived in a session.
    Report {
        /// The session.
        session: LocalId,
        /// The report.
        report: Report,
    },
    /// A session's router has gone or left the cell.
    SessionEnded {
        /// The session.
        session: LocalId,
    },
    /// A connection to another router is ready for use.
    Connected {
        /// The other router, as it proved itself.
        router: RouterId,
        /// The connection.
        link: client::Link,
    },
    /// A connection to another router failed or ended.
    Disconnected {
        /// The connection.
        link: LocalId,
    },
    /// A dispatcher answered the request to join its cell.
    Joined {
        /// Name of the cell.
        cell: Name,
        /// The request.
        session: LocalId,
        /// The session, unless it was refused.
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

/// Where the grants of one session go.
#[derive(Clone)]
pub struct Sink {
    /// Connection of the router that joined.
    pub channel: rc::Rc<network::Channel>,
    /// Number of the session within the connection.
    pub number: session::Number,
}

impl Sink {
    /// Sends grants.
    pub fn grant(&self, batch: &GrantBatch) {
        self.channel.send(session::grants_frame(self.number, batch));
    }
}

/// What all connections of a router share.
pub struct Context {
    /// This router.
    pub local: RouterId,
    /// LocalId of the handshake.
    pub key: handshake::Key,
    /// Way to the control loop.
    pub events: mpsc::Sender<Event>,
    next_id: std::cell::Cell<LocalId>,
}

impl Context {
    /// Creates what the connections of a router share, and the end that its control loop reads.
    pub fn new(local: RouterId, secret: &str) -> (rc::Rc<Context>, mpsc::Receiver<Event>) {
        let (events, receiver) = mpsc::channel(MAX_EVENTS);
        let key = handshake::Key::new(secret);
        (rc::Rc::new(Context { local, key, events, next_id: std::cell::Cell::new(1) }), receiver)
    }

    /// A number that no other session or connection of this process has.
    pub fn next_id(&self) -> LocalId {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        id
    }

    async fn send_event(&self, event: Event) -> capnp::Result<()> {
        let sent = self.events.send(event).await;
        sent.map_err(|_| capnp::Error::disconnected("the router has ended".to_string()))
    }

    /// Tells the control loop from a place that can't wait.
    fn spawn_send_event(self: &rc::Rc<Context>, event: Event) {
        let context = self.clone();
        tokio::task::spawn_local(async move { context.send_event(event).await });
    }
}

fn parse_nonce(data: &[u8]) -> capnp::Result<handshake::Nonce> {
    data.try_into().map_err(|_| capnp::Error::failed("a nonce has 16 bytes".to_string()))
}
