//! Streamed responses: delivers each token exactly once and in order, and resumes the stream if the
//! connection to the target is lost.

use std::sync;
use std::time::Duration;

use axum::{body, response};
use bytes::Bytes;
use futures_util::stream;
use gentianhinge_core::code::ResultCode;
use http::{HeaderValue, Method, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time;

use super::failure::{self, Failure};
use super::model::{self, AttemptError, Meter, ModelCall};
use super::slot::Slot;
use super::upstream::{self, Connection};
use super::{Traffic, sse};

/// Events buffered for a slow caller before reading from the target is paused.
const BUFFERED_EVENTS: usize = 32;

/// Time between two reports of a stream's cost to the control thread.
const COST_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for resuming or cancelling a stream at its target.
const RESUME_TIMEOUT: Duration = Duration::from_secs(2);

/// An event-stream comment, which clients ignore; keeps the connection open while no event is sent.
const KEEPALIVE: &[u8] = b": waiting\n\n";

/// Sent from the task that runs the request to the response body.
#[derive(Debug)]
enum Item {
    /// Bytes of an event for the caller.
    Event(Bytes),
    /// The target refused the request; its response is forwarded.
    Refused(response::Response),
    /// The request failed; ends the response.
    Failed(Failure),
}

/// Starts the request and responds as soon as it has its first event or has failed.
///
/// After the keepalive interval the response begins without an event; a later failure is then
/// reported as an event of the stream.
///
/// # Errors
///
/// The request failed before the response began.
pub async fn respond(
    traffic: sync::Arc<Traffic>,
    call: ModelCall,
) -> Result<response::Response, Failure> {
    let (items, mut receiver) = mpsc::channel(BUFFERED_EVENTS);
    let interval = traffic.bounds.keepalive_interval;
    let request_id = call.context.request_id.clone();
    tokio::spawn(async move {
        let runner = Runner::new(&traffic, &call, &items);
        runner.run().await;
    });
    let first = match time::timeout(interval, receiver.recv()).await {
        Ok(Some(Item::Failed(failure))) => return Err(failure),
        Ok(Some(Item::Refused(answer))) => return Ok(answer),
        Ok(Some(Item::Event(event))) => event,
        Ok(None) => return Err(Failure::new(ResultCode::Draining, "the router has ended")),
        Err(_) => Bytes::from_static(KEEPALIVE),
    };
    let remaining = RemainingEvents { receiver, interval, request_id: request_id.clone() };
    let events = stream::unfold((Some(first), remaining), |(first, mut remaining)| async move {
        let event = match first {
            Some(first) => Some(first),
            None => remaining.next().await,
        };
        event.map(|event| (Ok::<_, std::convert::Infallible>(event), (None, remaining)))
    });
    let mut response = response::Response::new(body::Body::from_stream(events));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    failure::set_result_headers(headers, ResultCode::Ok, &request_id);
    Ok(response)
}

/// The events after the first, with keepalive comments between them.
struct RemainingEvents {
    receiver: mpsc::Receiver<Item>,
    interval: Duration,
    request_id: sync::Arc<str>,
}

impl RemainingEvents {
    async fn next(&mut self) -> Option<Bytes> {
        match time::timeout(self.interval, self.receiver.recv()).await {
            Ok(Some(Item::Event(event))) => Some(event),
            Ok(Some(Item::Failed(failure))) => Some(failure.into_event(&self.request_id)),
            Ok(Some(Item::Refused(answer))) => {
                let message = format!("the target answered {}", answer.status());
                let failure = Failure::new(ResultCode::TargetError, message);
                Some(failure.into_event(&self.request_id))
            }
            Ok(None) => None,
            Err(_) => Some(Bytes::from_static(KEEPALIVE)),
        }
    }
}

/// Why reading from one connection to the target ended.
enum ReadEnd {
    /// The event that ends the stream was received.
    Done,
    /// The caller closed its connection.
    CallerLeft,
    /// The target or the connection was lost.
    Broken(AttemptError),
}

/// How a request ended that didn't fail.
enum End {
    /// The complete response was delivered.
    Answered,
    /// The caller closed its connection.
    CallerLeft,
}

/// Runs one streamed request: waits for a slot, forwards events, resumes and retries.
struct Runner<'a> {
    traffic: &'a Traffic,
    call: &'a ModelCall,
    items: &'a mpsc::Sender<Item>,
    meter: Meter,
    last_token_at: Option<time::Instant>,
    cost_reported_at: time::Instant,
}

impl<'a> Runner<'a> {
    fn new(traffic: &'a Traffic, call: &'a ModelCall, items: &'a mpsc::Sender<Item>) -> Runner<'a> {
        Runner {
            traffic,
            call,
            items,
            meter: Meter::new(&call.pool, &call.body),
            last_token_at: None,
            cost_reported_at: call.context.arrived_at,
        }
    }

    async fn run(mut self) {
        let context = &self.call.context;
        let result = self.run_attempts().await;
        context.set_output_tokens(self.meter.output_tokens);
        match result {
            Ok(End::Answered) => {
                context.close_answered();
                self.traffic.retries.deposit(context.team());
            }
            // Dropping the request context records that the caller left.
            Ok(End::CallerLeft) => {}
            Err(failure) => {
                context.close_failed(&failure);
                let _ = self.items.send(Item::Failed(failure)).await;
            }
        }
    }

    /// Whether a token was forwarded to the caller; from then on the request isn't retried.
    fn has_output(&self) -> bool {
        self.last_token_at.is_some()
    }

    async fn run_attempts(&mut self) -> Result<End, Failure> {
        for attempt in 1_u32.. {
            let (traffic, call) = (self.traffic, self.call);
            let slot = tokio::select! {
                slot = traffic.acquire_slot(call.slot_request()) => slot?,
                () = self.items.closed() => return Ok(End::CallerLeft),
            };
            call.context.begin_attempt(&slot.target);
            match self.attempt(&slot, attempt).await {
                Ok(end) => return Ok(end),
                Err(err) if self.has_output() => return Err(self.interrupted(err)),
                Err(err) => traffic.may_retry(&call.context, attempt, err)?,
            }
        }
        unreachable!("the loop ends by a return")
    }

    async fn attempt(&mut self, slot: &Slot, attempt: u32) -> Result<End, AttemptError> {
        let sent = self.traffic.send_model(self.call, slot, attempt);
        let answer = tokio::select! {
            answer = sent => answer?,
            () = self.items.closed() => return Ok(End::CallerLeft),
        };
        if !answer.status().is_success() {
            let answer = self.traffic.read_answer(self.call, slot, answer).await?;
            let _ = self.items.send(Item::Refused(answer)).await;
            return Ok(End::Answered);
        }
        let stream_id = answer.headers().get("stream-id").cloned();
        let mut end = self.read(slot, answer.into_body()).await;
        for _ in 0..self.traffic.bounds.max_resumes {
            let ReadEnd::Broken(_) = &end else { break };
            let Some(stream_id) = stream_id.as_ref().filter(|_| self.has_output()) else { break };
            let Some(answer) = self.resume(slot, stream_id).await else { continue };
            end = self.read(slot, answer.into_body()).await;
        }
        match end {
            ReadEnd::Done => Ok(End::Answered),
            ReadEnd::CallerLeft => {
                self.cancel(slot, stream_id);
                Ok(End::CallerLeft)
            }
            ReadEnd::Broken(err) => Err(err),
        }
    }

    /// Forwards events until the stream ends or its connection is lost.
    async fn read(&mut self, slot: &Slot, mut body: Incoming) -> ReadEnd {
        let mut splitter = sse::Splitter::default();
        loop {
            let bounds = &self.traffic.bounds;
            let timeout =
                if self.has_output() { bounds.idle_timeout } else { bounds.first_byte_timeout };
            let frame = tokio::select! {
                frame = time::timeout(timeout, body.frame()) => frame,
                () = self.items.closed() => return ReadEnd::CallerLeft,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(err))) => {
                    return ReadEnd::Broken(model::lost(format!("{}: {err}", slot.target)));
                }
                Ok(None) => {
                    let message = format!("{} ended the stream without its end mark", slot.target);
                    return ReadEnd::Broken(model::lost(message));
                }
                Err(_) => return ReadEnd::Broken(model::timed_out(slot)),
            };
            let Ok(bytes) = frame.into_data() else { continue };
            if !splitter.push(&bytes) {
                let message = format!("{} sent an event that is too large", slot.target);
                return ReadEnd::Broken(model::lost(message));
            }
            while let Some(event) = splitter.next_event() {
                if let Some(end) = self.forward_event(slot, event).await {
                    return end;
                }
            }
        }
    }

    async fn forward_event(&mut self, slot: &Slot, event: sse::Event) -> Option<ReadEnd> {
        if let Some(token) = event.token {
            // A resumed stream may repeat tokens that were already forwarded.
            if token <= self.meter.output_tokens {
                return None;
            }
            if token > self.meter.output_tokens + 1 {
                let message = format!("{} left out tokens before {token}", slot.target);
                return Some(ReadEnd::Broken(model::lost(message)));
            }
            self.meter.output_tokens = token;
            self.record_token_latency();
        }
        if let Some(usage) = event.usage() {
            self.meter.set_usage(usage);
        }
        if event.done || self.cost_reported_at.elapsed() >= COST_REPORT_INTERVAL {
            self.cost_reported_at = time::Instant::now();
            slot.report_cost(self.meter.cost());
        }
        let done = event.done;
        let sent = self.items.send(Item::Event(event.raw));
        match time::timeout(self.traffic.bounds.unread_timeout, sent).await {
            Ok(Ok(())) => done.then_some(ReadEnd::Done),
            // A caller that stops reading still occupies a slot, so it is disconnected.
            Ok(Err(_)) | Err(_) => Some(ReadEnd::CallerLeft),
        }
    }

    fn record_token_latency(&mut self) {
        let metrics = &self.call.context.flow.metrics;
        let now = time::Instant::now();
        match self.last_token_at.replace(now) {
            Some(last) => metrics.inter_token_latency.record(now - last),
            None => metrics.time_to_first_token.record(now - self.call.context.arrived_at),
        }
    }

    /// Resumes the stream after the last forwarded token, on a new connection.
    async fn resume(&self, slot: &Slot, stream_id: &HeaderValue) -> Option<upstream::Answer> {
        let stream_id = stream_id.to_str().ok()?;
        let offset = self.meter.output_tokens;
        let path = format!("/v1/streams/{stream_id}/resume?offset={offset}");
        let mut request = http::Request::new(Full::default());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = upstream::target_uri(slot.addr, &path)?;
        let sent = self.traffic.upstream.send(Connection::Fresh, request);
        let answer = time::timeout(RESUME_TIMEOUT, sent).await.ok()?.ok()?;
        answer.status().is_success().then_some(answer)
    }

    /// Cancels the stream at the target in the background, because the caller has left.
    fn cancel(&self, slot: &Slot, stream_id: Option<HeaderValue>) {
        let path = stream_id.as_ref().and_then(|id| id.to_str().ok());
        let uri = path.and_then(|id| upstream::target_uri(slot.addr, &format!("/v1/streams/{id}")));
        let Some(uri) = uri else { return };
        let mut request = http::Request::new(Full::default());
        *request.method_mut() = Method::DELETE;
        *request.uri_mut() = uri;
        let client = self.traffic.upstream.clone();
        tokio::spawn(async move {
            // A target that can't be reached has already dropped the stream with its connection.
            let _ = time::timeout(RESUME_TIMEOUT, client.send(Connection::Fresh, request)).await;
        });
    }

    fn interrupted(&self, err: AttemptError) -> Failure {
        let cause = err.into_failure().message;
        self.call.context.fail_attempt(&cause);
        let delivered = self.meter.output_tokens;
        Failure::new(
            ResultCode::AnswerInterrupted,
            format!("{cause}; {delivered} tokens delivered"),
        )
    }
}
