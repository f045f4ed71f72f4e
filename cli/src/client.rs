//! HTTP client for the routers' operator interface.

use std::collections::hash_map::RandomState;
use std::fs;
use std::hash::{BuildHasher, Hasher};
use std::net;
use std::path;
use std::process;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use gentianhinge_wire::record::{EditAnswer, EditAnswerOutcome, EditRequest};
use http::StatusCode;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::rt;
use quick_error::quick_error;
use serde::de;
use tokio::{runtime, time};

use crate::exit::Exit;

/// Timeout for connecting to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a response. An edit may wait several seconds for the log.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Number of times an edit is sent, with the same id, while its response is lost.
const EDIT_ATTEMPTS: usize = 3;

quick_error! {
    /// Why a call has no usable response.
    #[derive(Debug)]
    pub enum CallError {
        /// No connection to any router could be opened, so nothing was sent.
        Unreachable(message: String) {
            display("could not connect to any router: {message}")
        }
        /// A router may have received the call, but no complete response arrived.
        Lost(message: String) {
            display("no complete response from the router: {message}")
        }
        /// The router rejected the operator's key.
        Refused {
            display("the router rejected the operator's key")
        }
        /// The response couldn't be decoded, or an edit not be encoded.
        Decode(message: String) {
            display("invalid response from the router: {message}")
        }
        /// The client couldn't be set up, or a local file not be read or written.
        Setup(message: String) {
            display("{message}")
        }
    }
}

impl CallError {
    /// Exit code of a command that made no edit before this error.
    pub fn exit(&self) -> Exit {
        match self {
            CallError::Unreachable(_) | CallError::Lost(_) => Exit::Outage,
            CallError::Refused => Exit::Refused,
            CallError::Decode(_) => Exit::Failed,
            CallError::Setup(_) => Exit::Unreadable,
        }
    }
}

/// Client for the operator interface of one or more routers.
pub struct Client {
    runtime: runtime::Runtime,
    client: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    routers: Vec<net::SocketAddr>,
    key: String,
}

impl Client {
    /// Creates a client from the arguments `--router` and `--key-file`.
    ///
    /// # Errors
    ///
    /// The runtime can't be built, or the key file can't be read.
    pub fn new(matches: &clap::ArgMatches) -> Result<Client, CallError> {
        let setup = |err: std::io::Error| CallError::Setup(err.to_string());
        let runtime = runtime::Builder::new_current_thread().enable_all().build().map_err(setup)?;
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = legacy::Client::builder(rt::TokioExecutor::new()).build(connector);
        let routers = matches.get_many::<net::SocketAddr>("router").unwrap_or_default();
        let routers = routers.copied().collect();
        let file = matches.get_one::<path::PathBuf>("key-file");
        let key = file.map_or(Ok(String::new()), |file| {
            let text = fs::read_to_string(file);
            text.map_err(|err| CallError::Setup(format!("{}: {err}", file.display())))
        })?;
        Ok(Client { runtime, client, routers, key: key.trim().to_string() })
    }

    /// Sends a GET request to the first router that accepts a connection.
    ///
    /// # Errors
    ///
    /// No router responds, the key is rejected, or the body can't be decoded.
    pub fn get<T: de::DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let body = self.call_first_reachable(|addr| self.call(addr, "GET", path, Bytes::new()))?;
        serde_json::from_slice(&body.1).map_err(|err| CallError::Decode(err.to_string()))
    }

    /// Sends an edit, retrying while the response is lost. Retries are safe because the id makes the
    /// edit idempotent.
    ///
    /// # Errors
    ///
    /// [`CallError::Lost`] if the edit may have been applied without a response; otherwise as for
    /// [`Client::get`].
    pub fn edit(&self, edit: &EditRequest) -> Result<EditAnswer, CallError> {
        let json = serde_json::to_vec(edit).map_err(|err| CallError::Decode(err.to_string()))?;
        let json = Bytes::from(json);
        let mut lost = None;
        for _ in 0..EDIT_ATTEMPTS {
            let call = |addr| self.call(addr, "POST", "/table/edits", json.clone());
            let result = match self.call_first_reachable(call) {
                Ok((status, body)) => decode_edit_answer(status, &body),
                Err(err) => Err(err),
            };
            match result {
                // The lost attempt may have been applied; an outage doesn't rule that out, only the log
                // can.
                Ok(answer) if lost.is_some() && answer.outcome == EditAnswerOutcome::Outage => {}
                Ok(answer) => return Ok(answer),
                Err(CallError::Lost(message)) => lost = Some(message),
                Err(err) if lost.is_none() => return Err(err),
                Err(_) => {}
            }
        }
        Err(CallError::Lost(lost.unwrap_or_default()))
    }

    /// Tries the routers in order until one accepts a connection.
    fn call_first_reachable<F: Future<Output = Result<(StatusCode, Bytes), CallError>>>(
        &self,
        call: impl Fn(net::SocketAddr) -> F,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut last = CallError::Unreachable("no --router given".to_string());
        for addr in &self.routers {
            match self.runtime.block_on(call(*addr)) {
                Err(err @ CallError::Unreachable(_)) => last = err,
                Ok((StatusCode::UNAUTHORIZED, _)) => return Err(CallError::Refused),
                other => return other,
            }
        }
        Err(last)
    }

    async fn call(
        &self,
        addr: net::SocketAddr,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|err| CallError::Setup(err.to_string()))?;
        let call = async {
            let response = self.client.request(request).await.map_err(|err| {
                let message = format!("{addr}: {err}");
                match err.is_connect() {
                    true => CallError::Unreachable(message),
                    false => CallError::Lost(message),
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|err| CallError::Lost(format!("{addr}: {err}")))?;
            Ok((status, body.to_bytes()))
        };
        let timeout = CallError::Lost(format!("{addr}: timeout"));
        time::timeout(RESPONSE_TIMEOUT, call).await.unwrap_or(Err(timeout))
    }
}

fn decode_edit_answer(status: StatusCode, body: &[u8]) -> Result<EditAnswer, CallError> {
    let answer = serde_json::from_slice::<EditAnswer>(body);
    answer.map_err(|_| {
        let text = String::from_utf8_lossy(body);
        CallError::Decode(format!("{status}: {}", text.trim()))
    })
}

/// Generates a unique id for an edit.
pub fn new_edit_id() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // `RandomState` is the standard library's only source of randomness.
    let random = RandomState::new().build_hasher().finish();
    let text = format!("{} {} {random}", since_epoch.as_nanos(), process::id());
    let hash = blake3::hash(text.as_bytes()).to_hex();
    format!("e-{}", &hash[..20])
}
