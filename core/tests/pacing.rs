//! Pacing of teams that ask for more than their share.

use std::time::Duration;

use gentianhinge_core::pacing::Pace;
use gentianhinge_core::report::TeamUse;
use gentianhinge_core::share::Shares;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(4);

/// A pace with a share of 1,000 tokens per second of which nothing has been sent.
fn pace(now: Instant) -> Pace {
    let mut pace = Pace::new(now);
    pace.set_share(1_000.0, now);
    pace
}

/// Shares at a router of which `own_part` of a team's demand of 100,000 tokens is asked, with a
/// capacity of 10,000 tokens per window.
fn shares_with_part(own_part: f64, now: Instant) -> Shares {
    let mut shares = Shares::new(WINDOW);
    let own_tokens = (100_000.0 * own_part) as u32;
    shares.count_request(1, own_tokens, now);
    let others = TeamUse { team: 1, asked_tokens: 100_000 - own_tokens, begun_tokens: 0 };
    shares.apply_report(&"others".into(), vec![others], now);
    shares.recompute(10_000.0 / WINDOW.as_secs_f64(), now);
    shares
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    a_router_that_sends_at_its_pace_is_not_ahead: {
        let mut now = Instant::now();
        let mut pace = pace(now);
        for _ in 0..100 {
            now += Duration::from_millis(100);
            pace.count_sent(100.0, now);
            assert!(!pace.is_ahead());
            assert_eq!(pace.min_ratio(), 0.0);
        }
    },
    a_router_that_sends_faster_counts_as_above_its_share: {
        let mut now = Instant::now();
        let mut pace = pace(now);
        for _ in 0..100 {
            now += Duration::from_millis(100);
            pace.count_sent(400.0, now);
        }
        assert!(pace.is_ahead());
        assert!((1.0..=1.5).contains(&pace.min_ratio()), "{}", pace.min_ratio());
    },
    a_lead_ends_within_a_second: {
        let now = Instant::now();
        let mut pace = pace(now);
        pace.count_sent(1e9, now);
        pace.advance(now + Duration::from_millis(500));
        assert!(pace.is_ahead());
        pace.advance(now + Duration::from_secs(1));
        assert!(!pace.is_ahead());
    },
    a_pause_allows_no_long_burst: {
        let now = Instant::now();
        let mut pace = pace(now);
        let later = now + Duration::from_secs(3600);
        pace.count_sent(1_600.0, later);
        assert!(pace.is_ahead());
    },
    a_router_is_paced_by_its_part_of_the_demand: {
        let now = Instant::now();
        // The parts are about 250 and 1,250 of 2,500 tokens per second.
        for (part, fitting, too_many) in [(0.1, 300, 800), (0.5, 1_800, 3_500)] {
            let mut shares = shares_with_part(part, now);
            let later = now + Duration::from_secs(1);
            shares.count_request(1, 0, later);
            assert_eq!(shares.team_share(1).ratio, 0.0);
            shares.count_sent(1, fitting, later);
            assert!(shares.team_share(1).ratio < 1.0, "part {part}");
            shares.count_sent(1, too_many - fitting, later);
            assert!(shares.team_share(1).ratio > 1.0, "part {part}");
            assert_eq!(shares.team_share(1).shortfall, 0.0);
        }
    },
    demands_that_fit_are_not_paced: {
        let now = Instant::now();
        let mut shares = Shares::new(WINDOW);
        shares.count_request(1, 1_000, now);
        shares.recompute(10_000.0 / WINDOW.as_secs_f64(), now);
        shares.count_sent(1, 1_000, now);
        assert!(shares.team_share(1).ratio < 1.0);
    },
}
