//! Waits for a slot at a target.

use std::net;

use gentianhinge_core::code::ResultCode;
use gentianhinge_core::ids::{Name, RequestId};
use gentianhinge_core::message::PreferredTargets;
use gentianhinge_core::router;
use tokio::sync::oneshot;

use super::failure::Failure;
use super::request::RequestContext;
use super::{PoolEntry, Traffic};
use crate::control;

/// Parameters of the wait for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// The model or service that is called.
    pub pool: &'a PoolEntry,
    /// The request that waits.
    pub context: &'a RequestContext,
    /// Size of the body that is buffered while the request waits.
    pub size_bytes: usize,
    /// Targets to prefer among those with a free slot.
    pub preferred: &'a PreferredTargets,
}

/// A slot at a target, released when dropped.
#[derive(Debug)]
pub struct Slot {
    finish_guard: FinishOnDrop,
    /// Name of the target that granted the slot.
    pub target: Name,
    /// Address to send the request to.
    pub addr: net::SocketAddr,
}

/// Reports the end of the request to the control thread when dropped, whether it waits or runs.
#[derive(Debug)]
struct FinishOnDrop {
    id: RequestId,
    control: control::Handle,
}

impl Drop for FinishOnDrop {
    fn drop(&mut self) {
        self.control.send(control::Command::Finish { id: self.id });
    }
}

impl Slot {
    /// Reports the request's cost so far, before the class's price ratio.
    pub fn report_cost(&self, cost: f64) {
        self.finish_guard
            .control
            .send(control::Command::Progress { id: self.finish_guard.id, cost });
    }

    /// Reports that the target didn't accept the connection.
    pub fn report_unreachable(&self) {
        self.finish_guard.control.send(control::Command::Fail { id: self.finish_guard.id });
    }
}

impl Traffic {
    /// Waits until the request is granted a slot.
    ///
    /// Dropping the future removes the request from the queue.
    pub(super) async fn acquire_slot(&self, request: SlotRequest<'_>) -> Result<Slot, Failure> {
        let SlotRequest { pool, context, size_bytes, preferred } = request;
        let id = RequestId(self.next_request());
        let control = self.shared.control.clone();
        let submit = router::Submit {
            id,
            cell: pool.name.clone(),
            flow: context.flow.flow.clone(),
            size_bytes: size_bytes as u64,
            preferred_targets: preferred.clone(),
        };
        let (reply, grant) = oneshot::channel();
        control.send(control::Command::Submit { submit, reply });
        let finish_guard = FinishOnDrop { id, control };
        let target = match grant.await {
            Ok(Ok(target)) => target,
            Ok(Err(code)) => return Err(Failure::new(code, refusal_message(code, context))),
            Err(_) => return Err(Failure::new(ResultCode::Draining, "the router has ended")),
        };
        let addr = pool.addrs.get(&target).copied().ok_or_else(|| {
            let message = format!("target {target} has no address here");
            Failure::new(ResultCode::TargetUnreachable, message)
        })?;
        Ok(Slot { finish_guard, target, addr })
    }
}

fn refusal_message(code: ResultCode, context: &RequestContext) -> String {
    let flow = &context.flow.flow;
    match code {
        ResultCode::WaitExpired => format!("no slot within the longest wait of {}", flow.class),
        ResultCode::WaitingLimit => format!("team {} has too many requests waiting", flow.team),
        ResultCode::WaitingBytesLimit => format!("team {} has too many bytes waiting", flow.team),
        other => other.name().to_string(),
    }
}
