//! Settings turned into the types that the router works with.

use std::net;
use std::time::Duration;

use gentianhinge_core::dispatch;
use gentianhinge_core::ids::Name;
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
