//! Targets that fail are left out for a while.

use std::time::Duration;

use gentianhinge_core::health::{Change, Failure, Health};
use tokio::time::Instant;

const TARGET: u64 = 7;

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    a_target_that_is_away_is_left_out_at_once: {
        let (now, mut health) = (Instant::now(), Health::default());
        assert_eq!(health.record_failure(TARGET, Failure::Unreachable, now), Change::Ejected);
        assert!(health.is_ejected(TARGET, now) && health.is_unreachable(TARGET, now));
    },
    one_bad_answer_is_no_reason: {
        let (now, mut health) = (Instant::now(), Health::default());
        assert_eq!(health.record_failure(TARGET, Failure::NoValidAnswer, now), Change::None);
        assert!(!health.is_ejected(TARGET, now));
    },
    bad_answers_in_a_row_are_a_reason: {
        let (now, mut health) = (Instant::now(), Health::default());
        health.record_failure(TARGET, Failure::NoValidAnswer, now);
        health.record_failure(TARGET, Failure::NoValidAnswer, now);
        assert_eq!(health.record_failure(TARGET, Failure::NoValidAnswer, now), Change::Ejected);
        assert!(!health.is_unreachable(TARGET, now));
    },
    a_target_that_fails_every_other_request_is_left_out: {
        let (now, mut health) = (Instant::now(), Health::default());
        let changes = (0..20).map(|_| {
            health.record_success(TARGET);
            health.record_failure(TARGET, Failure::NoValidAnswer, now)
        });
        assert!(changes.collect::<Vec<_>>().contains(&Change::Ejected));
    },
    after_its_time_one_trial_goes_through: {
        let (now, mut health) = (Instant::now(), Health::default());
        health.record_failure(TARGET, Failure::Unreachable, now);
        let later = now + Duration::from_secs(2);
        assert!(!health.is_ejected(TARGET, later));
        health.record_sent(TARGET, later);
        assert!(health.is_ejected(TARGET, later));
        assert_eq!(health.record_success(TARGET), Change::Restored);
        assert!(!health.is_ejected(TARGET, later));
    },
    a_trial_that_fails_lengthens_the_time: {
        let (now, mut health) = (Instant::now(), Health::default());
        health.record_failure(TARGET, Failure::Unreachable, now);
        let later = now + Duration::from_secs(2);
        health.record_sent(TARGET, later);
        health.record_failure(TARGET, Failure::NoValidAnswer, later);
        assert!(health.is_ejected(TARGET, later + Duration::from_secs(2)));
    },
}
