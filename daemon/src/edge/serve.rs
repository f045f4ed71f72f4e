//! Accepts callers' connections, and serves the balancer's readiness probes.

use std::convert::Infallible;
use std::io::ErrorKind;
use std::net;
use std::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_platform::{connection, names};
use http_body::Body as _;
use http_body_util::Empty;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime;
use tokio::sync::Semaphore;
use tokio::task;
use tokio::time::{self, Instant};

use super::connection_errors::PeerKind;
use super::connections::{Connection, Stream, TrackedBody};
use super::idle::IdleTimer;
use super::queue::Queue;
use super::traffic::{Bounds, Traffic};
use super::{Context, Phase, connections, handle, lag, linger};

/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Part of the rest of the grace period in which a shutdown may accept connections that wait in the
/// listener's queue; the requests on them need the other part.
const ACCEPT_PART: f64 = 0.5;

/// Runs the traffic thread until the process shuts down.
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

/// Serves callers and readiness probes until the process shuts down; runs on a
/// [`LocalSet`](task::LocalSet). The listeners must be nonblocking.
///
/// # Errors
///
/// A listener can't be registered with the runtime.
pub async fn serve(
    context: Arc<Context>,
    callers: net::TcpListener,
    readiness: net::TcpListener,
    bounds: Bounds,
) -> std::io::Result<()> {
    let queue = Rc::new(Queue::new(context.clone()));
    task::spawn_local(queue.clone().run());
    let traffic = Rc::new(Traffic::new(context.clone(), queue, bounds));
    let connection_permits = traffic.permits.clone();
    let expiring = traffic.clone();
    task::spawn_local(async move { expiring.upstream.close_expired().await });
    let watching = traffic.clone();
    task::spawn_local(async move { watching.peer_watch.run().await });
    task::spawn_local(lag::run(context.clone()));
    task::spawn_local(serve_readiness(context.clone(), TcpListener::from_std(readiness)?));
    let callers = TcpListener::from_std(callers)?;
    if let Err(err) = connection::set_listener_options(&callers) {
        tracing::debug!("can't set options of the callers' listener: {err}");
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
            // Otherwise the whole accept backlog would go before requests in progress.
            task::yield_now().await;
        } else {
            time::sleep(pause).await;
        }
    }
    accept_waiting(&traffic, callers).await?;
    wait_until_closed(&traffic).await;
    Ok(())
}

/// Accepts the connections that wait in the listener's queue, then closes the listener. Under a
/// flood they may have waited for long, with complete requests.
async fn accept_waiting(traffic: &Rc<Traffic>, callers: TcpListener) -> std::io::Result<()> {
    // The runtime may not have heard of all connections yet, so the kernel is asked.
    let callers = callers.into_std()?;
    let now = Instant::now();
    let grace_ends_at = traffic.context.grace_ends_at.get().copied();
    let grace = grace_ends_at.map(|ends_at| ends_at.saturating_duration_since(now));
    let ends_at = now + grace.unwrap_or(linger::LINGER_TIME).mul_f64(ACCEPT_PART);
    let mut count = 0;
    let outcome = loop {
        let permit = ConnectionPermit::take(traffic.permits.clone());
        let Ok(permit) = time::timeout_at(ends_at, permit).await else { break "some left" };
        match callers.accept() {
            Ok((stream, _)) => {
                count += 1;
                if stream.set_nonblocking(true).is_ok()
                    && let Ok(stream) = TcpStream::from_std(stream)
                {
                    task::spawn_local(serve_connection(traffic.clone(), stream, permit));
                }
                task::yield_now().await;
            }
            Err(err) if err.kind() == ErrorKind::WouldBlock => break "all accepted",
            Err(err) => {
                tracing::debug!("can't accept a connection: {err}");
                time::sleep(ACCEPT_RETRY).await;
            }
        }
        if Instant::now() >= ends_at {
            break "some left";
        }
    };
    let line =
        json!({ "event": "stop", "phase": "closing", "accepted": count, "outcome": outcome });
    traffic.context.log.state_change(line);
    Ok(())
}

/// Waits until all callers' connections are closed or the grace period has ended, and logs what is
/// left.
async fn wait_until_closed(traffic: &Traffic) {
    let (context, connections) = (&traffic.context, &traffic.connections);
    let is_closed = match context.grace_ends_at.get() {
        Some(ends_at) => time::timeout_at(*ends_at, connections.wait_until_closed()).await.is_ok(),
        None => {
            connections.wait_until_closed().await;
            true
        }
    };
    context.log.state_change(json!({
        "event": "stop", "phase": "end", "outcome": if is_closed { "complete" } else { connections::GRACE_OVER },
        "connections": connections.open_count(), "requests": connections.unanswered_count(),
    }));
}

async fn accept(
    callers: &TcpListener,
    connection_permits: &Rc<Semaphore>,
) -> Option<(TcpStream, impl Sized + use<>)> {
    let permit = {
        // Acquiring can't fail, since the semaphore is never closed.
        let connection_permits = connection_permits.clone();
        ConnectionPermit::take(connection_permits).await
    };
    match callers.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(err) => {
            tracing::debug!("can't accept a connection: {err}");
            time::sleep(ACCEPT_RETRY).await;
            None
        }
    }
}

/// Permit for one connection, released when dropped.
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

/// Serves the requests of one caller's connection. It is tracked from here on.
fn serve_connection(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    permit: impl Sized,
) -> impl Future<Output = ()> {
    let connection = traffic.connections.add();
    serve_tracked(traffic, stream, connection, permit)
}

async fn serve_tracked(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    connection: Rc<Connection>,
    permit: impl Sized,
) {
    if !traffic.inherits_socket_options(&stream)
        && let Err(err) = connection::set_options(&stream)
    {
        tracing::debug!("can't set options of a caller's socket: {err}");
    }
    let limits = traffic.context.state().table.as_ref().map(|table| table.limits);
    let limits = limits.unwrap_or_default();
    let context = traffic.context.clone();
    let stream = traffic.peer_watch.add(stream, PeerKind::Caller);
    let watched = stream.watched().clone();
    let is_unread = watched.is_unread();
    let mut phase = context.phase.subscribe();
    let requests = connection.clone();
    let service = service::service_fn(move |request| {
        let (traffic, open_request) = (traffic.clone(), requests.begin_request());
        let watched = watched.clone();
        watched.set_read_by(None);
        let version = request.version();
        async move {
            let response = handle::handle(traffic, request).await;
            watched.set_read_by(Some(handle::read_by(&response, Instant::now())));
            let is_chunked = version >= http::Version::HTTP_11;
            watched.set_unframed(!is_chunked && response.body().size_hint().exact().is_none());
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, open_request)))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(IdleTimer::new(context, is_unread))
        .header_read_timeout(Duration::ZERO)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUF_BYTES));
    let stream = rt::TokioIo::new(Stream::new(stream, connection.clone()));
    let mut served = pin::pin!(builder.serve_connection(stream, service));
    tokio::select! {
        // Errors of the connection are handled by the request in progress.
        _ = served.as_mut() => {}
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => connection.close(served).await,
    }
    drop(permit);
}

/// Minimum buffer size that hyper accepts.
const MIN_BUF_BYTES: usize = 8192;

/// Serves the readiness probe of the balancer; never returns.
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
            // After an error, the balancer probes again on another connection.
            let _ = http1::Builder::new().serve_connection(rt::TokioIo::new(stream), service).await;
        });
    }
}
