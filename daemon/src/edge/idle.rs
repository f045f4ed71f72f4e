//! Closes callers' connections on which no request arrives in time.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{self, Poll};
use std::time::{self as std_time, Duration};

use hyper::rt;
use tokio::time::{self, Instant};

use super::Context;

/// Least time after which a caller that is still reading is checked again.
const MIN_READING_TIME: Duration = Duration::from_millis(500);

/// Timer for hyper's header read timeout, which runs from the end of the last request to the end of
/// the next request head.
///
/// The timeout follows the configuration: callers reuse connections as long as the newest one
/// allows. The deadlines passed to this timer are therefore the starts of the waits, so the timeout
/// given to hyper must be zero.
#[derive(Clone, Debug)]
pub struct IdleTimer {
    context: Arc<Context>,
    /// Whether the caller is still reading its last answer, so that it isn't idle.
    is_unread: Arc<AtomicBool>,
}

impl IdleTimer {
    /// Creates a timer that follows the configuration of this router.
    pub fn new(context: Arc<Context>, is_unread: Arc<AtomicBool>) -> IdleTimer {
        IdleTimer { context, is_unread }
    }
}

impl rt::Timer for IdleTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    fn sleep_until(&self, since: std_time::Instant) -> Pin<Box<dyn rt::Sleep>> {
        let (context, is_unread) = (self.context.clone(), self.is_unread.clone());
        let since = Instant::from_std(since);
        let sleep = Box::pin(time::sleep_until(since + timeout(&context)));
        Box::pin(IdleSleep { context, is_unread, since, sleep })
    }

    fn now(&self) -> std_time::Instant {
        Instant::now().into_std()
    }
}

/// Time for the head of the next request: a caller may begin it at the end of the idle time.
fn timeout(context: &Context) -> Duration {
    let limits = context.state().table.as_ref().map(|table| table.limits).unwrap_or_default();
    limits.idle_timeout + limits.header_timeout
}

struct IdleSleep {
    context: Arc<Context>,
    is_unread: Arc<AtomicBool>,
    since: Instant,
    sleep: Pin<Box<time::Sleep>>,
}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<()> {
        loop {
            task::ready!(self.sleep.as_mut().poll(cx));
            let now = Instant::now();
            if self.is_unread.load(Ordering::Relaxed) {
                self.since = now;
                let timeout = timeout(&self.context).max(MIN_READING_TIME);
                self.sleep.as_mut().reset(now + timeout);
                continue;
            }
            let ends_at = self.since + timeout(&self.context);
            if now >= ends_at {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(ends_at);
        }
    }
}

impl rt::Sleep for IdleSleep {}
