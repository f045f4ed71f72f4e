//! The router on the users' platform: one process on each entry host, without a disk.
//!
//! # Threads
//!
//! The control thread follows the store, exchanges reports with other routers and serves operators.
//! The traffic thread carries callers' requests. They share the [`brain`], which is locked for the
//! length of one decision and never across a wait.
//!
//! # Modules, from the ground up
//!
//! [`decisions`] writes the log, [`brain`] holds what is believed, [`follow`] and [`exchange`] feed
//! it, [`queue`] decides which request goes next, [`upstream`] sends one within the bounds of [`intake`], [`attempt`], [`whole`],
//! [`events`] and [`relay`] bring answers back, [`handle`] leads a request through all of it and
//! [`story`] tells what became of it, [`tally`] what each team got, [`serve`] accepts callers, [`strain`] notices that the traffic thread
//! falls behind.

use std::fs;
use std::io;
use std::net;
use std::path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic};
use std::thread;
use std::time::{Duration, SystemTime};

use gentianhinge_platform::{names, peers};
use gentianhinge_wire::{edge, settings};
use quick_error::quick_error;
use serde_json::json;
use tokio::runtime;
use tokio::signal::unix;
use tokio::sync::watch;
use tokio::time;

pub mod attempt;
pub mod buffered;
pub mod decisions;
pub mod events;
pub mod handle;
pub mod lag;
pub mod load_reports;
pub mod operators;
pub mod queue;
pub mod relay;
pub mod reply;
pub mod request_record;
pub mod response_limits;
pub mod serve;
pub mod state;
pub mod store_sync;
pub mod team_counts;
pub mod upstream;

/// Time between two looks at the settings file for a change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the grace that a shutdown leaves unused, so that the process ends by itself.
const GRACE_RESERVE: Duration = Duration::from_millis(400);

quick_error! {
    /// Why the router can't start.
    #[derive(Debug)]
    pub enum EdgeError {
        /// The settings file can't be read.
        Unreadable(path: path::PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The settings hold mistakes.
        Settings(path: path::PathBuf, mistakes: Vec<settings::Mistake>) {
            display("{}", format_mistakes(path, mistakes))
        }
        /// An address can't be listened on.
        Listen(addr: net::SocketAddr, err: io::Error) {
            display("{addr}: {err}")
            source(err)
        }
        /// A thread or runtime can't be started.
        Runtime(err: io::Error) {
            display("runtime: {err}")
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
    /// Takes requests.
    Serving,
    /// Isn't ready any more, and still takes what comes.
    Leaving,
    /// Takes no more requests and finishes those that it has.
    Closing,
}

/// What all parts of the process share.
#[derive(Debug)]
pub struct Context {
    /// Name of the router.
    pub name: gentianhinge_core::ids::Name,
    /// Availability zone of the host.
    pub zone: gentianhinge_core::ids::Name,
    /// Start of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// What is believed.
    pub state: Mutex<state::RouterState>,
    /// Log of decisions.
    pub log: decisions::Log,
    /// Counters and histograms.
    pub metrics: operators::Metrics,
    /// What teams ask for and get, for the log.
    pub team_counts: team_counts::TeamCounts,
    /// Phase of the process.
    pub phase: watch::Sender<Phase>,
    /// Requests in progress.
    pub open_requests: atomic::AtomicUsize,
    /// Whether the traffic thread falls behind.
    pub is_overloaded: atomic::AtomicBool,
    /// Mean lag of its timers, in ms.
    pub lag_ms: atomic::AtomicU64,
}

impl Context {
    /// Locks the beliefs for one decision.
    pub fn state(&self) -> MutexGuard<'_, state::RouterState> {
        // A panic while deciding leaves counts that are off by one request at most.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Phase of the process.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether new callers are welcome. A router that falls behind leaves them to others, which have
    /// processor time to spare.
    pub fn is_ready(&self) -> bool {
        let is_overloaded = self.is_overloaded.load(atomic::Ordering::Relaxed);
        self.phase() == Phase::Serving && !is_overloaded && self.state().can_serve()
    }
}

/// Reads the settings file.
///
/// # Errors
///
/// The file can't be read or holds mistakes.
pub fn read_settings(path: &path::Path) -> Result<edge::EdgeSettings, EdgeError> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|err| EdgeError::Unreadable(path.to_path_buf(), err))?;
    edge::parse(&text).map_err(|mistakes| EdgeError::Settings(path.to_path_buf(), mistakes))
}

/// Path of the settings file that the platform names.
pub fn settings_path() -> Option<path::PathBuf> {
    std::env::var_os(names::SETTINGS_VARIABLE).map(path::PathBuf::from)
}

/// Runs the router until it is asked to end.
///
/// # Errors
///
/// The settings hold mistakes, or an address can't be listened on.
pub fn run(path: &path::Path) -> Result<(), EdgeError> {
    let control = runtime::Builder::new_current_thread().enable_all().build()?;
    // Before anything else: until then a signal ends the process without a word.
    let signals = Signals::new(&control)?;
    let settings = read_settings(path)?;
    let addrs = Addrs::new(&settings.listen);
    let callers = listen(addrs.callers)?;
    let readiness = listen(addrs.readiness)?;
    let operators = listen(addrs.operators)?;
    let reports =
        net::UdpSocket::bind(addrs.peers).map_err(|e| EdgeError::Listen(addrs.peers, e))?;
    reports.set_nonblocking(true)?;
    let context = Arc::new(Context {
        name: settings.router.name.as_str().into(),
        zone: settings.router.zone.as_str().into(),
        incarnation: unix_ms(),
        state: Mutex::new(state::RouterState::new(&settings.bounds)),
        log: decisions::Log::start(settings.router.name.as_str().into(), &settings.log)?,
        metrics: operators::Metrics::new(),
        team_counts: team_counts::TeamCounts::default(),
        phase: watch::Sender::new(Phase::Serving),
        open_requests: atomic::AtomicUsize::new(0),
        is_overloaded: atomic::AtomicBool::new(false),
        lag_ms: atomic::AtomicU64::new(0),
    });
    context.log.state_change(json!({
        "event": "start", "zone": &*context.zone,
        "incarnation": context.incarnation, "callers_addr": addrs.callers.to_string(),
    }));
    let traffic_context = context.clone();
    let bounds = serve::Bounds {
        max_connections: max_connections(&settings.callers),
        memory_mb: settings.callers.memory_mb,
    };
    let traffic = thread::Builder::new().name("traffic".to_string()).spawn(move || {
        traffic_context
            .metrics
            .recorder()
            .collect(|| serve::run(traffic_context.clone(), callers, readiness, bounds))
    })?;
    control.block_on(control_thread(&context, path, &settings, signals, operators, reports))?;
    if traffic.join().is_err() {
        context
            .log
            .state_change(json!({ "event": "stop", "outcome": "the traffic thread has failed" }));
    }
    context.log.flush();
    Ok(())
}

/// Connections of callers that fit into the descriptors, beside those to targets and a reserve for
/// files, and into the memory.
fn max_connections(callers: &edge::EdgeCallers) -> usize {
    /// Descriptors that the platform keeps for files.
    const RESERVED_FILES: u32 = 200;
    /// Part of the memory that callers' connections may take.
    const MEMORY_PART: f64 = 0.4;
    /// Memory of a connection with a request that waits or is answered: 36 KB measured, as the peak
    /// of a flooded router over its open files.
    const CONNECTION_BYTES: f64 = 40e3;
    let by_files = callers.max_files.saturating_sub(RESERVED_FILES) as usize * 2 / 3;
    let by_memory = f64::from(callers.memory_mb) * 1e6 * MEMORY_PART / CONNECTION_BYTES;
    by_files.min(by_memory as usize).max(1)
}

struct Addrs {
    callers: net::SocketAddr,
    readiness: net::SocketAddr,
    operators: net::SocketAddr,
    peers: net::SocketAddr,
}

impl Addrs {
    fn new(listen: &edge::EdgeListen) -> Addrs {
        // The settings' check has parsed each address.
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

/// Time of day in milliseconds since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Signals that the process acts on.
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
    let config_apply = Duration::from_millis(settings.bounds.config_apply_ms);
    let drain = Duration::from_millis(settings.bounds.drain_ms);
    let store = store_sync::Settings::new(store_addr, timeout, config_apply, drain);
    tokio::spawn(store_sync::config(context.clone(), store));
    tokio::spawn(store_sync::targets(context.clone(), store));
    let addr = reports.local_addr()?;
    let socket = Arc::new(tokio::net::UdpSocket::from_std(reports)?);
    let (incarnation, zone) = (context.incarnation, context.zone.to_string());
    let me = peers::Peer { addr, incarnation, zone };
    let known = load_reports::Peers::default();
    tokio::spawn(store_sync::routers(context.clone(), store, me, known.clone()));
    tokio::spawn(load_reports::receive(context.clone(), socket.clone(), known.clone()));
    tokio::spawn(load_reports::send(context.clone(), socket, known));
    tokio::spawn(team_counts::log_counts(context.clone()));
    tokio::spawn(operators::serve(context.clone(), operators));
    let mut watcher = SettingsFile::new(path);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => watcher.reload(context, "signal"),
            () = time::sleep(SETTINGS_INTERVAL) => watcher.reload_if_changed(context),
        }
    }
    let grace = Duration::from_millis(settings.bounds.grace_ms).saturating_sub(GRACE_RESERVE);
    shut_down(context, grace).await;
    Ok(())
}

/// Leaves the balancer's rotation, then finishes what is in progress.
async fn shut_down(context: &Context, grace: Duration) {
    /// Time until the balancer has missed two answers, one a second, and a margin.
    const ROTATION_TIME: Duration = Duration::from_millis(2600);
    /// Time between two looks at what is still in progress.
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    let ends_at = time::Instant::now() + grace;
    let open_requests = || context.open_requests.load(atomic::Ordering::Relaxed);
    context.phase.send_replace(Phase::Leaving);
    context
        .log
        .state_change(json!({ "event": "stop", "phase": "leaving", "open": open_requests() }));
    time::sleep(ROTATION_TIME.min(grace / 2)).await;
    context.phase.send_replace(Phase::Closing);
    while open_requests() > 0 && time::Instant::now() < ends_at {
        time::sleep(POLL_INTERVAL).await;
    }
    // What was written last is still on its way to callers.
    time::sleep(POLL_INTERVAL).await;
    context.log.state_change(json!({ "event": "stop", "phase": "end", "open": open_requests() }));
}

/// The settings file, and when it changed last.
struct SettingsFile<'a> {
    path: &'a path::Path,
    modified: Option<SystemTime>,
}

impl SettingsFile<'_> {
    fn new(path: &path::Path) -> SettingsFile<'_> {
        let modified = fs::metadata(path).and_then(|meta| meta.modified()).ok();
        SettingsFile { path, modified }
    }

    fn reload_if_changed(&mut self, context: &Context) {
        let modified = fs::metadata(self.path).and_then(|meta| meta.modified()).ok();
        if modified.is_some() && modified != self.modified {
            self.modified = modified;
            self.reload(context, "file changed");
        }
    }

    /// Takes over the bounds; what the process listens on stays until its end.
    fn reload(&mut self, context: &Context, cause: &str) {
        let outcome = match read_settings(self.path) {
            Ok(settings) => {
                context.state().set_bounds(&settings.bounds);
                context.log.set_rate(settings.log.max_lines_per_s);
                "applied".to_string()
            }
            Err(err) => format!("refused, the old settings stay: {err}"),
        };
        context.log.state_change(json!({ "event": "reload", "cause": cause, "outcome": outcome }));
    }
}
