//! The decision log: one JSON object per line on standard output.
//!
//! A thread of its own writes the lines from a bounded channel, so that a slow reader causes
//! dropped lines and never delays a request. Lines above the rate limit are dropped and counted by
//! kind. Served requests are dropped first, changes of state last.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use gentianhinge_core::ids::Name;
use gentianhinge_wire::edge;
use serde_json::Value;

/// Capacity of the channel, in lines: some seconds at the usual rate.
const CHANNEL_LINES: usize = 2048;

/// Time for which lines are batched before a write.
const BATCH_TIME: Duration = Duration::from_millis(100);

/// Part of the rate reserved for failed requests and changes of state.
const RESERVED_PART: f64 = 0.3;

/// Part of the rate reserved for changes of state.
const STATE_PART: f64 = 0.1;

/// Kind of a line; determines which lines are dropped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LineKind {
    /// A change of state.
    State,
    /// A request that wasn't served.
    Failed,
    /// A request that was served.
    Request,
}

impl LineKind {
    fn name(self) -> &'static str {
        match self {
            LineKind::State => "state",
            LineKind::Failed => "failed",
            LineKind::Request => "request",
        }
    }
}

#[derive(Debug)]
struct Rate {
    tokens: f64,
    at: Instant,
    dropped_counts: BTreeMap<LineKind, u64>,
}

/// Writer of the decision log; clones share it and are cheap.
#[derive(Clone, Debug)]
pub struct Log {
    router: Name,
    lines: mpsc::SyncSender<String>,
    started_at: Instant,
    max_lines_per_s: Arc<AtomicU32>,
    rate: Arc<Mutex<Rate>>,
    written_count: Arc<AtomicU64>,
    queued_count: Arc<AtomicU64>,
}

impl Log {
    /// Starts a writer to standard output.
    ///
    /// # Errors
    ///
    /// The writer's thread can't be started.
    pub fn start(router: Name, settings: &edge::EdgeLog) -> io::Result<Log> {
        Log::start_on(router, settings.max_lines_per_s, io::stdout())
    }

    /// Starts a writer to any output.
    ///
    /// # Errors
    ///
    /// The writer's thread can't be started.
    pub fn start_on(
        router: Name,
        max_lines_per_s: u32,
        out: impl Write + Send + 'static,
    ) -> io::Result<Log> {
        let (lines, receiver) = mpsc::sync_channel(CHANNEL_LINES);
        let written_count = Arc::new(AtomicU64::new(0));
        let count = written_count.clone();
        let thread = thread::Builder::new().name("log".to_string());
        thread.spawn(move || write_lines(&receiver, out, &count))?;
        let (tokens, at) = (f64::from(max_lines_per_s), Instant::now());
        Ok(Log {
            router,
            lines,
            started_at: at,
            max_lines_per_s: Arc::new(AtomicU32::new(max_lines_per_s)),
            rate: Arc::new(Mutex::new(Rate { tokens, at, dropped_counts: BTreeMap::new() })),
            written_count,
            queued_count: Arc::new(AtomicU64::new(0)),
        })
    }

    /// Sets the rate limit, in lines per second.
    pub fn set_rate(&self, max_lines_per_s: u32) {
        self.max_lines_per_s.store(max_lines_per_s, Ordering::Relaxed);
    }

    /// Logs a change of state.
    pub fn state_change(&self, fields: Value) {
        self.write(LineKind::State, || fields);
    }

    /// Logs a decision; `fields` is only called if the line isn't dropped.
    pub fn write(&self, kind: LineKind, fields: impl FnOnce() -> Value) {
        let dropped_counts = {
            let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
            if !self.admit(&mut rate, kind) {
                *rate.dropped_counts.entry(kind).or_default() += 1;
                return;
            }
            std::mem::take(&mut rate.dropped_counts)
        };
        if !dropped_counts.is_empty() {
            let counts = dropped_counts
                .iter()
                .map(|(kind, count)| (kind.name().to_string(), (*count).into()));
            let counts = counts.collect::<serde_json::Map<_, _>>();
            self.send(LineKind::State, serde_json::json!({ "event": "left-out", "lines": counts }));
        }
        self.send(kind, fields());
    }

    fn admit(&self, rate: &mut Rate, kind: LineKind) -> bool {
        let max = f64::from(self.max_lines_per_s.load(Ordering::Relaxed));
        let now = Instant::now();
        rate.tokens += now.duration_since(rate.at).as_secs_f64() * max;
        rate.tokens = rate.tokens.min(max);
        rate.at = now;
        let reserve = match kind {
            LineKind::State => 0.0,
            LineKind::Failed => max * STATE_PART,
            LineKind::Request => max * RESERVED_PART,
        };
        let is_admitted = rate.tokens >= 1.0 + reserve;
        if is_admitted {
            rate.tokens -= 1.0;
        }
        is_admitted
    }

    fn send(&self, kind: LineKind, mut fields: Value) {
        if let Some(map) = fields.as_object_mut() {
            let at_ms = u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
            map.insert("t_ms".to_string(), at_ms.into());
            map.insert("at_unix_ms".to_string(), super::unix_ms().into());
            map.insert("router".to_string(), (*self.router).into());
        }
        if self.lines.try_send(format!("{fields}\n")).is_err() {
            let mut rate = self.rate.lock().unwrap_or_else(PoisonError::into_inner);
            *rate.dropped_counts.entry(kind).or_default() += 1;
        } else {
            self.queued_count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for the writer to write all queued lines, for at most 250 ms.
    pub fn flush(&self) {
        const MAX_POLLS: u32 = 5;
        for _ in 0..MAX_POLLS {
            if self.written_count.load(Ordering::Relaxed)
                >= self.queued_count.load(Ordering::Relaxed)
            {
                return;
            }
            thread::sleep(BATCH_TIME / 2);
        }
    }
}

fn write_lines(lines: &mpsc::Receiver<String>, mut out: impl Write, written_count: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        thread::sleep(BATCH_TIME);
        let mut text = first;
        let mut count = 1;
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
            count += 1;
        }
        // The log is the only output, so its own errors can't be reported.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        written_count.fetch_add(count, Ordering::Relaxed);
    }
}
