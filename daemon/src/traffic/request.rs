//! State of one request from admission to completion: its caller, its attempts and its result.

use std::sync;
use std::time;

use gentianhinge_core::code::ResultCode;
use gentianhinge_core::ids::Name;
use tokio::time::Instant;

use super::failure::Failure;
use crate::{directory, request_history};

/// A request whose caller is authenticated.
///
/// It is closed exactly once: with its response, with its failure, or when it is dropped, which
/// means that the caller disconnected. Closing updates the metrics and writes the journal record.
#[derive(Debug)]
pub struct RequestContext {
    /// Identifier, sent to both the caller and the target.
    pub request_id: sync::Arc<str>,
    /// When the request head was received.
    pub arrived_at: Instant,
    /// Team and class of the caller, with their metrics.
    pub flow: sync::Arc<directory::FlowEntry>,
    request_history: sync::Arc<request_history::RequestHistory>,
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    pool: Option<Name>,
    attempts: Vec<request_history::Attempt>,
    output_tokens: u64,
    is_closed: bool,
}

impl RequestContext {
    /// Creates the state of a request whose head was received just now.
    pub fn new(
        request_id: sync::Arc<str>,
        flow: sync::Arc<directory::FlowEntry>,
        request_history: sync::Arc<request_history::RequestHistory>,
    ) -> RequestContext {
        let state = sync::Mutex::default();
        RequestContext { request_id, arrived_at: Instant::now(), flow, request_history, state }
    }

    /// Name of the team that sent the request.
    pub fn team(&self) -> &Name {
        &self.flow.flow.team
    }

    /// Records the name of the model or service that is called.
    pub fn set_pool(&self, pool: &Name) {
        self.state().pool = Some(pool.clone());
    }

    /// Records the start of an attempt at a target.
    pub fn begin_attempt(&self, target: &Name) {
        let waited = self.arrived_at.elapsed();
        self.flow.metrics.queue_wait.record(waited);
        let waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX);
        let target = target.to_string();
        self.state().attempts.push(request_history::Attempt { target, waited_ms, error: None });
    }

    /// Records that the latest attempt failed.
    pub fn fail_attempt(&self, message: &str) {
        if let Some(attempt) = self.state().attempts.last_mut() {
            attempt.error = Some(message.to_string());
        }
    }

    /// Records how many tokens were delivered to the caller.
    pub fn set_output_tokens(&self, tokens: u64) {
        self.state().output_tokens = tokens;
    }

    /// Closes the request with a complete response.
    pub fn close_answered(&self) {
        if self.close(ResultCode::Ok, None) {
            self.flow.metrics.request_duration.record(self.arrived_at.elapsed());
        }
    }

    /// Closes the request with a failure; does nothing if the request is already closed.
    pub fn close_failed(&self, failure: &Failure) {
        self.close(failure.code, Some(failure.message.clone()));
    }

    fn close(&self, code: ResultCode, message: Option<String>) -> bool {
        let mut state = self.state();
        if state.is_closed {
            return false;
        }
        state.is_closed = true;
        let (attempts, output_tokens) = (std::mem::take(&mut state.attempts), state.output_tokens);
        let pool = state.pool.as_ref().map(ToString::to_string);
        drop(state);
        self.flow.metrics.count_result(code);
        self.flow.metrics.output_tokens.increment(output_tokens);
        let total_time = self.arrived_at.elapsed();
        self.request_history.push(request_history::Record {
            request_id: self.request_id.to_string(),
            team: self.flow.flow.team.to_string(),
            class: self.flow.flow.class.to_string(),
            pool,
            arrived_unix_ms: unix_ms(total_time),
            attempts,
            result: code.number(),
            result_name: code.name().to_string(),
            ran: code.ran().as_str().to_string(),
            message,
            output_tokens,
            whole_ms: u64::try_from(total_time.as_millis()).unwrap_or(u64::MAX),
        });
        true
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        self.close(ResultCode::CallerLeft, None);
    }
}

/// Wall-clock time of an event `ago` in the past, in milliseconds since 1970.
fn unix_ms(ago: time::Duration) -> u64 {
    let at = time::SystemTime::now().checked_sub(ago);
    let since = at.and_then(|at| at.duration_since(time::UNIX_EPOCH).ok());
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
