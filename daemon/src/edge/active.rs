//! A request in progress: tries targets until one answers.
//!
//! # Silent targets
//!
//! A target that doesn't answer in the expected time may be gone, or only slow. Its attempt goes on
//! while another target is tried, and the first answer counts (a hedged request). Where another
//! attempt isn't allowed, or none succeeds, only the deadline ends the wait for the first one.
//!
//! # Deadlines
//!
//! The deadline ends a request wherever it waits. [`ActiveRequest::answer`] enforces it until a target
//! has answered, and [`Relay`](super::relay::Relay) from then on; nothing called by them has to. The
//! attempts that it ends are recorded by [`ActiveRequest::expire_attempts`].

use std::cell::RefCell;
use std::future::Future;
use std::mem;
use std::pin::{self, Pin};
use std::rc::Rc;
use std::time::Duration;

use gentianhinge_core::admission;
use gentianhinge_core::ids::Name;
use gentianhinge_core::routing::Idempotency;
use http::StatusCode;
use rand::Rng;
use smallvec::SmallVec;
use tokio::time::{self, Instant};

use super::attempt::{self, EventStream, Outcome, Request};
use super::buffered::BufferedResponse;
use super::connections;
use super::crash;
use super::queue::{Admission, InFlight};
use super::reply::Reason;
use super::request_record::RequestRecord;
use super::spec::{Placement, RequestSpec, Resumption};
use super::traffic::Traffic;

/// Maximum number of attempts until a target answers, including those that weren't run.
const MAX_ATTEMPTS: usize = 4;

/// Least `Retry-After` of a request whose targets refused it.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// A request in progress, with all its attempts.
pub struct ActiveRequest {
    /// State of the traffic thread.
    pub traffic: Rc<Traffic>,
    /// The caller's request.
    pub request: Rc<Request>,
    /// Properties of the request for admission.
    pub spec: RequestSpec,
    /// Log record of the request.
    pub record: RequestRecord,
    /// Id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// Id of the caller's attempt that brought the first event of a resumable stream; `None` if it
    /// isn't known.
    pub stream: Option<Name>,
    /// Number of targets that may have run the request.
    run_count: u32,
    /// Number of attempts since the last answer.
    attempt_count: usize,
    /// Attempts without a result in the record.
    open: SmallVec<[OpenAttempt; 2]>,
    /// The last error response of a target, for a request that is at its deadline.
    last_error: Rc<RefCell<Option<BufferedResponse>>>,
}

/// An attempt without a result in the record.
struct OpenAttempt {
    number: usize,
    placement: Placement,
    /// Whether the target has sent an event.
    has_event: bool,
    /// How the attempt ended, if it has while another one goes on.
    ended: Rc<RefCell<Option<String>>>,
}

/// An attempt whose target has answered.
pub struct Attempt {
    /// Number of the attempt in the record.
    pub number: usize,
    /// Load of the attempt.
    pub in_flight: InFlight,
}

/// A target's answer.
pub enum TargetAnswer {
    /// A complete response.
    Buffered(BufferedResponse),
    /// The beginning of an event stream.
    Events(Box<EventStream>, Attempt),
}

impl TargetAnswer {
    fn is_error(&self) -> bool {
        matches!(self, TargetAnswer::Buffered(response) if response.status.is_server_error())
    }
}

/// Why no target has answered.
#[derive(Clone, Copy, Debug)]
pub struct Refusal {
    /// The reason for the caller.
    pub reason: Reason,
    /// Time after which a retry is likely to be served.
    pub retry_after: Option<Duration>,
}

/// Why targets are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// No attempt is in progress.
    Answer,
    /// Another attempt is in progress, and its target is silent.
    Hedge,
}

type SendResult = Pin<Box<dyn Future<Output = (Outcome, InFlight)>>>;

/// An attempt whose target hasn't answered yet. Dropping it closes the connection.
struct Sending {
    number: usize,
    placement: Placement,
    /// When the target counts as silent; `None` if no other may be tried then.
    silent_at: Option<Instant>,
    result: SendResult,
}

impl ActiveRequest {
    /// Creates a request that hasn't been sent to any target.
    pub fn new(
        traffic: Rc<Traffic>,
        request: Request,
        spec: RequestSpec,
        record: RequestRecord,
        resumption: Resumption,
    ) -> ActiveRequest {
        let Resumption { last_event_id, stream } = resumption;
        let own_id = Some(request.id.clone()).filter(|_| last_event_id.is_none_or(|id| id == 0));
        ActiveRequest {
            stream: own_id.or(stream).filter(|_| request.is_resumable()),
            traffic,
            request: Rc::new(request),
            spec,
            record,
            last_event_id,
            run_count: 0,
            attempt_count: 0,
            open: SmallVec::new(),
            last_error: Rc::default(),
        }
    }

    /// Tries targets until one answers, the deadline passes, or a shutdown leaves no more time.
    ///
    /// # Errors
    ///
    /// No target has answered and no other may be tried.
    pub async fn answer(&mut self) -> Result<TargetAnswer, Refusal> {
        let deadline = self.request.deadline;
        let context = self.traffic.context.clone();
        let answering = self.try_targets(None, Purpose::Answer);
        tokio::select! {
            biased;
            result = time::timeout_at(deadline, answering) => {
                return result.unwrap_or_else(|_| self.expire());
            }
            () = context.last_answers() => {}
        }
        self.record.set_detail(connections::GRACE_OVER.to_string());
        self.expire()
    }

    /// What is known of the request at its deadline.
    fn expire(&mut self) -> Result<TargetAnswer, Refusal> {
        self.expire_attempts();
        let last_error = self.last_error.take().filter(|response| !means_not_run(response.status));
        if let Some(response) = last_error {
            return Ok(TargetAnswer::Buffered(response));
        }
        let reason = if self.run_count > 0 { Reason::Timeout } else { Reason::TooLate };
        Err(Refusal { reason, retry_after: None })
    }

    /// Records the attempts that the deadline has ended, with the health of their targets.
    pub fn expire_attempts(&mut self) {
        for attempt in mem::take(&mut self.open) {
            if let Some(result) = attempt.ended.take() {
                self.record.set_attempt_result(attempt.number, &result);
                continue;
            }
            self.record.set_attempt_result(attempt.number, "time limit");
            let placement = attempt.placement;
            if !attempt.has_event {
                attempt::record_silence(&self.traffic, &placement.target, placement.hash);
            }
            crash::check_in_background(&self.traffic, &self.spec, placement);
        }
    }

    /// Records that the caller has left, which ends all attempts.
    pub fn record_caller_left(&mut self) {
        for attempt in mem::take(&mut self.open) {
            self.record.set_attempt_result(attempt.number, "caller disconnected");
        }
    }

    /// Records how an attempt ended.
    pub fn end_attempt(&mut self, number: usize, result: &str) {
        self.open.retain(|attempt| attempt.number != number);
        self.record.set_attempt_result(number, result);
    }

    /// Records that attempts after `number` were given up, as its target goes on.
    pub fn cancel_after(&mut self, number: usize) {
        self.open.retain(|attempt| attempt.number <= number);
        self.record.cancel_after(number);
    }

    /// Records that the target of an attempt has sent an event.
    pub fn set_has_event(&mut self, number: usize) {
        if let Some(attempt) = self.open.iter_mut().find(|attempt| attempt.number == number) {
            attempt.has_event = true;
        }
    }

    /// Tries other targets after one has failed. The caller enforces the deadline.
    ///
    /// # Errors
    ///
    /// As for [`answer`](ActiveRequest::answer).
    pub async fn answer_of_another(&mut self) -> Result<TargetAnswer, Refusal> {
        self.attempt_count = 1;
        self.try_targets(Some(Reason::Unknown), Purpose::Answer).await
    }

    /// The same beside a silent target: a stream must have begun. The caller enforces the deadline.
    ///
    /// # Errors
    ///
    /// As for [`answer`](ActiveRequest::answer).
    pub async fn begun_answer_of_another(&mut self) -> Result<TargetAnswer, Refusal> {
        self.attempt_count = 1;
        self.try_others().await
    }

    /// `failed` is why the last attempt failed, if there was one.
    async fn try_targets(
        &mut self,
        mut failed: Option<Reason>,
        purpose: Purpose,
    ) -> Result<TargetAnswer, Refusal> {
        loop {
            if let Some(reason) = failed.filter(|reason| !self.may_retry(*reason, purpose)) {
                return Err(self.refusal(reason, Some(self.retry_after())));
            }
            let in_flight = self.admit(failed).await?;
            let sending = self.send(in_flight);
            match self.first_answer(sending).await {
                Ok(answer) => return Ok(answer),
                Err(reason) => failed = Some(reason),
            }
        }
    }

    /// Waits until a target is chosen.
    async fn admit(&mut self, failed: Option<Reason>) -> Result<InFlight, Refusal> {
        match self.traffic.queue.admit(self.spec.clone()).await {
            Admission::Send(in_flight) => Ok(in_flight),
            Admission::Refuse(refused) => {
                self.record.set_refusal(&refused);
                let retry_after = refused.retry_after_with_jitter();
                let retry_after = Some(retry_after);
                let is_final = refused.is_quarantined || refused.has_no_version;
                let retry_after = retry_after.filter(|_| !is_final);
                Err(self.refusal(failed.unwrap_or(Reason::of_refusal(&refused)), retry_after))
            }
        }
    }

    /// `Retry-After` without another attempt: until a target takes requests, if all are closed.
    fn retry_after(&self) -> Duration {
        let opens_in = self.traffic.context.state().opens_in(&self.spec, Instant::now());
        let draw = rand::rng().random();
        admission::add_jitter(opens_in, opens_in, draw).max(BUSY_RETRY_AFTER)
    }

    /// A request that may have run isn't refused as one that hasn't.
    fn refusal(&self, reason: Reason, retry_after: Option<Duration>) -> Refusal {
        let means_not_run = reason.status() == StatusCode::SERVICE_UNAVAILABLE;
        if !means_not_run {
            Refusal { reason, retry_after: None }
        } else if self.run_count > 0 {
            Refusal { reason: Reason::Unknown, retry_after: None }
        } else {
            Refusal { reason, retry_after }
        }
    }

    fn send(&mut self, in_flight: InFlight) -> Sending {
        self.run_count += 1;
        self.attempt_count += 1;
        let placement = in_flight.placement.clone();
        self.spec.tried.push(placement.hash);
        let number = self.record.add_attempt(&in_flight);
        let silent_at = attempt::silent_at(&self.request, &in_flight, Instant::now());
        let (traffic, request) = (self.traffic.clone(), self.request.clone());
        let spec = self.spec.clone();
        let last_event_id = self.last_event_id;
        let ended = Rc::new(RefCell::new(None));
        let open = OpenAttempt {
            number,
            placement: placement.clone(),
            has_event: false,
            ended: ended.clone(),
        };
        self.open.push(open);
        let last_error = self.last_error.clone();
        let result = Box::pin(async move {
            let outcome = attempt::send(&traffic, &request, &in_flight, last_event_id).await;
            if let Outcome::Buffered(response) = &outcome
                && outcome.is_error()
            {
                last_error.replace(Some(response.clone()));
            }
            ended.replace(outcome.end().map(str::to_string));
            crash::record_outcome(&traffic, &spec, &in_flight.placement, &outcome).await;
            (outcome, in_flight)
        });
        Sending { number, placement, silent_at, result }
    }

    /// The answer to an attempt, or that of another target if this one is silent.
    async fn first_answer(&mut self, mut sending: Sending) -> Result<TargetAnswer, Reason> {
        let number = sending.number;
        tokio::select! {
            biased;
            (outcome, in_flight) = &mut sending.result => {
                return self.finish(outcome, Attempt { number, in_flight });
            }
            () = attempt::silence(sending.silent_at) => {}
        }
        self.record.set_silent(number);
        let placement = &sending.placement;
        attempt::record_silence(&self.traffic, &placement.target, placement.hash);
        crash::check_silent(&self.traffic, &self.spec, placement).await;
        let others = Box::pin(self.try_others());
        let (first, other) = race(&mut sending.result, others).await;
        if let Some(Ok(answer)) = other {
            if !answer.is_error() {
                match first {
                    // Another target has answered, whatever this one did.
                    Some((outcome, in_flight)) => {
                        let _ = self.finish(outcome, Attempt { number, in_flight });
                    }
                    None => {
                        self.end_attempt(number, "silence");
                        crash::check_in_background(&self.traffic, &self.spec, sending.placement);
                    }
                }
                return Ok(answer);
            }
            let (outcome, in_flight) = first_or_wait(first, &mut sending.result).await;
            return self.finish(outcome, Attempt { number, in_flight }).or(Ok(answer));
        }
        let (outcome, in_flight) = first_or_wait(first, &mut sending.result).await;
        self.cancel_after(number);
        self.finish(outcome, Attempt { number, in_flight })
    }

    /// Tries other targets until one has begun to answer: the head of a stream is no progress.
    async fn try_others(&mut self) -> Result<TargetAnswer, Refusal> {
        match self.try_targets(Some(Reason::Unknown), Purpose::Hedge).await? {
            TargetAnswer::Events(mut stream, attempt) => match stream.begin().await {
                Ok(()) => Ok(TargetAnswer::Events(stream, attempt)),
                Err(cause) => {
                    self.end_attempt(attempt.number, &cause);
                    let placement = &attempt.in_flight.placement;
                    crash::may_retry(&self.traffic, &self.spec, placement, true).await;
                    Err(self.refusal(Reason::Unknown, None))
                }
            },
            answer => Ok(answer),
        }
    }

    /// Records the outcome of an attempt. The error is why another target may be tried.
    fn finish(&mut self, outcome: Outcome, attempt: Attempt) -> Result<TargetAnswer, Reason> {
        let number = attempt.number;
        if let Some(result) = outcome.end() {
            self.end_attempt(number, result);
        }
        match outcome {
            Outcome::Events(stream) => {
                self.record.set_head(number);
                Ok(TargetAnswer::Events(stream, attempt))
            }
            Outcome::NotSent { .. } => {
                self.run_count -= 1;
                Err(Reason::NotSent)
            }
            Outcome::NotRun { .. } => {
                self.run_count -= 1;
                Err(Reason::NotRun)
            }
            Outcome::Unknown(_) => {
                let is_expired = Instant::now() >= self.request.deadline;
                Err(if is_expired { Reason::Timeout } else { Reason::Unknown })
            }
            Outcome::Buffered(response) => self.finish_buffered(response),
        }
    }

    /// A complete response is the answer, unless it is an error and the request may be retried.
    fn finish_buffered(&mut self, response: BufferedResponse) -> Result<TargetAnswer, Reason> {
        if means_not_run(response.status)
            && self.request.route.idempotency == Idempotency::NonIdempotent
        {
            // To callers these statuses mean "not run", which this target doesn't state.
            return Err(Reason::Unknown);
        }
        let is_retryable = response.status.is_server_error()
            && self.request.is_repeatable()
            && self.run_count < self.request.route.max_attempts;
        if is_retryable && self.traffic.has_retry(&self.spec.service) {
            return Err(Reason::Unknown);
        }
        Ok(TargetAnswer::Buffered(response))
    }

    /// Whether the request may be sent to another target after an attempt failed with `reason`.
    /// Takes a retry from the budget if so.
    fn may_retry(&mut self, reason: Reason, purpose: Purpose) -> bool {
        let has_not_run = matches!(reason, Reason::NotRun | Reason::NotSent);
        let may_send_again = (has_not_run && self.run_count == 0) || self.request.is_repeatable();
        let may_retry = may_send_again
            && crash::may_send_again(&self.traffic, &self.spec)
            && self.run_count < self.request.route.max_attempts
            && Instant::now() < self.request.deadline
            && self.attempt_count < MAX_ATTEMPTS;
        if !may_retry {
            return false;
        }
        // A request that was never sent is no load for the service.
        if reason != Reason::NotSent && !self.take_retry(purpose) {
            self.record.set_detail("retry budget exhausted".to_string());
            return false;
        }
        self.spec.is_retry = true;
        self.spec.arrived_at = Instant::now();
        true
    }

    fn take_retry(&self, purpose: Purpose) -> bool {
        match purpose {
            Purpose::Answer => self.traffic.take_retry(&self.spec.service),
            Purpose::Hedge => self.traffic.take_hedge(&self.spec.service),
        }
    }
}

/// Waits for the outcome of a silent attempt, and beside it for that of `others`, which is dropped
/// if the silent target answers first.
async fn race<T>(
    silent: &mut SendResult,
    others: impl Future<Output = T>,
) -> (Option<(Outcome, InFlight)>, Option<T>) {
    let mut others = pin::pin!(others);
    let first = tokio::select! {
        biased;
        first = &mut *silent => first,
        other = &mut others => return (None, Some(other)),
    };
    if first.0.is_answer() { (Some(first), None) } else { (Some(first), Some(others.await)) }
}

async fn first_or_wait(
    first: Option<(Outcome, InFlight)>,
    silent: &mut SendResult,
) -> (Outcome, InFlight) {
    match first {
        Some(first) => first,
        None => silent.await,
    }
}

/// Whether the status means to callers that the request hasn't run and won't.
fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
