//! Calls to targets.

use std::net;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_wire::settings;
use http::uri;
use http_body_util::Full;
use hyper::body;
use hyper_util::client::legacy;
use hyper_util::rt;

/// Time between two TCP keepalive probes.
const TCP_KEEPALIVE: Duration = Duration::from_secs(5);

/// A target's answer whose body is still to come.
pub type Answer = http::Response<body::Incoming>;

/// Error of a call to a target.
pub type CallError = legacy::Error;

/// Clients for calls to targets.
#[derive(Clone, Debug)]
pub struct Upstream {
    pooled: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    fresh: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

/// Which connection a call takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// One that earlier calls have used, if there is one.
    Pooled,
    /// A new one: an old one may have gone silent, and what was written to it would be lost.
    Fresh,
}

impl Upstream {
    /// Creates clients with the bounds of the settings.
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

    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// The connection failed; [`never_sent`] tells whether before anything was written.
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

/// Whether a failed call wrote nothing to the target.
pub fn never_sent(err: &CallError) -> bool {
    err.is_connect()
}

/// The URI of a path at a target; `None` if the path isn't valid in a URI.
pub fn target_uri(addr: net::SocketAddr, path_and_query: &str) -> Option<http::Uri> {
    uri::Builder::new()
        .scheme(uri::Scheme::HTTP)
        .authority(addr.to_string())
        .path_and_query(path_and_query)
        .build()
        .ok()
}
