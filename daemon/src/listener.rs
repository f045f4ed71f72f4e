//! HTTP listener with limits on the number of connections and on request heads.

use std::net;
use std::sync;
use std::time::Duration;

use gentianhinge_wire::settings;
use hyper::server::conn::http1;
use hyper_util::rt;
use hyper_util::server::graceful;
use tokio::sync as tokio_sync;
use tokio::time;

/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits on the connections of one listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of open connections; further ones wait in the kernel's queue.
    pub max_connections: usize,
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of header lines of a request.
    pub max_headers: usize,
    /// Longest time for a complete request head to arrive.
    pub header_timeout: Duration,
}

impl Limits {
    /// Takes the limits from the settings.
    pub fn new(callers: &settings::Callers) -> Limits {
        Limits {
            max_connections: callers.max_connections as usize,
            max_header_bytes: callers.max_header_bytes as usize,
            max_headers: callers.max_headers as usize,
            header_timeout: Duration::from_millis(callers.header_timeout_ms),
        }
    }
}

/// Serves connections until `stop` resolves, then waits for open requests to finish.
///
/// # Errors
///
/// The listener can't be registered with the runtime.
pub async fn serve(
    listener: net::TcpListener,
    app: axum::Router,
    limits: Limits,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let permits = sync::Arc::new(tokio_sync::Semaphore::new(limits.max_connections));
    let connections = graceful::GracefulShutdown::new();
    let mut builder = http1::Builder::new();
    builder
        .timer(rt::TokioTimer::new())
        .max_buf_size(limits.max_header_bytes.max(MIN_BUF_BYTES))
        .max_headers(limits.max_headers)
        .header_read_timeout(limits.header_timeout);
    tokio::pin!(stop);
    loop {
        let permit = tokio::select! {
            () = &mut stop => break,
            permit = permits.clone().acquire_owned() => permit,
        };
        let accepted = tokio::select! {
            () = &mut stop => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = hyper_util::service::TowerToHyperService::new(app.clone());
        let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
        let connection = connections.watch(connection);
        tokio::spawn(async move {
            // A broken connection is reported in the result of its request.
            let _ = connection.await;
            drop(permit);
        });
    }
    connections.shutdown().await;
    Ok(())
}

/// Smallest read buffer that hyper accepts; a smaller one panics.
const MIN_BUF_BYTES: usize = 8192;
