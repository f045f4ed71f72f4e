//! A token stream, its progress and its readers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use super::api::{ResponseWriter, Usage};

/// Progress of a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) token_count: u32,
    pub(super) was_cancelled: bool,
}

/// A stream that is queued or running, or has ended and is retained for resumption.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: String,
    pub(super) writer: ResponseWriter,
    pub(super) usage: Usage,
    pub(super) progress: watch::Sender<Progress>,
    /// Prefill time of the uncached tokens, plus the `slow_start_ms` fault.
    pub(super) prefill: Duration,
    pub(super) state: Mutex<StreamState>,
}

/// Time of the first token, and state of the readers.
#[derive(Debug, Default)]
pub(super) struct StreamState {
    pub(super) first_token_at: Option<time::Instant>,
    reader_count: u32,
    unread_since: Option<time::Instant>,
}

impl Stream {
    pub(super) fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    pub(super) fn has_ended(&self) -> bool {
        let progress = self.progress.borrow();
        progress.was_cancelled || progress.token_count >= self.usage.completion_tokens
    }

    pub(super) fn state(&self) -> MutexGuard<'_, StreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn attach(&self) {
        let mut state = self.state();
        state.reader_count += 1;
        state.unread_since = None;
    }

    pub(super) fn detach(&self) {
        let mut state = self.state();
        state.reader_count -= 1;
        if state.reader_count == 0 {
            state.unread_since = Some(time::Instant::now());
        }
    }

    /// Whether the stream has had no reader for at least `window`.
    pub(super) fn is_unread_for(&self, window: Duration, now: time::Instant) -> bool {
        self.state().unread_since.is_some_and(|since| now.duration_since(since) >= window)
    }
}
