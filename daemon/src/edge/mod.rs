//! The router on the users' platform: one process on each entry host, without local storage.
//!
//! # Threads
//!
//! The control thread reads the store, exchanges load reports with other routers and serves
//! operators. The traffic thread carries callers' requests. They share the [`state`], whose lock is
//! held for one decision and never across an await.
//!
//! # Modules, bottom up
//!
//! - [`decisions`] writes the log.
//! - [`spec`] describes a request to the decisions, [`statements`] what targets say of themselves;
//!   [`service_times`] learns how long services take.
//! - [`state`] holds the router's view of the fleet; [`store_sync`] and [`load_reports`] update it.
//!   [`evacuations`] applies and shows evacuations of availability zones.
//!   [`topic_reader`] reads the store's topics, or hears through [`polls`] what another router reads.
//! - [`queue`] decides which waiting request is sent next.
//! - [`buffers`] limits the memory for messages; [`request_body`] reads what callers send.
//! - [`upstream`] sends a request to a target; [`response_limits`] bounds the response.
//! - [`traffic`] holds what all requests of the traffic thread share.
//! - [`attempt`], [`buffered`], [`events`], [`event_reader`] and [`relay`] read responses and pass them on; [`crash`]
//!   notices targets that end while they run a request.
//! - [`active`] tries targets until one answers a request.
//! - [`handle`] processes a request from arrival to response.
//! - [`request_record`] logs the outcome of a request, [`team_counts`] the totals of each team.
//! - [`connections`] tracks callers' connections, so that a shutdown answers what was read.
//! - [`serve`] accepts callers' connections.
//! - [`lag`] detects an overloaded traffic thread, [`freshness`] logs what delays the view of the store.

use std::fs;
use std::future;
use std::io;
use std::net;
use std::path;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, atomic};
use std::thread;
use std::time::{Duration, SystemTime};

use gentianhinge_core::ids::Name;
use gentianhinge_core::{report, target_limit};
use gentianhinge_platform::store::Store;
use gentianhinge_platform::{names, peers};
use gentianhinge_wire::{edge, settings};
use quick_error::quick_error;
use serde_json::json;
use tokio::runtime;
use tokio::signal::unix;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time;

pub mod active;
pub mod attempt;
pub mod buffered;
pub mod buffers;
pub mod connection_errors;
pub mod connections;
pub mod crash;
pub mod decisions;
pub mod evacuations;
pub mod event_reader;
pub mod events;
pub mod freshness;
pub mod handle;
pub mod idle;
pub mod lag;
pub mod linger;
pub mod load_reports;
pub mod operators;
pub mod panics;
pub mod peer_watch;
pub mod polls;
pub mod queue;
pub mod relay;
pub mod reply;
pub mod request_body;
pub mod request_record;
pub mod response_limits;
pub mod retry_counts;
pub mod serve;
pub mod service_times;
pub mod settings_file;
pub mod spec;
pub mod state;
pub mod statements;
pub mod store_sync;
pub mod team_counts;
pub mod topic_reader;
pub mod traffic;
pub mod upstream;

/// Interval at which the settings file is checked for changes without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the grace period that a shutdown leaves unused, so that the process exits before it is
/// killed.
const GRACE_RESERVE: Duration = Duration::from_millis(400);

/// Part of [`GRACE_RESERVE`] in which the traffic thread has to end; the rest is for the log.
const TRAFFIC_END_TIME: Duration = Duration::from_millis(200);

/// Part of the grace period left for writing responses, when requests in progress are answered with
/// what is known of them: several times the lag of an overloaded traffic thread.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(400);

quick_error! {
    /// Error that prevents the router from starting.
    #[derive(Debug)]
    pub enum EdgeError {
        /// The settings file can't be read.
        Unreadable(path: path::PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The settings file is invalid.
        Settings(path: path::PathBuf, mistakes: Vec<settings::Mistake>) {
            display("{}", format_mistakes(path, mistakes))
        }
        /// Listening on an address failed.
        Listen(addr: net::SocketAddr, err: io::Error) {
            display("can't listen on {addr}: {err}")
            source(err)
        }
        /// A thread or runtime failed to start.
        Runtime(err: io::Error) {
            display("can't start a thread or runtime: {err}")
            source(err)
            from()
        }
    }
}

fn format_mistakes(path: &path::Path, mistakes: &[settings::Mistake]) -> String {
    let lines = mistakes.iter().map(|mistake| format!("{}: {mistake}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// Phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Ready for requests.
    Serving,
    /// Reports not ready, and still accepts requests.
    Leaving,
    /// Accepts the connections that wait, and closes each once its requests are answered.
    Closing,
}

/// State shared by all parts of the process.
#[derive(Debug)]
pub struct Context {
    /// Name of the router.
    pub name: gentianhinge_core::ids::Name,
    /// Availability zone of the host.
    pub zone: gentianhinge_core::ids::Name,
    /// Start of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Whether the platform says that no router has run before.
    pub is_first_start: bool,
    /// The router's view of the fleet.
    pub state: Mutex<state::RouterState>,
    /// Log of decisions.
    pub log: decisions::Log,
    /// Metrics of the process.
    pub metrics: operators::Metrics,
    /// Totals of each team since the last log line.
    pub team_counts: team_counts::TeamCounts,
    /// Retries since the last log line.
    pub retry_counts: retry_counts::RetryCounts,
    /// When other routers last relayed their polls.
    pub relay_times: freshness::RelayTimes,
    /// Phase of the process.
    pub phase: watch::Sender<Phase>,
    /// When the process must have answered all requests; set by a shutdown before it closes.
    pub grace_ends_at: OnceLock<time::Instant>,
    /// Number of requests in progress.
    pub open_requests: atomic::AtomicUsize,
    /// Whether the traffic thread is overloaded.
    pub is_overloaded: atomic::AtomicBool,
    /// Mean timer lag of the traffic thread, in ms.
    pub lag_ms: atomic::AtomicU64,
    /// Notified when other routers have to be told at once: of a target that has ended as it began
    /// to answer, or of a target's limit.
    pub alert: Notify,
}

impl Context {
    /// Locks the state for one decision.
    pub fn state(&self) -> MutexGuard<'_, state::RouterState> {
        // A panic while deciding leaves counts off by one request at most.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Version of the configuration in force; `None` before one has been read.
    pub fn config_version(&self) -> Option<u64> {
        self.state().table.as_ref().map(|table| table.version)
    }

    /// Phase of the process.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until a shutdown leaves only the time to write responses.
    pub async fn last_answers(&self) {
        // Fails only without a sender, which this context has.
        let _ = self.phase.subscribe().wait_for(|phase| *phase == Phase::Closing).await;
        match self.grace_ends_at.get() {
            Some(ends_at) => {
                let answers_at = ends_at.checked_sub(LAST_ANSWER_TIME);
                time::sleep_until(answers_at.unwrap_or(*ends_at)).await;
            }
            None => future::pending().await,
        }
    }

    /// Whether the balancer should send new callers here. An overloaded router reports that it
    /// isn't ready, so that routers with free processor time take them.
    pub fn is_ready(&self) -> bool {
        let is_overloaded = self.is_overloaded.load(atomic::Ordering::Relaxed);
        self.phase() == Phase::Serving && !is_overloaded && self.state().can_serve()
    }
}

/// Reads the settings file.
///
/// # Errors
///
/// Returns [`EdgeError::Unreadable`] or [`EdgeError::Settings`].
pub fn read_settings(path: &path::Path) -> Result<edge::EdgeSettings, EdgeError> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|err| EdgeError::Unreadable(path.to_path_buf(), err))?;
    edge::parse(&text).map_err(|mistakes| EdgeError::Settings(path.to_path_buf(), mistakes))
}

/// Path of the settings file from the platform's environment variable.
pub fn settings_path() -> Option<path::PathBuf> {
    std::env::var_os(names::SETTINGS_VARIABLE).map(path::PathBuf::from)
}

/// Runs the router until it receives `SIGTERM` or `SIGINT`.
///
/// # Errors
///
/// The settings are invalid, or listening on one of its addresses failed.
pub fn run(path: &path::Path) -> Result<(), EdgeError> {
    let control = runtime::Builder::new_current_thread().enable_all().build()?;
    // The signal handlers are installed first: before that, a signal would end the process without
    // a log line.
    let signals = Signals::new(&control)?;
    let settings = read_settings(path)?;
    let addrs = Addrs::new(&settings.listen);
    let callers = listen(addrs.callers)?;
    let readiness = listen(addrs.readiness)?;
    let operators = listen(addrs.operators)?;
    let reports =
        net::UdpSocket::bind(addrs.peers).map_err(|e| EdgeError::Listen(addrs.peers, e))?;
    reports.set_nonblocking(true)?;
    let name = Name::from(settings.router.name.as_str());
    let mut state = state::RouterState::new(name.clone(), &settings.bounds, rand::random());
    state.set_placement(&settings.placement);
    state.retries.join(settings.router.is_first_start, time::Instant::now());
    state.versions.set_first_start(settings.router.is_first_start);
    state.heartbeat_interval = edge::duration_ms(settings.store.heartbeat_ms);
    let context = Arc::new(Context {
        name,
        zone: settings.router.zone.as_str().into(),
        incarnation: unix_ms(),
        is_first_start: settings.router.is_first_start,
        state: Mutex::new(state),
        log: decisions::Log::start(settings.router.name.as_str().into(), &settings.log)?,
        metrics: operators::Metrics::new(),
        team_counts: team_counts::TeamCounts::default(),
        retry_counts: retry_counts::RetryCounts::default(),
        relay_times: freshness::RelayTimes::default(),
        phase: watch::Sender::new(Phase::Serving),
        grace_ends_at: OnceLock::new(),
        open_requests: atomic::AtomicUsize::new(0),
        is_overloaded: atomic::AtomicBool::new(false),
        lag_ms: atomic::AtomicU64::new(0),
        alert: Notify::new(),
    });
    panics::log_panics(context.log.clone());
    context.log.state_change(json!({
        "event": "start", "zone": &*context.zone,
        "incarnation": context.incarnation, "callers_addr": addrs.callers.to_string(),
    }));
    let traffic_context = context.clone();
    let bounds = traffic::Bounds {
        max_connections: max_connections(&settings.callers),
        memory_mb: settings.callers.memory_mb,
    };
    let traffic = thread::Builder::new().name("traffic".to_string()).spawn(move || {
        traffic_context
            .metrics
            .recorder()
            .with_recorder(|| serve::run(traffic_context.clone(), callers, readiness, bounds))
    })?;
    control.block_on(async {
        control_thread(&context, path, &settings, signals, operators, reports).await?;
        let grace = edge::duration_s(settings.bounds.grace_s).saturating_sub(GRACE_RESERVE);
        shut_down(&context, grace, &traffic).await;
        Ok::<_, EdgeError>(())
    })?;
    let outcome = match traffic.is_finished().then(|| traffic.join()) {
        Some(Ok(())) => None,
        Some(Err(_)) => Some("the traffic thread panicked"),
        None => Some("the traffic thread didn't end in time"),
    };
    if let Some(outcome) = outcome {
        context.log.state_change(json!({ "event": "stop", "outcome": outcome }));
    }
    context.log.flush();
    Ok(())
}

/// Maximum number of callers' connections: two thirds of the file descriptors beyond a reserve (the
/// rest is for connections to targets), and no more than the memory allows.
fn max_connections(callers: &edge::EdgeCallers) -> usize {
    /// Descriptors reserved for files.
    const RESERVED_FILES: f64 = 200.0;
    /// Part of the memory that callers' connections may use.
    const MEMORY_PART: f64 = 0.4;
    /// Memory of a connection with a request in progress: the peak memory of a flooded router is
    /// 36 KB per open file.
    const CONNECTION_BYTES: f64 = 40e3;
    let by_files = (callers.max_files - RESERVED_FILES) * 2.0 / 3.0;
    let by_memory = callers.memory_mb * 1e6 * MEMORY_PART / CONNECTION_BYTES;
    by_files.min(by_memory).max(1.0) as usize
}

struct Addrs {
    callers: net::SocketAddr,
    readiness: net::SocketAddr,
    operators: net::SocketAddr,
    peers: net::SocketAddr,
}

impl Addrs {
    fn new(listen: &edge::EdgeListen) -> Addrs {
        // Validation of the settings has parsed each address.
        let parse = |text: &str| text.parse().unwrap_or(net::SocketAddr::from(([0, 0, 0, 0], 0)));
        Addrs {
            callers: parse(&listen.callers_addr),
            readiness: parse(&listen.readiness_addr),
            operators: parse(&listen.operators_addr),
            peers: parse(&listen.peers_addr),
        }
    }
}

fn listen(addr: net::SocketAddr) -> Result<net::TcpListener, EdgeError> {
    let listener = net::TcpListener::bind(addr).map_err(|err| EdgeError::Listen(addr, err))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Logs that the limit of a target has changed; `source` is who heard it.
fn log_limit(context: &Context, target: &str, change: &target_limit::Change, source: &str) {
    context.log.state_change(json!({
        "event": "target-limit", "target": target, "limit_per_s": change.limit_per_s,
        "before_per_s": change.before_per_s, "source": source,
    }));
}

/// Logs the targets whose cold time has begun or ended.
fn log_cold(context: &Context) {
    let changes = context.state().cold.take_changes(time::Instant::now());
    for change in changes {
        context.log.state_change(match &change.state {
            Some(state) => json!({
                "event": "target-cold", "target": &*change.target, "service": &*change.service,
                "outcome": "begun", "cold_ms": state.ends_in.as_millis() as u64,
                "allowance": state.allowance, "part": state.part,
            }),
            None => json!({
                "event": "target-cold", "target": &*change.target, "service": &*change.service,
                "outcome": "ended",
            }),
        });
    }
}

/// Logs that a target has said that it is leaving; `source` is who heard it.
fn log_leaving(context: &Context, target: &str, source: &str) {
    context.log.state_change(json!({
        "event": "target", "target": target, "outcome": "leaving", "source": source,
    }));
}

/// Current time in milliseconds since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Streams of the signals that the process handles.
struct Signals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    fn new(runtime: &runtime::Runtime) -> io::Result<Signals> {
        let _context = runtime.enter();
        Ok(Signals {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
    }
}

async fn control_thread(
    context: &Arc<Context>,
    path: &path::Path,
    settings: &edge::EdgeSettings,
    mut signals: Signals,
    operators: net::TcpListener,
    reports: net::UdpSocket,
) -> Result<(), EdgeError> {
    let store_addr = settings.store.addr.parse();
    let store_addr = store_addr.unwrap_or(net::SocketAddr::from(([0, 0, 0, 0], 0)));
    let timeout = Duration::from_millis(settings.store.timeout_ms);
    let config_apply = edge::duration_ms(settings.bounds.config_apply_ms);
    let drain = edge::duration_ms(settings.bounds.drain_ms);
    let evacuate =
        settings.bounds.evacuate_ms.map_or(evacuations::DEFAULT_BOUND, edge::duration_ms);
    let store = Store::new(store_addr, timeout);
    let (poll_senders, receivers) = polls::channels();
    let [config_polls, target_polls, router_polls] = receivers;
    let (outbox, own_polls) = mpsc::channel(polls::QUEUE_LEN);
    let reader = |topic, bound, polls| {
        topic_reader::TopicReader::new(
            context.clone(),
            store.another(),
            topic,
            bound,
            polls,
            outbox.clone(),
        )
    };
    // A request may be chosen for a target just before the router knows of the evacuation, and reach
    // it when it has connected.
    let config_bound = evacuate.saturating_sub(upstream::CONNECT_TIMEOUT).min(config_apply);
    let config_reader = reader(report::Topic::Config, config_bound, config_polls);
    let target_reader = reader(report::Topic::Targets, drain, target_polls);
    let router_reader = reader(report::Topic::Routers, store_sync::ROUTERS_BOUND, router_polls);
    tokio::spawn(store_sync::config(config_reader));
    tokio::spawn(store_sync::targets(target_reader, drain));
    tokio::spawn(evacuations::watch(context.clone(), evacuate));
    let bounds = [config_bound, drain, store_sync::ROUTERS_BOUND];
    tokio::spawn(freshness::watch(context.clone(), store.usage().clone(), bounds));
    let addr = reports.local_addr()?;
    let socket = Arc::new(tokio::net::UdpSocket::from_std(reports)?);
    let (incarnation, zone) = (context.incarnation, context.zone.to_string());
    let me = peers::Peer { addr, incarnation, zone };
    let peers = load_reports::Peers::default();
    tokio::spawn(store_sync::routers(router_reader, me, peers.clone()));
    tokio::spawn(load_reports::receive(
        context.clone(),
        socket.clone(),
        peers.clone(),
        poll_senders,
    ));
    tokio::spawn(load_reports::send(context.clone(), socket, peers, own_polls));
    tokio::spawn(team_counts::log_counts(context.clone()));
    tokio::spawn(retry_counts::log_counts(context.clone()));
    tokio::spawn(operators::serve(context.clone(), operators));
    let mut watcher = settings_file::SettingsFile::new(path);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => watcher.reload(context, "signal"),
            () = time::sleep(SETTINGS_INTERVAL) => watcher.reload_if_changed(context),
        }
    }
    Ok(())
}

/// Waits until the balancer has taken the router out of rotation, then until the traffic thread has
/// answered the requests in progress.
async fn shut_down(context: &Context, grace: Duration, traffic: &thread::JoinHandle<()>) {
    /// The balancer drops a router after two failed probes, one a second; the rest is a margin.
    const ROTATION_TIME: Duration = Duration::from_millis(2600);
    /// Interval at which the end of the traffic thread is checked.
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let ends_at = time::Instant::now() + grace;
    let open_requests = context.open_requests.load(atomic::Ordering::Relaxed);
    // A shutdown happens once.
    let _ = context.grace_ends_at.set(ends_at);
    context.phase.send_replace(Phase::Leaving);
    context.log.state_change(json!({ "event": "stop", "phase": "leaving", "open": open_requests }));
    time::sleep(ROTATION_TIME.min(grace / 2)).await;
    context.phase.send_replace(Phase::Closing);
    while !traffic.is_finished() && time::Instant::now() < ends_at + TRAFFIC_END_TIME {
        time::sleep(POLL_INTERVAL).await;
    }
}
