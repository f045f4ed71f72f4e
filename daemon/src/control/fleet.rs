//! The other routers, as membership knows them.

use std::net;
use std::rc;

use gentianhinge_core::ids::RouterId;
use gentianhinge_core::membership::{self, Event, Member, Membership};
use gentianhinge_wire::settings;
use tokio::time;

use crate::{gossip, peer};

/// Sockets for other routers.
pub struct PeerSockets {
    /// Accepts sessions.
    pub listener: net::TcpListener,
    /// Carries membership.
    pub socket: net::UdpSocket,
    /// Address of both.
    pub addr: net::SocketAddr,
    /// Addresses to join through.
    pub seeds: Vec<net::SocketAddr>,
}

/// The other routers.
pub(super) struct Fleet {
    pub(super) membership: Membership,
    pub(super) gossip: gossip::Gossip,
    pub(super) settings_seeds: Vec<net::SocketAddr>,
}

/// Waits until a datagram has arrived.
pub(super) async fn readable(fleet: &Option<Fleet>) {
    match fleet {
        // A socket that failed is tried again at the next wakeup.
        Some(fleet) if fleet.gossip.readable().await.is_ok() => {}
        _ => std::future::pending().await,
    }
}

impl Fleet {
    /// Number of routers that live, this one among them.
    pub fn live_count(&self) -> usize {
        1 + self.membership.members().filter(|member| member.is_live()).count()
    }

    /// Begins to take sessions and to look for the other routers.
    pub(super) fn start(
        id: &RouterId,
        settings: &settings::Settings,
        peers: PeerSockets,
        context: &rc::Rc<peer::Context>,
    ) -> std::io::Result<Fleet> {
        let me = Member {
            id: id.clone(),
            version: 0,
            status: membership::Status::Alive,
            draining: false,
            applied_offset: 0,
            peers_addr: peers.addr,
            region: settings.router.region.as_str().into(),
            zone: settings.router.zone.as_str().into(),
        };
        let times = gossip::settings(&settings.peers);
        let mut membership = Membership::new(times, me, rand::random(), time::Instant::now());
        membership.set_seeds(peers.seeds.clone());
        let listener = tokio::net::TcpListener::from_std(peers.listener)?;
        tokio::task::spawn_local(peer::server::serve(listener, context.clone()));
        let gossip = gossip::Gossip::new(peers.socket, &settings.peers.secret)?;
        Ok(Fleet { membership, gossip, settings_seeds: peers.seeds })
    }

    /// Takes what has arrived and sends what is due.
    pub(super) fn step(&mut self, now: time::Instant) {
        for message in self.gossip.read() {
            self.membership.handle(message, now);
        }
        let envelopes = self.membership.poll(now);
        self.gossip.send(&envelopes);
        for event in self.membership.take_events() {
            match event {
                Event::Alive(router) => tracing::info!(%router, "router lives"),
                Event::Suspect(router) => tracing::info!(%router, "router doesn't answer"),
                Event::Dead(router) => tracing::warn!(%router, "router is dead"),
                Event::Left(router) => tracing::info!(%router, "router has left"),
                Event::Superseded(router) => {
                    metrics::counter!("gentianhinge_membership_superseded_total").increment(1);
                    tracing::debug!(%router, "a later life of this router is known");
                }
            }
        }
    }
}
