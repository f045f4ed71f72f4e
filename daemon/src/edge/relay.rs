//! Forwards an event stream to its caller, and resumes it at another target if it is interrupted.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream;
use gentianhinge_core::health;
use gentianhinge_core::routing::Answer;
use gentianhinge_platform::answer;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time::{self, Instant};

use super::attempt::{self, EventStream, Outcome, Request};
use super::crash;
use super::events::{EventSplitter, StreamTimeouts};
use super::queue::{Admission, InFlight};
use super::reply::{Body, BodyError};
use super::request_record::RequestRecord;
use super::serve::Traffic;
use super::spec::RequestSpec;

/// Capacity of the channel to the caller's connection, in chunks.
const CHANNEL_CHUNKS: usize = 16;

/// Multiple of the route's event gap target after which a stream without events counts as broken.
const EVENT_GAP_FACTOR: u32 = 5;

/// Minimum timeout between two events.
const MIN_EVENT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1000);

/// Maximum number of attempts to resume a stream after an interruption.
const MAX_RESUME_TRIES: u32 = 3;

/// An event stream being forwarded to its caller.
pub struct Relay {
    /// State of the traffic thread.
    pub traffic: Rc<Traffic>,
    /// The caller's request.
    pub request: Request,
    /// Properties of the request for admission.
    pub spec: RequestSpec,
    /// Number of targets that may have run the request.
    pub attempt_count: u32,
    /// Id of the last event that the caller had received before this response.
    pub last_event_id: Option<u64>,
    /// Log record of the request.
    pub record: RequestRecord,
}

/// What the relay passes to the caller's connection.
#[derive(Debug)]
pub enum Chunk {
    /// Complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// Body of a response that ends with [`Chunk::End`]. Without it, for example after a panic of the
/// sender, the body ends with an error, so that the caller can tell that it is incomplete.
pub fn body(receiver: mpsc::Receiver<Chunk>) -> Body {
    let frames = stream::unfold(Some(receiver), async |receiver| {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Chunk::Events(events)) => Some((Ok(Frame::data(events)), Some(receiver))),
            Some(Chunk::End) => None,
            None => Some((Err(BodyError::Truncated), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Why forwarding from a target ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The deadline of the request has passed.
    Timeout,
    /// The stream failed or timed out.
    Broken {
        /// Description of the error.
        cause: String,
        /// Whether the response had begun without any event.
        is_at_start: bool,
    },
}

impl Relay {
    /// Starts forwarding in a task of its own and returns the response.
    pub fn start(
        self,
        first_stream: Box<EventStream>,
        in_flight: InFlight,
    ) -> http::Response<Body> {
        let (chunks, receiver) = mpsc::channel(CHANNEL_CHUNKS);
        let mut response = http::Response::new(body(receiver));
        *response.status_mut() = first_stream.head.status;
        *response.headers_mut() = answer::head_for_caller(&first_stream.head.headers);
        task::spawn_local(self.run(first_stream, in_flight, chunks));
        response
    }

    async fn run(
        mut self,
        first_stream: Box<EventStream>,
        in_flight: InFlight,
        chunks: mpsc::Sender<Chunk>,
    ) {
        let mut splitter = EventSplitter::new(self.last_event_id);
        let mut attempt = Some((first_stream, in_flight));
        while let Some((stream, mut in_flight)) = attempt.take() {
            let status = stream.head.status.as_u16();
            match self.forward(stream, &mut in_flight, &mut splitter, &chunks).await {
                StreamEnd::Complete => {
                    crash::record_answer(&self.traffic, &self.spec);
                    self.record.set_attempt_result("complete");
                    self.record.set_outcome("served", status, true);
                    // The caller may have left meanwhile.
                    let _ = chunks.send(Chunk::End).await;
                    return;
                }
                StreamEnd::CallerLeft => {
                    self.record.set_attempt_result("caller disconnected");
                    return;
                }
                StreamEnd::Timeout => self.record.set_attempt_result("time limit"),
                StreamEnd::Broken { cause, is_at_start } => {
                    self.record.set_attempt_result(&cause);
                    let may_resume = !is_at_start
                        || crash::may_retry(&self.traffic, &self.spec, &in_flight).await;
                    // Its load must not count at the choice of the next target.
                    drop(in_flight);
                    if may_resume {
                        attempt = self.resume(&mut splitter, &chunks).await;
                    } else {
                        self.record
                            .set_detail("the target ended as it began to answer".to_string());
                    }
                }
            }
        }
        self.record.set_outcome("stream-cut", 200, false);
        // Without the end, the connection is closed before the end of the body.
        drop(chunks);
    }

    async fn forward(
        &mut self,
        mut stream: Box<EventStream>,
        in_flight: &mut InFlight,
        splitter: &mut EventSplitter,
        chunks: &mpsc::Sender<Chunk>,
    ) -> StreamEnd {
        let route = self.request.route.clone();
        let stream_timeouts = StreamTimeouts {
            first_event: attempt::first_event_time(&self.request, in_flight),
            between_events: (route.event_gap_target * EVENT_GAP_FACTOR).max(MIN_EVENT_TIMEOUT),
        };
        let mut has_begun = false;
        let broken = |cause: &str, has_begun: bool| StreamEnd::Broken {
            cause: cause.to_string(),
            is_at_start: !has_begun,
        };
        let mut last_at = Instant::now();
        loop {
            let deadline = stream_timeouts.deadline(last_at, has_begun).min(self.request.deadline);
            let frame = tokio::select! {
                biased;
                frame = time::timeout_at(deadline, stream.body.frame()) => frame,
                () = chunks.closed() => return StreamEnd::CallerLeft,
            };
            let bytes = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(err))) => return broken(&err.to_string(), has_begun),
                Ok(None) if splitter.has_partial_event() => {
                    return broken("stream ended within an event", has_begun);
                }
                Ok(None) if stream.answer_head.ends_with_connection && !splitter.has_events() => {
                    return broken("stream ended without an event", has_begun);
                }
                Ok(None) => {
                    self.record_health(in_flight, true);
                    if !stream.answer_head.is_closing {
                        stream
                            .lease
                            .release(&self.traffic.upstream, stream.answer_head.idle_timeout);
                    }
                    return StreamEnd::Complete;
                }
                Err(_) if Instant::now() >= self.request.deadline => return StreamEnd::Timeout,
                Err(_) => {
                    self.record_health(in_flight, false);
                    self.record.set_silent();
                    return broken("silence", has_begun);
                }
            };
            let events = splitter.push(&bytes);
            if splitter.has_gap || splitter.is_event_too_long() {
                return broken("an event is missing or too long", has_begun);
            }
            if events.is_empty() {
                continue;
            }
            last_at = Instant::now();
            if !has_begun {
                has_begun = true;
                in_flight.first_event();
                self.record_health(in_flight, true);
                self.record.set_first_event();
            }
            if chunks.send(Chunk::Events(events)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
        }
    }

    fn record_health(&self, in_flight: &InFlight, is_success: bool) {
        let hash = in_flight.placement.hash;
        let mut state = self.traffic.context.state();
        let change = if is_success {
            state.health.record_success(hash)
        } else {
            state.health.record_failure(hash, health::Failure::NoValidAnswer, Instant::now())
        };
        drop(state);
        attempt::log_health(&self.traffic, &in_flight.placement.target, change, "stream");
    }

    /// Finds a target that continues the stream after the last complete event.
    async fn resume(
        &mut self,
        splitter: &mut EventSplitter,
        chunks: &mpsc::Sender<Chunk>,
    ) -> Option<(Box<EventStream>, InFlight)> {
        if self.request.route.answer != (Answer::Events { is_resumable: true }) {
            return None;
        }
        let last_id = splitter.last_id;
        *splitter = EventSplitter::new(last_id);
        self.spec.is_retry = true;
        for _ in 0..MAX_RESUME_TRIES {
            if self.attempt_count >= self.request.route.max_attempts {
                return None;
            }
            if !self.traffic.take_retry(&self.spec.service) {
                self.record.set_detail("retry budget exhausted".to_string());
                return None;
            }
            self.spec.arrived_at = Instant::now();
            let admission = tokio::select! {
                admission = self.traffic.queue.admit(self.spec.clone()) => admission,
                () = chunks.closed() => return None,
            };
            let Admission::Send(in_flight) = admission else { return None };
            self.spec.tried.push(in_flight.placement.hash);
            self.record.add_attempt(&in_flight);
            let now = Instant::now();
            let attempt_deadline = attempt::deadline(&self.request, &in_flight, false, now);
            let sending =
                attempt::send(&self.traffic, &self.request, &in_flight, last_id, attempt_deadline);
            let outcome = tokio::select! {
                outcome = sending => outcome,
                () = chunks.closed() => return None,
            };
            match outcome {
                Outcome::Events(stream) => {
                    self.attempt_count += 1;
                    return Some((stream, in_flight));
                }
                Outcome::NotSent { cause, .. } | Outcome::NotRun { cause, .. } => {
                    self.record.set_attempt_result(&cause);
                }
                Outcome::Unknown(cause) => {
                    self.attempt_count += 1;
                    self.record.set_attempt_result(&cause);
                }
                Outcome::Buffered(response) => {
                    self.attempt_count += 1;
                    self.record.set_attempt_result(response.status.as_str());
                }
            }
        }
        None
    }
}
