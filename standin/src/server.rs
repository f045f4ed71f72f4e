//! An HTTP server that closes all connections when it is dropped, and injects connection faults.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time;

/// A running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Handle {
    addr: SocketAddr,
    task: AbortHandle,
}

impl Handle {
    /// Address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and all connections.
    pub fn shutdown(&self) {
        self.task.abort();
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.shutdown();
    }
}

/// Response extension: closes the connection instead of sending the response.
#[derive(Clone, Copy, Debug)]
struct CutMarker;

/// Returns a response that makes the server close the connection without sending anything.
pub fn cut_connection() -> Response {
    let mut response = Response::default();
    response.extensions_mut().insert(CutMarker);
    response
}

/// Applies a JSON body of type `T`, regardless of the content type. Responds with status 204, or
/// 400 if the body is invalid.
pub(crate) fn apply_json<T: DeserializeOwned>(body: &[u8], apply: impl FnOnce(T)) -> Response {
    match serde_json::from_slice(body) {
        Ok(value) => {
            apply(value);
            StatusCode::NO_CONTENT.into_response()
        }
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

/// Refuses new connections for a limited time, before anything is read from them.
#[derive(Debug, Default)]
pub struct Gate {
    closed_until: Mutex<Option<time::Instant>>,
}

impl Gate {
    /// Refuses connections for this duration from now on; zero accepts them again.
    pub fn close_for(&self, duration: Duration) {
        let until = time::Instant::now() + duration;
        *self.closed_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    fn is_closed(&self) -> bool {
        let until = *self.closed_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.is_some_and(|until| time::Instant::now() < until)
    }
}

/// Serves `router` on `listen`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn spawn(
    listen: SocketAddr,
    router: axum::Router,
    gate: Arc<Gate>,
) -> io::Result<Handle> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, router, gate)).abort_handle();
    Ok(Handle { addr, task })
}

/// Accepts connections. Owns their tasks, so that aborting this task closes them.
async fn accept(listener: TcpListener, router: axum::Router, gate: Arc<Gate>) -> Infallible {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if !gate.is_closed() => {
                    connections.spawn(serve(stream, router.clone()));
                }
                Ok(_) => {}
                // Probably out of file descriptors; wait until connections are closed.
                Err(_) => time::sleep(Duration::from_millis(10)).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, router: axum::Router) {
    // Tokens are small writes; Nagle's algorithm would delay them and distort latencies.
    let _ = stream.set_nodelay(true);
    let router = TowerToHyperService::new(router);
    let service = hyper::service::service_fn(move |request| {
        let response = router.call(request);
        async move {
            let Ok(response) = response.await;
            if response.extensions().get::<CutMarker>().is_some() {
                return Err(io::Error::other("connection closed by an injected fault"));
            }
            Ok(response)
        }
    });
    // Errors are expected: the peer closed the connection, or an injected fault did.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}
