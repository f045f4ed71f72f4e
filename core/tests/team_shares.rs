//! Shares of teams in a simulated fleet: routers receive each other's usage with a delay, and
//! targets have less capacity than is asked for.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use gentianhinge_core::admission::{self, BestTarget, Policy, Verdict, WaitingRequest};
use gentianhinge_core::fairness::{self, TeamSecond};
use gentianhinge_core::ids::Name;
use gentianhinge_core::share::Shares;
use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_S: usize = 100;
const ROUTERS: usize = 24;
const TARGETS: usize = 12;

/// Steps between two reports of usage.
const REPORT_INTERVAL_STEPS: usize = 40;

/// Steps after which routers see each other's load of targets.
const LOAD_DELAY_STEPS: usize = 10;

/// Tokens that routers assume a target to prefill per millisecond.
const ASSUMED_TOKENS_PER_MS: f64 = 40.0;

const LATENCY_TARGET: Duration = Duration::from_millis(800);

/// A team: tokens of a request, requests per second to the whole fleet, the routers that it calls,
/// and the second from which it does.
#[derive(Clone)]
struct Team {
    request_tokens: u32,
    requests_per_s: f64,
    routers: std::ops::Range<usize>,
    from_s: usize,
}

/// Teams and capacity of a simulated fleet.
struct Workload {
    teams: Vec<Team>,
    /// Tokens that a target actually prefills per millisecond, by second.
    read_tokens_per_ms: fn(usize) -> f64,
    /// Configured capacity of all targets.
    configured_tokens_per_s: f64,
}

struct Waiting {
    team: usize,
    target: usize,
    arrived_at: Instant,
}

/// Simulates some seconds; returns what each team asked for and got in each of them.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Small positive numbers.
fn simulate(workload: &Workload, length_s: usize, seed: u64) -> Vec<BTreeMap<Name, TeamSecond>> {
    let policy = Policy::default();
    let mut now = Instant::now();
    let mut random_state = seed;
    let mut shares = (0..ROUTERS).map(|_| Shares::new(WINDOW)).collect::<Vec<_>>();
    let mut queues = (0..ROUTERS).map(|_| Vec::<Waiting>::new()).collect::<Vec<_>>();
    // Queue of each target: tokens still to be prefilled, the request, and the router that sent it.
    let mut targets = (0..TARGETS).map(|_| VecDeque::new()).collect::<Vec<_>>();
    let mut own_load = vec![[0.0_f64; TARGETS]; ROUTERS];
    let mut delayed_loads = VecDeque::from(vec![own_load.clone(); LOAD_DELAY_STEPS]);
    let mut pending_arrivals = workload.teams.iter().map(|_| 0.0_f64).collect::<Vec<_>>();
    let mut seconds = Vec::new();
    for step in 0..length_s * STEPS_PER_S {
        if step % STEPS_PER_S == 0 {
            seconds.push(BTreeMap::<Name, TeamSecond>::new());
        }
        let second = step / STEPS_PER_S;
        let counts = &mut seconds[second];
        for (team, team_spec) in workload.teams.iter().enumerate() {
            if second < team_spec.from_s {
                continue;
            }
            pending_arrivals[team] += team_spec.requests_per_s / STEPS_PER_S as f64;
            while pending_arrivals[team] >= 1.0 {
                pending_arrivals[team] -= 1.0;
                let routers = team_spec.routers.clone();
                let router = routers.start + next_random(&mut random_state) % routers.len();
                let target = next_random(&mut random_state) % TARGETS;
                shares[router].count_request(team as u64, team_spec.request_tokens, now);
                queues[router].push(Waiting { team, target, arrived_at: now });
                let count = counts.entry(name(team)).or_default();
                count.asked_tokens += f64::from(team_spec.request_tokens);
                count.largest_tokens = f64::from(team_spec.request_tokens);
            }
        }
        if step % REPORT_INTERVAL_STEPS == REPORT_INTERVAL_STEPS - 1 {
            exchange_reports(&mut shares, workload.configured_tokens_per_s, now);
        }
        let visible_load = &delayed_loads[0];
        let mut others = [0.0; TARGETS];
        for loads in visible_load {
            (0..TARGETS).for_each(|at| others[at] += loads[at]);
        }
        // Rotates the router that goes first.
        for router in (0..ROUTERS).map(|i| (i * 7 + step * 13) % ROUTERS) {
            let waiting = std::mem::take(&mut queues[router]);
            for request in waiting {
                let team_spec = &workload.teams[request.team];
                let unread =
                    |at: usize| others[at] - visible_load[router][at] + own_load[router][at];
                let mean = (0..TARGETS).map(unread).sum::<f64>() / TARGETS as f64;
                let best_target = BestTarget {
                    wait_ms: unread(request.target) / ASSUMED_TOKENS_PER_MS,
                    read_ms: f64::from(team_spec.request_tokens) / ASSUMED_TOKENS_PER_MS,
                    has_slot: true,
                    mean_wait_ms: mean / ASSUMED_TOKENS_PER_MS,
                    opens_in: Duration::ZERO,
                };
                let waiting_request = WaitingRequest {
                    arrived_at: request.arrived_at,
                    due_at: request.arrived_at + LATENCY_TARGET,
                    deadline: request.arrived_at + Duration::from_secs(12),
                    urgency_step: 0,
                    team_share: shares[router].team_share(request.team as u64),
                };
                match admission::decide(&policy, &waiting_request, Some(&best_target), now) {
                    Verdict::Send => {
                        shares[router].count_sent(
                            request.team as u64,
                            team_spec.request_tokens,
                            now,
                        );
                        own_load[router][request.target] += f64::from(team_spec.request_tokens);
                        let tokens = f64::from(team_spec.request_tokens);
                        targets[request.target].push_back((tokens, request, router));
                    }
                    Verdict::Wait => queues[router].push(request),
                    Verdict::Refuse { .. } => {
                        counts.entry(name(request.team)).or_default().refused_or_late_count += 1;
                    }
                }
            }
        }
        let read_tokens = (workload.read_tokens_per_ms)(second) * STEP.as_secs_f64() * 1e3;
        for (at, queue) in targets.iter_mut().enumerate() {
            let mut left_tokens = read_tokens;
            while let Some((tokens, request, router)) = queue.front_mut() {
                if *tokens > left_tokens {
                    *tokens -= left_tokens;
                    break;
                }
                left_tokens -= *tokens;
                let size = f64::from(workload.teams[request.team].request_tokens);
                own_load[*router][at] -= size;
                let count = counts.entry(name(request.team)).or_default();
                count.got_tokens += size;
                let is_late = now > request.arrived_at + LATENCY_TARGET;
                count.refused_or_late_count += u64::from(is_late);
                queue.pop_front();
            }
        }
        delayed_loads.push_back(own_load.clone());
        delayed_loads.pop_front();
        now += STEP;
    }
    seconds
}

/// Each router receives the usage that the others counted so far.
fn exchange_reports(shares: &mut [Shares], configured_tokens_per_s: f64, now: Instant) {
    let lines = shares.iter_mut().map(|shares| shares.own_report(now)).collect::<Vec<_>>();
    for (router, shares) in shares.iter_mut().enumerate() {
        for (other, lines) in lines.iter().enumerate().filter(|(other, _)| *other != router) {
            shares.apply_report(&format!("r{other}").as_str().into(), lines.clone(), now);
        }
        shares.recompute(configured_tokens_per_s, now);
    }
}

fn name(team: usize) -> Name {
    format!("team-{team}").as_str().into()
}

/// Linear congruential generator, sufficient for arrivals.
#[allow(clippy::cast_possible_truncation)] // Any bits of the number are sufficient.
fn next_random(random_state: &mut u64) -> usize {
    *random_state = random_state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    (*random_state >> 33) as usize
}

/// The lowest ratio of any team over several seeds, with a description of its seed, team and span.
fn worst_margin(workload: &Workload, length_s: usize) -> (f64, String) {
    let runs = (1..=8_u64).map(|seed| {
        let margins = fairness::margins(&simulate(workload, length_s, seed));
        let first = margins.into_iter().next();
        first.map_or((f64::INFINITY, String::new()), |margin| {
            (margin.ratio(), format!("seed {seed}: {margin:?}"))
        })
    });
    runs.min_by(|a, b| a.0.total_cmp(&b.0)).expect("some seeds")
}

/// Two large teams that call all routers and together ask for five times the capacity, and ten
/// small ones that call one router each.
fn two_large_ten_small() -> Vec<Team> {
    let large = |request_tokens, requests_per_s| Team {
        request_tokens,
        requests_per_s,
        routers: 0..ROUTERS,
        from_s: 0,
    };
    let small = (0..10).map(|i| Team {
        request_tokens: 5_000,
        requests_per_s: 5.0,
        routers: i..i + 1,
        from_s: 0,
    });
    let mut teams = vec![large(8_000, 90.0), large(8_000, 60.0)];
    teams.extend(small);
    teams
}

/// Two fifths of the configured rate in the first seconds, as with empty caches.
fn cold_cache_tokens_per_ms(second: usize) -> f64 {
    if second < 6 { 16.0 } else { 40.0 }
}

/// A team that calls all routers and asks for several times the capacity, three that each call two
/// routers and ask for twice an even share, and ten small ones.
fn one_flood_three_medium_ten_small() -> Vec<Team> {
    let mut teams =
        vec![Team { request_tokens: 8_000, requests_per_s: 200.0, routers: 0..ROUTERS, from_s: 0 }];
    teams.extend((0..3).map(|i| Team {
        request_tokens: 8_000,
        requests_per_s: 30.0,
        routers: 2 * i..2 * i + 2,
        from_s: 0,
    }));
    teams.extend((0..10).map(|i| Team {
        request_tokens: 5_000,
        requests_per_s: 2.0,
        routers: i + 6..i + 7,
        from_s: 0,
    }));
    teams
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    a_small_team_gets_its_share_while_targets_produce_less_than_configured: {
        let workload = Workload {
            teams: two_large_ten_small(),
            read_tokens_per_ms: cold_cache_tokens_per_ms,
            configured_tokens_per_s: 480_000.0,
        };
        let (ratio, margin) = worst_margin(&workload, 8);
        assert!(ratio >= 1.0, "{margin}");
    },
    a_team_that_calls_few_routers_gets_its_share_beside_one_that_calls_all: {
        let workload = Workload {
            teams: one_flood_three_medium_ten_small(),
            read_tokens_per_ms: |_| 40.0,
            configured_tokens_per_s: 480_000.0,
        };
        let (ratio, margin) = worst_margin(&workload, 20);
        assert!(ratio >= 1.0, "{margin}");
    },
    a_team_that_starts_to_call_all_routers_leaves_the_others_their_share: {
        let mut teams = one_flood_three_medium_ten_small();
        teams[0].from_s = 5;
        let workload = Workload {
            teams,
            read_tokens_per_ms: |_| 40.0,
            configured_tokens_per_s: 480_000.0,
        };
        let (ratio, margin) = worst_margin(&workload, 20);
        assert!(ratio >= 1.0, "{margin}");
    },
    the_share_is_kept_while_targets_produce_more_than_configured: {
        let mut teams = one_flood_three_medium_ten_small();
        teams[0].from_s = 5;
        let workload = Workload {
            teams,
            read_tokens_per_ms: |_| 40.0,
            configured_tokens_per_s: 300_000.0,
        };
        let (ratio, margin) = worst_margin(&workload, 20);
        assert!(ratio >= 1.0, "{margin}");
    },
    a_team_with_less_than_a_request_in_seconds_at_each_router_leaves_the_others_their_share: {
        let mut teams = one_flood_three_medium_ten_small();
        teams[0].request_tokens = 40_000;
        teams[0].requests_per_s = 40.0;
        let workload = Workload {
            teams,
            read_tokens_per_ms: |_| 40.0,
            configured_tokens_per_s: 480_000.0,
        };
        let (ratio, margin) = worst_margin(&workload, 20);
        assert!(ratio >= 1.0, "{margin}");
    },
    several_teams_that_call_all_routers_leave_the_others_their_share: {
        let mut teams = one_flood_three_medium_ten_small();
        let flood = Team { requests_per_s: 40.0, ..teams[0].clone() };
        teams.extend(vec![flood; 6]);
        let workload = Workload {
            teams,
            read_tokens_per_ms: |_| 40.0,
            configured_tokens_per_s: 480_000.0,
        };
        let (ratio, margin) = worst_margin(&workload, 20);
        assert!(ratio >= 1.0, "{margin}");
    },
}
