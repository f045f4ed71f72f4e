//! Positions in the store's topics.

use gentianhinge_core::{polling, report};
use tokio::time::Instant;

use super::RouterState;

impl RouterState {
    /// What this router knows of a topic of the store.
    pub fn topic_view(&mut self, topic: report::Topic) -> &mut polling::View {
        match topic {
            report::Topic::Config => &mut self.topic_views[0],
            report::Topic::Targets => &mut self.topic_views[1],
            report::Topic::Routers => &mut self.topic_views[2],
        }
    }

    /// Latest era of the store that this router knows of.
    pub fn store_era(&self) -> u64 {
        self.topic_views.iter().map(|view| view.era).max().unwrap_or_default()
    }

    /// Offsets up to which this router knows relayed polls of this era; 0 for topics that it hasn't read
    /// in this era.
    pub fn offsets(&self) -> report::Offsets {
        let era = self.store_era();
        self.topic_views.map(|view| {
            let is_read = view.era == era && !view.must_list();
            if is_read { view.told_offset() } else { 0 }
        })
    }

    /// Whether there may be a configuration that this router hasn't read: others know later records, or
    /// its view is older than the time within which a configuration must be in force.
    pub fn may_lack_config(&mut self, now: Instant) -> bool {
        let bound = self.config_bound;
        let view = self.topic_view(report::Topic::Config);
        view.is_behind() || view.age(now).is_none_or(|age| age > bound)
    }

    /// Takes into account that the store has another era, as another topic or router shows.
    pub fn hear_era(&mut self, era: u64, now: Instant) {
        for view in &mut self.topic_views {
            view.hear_era(era, now);
        }
    }
}
