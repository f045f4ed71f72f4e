//! Demonstration: a deployment in one process with callers whose demand exceeds its capacity.

use std::fmt::Write;
use std::io;
use std::time::Duration;

use gentianhinge_wire::settings::Settings;
use tokio::time;

use crate::engine::Stats;
use crate::fleet::{self, Fleet, StartError};
use crate::load::{self, Arrivals, Class, FairnessGap, Load, Range, Report, ServiceCalls, Team};

/// Prefix of the API keys in the example settings. The team's name follows.
pub const KEY_PREFIX: &str = "demo-key-";

/// Settings of the deployment.
const SETTINGS: &str = include_str!("../../examples/quebec.jsonc");
/// Slots of each model target; fewer than in the example settings, so that one process can run all.
const SLOTS_PER_TARGET: u32 = 4;
/// Concurrent requests of a team of weight 1 and price 1; more than its share of the slots.
const CONCURRENCY: usize = 10;
/// Load of the first team relative to its weight, as a multiple of the other teams'.
const OVERLOAD_RATIO: f64 = 3.0;
/// Sampling interval of the service that the teams have received.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of samples between progress lines.
const SAMPLES_PER_LINE: u32 = 10;

/// Configuration of a demonstration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Number of routers. Default: 3.
    pub router_count: usize,
    /// Time during which requests are sent. Default: 16 s.
    pub duration: Duration,
    /// Time until the measurement begins. Default: 4 s.
    pub warm_up: Duration,
    /// Random seed of the load. Default: 1.
    pub seed: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            router_count: 3,
            duration: Duration::from_secs(16),
            warm_up: Duration::from_secs(4),
            seed: 1,
        }
    }
}

/// Results of a demonstration.
#[derive(Debug)]
pub struct Summary {
    /// Counts and latencies of each team.
    pub report: Report,
    /// Fairness gap: the largest change of the difference between two teams' charged service ÷
    /// weight.
    pub fairness_gap_cost: f64,
    /// Cost of the largest request that can be sent.
    pub max_request_cost: f64,
    /// Ratio of the slot time of the model targets that was in use.
    pub utilisation_ratio: f64,
    /// Calls of plain services that had an effect.
    pub effect_count: u64,
    /// Idempotency keys with more than one effect.
    pub repeated_effect_count: usize,
    /// Requests that a model target received with an attempt id it had received before.
    pub repeated_attempt_count: u64,
}

/// Runs the demonstration and writes progress to `out`.
///
/// # Errors
///
/// Fails if the fleet doesn't start or `out` can't be written.
pub async fn run(config: &Config, out: &mut dyn io::Write) -> Result<Summary, StartError> {
    let mut fleet_config = fleet::Config::from_text(SETTINGS)?;
    fleet_config.router_count = config.router_count;
    fleet_config.max_slots = Some(SLOTS_PER_TARGET);
    let fleet = Fleet::start(&fleet_config).await?;
    writeln!(
        out,
        "{} routers, {} model targets with {SLOTS_PER_TARGET} slots each, {} service targets, {} teams",
        fleet.routers.len(),
        fleet.engines.len(),
        fleet.services.len(),
        fleet.settings.table.teams.len(),
    )?;
    let load_config = load_config(config, &fleet);
    let load = Load::start(&load_config);
    let measurement = measure(&fleet, &load, config, out).await?;
    writeln!(out, "stopped sending; waiting for the remaining responses")?;
    let report = load.finish().await;
    let summary = summarize(&fleet, report, measurement, &load_config);
    fleet.stop().await;
    Ok(summary)
}

fn load_config(config: &Config, fleet: &Fleet) -> load::Config {
    load::Config {
        router_urls: fleet.router_urls(),
        teams: teams_with_load(&fleet.settings),
        routers_per_team: 2,
        arrivals: Arrivals::Closed { concurrency: CONCURRENCY },
        model: fleet.settings.models[0].name.clone(),
        prompt_bytes: Range { min: 100, max: 4000 },
        response_tokens: Range { min: 20, max: 200 },
        streamed_ratio: 1.0,
        service: Some(ServiceCalls {
            service: fleet.settings.services[0].name.clone(),
            path: "/lanes/search".to_owned(),
            ratio: 0.05,
            has_keys: false,
        }),
        duration: config.duration,
        seed: config.seed,
        ..load::Config::default()
    }
}

/// Teams of the settings. The API key of each is `key_prefix` followed by its name.
pub fn teams(settings: &Settings, key_prefix: &str) -> Vec<Team> {
    let prices = settings
        .table
        .classes
        .iter()
        .map(|class| Class { name: class.name.as_str().into(), price_ratio: class.price_ratio });
    let prices: Vec<_> = prices.collect();
    let teams = settings.table.teams.iter().map(|row| {
        let may_use = |class: &&Class| {
            row.classes.is_empty() || row.classes.iter().any(|name| **name == *class.name)
        };
        Team {
            weight: row.weight,
            classes: prices.iter().filter(may_use).cloned().collect(),
            ..Team::new(row.name.as_str(), format!("{key_prefix}{}", row.name))
        }
    });
    teams.collect()
}

/// Teams that send more than their share; the first one sends [`OVERLOAD_RATIO`] times as much.
///
/// With a cheaper class, a share pays for more service, so more requests are needed to exceed it.
fn teams_with_load(settings: &Settings) -> Vec<Team> {
    let mut teams = teams(settings, KEY_PREFIX);
    for (i, team) in teams.iter_mut().enumerate() {
        let prices = team.classes.iter().map(|class| class.price_ratio);
        let mean_price = prices.sum::<f64>() / team.classes.len().max(1) as f64;
        let overload_ratio = if i == 0 { OVERLOAD_RATIO } else { 1.0 };
        team.load_share = team.weight * overload_ratio / mean_price;
    }
    teams
}

struct Measurement {
    fairness_gap: FairnessGap,
    utilisation_ratio: f64,
}

/// Samples and reports progress until sending ends.
async fn measure(
    fleet: &Fleet,
    load: &Load,
    config: &Config,
    out: &mut dyn io::Write,
) -> Result<Measurement, StartError> {
    let started_at = time::Instant::now();
    let warm_up = config.warm_up;
    let weights: Vec<_> = fleet.settings.table.teams.iter().map(|team| team.weight).collect();
    let mut fairness_gap = FairnessGap::new(weights.len());
    let mut before = None;
    let mut interval = time::interval(SAMPLE_INTERVAL);
    let mut tokens_before = 0;
    for sample in 0_u32.. {
        interval.tick().await;
        if started_at.elapsed() >= config.duration {
            break;
        }
        if started_at.elapsed() >= warm_up {
            before.get_or_insert_with(|| (busy_slot_ms(fleet), time::Instant::now()));
            let costs = load.meters().iter().zip(&weights);
            fairness_gap.sample(
                &costs.map(|(meter, weight)| meter.charged_cost() / weight).collect::<Vec<_>>(),
            );
        }
        if sample % SAMPLES_PER_LINE == 0 && sample > 0 {
            let tokens = token_count(fleet);
            let line = progress_line(fleet, load, started_at.elapsed(), tokens - tokens_before);
            writeln!(out, "{line}")?;
            tokens_before = tokens;
        }
    }
    let (busy_before_ms, since) = before.unwrap_or((0.0, started_at));
    let slots: usize =
        fleet.engines.iter().map(|engine| engine.engine().config().max_running_count).sum();
    let slot_ms = since.elapsed().as_secs_f64() * 1000.0 * slots as f64;
    Ok(Measurement {
        fairness_gap,
        utilisation_ratio: (busy_slot_ms(fleet) - busy_before_ms) / slot_ms,
    })
}

fn stats(fleet: &Fleet) -> impl Iterator<Item = Stats> + '_ {
    fleet.engines.iter().map(|engine| engine.engine().stats())
}

fn busy_slot_ms(fleet: &Fleet) -> f64 {
    stats(fleet).map(|stats| stats.busy_slot_ms).sum()
}

fn token_count(fleet: &Fleet) -> u64 {
    stats(fleet).map(|stats| stats.token_count).sum()
}

fn progress_line(fleet: &Fleet, load: &Load, elapsed: Duration, tokens: u64) -> String {
    let running: usize = fleet.engines.iter().map(|engine| engine.engine().running_count()).sum();
    let totals = load.meters().iter().map(|meter| meter.totals());
    let (sent, complete) = totals.fold((0, 0), |(sent, complete), totals| {
        (sent + totals.request_count, complete + totals.complete_count)
    });
    let seconds = elapsed.as_secs_f64();
    format!(
        "{seconds:4.0} s  {complete:6} complete responses  {tokens:6} tokens/s  {running:4} running streams  \
         {:4} requests in progress",
        sent - complete
    )
}

fn summarize(
    fleet: &Fleet,
    report: Report,
    measurement: Measurement,
    config: &load::Config,
) -> Summary {
    let effects: Vec<_> =
        fleet.services.iter().map(|service| service.service().effects()).collect();
    let mut by_key = std::collections::HashMap::new();
    for (key, count) in effects.iter().flat_map(|effects| &effects.by_key) {
        *by_key.entry(key).or_insert(0) += count;
    }
    let prompt_tokens = f64::from(config.prompt_bytes.max) / 4.0;
    Summary {
        report,
        fairness_gap_cost: measurement.fairness_gap.largest(),
        max_request_cost: f64::from(config.response_tokens.max)
            + prompt_tokens * config.prompt_token_cost,
        utilisation_ratio: measurement.utilisation_ratio,
        effect_count: effects.iter().map(|effects| effects.effect_count).sum(),
        repeated_effect_count: by_key.values().filter(|&&count| count > 1).count(),
        repeated_attempt_count: stats(fleet).map(|stats| stats.repeated_attempt_count).sum(),
    }
}

impl Summary {
    /// Whether every request got a response, none was incomplete or mismatched, and nothing ran
    /// twice.
    pub fn is_clean(&self) -> bool {
        let totals = self.report.totals();
        totals.broken_count == 0
            && totals.unanswered_count == 0
            && self.repeated_attempt_count == 0
            && self.repeated_effect_count == 0
    }

    /// The per-team table and the measurements, as Markdown.
    pub fn text(&self) -> String {
        let mut out = self.report.table();
        let gap_requests = self.fairness_gap_cost / self.max_request_cost;
        let _ = writeln!(
            out,
            "\nfairness gap: {:.0} (charged service ÷ weight), {gap_requests:.2} of the largest request",
            self.fairness_gap_cost
        );
        let _ = writeln!(out, "utilisation of the model targets: {:.3}", self.utilisation_ratio);
        let _ = writeln!(
            out,
            "service calls with an effect: {}; idempotency keys with more than one: {}",
            self.effect_count, self.repeated_effect_count
        );
        let verdict = if self.is_clean() { "yes" } else { "no" };
        let _ = writeln!(
            out,
            "all responses complete and matched to their requests, no request run twice: {verdict}"
        );
        out
    }
}
