//! What the traffic threads tell the control thread.

use std::sync;

use gentianhinge_core::ids::{Name, RequestId};
use gentianhinge_core::{code, router, table};
use tokio::sync::{mpsc, oneshot};

use super::members;

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
    /// Another table is in force.
    SetTable(sync::Arc<table::Table>),
    /// The table in force holds all records of the log before an offset.
    SetAppliedOffset(u64),
    /// Asks how far each live router has applied the log.
    ListRouters {
        /// Gets one line for each router, this one among them.
        reply: oneshot::Sender<Vec<members::AppliedOffset>>,
    },
    /// A request has ended.
    Finish {
        /// The request.
        id: RequestId,
    },
    /// The router takes no more requests; its roles go to others.
    Drain,
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
