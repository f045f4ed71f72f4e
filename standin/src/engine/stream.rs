//! One stream of tokens, its readers and its progress.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use super::api::{ResponseWriter, Usage};

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) token_count: u32,
    pub(super) was_cancelled: bool,
}

/// One stream, running or kept for resumption.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: String,
    pub(super) writer: ResponseWriter,
    pub(super) usage: Usage,
    pub(super) progress: watch::Sender<Progress>,
    /// Time that reading the prompt takes.
    pub(super) prefill: Duration,
    pub(super) state: Mutex<StreamState>,
}

/// Where a stream stands in the batch, and who reads it.
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

    /// Whether nobody has read the stream for so long.
    pub(super) fn is_unread_for(&self, window: Duration, now: time::Instant) -> bool {
        self.state().unread_since.is_some_and(|since| now.duration_since(since) >= window)
    }
}
