//! Updates about targets: load reports, the host list, and operators' drains.

use std::collections::{BTreeMap, BTreeSet};
use std::net;
use std::time::Duration;

use gentianhinge_core::dispatch;
use gentianhinge_core::ids::Name;
use tokio::sync::mpsc;
use tokio::{task, time};

use super::{hosts, loads};
use crate::config;

/// Source of the host list, and the intervals of the polls.
#[derive(Clone, Debug)]
pub struct Platform {
    /// URL of the host list; `None` disables it.
    pub hosts_url: Option<http::Uri>,
    /// Time between two reads of the host list.
    pub hosts_interval: Duration,
    /// Time between two reads of a target's load report.
    pub load_interval: Duration,
    /// Longest wait for a response.
    pub timeout: Duration,
}

/// An update about targets.
#[derive(Clone, Debug)]
pub enum Update {
    /// Result of a load poll.
    Load(loads::LoadEvent),
    /// The host list as last read.
    Hosts(hosts::HostList),
    /// A target accepts no new work in this incarnation, which is 0 if it couldn't be read.
    Leaving(Name, u64),
}

/// Polls the host list, and the load of the targets in cells that this router dispatches.
pub struct Targets {
    platform: Platform,
    addrs: BTreeMap<Name, net::SocketAddr>,
    pollers: BTreeMap<Name, loads::LoadPoller>,
    load_sender: mpsc::UnboundedSender<loads::LoadEvent>,
    load_events: mpsc::UnboundedReceiver<loads::LoadEvent>,
    /// Keeps the channel open if there is no host list.
    _list_sender: mpsc::UnboundedSender<hosts::HostList>,
    host_lists: mpsc::UnboundedReceiver<hosts::HostList>,
    host_list_task: Option<task::JoinHandle<()>>,
    leave_sender: mpsc::UnboundedSender<(Name, u64)>,
    leaving: mpsc::UnboundedReceiver<(Name, u64)>,
    /// Targets that were leaving in the host list as last read.
    listed_leaving: BTreeSet<Name>,
    /// Targets that operators drained through this router.
    drained: BTreeSet<Name>,
    /// Cells whose target loads are stale after a pause of the process.
    awaiting_fresh_load: BTreeSet<Name>,
}

impl Drop for Targets {
    fn drop(&mut self) {
        if let Some(host_list_task) = &self.host_list_task {
            host_list_task.abort();
        }
    }
}

impl Targets {
    /// Starts to poll the host list on the current `LocalSet`.
    pub fn start(platform: Platform, pools: &[config::Pool]) -> Targets {
        let (load_sender, load_events) = mpsc::unbounded_channel();
        let (list_sender, host_lists) = mpsc::unbounded_channel();
        let (leave_sender, leaving) = mpsc::unbounded_channel();
        let Platform { hosts_interval, timeout, .. } = platform;
        let url = platform.hosts_url.clone();
        let host_list_task =
            url.map(|url| hosts::follow(url, hosts_interval, timeout, list_sender.clone()));
        let targets = pools.iter().flat_map(|pool| &pool.targets);
        Targets {
            platform,
            addrs: targets.map(|target| (target.spec.name.clone(), target.addr)).collect(),
            pollers: BTreeMap::new(),
            load_sender,
            load_events,
            _list_sender: list_sender,
            host_lists,
            host_list_task,
            leave_sender,
            leaving,
            listed_leaving: BTreeSet::new(),
            drained: BTreeSet::new(),
            awaiting_fresh_load: BTreeSet::new(),
        }
    }

    /// Starts to poll the targets of a cell, and marks the leaving ones at its new dispatcher.
    pub fn start_polling(
        &mut self,
        cell: &Name,
        dispatcher: &mut dispatch::Dispatcher,
        names: &[Name],
        now: time::Instant,
    ) {
        if self.awaiting_fresh_load.remove(cell) {
            names.iter().for_each(|target| dispatcher.target_failed(target, now));
        }
        for target in self.listed_leaving.union(&self.drained) {
            dispatcher.target_leaving(target, dispatcher.target_incarnation(target));
        }
        let polls = names.iter().filter_map(|name| {
            let addr = *self.addrs.get(name)?;
            Some(loads::Poll { target: name.clone(), addr })
        });
        let (interval, events) = (self.platform.load_interval, self.load_sender.clone());
        let poller = loads::LoadPoller::spawn(cell.clone(), polls.collect(), interval, events);
        self.pollers.insert(cell.clone(), poller);
    }

    /// Makes the next dispatcher of a cell use each target only after a new load report.
    pub fn require_fresh_load(&mut self, cell: &Name) {
        self.awaiting_fresh_load.insert(cell.clone());
    }

    /// Stops the polls of a cell.
    pub fn stop_polling(&mut self, cell: &Name) {
        self.pollers.remove(cell);
    }

    /// Waits for the next update. Cancel safe.
    pub async fn next_update(&mut self) -> Update {
        // The channels stay open, since `self` holds a sender of each.
        tokio::select! {
            Some(event) = self.load_events.recv() => Update::Load(event),
            Some(list) = self.host_lists.recv() => Update::Hosts(list),
            Some((target, incarnation)) = self.leaving.recv() => Update::Leaving(target, incarnation),
            else => std::future::pending().await,
        }
    }

    /// Applies a host list and returns the targets that have become leaving since the last one.
    ///
    /// The list lags: a target that it shows as leaving may already run again as a new incarnation,
    /// so only the transition counts.
    pub fn apply_host_list(&mut self, list: &hosts::HostList) -> Vec<Name> {
        let leaving = list.leaving_targets().cloned().collect::<BTreeSet<_>>();
        let before = std::mem::replace(&mut self.listed_leaving, leaving);
        self.listed_leaving.difference(&before).cloned().collect()
    }

    /// Records that an operator drains a target; [`Update::Leaving`] follows.
    pub fn drain(&mut self, target: Name) {
        self.fetch_incarnation(&target);
        self.drained.insert(target);
    }

    /// Reads the incarnation of a leaving target, for which the leave is final.
    pub fn fetch_incarnation(&self, target: &Name) {
        let Some(addr) = self.addrs.get(target).copied() else { return };
        let (target, sender) = (target.clone(), self.leave_sender.clone());
        let timeout = self.platform.timeout;
        task::spawn_local(async move {
            let incarnation = loads::incarnation(addr, timeout).await;
            let _ = sender.send((target, incarnation));
        });
    }
}

/// Applies the result of a load poll to a dispatcher.
pub fn apply_load(
    dispatcher: &mut dispatch::Dispatcher,
    event: loads::LoadEvent,
    now: time::Instant,
) {
    match event.load {
        Some(load) => dispatcher.set_target_load(&event.target, load, now),
        None => dispatcher.target_failed(&event.target, now),
    }
}
