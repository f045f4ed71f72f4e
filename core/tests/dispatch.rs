//! Reports and grants between the routers and the dispatcher of one cell.

mod cellkit;

use std::time::Duration;

use cellkit::{CELL, Cell, now, router_id, submit, table, with_team};
use gentianhinge_core::ids::{GrantId, Name, RequestId, RouterId};
use gentianhinge_core::message::MAX_WAITING_COUNT;
use gentianhinge_core::{router, slots, table};
use tokio::time;

fn one_router(slots: u32) -> Cell {
    Cell::new(table(), 1, slots)
}

fn load_of(incarnation: u64) -> slots::TargetLoad {
    slots::TargetLoad {
        at: now(),
        incarnation,
        running_count: 0,
        waiting_count: 0,
        max_running_count: 2,
        leaving: false,
    }
}

cases! {
    grants_no_more_than_the_slots: {
        let mut cell = one_router(2);
        for id in 0..5 {
            cell.submit(0, id, "lanes");
        }
        assert_eq!(cell.exchange().len(), 2);
        assert_eq!(cell.exchange().len(), 0);
        cell.routers[0].finish(RequestId(0));
        assert_eq!(cell.exchange(), [2]);
    },
    serves_the_team_that_got_less_first: {
        let mut cell = one_router(2);
        for id in 0..4 {
            cell.submit(0, id, "large");
        }
        assert_eq!(cell.exchange(), [0, 1]);
        cell.submit(0, 9, "small");
        cell.finish(0, 0, 100.0);
        assert_eq!(cell.exchange(), [9]);
    },
    expires_requests_past_their_deadline: {
        let mut cell = one_router(0);
        cell.submit(0, 1, "lanes");
        assert_eq!(cell.routers[0].next_wake(), Some(now() + Duration::from_secs(10)));
        time::advance(Duration::from_secs(11)).await;
        assert_eq!(cell.routers[0].expire(now()), [RequestId(1)]);
        assert_eq!(cell.routers[0].request_count(), 0);
        assert!(cell.exchange().is_empty());
    },
    serves_by_delivered_cost_not_by_request_count: {
        let mut cell = one_router(1);
        for id in 0..40 {
            cell.submit(0, id, "long");
            cell.submit(0, 100 + id, "short");
        }
        let mut served = [0.0, 0.0];
        for _ in 0..40 {
            let id = cell.exchange()[0];
            let (team, cost) = if id < 100 { (0, 400.0) } else { (1, 40.0) };
            served[team] += cost;
            cell.finish(0, id, cost);
        }
        assert!((served[0] - served[1]).abs() <= 400.0, "{served:?}");
    },
    a_returning_team_is_not_compensated_for_its_pause: {
        let mut cell = one_router(1);
        for id in 0..60 {
            cell.submit(0, id, "busy");
        }
        for _ in 0..30 {
            let id = cell.exchange()[0];
            cell.finish(0, id, 100.0);
        }
        for id in 100..120 {
            cell.submit(0, id, "back");
        }
        let mut busy_count = 0;
        for _ in 0..20 {
            let id = cell.exchange()[0];
            busy_count += u32::from(id < 100);
            cell.finish(0, id, 100.0);
        }
        assert!((9..=11).contains(&busy_count), "{busy_count}");
    },
    leaving_and_returning_gains_nothing: {
        let mut cell = one_router(1);
        for id in 0..100 {
            cell.submit(0, id, "steady");
        }
        let mut flapping = 0;
        for round in 0..60 {
            if round % 2 == 0 {
                cell.submit(0, 1_000 + round, "flapping");
            }
            let id = cell.exchange()[0];
            flapping += u32::from(id >= 1_000);
            cell.finish(0, id, 100.0);
        }
        assert!(flapping <= 31, "{flapping}");
    },
    a_cheaper_class_gets_more_requests: {
        let mut cell = one_router(1);
        for id in 0..40 {
            cell.submit_class(0, id, "hasty", "now");
            cell.submit_class(0, 100 + id, "patient", "later");
        }
        let mut counts = [0, 0];
        for _ in 0..30 {
            let id = cell.exchange()[0];
            counts[usize::from(id >= 100)] += 1;
            cell.finish(0, id, 100.0);
        }
        assert!((19..=21).contains(&counts[1]), "{counts:?}");
    },
    within_a_team_the_earliest_deadline_is_served_first: {
        let mut cell = Cell::new(table(), 2, 0);
        cell.submit_class(0, 1, "lanes", "later");
        time::advance(Duration::from_secs(995)).await;
        cell.submit_class(1, 2, "lanes", "now");
        cell.exchange();
        cell.dispatcher.set_targets(&[cellkit::target("t1", 1)]);
        assert_eq!(cell.exchange(), [1]);
    },
    deadlines_between_oldest_and_newest_are_interpolated: {
        let mut cell = Cell::new(table(), 2, 0);
        for id in 0..8 {
            cell.submit(0, id, "lanes");
            cell.submit(1, 100 + id, "lanes");
            time::advance(Duration::from_millis(100)).await;
        }
        cell.exchange();
        cell.dispatcher.set_targets(&[cellkit::target("t1", 8)]);
        let started = cell.exchange();
        assert_eq!(started.iter().filter(|id| **id < 100).count(), 4, "{started:?}");
    },
    limits_a_team_in_all_routers_together: {
        let limits =
            table::Limits { max_concurrent_requests: Some(3), ..table::Limits::default() };
        let mut cell = Cell::new(with_team(table(), "lanes", limits), 3, 8);
        for router in 0..3 {
            for id in 0..3 {
                cell.submit(router, 10 * router as u64 + id, "lanes");
            }
        }
        assert_eq!(cell.exchange().len(), 3);
        let first = cell.started[0].id.0;
        cell.finish(first as usize / 10, first, 5.0);
        assert_eq!(cell.exchange().len(), 1);
    },
    limits_a_teams_rate_and_wakes_when_it_allows_more: {
        let limits = table::Limits { max_tokens_per_s: Some(100), ..table::Limits::default() };
        let mut cell = Cell::new(with_team(table(), "lanes", limits), 1, 1);
        for id in 0..100 {
            cell.submit_class(0, id, "lanes", "later");
        }
        let (mut cost, start) = (0.0, now());
        while now() < start + Duration::from_secs(60) {
            let started = cell.exchange();
            for id in &started {
                cell.finish(0, *id, 200.0);
                cost += 200.0;
            }
            let wake = cell.dispatcher.next_wake().filter(|_| started.is_empty());
            time::advance(wake.map_or(Duration::from_millis(1), |at| at - now())).await;
        }
        let rate_per_s = 0.5 * cost / (now() - start).as_secs_f64();
        assert!((80.0..=110.0).contains(&rate_per_s), "{rate_per_s}");
    },
    a_grant_in_transit_is_not_repeated: {
        let mut cell = one_router(8);
        cell.submit(0, 1, "lanes");
        let report = cell.routers[0].take_report(&CELL.into(), now()).unwrap();
        cell.dispatcher.report(report, now());
        let batches = cell.dispatcher.poll(now());
        // Reported before the router has received the grant.
        cell.submit(0, 2, "lanes");
        let report = cell.routers[0].take_report(&CELL.into(), now()).unwrap();
        cell.dispatcher.report(report, now());
        assert_eq!(cell.dispatcher.poll(now())[0].1.grants.len(), 1);
        assert_eq!(batches[0].1.grants.len(), 1);
    },
    a_declined_grant_frees_its_slot: {
        let mut cell = Cell::new(table(), 2, 1);
        cell.submit(0, 1, "lanes");
        cell.submit(1, 2, "lanes");
        for index in 0..2 {
            let report = cell.routers[index].take_report(&CELL.into(), now()).unwrap();
            cell.dispatcher.report(report, now());
        }
        let batches = cell.dispatcher.poll(now());
        let (id, batch) = &batches[0];
        let first = usize::from(*id != router_id(0));
        cell.routers[first].finish(RequestId(1 + first as u64));
        assert!(cell.routers[first].take_grants(batch).is_empty());
        assert_eq!(cell.exchange(), [2 - first as u64]);
    },
    demand_reports_are_limited_under_a_flood: {
        let mut cell = one_router(0);
        let mut lines = 0;
        for id in 0..900 {
            cell.submit(0, id, "flood");
            if let Some(report) = cell.routers[0].take_report(&CELL.into(), now()) {
                lines += report.demand.len();
                assert!(report.demand[0].waiting_count <= MAX_WAITING_COUNT);
            }
        }
        assert!(lines <= 16, "{lines}");
    },
    costs_are_reported_once_an_interval: {
        let mut cell = one_router(1);
        cell.submit(0, 1, "lanes");
        cell.exchange();
        let mut lines = 0;
        for step in 1..=300 {
            time::advance(Duration::from_millis(100)).await;
            cell.routers[0].progress(RequestId(1), f64::from(step));
            if let Some(report) = cell.routers[0].take_report(&CELL.into(), now()) {
                lines += report.progress.len();
            }
        }
        assert!((9..=11).contains(&lines), "{lines}");
    },
    limits_waiting_requests_and_bytes: {
        let limits = table::Limits {
            max_waiting_requests: 2,
            max_waiting_bytes: 25,
            ..table::Limits::default()
        };
        let mut cell = Cell::new(with_team(table(), "lanes", limits), 1, 0);
        cell.submit(0, 1, "lanes");
        let mut big = submit(2, "lanes", "now");
        big.size_bytes = 16;
        let error = cell.routers[0].submit(big, now()).unwrap_err();
        assert_eq!(error, router::SubmitError::WaitingBytesLimit(25));
        cell.submit(0, 3, "lanes");
        let error = cell.routers[0].submit(submit(4, "lanes", "now"), now()).unwrap_err();
        assert_eq!(error, router::SubmitError::WaitingLimit(2));
        cell.routers[0].finish(RequestId(1));
        cell.submit(0, 5, "lanes");
    },
    an_unknown_grant_that_ends_changes_nothing: {
        let mut cell = one_router(1);
        cell.submit(0, 1, "lanes");
        cell.submit(0, 2, "lanes");
        cell.exchange();
        let mut report = cell.routers[0].take_report(&CELL.into(), now());
        assert!(report.is_none());
        cell.submit(0, 3, "pass");
        report = cell.routers[0].take_report(&CELL.into(), now());
        let mut report = report.unwrap();
        report.finished = vec![GrantId(999)];
        report.router = RouterId::new("r0", 1);
        cell.dispatcher.report(report, now());
        assert!(cell.dispatcher.poll(now()).is_empty());
    },
    an_unreachable_target_gets_no_grants_until_it_reports: {
        let mut cell = one_router(2);
        cell.submit(0, 1, "lanes");
        assert_eq!(cell.exchange(), [1]);
        cell.routers[0].fail(RequestId(1));
        cell.submit(0, 2, "lanes");
        assert_eq!(cell.exchange().len(), 0);
        time::advance(Duration::from_millis(500)).await;
        cell.dispatcher.set_target_load(&"t1".into(), load_of(1), now());
        assert_eq!(cell.exchange(), [2]);
    },
    a_leave_before_the_first_load_report_applies_to_the_reporting_incarnation: {
        let mut cell = one_router(2);
        let target = Name::from("t1");
        cell.dispatcher.target_leaving(&target, cell.dispatcher.target_incarnation(&target));
        cell.dispatcher.set_target_load(&target, load_of(7), now());
        cell.submit(0, 1, "lanes");
        assert_eq!(cell.exchange().len(), 0);
        cell.dispatcher.set_target_load(&target, load_of(8), now());
        let batches = cell.dispatcher.poll(now());
        assert_eq!(batches.iter().map(|(_, batch)| batch.grants.len()).sum::<usize>(), 1);
    },
}
