//! Polls of the store by a fleet of simulated routers on a virtual clock.

use std::time::Duration;

use gentianhinge_core::polling::{self, EraChange, Policy, View};
use gentianhinge_core::report::Topic;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const BOUND: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(5);
/// Interval of the reports that a router hears of others.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Time of a call to the store, and of a relayed poll.
const CALL_TIME: Duration = Duration::from_millis(15);

/// A router of the simulated fleet.
#[derive(Clone, Default)]
struct Router {
    name: String,
    view: View,
    /// When the call in progress began and ends, the view at its begin, and whether it lists.
    poll: Option<(Instant, Instant, View, bool)>,
    not_before: Option<Instant>,
    failed_count: u32,
    is_running: bool,
    reaches_store: bool,
    hears_others: bool,
}

/// Routers that follow one topic, whose records are counted.
struct Fleet {
    now: Instant,
    routers: Vec<Router>,
    /// Positions of the routers in the order, by index.
    ranks: Vec<usize>,
    policy: Policy,
    era: u64,
    end_offset: u64,
    appended_at: Option<Instant>,
    call_count: usize,
    listing_count: usize,
    loss: f64,
    random: SmallRng,
}

impl Fleet {
    fn new(router_count: usize) -> Fleet {
        let now = Instant::now();
        let mut routers = Vec::new();
        for i in 0..router_count {
            let mut view = View::default();
            view.confirm(&Policy { bound: BOUND }, 0, now);
            let name = format!("r{i}");
            routers.push(Router {
                name,
                view,
                is_running: true,
                reaches_store: true,
                hears_others: true,
                ..Router::default()
            });
        }
        let rank = |router: &Router| {
            let others = routers.iter().map(|router| router.name.as_str());
            polling::rank(&router.name, others, Topic::Targets)
        };
        let ranks = routers.iter().map(rank).collect();
        let random = SmallRng::seed_from_u64(7);
        let policy = Policy { bound: BOUND };
        Fleet {
            now,
            routers,
            ranks,
            policy,
            era: 0,
            end_offset: 0,
            appended_at: None,
            call_count: 0,
            listing_count: 0,
            loss: 0.0,
            random,
        }
    }

    /// Indices of the routers in their order.
    fn order(&self) -> Vec<usize> {
        let mut order = (0..self.routers.len()).collect::<Vec<_>>();
        order.sort_by_key(|at| self.ranks[*at]);
        order
    }

    fn append(&mut self) {
        self.end_offset += 1;
        self.appended_at = Some(self.now);
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.report_eras();
            for at in 0..self.routers.len() {
                if self.routers[at].is_running {
                    self.step(at, self.ranks[at]);
                }
            }
        }
    }

    /// Each router hears a report of another one now and then.
    fn report_eras(&mut self) {
        for at in 0..self.routers.len() {
            let other = &self.routers[(at + 1) % self.routers.len()];
            let era = other.view.era;
            let is_sent = other.is_running && other.hears_others && self.routers[at].hears_others;
            if is_sent && self.random.random_bool(STEP.div_duration_f64(REPORT_INTERVAL)) {
                self.routers[at].view.hear_era(era, self.now);
            }
        }
    }

    fn step(&mut self, at: usize, rank: usize) {
        let (now, policy) = (self.now, self.policy);
        let router = &mut self.routers[at];
        match router.poll {
            None => {
                let due_at = router.view.next_poll(&policy, rank, now);
                if due_at <= now && router.not_before.is_none_or(|at| at <= now) {
                    self.call_count += 1;
                    let needs_answer = router.failed_count > 0 || router.view.is_behind();
                    let wait = if needs_answer { Duration::ZERO } else { policy.long_poll(rank) };
                    let is_listing = router.view.must_list();
                    self.listing_count += usize::from(is_listing);
                    router.poll = Some((now, now + wait + CALL_TIME, router.view, is_listing));
                }
            }
            Some((began_at, ends_at, view, is_listing)) => {
                let has_news =
                    router.view.next_offset < Some(self.end_offset) && view.era == self.era;
                if !router.reaches_store && now >= began_at + CALL_TIME {
                    router.poll = None;
                    let backoff = polling::MIN_BACKOFF * 2_u32.pow(router.failed_count.min(8));
                    router.not_before = Some(now + backoff.min(policy.max_backoff(rank)));
                    router.failed_count += 1;
                } else if router.reaches_store && (now >= ends_at || has_news) {
                    router.poll = None;
                    router.failed_count = 0;
                    let change = router.view.read_era(self.era, began_at, now);
                    let is_of_era = change == EraChange::None && router.view.era == view.era;
                    let end_offset = self.end_offset;
                    if is_listing && is_of_era {
                        router.view.confirm_listing(&policy, end_offset, now);
                        self.relay(at, true);
                    } else if is_of_era && !router.view.must_list() {
                        router.view.confirm(&policy, end_offset, now);
                        self.relay(at, false);
                    }
                }
            }
        }
    }

    fn relay(&mut self, from: usize, is_listing: bool) {
        let (era, end_offset) = (self.era, self.end_offset);
        if !self.routers[from].hears_others {
            return;
        }
        for at in 0..self.routers.len() {
            let is_lost = self.random.random_bool(self.loss);
            let router = &mut self.routers[at];
            if at != from && router.is_running && router.hears_others && !is_lost {
                router.view.hear_era(era, self.now);
                if is_listing && router.view.must_list() {
                    router.view.confirm_listing(&self.policy, end_offset, self.now);
                } else if !router.view.must_list() {
                    router.view.confirm(&self.policy, end_offset, self.now);
                }
            }
        }
    }

    /// The store comes back from a copy that ends at `end_offset`, and a record is appended.
    fn restore(&mut self, end_offset: u64) {
        (self.era, self.end_offset) = (self.era + 1, end_offset);
        self.append();
    }

    /// Longest time until all routers that run have read the topic to its end in the present era.
    fn known_after_restore(&mut self) -> Duration {
        let began_at = self.now;
        let position = (self.era, Some(self.end_offset));
        let knows = |router: &Router| {
            !router.view.must_list() && (router.view.era, router.view.next_offset) == position
        };
        while !self.routers.iter().filter(|router| router.is_running).all(knows) {
            assert!(self.now - began_at < BOUND * 10, "some routers never read the new era");
            self.run(STEP);
        }
        self.now - began_at
    }

    /// Longest time from the last append until a router that runs and reaches the store knows it;
    /// `None` while one doesn't.
    fn known_after(&mut self) -> Option<Duration> {
        let appended_at = self.appended_at?;
        for _ in 0..2000 {
            let in_touch = self.routers.iter().filter(|r| r.is_running && r.reaches_store);
            if in_touch.clone().all(|router| router.view.next_offset >= Some(self.end_offset)) {
                return Some(self.now - appended_at);
            }
            self.run(STEP);
        }
        None
    }
}

/// Defines tests: what fails in a fleet of 300 routers before a record is appended.
macro_rules! known_within_the_bound {
    ($($name:ident: $fail:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            for pause_ms in [0, 150, 400, 790, 1100] {
                let mut fleet = Fleet::new(300);
                fleet.run(Duration::from_secs(5));
                let fail: fn(&mut Fleet) = $fail;
                fail(&mut fleet);
                fleet.run(Duration::from_millis(pause_ms));
                fleet.append();
                let known_after = fleet.known_after().unwrap();
                assert!(known_after < BOUND, "{pause_ms} ms after: {known_after:?}");
            }
        }
    )*};
}

known_within_the_bound! {
    all_routers_run: |_| {};
    the_first_router_is_killed: |fleet| {
        let first = fleet.order()[0];
        fleet.routers[first].is_running = false;
    };
    the_first_router_is_cut_off_from_the_store: |fleet| {
        let first = fleet.order()[0];
        fleet.routers[first].reaches_store = false;
    };
    the_first_router_is_cut_off_from_the_others: |fleet| {
        let first = fleet.order()[0];
        fleet.routers[first].hears_others = false;
    };
    the_first_five_routers_are_killed: |fleet| {
        for at in fleet.order().into_iter().take(5) {
            fleet.routers[at].is_running = false;
        }
    };
    the_first_forty_routers_are_cut_off_from_the_store: |fleet| {
        for at in fleet.order().into_iter().take(40) {
            fleet.routers[at].reaches_store = false;
        }
    };
    no_router_hears_another: |fleet| {
        for router in &mut fleet.routers {
            router.hears_others = false;
        }
    };
    a_fifth_of_the_relayed_polls_is_lost: |fleet| fleet.loss = 0.2;
}

fn calls_per_minute(router_count: usize, fail: fn(&mut Fleet)) -> usize {
    let mut fleet = Fleet::new(router_count);
    fail(&mut fleet);
    fleet.run(Duration::from_secs(5));
    fleet.call_count = 0;
    for _ in 0..30 {
        fleet.append();
        fleet.run(Duration::from_secs(2));
    }
    fleet.call_count
}

#[tokio::test(start_paused = true)]
async fn calls_do_not_grow_with_the_fleet() {
    let (small, large) = (calls_per_minute(8, |_| {}), calls_per_minute(300, |_| {}));
    assert!(large <= small, "{large} calls by 300 routers, {small} by 8");
}

#[tokio::test(start_paused = true)]
async fn a_lost_first_router_does_not_multiply_calls() {
    let calls = calls_per_minute(300, |fleet| {
        let first = fleet.order()[0];
        fleet.routers[first].is_running = false;
    });
    // One router polls in place of the first, each time that the view gets too old.
    assert!(calls <= 120, "{calls}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_noticed_by_few_routers() {
    let mut fleet = Fleet::new(300);
    fleet.run(Duration::from_secs(5));
    for router in &mut fleet.routers {
        router.reaches_store = false;
    }
    // A call has to tell each router of the outage; then most of them wait.
    fleet.run(Duration::from_secs(5));
    fleet.call_count = 0;
    fleet.run(Duration::from_secs(20));
    assert!(fleet.call_count < 300 * 20 / 4, "{}", fleet.call_count);
    for router in &mut fleet.routers {
        router.reaches_store = true;
    }
    fleet.append();
    let known_after = fleet.known_after().unwrap();
    assert!(known_after < BOUND, "{known_after:?}");
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_the_store_is_told_from_a_lost_router() {
    let policy = Policy { bound: BOUND };
    let now = Instant::now();
    let mut view = View::default();
    assert!(!view.confirm(&policy, 5, now));
    assert!(!view.confirm(&policy, 6, now + BOUND.mul_f64(0.75)));
    assert!(view.confirm(&policy, 7, now + BOUND * 3));
}

#[tokio::test(start_paused = true)]
async fn a_stale_poll_neither_moves_the_offset_back_nor_makes_the_view_younger() {
    let policy = Policy { bound: BOUND };
    let now = Instant::now();
    let mut view = View::default();
    view.confirm(&policy, 9, now + BOUND);
    view.confirm(&policy, 3, now);
    assert_eq!(view.next_offset, Some(9));
    assert_eq!(view.age(now + BOUND), Some(Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn a_higher_offset_of_another_router_brings_the_poll_forward() {
    let policy = Policy { bound: BOUND };
    let now = Instant::now();
    let mut view = View::default();
    view.confirm(&policy, 9, now);
    let by_age = view.next_poll(&policy, 5, now);
    view.hear(9, now);
    assert_eq!(view.next_poll(&policy, 5, now), by_age);
    view.hear(10, now);
    assert!(view.next_poll(&policy, 5, now) < by_age);
}

/// A fleet that has read some records.
fn fleet_with_records(router_count: usize) -> Fleet {
    let mut fleet = Fleet::new(router_count);
    fleet.run(Duration::from_secs(5));
    (0..9).for_each(|_| fleet.append());
    fleet.run(Duration::from_secs(2));
    fleet
}

/// Defines tests: what is lost in a fleet of 300 routers while the store comes back from a copy, at
/// whose end it writes as many records as were lost.
macro_rules! read_again_after_a_restore {
    ($($name:ident: $fail:expr, at most $listings:literal listings;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            for lost_count in [1, 3, 8] {
                let mut fleet = fleet_with_records(300);
                let fail: fn(&mut Fleet) = $fail;
                fail(&mut fleet);
                fleet.restore(9 - lost_count);
                (1..lost_count).for_each(|_| fleet.append());
                assert_eq!(fleet.end_offset, 9);
                let known_after = fleet.known_after_restore();
                assert!(known_after < BOUND, "{lost_count} lost: {known_after:?}");
                fleet.run(Duration::from_secs(10));
                assert!(fleet.listing_count <= $listings, "{} listings", fleet.listing_count);
            }
        }
    )*};
}

read_again_after_a_restore! {
    all_routers_learn_of_a_restore_by_one_listing: |_| {}, at most 1 listings;
    a_restore_is_noticed_without_the_first_router: |fleet| {
        let first = fleet.order()[0];
        fleet.routers[first].is_running = false;
    }, at most 3 listings;
    a_restore_is_noticed_despite_lost_relays: |fleet| fleet.loss = 0.2, at most 80 listings;
    a_second_restore_is_noticed: |fleet| {
        fleet.restore(2);
        fleet.run(Duration::from_millis(300));
    }, at most 4 listings;
}

#[tokio::test(start_paused = true)]
async fn an_answer_of_an_earlier_era_that_arrives_late_is_stale() {
    let policy = Policy { bound: BOUND };
    let now = Instant::now();
    let mut view = View::default();
    view.read_era(1, now, now);
    view.confirm_listing(&policy, 5, now);
    let later = now + Duration::from_secs(1);
    view.hear_era(2, later);
    assert!(view.must_list());
    assert_eq!(view.read_era(1, now, later + STEP), EraChange::Stale);
    assert_eq!((view.era, view.must_list()), (2, true));
    view.confirm_listing(&policy, 3, later);
    assert_eq!((view.next_offset, view.must_list()), (Some(3), false));
}

#[tokio::test(start_paused = true)]
async fn the_store_is_right_about_its_era_whatever_others_say() {
    let now = Instant::now();
    let mut view = View::default();
    view.read_era(2, now, now);
    view.confirm_listing(&Policy { bound: BOUND }, 5, now);
    view.hear_era(900, now + STEP);
    assert_eq!(view.read_era(2, now + STEP * 2, now + STEP * 3), EraChange::New);
    assert_eq!((view.era, view.must_list()), (2, true));
}

#[tokio::test(start_paused = true)]
async fn an_offset_of_another_era_does_not_bring_a_poll_forward_before_the_first_listing() {
    let now = Instant::now();
    let mut view = View::default();
    view.hear_era(3, now);
    assert!(!view.must_list());
    assert_eq!(view.next_poll(&Policy { bound: BOUND }, 7, now), now);
}
