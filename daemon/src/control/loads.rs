//! Polls the load reports of one cell's targets.
//!
//! Only the cell's dispatcher polls, so that the number of routers doesn't affect a target's load.

use std::net;
use std::time::Duration;

use futures_util::future;
use gentianhinge_core::ids::Name;
use gentianhinge_core::slots;
use serde::Deserialize;
use tokio::sync::mpsc;
use tokio::{task, time};

use super::fetch;

/// Consecutive polls without a response after which a target counts as failed.
///
/// A busy engine may miss one poll. A target that accepts no connection counts as failed at once.
const MAX_UNANSWERED_POLLS: u32 = 3;

/// Upper bound on the age of a load report; a larger computed age is due to clock skew.
const MAX_REPORT_AGE: Duration = Duration::from_secs(60);

/// Result of one poll of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadEvent {
    /// Name of the cell.
    pub cell: Name,
    /// Name of the target.
    pub target: Name,
    /// The target's load; `None` if it has failed.
    pub load: Option<slots::TargetLoad>,
}

/// A target to poll.
#[derive(Clone, Debug)]
pub struct Poll {
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub addr: net::SocketAddr,
}

/// Polls the targets of one cell until dropped.
#[derive(Debug)]
pub struct LoadPoller {
    task: task::JoinHandle<()>,
}

impl Drop for LoadPoller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl LoadPoller {
    /// Starts to poll a cell's targets on the current `LocalSet`.
    pub fn spawn(
        cell: Name,
        polls: Vec<Poll>,
        interval: Duration,
        events: mpsc::UnboundedSender<LoadEvent>,
    ) -> LoadPoller {
        let client = fetch::client(interval);
        let task = task::spawn_local(async move {
            let targets = polls.into_iter().map(|poll| {
                let target = Target { cell: cell.clone(), poll, unanswered_polls: 0 };
                target.run(client.clone(), interval, events.clone())
            });
            future::join_all(targets).await;
        });
        LoadPoller { task }
    }
}

/// Reads the incarnation from a target's load report; 0 if the target doesn't respond.
pub async fn incarnation(addr: net::SocketAddr, timeout: Duration) -> u64 {
    let client = fetch::client(timeout);
    let Ok(uri) = format!("http://{addr}/load").parse::<http::Uri>() else { return 0 };
    let report = fetch::get::<LoadReport>(&client, uri, timeout).await;
    report.map_or(0, |report| report.incarnation)
}

struct Target {
    cell: Name,
    poll: Poll,
    unanswered_polls: u32,
}

/// A load report in the format of the targets' `/load`.
#[derive(Debug, Deserialize)]
struct LoadReport {
    at_ms: u64,
    incarnation: u64,
    running_count: u32,
    waiting_count: u32,
    #[serde(default)]
    max_running_count: u32,
    #[serde(default)]
    leaving: bool,
}

impl Target {
    async fn run(
        mut self,
        client: fetch::Client,
        interval: Duration,
        events: mpsc::UnboundedSender<LoadEvent>,
    ) {
        let Ok(uri) = format!("http://{}/load", self.poll.addr).parse::<http::Uri>() else {
            return;
        };
        let mut ticks = time::interval(interval);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let result = fetch::get::<LoadReport>(&client, uri.clone(), interval).await;
            let Some(load) = self.interpret(result) else { continue };
            let (cell, target) = (self.cell.clone(), self.poll.target.clone());
            if events.send(LoadEvent { cell, target, load }).is_err() {
                return;
            }
        }
    }

    /// Interprets a poll as a load, a failure (`Some(None)`), or no conclusion yet (`None`).
    fn interpret(
        &mut self,
        result: Result<LoadReport, fetch::FetchError>,
    ) -> Option<Option<slots::TargetLoad>> {
        match result {
            Ok(report) => {
                self.unanswered_polls = 0;
                Some(Some(report.into_load(time::Instant::now())))
            }
            Err(fetch::FetchError::Unreachable(_)) => Some(None),
            // A target without load reports fails only by the outcome of its calls.
            Err(fetch::FetchError::Malformed(_)) => None,
            Err(fetch::FetchError::NoResponse) => {
                self.unanswered_polls += 1;
                (self.unanswered_polls >= MAX_UNANSWERED_POLLS).then_some(None)
            }
        }
    }
}

impl LoadReport {
    fn into_load(self, now: time::Instant) -> slots::TargetLoad {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let age = since_epoch.unwrap_or_default().saturating_sub(Duration::from_millis(self.at_ms));
        slots::TargetLoad {
            at: now.checked_sub(age.min(MAX_REPORT_AGE)).unwrap_or(now),
            incarnation: self.incarnation,
            running_count: self.running_count,
            waiting_count: self.waiting_count,
            max_running_count: self.max_running_count,
            leaving: self.leaving,
        }
    }
}
