//! Reads small JSON documents over HTTP, within a time bound.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy;
use hyper_util::rt;
use quick_error::quick_error;
use serde::de;
use tokio::time;

/// Largest document that is read.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;

quick_error! {
    /// Why a document couldn't be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum FetchError {
        /// Nothing takes connections at the address.
        Unreachable(message: String) {
            display("{message}")
        }
        /// No whole answer came in time, or the connection was lost.
        Silent {
            display("no answer in time")
        }
        /// The answer isn't the document.
        Malformed(message: String) {
            display("{message}")
        }
    }
}

/// Client for documents.
pub type Client = legacy::Client<legacy::connect::HttpConnector, Empty<Bytes>>;

/// Creates a client.
pub fn client(connect_timeout: Duration) -> Client {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_connect_timeout(Some(connect_timeout));
    legacy::Client::builder(rt::TokioExecutor::new())
        .pool_timer(rt::TokioTimer::new())
        .build(connector)
}

/// Reads a document.
///
/// # Errors
///
/// The address can't be reached, the answer is late, or it isn't the document.
pub async fn get<T: de::DeserializeOwned>(
    client: &Client,
    uri: http::Uri,
    timeout: Duration,
) -> Result<T, FetchError> {
    match time::timeout(timeout, get_body(client, uri)).await {
        Ok(body) => {
            serde_json::from_slice(&body?).map_err(|err| FetchError::Malformed(err.to_string()))
        }
        Err(_) => Err(FetchError::Silent),
    }
}

async fn get_body(client: &Client, uri: http::Uri) -> Result<Bytes, FetchError> {
    let answer = client.get(uri).await.map_err(|err| {
        if err.is_connect() { FetchError::Unreachable(err.to_string()) } else { FetchError::Silent }
    })?;
    if !answer.status().is_success() {
        return Err(FetchError::Malformed(format!("status {}", answer.status())));
    }
    let body = Limited::new(answer.into_body(), MAX_DOCUMENT_BYTES).collect().await;
    body.map(|body| body.to_bytes()).map_err(|err| FetchError::Malformed(err.to_string()))
}
