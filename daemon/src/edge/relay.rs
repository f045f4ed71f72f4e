//! Passes a series of events on to its caller, from one target after another if need be.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use gentianhinge_core::health;
use gentianhinge_core::routing::Answer;
use gentianhinge_platform::answer;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time::{self, Instant};

use super::attempt::{self, EventStream, Outcome, Request};
use super::events::{Patience, Splitter};
use super::queue::{Admission, Flight};
use super::reply::{Body, Broken};
use super::request_record::RequestRecord;
use super::serve::Traffic;
use super::state::Ask;

/// Parts of an answer that wait for the caller to read.
const CHANNEL_PARTS: usize = 16;

/// Multiple of the longest pause that is on time after which a silent target is given up.
const PAUSE_TARGETS: u32 = 5;

/// Least pause after which a silent target is given up.
const MIN_PAUSE: std::time::Duration = std::time::Duration::from_millis(1000);

/// Tries to find a target that goes on with a stream.
const MAX_RESUME_TRIES: u32 = 3;

/// A stream on its way to its caller.
pub struct Relay {
    /// What all requests share.
    pub traffic: Rc<Traffic>,
    /// The request.
    pub request: Request,
    /// What it needs of a target.
    pub ask: Ask,
    /// Targets that may have run it so far.
    pub attempt_count: u32,
    /// Id of the last event that the caller had before this answer.
    pub last_event_id: Option<u64>,
    /// What became of it.
    pub record: RequestRecord,
}

/// Why a target's part of a stream ended.
enum End {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The time limit has come.
    Timeout,
    /// The target broke off, or is silent.
    Broken(String),
}

impl Relay {
    /// Begins the answer to the caller.
    pub fn start(self, first: Box<EventStream>, flight: Flight) -> http::Response<Body> {
        let (parts, receiver) = mpsc::channel(CHANNEL_PARTS);
        let body = stream::unfold(receiver, async |mut receiver| {
            let part = receiver.recv().await?;
            Some((part, receiver))
        });
        let body = StreamBody::new(body.map(|part: Result<Bytes, Broken>| part.map(Frame::data)));
        let mut answer = http::Response::new(body.boxed_unsync());
        *answer.status_mut() = first.head.status;
        *answer.headers_mut() = answer::head_for_caller(&first.head.headers);
        task::spawn_local(self.run(first, flight, parts));
        answer
    }

    async fn run(
        mut self,
        first: Box<EventStream>,
        flight: Flight,
        parts: mpsc::Sender<Result<Bytes, Broken>>,
    ) {
        let mut splitter = Splitter::new(self.last_event_id);
        let mut current = Some((first, flight));
        while let Some((stream, flight)) = current.take() {
            let status = stream.head.status.as_u16();
            match self.pass_on(stream, flight, &mut splitter, &parts).await {
                End::Complete => {
                    self.record.send_ended("complete");
                    self.record.ended("served", status, true);
                    return;
                }
                End::CallerLeft => {
                    self.record.send_ended("the caller left");
                    return;
                }
                End::Timeout => self.record.send_ended("time limit"),
                End::Broken(cause) => {
                    self.record.send_ended(&cause);
                    current = self.resume(&mut splitter, &parts).await;
                }
            }
        }
        self.record.ended("stream-cut", 200, false);
        // The connection is then closed without a proper end.
        let _ = parts.send(Err(Broken::Cut)).await;
    }

    async fn pass_on(
        &mut self,
        mut stream: Box<EventStream>,
        mut flight: Flight,
        splitter: &mut Splitter,
        parts: &mpsc::Sender<Result<Bytes, Broken>>,
    ) -> End {
        let route = self.request.route.clone();
        let patience = Patience {
            first: attempt::first_event_time(&self.request, &flight),
            pause: (route.pause_target * PAUSE_TARGETS).max(MIN_PAUSE),
        };
        let mut has_begun = false;
        let mut last_at = Instant::now();
        loop {
            let until = patience.until(last_at, has_begun).min(self.request.deadline);
            let frame = tokio::select! {
                biased;
                frame = time::timeout_at(until, stream.body.frame()) => frame,
                () = parts.closed() => return End::CallerLeft,
            };
            let bytes = match frame {
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(err))) => return End::Broken(err.to_string()),
                Ok(None) if splitter.has_rest() => return End::Broken("half an event".to_string()),
                Ok(None) => {
                    self.note_result(&flight, true);
                    if !stream.said.is_closing {
                        stream.lease.give_back(&self.traffic.upstream, stream.said.idle_time);
                    }
                    return End::Complete;
                }
                Err(_) if Instant::now() >= self.request.deadline => return End::Timeout,
                Err(_) => {
                    self.note_result(&flight, false);
                    return End::Broken("silence".to_string());
                }
            };
            let whole = splitter.push(&bytes);
            if splitter.has_gap || splitter.is_overfull() {
                return End::Broken("an event is missing".to_string());
            }
            if whole.is_empty() {
                continue;
            }
            last_at = Instant::now();
            if !has_begun {
                has_begun = true;
                flight.first_event();
                self.note_result(&flight, true);
                self.record.first_event();
            }
            if parts.send(Ok(whole)).await.is_err() {
                return End::CallerLeft;
            }
        }
    }

    fn note_result(&self, flight: &Flight, is_good: bool) {
        let hash = flight.placed.hash;
        let mut state = self.traffic.context.state();
        let change = if is_good {
            state.health.succeeded(hash)
        } else {
            state.health.failed(hash, health::Failure::Bad, Instant::now())
        };
        drop(state);
        attempt::log_health(&self.traffic, &flight.placed.target, change, "stream");
    }

    /// Finds a target that goes on behind the last whole event.
    async fn resume(
        &mut self,
        splitter: &mut Splitter,
        parts: &mpsc::Sender<Result<Bytes, Broken>>,
    ) -> Option<(Box<EventStream>, Flight)> {
        if self.request.route.answer != (Answer::Events { is_resumable: true }) {
            return None;
        }
        let last_id = splitter.last_id;
        *splitter = Splitter::new(last_id);
        self.ask.is_repeat = true;
        for _ in 0..MAX_RESUME_TRIES {
            if self.attempt_count >= self.request.route.max_attempts {
                return None;
            }
            if !self.traffic.take_repeat(&self.ask.service) {
                self.record.detail("no budget for a repeat".to_string());
                return None;
            }
            self.ask.arrived_at = Instant::now();
            let admission = tokio::select! {
                admission = self.traffic.queue.admit(self.ask.clone()) => admission,
                () = parts.closed() => return None,
            };
            let Admission::Send(flight) = admission else { return None };
            self.ask.tried.push(flight.placed.hash);
            self.record.sent(&flight);
            let now = Instant::now();
            let limit = attempt::limit(&self.request, &flight, false, now);
            let sending = attempt::send(&self.traffic, &self.request, &flight, last_id, limit);
            let outcome = tokio::select! {
                outcome = sending => outcome,
                () = parts.closed() => return None,
            };
            match outcome {
                Outcome::Events(stream) => {
                    self.attempt_count += 1;
                    return Some((stream, flight));
                }
                Outcome::NotSent { cause, .. } | Outcome::NotRun { cause, .. } => {
                    self.record.send_ended(&cause);
                }
                Outcome::Lost(cause) => {
                    self.attempt_count += 1;
                    self.record.send_ended(&cause);
                }
                Outcome::Buffered(whole) => {
                    self.attempt_count += 1;
                    self.record.send_ended(whole.status.as_str());
                }
            }
        }
        None
    }
}
