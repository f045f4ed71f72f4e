//! The wait for a slot at a target.

use std::net;

use gentianhinge_core::code::ResultCode;
use gentianhinge_core::ids::{Name, RequestId};
use gentianhinge_core::message::PreferredTargets;
use gentianhinge_core::router;
use tokio::sync::oneshot;

use super::arrival::Arrival;
use super::failure::Failure;
use super::{PoolEntry, Traffic};
use crate::control;

/// What the wait for a slot depends on.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The model or service.
    pub pool: &'a PoolEntry,
    /// The request.
    pub arrival: &'a Arrival,
    /// Bytes held while the request waits.
    pub size_bytes: usize,
    /// Targets to prefer among the free ones.
    pub preferred: &'a PreferredTargets,
}

/// A slot at a target; given back when dropped.
#[derive(Debug)]
pub struct Slot {
    ticket: Ticket,
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub addr: net::SocketAddr,
}

/// Ends the request at the control thread when dropped, whether it waits or runs.
#[derive(Debug)]
struct Ticket {
    id: RequestId,
    control: control::Handle,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.control.send(control::Command::Finish { id: self.id });
    }
}

impl Slot {
    /// Tells what the request has cost so far, before the class's price.
    pub fn progress(&self, cost: f64) {
        self.ticket.control.send(control::Command::Progress { id: self.ticket.id, cost });
    }

    /// Tells that the target didn't take the connection.
    pub fn fail(&self) {
        self.ticket.control.send(control::Command::Fail { id: self.ticket.id });
    }
}

impl Traffic {
    /// Waits until the request may start.
    ///
    /// Dropping the future takes the request out of the queue.
    pub(super) async fn slot(&self, wish: Wish<'_>) -> Result<Slot, Failure> {
        let Wish { pool, arrival, size_bytes, preferred } = wish;
        let id = RequestId(self.next_request());
        let control = self.shared.control.clone();
        let submit = router::Submit {
            id,
            cell: pool.name.clone(),
            flow: arrival.flow.flow.clone(),
            size_bytes: size_bytes as u64,
            preferred_targets: preferred.clone(),
        };
        let (reply, granted) = oneshot::channel();
        control.send(control::Command::Submit { submit, reply });
        let ticket = Ticket { id, control };
        let target = match granted.await {
            Ok(Ok(target)) => target,
            Ok(Err(code)) => return Err(Failure::new(code, refusal(code, arrival))),
            Err(_) => return Err(Failure::new(ResultCode::Draining, "the router has ended")),
        };
        let addr = pool.addrs.get(&target).copied().ok_or_else(|| {
            let message = format!("target {target} has no address here");
            Failure::new(ResultCode::TargetUnreachable, message)
        })?;
        Ok(Slot { ticket, target, addr })
    }
}

fn refusal(code: ResultCode, arrival: &Arrival) -> String {
    let flow = &arrival.flow.flow;
    match code {
        ResultCode::WaitExpired => format!("no slot within the longest wait of {}", flow.class),
        ResultCode::WaitingLimit => format!("team {} has too many requests waiting", flow.team),
        ResultCode::WaitingBytesLimit => format!("team {} has too many bytes waiting", flow.team),
        other => other.name().to_string(),
    }
}
