//! Calls to the operators' interface of the routers.

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

/// Longest wait for a connection to a router.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for an answer; an edit may wait for the log for some seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Times that an edit without an answer is sent again under its id.
const EDIT_TRIES: usize = 3;

quick_error! {
    /// Why a call has no answer.
    #[derive(Debug)]
    pub enum CallError {
        /// No router could be connected to; nothing was sent.
        Unreachable(message: String) {
            display("no router can be reached: {message}")
        }
        /// A router took the call but its answer was lost.
        Lost(message: String) {
            display("the router's answer was lost: {message}")
        }
        /// The operator's key isn't known.
        Refused {
            display("the router doesn't know this operator's key")
        }
        /// The answer can't be read.
        Answer(message: String) {
            display("the router's answer can't be read: {message}")
        }
        /// The command line or a file it names is wrong.
        Setup(message: String) {
            display("{message}")
        }
    }
}

impl CallError {
    /// Exit code for a call that changes nothing.
    pub fn exit(&self) -> Exit {
        match self {
            CallError::Unreachable(_) | CallError::Lost(_) => Exit::Outage,
            CallError::Refused => Exit::Refused,
            CallError::Answer(_) => Exit::Failed,
            CallError::Setup(_) => Exit::Unreadable,
        }
    }
}

/// Client for the operators' interface of one or more routers.
pub struct Client {
    runtime: runtime::Runtime,
    client: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
    routers: Vec<net::SocketAddr>,
    key: String,
}

impl Client {
    /// Creates a client with the routers and the key that the command line names.
    ///
    /// # Errors
    ///
    /// The key's file can't be read.
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

    /// Reads what a path holds, from the first router that answers.
    ///
    /// # Errors
    ///
    /// No router answers, or the answer can't be read.
    pub fn get<T: de::DeserializeOwned>(&self, path: &str) -> Result<T, CallError> {
        let body = self.first_answer(|addr| self.call(addr, "GET", path, Bytes::new()))?;
        serde_json::from_slice(&body.1).map_err(|err| CallError::Answer(err.to_string()))
    }

    /// Sends an edit until a router answers; the same id is one edit however often it is sent.
    ///
    /// # Errors
    ///
    /// [`CallError::Lost`] if the edit may have come into force without an answer.
    pub fn edit(&self, edit: &EditRequest) -> Result<EditAnswer, CallError> {
        let json = serde_json::to_vec(edit).map_err(|err| CallError::Answer(err.to_string()))?;
        let json = Bytes::from(json);
        let mut lost = None;
        for _ in 0..EDIT_TRIES {
            let call = |addr| self.call(addr, "POST", "/table/edits", json.clone());
            let result = match self.first_answer(call) {
                Ok((status, body)) => read_edit_answer(status, &body),
                Err(err) => Err(err),
            };
            match result {
                // After a lost answer, only what the log holds says that nothing has changed.
                Ok(answer) if lost.is_some() && answer.outcome == EditAnswerOutcome::Outage => {}
                Ok(answer) => return Ok(answer),
                Err(CallError::Lost(message)) => lost = Some(message),
                Err(err) if lost.is_none() => return Err(err),
                Err(_) => {}
            }
        }
        Err(CallError::Lost(lost.unwrap_or_default()))
    }

    /// Calls one router after the other until one can be connected to.
    fn first_answer<F: Future<Output = Result<(StatusCode, Bytes), CallError>>>(
        &self,
        call: impl Fn(net::SocketAddr) -> F,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut last = CallError::Unreachable("--router names none".to_string());
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
            let answer = self.client.request(request).await.map_err(|err| {
                let message = format!("{addr}: {err}");
                match err.is_connect() {
                    true => CallError::Unreachable(message),
                    false => CallError::Lost(message),
                }
            })?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|err| CallError::Lost(format!("{addr}: {err}")))?;
            Ok((status, body.to_bytes()))
        };
        let timeout = CallError::Lost(format!("{addr}: timeout"));
        time::timeout(ANSWER_TIMEOUT, call).await.unwrap_or(Err(timeout))
    }
}

fn read_edit_answer(status: StatusCode, body: &[u8]) -> Result<EditAnswer, CallError> {
    let answer = serde_json::from_slice::<EditAnswer>(body);
    answer.map_err(|_| {
        let text = String::from_utf8_lossy(body);
        CallError::Answer(format!("{status}: {}", text.trim()))
    })
}

/// Chooses an id that no other edit has.
pub fn new_edit_id() -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // The standard library's only source of randomness.
    let random = RandomState::new().build_hasher().finish();
    let text = format!("{} {} {random}", since_epoch.as_nanos(), process::id());
    let hash = blake3::hash(text.as_bytes()).to_hex();
    format!("e-{}", &hash[..20])
}
