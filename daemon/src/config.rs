//! Conversion of the settings into the router's own types.

use std::net;
use std::time::Duration;

use gentianhinge_core::dispatch;
use gentianhinge_core::ids::Name;
use gentianhinge_wire::settings;

/// A model or plain service with its targets.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name of the model or service.
    pub name: Name,
    /// Whether the pool serves a model or a plain service.
    pub kind: PoolKind,
    /// Targets in the order of the settings.
    pub targets: Vec<Target>,
}

/// Kind of a pool, with its costs and limits.
#[derive(Clone, Debug)]
pub enum PoolKind {
    /// Requests of the model API.
    Model {
        /// Cost charged to the team for one prompt token.
        prompt_token_cost: f64,
        /// Cost charged to the team for one generated token.
        output_token_cost: f64,
    },
    /// Calls of a plain service.
    Service {
        /// Cost charged to the team for one call.
        call_cost: f64,
        /// Timeout of one call.
        timeout: Duration,
        /// Path prefixes and methods, and whether each may be repeated.
        routes: Vec<settings::Route>,
    },
}

/// A target and its address.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name, zone and slots, as the dispatcher uses them.
    pub spec: dispatch::TargetSpec,
    /// Address on which the target accepts calls.
    pub addr: net::SocketAddr,
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns every mistake in the text, with its line and key.
pub fn load(text: &str) -> Result<settings::Settings, Vec<settings::Mistake>> {
    settings::parse(text)
}

/// Converts the models and services of the settings into pools.
///
/// # Errors
///
/// Returns the first address that isn't an IP address and port.
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
