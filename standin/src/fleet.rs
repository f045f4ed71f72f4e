//! A complete deployment in one process: platform services, targets and routers.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use gentianhinge_wire::settings::{self, Settings, Target};
use gentianhinged::server;
use http::Method;
use quick_error::quick_error;
use tokio::time;

use crate::client::Client;
use crate::{engine, hosts, log, service};

/// Timeout for all routers to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval of readiness checks of a router.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 20;

quick_error! {
    /// Why a fleet can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// The settings are invalid.
        Settings(mistakes: Vec<settings::Mistake>) {
            display("invalid settings: {}", mistakes.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))
        }
        /// An address can't be bound, or another I/O operation failed.
        Bind(error: io::Error) {
            from()
            display("{error}")
        }
        /// A router can't start.
        Router(error: server::StartError) {
            from()
            display("{error}")
        }
        /// A router didn't become ready within the timeout.
        NotReady(addr: SocketAddr) {
            display("router with operators address {addr} didn't become ready in time")
        }
    }
}

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// Settings of the routers. Their addresses and those of the targets are replaced.
    pub settings: Settings,
    /// Number of routers. Default: 3.
    pub router_count: usize,
    /// Template of the engines. Default: 10 ms per token.
    pub engine: engine::Config,
    /// Template of the services.
    pub service: service::Config,
    /// Slots of each model target; overrides the settings.
    pub max_slots: Option<u32>,
}

impl Config {
    /// Configures a fleet with the models, services and teams of a settings text.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn from_text(text: &str) -> Result<Config, StartError> {
        Ok(Config {
            settings: settings::parse(text).map_err(StartError::Settings)?,
            router_count: 3,
            engine: engine::Config { token_ms: 10.0, ..engine::Config::default() },
            service: service::Config::default(),
            max_slots: None,
        })
    }
}

/// A running fleet.
pub struct Fleet {
    /// Engines of the model targets, in the order of the settings.
    pub engines: Vec<engine::Handle>,
    /// Servers of the plain services, in the order of the settings; one for each distinct address.
    pub services: Vec<service::Handle>,
    /// The log service.
    pub log: log::Handle,
    /// The host list.
    pub hosts: hosts::Handle,
    /// Routers, named `r1` and so on.
    pub routers: Vec<server::Server>,
    /// Settings of the first router, with the actual addresses of the targets.
    pub settings: Settings,
}

impl Fleet {
    /// Starts a fleet and waits until its routers are ready.
    ///
    /// # Errors
    ///
    /// Fails if a server can't start or a router isn't ready within the timeout.
    pub async fn start(config: &Config) -> Result<Fleet, StartError> {
        let mut settings = config.settings.clone();
        let log = log::spawn(log::Config::default()).await?;
        let hosts = hosts::spawn(hosts::Config::default()).await?;
        settings.platform.log_url = Some(format!("http://{}", log.addr()));
        settings.platform.hosts_url = Some(format!("http://{}/hosts", hosts.addr()));
        let engines = start_engines(&mut settings, config).await?;
        let services = start_services(&mut settings, config).await?;
        let region = settings.router.region.clone();
        let targets = settings.models.iter().flat_map(|model| &model.targets);
        for target in targets.chain(settings.services.iter().flat_map(|service| &service.targets)) {
            let zone = &target.zone;
            hosts.hosts().put(host(&target.name, &target.addr, &region, zone, hosts::Kind::Target));
        }
        let routers = router_settings(&settings, config.router_count)?;
        for router in &routers {
            let (name, addr) = (&router.router.name, &router.listen.peers_addr);
            let zone = &router.router.zone;
            hosts.hosts().put(host(name, addr, &region, zone, hosts::Kind::Router));
        }
        settings = routers[0].clone();
        let routers = routers.into_iter().map(server::start).collect::<Result<Vec<_>, _>>()?;
        let fleet = Fleet { engines, services, log, hosts, routers, settings };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Base URLs of the routers' caller listeners.
    pub fn router_urls(&self) -> Vec<String> {
        self.routers.iter().map(|router| format!("http://{}", router.callers_addr())).collect()
    }

    async fn wait_until_ready(&self) -> Result<(), StartError> {
        let deadline = time::Instant::now() + READY_TIMEOUT;
        let client = Client::new();
        for router in &self.routers {
            let addr = router.operators_addr();
            loop {
                let ready = client.call(Method::GET, addr, "/readyz", &[], "").await;
                if ready.is_ok_and(|response| response.status == 200) {
                    break;
                }
                if time::Instant::now() >= deadline {
                    return Err(StartError::NotReady(addr));
                }
                time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Shuts the routers down gracefully and waits until they have stopped.
    pub async fn stop(self) {
        for router in &self.routers {
            router.stop();
        }
        let routers = self.routers;
        let ended = tokio::task::spawn_blocking(move || {
            for router in routers {
                router.join();
            }
        });
        // A router that panicked has stopped as well.
        let _ = ended.await;
    }
}

async fn start_engines(
    settings: &mut Settings,
    config: &Config,
) -> Result<Vec<engine::Handle>, StartError> {
    let mut engines = Vec::new();
    for model in &mut settings.models {
        for target in &mut model.targets {
            target.max_slots = config.max_slots.unwrap_or(target.max_slots);
            let engine = engine::Config {
                model: model.name.clone(),
                max_running_count: target.max_slots as usize,
                ..config.engine.clone()
            };
            let handle = engine::spawn(engine).await?;
            target.addr = handle.addr().to_string();
            engines.push(handle);
        }
    }
    Ok(engines)
}

/// Starts one server for each distinct address, since targets of several services may share one.
async fn start_services(
    settings: &mut Settings,
    config: &Config,
) -> Result<Vec<service::Handle>, StartError> {
    let mut services = Vec::new();
    let mut addrs: HashMap<String, String> = HashMap::new();
    let targets = settings.services.iter_mut().flat_map(|service| &mut service.targets);
    for target in targets {
        if let Some(addr) = addrs.get(&target.addr) {
            target.addr.clone_from(addr);
            continue;
        }
        let handle = service::spawn(service_config(target, config)).await?;
        let addr = handle.addr().to_string();
        addrs.insert(std::mem::replace(&mut target.addr, addr.clone()), addr);
        services.push(handle);
    }
    Ok(services)
}

fn service_config(target: &Target, config: &Config) -> service::Config {
    service::Config { max_running_count: target.max_slots as usize, ..config.service.clone() }
}

/// Settings of each router. Zones are assigned round-robin.
fn router_settings(template: &Settings, count: usize) -> io::Result<Vec<Settings>> {
    let mut zones: Vec<String> = Vec::new();
    for target in template.models.iter().flat_map(|model| &model.targets) {
        if !zones.contains(&target.zone) {
            zones.push(target.zone.clone());
        }
    }
    if zones.is_empty() {
        zones.push(template.router.zone.clone());
    }
    let peers = (0..count).map(|_| free_addr()).collect::<io::Result<Vec<_>>>()?;
    let peers: Vec<_> = peers.iter().map(ToString::to_string).collect();
    let ephemeral = SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).to_string();
    let routers = peers.iter().enumerate().map(|(i, peers_addr)| {
        let mut settings = template.clone();
        settings.router.name = format!("r{}", i + 1);
        settings.router.zone.clone_from(&zones[i % zones.len()]);
        settings.listen.callers_addr.clone_from(&ephemeral);
        settings.listen.operators_addr.clone_from(&ephemeral);
        settings.listen.peers_addr.clone_from(peers_addr);
        settings.peers.seed_addrs.clone_from(&peers);
        settings
    });
    Ok(routers.collect())
}

/// Finds an address of 127.0.0.1 whose port is free for TCP and UDP. Another process may still bind
/// it before the router does.
fn free_addr() -> io::Result<SocketAddr> {
    let mut last_error = io::Error::other("no port is free for both TCP and UDP");
    for _ in 0..MAX_PORT_ATTEMPTS {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let addr = listener.local_addr()?;
        match UdpSocket::bind(addr) {
            Ok(_) => return Ok(addr),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn host(name: &str, addr: &str, region: &str, zone: &str, kind: hosts::Kind) -> hosts::Host {
    hosts::Host {
        name: name.to_owned(),
        addr: addr.to_owned(),
        region: region.to_owned(),
        zone: zone.to_owned(),
        kind,
        state: hosts::HostState::Live,
    }
}
