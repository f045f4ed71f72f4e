//! Ejection of failing targets.

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
    an_unreachable_target_is_ejected_at_once: {
        let (now, mut health) = (Instant::now(), Health::default());
        assert_eq!(health.record_failure(TARGET, Failure::Unreachable, now), Change::Ejected);
        assert!(health.is_ejected(TARGET, now) && health.is_unreachable(TARGET, now));
    },
    a_single_invalid_answer_does_not_eject: {
        let (now, mut health) = (Instant::now(), Health::default());
        assert_eq!(health.record_failure(TARGET, Failure::NoValidAnswer, now), Change::None);
        assert!(!health.is_ejected(TARGET, now));
    },
    consecutive_invalid_answers_eject: {
        let (now, mut health) = (Instant::now(), Health::default());
        health.record_failure(TARGET, Failure::NoValidAnswer, now);
        health.record_failure(TARGET, Failure::NoValidAnswer, now);
        assert_eq!(health.record_failure(TARGET, Failure::NoValidAnswer, now), Change::Ejected);
        assert!(!health.is_unreachable(TARGET, now));
    },
    a_target_that_fails_every_other_request_is_ejected: {
        let (now, mut health) = (Instant::now(), Health::default());
        let changes = (0..20).map(|_| {
            health.record_success(TARGET);
            health.record_failure(TARGET, Failure::NoValidAnswer, now)
        });
        assert!(changes.collect::<Vec<_>>().contains(&Change::Ejected));
    },
    after_the_ejection_time_one_trial_is_allowed: {
        let (now, mut health) = (Instant::now(), Health::default());
        health.record_failure(TARGET, Failure::Unreachable, now);
        let later = now + Duration::from_secs(2);
        assert!(!health.is_ejected(TARGET, later));
        health.record_sent(TARGET, later);
        assert!(health.is_ejected(TARGET, later));
        assert_eq!(health.record_success(TARGET), Change::Restored);
        assert!(!health.is_ejected(TARGET, later));
    },
    a_failed_trial_lengthens_the_ejection: {
        let (now, mut health) = (Instant::now(), Health::default());
        health.record_failure(TARGET, Failure::Unreachable, now);
        let later = now + Duration::from_secs(2);
        health.record_sent(TARGET, later);
        health.record_failure(TARGET, Failure::NoValidAnswer, later);
        assert!(health.is_ejected(TARGET, later + Duration::from_secs(2)));
    },
}
