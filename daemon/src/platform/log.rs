//! Adapter to the platform's append-only log service.
//!
//! Another log service is met by changing this module only.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

quick_error! {
    /// Why an append has no offset.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum AppendError {
        /// The record wasn't appended and won't be.
        Refused(message: String) {
            display("not appended: {message}")
        }
        /// The record may have been appended, or may still be.
        Unknown(message: String) {
            display("no answer to the append: {message}")
        }
    }
}

quick_error! {
    /// Why a read has no records.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ReadError {
        /// The log service can't be reached, or gives no answer that can be read.
        Unavailable(message: String) {
            display("{message}")
        }
    }
}

/// A record as the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Offset in the stream.
    pub offset: u64,
    /// Time at which the log took the record, in milliseconds since 1970.
    pub at_ms: u64,
    /// The record; empty if the log's answer garbles it.
    pub data: Bytes,
}

/// A part of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Oldest offset that the log keeps.
    pub first_offset: u64,
    /// Offset to read on from; if the page is empty, the one behind the log's last record.
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

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct Log {
    client: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    base_url: String,
    timeout: Duration,
}

impl Log {
    /// Creates a client; `timeout` bounds each call beyond what a long poll waits.
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
    /// [`AppendError::Refused`] only if the record surely isn't in the log.
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
        let body = time::timeout(self.timeout, collect(answer.into_body())).await;
        let body = body.map_err(|_| unknown("timeout".to_string()))?.map_err(unknown)?;
        let answer = serde_json::from_slice::<AppendAnswer>(&body);
        answer.map(|answer| answer.offset).map_err(|err| unknown(err.to_string()))
    }

    /// Reads records from an offset on; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// The log service can't be reached or answers with an error.
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
            collect(answer.into_body()).await
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
    // A record that is garbled stays a record, so that it keeps its offset.
    let data = BASE64_STANDARD.decode(&record.data_base64).unwrap_or_default();
    Entry { offset: record.offset, at_ms: record.at_ms, data: Bytes::from(data) }
}

async fn collect(body: hyper::body::Incoming) -> Result<Bytes, String> {
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    body.map(|body| body.to_bytes()).map_err(|err| err.to_string())
}
