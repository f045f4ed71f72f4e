//! Peer sessions between two routers in one process.

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
    local: std::rc::Rc<peer::Context>,
    local_events: mpsc::Receiver<peer::Event>,
    remote_events: mpsc::Receiver<peer::Event>,
    addr: std::net::SocketAddr,
}

async fn pair(remote_secret: &str) -> Pair {
    let (local, local_events) = peer::Context::new(RouterId::new("r1", 1), SECRET);
    let (remote, remote_events) = peer::Context::new(RouterId::new("r2", 7), remote_secret);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn_local(server::serve(listener, remote));
    Pair { local, local_events, remote_events, addr }
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

/// Connects and joins a cell. Returns the attempt, the link, the local id of the session, the sink
/// for its grants, and the remote id of the session.
async fn join(
    pair: &mut Pair,
) -> (client::Attempt, client::Link, peer::LocalId, peer::Sink, peer::LocalId) {
    let remote = RouterId::new("r2", 7);
    let attempt = client::connect(&pair.local, &remote, pair.addr);
    let peer::Event::Connected { link, .. } = event(&mut pair.local_events).await else { panic!() };
    let session = link.join(&pair.local, &remote, &Name::from("cell"));
    let joining = event(&mut pair.remote_events).await;
    let peer::Event::Join { session: remote_id, router, sink, reply, .. } = joining else {
        panic!()
    };
    assert_eq!(router, RouterId::new("r1", 1));
    reply.send(true).unwrap();
    (attempt, link, session, sink, remote_id)
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
        let _attempt = client::connect(&pair.local, &RouterId::new("r2", 7), pair.addr);
        let refused = event(&mut pair.local_events).await;
        assert!(matches!(refused, peer::Event::Disconnected { .. }));
    },
    another_incarnation_of_the_router_is_refused: {
        let mut pair = pair(SECRET).await;
        let _attempt = client::connect(&pair.local, &RouterId::new("r2", 6), pair.addr);
        let refused = event(&mut pair.local_events).await;
        assert!(matches!(refused, peer::Event::Disconnected { .. }));
    },
    grants_arrive_in_their_session: {
        let mut pair = pair(SECRET).await;
        let (_attempt, _link, session, sink, _) = join(&mut pair).await;
        let joined = event(&mut pair.local_events).await;
        assert!(matches!(joined, peer::Event::Joined { lease: Some(_), .. }));
        sink.grant(&batch(3));
        let granted = event(&mut pair.local_events).await;
        let peer::Event::Granted { session: id, batch: received } = granted else { panic!() };
        assert_eq!((id, received), (session, batch(3)));
    },
    grants_of_a_former_session_are_ignored: {
        let mut pair = pair(SECRET).await;
        let (_attempt, link, former, old_sink, _) = join(&mut pair).await;
        let _joined = event(&mut pair.local_events).await;
        link.remove_session(former);
        let session = link.join(&pair.local, &RouterId::new("r2", 7), &Name::from("cell"));
        let joining = event(&mut pair.remote_events).await;
        let peer::Event::Join { sink, reply, .. } = joining else { panic!() };
        reply.send(true).unwrap();
        let _joined = event(&mut pair.local_events).await;
        old_sink.grant(&batch(1));
        sink.grant(&batch(2));
        let granted = event(&mut pair.local_events).await;
        let peer::Event::Granted { session: id, batch: received } = granted else { panic!() };
        assert_eq!((id, received.seq), (session, 2));
    },
    a_dropped_lease_ends_the_session: {
        let mut pair = pair(SECRET).await;
        let (_attempt, _link, _, _, remote_id) = join(&mut pair).await;
        drop(event(&mut pair.local_events).await);
        let ended = event(&mut pair.remote_events).await;
        assert!(matches!(ended, peer::Event::SessionEnded { session } if session == remote_id));
    },
    a_dropped_connection_ends_the_session_at_both_ends: {
        let mut pair = pair(SECRET).await;
        let (attempt, _link, _, _, remote_id) = join(&mut pair).await;
        let _joined = event(&mut pair.local_events).await;
        drop(attempt);
        let ended = event(&mut pair.remote_events).await;
        assert!(matches!(ended, peer::Event::SessionEnded { session } if session == remote_id));
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
        let response = hello.send().promise.await.unwrap();
        // Reflects the server's proof, which must not be valid as the client's.
        let proof = response.get().unwrap().get_proof().unwrap();
        let mut login = response.get().unwrap().get_login().unwrap().prove_request();
        login.get().set_proof(proof);
        assert!(login.send().promise.await.is_err());
    },
    a_proof_is_valid_for_one_exchange_in_one_direction: {
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
    both_ends_detect_a_cut_connection: {
        let mut pair = pair(SECRET).await;
        let config = gentianhinge_standin::relay::Config::to(pair.addr);
        let relay = gentianhinge_standin::relay::spawn(config).await.unwrap();
        pair.addr = relay.addr();
        let (_attempt, _link, _, _, remote_id) = join(&mut pair).await;
        let joined = event(&mut pair.local_events).await;
        relay.relay().cut_open();
        let cut = event(&mut pair.local_events).await;
        assert!(matches!(cut, peer::Event::Disconnected { .. }));
        let ended = event(&mut pair.remote_events).await;
        assert!(matches!(ended, peer::Event::SessionEnded { session } if session == remote_id));
        drop(joined);
    },
    an_unauthenticated_peer_cannot_send_a_large_message: {
        let pair = pair(SECRET).await;
        let mut stream = tokio::net::TcpStream::connect(pair.addr).await.unwrap();
        // A header that announces a message of about a megabyte. The connection must end before any
        // of it is read, and before the handshake timeout.
        stream.write_all(&[0x80, 0x80, 0x80, 0x01]).await.unwrap();
        let mut response = Vec::new();
        let read = time::timeout(Duration::from_secs(1), stream.read_to_end(&mut response)).await;
        assert!(read.is_ok());
    },
    a_peer_that_sends_no_handshake_is_disconnected: {
        let pair = pair(SECRET).await;
        let mut stream = tokio::net::TcpStream::connect(pair.addr).await.unwrap();
        let read = time::timeout(TIMEOUT, stream.read_u8()).await.expect("the connection ends");
        assert!(read.is_err());
    },
}
