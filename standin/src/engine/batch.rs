//! Engine state and batch scheduler, which generates one token per running stream and step.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time;

use super::api::{self, Completion, Kind, ResponseWriter, Usage};
use super::cache::{self, Cache, EventPage};
use super::report::{Load, Stats};
use super::stream::Stream;
use super::{Config, Faults};
use crate::server::Gate;

/// Maximum number of attempt ids that are counted; further ones are ignored.
const MAX_ATTEMPTS: usize = 1_000_000;
/// Interval of checks whether the `stall` fault has been cleared.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    WrongModel,
    QueueFull,
    Fault(u16),
}

#[derive(Debug)]
struct Inner {
    waiting: VecDeque<Arc<Stream>>,
    running: Vec<Arc<Stream>>,
    streams: HashMap<String, Arc<Stream>>,
    cache: Cache,
    attempts: HashMap<String, u32>,
    stats: Stats,
    faults: Faults,
    load: Load,
    next_stream: u64,
}

/// State of an engine, shared by its connections and tasks.
#[derive(Debug)]
pub struct Engine {
    config: Config,
    incarnation: u64,
    started_at: time::Instant,
    work_added: Notify,
    gate: Arc<Gate>,
    inner: Mutex<Inner>,
}

impl Engine {
    pub(super) fn new(config: Config) -> Engine {
        let lag = Duration::from_millis(config.cache_event_lag_ms);
        let loss_ratio = config.cache_event_loss_ratio;
        let cache = Cache::new(config.max_cached_blocks, lag, loss_ratio, config.seed);
        let inner = Inner {
            waiting: VecDeque::new(),
            running: Vec::new(),
            streams: HashMap::new(),
            cache,
            attempts: HashMap::new(),
            stats: Stats::default(),
            faults: Faults::default(),
            load: Load::default(),
            next_stream: 0,
        };
        let engine = Engine {
            incarnation: api::unix_time().as_millis() as u64,
            started_at: time::Instant::now(),
            work_added: Notify::new(),
            gate: Arc::default(),
            inner: Mutex::new(inner),
            config,
        };
        let load = engine.current_load();
        engine.lock().load = load;
        engine
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Configuration at the start of the engine.
    pub fn config(&self) -> &Config {
        &self.config
    }

    pub(super) fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.gate.close_for(Duration::from_millis(faults.refuse_ms.unwrap_or(0)));
        self.lock().faults = faults;
        self.work_added.notify_one();
    }

    /// Current faults.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Returns after how many tokens the next streaming connection is closed, and counts it against
    /// `break_count`; `None` without a fault.
    pub(super) fn take_break_fault(&self) -> Option<u32> {
        let mut inner = self.lock();
        let after_tokens = inner.faults.break_after_tokens?;
        match &mut inner.faults.break_count {
            Some(0) => return None,
            Some(count) => *count -= 1,
            None => {}
        }
        Some(after_tokens)
    }

    /// Counters since the start.
    pub fn stats(&self) -> Stats {
        let mut stats = self.lock().stats.clone();
        stats.uptime_ms = self.started_at.elapsed().as_millis() as u64;
        stats
    }

    /// Current number of streams in the batch.
    pub fn running_count(&self) -> usize {
        self.lock().running.len()
    }

    /// Number of requests by attempt id.
    pub fn attempts(&self) -> HashMap<String, u32> {
        self.lock().attempts.clone()
    }

    /// Latest published load report.
    pub fn load(&self) -> Load {
        self.lock().load.clone()
    }

    pub(super) fn cache_events(&self, from: u64) -> EventPage {
        self.lock().cache.events(from, time::Instant::now())
    }

    pub(super) fn is_instant(&self) -> bool {
        self.config.token_ms <= 0.0
    }

    /// Accepts a request into the batch, or into the queue if the batch is full.
    pub(super) fn submit(
        &self,
        request: &Completion,
        kind: Kind,
        attempt: Option<&str>,
    ) -> Result<Arc<Stream>, Refusal> {
        let prompt = request.prompt_text();
        let hashes = cache::prefix_hashes(&prompt);
        let (length, is_truncated) =
            request.response_length(&prompt, self.config.default_max_tokens);
        let prompt_tokens = api::count_prompt_tokens(prompt.as_bytes());
        let now = time::Instant::now();
        let mut inner = self.lock();
        if let Err(refusal) = self.check_admission(&inner, request) {
            inner.stats.refused_count += 1;
            return Err(refusal);
        }
        let cached_blocks = inner.cache.admit(&hashes, now);
        let cached_tokens =
            api::count_prompt_tokens(&prompt.as_bytes()[..cached_blocks * cache::BLOCK_BYTES]);
        let usage = Usage {
            prompt_tokens,
            completion_tokens: length,
            total_tokens: prompt_tokens + length,
            cached_tokens,
        };
        inner.count_run(&usage, attempt);
        inner.next_stream += 1;
        let id = format!("s{:x}-{}", self.incarnation, inner.next_stream);
        let created_s = api::unix_time().as_secs();
        let writer = ResponseWriter::new(kind, id.clone(), created_s, request, is_truncated);
        let stream = Arc::new(Stream {
            id,
            writer,
            usage,
            progress: watch::Sender::default(),
            prefill: self.prefill(&usage, &inner.faults),
            state: Mutex::default(),
        });
        if self.is_instant() {
            inner.stats.token_count += u64::from(length);
            inner.stats.finished_count += 1;
            return Ok(stream);
        }
        inner.streams.insert(stream.id.clone(), Arc::clone(&stream));
        inner.waiting.push_back(Arc::clone(&stream));
        inner.fill_batch(self.config.max_running_count, now);
        drop(inner);
        self.work_added.notify_one();
        Ok(stream)
    }

    fn check_admission(&self, inner: &Inner, request: &Completion) -> Result<(), Refusal> {
        if let Some(status) = inner.faults.status {
            return Err(Refusal::Fault(status));
        }
        if request.model != self.config.model {
            return Err(Refusal::WrongModel);
        }
        if inner.waiting.len() >= self.config.max_waiting_count {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    fn prefill(&self, usage: &Usage, faults: &Faults) -> Duration {
        let uncached_tokens = f64::from(usage.prompt_tokens.saturating_sub(usage.cached_tokens));
        let prefill_ms = uncached_tokens * self.config.prefill_token_ms;
        let slow_ms = faults.slow_start_ms.unwrap_or(0);
        Duration::from_secs_f64(prefill_ms / 1000.0) + Duration::from_millis(slow_ms)
    }

    /// Delay before the response of an engine without batching.
    pub(super) fn instant_delay(&self, stream: &Stream) -> Duration {
        stream.prefill
    }

    /// Finds a stream to resume and attaches a reader; `None` if it can't be resumed.
    pub(super) fn resume(&self, id: &str) -> Option<Arc<Stream>> {
        let mut inner = self.lock();
        if inner.faults.refuse_resume {
            return None;
        }
        let stream = inner.streams.get(id).cloned()?;
        if stream.progress.borrow().was_cancelled {
            return None;
        }
        inner.stats.resumed_count += 1;
        stream.attach();
        Some(stream)
    }

    /// Cancels a stream; `false` if no stream has this id.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut inner = self.lock();
        let Some(stream) = inner.streams.get(id).cloned() else { return false };
        if !stream.has_ended() {
            inner.stats.cancelled_count += 1;
            inner.cancel_stream(&stream);
            inner.fill_batch(self.config.max_running_count, time::Instant::now());
        }
        true
    }

    fn step_time(&self) -> Option<Duration> {
        let inner = self.lock();
        if inner.running.is_empty() {
            return None;
        }
        let other_count = (inner.running.len() - 1) as f64;
        let step_ms = self.config.token_ms * (1.0 + self.config.batch_growth_ratio * other_count);
        Some(Duration::from_secs_f64(step_ms / 1000.0))
    }

    /// Generates one token for each running stream; `false` if the engine is stalled.
    fn step(&self, step: Duration) -> bool {
        let now = time::Instant::now();
        let mut inner = self.lock();
        if inner.faults.stall {
            return false;
        }
        inner.stats.busy_slot_ms += step.as_secs_f64() * 1000.0 * inner.running.len() as f64;
        let mut token_count = 0;
        let mut finished_count = 0;
        inner.running.retain(|stream| {
            if stream.state().first_token_at.is_some_and(|at| now < at) {
                return true;
            }
            stream.progress.send_modify(|progress| progress.token_count += 1);
            token_count += 1;
            let has_ended = stream.has_ended();
            finished_count += u64::from(has_ended);
            !has_ended
        });
        inner.stats.token_count += token_count;
        inner.stats.finished_count += finished_count;
        inner.fill_batch(self.config.max_running_count, now);
        true
    }

    /// Removes streams that had no reader for the resume window, and cancels them if they still
    /// run.
    fn remove_unread_streams(&self) {
        let now = time::Instant::now();
        let window = Duration::from_millis(self.config.resume_window_ms);
        let mut inner = self.lock();
        let unread: Vec<_> =
            inner.streams.values().filter(|stream| stream.is_unread_for(window, now)).collect();
        let unread: Vec<_> = unread.into_iter().cloned().collect();
        for stream in unread {
            if !stream.has_ended() {
                inner.stats.abandoned_count += 1;
                inner.cancel_stream(&stream);
            }
            inner.streams.remove(&stream.id);
        }
        inner.fill_batch(self.config.max_running_count, now);
    }

    fn current_load(&self) -> Load {
        let inner = self.lock();
        Load {
            at_ms: api::unix_time().as_millis() as u64,
            incarnation: self.incarnation,
            running_count: inner.running.len(),
            waiting_count: inner.waiting.len(),
            max_running_count: self.config.max_running_count,
            cached_blocks: inner.cache.len(),
            max_cached_blocks: self.config.max_cached_blocks,
            leaving: inner.faults.leaving,
        }
    }
}

impl Inner {
    fn count_run(&mut self, usage: &Usage, attempt: Option<&str>) {
        self.stats.run_count += 1;
        self.stats.run_while_leaving_count += u64::from(self.faults.leaving);
        self.stats.prompt_token_count += u64::from(usage.prompt_tokens);
        self.stats.cached_token_count += u64::from(usage.cached_tokens);
        let Some(attempt) = attempt else { return };
        if let Some(count) = self.attempts.get_mut(attempt) {
            *count += 1;
            self.stats.repeated_attempt_count += 1;
        } else if self.attempts.len() < MAX_ATTEMPTS {
            self.attempts.insert(attempt.to_owned(), 1);
        }
    }

    fn fill_batch(&mut self, max_running_count: usize, now: time::Instant) {
        while self.running.len() < max_running_count {
            let Some(stream) = self.waiting.pop_front() else { break };
            stream.state().first_token_at = Some(now + stream.prefill);
            self.running.push(stream);
        }
        self.stats.peak_running_count = self.stats.peak_running_count.max(self.running.len());
        self.stats.peak_waiting_count = self.stats.peak_waiting_count.max(self.waiting.len());
    }

    /// Cancels a stream and removes it from the queue and the batch.
    fn cancel_stream(&mut self, stream: &Arc<Stream>) {
        self.running.retain(|other| !Arc::ptr_eq(other, stream));
        self.waiting.retain(|other| !Arc::ptr_eq(other, stream));
        stream.progress.send_modify(|progress| progress.was_cancelled = true);
    }
}

/// Runs steps until the task is aborted.
pub(super) async fn run_steps(engine: Arc<Engine>) {
    let mut next_at = time::Instant::now();
    loop {
        let Some(step) = engine.step_time() else {
            engine.work_added.notified().await;
            next_at = time::Instant::now();
            continue;
        };
        // Steps are scheduled at absolute times, so that rounding errors of the timer don't
        // accumulate.
        next_at += step;
        time::sleep_until(next_at).await;
        while !engine.step(step) {
            time::sleep(STALL_POLL_INTERVAL).await;
            next_at = time::Instant::now();
        }
    }
}

/// Publishes load reports with a delay and removes unread streams, until the task is aborted.
pub(super) async fn run_reports(engine: Arc<Engine>) {
    let lag = Duration::from_millis(engine.config.load_lag_ms.max(1));
    let mut sampled = engine.current_load();
    loop {
        time::sleep(lag).await;
        engine.lock().load = sampled;
        sampled = engine.current_load();
        engine.remove_unread_streams();
    }
}
