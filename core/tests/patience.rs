//! Recognizing requests that come back.

use std::time::Duration;

use gentianhinge_core::admission::{Policy, WaitingRequest};
use gentianhinge_core::patience::Patience;
use gentianhinge_core::share::TeamShare;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::time::Instant;

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// Limits of first tries between 10.2 and 12 s.
fn learned(count: usize) -> Patience {
    let mut random = SmallRng::seed_from_u64(3);
    let mut patience = Patience::default();
    for _ in 0..count {
        patience.sample(seconds(random.random_range(10.2..12.0)));
    }
    patience
}

/// Defines tests: a time limit after some samples, and the time that its caller has waited, between
/// two bounds in seconds.
macro_rules! waited {
    ($($name:ident: $limit:literal s after $count:literal samples => $from:literal to $to:literal;)*) => {$(
        #[test]
        fn $name() {
            let waited = learned($count).waited(seconds($limit)).as_secs_f64();
            assert!(($from..=$to).contains(&waited), "{waited}");
        }
    )*};
}

waited! {
    a_first_try: 10.9 s after 40 samples => 0.0 to 0.0;
    an_impatient_first_try: 10.3 s after 40 samples => 0.0 to 0.3;
    a_second_try: 8.0 s after 40 samples => 2.2 to 2.7;
    a_second_try_before_anything_is_known: 8.0 s after 5 samples => 0.0 to 0.0;
}

#[test]
fn a_few_second_tries_among_the_samples_do_no_harm() {
    let mut patience = learned(40);
    for _ in 0..2 {
        patience.sample(seconds(3.0));
    }
    assert!(patience.waited(seconds(8.0)) > seconds(2.0));
    assert_eq!(patience.waited(seconds(10.9)), Duration::ZERO);
}

#[test]
fn limits_that_change_are_learned_anew() {
    let mut patience = learned(40);
    for _ in 0..40 {
        patience.sample(seconds(5.0));
    }
    assert_eq!(patience.waited(seconds(5.0)), Duration::ZERO);
}

/// A request in the replay: when it arrived, the limit of its first try, and whether it came back.
struct Arrival {
    waiting: WaitingRequest,
    limit: Duration,
    has_returned: bool,
}

/// Replays 20 s in which targets can serve 6 of 10 callers: a
/// refused request comes back once, 1.5 s later. Returns the part of all callers served on time.
fn play_overload(recognizes: bool) -> f64 {
    const STEPS: u64 = 200;
    const ARRIVALS: usize = 10;
    const SERVED: usize = 6;
    let step = Duration::from_millis(100);
    let latency_target = Duration::from_millis(800);
    let (policy, start) = (Policy::default(), Instant::now());
    let mut random = SmallRng::seed_from_u64(5);
    let mut random_offset = SmallRng::seed_from_u64(6);
    let patience = learned(40);
    let mut queue = Vec::<Arrival>::new();
    let mut returning = Vec::<(Instant, Duration)>::new();
    let (mut on_time, mut asked) = (0, 0);
    for i in 0..STEPS {
        let now = start + step * i as u32;
        let mut arrive = |limit: Duration, has_returned: bool| {
            let waited = if recognizes { patience.waited(limit) } else { Duration::ZERO };
            let arrived_at = now - step.mul_f64(random_offset.random());
            let waiting = WaitingRequest {
                arrived_at,
                due_at: arrived_at + latency_target.saturating_sub(waited),
                deadline: arrived_at + limit,
                urgency_step: 0,
                team_share: TeamShare::default(),
            };
            queue.push(Arrival { waiting, limit, has_returned });
        };
        for _ in 0..ARRIVALS {
            asked += 1;
            arrive(seconds(random.random_range(10.2..12.0)), false);
        }
        let (due, later) = returning.into_iter().partition::<Vec<_>, _>(|(at, _)| *at <= now);
        returning = later;
        due.into_iter().for_each(|(_, limit)| arrive(limit, true));
        queue.sort_by_key(|arrival| arrival.waiting.rank(&policy, now));
        let served = queue.drain(..SERVED.min(queue.len())).collect::<Vec<_>>();
        on_time += served.iter().filter(|arrival| !arrival.has_returned).count();
        let is_refused = |arrival: &Arrival| now >= arrival.waiting.arrived_at + policy.max_wait;
        let (refused, left) = queue.into_iter().partition::<Vec<_>, _>(is_refused);
        queue = left;
        for arrival in refused.into_iter().filter(|arrival| !arrival.has_returned) {
            let away = policy.max_wait + Duration::from_millis(1500);
            returning.push((now + away, arrival.limit - away));
        }
    }
    f64::from(u32::try_from(on_time).unwrap()) / f64::from(asked)
}

#[tokio::test(start_paused = true)]
async fn in_overload_new_requests_go_before_those_that_come_back() {
    let (with, without) = (play_overload(true), play_overload(false));
    assert!(with > 0.55, "{with} of at most 0.6, {without} as equals");
    assert!(with > without + 0.1, "{with}, {without} as equals");
}
