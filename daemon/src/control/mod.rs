//! The control thread: holds all fleet state and answers the traffic threads.

pub mod fetch;
pub mod hosts;
pub mod loads;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync;
use std::time::Duration;

use gentianhinge_core::ids::{Name, RequestId, RouterId};
use gentianhinge_core::{code, dispatch, router, table};
use tokio::sync::{mpsc, oneshot};
use tokio::{task, time};

use crate::config;

/// Time between two searches for requests that waited too long.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Most commands taken in before grants are given out.
const COMMAND_BATCH: usize = 256;

/// What the traffic threads tell the control thread.
#[derive(Debug)]
pub enum Command {
    /// A request asks for a slot.
    Submit {
        /// The request.
        submit: router::Submit,
        /// Gets the target, or why there is none.
        reply: oneshot::Sender<Result<Name, code::ResultCode>>,
    },
    /// A running request has cost so much up to now.
    Progress {
        /// The request.
        id: RequestId,
        /// Cost so far, before the class's price.
        cost: f64,
    },
    /// A running request couldn't be sent, since its target didn't take the connection.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// An operator takes a target out of use.
    DrainTarget {
        /// Name of the target.
        target: Name,
    },
    /// A request has ended.
    Finish {
        /// The request.
        id: RequestId,
    },
    /// Another table is in force.
    SetTable(sync::Arc<table::Table>),
}

/// Sends commands to the control thread.
///
/// The channel is unbounded: each request has at most a few commands under way, and the listener
/// bounds the requests.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
}

impl Handle {
    /// Creates a handle and the end that the control thread reads.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Handle { commands }, receiver)
    }

    /// Sends a command; after the control thread's end it is dropped.
    pub fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

/// Fleet state of one router.
#[derive(Debug)]
pub struct Control {
    router: router::Router,
    dispatchers: BTreeMap<Name, dispatch::Dispatcher>,
    waiters: HashMap<RequestId, oneshot::Sender<Result<Name, code::ResultCode>>>,
    commands: mpsc::UnboundedReceiver<Command>,
    platform: Platform,
    /// Targets that the host list showed as leaving when it was last read.
    listed_leaving: BTreeSet<Name>,
    polls: BTreeMap<Name, Vec<loads::Poll>>,
}

/// Where the platform tells about hosts, and how often it is asked.
#[derive(Clone, Debug)]
pub struct Platform {
    /// URL of the host list, if there is one.
    pub hosts_url: Option<http::Uri>,
    /// Time between two reads of the host list.
    pub hosts_interval: Duration,
    /// Time between two reads of a target's load report.
    pub load_interval: Duration,
    /// Longest wait for an answer.
    pub timeout: Duration,
}

impl Control {
    /// Creates the state of a router that dispatches every cell itself.
    pub fn new(
        id: RouterId,
        table: &sync::Arc<table::Table>,
        pools: &[config::Pool],
        platform: Platform,
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Control {
        let mut polls = BTreeMap::new();
        let mut router = router::Router::new(id.clone(), table.clone());
        let mut dispatchers = BTreeMap::new();
        for pool in pools {
            let mut dispatcher =
                dispatch::Dispatcher::new(id.clone(), pool.name.clone(), table.clone());
            let specs = pool.targets.iter().map(|target| target.spec.clone()).collect::<Vec<_>>();
            dispatcher.set_targets(&specs);
            dispatcher.join(id.clone());
            router.set_dispatcher(&pool.name, id.clone());
            dispatchers.insert(pool.name.clone(), dispatcher);
            let targets = pool
                .targets
                .iter()
                .map(|target| loads::Poll { target: target.spec.name.clone(), addr: target.addr });
            polls.insert(pool.name.clone(), targets.collect());
        }
        Control {
            router,
            dispatchers,
            waiters: HashMap::new(),
            commands,
            platform,
            listed_leaving: BTreeSet::new(),
            polls,
        }
    }

    /// Serves commands until the last handle is gone.
    pub async fn run(mut self) {
        let mut expiry = time::interval(EXPIRY_INTERVAL);
        let (load_sender, mut load_events) = mpsc::unbounded_channel();
        let _pollers = self.start_polls(&load_sender);
        let (list_sender, mut host_lists) = mpsc::unbounded_channel();
        let _follower = self.follow_hosts(list_sender.clone());
        let mut batch = Vec::with_capacity(COMMAND_BATCH);
        loop {
            tokio::select! {
                count = self.commands.recv_many(&mut batch, COMMAND_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    let now = time::Instant::now();
                    for command in batch.drain(..) {
                        self.apply(command, now);
                    }
                }
                now = expiry.tick() => self.expire(now),
                Some(event) = load_events.recv() => self.take_load(event, time::Instant::now()),
                Some(list) = host_lists.recv() => self.take_hosts(&list),
            }
            self.dispatch(time::Instant::now());
        }
    }

    fn start_polls(
        &self,
        events: &mpsc::UnboundedSender<loads::LoadEvent>,
    ) -> Vec<loads::LoadPoller> {
        let interval = self.platform.load_interval;
        let start = |(cell, polls): (&Name, &Vec<loads::Poll>)| {
            loads::LoadPoller::spawn(cell.clone(), polls.clone(), interval, events.clone())
        };
        self.polls.iter().map(start).collect()
    }

    fn follow_hosts(
        &self,
        lists: mpsc::UnboundedSender<hosts::HostList>,
    ) -> Option<task::JoinHandle<()>> {
        let url = self.platform.hosts_url.clone()?;
        let Platform { hosts_interval, timeout, .. } = self.platform;
        Some(hosts::follow(url, hosts_interval, timeout, lists))
    }

    fn take_load(&mut self, event: loads::LoadEvent, now: time::Instant) {
        let Some(dispatcher) = self.dispatchers.get_mut(&event.cell) else { return };
        match event.load {
            Some(load) => dispatcher.set_target_load(&event.target, load, now),
            None => dispatcher.target_failed(&event.target, now),
        }
    }

    /// Takes targets out of use that the list newly shows as leaving.
    ///
    /// The list lags: while it still shows a leave, the target may have returned already as a new
    /// incarnation, so only a change counts.
    fn take_hosts(&mut self, list: &hosts::HostList) {
        let leaving = list.leaving_targets().cloned().collect::<BTreeSet<_>>();
        let before = std::mem::replace(&mut self.listed_leaving, leaving);
        let new = self.listed_leaving.difference(&before).cloned().collect::<Vec<_>>();
        for target in new {
            self.target_leaving(&target);
        }
    }

    /// Takes a target's present incarnation out of use for good.
    fn target_leaving(&mut self, target: &Name) {
        for dispatcher in self.dispatchers.values_mut() {
            let incarnation = dispatcher.target_incarnation(target);
            dispatcher.target_leaving(target, incarnation);
        }
    }

    fn apply(&mut self, command: Command, now: time::Instant) {
        match command {
            Command::Submit { submit, reply } => self.submit(submit, reply, now),
            Command::Progress { id, cost } => self.router.progress(id, cost),
            Command::Fail { id } => self.router.fail(id),
            Command::DrainTarget { target } => self.target_leaving(&target),
            Command::SetTable(table) => {
                self.router.set_table(table.clone());
                for dispatcher in self.dispatchers.values_mut() {
                    dispatcher.set_table(table.clone());
                }
            }
            Command::Finish { id } => {
                self.waiters.remove(&id);
                self.router.finish(id);
            }
        }
    }

    fn submit(
        &mut self,
        submit: router::Submit,
        reply: oneshot::Sender<Result<Name, code::ResultCode>>,
        now: time::Instant,
    ) {
        let id = submit.id;
        match self.router.submit(submit, now) {
            Ok(()) => {
                self.waiters.insert(id, reply);
            }
            Err(err) => {
                let _ = reply.send(Err(err.code()));
            }
        }
    }

    fn expire(&mut self, now: time::Instant) {
        for id in self.router.expire(now) {
            if let Some(reply) = self.waiters.remove(&id) {
                let _ = reply.send(Err(code::ResultCode::WaitExpired));
            }
        }
    }

    fn dispatch(&mut self, now: time::Instant) {
        for (cell, dispatcher) in &mut self.dispatchers {
            if let Some(report) = self.router.take_report(cell, now) {
                dispatcher.report(report, now);
            }
            for (_, batch) in dispatcher.poll(now) {
                for start in self.router.take_grants(&batch) {
                    // A waiter that has gone sends its own finish command.
                    if let Some(reply) = self.waiters.remove(&start.id) {
                        let _ = reply.send(Ok(start.target));
                    }
                }
            }
        }
    }
}
