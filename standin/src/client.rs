//! HTTP client that checks whether each response is complete and belongs to its request.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use quick_error::quick_error;
use serde::Deserialize;
use tokio::time;

use crate::engine::{Completion, Usage, unix_time};
use crate::sse;

/// Response header with the number of the result code.
const RESULT_HEADER: &str = "gentianhinge-result";

quick_error! {
    /// Why a call has no complete response.
    #[derive(Debug)]
    pub enum CallError {
        /// The request is invalid.
        Request(error: http::Error) {
            from()
            display("invalid request: {error}")
        }
        /// No response head was received.
        Send(error: legacy::Error) {
            from()
            display("no response: {error}")
        }
        /// The connection failed within the response body.
        Body(error: hyper::Error) {
            from()
            display("incomplete response body: {error}")
        }
    }
}

/// HTTP client with a connection pool. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct CompleteResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CompleteResponse {
    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Number of the result code, if the response has a valid one.
    pub fn result_code(&self) -> Option<u16> {
        self.headers.get(RESULT_HEADER)?.to_str().ok()?.parse().ok()
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body isn't JSON of this type.
    pub fn json<'a, T: Deserialize<'a>>(&'a self) -> serde_json::Result<T> {
        serde_json::from_slice(&self.body)
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client { inner: legacy::Client::builder(TokioExecutor::new()).build(connector) }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if no head is received.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        Ok(self.inner.request(request).await?)
    }

    /// Sends a request to a path of `addr` and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response is received.
    pub async fn call(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<CompleteResponse, CallError> {
        self.call_url(method, &format!("http://{addr}{path}"), headers, body).await
    }

    /// Sends a request to `url` and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response is received.
    pub async fn call_url(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<CompleteResponse, CallError> {
        let mut request = Request::builder().method(method).uri(url);
        for &(name, value) in headers {
            request = request.header(name, value);
        }
        let response = self.send(request.body(Full::new(body.into()))?).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(CompleteResponse { status: head.status.as_u16(), headers: head.headers, body })
    }

    /// Sends `completion` and reads its response to the end.
    ///
    /// # Errors
    ///
    /// Fails if no response head is received. Later errors are part of the outcome.
    pub async fn complete(
        &self,
        base_url: &str,
        headers: &[(&str, &str)],
        completion: &Completion,
    ) -> Result<Outcome, CallError> {
        self.complete_with(base_url, headers, completion, |_| {}).await
    }

    /// Like [`Client::complete`], and calls `on_progress` for each part as it arrives.
    ///
    /// # Errors
    ///
    /// Same as [`Client::complete`].
    pub async fn complete_with(
        &self,
        base_url: &str,
        headers: &[(&str, &str)],
        completion: &Completion,
        on_progress: impl Fn(Progress),
    ) -> Result<Outcome, CallError> {
        let body = serde_json::to_vec(completion).unwrap_or_default();
        let uri = format!("{base_url}/v1/chat/completions");
        let mut request = Request::post(uri).header("content-type", "application/json");
        for &(name, value) in headers {
            request = request.header(name, value);
        }
        let started_at = time::Instant::now();
        let response = self.send(request.body(Full::new(body.into()))?).await?;
        let mut outcome = Outcome::new(started_at, &response);
        let body = response.into_body();
        if completion.stream && outcome.status == 200 {
            outcome.read_stream(body, completion, on_progress).await;
        } else {
            outcome.read_complete(body, completion, on_progress).await;
        }
        outcome.ended_at = time::Instant::now();
        Ok(outcome)
    }
}

/// Part of a response that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The prompt was processed. Holds its token count: from the usage, or, for a stream, as the
    /// engine counts it.
    Prompt(u32),
    /// Number of response tokens received.
    Tokens(u32),
}

/// Result of a completion request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Number of the result code, from the header or an error body or event; 0 if there is none.
    pub result_code: u16,
    /// When the request was sent.
    pub started_at: time::Instant,
    /// When the head of the response was received.
    pub head_at: time::Instant,
    /// When each token was received; empty without streaming.
    pub token_at: Vec<time::Instant>,
    /// Time from the engine's write of each token to its arrival, if the engine states the former.
    pub transit_us: Vec<u64>,
    /// When the response ended.
    pub ended_at: time::Instant,
    /// Token counts stated by the response.
    pub usage: Option<Usage>,
    /// First error found; `None` if the response is complete and belongs to the request.
    pub error: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
    standin_sent_us: Option<u64>,
    error: Option<ErrorBody>,
}

#[derive(Deserialize)]
struct Choice {
    delta: Option<Content>,
    message: Option<Content>,
}

#[derive(Deserialize)]
struct Content {
    content: Option<String>,
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    code: u16,
    #[serde(default)]
    message: String,
}

impl Outcome {
    fn new<B>(started_at: time::Instant, response: &Response<B>) -> Outcome {
        let result_code = response.headers().get(RESULT_HEADER);
        let result_code = result_code.and_then(|value| value.to_str().ok()?.parse().ok());
        let now = time::Instant::now();
        Outcome {
            status: response.status().as_u16(),
            result_code: result_code.unwrap_or(0),
            started_at,
            head_at: now,
            token_at: Vec::new(),
            transit_us: Vec::new(),
            ended_at: now,
            usage: None,
            error: None,
        }
    }

    /// Whether the status is 200 and the response is complete and belongs to its request.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && self.error.is_none()
    }

    fn set_error(&mut self, error: String) {
        self.error.get_or_insert(error);
    }

    async fn read_stream(
        &mut self,
        mut body: Incoming,
        completion: &Completion,
        on_progress: impl Fn(Progress),
    ) {
        let mut parser = sse::Parser::default();
        let mut is_done = false;
        while let Some(frame) = body.frame().await {
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => return self.set_error(format!("incomplete response body: {error}")),
            };
            let Some(data) = frame.data_ref() else { continue };
            for event in parser.push(data) {
                if is_done {
                    self.set_error("received events after the end of the stream".to_owned());
                }
                is_done |= event.data == "[DONE]";
                let count_before = self.token_at.len();
                self.apply_event(&event, completion);
                if self.token_at.len() > count_before {
                    if count_before == 0 {
                        on_progress(Progress::Prompt(completion.prompt_token_count()));
                    }
                    on_progress(Progress::Tokens(1));
                }
            }
        }
        if !is_done {
            self.set_error("response ended early, without a [DONE] event".to_owned());
        }
        self.check_length(self.token_at.len());
    }

    fn apply_event(&mut self, event: &sse::Event, completion: &Completion) {
        if event.data == "[DONE]" {
            return;
        }
        let chunk: Chunk = match serde_json::from_str(&event.data) {
            Ok(chunk) => chunk,
            Err(error) => return self.set_error(format!("event isn't valid JSON: {error}")),
        };
        if let Some(error) = chunk.error {
            self.result_code = error.code;
            return self
                .set_error(format!("received error event {}: {}", error.code, error.message));
        }
        self.usage = chunk.usage.or(self.usage);
        let delta = chunk.choices.into_iter().find_map(|choice| choice.delta?.content);
        let Some(text) = delta else { return };
        if let Some(sent_us) = chunk.standin_sent_us {
            let now_us = unix_time().as_micros() as u64;
            self.transit_us.push(now_us.saturating_sub(sent_us));
        }
        self.token_at.push(time::Instant::now());
        let expected = token_text(completion, self.token_at.len());
        if text != expected {
            self.set_error(format!("received token {text:?}, expected {expected:?}"));
        }
    }

    async fn read_complete(
        &mut self,
        body: Incoming,
        completion: &Completion,
        on_progress: impl Fn(Progress),
    ) {
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return self.set_error(format!("incomplete response body: {error}")),
        };
        let chunk: Chunk = match serde_json::from_slice(&body) {
            Ok(chunk) => chunk,
            Err(error) => return self.set_error(format!("response isn't valid JSON: {error}")),
        };
        if let Some(error) = chunk.error {
            self.result_code = error.code;
            return self.set_error(format!("received error {}: {}", error.code, error.message));
        }
        self.usage = chunk.usage;
        if let Some(usage) = chunk.usage {
            on_progress(Progress::Prompt(usage.prompt_tokens));
            on_progress(Progress::Tokens(usage.completion_tokens));
        }
        let message = chunk.choices.into_iter().find_map(|choice| choice.message?.content);
        let text = message.unwrap_or_default();
        let count = text.split_whitespace().count();
        let expected: String = (1..=count).map(|n| token_text(completion, n)).collect();
        if text != expected {
            self.set_error("tokens are missing, duplicated, or of another request".to_owned());
        }
        self.check_length(count);
    }

    fn check_length(&mut self, count: usize) {
        match self.usage {
            None => self.set_error("response has no usage".to_owned()),
            Some(usage) if usage.completion_tokens as usize != count => {
                self.set_error(format!(
                    "received {count} tokens, but usage states {}",
                    usage.completion_tokens
                ));
            }
            Some(_) => {}
        }
    }
}

/// Expected text of the n-th token of the response to a request.
fn token_text(completion: &Completion, n: usize) -> String {
    match &completion.user {
        Some(user) => format!("{user}:{n} "),
        None => format!("t{n} "),
    }
}
