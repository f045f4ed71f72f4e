//! Membership of the fleet and the sockets that it uses.

use std::net;
use std::rc;

use gentianhinge_core::ids::RouterId;
use gentianhinge_core::membership::{self, Event, Member, Membership};
use gentianhinge_wire::settings;
use tokio::time;

use crate::{gossip, peer};

/// Sockets for traffic between routers.
pub struct PeerSockets {
    /// Accepts peer connections.
    pub listener: net::TcpListener,
    /// Carries membership datagrams.
    pub socket: net::UdpSocket,
    /// Address of both sockets.
    pub addr: net::SocketAddr,
    /// Addresses of routers through which this one joins the fleet.
    pub seeds: Vec<net::SocketAddr>,
}

/// Membership state and its socket.
pub(super) struct Fleet {
    pub(super) membership: Membership,
    pub(super) gossip: gossip::Gossip,
    pub(super) settings_seeds: Vec<net::SocketAddr>,
}

/// Waits until a datagram has arrived; never returns for a standalone router.
pub(super) async fn readable(fleet: &Option<Fleet>) {
    match fleet {
        // A socket that failed is retried at the next wakeup.
        Some(fleet) if fleet.gossip.readable().await.is_ok() => {}
        _ => std::future::pending().await,
    }
}

impl Fleet {
    /// Number of live routers, including this one.
    pub fn live_count(&self) -> usize {
        1 + self.membership.members().filter(|member| member.is_live()).count()
    }

    /// Starts to accept peer connections and to join the fleet.
    pub(super) async fn start(
        id: &RouterId,
        settings: &settings::Settings,
        peers: PeerSockets,
        context: &rc::Rc<peer::Context>,
    ) -> std::io::Result<Fleet> {
        let local = Member {
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
        let listener = tokio::net::TcpListener::from_std(peers.listener)?;
        tokio::task::spawn_local(peer::server::serve(listener, context.clone()));
        let gossip = gossip::Gossip::new(peers.socket, &settings.peers.secret).await?;
        let mut membership = Membership::new(times, local, rand::random(), time::Instant::now());
        membership.set_seeds(peers.seeds.clone());
        Ok(Fleet { membership, gossip, settings_seeds: peers.seeds })
    }

    /// Handles datagrams that have arrived, sends those that are due, and logs status changes.
    pub(super) fn step(&mut self, now: time::Instant) {
        for message in self.gossip.read() {
            self.membership.handle(message, now);
        }
        let envelopes = self.membership.poll(now);
        self.gossip.send(&envelopes);
        for event in self.membership.take_events() {
            match event {
                Event::Alive(router) => tracing::info!(%router, "router is alive"),
                Event::Suspect(router) => tracing::info!(%router, "router doesn't answer"),
                Event::Dead(router) => tracing::warn!(%router, "router is dead"),
                Event::Left(router) => tracing::info!(%router, "router has left"),
                Event::Superseded(router) => {
                    metrics::counter!("gentianhinge_membership_superseded_total").increment(1);
                    tracing::debug!(%router, "a later incarnation of this router is known");
                }
            }
        }
    }
}
