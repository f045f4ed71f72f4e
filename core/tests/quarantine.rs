//! Quarantine of prompt parts under which targets crash.

use std::time::Duration;

use gentianhinge_core::quarantine::{self, Crash, Quarantine};
use tokio::time::Instant;

const TEAM: u64 = 7;
const SHARED: u64 = 100;
const DEADLY: u64 = 101;

/// Time between two crashes in these tests.
const GAP: Duration = Duration::from_millis(300);

fn crash(target: u64, parts: &[u64], at: Instant) -> Crash {
    Crash { target, team: TEAM, at, parts: parts.iter().copied().collect() }
}

/// Evidence of `count` crashes under the same parts, at different targets and times; also returns the
/// time after the last one.
fn crashes_under(parts: &[u64], count: u64) -> (Quarantine, Instant) {
    let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
    for target in 0..count {
        now += GAP;
        quarantine.record_crash(crash(target, parts, now), now);
    }
    (quarantine, now)
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    a_part_under_which_targets_keep_crashing_is_quarantined: {
        let (quarantine, now) = crashes_under(&[DEADLY], 2);
        assert!(!quarantine.is_quarantined(TEAM, &[DEADLY], now));
        let (quarantine, now) = crashes_under(&[DEADLY], 3);
        assert!(quarantine.is_quarantined(TEAM, &[DEADLY], now));
        assert!(quarantine.is_quarantined(TEAM, &[55, DEADLY], now));
    },
    sound_requests_with_the_same_first_part_are_still_sent: {
        let (mut quarantine, now) = crashes_under(&[SHARED, DEADLY], 5);
        assert!(quarantine.is_quarantined(TEAM, &[SHARED, DEADLY], now));
        assert!(!quarantine.is_quarantined(TEAM, &[SHARED], now));
        assert!(!quarantine.is_quarantined(TEAM, &[SHARED, 55], now));
        // One of them clears the shared part. What remains is deadly beside any other part.
        quarantine.record_answer(&[SHARED], now);
        assert!(quarantine.is_quarantined(TEAM, &[SHARED, DEADLY], now));
        assert!(quarantine.is_quarantined(TEAM, &[55, DEADLY], now));
    },
    a_deadly_part_is_found_beside_different_others: {
        let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
        for other in 0..3 {
            now += GAP;
            quarantine.record_crash(crash(other, &[other, DEADLY], now), now);
        }
        assert!(quarantine.is_quarantined(TEAM, &[9, DEADLY], now));
        (0..3).for_each(|other| assert!(!quarantine.is_quarantined(TEAM, &[other], now)));
    },
    an_answered_part_is_not_quarantined: {
        let (mut quarantine, now) = crashes_under(&[SHARED], 6);
        quarantine.record_answer(&[SHARED], now);
        assert!(!quarantine.is_quarantined(TEAM, &[SHARED], now));
    },
    targets_that_end_together_are_no_evidence: {
        let (mut quarantine, now) = (Quarantine::default(), Instant::now());
        for target in 0..15 {
            let at = now + Duration::from_millis(target);
            quarantine.record_crash(crash(target, &[SHARED], at), at);
        }
        assert!(!quarantine.is_quarantined(TEAM, &[SHARED], now + GAP));
    },
    one_target_that_crashes_once_is_one_crash_for_all_its_requests: {
        let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
        for team in 0..3 {
            now += GAP;
            quarantine.record_crash(Crash { team, ..crash(1, &[SHARED], now) }, now);
        }
        assert!(!quarantine.is_quarantined(TEAM, &[SHARED], now));
    },
    a_target_with_many_requests_says_nothing_about_each: {
        let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
        for target in 0..3 {
            now += GAP;
            for other in 0..quarantine::MAX_SUSPECTS as u64 {
                quarantine.record_crash(crash(target, &[SHARED, 1_000 + other], now), now);
            }
            quarantine.record_crash(crash(target, &[SHARED], now), now);
        }
        assert!(!quarantine.is_quarantined(TEAM, &[SHARED], now));
    },
    a_team_can_not_have_the_part_of_another_quarantined: {
        let (mut quarantine, now) = crashes_under(&[SHARED], 5);
        assert!(!quarantine.is_quarantined(TEAM + 1, &[SHARED], now));
        // Two teams that crash targets independently are evidence for all.
        let other = Crash { team: TEAM + 1, ..crash(9, &[SHARED], now + GAP) };
        quarantine.record_crash(other, now + GAP);
        assert!(quarantine.is_quarantined(TEAM + 2, &[SHARED], now + GAP));
    },
    evidence_lapses: {
        let (quarantine, now) = crashes_under(&[DEADLY], 3);
        assert!(!quarantine.is_quarantined(TEAM, &[DEADLY], now + quarantine::EVIDENCE_TTL));
    },
    evidence_is_bounded_whatever_callers_invent: {
        let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
        for part in 0..10_000 {
            now += Duration::from_millis(1);
            quarantine.record_crash(crash(part, &[part], now), now);
            quarantine.record_answer(&[1_000_000 + part], now);
        }
        assert!(quarantine.crash_count() <= quarantine::MAX_CRASHES);
        assert!(quarantine.answered_count() <= quarantine::MAX_ANSWERED);
        assert!(quarantine.report_crashes(now).len() <= 2);
    },
    a_retry_after_a_crash_needs_parts_that_were_answered: {
        let (mut quarantine, now) = (Quarantine::default(), Instant::now());
        assert!(!quarantine.may_retry(&[SHARED, DEADLY], now));
        quarantine.record_answer(&[SHARED], now);
        assert!(!quarantine.may_retry(&[SHARED, DEADLY], now));
        assert!(quarantine.may_retry(&[SHARED], now));
        assert!(!quarantine.may_retry(&[SHARED], now + quarantine::ANSWERED_TTL));
        assert!(quarantine.may_retry(&[], now));
    },
    routers_join_what_each_has_seen: {
        // Each of 8 routers sees one crash, and the evidence reaches a ninth.
        let (mut now, mut last) = (Instant::now(), Quarantine::default());
        for target in 0..8 {
            let mut router = Quarantine::default();
            router.record_crash(crash(target, &[SHARED, DEADLY], now), now);
            last.apply_report(router.report_crashes(now), &router.take_cleared(), now);
            now += GAP;
        }
        assert!(last.is_quarantined(TEAM, &[SHARED, DEADLY], now));
        // One that starts later hears of them from any other.
        let mut restarted = Quarantine::default();
        for _ in 0..4 {
            restarted.apply_report(last.report_crashes(now), &[], now);
        }
        assert!(restarted.is_quarantined(TEAM, &[SHARED, DEADLY], now));
    },
    a_router_that_saw_a_part_answered_clears_it_for_the_others: {
        let (mut crashed, now) = crashes_under(&[SHARED], 3);
        let mut answering = Quarantine::default();
        answering.record_answer(&[SHARED], now);
        for _ in 0..3 {
            answering.apply_report(crashed.report_crashes(now), &[], now);
        }
        let cleared = answering.take_cleared();
        assert_eq!(cleared, [SHARED]);
        assert!(!answering.is_quarantined(TEAM, &[SHARED], now));
        crashed.apply_report(Vec::new(), &cleared, now);
        assert!(!crashed.is_quarantined(TEAM, &[SHARED], now));
        // A router doesn't pass on what it only heard.
        crashed.apply_report(answering.report_crashes(now), &[], now);
        assert!(crashed.take_cleared().is_empty());
    },
}
