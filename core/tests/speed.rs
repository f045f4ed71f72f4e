//! Learned speeds of targets: predictions fit each target, follow changes and survive lost reports.

use std::time::Duration;

use gentianhinge_core::report::{FirstEvents, Hash};
use gentianhinge_core::speed::{self, Observation, Speeds};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

const NOMINAL_TOKENS_PER_MS: f64 = 40.0;
const SERVICE: Hash = 1_000;
const ROUTERS: usize = 62;
const ANSWERS_PER_S: f64 = 9.0;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Hosts on which requests take this many times as long, and the part of requests that meet it.
const BURST_SCALE: f64 = 2.5;
const BURST_PART: f64 = 0.15;

/// Targets, the routers in front of them, and the current speeds as multiples of the nominal one.
struct Fleet {
    routers: Vec<Speeds>,
    speeds: Vec<f64>,
    /// Whether targets state that their hosts are slow.
    are_bursts_stated: bool,
    lost_part: f64,
    random: SmallRng,
    now: Instant,
}

impl Fleet {
    fn new(speeds: &[f64]) -> Fleet {
        Fleet {
            routers: (0..ROUTERS).map(|_| Speeds::new(NOMINAL_TOKENS_PER_MS)).collect(),
            speeds: speeds.to_vec(),
            are_bursts_stated: false,
            lost_part: 0.0,
            random: SmallRng::seed_from_u64(5),
            now: Instant::now(),
        }
    }

    fn targets(&self) -> std::ops::Range<Hash> {
        0..self.speeds.len() as Hash
    }

    fn prediction(&mut self, router: usize, target: Hash) -> f64 {
        let (targets, now) = (self.targets(), self.now);
        let router = &mut self.routers[router];
        let service_factor = router.service_factor(SERVICE, targets, now);
        router.tokens_per_ms(target, service_factor, now)
    }

    /// Runs answers and reports; returns actual to predicted times by target.
    fn run(&mut self, time: Duration) -> Vec<Vec<f64>> {
        let ends_at = self.now + time;
        let mut reports_at = self.now + REPORT_INTERVAL;
        let mut ratios = vec![Vec::new(); self.speeds.len()];
        let rate = ANSWERS_PER_S * self.speeds.len() as f64;
        while self.now < ends_at {
            self.now += Duration::from_secs_f64(-self.random.random::<f64>().ln() / rate);
            if self.now >= reports_at {
                reports_at = self.now + REPORT_INTERVAL;
                self.exchange();
            }
            let target = self.random.random_range(self.targets());
            let router = self.random.random_range(0..ROUTERS);
            let ratio = self.answer(router, target);
            ratios[target as usize].push(ratio);
        }
        ratios
    }

    fn answer(&mut self, router: usize, target: Hash) -> f64 {
        let tokens = self.random.random_range(1_500.0..17_000.0);
        let is_slow = self.random.random_bool(BURST_PART);
        if self.are_bursts_stated {
            let percent = if is_slow { (BURST_SCALE * 100.0) as u32 } else { 100 };
            self.routers[router].record_host_percent(target, percent, self.now);
        }
        let usual_ms = tokens / NOMINAL_TOKENS_PER_MS / self.speeds[target as usize];
        let scale = if is_slow { BURST_SCALE } else { self.random.random_range(0.8..1.2) };
        let time_ms = usual_ms * scale;
        let predicted_ms = tokens / self.prediction(router, target);
        let (targets, now) = (self.targets(), self.now);
        let router = &mut self.routers[router];
        let host_scale_at_send = router.host_scale(target, now);
        let observation = Observation { unread_tokens: tokens, time_ms, host_scale_at_send };
        let service_factor = router.service_factor(SERVICE, targets, now);
        router.record(target, &observation, service_factor, now);
        time_ms / predicted_ms
    }

    fn exchange(&mut self) {
        for from in 0..ROUTERS {
            let lines = self.routers[from].take_report(self.now);
            for to in (0..ROUTERS).filter(|to| *to != from) {
                if !self.random.random_bool(self.lost_part) {
                    self.routers[to].apply_report(&lines, self.now);
                }
            }
        }
    }

    /// Asserts that the median of actual to predicted is within 0.8 to 1.3 at each target with 20
    /// answers.
    fn assert_fits(&mut self) {
        for (target, mut ratios) in self.run(Duration::from_secs(4)).into_iter().enumerate() {
            assert!(ratios.len() >= 20, "{} answers", ratios.len());
            ratios.sort_by(f64::total_cmp);
            let median = ratios[ratios.len() / 2];
            assert!((0.8..=1.3).contains(&median), "target {target}: {median}");
        }
    }
}

/// Speeds of the wallet deployment: 61.4 tokens per ms is 1.535 times the nominal speed.
const WALLET: [f64; 3] = [0.7 * 1.535, 0.7 * 1.535, 1.7 * 1.535];

/// Defines tests: predictions fit 5 s after the start, and 10 s after the speeds change.
macro_rules! fits {
    ($($name:ident: $speeds:expr, then $then:expr, stated $stated:literal, lost $lost:literal;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut fleet = Fleet::new(&$speeds);
            (fleet.are_bursts_stated, fleet.lost_part) = ($stated, $lost);
            fleet.run(Duration::from_secs(5));
            fleet.assert_fits();
            fleet.speeds = $then.to_vec();
            fleet.run(Duration::from_secs(10));
            fleet.assert_fits();
        }
    )*};
}

fits! {
    speeds_around_the_nominal_one: [0.7, 0.7, 1.7], then [0.7, 1.68, 1.7], stated false, lost 0.0;
    a_fast_target_gets_slow: [0.7, 0.7, 1.7], then [0.7, 0.7, 0.71], stated false, lost 0.0;
    speeds_far_from_the_nominal_one: WALLET, then [WALLET[0], WALLET[2], WALLET[0]], stated false, lost 0.0;
    slow_hosts_are_stated: [0.7, 0.7, 1.7], then [1.68, 0.7, 0.71], stated true, lost 0.0;
    a_tenth_of_the_reports_is_lost: [0.7, 0.7, 1.7], then [1.68, 0.7, 0.71], stated false, lost 0.1;
}

#[tokio::test(start_paused = true)]
async fn a_new_incarnation_starts_from_the_mean() {
    let mut fleet = Fleet::new(&[0.7, 0.7, 0.7, 0.7]);
    fleet.run(Duration::from_secs(10));
    let known = fleet.prediction(0, 1);
    for router in &mut fleet.routers {
        router.forget(1);
    }
    let new = fleet.prediction(0, 1);
    assert!((new / known - 1.0).abs() < 0.15, "{new} after {known}");
    assert!(new < 0.9 * NOMINAL_TOKENS_PER_MS, "{new}: nominal instead of the mean");
}

/// A request of 17,000 tokens with a first event after 10 s, at a target with answers or without.
macro_rules! outliers {
    ($($name:ident: after $s:literal s;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut fleet = Fleet::new(&[1.0, 1.0, 1.0]);
            fleet.run(Duration::from_secs($s));
            let before = fleet.prediction(0, 2);
            let now = fleet.now;
            let router = &mut fleet.routers[0];
            let observation =
                Observation { unread_tokens: 17_000.0, time_ms: 10_000.0, host_scale_at_send: 1.0 };
            router.record(2, &observation, 1.0, now);
            let after = fleet.prediction(0, 2);
            assert!(before / after < 1.3, "{before} to {after} tokens per ms");
        }
    )*};
}

outliers! {
    an_outlier_does_not_decide: after 5 s;
    a_first_answer_that_is_an_outlier_does_not_decide: after 0 s;
}

#[tokio::test(start_paused = true)]
async fn nothing_known_is_exactly_the_nominal_speed() {
    let (now, mut speeds) = (Instant::now(), Speeds::new(NOMINAL_TOKENS_PER_MS));
    let service_factor = speeds.service_factor(SERVICE, 0..3, now);
    assert_eq!(speeds.tokens_per_ms(0, service_factor, now), NOMINAL_TOKENS_PER_MS);
    assert!(speeds.take_report(now).is_empty());
}

/// A statement scales the speed at once and fades out; the observation made under it isn't slow.
#[tokio::test(start_paused = true)]
async fn a_statement_about_the_host_fades_and_is_not_learned() {
    let (start, mut speeds) = (Instant::now(), Speeds::new(NOMINAL_TOKENS_PER_MS));
    speeds.record_host_percent(1, 100, start);
    speeds.record_host_percent(1, 250, start);
    let at = |speeds: &Speeds, ms| {
        speeds.tokens_per_ms(1, 1.0, start + Duration::from_millis(ms)) / NOMINAL_TOKENS_PER_MS
    };
    assert!((at(&speeds, 0) - 0.4).abs() < 1e-9);
    assert!((0.4..1.0).contains(&at(&speeds, 300)));
    let faded = at(&speeds, 600);
    assert!((0.9..=1.0).contains(&faded), "{faded}");
    let observation =
        Observation { unread_tokens: 4_000.0, time_ms: 250.0, host_scale_at_send: 2.5 };
    for _ in 0..20 {
        speeds.record(1, &observation, 1.0, start);
    }
    assert!((at(&speeds, 600) - faded).abs() < 1e-9, "{}", at(&speeds, 600));
}

/// A host that is usually slower than the others stays so in predictions between two answers.
#[tokio::test(start_paused = true)]
async fn a_statement_fades_to_what_the_host_states_usually() {
    let (start, mut speeds) = (Instant::now(), Speeds::new(NOMINAL_TOKENS_PER_MS));
    for i in 0..40_u32 {
        let percent = if i % 7 == 0 { 425 } else { 170 };
        speeds.record_host_percent(1, percent, start + Duration::from_millis(100) * i);
    }
    let later = start + Duration::from_secs(6);
    let slowness = NOMINAL_TOKENS_PER_MS / speeds.tokens_per_ms(1, 1.0, later);
    assert!((1.6..2.0).contains(&slowness), "{slowness}");
}

/// What another router told isn't told again, or one answer would count many times.
#[tokio::test(start_paused = true)]
async fn received_observations_are_not_sent_again() {
    let (now, mut speeds) = (Instant::now(), Speeds::new(NOMINAL_TOKENS_PER_MS));
    let line = FirstEvents { target: 1, expected_ms: 900, actual_ms: 1_800, host_percent: 130 };
    speeds.apply_report(&[line], now);
    assert!(speeds.tokens_per_ms(1, 1.0, now) < NOMINAL_TOKENS_PER_MS);
    assert!(speeds.take_report(now).is_empty());
}

/// With all answers alike, fixed time and speed can't be told apart; with short and long ones, they
/// must settle whatever the start, as a drift would show in the predictions of either.
#[tokio::test(start_paused = true)]
async fn fixed_time_and_speed_are_told_apart() {
    let mut random = SmallRng::seed_from_u64(3);
    for start_ms in [0.0, 150.0] {
        let (mut now, mut speeds) = (Instant::now(), Speeds::new(NOMINAL_TOKENS_PER_MS));
        let mut fixed_ms: f64 = start_ms;
        for _ in 0..2_000 {
            now += Duration::from_millis(110);
            let tokens = random.random_range(500.0..17_000.0);
            let factor = NOMINAL_TOKENS_PER_MS / speeds.tokens_per_ms(1, 1.0, now);
            let expected_ms = tokens / NOMINAL_TOKENS_PER_MS;
            let time_ms = 40.0 + 1.4 * expected_ms * random.random_range(0.9..1.1);
            let weight = 0.05 * speed::fixed_time_weight(expected_ms);
            fixed_ms = (fixed_ms + (time_ms - factor * expected_ms - fixed_ms) * weight).max(0.0);
            let observation = Observation {
                unread_tokens: tokens,
                time_ms: time_ms - fixed_ms,
                host_scale_at_send: 1.0,
            };
            speeds.record(1, &observation, factor, now);
        }
        let factor = NOMINAL_TOKENS_PER_MS / speeds.tokens_per_ms(1, 1.4, now);
        assert!((15.0..70.0).contains(&fixed_ms), "{fixed_ms} ms");
        assert!((1.25..1.55).contains(&factor), "factor {factor}");
    }
}
