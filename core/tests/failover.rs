//! Failover of dispatchers and loss of routers.

mod cellkit;

use std::time::Duration;

use cellkit::{CELL, Cell, now, router_id, table};
use gentianhinge_core::ids::{RequestId, RouterId};
use gentianhinge_core::message::TeamVirtualTime;
use tokio::time;

/// Serves `count` requests with a cost of 100, one at a time; returns how many were of team `a`.
fn serve(cell: &mut Cell, count: usize) -> usize {
    let mut of_a = 0;
    for _ in 0..count {
        let id = cell.exchange()[0];
        of_a += usize::from(id < 1_000);
        cell.finish(usize::from(id % 2 == 1), id, 100.0);
    }
    of_a
}

fn backlogged(slots: u32) -> Cell {
    let mut cell = Cell::new(table(), 2, slots);
    for id in 0..100 {
        cell.submit_class((id % 2) as usize, id, "a", "later");
        cell.submit_class((id % 2) as usize, 1_000 + id, "b", "later");
    }
    cell
}

cases! {
    grants_of_the_old_dispatcher_are_ignored: {
        let mut cell = backlogged(4);
        for index in 0..2 {
            let report = cell.routers[index].take_report(&CELL.into(), now()).unwrap();
            cell.dispatcher.report(report, now());
        }
        let stale = cell.dispatcher.poll(now());
        cell.fail_over(RouterId::new("r1", 1), 4);
        for (id, batch) in &stale {
            let index = usize::from(*id == router_id(1));
            assert!(cell.routers[index].take_grants(batch).is_empty());
        }
        assert_eq!(cell.exchange().len(), 4);
    },
    a_late_batch_of_an_ended_session_does_not_suppress_later_ones: {
        let mut cell = backlogged(4);
        for _ in 0..6 {
            let id = cell.exchange()[0];
            cell.finish(usize::from(id % 2 == 1), id, 1.0);
        }
        let report = cell.routers[0].take_report(&CELL.into(), now());
        report.into_iter().for_each(|report| cell.dispatcher.report(report, now()));
        let late = cell.dispatcher.poll(now());
        let running = cell.routers.iter().map(|router| router.running_count()).sum::<usize>();
        cell.join_all(router_id(0));
        for (id, batch) in &late {
            cell.routers[usize::from(*id == router_id(1))].take_grants(batch);
        }
        cell.dispatcher.set_targets(&[cellkit::target("t1", 64)]);
        cell.exchange();
        let after = cell.routers.iter().map(|router| router.running_count()).sum::<usize>();
        assert!(after >= running + 32, "{running} {after}");
    },
    a_new_dispatcher_counts_running_requests: {
        let mut cell = backlogged(4);
        assert_eq!(cell.exchange().len(), 4);
        cell.fail_over(RouterId::new("r1", 1), 4);
        assert!(cell.exchange().is_empty());
        let id = cell.started[0].id.0;
        cell.finish(usize::from(id % 2 == 1), id, 10.0);
        assert_eq!(cell.exchange().len(), 1);
    },
    a_request_at_an_unlisted_target_is_counted_once_it_is_listed: {
        let mut cell = backlogged(2);
        assert_eq!(cell.exchange().len(), 2);
        cell.fail_over(RouterId::new("r1", 1), 2);
        cell.dispatcher.set_targets(&[]);
        cell.exchange();
        cell.dispatcher.set_targets(&[cellkit::target("t1", 2)]);
        assert!(cell.exchange().is_empty());
    },
    virtual_times_survive_a_failover: {
        let mut cell = backlogged(1);
        // At first only a is waiting and gets ahead; then b is lifted, and both stay level.
        serve(&mut cell, 20);
        let (a, b) = (cell.dispatcher.virtual_time("a"), cell.dispatcher.virtual_time("b"));
        time::advance(Duration::from_secs(1)).await;
        serve(&mut cell, 2);
        cell.fail_over(RouterId::new("r1", 1), 1);
        cell.exchange();
        let lost = |old: Option<f64>, new: Option<f64>| old.unwrap() - new.unwrap();
        assert!(lost(a, cell.dispatcher.virtual_time("a")) <= 100.0);
        assert!(lost(b, cell.dispatcher.virtual_time("b")) <= 100.0);
    },
    cost_delivered_before_the_failover_is_not_charged_again: {
        let mut cell = backlogged(1);
        let id = cell.exchange()[0];
        cell.routers[usize::from(id % 2 == 1)].progress(RequestId(id), 5_000.0);
        cell.fail_over(RouterId::new("r1", 1), 1);
        cell.exchange();
        cell.finish(usize::from(id % 2 == 1), id, 5_010.0);
        cell.exchange();
        let team = if id < 1_000 { "a" } else { "b" };
        let charged = cell.dispatcher.virtual_time(team).unwrap();
        assert!(charged < 1_000.0, "{charged}");
    },
    a_rejoining_router_is_charged_for_cost_delivered_meanwhile: {
        let mut cell = backlogged(1);
        let id = cell.exchange()[0];
        let index = usize::from(id % 2 == 1);
        cell.dispatcher.leave(&router_id(index));
        cell.finish(index, id, 7_000.0);
        cell.dispatcher.join(router_id(index));
        cell.routers[index].set_dispatcher(&CELL.into(), router_id(0));
        cell.exchange();
        let team = if id < 1_000 { "a" } else { "b" };
        let charged = cell.dispatcher.virtual_time(team).unwrap();
        // The class has a price of 0.5.
        assert!((3_500.0..4_500.0).contains(&charged), "{charged}");
    },
    a_new_dispatcher_waits_for_the_routers_it_expects: {
        let mut cell = backlogged(4);
        cell.fail_over(RouterId::new("r1", 1), 4);
        let expected = [router_id(0), router_id(1), router_id(7)];
        cell.dispatcher.wait_for_reports(&expected, now() + Duration::from_secs(2));
        assert!(cell.exchange().is_empty());
        assert_eq!(cell.dispatcher.next_wake(), Some(now() + Duration::from_secs(2)));
        time::advance(Duration::from_secs(2)).await;
        assert_eq!(cell.exchange().len(), 4);
    },
    a_new_dispatcher_grants_once_all_have_reported: {
        let mut cell = backlogged(4);
        cell.fail_over(RouterId::new("r1", 1), 4);
        let expected = [router_id(0), router_id(1), router_id(7)];
        cell.dispatcher.wait_for_reports(&expected, now() + Duration::from_secs(2));
        cell.dispatcher.remove_expected(&router_id(7));
        assert_eq!(cell.exchange().len(), 4);
    },
    a_lost_router_frees_its_slots: {
        let mut cell = backlogged(4);
        cell.exchange();
        cell.dispatcher.leave(&router_id(0));
        cell.dispatcher.leave(&router_id(1));
        assert_eq!(cell.dispatcher.free_slots(), 4);
    },
    a_report_before_the_full_one_is_ignored: {
        let mut cell = Cell::new(table(), 1, 1);
        cell.exchange();
        cell.submit(0, 1, "lanes");
        let late = cell.routers[0].take_report(&CELL.into(), now()).unwrap();
        assert!(!late.full);
        cell.dispatcher.join(router_id(0));
        cell.dispatcher.report(late, now());
        assert!(cell.dispatcher.poll(now()).is_empty());
    },
    cost_charged_by_another_dispatcher_meanwhile_is_not_charged_twice: {
        let mut cell = backlogged(1);
        let id = cell.exchange()[0];
        let index = usize::from(id % 2 == 1);
        cell.dispatcher.leave(&router_id(index));
        cell.finish(index, id, 7_000.0);
        cell.dispatcher.join(router_id(index));
        cell.routers[index].set_dispatcher(&CELL.into(), router_id(0));
        let mut report = cell.routers[index].take_report(&CELL.into(), now()).unwrap();
        let team = if id < 1_000 { "a" } else { "b" };
        // Another dispatcher served the cell in between and reported what it charged.
        report.virtual_times = vec![TeamVirtualTime { team: team.into(), cost: 3_500.0 }];
        cell.dispatcher.report(report, now());
        let charged = cell.dispatcher.virtual_time(team).unwrap();
        assert!((3_500.0..4_500.0).contains(&charged), "{charged}");
    },
}
