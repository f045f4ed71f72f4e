//! HTTP interface of the engine.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{delete, get, post};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time;

use super::Faults;
use super::api::{Completion, Kind};
use super::batch::{Engine, Refusal};
use super::stream::{Progress, Stream};
use crate::server;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Delay between the last tokens of a broken stream and the close, so that the tokens arrive.
const BREAK_DELAY: Duration = Duration::from_millis(10);
/// Interval of checks whether the `stall` fault has been cleared.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

static STREAM_ID: HeaderName = HeaderName::from_static("stream-id");

type Shared = State<Arc<Engine>>;

pub(super) fn router(engine: Arc<Engine>) -> axum::Router {
    axum::Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/completions", post(text))
        .route("/v1/streams/{id}/resume", post(resume))
        .route("/v1/streams/{id}", delete(cancel))
        .route("/load", get(load))
        .route("/cache/events", get(cache_events))
        .route("/faults", get(show_faults).post(set_faults))
        .route("/stats", get(stats))
        .route("/stats/attempts", get(attempts))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(engine)
}

async fn chat(State(engine): Shared, headers: HeaderMap, body: Bytes) -> Response {
    complete(engine, Kind::Chat, &headers, &body).await
}

async fn text(State(engine): Shared, headers: HeaderMap, body: Bytes) -> Response {
    complete(engine, Kind::Text, &headers, &body).await
}

async fn complete(engine: Arc<Engine>, kind: Kind, headers: &HeaderMap, body: &[u8]) -> Response {
    let request: Completion = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    wait_while_stalled(&engine).await;
    let attempt = headers.get("x-attempt-id").and_then(|id| id.to_str().ok());
    let stream = match engine.submit(&request, kind, attempt) {
        Ok(stream) => stream,
        Err(refusal) => return refusal_response(refusal),
    };
    if engine.is_instant() {
        return instant_response(&engine, &stream, request.stream).await;
    }
    stream.attach();
    let reader = Reader::new(engine, stream, 0);
    if request.stream { reader.into_response() } else { reader.collect().await }
}

async fn wait_while_stalled(engine: &Engine) {
    while engine.faults().stall {
        time::sleep(STALL_POLL_INTERVAL).await;
    }
}

fn refusal_response(refusal: Refusal) -> Response {
    match refusal {
        Refusal::WrongModel => error_response(StatusCode::NOT_FOUND, "no such model"),
        Refusal::QueueFull => error_response(StatusCode::SERVICE_UNAVAILABLE, "queue is full"),
        Refusal::Fault(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            error_response(status, "fault")
        }
    }
}

fn error_response(status: StatusCode, message: &str) -> Response {
    (status, Json(serde_json::json!({"error": {"message": message}}))).into_response()
}

/// Returns the complete response in one write, for an engine without batching.
async fn instant_response(engine: &Engine, stream: &Stream, is_streamed: bool) -> Response {
    let delay = engine.instant_delay(stream);
    if delay >= Duration::from_millis(1) {
        time::sleep(delay).await;
    }
    if !is_streamed {
        return json_response(stream.writer.complete_body(&stream.usage));
    }
    let mut events = String::new();
    for n in 1..=stream.usage.completion_tokens {
        stream.writer.token_event(&mut events, n);
    }
    stream.writer.end_events(&mut events, &stream.usage);
    stream_response(&stream.id, Body::from(events))
}

fn json_response(body: String) -> Response {
    ([(header::CONTENT_TYPE, "application/json")], body).into_response()
}

fn stream_response(id: &str, body: Body) -> Response {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(STREAM_ID.clone(), id);
    }
    response
}

/// Reads a stream for one connection.
struct Reader {
    engine: Arc<Engine>,
    stream: Arc<Stream>,
    progress: watch::Receiver<Progress>,
    sent_tokens: u32,
    /// Number of the token after which the connection is closed.
    break_after: Option<u32>,
    is_done: bool,
    cancels_on_drop: bool,
}

impl Reader {
    fn new(engine: Arc<Engine>, stream: Arc<Stream>, offset: u32) -> Reader {
        let progress = stream.watch();
        let break_after = engine.take_break_fault().map(|tokens| offset.saturating_add(tokens));
        Reader {
            engine,
            stream,
            progress,
            sent_tokens: offset,
            break_after,
            is_done: false,
            cancels_on_drop: false,
        }
    }

    fn into_response(self) -> Response {
        let id = self.stream.id.clone();
        let events = futures_util::stream::unfold(self, Reader::next);
        stream_response(&id, Body::from_stream(events))
    }

    async fn next(mut self) -> Option<(io::Result<String>, Reader)> {
        if self.is_done {
            return None;
        }
        let events = self.next_events().await;
        self.is_done |= events.is_err();
        Some((events, self))
    }

    async fn next_events(&mut self) -> io::Result<String> {
        let total = self.stream.usage.completion_tokens;
        if self.break_after.is_some_and(|after| self.sent_tokens >= after) {
            time::sleep(BREAK_DELAY).await;
            return Err(io::Error::other("stream broken by an injected fault"));
        }
        let sent = self.sent_tokens;
        let progress = self
            .progress
            .wait_for(|progress| {
                progress.was_cancelled || progress.token_count > sent || sent >= total
            })
            .await
            .map(|progress| *progress)
            .map_err(io::Error::other)?;
        if progress.was_cancelled {
            return Err(io::Error::other("stream cancelled"));
        }
        let mut until = progress.token_count.min(total);
        if let Some(after) = self.break_after {
            until = until.min(after.max(sent));
        }
        let mut events = String::with_capacity(512);
        for n in sent + 1..=until {
            self.stream.writer.token_event(&mut events, n);
        }
        self.sent_tokens = until.max(sent);
        if self.sent_tokens >= total {
            self.stream.writer.end_events(&mut events, &self.stream.usage);
            self.is_done = true;
        }
        Ok(events)
    }

    /// Waits for the complete response. If the caller disconnects, the stream is cancelled, since a
    /// response without streaming can't be resumed.
    async fn collect(mut self) -> Response {
        self.cancels_on_drop = true;
        let total = self.stream.usage.completion_tokens;
        let progress = self
            .progress
            .wait_for(|progress| progress.was_cancelled || progress.token_count >= total)
            .await
            .map(|progress| *progress);
        self.cancels_on_drop = false;
        match progress {
            Ok(progress) if !progress.was_cancelled => {
                json_response(self.stream.writer.complete_body(&self.stream.usage))
            }
            _ => error_response(StatusCode::INTERNAL_SERVER_ERROR, "stream is cancelled"),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.stream.detach();
        if self.cancels_on_drop {
            self.engine.cancel(&self.stream.id);
        }
    }
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    offset: u32,
}

async fn resume(
    State(engine): Shared,
    Path(id): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    wait_while_stalled(&engine).await;
    match engine.resume(&id) {
        Some(stream) if query.offset <= stream.watch().borrow().token_count => {
            Reader::new(engine, stream, query.offset).into_response()
        }
        Some(stream) => {
            stream.detach();
            error_response(StatusCode::RANGE_NOT_SATISFIABLE, "no token has this number yet")
        }
        None => error_response(StatusCode::NOT_FOUND, "no such stream"),
    }
}

async fn cancel(State(engine): Shared, Path(id): Path<String>) -> Response {
    if engine.cancel(&id) {
        StatusCode::NO_CONTENT.into_response()
    } else {
        error_response(StatusCode::NOT_FOUND, "no such stream")
    }
}

async fn load(State(engine): Shared) -> Response {
    Json(engine.load()).into_response()
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    from: u64,
}

async fn cache_events(State(engine): Shared, Query(query): Query<EventsQuery>) -> Response {
    Json(engine.cache_events(query.from)).into_response()
}

async fn show_faults(State(engine): Shared) -> Response {
    Json(engine.faults()).into_response()
}

async fn set_faults(State(engine): Shared, body: Bytes) -> Response {
    server::apply_json(&body, |faults: Faults| engine.set_faults(faults))
}

async fn stats(State(engine): Shared) -> Response {
    Json(engine.stats()).into_response()
}

async fn attempts(State(engine): Shared) -> Response {
    Json(engine.attempts()).into_response()
}
