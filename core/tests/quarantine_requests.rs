//! Quarantine of requests that end their targets, over whole fleets of routers.

use std::collections::HashMap;
use std::time::Duration;

use gentianhinge_core::quarantine::{self, Quarantine};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const TEAM: u64 = 7;
const CULPRIT: u64 = 1;
const INNOCENT: u64 = 1_000;

/// Time between two crashes in tests without a fleet.
const GAP: Duration = Duration::from_millis(300);

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(100);

/// Steps from one try of a caller to the next.
const CALLER_STEPS: u32 = 5;

/// Steps from one try of a culprit's caller to the next, and from one culprit to the next.
const CULPRIT_STEPS: u32 = 12;

/// Times that a refused caller tries.
const CALLER_TRIES: u32 = 3;

/// Steps until a sound request is answered.
const ANSWER_STEPS: u32 = 10;

/// Steps until an ended target is back.
const RESTART_STEPS: u32 = 30;

/// Steps of a simulated run.
const RUN_STEPS: u32 = 300;

/// Time after the third crash from which sends of a request are limited.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Maximum number of sends after that.
const MAX_LATE_SENDS: u32 = 3;

/// Time after which requests must be served once their targets are back.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Maximum part of all sound requests that may be refused at each try, as for proper requests that
/// are denied.
const MAX_REFUSED_PART: f64 = 1.0 / 500.0;

/// Evidence of crashes, each with the requests that ran at its target; also returns the time after
/// the last one.
fn crashes(running: &[&[u64]]) -> (Quarantine, Instant) {
    let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
    for (target, requests) in running.iter().enumerate() {
        now += GAP;
        for request in *requests {
            quarantine.record_ended(target as u64, *request, now);
        }
    }
    (quarantine, now)
}

/// Tells a router what another one has seen and hasn't told before.
fn tell(from: &mut Quarantine, to: &mut Quarantine, now: Instant) {
    to.apply_ended(from.take_unreported_ended(), &from.take_cleared_requests(), now);
}

#[derive(Clone, Copy, Debug)]
struct Running {
    key: u64,
    router: usize,
    target: usize,
    since: u32,
}

/// A sound request that its caller sends again.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    key: u64,
    due_at: u32,
    refused_count: u32,
}

#[derive(Clone, Copy, Debug)]
struct Settings {
    router_count: usize,
    target_count: usize,
    /// Sound requests at each target.
    running_count: usize,
    culprit_count: u64,
    /// Steps between two reports with sums.
    sums_steps: u32,
    /// Part of the reports that are lost.
    lost_part: f64,
    seed_count: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Culprit {
    crash_count: u32,
    third_at: Option<Instant>,
    late_sends: u32,
    held_count: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    culprits: HashMap<u64, Culprit>,
    /// Sound requests whose callers were refused each time.
    refused_count: u32,
    sound_count: u32,
    hit_count: u32,
}

struct Fleet {
    settings: Settings,
    routers: Vec<Quarantine>,
    /// Incarnation of each target, and the step in which it is back.
    targets: Vec<(u64, u32)>,
    running: Vec<Running>,
    waiting: Vec<Waiting>,
    next_key: u64,
    outcome: Outcome,
    rng: SmallRng,
    now: Instant,
    step: u32,
}

impl Fleet {
    fn new(settings: Settings, seed: u64) -> Fleet {
        Fleet {
            routers: (0..settings.router_count).map(|_| Quarantine::default()).collect(),
            targets: (0..settings.target_count as u64).map(|i| (i, 0)).collect(),
            running: Vec::new(),
            waiting: Vec::new(),
            next_key: INNOCENT,
            outcome: Outcome::default(),
            rng: SmallRng::seed_from_u64(seed),
            now: Instant::now(),
            step: 0,
            settings,
        }
    }

    fn live_target(&mut self) -> Option<usize> {
        let live = (0..self.targets.len()).filter(|target| self.targets[*target].1 <= self.step);
        live.collect::<Vec<_>>().choose(&mut self.rng).copied()
    }

    fn run(mut self) -> Outcome {
        for step in 0..RUN_STEPS {
            self.step = step;
            self.now += STEP;
            self.answer();
            self.send_sound();
            self.send_culprits();
            self.report();
        }
        self.outcome
    }

    fn answer(&mut self) {
        let (now, step) = (self.now, self.step);
        let is_done = |run: &Running| step >= run.since + ANSWER_STEPS;
        for run in self.running.iter().filter(|run| is_done(run)) {
            self.routers[run.router].record_request_answer(run.key, now);
        }
        self.running.retain(|run| !is_done(run));
    }

    fn send_sound(&mut self) {
        let live = self.targets.iter().filter(|(_, back_at)| *back_at <= self.step).count();
        let step = self.step;
        let due = self.waiting.extract_if(.., |waiting| waiting.due_at <= step);
        let mut due = due.collect::<Vec<_>>();
        let missing = live * self.settings.running_count;
        // They arrive evenly, so that not all are answered in one step.
        let new_count = missing.saturating_sub(self.running.len()) / 4;
        for _ in 0..new_count {
            due.push(Waiting { key: self.next_key, due_at: step, refused_count: 0 });
            self.next_key += 1;
        }
        self.outcome.sound_count += new_count as u32;
        for Waiting { key, refused_count, .. } in due {
            let router = self.rng.random_range(0..self.routers.len());
            if self.routers[router].is_request_quarantined(key, self.now) {
                if refused_count + 1 < CALLER_TRIES {
                    let due_at = step + CALLER_STEPS;
                    self.waiting.push(Waiting { key, due_at, refused_count: refused_count + 1 });
                } else {
                    self.outcome.refused_count += 1;
                }
                continue;
            }
            let Some(target) = self.live_target() else { continue };
            self.running.push(Running { key, router, target, since: self.step });
        }
    }

    fn send_culprits(&mut self) {
        for key in CULPRIT..CULPRIT + self.settings.culprit_count {
            let begins_at = key as u32 * CULPRIT_STEPS;
            if self.step < begins_at || !(self.step + key as u32).is_multiple_of(CULPRIT_STEPS) {
                continue;
            }
            let router = self.rng.random_range(0..self.routers.len());
            let mut may_send = true;
            while may_send {
                let culprit = self.outcome.culprits.entry(key).or_default();
                if self.routers[router].is_request_quarantined(key, self.now) {
                    culprit.held_count += 1;
                    break;
                }
                let Some(target) = self.live_target() else { return };
                self.routers[router].record_request_sent(key, self.now);
                let culprit = self.outcome.culprits.entry(key).or_default();
                culprit.crash_count += 1;
                if culprit.crash_count == 3 {
                    culprit.third_at = Some(self.now);
                }
                if culprit.third_at.is_some_and(|at| self.now > at + STABLE_WINDOW) {
                    culprit.late_sends += 1;
                }
                self.running.push(Running { key, router, target, since: self.step });
                self.end_target(target);
                may_send = self.routers[router].may_retry_request(key, &[], self.now);
                self.now += Duration::from_millis(60);
            }
        }
    }

    /// Ends a target. Routers send what they may again at once, callers the rest later.
    fn end_target(&mut self, target: usize) {
        let (incarnation, back_at) = &mut self.targets[target];
        let hash = *incarnation;
        *incarnation += self.settings.target_count as u64;
        *back_at = self.step + RESTART_STEPS;
        let cut = self.running.extract_if(.., |run| run.target == target);
        let cut = cut.collect::<Vec<_>>();
        for run in &cut {
            self.routers[run.router].record_ended(hash, run.key, self.now);
        }
        self.tell_all();
        for run in cut.into_iter().filter(|run| run.key >= INNOCENT) {
            self.outcome.hit_count += 1;
            let may_retry = self.routers[run.router].may_retry_request(run.key, &[], self.now);
            match self.live_target().filter(|_| may_retry) {
                Some(target) => self.running.push(Running { target, since: self.step, ..run }),
                None => {
                    let due_at = self.step + CALLER_STEPS;
                    self.waiting.push(Waiting { key: run.key, due_at, refused_count: 0 });
                }
            }
        }
    }

    /// Alerts: what a router has seen is told to all others at once.
    fn tell_all(&mut self) {
        for from in 0..self.routers.len() {
            let ended = self.routers[from].take_unreported_ended();
            let cleared = self.routers[from].take_cleared_requests();
            self.deliver(from, &ended, &cleared);
        }
    }

    fn deliver(&mut self, from: usize, ended: &[quarantine::EndedTarget], cleared: &[u64]) {
        if ended.is_empty() && cleared.is_empty() {
            return;
        }
        for (to, router) in self.routers.iter_mut().enumerate() {
            if to != from && !self.rng.random_bool(self.settings.lost_part) {
                router.apply_ended(ended.to_vec(), cleared, self.now);
            }
        }
    }

    fn report(&mut self) {
        self.tell_all();
        for from in 0..self.routers.len() {
            if (self.step + from as u32).is_multiple_of(self.settings.sums_steps) {
                let ended = self.routers[from].report_ended(self.now);
                self.deliver(from, &ended, &[]);
            }
        }
    }
}

/// Runs fleets with several seeds. All culprits must be held in time, and nearly no sound requests.
fn replay(settings: Settings) {
    for seed in 1..=settings.seed_count {
        let outcome = Fleet::new(settings, seed).run();
        let (refused, hit) = (outcome.refused_count, outcome.hit_count);
        println!(
            "seed {seed}: {refused} refused of {hit} hit of {} sound; {:?}",
            outcome.sound_count, outcome.culprits
        );
        for (key, culprit) in &outcome.culprits {
            assert!(culprit.late_sends <= MAX_LATE_SENDS, "seed {seed}: {key}: {culprit:?}");
            assert!(culprit.held_count > 0, "seed {seed}: {key}: {culprit:?}");
        }
        let refused_part = f64::from(refused) / f64::from(outcome.sound_count);
        assert!(refused_part <= MAX_REFUSED_PART, "seed {seed}: {refused} of {hit} refused");
    }
}

const ENGINES: Settings = Settings {
    router_count: 8,
    target_count: 6,
    running_count: 64,
    culprit_count: 2,
    sums_steps: 4,
    lost_part: 0.1,
    seed_count: 4,
};

const PLAIN: Settings = Settings { target_count: 8, running_count: 6, ..ENGINES };

/// Sends a request that ends its targets at once, from some callers at the same time, as often as
/// one router may. Returns the number of sends later than [`STABLE_WINDOW`] after the third crash.
fn late_sends(interval: Duration, duration: Duration, callers: usize, max_attempts: usize) -> u32 {
    let (mut quarantine, begun_at) = (Quarantine::default(), Instant::now());
    let (mut target, mut late_count) = (0, 0);
    let (mut arrives_at, mut third_at) = (begun_at, None);
    while arrives_at < begun_at + duration {
        let mut now = arrives_at;
        let mut tried = Vec::new();
        for _ in 0..callers {
            if !quarantine.is_request_quarantined(CULPRIT, now) {
                quarantine.record_request_sent(CULPRIT, now);
                tried.push(Vec::new());
            }
        }
        while !tried.is_empty() {
            if third_at.is_some_and(|at| now > at + STABLE_WINDOW) {
                late_count += tried.len() as u32;
            }
            now += Duration::from_millis(5);
            for tried in &mut tried {
                quarantine.record_ended(target, CULPRIT, now);
                tried.push(target);
                target += 1;
                if target == 3 {
                    third_at = Some(now);
                }
            }
            tried.retain(|tried| {
                tried.len() < max_attempts && quarantine.may_retry_request(CULPRIT, tried, now)
            });
        }
        arrives_at += interval;
    }
    late_count
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    three_crashes_quarantine_a_request: {
        let (quarantine, now) = crashes(&[&[CULPRIT], &[CULPRIT]]);
        assert!(!quarantine.is_request_quarantined(CULPRIT, now));
        assert!(quarantine.may_retry_request(CULPRIT, &[], now));
        let (quarantine, now) = crashes(&[&[CULPRIT], &[CULPRIT], &[CULPRIT]]);
        assert!(quarantine.is_request_quarantined(CULPRIT, now));
        assert!(!quarantine.may_retry_request(CULPRIT, &[], now));
        assert!(!quarantine.is_request_quarantined(INNOCENT, now));
        assert!(!quarantine.is_request_quarantined(CULPRIT, now + quarantine::EVIDENCE_TTL));
    },
    targets_that_end_together_are_one_crash_of_a_request: {
        let (mut quarantine, now) = (Quarantine::default(), Instant::now());
        for target in 0..15 {
            quarantine.record_ended(target, CULPRIT, now + Duration::from_millis(target));
        }
        assert!(!quarantine.is_request_quarantined(CULPRIT, now + GAP));
    },
    a_request_that_was_beside_others_at_each_crash_is_not_held: {
        // It was at two crashes of one culprit and one of another.
        let (first, second) = (CULPRIT, CULPRIT + 1);
        let (quarantine, now) = crashes(&[
            &[first, INNOCENT], &[first, INNOCENT], &[first],
            &[second, INNOCENT], &[second], &[second],
        ]);
        assert!(quarantine.is_request_quarantined(first, now));
        assert!(quarantine.is_request_quarantined(second, now));
        assert!(!quarantine.is_request_quarantined(INNOCENT, now));
    },
    an_answer_tells_two_suspects_of_all_crashes_apart: {
        let both = [CULPRIT, INNOCENT];
        let (mut quarantine, now) = crashes(&[&both, &both, &both]);
        assert!(!quarantine.is_request_quarantined(INNOCENT, now));
        assert!(!quarantine.may_retry_request(CULPRIT, &[], now));
        quarantine.record_request_answer(INNOCENT, now);
        assert!(quarantine.is_request_quarantined(CULPRIT, now));
        assert!(quarantine.may_retry_request(INNOCENT, &[], now));
        // Without an answer, the next crash decides.
        let (quarantine, now) = crashes(&[&both, &both, &both, &both]);
        assert!(quarantine.is_request_quarantined(CULPRIT, now));
    },
    an_answer_of_parts_clears_no_request: {
        let (mut quarantine, now) = crashes(&[&[CULPRIT], &[CULPRIT], &[CULPRIT]]);
        quarantine.record_answer(&[CULPRIT], now);
        quarantine.apply_report(Vec::new(), &[CULPRIT], now);
        assert!(quarantine.is_request_quarantined(CULPRIT, now));
    },
    the_key_of_a_request_depends_on_team_method_path_and_body_only: {
        let key = quarantine::request_key(TEAM, "POST", "/a?b", b"c");
        assert_eq!(key, quarantine::request_key(TEAM, "POST", "/a?b", b"c"));
        for (team, method, path, body) in [
            (TEAM + 1, "POST", "/a?b", "c"),
            (TEAM, "PUT", "/a?b", "c"),
            (TEAM, "POST", "/a?", "bc"),
            (TEAM, "POST", "/a?bc", ""),
            (TEAM, "POST/", "a?b", "c"),
        ] {
            assert_ne!(key, quarantine::request_key(team, method, path, body.as_bytes()));
        }
    },
    evidence_against_requests_is_bounded: {
        let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
        for target in 0..2_000 {
            now += Duration::from_millis(1);
            for request in 0..4 {
                quarantine.record_ended(target, 10_000 * (request + 1) + target, now);
            }
        }
        assert!(quarantine.ended_count() <= quarantine::MAX_ENDED);
        assert!(quarantine.take_unreported_ended().len() <= quarantine::MAX_ENDED);
        let lines = quarantine.report_ended(now);
        assert!(lines.len() <= quarantine::MAX_REPORTED_ENDED);
        let is_short = |line: &quarantine::EndedTarget| {
            line.requests.len() <= quarantine::MAX_REPORTED_RUNNING
        };
        assert!(lines.iter().all(is_short));
    },
    a_request_with_several_crashes_outlasts_a_flood_of_others: {
        let (mut quarantine, mut now) = crashes(&[&[CULPRIT], &[CULPRIT], &[CULPRIT]]);
        for target in 0..2_000 {
            now += Duration::from_millis(60);
            quarantine.record_ended(100 + target, INNOCENT + target, now);
        }
        // Its first hold has ended meanwhile; it gets one trial.
        assert!(quarantine.is_trial_due(CULPRIT, now));
        quarantine.record_request_sent(CULPRIT, now);
        assert!(quarantine.is_request_quarantined(CULPRIT, now));
        assert!(!quarantine.may_retry_request(CULPRIT, &[], now));
    },
    an_answer_at_one_router_clears_the_request_at_all: {
        let (mut crashed, now) = crashes(&[&[CULPRIT], &[CULPRIT], &[CULPRIT]]);
        let mut answering = Quarantine::default();
        tell(&mut crashed, &mut answering, now);
        assert!(answering.is_request_quarantined(CULPRIT, now));
        answering.record_request_answer(CULPRIT, now);
        tell(&mut answering, &mut crashed, now);
        assert!(!crashed.is_request_quarantined(CULPRIT, now));
        // Evidence from before the answer doesn't come back, and its teller hears of the answer.
        let (mut late, _) = crashes(&[&[CULPRIT]]);
        answering.apply_ended(late.report_ended(now), &[], now);
        assert_eq!(answering.ended_count(), 0);
        assert_eq!(answering.take_cleared_requests(), [CULPRIT]);
    },
    a_restarted_router_learns_of_twenty_requests_from_ten_reports: {
        let (mut old, mut now) = (Quarantine::default(), Instant::now());
        for target in 0..60 {
            now += GAP;
            old.record_ended(target, CULPRIT + target % 20, now);
            (0..32).for_each(|i| {
                old.record_ended(target, INNOCENT + 32 * target + i, now);
            });
        }
        let mut restarted = Quarantine::default();
        for _ in 0..10 {
            restarted.apply_ended(old.report_ended(now), &[], now);
        }
        for request in CULPRIT..CULPRIT + 20 {
            assert!(restarted.is_request_quarantined(request, now), "{request}");
        }
    },
    a_request_that_ends_targets_at_once_is_held_with_two_attempts: {
        let late = late_sends(Duration::from_secs(5), Duration::from_secs(60), 1, 2);
        assert!(late <= MAX_LATE_SENDS, "{late}");
    },
    a_request_that_ends_targets_at_once_is_held_with_three_attempts: {
        let late = late_sends(Duration::from_secs(5), Duration::from_secs(60), 1, 3);
        assert!(late <= MAX_LATE_SENDS, "{late}");
    },
    a_request_that_ends_targets_at_once_is_held_if_two_callers_send_it: {
        let late = late_sends(Duration::from_secs(5), Duration::from_secs(60), 2, 2);
        assert!(late <= MAX_LATE_SENDS, "{late}");
    },
    a_request_that_comes_all_day_is_held_all_day: {
        let day = 4 * quarantine::EVIDENCE_TTL;
        let late = late_sends(Duration::from_secs(5), day, 1, 2);
        assert!(late <= MAX_LATE_SENDS, "{late}");
    },
    a_repeated_read_that_others_answer_is_not_held: {
        // Targets end while they run the same read; others answer it in between.
        let (mut beside, mut answering) = (Quarantine::default(), Quarantine::default());
        let mut now = Instant::now();
        for target in 0..6 {
            now += GAP;
            beside.record_ended(target, INNOCENT, now);
            tell(&mut beside, &mut answering, now);
            now += Duration::from_millis(20);
            answering.record_request_answer(INNOCENT, now);
            tell(&mut answering, &mut beside, now);
        }
        assert!(!beside.is_request_quarantined(INNOCENT, now));
        assert!(!answering.is_request_quarantined(INNOCENT, now));
    },
    a_repeated_read_is_sent_again_once_its_service_is_back: {
        // All targets of a service end one after the other, before any answers the read.
        let (quarantine, now) = crashes(&[&[INNOCENT], &[INNOCENT], &[INNOCENT]]);
        assert!(!quarantine.is_request_quarantined(INNOCENT, now + RECOVERY_TIME));
    },
    a_repeated_read_beside_a_culprit_is_sent_again_once_its_service_is_back: {
        let both = [CULPRIT, INNOCENT];
        let (quarantine, now) = crashes(&[&both, &both, &both, &both]);
        let now = now + RECOVERY_TIME;
        assert!(quarantine.is_request_quarantined(CULPRIT, now));
        assert!(!quarantine.is_request_quarantined(INNOCENT, now));
    },
    a_trial_is_made_once_and_its_answer_clears_the_request: {
        let (mut quarantine, now) = crashes(&[&[INNOCENT], &[INNOCENT], &[INNOCENT]]);
        let due_at = now + quarantine::FIRST_HOLD;
        assert!(!quarantine.is_trial_due(INNOCENT, due_at - STEP));
        assert!(quarantine.is_trial_due(INNOCENT, due_at));
        quarantine.record_request_sent(INNOCENT, due_at);
        assert!(quarantine.is_request_quarantined(INNOCENT, due_at + STEP));
        // A send that reached no target was none.
        quarantine.record_request_not_run(INNOCENT, due_at + STEP);
        assert!(quarantine.is_trial_due(INNOCENT, due_at + STEP));
        quarantine.record_request_sent(INNOCENT, due_at + STEP);
        quarantine.record_request_answer(INNOCENT, due_at + STEP);
        assert!(!quarantine.is_request_quarantined(INNOCENT, due_at + STEP));
        assert_eq!(quarantine.take_cleared_requests(), [INNOCENT]);
    },
    a_trial_of_another_router_that_ends_its_target_is_none_of_this_one: {
        let (mut trying, now) = crashes(&[&[CULPRIT], &[CULPRIT], &[CULPRIT]]);
        let mut hearing = Quarantine::default();
        tell(&mut trying, &mut hearing, now);
        let due_at = now + quarantine::FIRST_HOLD;
        assert!(hearing.is_trial_due(CULPRIT, due_at));
        trying.record_request_sent(CULPRIT, due_at);
        trying.record_ended(100, CULPRIT, due_at + STEP);
        tell(&mut trying, &mut hearing, due_at + STEP);
        for router in [&trying, &hearing] {
            assert!(router.is_request_quarantined(CULPRIT, due_at + quarantine::FIRST_HOLD * 2));
            // Also when the evidence has lapsed.
            assert!(router.is_request_quarantined(CULPRIT, due_at + quarantine::EVIDENCE_TTL - STEP));
        }
    },
    a_request_is_evidence_also_at_a_target_with_a_full_queue: {
        // An engine of 128 slots with as many requests in its queue; the cause is told last.
        let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
        for target in 0..3 {
            now += GAP;
            for i in 0..256 {
                quarantine.record_ended(target, INNOCENT + 1_000 * target + i, now);
            }
            quarantine.record_ended(target, CULPRIT, now);
            let told = quarantine.take_unreported_ended();
            assert!(told.iter().any(|line| line.requests.contains(&CULPRIT)), "{target}");
        }
        assert!(quarantine.is_request_quarantined(CULPRIT, now));
    },
    eight_routers_hold_what_ends_engines: replay(ENGINES),
    eight_routers_hold_what_ends_plain_targets: replay(PLAIN),
    seventy_routers_hold_what_ends_engines: replay(
        Settings { router_count: 70, target_count: 30, culprit_count: 6, sums_steps: 24, ..ENGINES },
    ),
    hundreds_of_routers_hold_what_ends_engines: replay(
        Settings { router_count: 295, target_count: 60, culprit_count: 8, sums_steps: 100, seed_count: 2, ..ENGINES },
    ),
}
