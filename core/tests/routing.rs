//! Lookups in the route table.

use std::time::Duration;

use gentianhinge_core::report;
use gentianhinge_core::routing::{Answer, CallerLimits, Idempotency, Route, RouteTable, Team};

fn route(name: &str, prefix: &str, split: &[(&str, u32)]) -> Route {
    Route {
        name: name.into(),
        host: "lanes.example".into(),
        path_prefix: prefix.into(),
        idempotency: Idempotency::NonIdempotent,
        answer: Answer::Complete,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        event_gap_target: Duration::from_millis(100),
        max_attempts: 1,
        priority: 0,
        split: split.iter().map(|(name, weight)| ((*name).into(), *weight)).collect(),
        is_public: false,
        has_prompt: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let team = Team { name: "club".into(), hash: report::hash("club", 0), priority: None };
    let teams = vec![(team, vec!["key-1".into(), "key-2".into()])];
    RouteTable::new(7, CallerLimits::default(), routes, vec![], Some(teams))
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    the_longest_prefix_wins: {
        let table = table(vec![
            route("short", "/book/", &[("desk", 1)]),
            route("long", "/book/lanes/", &[("desk", 1)]),
        ]);
        let name = |path| table.find("lanes.example", path).map(|route| route.name.to_string());
        assert_eq!(name("/book/lanes/4").as_deref(), Some("long"));
        assert_eq!(name("/book/4").as_deref(), Some("short"));
        assert_eq!(name("/book"), None);
        assert_eq!(name("/other/"), None);
    },
    another_host_has_no_route: {
        let table = table(vec![route("r", "/book/", &[("desk", 1)])]);
        assert!(table.find("other.example", "/book/1").is_none());
    },
    a_query_is_no_part_of_the_path: {
        let table = table(vec![route("r", "/book/", &[("desk", 1)])]);
        assert!(table.find("lanes.example", "/x?y=/book/").is_none());
    },
    a_split_follows_its_weights_and_a_request_keeps_its_service: {
        let route = route("r", "/book/", &[("old", 90_000), ("new", 10_000)]);
        let ids = (0..2000).map(|i| format!("request-{i}")).collect::<Vec<_>>();
        let new = ids.iter().filter(|id| &**route.service(id).unwrap() == "new").count();
        assert!((140..260).contains(&new), "{new} of 2000");
        assert_eq!(route.service("request-1"), route.service("request-1"));
    },
    a_service_without_weight_gets_nothing: {
        let route = route("r", "/book/", &[("old", 0), ("new", 5)]);
        assert!((0..200).all(|i| &**route.service(&format!("{i}")).unwrap() == "new"));
    },
    each_key_names_its_team: {
        let table = table(vec![]);
        assert_eq!(&*table.team("key-2").unwrap().name, "club");
        assert!(table.team("key-3").is_none());
    },
}
