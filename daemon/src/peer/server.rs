//! Incoming connections from other routers.

use std::cell;
use std::rc;
use std::sync;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_wire::{decode, peer_capnp};
use tokio::net;
use tokio::sync::oneshot;
use tokio::time;

use super::handshake::{Exchange, Prover};
use super::session::Route;
use super::{Context, Event, LocalId, Sink, handshake, network, parse_nonce, session};

/// Maximum number of connections from other routers at once; more wait in the kernel's queue.
const MAX_CONNECTIONS: usize = 4096;

/// Longest time for a connecting router to authenticate itself.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections until the task is dropped.
pub async fn serve(listener: net::TcpListener, context: rc::Rc<Context>) {
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = context.clone();
                tokio::task::spawn_local(async move {
                    let _permit = permit;
                    serve_connection(stream, context).await;
                });
            }
            Err(_) => time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(stream: net::TcpStream, context: rc::Rc<Context>) {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let sessions = session::Sessions::new(context.clone());
    let (network, channel) =
        network::Network::new(reader, writer, Side::Server, |_| sessions.on_frame());
    let (sender, authenticated) = oneshot::channel();
    let gate = Gate { context, channel, sessions, authenticated: cell::Cell::new(Some(sender)) };
    let gate = capnp_rpc::new_client::<peer_capnp::gate::Client, _>(gate);
    let mut system = RpcSystem::new(Box::new(network), Some(gate.client));
    system.set_background_error_handler(|_| {
        metrics::counter!("gentianhinge_peer_errors_total").increment(1)
    });
    let mut system = tokio::task::spawn_local(system);
    let is_authenticated = tokio::select! {
        result = time::timeout(HANDSHAKE_TIMEOUT, authenticated) => matches!(result, Ok(Ok(()))),
        _ = &mut system => return,
    };
    if !is_authenticated {
        metrics::counter!("gentianhinge_peer_handshakes_failed_total").increment(1);
        system.abort();
    }
    let _ = system.await;
}

struct Gate {
    context: rc::Rc<Context>,
    channel: rc::Rc<network::Channel>,
    sessions: rc::Rc<session::Sessions>,
    authenticated: cell::Cell<Option<oneshot::Sender<()>>>,
}

impl peer_capnp::gate::Server for Gate {
    async fn hello(
        self: rc::Rc<Self>,
        params: peer_capnp::gate::HelloParams,
        mut results: peer_capnp::gate::HelloResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let exchange = Exchange {
            client: decode::router_id(params.get_router()?)?,
            server: self.context.local.clone(),
            client_nonce: parse_nonce(params.get_nonce()?)?,
            server_nonce: rand::random(),
        };
        let proof = self.context.key.prove(Prover::Server, &exchange);
        let mut results = results.get();
        decode::set_router_id(results.reborrow().init_router(), &self.context.local);
        results.set_nonce(&exchange.server_nonce);
        results.set_proof(proof.as_bytes());
        results.set_login(capnp_rpc::new_client(Login { gate: self, exchange }));
        Ok(())
    }
}

struct Login {
    gate: rc::Rc<Gate>,
    exchange: handshake::Exchange,
}

impl peer_capnp::login::Server for Login {
    async fn prove(
        self: rc::Rc<Self>,
        params: peer_capnp::login::ProveParams,
        mut results: peer_capnp::login::ProveResults,
    ) -> capnp::Result<()> {
        let key = &self.gate.context.key;
        if !key.verify(Prover::Client, &self.exchange, params.get()?.get_proof()?) {
            return Err(capnp::Error::failed("wrong proof".to_string()));
        }
        self.gate.channel.set_authenticated();
        if let Some(sender) = self.gate.authenticated.take() {
            let _ = sender.send(());
        }
        let router = self.exchange.client.clone();
        let peer = Peer { gate: self.gate.clone(), router };
        results.get().set_peer(capnp_rpc::new_client(peer));
        Ok(())
    }
}

struct Peer {
    gate: rc::Rc<Gate>,
    router: RouterId,
}

impl peer_capnp::peer::Server for Peer {
    async fn join(
        self: rc::Rc<Self>,
        params: peer_capnp::peer::JoinParams,
        mut results: peer_capnp::peer::JoinResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let gate = &self.gate;
        let (cell, number) = (Name::from(params.get_cell()?.to_str()?), params.get_session());
        let id = gate.context.next_id();
        let router = self.router.clone();
        let route = Route { id, router: router.clone(), cell: cell.clone() };
        if !gate.sessions.add(number, route) {
            return Err(capnp::Error::overloaded("too many sessions".to_string()));
        }
        // Created before the control loop is asked, so that its drop always ends the session.
        let lease = Lease { gate: gate.clone(), id, number };
        let (reply, accepted) = oneshot::channel();
        let sink = Sink { channel: gate.channel.clone(), number };
        gate.context.send_event(Event::Join { session: id, router, cell, sink, reply }).await?;
        let accepted = accepted.await.unwrap_or(false);
        results.get().set_accepted(accepted);
        if accepted {
            results.get().set_lease(capnp_rpc::new_client(lease));
        }
        Ok(())
    }

    async fn ping(
        self: rc::Rc<Self>,
        _: peer_capnp::peer::PingParams,
        _: peer_capnp::peer::PingResults,
    ) -> capnp::Result<()> {
        Ok(())
    }
}

struct Lease {
    gate: rc::Rc<Gate>,
    id: LocalId,
    number: session::Number,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.gate.sessions.remove(self.number, self.id);
        self.gate.context.spawn_send_event(Event::SessionEnded { session: self.id });
    }
}

impl peer_capnp::lease::Server for Lease {}
