//! Datagrams of the membership protocol on real sockets.

use std::net;
use std::time::Duration;

use gentianhinge_core::ids::RouterId;
use gentianhinge_core::membership::{Envelope, Kind, Member, Message, Status};
use gentianhinge_wire::datagram;
use gentianhinged::gossip;

/// Longest time for a datagram to arrive on the loopback device.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);

fn ping(peers_addr: net::SocketAddr) -> Message {
    let sender = Member {
        id: RouterId::new("r1", 1),
        version: 0,
        status: Status::Alive,
        draining: false,
        applied_offset: 0,
        peers_addr,
        region: "here".into(),
        zone: "a".into(),
    };
    let (members, leaving_targets) = (Vec::new(), Vec::new());
    Message { kind: Kind::Ping, seq: 1, sender, members, leaving_targets }
}

#[tokio::test]
async fn the_first_datagram_of_a_socket_is_sent() {
    let receiver = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    receiver.set_read_timeout(Some(ARRIVAL_TIMEOUT)).unwrap();
    let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let message = ping(socket.local_addr().unwrap());
    let gossip = gossip::Gossip::new(socket, "secret").await.unwrap();
    let to = receiver.local_addr().unwrap();
    gossip.send(&[Envelope { to, message: message.clone() }]);
    let mut buffer = [0; datagram::MAX_DATAGRAM_BYTES];
    let (len, _) = receiver.recv_from(&mut buffer).expect("the datagram arrives");
    let received = datagram::Sealer::new("secret").open(&buffer[..len]).unwrap();
    assert_eq!(received, message);
}
