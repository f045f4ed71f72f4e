//! Sessions between two routers in one process.

use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use gentianhinge_core::ids::{Flow, GrantId, Name, RouterId};
use gentianhinge_core::message::{Grant, GrantBatch};
use gentianhinge_wire::peer_capnp;
use gentianhinged::peer::handshake::{self, Prover};
use gentianhinged::peer::{self, client, network, server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

const SECRET: &str = "shared by the test fleet";
const TIMEOUT: Duration = Duration::from_secs(5);

struct Pair {
    here: std::rc::Rc<peer::Context>,
    here_events: mpsc::Receiver<peer::Event>,
    there_events: mpsc::Receiver<peer::Event>,
    addr: std::net::SocketAddr,
}

async fn pair(secret_there: &str) -> Pair {
    let (here, here_events) = peer::Context::new(RouterId::new("r1", 1), SECRET);
    let (there, there_events) = peer::Context::new(RouterId::new("r2", 7), secret_there);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn_local(server::serve(listener, there));
    Pair { here, here_events, there_events, addr }
}

async fn event(events: &mut mpsc::Receiver<peer::Event>) -> peer::Event {
    time::timeout(TIMEOUT, events.recv()).await.unwrap().unwrap()
}

fn batch(seq: u64) -> GrantBatch {
    let grant = Grant { id: GrantId(seq), flow: Flow::new("lanes", "now"), target: "m1".into() };
    GrantBatch {
        dispatcher: RouterId::new("r2", 7),
        cell: "cell".into(),
        seq,
        grants: vec![grant],
        moves: Vec::new(),
        virtual_times: Vec::new(),
        lineage: 0,
    }
}

/// Connects and joins a cell; returns the link, the session and where its grants go.
async fn join(
    pair: &mut Pair,
) -> (client::Attempt, client::Link, peer::LocalId, peer::Sink, peer::LocalId) {
    let there = RouterId::new("r2", 7);
    let attempt = client::connect(&pair.here, &there, pair.addr);
    let peer::Event::Connected { link, .. } = event(&mut pair.here_events).await else { panic!() };
    let session = link.join(&pair.here, &there, &Name::from("cell"));
    let joining = event(&mut pair.there_events).await;
    let peer::Event::Join { session: remote_session, router, sink, reply, .. } = joining else {
        panic!()
    };
    assert_eq!(router, RouterId::new("r1", 1));
    reply.send(true).unwrap();
    (attempt, link, session, sink, remote_session)
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test]
        async fn $name() { task::LocalSet::new().run_until(async { $body }).await }
    )* };
}

cases! {
    another_secret_is_refused: {
        let mut pair = pair("shared by another fleet").await;
        let _attempt = client::connect(&pair.here, &RouterId::new("r2", 7), pair.addr);
        let refused = event(&mut pair.here_events).await;
        assert!(matches!(refused, peer::Event::Disconnected { .. }));
    },
    another_life_of_the_router_is_refused: {
        let mut pair = pair(SECRET).await;
        let _attempt = client::connect(&pair.here, &RouterId::new("r2", 6), pair.addr);
        let refused = event(&mut pair.here_events).await;
        assert!(matches!(refused, peer::Event::Disconnected { .. }));
    },
    grants_arrive_in_their_session: {
        let mut pair = pair(SECRET).await;
        let (_attempt, _link, session, sink, _) = join(&mut pair).await;
        let joined = event(&mut pair.here_events).await;
        assert!(matches!(joined, peer::Event::Joined { lease: Some(_), .. }));
        sink.grant(&batch(3));
        let granted = event(&mut pair.here_events).await;
        let peer::Event::Granted { session: received_in, batch: received } = granted else { panic!() };
        assert_eq!((received_in, received), (session, batch(3)));
    },
    grants_of_a_former_session_are_void: {
        let mut pair = pair(SECRET).await;
        let (_attempt, link, former, old_sink, _) = join(&mut pair).await;
        let _joined = event(&mut pair.here_events).await;
        link.remove_session(former);
        let session = link.join(&pair.here, &RouterId::new("r2", 7), &Name::from("cell"));
        let joining = event(&mut pair.there_events).await;
        let peer::Event::Join { sink, reply, .. } = joining else { panic!() };
        reply.send(true).unwrap();
        let _joined = event(&mut pair.here_events).await;
        old_sink.grant(&batch(1));
        sink.grant(&batch(2));
        let granted = event(&mut pair.here_events).await;
        let peer::Event::Granted { session: received_in, batch: received } = granted else { panic!() };
        assert_eq!((received_in, received.seq), (session, 2));
    },
    a_dropped_lease_ends_the_session: {
        let mut pair = pair(SECRET).await;
        let (_attempt, _link, _, _, remote_session) = join(&mut pair).await;
        drop(event(&mut pair.here_events).await);
        let ended = event(&mut pair.there_events).await;
        assert!(matches!(ended, peer::Event::SessionEnded { session } if session == remote_session));
    },
    a_dropped_connection_ends_the_session_at_both_ends: {
        let mut pair = pair(SECRET).await;
        let (attempt, _link, _, _, remote_session) = join(&mut pair).await;
        let _joined = event(&mut pair.here_events).await;
        drop(attempt);
        let ended = event(&mut pair.there_events).await;
        assert!(matches!(ended, peer::Event::SessionEnded { session } if session == remote_session));
    },
    a_wrong_proof_is_refused: {
        let pair = pair(SECRET).await;
        let stream = tokio::net::TcpStream::connect(pair.addr).await.unwrap();
        let (reader, writer) = stream.into_split();
        let on_frame = |_: &std::rc::Rc<network::Channel>| -> network::OnFrame {
            Box::new(|_| capnp::capability::Promise::ok(()))
        };
        let (network, _channel) = network::Network::new(reader, writer, Side::Client, on_frame);
        let mut system = capnp_rpc::RpcSystem::new(Box::new(network), None);
        let gate = system.bootstrap::<peer_capnp::gate::Client>(Side::Server);
        task::spawn_local(system);
        let mut hello = gate.hello_request();
        hello.get().init_router().set_name("r1");
        hello.get().set_nonce(&[0; 16]);
        let answer = hello.send().promise.await.unwrap();
        // The server's own proof is of no use in the client's turn.
        let proof = answer.get().unwrap().get_proof().unwrap();
        let mut login = answer.get().unwrap().get_login().unwrap().prove_request();
        login.get().set_proof(proof);
        assert!(login.send().promise.await.is_err());
    },
    a_proof_serves_one_exchange_in_one_direction: {
        let key = handshake::Key::new(SECRET);
        let exchange = handshake::Exchange {
            client: RouterId::new("r1", 1),
            server: RouterId::new("r2", 7),
            client_nonce: [1; 16],
            server_nonce: [2; 16],
        };
        let proof = key.prove(Prover::Client, &exchange);
        assert!(key.verify(Prover::Client, &exchange, proof.as_bytes()));
        assert!(!key.verify(Prover::Server, &exchange, proof.as_bytes()));
        let other = handshake::Key::new("shared by another fleet");
        assert!(!other.verify(Prover::Client, &exchange, proof.as_bytes()));
        let mut later = exchange.clone();
        later.server_nonce = [3; 16];
        assert!(!key.verify(Prover::Client, &later, proof.as_bytes()));
        let mut restarted = exchange;
        restarted.client.incarnation = 2;
        assert!(!key.verify(Prover::Client, &restarted, proof.as_bytes()));
    },
    a_cut_connection_is_told_to_both_ends: {
        let mut pair = pair(SECRET).await;
        let config = gentianhinge_standin::relay::Config::to(pair.addr);
        let relay = gentianhinge_standin::relay::spawn(config).await.unwrap();
        pair.addr = relay.addr();
        let (_attempt, _link, _, _, remote_session) = join(&mut pair).await;
        let joined = event(&mut pair.here_events).await;
        relay.relay().cut_open();
        let cut = event(&mut pair.here_events).await;
        assert!(matches!(cut, peer::Event::Disconnected { .. }));
        let ended = event(&mut pair.there_events).await;
        assert!(matches!(ended, peer::Event::SessionEnded { session } if session == remote_session));
        drop(joined);
    },
    a_stranger_can_send_no_large_message: {
        let pair = pair(SECRET).await;
        let mut stream = tokio::net::TcpStream::connect(pair.addr).await.unwrap();
        // A head that announces a megabyte; the connection ends before any of it is read, and
        // sooner than that of a stranger that says nothing.
        stream.write_all(&[0x80, 0x80, 0x80, 0x01]).await.unwrap();
        let mut answer = Vec::new();
        let read = time::timeout(Duration::from_secs(1), stream.read_to_end(&mut answer)).await;
        assert!(read.is_ok());
    },
    a_stranger_that_says_nothing_is_cut_off: {
        let pair = pair(SECRET).await;
        let mut stream = tokio::net::TcpStream::connect(pair.addr).await.unwrap();
        let read = time::timeout(TIMEOUT, stream.read_u8()).await.expect("the connection ends");
        assert!(read.is_err());
    },
}
