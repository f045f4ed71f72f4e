//! Panics: each is logged, and costs only the work at hand.

use std::panic::{self, AssertUnwindSafe};
use std::thread;

use futures_util::FutureExt;
use serde_json::json;

use super::decisions::Log;

/// Logs each panic of any thread from now on, in addition to the usual message.
pub fn log_panics(log: Log) {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let thread = thread::current();
        log.state_change(json!({
            "event": "panic", "thread": thread.name(), "cause": info.to_string(),
        }));
        previous(info);
    }));
}

/// Runs a future; `None` if it panics. Locks and cells that it shares with others must be usable
/// after that.
pub async fn catch_async<T>(future: impl Future<Output = T>) -> Option<T> {
    // `log_panics` has logged the payload.
    AssertUnwindSafe(future).catch_unwind().await.ok()
}

/// Like [`catch_async`], for a function.
pub fn catch<T>(function: impl FnOnce() -> T) -> Option<T> {
    panic::catch_unwind(AssertUnwindSafe(function)).ok()
}
