//! Startup and shutdown of one router.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time::Duration;

use gentianhinge_core::ids::{Name, RouterId};
use gentianhinge_core::{cell, table};
use gentianhinge_wire::{record, settings};
use quick_error::quick_error;
use tokio::runtime;
use tokio::sync as tokio_sync;
use tokio::time;

use crate::{
    admin, config, control, directory, listener, platform, request_history, telemetry, traffic,
};

/// Time between the failing readiness check and the close of the listener, in which the load
/// balancer stops sending requests.
const READINESS_NOTICE: Duration = Duration::from_millis(1000);

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: u32 = 8;
/// Minimum interval between two appends of claims to one shard.
const CLAIM_APPEND_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that a shutdown waits for the outcomes of claimed calls to be recorded.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

quick_error! {
    /// Why a router can't start.
    #[derive(Debug)]
    pub enum StartError {
        /// A listener can't be bound to its address.
        Listen(addr: String, err: std::io::Error) {
            display("failed to listen on {addr}: {err}")
            source(err)
        }
        /// A value of the settings is invalid.
        Settings(message: String) {
            display("settings: {message}")
        }
        /// A runtime or thread can't be started.
        Runtime(err: std::io::Error) {
            display("failed to start a runtime or thread: {err}")
            source(err)
        }
    }
}

/// Lifecycle phase of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not ready for requests yet: the table or the fleet isn't known.
    Starting,
    /// Accepts requests.
    Serving,
    /// Finishes open requests and accepts no new ones.
    Draining,
}

/// State shared by the traffic threads and the HTTP endpoints of one router.
pub struct Shared {
    /// Name and incarnation of the router.
    pub id: RouterId,
    /// Metrics recorder of the router.
    pub telemetry: sync::Arc<telemetry::Telemetry>,
    /// Outcomes of recent requests.
    pub request_history: sync::Arc<request_history::RequestHistory>,
    /// Sends commands to the control thread.
    pub control: control::Handle,
    /// Latest snapshot of the table.
    pub directory: tokio_sync::watch::Receiver<sync::Arc<directory::Directory>>,
    phase: atomic::AtomicU8,
}

impl Shared {
    /// Current lifecycle phase.
    pub fn phase(&self) -> Phase {
        match self.phase.load(atomic::Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Serving,
            _ => Phase::Draining,
        }
    }

    /// Changes the phase from `Starting` to `Serving`; does nothing in any other phase.
    fn set_ready(&self) {
        let (starting, serving) = (Phase::Starting as u8, Phase::Serving as u8);
        let order = atomic::Ordering::AcqRel;
        let result =
            self.phase.compare_exchange(starting, serving, order, atomic::Ordering::Acquire);
        if result.is_ok() {
            tracing::info!(router = %self.id, phase = ?Phase::Serving, "phase");
        }
    }

    fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, atomic::Ordering::Release);
        tracing::info!(router = %self.id, ?phase, "phase");
    }
}

/// A running router.
pub struct Server {
    callers_addr: net::SocketAddr,
    operators_addr: net::SocketAddr,
    peers_addr: Option<net::SocketAddr>,
    stop: tokio_sync::watch::Sender<bool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Server {
    /// Address on which callers reach the router.
    pub fn callers_addr(&self) -> net::SocketAddr {
        self.callers_addr
    }

    /// Address on which operators reach the router.
    pub fn operators_addr(&self) -> net::SocketAddr {
        self.operators_addr
    }

    /// Address on which other routers reach this one; `None` for a standalone router.
    pub fn peers_addr(&self) -> Option<net::SocketAddr> {
        self.peers_addr
    }

    /// Starts a graceful shutdown and returns immediately.
    pub fn stop(&self) {
        let _ = self.stop.send(true);
    }

    /// Waits until all threads of the router have ended.
    pub fn join(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts a router on threads of its own.
///
/// # Errors
///
/// A listener can't be bound, a value of the settings is invalid, or a runtime or thread can't be
/// started.
pub fn start(settings: settings::Settings) -> Result<Server, StartError> {
    let pools = config::pools(&settings).map_err(StartError::Settings)?;
    let table = sync::Arc::new(record::table_from_settings(&settings.table));
    let callers = bind(&settings.listen.callers_addr)?;
    let operators = bind(&settings.listen.operators_addr)?;
    let callers_addr = local_addr(&callers)?;
    let operators_addr = local_addr(&operators)?;
    let id = RouterId::new(settings.router.name.as_str(), incarnation());
    let telemetry = sync::Arc::new(telemetry::Telemetry::new());
    let snapshot = sync::Arc::new(directory::Directory::new(&table, &telemetry));
    let (directory_sender, directory) = tokio_sync::watch::channel(snapshot);
    let (handle, commands) = control::Handle::channel();
    let peers = peer_sockets(&settings)?;
    let peers_addr = peers.as_ref().map(|peers| peers.addr);
    // A standalone router joins no fleet, so it is ready before a caller can connect.
    let (ready, fleet_ready) = tokio_sync::watch::channel(peers.is_none());
    let setup = control::Setup {
        id: id.clone(),
        settings: settings.clone(),
        table: table.clone(),
        pools: pools.clone(),
        platform: platform(&settings)?,
        commands,
        peers,
        ready,
    };
    let shared = sync::Arc::new(Shared {
        id,
        telemetry: telemetry.clone(),
        request_history: sync::Arc::default(),
        control: handle,
        directory,
        phase: atomic::AtomicU8::new(Phase::Starting as u8),
    });
    let (stop, stopped) = tokio_sync::watch::channel(false);
    let (control_runtime, traffic_runtime) = runtimes(&settings)?;
    let claims = claims(&settings, shared.id.clone());
    let traffic = traffic::Traffic::new(shared.clone(), &settings, pools, claims.clone());
    let control_thread = spawn("control", move || {
        let serving = control::run(setup);
        let local = tokio::task::LocalSet::new();
        if let Err(err) = telemetry.with_recorder(|| local.block_on(&control_runtime, serving)) {
            tracing::error!(%err, "control thread failed");
        }
    })?;
    let limits = listener::Limits::new(&settings.callers);
    let table_log = table_log(&settings, table, shared.control.clone());
    let api = api_context(&settings, &table_log, shared.control.clone());
    let table_updates = follow_table(shared.clone(), table_log, directory_sender, fleet_ready);
    let traffic_thread = spawn("server", move || {
        let routes = admin::routes(shared.clone()).merge(platform::api::routes(api));
        let serving = serve(shared, traffic, callers, (operators, routes), limits, stopped);
        traffic_runtime.block_on(run_with_log(serving, table_updates, claims));
    })?;
    let threads = vec![traffic_thread, control_thread];
    Ok(Server { callers_addr, operators_addr, peers_addr, stop, threads })
}

fn platform(settings: &settings::Settings) -> Result<control::targets::Platform, StartError> {
    let platform = &settings.platform;
    let hosts_url = platform.hosts_url.as_deref().map(str::parse).transpose();
    let hosts_url =
        hosts_url.map_err(|err| StartError::Settings(format!("platform.hosts_url: {err}")))?;
    Ok(control::targets::Platform {
        hosts_url,
        hosts_interval: Duration::from_millis(platform.hosts_interval_ms),
        load_interval: Duration::from_millis(platform.load_interval_ms),
        timeout: Duration::from_millis(platform.timeout_ms),
    })
}

async fn serve(
    shared: sync::Arc<Shared>,
    traffic: traffic::Traffic,
    callers: net::TcpListener,
    (operators, routes): (net::TcpListener, axum::Router),
    limits: listener::Limits,
    mut stopped: tokio_sync::watch::Receiver<bool>,
) {
    let app = traffic::routes(traffic);
    let (closed, all_closed) = tokio_sync::oneshot::channel::<()>();
    let admin = tokio::spawn(listener::serve(operators, routes, limits.clone(), async {
        let _ = all_closed.await;
    }));
    let upkeep = tokio::spawn(run_upkeep(shared.clone()));
    let draining = shared.clone();
    let stop = async move {
        let _ = stopped.wait_for(|stop| *stop).await;
        draining.set_phase(Phase::Draining);
        draining.control.send(control::Command::Drain);
        time::sleep(READINESS_NOTICE).await;
    };
    if let Err(err) = listener::serve(callers, app, limits, stop).await {
        tracing::error!(%err, "callers' listener failed");
    }
    upkeep.abort();
    drop(closed);
    let _ = admin.await;
}

/// Creates the table, which follows the log if the settings name one.
fn table_log(
    settings: &settings::Settings,
    settings_table: sync::Arc<table::Table>,
    control: control::Handle,
) -> platform::table::TableLog {
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let url = settings.platform.log_url.as_deref();
    let local_name = Name::from(settings.router.name.as_str());
    platform::table::TableLog::new(platform::table::Options {
        log: url.map(|url| platform::log::Log::new(url, timeout)),
        settings_table,
        retention: Duration::from_millis(settings.platform.log_retention_ms),
        is_snapshot_writer: Box::new(move || {
            Box::pin(is_table_writer(control.clone(), local_name.clone()))
        }),
    })
}

/// Creates the runtimes of the control thread and of the traffic threads.
fn runtimes(
    settings: &settings::Settings,
) -> Result<(runtime::Runtime, runtime::Runtime), StartError> {
    let control = runtime::Builder::new_current_thread().enable_all().build();
    let traffic = runtime::Builder::new_multi_thread()
        .worker_threads(usize::from(settings.traffic_threads))
        .thread_name("traffic")
        .enable_all()
        .build();
    Ok((control.map_err(StartError::Runtime)?, traffic.map_err(StartError::Runtime)?))
}

/// Whether this router is the one live router that writes snapshots of the table.
async fn is_table_writer(control: control::Handle, local_name: Name) -> bool {
    let (reply, offsets) = tokio_sync::oneshot::channel();
    control.send(control::Command::ListRouters { reply });
    let offsets = offsets.await.unwrap_or_default();
    let names = offsets.iter().map(|offset| &offset.router).chain([&local_name]);
    cell::holder(&cell::Role::TableWriter, names) == Some(&local_name)
}

/// Creates the claims of calls that run at most once, if the settings name a log.
fn claims(settings: &settings::Settings, router: RouterId) -> Option<platform::claims::Claims> {
    let url = settings.platform.log_url.as_deref()?;
    let timeout = Duration::from_millis(settings.platform.timeout_ms);
    let longest_wait_ms = settings.table.classes.iter().map(|class| class.max_wait_ms).max();
    let longest_call_ms = settings.services.iter().map(|service| service.timeout_ms).max();
    let max_call_ms = longest_wait_ms.unwrap_or(0) + longest_call_ms.unwrap_or(0);
    Some(platform::claims::Claims::new(platform::claims::Options {
        log: platform::log::Log::new(url, timeout),
        router,
        retention: Duration::from_millis(settings.platform.log_retention_ms),
        append_interval: CLAIM_APPEND_INTERVAL,
        max_call_duration: Duration::from_millis(max_call_ms),
    }))
}

/// Runs the tasks that read and write the log until `serving` ends.
async fn run_with_log(
    serving: impl Future<Output = ()>,
    table_updates: impl Future<Output = ()> + Send + 'static,
    claims: Option<platform::claims::Claims>,
) {
    let table_updates = tokio::spawn(table_updates);
    let claims_to_run = claims.clone();
    let claims_task = tokio::spawn(async move {
        if let Some(claims) = claims_to_run {
            claims.run().await;
        }
    });
    serving.await;
    if let Some(claims) = claims {
        claims.flush(FLUSH_TIMEOUT).await;
    }
    table_updates.abort();
    claims_task.abort();
}

fn api_context(
    settings: &settings::Settings,
    table: &platform::table::TableLog,
    control: control::Handle,
) -> platform::api::Context {
    platform::api::Context {
        table: table.clone(),
        router: settings.router.name.clone(),
        live_routers: live_routers(settings, control, table.subscribe()),
    }
}

/// Creates the function that lists the live routers; a standalone router lists only itself.
fn live_routers(
    settings: &settings::Settings,
    control: control::Handle,
    view: tokio_sync::watch::Receiver<platform::table::View>,
) -> platform::api::LiveRouters {
    let (router, zone) = (settings.router.name.clone(), settings.router.zone.clone());
    sync::Arc::new(move || {
        let applied_offset = view.borrow().applied_offset;
        let local =
            record::RouterOffset { router: router.clone(), zone: zone.clone(), applied_offset };
        let control = control.clone();
        Box::pin(async move {
            let (reply, offsets) = tokio_sync::oneshot::channel();
            control.send(control::Command::ListRouters { reply });
            let others = offsets.await.unwrap_or_default();
            let others = others.iter().filter(|other| *other.router != *local.router);
            let others = others.map(|other| record::RouterOffset {
                router: other.router.to_string(),
                zone: other.zone.to_string(),
                applied_offset: Some(other.offset).filter(|offset| *offset > 0),
            });
            [local.clone()].into_iter().chain(others).collect()
        })
    })
}

/// Puts each new table into force. The router becomes ready with the first one.
///
/// A standalone router without a log is ready before the first caller can connect.
fn follow_table(
    shared: sync::Arc<Shared>,
    table: platform::table::TableLog,
    directory: tokio_sync::watch::Sender<sync::Arc<directory::Directory>>,
    fleet_ready: tokio_sync::watch::Receiver<bool>,
) -> impl Future<Output = ()> {
    if *fleet_ready.borrow() && table.subscribe().borrow().table.is_some() {
        shared.set_ready();
    }
    apply_tables(shared, table, directory, fleet_ready)
}

async fn apply_tables(
    shared: sync::Arc<Shared>,
    table: platform::table::TableLog,
    directory: tokio_sync::watch::Sender<sync::Arc<directory::Directory>>,
    mut fleet_ready: tokio_sync::watch::Receiver<bool>,
) {
    let mut views = table.subscribe();
    let apply = async {
        let mut current = None;
        loop {
            let view = views.borrow_and_update().clone();
            if let Some(offset) = view.applied_offset {
                shared.control.send(control::Command::SetAppliedOffset(offset));
            }
            let table = view.table;
            if let Some(table) = table.filter(|table| current.as_ref() != Some(table)) {
                let entries = directory::Directory::new(&table, &shared.telemetry);
                directory.send_replace(sync::Arc::new(entries));
                shared.control.send(control::Command::SetTable(table.clone()));
                for (target, _) in table.targets.iter().filter(|(_, policy)| policy.is_leaving) {
                    let target = target.clone();
                    shared.control.send(control::Command::DrainTarget { target });
                }
                current = Some(table);
                let _ = fleet_ready.wait_for(|ready| *ready).await;
                shared.set_ready();
            }
            if views.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::join!(apply, table.run());
}

async fn run_upkeep(shared: sync::Arc<Shared>) {
    let mut interval = time::interval(telemetry::UPKEEP_INTERVAL);
    loop {
        interval.tick().await;
        shared.telemetry.run_upkeep();
    }
}

fn spawn(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>, StartError> {
    thread::Builder::new().name(name.to_string()).spawn(body).map_err(StartError::Runtime)
}

fn bind(addr: &str) -> Result<net::TcpListener, StartError> {
    let parsed = addr.parse::<net::SocketAddr>();
    let parsed = parsed.map_err(|err| StartError::Settings(format!("{addr}: {err}")))?;
    let listener = net::TcpListener::bind(parsed)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener));
    listener.map_err(|err| StartError::Listen(addr.to_string(), err))
}

/// Binds the sockets for other routers; `None` for a router without a secret and seeds, which is
/// standalone.
fn peer_sockets(settings: &settings::Settings) -> Result<Option<control::PeerSockets>, StartError> {
    let peers = &settings.peers;
    if peers.secret.is_empty() && peers.seed_addrs.is_empty() {
        return Ok(None);
    }
    if peers.secret.is_empty() {
        let message = "peers.secret is required if peers.seed_addrs is set".to_string();
        return Err(StartError::Settings(message));
    }
    let seeds = peers.seed_addrs.iter().map(|addr| {
        addr.parse().map_err(|err| StartError::Settings(format!("peers.seed_addrs: {addr}: {err}")))
    });
    let seeds = seeds.collect::<Result<_, _>>()?;
    let mut attempt_count = 0;
    loop {
        let listener = bind(&settings.listen.peers_addr)?;
        let addr = local_addr(&listener)?;
        attempt_count += 1;
        match net::UdpSocket::bind(addr) {
            Ok(socket) => return Ok(Some(control::PeerSockets { listener, socket, addr, seeds })),
            // The port that the system chose for TCP may be in use for UDP.
            Err(_) if attempt_count < MAX_PORT_ATTEMPTS => {}
            Err(err) => return Err(StartError::Listen(addr.to_string(), err)),
        }
    }
}

fn local_addr(listener: &net::TcpListener) -> Result<net::SocketAddr, StartError> {
    listener.local_addr().map_err(|err| StartError::Listen("listener".to_string(), err))
}

/// Returns the incarnation of this process, which is higher than that of an earlier process.
///
/// Hosts keep no state across restarts, so it is derived from the wall clock in milliseconds. The
/// low 12 bits are random, so that two incarnations within one millisecond differ.
fn incarnation() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let now_ms = since_epoch.map_or(0, |time| time.as_millis() as u64);
    (now_ms << 12) | (rand::random::<u64>() & 0xfff)
}
