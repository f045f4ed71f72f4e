//! Settings turned into the types that the router works with.

use std::net;
use std::sync;
use std::time::Duration;

use gentianhinge_core::ids::Name;
use gentianhinge_core::{dispatch, table};
use gentianhinge_wire::settings;

/// A model or a plain service, with its targets.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name of the model or service.
    pub name: Name,
    /// What the pool runs.
    pub kind: PoolKind,
    /// The pool's targets.
    pub targets: Vec<Target>,
}

/// What a pool's targets run.
#[derive(Clone, Debug)]
pub enum PoolKind {
    /// Requests of the model API.
    Model {
        /// Service charged for one prompt token.
        prompt_token_cost: f64,
        /// Service charged for one generated token.
        output_token_cost: f64,
    },
    /// Calls of a plain service.
    Service {
        /// Service charged for one call.
        call_cost: f64,
        /// Longest time for one call.
        timeout: Duration,
        /// Which calls are idempotent.
        routes: Vec<settings::Route>,
    },
}

/// A target and where it listens.
#[derive(Clone, Debug)]
pub struct Target {
    /// What dispatch needs to know.
    pub spec: dispatch::TargetSpec,
    /// Address of the target.
    pub addr: net::SocketAddr,
}

/// Parses and checks a settings text.
///
/// # Errors
///
/// Every mistake of the text with its line and key.
pub fn load(text: &str) -> Result<settings::Settings, Vec<settings::Mistake>> {
    settings::parse(text)
}

/// The pools that the settings describe.
///
/// # Errors
///
/// The text of the first address that isn't an IP address and port.
pub fn pools(settings: &settings::Settings) -> Result<Vec<Pool>, String> {
    let models = settings.models.iter().map(|model| {
        let kind = PoolKind::Model {
            prompt_token_cost: model.prompt_token_cost,
            output_token_cost: model.output_token_cost,
        };
        pool(&model.name, kind, &model.targets)
    });
    let services = settings.services.iter().map(|service| {
        let kind = PoolKind::Service {
            call_cost: service.call_cost,
            timeout: Duration::from_millis(service.timeout_ms),
            routes: service.routes.clone(),
        };
        pool(&service.name, kind, &service.targets)
    });
    models.chain(services).collect()
}

fn pool(name: &str, kind: PoolKind, targets: &[settings::Target]) -> Result<Pool, String> {
    let targets = targets.iter().map(target).collect::<Result<_, _>>()?;
    Ok(Pool { name: name.into(), kind, targets })
}

fn target(target: &settings::Target) -> Result<Target, String> {
    let spec = dispatch::TargetSpec {
        name: target.name.as_str().into(),
        zone: target.zone.as_str().into(),
        max_slots: target.max_slots,
        lookahead_slots: target.lookahead_slots,
    };
    let addr = target.addr.parse().map_err(|_| target.addr.clone())?;
    Ok(Target { spec, addr })
}

/// The table that is in force until the log holds another.
///
/// # Errors
///
/// The text of the first key hash that isn't hexadecimal.
pub fn table(settings: &settings::TableSettings) -> Result<sync::Arc<table::Table>, String> {
    let teams = settings.teams.iter().map(|row| team(row).map(|team| (team.name.clone(), team)));
    let classes = settings.classes.iter().map(|line| {
        let class = table::Class {
            name: line.name.as_str().into(),
            price_ratio: line.price_ratio,
            max_wait: Duration::from_millis(line.max_wait_ms),
        };
        (class.name.clone(), class)
    });
    let operator_keys = settings.operator_key_hashes.iter().map(|text| key_hash(text));
    Ok(sync::Arc::new(table::Table {
        teams: teams.collect::<Result<_, _>>()?,
        classes: classes.collect(),
        operator_key_hashes: operator_keys.collect::<Result<_, _>>()?,
    }))
}

fn team(row: &settings::Team) -> Result<table::Team, String> {
    Ok(table::Team {
        name: row.name.as_str().into(),
        weight: row.weight,
        key_hashes: row.key_hashes.iter().map(|text| key_hash(text)).collect::<Result<_, _>>()?,
        classes: row.classes.iter().map(|class| class.as_str().into()).collect(),
        limits: table::Limits {
            max_concurrent_requests: limit(row.max_concurrent_requests),
            max_tokens_per_s: limit(row.max_tokens_per_s),
            max_waiting_requests: row.max_waiting_requests,
            max_waiting_bytes: row.max_waiting_bytes,
        },
    })
}

/// Settings write "no limit" as 0.
fn limit(value: u32) -> Option<u32> {
    (value > 0).then_some(value)
}

fn key_hash(text: &str) -> Result<table::KeyHash, String> {
    blake3::Hash::from_hex(text).map(table::KeyHash::from).map_err(|_| text.to_string())
}
