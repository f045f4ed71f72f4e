//! Commands from the traffic threads to the control thread.

use std::sync;

use gentianhinge_core::ids::{Name, RequestId};
use gentianhinge_core::{code, router, table};
use tokio::sync::{mpsc, oneshot};

use super::members;

/// A command to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Queues a request for a slot.
    Submit {
        /// The request.
        submit: router::Submit,
        /// Receives the target, or the reason why there is none.
        reply: oneshot::Sender<Result<Name, code::ResultCode>>,
    },
    /// Reports the cost of a running request.
    Progress {
        /// The request.
        id: RequestId,
        /// Total cost so far, before the class's price ratio is applied.
        cost: f64,
    },
    /// Reports that a granted request wasn't sent, since its target accepted no connection.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Drains a target at an operator's request.
    DrainTarget {
        /// Name of the target.
        target: Name,
    },
    /// Puts a new table into force.
    SetTable(sync::Arc<table::Table>),
    /// Sets the log offset before which the table in force contains all records.
    SetAppliedOffset(u64),
    /// Requests the applied log offset of each other live router.
    ListRouters {
        /// Receives one entry for each other live router.
        reply: oneshot::Sender<Vec<members::AppliedOffset>>,
    },
    /// Ends a request, whether it waits or runs.
    Finish {
        /// The request.
        id: RequestId,
    },
    /// Marks the router as draining, so that its roles move to other routers.
    Drain,
}

/// Sends commands to the control thread.
///
/// The channel is unbounded: each request has at most a few commands in flight, and the listener
/// limits the number of requests.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
}

impl Handle {
    /// Creates a handle and the receiver of its commands.
    pub fn channel() -> (Handle, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Handle { commands }, receiver)
    }

    /// Sends a command; it is dropped if the control thread has ended.
    pub fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}
