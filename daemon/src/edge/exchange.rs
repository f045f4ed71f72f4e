//! Reports of load between routers, by datagram.

use std::collections::HashMap;
use std::net;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use gentianhinge_core::report;
use gentianhinge_platform::peers;
use gentianhinge_wire::load;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::time::{self, Instant};

use super::Context;

/// Least time between two reports: about the time in which a target reads a prompt.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a report is full, and also carries teams and services.
const FULL_INTERVAL: Duration = Duration::from_millis(400);

/// Bytes that a router sends in reports in a second; in a large fleet reports get rarer.
const MAX_SENT_BYTES_PER_S: f64 = 60_000.0;

/// The other routers, as the store names them.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    addrs: Arc<Mutex<HashMap<String, net::SocketAddr>>>,
}

impl Peers {
    /// Notes where a router takes reports; `None` if it is gone.
    pub fn set(&self, name: &str, peer: Option<peers::Peer>) {
        let mut addrs = self.addrs.lock().unwrap_or_else(PoisonError::into_inner);
        match peer {
            Some(peer) => addrs.insert(name.to_string(), peer.addr),
            None => addrs.remove(name),
        };
    }

    fn all(&self) -> Vec<net::SocketAddr> {
        let addrs = self.addrs.lock().unwrap_or_else(PoisonError::into_inner);
        addrs.values().copied().collect()
    }
}

/// Takes the others' reports.
pub async fn receive(context: Arc<Context>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; load::MAX_DATAGRAM_BYTES];
    loop {
        let len = match socket.recv_from(&mut buffer).await {
            Ok((len, _)) => len,
            Err(err) => {
                // As after an unreachable router; the next datagram may be fine.
                context.metrics.report_failures.increment(1);
                tracing::debug!("report not received: {err}");
                time::sleep(REPORT_INTERVAL).await;
                continue;
            }
        };
        match load::decode(&buffer[..len]) {
            Ok(heard) => context.brain().hear(heard, Instant::now()),
            Err(err) => {
                context.metrics.report_failures.increment(1);
                tracing::debug!("report not understood: {err}");
            }
        }
    }
}

/// Sends this router's reports.
pub async fn send(context: Arc<Context>, socket: Arc<UdpSocket>, peers: Peers) {
    let mut pause = REPORT_INTERVAL;
    let mut full_at = Instant::now();
    let mut seq = 0;
    let mut router_count = 0;
    loop {
        time::sleep(pause).await;
        pause = REPORT_INTERVAL;
        seq += 1;
        let is_full = full_at.elapsed() >= FULL_INTERVAL;
        if is_full {
            full_at = Instant::now();
        }
        let (report, count) = compose(&context, seq, is_full);
        if count != router_count {
            context
                .log
                .state(json!({ "event": "routers", "count": count, "before": router_count }));
            router_count = count;
        }
        if !is_full && report.targets.is_empty() && report.kept.is_empty() {
            continue;
        }
        let datagram = load::encode(&report);
        let addrs = peers.all();
        let sent_bytes = datagram.len() * addrs.len();
        context.metrics.report_sent_bytes.increment(sent_bytes as u64);
        pause = pause.max(Duration::from_secs_f64(sent_bytes as f64 / MAX_SENT_BYTES_PER_S));
        for addr in addrs {
            if let Err(err) = socket.send_to(&datagram, addr).await {
                context.metrics.report_failures.increment(1);
                tracing::debug!("report to {addr} not sent: {err}");
            }
        }
    }
}

fn compose(context: &Context, seq: u64, is_full: bool) -> (report::LoadReport, usize) {
    let now = Instant::now();
    let mut brain = context.brain();
    brain.load.expire(now);
    if is_full {
        let capacity = brain.table.as_ref().map_or(0.0, |table| table.limits.tokens_per_s);
        brain.shares.recompute(capacity, now);
    }
    let report = report::LoadReport {
        sender: context.name.clone(),
        incarnation: context.incarnation,
        seq,
        targets: brain.load.own_lines(is_full),
        teams: if is_full { brain.shares.own_lines(now) } else { Vec::new() },
        services: if is_full { brain.repeats.own_lines(now) } else { Vec::new() },
        kept: brain.load.take_news(),
        is_full,
        offsets: brain.offsets,
    };
    (report, brain.load.router_count(now))
}
