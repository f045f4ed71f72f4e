//! Slots of targets under load reports, leaving and failing targets, and network partitions.

mod cellkit;

use std::time::Duration;

use cellkit::{Cell, now, table, target};
use gentianhinge_core::dispatch::TargetLoad;
use gentianhinge_core::slots::{TargetSpec, Targets};
use gentianhinge_core::table::TargetPolicy;
use tokio::time;

fn targets(names: &[&str], slots: u32) -> Targets {
    let mut targets = Targets::default();
    targets.set(&specs(names, slots));
    targets
}

fn specs(names: &[&str], slots: u32) -> Vec<TargetSpec> {
    names.iter().map(|name| target(name, slots)).collect()
}

fn load(running_count: u32, waiting_count: u32) -> TargetLoad {
    TargetLoad {
        at: now(),
        incarnation: 1,
        running_count,
        waiting_count,
        max_running_count: 0,
        leaving: false,
    }
}

/// Takes all free slots and look-ahead; returns the number taken.
fn fill(targets: &mut Targets) -> usize {
    let mut count = 0;
    while let Some(name) = targets.pick(&[]) {
        targets.take(&name);
        count += 1;
    }
    count
}

cases! {
    an_engine_queue_lowers_the_slots_until_it_is_empty: {
        let mut targets = targets(&["t1"], 16);
        assert_eq!(fill(&mut targets), 16);
        targets.set_load(&"t1".into(), load(10, 6), now());
        for _ in 0..16 {
            targets.release(&"t1".into());
        }
        assert_eq!(fill(&mut targets), 11);
        for _ in 0..20 {
            time::advance(Duration::from_secs(1)).await;
            targets.set_load(&"t1".into(), load(11, 0), now());
            fill(&mut targets);
        }
        assert_eq!(targets.busy_count(), 16);
    },
    a_queue_of_requests_beyond_the_slots_does_not_lower_them: {
        let mut targets = targets(&["t1"], 4);
        for _ in 0..8 {
            targets.take(&"t1".into());
        }
        targets.set_load(&"t1".into(), load(4, 4), now());
        for _ in 0..8 {
            targets.release(&"t1".into());
        }
        assert_eq!(fill(&mut targets), 4);
    },
    a_queue_of_requests_that_ended_after_the_report_does_not_lower_the_slots: {
        let mut targets = targets(&["t1"], 4);
        for _ in 0..8 {
            targets.take(&"t1".into());
        }
        let reports = [load(4, 4), load(4, 4)];
        for report in reports {
            targets.release(&"t1".into());
            time::advance(Duration::from_millis(500)).await;
            targets.set_load(&"t1".into(), report, now());
        }
        for _ in 0..6 {
            targets.release(&"t1".into());
        }
        assert_eq!(fill(&mut targets), 4);
    },
    slots_that_run_adopted_requests_are_restored_before_their_queue_is_empty: {
        let mut targets = targets(&["t1"], 4);
        targets.take(&"t1".into());
        targets.set_load(&"t1".into(), load(4, 3), now());
        // The dispatcher of the other group's requests is gone, and this one has adopted them.
        for _ in 0..5 {
            targets.take(&"t1".into());
        }
        time::advance(Duration::from_secs(1)).await;
        targets.set_load(&"t1".into(), load(4, 2), now());
        for _ in 0..6 {
            targets.release(&"t1".into());
        }
        assert_eq!(fill(&mut targets), 4);
    },
    a_reported_maximum_restores_all_slots_at_once: {
        let mut targets = targets(&["t1"], 16);
        fill(&mut targets);
        targets.set_load(&"t1".into(), load(10, 6), now());
        for _ in 0..16 {
            targets.release(&"t1".into());
        }
        assert_eq!(fill(&mut targets), 11);
        time::advance(Duration::from_secs(1)).await;
        let report = TargetLoad { max_running_count: 16, ..load(11, 0) };
        targets.set_load(&"t1".into(), report, now());
        assert_eq!(fill(&mut targets), 5);
    },
    a_report_made_before_the_last_change_is_ignored: {
        let mut targets = targets(&["t1"], 16);
        let old = load(10, 6);
        time::advance(Duration::from_secs(1)).await;
        targets.set_load(&"t1".into(), old.clone(), now());
        targets.set_load(&"t1".into(), old, now());
        assert_eq!(fill(&mut targets), 11);
    },
    a_leave_is_final_for_the_incarnation: {
        let mut targets = targets(&["t1", "t2"], 1);
        targets.set_load(&"t1".into(), load(0, 0), now());
        targets.leave(&"t1".into(), 1);
        targets.set(&specs(&["t1", "t2"], 1));
        assert_eq!(fill(&mut targets), 1);
        targets.set(&specs(&["t2"], 1));
        targets.set(&specs(&["t1", "t2"], 1));
        time::advance(Duration::from_secs(1)).await;
        targets.set_load(&"t1".into(), load(0, 0), now());
        assert_eq!(fill(&mut targets), 0);
        targets.set_load(&"t1".into(), TargetLoad { incarnation: 2, ..load(0, 0) }, now());
        assert_eq!(fill(&mut targets), 1);
    },
    a_leaving_engine_gets_no_requests: {
        let mut targets = targets(&["t1"], 1);
        targets.set_load(&"t1".into(), TargetLoad { leaving: true, ..load(0, 0) }, now());
        assert_eq!(fill(&mut targets), 0);
    },
    operator_policy_removes_targets_and_limits_slots: {
        let mut targets = targets(&["t1", "t2"], 4);
        let leaving = TargetPolicy { is_leaving: true, max_slots: None };
        let fewer = TargetPolicy { is_leaving: false, max_slots: Some(3) };
        targets.set_policy(&[("t1".into(), leaving), ("t2".into(), fewer)].into());
        assert_eq!(fill(&mut targets), 3);
    },
    a_failed_target_gets_nothing_until_a_later_report: {
        let mut targets = targets(&["t1"], 1);
        let before = load(0, 0);
        time::advance(Duration::from_secs(1)).await;
        targets.fail(&"t1".into(), now());
        targets.set_load(&"t1".into(), before, now());
        assert_eq!(fill(&mut targets), 0);
        time::advance(Duration::from_secs(1)).await;
        targets.set_load(&"t1".into(), load(0, 0), now());
        assert_eq!(fill(&mut targets), 1);
    },
    a_partitioned_group_uses_its_share_and_free_slots: {
        let mut targets = targets(&["t1"], 16);
        targets.set_live_ratio(0.25);
        assert_eq!(fill(&mut targets), 4);
        // The other side runs 4 requests, so 8 slots are free; this side takes a quarter of them.
        targets.set_load(&"t1".into(), load(8, 0), now());
        assert_eq!(fill(&mut targets), 2);
        targets.set_live_ratio(1.0);
        assert_eq!(fill(&mut targets), 10);
    },
    two_partitioned_groups_stay_within_the_slots: {
        let (mut left, mut right) = (targets(&["t1"], 16), targets(&["t1"], 16));
        left.set_live_ratio(0.5);
        right.set_live_ratio(0.5);
        for _ in 0..10 {
            time::advance(Duration::from_secs(1)).await;
            let running = left.busy_count() + right.busy_count();
            left.set_load(&"t1".into(), load(running, 0), now());
            right.set_load(&"t1".into(), load(running, 0), now());
            fill(&mut left);
            fill(&mut right);
        }
        assert_eq!(left.busy_count() + right.busy_count(), 16);
    },
    a_preferred_target_is_picked_only_while_it_has_a_free_slot: {
        let mut targets = targets(&["t1", "t2"], 2);
        targets.take(&"t2".into());
        assert_eq!(targets.pick(&["t2".into()]).as_deref(), Some("t2"));
        targets.take(&"t2".into());
        assert_eq!(targets.pick(&["t2".into()]).as_deref(), Some("t1"));
    },
    look_ahead_is_used_after_all_slots: {
        let mut targets = Targets::default();
        let spec = |name| TargetSpec { lookahead_slots: 4, ..target(name, 1) };
        targets.set(&[spec("t1"), target("t2", 1)]);
        targets.take(&"t1".into());
        assert_eq!(targets.pick(&[]).as_deref(), Some("t2"));
        assert_eq!(fill(&mut targets), 5);
    },
    short_requests_get_look_ahead_for_each_slot: {
        let mut targets = Targets::default();
        targets.set(&[TargetSpec { lookahead_slots: 1, ..target("t1", 8) }]);
        assert_eq!(fill(&mut targets), 9);
        // A single early failure must not lower the mean below the threshold.
        targets.record_duration(&"t1".into(), 0.005);
        assert_eq!(fill(&mut targets), 0);
        for _ in 0..60 {
            targets.record_duration(&"t1".into(), 0.005);
        }
        assert_eq!(fill(&mut targets), 7);
    },
    requests_at_a_removed_target_keep_running: {
        let mut cell = Cell::new(table(), 1, 2);
        cell.submit(0, 1, "lanes");
        cell.exchange();
        cell.dispatcher.set_targets(&[]);
        cell.submit(0, 2, "lanes");
        assert!(cell.exchange().is_empty());
        assert_eq!(cell.dispatcher.busy_slots(), 1);
        cell.finish(0, 1, 5.0);
        cell.exchange();
        assert_eq!(cell.dispatcher.busy_slots(), 0);
    },
}
