//! HTTP clients for requests to targets.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_wire::settings;
use http::uri;
use http_body_util::Full;
use hyper::body;
use hyper_util::client::legacy;
use hyper_util::rt;

/// Idle time of a connection before TCP keepalive probes are sent.
const TCP_KEEPALIVE: Duration = Duration::from_secs(5);

/// A target's response, of which only the head has been received.
pub type Answer = http::Response<body::Incoming>;

/// Error of a request to a target.
pub type CallError = legacy::Error;

/// HTTP clients for requests to targets; clones share their connection pools.
#[derive(Clone, Debug)]
pub struct Upstream {
    pooled: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    fresh: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

/// Which connection a request is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// An idle connection of the pool, if there is one.
    Pooled,
    /// A new connection: an idle one may have been dropped by the network without notice, and a
    /// request written to it would be lost.
    Fresh,
}

impl Upstream {
    /// Creates clients with the timeouts of the settings.
    pub fn new(upstream: &settings::Upstream) -> Upstream {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(TCP_KEEPALIVE));
        connector.set_connect_timeout(Some(Duration::from_millis(upstream.connect_timeout_ms)));
        let mut builder = legacy::Client::builder(rt::TokioExecutor::new());
        builder.pool_timer(rt::TokioTimer::new());
        builder.pool_idle_timeout(Duration::from_millis(upstream.pool_idle_timeout_ms));
        let pooled = builder.build(connector.clone());
        builder.pool_max_idle_per_host(0);
        let fresh = builder.build(connector);
        Upstream { pooled, fresh }
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// The connection failed; [`never_sent`] returns whether this was before anything was written.
    pub async fn send(
        &self,
        connection: Connection,
        request: http::Request<Full<Bytes>>,
    ) -> Result<Answer, CallError> {
        match connection {
            Connection::Pooled => self.pooled.request(request).await,
            Connection::Fresh => self.fresh.request(request).await,
        }
    }
}

/// Whether a request failed before any byte of it was written to the target.
pub fn never_sent(err: &CallError) -> bool {
    err.is_connect()
}

/// Returns the URI of a path at a target; `None` if the path isn't valid in a URI.
pub fn target_uri(addr: net::SocketAddr, path_and_query: &str) -> Option<http::Uri> {
    uri::Builder::new()
        .scheme(uri::Scheme::HTTP)
        .authority(addr.to_string())
        .path_and_query(path_and_query)
        .build()
        .ok()
}
