//! Channels that carry polls of other routers to the readers of topics.

use gentianhinge_core::report::{self, Topic};
use tokio::sync::mpsc;

/// Capacity of the channels of polls; further ones are dropped, and the next one makes up for them.
pub const QUEUE_LEN: usize = 64;

/// Senders of the polls of other routers, by [`Topic::number`].
#[derive(Clone, Debug)]
pub struct PollSenders([mpsc::Sender<report::Poll>; Topic::ALL.len()]);

impl PollSenders {
    /// Passes a poll to the reader of its topic.
    pub fn send(&self, poll: report::Poll) {
        let [config, targets, routers] = &self.0;
        let sender = match poll.topic {
            Topic::Config => config,
            Topic::Targets => targets,
            Topic::Routers => routers,
        };
        if sender.try_send(poll).is_err() {
            tracing::debug!("a poll of another router is dropped: the queue is full");
        }
    }
}

/// Creates the channels for the polls of other routers.
pub fn channels() -> (PollSenders, [mpsc::Receiver<report::Poll>; Topic::ALL.len()]) {
    let (config_sender, config) = mpsc::channel(QUEUE_LEN);
    let (targets_sender, targets) = mpsc::channel(QUEUE_LEN);
    let (routers_sender, routers) = mpsc::channel(QUEUE_LEN);
    let senders = PollSenders([config_sender, targets_sender, routers_sender]);
    (senders, [config, targets, routers])
}
