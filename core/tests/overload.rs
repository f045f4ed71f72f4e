//! Waiting, turning away, shares of teams, and repeats.

use std::time::Duration;

use gentianhinge_core::admission::{
    self, BestTarget, Policy, ServiceBacklog, Verdict, WaitingRequest,
};
use gentianhinge_core::report::{ServiceUse, TeamUse};
use gentianhinge_core::retry_budget::RetryBudget;
use gentianhinge_core::share::{self, Shares, TeamShare};
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(4);

/// A team that has got this ratio of its share, and lacks nothing of what was served.
fn team_share(ratio: f64) -> TeamShare {
    TeamShare { ratio, shortfall: 0.0 }
}

fn waiter(now: Instant) -> WaitingRequest {
    WaitingRequest {
        arrived_at: now,
        due_at: now + Duration::from_millis(800),
        deadline: now + Duration::from_secs(12),
        urgency_step: 0,
        team_share: team_share(0.5),
    }
}

fn outlook(wait_ms: f64) -> BestTarget {
    BestTarget { wait_ms, read_ms: 90.0, has_slot: true, mean_wait_ms: wait_ms }
}

fn decide(waiter: &WaitingRequest, wait_ms: f64, now: Instant) -> Verdict {
    admission::decide(&Policy::default(), waiter, Some(&outlook(wait_ms)), now)
}

fn shares_of(teams: &[(u64, u32, u32)], now: Instant) -> Shares {
    let mut shares = Shares::new(WINDOW);
    for (team, asked, begun) in teams {
        shares.count_request(*team, *asked, now);
        shares.count_sent(*team, *begun, now);
    }
    shares.recompute(0.0, now);
    shares
}

/// Tokens that two teams get in some seconds, together asking for nearly four times what there is: one 240
/// requests a second through 40 routers, the other 60 through one. Eight targets read 40 tokens in a
/// millisecond; each router sees what the others have sent 300 ms late.
fn two_hogs(policy: &Policy) -> [f64; 2] {
    const STEP: Duration = Duration::from_millis(10);
    const REQUEST_TOKENS: u32 = 4_000;
    const ROUTERS: usize = 41;
    let (mut now, mut shares) = (Instant::now(), Shares::new(WINDOW));
    let mut unread_ms = [0.0_f64; 8];
    let mut seen = std::collections::VecDeque::from(vec![unread_ms; 30]);
    let mut own_ms = vec![[0.0_f64; 8]; ROUTERS];
    let mut waiting = [0_u32; ROUTERS];
    let mut got = [0.0; 2];
    for step in 0..1_200_usize {
        if step % 40 == 0 {
            shares.recompute(0.0, now);
        }
        let old = seen[0];
        // Another router has its turn first in each step.
        for router in (0..ROUTERS).map(|i| (i * 7 + step * 13) % ROUTERS) {
            let team = u64::from(router == 0);
            let requests_per_s = if router == 0 { 60 } else { 6 };
            if (step * requests_per_s + router * 37) % 100 < requests_per_s {
                shares.count_request(team, REQUEST_TOKENS, now);
                waiting[router] = (waiting[router] + 1).min(20);
            }
            if waiting[router] == 0 {
                continue;
            }
            let view = |at: usize| old[at] + own_ms[router][at];
            let at = (0..8).min_by(|a, b| view(*a).total_cmp(&view(*b))).unwrap();
            let mean_wait_ms = (0..8).map(view).sum::<f64>() / 8.0;
            let outlook = BestTarget { wait_ms: view(at), mean_wait_ms, ..outlook(0.0) };
            let waiter = WaitingRequest { team_share: shares.team_share(team), ..waiter(now) };
            if admission::decide(policy, &waiter, Some(&outlook), now) == Verdict::Send {
                shares.count_sent(team, REQUEST_TOKENS, now);
                waiting[router] -= 1;
                unread_ms[at] += 100.0;
                own_ms[router][at] += 100.0;
                got[team as usize] += f64::from(REQUEST_TOKENS);
            }
        }
        for ms in unread_ms.iter_mut().chain(own_ms.iter_mut().flatten()) {
            *ms = (*ms - 10.0).max(0.0);
        }
        seen.push_back(unread_ms);
        seen.pop_front();
        now += STEP;
    }
    got
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    an_idle_target_gets_a_request_at_once: {
        let now = Instant::now();
        assert_eq!(decide(&waiter(now), 0.0, now), Verdict::Send);
    },
    a_busy_target_is_left_in_peace: {
        let now = Instant::now();
        assert_eq!(decide(&waiter(now), 600.0, now), Verdict::Wait);
    },
    a_team_at_one_router_gets_at_least_half_of_what_one_at_all_routers_gets: {
        let [all, one] = two_hogs(&Policy::default());
        assert!(one >= all / 2.0, "{one} of {all}");
        // A step at the share, whatever the excess and the load of the fleet, doesn't do.
        let step = Policy {
            full_threshold_ratio: 1.0,
            full_share_factor: 0.1,
            zero_threshold_ratio: f64::INFINITY,
            double_share_mean_ms: f64::INFINITY,
            ..Policy::default()
        };
        let [all, one] = two_hogs(&step);
        assert!(one < all / 2.0, "{one} of {all}");
    },
    of_two_teams_above_their_share_the_one_far_above_is_held_back: {
        // Ratios, and mean backlog in ms, of a flood at one router beside one at all routers.
        let now = Instant::now();
        let busy = BestTarget { mean_wait_ms: 100.0, ..outlook(0.0) };
        let verdict = |ratio| {
            let above = WaitingRequest { team_share: team_share(ratio), ..waiter(now) };
            admission::decide(&Policy::default(), &above, Some(&busy), now)
        };
        assert_eq!((verdict(1.2), verdict(1.6)), (Verdict::Send, Verdict::Wait));
    },
    the_threshold_falls_as_a_team_gets_its_share: {
        let policy = Policy::default();
        let factors = [0.0, 0.6, 0.8, 1.0, 1.4, 1.8, 9.0].map(|ratio| policy.share_factor(ratio));
        assert!(factors.windows(2).all(|pair| pair[0] >= pair[1]), "{factors:?}");
        assert_eq!((factors[1], factors[5]), (1.0, 0.0));
    },
    a_team_far_above_its_share_gets_more_while_the_fleet_is_idle: {
        let now = Instant::now();
        let above = WaitingRequest { team_share: team_share(3.0), ..waiter(now) };
        assert_eq!(decide(&above, 0.0, now), Verdict::Send);
        let busy = BestTarget { mean_wait_ms: 100.0, ..outlook(0.0) };
        assert_eq!(admission::decide(&Policy::default(), &above, Some(&busy), now), Verdict::Wait);
    },
    the_less_urgent_kind_waits_first: {
        let now = Instant::now();
        let less_urgent = WaitingRequest { urgency_step: 1, ..waiter(now) };
        assert_eq!(decide(&waiter(now), 300.0, now), Verdict::Send);
        assert_eq!(decide(&less_urgent, 300.0, now), Verdict::Wait);
    },
    what_is_late_yields_to_what_can_be_on_time: {
        let now = Instant::now();
        let late = WaitingRequest { due_at: now, ..waiter(now) };
        assert_eq!(decide(&late, 100.0, now), Verdict::Wait);
        assert_eq!(decide(&late, 0.0, now), Verdict::Send);
    },
    a_team_above_its_share_yields: {
        let now = Instant::now();
        let over = WaitingRequest { team_share: team_share(1.5), ..waiter(now) };
        assert_eq!(decide(&over, 100.0, now), Verdict::Wait);
        assert_eq!(decide(&over, 0.0, now), Verdict::Send);
    },
    a_team_short_of_its_due_sends_to_busier_targets_and_late: {
        let now = Instant::now();
        let short = |shortfall| WaitingRequest {
            team_share: TeamShare { ratio: 0.1, shortfall },
            due_at: now,
            ..waiter(now)
        };
        // Late, at a target that is busier than the threshold for others that are on time.
        assert_eq!(decide(&short(0.0), 900.0, now), Verdict::Wait);
        assert_eq!(decide(&short(0.8), 900.0, now), Verdict::Send);
        let policy = Policy::default();
        // Half of what is due is the least that is fair: precedence begins well above it.
        assert!(policy.precedence(0.3) > 0.0 && policy.precedence(0.5) > 0.5);
        assert_eq!((policy.precedence(0.0), policy.precedence(1.0)), (0.0, 1.0));
    },
    what_no_target_may_get_is_known_without_a_choice: {
        let now = Instant::now();
        let policy = Policy::default();
        // The outline never forbids what the choice of the least busy target would allow.
        for ratio in [0.0, 0.5, 0.8, 1.0, 1.2, 1.7, 3.0] {
            for shortfall in [0.0, 0.4, 0.9] {
                for (least_wait_ms, mean_wait_ms) in
                    [(0.0, 0.0), (30.0, 50.0), (100.0, 300.0), (500.0, 700.0), (2_000.0, 2_000.0)]
                {
                    let waiter = WaitingRequest { team_share: TeamShare { ratio, shortfall }, ..waiter(now) };
                    let least = BestTarget { read_ms: 0.0, mean_wait_ms, ..outlook(least_wait_ms) };
                    let verdict = admission::decide(&policy, &waiter, Some(&least), now);
                    let outline = ServiceBacklog { mean_wait_ms, least_wait_ms };
                    let may_send = policy.may_send(&waiter, &outline);
                    assert!(may_send || verdict != Verdict::Send, "{waiter:?} {outline:?}");
                }
            }
        }
        let flood = WaitingRequest { team_share: team_share(3.0), ..waiter(now) };
        let busy = ServiceBacklog { mean_wait_ms: 300.0, least_wait_ms: 0.0 };
        assert!(!policy.may_send(&flood, &busy));
        assert!(policy.may_send(&waiter(now), &busy));
    },
    a_team_short_of_its_due_goes_first: {
        let now = Instant::now();
        let short = WaitingRequest {
            team_share: TeamShare { ratio: 0.1, shortfall: 0.6 },
            due_at: now,
            urgency_step: 2,
            ..waiter(now)
        };
        let policy = Policy::default();
        assert!(short.rank(&policy, now) < waiter(now).rank(&policy, now));
    },
    what_a_team_lacks_is_held_against_what_was_served: {
        let now = Instant::now();
        // 4,000 could have begun within the window, 1,000 did; each team had asked for more.
        let mut shares = shares_of(&[(1, 9_000, 850), (2, 300, 50), (3, 100, 100)], now);
        shares.recompute(4_000.0 / WINDOW.as_secs_f64(), now);
        // An even share of the 1,000 is 600 beside the small teams; all are below what was stated.
        assert_eq!(shares.team_share(1).shortfall, 0.0);
        assert!((shares.team_share(2).shortfall - 5.0 / 6.0).abs() < 1e-9);
        assert_eq!(shares.team_share(3).shortfall, 0.0);
        assert!(shares.team_share(1).ratio < 1.0);
        assert_eq!(shares.team_share(4), TeamShare::default());
    },
    a_request_without_a_free_slot_waits: {
        let now = Instant::now();
        let full = BestTarget { has_slot: false, ..outlook(0.0) };
        let verdict = admission::decide(&Policy::default(), &waiter(now), Some(&full), now);
        assert_eq!(verdict, Verdict::Wait);
    },
    a_refusal_comes_early_and_says_when_to_come_back: {
        let now = Instant::now();
        let Verdict::Refuse { retry_after } = decide(&waiter(now), 900.0, now + Policy::default().max_wait)
        else {
            panic!("not refused");
        };
        assert_eq!(retry_after, Duration::from_millis(900));
        // Well before the latency target, so that the caller can still be served in time elsewhere.
        assert!(Policy::default().max_wait < Duration::from_millis(800));
    },
    the_order_is_by_share_then_time_then_urgency: {
        let now = Instant::now();
        let over = WaitingRequest { team_share: team_share(1.5), ..waiter(now) };
        let late = WaitingRequest { due_at: now, ..waiter(now) };
        let less_urgent = WaitingRequest { urgency_step: 1, ..waiter(now) };
        let mut ranks = [over.rank(&Policy::default(), now), late.rank(&Policy::default(), now), less_urgent.rank(&Policy::default(), now), waiter(now).rank(&Policy::default(), now)];
        ranks.sort();
        assert_eq!(ranks[0], waiter(now).rank(&Policy::default(), now));
        assert_eq!(ranks[1], less_urgent.rank(&Policy::default(), now));
        assert_eq!(ranks[2], late.rank(&Policy::default(), now));
    },
    a_flood_of_one_team_lowers_no_other_team: {
        let now = Instant::now();
        // Team 1 asks for ten times what the others ask for, and 600 are served.
        let shares = shares_of(&[(1, 4_000, 400), (2, 100, 100), (3, 100, 100)], now);
        assert!(shares.team_share(1).ratio >= 1.0);
        assert!(shares.team_share(2).ratio < 0.5);
    },
    demands_that_fit_have_no_level: {
        assert_eq!(share::water_level(vec![10.0, 20.0], 30.0), f64::INFINITY);
        assert!((share::water_level(vec![10.0, 200.0, 200.0], 110.0) - 50.0).abs() < 1e-9);
        assert!((share::water_level(vec![200.0, 200.0], 100.0) - 50.0).abs() < 1e-9);
    },
    a_dip_in_what_is_served_lowers_no_share: {
        let now = Instant::now();
        // Targets could have begun 2,000 tokens within the window, and began 300.
        let mut shares = shares_of(&[(1, 9_000, 150), (2, 9_000, 150)], now);
        assert!(shares.team_share(1).ratio >= 1.0);
        shares.recompute(2_000.0 / WINDOW.as_secs_f64(), now);
        assert!(shares.team_share(1).ratio < 0.2);
    },
    shares_count_what_other_routers_report: {
        let now = Instant::now();
        let mut shares = shares_of(&[(1, 100, 100), (2, 1_000, 100)], now);
        let lines = vec![TeamUse { team: 1, asked_tokens: 900, begun_tokens: 500 }];
        shares.apply_report(&"r2".into(), lines, now);
        shares.recompute(0.0, now);
        assert!(shares.team_share(1).ratio > shares.team_share(2).ratio);
        assert!(shares.team_share(1).ratio > 1.0);
    },
    shares_forget_what_left_the_window: {
        let now = Instant::now();
        let mut shares = shares_of(&[(1, 1_000, 900), (2, 1_000, 100)], now);
        shares.recompute(0.0, now + WINDOW + Duration::from_millis(1));
        assert!(shares.team_share(1).ratio < f64::EPSILON);
    },
    the_budget_of_repeats_is_one_for_the_fleet: {
        let now = Instant::now();
        let mut budget = RetryBudget::new(0.2, 10, Duration::from_secs(10));
        assert!(budget.try_take(1, now));
        let spent = ServiceUse { service: 1, request_count: 100, retry_count: 30 };
        budget.apply_report(&"r2".into(), vec![spent], now);
        assert!(!budget.try_take(1, now));
        // Other services have their own.
        assert!(budget.try_take(2, now));
    },
    the_budget_grows_with_requests: {
        let now = Instant::now();
        let mut budget = RetryBudget::new(0.2, 0, Duration::from_secs(10));
        assert!(!budget.try_take(1, now));
        (0..100).for_each(|_| budget.count_request(1, now));
        let taken = (0..100).filter(|_| budget.try_take(1, now)).count();
        assert!((1..=20).contains(&taken), "{taken}");
    },
    repeats_that_left_the_window_are_forgotten: {
        let now = Instant::now();
        let mut budget = RetryBudget::new(0.0, 4, Duration::from_secs(10));
        while budget.try_take(1, now) {}
        assert!(budget.try_take(1, now + Duration::from_secs(11)));
    },
}
