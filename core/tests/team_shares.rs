//! Shares of teams over a whole fleet: routers that know each other's sums late, before targets that can
//! read less than is asked for.

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

/// Steps between two sums that a router hears from the others.
const SUMS_STEPS: usize = 40;

/// Steps after which routers see each other's load on targets.
const LOAD_STEPS: usize = 10;

/// Tokens that a target is believed to read in a millisecond.
const BELIEVED_TOKENS_PER_MS: f64 = 40.0;

const LATENCY_TARGET: Duration = Duration::from_millis(800);

/// A team: tokens of a request, requests in a second over the fleet, and the routers that it calls.
struct Team {
    request_tokens: u32,
    requests_per_s: f64,
    routers: std::ops::Range<usize>,
}

/// Figures of a fleet under load.
struct Load {
    teams: Vec<Team>,
    /// Tokens that a target really reads in a millisecond, by second.
    read_tokens_per_ms: fn(usize) -> f64,
    /// What all targets are stated to produce.
    stated_tokens_per_s: f64,
}

struct Waiting {
    team: usize,
    home: usize,
    arrived_at: Instant,
}

/// Plays some seconds; returns what each team asked for and got in each.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Small positive figures.
fn play(load: &Load, length_s: usize, seed: u64) -> Vec<BTreeMap<Name, TeamSecond>> {
    let policy = Policy::default();
    let mut now = Instant::now();
    let mut random = seed;
    let mut shares = (0..ROUTERS).map(|_| Shares::new(WINDOW)).collect::<Vec<_>>();
    let mut queues = (0..ROUTERS).map(|_| Vec::<Waiting>::new()).collect::<Vec<_>>();
    // Requests at each target in their order: tokens to be read, team, and the router that sent them.
    let mut targets = (0..TARGETS).map(|_| VecDeque::new()).collect::<Vec<_>>();
    let mut own = vec![[0.0_f64; TARGETS]; ROUTERS];
    let mut seen = VecDeque::from(vec![own.clone(); LOAD_STEPS]);
    let mut due = load.teams.iter().map(|_| 0.0_f64).collect::<Vec<_>>();
    let mut seconds = Vec::new();
    for step in 0..length_s * STEPS_PER_S {
        if step % STEPS_PER_S == 0 {
            seconds.push(BTreeMap::<Name, TeamSecond>::new());
        }
        let second = step / STEPS_PER_S;
        let counts = &mut seconds[second];
        for (team, kind) in load.teams.iter().enumerate() {
            due[team] += kind.requests_per_s / STEPS_PER_S as f64;
            while due[team] >= 1.0 {
                due[team] -= 1.0;
                let routers = kind.routers.clone();
                let router = routers.start + next(&mut random) % routers.len();
                let home = next(&mut random) % TARGETS;
                shares[router].count_request(team as u64, kind.request_tokens, now);
                queues[router].push(Waiting { team, home, arrived_at: now });
                let count = counts.entry(name(team)).or_default();
                count.asked_tokens += f64::from(kind.request_tokens);
                count.largest_tokens = f64::from(kind.request_tokens);
            }
        }
        if step % SUMS_STEPS == SUMS_STEPS - 1 {
            exchange_sums(&mut shares, load.stated_tokens_per_s, now);
        }
        let old = &seen[0];
        let mut others = [0.0; TARGETS];
        for loads in old {
            (0..TARGETS).for_each(|at| others[at] += loads[at]);
        }
        // Another router has its turn first in each step.
        for router in (0..ROUTERS).map(|i| (i * 7 + step * 13) % ROUTERS) {
            let waiting = std::mem::take(&mut queues[router]);
            for request in waiting {
                let kind = &load.teams[request.team];
                let unread = |at: usize| others[at] - old[router][at] + own[router][at];
                let mean = (0..TARGETS).map(unread).sum::<f64>() / TARGETS as f64;
                let outlook = BestTarget {
                    wait_ms: unread(request.home) / BELIEVED_TOKENS_PER_MS,
                    read_ms: f64::from(kind.request_tokens) / BELIEVED_TOKENS_PER_MS,
                    has_slot: true,
                    mean_wait_ms: mean / BELIEVED_TOKENS_PER_MS,
                };
                let waiter = WaitingRequest {
                    arrived_at: request.arrived_at,
                    due_at: request.arrived_at + LATENCY_TARGET,
                    deadline: request.arrived_at + Duration::from_secs(12),
                    urgency_step: 0,
                    team_share: shares[router].team_share(request.team as u64),
                };
                match admission::decide(&policy, &waiter, Some(&outlook), now) {
                    Verdict::Send => {
                        shares[router].count_sent(request.team as u64, kind.request_tokens, now);
                        own[router][request.home] += f64::from(kind.request_tokens);
                        let tokens = f64::from(kind.request_tokens);
                        targets[request.home].push_back((tokens, request, router));
                    }
                    Verdict::Wait => queues[router].push(request),
                    Verdict::Refuse { .. } => {
                        counts.entry(name(request.team)).or_default().turned_away_count += 1;
                    }
                }
            }
        }
        let read = (load.read_tokens_per_ms)(second) * STEP.as_secs_f64() * 1e3;
        for (at, queue) in targets.iter_mut().enumerate() {
            let mut left = read;
            while let Some((tokens, request, router)) = queue.front_mut() {
                if *tokens > left {
                    *tokens -= left;
                    break;
                }
                left -= *tokens;
                let size = f64::from(load.teams[request.team].request_tokens);
                own[*router][at] -= size;
                let count = counts.entry(name(request.team)).or_default();
                count.got_tokens += size;
                let is_late = now > request.arrived_at + LATENCY_TARGET;
                count.turned_away_count += u64::from(is_late);
                queue.pop_front();
            }
        }
        seen.push_back(own.clone());
        seen.pop_front();
        now += STEP;
    }
    seconds
}

/// Each router hears what the others have counted so far.
fn exchange_sums(shares: &mut [Shares], stated_tokens_per_s: f64, now: Instant) {
    let lines = shares.iter_mut().map(|shares| shares.own_report(now)).collect::<Vec<_>>();
    for (router, shares) in shares.iter_mut().enumerate() {
        for (other, lines) in lines.iter().enumerate().filter(|(other, _)| *other != router) {
            shares.apply_report(&format!("r{other}").as_str().into(), lines.clone(), now);
        }
        shares.recompute(stated_tokens_per_s, now);
    }
}

fn name(team: usize) -> Name {
    format!("team-{team}").as_str().into()
}

/// Numbers that are spread well enough for arrivals.
#[allow(clippy::cast_possible_truncation)] // Any part of the number will do.
fn next(random: &mut u64) -> usize {
    *random =
        random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*random >> 33) as usize
}

/// The least margin of any team over some seeds, with the team and the span.
fn worst(load: &Load, length_s: usize) -> (f64, String) {
    let runs = (1..=8_u64).map(|seed| {
        let margins = fairness::margins(&play(load, length_s, seed));
        let first = margins.into_iter().next();
        first.map_or((f64::INFINITY, String::new()), |margin| {
            (margin.ratio(), format!("seed {seed}: {margin:?}"))
        })
    });
    runs.min_by(|a, b| a.0.total_cmp(&b.0)).expect("some seeds")
}

/// Two large teams that call all routers and together ask for five times what there is, and ten small
/// ones that call one router each.
fn two_large_ten_small() -> Vec<Team> {
    let large = |request_tokens, requests_per_s| Team {
        request_tokens,
        requests_per_s,
        routers: 0..ROUTERS,
    };
    let small =
        (0..10).map(|i| Team { request_tokens: 5_000, requests_per_s: 5.0, routers: i..i + 1 });
    let mut teams = vec![large(8_000, 90.0), large(8_000, 60.0)];
    teams.extend(small);
    teams
}

/// Targets that read two fifths of what is stated in the first seconds, as with empty caches.
fn cold(second: usize) -> f64 {
    if second < 6 { 16.0 } else { 40.0 }
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    a_small_team_gets_its_share_while_targets_produce_less_than_stated: {
        let load = Load {
            teams: two_large_ten_small(),
            read_tokens_per_ms: cold,
            stated_tokens_per_s: 480_000.0,
        };
        let (ratio, margin) = worst(&load, 8);
        assert!(ratio >= 1.0, "{margin}");
    },
}
