//! Assignment of targets to cells and of roles to routers.

use std::collections::BTreeMap;

use gentianhinge_core::cell;
use gentianhinge_core::ids::Name;

fn targets(count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("target-{i}").into()).collect()
}

fn cell_of(cells: &BTreeMap<Name, Vec<Name>>) -> BTreeMap<Name, Name> {
    let pairs =
        cells.iter().flat_map(|(cell, list)| list.iter().map(|t| (t.clone(), cell.clone())));
    pairs.collect()
}

fn moved(before: &[Name], after: &[Name], max_targets: usize) -> usize {
    let before = cell_of(&cell::assign("m", "r", before, max_targets));
    let after = cell_of(&cell::assign("m", "r", after, max_targets));
    before.iter().filter(|(t, c)| after.get(*t).is_some_and(|now| now != *c)).count()
}

macro_rules! cases {
    ($($name:ident: $body:expr,)*) => { $(
        #[test]
        fn $name() { $body }
    )* };
}

cases! {
    every_target_is_in_one_cell_of_bounded_size: {
        arbtest::arbtest(|u| {
            let (count, max) = (u.int_in_range(0..=200)?, u.int_in_range(1..=40)?);
            let cells = cell::assign("m", "r", &targets(count), max);
            assert!(cells.values().all(|list| list.len() <= max));
            assert_eq!(cells.values().map(Vec::len).sum::<usize>(), count);
            assert_eq!(cell_of(&cells).len(), count);
            Ok(())
        });
    },
    the_order_of_targets_doesnt_matter: {
        let mut list = targets(100);
        let cells = cell::assign("m", "r", &list, 5);
        list.reverse();
        assert_eq!(cell::assign("m", "r", &list, 5), cells);
    },
    a_few_targets_are_one_cell: {
        assert_eq!(cell::assign("m", "r", &targets(20), 32).len(), 1);
    },
    removing_a_target_moves_few_others: {
        let all = targets(400);
        let worst = (0..all.len()).step_by(20).map(|gone| {
            let mut rest = all.clone();
            rest.remove(gone);
            moved(&all, &rest, 16)
        });
        // Bounded by the size of a cell, not by the number of targets.
        assert!(worst.max().unwrap() <= 16);
    },
    adding_a_target_moves_at_most_a_quarter: {
        for count in (17..800).step_by(11) {
            let moved = moved(&targets(count), &targets(count + 1), 16);
            assert!(moved <= count / 4 + 16, "{moved} of {count}");
        }
    },
    roles_are_distributed_evenly: {
        let routers = (0..370).map(|i| Name::from(format!("router-{i}"))).collect::<Vec<_>>();
        let mut held = BTreeMap::<&Name, u32>::new();
        for i in 0..1850 {
            let role = cell::Role::Dispatcher { cell: cell::cell_name("m", "r", i) };
            *held.entry(cell::holder(&role, &routers).unwrap()).or_default() += 1;
        }
        // The mean is 5; 25 is nearly nine standard deviations above it.
        assert!(held.values().all(|count| *count < 25));
        assert!(held.len() > 350);
    },
    removing_a_router_moves_only_its_roles: {
        let routers = (0..32).map(|i| Name::from(format!("router-{i}"))).collect::<Vec<_>>();
        for i in 0..500 {
            let role = cell::Role::ClaimWriter { shard: i };
            let before = cell::holder(&role, &routers).unwrap();
            let after = cell::holder(&role, routers.iter().filter(|name| name.as_ref() != "router-7"));
            assert!(after == Some(before) || before.as_ref() == "router-7");
        }
    },
    a_role_has_no_holder_without_routers: {
        let role = cell::Role::FleetSummary { pool: "m".into() };
        assert_eq!(cell::holder(&role, []), None);
    },
}
