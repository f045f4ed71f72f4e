//! Follows one topic of the store: polls it, or hears of the polls of the router that polls for
//! all. [`polling`] decides when this router polls.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::report::{self, Topic};
use gentianhinge_core::{polling, relaying};
use gentianhinge_platform::store::{Entries, Entry, Store, StoreError};
use gentianhinge_platform::{config, peers, registry};
use rand::Rng;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use super::Context;

mod news;
mod relay;

/// Interval at which a router checks whether it has to poll: reports may show that it is behind.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two computations of the position in the order of routers.
const RANK_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a report after which a router loses its position in the order.
const RANK_WINDOW: Duration = Duration::from_secs(15);

/// Records read from a topic.
#[derive(Debug)]
pub enum Batch {
    /// The newest record of each key.
    Snapshot(Entries),
    /// Records since the last batch.
    Updates(Entries),
    /// Records of the configuration's topic before which others are missing: those that are too long
    /// to be relayed, while this router can't reach the store.
    AfterGap(Entries),
}

/// Reader of one topic, with the state of its connection to the store.
#[derive(Debug)]
pub struct TopicReader {
    /// The router.
    pub context: Arc<Context>,
    /// Client of the store.
    pub store: Store,
    topic: Topic,
    policy: polling::Policy,
    /// Polls of other routers.
    polls: mpsc::Receiver<report::Poll>,
    /// Receives this router's polls.
    outbox: mpsc::Sender<report::Poll>,
    /// Position in the order of routers, and when it was computed.
    rank: (usize, Option<Instant>),
    needs_listing: bool,
    started_at: Instant,
    /// Earliest time of the next poll: after failures, and after batches that have a pause.
    not_before: Instant,
    backoff: Duration,
    failing_since: Option<Instant>,
    /// Whether the last batch was the first one after an outage.
    pub has_recovered: bool,
    /// Records of the last batch of which only the heartbeat is told, with their offsets.
    pub heartbeats: Vec<(u64, report::Heartbeat)>,
    /// Whether the last relayed poll of this router didn't reach the topic's end.
    has_rest: bool,
    /// Records that are relayed.
    relayed: relaying::Outbox,
    /// Parts of others' polls that wait for earlier ones.
    waiting: relaying::Inbox,
    /// Polls of others that arrived during a read of this router and didn't end it.
    deferred_polls: news::DeferredPolls,
}

impl TopicReader {
    /// Creates a reader of `topic`, whose records must be known within `bound`.
    pub fn new(
        context: Arc<Context>,
        store: Store,
        topic: Topic,
        bound: Duration,
        polls: mpsc::Receiver<report::Poll>,
        outbox: mpsc::Sender<report::Poll>,
    ) -> TopicReader {
        TopicReader {
            context,
            store,
            topic,
            policy: polling::Policy { bound },
            polls,
            outbox,
            rank: (0, None),
            needs_listing: true,
            started_at: Instant::now(),
            not_before: Instant::now(),
            backoff: polling::MIN_BACKOFF,
            failing_since: None,
            has_recovered: false,
            heartbeats: Vec::new(),
            has_rest: false,
            relayed: relaying::Outbox::default(),
            waiting: relaying::Inbox::default(),
            deferred_polls: news::DeferredPolls::default(),
        }
    }

    /// Name of the topic in the store.
    pub fn topic_name(&self) -> &'static str {
        match self.topic {
            Topic::Config => config::TOPIC,
            Topic::Targets => registry::TOPIC,
            Topic::Routers => peers::TOPIC,
        }
    }

    /// Postpones this router's next poll, so that records that are written at the same time are
    /// read together.
    pub fn pause(&mut self, pause: Duration) {
        self.not_before = self.not_before.max(Instant::now() + pause);
    }

    /// Reads the next batch, by a poll of this or another router; retries failed calls. If the
    /// future is dropped, [`Store::disconnect`] has to be called.
    pub async fn next_batch(&mut self) -> Batch {
        loop {
            let now = Instant::now();
            if let Some(batch) = self.take_waiting(now) {
                return batch;
            }
            if let Some((poll, received_at)) = self.deferred_polls.pop() {
                match self.accept(poll, received_at) {
                    Some(batch) => return batch,
                    None => continue,
                }
            }
            let rank = self.rank(now);
            let view = self.view();
            let due_at =
                if self.needs_listing { now } else { view.next_poll(&self.policy, rank, now) };
            if view.is_behind() {
                // Others read the store: a long backoff would outlast the end of this router's outage.
                self.not_before = self.not_before.min(now + self.policy.max_backoff(0));
            }
            let due_at = due_at.max(self.not_before);
            let batch = if due_at <= now {
                self.poll(&view, rank, now).await
            } else {
                tokio::select! {
                    Some(poll) = self.polls.recv() => self.accept(poll, Instant::now()),
                    () = time::sleep_until(due_at.min(now + CHECK_INTERVAL)) => None,
                }
            };
            if let Some(batch) = batch {
                return batch;
            }
        }
    }

    fn rank(&mut self, now: Instant) -> usize {
        if self.rank.1.is_none_or(|at| now >= at + RANK_INTERVAL) {
            let state = self.context.state();
            let heard = state.load.routers_heard(RANK_WINDOW, now);
            let is_discovering = now < self.started_at + polling::DISCOVERY_TIME;
            // At the start of a fleet, no router has heard all others yet.
            let registered = state.registered_routers.iter().filter(|_| is_discovering);
            let others = heard.chain(registered.map(|name| &**name)).collect::<BTreeSet<_>>();
            let rank = polling::rank(&self.context.name, others.into_iter(), self.topic);
            let is_unlisted = is_discovering && state.registered_routers.is_empty();
            self.rank = (if is_unlisted { rank.max(1) } else { rank }, Some(now));
        }
        self.rank.0
    }

    /// Polls the store; `None` if there are no new records or the call failed.
    async fn poll(&mut self, view: &polling::View, rank: usize, now: Instant) -> Option<Batch> {
        self.context.metrics.store_calls.increment(1);
        let from = match view.next_offset {
            Some(from) if !self.needs_listing && !view.must_list() => from,
            _ => return self.list(view, rank, now).await,
        };
        let is_behind = view.is_behind();
        if rank > 0 {
            let age_ms = view.age(now).map(|age| age.as_millis() as u64);
            self.context.log.state_change(json!({
                "event": "poll", "topic": self.topic_name(), "rank": rank, "offset": from,
                "age_ms": age_ms, "cause": if is_behind { "records missing" } else { "view too old" },
            }));
        }
        // After a failure the store should respond at once, so that its recovery is noticed.
        let needs_answer = is_behind || self.failing_since.is_some();
        let wait = if needs_answer { Duration::ZERO } else { self.policy.long_poll(rank) };
        let result = tokio::select! {
            result = self.store.read(self.topic_name(), from, wait) => result,
            poll = news::ending_poll(
                &mut self.polls,
                &mut self.deferred_polls,
                &self.context,
                &self.policy,
                view,
                wait,
            ) => {
                // Another router has read further, so this poll may have failed silently.
                self.store.disconnect();
                return self.accept(poll, Instant::now());
            }
        };
        if !self.is_of_era(view, now) {
            return None;
        }
        match result {
            Ok(read) => {
                self.record_success();
                // An empty response comes after the wait, and so says that there is no record then.
                let at = if read.entries.is_empty() { now + wait } else { now };
                self.confirm(&read, at.min(Instant::now()));
                if rank == 0 || !is_behind || self.has_rest {
                    self.relay(&read, at);
                    self.has_rest = read.next_offset < read.end_offset;
                }
                Some(Batch::Updates(read)).filter(|_| self.has_news(from))
            }
            Err(err) => {
                self.handle_failure(&err, rank);
                None
            }
        }
    }

    /// Reads the newest record of each key.
    async fn list(&mut self, view: &polling::View, rank: usize, now: Instant) -> Option<Batch> {
        let name = self.topic_name();
        let listing = match self.topic {
            // Only the newest configuration counts, and old ones are long.
            Topic::Config => self.store.newest(name).await,
            // Targets write all the time, so that their history soon exceeds a listing.
            Topic::Targets if !self.context.is_first_start => self.store.newest(name).await,
            Topic::Targets | Topic::Routers => self.store.newest_by_history(name).await,
        };
        let change = self.read_era(now);
        match listing {
            Ok(_) if change == polling::EraChange::Stale => None,
            Ok(listing) => {
                self.context.log.state_change(json!({
                    "event": "listing", "topic": self.topic_name(), "end": listing.next_offset,
                    "era": listing.era, "offset": view.next_offset, "rank": rank,
                }));
                self.needs_listing = false;
                self.record_success();
                self.relayed.clear();
                if self.view().must_list() {
                    self.relay_listing(&listing, now);
                }
                self.has_recovered |= self.confirm_listing(listing.next_offset, now);
                Some(Batch::Snapshot(listing))
            }
            Err(err) => {
                let rank = if self.context.state().can_serve() { self.rank.0 } else { 0 };
                self.handle_failure(&err, rank);
                None
            }
        }
    }

    fn view(&self) -> polling::View {
        *self.context.state().topic_view(self.topic)
    }

    /// Takes the era of the store's last answer into account, to a call made at `asked_at`.
    fn read_era(&self, asked_at: Instant) -> polling::EraChange {
        let Some(era) = self.store.era() else { return polling::EraChange::None };
        let now = Instant::now();
        let mut state = self.context.state();
        let before = *state.topic_view(self.topic);
        let change = state.topic_view(self.topic).read_era(era, asked_at, now);
        if change == polling::EraChange::New {
            state.hear_era(era, now);
        }
        drop(state);
        if change != polling::EraChange::None && before.next_offset.is_some() {
            self.context.log.state_change(json!({
                "event": "era", "topic": self.topic_name(), "era": era, "before": before.era,
                "offset": before.next_offset, "outcome": format!("{change:?}").to_lowercase(),
            }));
        }
        change
    }

    /// Whether the answer to a call that was made at `asked_at` with a certain view still fits it.
    fn is_of_era(&self, view: &polling::View, asked_at: Instant) -> bool {
        let change = self.read_era(asked_at);
        let now = self.view();
        change == polling::EraChange::None && now.era == view.era && !now.must_list()
    }

    fn confirm_listing(&self, next_offset: u64, at: Instant) -> bool {
        let mut state = self.context.state();
        state.topic_view(self.topic).confirm_listing(&self.policy, next_offset, at)
    }

    /// Whether the view has passed the offset `from`, or the caller has to act on an outage.
    fn has_news(&self, from: u64) -> bool {
        let next_offset = self.context.state().topic_view(self.topic).next_offset;
        self.has_recovered || next_offset.is_some_and(|next| next > from)
    }

    /// Updates the view after a read of this router.
    fn confirm(&mut self, read: &Entries, at: Instant) {
        let mut state = self.context.state();
        let view = state.topic_view(self.topic);
        if read.next_offset < read.end_offset {
            view.next_offset = view.next_offset.max(Some(read.next_offset));
            view.hear(read.end_offset, at);
        } else {
            self.has_recovered |= view.confirm(&self.policy, read.next_offset, at);
        }
    }

    /// Takes a poll of another router into account, which was received at `now`; returns the records that
    /// are new.
    fn accept(&mut self, poll: report::Poll, now: Instant) -> Option<Batch> {
        let mut state = self.context.state();
        state.hear_era(poll.era, now);
        let view = state.topic_view(self.topic);
        let from = view.next_offset?;
        if poll.era != view.era || (poll.is_listing && !view.must_list()) {
            return None;
        }
        view.record_relayed(poll.next_offset);
        if poll.is_listing {
            drop(state);
            return self.accept_listing(poll, now);
        }
        if view.must_list() {
            drop(state);
            return self.after_gap(poll, now);
        }
        let at = ended_at(&poll, now)?;
        if poll.next_offset <= from {
            if poll.next_offset >= poll.end_offset {
                self.has_recovered = view.confirm(&self.policy, poll.next_offset, at);
                drop(state);
                self.end_failure("another router reads the store");
                return self.has_recovered.then(|| {
                    self.updates(relaying::Part {
                        era: poll.era,
                        lines: Default::default(),
                        next_offset: from,
                        end_offset: from,
                        at,
                    })
                });
            }
            return None;
        }
        let (end_offset, part) = (poll.end_offset, relaying::Part::read(poll, at));
        let Some(part) = part else {
            view.hear(end_offset, now);
            return None;
        };
        drop(state);
        let begins_at = part.lines.front().map_or(from, |(offset, _)| *offset);
        let gap = (begins_at > from).then(|| part.clone());
        self.waiting.add(part);
        let batch = self.take_waiting(now);
        batch.or_else(|| gap.and_then(|part| self.batch_after_gap(part)))
    }

    /// Records of a relayed poll before which others are missing; `None` if they can't be used.
    fn after_gap(&mut self, poll: report::Poll, now: Instant) -> Option<Batch> {
        let at = ended_at(&poll, now)?;
        let part = relaying::Part::read(poll, at)?;
        self.batch_after_gap(part)
    }

    fn batch_after_gap(&mut self, part: relaying::Part) -> Option<Batch> {
        if self.topic != Topic::Config {
            return None;
        }
        match self.updates(part) {
            Batch::Updates(read) => Some(Batch::AfterGap(read)),
            batch => Some(batch),
        }
    }

    /// Applies the part of a relayed poll that continues what is known, if there is one.
    fn take_waiting(&mut self, now: Instant) -> Option<Batch> {
        let mut state = self.context.state();
        let view = *state.topic_view(self.topic);
        if self.needs_listing || view.must_list() {
            return None;
        }
        let end = self.waiting.end(view.era);
        let Some(part) = self.waiting.take(view.era, view.next_offset?) else {
            state.topic_view(self.topic).hear(end, now);
            return None;
        };
        let is_known = |hash| state.registry.by_hash(hash).is_some();
        let (part, cut_at) = part.split_known(is_known, &mut self.waiting);
        let view = state.topic_view(self.topic);
        if cut_at.is_none() && part.is_last() {
            self.has_recovered = view.confirm(&self.policy, part.next_offset, part.at);
        } else {
            view.advance(part.next_offset, part.end_offset, now);
        }
        drop(state);
        self.end_failure("another router reads the store");
        let is_news = !part.lines.is_empty() || self.has_recovered;
        is_news.then(|| self.updates(part))
    }

    /// Takes over the first listing of an era from another router.
    fn accept_listing(&mut self, poll: report::Poll, now: Instant) -> Option<Batch> {
        let at = ended_at(&poll, now)?;
        let next_offset = poll.next_offset;
        self.has_recovered = self.confirm_listing(next_offset, at);
        self.needs_listing = false;
        self.relayed.clear();
        self.end_failure("another router reads the store");
        let entries = poll.records.into_iter().map(|record| Entry {
            offset: next_offset,
            key: record.key,
            value: record.value.map(Bytes::from),
        });
        let (entries, end_offset) = (entries.collect(), next_offset);
        Some(Batch::Snapshot(Entries { entries, next_offset, era: poll.era, end_offset }))
    }

    /// Records a successful call.
    fn record_success(&mut self) {
        self.backoff = polling::MIN_BACKOFF;
        self.has_recovered = self.failing_since.is_some();
        self.end_failure("regained");
    }

    fn end_failure(&mut self, outcome: &str) {
        let Some(since) = self.failing_since.take() else { return };
        let outage_ms = since.elapsed().as_millis() as u64;
        self.context.log.state_change(json!({
            "event": "dependency", "dependency": "store", "topic": self.topic_name(),
            "outcome": outcome, "away_ms": outage_ms,
        }));
    }

    /// Records a failed call, also one of the caller's, and postpones the next one.
    pub fn handle_failure(&mut self, err: &StoreError, rank: usize) {
        if matches!(err, StoreError::Gone) {
            self.needs_listing = true;
            return;
        }
        if self.failing_since.is_none() {
            self.failing_since = Some(Instant::now());
            self.context.log.state_change(json!({
                "event": "dependency", "dependency": "store", "topic": self.topic_name(),
                "outcome": "lost", "cause": err.to_string(), "rank": rank,
            }));
        }
        self.context.metrics.store_failures.increment(1);
        let jitter = rand::rng().random_range(0.5..1.0);
        self.pause(self.backoff.mul_f64(jitter));
        self.backoff = (self.backoff * 2).min(self.policy.max_backoff(rank));
    }
}

/// Time at which the topic ended where a poll says; `None` if that lies before the clock's start.
fn ended_at(poll: &report::Poll, now: Instant) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(poll.age_ms.into()))
}
