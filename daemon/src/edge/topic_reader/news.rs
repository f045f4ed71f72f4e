//! Polls that other routers relay while this router reads the topic itself.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use gentianhinge_core::report::{self, Topic};
use gentianhinge_core::{polling, relaying};
use gentianhinge_platform::store::{Entries, Entry};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::{Batch, ended_at};
use crate::edge::{Context, evacuations, polls};

/// Polls that wait for the end of a read, and when each was received. The oldest are dropped.
#[derive(Debug, Default)]
pub(super) struct DeferredPolls(VecDeque<(report::Poll, Instant)>);

impl DeferredPolls {
    /// Takes the poll that has waited for the longest time.
    pub(super) fn pop(&mut self) -> Option<(report::Poll, Instant)> {
        self.0.pop_front()
    }

    fn push(&mut self, poll: report::Poll, received_at: Instant) {
        if self.0.len() == polls::QUEUE_LEN {
            self.0.pop_front();
        }
        self.0.push_back((poll, received_at));
    }
}

/// Waits for a poll of another router that ends this router's own read, since it has read further than
/// `view`; others only confirm the view. While a read transfers records, without a `wait` for later ones,
/// polls that leave a gap don't end it but are deferred: such polls come again and again, and would end each
/// read that a slow store takes longer to answer.
pub(super) async fn ending_poll(
    polls: &mut mpsc::Receiver<report::Poll>,
    deferred_polls: &mut DeferredPolls,
    context: &Context,
    policy: &polling::Policy,
    view: &polling::View,
    wait: Duration,
) -> report::Poll {
    loop {
        let Some(poll) = polls.recv().await else { return std::future::pending().await };
        let now = Instant::now();
        if (poll.era, Some(poll.next_offset)) > (view.era, view.next_offset) {
            let has_gap = poll.era == view.era && Some(poll.from) > view.next_offset;
            if !wait.is_zero() || poll.is_listing || !has_gap {
                return poll;
            }
            apply_evacuations(context, &poll);
            deferred_polls.push(poll, now);
            continue;
        }
        if poll.era < view.era || poll.is_listing {
            continue;
        }
        let is_last = poll.next_offset >= poll.end_offset;
        let mut state = context.state();
        let view = state.topic_view(poll.topic);
        view.record_relayed(poll.next_offset);
        if let Some(at) = ended_at(&poll, now).filter(|_| is_last) {
            view.confirm(policy, poll.next_offset, at);
        }
    }
}

/// Applies evacuations, which need no earlier records and mustn't wait for a slow read.
fn apply_evacuations(context: &Context, poll: &report::Poll) {
    if poll.topic != Topic::Config || poll.records.is_empty() {
        return;
    }
    let Some(part) = relaying::Part::read(poll.clone(), Instant::now()) else { return };
    let entries = part.lines.into_iter().filter_map(|(offset, line)| match line {
        relaying::Line::Heartbeat(_) => None,
        relaying::Line::Record(record) => {
            Some(Entry { offset, key: record.key, value: record.value.map(Bytes::from) })
        }
    });
    let (next_offset, end_offset) = (part.next_offset, part.end_offset);
    let read = Entries { entries: entries.collect(), next_offset, era: part.era, end_offset };
    evacuations::apply(context, &Batch::AfterGap(read));
}
