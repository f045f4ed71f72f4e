//! The control thread: holds all fleet state and answers the traffic threads.

use std::collections::{BTreeMap, HashMap};
use std::sync;
use std::time::Duration;

use gentianhinge_core::ids::{Name, RequestId, RouterId};
use gentianhinge_core::{code, dispatch, router, table};
use tokio::sync::{mpsc, oneshot};
use tokio::time;

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
}

impl Control {
    /// Creates the state of a router that dispatches every cell itself.
    pub fn new(
        id: RouterId,
        table: &sync::Arc<table::Table>,
        pools: &[config::Pool],
        commands: mpsc::UnboundedReceiver<Command>,
    ) -> Control {
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
        }
        Control { router, dispatchers, waiters: HashMap::new(), commands }
    }

    /// Serves commands until the last handle is gone.
    pub async fn run(mut self) {
        let mut expiry = time::interval(EXPIRY_INTERVAL);
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
            }
            self.dispatch(time::Instant::now());
        }
    }

    fn apply(&mut self, command: Command, now: time::Instant) {
        match command {
            Command::Submit { submit, reply } => self.submit(submit, reply, now),
            Command::Progress { id, cost } => self.router.progress(id, cost),
            Command::Fail { id } => self.router.fail(id),
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
