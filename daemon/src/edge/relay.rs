//! Forwards an event stream to its caller, and resumes it at another target if it is interrupted.
//!
//! A target is silent while no event becomes complete, also if bytes of one arrive. It keeps its stream
//! until another target has begun to continue it.

use std::pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gentianhinge_platform::answer;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time::{self, Instant};

use super::active::{ActiveRequest, Attempt, Refusal, TargetAnswer};
use super::attempt::{self, EventStream};
use super::connections;
use super::crash;
use super::event_reader::{EventReader, Read};
use super::events::StreamTimeouts;
use super::queue::InFlight;
use super::reply::{Body, BodyError};

/// Capacity of the channel to the caller's connection, in chunks.
const CHANNEL_CHUNKS: usize = 16;

/// Multiple of the route's event gap target after which the target of a stream counts as silent.
const EVENT_GAP_FACTOR: u32 = 5;

/// Minimum timeout between two events.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(1000);

/// An event stream being forwarded to its caller.
pub struct Relay {
    active: ActiveRequest,
    reader: EventReader,
    chunks: mpsc::Sender<Chunk>,
    /// Whether a target has brought events, so that further ones resume its stream.
    has_begun: bool,
}

/// A target's stream and its attempt.
type Source = (Box<EventStream>, Attempt);

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

/// Why forwarding to the caller ended.
enum Forwarded {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The stream failed, and no other target continues it.
    Interrupted,
    /// The grace period of a shutdown leaves no more time.
    GraceOver,
}

/// Why forwarding from a target ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The caller disconnected.
    CallerLeft,
    /// The target was silent, and another one continues the stream.
    Replaced(Source),
    /// The stream failed.
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
        active: ActiveRequest,
        stream: Box<EventStream>,
        attempt: Attempt,
    ) -> http::Response<Body> {
        let (chunks, receiver) = mpsc::channel(CHANNEL_CHUNKS);
        let mut response = http::Response::new(body(receiver));
        *response.status_mut() = stream.head.status;
        *response.headers_mut() = answer::head_for_caller(&stream.head.headers);
        let reader = EventReader::new(active.last_event_id, &active.traffic.response_buffers);
        let relay = Relay { active, reader, chunks, has_begun: false };
        task::spawn_local(relay.run(stream, attempt));
        response
    }

    /// Forwards until the stream ends, the deadline passes, the caller disconnects, or a shutdown
    /// leaves no more time.
    async fn run(mut self, first_stream: Box<EventStream>, attempt: Attempt) {
        let deadline = self.active.request.deadline;
        let caller = self.chunks.clone();
        let context = self.active.traffic.context.clone();
        let forwarded = tokio::select! {
            biased;
            forwarded = time::timeout_at(deadline, self.forward_all((first_stream, attempt))) => forwarded,
            () = caller.closed() => Ok(Forwarded::CallerLeft),
            () = context.last_answers() => Ok(Forwarded::GraceOver),
        };
        match forwarded {
            Ok(Forwarded::Complete) => return,
            Ok(Forwarded::CallerLeft) => return self.active.record_caller_left(),
            Ok(Forwarded::Interrupted) => {}
            Ok(Forwarded::GraceOver) => {
                self.active.expire_attempts();
                self.active.record.set_detail(connections::GRACE_OVER.to_string());
            }
            Err(_) => self.active.expire_attempts(),
        }
        self.active.record.set_outcome("stream-cut", 200, false);
        // Without the end, dropping the chunks closes the connection before the end of the body.
    }

    /// Forwards from one target after the other.
    async fn forward_all(&mut self, first: Source) -> Forwarded {
        let mut source = Some(first);
        while let Some((mut stream, mut attempt)) = source.take() {
            let (number, status) = (attempt.number, stream.head.status.as_u16());
            match self.forward(&mut stream, &mut attempt).await {
                StreamEnd::Complete => {
                    self.release(stream);
                    return self.complete(number, status).await;
                }
                StreamEnd::CallerLeft => return Forwarded::CallerLeft,
                StreamEnd::Replaced(other) => {
                    self.active.end_attempt(number, "silence");
                    self.check_in_background(&attempt);
                    self.reader.restart();
                    source = Some(other);
                }
                StreamEnd::Broken { cause, is_at_start } => {
                    self.active.end_attempt(number, &cause);
                    source = self.replace_broken(attempt.in_flight, is_at_start).await;
                }
            }
        }
        Forwarded::Interrupted
    }

    /// Returns the connection of a complete stream to the pool if it can be reused.
    fn release(&self, stream: Box<EventStream>) {
        if !stream.answer_head.is_closing {
            stream.lease.release(&self.active.traffic.upstream, stream.answer_head.idle_timeout);
        }
    }

    async fn complete(&mut self, number: usize, status: u16) -> Forwarded {
        crash::record_answer(&self.active.traffic, &self.active.spec);
        self.active.end_attempt(number, "complete");
        self.active.record.set_outcome("served", status, true);
        // The caller may have left meanwhile.
        let _ = self.chunks.send(Chunk::End).await;
        Forwarded::Complete
    }

    /// Forwards events until the stream ends, or is silent while another target continues it.
    async fn forward(&mut self, stream: &mut EventStream, attempt: &mut Attempt) -> StreamEnd {
        let route = self.active.request.route.clone();
        let stream_timeouts = StreamTimeouts {
            first_event: attempt::first_event_time(&self.active.request, &attempt.in_flight),
            between_events: (route.event_gap_target * EVENT_GAP_FACTOR).max(MIN_EVENT_TIMEOUT),
        };
        let mut has_begun = false;
        let mut last_at = Instant::now();
        loop {
            let silent_at = stream_timeouts.deadline(last_at, has_begun);
            let read = match self.read_or_replace(stream, attempt, silent_at).await {
                Replacement::Read(read) => read,
                Replacement::Source(other) => return StreamEnd::Replaced(other),
            };
            let events = match read {
                Read::Events(events) => events,
                Read::End => {
                    self.record_success(attempt);
                    return StreamEnd::Complete;
                }
                Read::Broken(cause) => {
                    return StreamEnd::Broken { cause, is_at_start: !has_begun };
                }
            };
            last_at = Instant::now();
            if last_at >= silent_at || !has_begun {
                self.record_success(attempt);
            }
            if !has_begun {
                has_begun = true;
                if let Some(time) = attempt.in_flight.first_event() {
                    self.active.record.set_read(attempt.number, time);
                }
                self.record_version(attempt);
                self.active.set_has_event(attempt.number);
                self.active.record.set_first_event();
            }
            if self.chunks.send(Chunk::Events(events)).await.is_err() {
                return StreamEnd::CallerLeft;
            }
            // The time for which the caller didn't read is no silence of the target.
            last_at = Instant::now();
        }
    }

    /// Reads the next events. If the target is silent, another one may continue the stream first.
    async fn read_or_replace(
        &mut self,
        stream: &mut EventStream,
        attempt: &Attempt,
        silent_at: Instant,
    ) -> Replacement {
        tokio::select! {
            biased;
            read = self.reader.next(stream) => return Replacement::Read(read),
            () = attempt::silence(Some(silent_at)) => {}
        }
        self.active.record.set_silent(attempt.number);
        let placement = &attempt.in_flight.placement;
        attempt::record_silence(&self.active.traffic, &placement.target, placement.hash);
        crash::check_silent(&self.active.traffic, &self.active.spec, placement).await;
        if !self.may_go_on() {
            return Replacement::Read(self.reader.next(stream).await);
        }
        let replacement = replace_silent(&mut self.active, stream, &mut self.reader).await;
        self.active.cancel_after(attempt.number);
        replacement
    }

    /// Records the version at which the stream begins or goes on. From the first event on, only targets
    /// of its version may resume it.
    fn record_version(&mut self, attempt: &Attempt) {
        let placement = &attempt.in_flight.placement;
        let context = &self.active.traffic.context;
        if std::mem::replace(&mut self.has_begun, true) {
            context.metrics.count_resumption("router", "same-version");
        } else {
            let stream = self.active.stream.as_deref();
            let version = context.state().record_begun(stream, placement, Instant::now());
            self.active.spec.required_version = version;
        }
        self.active.record.add_version(placement.target.version.as_deref());
    }

    /// Whether another target may continue the stream, as far as versions are concerned.
    fn may_go_on(&mut self) -> bool {
        if !self.has_begun {
            return true;
        }
        let context = &self.active.traffic.context;
        let stream = self.active.stream.as_deref();
        let may_go_on = self.active.spec.required_version.is_some()
            && !stream.is_some_and(|stream| context.state().is_version_doubtful(stream));
        if !may_go_on {
            context.metrics.count_resumption("router", "version-unknown");
            self.active.record.set_detail("software version of the stream unknown".to_string());
        }
        may_go_on
    }

    fn check_in_background(&self, attempt: &Attempt) {
        let placement = attempt.in_flight.placement.clone();
        crash::check_in_background(&self.active.traffic, &self.active.spec, placement);
    }

    fn record_success(&self, attempt: &Attempt) {
        let placement = &attempt.in_flight.placement;
        let change = self.active.traffic.context.state().health.record_success(placement.hash);
        attempt::log_health(&self.active.traffic, &placement.target, change, "stream");
    }

    /// Finds a target that continues a broken stream.
    async fn replace_broken(&mut self, in_flight: InFlight, is_at_start: bool) -> Option<Source> {
        let (traffic, spec) = (&self.active.traffic, &self.active.spec);
        let may_resume = crash::may_retry(traffic, spec, &in_flight.placement, is_at_start).await;
        // Its load must not count at the choice of the next target.
        drop(in_flight);
        if !may_resume {
            self.active.record.set_detail("the target ended as it ran the request".to_string());
            return None;
        }
        if !self.may_go_on() {
            return None;
        }
        self.reader.restart();
        let source = resume(&mut self.active, self.reader.last_id()).await;
        if source.is_none() && self.has_begun {
            let metrics = &self.active.traffic.context.metrics;
            metrics.count_resumption("router", "no-target");
        }
        source
    }
}

/// What came first while a target was silent.
enum Replacement {
    /// Events of the silent target's stream, or its end.
    Read(Read),
    /// Another target's stream that has begun.
    Source(Source),
}

/// Waits for the silent target, and beside it for another one that continues the stream.
async fn replace_silent(
    active: &mut ActiveRequest,
    stream: &mut EventStream,
    reader: &mut EventReader,
) -> Replacement {
    let mut resuming = pin::pin!(resume_with_event(active, reader.last_id()));
    let read = tokio::select! {
        biased;
        read = reader.next(stream) => read,
        source = &mut resuming => match source {
            Some(source) => return Replacement::Source(source),
            None => return Replacement::Read(reader.next(stream).await),
        },
    };
    if matches!(read, Read::Broken(_))
        && let Some(source) = resuming.await
    {
        return Replacement::Source(source);
    }
    Replacement::Read(read)
}

/// Finds a target that continues the stream, and waits until it does: a head alone is no progress.
async fn resume_with_event(active: &mut ActiveRequest, last_id: Option<u64>) -> Option<Source> {
    active.last_event_id = last_id;
    source(active.begun_answer_of_another().await)
}

/// Finds a target that continues the stream after the last complete event.
async fn resume(active: &mut ActiveRequest, last_id: Option<u64>) -> Option<Source> {
    active.last_event_id = last_id;
    source(active.answer_of_another().await)
}

fn source(answer: Result<TargetAnswer, Refusal>) -> Option<Source> {
    match answer {
        Ok(TargetAnswer::Events(stream, attempt)) => Some((stream, attempt)),
        // The caller has the head of a successful response.
        Ok(TargetAnswer::Buffered(_)) | Err(_) => None,
    }
}
