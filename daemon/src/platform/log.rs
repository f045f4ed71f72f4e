//! Client of the platform's append-only log service.
//!
//! This is the only module that depends on the log service's API.

use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::rt;
use quick_error::quick_error;
use serde::Deserialize;
use tokio::time;

/// Largest response body that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

quick_error! {
    /// Why an append returned no offset.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum AppendError {
        /// The record wasn't appended and won't be.
        Refused(message: String) {
            display("not appended: {message}")
        }
        /// The record may have been appended, or may still be appended later.
        Unknown(message: String) {
            display("append has an unknown outcome: {message}")
        }
    }
}

quick_error! {
    /// Why a read returned no records.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ReadError {
        /// The log service can't be reached, reports an error, or its response can't be decoded.
        Unavailable(message: String) {
            display("{message}")
        }
    }
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Time at which the log accepted the record, in milliseconds since 1970.
    pub at_ms: u64,
    /// The record's bytes; empty if they aren't valid base64 in the log's response.
    pub data: Bytes,
}

/// The result of one read: consecutive records of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Oldest offset that the log retains.
    pub first_offset: u64,
    /// Offset of the next read; if the page is empty, this is one past the log's last record.
    pub next_offset: u64,
    /// Records in offset order.
    pub entries: Vec<Entry>,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadAnswer {
    first_offset: u64,
    next_offset: u64,
    records: Vec<ReadRecord>,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: u64,
    at_ms: u64,
    data_base64: String,
}

/// Client of the log service; clones share its connection pool.
#[derive(Clone, Debug)]
pub struct Log {
    client: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    base_url: String,
    timeout: Duration,
}

impl Log {
    /// Creates a client; `timeout` applies to each call, in addition to the wait of a long poll.
    pub fn new(base_url: &str, timeout: Duration) -> Log {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        Log { client, base_url: base_url.trim_end_matches('/').to_string(), timeout }
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`AppendError::Refused`] only if the record is certain not to be in the log; otherwise
    /// [`AppendError::Unknown`].
    pub async fn append(&self, stream: &str, record: Bytes) -> Result<u64, AppendError> {
        let uri = format!("{}/streams/{stream}/records", self.base_url);
        let request = http::Request::post(uri).body(Full::new(record));
        let request = request.map_err(|err| AppendError::Refused(err.to_string()))?;
        let unknown = |message: String| AppendError::Unknown(message);
        let answer = match time::timeout(self.timeout, self.client.request(request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(err)) if err.is_connect() => return Err(AppendError::Refused(err.to_string())),
            Ok(Err(err)) => return Err(unknown(err.to_string())),
            Err(_) => return Err(unknown("timeout".to_string())),
        };
        let status = answer.status();
        let refusals = [StatusCode::TOO_MANY_REQUESTS, StatusCode::SERVICE_UNAVAILABLE];
        if status.is_client_error() || refusals.contains(&status) {
            return Err(AppendError::Refused(status.to_string()));
        }
        if !status.is_success() {
            return Err(unknown(status.to_string()));
        }
        let body = time::timeout(self.timeout, read_body(answer.into_body())).await;
        let body = body.map_err(|_| unknown("timeout".to_string()))?.map_err(unknown)?;
        let answer = serde_json::from_slice::<AppendAnswer>(&body);
        answer.map(|answer| answer.offset).map_err(|err| unknown(err.to_string()))
    }

    /// Reads up to `max_records` records starting at offset `from`; waits up to `wait` for the
    /// first.
    ///
    /// # Errors
    ///
    /// The log service can't be reached, responds with an error, or its response can't be decoded.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        max_records: usize,
        wait: Duration,
    ) -> Result<Page, ReadError> {
        let wait_ms = wait.as_millis();
        let base = &self.base_url;
        let uri = format!(
            "{base}/streams/{stream}/records?from={from}&max={max_records}&wait_ms={wait_ms}"
        );
        let unavailable = |message: String| ReadError::Unavailable(message);
        let request = http::Request::get(uri).body(Full::default());
        let request = request.map_err(|err| unavailable(err.to_string()))?;
        let call = async {
            let answer = self.client.request(request).await.map_err(|err| err.to_string())?;
            if !answer.status().is_success() {
                return Err(answer.status().to_string());
            }
            read_body(answer.into_body()).await
        };
        let body = time::timeout(wait + self.timeout, call).await;
        let body = body.map_err(|_| unavailable("timeout".to_string()))?.map_err(unavailable)?;
        let answer = serde_json::from_slice::<ReadAnswer>(&body);
        let answer = answer.map_err(|err| unavailable(err.to_string()))?;
        Ok(Page {
            first_offset: answer.first_offset,
            next_offset: answer.next_offset,
            entries: answer.records.into_iter().map(entry).collect(),
        })
    }
}

fn entry(record: ReadRecord) -> Entry {
    // An undecodable record is kept as an empty one, so that the offsets stay consecutive.
    let data = BASE64_STANDARD.decode(&record.data_base64).unwrap_or_default();
    Entry { offset: record.offset, at_ms: record.at_ms, data: Bytes::from(data) }
}

async fn read_body(body: hyper::body::Incoming) -> Result<Bytes, String> {
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    body.map(|body| body.to_bytes()).map_err(|err| err.to_string())
}
