//! Accepts callers, and answers the balancer.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::net;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::report;
use gentianhinge_platform::{connection, names};
use http_body_util::Empty;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::Semaphore;
use tokio::task;
use tokio::time::{self, Instant};

use super::queue::Queue;
use super::upstream::Upstream;
use super::{Context, Phase, handle, lag, response_limits};

/// Wait after an accept that failed, as it does when file descriptors run out.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Longest wait at the end of the process for answers that are being written.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// What bounds the traffic thread's memory.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most open connections of callers.
    pub max_connections: usize,
    /// Memory of the process, in MB.
    pub memory_mb: u32,
}

/// What requests share on the traffic thread.
pub struct Traffic {
    /// What all parts of the process share.
    pub context: Arc<Context>,
    /// Requests that wait.
    pub queue: Rc<Queue>,
    /// Connections to targets.
    pub upstream: Upstream,
    /// Memory for answers.
    pub response_buffers: response_limits::BufferBudget,
    inherits_options: OnceCell<bool>,
    /// Room for connections of callers.
    pub permits: Rc<Semaphore>,
    /// Most open connections of callers.
    pub max_connections: usize,
}

/// Part of the connections below which unused ones are kept open for their callers.
const KEEP_ALIVE_PART: f64 = 0.5;

impl Traffic {
    /// Whether so many connections are open that callers should give theirs up after an answer: else
    /// unused ones keep new callers out.
    pub fn limits_keep_alive(&self) -> bool {
        let open = self.max_connections.saturating_sub(self.permits.available_permits());
        open as f64 > self.max_connections as f64 * KEEP_ALIVE_PART
    }

    /// Whether callers' connections have the options of their listener. The first one tells: setting
    /// them one by one is nearly half of the system calls of a refused request.
    fn inherits_socket_options(&self, stream: &tokio::net::TcpStream) -> bool {
        *self.inherits_options.get_or_init(|| {
            let is_inherited = connection::is_guarded(stream);
            self.context
                .log
                .state_change(json!({ "event": "callers", "options_inherited": is_inherited }));
            is_inherited
        })
    }

    /// Takes a repeat from the budget of a service.
    pub fn take_repeat(&self, service: &str) -> bool {
        self.context.state().repeats.take(report::hash(service, 0), Instant::now())
    }

    /// Whether the budget of a service has a repeat left.
    pub fn has_repeat(&self, service: &str) -> bool {
        self.context.state().repeats.has(report::hash(service, 0), Instant::now())
    }
}

/// Runs the traffic thread until the process ends.
pub fn run(
    context: Arc<Context>,
    callers: net::TcpListener,
    readiness: net::TcpListener,
    bounds: Bounds,
) {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(err) => {
            context.log.state_change(json!({ "event": "stop", "outcome": err.to_string() }));
            return;
        }
    };
    let local = task::LocalSet::new();
    let result = local.block_on(&runtime, serve(context.clone(), callers, readiness, bounds));
    if let Err(err) = result {
        context.log.state_change(json!({ "event": "stop", "outcome": err.to_string() }));
    }
}

async fn serve(
    context: Arc<Context>,
    callers: net::TcpListener,
    readiness: net::TcpListener,
    bounds: Bounds,
) -> std::io::Result<()> {
    let queue = Rc::new(Queue::new(context.clone()));
    task::spawn_local(queue.clone().run());
    let upstream = Upstream::default();
    let max_connections = bounds.max_connections;
    let permits = Rc::new(Semaphore::new(max_connections));
    let connection_permits = permits.clone();
    let traffic = Rc::new(Traffic {
        context: context.clone(),
        queue,
        upstream,
        response_buffers: response_limits::BufferBudget::new(bounds.memory_mb),
        inherits_options: OnceCell::new(),
        permits,
        max_connections,
    });
    let expiring = traffic.clone();
    task::spawn_local(async move { expiring.upstream.close_expired().await });
    task::spawn_local(lag::run(context.clone()));
    task::spawn_local(serve_readiness(context.clone(), TcpListener::from_std(readiness)?));
    let callers = TcpListener::from_std(callers)?;
    if let Err(err) = connection::guard_listener(&callers) {
        tracing::debug!("callers' listener: {err}");
    }
    let mut phase = context.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&callers, &connection_permits) => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => break,
        };
        if let Some((stream, permit)) = accepted {
            task::spawn_local(serve_connection(traffic.clone(), stream, permit));
        }
        let mean_lag = Duration::from_millis(context.lag_ms.load(Ordering::Relaxed));
        let pause = lag::accept_pause(mean_lag);
        if pause.is_zero() {
            // Else all that wait to be accepted would go before requests in progress.
            task::yield_now().await;
        } else {
            time::sleep(pause).await;
        }
    }
    drop(callers);
    while context.open_requests.load(Ordering::Relaxed) > 0 {
        time::sleep(CLOSE_TIME).await;
    }
    time::sleep(CLOSE_TIME).await;
    Ok(())
}

async fn accept(
    callers: &TcpListener,
    connection_permits: &Rc<Semaphore>,
) -> Option<(tokio::net::TcpStream, impl Sized + use<>)> {
    let permit = {
        // The semaphore is never closed.
        let connection_permits = connection_permits.clone();
        ConnectionPermit::take(connection_permits).await
    };
    match callers.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(err) => {
            tracing::debug!("accept: {err}");
            time::sleep(ACCEPT_RETRY).await;
            None
        }
    }
}

/// Room for one connection, given back when dropped.
struct ConnectionPermit(Rc<Semaphore>);

impl ConnectionPermit {
    async fn take(connection_permits: Rc<Semaphore>) -> ConnectionPermit {
        if let Ok(permit) = connection_permits.acquire().await {
            permit.forget();
        }
        ConnectionPermit(connection_permits)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}

/// Serves one caller's connection.
async fn serve_connection(traffic: Rc<Traffic>, stream: tokio::net::TcpStream, permit: impl Sized) {
    if !traffic.inherits_socket_options(&stream)
        && let Err(err) = connection::guard(&stream)
    {
        tracing::debug!("caller's socket: {err}");
    }
    let limits = traffic.context.state().table.as_ref().map(|table| table.limits);
    let limits = limits.unwrap_or_default();
    let mut phase = traffic.context.phase.subscribe();
    let service = service::service_fn(move |request| {
        let traffic = traffic.clone();
        async move { Ok::<_, Infallible>(handle::handle(traffic, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(limits.max_header_bytes.max(MIN_BUF_BYTES));
    let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A broken connection shows in the request that it carries.
        _ = connection.as_mut() => {}
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.as_mut().await;
        }
    }
    drop(permit);
}

/// Least buffer that hyper takes.
const MIN_BUF_BYTES: usize = 8192;

/// Answers the balancer whether new callers are welcome; never returns.
async fn serve_readiness(context: Arc<Context>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let context = context.clone();
        task::spawn_local(async move {
            let service =
                service::service_fn(move |request: http::Request<hyper::body::Incoming>| {
                    let status = match request.uri().path() {
                        names::READINESS_PATH if context.is_ready() => http::StatusCode::OK,
                        names::READINESS_PATH => http::StatusCode::SERVICE_UNAVAILABLE,
                        _ => http::StatusCode::NOT_FOUND,
                    };
                    let mut response = http::Response::new(Empty::<Bytes>::new());
                    *response.status_mut() = status;
                    async move { Ok::<_, Infallible>(response) }
                });
            // The balancer asks again on another connection.
            let _ = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service).await;
        });
    }
}
