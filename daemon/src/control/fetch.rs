//! Fetches small JSON documents over HTTP with a timeout.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy;
use hyper_util::rt;
use quick_error::quick_error;
use serde::de;
use tokio::time;

/// Largest document that is accepted.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;

quick_error! {
    /// Why a document couldn't be fetched.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum FetchError {
        /// The connection was refused or couldn't be established.
        Unreachable(message: String) {
            display("{message}")
        }
        /// No complete response arrived before the timeout, or the connection was lost.
        NoResponse {
            display("no complete response before the timeout")
        }
        /// The response has an error status or isn't a valid document.
        Malformed(message: String) {
            display("{message}")
        }
    }
}

/// HTTP client for documents.
pub type Client = legacy::Client<legacy::connect::HttpConnector, Empty<Bytes>>;

/// Creates a client that gives up connecting after `connect_timeout`.
pub fn client(connect_timeout: Duration) -> Client {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .build(connector)
}

/// Fetches a document.
///
/// # Errors
///
/// The address can't be reached, the response is late, or it isn't a valid document.
pub async fn get<T: de::DeserializeOwned>(
    client: &Client,
    uri: http::Uri,
    timeout: Duration,
) -> Result<T, FetchError> {
    match time::timeout(timeout, get_body(client, uri)).await {
        Ok(body) => {
            serde_json::from_slice(&body?).map_err(|err| FetchError::Malformed(err.to_string()))
        }
        Err(_) => Err(FetchError::NoResponse),
    }
}

async fn get_body(client: &Client, uri: http::Uri) -> Result<Bytes, FetchError> {
    let response = client.get(uri).await.map_err(|err| {
        if err.is_connect() {
            FetchError::Unreachable(err.to_string())
        } else {
            FetchError::NoResponse
        }
    })?;
    if !response.status().is_success() {
        return Err(FetchError::Malformed(format!("status {}", response.status())));
    }
    let body = Limited::new(response.into_body(), MAX_DOCUMENT_BYTES).collect().await;
    body.map(|body| body.to_bytes()).map_err(|err| FetchError::Malformed(err.to_string()))
}
