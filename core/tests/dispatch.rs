//! Dispatch between one router and one dispatcher.

use std::sync;
use std::time::Duration;

use gentianhinge_core::ids::{Flow, Name, RequestId, RouterId};
use gentianhinge_core::{dispatch, router, slots, table};
use tokio::time;

fn table() -> sync::Arc<table::Table> {
    let class =
        table::Class { name: "now".into(), price_ratio: 1.0, max_wait: Duration::from_secs(10) };
    sync::Arc::new(table::Table {
        classes: [(Name::from("now"), class)].into(),
        ..table::Table::default()
    })
}

fn pair() -> (router::Router, dispatch::Dispatcher) {
    let id = RouterId::new("r1", 1);
    let cell = Name::from("assistant-0");
    let mut dispatcher = dispatch::Dispatcher::new(id.clone(), cell.clone(), table());
    dispatcher.set_targets(&[dispatch::TargetSpec {
        name: "t1".into(),
        zone: "a".into(),
        max_slots: 2,
        lookahead_slots: 0,
    }]);
    dispatcher.join(id.clone());
    let mut router = router::Router::new(id.clone(), table());
    router.set_dispatcher(&cell, id);
    (router, dispatcher)
}

fn submit(id: u64, team: &str) -> router::Submit {
    router::Submit {
        id: RequestId(id),
        cell: "assistant-0".into(),
        flow: Flow::new(team, "now"),
        size_bytes: 10,
        preferred_targets: Default::default(),
    }
}

fn exchange(router: &mut router::Router, dispatcher: &mut dispatch::Dispatcher) -> Vec<u64> {
    let now = time::Instant::now();
    if let Some(report) = router.take_report(&"assistant-0".into(), now) {
        dispatcher.report(report, now);
    }
    let batches = dispatcher.poll(now);
    let starts = batches.iter().flat_map(|(_, batch)| router.take_grants(batch));
    starts.map(|start| start.id.0).collect()
}

fn load_of(incarnation: u64) -> slots::TargetLoad {
    slots::TargetLoad {
        at: time::Instant::now(),
        incarnation,
        running_count: 0,
        waiting_count: 0,
        max_running_count: 2,
        leaving: false,
    }
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[tokio::test(start_paused = true)]
        async fn $name() { $body }
    )* };
}

cases! {
    grants_no_more_than_the_slots: {
        let (mut router, mut dispatcher) = pair();
        for id in 0..5 {
            router.submit(submit(id, "lanes"), time::Instant::now()).unwrap();
        }
        assert_eq!(exchange(&mut router, &mut dispatcher).len(), 2);
        assert_eq!(exchange(&mut router, &mut dispatcher).len(), 0);
        router.finish(RequestId(0));
        assert_eq!(exchange(&mut router, &mut dispatcher), [2]);
    },
    serves_the_team_that_got_less_first: {
        let (mut router, mut dispatcher) = pair();
        for id in 0..4 {
            router.submit(submit(id, "large"), time::Instant::now()).unwrap();
        }
        assert_eq!(exchange(&mut router, &mut dispatcher), [0, 1]);
        router.submit(submit(9, "small"), time::Instant::now()).unwrap();
        router.progress(RequestId(0), 100.0);
        router.finish(RequestId(0));
        assert_eq!(exchange(&mut router, &mut dispatcher), [9]);
    },
    a_target_that_cannot_be_reached_gets_nothing_until_it_reports: {
        let (mut router, mut dispatcher) = pair();
        router.submit(submit(1, "lanes"), time::Instant::now()).unwrap();
        assert_eq!(exchange(&mut router, &mut dispatcher), [1]);
        router.fail(RequestId(1));
        router.submit(submit(2, "lanes"), time::Instant::now()).unwrap();
        assert_eq!(exchange(&mut router, &mut dispatcher).len(), 0);
        time::advance(Duration::from_millis(500)).await;
        dispatcher.set_target_load(&"t1".into(), load_of(1), time::Instant::now());
        let starts = dispatcher.poll(time::Instant::now());
        let starts = starts.iter().flat_map(|(_, batch)| router.take_grants(batch));
        assert_eq!(starts.map(|start| start.id.0).collect::<Vec<_>>(), [2]);
    },
    a_leave_before_the_first_load_report_holds_for_the_incarnation_that_reports: {
        let (mut router, mut dispatcher) = pair();
        let target = Name::from("t1");
        let now = time::Instant::now();
        dispatcher.target_leaving(&target, dispatcher.target_incarnation(&target));
        dispatcher.set_target_load(&target, load_of(7), now);
        router.submit(submit(1, "lanes"), now).unwrap();
        assert_eq!(exchange(&mut router, &mut dispatcher).len(), 0);
        dispatcher.set_target_load(&target, load_of(8), now);
        let batches = dispatcher.poll(now);
        assert_eq!(batches.iter().map(|(_, batch)| batch.grants.len()).sum::<usize>(), 1);
    },
    expires_what_waited_too_long: {
        let (mut router, _) = pair();
        router.submit(submit(1, "lanes"), time::Instant::now()).unwrap();
        time::advance(Duration::from_secs(11)).await;
        assert_eq!(router.expire(time::Instant::now()), [RequestId(1)]);
        assert_eq!(router.request_count(), 0);
    },
}
