//! Polls the platform's list of hosts.
//!
//! The list lags. It provides seeds for membership and the targets that leave. It is never the only
//! evidence that a router is dead, and a target that is missing from it may be alive.

use std::net;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::{task, time};

use super::fetch;

/// What a host runs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostKind {
    /// A router of the fleet.
    Router,
    /// A model engine or a plain service.
    Target,
}

/// State of a host in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// An entry of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Host {
    /// Name of the router or target.
    pub name: Name,
    /// Address of the target, or peers address of the router.
    pub addr: net::SocketAddr,
    /// What the host runs.
    pub kind: HostKind,
    /// Whether the host is in service or about to be removed.
    pub state: HostState,
}

/// The host list as the platform serves it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct HostList {
    /// All hosts, in no particular order.
    pub hosts: Vec<Host>,
}

impl HostList {
    /// Names of the targets that are leaving.
    pub fn leaving_targets(&self) -> impl Iterator<Item = &Name> {
        let leaving = self
            .hosts
            .iter()
            .filter(|host| host.kind == HostKind::Target && host.state == HostState::Leaving);
        leaving.map(|host| &host.name)
    }
}

impl HostList {
    /// Peers addresses of all routers, leaving ones included.
    pub fn router_addrs(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.routers().map(|host| host.addr)
    }

    /// Number of routers that are in service according to the list.
    pub fn live_router_count(&self) -> usize {
        self.routers().filter(|host| host.state == HostState::Live).count()
    }

    fn routers(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.kind == HostKind::Router)
    }
}

/// Reads the list at each interval and sends it to `lists`, until the receiver is dropped.
pub fn follow(
    url: http::Uri,
    interval: Duration,
    timeout: Duration,
    lists: mpsc::UnboundedSender<HostList>,
) -> task::JoinHandle<()> {
    let client = fetch::client(timeout);
    task::spawn_local(async move {
        let mut ticks = time::interval(interval);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut is_down = false;
        loop {
            ticks.tick().await;
            match fetch::get::<HostList>(&client, url.clone(), timeout).await {
                Ok(list) => {
                    if std::mem::take(&mut is_down) {
                        tracing::info!("host list is available again");
                    }
                    if lists.send(list).is_err() {
                        return;
                    }
                }
                Err(err) if !is_down => {
                    is_down = true;
                    tracing::warn!(%err, "failed to read the host list");
                }
                Err(_) => {}
            }
        }
    })
}
