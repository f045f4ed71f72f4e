//! Opens connections to other routers, and the calls over them.

use std::net;
use std::rc;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_core::message::{GrantBatch, Report};
use gentianhinge_wire::{decode, peer, peer_capnp};
use tokio::task;
use tokio::time;

use super::handshake::{Exchange, Prover};
use super::{Context, Event, Key, handshake, network, nonce_of};

/// Longest time to connect and prove each other.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection, which ends when dropped.
pub struct Link {
    /// Identifies the connection.
    pub key: Key,
    /// Traffic of the connection.
    pub meter: rc::Rc<network::Meter>,
    task: task::JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Ends the RPC system of a connection when dropped.
struct AbortOnDrop(task::AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Begins to connect; [`Event::Connected`] or [`Event::Disconnected`] follows.
pub fn connect(context: &rc::Rc<Context>, router: &RouterId, addr: net::SocketAddr) -> Link {
    let key = context.next_key();
    let meter = network::Meter::new(time::Instant::now());
    let (context, router, link_meter) = (context.clone(), router.clone(), meter.clone());
    let task = task::spawn_local(async move {
        // Whatever the reason, the control loop connects anew.
        let _ = run(&context, key, &router, addr, link_meter).await;
        let _ = context.tell(Event::Disconnected { link: key }).await;
    });
    Link { key, meter, task }
}

async fn run(
    context: &rc::Rc<Context>,
    key: Key,
    router: &RouterId,
    addr: net::SocketAddr,
    meter: rc::Rc<network::Meter>,
) -> capnp::Result<()> {
    let until = time::Instant::now() + CONNECT_TIMEOUT;
    let late = |_| capnp::Error::disconnected("connecting took too long".to_string());
    let stream = time::timeout_at(until, tokio::net::TcpStream::connect(addr)).await;
    let stream = stream.map_err(late)??;
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let network = network::Network::new(reader, writer, Side::Client, meter.clone());
    let mut system = RpcSystem::new(Box::new(network), None);
    system.set_background_error_handler(|_| metrics::counter!("peer_errors_total").increment(1));
    let gate = system.bootstrap::<peer_capnp::gate::Client>(Side::Server);
    let system = task::spawn_local(system);
    let _abort = AbortOnDrop(system.abort_handle());
    let peer = time::timeout_at(until, prove(context, router, gate)).await.map_err(late)??;
    meter.trust();
    context.tell(Event::Connected { link: key, router: router.clone(), peer }).await?;
    let _ = system.await;
    Ok(())
}

/// Lets the server prove itself, then proves this router to it.
async fn prove(
    context: &Context,
    router: &RouterId,
    gate: peer_capnp::gate::Client,
) -> capnp::Result<peer_capnp::peer::Client> {
    let client_nonce: handshake::Nonce = rand::random();
    let mut hello = gate.hello_request();
    decode::set_router_id(hello.get().init_router(), &context.me);
    hello.get().set_nonce(&client_nonce);
    let answer = hello.send().promise.await?;
    let answer = answer.get()?;
    let exchange = Exchange {
        client: context.me.clone(),
        server: decode::router_id(answer.get_router()?)?,
        client_nonce,
        server_nonce: nonce_of(answer.get_nonce()?)?,
    };
    let known = context.key.check(Prover::Server, &exchange, answer.get_proof()?);
    if !known || exchange.server != *router {
        return Err(capnp::Error::failed("another router answers there".to_string()));
    }
    let mut login = answer.get_login()?.prove_request();
    login.get().set_proof(context.key.prove(Prover::Client, &exchange).as_bytes());
    login.send().promise.await?.get()?.get_peer()
}

/// Asks to join a cell; [`Event::Joined`] follows.
pub fn join(
    context: &rc::Rc<Context>,
    peer: &peer_capnp::peer::Client,
    dispatcher: &RouterId,
    cell: &Name,
) -> Key {
    let session = context.next_key();
    let sink = Sink {
        context: context.clone(),
        session,
        dispatcher: dispatcher.clone(),
        cell: cell.clone(),
    };
    let mut request = peer.join_request();
    request.get().set_cell(&**cell);
    request.get().set_sink(capnp_rpc::new_client(sink));
    let (context, cell) = (context.clone(), cell.clone());
    task::spawn_local(async move {
        let answer = request.send().promise.await;
        let client = answer.ok().and_then(|answer| {
            let answer = answer.get().ok()?;
            answer.get_accepted().then(|| answer.get_session().ok())?
        });
        let _ = context.tell(Event::Joined { cell, session, client }).await;
    });
    session
}

/// Sends a report; [`Event::Reported`] follows.
pub fn report(
    context: &rc::Rc<Context>,
    client: &peer_capnp::session::Client,
    session: Key,
    report: &Report,
) {
    let mut request = client.report_request();
    peer::write_report(request.get().init_report(), report, time::Instant::now());
    let (context, cell) = (context.clone(), report.cell.clone());
    let answer = request.send().promise;
    task::spawn_local(async move {
        let taken = answer.await.is_ok();
        let _ = context.tell(Event::Reported { cell, session, taken }).await;
    });
}

/// Sends grants. A session that fails ends by itself, so a lost answer needs no care.
pub fn grant(sink: &peer_capnp::grant_sink::Client, batch: &GrantBatch) {
    let mut request = sink.grant_request();
    peer::write_grants(request.get().init_batch(), batch);
    let answer = request.send().promise;
    task::spawn_local(async move {
        if answer.await.is_err() {
            metrics::counter!("peer_grants_failed_total").increment(1);
        }
    });
}

/// Sends a ping; [`Event::Pinged`] follows.
pub fn ping(context: &rc::Rc<Context>, link: Key, peer: &peer_capnp::peer::Client) {
    let answer = peer.ping_request().send().promise;
    let context = context.clone();
    task::spawn_local(async move {
        let _ = answer.await;
        let _ = context.tell(Event::Pinged { link }).await;
    });
}

/// Receives the grants of one session.
struct Sink {
    context: rc::Rc<Context>,
    session: Key,
    dispatcher: RouterId,
    cell: Name,
}

impl peer_capnp::grant_sink::Server for Sink {
    async fn grant(
        self: rc::Rc<Self>,
        params: peer_capnp::grant_sink::GrantParams,
        _: peer_capnp::grant_sink::GrantResults,
    ) -> capnp::Result<()> {
        let (dispatcher, cell) = (self.dispatcher.clone(), self.cell.clone());
        let batch = peer::read_grants(params.get()?.get_batch()?, dispatcher, cell)?;
        self.context.tell(Event::Granted { session: self.session, batch }).await
    }
}
