//! Outgoing connections to other routers, and the calls that are made over them.

use std::net;
use std::rc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_core::message::Report;
use gentianhinge_wire::{decode, peer_capnp};
use tokio::task;
use tokio::time;

use super::handshake::{Exchange, Prover};
use super::session::Route;
use super::{Context, Event, LocalId, handshake, network, parse_nonce, session};

/// Timeout of connecting and of the handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection whose two ends have authenticated each other.
pub struct Link {
    /// Identifies the connection.
    pub id: LocalId,
    /// Write queue and traffic counters of the connection.
    pub channel: rc::Rc<network::Channel>,
    /// The other router's interface.
    pub peer: peer_capnp::peer::Client,
    sessions: rc::Rc<session::Sessions>,
}

/// An attempt to connect, and the connection that it opened; dropping it ends both.
pub struct Attempt {
    /// Identifies the connection.
    pub id: LocalId,
    task: task::JoinHandle<()>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Aborts the RPC system of a connection when dropped.
struct AbortOnDrop(task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts to connect; [`Event::Connected`] or [`Event::Disconnected`] follows.
pub fn connect(context: &rc::Rc<Context>, router: &RouterId, addr: net::SocketAddr) -> Attempt {
    let id = context.next_id();
    let (context, router) = (context.clone(), router.clone());
    let task = task::spawn_local(async move {
        // The control loop reconnects whatever the error was.
        let _ = run(&context, id, &router, addr).await;
        let _ = context.send_event(Event::Disconnected { link: id }).await;
    });
    Attempt { id, task }
}

async fn run(
    context: &rc::Rc<Context>,
    id: LocalId,
    router: &RouterId,
    addr: net::SocketAddr,
) -> capnp::Result<()> {
    let until = time::Instant::now() + CONNECT_TIMEOUT;
    let timed_out = |_| capnp::Error::disconnected("connection or handshake timed out".to_string());
    let stream = time::timeout_at(until, tokio::net::TcpStream::connect(addr)).await;
    let stream = stream.map_err(timed_out)??;
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let sessions = session::Sessions::new(context.clone());
    let (network, channel) =
        network::Network::new(reader, writer, Side::Client, |_| sessions.on_frame());
    let mut system = RpcSystem::new(Box::new(network), None);
    system.set_background_error_handler(|_| {
        metrics::counter!("gentianhinge_peer_errors_total").increment(1)
    });
    let gate = system.bootstrap::<peer_capnp::gate::Client>(Side::Server);
    let system = task::spawn_local(system);
    let _abort = AbortOnDrop(system.abort_handle());
    let peer =
        time::timeout_at(until, authenticate(context, router, gate)).await.map_err(timed_out)??;
    channel.set_authenticated();
    let link = Link { id, channel, peer, sessions };
    context.send_event(Event::Connected { router: router.clone(), link }).await?;
    let _ = system.await;
    Ok(())
}

/// Verifies the server's proof, then authenticates this router to the server.
async fn authenticate(
    context: &Context,
    router: &RouterId,
    gate: peer_capnp::gate::Client,
) -> capnp::Result<peer_capnp::peer::Client> {
    let client_nonce: handshake::Nonce = rand::random();
    let mut hello = gate.hello_request();
    decode::set_router_id(hello.get().init_router(), &context.local);
    hello.get().set_nonce(&client_nonce);
    let response = hello.send().promise.await?;
    let response = response.get()?;
    let exchange = Exchange {
        client: context.local.clone(),
        server: decode::router_id(response.get_router()?)?,
        client_nonce,
        server_nonce: parse_nonce(response.get_nonce()?)?,
    };
    let is_valid = context.key.verify(Prover::Server, &exchange, response.get_proof()?);
    if !is_valid || exchange.server != *router {
        return Err(capnp::Error::failed(
            "peer failed authentication, or is another router than expected".to_string(),
        ));
    }
    let mut login = response.get_login()?.prove_request();
    login.get().set_proof(context.key.prove(Prover::Client, &exchange).as_bytes());
    login.send().promise.await?.get()?.get_peer()
}

impl Link {
    /// Requests to join a cell; [`Event::Joined`] follows.
    pub fn join(&self, context: &rc::Rc<Context>, dispatcher: &RouterId, cell: &Name) -> LocalId {
        let id = context.next_id();
        let number = number_of(id);
        let route = Route { id, router: dispatcher.clone(), cell: cell.clone() };
        self.sessions.add(number, route);
        let mut request = self.peer.join_request();
        request.get().set_cell(&**cell);
        request.get().set_session(number);
        let response = request.send().promise;
        let (context, cell) = (context.clone(), cell.clone());
        task::spawn_local(async move {
            let lease = response.await.ok().and_then(|response| {
                let response = response.get().ok()?;
                response.get_accepted().then(|| response.get_lease().ok())?
            });
            let _ = context.send_event(Event::Joined { cell, session: id, lease }).await;
        });
        id
    }

    /// Removes a session, so that frames that still arrive for it are dropped.
    pub fn remove_session(&self, id: LocalId) {
        self.sessions.remove(number_of(id), id);
    }

    /// Sends a report in a session.
    pub fn report(&self, id: LocalId, report: &Report) {
        self.channel.send(session::report_frame(number_of(id), report));
    }
}

/// Number of a session within its connection. The truncation is safe, since no connection lasts for
/// 2^32 sessions.
fn number_of(id: LocalId) -> session::Number {
    id as session::Number
}

/// Sends a ping; [`Event::Pinged`] follows.
pub fn ping(context: &rc::Rc<Context>, link: &Link) {
    let response = link.peer.ping_request().send().promise;
    let (context, link) = (context.clone(), link.id);
    task::spawn_local(async move {
        let _ = response.await;
        let _ = context.send_event(Event::Pinged { link }).await;
    });
}
