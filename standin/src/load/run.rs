//! Sends the requests of a load run.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time;

use super::meter::Meter;
use super::report::Report;
use super::workload::{Request, RequestKind, RequestSource};
use super::{Arrivals, Config};
use crate::client::{Client, Progress};

/// Delay of a closed loop after an error, so that immediate rejections don't cause a busy loop.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Runs a load to its end and returns the report.
pub async fn run(config: &Config) -> Report {
    Load::start(config).finish().await
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    config: Arc<Config>,
    meters: Vec<Arc<Meter>>,
    teams: Vec<JoinHandle<()>>,
    started_at: time::Instant,
}

impl Load {
    /// Starts sending.
    pub fn start(config: &Config) -> Load {
        let config = Arc::new(config.clone());
        let started_at = time::Instant::now();
        let meters: Vec<_> = config.teams.iter().map(|_| Arc::new(Meter::default())).collect();
        let teams = (0..config.teams.len()).map(|index| {
            let caller = Arc::new(Caller {
                client: Client::new(),
                config: Arc::clone(&config),
                meter: Arc::clone(&meters[index]),
                authorization: format!("Bearer {}", config.teams[index].key),
            });
            let source = RequestSource::new(&config, index);
            tokio::spawn(run_team(caller, source, index, started_at))
        });
        let teams = teams.collect();
        Load { config, meters, teams, started_at }
    }

    /// Meters, in the order of the teams.
    pub fn meters(&self) -> &[Arc<Meter>] {
        &self.meters
    }

    /// Waits for the remaining responses and returns the report.
    pub async fn finish(self) -> Report {
        for team in self.teams {
            // A panic of a team's task shows in the report as requests without a response.
            let _ = team.await;
        }
        Report::new(&self.config, self.meters, self.started_at.elapsed())
    }
}

#[derive(Debug)]
struct Caller {
    client: Client,
    config: Arc<Config>,
    meter: Arc<Meter>,
    authorization: String,
}

async fn run_team(
    caller: Arc<Caller>,
    source: RequestSource,
    index: usize,
    started_at: time::Instant,
) {
    let end_at = started_at + caller.config.duration;
    let deadline = end_at + caller.config.drain_timeout;
    let mut requests = JoinSet::new();
    let share = caller.config.teams[index].load_share;
    match caller.config.arrivals {
        Arrivals::Open { requests_per_s } => {
            let shares: f64 = caller.config.teams.iter().map(|team| team.load_share).sum();
            let rate = requests_per_s * share / shares;
            send_open(&caller, source, rate, end_at, &mut requests).await;
        }
        Arrivals::Closed { concurrency } => {
            let concurrency = (concurrency as f64 * share).round().max(1.0) as usize;
            send_closed(&caller, source, concurrency, end_at, &mut requests).await;
        }
    }
    time::sleep_until(end_at).await;
    caller.meter.end_sending();
    while let Ok(Some(_)) = time::timeout_at(deadline, requests.join_next()).await {}
    for _ in 0..requests.len() {
        caller.meter.record_unanswered();
    }
}

async fn send_open(
    caller: &Arc<Caller>,
    mut source: RequestSource,
    rate: f64,
    end_at: time::Instant,
    requests: &mut JoinSet<bool>,
) {
    // Relative to the start of the load and not to now, so that the number of requests depends only
    // on the seed.
    let mut next_at = end_at - caller.config.duration;
    loop {
        next_at += Duration::from_secs_f64(source.interarrival_s(rate));
        if next_at >= end_at {
            return;
        }
        time::sleep_until(next_at).await;
        while requests.try_join_next().is_some() {}
        // Generated even if it is skipped, so that later requests don't depend on skipped ones.
        let request = source.next();
        if requests.len() >= caller.config.max_in_progress_count {
            caller.meter.record_skipped();
            continue;
        }
        let caller = Arc::clone(caller);
        requests.spawn(async move { caller.send(request).await });
    }
}

async fn send_closed(
    caller: &Arc<Caller>,
    mut source: RequestSource,
    concurrency: usize,
    end_at: time::Instant,
    requests: &mut JoinSet<bool>,
) {
    let permits = Arc::new(Semaphore::new(concurrency));
    loop {
        let permit = time::timeout_at(end_at, Arc::clone(&permits).acquire_owned()).await;
        let Ok(Ok(permit)) = permit else { return };
        while requests.try_join_next().is_some() {}
        let request = source.next();
        let caller = Arc::clone(caller);
        requests.spawn(async move {
            let is_complete = caller.send(request).await;
            if !is_complete {
                time::sleep(ERROR_PAUSE).await;
            }
            drop(permit);
            is_complete
        });
    }
}

impl Caller {
    /// Sends a request and returns whether its response is complete.
    async fn send(&self, request: Request) -> bool {
        self.meter.record_sent();
        let price_ratio = request.class.as_ref().map_or(1.0, |class| class.price_ratio);
        let mut headers = vec![("authorization", self.authorization.as_str())];
        if let Some(class) = &request.class {
            headers.push(("gentianhinge-class", &class.name));
        }
        match &request.kind {
            RequestKind::Completion(completion) => {
                let progress = |progress| {
                    let cost = match progress {
                        Progress::Prompt(tokens) => {
                            f64::from(tokens) * self.config.prompt_token_cost
                        }
                        Progress::Tokens(tokens) => f64::from(tokens),
                    };
                    self.meter.add_service(cost, price_ratio);
                };
                let url = &request.router_url;
                match self.client.complete_with(url, &headers, completion, progress).await {
                    Ok(outcome) => {
                        self.meter.record_response(&outcome);
                        outcome.is_complete()
                    }
                    Err(error) => {
                        self.meter.record_failed(error.to_string());
                        false
                    }
                }
            }
            RequestKind::ServiceCall { path, key } => {
                if let Some(key) = key {
                    headers.push(("idempotency-key", key));
                }
                let url = format!("{}{path}", request.router_url);
                self.call_service(&url, &headers).await
            }
        }
    }

    async fn call_service(&self, url: &str, headers: &[(&str, &str)]) -> bool {
        let started_at = time::Instant::now();
        match self.client.call_url(Method::POST, url, headers, "{}").await {
            Ok(response) => {
                let result_code = response.result_code().unwrap_or(0);
                self.meter.record_service_response(
                    response.status,
                    result_code,
                    started_at.elapsed(),
                );
                response.status == 200
            }
            Err(error) => {
                self.meter.record_failed(error.to_string());
                false
            }
        }
    }
}
