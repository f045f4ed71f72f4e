//! Follows the platform's list of hosts.
//!
//! The list lags. It names routers to try and targets that leave; it never alone declares a router
//! dead, and a target that it lacks may live.

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

/// State of a host.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host is there.
    Live,
    /// The host is about to go.
    Leaving,
}

/// A line of the list.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Host {
    /// Name of the router or target.
    pub name: Name,
    /// Address of the target, or peers address of the router.
    pub addr: net::SocketAddr,
    /// What the host runs.
    pub kind: HostKind,
    /// State of the host.
    pub state: HostState,
}

/// The whole list.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct HostList {
    /// All hosts, in no order.
    pub hosts: Vec<Host>,
}

impl HostList {
    /// Names of the targets that leave.
    pub fn leaving_targets(&self) -> impl Iterator<Item = &Name> {
        let leaving = self
            .hosts
            .iter()
            .filter(|host| host.kind == HostKind::Target && host.state == HostState::Leaving);
        leaving.map(|host| &host.name)
    }
}

impl HostList {
    /// Peers addresses of the routers.
    pub fn router_addrs(&self) -> impl Iterator<Item = net::SocketAddr> {
        self.routers().map(|host| host.addr)
    }

    /// Number of routers that should be there.
    pub fn live_router_count(&self) -> usize {
        self.routers().filter(|host| host.state == HostState::Live).count()
    }

    fn routers(&self) -> impl Iterator<Item = &Host> {
        self.hosts.iter().filter(|host| host.kind == HostKind::Router)
    }
}

/// Reads the list at each interval and sends it on until the receiver is gone.
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
                        tracing::info!("host list is back");
                    }
                    if lists.send(list).is_err() {
                        return;
                    }
                }
                Err(err) if !is_down => {
                    is_down = true;
                    tracing::warn!(%err, "host list is down");
                }
                Err(_) => {}
            }
        }
    })
}
